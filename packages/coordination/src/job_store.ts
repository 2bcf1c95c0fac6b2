/** Handles callers' requests about jobs on any node, based on the shared tables alone. */

import {Clock} from '@mustardlug/base/clock';
import {
  createInvalidInputError,
  createUnavailableError,
  FieldProblem,
  InvalidInputError,
  NotFoundError,
  createNotFoundError,
  RefusedError,
  UnavailableError,
} from '@mustardlug/base/errors';
import {encodeRowValue, StoredJob} from '@mustardlug/jobs/job_codec';
import {JobSpec} from '@mustardlug/jobs/job_spec';
import {JobPhase} from '@mustardlug/jobs/job_state';
import {QueueConfig} from '@mustardlug/jobs/queue_config';
import {
  decodeStoredJob,
  decodeStoredProgress,
} from '@mustardlug/jobs/stored_schemas';
import {
  ABSENT_VERSION,
  RowAddress,
  RowCommitError,
  RowRejectionError,
  RowStore,
  StoredRow,
} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {err, ok, Result} from 'neverthrow';
import {RefusalLimit} from './admission_control.js';
import {InvalidRowReporter} from './invalid_row_reporter.js';
import {
  CANCEL_SUFFIX,
  COORDINATOR_PART,
  getJobPart,
  JOB_TABLE,
  PROGRESS_TABLE,
} from './tables.js';

export interface JobStoreOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly events: EventRecorder;
}

/** A job that a caller submits. */
export interface Submission {
  readonly jobId: string;
  readonly spec: JobSpec;
  readonly queue: QueueConfig;
  /** Monotonic time by which the caller expects a response. */
  readonly deadlineMs: number;
  /** Time after which the caller should submit a refused job again; 0 while jobs are accepted. */
  readonly retryAfterMs: number;
  /** Why the queue refuses the job; for want of workers by default. */
  readonly limit?: RefusalLimit;
}

/** A refused submission. The job never runs. */
export interface SubmissionRefusedError extends RefusedError {
  readonly retryAfterMs: number;
}

/** Why a submission was not accepted. A job that is `invalid-input` can never be stored. */
export type SubmissionError =
  SubmissionRefusedError | InvalidInputError | UnavailableError;

/** What a caller is told of a job. */
export interface JobStatus {
  readonly phase: JobPhase;
  /** Why the job failed; undefined unless it did. */
  readonly failureReason?: string;
}

/** Delay before a write without a response is repeated. */
const WRITE_RETRY_MS = 60;

/**
 * Attempts after which the store counts as rejecting a job if its responses leave open
 * whether the job was stored.
 */
const MAX_UNCLEAR_REJECTIONS = 3;

/** Row of a job that never runs. */
const REFUSED_JOB: StoredJob = {kind: 'refused'};

/** Time reserved for sending the response to the caller. */
const RESPONSE_MARGIN_MS = 150;

/** Retry delay for callers after the store refused a write. Usual outages last seconds. */
export const STORE_RETRY_AFTER_MS = 2_000;

const UNREADABLE_ROW = createUnavailableError(
  'the stored row of the job cannot be read; another writer may have replaced it; restore it, or cancel the job',
  true,
);

/** Submits and cancels jobs and reports their phases. */
export class JobStore {
  private readonly invalidRows: InvalidRowReporter;

  private constructor(private readonly options: JobStoreOptions) {
    this.invalidRows = InvalidRowReporter.create(options.events);
  }

  static create(options: JobStoreOptions): JobStore {
    return new JobStore(options);
  }

