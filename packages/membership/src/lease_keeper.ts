/**
 * Acquires, renews and hands over worker leases.
 *
 * The worker alone decides who holds its lease. A process asks for the leases
 * that rendezvous hashing gives it at once, and for all others rarely, so that
 * it succeeds a dead holder without any exchange between holders.
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
import {getBalancedOrders} from './rendezvous.js';

/** Timing of leases, in milliseconds. */
export interface LeaseTiming {
  readonly ttlMs: number;
  readonly renewMs: number;
  /** Interval at which a process asks for leases that others hold. */
  readonly pollMs: number;
}

/** Default timing: a dead holder is succeeded within `ttlMs + pollMs`. */
export const DEFAULT_LEASE_TIMING: LeaseTiming = {
  ttlMs: 4_000,
  renewMs: 1_300,
  pollMs: 2_600,
};

/** Receives changes of the held leases. */
export interface LeaseListener {
  /** A lease was granted. */
  onAcquired(lease: WorkerLease): void;
  /** A renewal brought a new state of the worker. */
  onRenewed(lease: WorkerLease): void;
  /** A lease lapsed, was refused, or is about to be handed over. */
  onLost(lease: WorkerLease, reason: string): void;
  /** A lease was handed back for another process, which may ask for it at once. */
  onHandedOver?(workerId: string, holderId: string): void;
}

/** Options of a lease keeper. */
export interface LeaseKeeperOptions {
  readonly scope: LeaseScope;
  readonly holderId: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly client: WorkerClient;
  readonly timing: LeaseTiming;
  readonly listener: LeaseListener;
  /** Whether the next renewal of a worker should bring its usage. */
  readonly isUsageWanted?: (workerId: string) => boolean;
}

interface TrackedWorker {
  readonly address: WorkerAddress;
  lease: WorkerLease | undefined;
  timer: Timer | undefined;
  isRemoved: boolean;
  /** A call to the worker is under way; it schedules the next one itself. */
  isVisiting: boolean;
}

/** Holders that keep a lease this long before they hand it to a preferred one. */
const MIN_HOLD_MS = 10_000;
const FIRST_SUCCESSOR_RANK = 1;
const DISTANT_POLL_FACTOR = 3;
/** Lower-ranked processes wait a little, so that the preferred one comes first. */
const POLL_NOW_DIVISOR = 10;

/** Keeps the leases of all workers of the failure domain. */
export class LeaseKeeper {
  private readonly workers = new Map<string, TrackedWorker>();
  private candidates: readonly string[] = [];
  private preferences: ReadonlyMap<string, readonly string[]> = new Map();
  private isStopping = false;

  private constructor(private readonly options: LeaseKeeperOptions) {}

  /**
   * Creates a keeper without workers.
   * @param options - Scope, holder, timing and listener.
   */
  static create(options: LeaseKeeperOptions): LeaseKeeper {
    return new LeaseKeeper(options);
  }

  /**
   * Sets the processes that may hold leases in this failure domain.
   * @param holderIds - Ids of live processes, this one included.
   */
  setCandidates(holderIds: readonly string[]): void {
    this.candidates = holderIds;
    this.updatePreferences();
  }

  /**
   * Sets the workers of this failure domain.
   * @param addresses - Addresses of all workers on the VM list.
   */
  setWorkers(addresses: readonly WorkerAddress[]): void {
    const wanted = new Map(
      addresses.map(address => [address.workerId, address]),
    );
    for (const [workerId, tracked] of this.workers) {
      const address = wanted.get(workerId);
      const isSame =
        address?.host === tracked.address.host &&
        address.port === tracked.address.port;
      if (!isSame) this.removeWorker(workerId, tracked);
    }
    this.updatePreferences([...wanted.keys()]);
    for (const address of addresses) {
      if (!this.workers.has(address.workerId)) this.addWorker(address);
    }
  }

  /** Gets the leases that are valid now. */
  getValidLeases(): WorkerLease[] {
    const leases: WorkerLease[] = [];
    for (const {lease} of this.workers.values()) {
      if (lease?.isValid()) leases.push(lease);
    }
    return leases;
  }

  /**
   * Gets the valid lease of a worker.
   * @param workerId - Id of the worker.
   */
  getLease(workerId: string): WorkerLease | undefined {
    const lease = this.workers.get(workerId)?.lease;
    return lease?.isValid() ? lease : undefined;
  }

  /**
   * Asks at once for leases that another process handed back.
   * @param workerIds - Ids of the workers.
   */
  pollNow(workerIds: readonly string[]): void {
    for (const workerId of workerIds) {
      const tracked = this.workers.get(workerId);
      if (tracked === undefined || tracked.lease !== undefined) continue;
      this.schedule(tracked, this.getFirstDelayMs(workerId) / POLL_NOW_DIVISOR);
    }
  }

