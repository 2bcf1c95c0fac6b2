/** Ranks the candidate workers for the tasks of a step. */

import {StepState} from '@mustardlug/jobs/job_state';
import {FillerIntolerance, InterferenceModel} from './interference_model.js';
import {Shortage, WorkerLoad} from './worker_load.js';

/** A worker that is eligible for new tasks. */
export interface CandidateWorker {
  readonly load: WorkerLoad;
  readonly rack: string;
  readonly labels: readonly string[];
  /** Whether fillers that may interfere with serving tasks can be added. */
  readonly acceptsFillers: boolean;
}

/** The step to place and the placement inputs that are common to its tasks. */
export interface RankingRequest {
  readonly step: StepState;
  readonly interferenceModel: InterferenceModel;
  /** Rack that all tasks of the step should share, if the step asks for a common rack. */
  readonly preferredRack?: string;
  /** Whether the tasks are suspected, so that each is tried on a worker that starts nothing else. */
  readonly isTrial?: boolean;
}

/** Why a candidate worker is not eligible for a task of a step. */
export type CandidateExclusion =
  | 'trial'
  | 'label'
  | 'limit-per-worker'
  | Shortage
  | 'filler-no-reclaimable-cpu'
  | FillerIntolerance
  | 'filler-hold-off';

/** Score bonus of workers on the rack of the step's data or of its other tasks. */
const PREFERRED_RACK_SCORE = 10;

/** Weight of the load index that a filler adds, relative to the worker's reclaimable CPU share. */
const INTERFERENCE_WEIGHT = 20;

/** Score bonus, when a filler is placed, of workers whose serving tasks it does not affect. */
const HARMLESS_FILLER_SCORE = 1;

/** Score bonus, when a serving task is placed, of workers that serve only its image. */
const SAME_IMAGE_SCORE = 4;

/**
 * Score bonus, when a serving task is placed, of workers without serving tasks,
 * so that they rank above workers that serve other images.
 */
const NO_SERVING_TASK_SCORE = 2;

/** A worker and its score for the tasks of a step. */
interface RankedWorker<T> {
  readonly worker: T;
  readonly score: number;
}

/**
 * Priority queue of the workers that have room for a task of one step. Placing
 * a task changes the score of one worker only, so the others keep their order.
 */
export class WorkerRanking<T extends CandidateWorker> {
  /** Sorted by ascending score, so that the best worker can be popped from the end. */
  private readonly ranked: Array<RankedWorker<T>> = [];

  private constructor(private readonly request: RankingRequest) {}

  /**
   * Ranks workers.
   * @param request - Step of the tasks.
   * @param workers - Workers of the step's service.
   */
  static create<T extends CandidateWorker>(
    request: RankingRequest,
    workers: readonly T[],
  ): WorkerRanking<T> {
    const ranking = new WorkerRanking<T>(request);
    for (const worker of workers) {
      const score = assessWorker(request, worker);
      if (typeof score === 'number') ranking.ranked.push({worker, score});
    }
    ranking.ranked.sort((left, right) => left.score - right.score);
    return ranking;
  }

  /**
   * Gets the worker with the highest score, or `undefined` if none has room.
   * @param isAvoided - Selects workers that are returned only if no other has room.
   */
  getBest(isAvoided: (worker: T) => boolean = () => false): T | undefined {
    const best = this.ranked.findLast(({worker}) => !isAvoided(worker));
    return (best ?? this.ranked.at(-1))?.worker;
  }

  /**
   * Recomputes the score of a worker after a task was placed on it.
   * @param worker - Worker that `getBest` returned.
   */
  rescore(worker: T): void {
    const index = this.ranked.findLastIndex(each => each.worker === worker);
    if (index < 0) return;
    this.ranked.splice(index, 1);
    const score = assessWorker(this.request, worker);
    if (typeof score !== 'number') return;
    this.ranked.splice(this.findInsertionIndex(score), 0, {worker, score});
  }

  /** Finds the first index whose score is not lower than the given one. */
  private findInsertionIndex(score: number): number {
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

/**
 * Gets the score of a worker for the tasks of a step, or the first reason why it
 * is not eligible.
 * @param request - Step of the tasks.
 * @param worker - Worker of the step's service.
 */
export function assessWorker(
  request: RankingRequest,
  worker: CandidateWorker,
): number | CandidateExclusion {
  const {step, isTrial = false} = request;
  if (!worker.load.canStartBeside(step, isTrial)) return 'trial';
  const obstacle = findRoomObstacle(step, worker);
  if (obstacle !== undefined) return obstacle;
  const suitability = getSuitability(request, worker);
  if (typeof suitability !== 'number') return suitability;
  const targetRack = step.spec.dataRack ?? request.preferredRack;
  const isOnTargetRack = targetRack !== undefined && targetRack === worker.rack;
  return (isOnTargetRack ? PREFERRED_RACK_SCORE : 0) + suitability;
}

function findRoomObstacle(
  step: StepState,
  {load, labels}: CandidateWorker,
): CandidateExclusion | undefined {
  const {needs, requiredLabel, maxPerWorker, isFiller} = step.spec;
  if (requiredLabel !== undefined && !labels.includes(requiredLabel))
    return 'label';
  if (maxPerWorker > 0 && load.getStepRunCount(step) >= maxPerWorker)
    return 'limit-per-worker';
  return load.findShortage(needs, isFiller);
}

function getSuitability(
  request: RankingRequest,
  worker: CandidateWorker,
): number | CandidateExclusion {
  const {isFiller, isLongRunning, image} = request.step.spec;
  if (isFiller) return getFillerSuitability(request, worker);
  if (isLongRunning) return getServingSuitability(image ?? '', worker.load);
  return -getFreeShare(worker.load);
}

/**
 * Prefers workers with much reclaimable CPU and little interference with their
 * serving tasks. Excludes workers where a serving task would miss its target.
 */
function getFillerSuitability(
  request: RankingRequest,
  {load, acceptsFillers}: CandidateWorker,
): number | CandidateExclusion {
  const {needs, image} = request.step.spec;
  const reclaimableCpuMillis = load.getReclaimableCpuMillis();
  if (reclaimableCpuMillis < needs.cpuMillis)
    return 'filler-no-reclaimable-cpu';
  const reclaimableShare = reclaimableCpuMillis / load.getCapacity().cpuMillis;
  if (load.getServingCpuMillis() === 0) return reclaimableShare;
  const {addedLoadIndex, isHarmless, intolerance} =
    request.interferenceModel.predict(image ?? '', needs.cpuMillis, load);
  if (isHarmless) return reclaimableShare + HARMLESS_FILLER_SCORE;
  if (intolerance !== undefined) return intolerance;
  if (!acceptsFillers) return 'filler-hold-off';
  return reclaimableShare - addedLoadIndex * INTERFERENCE_WEIGHT;
}

/**
 * Groups serving tasks of one image on the same workers, so that workers without
 * that image remain for fillers that interfere with it. Among equal workers the
 * one with the least free CPU is preferred.
 */
function getServingSuitability(image: string, load: WorkerLoad): number {
  const images = load.getServingImages();
  const freeShare = getFreeShare(load);
  if (images.size === 0) return NO_SERVING_TASK_SCORE - freeShare;
  if (images.size === 1 && images.has(image))
    return SAME_IMAGE_SCORE - freeShare;
  const imageScore = images.has(image) ? 1 : 0;
  return imageScore / images.size - freeShare;
}

function getFreeShare(load: WorkerLoad): number {
  return load.getFreeCpuMillis() / load.getCapacity().cpuMillis;
}
