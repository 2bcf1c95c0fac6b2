/** Status that the coordinator publishes to all nodes. */

import {InvalidInputError} from '@mustardlug/base/errors';
import {decodeRowValue} from '@mustardlug/jobs/job_codec';
import {Result} from 'neverthrow';
import {z} from 'zod';

export interface QueueLoad {
  /** Number of accepted jobs without a started task. */
  readonly waitingJobs: number;
  /** Time after which a refused caller should try again; 0 while jobs are accepted. */
  readonly retryAfterMs: number;
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
  /** Load by name of the queue; absent while the holder may not know all accepted jobs. */
  readonly queues?: Readonly<Record<string, QueueLoad>>;
}

const statusSchema: z.ZodType<CoordinatorStatus> = z.object({
  term: z.number().int().nonnegative(),
  holder: z.string(),
  writtenStoreMs: z.number(),
  intervalMs: z.number().nonnegative().optional(),
  queues: z
    .record(
      z.string(),
      z.object({
        waitingJobs: z.number().nonnegative(),
        retryAfterMs: z.number().nonnegative(),
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
