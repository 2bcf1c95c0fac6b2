import {StepSpec} from '@mustardlug/jobs/job_spec';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness, JobHarnessOptions} from '../src/job_harness.js';

const START_MS = 2_500;

/** Time in which the loss of a crashed worker is noticed, as its lease has to expire. */
const LOSS_DETECTION_MS = 6_000;

/** Time in which an interrupted long-running task must run again if there is room for it. */
const RESTART_TIMEOUT_MS = 3_000;

const SERVING_TASKS = 8;

function countServingTasks(harness: JobHarness, jobId: string): number {
  let count = 0;
  for (const worker of harness.workers.values()) {
    for (const run of worker.getRuns())
      if (run.taskName.startsWith(jobId)) count++;
  }
  return count;
}

async function submitServingStep(harness: JobHarness): Promise<string> {
  const {jobId} = await harness.submit([
    createSampleStep(SERVING_TASKS, {isLongRunning: true}),
  ]);
  await harness.advance(1_000);
  expect(countServingTasks(harness, jobId)).to.equal(SERVING_TASKS);
  return jobId;
}

/** Submits more batch work than the workers can run for the rest of the test. */
async function submitBatchWork(harness: JobHarness): Promise<void> {
  const urgentQueue = {...SAMPLE_QUEUE, priority: 0};
  for (let index = 0; index < 60; index++)
    harness.submitWithoutWaiting([createSampleStep(20)], urgentQueue);
  await harness.advance(500);
}

/** Needs of a serving task that fits on a worker only if most batch tasks there have ended. */
const LARGE_NEEDS = {cpuMillis: 6_000, memoryMb: 1_000, accelerators: 0};

const SMALL_NEEDS = {cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0};

const SAMPLING_INTERVAL_MS = 50;

/** Durations of the batch tasks, which differ so that one task after the other ends. */
const BATCH_TASK_MS = [300, 500, 700, 900, 1_100];

/** Creates a fleet of eight workers whose batch tasks have the given durations. */
function createFleet(
  batchTaskMs: readonly number[],
  options: JobHarnessOptions = {},
): JobHarness {
  let batchCount = 0;
  const servingJobId = '1'.padStart(16, '0');
  return JobHarness.create({
    workers: 8,
    cpuMillis: 8_000,
    getTaskMs: taskName =>
      taskName.startsWith(servingJobId)
        ? Infinity
        : batchTaskMs[batchCount++ % batchTaskMs.length],
    ...options,
  });
}

/** Starts large serving tasks, then fills all remaining room with batch work for the rest of the test. */
async function fillFleet(
  harness: JobHarness,
  serving: Partial<StepSpec> = {},
  batch: Partial<StepSpec> = {},
  taskCount = 3,
): Promise<string> {
  await harness.advance(START_MS);
  const {jobId} = await harness.submit([
    createSampleStep(taskCount, {
      isLongRunning: true,
      needs: LARGE_NEEDS,
      ...serving,
    }),
  ]);
  await harness.advance(1_500);
  expect(countServingTasks(harness, jobId)).to.equal(taskCount);
  for (let index = 0; index < 60; index++)
    harness.submitWithoutWaiting(
      [createSampleStep(30, {needs: SMALL_NEEDS, ...batch})],
      SAMPLE_QUEUE,
    );
  await harness.advance(3_000);
  return jobId;
}

/** Gets the workers that run serving tasks. */
function getServingWorkers(harness: JobHarness, jobId: string): string[] {
  const serving = [...harness.workers].filter(([, worker]) =>
    [...worker.getRuns()].some(run => run.taskName.startsWith(jobId)),
  );
  return serving.map(([workerId]) => workerId);
}

/** Advances the time, and gets the longest time for which fewer serving tasks were running. */
async function getLongestAbsenceMs(
  harness: JobHarness,
  jobId: string,
  taskCount: number,
  durationMs: number,
): Promise<number> {
  let absenceMs = 0;
  let maxMs = 0;
  for (let ms = 0; ms < durationMs; ms += SAMPLING_INTERVAL_MS) {
    await harness.advance(SAMPLING_INTERVAL_MS);
    const isComplete = countServingTasks(harness, jobId) >= taskCount;
    absenceMs = isComplete ? 0 : absenceMs + SAMPLING_INTERVAL_MS;
    maxMs = Math.max(maxMs, absenceMs);
  }
  return maxMs;
}

