/** One node's way to the worker models, with faults between them. */

import {Clock} from '@mustardlug/base/clock';
import {createUnavailableError} from '@mustardlug/base/errors';
import {
  JobWorkerClient,
  LeaseReport,
  LeaseRequest,
  PaceOrder,
  RunOrder,
  StartOrder,
  WorkerAddress,
  WorkerError,
} from '@mustardlug/platform/job_worker';
import {err, ok, Result} from 'neverthrow';
import {JobWorkerModel, OrderOutcome} from './job_worker_model.js';

/** Faults on the way to the workers; tests change them while they run. */
export interface WorkerLinkFaults {
  /** Whether this node reaches no worker at all. */
  isCut: boolean;
  /** Workers that this node does not reach. */
  readonly cutWorkers: Set<string>;
  /** Number of coming orders that get no answer and are carried out after `lateMs`. */
  applyNextLate: number;
  /** Number of coming orders that are carried out although their answer is lost. */
  loseNextAnswers: number;
  lateMs: number;
}

/** Creates faults that do nothing. */
export function createNoWorkerLinkFaults(): WorkerLinkFaults {
  return {
    isCut: false,
    cutWorkers: new Set(),
    applyNextLate: 0,
    loseNextAnswers: 0,
    lateMs: 3_000,
  };
}

/** One-way delay to a worker. */
const DELAY_MS = 2;

/** Time after which an order without an answer is given up. */
const ORDER_TIMEOUT_MS = 300;

/** Time beyond its wait after which a report is given up. */
const REPORT_GRACE_MS = 500;

/** Orders of one node to all worker models. */
export class ModelJobWorkerClient extends JobWorkerClient {
  private constructor(
    private readonly clock: Clock,
    private readonly workers: ReadonlyMap<string, JobWorkerModel>,
    private readonly faults: WorkerLinkFaults,
  ) {
    super();
  }

  /**
   * Creates a client.
   * @param clock - Clock of the delays.
   * @param workers - Worker models by identifier.
   * @param faults - Faults of this node's links.
   */
  static create(
    clock: Clock,
    workers: ReadonlyMap<string, JobWorkerModel>,
    faults: WorkerLinkFaults,
  ): ModelJobWorkerClient {
    return new ModelJobWorkerClient(clock, workers, faults);
  }

  override async renewLease(
    request: LeaseRequest,
  ): Promise<Result<LeaseReport, WorkerError>> {
    await this.clock.sleep(DELAY_MS);
    const worker = this.find(request.worker);
    if (worker === undefined)
      return this.timeOut(request.waitMs + REPORT_GRACE_MS);
    const report = await worker.renew(request);
    await this.clock.sleep(DELAY_MS);
    if (this.find(request.worker) === undefined)
      return this.timeOut(REPORT_GRACE_MS);
    if (report === 'fenced') return err(createRefusal('fenced'));
    return ok(report);
  }

  override startRun(order: StartOrder): Promise<Result<void, WorkerError>> {
    return this.send(order.worker, worker => worker.start(order));
  }

  override stopRun(order: RunOrder): Promise<Result<void, WorkerError>> {
    return this.send(order.worker, worker => worker.stop(order));
  }

  override paceRun(order: PaceOrder): Promise<Result<void, WorkerError>> {
    return this.send(order.worker, worker => worker.pace(order));
  }

  private async send(
    address: WorkerAddress,
    carryOut: (worker: JobWorkerModel) => OrderOutcome,
  ): Promise<Result<void, WorkerError>> {
    await this.clock.sleep(DELAY_MS);
    const worker = this.find(address);
    if (worker === undefined) return this.timeOut(ORDER_TIMEOUT_MS);
    if (this.faults.applyNextLate > 0) {
      this.faults.applyNextLate--;
      const {bornMs} = worker.getRecord();
      this.clock.setTimer(this.faults.lateMs, () => {
        // What a process had received is lost with it.
        const isSameLifetime = worker.getRecord().bornMs === bornMs;
        if (worker.isUp() && isSameLifetime) carryOut(worker);
      });
      return this.timeOut(ORDER_TIMEOUT_MS);
    }
    const outcome = carryOut(worker);
    if (this.faults.loseNextAnswers > 0) {
      this.faults.loseNextAnswers--;
      return this.timeOut(ORDER_TIMEOUT_MS);
    }
    await this.clock.sleep(DELAY_MS);
    return outcome === 'done' ? ok(undefined) : err(createRefusal(outcome));
  }

  private find({workerId}: WorkerAddress): JobWorkerModel | undefined {
    if (this.faults.isCut || this.faults.cutWorkers.has(workerId))
      return undefined;
    const worker = this.workers.get(workerId);
    return worker?.isUp() ? worker : undefined;
  }

  private async timeOut<T>(
    durationMs: number,
  ): Promise<Result<T, WorkerError>> {
    await this.clock.sleep(durationMs);
    const message = 'the worker did not answer; check that it can be reached';
    return err(createUnavailableError(message, true));
  }
}

function createRefusal(reason: Exclude<OrderOutcome, 'done'>): WorkerError {
  return {
    kind: 'worker-refusal',
    reason,
    message: `the worker refused the order: ${reason}`,
  };
}
