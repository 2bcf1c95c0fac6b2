/** All jobs that the coordinator knows, built from the rows of the shared tables. */

import {
  decodeRowValue,
  restoreProgress,
  StoredJob,
  StoredProgress,
} from '@mustardlug/jobs/job_codec';
import {JobState} from '@mustardlug/jobs/job_state';
import {StoredRow} from '@mustardlug/platform/row_store';
import {CANCEL_SUFFIX} from './tables.js';

/** What a row of the job table brought. */
export type JobChange =
  | {readonly kind: 'accepted'; readonly job: JobState}
  | {readonly kind: 'cancelled'; readonly job: JobState};

/** Jobs by identifier, and those that still need work. */
export class JobBook {
  private readonly jobs = new Map<string, JobState>();
  private readonly active = new Set<JobState>();
  private readonly cancelledIds = new Set<string>();

  private constructor() {}

  /** Creates an empty book. */
  static create(): JobBook {
    return new JobBook();
  }

  /**
   * Finds a job.
   * @param jobId - Identifier of the job.
   */
  findJob(jobId: string): JobState | undefined {
    return this.jobs.get(jobId);
  }

  /** Gets all jobs. */
  getJobs(): Iterable<JobState> {
    return this.jobs.values();
  }

  /**
   * Forgets a job.
   * @param job - Job whose rows were removed.
   */
  forgetJob(job: JobState): void {
    this.jobs.delete(job.getId());
    this.active.delete(job);
    this.cancelledIds.delete(job.getId());
  }

  /** Gets the jobs that have not ended or of which runs may be going on. */
  getActiveJobs(): ReadonlySet<JobState> {
    return this.active;
  }

  /**
   * Restores all jobs from the shared tables.
   * @param jobRows - Rows of accepted and cancelled jobs.
   * @param progressRows - Rows of progress.
   * @param monotonicMs - Time that counts as the placement of restored runs.
   */
  restore(
    jobRows: readonly StoredRow[],
    progressRows: readonly StoredRow[],
    monotonicMs: number,
  ): void {
    const progress = new Map<string, StoredProgress>();
    for (const row of progressRows)
      progress.set(row.key, decodeRowValue<StoredProgress>(row.value));
    for (const row of jobRows) {
      const change = this.applyRow(row);
      if (change?.kind !== 'accepted') continue;
      const stored = progress.get(change.job.getId());
      if (stored !== undefined)
        restoreProgress(change.job, stored, monotonicMs);
    }
    for (const job of this.jobs.values()) this.refreshActive(job);
  }

  /**
   * Applies a row of the job table.
   * @param row - New or repeated row.
   * @returns What changed, or `undefined` when nothing did.
   */
  applyRow(row: StoredRow): JobChange | undefined {
    if (row.key.endsWith(CANCEL_SUFFIX)) {
      const jobId = row.key.slice(0, -CANCEL_SUFFIX.length);
      this.cancelledIds.add(jobId);
      const job = this.jobs.get(jobId);
      return job && {kind: 'cancelled', job};
    }
    if (this.jobs.has(row.key)) return undefined;
    const stored = decodeRowValue<StoredJob>(row.value);
    if (stored.kind === 'refused') return undefined;
    const job = JobState.create({...stored.job, jobId: row.key});
    this.jobs.set(row.key, job);
    this.active.add(job);
    return {kind: 'accepted', job};
  }

  /**
   * Checks whether a caller cancelled a job.
   * @param jobId - Identifier of the job.
   */
  isCancelled(jobId: string): boolean {
    return this.cancelledIds.has(jobId);
  }

  /**
   * Moves a job between the active ones and the others.
   * @param job - Job that changed.
   */
  refreshActive(job: JobState): void {
    if (job.isEnded() && !job.hasRuns()) this.active.delete(job);
    else this.active.add(job);
  }
}
