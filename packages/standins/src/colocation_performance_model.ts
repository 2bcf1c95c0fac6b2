/**
 * Performance model of colocated serving tasks and fillers: response times follow a
 * queueing model, and fillers share the CPU that other runs leave unused.
 */

import {
  ActiveRun,
  WorkerConditions,
  RunPerformanceModel,
  RunTraits,
} from './run_performance_model.js';

export interface ColocationOptions {
  readonly getTraits: (taskName: string) => RunTraits;
  /**
   * Gets the load that a filler image adds to a task of a serving image when the
   * filler uses all CPU of the worker.
   */
  readonly getEffect: (servingImage: string, fillerImage: string) => number;
}

/**
 * Mean load of a serving task, which is also the share of its declared CPU that
 * it uses.
 */
const MEAN_LOAD = 0.42;

/** Amplitude of the load's sinusoidal oscillation, relative to the mean. */
const LOAD_AMPLITUDE = 0.5;
const LOAD_PERIOD_MS = 14_000;

/** Ratio of the response time without load to the target. */
const IDLE_RESPONSE_RATIO = 0.22;

/** Maximum ratio of the response time to the target. */
const MAX_RESPONSE_RATIO = 40;

/** Maximum relative noise of a reported response time. */
const MAX_RELATIVE_NOISE = 0.07;

/** Constants of a sine hash, which maps times to evenly distributed fractions. */
const SINE_HASH_MULTIPLIER = 12.9898;
const SINE_HASH_SCALE = 43_758.5453;

const FULL_PERCENT = 100;

/** Performance model of serving, filler and plain tasks. */
export class ColocationPerformanceModel extends RunPerformanceModel {
  private constructor(private readonly options: ColocationOptions) {
    super();
  }

  /**
   * Creates a model.
   * @param options - Traits of tasks, and interference between images.
   */
  static create(options: ColocationOptions): ColocationPerformanceModel {
    return new ColocationPerformanceModel(options);
  }

  override getSpeed(
    run: ActiveRun,
    runs: Iterable<ActiveRun>,
    worker: WorkerConditions,
    nowMs: number,
  ): number {
    const {kind} = this.options.getTraits(run.taskName);
    if (kind !== 'filler') return 1;
    const share = this.getFillerCpuShare([...runs], worker, nowMs);
    return (share * run.cpuLimitPercent) / FULL_PERCENT;
  }

  override getResponseMs(
    run: ActiveRun,
    runs: Iterable<ActiveRun>,
    worker: WorkerConditions,
    nowMs: number,
  ): number {
    const traits = this.options.getTraits(run.taskName);
    if (traits.kind !== 'serving') return 0;
    const load = this.getServingLoad(run, [...runs], worker, nowMs);
    const responseMs = getResponseMsAtLoad(traits.targetMs, load);
    return Math.round(responseMs * getNoiseFactor(traits.phase, nowMs));
  }

  /**
   * Gets the load that fillers add to a serving task.
   * @param run - Run of a serving task.
   * @param runs - All runs of the worker.
   * @param worker - The worker.
   * @param nowMs - Monotonic time.
   */
  getInterferenceLoad(
    run: ActiveRun,
    runs: Iterable<ActiveRun>,
    worker: WorkerConditions,
    nowMs: number,
  ): number {
    const {getTraits, getEffect} = this.options;
    const {image} = getTraits(run.taskName);
    const allRuns = [...runs];
    const share = this.getFillerCpuShare(allRuns, worker, nowMs);
    let addedLoad = 0;
    for (const other of allRuns) {
      const traits = getTraits(other.taskName);
      if (traits.kind !== 'filler') continue;
      const usedMillis = getCpuLimitMillis(other, traits) * share;
      addedLoad +=
        (getEffect(image, traits.image) * usedMillis) / worker.cpuMillis;
    }
    return addedLoad;
  }

  /**
   * Gets the load of a serving task without the interference of fillers.
   * @param run - Run of a serving task.
   * @param worker - The worker.
   * @param nowMs - Monotonic time.
   */
  getOwnLoad(run: ActiveRun, worker: WorkerConditions, nowMs: number): number {
    const {phase} = this.options.getTraits(run.taskName);
    const angle = 2 * Math.PI * (nowMs / LOAD_PERIOD_MS + phase);
    return MEAN_LOAD * (1 + LOAD_AMPLITUDE * Math.sin(angle)) * worker.slowness;
  }

  private getServingLoad(
    run: ActiveRun,
    runs: readonly ActiveRun[],
    worker: WorkerConditions,
    nowMs: number,
  ): number {
    return (
      this.getOwnLoad(run, worker, nowMs) +
      this.getInterferenceLoad(run, runs, worker, nowMs)
    );
  }

  /**
   * Gets the fraction of their demand that fillers receive from the CPU that
   * serving and plain tasks leave unused.
   */
  private getFillerCpuShare(
    runs: readonly ActiveRun[],
    worker: WorkerConditions,
    nowMs: number,
  ): number {
    let unusedMillis = worker.cpuMillis;
    let demandedMillis = 0;
    for (const run of runs) {
      const traits = this.options.getTraits(run.taskName);
      const {kind, cpuMillis} = traits;
      if (kind === 'filler') demandedMillis += getCpuLimitMillis(run, traits);
      else if (kind === 'plain') unusedMillis -= cpuMillis;
      else
        unusedMillis -=
          cpuMillis * Math.min(1, this.getOwnLoad(run, worker, nowMs));
    }
    if (demandedMillis <= unusedMillis) return 1;
    return Math.max(0, unusedMillis) / demandedMillis;
  }
}

/**
 * Gets the response time of a serving task under a given load, without noise.
 * @param targetMs - Target response time.
 * @param load - Load of the task; 1 when saturated.
 */
export function getResponseMsAtLoad(targetMs: number, load: number): number {
  const idleMs = targetMs * IDLE_RESPONSE_RATIO;
  const maxMs = targetMs * MAX_RESPONSE_RATIO;
  if (load >= 1) return maxMs;
  return Math.min(maxMs, idleMs / (1 - load));
}

/** Gets a reproducible noise factor; real workers report inexact measurements. */
function getNoiseFactor(phase: number, nowMs: number): number {
  const hash = Math.sin(nowMs * SINE_HASH_MULTIPLIER + phase) * SINE_HASH_SCALE;
  const fraction = hash - Math.floor(hash);
  return 1 + MAX_RELATIVE_NOISE * (2 * fraction - 1);
}

function getCpuLimitMillis(run: ActiveRun, {cpuMillis}: RunTraits): number {
  return (cpuMillis * run.cpuLimitPercent) / FULL_PERCENT;
}
