/** Chooses workers for the tasks of a step. */

import {StepState} from '@mustardlug/jobs/job_state';
import {DisturbanceModel} from './disturbance_model.js';
import {WorkerLoad} from './worker_load.js';

/** A worker that may get new work. */
export interface PackingWorker {
  readonly load: WorkerLoad;
  readonly rack: string;
  readonly labels: readonly string[];
  /** Whether more fillers may be added. */
  readonly takesFillers: boolean;
}

/** What is known of a task's wishes. */
export interface PackingRequest {
  readonly step: StepState;
  readonly disturbance: DisturbanceModel;
  /** Rack on which other tasks of the step run, when they should share one. */
  readonly preferredRack?: string;
}

/** Preference for the rack of the data or of the other tasks. */
const RACK_PREFERENCE = 10;

/** Weight of what a filler adds to a load index, against the unused share of a worker. */
const DISTURBANCE_WEIGHT = 20;

/** Preference of a harmless filler for workers with serving tasks. */
const HARMLESS_PREFERENCE = 1;

/** Preference of a serving task for workers whose serving tasks all have its image. */
const SAME_IMAGE_PREFERENCE = 4;

/** Preference of a serving task for workers without serving tasks over those of other images. */
const NO_IMAGE_PREFERENCE = 2;

/** A worker and how well it suits the tasks of a step. */
interface RankedWorker<T> {
  readonly worker: T;
  readonly score: number;
}

/**
 * Workers that have room for a task of one step, best first. Placing a task
 * changes one worker only, so that the others keep their order.
 */
export class WorkerRanking<T extends PackingWorker> {
  /** In ascending order of the score, so that the best is taken from the end. */
  private readonly ranked: Array<RankedWorker<T>> = [];

  private constructor(private readonly request: PackingRequest) {}

  /**
   * Ranks workers.
   * @param request - Step of the tasks.
   * @param workers - Workers of the step's service.
   */
  static create<T extends PackingWorker>(
    request: PackingRequest,
    workers: readonly T[],
  ): WorkerRanking<T> {
    const ranking = new WorkerRanking<T>(request);
    for (const worker of workers) {
      if (!isEligible(request, worker)) continue;
      ranking.ranked.push({worker, score: getScore(request, worker)});
    }
    ranking.ranked.sort((left, right) => left.score - right.score);
    return ranking;
  }

  /** Gets the best worker, or `undefined` when none has room. */
  getBest(): T | undefined {
    return this.ranked.at(-1)?.worker;
  }

  /** Ranks the best worker anew, after a task was placed on it. */
  refreshBest(): void {
    const best = this.ranked.pop();
    if (best === undefined || !isEligible(this.request, best.worker)) return;
    const score = getScore(this.request, best.worker);
    this.ranked.splice(this.findPosition(score), 0, {
      worker: best.worker,
      score,
    });
  }

  /** Finds the first position whose score is not lower. */
  private findPosition(score: number): number {
    let low = 0;
    let high = this.ranked.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.ranked[middle].score < score) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

function isEligible(request: PackingRequest, worker: PackingWorker): boolean {
  const {step, disturbance} = request;
  const {load, labels} = worker;
  const {needs, requiredLabel, maxPerWorker, isFiller, image} = step.spec;
  if (requiredLabel !== undefined && !labels.includes(requiredLabel))
    return false;
  if (maxPerWorker > 0 && load.getStepCount(step) >= maxPerWorker) return false;
  if (!load.hasRoom(needs, isFiller)) return false;
  if (!isFiller) return true;
  if (load.getUnusedCpuMillis() < needs.cpuMillis) return false;
  if (load.getServingCpuMillis() === 0) return true;
  const {isHarmless, isTolerable} = disturbance.predict(
    image ?? '',
    needs.cpuMillis,
    load,
  );
  return isHarmless || (isTolerable && worker.takesFillers);
}

function getScore(request: PackingRequest, worker: PackingWorker): number {
  const {spec} = request.step;
  const wantedRack = spec.dataRack ?? request.preferredRack;
  const rackScore =
    wantedRack !== undefined && wantedRack === worker.rack
      ? RACK_PREFERENCE
      : 0;
  if (spec.isFiller) return rackScore + getFillerScore(request, worker);
  if (spec.isLongRunning)
    return rackScore + getServingScore(spec.image ?? '', worker.load);
  return rackScore - getFreeShare(worker.load);
}

/** Fillers go where most is unused, away from what they disturb. */
function getFillerScore(
  request: PackingRequest,
  worker: PackingWorker,
): number {
  const {load} = worker;
  const {needs, image} = request.step.spec;
  const unusedShare = load.getUnusedCpuMillis() / load.getCapacity().cpuMillis;
  if (load.getServingCpuMillis() === 0) return unusedShare;
  const {addedIndex, isHarmless} = request.disturbance.predict(
    image ?? '',
    needs.cpuMillis,
    load,
  );
  if (isHarmless) return unusedShare + HARMLESS_PREFERENCE;
  return unusedShare - addedIndex * DISTURBANCE_WEIGHT;
}

/**
 * Serving tasks of one image share workers, so that a filler that disturbs
 * that image finds workers without it, and the fullest one comes first.
 */
function getServingScore(image: string, load: WorkerLoad): number {
  const images = load.getServingImages();
  const freeShare = getFreeShare(load);
  if (images.size === 0) return NO_IMAGE_PREFERENCE - freeShare;
  if (images.size === 1 && images.has(image))
    return SAME_IMAGE_PREFERENCE - freeShare;
  const familiar = images.has(image) ? 1 : 0;
  return familiar / images.size - freeShare;
}

function getFreeShare(load: WorkerLoad): number {
  return load.getFreeCpuMillis() / load.getCapacity().cpuMillis;
}
