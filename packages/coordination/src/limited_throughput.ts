/**
 * Measures how much is handled in a time while work waits for one limit.
 *
 * What is handled while nothing waits tells how much arrives, not how much could be
 * handled, so that only the time between two observations of that limit counts.
 */

import {Clock} from '@mustardlug/base/clock';

/** Time for which samples are kept. */
const MAX_WINDOW_MS = 10_000;

/** Least measured time from which a rate is told; fewer observations are chance. */
const MIN_MEASURED_MS = 1_000;

interface Sample {
  readonly endMs: number;
  readonly durationMs: number;
  readonly amount: number;
}

/** Rate at which work is handled while it waits for one limit. */
export class LimitedThroughput {
  private samples: Sample[] = [];
  /** Time of the last observation, if work waited for the limit then. */
  private limitedSinceMs: number | undefined;

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a measurement without samples.
   * @param clock - Clock of the measurement.
   */
  static create(clock: Clock): LimitedThroughput {
    return new LimitedThroughput(clock);
  }

  /**
   * Records an observation.
   * @param amount - What has been handled since the previous one.
   * @param isLimited - Whether work is left that waits for the limit.
   */
  record(amount: number, isLimited: boolean): void {
    const endMs = this.clock.getMonotonicMs();
    const startMs = this.limitedSinceMs;
    this.limitedSinceMs = isLimited ? endMs : undefined;
    if (startMs === undefined || !isLimited) return;
    this.samples.push({endMs, durationMs: endMs - startMs, amount});
    const oldestMs = endMs - MAX_WINDOW_MS;
    if (this.samples[0].endMs <= oldestMs)
      this.samples = this.samples.filter(sample => sample.endMs > oldestMs);
  }

  /** Checks whether work was left at the last observation that waits for the limit. */
  isLimited(): boolean {
    return this.limitedSinceMs !== undefined;
  }

  /**
   * Gets what is handled in a millisecond, or `undefined` if that is not known.
   * @param windowMs - Time that the samples may be old.
   */
  getPerMs(windowMs = MAX_WINDOW_MS): number | undefined {
    const oldestMs = this.clock.getMonotonicMs() - windowMs;
    let durationMs = 0;
    let amount = 0;
    for (const sample of this.samples) {
      if (sample.endMs <= oldestMs) continue;
      durationMs += sample.durationMs;
      amount += sample.amount;
    }
    if (durationMs < MIN_MEASURED_MS || amount === 0) return undefined;
    return amount / durationMs;
  }
}
