import {expect} from 'chai';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {StartRunCommand} from '@mustardlug/platform/job_worker_client';
import {JobWorkerModel} from '../src/job_worker_model.js';

const LEASE_MS = 5_000;

/** Ends of runs and crashes, in order. */
class CrashScenario {
  readonly clock = VirtualClock.create();
  readonly ends: string[] = [];
  crashCount = 0;
  readonly worker: JobWorkerModel;

  constructor(crashDelayMs: number | undefined) {
    const record = {
      workerId: 'worker-0',
      address: 'worker-0:80',
      serviceName: 'class-desk',
      failureDomain: 'north-a',
      isDraining: false,
      capacity: {cpuMillis: 8_000, memoryMb: 4_000, accelerators: 0},
      labels: [],
      rack: 'rack-1',
      startMs: 1,
    };
    this.worker = JobWorkerModel.create({
      clock: this.clock,
      record,
      getTaskDurationMs: () => 1_000,
      isFailing: () => false,
      getCrashDelayMs: taskName =>
        taskName === 'crashing' ? crashDelayMs : undefined,
      onTaskCrash: () => this.crashCount++,
      observer: {
        onWorkerStarted: () => {},
        onCapacityChanged: () => {},
        onRunStarted: () => {},
        onRunEnded: (_workerId, taskName, _runNumber, end) =>
          this.ends.push(`${taskName} ${end}`),
        onEndAcknowledged: () => {},
      },
    });
  }

  createCommand(taskName: string, runNumber = 1): StartRunCommand {
    return {
      worker: this.worker.getRecord(),
      fencingToken: 1,
      taskName,
      runNumber,
      specification: '',
      checkpoint: '',
      leaseUntilMs: LEASE_MS,
    };
  }
}

describe('JobWorkerModel with a task that crashes it', () => {
  it('crashes before it responds to the start command at a delay of 0', () => {
    const scenario = new CrashScenario(0);
    const {worker} = scenario;
    expect(worker.start(scenario.createCommand('other'))).to.equal('done');
    expect(worker.start(scenario.createCommand('crashing'))).to.equal(
      undefined,
    );
    expect(worker.isUp()).to.equal(false);
    expect(scenario.ends).to.deep.equal(['other crashed', 'crashing crashed']);
    expect(scenario.crashCount).to.equal(1);
  });

  it('crashes after the delay', async () => {
    const scenario = new CrashScenario(10);
    const {clock, worker} = scenario;
    expect(worker.start(scenario.createCommand('crashing'))).to.equal('done');
    await clock.advance(9);
    expect(worker.isUp()).to.equal(true);
    await clock.advance(1);
    expect(worker.isUp()).to.equal(false);
    expect(scenario.ends).to.deep.equal(['crashing crashed']);
  });

  it('crashes again after a restart only if the task is started again', async () => {
    const scenario = new CrashScenario(10);
    const {clock, worker} = scenario;
    worker.start(scenario.createCommand('crashing'));
    worker.crash();
    worker.restart();
    await clock.advance(1_000);
    expect(scenario.crashCount).to.equal(0);
    worker.start(scenario.createCommand('crashing', 2));
    await clock.advance(10);
    expect(scenario.crashCount).to.equal(1);
  });

  it('does not crash by a run that was stopped in time', async () => {
    const scenario = new CrashScenario(10);
    const {clock, worker} = scenario;
    worker.start(scenario.createCommand('crashing'));
    worker.stop(scenario.createCommand('crashing'));
    await clock.advance(1_000);
    expect(worker.isUp()).to.equal(true);
  });
});

describe('JobWorkerModel that restarts', () => {
  it('reads a clock that starts anew, goes on or is ahead', async () => {
    const {clock, worker} = new CrashScenario(undefined);
    await clock.advance(20_000);
    for (const [processClock, isAhead] of [
      ['continued', false],
      ['ahead', true],
    ] as const) {
      const previousMs = worker.getClockMs();
      worker.crash();
      worker.restart({}, processClock);
      expect(worker.getClockMs() > previousMs + 60_000).to.equal(isAhead);
      expect(worker.getClockMs()).to.be.at.least(previousMs);
    }
    worker.crash();
    worker.restart();
    expect(worker.getClockMs()).to.equal(0);
  });
});
