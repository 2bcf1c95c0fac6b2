/**
 * Acquires, renews and hands over worker leases.
 *
 * Each worker grants its own lease. A process requests the leases for which
 * rendezvous hashing ranks it first immediately, and polls all others at a low
 * rate, so that it takes over from a failed holder without coordination between
 * the holders.
 */

import {Clock, Timer} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {
  LeaseScope,
  WorkerAddress,
  WorkerClient,
  WorkerStatus,
} from '@mustardlug/platform/worker_client';
import {WorkerLease} from './worker_lease.js';
import {getBalancedPreferenceOrders} from './rendezvous.js';

/** Lease intervals, in milliseconds. */
export interface LeaseTiming {
  readonly ttlMs: number;
  readonly renewMs: number;
  /** Mean interval at which the first successor requests a lease that another process holds. */
  readonly pollMs: number;
}

/** Default timing: the lease of a failed holder is taken over within `ttlMs + pollMs`. */
export const DEFAULT_LEASE_TIMING: LeaseTiming = {
  ttlMs: 4_000,
  renewMs: 1_300,
  pollMs: 2_600,
};

/** Receives changes of the leases that this process holds. */
export interface LeaseListener {
  /** A lease was granted. */
  onAcquired(lease: WorkerLease): void;
  /** A lease was renewed, with a new status of the worker. */
  onRenewed(lease: WorkerLease): void;
  /**
   * A lease expired, its renewal was refused, or it is about to be released.
   * `isUnanswered` tells whether the worker left the last call without a response; a lease
   * that expired while this process was paused is no sign of that.
   */
  onLost(lease: WorkerLease, reason: string, isUnanswered: boolean): void;
  /** A lease was released for a preferred process, which can request it immediately. */
  onHandedOver?(workerId: string, holderId: string): void;
}

export interface LeaseManagerOptions {
  readonly scope: LeaseScope;
  readonly holderId: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly client: WorkerClient;
  readonly timing: LeaseTiming;
  readonly listener: LeaseListener;
  /** Whether the next renewal should request the resource usage of the worker. */
  readonly shouldRequestUsage?: (workerId: string) => boolean;
}

interface TrackedWorker {
  readonly address: WorkerAddress;
  lease: WorkerLease | undefined;
  timer: Timer | undefined;
  isRemoved: boolean;
  /** Whether a call to the worker is in progress; the next call is scheduled when it ends. */
  isCallInProgress: boolean;
  /** Whether the last renewal got no response. */
  isUnanswered: boolean;
}

/** Minimum time for which a lease is held before it is handed over to a preferred process. */
const MIN_HOLD_BEFORE_HANDOVER_MS = 10_000;

/**
 * Delay before a renewal without a response is repeated. The worker may be sound, and
 * the lease outlasts one call that takes its whole time limit, but not a pause as well.
 */
const RENEWAL_RETRY_MS = 200;

const FIRST_SUCCESSOR_RANK = 1;
/** Processes ranked below the first successor poll less often by this factor. */
const LOW_RANK_POLL_FACTOR = 3;
/**
 * Shortens the rank-dependent initial delay for released leases; the preferred
 * process still comes first.
 */
const RELEASED_LEASE_DELAY_DIVISOR = 10;

/** Manages the leases of all workers of a failure domain for one process. */
export class LeaseManager {
  private readonly workers = new Map<string, TrackedWorker>();
  private candidates: readonly string[] = [];
  private preferences: ReadonlyMap<string, readonly string[]> = new Map();
  private isStopping = false;

  private constructor(private readonly options: LeaseManagerOptions) {}

  /** Creates a manager without workers. */
  static create(options: LeaseManagerOptions): LeaseManager {
    return new LeaseManager(options);
  }

  /**
   * Sets the processes that are candidates for leases in this failure domain.
   * @param holderIds - Ids of live processes, this one included.
   */
  setCandidates(holderIds: readonly string[]): void {
    this.candidates = holderIds;
    this.updatePreferences();
  }

  /**
   * Sets the workers of this failure domain; a changed address counts as a new worker.
   * @param addresses - Addresses of all workers in the VM list.
   */
  setWorkers(addresses: readonly WorkerAddress[]): void {
    const listed = new Map(
      addresses.map(address => [address.workerId, address]),
    );
    for (const [workerId, tracked] of this.workers) {
      const address = listed.get(workerId);
      const isSameAddress =
        address?.host === tracked.address.host &&
        address.port === tracked.address.port;
      if (!isSameAddress) this.removeWorker(workerId, tracked);
    }
    this.updatePreferences([...listed.keys()]);
    for (const address of addresses) {
      if (!this.workers.has(address.workerId)) this.addWorker(address);
    }
  }

