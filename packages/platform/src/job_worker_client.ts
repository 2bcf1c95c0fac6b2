/** Interface of the workers that run tasks under leases. */

import {Result} from 'neverthrow';
import {UnavailableError} from '@mustardlug/base/errors';
import {ResourceRequirements} from '@mustardlug/jobs/job_spec';

/** Registration of a worker. */
export interface WorkerRecord {
  readonly workerId: string;
  /** Host and port of its HTTP interface. */
  readonly address: string;
  readonly serviceName: string;
  readonly failureDomain: string;
  readonly isDraining: boolean;
  /** Minimum time until a draining worker leaves; undefined if unknown. */
  readonly drainRemainingMs?: number;
  readonly capacity: ResourceRequirements;
  readonly labels: readonly string[];
  /** Rack of the worker; empty if unknown. */
  readonly rack: string;
  /** Start of the worker's process, in milliseconds since the Unix epoch. */
  readonly startMs: number;
}

/** Address of one incarnation of a worker process. */
export interface JobWorkerAddress {
  readonly workerId: string;
  readonly address: string;
}

/** A run that a worker reports as running. */
export interface RunningRun {
  readonly taskName: string;
  readonly runNumber: number;
  readonly checkpoint: string;
  readonly progressPercent: number;
  /** Tail latency in milliseconds for serving tasks, CPU usage in millicores for others. */
  readonly usage: number;
}

/** How a run ended. */
export type RunOutcome =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A run that a worker reports as ended. */
export interface EndedRun {
  /** Sequence number in the worker's list of ended runs, used to acknowledge the run. */
  readonly sequence: number;
  readonly taskName: string;
  readonly runNumber: number;
  readonly outcome: RunOutcome;
  readonly checkpoint: string;
}

/** Renews the lease of a worker and requests a report of its runs. */
export interface LeaseRenewal {
  readonly worker: JobWorkerAddress;
  readonly fencingToken: number;
  /** The worker may discard ended runs up to this sequence number. */
  readonly acknowledgedSequence: number;
  /** Expiry of the lease of all runs, by the worker's clock. Absent to leave it unchanged. */
  readonly leaseUntilMs?: number;
  /** Maximum time that the worker waits for a run to end before it responds. */
  readonly waitMs: number;
}

/** Report of a worker on its runs. */
export interface LeaseReport {
  /** Current time of the worker's clock. */
  readonly clockMs: number;
  /** Start of the worker's process, in milliseconds since the Unix epoch. */
  readonly startMs: number;
  readonly running: readonly RunningRun[];
  readonly ended: readonly EndedRun[];
}

/** Starts a run. */
export interface StartRunCommand {
  readonly worker: JobWorkerAddress;
  readonly taskName: string;
  readonly runNumber: number;
  readonly specification: string;
  readonly checkpoint: string;
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
  /** Permission to use this worker, if the queue requires one. */
  readonly ticket?: string;
}

/** Response to a start command. */
export interface StartReceipt {
  /** Time of the worker's clock, if the response tells it. */
  readonly clockMs: number | undefined;
}

/** Identifies a run on a worker. */
export interface RunCommand {
  readonly worker: JobWorkerAddress;
  readonly taskName: string;
  readonly runNumber: number;
  readonly fencingToken: number;
}

/** Limits a run to a percentage of its CPU allocation. */
export interface CpuLimitCommand extends RunCommand {
  readonly percent: number;
}

/** Why a worker refused a command. */
export type RefusalReason =
  /** The worker has received a higher fencing token. */
  | 'fenced'
  /** This run or a later run of the task has ended or was stopped on the worker. */
  | 'superseded'
  /** The lease in the command has expired. */
  | 'lapsed'
  /** The remaining capacity of the worker is too small for the task. */
  | 'no-room'
  | 'no-ticket'
  /** The worker is unhealthy and has not executed the command. */
  | 'unhealthy'
  /** Another incarnation of the worker process responded. */
  | 'other-lifetime'
  /** The command was malformed, which is a bug in the client. */
  | 'invalid';

/** A worker refused a command. */
export interface WorkerRefusal {
  readonly kind: 'worker-refusal';
  readonly reason: RefusalReason;
  readonly message: string;
  /** Time of the worker's clock, if the response tells it. */
  readonly clockMs?: number;
}

/** Errors of a worker call. */
export type JobWorkerError = WorkerRefusal | UnavailableError;

/** Client of the workers. */
export abstract class JobWorkerClient {
  /**
   * Renews a lease and gets the running and ended runs of the worker.
   * @param request - Worker, fencing token and lease.
   */
  abstract renewLease(
    request: LeaseRenewal,
  ): Promise<Result<LeaseReport, JobWorkerError>>;

  /**
   * Starts a run. Idempotent.
   * @param command - Run to start.
   */
  abstract startRun(
    command: StartRunCommand,
  ): Promise<Result<StartReceipt, JobWorkerError>>;

  /**
   * Stops a run, or prevents it from starting later. Idempotent.
   * @param command - Run to stop.
   */
  abstract stopRun(command: RunCommand): Promise<Result<void, JobWorkerError>>;

  /**
   * Sets the CPU limit of a run.
   * @param command - Run and limit.
   */
  abstract setRunCpuLimit(
    command: CpuLimitCommand,
  ): Promise<Result<void, JobWorkerError>>;
}
