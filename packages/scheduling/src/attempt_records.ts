/** Helpers that relate task rows to attempts on workers. */

import {AttemptStart} from '@mustardlug/platform/worker_client';
import {TaskRecord} from './task_record.js';
import {WorkerView} from './worker_view.js';

/**
 * Checks whether a row binds an attempt to a worker.
 * @param record - Record of the task.
 * @param view - Worker to check.
 * @param attempt - Number of the attempt.
 */
export function isBoundTo(
  record: TaskRecord,
  view: WorkerView,
  attempt: number,
): boolean {
  return (
    record.state === 'bound' &&
    record.workerId === view.workerId &&
    record.attempt === attempt
  );
}

/**
 * Creates the start command of a bound task.
 * @param record - Record of the task.
 */
export function createAttemptStart(record: TaskRecord): AttemptStart {
  const {taskId, attempt, kind, team, name} = record;
  const {cores, memoryMb, accelerators, expectedRunMs} = record;
  const {slots, connections, checkpoint} = record;
  return {
    taskId,
    attempt,
    kind,
    team,
    name,
    cores,
    memoryMb,
    accelerators,
    expectedRunMs,
    slots,
    connections,
    ...(checkpoint !== undefined && {checkpoint}),
  };
}
