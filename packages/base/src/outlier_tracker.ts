/** Outlier detection: quarantines fleet members that fail or stall far more often than the others. */

import {Clock} from './clock.js';

export interface OutlierTrackerOptions {
  readonly clock: Clock;
  /** Maximum fraction of the members that may be quarantined at the same time. */
  readonly maxQuarantinedFraction: number;
}

interface HealthRecord {
  /** Exponentially weighted moving average of the results; 0 is a success, 1 a failure. */
  failureRate: number;
  sampleCount: number;
  /** Earliest time of the next probe; `undefined` while the member is not quarantined. */
  nextProbeMs: number | undefined;
  /** Time at which the outstanding probe expires; `undefined` without one. */
  probeDeadlineMs: number | undefined;
  probeDelayMs: number;
}

/** Weight of the newest sample in the moving average. */
const SAMPLE_WEIGHT = 0.2;
const MIN_SAMPLES = 5;
const QUARANTINE_FAILURE_RATE = 0.5;
/**
 * Maximum median failure rate of the fleet at which members are quarantined. Above
 * it, the work itself is the likely cause of the failures.
 */
const MAX_MEDIAN_FAILURE_RATE = 0.2;
const INITIAL_PROBE_DELAY_MS = 1_000;
const MAX_PROBE_DELAY_MS = 16_000;
/**
 * Time after which another probe is allowed. A probe whose work is moved or
 * cancelled never reports a result.
 */
const PROBE_TIMEOUT_MS = 60_000;

/** Tracks the failure rate of each member of a fleet and quarantines outliers. */
export class OutlierTracker {
  private readonly records = new Map<string, HealthRecord>();

  private constructor(private readonly options: OutlierTrackerOptions) {}

  static create(options: OutlierTrackerOptions): OutlierTracker {
    return new OutlierTracker(options);
  }

  /** Adds a member; has no effect if it is already present. */
  addMember(memberId: string): void {
    if (this.records.has(memberId)) return;
    this.records.set(memberId, {
      failureRate: 0,
      sampleCount: 0,
      nextProbeMs: undefined,
      probeDeadlineMs: undefined,
      probeDelayMs: INITIAL_PROBE_DELAY_MS,
    });
  }

  removeMember(memberId: string): void {
    this.records.delete(memberId);
  }

  /** Checks whether a member may receive work: it is not quarantined, or a probe of it is due. */
  isUsable(memberId: string): boolean {
    const record = this.records.get(memberId);
    if (record?.nextProbeMs === undefined) return true;
    const nowMs = this.options.clock.getMonotonicMs();
    if (nowMs < (record.probeDeadlineMs ?? -Infinity)) return false;
    return nowMs >= record.nextProbeMs;
  }

  isQuarantined(memberId: string): boolean {
    return this.records.get(memberId)?.nextProbeMs !== undefined;
  }

  /**
   * Records that work is sent to a member. If the member is quarantined, this work
   * is its only outstanding probe.
   */
  recordDispatch(memberId: string): void {
    const record = this.records.get(memberId);
    if (record?.nextProbeMs === undefined) return;
    const nowMs = this.options.clock.getMonotonicMs();
    record.probeDeadlineMs = nowMs + PROBE_TIMEOUT_MS;
  }

  /**
   * Records the result of a piece of work.
   * @param memberId - Id of the member that ran the work.
   * @param isFailure - Whether the member failed or stalled.
   * @returns How the status of the member changed; `quarantined` means that it receives only probes.
   */
  recordResult(
    memberId: string,
    isFailure: boolean,
  ): 'unchanged' | 'quarantined' | 'restored' {
    const record = this.records.get(memberId);
    if (record === undefined) return 'unchanged';
    record.sampleCount++;
    record.failureRate +=
      SAMPLE_WEIGHT * (Number(isFailure) - record.failureRate);
    if (record.nextProbeMs !== undefined) {
      return this.recordProbeResult(record, isFailure);
    }
    if (!this.shouldQuarantine(record)) return 'unchanged';
    this.quarantine(record);
    return 'quarantined';
  }

  private recordProbeResult(
    record: HealthRecord,
    isFailure: boolean,
  ): 'unchanged' | 'restored' {
    if (record.probeDeadlineMs === undefined) return 'unchanged';
    if (isFailure) {
      record.probeDelayMs = Math.min(
        record.probeDelayMs * 2,
        MAX_PROBE_DELAY_MS,
      );
      this.quarantine(record);
      return 'unchanged';
    }
    record.nextProbeMs = undefined;
    record.probeDeadlineMs = undefined;
    record.failureRate = 0;
    record.sampleCount = 0;
    record.probeDelayMs = INITIAL_PROBE_DELAY_MS;
    return 'restored';
  }

  private quarantine(record: HealthRecord): void {
    record.probeDeadlineMs = undefined;
    record.nextProbeMs =
      this.options.clock.getMonotonicMs() + record.probeDelayMs;
  }

  private shouldQuarantine(record: HealthRecord): boolean {
    if (record.sampleCount < MIN_SAMPLES) return false;
    if (record.failureRate < QUARANTINE_FAILURE_RATE) return false;
    if (this.getMedianFailureRate() > MAX_MEDIAN_FAILURE_RATE) return false;
    const quarantinedCount = this.getQuarantinedCount() + 1;
    return (
      quarantinedCount <=
      this.options.maxQuarantinedFraction * this.records.size
    );
  }

  private getQuarantinedCount(): number {
    let count = 0;
    for (const record of this.records.values()) {
      if (record.nextProbeMs !== undefined) count++;
    }
    return count;
  }

  private getMedianFailureRate(): number {
    const rates = [...this.records.values()]
      .map(record => record.failureRate)
      .sort((left, right) => left - right);
    return rates[Math.floor((rates.length - 1) / 2)] ?? 0;
  }
}
