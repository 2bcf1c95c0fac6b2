/** Slows down or evicts fillers on a worker while a serving task there misses its target. */

import {
  InterferenceModel,
  isServing,
  MAX_PLANNED_LOAD_INDEX,
} from './interference_model.js';
import {AssignedRun, WorkerLoad} from './worker_load.js';

/** An action on one filler: a new CPU share, or eviction. */
export type PacingAction =
  | {
      readonly kind: 'pace';
      readonly assigned: AssignedRun;
      readonly percent: number;
    }
  | {readonly kind: 'evict'; readonly assigned: AssignedRun};

/** Ratio of response time to target above which fillers are slowed down. */
const SLOW_DOWN_RATIO = 0.95;

/** Ratio of response time to target below which fillers are sped up again. */
const SPEED_UP_RATIO = 0.65;

/** Factor applied to the fillers' CPU share at each decrease. */
const DECREASE_FACTOR = 0.4;

/** CPU share below which fillers are paused instead of slowed down, in percent. */
const MIN_RUNNING_PERCENT = 10;

/** Amount added to the fillers' CPU share at each increase, in percentage points. */
const INCREASE_PERCENT = 50;

/**
 * Minimum time between two adjustments. The effect of an adjustment shows in the
 * measurements of the following half second.
 */
const ADJUSTMENT_INTERVAL_MS = 600;

/** Time after a missed target during which no filler that may interfere is added. */
const HOLD_OFF_MS = 1_500;

/**
 * Time for which a target may be missed before all fillers are paused: about half
 * of what the platform allows.
 */
const MAX_MISS_MS = 1_800;

const FULL_PERCENT = 100;

/** Feedback controller for the CPU share of one worker's fillers. */
export class FillerPacer {
  private percent = FULL_PERCENT;
  private lastAdjustmentMs = -Infinity;
  private lastMissMs = -Infinity;
  private missSinceMs: number | undefined;

  private constructor(private readonly model: InterferenceModel) {}

  /**
   * Creates the pacer of one worker.
   * @param model - Learned effects of filler images on serving images.
   */
  static create(model: InterferenceModel): FillerPacer {
    return new FillerPacer(model);
  }

  /**
   * Checks whether fillers that may interfere with serving tasks can be added.
   * @param nowMs - Monotonic time.
   */
  canAddFillers(nowMs: number): boolean {
    if (nowMs - this.lastMissMs < HOLD_OFF_MS) return false;
    return this.percent === FULL_PERCENT;
  }

  /**
   * Decides how to adjust the worker's fillers after a report.
   * @param load - Runs with their latest measurements.
   * @param nowMs - Monotonic time.
   */
  decide(load: WorkerLoad, nowMs: number): PacingAction[] {
    const fillers = [...load.getFillerRuns()].filter(
      ({run}) => run.isConfirmed && !run.isStopping,
    );
    const worst = getWorstServing(load.getServingRuns());
    if (worst === undefined) {
      this.percent = FULL_PERCENT;
      return this.raisePace(fillers);
    }
    const ratio = getTargetRatio(worst);
    this.recordRatio(ratio, nowMs);
    if (nowMs - this.lastAdjustmentMs < ADJUSTMENT_INTERVAL_MS) return [];
    if (ratio > SLOW_DOWN_RATIO) {
      if (this.isMissProlonged(nowMs)) {
        this.lastAdjustmentMs = nowMs;
        this.percent = 0;
        return this.pause(fillers);
      }
      if (worst.run.usage < worst.run.previousUsage) return [];
      if (fillers.length === 0) return [];
      this.lastAdjustmentMs = nowMs;
      return this.reduceInterference(fillers, worst, load);
    }
    if (ratio < SPEED_UP_RATIO && this.percent < FULL_PERCENT) {
      this.lastAdjustmentMs = nowMs;
      this.percent = Math.min(FULL_PERCENT, this.percent + INCREASE_PERCENT);
      return this.raisePace(fillers);
    }
    return [];
  }

  /**
   * Evicts fillers that are known to interfere with the serving task, in
   * descending order of their effect: at least one, and as many as needed until
   * its target is expected to be met. Slows down all fillers if none of them is
   * known to interfere.
   */
  private reduceInterference(
    fillers: readonly AssignedRun[],
    worst: AssignedRun,
    load: WorkerLoad,
  ): PacingAction[] {
    const harmful = fillers
      .filter(filler => this.model.isHarmfulPair(filler, worst))
      .map(filler => ({
        filler,
        effect: this.model.getAddedIndex(filler, worst, load),
      }))
      .sort((left, right) => right.effect - left.effect);
    if (harmful.length === 0) return this.reducePace(fillers);
    const actions: PacingAction[] = [];
    const removed = new Set<AssignedRun>();
    for (const {filler} of harmful) {
      const expected = this.model.predictServingLoadIndex(worst, load, removed);
      if (removed.size > 0 && expected <= MAX_PLANNED_LOAD_INDEX) break;
      removed.add(filler);
      actions.push({kind: 'evict', assigned: filler});
    }
    return actions;
  }

  private recordRatio(ratio: number, nowMs: number): void {
    if (ratio <= 1) {
      this.missSinceMs = undefined;
      return;
    }
    this.lastMissMs = nowMs;
    this.missSinceMs ??= nowMs;
  }

  private isMissProlonged(nowMs: number): boolean {
    if (this.missSinceMs === undefined) return false;
    return nowMs - this.missSinceMs > MAX_MISS_MS;
  }

  private pause(fillers: readonly AssignedRun[]): PacingAction[] {
    const actions: PacingAction[] = [];
    for (const assigned of fillers) {
      if (assigned.run.pacePercent === 0) continue;
      actions.push({kind: 'pace', assigned, percent: 0});
    }
    return actions;
  }

  private reducePace(fillers: readonly AssignedRun[]): PacingAction[] {
    const reducedPercent = this.percent * DECREASE_FACTOR;
    this.percent =
      reducedPercent < MIN_RUNNING_PERCENT ? 0 : Math.round(reducedPercent);
    const {percent} = this;
    return fillers.map(assigned => ({kind: 'pace', assigned, percent}));
  }

  private raisePace(fillers: readonly AssignedRun[]): PacingAction[] {
    const actions: PacingAction[] = [];
    for (const assigned of fillers) {
      if (assigned.run.pacePercent >= this.percent) continue;
      actions.push({kind: 'pace', assigned, percent: this.percent});
    }
    return actions;
  }
}

/**
 * Gets a serving task's latest response time over its target.
 * @param serving - Run of a serving task.
 */
export function getTargetRatio(serving: AssignedRun): number {
  return serving.run.usage / serving.step.spec.targetResponseMs;
}

function getWorstServing(
  runs: ReadonlySet<AssignedRun>,
): AssignedRun | undefined {
  let worst: AssignedRun | undefined;
  for (const each of runs) {
    if (!isServing(each)) continue;
    if (worst === undefined || getTargetRatio(each) > getTargetRatio(worst))
      worst = each;
  }
  return worst;
}
