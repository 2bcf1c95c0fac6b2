/**
 * Client through which one node calls the job worker models, with injected
 * network faults.
 */

import {Clock} from '@mustardlug/base/clock';
import {createUnavailableError} from '@mustardlug/base/errors';
import {
  JobWorkerClient,
  LeaseReport,
  LeaseRenewal,
  CpuLimitCommand,
  RunCommand,
  StartRunCommand,
  JobWorkerAddress,
  JobWorkerError,
} from '@mustardlug/platform/job_worker_client';
import {err, ok, Result} from 'neverthrow';
import {JobWorkerModel, RunCommandOutcome} from './job_worker_model.js';

/** Network faults between one node and the job workers; may be changed at any time. */
export interface JobWorkerLinkFaults {
  /** Whether this node can reach no worker. */
  isPartitioned: boolean;
  /** Workers that this node cannot reach. */
  readonly unreachableWorkers: Set<string>;
  /** Number of next commands that are executed only after `lateMs` and get no response. */
  applyNextLate: number;
  /** Number of next commands that are executed but whose response is lost. */
  loseNextAnswers: number;
  /** Delay of the commands that `applyNextLate` counts. */
  lateMs: number;
}

/** Creates fault settings without active faults. */
export function createDefaultJobWorkerLinkFaults(): JobWorkerLinkFaults {
  return {
    isPartitioned: false,
    unreachableWorkers: new Set(),
    applyNextLate: 0,
    loseNextAnswers: 0,
    lateMs: 3_000,
  };
}

/** Network delay in each direction. */
const ONE_WAY_DELAY_MS = 2;

/** Time after which a command without a response times out. */
const COMMAND_TIMEOUT_MS = 300;

/** Time beyond the requested wait after which a lease renewal times out. */
const RENEWAL_TIMEOUT_MARGIN_MS = 500;

/** Worker client that calls the models directly, in virtual time. */
export class ModelJobWorkerClient extends JobWorkerClient {
  private constructor(
    private readonly clock: Clock,
    private readonly workers: ReadonlyMap<string, JobWorkerModel>,
    private readonly faults: JobWorkerLinkFaults,
  ) {
    super();
  }

  /**
   * Creates a client.
   * @param clock - Clock for delays and timeouts.
   * @param workers - Worker models by id.
   * @param faults - Network faults of this node.
   */
  static create(
    clock: Clock,
    workers: ReadonlyMap<string, JobWorkerModel>,
    faults: JobWorkerLinkFaults,
  ): ModelJobWorkerClient {
    return new ModelJobWorkerClient(clock, workers, faults);
  }

  override async renewLease(
    request: LeaseRenewal,
  ): Promise<Result<LeaseReport, JobWorkerError>> {
    await this.clock.sleep(ONE_WAY_DELAY_MS);
    const worker = this.findReachableWorker(request.worker);
    if (worker === undefined)
      return this.simulateTimeout(request.waitMs + RENEWAL_TIMEOUT_MARGIN_MS);
    const report = await worker.renew(request);
    await this.clock.sleep(ONE_WAY_DELAY_MS);
    if (this.findReachableWorker(request.worker) === undefined)
      return this.simulateTimeout(RENEWAL_TIMEOUT_MARGIN_MS);
    if (report === 'fenced') return err(createRefusal('fenced'));
    return ok(report);
  }

  override startRun(
    command: StartRunCommand,
  ): Promise<Result<void, JobWorkerError>> {
    return this.send(command.worker, worker => worker.start(command));
  }

  override stopRun(command: RunCommand): Promise<Result<void, JobWorkerError>> {
    return this.send(command.worker, worker => worker.stop(command));
  }

  override setRunCpuLimit(
    command: CpuLimitCommand,
  ): Promise<Result<void, JobWorkerError>> {
    return this.send(command.worker, worker => worker.setCpuLimit(command));
  }

  private async send(
    address: JobWorkerAddress,
    execute: (worker: JobWorkerModel) => RunCommandOutcome,
  ): Promise<Result<void, JobWorkerError>> {
    await this.clock.sleep(ONE_WAY_DELAY_MS);
    const worker = this.findReachableWorker(address);
    if (worker === undefined) return this.simulateTimeout(COMMAND_TIMEOUT_MS);
    if (this.faults.applyNextLate > 0) {
      this.faults.applyNextLate--;
      const {startMs} = worker.getRecord();
      this.clock.setTimer(this.faults.lateMs, () => {
        // A command that a worker received before a restart is lost.
        const isSameLifetime = worker.getRecord().startMs === startMs;
        if (worker.isUp() && isSameLifetime) execute(worker);
      });
      return this.simulateTimeout(COMMAND_TIMEOUT_MS);
    }
    const outcome = execute(worker);
    if (this.faults.loseNextAnswers > 0) {
      this.faults.loseNextAnswers--;
      return this.simulateTimeout(COMMAND_TIMEOUT_MS);
    }
    await this.clock.sleep(ONE_WAY_DELAY_MS);
    return outcome === 'done' ? ok(undefined) : err(createRefusal(outcome));
  }

  private findReachableWorker({
    workerId,
  }: JobWorkerAddress): JobWorkerModel | undefined {
    if (
      this.faults.isPartitioned ||
      this.faults.unreachableWorkers.has(workerId)
    )
      return undefined;
    const worker = this.workers.get(workerId);
    return worker?.isUp() ? worker : undefined;
  }

  private async simulateTimeout<T>(
    durationMs: number,
  ): Promise<Result<T, JobWorkerError>> {
    await this.clock.sleep(durationMs);
    const message = 'the worker did not answer; check that it can be reached';
    return err(createUnavailableError(message, true));
  }
}

function createRefusal(
  reason: Exclude<RunCommandOutcome, 'done'>,
): JobWorkerError {
  return {
    kind: 'worker-refusal',
    reason,
    message: `the worker refused the command: ${reason}`,
  };
}
