/**
 * Learns how much fillers disturb the serving tasks beside them, by image.
 *
 * Response times grow like those of a queue: with the share of the idle
 * response time over the latest one. One minus that share is the load index,
 * to which fillers add in proportion to the processors they use.
 */

import {EffectEstimator, EffectInput} from './effect_estimator.js';
import {AssignedRun, WorkerLoad} from './worker_load.js';

/** Response time of an idle serving task as a share of its target. */
const IDLE_SHARE_OF_TARGET = 0.22;

/** Load index of a serving task without fillers, until it has been observed. */
const INITIAL_OWN_INDEX = 0.42;

/** Time that a measurement looks back; what changed within it cannot be told apart. */
const MEASUREMENT_WINDOW_MS = 700;

/** Load index that fillers may bring a serving task to; leaves room for swings of its own load. */
const MAX_PLANNED_INDEX = 0.62;

/** Index above which response times say little more than that they are too long. */
const SATURATED_INDEX = 0.95;

/** Effects of filler images on serving images. */
export class DisturbanceModel {
  private readonly estimators = new Map<string, EffectEstimator>();

  private constructor() {}

  /** Creates a model that expects no disturbance. */
  static create(): DisturbanceModel {
    return new DisturbanceModel();
  }

  /**
   * Learns from a worker's report.
   * @param load - Runs with their latest figures.
   * @param nowMs - Monotonic time of the report.
   */
  addReport(load: WorkerLoad, nowMs: number): void {
    const runs = [...load.getRuns()];
    if (runs.some(each => isFiller(each) && !isSettled(each, nowMs))) return;
    const fillers = getFillerUse(load, runs);
    for (const serving of runs) {
      if (!isServing(serving) || serving.run.usage <= 0) continue;
      if (!isSettled(serving, nowMs)) continue;
      const estimator = this.getEstimator(serving);
      estimator.addSample(fillers, getLoadIndex(serving));
    }
  }

  /**
   * Checks whether a filler may be added without disturbing what serves there.
   * @param image - Image of the filler.
   * @param cpuMillis - Processors that it will use.
   * @param load - Runs of the worker.
   */
  isHarmless(image: string, cpuMillis: number, load: WorkerLoad): boolean {
    return this.getWorstIndex(image, cpuMillis, load) <= MAX_PLANNED_INDEX;
  }

  /**
   * Gets the highest load index of the serving tasks once a filler is added.
   * @param image - Image of the filler.
   * @param cpuMillis - Processors that it will use.
   * @param load - Runs of the worker.
   */
  getWorstIndex(image: string, cpuMillis: number, load: WorkerLoad): number {
    const share = cpuMillis / load.getCapacity().cpuMillis;
    const runs = [...load.getRuns()];
    const fillers = getFillerUse(load, runs);
    let worst = 0;
    for (const serving of runs) {
      if (!isServing(serving)) continue;
      const estimator = this.getEstimator(serving);
      const added = estimator.getEffect(image) * share;
      worst = Math.max(worst, estimator.getExpected(fillers) + added);
    }
    return worst;
  }

  /**
   * Gets how much a running filler adds to the load index of a serving task.
   * @param filler - Run of a filler.
   * @param serving - Run of a serving task on the same worker.
   * @param load - Runs of the worker.
   */
  getEffectOf(
    filler: AssignedRun,
    serving: AssignedRun,
    load: WorkerLoad,
  ): number {
    const share =
      filler.step.spec.needs.cpuMillis / load.getCapacity().cpuMillis;
    return this.getEstimator(serving).getEffect(getImage(filler)) * share;
  }

  private getEstimator(serving: AssignedRun): EffectEstimator {
    const image = getImage(serving);
    let estimator = this.estimators.get(image);
    if (estimator === undefined) {
      estimator = EffectEstimator.create(INITIAL_OWN_INDEX);
      this.estimators.set(image, estimator);
    }
    return estimator;
  }
}

/**
 * Checks whether a run serves users under a target.
 * @param assigned - Run to check.
 */
export function isServing(assigned: AssignedRun): boolean {
  const {isLongRunning, targetResponseMs} = assigned.step.spec;
  return isLongRunning && targetResponseMs > 0;
}

/**
 * Checks whether a run is a filler.
 * @param assigned - Run to check.
 */
export function isFiller(assigned: AssignedRun): boolean {
  return assigned.step.spec.isFiller;
}

/**
 * Gets the load index of a serving task from its latest response time.
 * @param serving - Run of a serving task.
 */
export function getLoadIndex(serving: AssignedRun): number {
  const {targetResponseMs} = serving.step.spec;
  const idleMs = targetResponseMs * IDLE_SHARE_OF_TARGET;
  const responseMs = Math.max(idleMs, serving.run.usage);
  return Math.min(SATURATED_INDEX, 1 - idleMs / responseMs);
}

function getImage(assigned: AssignedRun): string {
  return assigned.step.spec.image ?? '';
}

function isSettled(assigned: AssignedRun, nowMs: number): boolean {
  const sinceMs = Math.max(assigned.run.placedMs, assigned.run.pacedMs);
  return nowMs - sinceMs > MEASUREMENT_WINDOW_MS;
}

/** Gets what fillers use, as shares of the worker's processors. */
function getFillerUse(
  load: WorkerLoad,
  runs: readonly AssignedRun[],
): EffectInput[] {
  const capacity = load.getCapacity().cpuMillis;
  return runs.filter(isFiller).map(filler => {
    const {needs} = filler.step.spec;
    const cpuMillis = (needs.cpuMillis * filler.run.pacePercent) / 100;
    return {name: getImage(filler), amount: cpuMillis / capacity};
  });
}
