/** Worker client whose responses a test scripts. */

import {createUnavailableError} from '@mustardlug/base/errors';
import {
  CpuLimitCommand,
  JobWorkerClient,
  JobWorkerError,
  LeaseRenewal,
  LeaseReport,
  RefusalReason,
  RunCommand,
  StartReceipt,
  StartRunCommand,
} from '@mustardlug/platform/job_worker_client';
import {err, ok, Result} from 'neverthrow';

/** Response to a command: executed, no response, or the reason for a refusal. */
export type ScriptedResponse = 'done' | 'none' | RefusalReason;

/** Responds to each command with the next scripted response, then with `done`. */
export class ScriptedJobWorkerClient extends JobWorkerClient {
  readonly startResponses: ScriptedResponse[] = [];
  readonly stopResponses: ScriptedResponse[] = [];
  readonly cpuLimitResponses: ScriptedResponse[] = [];
  readonly startCommands: StartRunCommand[] = [];
  readonly stopCommands: RunCommand[] = [];
  readonly cpuLimitCommands: CpuLimitCommand[] = [];
  readonly renewals: LeaseRenewal[] = [];
  /** Time of the worker's clock in responses to start commands. */
  startClockMs: number | undefined;
  /** Delays the next response to a start command until it is resolved. */
  startGate: Promise<void> | undefined;
  /** Delays the next response to a stop command until it is resolved. */
  stopGate: Promise<void> | undefined;
  /** Report of the worker; no response while undefined. */
  report: LeaseReport | undefined;

  static create(): ScriptedJobWorkerClient {
    return new ScriptedJobWorkerClient();
  }

  override async renewLease(
    request: LeaseRenewal,
  ): Promise<Result<LeaseReport, JobWorkerError>> {
    this.renewals.push(request);
    if (this.report === undefined) return err(createNoResponse());
    return ok(this.report);
  }

  override async startRun(
    command: StartRunCommand,
  ): Promise<Result<StartReceipt, JobWorkerError>> {
    this.startCommands.push(command);
    const response = this.startResponses.shift() ?? 'done';
    const gate = this.startGate;
    this.startGate = undefined;
    await gate;
    const clockMs = this.startClockMs;
    return toResult(response)
      .map(() => ({clockMs}))
      .mapErr(error =>
        error.kind === 'worker-refusal' ? {...error, clockMs} : error,
      );
  }

  override async stopRun(
    command: RunCommand,
  ): Promise<Result<void, JobWorkerError>> {
    this.stopCommands.push(command);
    const response = this.stopResponses.shift() ?? 'done';
    const gate = this.stopGate;
    this.stopGate = undefined;
    await gate;
    return toResult(response);
  }

  override async setRunCpuLimit(
    command: CpuLimitCommand,
  ): Promise<Result<void, JobWorkerError>> {
    this.cpuLimitCommands.push(command);
    return toResult(this.cpuLimitResponses.shift() ?? 'done');
  }
}

function toResult(response: ScriptedResponse): Result<void, JobWorkerError> {
  if (response === 'done') return ok(undefined);
  if (response === 'none') return err(createNoResponse());
  const message = `the worker refused the command: ${response}`;
  return err({kind: 'worker-refusal', reason: response, message});
}

function createNoResponse(): JobWorkerError {
  return createUnavailableError('the worker did not respond', true);
}
