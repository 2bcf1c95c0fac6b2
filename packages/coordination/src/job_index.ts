/** In-memory index of all jobs, built from the rows of the shared tables. */

import {restoreProgress} from '@mustardlug/jobs/job_codec';
import {JobState, OccurrenceLayout} from '@mustardlug/jobs/job_state';
import {joinParts, parsePartKey} from '@mustardlug/jobs/progress_parts';
import {
  decodeStoredJob,
  decodeStoredProgress,
  validateProgress,
} from '@mustardlug/jobs/stored_schemas';
import {StoredRow} from '@mustardlug/platform/row_store';
import {InvalidRowReporter} from './invalid_row_reporter.js';
import {CANCEL_SUFFIX} from './tables.js';

/** Rows that hold the progress of a job. */
export interface ProgressRecord {
  readonly row: StoredRow;
  /** Parts of the job, also such that its row does not name. */
  readonly parts: readonly StoredRow[];
}

/** Rows that hold the progress of all jobs. */
export interface ProgressTables {
  readonly rows: readonly StoredRow[];
  /** Parts of jobs whose progress exceeds a row. */
  readonly parts: readonly StoredRow[];
}

/** Change of a job by a row of the job table. */
export type JobChange =
  | {readonly kind: 'accepted'; readonly job: JobState}
  /** Its progress was restored, as its row could not be read before. */
  | {readonly kind: 'restored'; readonly job: JobState}
  /** Its progress cannot be read. */
  | {readonly kind: 'held'; readonly job: JobState}
  | {readonly kind: 'cancelled'; readonly job: JobState};

/**
 * Indexes jobs by identifier, and the active ones among them.
 *
 * A job whose progress cannot be read is held: it is known, but not active, so
 * that no task that is done runs again.
 */
export class JobIndex {
  private readonly jobs = new Map<string, JobState>();
  private readonly activeJobs = new Set<JobState>();
  private readonly cancelledJobIds = new Set<string>();
  private readonly heldJobs = new Set<JobState>();
  /** Refused jobs, with the monotonic time at which their rows were noticed. */
  private readonly refusedJobs = new Map<string, number>();
  /** Restored progress of jobs whose own row could not be read. */
  private readonly keptProgress = new Map<string, ProgressRecord>();

  private constructor(private readonly invalidRows: InvalidRowReporter) {}

  /**
   * Creates an index without jobs.
   * @param invalidRows - Receives the rows that cannot be read.
   */
  static create(invalidRows: InvalidRowReporter): JobIndex {
    return new JobIndex(invalidRows);
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
    this.heldJobs.delete(job);
    this.cancelledJobIds.delete(job.getId());
  }

  /** Gets the refused jobs, with the monotonic time at which their rows were noticed. */
  getRefusedJobs(): ReadonlyMap<string, number> {
    return this.refusedJobs;
  }

  /**
   * Forgets a refused job.
   * @param jobId - Identifier of a job whose row was removed.
   */
  removeRefusedJob(jobId: string): void {
    this.refusedJobs.delete(jobId);
  }

  /** Gets the jobs whose progress cannot be read. */
  getHeldJobs(): ReadonlySet<JobState> {
    return this.heldJobs;
  }

  /**
   * Checks whether tasks of a job may be done that are not known to be: its row or
   * its progress cannot be read.
   * @param jobId - Identifier of the job.
   */
  isHeld(jobId: string): boolean {
    const job = this.jobs.get(jobId);
    if (job === undefined) return this.keptProgress.has(jobId);
    return this.heldJobs.has(job);
  }

  /** Gets the jobs that have not ended or that may still have active runs. */
  getActiveJobs(): ReadonlySet<JobState> {
    return this.activeJobs;
  }

  /**
   * Restores all jobs from the shared tables.
   * @param jobRows - Rows of accepted and cancelled jobs.
   * @param progress - Rows of progress.
   * @param nowMs - Monotonic time that counts as the placement of restored runs.
   * @returns Parts that no row of a job names.
   */
  restore(
    jobRows: readonly StoredRow[],
    progress: ProgressTables,
    nowMs: number,
  ): StoredRow[] {
    const partsByJob = new Map<string, StoredRow[]>();
    for (const part of progress.parts) {
      const jobId = parsePartKey(part.key)?.jobId ?? '';
      const parts = partsByJob.get(jobId) ?? [];
      parts.push(part);
      partsByJob.set(jobId, parts);
    }
    for (const row of progress.rows) {
      const parts = partsByJob.get(row.key) ?? [];
      this.keptProgress.set(row.key, {row, parts});
    }
    const unreadableJobIds = new Set<string>();
    for (const row of jobRows) {
      if (this.applyRow(row, nowMs) === 'unreadable')
        unreadableJobIds.add(row.key);
    }
    for (const jobId of [...this.keptProgress.keys()]) {
      if (!unreadableJobIds.has(jobId)) this.keptProgress.delete(jobId);
    }
    for (const job of this.jobs.values()) this.updateActiveJobs(job);
    return progress.parts.filter(part => this.isObsolete(part));
  }

