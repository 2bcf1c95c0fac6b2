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

/** Preference for the rack of the data or of the other tasks, in thousandths of a core. */
const RACK_PREFERENCE = 1_000_000;

/** Weight of the load index that a filler brings serving tasks to, in thousandths of a core. */
const DISTURBANCE_WEIGHT = 100_000;

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
  if (!worker.takesFillers) return false;
  if (load.getUnusedCpuMillis() < needs.cpuMillis) return false;
  if (load.getServingCpuMillis() === 0) return true;
  return disturbance.isHarmless(image ?? '', needs.cpuMillis, load);
}

/**
 * Fillers go where most processors are unused, away from what they disturb.
 * Serving tasks and others fill the fullest worker first, so that whole workers
 * stay free of serving tasks.
 */
function getScore(request: PackingRequest, worker: PackingWorker): number {
  const {load, rack} = worker;
  const {spec} = request.step;
  const wantedRack = spec.dataRack ?? request.preferredRack;
  const rackScore =
    wantedRack !== undefined && wantedRack === rack ? RACK_PREFERENCE : 0;
  if (!spec.isFiller) {
    return rackScore - load.getFreeCpuMillis() - load.getFillerCpuMillis();
  }
  const image = spec.image ?? '';
  const index =
    load.getServingCpuMillis() === 0
      ? 0
      : request.disturbance.getWorstIndex(image, spec.needs.cpuMillis, load);
  return rackScore + load.getUnusedCpuMillis() - index * DISTURBANCE_WEIGHT;
}
