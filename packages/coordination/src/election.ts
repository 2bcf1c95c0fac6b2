/** Decides when this node takes the coordinator role, from the coordinator status alone. */

import {CoordinatorStatus} from './coordinator_status.js';

/** Age of the coordinator status beyond which its holder counts as lost. */
const STATUS_TIMEOUT_MS = 1_200;

/**
 * Multiple of the holder's longest recent interval between two statuses beyond
 * which it counts as lost, as a busy holder writes its status less often.
 */
const STATUS_INTERVAL_FACTOR = 3;

/** Upper limit for the effect of the holder's interval on the timeout. */
const MAX_STATUS_TIMEOUT_MS = 4_000;

/** Maximum time between two responses of the store that counts as observed. */
const MAX_RESPONSE_GAP_MS = 600;

/**
 * Factor by which the round trip to the store delays a takeover, so that nodes
 * close to the store go first.
 */
const ROUND_TRIP_FACTOR = 8;

/** Observes the coordinator status and determines whether its holder is lost. */
export class Election {
  private status: CoordinatorStatus | undefined;
  private hasReadStatus = false;
  private isStatusUnreadable = false;
  private hadStoreOutage = false;
  /** Time of the store at its first response after the outage. */
  private regainedStoreMs: number | undefined;
  private lastResponseMs: number | undefined;
  /** Time for which the status was observed unchanged while the store responded. */
  private observedUnchangedMs = 0;
  private roundTripMs = 0;

  private constructor() {}

  /** Creates an election that has not read the coordinator status yet. */
  static create(): Election {
    return new Election();
  }

  /** Gets the last coordinator status that was read. */
  getStatus(): CoordinatorStatus | undefined {
    return this.status;
  }

  /**
   * Records the duration of a call to the store.
   * @param durationMs - Round trip in milliseconds.
   */
  recordRoundTrip(durationMs: number): void {
    this.roundTripMs =
      this.roundTripMs === 0
        ? durationMs
        : Math.min(this.roundTripMs, durationMs);
  }

  /**
   * Records the coordinator status as the store returned it.
   * @param status - Coordinator status, or `undefined` if none exists.
   */
  recordStatus(status: CoordinatorStatus | undefined): void {
    this.status = status;
    this.isStatusUnreadable = false;
    this.hasReadStatus = true;
    this.observedUnchangedMs = 0;
    const {regainedStoreMs = Infinity} = this;
    if (status !== undefined && status.writtenStoreMs > regainedStoreMs)
      this.hadStoreOutage = false;
  }

  /**
   * Records that the status row cannot be read. Its holder ends its term when it
   * finds the row replaced; it counts as lost after the longest timeout.
   */
  recordUnreadableStatus(): void {
    this.isStatusUnreadable = true;
    this.hasReadStatus = true;
    this.observedUnchangedMs = 0;
  }

  /**
   * Checks whether the status has been observed unchanged for so long that the
   * status of a newer term would have been received.
   */
  isStatusSettled(): boolean {
    return this.observedUnchangedMs > MAX_STATUS_TIMEOUT_MS;
  }

  /**
   * Records a response of the store.
   * @param nowMs - Monotonic time of the response.
   * @param storeMs - Time of the store in the response.
   */
  recordStoreResponse(nowMs: number, storeMs: number): void {
    this.regainedStoreMs ??= storeMs;
    if (this.lastResponseMs !== undefined) {
      this.observedUnchangedMs += Math.min(
        nowMs - this.lastResponseMs,
        MAX_RESPONSE_GAP_MS,
      );
    }
    this.lastResponseMs = nowMs;
  }

  /** Records that the store did not respond. The holder may be unable to reach it as well. */
  recordStoreOutage(): void {
    this.hadStoreOutage = true;
    this.regainedStoreMs = undefined;
    this.observedUnchangedMs = 0;
    this.lastResponseMs = undefined;
  }

  /**
   * Describes the status that a takeover is based on, for the log.
   * @param storeMs - Time of the store at its last response.
   */
  formatStatus(storeMs: number): string {
    if (this.status === undefined) return 'no status';
    const {term, holder, writtenStoreMs, intervalMs = 0} = this.status;
    const ageMs = Math.round(storeMs - writtenStoreMs);
    const timeoutMs = Math.round(this.getTimeoutMs(this.status));
    return `term ${term}, holder "${holder}", status ${ageMs} ms old, time limit ${timeoutMs} ms, heartbeats every ${intervalMs} ms at most`;
  }

  /**
   * Gets the time until a takeover will be due if the holder does not write its
   * status again; undefined if it is not known.
   * @param storeMs - Time of the store at its last response.
   */
  getTimeUntilDueMs(storeMs: number): number | undefined {
    if (this.status === undefined || this.status.holder === '')
      return undefined;
    const timeoutMs = this.getTimeoutMs(this.status);
    const ageMs = storeMs - this.status.writtenStoreMs;
    const observedMs = this.hadStoreOutage
      ? this.observedUnchangedMs
      : Infinity;
    return Math.max(0, timeoutMs - ageMs, timeoutMs - observedMs);
  }

  /** Checks whether the holder has not written its status since an outage of the store. */
  isAwaitingHolder(): boolean {
    return this.hadStoreOutage;
  }

  /**
   * Checks whether this node should try to take over now.
   * @param storeMs - Time of the store at its last response.
   */
  isTakeoverDue(storeMs: number): boolean {
    if (!this.hasReadStatus) return false;
    if (this.isStatusUnreadable) return this.isStatusSettled();
    if (this.status === undefined) return true;
    if (this.status.holder === '') return true;
    const timeoutMs = this.getTimeoutMs(this.status);
    if (storeMs - this.status.writtenStoreMs <= timeoutMs) return false;
    // After an outage of the store, the holder needs time to write its status again for the first time.
    return !this.hadStoreOutage || this.observedUnchangedMs > timeoutMs;
  }

  private getTimeoutMs(status: CoordinatorStatus): number {
    return getStatusTimeoutMs(status) + ROUND_TRIP_FACTOR * this.roundTripMs;
  }
}

function getStatusTimeoutMs({intervalMs = 0}: CoordinatorStatus): number {
  const observedMs = intervalMs * STATUS_INTERVAL_FACTOR;
  return Math.max(
    STATUS_TIMEOUT_MS,
    Math.min(observedMs, MAX_STATUS_TIMEOUT_MS),
  );
}
