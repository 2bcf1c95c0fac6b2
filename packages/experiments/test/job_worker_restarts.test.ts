import {expect} from 'chai';
import {StepSpec} from '@mustardlug/jobs/job_spec';
import {JobWorkerModel} from '@mustardlug/standins/job_worker_model';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {JobHarness, JobHarnessOptions} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

/** Time within which a submitted task must be placed. */
const MAX_PLACEMENT_MS = 1_000;

/** Time in which late commands are executed and leases expire. */
const SETTLE_MS = 25_000;

/** Time after a crash at which the next process starts, before a start command is repeated. */
const RESTART_DELAY_MS = 150;

/** Time after a restart at which the repeated start command has reached the next process. */
const REPETITION_MS = 200;

/** Delay of calls that are executed late. */
const LATE_MS = 3_000;

/** Time after which leases lie far in the future of a process that has just started. */
const UPTIME_MS = 20_000;

/** Duration of tasks that are still running when a late call is executed. */
const LONG_TASK_MS = 6_000;

/** A task whose start command has been sent to a worker. */
interface SentStart {
  readonly jobId: string;
  readonly taskName: string;
  readonly workerId: string;
  readonly worker: JobWorkerModel;
}

async function createHarness(
  options: JobHarnessOptions = {},
): Promise<JobHarness> {
  const harness = JobHarness.create(options);
  await harness.advance(START_MS);
  return harness;
}

/** Submits a job and waits until the start command of its first task is on its way. */
async function submitAndSendStart(
  harness: JobHarness,
  fields: Partial<StepSpec> = {},
  taskCount = 1,
): Promise<SentStart> {
  const {jobId} = await harness.submit([createSampleStep(taskCount, fields)]);
  const taskName = `${jobId}.0.0.0`;
  for (let waitedMs = 0; waitedMs < MAX_PLACEMENT_MS; waitedMs++) {
    const workerId = findWorkerOfStart(harness, taskName);
    const worker = harness.workers.get(workerId ?? '');
    if (workerId !== undefined && worker !== undefined)
      return {jobId, taskName, workerId, worker};
    await harness.advance(1);
  }
  throw new Error(`${taskName} was not placed`);
}

function findWorkerOfStart(
  harness: JobHarness,
  taskName: string,
): string | undefined {
  for (const {events} of harness.nodes) {
    for (const event of events.getEvents()) {
      if (event.name === 'run-started' && event.taskId === taskName)
        return event.workerId;
    }
  }
  return undefined;
}

/** Crashes the worker before the start command arrives, and starts its next process. */
async function restartBeforeArrival(
  harness: JobHarness,
  {workerId}: SentStart,
): Promise<void> {
  harness.restartWorker(workerId, {delayMs: RESTART_DELAY_MS});
  await harness.advance(RESTART_DELAY_MS);
}

function countRuns(harness: JobHarness): number {
  let count = 0;
  for (const worker of harness.workers.values()) count += worker.getRunCount();
  return count;
}

function setLateCommands(harness: JobHarness, count: number): void {
  for (const {linkFaults} of harness.nodes)
    Object.assign(linkFaults, {applyNextLate: count, lateMs: LATE_MS});
}

