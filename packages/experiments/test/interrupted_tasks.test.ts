import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

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
});