  getValidLeases(): WorkerLease[] {
    const leases: WorkerLease[] = [];
    for (const {lease} of this.workers.values()) {
      if (lease?.isValid()) leases.push(lease);
    }
    return leases;
  }

  /**
   * Gets the lease of a worker; `undefined` if none is valid.
   * @param workerId - Id of the worker.
   */
  getLease(workerId: string): WorkerLease | undefined {
    const lease = this.workers.get(workerId)?.lease;
    return lease?.isValid() ? lease : undefined;
  }

  /**
   * Requests leases that another process released, without waiting for the next poll.
   * @param workerIds - Ids of the workers.
   */
  pollNow(workerIds: readonly string[]): void {
    for (const workerId of workerIds) {
      const tracked = this.workers.get(workerId);
      if (tracked === undefined || tracked.lease !== undefined) continue;
      this.schedule(
        tracked,
        this.getInitialDelayMs(workerId) / RELEASED_LEASE_DELAY_DIVISOR,
      );
    }
  }

  /**
   * Schedules an early renewal of a held lease, to obtain the worker's status.
   * @param workerId - Id of the worker.
   * @param delayMs - Delay before the renewal.
   */
  renewSoon(workerId: string, delayMs: number): void {
    const tracked = this.workers.get(workerId);
    if (tracked?.lease === undefined) return;
    this.schedule(tracked, delayMs);
  }

  /**
   * Releases all leases and stops requesting new ones.
   * @returns Ids of the workers whose leases were released.
   */
  async releaseAll(): Promise<string[]> {
    this.isStopping = true;
    const workerIds: string[] = [];
    const releases: Array<Promise<void>> = [];
    for (const tracked of this.workers.values()) {
      tracked.timer?.cancel();
      if (tracked.lease !== undefined) {
        workerIds.push(tracked.address.workerId);
        releases.push(this.release(tracked, tracked.lease, 'planned stop'));
      }
    }
    await Promise.all(releases);
    return workerIds;
  }

  private addWorker(address: WorkerAddress): void {
    const tracked: TrackedWorker = {
      address,
      lease: undefined,
      timer: undefined,
      isRemoved: false,
      isCallInProgress: false,
      isUnanswered: false,
    };
    this.workers.set(address.workerId, tracked);
    this.schedule(tracked, this.getInitialDelayMs(address.workerId));
  }

  private removeWorker(workerId: string, tracked: TrackedWorker): void {
    tracked.isRemoved = true;
    tracked.timer?.cancel();
    this.dropLease(tracked, 'the platform no longer lists the worker');
    this.workers.delete(workerId);
  }

  /** Staggers the first requests of the processes in the preference order of the worker. */
  private getInitialDelayMs(workerId: string): number {
    const rank = this.getRank(workerId, this.options.holderId);
    const {renewMs, pollMs} = this.options.timing;
    return Math.min(rank * renewMs, pollMs);
  }

  private getRank(workerId: string, holderId: string): number {
    const rank = this.preferences.get(workerId)?.indexOf(holderId) ?? -1;
    return rank < 0 ? this.candidates.length : rank;
  }

  private updatePreferences(
    workerIds: readonly string[] = [...this.workers.keys()],
  ): void {
    this.preferences = getBalancedPreferenceOrders(workerIds, this.candidates);
  }

  private schedule(tracked: TrackedWorker, delayMs: number): void {
    if (this.isStopping || tracked.isRemoved || tracked.isCallInProgress)
      return;
    tracked.timer?.cancel();
    tracked.timer = this.options.clock.setTimer(delayMs, () => {
      void this.acquireOrRenewAndSchedule(tracked);
    });
  }

  private async acquireOrRenewAndSchedule(
    tracked: TrackedWorker,
  ): Promise<void> {
    tracked.isCallInProgress = true;
    const isAnswered = await this.acquireOrRenew(tracked);
    tracked.isCallInProgress = false;
    this.schedule(tracked, this.getNextDelayMs(tracked, isAnswered));
  }

  private getNextDelayMs(tracked: TrackedWorker, isAnswered: boolean): number {
    if (tracked.lease === undefined) return this.getPollDelayMs(tracked);
    return isAnswered ? this.options.timing.renewMs : RENEWAL_RETRY_MS;
  }