describe('a worker that restarts under the same ID', () => {
  it('does not get a task started twice when a start command reaches its next process', async () => {
    const harness = await createHarness();
    const steps = [createSampleStep(4), createSampleStep(2, {dependsOn: [0]})];
    await harness.submit(steps);
    await harness.submit(steps);
    await harness.advance(813);
    harness.restartWorker('worker-2', {delayMs: RESTART_DELAY_MS});
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('does not run a task elsewhere while its run on the next process is being stopped', async () => {
    const harness = await createHarness();
    const start = await submitAndSendStart(harness, {
      estimatedMs: LONG_TASK_MS,
    });
    start.worker.behavior.stopMs = 300;
    await restartBeforeArrival(harness, start);
    harness.unregister(start.workerId);
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
    expect(await harness.getPhase(start.jobId)).to.equal('completed');
  });

  it('does not run a task elsewhere while the stop of its run on the next process gets lost', async () => {
    const harness = await createHarness();
    const start = await submitAndSendStart(harness, {
      estimatedMs: LONG_TASK_MS,
    });
    await restartBeforeArrival(harness, start);
    harness.unregister(start.workerId);
    await harness.advance(REPETITION_MS);
    setLateCommands(harness, 1);
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
    expect(await harness.getPhase(start.jobId)).to.equal('completed');
  });

  it('does not run a task elsewhere when the next process executes its start command late', async () => {
    const harness = await createHarness();
    const start = await submitAndSendStart(harness, {
      estimatedMs: LONG_TASK_MS,
    });
    await restartBeforeArrival(harness, start);
    harness.unregister(start.workerId);
    setLateCommands(harness, 2);
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
    expect(await harness.getPhase(start.jobId)).to.equal('completed');
  });

  it('does not get more tasks of a step than allowed when its next process executes a start command late', async () => {
    const harness = await createHarness({workers: 2});
    // A lease for the clock of a long-lived process does not expire soon on a new clock.
    await harness.advance(UPTIME_MS);
    const start = await submitAndSendStart(
      harness,
      {estimatedMs: LONG_TASK_MS, maxPerWorker: 1, isSpeculative: true},
      3,
    );
    await restartBeforeArrival(harness, start);
    harness.unregister(start.workerId);
    for (const {linkFaults} of harness.nodes)
      Object.assign(linkFaults, {applyNextLate: 2, lateMs: 8_000});
    await harness.advance(LONG_TASK_MS + 500);
    harness.register(start.workerId);
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
    expect(await harness.getPhase(start.jobId)).to.equal('completed');
  });

  it('does not get a task whose required label its next process lacks', async () => {
    const harness = await createHarness({
      getWorkerKind: () => ({labels: ['fast']}),
    });
    const start = await submitAndSendStart(harness, {requiredLabel: 'fast'});
    harness.restartWorker(start.workerId, {
      delayMs: RESTART_DELAY_MS,
      kind: {labels: ['small']},
    });
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
    expect(await harness.getPhase(start.jobId)).to.equal('completed');
  });

  it('does not get more tasks than the capacity of its next process allows', async () => {
    const harness = await createHarness();
    const start = await submitAndSendStart(harness);
    harness.restartWorker(start.workerId, {
      delayMs: RESTART_DELAY_MS,
      kind: {capacity: {cpuMillis: 1_000, memoryMb: 500, accelerators: 0}},
    });
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
    expect(await harness.getPhase(start.jobId)).to.equal('completed');
  });

  it('does not run a task longer than its lease when a lease for the old clock reaches its next process', async () => {
    const harness = await createHarness();
    await harness.advance(UPTIME_MS);
    const start = await submitAndSendStart(harness, {isLongRunning: true});
    await restartBeforeArrival(harness, start);
    await harness.advance(REPETITION_MS);
    for (const {linkFaults} of harness.nodes)
      linkFaults.unreachableWorkers.add(start.workerId);
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('does not start a task again after the end on its next process was acknowledged unseen', async () => {
    const harness = await createHarness();
    await harness.submit([createSampleStep(4, {estimatedMs: 100})]);
    await harness.advance(1_000);
    const start = await submitAndSendStart(harness, {estimatedMs: 50});
    await restartBeforeArrival(harness, start);
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
    expect(await harness.getPhase(start.jobId)).to.equal('completed');
  });
});

describe('a late call to a process whose successor executes it', () => {
  it('does not run a task that was placed elsewhere', async () => {
    const harness = await createHarness();
    await harness.advance(UPTIME_MS);
    setLateCommands(harness, 3);
    for (const {linkFaults} of harness.nodes)
      linkFaults.reachesNextProcess = true;
    const start = await submitAndSendStart(harness, {
      estimatedMs: LONG_TASK_MS,
    });
    await harness.advance(10);
    await restartBeforeArrival(harness, start);
    harness.unregister(start.workerId);
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
    expect(await harness.getPhase(start.jobId)).to.equal('completed');
  });

  it('does not acknowledge an end that was not reported', async () => {
    const harness = await createHarness({workers: 1});
    await harness.submit([createSampleStep(4, {estimatedMs: 100})]);
    await harness.advance(1_000);
    for (const {linkFaults} of harness.nodes)
      Object.assign(linkFaults, {
        renewNextLate: 1,
        lateMs: LATE_MS,
        reachesNextProcess: true,
      });
    await harness.advance(600);
    harness.restartWorker('worker-0', {delayMs: 50});
    await harness.advance(1_600);
    await harness.submit([createSampleStep(1, {estimatedMs: 500})]);
    await harness.advance(400);
    for (const {linkFaults} of harness.nodes)
      linkFaults.responseBlockedWorkers.add('worker-0');
    await harness.advance(1_600);
    for (const {linkFaults} of harness.nodes)
      linkFaults.responseBlockedWorkers.delete('worker-0');
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});

describe('a partitioned worker', () => {
  for (const shiftsLateLeases of [false, true]) {
    const variant = shiftsLateLeases
      ? 'counts from its arrival'
      : 'is absolute';
    it(`does not run a task that was placed elsewhere when a late lease ${variant}`, async () => {
      const harness = await createHarness({workerClockRate: 0.98});
      const start = await submitAndSendStart(harness, {isLongRunning: true});
      await harness.advance(1_000);
      for (const {linkFaults} of harness.nodes) {
        linkFaults.lateProbability = 1;
        Object.assign(linkFaults, {lateMs: 4_000, shiftsLateLeases});
      }
      await harness.advance(800);
      for (const {linkFaults} of harness.nodes) {
        linkFaults.lateProbability = 0;
        linkFaults.unreachableWorkers.add(start.workerId);
      }
      await harness.advance(SETTLE_MS);
      expect(harness.checker.violations).to.deep.equal([]);
    });
  }
});

describe('a coordinator that is frozen while a worker restarts', () => {
  it('does not start a task that its successor has placed elsewhere', async () => {
    const harness = await createHarness();
    await harness.advance(UPTIME_MS);
    const start = await submitAndSendStart(harness, {
      estimatedMs: LONG_TASK_MS,
    });
    start.worker.crash();
    // The start command times out before the next periodic check of the coordinator.
    await harness.advance(290);
    const coordinator = harness.getCoordinator();
    if (coordinator !== undefined) harness.freezeNode(coordinator, 20_000);
    harness.unregister(start.workerId);
    await harness.advance(18_000);
    start.worker.restart();
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
    expect(await harness.getPhase(start.jobId)).to.equal('completed');
  });
});

describe('a start command without response', () => {
  for (const reason of ['no-room', 'unhealthy'] as const) {
    it(`does not run a task twice when it is executed after a repetition was refused: ${reason}`, async () => {
      const harness = await createHarness();
      setLateCommands(harness, 1);
      const start = await submitAndSendStart(harness, {
        estimatedMs: LONG_TASK_MS,
      });
      await harness.advance(100);
      start.worker.behavior.startRefusal = reason;
      harness.unregister(start.workerId);
      await harness.advance(500);
      start.worker.behavior.startRefusal = undefined;
      await harness.advance(SETTLE_MS);
      expect(harness.checker.violations).to.deep.equal([]);
      expect(await harness.getPhase(start.jobId)).to.equal('completed');
    });
  }
});

describe('runs of cancelled jobs', () => {
  it('stops a run that a worker starts late, after its job was cancelled', async () => {
    const harness = await createHarness();
    await harness.advance(UPTIME_MS);
    for (const {linkFaults} of harness.nodes)
      Object.assign(linkFaults, {
        applyNextLate: 1,
        lateMs: 8_000,
        reachesNextProcess: true,
      });
    const {jobId, workerId} = await submitAndSendStart(harness, {
      isLongRunning: true,
    });
    await harness.advance(10);
    harness.restartWorker(workerId, {delayMs: 7_000});
    await harness.advance(6_500);
    await harness.cancel(jobId);
    await harness.advance(SETTLE_MS);
    expect(countRuns(harness)).to.equal(0);
  });

  it('stops the runs of a cancelled job although its coordinator is lost before they were stopped', async () => {
    const harness = await createHarness();
    const {jobId} = await submitAndSendStart(harness, {isLongRunning: true});
    await harness.advance(1_000);
    expect(countRuns(harness)).to.equal(1);
    const coordinator = harness.getCoordinator()!;
    coordinator.linkFaults.isPartitioned = true;
    await harness.cancel(jobId);
    await harness.advance(200);
    void coordinator.role.stop();
    await harness.advance(SETTLE_MS);
    expect(harness.getCoordinator()!).not.to.equal(coordinator);
    expect(countRuns(harness)).to.equal(0);
  });
});

describe('open start commands of released runs', () => {
  it('does not run a task twice if a late start counts its lease from its arrival, after a cut', async () => {
    const harness = await createHarness();
    for (const {linkFaults} of harness.nodes)
      Object.assign(linkFaults, {
        applyNextLate: 1,
        lateMs: 8_000,
        shiftsLateLeases: true,
      });
    const {workerId} = await submitAndSendStart(harness, {
      estimatedMs: 6_000,
    });
    await harness.advance(10);
    for (const {linkFaults} of harness.nodes)
      linkFaults.unreachableWorkers.add(workerId);
    await harness.advance(6_500);
    for (const {linkFaults} of harness.nodes)
      linkFaults.unreachableWorkers.delete(workerId);
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('does not run a task twice if a worker restarts after it has excluded the run', async () => {
    const harness = await createHarness();
    await harness.advance(UPTIME_MS);
    for (const {linkFaults} of harness.nodes)
      Object.assign(linkFaults, {
        applyNextLate: 1,
        lateMs: 3_000,
        reachesNextProcess: true,
      });
    const {workerId} = await submitAndSendStart(harness, {
      estimatedMs: 6_000,
    });
    await harness.advance(100);
    const worker = harness.workers.get(workerId)!;
    worker.behavior.startRefusal = 'unhealthy';
    harness.unregister(workerId);
    await harness.advance(1_200);
    worker.behavior.startRefusal = undefined;
    harness.restartWorker(workerId, {delayMs: 300});
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
