/** Throttles or evicts fillers on a worker while a serving task there misses its target. */

import {TaskRun} from '@mustardlug/jobs/job_state';
import {
  InterferenceModel,
  hasResponseTarget,
  MAX_PLANNED_LOAD_INDEX,
} from './interference_model.js';
import {
  getMinCpuLimitPercent,
  getTolerableCpuLimitPercent,
  LimitedFiller,
} from './limited_fillers.js';
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

/**
 * Time without a miss after which one paused filler may go on although the
 * response times leave no margin. Doubles with each miss that follows, up to the maximum.
 */
const MIN_RESUME_INTERVAL_MS = 5_000;
const MAX_RESUME_INTERVAL_MS = 40_000;

/** Time after which a paused filler that cannot go on here is evicted, so that it can elsewhere. */
const MAX_PAUSE_MS = 10_000;

const UNLIMITED_PERCENT = 100;

/** Feedback controller for the CPU limit of one worker's fillers. */
export class FillerThrottler {
  private cpuLimitPercent = UNLIMITED_PERCENT;
  private lastAdjustmentMs = -Infinity;
  private lastMissMs = -Infinity;
  private missStartMs: number | undefined;
  private lastResumeMs = -Infinity;
  private resumeIntervalMs = MIN_RESUME_INTERVAL_MS;
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
    actions.push(...this.confirmCpuLimits(load, actions));
    for (const {kind, assigned} of actions) {
      if (kind !== 'limit') continue;
      this.limitedProcesses.set(assigned.run, assigned.run.workerStartMs);
    }
    return actions;
  }

  /** Sends the CPU limits with which fillers were placed again to the processes that run them. */
  private confirmCpuLimits(
    load: WorkerLoad,
    actions: readonly FillerAction[],
  ): FillerAction[] {
    const acted = new Set(actions.map(({assigned}) => assigned));
    const confirmed: FillerAction[] = [];
    for (const assigned of load.getFillerRuns()) {
      const {run} = assigned;
      const {cpuLimitPercent} = run;
      if (cpuLimitPercent === UNLIMITED_PERCENT || acted.has(assigned))
        continue;
      if (!run.isConfirmed || run.isStopping) continue;
      if (this.limitedProcesses.get(run) === run.workerStartMs) continue;
      confirmed.push({kind: 'limit', assigned, cpuLimitPercent});
    }
    return confirmed;
  }

  private chooseActions(load: WorkerLoad, nowMs: number): FillerAction[] {
    const fillers = [...load.getFillerRuns()].filter(
      ({run}) => run.isConfirmed && !run.isStopping,
    );
    const worst = getWorstServing(load.getServingRuns());
    if (worst === undefined) {
      this.cpuLimitPercent = UNLIMITED_PERCENT;
      return this.raiseCpuLimit(fillers, load);
    }
    const ratio = getTargetRatio(worst);
    this.recordRatio(ratio, nowMs);
    if (nowMs - this.lastAdjustmentMs < ADJUSTMENT_INTERVAL_MS) return [];
    if (ratio > THROTTLE_RATIO) {
      if (this.isMissProlonged(nowMs)) {
        this.lastAdjustmentMs = nowMs;
        this.cpuLimitPercent = 0;
        const actions = this.pause(fillers);
        return actions.length > 0 ? actions : this.evictStuck(fillers, nowMs);
      }
      if (fillers.every(each => this.isPaused(each)))
        return this.evictStuck(fillers, nowMs);
      // The response time is already falling.
      if (worst.run.usage < worst.run.previousUsage) return [];
      if (fillers.length === 0) return [];
      this.lastAdjustmentMs = nowMs;
      return this.reduceInterference(fillers, worst, load);
    }
    if (ratio >= RECOVERY_RATIO) {
      const actions = this.evictStuck(fillers, nowMs);
      if (actions.length > 0) return actions;
      return this.resumeOne(fillers, load, nowMs);
    }
    this.resumeIntervalMs = MIN_RESUME_INTERVAL_MS;
    const wasLimited = this.cpuLimitPercent < UNLIMITED_PERCENT;
    this.cpuLimitPercent = Math.min(
      UNLIMITED_PERCENT,
      this.cpuLimitPercent + INCREASE_PERCENT,
    );
    const actions = this.raiseCpuLimit(fillers, load);
    if (wasLimited || actions.length > 0) this.lastAdjustmentMs = nowMs;
    return actions;
  }

  /**
   * Evicts fillers that are known to interfere with the serving task, or lowers
   * the CPU limits that they have, in descending order of their effect: at least
   * one, and as many as needed until its target is expected to be met. Throttles
   * all fillers if none of them is known to interfere.
   */
  private reduceInterference(
    fillers: readonly AssignedRun[],
    worst: AssignedRun,
    load: WorkerLoad,
  ): FillerAction[] {
    const harmfulFillers = fillers
      .filter(filler => filler.run.cpuLimitPercent > 0)
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
      actions.push(reduceFiller(filler));
    }
    return actions;
  }

  /** Lets one paused filler go on at a share that cannot cause a missed target. */
  private resumeOne(
    fillers: readonly AssignedRun[],
    load: WorkerLoad,
    nowMs: number,
  ): FillerAction[] {
    const waitedMs = nowMs - Math.max(this.lastMissMs, this.lastResumeMs);
    if (waitedMs < this.resumeIntervalMs) return [];
    const paused = fillers.find(({run}) => run.cpuLimitPercent === 0);
    if (paused === undefined) return [];
    const cpuLimitPercent = getMinCpuLimitPercent(
      toLimitedFiller(paused),
      load,
      this.interferenceModel,
    );
    if (cpuLimitPercent === 0) return [];
    this.lastAdjustmentMs = nowMs;
    this.lastResumeMs = nowMs;
    return [{kind: 'limit', assigned: paused, cpuLimitPercent}];
  }

  /** Evicts one filler that has been paused for too long, if there is one. */
  private evictStuck(
    fillers: readonly AssignedRun[],
    nowMs: number,
  ): FillerAction[] {
    for (const assigned of fillers) {
      const pausedMs = nowMs - assigned.run.cpuLimitChangedMs;
      if (!this.isPaused(assigned) || pausedMs <= MAX_PAUSE_MS) continue;
      this.lastAdjustmentMs = nowMs;
      return [{kind: 'evict', assigned}];
    }
    return [];
  }

  private isPaused(assigned: AssignedRun): boolean {
    if (assigned.run.cpuLimitPercent > 0) return false;
    return !this.isLimitUnknown(assigned);
  }

  private recordRatio(ratio: number, nowMs: number): void {
    if (ratio <= 1) {
      this.missStartMs = undefined;
      return;
    }
    if (this.lastResumeMs > this.lastMissMs) {
      const doubledMs = this.resumeIntervalMs * 2;
      this.resumeIntervalMs = Math.min(MAX_RESUME_INTERVAL_MS, doubledMs);
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
      if (this.isPaused(assigned)) continue;
      actions.push({kind: 'limit', assigned, cpuLimitPercent: 0});
    }
    return actions;
  }

  private lowerCpuLimit(fillers: readonly AssignedRun[]): FillerAction[] {
    this.cpuLimitPercent = getReducedPercent(this.cpuLimitPercent);
    return fillers.map(assigned => ({
      kind: 'limit',
      assigned,
      cpuLimitPercent: Math.min(
        this.cpuLimitPercent,
        assigned.run.cpuLimitPercent,
      ),
    }));
  }

  private raiseCpuLimit(
    fillers: readonly AssignedRun[],
    load: WorkerLoad,
  ): FillerAction[] {
    const actions: FillerAction[] = [];
    for (const assigned of fillers) {
      const {run} = assigned;
      const isUnknown = this.isLimitUnknown(assigned);
      // The prediction costs time, and there is one report for each run that ends.
      if (!isUnknown && run.cpuLimitPercent >= this.cpuLimitPercent) continue;
      const cpuLimitPercent = this.getRaisedPercent(assigned, load);
      if (!isUnknown && cpuLimitPercent <= run.cpuLimitPercent) continue;
      // The limits of the others depend on it.
      run.cpuLimitPercent = cpuLimitPercent;
      actions.push({kind: 'limit', assigned, cpuLimitPercent});
    }
    return actions;
  }

  /** Gets the limit to which a filler may be raised: at most what its serving tasks tolerate. */
  private getRaisedPercent(assigned: AssignedRun, load: WorkerLoad): number {
    const {run} = assigned;
    const tolerablePercent = getTolerableCpuLimitPercent(
      toLimitedFiller(assigned),
      load,
      this.interferenceModel,
    );
    if (run.isAdopted && this.isLimitUnknown(assigned))
      return Math.min(this.cpuLimitPercent, tolerablePercent);
    const raisedPercent = run.cpuLimitPercent + INCREASE_PERCENT;
    return Math.min(
      this.cpuLimitPercent,
      Math.max(run.cpuLimitPercent, Math.min(raisedPercent, tolerablePercent)),
    );
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

function toLimitedFiller(running: AssignedRun): LimitedFiller {
  const {needs, image = ''} = running.step.spec;
  return {image, cpuMillis: needs.cpuMillis, running};
}

/** Evicts a filler, or lowers its CPU limit further if it has one: it would find no better worker. */
function reduceFiller(assigned: AssignedRun): FillerAction {
  const {cpuLimitPercent} = assigned.run;
  if (cpuLimitPercent === UNLIMITED_PERCENT) return {kind: 'evict', assigned};
  return {
    kind: 'limit',
    assigned,
    cpuLimitPercent: getReducedPercent(cpuLimitPercent),
  };
}

function getReducedPercent(cpuLimitPercent: number): number {
  const reducedPercent = cpuLimitPercent * DECREASE_FACTOR;
  return reducedPercent < MIN_CPU_LIMIT_PERCENT
    ? 0
    : Math.round(reducedPercent);
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
