/** Removes the rows of ended and refused jobs after the retention period. */

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

/**
 * Maximum numbers of ended and of refused jobs per transaction. With two rows for
 * each ended and one for each refused job they fit into one.
 */
const PURGE_BATCH_SIZE = 30;

/**
 * Factor by which jobs are kept longer than promised, to allow for clock
 * differences between nodes.
 */
const RETENTION_MARGIN_FACTOR = 1.25;

/**
 * Purges ended jobs. The rows of a job are removed before its progress row, as
 * a progress row without a job is not restored. The row of a refused job is kept
 * for as long, so that a late submission of it finds the refusal.
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
    const {clock} = this.options;
    const nowMs = clock.getMonotonicMs();
    if (this.isPurging || nowMs - this.lastPurgeMs < PURGE_INTERVAL_MS) return;
    this.lastPurgeMs = nowMs;
    this.isPurging = true;
    let hasMore = true;
    while (hasMore) hasMore = await this.purgeBatch();
    this.isPurging = false;
  }

  /** Removes some of the expired jobs. Returns whether there may be more that can be removed. */
  private async purgeBatch(): Promise<boolean> {
    const {clock, jobTracker, keepEndedMs} = this.options;
    const keepMs = keepEndedMs * RETENTION_MARGIN_FACTOR;
    const jobs = jobTracker.getJobsEndedBefore(
      clock.getWallMs() - keepMs,
      PURGE_BATCH_SIZE,
    );
    const refusedIds = jobTracker.getJobsRefusedBefore(
      clock.getMonotonicMs() - keepMs,
      PURGE_BATCH_SIZE,
    );
    const jobsByPart = groupByPart(jobs, job => job.getId());
    const refusedIdsByPart = groupByPart(refusedIds, jobId => jobId);
    const parts = new Set([...jobsByPart.keys(), ...refusedIdsByPart.keys()]);
    for (const part of parts) {
      const isRemoved = await this.purgePart(
        part,
        jobsByPart.get(part) ?? [],
        refusedIdsByPart.get(part) ?? [],
      );
      // A failed removal is repeated by the next purge.
      if (!isRemoved) return false;
    }
    return Math.max(jobs.length, refusedIds.length) >= PURGE_BATCH_SIZE;
  }

  private async purgePart(
    part: string,
    jobs: readonly JobState[],
    refusedIds: readonly string[],
  ): Promise<boolean> {
    const {store, jobTracker, writer, events} = this.options;
    const removals = jobs.flatMap<RowAddress>(job => [
      {table: JOB_TABLE, part, key: job.getId()},
      {table: JOB_TABLE, part, key: job.getId() + CANCEL_SUFFIX},
    ]);
    for (const key of refusedIds) removals.push({table: JOB_TABLE, part, key});
    const outcome = await store.commit({
      conditions: [],
      writes: [],
      removals,
    });
    if (outcome.isErr()) return false;
    for (const job of jobs) {
      jobTracker.removeJob(job);
      writer.addRemoval(job);
    }
    for (const jobId of refusedIds) jobTracker.removeRefusedJob(jobId);
    events.addEvent('jobs-purged', {
      detail: `${jobs.length} ended and ${refusedIds.length} refused ones of ${part}`,
    });
    return true;
  }
}

function groupByPart<T>(
  jobs: readonly T[],
  getId: (job: T) => string,
): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const job of jobs) {
    const part = getJobPart(getId(job));
    const group = groups.get(part) ?? [];
    group.push(job);
    groups.set(part, group);
  }
  return groups;
}
