/** Sets members of a fleet aside that fail or stall far more than the others. */

import {Clock} from './clock.js';

/** Options of an outlier tracker. */
export interface OutlierTrackerOptions {
  readonly clock: Clock;
  /** Largest fraction of the members that may be set aside at once. */
  readonly maxAsideFraction: number;
}

interface HealthRecord {
  failureRate: number;
  samples: number;
  asideUntilMs: number | undefined;
  /** Time until which the result of the one probe is waited for. */
  probingUntilMs: number | undefined;
  probeDelayMs: number;
}

const SAMPLE_WEIGHT = 0.2;
const MIN_SAMPLES = 5;
const ASIDE_FAILURE_RATE = 0.5;
/** The fleet's median must be below this, else the fault is likely the work's own. */
const FLEET_FAILURE_RATE = 0.2;
const FIRST_PROBE_DELAY_MS = 1_000;
const MAX_PROBE_DELAY_MS = 16_000;
/** A probe whose work was moved or cancelled never reports; another may follow it. */
const PROBE_TIMEOUT_MS = 60_000;

/** Failure rates of the members of a fleet. */
export class OutlierTracker {
  private readonly records = new Map<string, HealthRecord>();

  private constructor(private readonly options: OutlierTrackerOptions) {}

  /**
   * Creates a tracker without members.
   * @param options - Clock and bound.
   */
  static create(options: OutlierTrackerOptions): OutlierTracker {
    return new OutlierTracker(options);
  }

  /**
   * Adds a member.
   * @param memberId - Id of the member.
   */
  addMember(memberId: string): void {
    if (this.records.has(memberId)) return;
    this.records.set(memberId, {
      failureRate: 0,
      samples: 0,
      asideUntilMs: undefined,
      probingUntilMs: undefined,
      probeDelayMs: FIRST_PROBE_DELAY_MS,
    });
  }

  /**
   * Removes a member.
   * @param memberId - Id of the member.
   */
  removeMember(memberId: string): void {
    this.records.delete(memberId);
  }

  /**
   * Checks whether a member may get work now.
   * @param memberId - Id of the member.
   */
  isUsable(memberId: string): boolean {
    const record = this.records.get(memberId);
    if (record?.asideUntilMs === undefined) return true;
    const nowMs = this.options.clock.getMonotonicMs();
    if (nowMs < (record.probingUntilMs ?? -Infinity)) return false;
    return nowMs >= record.asideUntilMs;
  }

  /**
   * Checks whether a member is set aside.
   * @param memberId - Id of the member.
   */
  isAside(memberId: string): boolean {
    return this.records.get(memberId)?.asideUntilMs !== undefined;
  }

  /**
   * Notes that work goes to a member; while it is aside, this is the one probe.
   * @param memberId - Id of the member.
   */
  noteDispatch(memberId: string): void {
    const record = this.records.get(memberId);
    if (record?.asideUntilMs === undefined) return;
    const nowMs = this.options.clock.getMonotonicMs();
    record.probingUntilMs = nowMs + PROBE_TIMEOUT_MS;
  }

  /**
   * Notes the end of a piece of work.
   * @param memberId - Id of the member.
   * @param isFailure - Whether the member failed or stalled.
   * @returns What changed.
   */
  noteResult(
    memberId: string,
    isFailure: boolean,
  ): 'unchanged' | 'set-aside' | 'restored' {
    const record = this.records.get(memberId);
    if (record === undefined) return 'unchanged';
    record.samples++;
    record.failureRate +=
      SAMPLE_WEIGHT * (Number(isFailure) - record.failureRate);
    if (record.asideUntilMs !== undefined) {
      return this.noteProbeResult(record, isFailure);
    }
    if (!this.shouldSetAside(record)) return 'unchanged';
    this.setAside(record);
    return 'set-aside';
  }

  private noteProbeResult(
    record: HealthRecord,
    isFailure: boolean,
  ): 'unchanged' | 'restored' {
    if (record.probingUntilMs === undefined) return 'unchanged';
    if (isFailure) {
      record.probeDelayMs = Math.min(
        record.probeDelayMs * 2,
        MAX_PROBE_DELAY_MS,
      );
      this.setAside(record);
      return 'unchanged';
    }
    record.asideUntilMs = undefined;
    record.probingUntilMs = undefined;
    record.failureRate = 0;
    record.samples = 0;
    record.probeDelayMs = FIRST_PROBE_DELAY_MS;
    return 'restored';
  }

  private setAside(record: HealthRecord): void {
    record.probingUntilMs = undefined;
    record.asideUntilMs =
      this.options.clock.getMonotonicMs() + record.probeDelayMs;
  }

  private shouldSetAside(record: HealthRecord): boolean {
    if (record.samples < MIN_SAMPLES) return false;
    if (record.failureRate < ASIDE_FAILURE_RATE) return false;
    if (this.getMedianFailureRate() > FLEET_FAILURE_RATE) return false;
    const asideCount = this.getAsideCount() + 1;
    return asideCount <= this.options.maxAsideFraction * this.records.size;
  }

  private getAsideCount(): number {
    let count = 0;
    for (const record of this.records.values()) {
      if (record.asideUntilMs !== undefined) count++;
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