describe('interrupted long-running tasks', () => {
  it('run again beside more batch work than the workers can run', async () => {
    const harness = JobHarness.create({workers: 8, cpuMillis: 8_000});
    await harness.advance(START_MS);
    const jobId = await submitServingStep(harness);
    await submitBatchWork(harness);
    const [workerId] = [...harness.workers].find(([, worker]) =>
      [...worker.getRuns()].some(run => run.taskName.startsWith(jobId)),
    )!;
    harness.crashWorkers([workerId], {delayMs: 60_000, workerId: 'new'});
    await harness.advance(LOSS_DETECTION_MS + RESTART_TIMEOUT_MS);
    expect(countServingTasks(harness, jobId)).to.equal(SERVING_TASKS);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('run again soon after their worker has gone down and up twice', async () => {
    const harness = JobHarness.create({
      workers: 10,
      cpuMillis: 32_000,
      getTaskMs: () => Infinity,
    });
    await harness.advance(START_MS);
    const jobIds: string[] = [];
    for (let index = 0; index < 4; index++) {
      const {jobId} = await harness.submit([
        createSampleStep(6, {isLongRunning: true, needs: SMALL_NEEDS}),
      ]);
      jobIds.push(jobId);
    }
    await harness.advance(3_000);
    const busiest = [...harness.workers].reduce((left, right) =>
      right[1].getRunCount() > left[1].getRunCount() ? right : left,
    );
    for (let flap = 0; flap < 2; flap++) {
      harness.restartWorker(busiest[0], {delayMs: 405});
      await harness.advance(810);
    }
    await harness.advance(LOSS_DETECTION_MS + RESTART_TIMEOUT_MS);
    for (const jobId of jobIds)
      expect(countServingTasks(harness, jobId), jobId).to.equal(6);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('are known to a successor of the coordinator', async () => {
    const harness = JobHarness.create({workers: 8, cpuMillis: 8_000});
    await harness.advance(START_MS);
    const jobId = await submitServingStep(harness);
    await submitBatchWork(harness);
    const [workerId] = [...harness.workers].find(([, worker]) =>
      [...worker.getRuns()].some(run => run.taskName.startsWith(jobId)),
    )!;
    harness.crashWorkers([workerId], {delayMs: 60_000, workerId: 'new'});
    await harness.advance(LOSS_DETECTION_MS - 500);
    const coordinator = harness.getCoordinator();
    if (coordinator !== undefined) harness.killNode(coordinator);
    // The successor waits for the end of leases of the earlier term.
    await harness.advance(2 * LOSS_DETECTION_MS + RESTART_TIMEOUT_MS);
    expect(countServingTasks(harness, jobId)).to.equal(SERVING_TASKS);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  for (const count of [1, 3])
    it(`of ${count} lost workers run again although small batch tasks fill each gap`, async () => {
      const harness = createFleet(BATCH_TASK_MS);
      const jobId = await fillFleet(harness);
      const lost = getServingWorkers(harness, jobId).slice(0, count);
      harness.crashWorkers(lost, {delayMs: 60_000, workerId: 'new'});
      const limitMs = LOSS_DETECTION_MS + RESTART_TIMEOUT_MS;
      const absenceMs = await getLongestAbsenceMs(harness, jobId, 3, 15_000);
      expect(absenceMs).to.be.below(limitMs);
      expect(harness.checker.violations).to.deep.equal([]);
    });

  for (const isCheckpointing of [true, false])
    it(`run again although long ${isCheckpointing ? 'checkpointing ' : ''}batch tasks fill all workers`, async () => {
      const harness = createFleet([40_000, 50_000]);
      const jobId = await fillFleet(harness, {}, {isCheckpointing});
      const lost = getServingWorkers(harness, jobId).slice(0, 1);
      harness.crashWorkers(lost, {delayMs: 60_000, workerId: 'new'});
      const limitMs = LOSS_DETECTION_MS + RESTART_TIMEOUT_MS;
      const absenceMs = await getLongestAbsenceMs(harness, jobId, 3, 15_000);
      expect(absenceMs).to.be.below(limitMs);
      expect(harness.checker.violations).to.deep.equal([]);
    });

  for (const [constraint, fields] of [
    ['a label', {requiredLabel: 'fast'}],
    ['a limit per worker', {maxPerWorker: 1}],
  ] as const)
    it(`with ${constraint} run again although small batch tasks fill each gap`, async () => {
      const harness = createFleet(BATCH_TASK_MS, {
        getWorkerKind: workerId =>
          Number(workerId.at(-1)) < 5 ? {labels: ['fast']} : {},
      });
      const jobId = await fillFleet(harness, fields);
      const lost = getServingWorkers(harness, jobId).slice(0, 2);
      harness.crashWorkers(lost, {delayMs: 60_000, workerId: 'new'});
      const limitMs = LOSS_DETECTION_MS + RESTART_TIMEOUT_MS;
      const absenceMs = await getLongestAbsenceMs(harness, jobId, 3, 15_000);
      expect(absenceMs).to.be.below(limitMs);
      expect(harness.checker.violations).to.deep.equal([]);
    });

  it('of a draining worker run again although small batch tasks fill each gap', async () => {
    const harness = createFleet(BATCH_TASK_MS);
    const jobId = await fillFleet(harness);
    for (const workerId of getServingWorkers(harness, jobId))
      harness.register(workerId, {isDraining: true, drainRemainingMs: 10_000});
    const absenceMs = await getLongestAbsenceMs(harness, jobId, 3, 10_000);
    expect(absenceMs).to.be.below(RESTART_TIMEOUT_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('run again each time that they fail beside more batch work than fits', async () => {
    const failureCounts = new Map<string, number>();
    const servingJobId = '1'.padStart(16, '0');
    let canFail = false;
    const harness = createFleet(BATCH_TASK_MS, {
      isFailing: taskName => {
        if (!canFail || !taskName.startsWith(servingJobId)) return false;
        const count = failureCounts.get(taskName) ?? 0;
        failureCounts.set(taskName, count + 1);
        return count < 10;
      },
    });
    const jobId = await fillFleet(harness);
    canFail = true;
    const [lost] = getServingWorkers(harness, jobId);
    harness.crashWorkers([lost], {delayMs: 60_000, workerId: 'new'});
    const absenceMs = await getLongestAbsenceMs(harness, jobId, 3, 20_000);
    expect([...failureCounts.values()]).to.deep.equal([11]);
    // Each of the failed runs lasts for 100 ms.
    expect(absenceMs).to.be.below(LOSS_DETECTION_MS + RESTART_TIMEOUT_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('leave batch work only as many workers fewer as there are tasks without room', async () => {
    const harness = createFleet(BATCH_TASK_MS);
    const jobId = await fillFleet(harness);
    const [lost] = getServingWorkers(harness, jobId);
    harness.crashWorkers([lost], {delayMs: 60_000, workerId: 'new'});
    for (let ms = 0; ms < 12_000; ms += SAMPLING_INTERVAL_MS) {
      await harness.advance(SAMPLING_INTERVAL_MS);
      const idle = [...harness.workers.values()].filter(
        worker => worker.isUp() && worker.getRunCount() === 0,
      );
      expect(idle.length).to.be.at.most(1);
    }
    expect(countServingTasks(harness, jobId)).to.equal(3);
  });

  it('of a worker that is lost with the coordinator run again within the time limit', async () => {
    const harness = createFleet(BATCH_TASK_MS);
    const jobId = await fillFleet(harness);
    const [lost] = getServingWorkers(harness, jobId);
    harness.crashWorkers([lost], {delayMs: 60_000, workerId: 'new'});
    const coordinator = harness.getCoordinator();
    if (coordinator !== undefined) harness.killNode(coordinator);
    const absenceMs = await getLongestAbsenceMs(harness, jobId, 3, 20_000);
    expect(absenceMs).to.be.below(LOSS_DETECTION_MS + RESTART_TIMEOUT_MS);
  });
});