  /**
   * Submits a job. Idempotent: a repeated submission with the same identifier
   * has no further effect.
   * @param submission - Job, queue, deadline and retry delay.
   * @returns `refused` when the job never runs, `unavailable` when that is not known.
   */
  async submit(submission: Submission): Promise<Result<void, SubmissionError>> {
    const isRefusal = submission.retryAfterMs > 0;
    const address = getJobAddress(submission.jobId);
    let value = encodeRowValue(
      isRefusal ? REFUSED_JOB : this.createStoredJob(submission),
    );
    if (value.length > this.options.store.getMaxRowBytes())
      return err(this.rejectTooLarge(submission, value.length));
    let version = ABSENT_VERSION;
    let isUncertain = false;
    let rejectionCount = 0;
    /** Rejection for which a refusal is being written in place of the job. */
    let rejection: RowRejectionError | undefined;
    for (;;) {
      const outcome = await this.options.store.commit({
        conditions: [{...address, version}],
        writes: [{...address, value}],
        removals: [],
      });
      if (outcome.isOk()) {
        if (rejection === undefined) return this.reportStored(submission);
        return err(this.refuseOnStoreError(submission, rejection));
      }
      const {error} = outcome;
      if (error.kind === 'row-conflict') {
        const row = error.rows.find(each => each.key === address.key);
        const stored = this.findJobRow(row === undefined ? [] : [row]);
        if (stored === 'accepted')
          return this.reportAccepted(submission, 'repeated');
        // The row may have been an accepted job, so that no refusal is true.
        if (stored === 'unreadable')
          return err(this.reportUncertain(submission, UNREADABLE_ROW));
        if (row !== undefined && rejection !== undefined)
          return err(this.refuseOnStoreError(submission, rejection));
        if (isRefusal && row !== undefined)
          return this.reportStored(submission);
        version = row?.version ?? ABSENT_VERSION;
        continue;
      }
      isUncertain ||= error.kind !== 'refused' && error.mayHaveTakenEffect;
      const isExpired = !this.hasTimeLeft(submission.deadlineMs);
      if (!isUncertain) return err(this.refuseOnStoreError(submission, error));
      if (isExpired) return err(this.reportUncertain(submission, error));
      if (error.kind === 'row-rejection') {
        rejectionCount++;
        const isFinal =
          !error.mayHaveTakenEffect || rejectionCount >= MAX_UNCLEAR_REJECTIONS;
        if (isFinal && rejection === undefined) {
          // An earlier attempt may still take effect, unless the refusal precedes it.
          rejection = error;
          value = encodeRowValue(REFUSED_JOB);
          continue;
        }
      }
      await this.options.clock.sleep(WRITE_RETRY_MS);
    }
  }

  /**
   * Cancels a job. Idempotent, so that the write is repeated when its response
   * was lost.
   * @param jobId - Identifier of the job.
   * @param deadlineMs - Monotonic time by which the caller expects a response.
   * @returns `not-found` when no such job was accepted.
   */
  async cancel(
    jobId: string,
    deadlineMs: number,
  ): Promise<Result<void, NotFoundError | UnavailableError>> {
    const {store, events, clock} = this.options;
    const address = getJobAddress(jobId);
    const key = jobId + CANCEL_SUFFIX;
    for (;;) {
      // Also written for unknown jobs: a submission that is still in transit
      // must not start the job later.
      const outcome = await store.commit({
        conditions: [],
        writes: [{...address, key, value: encodeRowValue({})}],
        removals: [],
      });
      if (outcome.isOk()) break;
      const isRejected =
        outcome.error.kind === 'row-rejection' &&
        !outcome.error.mayHaveTakenEffect;
      if (isRejected || !this.hasTimeLeft(deadlineMs)) {
        const message = `${outcome.error.message}; repeat the cancellation`;
        return err(createUnavailableError(message, true));
      }
      await clock.sleep(WRITE_RETRY_MS);
    }
    const rows = await this.getJobRows(jobId);
    if (rows.isErr()) return err(rows.error);
    // A job whose row cannot be read may have been accepted, and is cancelled.
    const isKnown = this.findJobRow(rows.value) !== undefined;
    events.addEvent('job-cancelled', {
      requestId: jobId,
      detail: isKnown ? 'accepted' : 'unknown job',
    });
    if (!isKnown) return err(createUnknownJobError(jobId));
    return ok(undefined);
  }

  /**
   * Gets the status of a job.
   * @param jobId - Identifier of the job.
   * @returns `not-found` when no such job was accepted.
   */
  async getStatus(
    jobId: string,
  ): Promise<Result<JobStatus, NotFoundError | UnavailableError>> {
    const progress = await this.options.store.getRows({
      table: PROGRESS_TABLE,
      part: COORDINATOR_PART,
      fromKey: jobId,
      toKey: `${jobId}!`,
      limit: 1,
    });
    if (progress.isErr()) return err(progress.error);
    const row = progress.value.rows.at(0);
    if (row !== undefined) {
      const progress = decodeStoredProgress(jobId, row.value);
      if (progress.isErr()) {
        this.invalidRows.report(row, progress.error);
        return err(createUnavailableError(UNREADABLE_ROW.message, false));
      }
      const {phase, failureReason} = progress.value;
      return ok({phase, failureReason});
    }
    const rows = await this.getJobRows(jobId);
    if (rows.isErr()) return err(rows.error);
    const stored = this.findJobRow(rows.value);
    if (stored === undefined) return err(createUnknownJobError(jobId));
    if (stored === 'unreadable')
      return err(createUnavailableError(UNREADABLE_ROW.message, false));
    const isCancelled = rows.value.some(isCancelRow);
    return ok({phase: isCancelled ? 'cancelled' : 'pending'});
  }