  /** Checks whether a part belongs to no job, or to a job whose row does not name it. */
  private isObsolete({key}: StoredRow): boolean {
    const name = parsePartKey(key);
    if (name === undefined || this.isHeld(name.jobId)) return false;
    const layout = this.jobs.get(name.jobId)?.layouts.get(name.occurrence);
    return layout?.id !== name.layoutId;
  }

  /**
   * Restores the progress of a job that is held.
   * @param job - Held job.
   * @param progress - Current rows of its progress.
   * @param nowMs - Monotonic time that counts as the placement of restored runs.
   * @returns Whether the rows could be read.
   */
  release(job: JobState, progress: ProgressRecord, nowMs: number): boolean {
    if (!this.restoreJobProgress(job, progress, nowMs)) return false;
    this.heldJobs.delete(job);
    this.updateActiveJobs(job);
    return true;
  }

  /**
   * Ends the hold of a job that has ended, whose progress no longer matters.
   * @param job - Job that was cancelled.
   */
  endHold(job: JobState): void {
    this.heldJobs.delete(job);
    this.updateActiveJobs(job);
  }

  /**
   * Applies a row of the job table.
   * @param row - New or repeated row.
   * @param nowMs - Monotonic time that counts as the placement of restored runs.
   * @returns The change, `unreadable`, or `undefined` if the row changes nothing.
   */
  applyRow(
    row: StoredRow,
    nowMs: number,
  ): JobChange | 'unreadable' | undefined {
    if (row.key.endsWith(CANCEL_SUFFIX)) {
      const jobId = row.key.slice(0, -CANCEL_SUFFIX.length);
      this.cancelledJobIds.add(jobId);
      const job = this.jobs.get(jobId);
      return job && {kind: 'cancelled', job};
    }
    if (this.jobs.has(row.key)) return undefined;
    const stored = decodeStoredJob(row.key, row.value);
    if (stored.isErr()) {
      this.invalidRows.report(row, stored.error);
      return 'unreadable';
    }
    if (stored.value.kind === 'refused') {
      if (!this.refusedJobs.has(row.key)) this.refusedJobs.set(row.key, nowMs);
      return undefined;
    }
    this.refusedJobs.delete(row.key);
    const job = JobState.create({...stored.value.job, jobId: row.key});
    job.noticedMs = nowMs;
    job.idleSinceMs = nowMs;
    this.jobs.set(row.key, job);
    return this.addJob(job, nowMs);
  }

  private addJob(job: JobState, nowMs: number): JobChange {
    const jobId = job.getId();
    const progress = this.keptProgress.get(jobId);
    this.keptProgress.delete(jobId);
    if (progress === undefined) {
      this.activeJobs.add(job);
      return {kind: 'accepted', job};
    }
    if (!this.restoreJobProgress(job, progress, nowMs)) {
      this.heldJobs.add(job);
      return {kind: 'held', job};
    }
    this.updateActiveJobs(job);
    return {kind: 'restored', job};
  }

  private restoreJobProgress(
    job: JobState,
    {row, parts}: ProgressRecord,
    nowMs: number,
  ): boolean {
    const {spec} = job.accepted;
    const progress = decodeStoredProgress(row.key, row.value)
      .andThen(stored => joinParts(row.key, stored, parts, spec))
      .andThen(stored => validateProgress(row.key, stored, spec));
    if (progress.isErr()) {
      this.invalidRows.report(row, progress.error);
      return false;
    }
    restoreProgress(job, progress.value, nowMs);
    for (const {number, layoutId} of progress.value.occurrences) {
      if (layoutId !== undefined)
        job.layouts.set(number, restoreLayout(number, layoutId, parts));
    }
    return true;
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
    const isOver = job.isEnded() && !job.hasRuns();
    if (isOver || this.heldJobs.has(job)) this.activeJobs.delete(job);
    else this.activeJobs.add(job);
  }
}

function restoreLayout(
  occurrence: number,
  layoutId: string,
  parts: readonly StoredRow[],
): OccurrenceLayout {
  const digests = new Map<number, undefined>();
  for (const {key} of parts) {
    const name = parsePartKey(key);
    if (name?.occurrence === occurrence && name.layoutId === layoutId)
      digests.set(name.firstTask, undefined);
  }
  return {id: layoutId, digests, isNamed: true};
}
