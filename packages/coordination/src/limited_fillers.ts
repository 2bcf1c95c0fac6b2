/**
 * CPU limits of fillers beside serving tasks that they would disturb at full
 * speed. If every worker has such serving tasks, a filler runs slowly rather
 * than never.
 */

import {
  InterferenceModel,
  NEGLIGIBLE_FILLER_SHARE,
} from './interference_model.js';
import {AssignedRun, WorkerLoad} from './worker_load.js';

/** A filler that is on a worker or may be placed there. */
export interface LimitedFiller {
  readonly image: string;
  readonly cpuMillis: number;
  /** Run of the filler, if it is on the worker. */
  readonly running?: AssignedRun;
}

/** Lowest CPU limit at which a filler is placed beside others that may disturb. */
const MIN_SHARED_PERCENT = 10;

const UNLIMITED_PERCENT = 100;

/**
 * Gets the CPU limit at which all serving tasks of a worker are expected to meet
 * their targets.
 * @param filler - Filler.
 * @param load - Runs of the worker.
 * @param model - Learned effects of filler images on serving images.
 * @returns The limit in percent of the needed CPU; 0 if there is none.
 */
export function getTolerableCpuLimitPercent(
  filler: LimitedFiller,
  load: WorkerLoad,
  model: InterferenceModel,
): number {
  const {image, running} = filler;
  const share = getShare(filler, load);
  const tolerableShare = model.getTolerableShare(image, load, running);
  const percent = toPercent(tolerableShare, share);
  if (percent >= MIN_SHARED_PERCENT) return percent;
  return getMinCpuLimitPercent(filler, load, model);
}

/**
 * Gets the CPU limit at which a filler cannot cause a missed target, whatever is
 * expected of it. Only one filler on a worker has it, so that none waits without
 * a bound.
 * @param filler - Filler.
 * @param load - Runs of the worker.
 * @param model - Learned effects of filler images on serving images.
 * @returns The limit in percent of the needed CPU; 0 beside other fillers that may disturb.
 */
export function getMinCpuLimitPercent(
  filler: LimitedFiller,
  load: WorkerLoad,
  model: InterferenceModel,
): number {
  if (hasOtherDisturbingFiller(filler.running, load, model)) return 0;
  return Math.max(
    1,
    toPercent(NEGLIGIBLE_FILLER_SHARE, getShare(filler, load)),
  );
}

function getShare({cpuMillis}: LimitedFiller, load: WorkerLoad): number {
  return cpuMillis / load.getCapacity().cpuMillis;
}

function hasOtherDisturbingFiller(
  running: AssignedRun | undefined,
  load: WorkerLoad,
  model: InterferenceModel,
): boolean {
  for (const other of load.getFillerRuns()) {
    if (other === running) continue;
    const isPaused = other.run.cpuLimitPercent === 0;
    // A worker with paused fillers takes no others, but lets one of them go on.
    if (isPaused && running !== undefined) continue;
    if (!model.isHarmlessOn(other.step.spec.image ?? '', load)) return true;
  }
  return false;
}

function toPercent(limitShare: number, share: number): number {
  if (limitShare >= share) return UNLIMITED_PERCENT;
  return Math.floor((UNLIMITED_PERCENT * limitShare) / share);
}
