/**
 * Forecasts the load that the users of a long-running step cause on its tasks.
 *
 * Load pattern: the users' load of a step is spread over all of its tasks, and rises and
 * falls by half within seconds. Fillers that are added while it is low would make the
 * tasks miss their targets when it rises.
 */

import {StepState} from '@mustardlug/jobs/job_state';

/** Load index of one serving task without the effect of fillers. */
export interface ServingLoadSample {
  readonly step: StepState;
  readonly taskIndex: number;
  readonly loadIndex: number;
  /** Estimated effect of fillers that was subtracted from the measured load index. */
  readonly fillerEffect: number;
  readonly timeMs: number;
}

/** Load of a step at a time, and its change. */
interface Trend {
  readonly timeMs: number;
  readonly level: number;
  /** Change of the level, per millisecond. */
  readonly slope: number;
}

/** Time over which the trend is measured: two reports of an undisturbed worker, or a little less. */
const TREND_WINDOW_MS = 1_600;

/**
 * Number of different tasks from which a trend is derived. Response times are reported
 * in whole milliseconds, so that single ones are too coarse.
 */
const MIN_TASKS = 10;

/** Minimum interval between two evaluations of the trend of a step. */
const EVALUATION_INTERVAL_MS = 100;

/** Age from which a trend is no longer used. */
const MAX_TREND_AGE_MS = 2_000;

/** Time for which maxima are remembered: somewhat more than a usual fluctuation lasts. */
const PEAK_WINDOW_MS = 15_000;

/** Interval by which maxima are grouped. */
const PEAK_BUCKET_MS = 1_000;

/** Filler effect at which a sample has half of the weight of an undisturbed one. */
const HALF_WEIGHT_EFFECT = 0.05;

/** Load of one step. */
class StepLoad {
  private samples: ServingLoadSample[] = [];
  private trend: Trend | undefined;
  private lastEvaluationMs = -Infinity;
  /** Highest level by time, in buckets of `PEAK_BUCKET_MS`. */
  private readonly peaks = new Map<number, number>();

  addSample(sample: ServingLoadSample): void {
    this.samples.push(sample);
    if (sample.timeMs - this.lastEvaluationMs < EVALUATION_INTERVAL_MS) return;
    this.lastEvaluationMs = sample.timeMs;
    this.evaluate(sample.timeMs);
  }

  /** Gets the highest expected load from a time on, or `undefined` if the trend is not known. */
  getForecast(nowMs: number, horizonMs: number): number | undefined {
    const {trend} = this;
    if (trend === undefined || nowMs - trend.timeMs > MAX_TREND_AGE_MS)
      return undefined;
    const {level, slope, timeMs} = trend;
    const currentLevel = level + slope * (nowMs - timeMs);
    const laterLevel = currentLevel + slope * horizonMs;
    const peak = Math.max(level, ...this.peaks.values());
    return Math.min(peak, Math.max(0, currentLevel, laterLevel));
  }

  private evaluate(nowMs: number): void {
    this.samples = this.samples.filter(
      ({timeMs}) => nowMs - timeMs <= TREND_WINDOW_MS,
    );
    const tasks = new Set(this.samples.map(({taskIndex}) => taskIndex));
    if (tasks.size < MIN_TASKS) return;
    this.trend = fitTrend(this.samples, nowMs);
    const bucket = Math.floor(nowMs / PEAK_BUCKET_MS);
    const known = this.peaks.get(bucket) ?? 0;
    this.peaks.set(bucket, Math.max(known, this.trend.level));
    for (const each of this.peaks.keys()) {
      if ((bucket - each) * PEAK_BUCKET_MS > PEAK_WINDOW_MS)
        this.peaks.delete(each);
    }
  }
}

/** Loads of the long-running steps of one coordinator term. */
export class ServingLoad {
  private readonly steps = new WeakMap<StepState, StepLoad>();
  private latestMs = -Infinity;

  private constructor() {}

  /** Creates the loads without samples. */
  static create(): ServingLoad {
    return new ServingLoad();
  }

  /**
   * Adds a measurement.
   * @param sample - Load index of a task, without the effect of fillers.
   */
  addSample(sample: ServingLoadSample): void {
    let load = this.steps.get(sample.step);
    if (load === undefined) {
      load = new StepLoad();
      this.steps.set(sample.step, load);
    }
    load.addSample(sample);
    this.latestMs = Math.max(this.latestMs, sample.timeMs);
  }

  /**
   * Gets the highest load index that is expected of the tasks of a step without fillers,
   * from the time of the latest sample of any step on.
   * @param step - Long-running step.
   * @param horizonMs - Time that is looked ahead.
   * @returns `undefined` while too few tasks report.
   */
  getForecast(step: StepState, horizonMs: number): number | undefined {
    return this.steps.get(step)?.getForecast(this.latestMs, horizonMs);
  }
}

/** Fits a line to samples, weighted by how little fillers disturbed them. */
function fitTrend(samples: readonly ServingLoadSample[], nowMs: number): Trend {
  let weights = 0;
  let times = 0;
  let values = 0;
  for (const sample of samples) {
    const weight = getWeight(sample);
    weights += weight;
    times += weight * (sample.timeMs - nowMs);
    values += weight * sample.loadIndex;
  }
  const meanTime = times / weights;
  const meanValue = values / weights;
  let covariance = 0;
  let variance = 0;
  for (const sample of samples) {
    const weight = getWeight(sample);
    const timeOffset = sample.timeMs - nowMs - meanTime;
    covariance += weight * timeOffset * (sample.loadIndex - meanValue);
    variance += weight * timeOffset ** 2;
  }
  const slope = variance > 0 ? covariance / variance : 0;
  return {timeMs: nowMs, level: meanValue - slope * meanTime, slope};
}

function getWeight({fillerEffect}: ServingLoadSample): number {
  return 1 / (1 + (fillerEffect / HALF_WEIGHT_EFFECT) ** 2);
}
