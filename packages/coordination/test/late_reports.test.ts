import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  EndedRun,
  JobWorkerError,
  LeaseRenewal,
  LeaseReport,
  RunningRun,
  StartReceipt,
  StartRunCommand,
  WorkerRecord,
} from '@mustardlug/platform/job_worker_client';
import {expect} from 'chai';
import {ok, Result} from 'neverthrow';
import {DurationModel} from '../src/duration_model.js';
import {OwnDelay} from '../src/own_delay.js';
import {StartWindow} from '../src/start_window.js';
import {HealthChange, WorkerHealth} from '../src/worker_health.js';
import {
  MAX_LEASE_VALIDITY_MS,
  SessionListener,
  WorkerSession,
} from '../src/worker_session.js';
import {NO_EVACUATIONS} from './test_evacuations.js';
import {ScriptedJobWorkerClient} from './scripted_job_worker_client.js';
import {addTestRun, createTestLoad} from './test_runs.js';

const WORKER_ID = 'worker-1';

const RECORD: WorkerRecord = {
  workerId: WORKER_ID,
  address: 'worker-1:80',
  serviceName: 'service',
  failureDomain: 'north-a',
  isDraining: false,
  capacity: {cpuMillis: 32_000, memoryMb: 128_000, accelerators: 0},
  labels: [],
  rack: 'rack-1',
  startMs: 1,
};

/** Duration of the tasks, as estimated. */
const TASK_MS = 1_000;

/** Time at which the session has settled, and runs are started. */
const START_MS = 2_000;

/** A sound worker whose reports this process reads late. */
class LateReportClient extends ScriptedJobWorkerClient {
  private readonly startTimesMs = new Map<StartRunCommand, number>();
  readDelayMs = 0;

  constructor(private readonly clock: VirtualClock) {
    super();
  }

  override async startRun(
    command: StartRunCommand,
  ): Promise<Result<StartReceipt, JobWorkerError>> {
    this.startTimesMs.set(command, this.clock.getMonotonicMs());
    return ok({clockMs: undefined});
  }

  override async renewLease({
    waitMs,
  }: LeaseRenewal): Promise<Result<LeaseReport, JobWorkerError>> {
    await this.clock.sleep(waitMs);
    const report = this.createReport();
    await this.clock.sleep(this.readDelayMs);
    return ok(report);
  }

  private createReport(): LeaseReport {
    const clockMs = this.clock.getMonotonicMs();
    const running: RunningRun[] = [];
    const ended: EndedRun[] = [];
    for (const [{taskName, runNumber}, startMs] of this.startTimesMs) {
      const run = {taskName, runNumber, checkpoint: ''};
      const ageMs = clockMs - startMs;
      if (ageMs < TASK_MS) {
        const progressPercent = (100 * ageMs) / TASK_MS;
        running.push({...run, progressPercent, usage: 0});
      } else {
        ended.push({...run, sequence: ended.length + 1, outcome: 'done'});
      }
    }
    return {clockMs, startMs: 1, running, ended};
  }
}

/** Runs tasks of two jobs on a sound worker, and returns the changes of its health. */
async function runTasks(readDelayMs: number): Promise<HealthChange[]> {
  const clock = VirtualClock.create();
  const client = new LateReportClient(clock);
  const health = WorkerHealth.create({durationModel: DurationModel.create()});
  const changes: HealthChange[] = [];
  let endedCount = 0;
  const ignore = (): undefined => undefined;
  const listener: SessionListener = {
    onRunEnded: (_session, {outcome}, assigned) => {
      if (assigned === undefined) return;
      endedCount++;
      changes.push(
        health.recordRunEnd(assigned, outcome, clock.getMonotonicMs()),
      );
    },
    canRecordEndOf: () => true,
    onRunLost: ignore,
    onReport: ({load}) =>
      changes.push(health.evaluate(load, WORKER_ID, clock.getMonotonicMs())),
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
  // Other workers, so that one may be quarantined.
  for (let other = 2; other <= 10; other++)
    health.evaluate(createTestLoad(), `worker-${other}`, START_MS);
  const session = WorkerSession.create({
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
    leaseBoundMs: undefined,
    ownDelay: OwnDelay.create(clock),
  });
  void session.run();
  await clock.advance(START_MS);
  client.readDelayMs = readDelayMs;
  const nowMs = clock.getMonotonicMs();
  for (const fields of [{}, {}]) {
    const assigned = addTestRun(session.load, fields, nowMs);
    assigned.run.isConfirmed = false;
    assigned.commandResponseMs = undefined;
    void session.startRun(assigned);
  }
  await clock.advance(5 * TASK_MS);
  session.stop();
  expect(endedCount).to.equal(2);
  return changes;
}

describe('a worker whose tasks take as long as estimated', () => {
  it('is not quarantined if its reports are read at once', async () => {
    expect(await runTasks(0)).not.to.include('quarantined');
  });

  it('is not quarantined if a busy process reads its reports one second late', async () => {
    expect(await runTasks(1_000)).not.to.include('quarantined');
  });
});
