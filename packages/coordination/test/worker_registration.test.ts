import {createInvalidInputError} from '@mustardlug/base/errors';
import {RandomSource} from '@mustardlug/base/random_source';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {WorkerRecord} from '@mustardlug/platform/job_worker_client';
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
import {StartWindow} from '../src/start_window.js';
import {WorkerPool} from '../src/worker_pool.js';
import {LeaseBounds} from '../src/lease_bounds.js';
import {InvalidRowReporter} from '../src/invalid_row_reporter.js';
import {createTestEvents} from './test_events.js';
import {createTestCommitLog} from './test_commit_logs.js';

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

function createRow(text: string) {
  const value = Buffer.from(text);
  return {table: 'workers', part: '', key: 'worker-1', value, version: 1};
}

function createPool(clock: VirtualClock): WorkerPool {
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
  return WorkerPool.create({
    clock,
    events: EventRecorder.create({
      nodeId: 'node-1',
      clock: HybridLogicalClock.create(clock),
      capacity: 16,
    }),
    workerClient: ModelJobWorkerClient.create({
      clock,
      nodeClock: NodeClock.create(clock),
      workers: new Map([['worker-1', worker]]),
      faults: createDefaultJobWorkerLinkFaults(),
      random: RandomSource.create(1),
    }),
    decodeWorker: (_key, value) =>
      value.length === 0
        ? err(createInvalidInputError('the registration', []))
        : ok(JSON.parse(value.toString()) as WorkerRecord),
    listener: {
      onRunEnded: () => undefined,
      onRunLost: () => undefined,
      onReport: () => undefined,
      onWorkerLost: () => undefined,
      onRunProven: () => undefined,
      onStartRefused: () => undefined,
      onRunNotStarted: () => undefined,
      onProcessRestarted: () => undefined,
      onUnknownRun: () => undefined,
      onCommandUnanswered: () => undefined,
      onFenced: () => undefined,
      onLeasesSuspended: () => undefined,
    },
    fencingToken: 1,
    maxLeaseMs: 10_000,
    isTermConfirmed: () => true,
    areRegistrationsCurrent: () => true,
    isStoreResponding: () => true,
    previousTermTimeoutMs: 0,
    startWindow: StartWindow.create(clock),
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
});
