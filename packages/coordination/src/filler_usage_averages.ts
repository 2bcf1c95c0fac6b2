/**
 * Averages the CPU shares of a worker's fillers over time, so that they match
 * response times, which are measured with a lag.
 */

import {EffectInput} from './effect_estimator.js';

/** Average below which a filler is removed. */
const NEGLIGIBLE_SHARE = 0.001;

/** Exponentially weighted moving averages of the fillers' CPU shares on one worker, by name. */
export class FillerUsageAverages {
  private readonly averages = new Map<string, number>();
  private currentShares: readonly EffectInput[] = [];
  private lastMs: number | undefined;

  private constructor(private readonly timeConstantMs: number) {}

  /**
   * Creates averages without any fillers.
   * @param timeConstantMs - Time constant of the averages.
   */
  static create(timeConstantMs: number): FillerUsageAverages {
    return new FillerUsageAverages(timeConstantMs);
  }

  /**
   * Weights the previous shares with the time since the last call, then sets the
   * shares that apply from now on.
   * @param shares - Current shares of the fillers; names may repeat.
   * @param nowMs - Monotonic time.
   */
  advance(shares: readonly EffectInput[], nowMs: number): void {
    const elapsedMs = nowMs - (this.lastMs ?? nowMs);
    const decay = Math.exp(-elapsedMs / this.timeConstantMs);
    for (const [name, average] of this.averages)
      this.averages.set(name, average * decay);
    for (const {name, amount} of this.currentShares) {
      const average = this.averages.get(name) ?? 0;
      this.averages.set(name, average + amount * (1 - decay));
    }
    for (const [name, average] of this.averages) {
      if (average < NEGLIGIBLE_SHARE) this.averages.delete(name);
    }
    this.currentShares = shares;
    this.lastMs = nowMs;
  }

  /** Gets the averages by name. */
  getAverages(): EffectInput[] {
    return [...this.averages].map(([name, amount]) => ({name, amount}));
  }
}
