/**
 * Client through which one node calls the job worker models, with injected
 * network faults.
 */

import {Clock} from '@mustardlug/base/clock';
import {createUnavailableError} from '@mustardlug/base/errors';
import {RandomSource} from '@mustardlug/base/random_source';
import {
  JobWorkerClient,
  LeaseReport,
  LeaseRenewal,
  CpuLimitCommand,
  RunCommand,
  StartReceipt,
  StartRunCommand,
  JobWorkerAddress,
  JobWorkerError,
} from '@mustardlug/platform/job_worker_client';
import {err, ok, Result} from 'neverthrow';
import {JobWorkerModel, RunCommandOutcome} from './job_worker_model.js';
import {NodeClock} from './node_clock.js';

/** Network faults between one node and the job workers; may be changed at any time. */
export interface JobWorkerLinkFaults {
  /** Whether this node can reach no worker. */
  isPartitioned: boolean;
  /** Workers that this node cannot reach. */
  readonly unreachableWorkers: Set<string>;
  /** Workers that calls of this node do not reach, although responses to earlier calls arrive. */
  readonly requestBlockedWorkers: Set<string>;
  /** Workers that receive calls of this node, but whose responses do not arrive. */
  readonly responseBlockedWorkers: Set<string>;
  /** Probability that a call is lost, and that the response to an executed call is lost. */
  lossProbability: number;
  /** Number of next commands that are executed only after a delay and get no response. */
  applyNextLate: number;
  /** Number of next lease renewals that are executed only after a delay and get no response. */
  renewNextLate: number;
  /** Probability that a command or renewal is executed only after a delay and gets no response. */
  lateProbability: number;
  /** Minimum delay of calls that are executed late. */
  lateMs: number;
  /** Maximum delay of calls that are executed late, if it is above the minimum. */
  maxLateMs: number;
  /** Whether lease expiries in calls that are executed late are shifted by the delay. */
  shiftsLateLeases: boolean;
  /** Whether calls that are executed late reach a process that was started after they were sent. */
  reachesNextProcess: boolean;
  /**
   * Maximum time for which a call to a worker that is down is held, so that its next
   * process executes it; at 0, the call is lost.
   */
  holdMs: number;
  /** Number of next commands that are executed but whose response is lost. */
  loseNextAnswers: number;
}

/** Creates fault settings without active faults. */
export function createDefaultJobWorkerLinkFaults(): JobWorkerLinkFaults {
  return {
    isPartitioned: false,
    unreachableWorkers: new Set(),
    requestBlockedWorkers: new Set(),
    responseBlockedWorkers: new Set(),
    lossProbability: 0,
    applyNextLate: 0,
    renewNextLate: 0,
    lateProbability: 0,
    lateMs: 3_000,
    maxLateMs: 0,
    shiftsLateLeases: false,
    reachesNextProcess: false,
    holdMs: 0,
    loseNextAnswers: 0,
  };
}

export interface ModelJobWorkerClientOptions {
  /** Clock of the network. */
  readonly clock: Clock;
  /** Clock of the calling node, which gets no responses while it is suspended. */
  readonly nodeClock: NodeClock;
  /** Worker models by id. */
  readonly workers: ReadonlyMap<string, JobWorkerModel>;
  /** Network faults of the calling node. */
  readonly faults: JobWorkerLinkFaults;
  readonly random: RandomSource;
}

/** When a call is executed. */
interface CallTiming {
  /** Time by which the execution is late. */
  readonly delayMs: number;
  /** Time by which lease expiries in the call are shifted. */
  readonly leaseShiftMs: number;
}

/** Network delay in each direction. */
const ONE_WAY_DELAY_MS = 2;

/** Time after which a command without a response times out. */
const COMMAND_TIMEOUT_MS = 300;

/** Time beyond the requested wait after which a lease renewal times out. */
const RENEWAL_TIMEOUT_MARGIN_MS = 500;

/** Range of the interval at which a held call tries to reach the worker. */
const MIN_HOLD_RETRY_MS = 5;
const MAX_HOLD_RETRY_MS = 100;

/** Worker client that calls the models directly, in virtual time. */
export class ModelJobWorkerClient extends JobWorkerClient {
  /** Number of calls by worker ID. */
  private readonly callCounts = new Map<string, number>();

  private constructor(private readonly options: ModelJobWorkerClientOptions) {
    super();
  }

  /**
   * Creates a client.
   * @param options - Clocks, worker models and faults.
   */
  static create(options: ModelJobWorkerClientOptions): ModelJobWorkerClient {
    return new ModelJobWorkerClient(options);
  }

