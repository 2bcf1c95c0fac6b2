/** Removes the rows of ended jobs after the retention period. */

import {Clock} from '@mustardlug/base/clock';
import {JobState} from '@mustardlug/jobs/job_state';
import {RowAddress, RowStore} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {JobTracker} from './job_tracker.js';
import {ProgressWriter} from './progress_writer.js';
import {CANCEL_SUFFIX, getJobPart, JOB_TABLE} from './tables.js';

export interface JobRetentionOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly events: EventRecorder;
  readonly jobTracker: JobTracker;
  readonly writer: ProgressWriter;
  /** How long callers can query a job after it has ended. */
  readonly keepEndedMs: number;
}

/** Minimum interval between two purges. */
const PURGE_INTERVAL_MS = 5_000;

/** Maximum number of jobs per purge. With two rows for each job they fit into one transaction. */
const PURGE_BATCH_SIZE = 40;

/**
 * Factor by which jobs are kept longer than promised, to allow for clock
 * differences between nodes.
 */
const RETENTION_MARGIN_FACTOR = 1.25;

/**
 * Purges ended jobs. The rows of a job are removed before its progress row, as
 * a progress row without a job is not restored.
 */
export class JobRetention {
  private lastPurgeMs = -Infinity;
  private isPurging = false;

  private constructor(private readonly options: JobRetentionOptions) {}

  /**
   * Creates the retention of a coordinator.
   * @param options - Store, job tracker and retention period.
   */
  static create(options: JobRetentionOptions): JobRetention {
    return new JobRetention(options);
  }

  /** Removes expired jobs if the purge interval has passed. */
  async purge(): Promise<void> {
    const {clock, jobTracker, keepEndedMs} = this.options;
    const nowMs = clock.getMonotonicMs();
    if (this.isPurging || nowMs - this.lastPurgeMs < PURGE_INTERVAL_MS) return;
    this.lastPurgeMs = nowMs;
    this.isPurging = true;
    const endedBeforeMs =
      clock.getWallMs() - keepEndedMs * RETENTION_MARGIN_FACTOR;
    const jobs = jobTracker.getJobsEndedBefore(endedBeforeMs, PURGE_BATCH_SIZE);
    for (const [part, partJobs] of groupByPart(jobs))
      await this.purgePart(part, partJobs);
    this.isPurging = false;
  }

  private async purgePart(
    part: string,
    jobs: readonly JobState[],
  ): Promise<void> {
    const {store, jobTracker, writer, events} = this.options;
    const removals = jobs.flatMap<RowAddress>(job => [
      {table: JOB_TABLE, part, key: job.getId()},
      {table: JOB_TABLE, part, key: job.getId() + CANCEL_SUFFIX},
    ]);
    const outcome = await store.commit({
      conditions: [],
      writes: [],
      removals,
    });
    // A failed removal is repeated by the next purge.
    if (outcome.isErr()) return;
    for (const job of jobs) {
      jobTracker.removeJob(job);
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
