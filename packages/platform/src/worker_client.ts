/**
 * The interface that a worker's agent must meet.
 *
 * - A worker grants each scope's lease to one holder at a time, under an epoch
 *   that only grows, and refuses commands and requests with a lower epoch.
 * - An attempt is started at most once, runs until it ends or is stopped, and
 *   stays listed until its end is acknowledged.
 * - All running attempts stop when the `tasks` lease has been lapsed for
 *   `TASK_LEASE_MS`, measured on the worker's monotonic clock.
 * - A VM leaves the platform's list only after the platform has stopped it.
 */

import {Result} from 'neverthrow';
import {z} from 'zod';
import {RefusedError, UnavailableError} from '@mustardlug/base/errors';

/** Time after which a worker without a `tasks` lease holder stops its attempts. */
export const TASK_LEASE_MS = 60_000;

/** `requests`: slots and connections. `tasks`: processors, memory, accelerators. */
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
  /** Observed processor use in cores; lags. */
  usedCores: z.number(),
  usedMemoryMb: z.number(),
  /** Fraction of its processors that a batch attempt may use. */
  cpuShare: z.number(),
  /** Fraction of the work that is done, from 0 to 1. */
  progress: z.number(),
  /** Checkpoint of a stopped attempt. */
  checkpoint: z.string().optional(),
  result: z.string().optional(),
  /** Core-milliseconds used by this attempt. */
  coreMs: z.number(),
  /** Observed latency or run time over the undisturbed one; 1 is undisturbed. Lags. */
  slowdown: z.number(),
  /** Wall time at which usage and slowdown were measured. */
  measuredAtMs: z.number(),
});

/** Schema of the cumulative usage of one owner since the worker's boot. */
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

/** Schema of the state that grants and renewals carry. */
export const workerStatusSchema = z.object({
  workerId: z.string(),
  bootId: z.string(),
  epoch: z.number().int(),
  isLeaving: z.boolean(),
  /** Worker's wall time of this report; the clock of `measuredAtMs`, too. */
  reportedAtMs: z.number(),
  /** Service requests in progress, of all epochs. */
  requestsInProgress: z.number().int(),
  replicas: z.array(replicaReportSchema),
  /** Number of this report of the `tasks` scope. */
  reportNumber: z.number().int(),
  /** Whether `attempts` are all; else only those that changed since the known report. */
  isWholeReport: z.boolean(),
  /** Only for the `tasks` scope. */
  attempts: z.array(attemptReportSchema),
  /** Attempts that are no longer listed since the known report. */
  removedAttempts: z.array(
    z.object({taskId: z.string(), attempt: z.number().int()}),
  ),
  /** Only for the `tasks` scope, and only when asked for. */
  usage: z.array(ownerUsageSchema).optional(),
  uptimeMs: z.number(),
  cores: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
  /** Another process that asked for the lease since the last renewal. */
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
/** State that grants and renewals carry. */
export type WorkerStatus = z.infer<typeof workerStatusSchema>;

/** Address of a worker's agent. */
export interface WorkerAddress {
  readonly workerId: string;
  readonly host: string;
  readonly port: number;
}

/** Asks for a lease, or renews it when `epoch` is given. */
export interface LeaseRequest {
  readonly scope: LeaseScope;
  readonly holderId: string;
  readonly ttlMs: number;
  readonly epoch?: number;
  /** Report that the holder has; the worker then sends only changes. */
  readonly knownReport?: number;
  /** Whether usage is wanted. */
  readonly withUsage?: boolean;
}

/** Hands a lease back. */
export interface LeaseRelease {
  readonly scope: LeaseScope;
  readonly holderId: string;
  readonly epoch: number;
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
  /** Expected run time; a stand-in takes it as the real one. */
  readonly expectedRunMs: number;
  readonly slots: number;
  readonly connections: number;
  /** Checkpoint to resume from. */
  readonly checkpoint?: string;
}

/** Names an attempt. */
export interface AttemptName {
  readonly taskId: string;
  readonly attempt: number;
}

/** Commands of a `tasks` lease holder, executed in order. */
export type WorkerCommand =
  | {readonly kind: 'start'; readonly start: AttemptStart}
  | {readonly kind: 'stop'; readonly name: AttemptName}
  | {
      readonly kind: 'throttle';
      readonly name: AttemptName;
      readonly cpuShare: number;
    }
  | {readonly kind: 'acknowledge'; readonly name: AttemptName};

/** Answer to one command. */
export interface CommandOutcome {
  readonly isAccepted: boolean;
  /** Reason of a refusal. */
  readonly reason?: string;
}

/** Failures of a worker call. */
export type WorkerError = RefusedError | UnavailableError;

/** Client of the workers' agents. */
export abstract class WorkerClient {
  /**
   * Asks for a lease or renews it.
   * @param address - Worker to ask.
   * @param request - Scope, holder and duration.
   */
  abstract requestLease(
    address: WorkerAddress,
    request: LeaseRequest,
  ): Promise<Result<WorkerStatus, WorkerError>>;

  /**
   * Hands a lease back before it lapses.
   * @param address - Worker to tell.
   * @param release - Lease to hand back.
   */
  abstract releaseLease(
    address: WorkerAddress,
    release: LeaseRelease,
  ): Promise<Result<void, WorkerError>>;

  /**
   * Runs commands under the `tasks` lease.
   * @param address - Worker to command.
   * @param epoch - Epoch of the lease.
   * @param commands - Commands in order.
   */
  abstract runCommands(
    address: WorkerAddress,
    epoch: number,
    commands: readonly WorkerCommand[],
  ): Promise<Result<CommandOutcome[], WorkerError>>;
}
