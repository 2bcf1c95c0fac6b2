import {createUnavailableError} from '@mustardlug/base/errors';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  JobWorkerError,
  LeaseRenewal,
  LeaseReport,
  WorkerRecord,
} from '@mustardlug/platform/job_worker_client';
import {expect} from 'chai';
import {err, ok, Result} from 'neverthrow';
import {CrashAttributor, LostWorker} from '../src/crash_attributor.js';
import {OwnDelay} from '../src/own_delay.js';
import {StartWindow} from '../src/start_window.js';
import {
  MAX_LEASE_VALIDITY_MS,
  SessionListener,
  WorkerSession,
} from '../src/worker_session.js';
import {NO_EVACUATIONS} from './test_evacuations.js';
import {ScriptedJobWorkerClient} from './scripted_job_worker_client.js';
import {addTestRun, createTestLoad} from './test_runs.js';

/** Time from which this process reads responses late. */
const BUSY_MS = 4_000;

const CRASH_MS = 5_000;

/** Time at which the responses of the crashed workers have been read and later calls are given up. */
const NOTICED_MS = 9_500;

const CALL_LIMIT_MS = 1_000;
const WORKER_COUNT = 7;
const RESPONDING_COUNT = 12;

/** A worker that crashes, and whose responses a busy process reads late. */
class CrashingWorkerClient extends ScriptedJobWorkerClient {
  lastReadMs = 0;
  private readonly createdMs: number;

  constructor(
    private readonly clock: VirtualClock,
    private readonly crashMs: number,
    private readonly readDelayMs: number,
  ) {
    super();
    this.createdMs = clock.getMonotonicMs();
  }

  override async renewLease({
    waitMs,
  }: LeaseRenewal): Promise<Result<LeaseReport, JobWorkerError>> {
    const sentMs = this.clock.getMonotonicMs() - this.createdMs;
    if (sentMs + waitMs >= this.crashMs) {
      await this.clock.sleep(waitMs + CALL_LIMIT_MS);
      return err(createUnavailableError('no response', true));
    }
    await this.clock.sleep(waitMs);
    const clockMs = this.clock.getMonotonicMs();
    if (sentMs >= BUSY_MS) await this.clock.sleep(this.readDelayMs);
    this.lastReadMs = this.clock.getMonotonicMs();
    return ok({clockMs, startMs: 1, running: [], ended: []});
  }
}

function createRecord(workerId: string): WorkerRecord {
  return {
    workerId,
    address: `${workerId}:80`,
    serviceName: 'service',
    failureDomain: 'north-a',
    isDraining: false,
    capacity: {cpuMillis: 8_000, memoryMb: 64_000, accelerators: 0},
    labels: [],
    rack: 'rack-1',
    startMs: 1,
  };
}

function createSession(
  clock: VirtualClock,
  client: CrashingWorkerClient,
  workerId: string,
): WorkerSession {
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
    record: createRecord(workerId),
    maxLeaseMs: 10_000,
    isTermConfirmed: () => true,
    areRegistrationsCurrent: () => true,
    evacuations: NO_EVACUATIONS,
    isStoreResponding: () => true,
    previousLeaseEndMs: clock.getMonotonicMs() + MAX_LEASE_VALIDITY_MS,
    getLeaseLimitMs: () => Infinity,
    startWindow: StartWindow.create(clock),
    leaseBoundMs: undefined,
    ownDelay: OwnDelay.create(clock),
  });
}

/** Loses workers, each of them while it starts a run of another job. */
async function loseWorkers(
  getCrashMs: (index: number) => number,
  getReadDelayMs: (index: number) => number,
) {
  const clock = VirtualClock.create();
  const clients: CrashingWorkerClient[] = [];
  const sessions: WorkerSession[] = [];
  for (let index = 0; index < WORKER_COUNT; index++) {
    const client = new CrashingWorkerClient(
      clock,
      getCrashMs(index),
      getReadDelayMs(index),
    );
    const session = createSession(clock, client, `worker-${index}`);
    clients.push(client);
    sessions.push(session);
    void session.run();
  }
  await clock.advance(NOTICED_MS);
  const lostWorkers = sessions.map((session): LostWorker => {
    const load = createTestLoad();
    addTestRun(load, {}, 0, session.getId());
    return {
      workerId: session.getId(),
      interval: session.getLossInterval(),
      mayRespondAgain: false,
      load,
    };
  });
  for (const session of sessions) session.stop();
  const attributor = CrashAttributor.create();
  const suspected = lostWorkers.flatMap(lost =>
    attributor.recordLoss(
      lost,
      lostWorkers.filter(other => other !== lost),
      RESPONDING_COUNT,
      clock.getMonotonicMs(),
    ),
  );
  const readTimesMs = clients.map(({lastReadMs}) => lastReadMs);
  return {
    attributedCount: suspected.filter(({isAttributed}) => isAttributed).length,
    suspectedCount: suspected.length,
    readSpreadMs: Math.max(...readTimesMs) - Math.min(...readTimesMs),
  };
}

describe('starts on workers that crash at the same moment', () => {
  it('are not blamed if a busy process reads the last responses 1.4 s apart', async () => {
    const {attributedCount, suspectedCount, readSpreadMs} = await loseWorkers(
      () => CRASH_MS,
      index => index * 240,
    );
    expect(readSpreadMs).to.be.at.least(1_400);
    expect(suspectedCount).to.equal(WORKER_COUNT);
    expect(attributedCount).to.equal(0);
  });

  it('are not blamed if the process is idle', async () => {
    const {attributedCount} = await loseWorkers(
      () => CRASH_MS,
      () => 0,
    );
    expect(attributedCount).to.equal(0);
  });
});

describe('starts on workers that crash one after another', () => {
  it('are blamed', async () => {
    const {attributedCount} = await loseWorkers(
      index => CRASH_MS - 600 * index,
      () => 0,
    );
    expect(attributedCount).to.equal(WORKER_COUNT);
  });
});
