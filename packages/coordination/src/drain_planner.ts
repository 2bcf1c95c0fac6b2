/** Selects the runs to move off a draining worker. */

import {AssignedRun, WorkerLoad} from './worker_load.js';

/** Safety margin between the end of a run and the time at which the worker leaves. */
const DRAIN_MARGIN_MS = 300;

/** Minimum progress, in percent, from which the remaining time of a run can be extrapolated. */
const MIN_PROGRESS_PERCENT = 5;

/**
 * Gets the runs to move to other workers: long-running ones, and those that can
 * resume from a checkpoint and would not end in time. All others continue.
 * @param load - Runs of the worker.
 * @param remainingMs - Minimum time until the worker leaves; undefined if not known.
 * @param nowMs - Monotonic time.
 */
export function getRunsToMove(
  load: WorkerLoad,
  remainingMs: number | undefined,
  nowMs: number,
): AssignedRun[] {
  const runs: AssignedRun[] = [];
  for (const assigned of load.getRuns()) {
    const {run, step} = assigned;
    if (run.isStopping || !run.isConfirmed) continue;
    if (step.spec.isLongRunning) {
      runs.push(assigned);
      continue;
    }
    if (!step.spec.isCheckpointing || step.spec.isGang) continue;
    const runRemainingMs = getRemainingMs(assigned, nowMs);
    if (runRemainingMs > (remainingMs ?? 0) - DRAIN_MARGIN_MS)
      runs.push(assigned);
  }
  return runs;
}

/**
 * Estimates the remaining time of a run from its progress, or from the caller's
 * estimate until it has made enough. Negative if that time has passed.
 * @param assigned - Run that is in progress.
 * @param nowMs - Monotonic time.
 */
export function getRemainingMs(
  {run, step}: AssignedRun,
  nowMs: number,
): number {
  if (run.progressPercent >= MIN_PROGRESS_PERCENT) {
    const totalMs = (100 * run.progressAgeMs) / run.progressPercent;
    return totalMs - run.progressAgeMs;
  }
  return step.spec.estimatedMs - (nowMs - run.placedMs);
}
