/** Workers that run tasks under leases, as this project uses them. */

import {Result} from 'neverthrow';
import {UnavailableError} from '@mustardlug/base/errors';
import {ResourceRequirements} from '@mustardlug/jobs/job_spec';

/** A worker as it is registered. */
export interface WorkerRecord {
  readonly workerId: string;
  /** Address of its HTTP interface, host and port. */
  readonly address: string;
  readonly serviceName: string;
  readonly failureDomain: string;
  readonly isDraining: boolean;
  /** Least time until a draining worker leaves; undefined when not known. */
  readonly drainRemainingMs?: number;
  readonly capacity: ResourceRequirements;
  readonly labels: readonly string[];
  /** Rack that the worker stands in; empty when unknown. */
  readonly rack: string;
  /** Start of the worker's process, in milliseconds since the Unix epoch. */
  readonly bornMs: number;
}

/** Addresses one lifetime of a worker. */
export interface WorkerAddress {
  readonly workerId: string;
  readonly address: string;
}

/** A run that a worker lists as going on. */
export interface RunningRun {
  readonly taskName: string;
  readonly runNumber: number;
  readonly checkpoint: string;
  readonly progressPercent: number;
  /** Tail response time in milliseconds for serving tasks, else processor use in thousandths of a core. */
  readonly usage: number;
}

/** How a run ended. */
export type RunEnd =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A run that a worker lists as ended. */
export interface EndedRun {
  /** Position in the worker's list of ends; acknowledged by this number. */
  readonly sequence: number;
  readonly taskName: string;
  readonly runNumber: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/** Renews a worker's lease and asks for its lists. */
export interface LeaseRequest {
  readonly worker: WorkerAddress;
  readonly fencingToken: number;
  /** Ends up to this sequence may be forgotten by the worker. */
  readonly acknowledgedSequence: number;
  /** Time on the worker's clock until which everything on it may run; absent to leave it. */
  readonly leaseUntilMs?: number;
  /** Longest time that the worker waits for an end before it answers. */
  readonly waitMs: number;
}

/** What a worker reports about its runs. */
export interface LeaseReport {
  /** Reading of the worker's clock. */
  readonly clockMs: number;
  readonly bornMs: number;
  readonly running: readonly RunningRun[];
  readonly ended: readonly EndedRun[];
}

/** Starts a run. */
export interface StartOrder {
  readonly worker: WorkerAddress;
  readonly taskName: string;
  readonly runNumber: number;
  readonly specification: string;
  readonly checkpoint: string;
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
  /** Permission for this worker, where the queue needs one. */
  readonly ticket?: string;
}

/** Addresses a run. */
export interface RunOrder {
  readonly worker: WorkerAddress;
  readonly taskName: string;
  readonly runNumber: number;
  readonly fencingToken: number;
}

/** Lets a run work at a share of its processor. */
export interface PaceOrder extends RunOrder {
  readonly percent: number;
}

/** Why a worker did not carry out an order. */
export type RefusalReason =
  /** It has seen a higher fencing token. */
  | 'fenced'
  /** This run, or a later one, has ended or was stopped there. */
  | 'superseded'
  /** The lease in the order had run out. */
  | 'lapsed'
  | 'no-room'
  | 'no-ticket'
  /** The worker is unhealthy and did nothing. */
  | 'unhealthy'
  /** Another lifetime of the worker answered. */
  | 'other-lifetime'
  /** The order was malformed; an error of this program. */
  | 'invalid';

/** A worker answered that it did not carry out an order. */
export interface WorkerRefusal {
  readonly kind: 'worker-refusal';
  readonly reason: RefusalReason;
  readonly message: string;
}

/** Why an order has no confirmation. */
export type WorkerError = WorkerRefusal | UnavailableError;

/** Client of all workers. */
export abstract class JobWorkerClient {
  /**
   * Renews a lease and gets the worker's lists.
   * @param request - Worker, token and lease.
   */
  abstract renewLease(
    request: LeaseRequest,
  ): Promise<Result<LeaseReport, WorkerError>>;

  /**
   * Starts a run. Repeating an order is safe.
   * @param order - Run to start.
   */
  abstract startRun(order: StartOrder): Promise<Result<void, WorkerError>>;

  /**
   * Stops a run, or shuts out one that has not begun. Repeating is safe.
   * @param order - Run to stop.
   */
  abstract stopRun(order: RunOrder): Promise<Result<void, WorkerError>>;

  /**
   * Changes the processor share of a run.
   * @param order - Run and share.
   */
  abstract paceRun(order: PaceOrder): Promise<Result<void, WorkerError>>;
}