  /** Finds the row of an accepted job, or one that may be that of an accepted job. */
  private findJobRow(
    rows: readonly StoredRow[],
  ): 'accepted' | 'unreadable' | undefined {
    for (const row of rows) {
      if (isCancelRow(row)) continue;
      const stored = decodeStoredJob(row.key, row.value);
      if (stored.isErr()) {
        this.invalidRows.report(row, stored.error);
        return 'unreadable';
      }
      if (stored.value.kind === 'accepted') return 'accepted';
    }
    return undefined;
  }

  private async getJobRows(
    jobId: string,
  ): Promise<Result<readonly StoredRow[], UnavailableError>> {
    const {table, part} = getJobAddress(jobId);
    const snapshot = await this.options.store.getRows({
      table,
      part,
      fromKey: jobId,
      toKey: `${jobId}/`,
    });
    return snapshot.map(({rows}) => rows);
  }

  private createStoredJob(submission: Submission): StoredJob {
    const {spec, queue} = submission;
    const acceptedMs = this.options.clock.getWallMs();
    return {kind: 'accepted', job: {spec, queue, acceptedMs}};
  }

  private reportStored(submission: Submission): Result<void, SubmissionError> {
    const {retryAfterMs} = submission;
    if (retryAfterMs === 0) return this.reportAccepted(submission, 'stored');
    const message = `${formatRefusal(submission)}; try again later`;
    return err(this.refuse(submission, message, retryAfterMs));
  }

  private reportAccepted(
    submission: Submission,
    detail: string,
  ): Result<void, SubmissionError> {
    this.options.events.addEvent('job-accepted', {
      requestId: submission.jobId,
      detail: `${submission.queue.name} ${detail}`,
    });
    return ok(undefined);
  }

  private rejectTooLarge(
    {jobId, queue}: Submission,
    sizeBytes: number,
  ): InvalidInputError {
    const problem: FieldProblem = {
      path: 'steps',
      expected: `expected a job of at most ${this.options.store.getMaxRowBytes()} bytes as stored, got ${sizeBytes}`,
      remedy: 'use fewer steps, or shorter labels and images',
    };
    const error = createInvalidInputError('job', [problem]);
    this.recordRefusal(jobId, queue.name, error.message);
    return error;
  }

  private refuseOnStoreError(
    submission: Submission,
    error: RowCommitError,
  ): SubmissionRefusedError {
    return this.refuse(submission, error.message, STORE_RETRY_AFTER_MS);
  }

  /**
   * Records a submission that was refused without access to the store.
   * @param jobId - Identifier of the job.
   * @param queueName - Queue that the job was submitted to.
   * @param reason - Why it was refused.
   */
  recordRefusal(jobId: string, queueName: string, reason: string): void {
    this.options.events.addEvent('job-refused', {
      requestId: jobId,
      detail: `${queueName}: ${reason}`,
    });
  }

  private refuse(
    submission: Submission,
    message: string,
    retryAfterMs: number,
  ): SubmissionRefusedError {
    this.recordRefusal(submission.jobId, submission.queue.name, message);
    return {kind: 'refused', message, retryAfterMs};
  }

  private reportUncertain(
    submission: Submission,
    error: RowCommitError,
  ): UnavailableError {
    this.options.events.addEvent('job-unknown', {
      requestId: submission.jobId,
      detail: `${submission.queue.name}: ${error.message}`,
    });
    const message = `${error.message}; submit the job again with the same id`;
    return createUnavailableError(message, true);
  }

  private hasTimeLeft(deadlineMs: number): boolean {
    const nowMs = this.options.clock.getMonotonicMs();
    return nowMs + WRITE_RETRY_MS + RESPONSE_MARGIN_MS < deadlineMs;
  }
}

function getJobAddress(jobId: string): RowAddress {
  return {table: JOB_TABLE, part: getJobPart(jobId), key: jobId};
}

function isCancelRow(row: StoredRow): boolean {
  return row.key.endsWith(CANCEL_SUFFIX);
}

function createUnknownJobError(jobId: string): NotFoundError {
  return createNotFoundError(
    `no job ${jobId} was accepted; check the identifier`,
  );
}

function formatRefusal({queue, limit}: Submission): string {
  switch (limit) {
    case 'coordinator':
      return `more jobs wait in queue ${queue.name} than can be started in time`;
    case 'job-work':
      return `queue ${queue.name} cannot end a job with as much work in time`;
    default:
      return `queue ${queue.name} is full`;
  }
}
