import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {AttemptReport, WorkerStatus} from '@mustardlug/platform/worker_client';
import {WorkerModel} from '@mustardlug/standins/worker_model';
import {expect} from 'chai';
import {CrashAttributor} from '../src/crash_attributor.js';
import {createBatchRecord} from '../src/job_expander.js';
import {MIN_PROOF_MS, StartTracker} from '../src/start_tracker.js';
import {TaskRecord} from '../src/task_record.js';

const CAPACITY = {cores: 8, memoryMb: 4_000, accelerators: 0};
const ID = {taskId: 'task', attempt: 1};
const REBOOT_MS = 5_000;

let clock: VirtualClock;
let starts: StartTracker;

/** Creates a status of a worker that has just booted, with one running attempt at most. */
function createStatus(
  workerId: string,
  bootId: string,
  isRunning = false,
): WorkerStatus {
  const model = WorkerModel.create(workerId, bootId, CAPACITY, clock);
  const status = model
    .requestLease({scope: 'tasks', holderId: 'holder', ttlMs: 1_000})
    ._unsafeUnwrap();
  model.destroy();
  const report = {...ID, state: 'running'} as AttemptReport;
  return {...status, attempts: isRunning ? [report] : []};
}

function createRecord(overrides: Partial<TaskRecord> = {}): TaskRecord {
  const job = {
    name: 'job',
    team: 'team',
    tasks: 1,
    resources: {cores: 1, memoryMb: 1, accelerators: 0},
    expectedRunMs: 1_000,
    isUrgent: false,
    maxAttempts: 3,
  };
  return {
    ...createBatchRecord(job, ID.taskId, 'token', clock.getWallMs()),
    state: 'bound',
    attempt: ID.attempt,
    workerId: 'a',
    bootId: 'boot-1',
    boundAtMs: clock.getWallMs(),
    ...overrides,
  };
}

beforeEach(() => {
  clock = VirtualClock.create();
  starts = StartTracker.create(clock);
});

describe(StartTracker.name, () => {
  it('proves an attempt that is reported some time after its acceptance', async () => {
    starts.recordStatus(createStatus('a', 'boot-1'));
    starts.recordStart('a', ID);
    starts.recordAcceptance('a', ID);
    await clock.advance(MIN_PROOF_MS - 1);
    starts.recordStatus(createStatus('a', 'boot-1', true));
    expect(starts.getStartingTaskIds('a')).to.deep.equal(['task']);
    await clock.advance(1);
    starts.recordStatus(createStatus('a', 'boot-1', true));
    expect(starts.isProven('a', ID)).to.equal(true);
    expect(starts.getStartingTaskIds('a')).to.deep.equal([]);
  });

  it('does not count an attempt from the backlog as starting', () => {
    starts.recordStatus(createStatus('a', 'boot-1'));
    starts.recordBind('a', ID, false);
    expect(starts.getStartingTaskIds('a')).to.deep.equal([]);
  });
});

describe(CrashAttributor.name, () => {
  let crashes: CrashAttributor;

  beforeEach(() => {
    crashes = CrashAttributor.create(clock, starts, () => false);
    starts.recordStatus(createStatus('a', 'boot-1'));
    starts.recordStatus(createStatus('b', 'boot-1'));
    starts.recordStart('a', ID);
  });

  /** Reboots a worker after the loss of its lease. */
  function reboot(workerId: string): WorkerStatus {
    const status = createStatus(workerId, 'boot-2');
    crashes.recordLeaseLoss(workerId);
    starts.recordStatus(status);
    crashes.recordLeaseGrant(status, []);
    return status;
  }

  it('has evidence of a crash after the worker has accepted the attempt', async () => {
    starts.recordAcceptance('a', ID);
    const record = createRecord();
    await clock.advance(REBOOT_MS);
    expect(crashes.getEvidence(record, reboot('a'))).to.equal('observed');
    expect(crashes.isCommonFailure('a', false)).to.equal(false);
  });

  it('has no evidence if the worker did not accept the attempt', async () => {
    const record = createRecord();
    await clock.advance(REBOOT_MS);
    expect(crashes.getEvidence(record, reboot('a'))).to.equal('none');
  });

  it('only suspects an attempt that another process has started', () => {
    const status = createStatus('c', 'boot-2');
    const record = createRecord({workerId: 'c'});
    expect(crashes.getEvidence(record, status)).to.equal('possible');
    const starting = {crashedWorkerIds: [], startingAttempt: ID.attempt};
    const marked = createRecord({workerId: 'c', ...starting});
    expect(crashes.getEvidence(marked, status)).to.equal('observed');
  });

  it('finds a common failure if another worker was starting nothing', async () => {
    starts.recordAcceptance('a', ID);
    await clock.advance(REBOOT_MS);
    reboot('a');
    reboot('b');
    expect(crashes.isCommonFailure('a', false)).to.equal(true);
  });
});
