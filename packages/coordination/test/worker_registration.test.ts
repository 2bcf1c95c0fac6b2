import {createInvalidInputError} from '@mustardlug/base/errors';
import {RandomSource} from '@mustardlug/base/random_source';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  JobWorkerClient,
  WorkerRecord,
} from '@mustardlug/platform/job_worker_client';
import {JobWorkerModel} from '@mustardlug/standins/job_worker_model';
import {
  createDefaultJobWorkerLinkFaults,
  ModelJobWorkerClient,
} from '@mustardlug/standins/model_job_worker_client';
import {NodeClock} from '@mustardlug/standins/node_clock';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {HybridLogicalClock} from '@mustardlug/telemetry/hybrid_logical_clock';
import {expect} from 'chai';
import {err, ok} from 'neverthrow';
import {OwnDelay} from '../src/own_delay.js';
import {StartWindow} from '../src/start_window.js';
import {AssignedRun} from '../src/worker_load.js';
import {WorkerPool} from '../src/worker_pool.js';
import {SessionListener} from '../src/worker_session.js';
import {FencingTokens} from '../src/fencing_tokens.js';
import {LeaseBounds} from '../src/lease_bounds.js';
import {LeaseLimit} from '../src/lease_limit.js';
import {NO_EVACUATIONS} from './test_evacuations.js';
import {ScriptedJobWorkerClient} from './scripted_job_worker_client.js';
import {InvalidRowReporter} from '../src/invalid_row_reporter.js';
import {createTestEvents} from './test_events.js';
import {createTestCommitLog} from './test_commit_logs.js';
import {addTestRun} from './test_runs.js';

/** Interval at which the status of the term is confirmed. */
const STATUS_INTERVAL_MS = 300;

const RECORD: WorkerRecord = {
  workerId: 'worker-1',
  address: 'worker-1:80',
  serviceName: 'class-desk',
  failureDomain: 'north-a',
  isDraining: false,
  capacity: {cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0},
  labels: [],
  rack: 'rack-1',
  startMs: 1,
};

/** Longer than a lease, the time for which an earlier term goes on, and the comparison of losses. */
const LOSS_MS = 20_000;

const ADDRESS = {table: 'workers', part: '', key: 'worker-1'};

const NO_CHANGES = {rows: [], removed: [], version: 2, storeMs: 0};

function createRow(text: string) {
  const value = Buffer.from(text);
  return {...ADDRESS, value, version: 1};
}

function createModelClient(clock: VirtualClock): JobWorkerClient {
  const worker = JobWorkerModel.create({
    clock,
    record: RECORD,
    getTaskDurationMs: () => 1,
    isFailing: () => false,
    observer: {
      onWorkerStarted: () => undefined,
      onCapacityChanged: () => undefined,
      onRunStarted: () => undefined,
      onRunEnded: () => undefined,
      onEndAcknowledged: () => undefined,
    },
  });
  return ModelJobWorkerClient.create({
    clock,
    nodeClock: NodeClock.create(clock),
    workers: new Map([['worker-1', worker]]),
    faults: createDefaultJobWorkerLinkFaults(),
    random: RandomSource.create(1),
  });
}

function createPool(
  clock: VirtualClock,
  workerClient = createModelClient(clock),
  onRunEnded: SessionListener['onRunEnded'] = () => undefined,
): WorkerPool {
  const leaseLimit = LeaseLimit.create(clock, createTestCommitLog(clock));
  leaseLimit.begin();
  const confirmStatus = (): void => {
    leaseLimit.confirm(clock.getMonotonicMs());
    clock.setTimer(STATUS_INTERVAL_MS, confirmStatus);
  };
  confirmStatus();
  return WorkerPool.create({
    clock,
    events: EventRecorder.create({
      nodeId: 'node-1',
      clock: HybridLogicalClock.create(clock),
      capacity: 16,
    }),
    workerClient,
    decodeWorker: (_key, value) =>
      value.length === 0
        ? err(createInvalidInputError('the registration', []))
        : ok(JSON.parse(value.toString()) as WorkerRecord),
    listener: {
      onRunEnded,
      canRecordEndOf: () => true,
      onRunLost: () => undefined,
      onReport: () => undefined,
      onWorkerLost: () => undefined,
      onRunProven: () => undefined,
      onStartRefused: () => undefined,
      onStartWithheld: () => undefined,
      onRunNotStarted: () => undefined,
      onFirstResponse: () => undefined,
      onProcessRestarted: () => undefined,
      onRunProcessChanged: () => undefined,
      onCheckpointOmitted: () => undefined,
      onUnknownRun: () => undefined,
      onCommandUnanswered: () => undefined,
      onFenced: () => undefined,
      onFencingTokensUsedUp: () => undefined,
      onLongLease: () => undefined,
      onOtherClock: () => undefined,
      onLeasesSuspended: () => undefined,
    },
    fencingTokens: FencingTokens.create(1, 1_000),
    areStoredProcessesFenced: false,
    isFirstTerm: true,
    maxLeaseMs: 10_000,
    isTermConfirmed: () => true,
    areRegistrationsCurrent: () => true,
    evacuations: NO_EVACUATIONS,
    isStoreResponding: () => true,
    leaseLimit,
    startWindow: StartWindow.create(clock),
    ownDelay: OwnDelay.create(clock),
    leaseBounds: LeaseBounds.create(
      clock,
      createTestCommitLog(clock),
      InvalidRowReporter.create(createTestEvents(clock)),
    ),
  });
}

