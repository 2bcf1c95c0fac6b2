/** Chooses a worker for a task. */

import {StepState} from '@mustardlug/jobs/job_state';
import {WorkerLoad} from './worker_load.js';

/** A worker that may get new work. */
export interface PackingWorker {
  readonly load: WorkerLoad;
  readonly rack: string;
  readonly labels: readonly string[];
}

/** What is known of a task's wishes. */
export interface PackingRequest {
  readonly step: StepState;
  /** Rack on which other tasks of the step run, when they should share one. */
  readonly preferredRack?: string;
}

/** Preference for the rack of the data or of the other tasks, in thousandths of a core. */
const RACK_PREFERENCE = 1_000_000;

/** Distance that fillers keep from serving tasks, for each of their thousandths of a core. */
const SERVING_PENALTY = 1;

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
    if (!isEligible(request.step, worker)) continue;
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

function isEligible(step: StepState, worker: PackingWorker): boolean {
  const {load, labels} = worker;
  const {needs, requiredLabel, maxPerWorker, isFiller} = step.spec;
  if (requiredLabel !== undefined && !labels.includes(requiredLabel))
    return false;
  if (maxPerWorker > 0 && load.getStepCount(step) >= maxPerWorker) return false;
  if (!load.hasRoom(needs, isFiller)) return false;
  return !isFiller || load.getUnusedCpuMillis() >= needs.cpuMillis;
}

function getScore(request: PackingRequest, worker: PackingWorker): number {
  const {load, rack} = worker;
  const {spec} = request.step;
  const wantedRack = spec.dataRack ?? request.preferredRack;
  const rackScore =
    wantedRack !== undefined && wantedRack === rack ? RACK_PREFERENCE : 0;
  if (spec.isFiller) {
    const distance = load.getServingCpuMillis() * SERVING_PENALTY;
    return rackScore + load.getUnusedCpuMillis() - distance;
  }
  if (spec.isLongRunning) {
    return rackScore + load.getFreeCpuMillis() - load.getFillerCpuMillis();
  }
  return rackScore + load.getFreeCpuMillis();
}
