/** Throttles or evicts fillers on a worker while a serving task there misses its target. */

import {TaskRun} from '@mustardlug/jobs/job_state';
import {
  InterferenceModel,
  hasResponseTarget,
  MAX_PLANNED_LOAD_INDEX,
} from './interference_model.js';
import {AssignedRun, WorkerLoad} from './worker_load.js';

/** An action on one filler: a new CPU limit, or eviction. */
export type FillerAction =
  | {
      readonly kind: 'limit';
      readonly assigned: AssignedRun;
      readonly cpuLimitPercent: number;
    }
  | {readonly kind: 'evict'; readonly assigned: AssignedRun};

/** Ratio of response time to target above which the CPU limit of fillers is lowered. */
const THROTTLE_RATIO = 0.95;

/** Ratio of response time to target below which the CPU limit of fillers is raised again. */
const RECOVERY_RATIO = 0.65;

/** Factor by which the CPU limit of fillers is multiplied when it is lowered. */
const DECREASE_FACTOR = 0.4;

/** Lowest CPU limit of fillers, in percent. Below it they are paused. */
const MIN_CPU_LIMIT_PERCENT = 10;

/** Amount by which the CPU limit of fillers is raised, in percentage points. */
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

const UNLIMITED_PERCENT = 100;

/** Feedback controller for the CPU limit of one worker's fillers. */
export class FillerThrottler {
  private cpuLimitPercent = UNLIMITED_PERCENT;
  private lastAdjustmentMs = -Infinity;
  private lastMissMs = -Infinity;
  private missStartMs: number | undefined;
  /** Start times of the worker processes for which this throttler has set the CPU limit of a run. */
  private readonly limitedProcesses = new WeakMap<TaskRun, number>();

  private constructor(private readonly interferenceModel: InterferenceModel) {}

  /**
   * Creates the throttler of one worker.
   * @param interferenceModel - Learned effects of filler images on serving images.
   */
  static create(interferenceModel: InterferenceModel): FillerThrottler {
    return new FillerThrottler(interferenceModel);
  }

  /**
   * Checks whether fillers that may interfere with serving tasks can be added.
   * @param nowMs - Monotonic time.
   */
  canAddFillers(nowMs: number): boolean {
    if (nowMs - this.lastMissMs < HOLD_OFF_MS) return false;
    return this.cpuLimitPercent === UNLIMITED_PERCENT;
  }

  /**
   * Decides how to adjust the worker's fillers after a report.
   * @param load - Runs with their latest measurements.
   * @param nowMs - Monotonic time.
   */
  decide(load: WorkerLoad, nowMs: number): FillerAction[] {
    const actions = this.chooseActions(load, nowMs);
    for (const {kind, assigned} of actions) {
      if (kind !== 'limit') continue;
      this.limitedProcesses.set(assigned.run, assigned.run.workerStartMs);
    }
    return actions;
  }

  private chooseActions(load: WorkerLoad, nowMs: number): FillerAction[] {
    const fillers = [...load.getFillerRuns()].filter(
      ({run}) => run.isConfirmed && !run.isStopping,
    );
    const worst = getWorstServing(load.getServingRuns());
    if (worst === undefined) {
      this.cpuLimitPercent = UNLIMITED_PERCENT;
      return this.raiseCpuLimit(fillers);
    }
    const ratio = getTargetRatio(worst);
    this.recordRatio(ratio, nowMs);
    if (nowMs - this.lastAdjustmentMs < ADJUSTMENT_INTERVAL_MS) return [];
    if (ratio > THROTTLE_RATIO) {
      if (this.isMissProlonged(nowMs)) {
        this.lastAdjustmentMs = nowMs;
        this.cpuLimitPercent = 0;
        return this.pause(fillers);
      }
      // The response time is already falling.
      if (worst.run.usage < worst.run.previousUsage) return [];
      if (fillers.length === 0) return [];
      this.lastAdjustmentMs = nowMs;
      return this.reduceInterference(fillers, worst, load);
    }
    const mayBeLimited =
      this.cpuLimitPercent < UNLIMITED_PERCENT ||
      fillers.some(each => this.isLimitUnknown(each));
    if (ratio < RECOVERY_RATIO && mayBeLimited) {
      this.lastAdjustmentMs = nowMs;
      this.cpuLimitPercent = Math.min(
        UNLIMITED_PERCENT,
        this.cpuLimitPercent + INCREASE_PERCENT,
      );
      return this.raiseCpuLimit(fillers);
    }
    return [];
  }

