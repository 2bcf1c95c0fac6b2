/** Count of the workers that crashed when they started a task, in its record. */

import {TaskRecord} from './task_record.js';

/** Number of crashed workers after which a task is not started again. */
export const MAX_CRASHED_WORKERS = 3;

/** Number of crashes, of whichever workers, after which a task is not started again. */
const MAX_CRASHES = 5;

/** Fields of a record after an attempt has run without crashing its worker. */
export const NO_START_CRASHES = {
  crashedWorkerIds: undefined,
  startingAttempt: undefined,
} as const;

/**
 * Checks whether a worker has, or may have, crashed when it started the latest
 * attempts of a task.
 * @param record - Record of the task.
 */
export function hasStartCrashes(record: TaskRecord): boolean {
  return record.crashedWorkerIds !== undefined;
}

/**
 * Releases a task after a crash of its worker that the attempt may have caused;
 * the crash limits its placement but is not counted.
 * @param record - Record of the bound task.
 * @param reason - Reason of the release.
 * @param writeToken - Token of the write.
 */
export function recordPossibleCrash(
  record: TaskRecord,
  reason: string,
  writeToken: string,
): TaskRecord {
  const {crashedWorkerIds = []} = record;
  return {...record, writeToken, state: 'pending', reason, crashedWorkerIds};
}

/**
 * Counts the crash of the worker that a task is bound to. Repeated crashes of
 * one worker, which may fail by itself, count less than those of several.
 * @param record - Record of the bound task.
 * @param workerId - Worker that crashed.
 * @param writeToken - Token of the write.
 * @returns Record of the task, pending or failed.
 */
export function countStartCrash(
  record: TaskRecord,
  workerId: string,
  writeToken: string,
): TaskRecord {
  const {attempt, crashedWorkerIds = []} = record;
  const crashes = [...crashedWorkerIds, workerId];
  const workerIds = [...new Set(crashes)];
  const isOutOfWorkers =
    workerIds.length >= MAX_CRASHED_WORKERS || crashes.length >= MAX_CRASHES;
  return {
    ...record,
    writeToken,
    crashedWorkerIds: crashes,
    startingAttempt: undefined,
    state: isOutOfWorkers ? 'failed' : 'pending',
    reason: isOutOfWorkers
      ? `workers ${workerIds.join(', ')} crashed when they started it`
      : `worker ${workerId} crashed when it started attempt ${attempt}`,
  };
}

/**
 * Makes a failed task pending again, without counted failures and crashes.
 * @param record - Record of the failed task.
 * @param writeToken - Token of the write.
 */
export function createRetriedRecord(
  record: TaskRecord,
  writeToken: string,
): TaskRecord {
  return {
    ...record,
    ...NO_START_CRASHES,
    writeToken,
    state: 'pending',
    failures: 0,
    endedAtMs: undefined,
    reason: undefined,
  };
}