  /**
   * Gets the number of calls to a worker, executed or not.
   * @param workerId - Identifier of the worker.
   */
  getCallCount(workerId: string): number {
    return this.callCounts.get(workerId) ?? 0;
  }

  override async renewLease(
    request: LeaseRenewal,
  ): Promise<Result<LeaseReport, JobWorkerError>> {
    const {clock} = this.options;
    const {worker: address, waitMs} = request;
    this.countCall(address);
    const timeoutMs = waitMs + RENEWAL_TIMEOUT_MARGIN_MS;
    await clock.sleep(ONE_WAY_DELAY_MS);
    if (!this.canSend(address)) return this.simulateTimeout(timeoutMs);
    if (this.consumeLateFault('renewNextLate')) {
      this.executeLate(address, (worker, {leaseShiftMs}) => {
        const {leaseUntilMs} = request;
        const shiftedMs = leaseUntilMs && leaseUntilMs + leaseShiftMs;
        void worker.renew({...request, leaseUntilMs: shiftedMs, waitMs: 0});
      });
      return this.simulateTimeout(timeoutMs);
    }
    const worker = this.findRunningWorker(address);
    if (worker === undefined)
      return this.hold(address, timeoutMs, next =>
        this.executeRenewal(next, request),
      );
    return this.executeRenewal(worker, request);
  }

  private async executeRenewal(
    worker: JobWorkerModel,
    request: LeaseRenewal,
  ): Promise<Result<LeaseReport, JobWorkerError>> {
    const {clock, faults} = this.options;
    const report = await worker.renew(request);
    await clock.sleep(ONE_WAY_DELAY_MS);
    const isAnswered = report !== undefined && this.canReceive(request.worker);
    if (!isAnswered || this.isLost(faults.lossProbability))
      return this.simulateTimeout(RENEWAL_TIMEOUT_MARGIN_MS);
    await this.waitUntilResumed();
    if (report === 'fenced') return err(createRefusal('fenced'));
    return ok(report);
  }

  override startRun(
    command: StartRunCommand,
  ): Promise<Result<StartReceipt, JobWorkerError>> {
    let clockMs: number | undefined;
    const pending = this.send(
      command.worker,
      (worker, {delayMs, leaseShiftMs}) => {
        clockMs = worker.getClockMs();
        return worker.start(
          {...command, leaseUntilMs: command.leaseUntilMs + leaseShiftMs},
          delayMs,
        );
      },
    );
    return pending.then(outcome =>
      outcome
        .map(() => ({clockMs}))
        .mapErr(error =>
          error.kind === 'worker-refusal' ? {...error, clockMs} : error,
        ),
    );
  }

  override stopRun(command: RunCommand): Promise<Result<void, JobWorkerError>> {
    return this.send(command.worker, worker => worker.stop(command));
  }

  override setRunCpuLimit(
    command: CpuLimitCommand,
  ): Promise<Result<void, JobWorkerError>> {
    return this.send(command.worker, worker => worker.setCpuLimit(command));
  }

  /**
   * Sends a command.
   * @param address - Worker to send it to.
   * @param execute - Executes the command; `undefined` if it gets no response.
   */
  private async send(
    address: JobWorkerAddress,
    execute: (
      worker: JobWorkerModel,
      timing: CallTiming,
    ) => RunCommandOutcome | undefined,
  ): Promise<Result<void, JobWorkerError>> {
    const {clock} = this.options;
    this.countCall(address);
    await clock.sleep(ONE_WAY_DELAY_MS);
    if (!this.canSend(address)) return this.simulateTimeout(COMMAND_TIMEOUT_MS);
    if (this.consumeLateFault('applyNextLate')) {
      this.executeLate(address, execute);
      return this.simulateTimeout(COMMAND_TIMEOUT_MS);
    }
    const worker = this.findRunningWorker(address);
    if (worker === undefined) {
      const sentMs = clock.getMonotonicMs();
      return this.hold(address, COMMAND_TIMEOUT_MS, next => {
        const delayMs = clock.getMonotonicMs() - sentMs;
        return this.respond(address, execute(next, {delayMs, leaseShiftMs: 0}));
      });
    }
    return this.respond(
      address,
      execute(worker, {delayMs: 0, leaseShiftMs: 0}),
    );
  }

  private async respond(
    address: JobWorkerAddress,
    outcome: RunCommandOutcome | undefined,
  ): Promise<Result<void, JobWorkerError>> {
    const {clock, faults} = this.options;
    if (outcome === undefined) return this.simulateTimeout(COMMAND_TIMEOUT_MS);
    if (faults.loseNextAnswers > 0) {
      faults.loseNextAnswers--;
      return this.simulateTimeout(COMMAND_TIMEOUT_MS);
    }
    await clock.sleep(ONE_WAY_DELAY_MS);
    if (!this.canReceive(address) || this.isLost(faults.lossProbability))
      return this.simulateTimeout(COMMAND_TIMEOUT_MS);
    await this.waitUntilResumed();
    return outcome === 'done' ? ok(undefined) : err(createRefusal(outcome));
  }

