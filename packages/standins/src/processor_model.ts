/** Processor time of a simulated node: while it does one piece of work, nothing else runs on it. */

import {Clock} from '@mustardlug/base/clock';
import {
  CpuLimitCommand,
  JobWorkerClient,
  JobWorkerError,
  LeaseRenewal,
  LeaseReport,
  RunCommand,
  StartReceipt,
  StartRunCommand,
} from '@mustardlug/platform/job_worker_client';
import {
  ChangeRequest,
  HistoryGoneError,
  RowCommitError,
  RowRange,
  RowReceipt,
  RowSnapshot,
  RowChanges,
  RowStore,
  RowTransaction,
} from '@mustardlug/platform/row_store';
import {UnavailableError} from '@mustardlug/base/errors';
import {Result} from 'neverthrow';
import {NodeClock} from './node_clock.js';

/** Processor time that handling responses takes on one core, in milliseconds. */
export interface ProcessorCosts {
  /** Of each response. */
  readonly callMs: number;
  /** Of each row in it. */
  readonly rowMs: number;
}

export interface ProcessorModelOptions {
  /** Clock of the simulation. */
  readonly clock: Clock;
  /** Clock of the node, which is suspended while the processor is busy. */
  readonly nodeClock: NodeClock;
  readonly cpuCores: number;
  readonly costs: ProcessorCosts;
}

/** Processor that does one piece of work at a time. */
export class ProcessorModel {
  private constructor(private readonly options: ProcessorModelOptions) {}

  /**
   * Creates an idle processor.
   * @param options - Clocks, CPU capacity and costs.
   */
  static create(options: ProcessorModelOptions): ProcessorModel {
    return new ProcessorModel(options);
  }

  /**
   * Creates a row store whose responses take processor time.
   * @param store - Row store that responds.
   */
  createStore(store: RowStore): RowStore {
    return new CostlyRowStore(store, this);
  }

  /**
   * Creates a worker client whose responses take processor time.
   * @param client - Worker client that responds.
   */
  createWorkerClient(client: JobWorkerClient): JobWorkerClient {
    return new CostlyWorkerClient(client, this);
  }

  /**
   * Spends processor time on synchronous work.
   * @param costMs - Processor time on one core.
   */
  spend(costMs: number): void {
    const {nodeClock, cpuCores} = this.options;
    nodeClock.spend(costMs / cpuCores);
  }

  /**
   * Sends a call once the work in progress is done, and handles the response.
   * @param call - Sends the call.
   * @param countRows - Counts the rows in the response.
   */
  async handle<T>(
    call: () => Promise<T>,
    countRows: (value: T) => number = () => 0,
  ): Promise<T> {
    const {clock, nodeClock, cpuCores, costs} = this.options;
    while (!nodeClock.isRunning()) await nodeClock.sleep(0);
    const value = await call();
    while (!nodeClock.isRunning()) await nodeClock.sleep(0);
    const costMs = costs.callMs + countRows(value) * costs.rowMs;
    nodeClock.suspend();
    clock.setTimer(costMs / cpuCores, () => nodeClock.resume());
    await nodeClock.sleep(0);
    return value;
  }
}

class CostlyRowStore extends RowStore {
  constructor(
    private readonly store: RowStore,
    private readonly processor: ProcessorModel,
  ) {
    super();
  }

  override commit(
    transaction: RowTransaction,
  ): Promise<Result<RowReceipt, RowCommitError>> {
    return this.processor.handle(() => this.store.commit(transaction));
  }

  override getRows(
    range: RowRange,
  ): Promise<Result<RowSnapshot, UnavailableError>> {
    return this.processor.handle(() => this.store.getRows(range), countRows);
  }

  override getParts(
    table: string,
  ): Promise<Result<string[], UnavailableError>> {
    return this.processor.handle(() => this.store.getParts(table));
  }

  override getChanges(
    request: ChangeRequest,
  ): Promise<Result<RowChanges, HistoryGoneError | UnavailableError>> {
    return this.processor.handle(
      () => this.store.getChanges(request),
      countRows,
    );
  }
}

class CostlyWorkerClient extends JobWorkerClient {
  constructor(
    private readonly client: JobWorkerClient,
    private readonly processor: ProcessorModel,
  ) {
    super();
  }

  override renewLease(
    request: LeaseRenewal,
  ): Promise<Result<LeaseReport, JobWorkerError>> {
    return this.processor.handle(() => this.client.renewLease(request));
  }

  override startRun(
    command: StartRunCommand,
  ): Promise<Result<StartReceipt, JobWorkerError>> {
    return this.processor.handle(() => this.client.startRun(command));
  }

  override stopRun(command: RunCommand): Promise<Result<void, JobWorkerError>> {
    return this.processor.handle(() => this.client.stopRun(command));
  }

  override setRunCpuLimit(
    command: CpuLimitCommand,
  ): Promise<Result<void, JobWorkerError>> {
    return this.processor.handle(() => this.client.setRunCpuLimit(command));
  }
}

function countRows(
  outcome: Result<{readonly rows: readonly unknown[]}, unknown>,
): number {
  return outcome.isOk() ? outcome.value.rows.length : 0;
}
