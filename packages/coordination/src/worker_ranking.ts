/** Ranks the candidate workers for the tasks of a step. */

import {StepState} from '@mustardlug/jobs/job_state';
import {FillerIntolerance, InterferenceModel} from './interference_model.js';
import {
  getMinCpuLimitPercent,
  getTolerableCpuLimitPercent,
} from './limited_fillers.js';
import {Shortage, StartKind, WorkerLoad} from './worker_load.js';

/** A worker that is eligible for new tasks. */
export interface CandidateWorker {
  readonly load: WorkerLoad;
  readonly rack: string;
  readonly labels: readonly string[];
  /** Whether fillers that may interfere with serving tasks can be added. */
  readonly acceptsFillers: boolean;
  /** Whether the worker may hold a lease for which a long-running task would have to wait too long if it were lost now. */
  readonly mayHoldLongLease?: boolean;
}

/** The step to place and the placement inputs that are common to its tasks. */
export interface RankingRequest {
  readonly step: StepState;
  readonly interferenceModel: InterferenceModel;
  /** Rack that all tasks of the step should share, if the step asks for a common rack. */
  readonly preferredRack?: string;
  /** How the tasks are to be started; as usual if absent. */
  readonly startKind?: StartKind;
  /** Whether fillers may also be placed under a CPU limit, if no worker can take them without. */
  readonly canLimitFillers?: boolean;
  /** Whether a filler may also be placed, under the lowest CPU limit, where others have taken all CPU. */
  readonly canOvercommitFillers?: boolean;
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

/** Score, when a serving task is placed, of workers that may hold a long lease: below all others. */
const LONG_LEASE_SCORE = -100;

/** Score, less the CPU limit, of workers that can take a filler only under one: below all others. */
const LIMITED_FILLER_SCORE = -1_000;

/** Score of workers that can take a filler only beyond their CPU: below all others. */
const OVERCOMMITTED_SCORE = -2_000;

const UNLIMITED_PERCENT = 100;

/** Suitability of a worker for the tasks of a step. */
export interface Suitability {
  readonly score: number;
  /** CPU limit under which the worker can take a task, in percent of its needs. */
  readonly cpuLimitPercent: number;
}

/** A worker and its suitability for the tasks of a step. */
interface RankedWorker<T> extends Suitability {
  readonly worker: T;
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
      // On a full fleet most workers have no room, which costs least to check.
      if (findRoomObstacle(request.step, worker) !== undefined) continue;
      const suitability = rateWorker(request, worker);
      if (typeof suitability === 'string') continue;
      // Examines all runs that were started lately.
      if (!canStartBeside(request, worker)) continue;
      ranking.ranked.push({worker, ...suitability});
    }
    ranking.ranked.sort((left, right) => left.score - right.score);
    return ranking;
  }

  /**
   * Gets the worker with the highest score, or `undefined` if none has room.
   * @param isAvoided - Selects workers that are returned only if no other has room.
   * @param isAllowed - Selects the workers that may be returned; all by default.
   */
  getBest(
    isAvoided: (worker: T) => boolean = () => false,
    isAllowed: (worker: T) => boolean = () => true,
  ): T | undefined {
    const best = this.ranked.findLast(
      ({worker}) => !isAvoided(worker) && isAllowed(worker),
    );
    const found = best ?? this.ranked.findLast(each => isAllowed(each.worker));
    return found?.worker;
  }

  /**
   * Gets the CPU limit under which a worker can take a task, in percent of its needs.
   * @param worker - Worker that `getBest` returned.
   */
  getCpuLimitPercent(worker: T): number {
    const found = this.ranked.findLast(each => each.worker === worker);
    return found?.cpuLimitPercent ?? UNLIMITED_PERCENT;
  }

  /**
   * Recomputes the score of a worker after a task was placed on it.
   * @param worker - Worker that `getBest` returned.
   */
  rescore(worker: T): void {
    const index = this.ranked.findLastIndex(each => each.worker === worker);
    if (index < 0) return;
    this.ranked.splice(index, 1);
    const suitability = assessWorker(this.request, worker);
    if (typeof suitability === 'string') return;
    const newIndex = this.findInsertionIndex(suitability.score);
    this.ranked.splice(newIndex, 0, {worker, ...suitability});
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
 * Gets the suitability of a worker for the tasks of a step, or the first reason
 * why it is not eligible.
 * @param request - Step of the tasks.
 * @param worker - Worker of the step's service.
 */
export function assessWorker(
  request: RankingRequest,
  worker: CandidateWorker,
): Suitability | CandidateExclusion {
  if (!canStartBeside(request, worker)) return 'trial';
  const obstacle = findRoomObstacle(request.step, worker);
  return obstacle ?? rateWorker(request, worker);
}

function canStartBeside(
  {step, startKind = 'plain'}: RankingRequest,
  {load}: CandidateWorker,
): boolean {
  return load.canStartBeside(step, startKind);
}

/** Gets the suitability of a worker that has room, or why it is not eligible. */
function rateWorker(
  request: RankingRequest,
  worker: CandidateWorker,
): Suitability | CandidateExclusion {
  const {step} = request;
  const suitability = getSuitability(request, worker);
  if (typeof suitability === 'string') return suitability;
  const targetRack = step.spec.dataRack ?? request.preferredRack;
  if (targetRack === undefined || targetRack !== worker.rack)
    return suitability;
  const score = suitability.score + PREFERRED_RACK_SCORE;
  return {...suitability, score};
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
): Suitability | CandidateExclusion {
  const {isFiller, isLongRunning, image} = request.step.spec;
  if (isFiller) return getFillerSuitability(request, worker);
  if (!isLongRunning)
    return {
      score: -getFreeShare(worker.load),
      cpuLimitPercent: UNLIMITED_PERCENT,
    };
  const leaseScore = worker.mayHoldLongLease ? LONG_LEASE_SCORE : 0;
  const score = leaseScore + getServingScore(image ?? '', worker.load);
  return {score, cpuLimitPercent: UNLIMITED_PERCENT};
}

function getFillerSuitability(
  request: RankingRequest,
  worker: CandidateWorker,
): Suitability | CandidateExclusion {
  const {needs} = request.step.spec;
  if (worker.load.getReclaimableCpuMillis() < needs.cpuMillis) {
    const overcommitted = request.canOvercommitFillers
      ? getOvercommittedSuitability(request, worker)
      : undefined;
    return overcommitted ?? 'filler-no-reclaimable-cpu';
  }
  const score = getFillerScore(request, worker);
  if (typeof score === 'number')
    return {score, cpuLimitPercent: UNLIMITED_PERCENT};
  const limited = request.canLimitFillers
    ? getLimitedFillerSuitability(request, worker)
    : undefined;
  return limited ?? score;
}

/** Prefers workers whose CPU is overcommitted least. */
function getOvercommittedSuitability(
  {step, interferenceModel}: RankingRequest,
  {load}: CandidateWorker,
): Suitability | undefined {
  const {needs, image = ''} = step.spec;
  const filler = {image, cpuMillis: needs.cpuMillis};
  const cpuLimitPercent = getMinCpuLimitPercent(
    filler,
    load,
    interferenceModel,
  );
  if (cpuLimitPercent === 0) return undefined;
  const reclaimableShare =
    load.getReclaimableCpuMillis() / load.getCapacity().cpuMillis;
  return {score: OVERCOMMITTED_SCORE + reclaimableShare, cpuLimitPercent};
}

/** Prefers workers on which the filler runs fastest. */
function getLimitedFillerSuitability(
  {step, interferenceModel}: RankingRequest,
  {load, acceptsFillers}: CandidateWorker,
): Suitability | undefined {
  const {needs, image = ''} = step.spec;
  const filler = {image, cpuMillis: needs.cpuMillis};
  const cpuLimitPercent = acceptsFillers
    ? getTolerableCpuLimitPercent(filler, load, interferenceModel)
    : getMinCpuLimitPercent(filler, load, interferenceModel);
  if (cpuLimitPercent === 0) return undefined;
  return {score: LIMITED_FILLER_SCORE + cpuLimitPercent, cpuLimitPercent};
}

/**
 * Prefers workers with much reclaimable CPU and little interference with their
 * serving tasks. Excludes workers where a serving task would miss its target.
 */
function getFillerScore(
  request: RankingRequest,
  {load, acceptsFillers}: CandidateWorker,
): number | CandidateExclusion {
  const {needs, image} = request.step.spec;
  const reclaimableCpuMillis = load.getReclaimableCpuMillis();
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
function getServingScore(image: string, load: WorkerLoad): number {
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
