/** Finds what must leave a draining worker before it does. */

import {AssignedRun, WorkerLoad} from './worker_load.js';

/** Time before the worker leaves by which a run should have ended. */
const DRAIN_MARGIN_MS = 300;

/** Progress that tells how long a run still takes, in percent. */
const MIN_PROGRESS_PERCENT = 5;

/**
 * Gets the runs that go on elsewhere: long-running ones, and those that resume
 * from a checkpoint and would not end in time. The others are left to end.
 * @param load - Runs of the worker.
 * @param remainingMs - Least time until it leaves; undefined when not known.
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
    const leftMs = getLeftMs(assigned, nowMs);
    if (leftMs > (remainingMs ?? 0) - DRAIN_MARGIN_MS) runs.push(assigned);
  }
  return runs;
}

/** Estimates from its progress how long a run still takes. */
function getLeftMs({run, step}: AssignedRun, nowMs: number): number {
  if (run.progressPercent >= MIN_PROGRESS_PERCENT) {
    const totalMs = (100 * run.progressMs) / run.progressPercent;
    return totalMs - run.progressMs;
  }
  return step.spec.estimatedMs - (nowMs - run.placedMs);
}
