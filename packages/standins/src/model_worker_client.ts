/** Client that calls worker models directly, with injected network faults. */

import {err, Result} from 'neverthrow';
import {Clock} from '@mustardlug/base/clock';
import {createUnavailableError} from '@mustardlug/base/errors';
import {
  CommandOutcome,
  LeaseRelease,
  LeaseRequest,
  LeaseToken,
  WorkerAddress,
  WorkerClient,
  WorkerCommand,
  WorkerError,
  WorkerStatus,
} from '@mustardlug/platform/worker_client';
import {WorkerModel} from './worker_model.js';

/** Kind of a call to a worker. */
export type WorkerCall = 'lease' | 'release' | 'commands';

/** Network faults between one process and the workers. */
export interface WorkerLinkFaults {
  /** Network delay in each direction. */
  delayMs: number;
  /** Workers that cannot be reached. */
  readonly unreachableWorkers: Set<string>;
  /** Number of next calls that take effect but whose response is lost. */
  loseNextAnswers: number;
  /**
   * Gets the time after which the worker executes the next call, which gets no response;
   * `undefined` if the call is not late. A late call reaches the boot that runs then, or the
   * next one if none does, like a connection that is retried.
   */
  getLateMs: (call: WorkerCall) => number | undefined;
}

/** Observes the commands of each call, so that tests can inject faults at these points. */
export interface CommandObserver {
  /** Called before the commands are sent. */
  onSend(commands: readonly WorkerCommand[]): void;
  /**
   * Called after the worker has executed the commands, before its response is
   * delivered.
   */
  onExecuted(commands: readonly WorkerCommand[]): void;
}

/**
 * Size of the HTTP headers of a request or response, as measured on the
 * simulated services.
 */
const HTTP_HEADER_BYTES = 190;

/** Time limit of a call; that of the scheduler's and entry's settings. */
const CALL_TIMEOUT_MS = 2_000;

/** Interval at which a late call is retried while its worker is down. */
const RECONNECT_INTERVAL_MS = 100;

/** Time after which a late call to a worker that is down is given up. */
const RECONNECT_LIMIT_MS = 10_000;

/** Estimates the size of a value that is sent as JSON over HTTP. */
function estimateMessageBytes(value: unknown): number {
  return HTTP_HEADER_BYTES + (JSON.stringify(value) ?? '').length;
}

/** Worker client for simulations in virtual time. */
export class ModelWorkerClient extends WorkerClient {
  /** Faults of this client; may be changed at any time. */
  readonly faults: WorkerLinkFaults = {
    delayMs: 1,
    unreachableWorkers: new Set(),
    loseNextAnswers: 0,
    getLateMs: () => undefined,
  };
  /**
   * Estimated size of all requests and responses as JSON over HTTP, if
   * `isCountingBytes`.
   */
  transferredBytes = 0;
  /** Whether to count bytes; off by default because serialization costs CPU time. */
  isCountingBytes = false;

  private constructor(
    private readonly models: ReadonlyMap<string, WorkerModel>,
    private readonly clock: Clock,
    private readonly observer: CommandObserver | undefined,
    private readonly network: Clock,
  ) {
    super();
  }

  /**
   * Creates a client.
   * @param models - Workers by id.
   * @param clock - Clock of the calling process.
   * @param observer - Observer of commands.
   * @param network - Clock of late calls, which outlive the calling process.
   */
  static create(
    models: ReadonlyMap<string, WorkerModel>,
    clock: Clock,
    observer?: CommandObserver,
    network = clock,
  ): ModelWorkerClient {
    return new ModelWorkerClient(models, clock, observer, network);
  }

  override requestLease(
    address: WorkerAddress,
    request: LeaseRequest,
  ): Promise<Result<WorkerStatus, WorkerError>> {
    return this.call('lease', address, request, model =>
      model.requestLease(request),
    );
  }

  override releaseLease(
    address: WorkerAddress,
    release: LeaseRelease,
  ): Promise<Result<void, WorkerError>> {
    return this.call('release', address, release, model =>
      model.releaseLease(release),
    );
  }

  override runCommands(
    address: WorkerAddress,
    token: LeaseToken,
    commands: readonly WorkerCommand[],
  ): Promise<Result<CommandOutcome[], WorkerError>> {
    this.observer?.onSend(commands);
    return this.call('commands', address, {...token, commands}, model => {
      const result = model.runCommands(token, commands);
      this.observer?.onExecuted(commands);
      return result;
    });
  }

  private async call<T>(
    kind: WorkerCall,
    address: WorkerAddress,
    body: unknown,
    action: (model: WorkerModel) => Result<T, WorkerError>,
  ): Promise<Result<T, WorkerError>> {
    const lateMs = this.faults.getLateMs(kind);
    if (lateMs !== undefined) {
      this.executeLate(address, lateMs, action);
      await this.clock.sleep(CALL_TIMEOUT_MS);
      return err(createUnavailableError('the worker did not respond', true));
    }
    await this.clock.sleep(this.faults.delayMs);
    const model = this.models.get(address.workerId);
    if (model === undefined || this.isUnreachable(address)) {
      return err(createUnavailableError('the worker cannot be reached', false));
    }
    const result = action(model);
    if (this.isCountingBytes) {
      this.transferredBytes +=
        estimateMessageBytes(body) +
        estimateMessageBytes(result.unwrapOr(undefined));
    }
    await this.clock.sleep(this.faults.delayMs);
    if (this.faults.loseNextAnswers > 0 || this.isUnreachable(address)) {
      this.faults.loseNextAnswers = Math.max(
        0,
        this.faults.loseNextAnswers - 1,
      );
      return err(
        createUnavailableError('the response of the worker was lost', true),
      );
    }
    return result;
  }

  private executeLate(
    address: WorkerAddress,
    delayMs: number,
    action: (model: WorkerModel) => unknown,
    downMs = 0,
  ): void {
    this.network.setTimer(delayMs, () => {
      const model = this.models.get(address.workerId);
      if (model !== undefined) {
        action(model);
        return;
      }
      if (downMs >= RECONNECT_LIMIT_MS) return;
      const nextDownMs = downMs + RECONNECT_INTERVAL_MS;
      this.executeLate(address, RECONNECT_INTERVAL_MS, action, nextDownMs);
    });
  }

  private isUnreachable(address: WorkerAddress): boolean {
    return this.faults.unreachableWorkers.has(address.workerId);
  }
}
