/**
 * Interface of the worker agents. An agent must guarantee the following.
 *
 * - A worker grants the lease of each scope to one holder at a time, under a
 *   monotonically increasing epoch, and refuses commands and requests with a
 *   lower epoch.
 * - A renewal, release, command or request that names another boot is refused:
 *   epochs of two boots may be equal, as the clock may be set back between them.
 *   Messages of earlier versions name no boot; the epoch alone counts for them.
 * - An attempt is started at most once, runs until it ends or is stopped, and
 *   stays listed until its end is acknowledged.
 * - A stop command for an attempt that is not there is refused, and the attempt
 *   is never started by a later or delayed start command.
 * - All running attempts are stopped `TASK_LEASE_MS` after the `tasks` lease has
 *   expired, measured by the monotonic clock of the worker.
 * - A VM is removed from the VM list only after the platform has stopped it.
 */

import {Result} from 'neverthrow';
import {z} from 'zod';
import {RefusedError, UnavailableError} from '@mustardlug/base/errors';

/** Time after which a worker whose `tasks` lease has no holder stops its attempts. */
export const TASK_LEASE_MS = 60_000;

/** `requests` covers slots and connections, `tasks` covers CPU cores, memory and accelerators. */
export type LeaseScope = 'requests' | 'tasks';

const attemptStateSchema = z.enum(['running', 'finished', 'failed', 'stopped']);

/** Schema of one attempt on a worker. */
export const attemptReportSchema = z.object({
  taskId: z.string(),
  attempt: z.number().int(),
  kind: z.enum(['service', 'batch']),
  /** Name of the service or batch job. */
  name: z.string(),
  state: attemptStateSchema,
  cores: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
  /** Observed CPU usage in cores, reported with a delay. */
  usedCores: z.number(),
  usedMemoryMb: z.number(),
  /** Fraction of its allocated cores that a batch attempt may use. */
  cpuShare: z.number(),
  /** Completed fraction of the work, from 0 to 1. */
  progress: z.number(),
  /** Checkpoint of a stopped attempt. */
  checkpoint: z.string().optional(),
  result: z.string().optional(),
  /** Core-milliseconds used by this attempt. */
  coreMs: z.number(),
  /** Ratio of the observed latency or run time to the one without interference, reported with a delay. */
  slowdown: z.number(),
  /** Wall-clock time at which usage and slowdown were measured. */
  measuredAtMs: z.number(),
});

/** Schema of the cumulative usage of one owner since the worker was booted. */
export const ownerUsageSchema = z.object({
  team: z.string(),
  /** Name of the service or batch job. */
  name: z.string(),
  kind: z.enum(['service', 'batch']),
  coreMs: z.number(),
  /** Part of `coreMs` whose work was lost to failures and evictions. */
  lostCoreMs: z.number(),
});

/** Schema of a service replica on a worker. */
export const replicaReportSchema = z.object({
  serviceName: z.string(),
  slots: z.number().int(),
  connections: z.number().int(),
});

/** Schema of the worker status that is returned when a lease is granted or renewed. */
export const workerStatusSchema = z.object({
  workerId: z.string(),
  bootId: z.string(),
  epoch: z.number().int(),
  isLeaving: z.boolean(),
  /** Time of this report by the worker's wall clock, which also sets `measuredAtMs`. */
  reportedAtMs: z.number(),
  /** Number of service requests in progress, from all epochs. */
  requestsInProgress: z.number().int(),
  replicas: z.array(replicaReportSchema),
  /** Sequence number of this report of the `tasks` scope. */
  reportNumber: z.number().int(),
  /** Whether `attempts` lists all attempts, not only those changed since the known report. */
  isWholeReport: z.boolean(),
  /** Only for the `tasks` scope. */
  attempts: z.array(attemptReportSchema),
  /** Attempts that were removed from the list since the known report. */
  removedAttempts: z.array(
    z.object({taskId: z.string(), attempt: z.number().int()}),
  ),
  /** Only for the `tasks` scope, and only if requested. */
  usage: z.array(ownerUsageSchema).optional(),
  uptimeMs: z.number(),
  cores: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
  /** Another process that has requested the lease since the last renewal. */
  wantedBy: z.string().optional(),
});

