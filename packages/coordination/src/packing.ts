/** Chooses a worker for a task. */

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

/**
 * Chooses the best worker that has room.
 * @param request - Step of the task.
 * @param workers - Workers of the step's service.
 * @returns `undefined` when no worker has room.
 */
export function chooseWorker<T extends PackingWorker>(
  request: PackingRequest,
  workers: readonly T[],
): T | undefined {
  let best: T | undefined;
  let bestScore = -Infinity;
  for (const worker of workers) {
    if (!isEligible(request, worker)) continue;
    const score = getScore(request, worker);
    if (score <= bestScore) continue;
    best = worker;
    bestScore = score;
  }
  return best;
}

/**
 * Checks whether a step could run on a worker if it were empty.
 * @param step - Step to place.
 * @param worker - Worker to check.
 */
export function canEverRun(step: StepState, worker: PackingWorker): boolean {
  const {needs, requiredLabel} = step.spec;
  const capacity = worker.load.getCapacity();
  if (requiredLabel !== undefined && !worker.labels.includes(requiredLabel))
    return false;
  return (
    needs.cpuMillis <= capacity.cpuMillis &&
    needs.memoryMb <= capacity.memoryMb &&
    needs.accelerators <= capacity.accelerators
  );
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
