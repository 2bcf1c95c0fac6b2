/**
 * Slots of one service on the workers whose leases this process holds.
 *
 * Slots occupied by requests of an earlier lease holder, or by requests whose
 * outcome is unknown, are derived from the worker's own count of requests in
 * progress, which each lease renewal reports.
 */

import {RandomSource} from '@mustardlug/base/random_source';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {LatencyEstimate} from './latency_estimate.js';
import {OutlierTracker} from '@mustardlug/base/outlier_tracker';

/** Upstream of the service on a leased worker. */
export interface UpstreamEntry {
  readonly lease: WorkerLease;
  slots: number;
  /** Number of requests in progress that this process sent. */
  inProgress: number;
  /** Slots occupied by requests of other lease holders or with an unknown outcome. */
  externalInProgress: number;
  /** Adaptive concurrency limit; lower than `slots` while the upstream is slow. */
  limit: number;
  readonly latency: LatencyEstimate;
}

export interface SlotTableOptions {
  readonly serviceName: string;
  readonly random: RandomSource;
  readonly outlierTracker: OutlierTracker;
  readonly initialLatencyMs: number;
}

/** Totals over all upstreams with a valid lease. */
export interface SlotTotals {
  /** Sum of the current concurrency limits. */
  readonly slots: number;
  /** Requests in progress of this process and of others. */
  readonly inProgress: number;
}

const LATENCY_SAMPLE_WEIGHT = 0.1;
const MIN_LATENCY_SAMPLES = 8;
/** Ratio to the median latency above which the concurrency limit of an upstream is reduced. */
const SLOW_LATENCY_RATIO = 2;
const LIMIT_DECREASE_FACTOR = 0.7;
const LIMIT_INCREASE_STEP = 0.25;

/** Tracks slot use and selects upstreams. */
export class SlotTable {
  private readonly entries = new Map<string, UpstreamEntry>();
  private medianLatencyMs: number;
  private samplesSinceMedian = 0;

  private constructor(private readonly options: SlotTableOptions) {
    this.medianLatencyMs = options.initialLatencyMs;
  }

  /** Creates an empty table. */
  static create(options: SlotTableOptions): SlotTable {
    return new SlotTable(options);
  }

  /**
   * Adds a leased worker or updates it from its latest status. Removes it if it
   * is leaving or has no replica of the service.
   * @param lease - Lease of the worker.
   */
  setWorker(lease: WorkerLease): void {
    const status = lease.getStatus();
    const replica = status.replicas.find(
      candidate => candidate.serviceName === this.options.serviceName,
    );
    if (replica === undefined || status.isLeaving) {
      this.removeWorker(status.workerId);
      return;
    }
    const entry = this.getOrAddEntry(lease, replica.slots);
    entry.slots = replica.slots;
    entry.limit = Math.min(entry.limit, replica.slots);
    entry.externalInProgress = Math.max(
      0,
      status.requestsInProgress - entry.inProgress,
    );
  }

  /**
   * Removes a worker; its requests in progress continue.
   * @param workerId - Id of the worker.
   */
  removeWorker(workerId: string): void {
    this.entries.delete(workerId);
    this.options.outlierTracker.removeMember(workerId);
  }

  getTotals(): SlotTotals {
    let slots = 0;
    let inProgress = 0;
    for (const entry of this.entries.values()) {
      if (!entry.lease.isValid()) continue;
      slots += Math.floor(entry.limit);
      inProgress += entry.inProgress + entry.externalInProgress;
    }
    return {slots, inProgress};
  }

  /** Gets the median of the latency estimates of the upstreams. */
  getTypicalLatencyMs(): number {
    return this.medianLatencyMs;
  }