  /** Returns whether the worker responded. */
  private async acquireOrRenew(tracked: TrackedWorker): Promise<boolean> {
    if (tracked.lease !== undefined && !tracked.lease.isValid()) {
      this.dropLease(tracked, 'the lease expired before it was renewed');
    }
    if (tracked.lease !== undefined) return this.renew(tracked, tracked.lease);
    await this.acquire(tracked);
    return true;
  }

  /**
   * Processes ranked below the first successor poll less often, as they are
   * needed only if it has failed, too.
   */
  private getPollDelayMs(tracked: TrackedWorker): number {
    const {random, timing, holderId} = this.options;
    const rank = this.getRank(tracked.address.workerId, holderId);
    const factor = rank <= FIRST_SUCCESSOR_RANK ? 1 : LOW_RANK_POLL_FACTOR;
    return factor * timing.pollMs * (0.75 + random.getFloat() / 2);
  }

  private async acquire(tracked: TrackedWorker): Promise<void> {
    const {clock, client, scope, holderId, timing} = this.options;
    const sentAtMs = clock.getMonotonicMs();
    const granted = await client.requestLease(tracked.address, {
      scope,
      holderId,
      ttlMs: timing.ttlMs,
    });
    if (granted.isErr() || this.isObsolete(tracked)) return;
    const lease = WorkerLease.create(tracked.address, clock, granted.value);
    if (granted.value.workerId !== tracked.address.workerId) {
      await this.release(tracked, lease, 'another worker has its address');
      return;
    }
    lease.extend(sentAtMs, timing.ttlMs, granted.value);
    tracked.lease = lease;
    this.options.listener.onAcquired(lease);
  }

  /** Returns whether the worker responded. */
  private async renew(
    tracked: TrackedWorker,
    lease: WorkerLease,
  ): Promise<boolean> {
    const {clock, client, scope, holderId, timing} = this.options;
    const sentAtMs = clock.getMonotonicMs();
    const renewed = await client.requestLease(tracked.address, {
      scope,
      holderId,
      ttlMs: timing.ttlMs,
      ...lease.getToken(),
      knownReport: lease.getStatus().reportNumber,
      withUsage:
        this.options.shouldRequestUsage?.(lease.address.workerId) ?? false,
    });
    if (this.isObsolete(tracked)) return true;
    const isRefused = renewed.isErr() && renewed.error.kind === 'refused';
    tracked.isUnanswered = renewed.isErr() && !isRefused;
    if (renewed.isOk()) {
      if (renewed.value.bootId !== lease.getToken().bootId) {
        // An agent of an earlier version compares only the epoch.
        this.dropLease(tracked, 'the worker was restarted');
        return true;
      }
      lease.extend(sentAtMs, timing.ttlMs, renewed.value);
      this.options.listener.onRenewed(lease);
      await this.handOverIfPreferred(tracked, lease, renewed.value);
      return true;
    }
    if (isRefused || !lease.isValid()) {
      this.dropLease(tracked, renewed.error.message);
    }
    return isRefused;
  }

  private isObsolete(tracked: TrackedWorker): boolean {
    return this.isStopping || tracked.isRemoved;
  }

  private async handOverIfPreferred(
    tracked: TrackedWorker,
    lease: WorkerLease,
    status: WorkerStatus,
  ): Promise<void> {
    if (status.wantedBy === undefined) return;
    const heldMs = this.options.clock.getMonotonicMs() - lease.grantedAtMs;
    if (heldMs < MIN_HOLD_BEFORE_HANDOVER_MS) return;
    const ownRank = this.getRank(status.workerId, this.options.holderId);
    const otherRank = this.getRank(status.workerId, status.wantedBy);
    if (otherRank >= ownRank) return;
    const {workerId, wantedBy} = status;
    await this.release(tracked, lease, `handed over to ${wantedBy}`);
    this.options.listener.onHandedOver?.(workerId, wantedBy);
  }

  private async release(
    tracked: TrackedWorker,
    lease: WorkerLease,
    reason: string,
  ): Promise<void> {
    this.dropLease(tracked, reason);
    await this.options.client.releaseLease(tracked.address, {
      scope: this.options.scope,
      holderId: this.options.holderId,
      ...lease.getToken(),
    });
  }

  private dropLease(tracked: TrackedWorker, reason: string): void {
    const lease = tracked.lease;
    if (lease === undefined) return;
    tracked.lease = undefined;
    lease.invalidate();
    const {isUnanswered} = tracked;
    tracked.isUnanswered = false;
    this.options.listener.onLost(lease, reason, isUnanswered);
  }
}