/** State of an attempt on its worker. */
export type AttemptState = z.infer<typeof attemptStateSchema>;
/** One attempt on a worker. */
export type AttemptReport = z.infer<typeof attemptReportSchema>;
/** One service replica on a worker. */
export type ReplicaReport = z.infer<typeof replicaReportSchema>;
/** Cumulative usage of one owner on a worker. */
export type OwnerUsage = z.infer<typeof ownerUsageSchema>;
/** Worker status that is returned when a lease is granted or renewed. */
export type WorkerStatus = z.infer<typeof workerStatusSchema>;

/** Address of a worker's agent. */
export interface WorkerAddress {
  readonly workerId: string;
  readonly host: string;
  readonly port: number;
}

/** Identifies a granted lease of a worker; its commands and requests carry it. */
export interface LeaseToken {
  /** Boot that granted the lease; absent in messages of earlier versions. */
  readonly bootId?: string;
  readonly epoch: number;
}

/** Requests a lease, or renews it if `epoch` is given. */
export interface LeaseRequest extends Partial<LeaseToken> {
  readonly scope: LeaseScope;
  readonly holderId: string;
  readonly ttlMs: number;
  /** Last report that the holder received. The worker then reports only the changes since. */
  readonly knownReport?: number;
  /** Whether to report usage. */
  readonly withUsage?: boolean;
}

/** Releases a lease. */
export interface LeaseRelease extends LeaseToken {
  readonly scope: LeaseScope;
  readonly holderId: string;
}

/** Starts an attempt. */
export interface AttemptStart {
  readonly taskId: string;
  readonly attempt: number;
  readonly kind: 'service' | 'batch';
  readonly team: string;
  readonly name: string;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Expected run time. The simulated worker uses it as the actual run time. */
  readonly expectedRunMs: number;
  readonly slots: number;
  readonly connections: number;
  /** Checkpoint to resume from. */
  readonly checkpoint?: string;
}

/** Identifies an attempt. */
export interface AttemptId {
  readonly taskId: string;
  readonly attempt: number;
}

/** Commands of the holder of a `tasks` lease, executed in order. */
export type WorkerCommand =
  | {readonly kind: 'start'; readonly start: AttemptStart}
  | {readonly kind: 'stop'; readonly name: AttemptId}
  | {
      readonly kind: 'throttle';
      readonly name: AttemptId;
      readonly cpuShare: number;
    }
  | {readonly kind: 'acknowledge'; readonly name: AttemptId};

/** Outcome of one command. */
export interface CommandOutcome {
  readonly isAccepted: boolean;
  /** Reason of a refusal. */
  readonly reason?: string;
}

/** Errors of a worker call. */
export type WorkerError = RefusedError | UnavailableError;

/** Client of the worker agents. */
export abstract class WorkerClient {
  /**
   * Requests or renews a lease.
   * @param address - Worker to call.
   * @param request - Scope, holder and duration.
   */
  abstract requestLease(
    address: WorkerAddress,
    request: LeaseRequest,
  ): Promise<Result<WorkerStatus, WorkerError>>;

  /**
   * Releases a lease before it expires.
   * @param address - Worker to call.
   * @param release - Lease to release.
   */
  abstract releaseLease(
    address: WorkerAddress,
    release: LeaseRelease,
  ): Promise<Result<void, WorkerError>>;

  /**
   * Runs commands under the `tasks` lease.
   * @param address - Worker to call.
   * @param token - Identity of the lease.
   * @param commands - Commands in execution order.
   */
  abstract runCommands(
    address: WorkerAddress,
    token: LeaseToken,
    commands: readonly WorkerCommand[],
  ): Promise<Result<CommandOutcome[], WorkerError>>;
}