  /**
   * Takes a slot on one of two random usable upstreams, the one with the lower
   * expected latency.
   * @param attemptedWorkers - Workers on which this request was already attempted.
   * @returns `undefined` when no slot is free.
   */
  takeSlot(attemptedWorkers: ReadonlySet<string>): UpstreamEntry | undefined {
    const usable: UpstreamEntry[] = [];
    for (const [workerId, entry] of this.entries) {
      if (attemptedWorkers.has(workerId) || !this.isUsable(workerId, entry))
        continue;
      usable.push(entry);
    }
    const chosen = this.chooseByPowerOfTwo(usable);
    if (chosen === undefined) return undefined;
    chosen.inProgress++;
    this.options.outlierTracker.recordDispatch(chosen.lease.address.workerId);
    return chosen;
  }

  /**
   * Releases a slot.
   * @param entry - Entry from `takeSlot`.
   * @param latencyMs - Measured latency, if the upstream answered.
   */
  releaseSlot(entry: UpstreamEntry, latencyMs: number | undefined): void {
    entry.inProgress--;
    if (latencyMs === undefined) return;
    entry.latency.addSample(latencyMs);
    this.adaptLimit(entry);
  }

  /**
   * Releases a slot whose request may still be running. It counts as occupied
   * until the next status of the worker.
   * @param entry - Entry from `takeSlot`.
   */
  abandonSlot(entry: UpstreamEntry): void {
    entry.inProgress--;
    entry.externalInProgress++;
  }

  private getOrAddEntry(lease: WorkerLease, slots: number): UpstreamEntry {
    const workerId = lease.address.workerId;
    const known = this.entries.get(workerId);
    if (known?.lease === lease) return known;
    const entry: UpstreamEntry = {
      lease,
      slots,
      inProgress: 0,
      externalInProgress: 0,
      limit: slots,
      latency: LatencyEstimate.create(
        this.options.initialLatencyMs,
        LATENCY_SAMPLE_WEIGHT,
      ),
    };
    this.entries.set(workerId, entry);
    this.options.outlierTracker.addMember(workerId);
    return entry;
  }

  private isUsable(workerId: string, entry: UpstreamEntry): boolean {
    const occupied = entry.inProgress + entry.externalInProgress;
    if (occupied >= Math.floor(entry.limit)) return false;
    if (!entry.lease.isValid()) return false;
    return this.options.outlierTracker.isUsable(workerId);
  }

  private chooseByPowerOfTwo(
    usable: readonly UpstreamEntry[],
  ): UpstreamEntry | undefined {
    if (usable.length <= 1) return usable[0];
    const {random} = this.options;
    const firstIndex = random.getIndex(usable.length);
    const step = 1 + random.getIndex(usable.length - 1);
    const first = usable[firstIndex];
    const second = usable[(firstIndex + step) % usable.length];
    return getExpectedLatencyMs(first) <= getExpectedLatencyMs(second)
      ? first
      : second;
  }

  private adaptLimit(entry: UpstreamEntry): void {
    this.updateMedian();
    if (entry.latency.getSampleCount() < MIN_LATENCY_SAMPLES) return;
    const isSlow =
      entry.latency.getMs() >
      SLOW_LATENCY_RATIO * Math.max(1, this.medianLatencyMs);
    const nextLimit = isSlow
      ? entry.limit * LIMIT_DECREASE_FACTOR
      : entry.limit + LIMIT_INCREASE_STEP;
    entry.limit = Math.max(1, Math.min(entry.slots, nextLimit));
  }

  private updateMedian(): void {
    this.samplesSinceMedian++;
    if (this.samplesSinceMedian < this.entries.size) return;
    this.samplesSinceMedian = 0;
    const values = [...this.entries.values()]
      .filter(entry => entry.latency.getSampleCount() > 0)
      .map(entry => entry.latency.getMs())
      .sort((left, right) => left - right);
    const middle = values[Math.floor((values.length - 1) / 2)];
    if (middle !== undefined) this.medianLatencyMs = middle;
  }
}

/** Estimates the latency of one more request, given the occupied slots. */
function getExpectedLatencyMs(entry: UpstreamEntry): number {
  const occupied = entry.inProgress + entry.externalInProgress;
  return (occupied + 1) * entry.latency.getMs();
}
