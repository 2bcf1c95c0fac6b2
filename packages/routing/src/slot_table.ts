/**
 * Slots of the upstreams that this holder may use, for one service.
 *
 * Slots taken by an earlier holder or by requests whose end is unknown are
 * read from the worker's own count, which renewals carry.
 */

import {RandomSource} from '@mustardlug/base/random_source';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {LatencyEstimate} from './latency_estimate.js';
import {OutlierTracker} from '@mustardlug/base/outlier_tracker';

/** An upstream of the service on a leased worker. */
export interface SlotEntry {
  readonly lease: WorkerLease;
  slots: number;
  /** Requests of this holder that are in progress. */
  inProgress: number;
  /** Slots taken by others or by requests whose end is unknown. */
  foreign: number;
  /** Slots that may be used now; lower than `slots` while the upstream is slow. */
  limit: number;
  readonly latency: LatencyEstimate;
}

/** Options of a slot table. */
export interface SlotTableOptions {
  readonly serviceName: string;
  readonly random: RandomSource;
  readonly health: OutlierTracker;
  readonly initialLatencyMs: number;
}

/** Totals over all usable upstreams. */
export interface SlotTotals {
  readonly slots: number;
  readonly inProgress: number;
}

const LATENCY_WEIGHT = 0.1;
const MIN_LATENCY_SAMPLES = 8;
/** An upstream this many times slower than the median gets fewer slots. */
const SLOW_FACTOR = 2;
const LIMIT_DECREASE = 0.7;
const LIMIT_INCREASE = 0.25;

/** Counts slots exactly and chooses an upstream. */
export class SlotTable {
  private readonly entries = new Map<string, SlotEntry>();
  private medianLatencyMs: number;
  private samplesSinceMedian = 0;

  private constructor(private readonly options: SlotTableOptions) {
    this.medianLatencyMs = options.initialLatencyMs;
  }

  /**
   * Creates an empty table.
   * @param options - Service, random numbers and health.
   */
  static create(options: SlotTableOptions): SlotTable {
    return new SlotTable(options);
  }

  /**
   * Adds a leased worker or takes in its new state.
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
    entry.foreign = Math.max(0, status.requestsInProgress - entry.inProgress);
  }

  /**
   * Removes a worker; its requests in progress go on.
   * @param workerId - Id of the worker.
   */
  removeWorker(workerId: string): void {
    this.entries.delete(workerId);
    this.options.health.removeMember(workerId);
  }

  /** Gets the totals over all upstreams with a valid lease. */
  getTotals(): SlotTotals {
    let slots = 0;
    let inProgress = 0;
    for (const entry of this.entries.values()) {
      if (!entry.lease.isValid()) continue;
      slots += Math.floor(entry.limit);
      inProgress += entry.inProgress + entry.foreign;
    }
    return {slots, inProgress};
  }

  /** Gets the typical latency of the service in milliseconds. */
  getTypicalLatencyMs(): number {
    return this.medianLatencyMs;
  }

  /**
   * Takes a slot on the better of two random usable upstreams.
   * @param excluded - Workers that already refused this request.
   * @returns `undefined` when no slot is free.
   */
  takeSlot(excluded: ReadonlySet<string>): SlotEntry | undefined {
    const usable: SlotEntry[] = [];
    for (const [workerId, entry] of this.entries) {
      if (excluded.has(workerId) || !this.isUsable(workerId, entry)) continue;
      usable.push(entry);
    }
    const chosen = this.chooseBetter(usable);
    if (chosen === undefined) return undefined;
    chosen.inProgress++;
    this.options.health.noteDispatch(chosen.lease.address.workerId);
    return chosen;
  }

  /**
   * Gives a slot back.
   * @param entry - Entry from `takeSlot`.
   * @param latencyMs - Measured latency, if the upstream answered.
   */
  releaseSlot(entry: SlotEntry, latencyMs: number | undefined): void {
    entry.inProgress--;
    if (latencyMs === undefined) return;
    entry.latency.addSample(latencyMs);
    this.adaptLimit(entry);
  }

  /**
   * Gives a slot back whose request may still be running on the worker.
   * @param entry - Entry from `takeSlot`.
   */
  abandonSlot(entry: SlotEntry): void {
    entry.inProgress--;
    entry.foreign++;
  }

  private getOrAddEntry(lease: WorkerLease, slots: number): SlotEntry {
    const workerId = lease.address.workerId;
    const known = this.entries.get(workerId);
    if (known?.lease === lease) return known;
    const entry: SlotEntry = {
      lease,
      slots,
      inProgress: 0,
      foreign: 0,
      limit: slots,
      latency: LatencyEstimate.create(
        this.options.initialLatencyMs,
        LATENCY_WEIGHT,
      ),
    };
    this.entries.set(workerId, entry);
    this.options.health.addMember(workerId);
    return entry;
  }

  private isUsable(workerId: string, entry: SlotEntry): boolean {
    const taken = entry.inProgress + entry.foreign;
    if (taken >= Math.floor(entry.limit)) return false;
    if (!entry.lease.isValid()) return false;
    return this.options.health.isUsable(workerId);
  }

  private chooseBetter(usable: readonly SlotEntry[]): SlotEntry | undefined {
    if (usable.length <= 1) return usable[0];
    const {random} = this.options;
    const firstIndex = random.getIndex(usable.length);
    const step = 1 + random.getIndex(usable.length - 1);
    const first = usable[firstIndex];
    const second = usable[(firstIndex + step) % usable.length];
    return getCost(first) <= getCost(second) ? first : second;
  }

  private adaptLimit(entry: SlotEntry): void {
    this.updateMedian();
    if (entry.latency.getSampleCount() < MIN_LATENCY_SAMPLES) return;
    const isSlow =
      entry.latency.getMs() > SLOW_FACTOR * Math.max(1, this.medianLatencyMs);
    const changed = isSlow
      ? entry.limit * LIMIT_DECREASE
      : entry.limit + LIMIT_INCREASE;
    entry.limit = Math.max(1, Math.min(entry.slots, changed));
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

function getCost(entry: SlotEntry): number {
  const taken = entry.inProgress + entry.foreign;
  return (taken + 1) * entry.latency.getMs();
}
