import {createUnavailableError} from '@mustardlug/base/errors';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  JobWorkerError,
  LeaseRenewal,
  LeaseReport,
  StartReceipt,
  StartRunCommand,
  WorkerRecord,
} from '@mustardlug/platform/job_worker_client';
import {expect} from 'chai';
import {err, ok, Result} from 'neverthrow';
import {OwnDelay} from '../src/own_delay.js';
import {StartWindow} from '../src/start_window.js';
import {
  MAX_LEASE_VALIDITY_MS,
  SessionListener,
  WorkerSession,
} from '../src/worker_session.js';
import {NO_EVACUATIONS} from './test_evacuations.js';
import {ScriptedJobWorkerClient} from './scripted_job_worker_client.js';
import {addTestRun} from './test_runs.js';

const PROCESS_START_MS = 1;

const RECORD: WorkerRecord = {
  workerId: 'worker-1',
  address: 'worker-1:80',
  serviceName: 'service',
  failureDomain: 'north-a',
  isDraining: false,
  capacity: {cpuMillis: 8_000, memoryMb: 64_000, accelerators: 0},
  labels: [],
  rack: 'rack-1',
  startMs: PROCESS_START_MS,
};

const START_LIMIT_MS = 150;

/** A worker whose responses to renewals take time, and which does not answer starts. */
class TimedWorkerClient extends ScriptedJobWorkerClient {
  readonly renewalTimesMs: number[] = [];
  responseMs = 5;

  constructor(private readonly clock: VirtualClock) {
    super();
  }

  override async renewLease(
    renewal: LeaseRenewal,
  ): Promise<Result<LeaseReport, JobWorkerError>> {
    this.renewalTimesMs.push(this.clock.getMonotonicMs());
    await this.clock.sleep(this.responseMs + renewal.waitMs);
    return ok({
      clockMs: this.clock.getMonotonicMs(),
      startMs: PROCESS_START_MS,
      running: [],
      ended: [],
    });
  }

  override async startRun(
    command: StartRunCommand,
  ): Promise<Result<StartReceipt, JobWorkerError>> {
    this.startCommands.push(command);
    await this.clock.sleep(START_LIMIT_MS);
    return err(createUnavailableError('no response', true));
  }
}

function createSession(clock: VirtualClock, client: TimedWorkerClient) {
  const ignore = (): undefined => undefined;
  const listener: SessionListener = {
    onRunEnded: ignore,
    canRecordEndOf: () => true,
    onRunLost: ignore,
    onReport: ignore,
    onWorkerLost: ignore,
    onRunProven: ignore,
    onStartRefused: ignore,
    onStartWithheld: ignore,
    onRunNotStarted: ignore,
    onFirstResponse: ignore,
    onProcessRestarted: ignore,
    onRunProcessChanged: ignore,
    onCheckpointOmitted: () => undefined,
    onUnknownRun: ignore,
    onCommandUnanswered: ignore,
    onFenced: ignore,
    onFencingTokensUsedUp: () => undefined,
    onLongLease: () => undefined,
    onOtherClock: () => undefined,
    onLeasesSuspended: ignore,
  };
  return WorkerSession.create({
    clock,
    client,
    listener,
    firstFencingToken: 1,
    lastFencingToken: 1_000,
    getLongLeaseEndMs: () => -Infinity,
    record: RECORD,
    maxLeaseMs: 10_000,
    isTermConfirmed: () => true,
    areRegistrationsCurrent: () => true,
    evacuations: NO_EVACUATIONS,
    isStoreResponding: () => true,
    previousLeaseEndMs: clock.getMonotonicMs() + MAX_LEASE_VALIDITY_MS,
    getLeaseLimitMs: () => Infinity,
    startWindow: StartWindow.create(clock),
    ownDelay: OwnDelay.create(clock),
    leaseBoundMs: undefined,
  });
}

describe('a start without an answer', () => {
  it('causes one renewal at a time, so that one pause of the worker is not counted as several lost calls', async () => {
    const clock = VirtualClock.create();
    const client = new TimedWorkerClient(clock);
    const session = createSession(clock, client);
    void session.run();
    await clock.advance(2_000);
    const assigned = addTestRun(session.load, {});
    assigned.run.isConfirmed = false;
    assigned.commandResponseMs = undefined;
    client.responseMs = 300;
    client.renewalTimesMs.length = 0;
    void session.startRun(assigned);
    await clock.advance(START_LIMIT_MS + 1);
    const perMoment = new Map<number, number>();
    for (const timeMs of client.renewalTimesMs)
      perMoment.set(timeMs, (perMoment.get(timeMs) ?? 0) + 1);
    expect(Math.max(...perMoment.values())).to.equal(1);
    session.stop();
  });
});
