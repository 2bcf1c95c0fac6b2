/**
 * Removes slow changes from the load index of a serving task: its own load
 * fluctuates over many seconds, while fillers start and end within one or two.
 */

import {EffectInput} from './effect_estimator.js';

/** A sample of which the moving averages of its value and inputs were subtracted. */
export interface FilteredSample {
  readonly inputs: readonly EffectInput[];
  readonly value: number;
}

/**
 * Time constant of the moving averages: longer than most fillers run, shorter than
 * a fluctuation of the serving task's own load.
 */
const AVERAGING_TIME_CONSTANT_MS = 2_500;

/** Average amount below which an input is removed. */
const NEGLIGIBLE_AMOUNT = 0.0005;

/**
 * High-pass filter for the samples of one serving task. The filter is linear and
 * applied to inputs and value alike, so it preserves the effects of the inputs.
 */
export class HighPassFilter {
  private averageValue: number | undefined;
  private readonly averageInputs = new Map<string, number>();
  private lastMs = 0;

  private constructor() {}

  /** Creates a filter without previous samples. */
  static create(): HighPassFilter {
    return new HighPassFilter();
  }

  /**
   * Subtracts the moving averages from a sample, then updates them.
   * @param inputs - Amounts of the inputs.
   * @param value - Observed value.
   * @param nowMs - Monotonic time.
   * @returns `undefined` for the first sample.
   */
  filter(
    inputs: readonly EffectInput[],
    value: number,
    nowMs: number,
  ): FilteredSample | undefined {
    const amounts = new Map(inputs.map(({name, amount}) => [name, amount]));
    const changes: EffectInput[] = [];
    for (const name of new Set([
      ...amounts.keys(),
      ...this.averageInputs.keys(),
    ])) {
      const amount =
        (amounts.get(name) ?? 0) - (this.averageInputs.get(name) ?? 0);
      changes.push({name, amount});
    }
    const average = this.averageValue;
    this.update(changes, value, nowMs);
    if (average === undefined) return undefined;
    return {inputs: changes, value: value - average};
  }

  private update(
    changes: readonly EffectInput[],
    value: number,
    nowMs: number,
  ): void {
    const elapsedMs = nowMs - this.lastMs;
    this.lastMs = nowMs;
    const isFirst = this.averageValue === undefined;
    const weight = isFirst
      ? 1
      : 1 - Math.exp(-elapsedMs / AVERAGING_TIME_CONSTANT_MS);
    const average = this.averageValue ?? value;
    this.averageValue = average + weight * (value - average);
    for (const {name, amount} of changes) {
      const averageAmount = this.averageInputs.get(name) ?? 0;
      const updatedAverage = averageAmount + weight * amount;
      if (updatedAverage < NEGLIGIBLE_AMOUNT) this.averageInputs.delete(name);
      else this.averageInputs.set(name, updatedAverage);
    }
  }
}