  private countCall({workerId}: JobWorkerAddress): void {
    this.callCounts.set(workerId, this.getCallCount(workerId) + 1);
  }

  /** Checks whether a call reaches a worker, or gets delayed on its way to it. */
  private canSend(address: JobWorkerAddress): boolean {
    const {faults} = this.options;
    const {workerId} = address;
    if (faults.isPartitioned || faults.unreachableWorkers.has(workerId))
      return false;
    if (faults.requestBlockedWorkers.has(workerId)) return false;
    if (this.isLost(faults.lossProbability)) return false;
    if (faults.reachesNextProcess || faults.holdMs > 0) return true;
    return this.findRunningWorker(address) !== undefined;
  }

  private canReceive({workerId}: JobWorkerAddress): boolean {
    const {faults} = this.options;
    if (faults.isPartitioned || faults.unreachableWorkers.has(workerId))
      return false;
    return !faults.responseBlockedWorkers.has(workerId);
  }

  private isLost(probability: number): boolean {
    return probability > 0 && this.options.random.getFloat() < probability;
  }

  private consumeLateFault(
    counter: 'applyNextLate' | 'renewNextLate',
  ): boolean {
    const {faults} = this.options;
    if (faults[counter] === 0) return this.isLost(faults.lateProbability);
    faults[counter]--;
    return true;
  }

  private executeLate(
    address: JobWorkerAddress,
    execute: (worker: JobWorkerModel, timing: CallTiming) => void,
  ): void {
    const {clock, faults, random, workers} = this.options;
    const {shiftsLateLeases, reachesNextProcess} = faults;
    const spreadMs = Math.max(0, faults.maxLateMs - faults.lateMs);
    const delayMs =
      faults.lateMs + (spreadMs > 0 ? random.getIndex(spreadMs) : 0);
    const startMs = workers.get(address.workerId)?.getRecord().startMs;
    clock.setTimer(delayMs, () => {
      const worker = this.findRunningWorker(address);
      if (worker === undefined) return;
      // By default, a command that a worker received before a restart is lost.
      const isSameProcess = worker.getRecord().startMs === startMs;
      if (isSameProcess || reachesNextProcess)
        execute(worker, {
          delayMs,
          leaseShiftMs: shiftsLateLeases ? delayMs : 0,
        });
    });
  }

  /**
   * Holds a call to a worker that is down until its next process executes it. The caller
   * may have given up by then.
   */
  private hold<T>(
    address: JobWorkerAddress,
    timeoutMs: number,
    execute: (worker: JobWorkerModel) => Promise<Result<T, JobWorkerError>>,
  ): Promise<Result<T, JobWorkerError>> {
    const timeout = this.simulateTimeout<T>(timeoutMs);
    if (this.options.faults.holdMs === 0) return timeout;
    const response = this.waitForNextProcess(address).then(worker =>
      worker === undefined ? timeout : execute(worker),
    );
    return Promise.race([timeout, response]);
  }

  private async waitForNextProcess(
    address: JobWorkerAddress,
  ): Promise<JobWorkerModel | undefined> {
    const {clock, faults, random} = this.options;
    const endMs = clock.getMonotonicMs() + faults.holdMs;
    const spreadMs = MAX_HOLD_RETRY_MS - MIN_HOLD_RETRY_MS;
    while (clock.getMonotonicMs() < endMs) {
      await clock.sleep(MIN_HOLD_RETRY_MS + random.getIndex(spreadMs));
      const worker = this.findRunningWorker(address);
      if (worker !== undefined) return worker;
    }
    return undefined;
  }

  private findRunningWorker({
    workerId,
  }: JobWorkerAddress): JobWorkerModel | undefined {
    const worker = this.options.workers.get(workerId);
    return worker?.isUp() ? worker : undefined;
  }

  private async simulateTimeout<T>(
    durationMs: number,
  ): Promise<Result<T, JobWorkerError>> {
    await this.options.nodeClock.sleep(durationMs);
    const message = 'the worker did not answer; check that it can be reached';
    return err(createUnavailableError(message, true));
  }

  private async waitUntilResumed(): Promise<void> {
    const {nodeClock} = this.options;
    if (!nodeClock.isRunning()) await nodeClock.sleep(0);
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
