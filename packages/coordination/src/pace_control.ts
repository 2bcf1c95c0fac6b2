/** Slows or evicts fillers on a worker while a serving task there misses its target. */

import {
  DisturbanceModel,
  isServing,
  MAX_PLANNED_INDEX,
} from './disturbance_model.js';
import {AssignedRun, WorkerLoad} from './worker_load.js';

/** What to do with one filler. */
export type PaceAction =
  | {
      readonly kind: 'pace';
      readonly assigned: AssignedRun;
      readonly percent: number;
    }
  | {readonly kind: 'evict'; readonly assigned: AssignedRun};

/** Response time over its target above which fillers are slowed. */
const OVER_TARGET_RATIO = 0.95;

/** Response time over its target below which fillers are sped up again. */
const CALM_RATIO = 0.65;

/** Factor on the fillers' share at each step down. */
const DECREASE_FACTOR = 0.4;

/** Share below which a filler is paused, in percent. */
const MIN_PERCENT = 10;

/** Step up of the fillers' share, in percent. */
const INCREASE_PERCENT = 50;

/** Time between two steps: a change shows in the figures of the following half second. */
const STEP_INTERVAL_MS = 600;

/** Time after a missed target in which no filler that may disturb is added. */
const HOLD_OFF_MS = 1_500;

/** Time over the target after which all fillers pause; about half of what the platform allows. */
const MAX_OVER_MS = 1_800;

const FULL_PERCENT = 100;

/** Controls the fillers of one worker. */
export class PaceControl {
  private percent = FULL_PERCENT;
  private lastStepMs = -Infinity;
  private lastOverMs = -Infinity;
  private overSinceMs: number | undefined;

  private constructor(private readonly model: DisturbanceModel) {}

  /**
   * Creates the control of one worker.
   * @param model - Learned effects.
   */
  static create(model: DisturbanceModel): PaceControl {
    return new PaceControl(model);
  }

  /**
   * Checks whether fillers that may disturb can be added.
   * @param nowMs - Monotonic time.
   */
  isOpen(nowMs: number): boolean {
    if (nowMs - this.lastOverMs < HOLD_OFF_MS) return false;
    return this.percent === FULL_PERCENT;
  }

  /**
   * Decides on the worker's fillers after a report.
   * @param load - Runs with their latest figures.
   * @param nowMs - Monotonic time.
   */
  decide(load: WorkerLoad, nowMs: number): PaceAction[] {
    const fillers = [...load.getFillerRuns()].filter(
      ({run}) => run.isConfirmed && !run.isStopping,
    );
    const worst = getWorstServing(load.getServingRuns());
    if (worst === undefined) {
      this.percent = FULL_PERCENT;
      return this.restore(fillers);
    }
    const ratio = getTargetRatio(worst);
    this.noteRatio(ratio, nowMs);
    if (nowMs - this.lastStepMs < STEP_INTERVAL_MS) return [];
    if (ratio > OVER_TARGET_RATIO) {
      if (this.isOverForLong(nowMs)) {
        this.lastStepMs = nowMs;
        this.percent = 0;
        return this.pause(fillers);
      }
      if (worst.run.usage < worst.run.previousUsage) return [];
      if (fillers.length === 0) return [];
      this.lastStepMs = nowMs;
      return this.relieve(fillers, worst, load);
    }
    if (ratio < CALM_RATIO && this.percent < FULL_PERCENT) {
      this.lastStepMs = nowMs;
      this.percent = Math.min(FULL_PERCENT, this.percent + INCREASE_PERCENT);
      return this.restore(fillers);
    }
    return [];
  }

  /**
   * Removes the fillers that are known to disturb, worst first, until the target
   * can be kept. When none is known, all share the blame and are slowed.
   */
  private relieve(
    fillers: readonly AssignedRun[],
    worst: AssignedRun,
    load: WorkerLoad,
  ): PaceAction[] {
    const harmful = fillers
      .filter(filler => this.model.isHarmfulPair(filler, worst))
      .map(filler => ({
        filler,
        effect: this.model.getEffectOf(filler, worst, load),
      }))
      .sort((left, right) => right.effect - left.effect);
    if (harmful.length === 0) return this.slow(fillers);
    const actions: PaceAction[] = [];
    const removed = new Set<AssignedRun>();
    for (const {filler} of harmful) {
      const expected = this.model.getExpectedIndex(worst, load, removed);
      if (removed.size > 0 && expected <= MAX_PLANNED_INDEX) break;
      removed.add(filler);
      actions.push({kind: 'evict', assigned: filler});
    }
    return actions;
  }

  private noteRatio(ratio: number, nowMs: number): void {
    if (ratio <= 1) {
      this.overSinceMs = undefined;
      return;
    }
    this.lastOverMs = nowMs;
    this.overSinceMs ??= nowMs;
  }

  private isOverForLong(nowMs: number): boolean {
    if (this.overSinceMs === undefined) return false;
    return nowMs - this.overSinceMs > MAX_OVER_MS;
  }

  private pause(fillers: readonly AssignedRun[]): PaceAction[] {
    const actions: PaceAction[] = [];
    for (const assigned of fillers) {
      if (assigned.run.pacePercent === 0) continue;
      actions.push({kind: 'pace', assigned, percent: 0});
    }
    return actions;
  }

  private slow(fillers: readonly AssignedRun[]): PaceAction[] {
    const lower = this.percent * DECREASE_FACTOR;
    this.percent = lower < MIN_PERCENT ? 0 : Math.round(lower);
    const {percent} = this;
    return fillers.map(assigned => ({kind: 'pace', assigned, percent}));
  }

  private restore(fillers: readonly AssignedRun[]): PaceAction[] {
    const actions: PaceAction[] = [];
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
