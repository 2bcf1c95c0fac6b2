/** Status that the coordinator publishes to all nodes. */

import {InvalidInputError} from '@mustardlug/base/errors';
import {decodeRowValue} from '@mustardlug/jobs/job_codec';
import {Result} from 'neverthrow';
import {z} from 'zod';
import {RowAddress} from '@mustardlug/platform/row_store';
import {QueueShortage} from './admission_control.js';
import {
  COORDINATOR_PART,
  COORDINATOR_STATUS_TABLE,
  SINGLE_ROW_KEY,
} from './tables.js';

/** Address of the status row. */
export const STATUS_ADDRESS: RowAddress = {
  table: COORDINATOR_STATUS_TABLE,
  part: COORDINATOR_PART,
  key: SINGLE_ROW_KEY,
};

export interface QueueLoad {
  /** Number of accepted jobs without a started task. */
  readonly waitingJobs: number;
  /** Time after which a refused caller should try again; 0 while jobs are accepted. */
  readonly retryAfterMs: number;
  /** Rate at which jobs are started lately; absent while all jobs are accepted, and in statuses of earlier versions. */
  readonly startsPerSecond?: number;
  /** What the queue is short of; absent while it does not refuse all jobs, and in statuses of earlier versions. */
  readonly limit?: QueueShortage;
  /**
   * Work up to which all jobs are accepted, in microseconds of CPU time; absent without a limit, and
   * in statuses of earlier versions.
   */
  readonly maxJobWork?: number;
  /** Time after which the caller of a larger job should try again; present with `maxJobWork`. */
  readonly jobRetryAfterMs?: number;
}

/** Row that the coordinator rewrites at a fixed interval as its heartbeat. */
export interface CoordinatorStatus {
  readonly term: number;
  /** Identifier of the coordinating node; empty after a planned hand-over. */
  readonly holder: string;
  /** Time of the store when the status was written, in milliseconds. */
  readonly writtenStoreMs: number;
  /**
   * Longest recent time between two statuses, in milliseconds; absent in statuses
   * of earlier versions. A holder that is short of processor time or bandwidth
   * writes less often.
   */
  readonly intervalMs?: number;
  /**
   * Time of the store by which all leases of this term and of earlier ones have
   * expired, unless the status is written again; absent in statuses of earlier versions.
   */
  readonly leaseEndStoreMs?: number;
  /** Load by name of the queue; absent while the holder may not know all accepted jobs. */
  readonly queues?: Readonly<Record<string, QueueLoad>>;
}

/** Status of the coordinator, as a node received it. */
export interface ReceivedStatus {
  readonly status: CoordinatorStatus;
  readonly ageMs: number;
}

/** Maximum age of a status whose loads of the queues are used. */
export const MAX_STATUS_AGE_MS = 2_000;

/**
 * Gets the load by name of the queue, or `undefined` while it is not known.
 * @param received - Last status that the node received, if any.
 */
export function getCurrentQueueLoads(
  received: ReceivedStatus | undefined,
): Readonly<Record<string, QueueLoad>> | undefined {
  if (received === undefined || received.ageMs > MAX_STATUS_AGE_MS)
    return undefined;
  return received.status.queues;
}

const statusSchema: z.ZodType<CoordinatorStatus> = z.object({
  term: z.number().int().nonnegative(),
  holder: z.string(),
  writtenStoreMs: z.number(),
  intervalMs: z.number().nonnegative().optional(),
  leaseEndStoreMs: z.number().nonnegative().optional(),
  queues: z
    .record(
      z.string(),
      z.object({
        waitingJobs: z.number().nonnegative(),
        retryAfterMs: z.number().nonnegative(),
        startsPerSecond: z.number().nonnegative().optional(),
        // A limit of a later version must not hide the refusal.
        limit: z.enum(['workers', 'coordinator']).optional().catch(undefined),
        maxJobWork: z.number().nonnegative().optional(),
        jobRetryAfterMs: z.number().nonnegative().optional(),
      }),
    )
    .optional(),
});

/**
 * Decodes the status row.
 * @param value - Stored bytes.
 */
export function decodeCoordinatorStatus(
  value: Buffer,
): Result<CoordinatorStatus, InvalidInputError> {
  return decodeRowValue('coordinator status', statusSchema, value);
}
