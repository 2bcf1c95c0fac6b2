/** What is known of the calls to one worker: which were answered, and which were not. */

import {Clock} from '@mustardlug/base/clock';
import {EventLoopDelay} from '@mustardlug/base/event_loop_delay';
import {ResponseTimeEstimator} from '@mustardlug/base/response_time_estimator';
import {JobWorkerError} from '@mustardlug/platform/job_worker_client';
import {Result} from 'neverthrow';

/** Numbers of calls by what became of them. */
export interface CallCounts {
  readonly answered: number;
  readonly refused: number;
  /** Calls without a response, which may have been executed or may be executed later. */
  readonly unanswered: number;
}

/** Kind of a call: any live worker answers renewals, but it may answer no commands. */
export type CallKind = 'renewal' | 'command';

/** A call that was sent to the worker. */
export interface WorkerCall {
  readonly kind: CallKind;
  /** Position in the order in which calls were sent. */
  readonly number: number;
  /** Monotonic time at which the call was sent. */
  readonly sentMs: number;
  /** Time for which the worker may wait before it responds. */
  readonly waitMs: number;
  /** Whether the call counts as one without a response. */
  isOverdue: boolean;
  /** Whether the outcome of the call is known. */
  hasEnded: boolean;
}

/**
 * Response time up to which a call never counts as overdue: the time limit of a renewal
 * without congestion, as a busy process of this coordinator reads responses late.
 */
const MIN_EXPECTED_RESPONSE_MS = 500;

/** The same while calls are being lost, or after a call that is overdue. */
const MIN_LOSSY_RESPONSE_MS = 200;

/** Delay of a timer that fires after the event loop has read the responses that wait. */
const READ_DELAY_MS = 1;

/** Weight of a renewal in the share of renewals without a response. */
const SHARE_WEIGHT = 1 / 8;

/** Share of renewals without a response from which on calls count as being lost. */
const LOSSY_SHARE = 0.2;

/** Number of overdue calls since the last response from which on the worker counts as stopped. */
const MAX_OVERDUE_CALLS = 2;

/** The same for a worker whose calls were being lost before. */
const MAX_LOSSY_OVERDUE_CALLS = 5;

/**
 * Tracks the calls to one worker. A call without a response tells less than one that
 * was refused: neither that it was not executed, nor that the worker has failed.
 */
export class CallHistory {
  private callCount = 0;
  private counts: CallCounts = createCounts();
  private lastAnswerMs = -Infinity;
  private overdueCount = 0;
  private unansweredShare = 0;
  /** The share at the last response, which a silence of the worker does not change. */
  private shareBeforeSilence = 0;
  private readonly responseTimes = ResponseTimeEstimator.create();

  private constructor(
    private readonly clock: Clock,
    private readonly eventLoopDelay: EventLoopDelay,
  ) {}

  /**
   * Creates a history without calls.
   * @param clock - Clock of the calls.
   * @param eventLoopDelay - Delay with which this process notices responses.
   */
  static create(
    clock: Clock,
    eventLoopDelay = EventLoopDelay.create(clock),
  ): CallHistory {
    return new CallHistory(clock, eventLoopDelay);
  }

  /**
   * Records that a call is sent.
   * @param kind - Kind of the call.
   * @param waitMs - Time for which the worker may wait before it responds.
   */
  addCall(kind: CallKind, waitMs = 0): WorkerCall {
    const sentMs = this.clock.getMonotonicMs();
    const number = ++this.callCount;
    return {kind, number, sentMs, waitMs, isOverdue: false, hasEnded: false};
  }

  /**
   * Records what became of a call.
   * @param call - Call that was answered or has timed out.
   * @param outcome - Its outcome.
   */
  recordOutcome(
    call: WorkerCall,
    outcome: Result<unknown, JobWorkerError>,
  ): void {
    const {answered, refused, unanswered} = this.counts;
    call.hasEnded = true;
    if (outcome.isOk()) {
      this.recordAnswer(call);
      this.counts = {answered: answered + 1, refused, unanswered};
    } else if (outcome.error.kind === 'worker-refusal') {
      this.recordAnswer(call);
      this.counts = {answered, refused: refused + 1, unanswered};
    } else {
      this.countOverdue(call);
      this.updateShare(call, 1);
      this.counts = {answered, refused, unanswered: unanswered + 1};
    }
  }

  /**
   * Records that a call has not been answered in the usual time. It still may be. If
   * this process has been busy meanwhile, the responses that wait are read first.
   * @param call - Call without a response.
   */
  recordOverdue(call: WorkerCall): void {
    if (this.eventLoopDelay.getUnobservedMs(call.sentMs) === 0) {
      this.countOverdue(call);
      return;
    }
    this.clock.setTimer(READ_DELAY_MS, () => {
      if (!call.hasEnded) this.countOverdue(call);
    });
  }

  /** Gets the number of calls sent since the last response that were not answered in the usual time. */
  getOverdueCount(): number {
    return this.overdueCount;
  }

  /** Gets the time, besides the wait, within which nearly all responses were read so far. */
  getUsualResponseMs(): number {
    return this.responseTimes.getLimitMs(0);
  }

  /** Gets the time, besides the wait, after which a call without a response is overdue. */
  getExpectedResponseMs(): number {
    const isSuspicious = this.isLossy() || this.overdueCount > 0;
    return this.responseTimes.getLimitMs(
      isSuspicious ? MIN_LOSSY_RESPONSE_MS : MIN_EXPECTED_RESPONSE_MS,
    );
  }

  /** Checks whether several renewals before the last response got none. */
  isLossy(): boolean {
    return this.shareBeforeSilence > LOSSY_SHARE;
  }

  /** Checks whether so many calls in a row are overdue that the worker is likely to have stopped. */
  hasStopped(): boolean {
    const limit = this.isLossy() ? MAX_LOSSY_OVERDUE_CALLS : MAX_OVERDUE_CALLS;
    return this.overdueCount >= limit;
  }

  /** Gets the number of the call that was sent last. */
  getLastCallNumber(): number {
    return this.callCount;
  }

  /** Gets the numbers of calls since the previous request for them. */
  takeCounts(): CallCounts {
    const {counts} = this;
    this.counts = createCounts();
    return counts;
  }

  private countOverdue(call: WorkerCall): void {
    if (call.isOverdue) return;
    call.isOverdue = true;
    if (call.sentMs >= this.lastAnswerMs) this.overdueCount++;
  }

  private recordAnswer(call: WorkerCall): void {
    const {sentMs, waitMs} = call;
    this.lastAnswerMs = this.clock.getMonotonicMs();
    this.overdueCount = 0;
    this.updateShare(call, 0);
    this.shareBeforeSilence = this.unansweredShare;
    const observedMs = this.eventLoopDelay.getObservedMs();
    const responseMs = observedMs - sentMs - waitMs;
    // The worker may have used any part of the wait.
    if (responseMs >= 0) this.responseTimes.record(responseMs);
  }

  private updateShare({kind}: WorkerCall, unanswered: 0 | 1): void {
    if (kind === 'renewal')
      this.unansweredShare +=
        (unanswered - this.unansweredShare) * SHARE_WEIGHT;
  }
}

function createCounts(): CallCounts {
  return {answered: 0, refused: 0, unanswered: 0};
}
