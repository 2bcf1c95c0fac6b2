/** Schema and keys of the task rows in the platform's table. */

import {z} from 'zod';
import {StoredValue} from '@mustardlug/platform/table_service';

/** Schema of a task row. */
export const taskRecordSchema = z.object({
  writeToken: z.string(),
  taskId: z.string(),
  kind: z.enum(['service', 'batch']),
  /** Name of the service or batch job. */
  name: z.string(),
  team: z.string(),
  state: z.enum([
    'pending',
    'bound',
    'done',
    'failed',
    'cancelled',
    'infeasible',
  ]),
  /** Number of the latest attempt; 0 before the first. */
  attempt: z.number().int(),
  maxAttempts: z.number().int(),
  /** Number of attempts that failed. */
  failures: z.number().int(),
  /** Number of attempts that were stopped before they finished. */
  evictions: z.number().int(),
  cores: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
  expectedRunMs: z.number(),
  isUrgent: z.boolean(),
  slots: z.number().int(),
  connections: z.number().int(),
  submittedAtMs: z.number(),
  /** Wall time at which the task reached a terminal state. */
  endedAtMs: z.number().optional(),
  /** Worker, and its boot id, that the latest attempt was bound to. */
  workerId: z.string().optional(),
  bootId: z.string().optional(),
  /** Wall time at which the latest attempt was bound. */
  boundAtMs: z.number().optional(),
  /** Workers that crashed when they started the latest attempts, one entry a crash; empty if one may have. */
  crashedWorkerIds: z.array(z.string()).optional(),
  /** After such crashes: attempt that is being started and is not proven yet. */
  startingAttempt: z.number().int().optional(),
  /** Checkpoint to resume from. */
  checkpoint: z.string().optional(),
  result: z.string().optional(),
  /**
   * Peak resource use of the job's tasks observed when this one ended; shared
   * with other schedulers through the row.
   */
  peakCores: z.number().optional(),
  peakMemoryMb: z.number().optional(),
  /** Human-readable reason for the current state. */
  reason: z.string().optional(),
});

/** Row of a task. */
export type TaskRecord = z.infer<typeof taskRecordSchema> & StoredValue;

/** States that a task does not leave; only cancelled service replicas are created again. */
export const TERMINAL_STATES: ReadonlySet<TaskRecord['state']> = new Set([
  'done',
  'failed',
  'cancelled',
  'infeasible',
]);

/**
 * Gets the row key prefix of a failure domain's tasks.
 * @param failureDomain - Name of the domain.
 */
export function getTaskPrefix(failureDomain: string): string {
  return `task/${failureDomain}/`;
}

/**
 * Gets the row key of a task.
 * @param failureDomain - Failure domain whose schedulers place the task.
 * @param taskId - Id of the task.
 */
export function getTaskKey(failureDomain: string, taskId: string): string {
  return getTaskPrefix(failureDomain) + taskId;
}

/**
 * Gets the failure domain that a task belongs to.
 * @param key - Key of its row.
 * @param taskId - Id of the task.
 */
export function getTaskDomain(key: string, taskId: string): string {
  return key.slice(getTaskPrefix('').length - 1, -taskId.length - 1);
}

/** Prefix of the rows that cancel jobs. */
export const CANCEL_PREFIX = 'cancel/';

/** Prefix of the rows of submitted jobs. */
export const JOB_PREFIX = 'job/';

/** Prefix of the usage rows. */
export const USAGE_PREFIX = 'usage/';