  /**
   * Renews a held lease soon, to learn the worker's state.
   * @param workerId - Id of the worker.
   * @param delayMs - Time to wait before.
   */
  renewSoon(workerId: string, delayMs: number): void {
    const tracked = this.workers.get(workerId);
    if (tracked?.lease === undefined) return;
    this.schedule(tracked, delayMs);
  }

  /**
   * Hands all leases back and asks for no more.
   * @returns Ids of the workers whose leases were handed back.
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
      isVisiting: false,
    };
    this.workers.set(address.workerId, tracked);
    this.schedule(tracked, this.getFirstDelayMs(address.workerId));
  }

  private removeWorker(workerId: string, tracked: TrackedWorker): void {
    tracked.isRemoved = true;
    tracked.timer?.cancel();
    this.lose(tracked, 'the platform no longer lists the worker');
    this.workers.delete(workerId);
  }

  private getFirstDelayMs(workerId: string): number {
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
    this.preferences = getBalancedOrders(workerIds, this.candidates);
  }

  private schedule(tracked: TrackedWorker, delayMs: number): void {
    if (this.isStopping || tracked.isRemoved || tracked.isVisiting) return;
    tracked.timer?.cancel();
    tracked.timer = this.options.clock.setTimer(delayMs, () => {
      void this.visit(tracked);
    });
  }

  private async visit(tracked: TrackedWorker): Promise<void> {
    tracked.isVisiting = true;
    await this.acquireOrRenew(tracked);
    tracked.isVisiting = false;
    const isHeld = tracked.lease !== undefined;
    const {renewMs} = this.options.timing;
    this.schedule(tracked, isHeld ? renewMs : this.getPollDelayMs(tracked));
  }

  private async acquireOrRenew(tracked: TrackedWorker): Promise<void> {
    if (tracked.lease !== undefined && !tracked.lease.isValid()) {
      this.lose(tracked, 'not renewed in time');
    }
    if (tracked.lease === undefined) await this.acquire(tracked);
    else await this.renew(tracked, tracked.lease);
  }

  /** The first successor asks often; the others are there in case it is dead, too. */
  private getPollDelayMs(tracked: TrackedWorker): number {
    const {random, timing, holderId} = this.options;
    const rank = this.getRank(tracked.address.workerId, holderId);
    const factor = rank <= FIRST_SUCCESSOR_RANK ? 1 : DISTANT_POLL_FACTOR;
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
    if (granted.isErr() || this.isUnwanted(tracked)) return;
    const lease = WorkerLease.create(tracked.address, clock, granted.value);
    lease.extend(sentAtMs, timing.ttlMs, granted.value);
    tracked.lease = lease;
    this.options.listener.onAcquired(lease);
  }

  private async renew(
    tracked: TrackedWorker,
    lease: WorkerLease,
  ): Promise<void> {
    const {clock, client, scope, holderId, timing} = this.options;
    const sentAtMs = clock.getMonotonicMs();
    const renewed = await client.requestLease(tracked.address, {
      scope,
      holderId,
      ttlMs: timing.ttlMs,
      epoch: lease.getEpoch(),
      knownReport: lease.getStatus().reportNumber,
      withUsage: this.options.isUsageWanted?.(lease.address.workerId) ?? false,
    });
    if (this.isUnwanted(tracked)) return;
    if (renewed.isOk()) {
      lease.extend(sentAtMs, timing.ttlMs, renewed.value);
      this.options.listener.onRenewed(lease);
      await this.handOverIfWanted(tracked, lease, renewed.value);
      return;
    }
    if (renewed.error.kind === 'refused' || !lease.isValid()) {
      this.lose(tracked, renewed.error.message);
    }
  }

  private isUnwanted(tracked: TrackedWorker): boolean {
    return this.isStopping || tracked.isRemoved;
  }

  private async handOverIfWanted(
    tracked: TrackedWorker,
    lease: WorkerLease,
    status: WorkerStatus,
  ): Promise<void> {
    if (status.wantedBy === undefined) return;
    const heldMs = this.options.clock.getMonotonicMs() - lease.grantedAtMs;
    if (heldMs < MIN_HOLD_MS) return;
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
    this.lose(tracked, reason);
    await this.options.client.releaseLease(tracked.address, {
      scope: this.options.scope,
      holderId: this.options.holderId,
      epoch: lease.getEpoch(),
    });
  }

  private lose(tracked: TrackedWorker, reason: string): void {
    const lease = tracked.lease;
    if (lease === undefined) return;
    tracked.lease = undefined;
    lease.invalidate();
    this.options.listener.onLost(lease, reason);
  }
}