describe('a worker registration', () => {
  it('excludes the worker from new runs while it cannot be decoded', async () => {
    const clock = VirtualClock.create();
    const pool = createPool(clock);
    pool.applyRows([createRow(JSON.stringify(RECORD))]);
    await clock.advance(1_000);
    const [session] = pool.getSessions();
    expect(session.isUsable()).to.equal(true);
    pool.applyRows([createRow('')]);
    await clock.advance(1_000);
    expect(session.isUsable()).to.equal(false);
    pool.applyRows([createRow(JSON.stringify(RECORD))]);
    expect(session.isUsable()).to.equal(true);
    pool.stop();
  });

  describe('that is removed', () => {
    function createLostWorker() {
      const clock = VirtualClock.create();
      const client = ScriptedJobWorkerClient.create();
      const endedRuns: Array<AssignedRun | undefined> = [];
      const pool = createPool(clock, client, (_session, _ended, assigned) =>
        endedRuns.push(assigned),
      );
      pool.applyRows([createRow(JSON.stringify(RECORD))]);
      return {clock, client, endedRuns, pool};
    }

    it('ends the session only when the worker is silent, without runs, and its leases have expired', async () => {
      const {clock, client, pool} = createLostWorker();
      client.report = {clockMs: 0, startMs: 1, running: [], ended: []};
      await clock.advance(1_000);
      const [session] = pool.getSessions();
      client.report = undefined;
      await clock.advance(LOSS_MS);
      expect(pool.endObsoleteSessions()).to.deep.equal([]);
      const assigned = addTestRun(session.load, {});
      pool.applyChanges({...NO_CHANGES, removed: [ADDRESS]});
      expect(pool.endObsoleteSessions()).to.deep.equal([]);
      session.load.removeRun(assigned);
      expect(pool.endObsoleteSessions()).to.deep.equal(['worker-1']);
      const callCount = client.renewals.length;
      await clock.advance(LOSS_MS);
      expect(client.renewals.length).to.equal(callCount);
      pool.stop();
    });

    it('keeps the session while leases of earlier terms may last', async () => {
      const {clock, pool} = createLostWorker();
      pool.applyChanges({...NO_CHANGES, removed: [ADDRESS]});
      await clock.advance(5_000);
      expect(pool.endObsoleteSessions()).to.deep.equal([]);
      await clock.advance(LOSS_MS);
      expect(pool.endObsoleteSessions()).to.deep.equal(['worker-1']);
      pool.stop();
    });

    it('gives the worker a new session when it is back, which has no run for ends listed again', async () => {
      const {clock, client, endedRuns, pool} = createLostWorker();
      client.report = {clockMs: 0, startMs: 1, running: [], ended: []};
      await clock.advance(1_000);
      const assigned = addTestRun(pool.getSessions()[0].load, {});
      const {taskName, run} = assigned;
      const ended = [
        {
          sequence: 1,
          taskName,
          runNumber: run.runNumber,
          outcome: 'failed' as const,
          checkpoint: '',
        },
      ];
      client.report = {clockMs: 1, startMs: 1, running: [], ended};
      await clock.advance(1_000);
      client.report = undefined;
      pool.applyChanges({...NO_CHANGES, removed: [ADDRESS]});
      await clock.advance(LOSS_MS);
      expect(pool.endObsoleteSessions()).to.deep.equal(['worker-1']);
      client.report = {clockMs: 2, startMs: 1, running: [], ended};
      pool.applyRows([createRow(JSON.stringify(RECORD))]);
      await clock.advance(1_000);
      expect(endedRuns).to.deep.equal([assigned, undefined]);
      expect(pool.getSessions()[0].findExclusion()).to.equal(undefined);
      pool.stop();
    });
  });
});
