/** Removes the rows of jobs that ended long ago. */

import {Clock} from '@mustardlug/base/clock';
import {JobState} from '@mustardlug/jobs/job_state';
import {RowAddress, RowStore} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {JobLedger} from './job_ledger.js';
import {ProgressWriter} from './progress_writer.js';
import {CANCEL_SUFFIX, getJobPart, JOB_TABLE} from './tables.js';

/** Options of the retention. */
export interface JobRetentionOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly events: EventRecorder;
  readonly ledger: JobLedger;
  readonly writer: ProgressWriter;
  /** Time for which callers may ask for a job after its end. */
  readonly keepEndedMs: number;
}

/** Interval between two removals. */
const PURGE_INTERVAL_MS = 5_000;

/** Jobs removed at a time; two rows each fit into one transaction. */
const MAX_PURGED_JOBS = 40;

/** Jobs are kept longer than promised by this factor, as clocks differ. */
const KEEP_FACTOR = 1.25;

/** Purges ended jobs: first the job, then its progress, which alone names nothing. */
export class JobRetention {
  private lastPurgeMs = -Infinity;
  private isPurging = false;

  private constructor(private readonly options: JobRetentionOptions) {}

  /**
   * Creates a retention.
   * @param options - Store, ledger and time to keep.
   */
  static create(options: JobRetentionOptions): JobRetention {
    return new JobRetention(options);
  }

  /** Removes what has expired, if it is time to. */
  async purge(): Promise<void> {
    const {clock, ledger, keepEndedMs} = this.options;
    const nowMs = clock.getMonotonicMs();
    if (this.isPurging || nowMs - this.lastPurgeMs < PURGE_INTERVAL_MS) return;
    this.lastPurgeMs = nowMs;
    this.isPurging = true;
    const endedBeforeMs = clock.getWallMs() - keepEndedMs * KEEP_FACTOR;
    const jobs = ledger.getJobsEndedBefore(endedBeforeMs, MAX_PURGED_JOBS);
    for (const [part, partJobs] of groupByPart(jobs))
      await this.purgePart(part, partJobs);
    this.isPurging = false;
  }

  private async purgePart(
    part: string,
    jobs: readonly JobState[],
  ): Promise<void> {
    const {store, ledger, writer, events} = this.options;
    const removals = jobs.flatMap<RowAddress>(job => [
      {table: JOB_TABLE, part, key: job.getId()},
      {table: JOB_TABLE, part, key: job.getId() + CANCEL_SUFFIX},
    ]);
    const outcome = await store.commit({
      conditions: [],
      writes: [],
      removals,
    });
    // What could not be removed is tried again at the next interval.
    if (outcome.isErr()) return;
    for (const job of jobs) {
      ledger.forgetJob(job);
      writer.addRemoval(job.getId());
    }
    events.addEvent('jobs-purged', {detail: `${jobs.length} of ${part}`});
  }
}

function groupByPart(jobs: readonly JobState[]): Map<string, JobState[]> {
  const groups = new Map<string, JobState[]>();
  for (const job of jobs) {
    const part = getJobPart(job.getId());
    const group = groups.get(part) ?? [];
    group.push(job);
    groups.set(part, group);
  }
  return groups;
}
