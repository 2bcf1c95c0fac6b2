/**
 * Performance model of colocated runs: their speed, and the response time of
 * serving tasks.
 */

/**
 * Properties of a task that determine its speed and its interference with
 * colocated runs.
 */
export interface RunTraits {
  readonly kind: 'serving' | 'filler' | 'plain';
  readonly image: string;
  /** Declared CPU demand in millicores. */
  readonly cpuMillis: number;
  /** Target response time of a serving task. */
  readonly targetMs: number;
  /** Phase of a serving task's periodic load, 0 to 1. */
  readonly phase: number;
}

/** A run that is active on a worker. */
export interface ActiveRun {
  readonly taskName: string;
  readonly runNumber: number;
  /** CPU limit in percent of the declared demand, 0 to 100. */
  readonly cpuLimitPercent: number;
}

/** Properties of the worker that affect all its runs. */
export interface WorkerConditions {
  readonly cpuMillis: number;
  /** Factor by which all durations on the worker are multiplied. */
  readonly slowness: number;
}

/** Computes speeds and response times of colocated runs. */
export abstract class RunPerformanceModel {
  /**
   * Gets the speed of a run relative to its speed alone and without a CPU limit. The caller
   * applies the worker's slowness.
   * @param run - Run to evaluate.
   * @param runs - All runs of the worker, including it.
   * @param worker - The worker.
   * @param nowMs - Monotonic time.
   */
  abstract getSpeed(
    run: ActiveRun,
    runs: Iterable<ActiveRun>,
    worker: WorkerConditions,
    nowMs: number,
  ): number;

  /**
   * Gets the response time of a serving task in milliseconds, or 0 for other runs.
   * @param run - Run to evaluate.
   * @param runs - All runs of the worker, including it.
   * @param worker - The worker.
   * @param nowMs - Monotonic time.
   */
  abstract getResponseMs(
    run: ActiveRun,
    runs: Iterable<ActiveRun>,
    worker: WorkerConditions,
    nowMs: number,
  ): number;
}
