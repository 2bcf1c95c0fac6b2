/** In-memory index of all jobs, built from the rows of the shared tables. */

import {
  decodeRowValue,
  restoreProgress,
  StoredJob,
  StoredProgress,
} from '@mustardlug/jobs/job_codec';
import {JobState} from '@mustardlug/jobs/job_state';
import {StoredRow} from '@mustardlug/platform/row_store';
import {CANCEL_SUFFIX} from './tables.js';

/** Change of a job by a row of the job table. */
export type JobChange =
  | {readonly kind: 'accepted'; readonly job: JobState}
  | {readonly kind: 'cancelled'; readonly job: JobState};

/** Indexes jobs by identifier, and the active ones among them. */
export class JobIndex {
  private readonly jobs = new Map<string, JobState>();
  private readonly activeJobs = new Set<JobState>();
  private readonly cancelledJobIds = new Set<string>();

  private constructor() {}

  static create(): JobIndex {
    return new JobIndex();
  }

  findJob(jobId: string): JobState | undefined {
    return this.jobs.get(jobId);
  }

  getJobs(): Iterable<JobState> {
    return this.jobs.values();
  }

  /**
   * Removes a job.
   * @param job - Job whose rows were removed.
   */
  removeJob(job: JobState): void {
    this.jobs.delete(job.getId());
    this.activeJobs.delete(job);
    this.cancelledJobIds.delete(job.getId());
  }

  /** Gets the jobs that have not ended or that may still have active runs. */
  getActiveJobs(): ReadonlySet<JobState> {
    return this.activeJobs;
  }

  /**
   * Restores all jobs from the shared tables.
   * @param jobRows - Rows of accepted and cancelled jobs.
   * @param progressRows - Rows of progress.
   * @param nowMs - Monotonic time that counts as the placement of restored runs.
   */
  restore(
    jobRows: readonly StoredRow[],
    progressRows: readonly StoredRow[],
    nowMs: number,
  ): void {
    const progress = new Map<string, StoredProgress>();
    for (const row of progressRows)
      progress.set(row.key, decodeRowValue<StoredProgress>(row.value));
    for (const row of jobRows) {
      const change = this.applyRow(row);
      if (change?.kind !== 'accepted') continue;
      const stored = progress.get(change.job.getId());
      if (stored !== undefined) restoreProgress(change.job, stored, nowMs);
    }
    for (const job of this.jobs.values()) this.updateActiveJobs(job);
  }

  /**
   * Applies a row of the job table.
   * @param row - New or repeated row.
   * @returns The change, or `undefined` if the row changes nothing.
   */
  applyRow(row: StoredRow): JobChange | undefined {
    if (row.key.endsWith(CANCEL_SUFFIX)) {
      const jobId = row.key.slice(0, -CANCEL_SUFFIX.length);
      this.cancelledJobIds.add(jobId);
      const job = this.jobs.get(jobId);
      return job && {kind: 'cancelled', job};
    }
    if (this.jobs.has(row.key)) return undefined;
    const stored = decodeRowValue<StoredJob>(row.value);
    if (stored.kind === 'refused') return undefined;
    const job = JobState.create({...stored.job, jobId: row.key});
    this.jobs.set(row.key, job);
    this.activeJobs.add(job);
    return {kind: 'accepted', job};
  }

  /**
   * Checks whether a caller cancelled a job.
   * @param jobId - Identifier of the job.
   */
  isCancelled(jobId: string): boolean {
    return this.cancelledJobIds.has(jobId);
  }

  /**
   * Adds a job to the active jobs or removes it from them, according to its state.
   * @param job - Job that changed.
   */
  updateActiveJobs(job: JobState): void {
    if (job.isEnded() && !job.hasRuns()) this.activeJobs.delete(job);
    else this.activeJobs.add(job);
  }
}
