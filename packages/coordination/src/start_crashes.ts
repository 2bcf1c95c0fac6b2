/** Rules on the crashes of workers that had just started a task. */

import {StartCrash, StepState, TaskState} from '@mustardlug/jobs/job_state';

/** Workers with attributed crashes after which a task is given up. */
const MAX_CRASHED_WORKERS = 3;

/** Crashes after which a task is given up if any of them is attributed. */
const MAX_CRASHES = 5;

/** Crashes from which a task is suspected even if none of them is attributed. */
const MIN_SUSPICIOUS_CRASHES = 2;

/**
 * Checks whether a task may crash the workers that start it. It is then started
 * only where nothing else is being started, so that a further crash tells.
 * @param task - Task to check.
 */
export function isSuspected({startCrashes}: TaskState): boolean {
  if (startCrashes.length === 0) return false;
  return (
    startCrashes.length >= MIN_SUSPICIOUS_CRASHES ||
    startCrashes.some(crash => crash.isAttributed)
  );
}

/**
 * Checks whether a suspected task may be tried beside others of its kind: all its
 * crashes had another likely cause, and there are as few as make a suspect. If the
 * worker crashes, each of them is tried alone next.
 * @param task - Suspected task.
 */
export function canShareTrial({startCrashes}: TaskState): boolean {
  return (
    startCrashes.length <= MIN_SUSPICIOUS_CRASHES &&
    !startCrashes.some(crash => crash.isAttributed)
  );
}

/**
 * Checks whether any task of a step is suspected.
 * @param step - Step to check.
 */
export function hasSuspectedTask(step: StepState): boolean {
  return step.tasks.some(isSuspected);
}

/**
 * Checks whether enough workers have crashed at the start of a task to give it up.
 * @param task - Task to check.
 */
export function isGivenUp({startCrashes}: TaskState): boolean {
  const attributed = startCrashes.filter(crash => crash.isAttributed);
  const workerIds = new Set(attributed.map(({workerId}) => workerId));
  if (workerIds.size >= MAX_CRASHED_WORKERS) return true;
  return startCrashes.length >= MAX_CRASHES && attributed.length > 0;
}

/**
 * Formats the crashes of a task as evidence for operators and callers.
 * @param crashes - Crashes of one task.
 */
export function formatStartCrashes(crashes: readonly StartCrash[]): string {
  return crashes
    .map(({workerId, isAttributed}) =>
      isAttributed ? workerId : `${workerId} (perhaps for another reason)`,
    )
    .join(', ');
}
