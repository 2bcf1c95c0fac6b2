/**
 * The time by which the leases of a term have expired, as its status declares it, so
 * that a successor does not have to count from its own election.
 *
 * The declaration is a promise: no lease of this term or of an earlier one lasts
 * longer, unless a later status is stored.
 */

import {Clock} from '@mustardlug/base/clock';
import {CommitLog} from './commit_log.js';
import {MAX_LEASE_VALIDITY_MS} from './worker_session.js';

/**
 * Time from the creation of a status until the leases end that it permits. Covers an
 * outage of the store of 6 s. Interrupted long-running tasks have to run again 9 s
 * after their loss, of which 1.5 s pass until the silence of a worker is stored.
 */
const LEASE_LIMIT_MS = 7_000;

/**
 * Time from the takeover until the leases of a predecessor have expired that declared
 * nothing, such as one of an earlier build: 5.5 s without the store, then its leases.
 */
export const UNDECLARED_LEASE_MS = 10_950;

/** Limits the leases of a term by its last confirmed status, and knows the end of earlier ones. */
export class LeaseLimit {
  /** Monotonic time at which the last confirmed status was created. */
  private confirmedMs = -Infinity;
  /** Latest end of the leases of earlier terms, whatever was declared; undefined until the term has begun. */
  private latestPreviousEndMs: number | undefined;
  /** Time of the store by which all leases of earlier terms have expired, if it is known. */
  private previousEndStoreMs: number | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly commitLog: CommitLog,
    private readonly onExtended: () => void,
  ) {
    this.previousEndStoreMs = commitLog.getPreviousLeaseEndStoreMs();
  }

  /**
   * Creates the limit of a term, which permits no lease before a status is confirmed.
   * @param clock - Clock of this node.
   * @param commitLog - Log of the term, which knows the time of the store.
   * @param onExtended - Called when full leases can be granted again.
   */
  static create(
    clock: Clock,
    commitLog: CommitLog,
    onExtended: () => void = () => undefined,
  ): LeaseLimit {
    return new LeaseLimit(clock, commitLog, onExtended);
  }

  /** Records that the term has begun, so that earlier coordinators cannot confirm a status any more. */
  begin(): void {
    this.latestPreviousEndMs =
      this.clock.getMonotonicMs() + UNDECLARED_LEASE_MS;
    const storeMs = this.commitLog.getMaxStoreMs();
    if (storeMs === undefined) return;
    this.previousEndStoreMs = Math.min(
      this.previousEndStoreMs ?? Infinity,
      Math.ceil(storeMs + UNDECLARED_LEASE_MS),
    );
  }

  /**
   * Gets what a status that is created now has to declare: the time of the store by which
   * all leases have expired. It is undefined while the end of earlier ones is not known.
   */
  getDeclaration(): number | undefined {
    const storeMs = this.commitLog.getMaxStoreMs();
    if (storeMs === undefined || this.previousEndStoreMs === undefined)
      return undefined;
    const endStoreMs = Math.ceil(storeMs + LEASE_LIMIT_MS);
    return Math.max(endStoreMs, this.previousEndStoreMs);
  }

  /**
   * Records that a status was stored.
   * @param createdMs - Monotonic time at which it was created.
   */
  confirm(createdMs: number): void {
    const wasLimited = this.isLimited();
    this.confirmedMs = Math.max(this.confirmedMs, createdMs);
    if (wasLimited && !this.isLimited()) this.onExtended();
  }

  private isLimited(): boolean {
    const remainingMs = this.getEndMs() - this.clock.getMonotonicMs();
    return remainingMs < MAX_LEASE_VALIDITY_MS;
  }

  /** Gets the monotonic time by which all leases of this term must have expired. */
  getEndMs(): number {
    return this.confirmedMs + LEASE_LIMIT_MS;
  }

  /**
   * Gets the time of the store by which a worker's leases have expired if that may be
   * later than declared, so that it has to be stored with the runs there.
   * @param leaseEndMs - Monotonic time by which they have expired.
   */
  getLongLeaseEndStoreMs(leaseEndMs: number): number | undefined {
    const storeMs = this.commitLog.getMaxStoreMs();
    if (leaseEndMs <= this.getEndMs() || storeMs === undefined)
      return undefined;
    return Math.ceil(storeMs + leaseEndMs - this.clock.getMonotonicMs());
  }

  /**
   * Gets the monotonic time by which the leases of earlier terms have expired.
   * @param storeMs - The same as a time of the store, if it is known; by default what
   *     was declared for all workers.
   */
  getPreviousEndMs(storeMs = this.previousEndStoreMs): number {
    const latestMs = this.getLatestPreviousEndMs();
    if (storeMs === undefined) return latestMs;
    const remainingMs = storeMs - this.commitLog.getStoreMs();
    return Math.min(latestMs, this.clock.getMonotonicMs() + remainingMs);
  }

  /** Gets the monotonic time by which the leases of earlier terms have expired that none of them declared. */
  getLatestPreviousEndMs(): number {
    return this.latestPreviousEndMs ?? Infinity;
  }
}