  /**
   * Evicts fillers that are known to interfere with the serving task, in
   * descending order of their effect: at least one, and as many as needed until
   * its target is expected to be met. Throttles all fillers if none of them is
   * known to interfere.
   */
  private reduceInterference(
    fillers: readonly AssignedRun[],
    worst: AssignedRun,
    load: WorkerLoad,
  ): FillerAction[] {
    const harmfulFillers = fillers
      .filter(filler => this.interferenceModel.isHarmfulPair(filler, worst))
      .map(filler => ({
        filler,
        effect: this.interferenceModel.getAddedLoadIndex(filler, worst, load),
      }))
      .sort((left, right) => right.effect - left.effect);
    if (harmfulFillers.length === 0) return this.lowerCpuLimit(fillers);
    const actions: FillerAction[] = [];
    const removed = new Set<AssignedRun>();
    for (const {filler} of harmfulFillers) {
      const expected = this.interferenceModel.predictServingLoadIndex(
        worst,
        load,
        removed,
      );
      if (removed.size > 0 && expected <= MAX_PLANNED_LOAD_INDEX) break;
      removed.add(filler);
      actions.push({kind: 'evict', assigned: filler});
    }
    return actions;
  }

  private recordRatio(ratio: number, nowMs: number): void {
    if (ratio <= 1) {
      this.missStartMs = undefined;
      return;
    }
    this.lastMissMs = nowMs;
    this.missStartMs ??= nowMs;
  }

  private isMissProlonged(nowMs: number): boolean {
    if (this.missStartMs === undefined) return false;
    return nowMs - this.missStartMs > MAX_MISS_MS;
  }

  private pause(fillers: readonly AssignedRun[]): FillerAction[] {
    const actions: FillerAction[] = [];
    for (const assigned of fillers) {
      const isPaused = assigned.run.cpuLimitPercent === 0;
      if (isPaused && !this.isLimitUnknown(assigned)) continue;
      actions.push({kind: 'limit', assigned, cpuLimitPercent: 0});
    }
    return actions;
  }

  private lowerCpuLimit(fillers: readonly AssignedRun[]): FillerAction[] {
    const reducedPercent = this.cpuLimitPercent * DECREASE_FACTOR;
    this.cpuLimitPercent =
      reducedPercent < MIN_CPU_LIMIT_PERCENT ? 0 : Math.round(reducedPercent);
    const {cpuLimitPercent} = this;
    return fillers.map(assigned => ({
      kind: 'limit',
      assigned,
      cpuLimitPercent,
    }));
  }

  private raiseCpuLimit(fillers: readonly AssignedRun[]): FillerAction[] {
    const actions: FillerAction[] = [];
    for (const assigned of fillers) {
      const isRaised = assigned.run.cpuLimitPercent >= this.cpuLimitPercent;
      if (isRaised && !this.isLimitUnknown(assigned)) continue;
      actions.push({
        kind: 'limit',
        assigned,
        cpuLimitPercent: this.cpuLimitPercent,
      });
    }
    return actions;
  }

  /**
   * Checks whether the actual CPU limit of a run may differ from the recorded
   * one: an earlier coordinator may have set it, or another worker process may
   * have started the run without it.
   */
  private isLimitUnknown({run}: AssignedRun): boolean {
    const processStartMs = this.limitedProcesses.get(run);
    if (processStartMs === undefined) return run.isAdopted;
    return processStartMs !== run.workerStartMs;
  }
}

/**
 * Gets the ratio of a serving task's latest response time to its target.
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
    if (!hasResponseTarget(each)) continue;
    if (worst === undefined || getTargetRatio(each) > getTargetRatio(worst))
      worst = each;
  }
  return worst;
}
