/**
 * Queue with admission control, ordered by what a delay costs the sender.
 *
 * Load pattern: requests arrive faster than slots become free, and latencies rise meanwhile, so that
 * some that were admitted can no longer be answered in time. Served by deadline alone, these
 * come first and make the next ones late as well.
 */

import {Clock} from '@mustardlug/base/clock';
import {
  getDeadlineStatus,
  isRefusalCheaper,
  Outlook,
} from '@mustardlug/base/delay_cost';
import {PriorityQueue} from '@mustardlug/base/priority_queue';

export interface QueuedRequest {
  readonly id: string;
  /** Monotonic time by which the response is needed. */
  readonly deadlineMs: number;
  /** Order of arrival; breaks ties between equal deadlines. */
  readonly sequence: number;
}

/** Capacity that serves the queue. */
export interface ServingCapacity {
  readonly slots: number;
  readonly inProgress: number;
  readonly typicalLatencyMs: number;
}

/** Admission decision on a new request. */
export type Admission =
  | {readonly kind: 'admitted'}
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly retryAfterMs: number;
    };

/** The remaining time must exceed the estimated time by this factor, because latencies vary. */
const SAFETY_FACTOR = 1.5;
/**
 * Longest estimated wait, as a multiple of the typical latency. A longer queue
 * would add latency without raising slot utilization, and the sender of a
 * refused request can still try another holder.
 */
const MAX_WAIT_LATENCY_MULTIPLE = 1;

/**
 * Part of the typical latency within which a request may still be answered, as latencies vary. With
 * less time left it counts as expired.
 */
const MIN_LATENCY_FRACTION = 0.5;

const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 30_000;
const NO_SLOT_RETRY_AFTER_MS = 2_000;

/**
 * Decides on admission and orders admitted requests: by deadline, as all requests of a service have
 * the same priority and need as much work, and those that have expired last.
 */
export class AdmissionQueue<T extends QueuedRequest> {
  private readonly queue = PriorityQueue.create<T>(compareByDeadline);
  /** Requests that can hardly be answered in time any more. */
  private readonly expired = PriorityQueue.create<T>(compareByDeadline);

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an empty queue.
   * @param clock - Clock of this process.
   */
  static create<T extends QueuedRequest>(clock: Clock): AdmissionQueue<T> {
    return new AdmissionQueue<T>(clock);
  }

  getSize(): number {
    return this.queue.getSize() + this.expired.getSize();
  }

  /**
   * Decides whether to admit a request, from the estimated wait and its deadline.
   * @param deadlineMs - Monotonic deadline of the request.
   * @param capacity - Capacity of the holder.
   */
  getAdmission(deadlineMs: number, capacity: ServingCapacity): Admission {
    if (capacity.slots <= 0) {
      const reason = 'no upstream of the service is available on this node';
      return {kind: 'refused', reason, retryAfterMs: NO_SLOT_RETRY_AFTER_MS};
    }
    const requestsAhead =
      this.getSize() + capacity.inProgress - capacity.slots + 1;
    const waitMs =
      (Math.max(0, requestsAhead) * capacity.typicalLatencyMs) / capacity.slots;
    const remainingMs = deadlineMs - this.clock.getMonotonicMs();
    if (requestsAhead <= 0 && remainingMs > 0) return {kind: 'admitted'};
    const outlook = createOutlook(
      remainingMs / SAFETY_FACTOR - capacity.typicalLatencyMs,
    );
    if (isRefusalCheaper(outlook, waitMs)) {
      return refuse(
        'the estimated response time exceeds the remaining time',
        waitMs,
      );
    }
    if (waitMs > MAX_WAIT_LATENCY_MULTIPLE * capacity.typicalLatencyMs) {
      return refuse('the estimated queueing time is too long', waitMs);
    }
    return {kind: 'admitted'};
  }

  /**
   * Enqueues an admitted request.
   * @param request - Request to queue.
   */
  addRequest(request: T): void {
    this.queue.addItem(request);
  }

  /**
   * Gets the request that is served next, without removing it.
   * @param typicalLatencyMs - Typical latency of the service.
   */
  getFirst(typicalLatencyMs = 0): T | undefined {
    this.separateExpired(typicalLatencyMs);
    return this.queue.getFirst() ?? this.expired.getFirst();
  }

  /**
   * Removes and returns the request that is served next.
   * @param typicalLatencyMs - Typical latency of the service.
   */
  removeFirst(typicalLatencyMs = 0): T | undefined {
    this.separateExpired(typicalLatencyMs);
    return this.queue.removeFirst() ?? this.expired.removeFirst();
  }

  /**
   * Removes a queued request.
   * @param request - Request to remove.
   * @returns False if the request is not queued.
   */
  removeRequest(request: T): boolean {
    return this.queue.removeItem(request) || this.expired.removeItem(request);
  }

  /** Moves the requests that have expired out of the way of the others. */
  private separateExpired(typicalLatencyMs: number): void {
    const neededMs =
      this.clock.getMonotonicMs() + typicalLatencyMs * MIN_LATENCY_FRACTION;
    for (;;) {
      const first = this.queue.getFirst();
      if (first === undefined) return;
      const outlook = createOutlook(first.deadlineMs - neededMs);
      if (getDeadlineStatus(outlook) !== 'expired') return;
      this.queue.removeFirst();
      this.expired.addItem(first);
    }
  }
}

/** Requests have a single deadline, after which a response is of no use. */
function createOutlook(slackMs: number): Outlook {
  return {priority: 0, slackMs, lateSlackMs: slackMs, remainingWork: 1};
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
