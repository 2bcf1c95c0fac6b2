/** Queue of a holder: earliest deadline first, and immediate refusal of what cannot make it. */

import {Clock} from '@mustardlug/base/clock';
import {PriorityQueue} from '@mustardlug/base/priority_queue';

/** A queued request. */
export interface QueuedRequest {
  readonly id: string;
  /** Monotonic time by which the answer must be there. */
  readonly deadlineMs: number;
  readonly sequence: number;
}

/** Capacity that the queue waits for. */
export interface ServingRate {
  readonly slots: number;
  readonly inProgress: number;
  readonly typicalLatencyMs: number;
}

/** Decision on a new request. */
export type Admission =
  | {readonly kind: 'admitted'}
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly retryAfterMs: number;
    };

/** Latency varies; a request is admitted only if it fits this many times over. */
const SAFETY_FACTOR = 1.5;
/**
 * A longer queue would add latency without keeping the slots any busier; the
 * origin can still try another holder.
 */
const MAX_WAIT_LATENCIES = 1;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 30_000;
const NO_SLOT_RETRY_AFTER_MS = 2_000;

/** Admits requests and hands them out by deadline. */
export class AdmissionQueue<T extends QueuedRequest> {
  private readonly queue = PriorityQueue.create<T>(compareByDeadline);

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an empty queue.
   * @param clock - Clock of the holder.
   */
  static create<T extends QueuedRequest>(clock: Clock): AdmissionQueue<T> {
    return new AdmissionQueue<T>(clock);
  }

  /** Gets the number of queued requests. */
  getSize(): number {
    return this.queue.getSize();
  }

  /**
   * Decides whether a request can make its deadline.
   * @param deadlineMs - Monotonic deadline.
   * @param rate - Capacity of the holder.
   */
  getAdmission(deadlineMs: number, rate: ServingRate): Admission {
    if (rate.slots <= 0) {
      const reason = 'no upstream of the service is available here';
      return {kind: 'refused', reason, retryAfterMs: NO_SLOT_RETRY_AFTER_MS};
    }
    const ahead = this.queue.getSize() + rate.inProgress - rate.slots + 1;
    const waitMs = (Math.max(0, ahead) * rate.typicalLatencyMs) / rate.slots;
    const neededMs = (waitMs + rate.typicalLatencyMs) * SAFETY_FACTOR;
    const remainingMs = deadlineMs - this.clock.getMonotonicMs();
    if (ahead <= 0 && remainingMs > 0) return {kind: 'admitted'};
    if (neededMs > remainingMs) {
      return refuse('the queue is too long for the deadline', waitMs);
    }
    if (waitMs > MAX_WAIT_LATENCIES * rate.typicalLatencyMs) {
      return refuse('the queue is too long', waitMs);
    }
    return {kind: 'admitted'};
  }

  /**
   * Adds an admitted request.
   * @param request - Request to queue.
   */
  addRequest(request: T): void {
    this.queue.addItem(request);
  }

  /** Gets the request with the earliest deadline without removing it. */
  getFirst(): T | undefined {
    return this.queue.getFirst();
  }

  /** Removes and returns the request with the earliest deadline. */
  removeFirst(): T | undefined {
    return this.queue.removeFirst();
  }

  /**
   * Removes a request that its caller gave up.
   * @param request - Request to remove.
   */
  removeRequest(request: T): boolean {
    return this.queue.removeItem(request);
  }
}

function refuse(reason: string, waitMs: number): Admission {
  return {kind: 'refused', reason, retryAfterMs: clampRetryAfterMs(waitMs)};
}

function clampRetryAfterMs(waitMs: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}

function compareByDeadline(left: QueuedRequest, right: QueuedRequest): number {
  if (left.deadlineMs !== right.deadlineMs) {
    return left.deadlineMs - right.deadlineMs;
  }
  return left.sequence - right.sequence;
}
