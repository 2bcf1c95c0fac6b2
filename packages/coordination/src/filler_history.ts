/** Averages what ran on a worker over the time that its lagging figures cover. */

import {EffectInput} from './effect_estimator.js';

/** Share below which a filler that ended is forgotten. */
const NEGLIGIBLE_SHARE = 0.001;

/** Exponentially weighted averages of the fillers' shares of one worker. */
export class FillerHistory {
  private readonly averages = new Map<string, number>();
  private present: readonly EffectInput[] = [];
  private lastMs: number | undefined;

  private constructor(private readonly lagMs: number) {}

  /**
   * Creates an empty history.
   * @param lagMs - Time constant of the averages.
   */
  static create(lagMs: number): FillerHistory {
    return new FillerHistory(lagMs);
  }

  /**
   * Accounts for the time since the last call, then notes what runs from now on.
   * @param present - Shares of the fillers that run now; names may repeat.
   * @param nowMs - Monotonic time.
   */
  advance(present: readonly EffectInput[], nowMs: number): void {
    const elapsedMs = nowMs - (this.lastMs ?? nowMs);
    const kept = Math.exp(-elapsedMs / this.lagMs);
    for (const [name, average] of this.averages)
      this.averages.set(name, average * kept);
    for (const {name, amount} of this.present) {
      const average = this.averages.get(name) ?? 0;
      this.averages.set(name, average + amount * (1 - kept));
    }
    for (const [name, average] of this.averages) {
      if (average < NEGLIGIBLE_SHARE) this.averages.delete(name);
    }
    this.present = present;
    this.lastMs = nowMs;
  }

  /** Gets the averaged shares. */
  getAverages(): EffectInput[] {
    return [...this.averages].map(([name, amount]) => ({name, amount}));
  }
}
