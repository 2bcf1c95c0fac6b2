import {expect} from 'chai';
import {ResourceRequirements, StepSpec} from '@mustardlug/jobs/job_spec';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {JobHarness, JobHarnessOptions} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

/** Time in which a task is placed and its start command is answered. */
const PLACEMENT_MS = 500;

/** Time in which a worker that can be reached again responds to a renewal. */
const RENEWAL_RETRY_MS = 1_000;

/** Time after which the registration shows a capacity that has changed. */
const REGISTRATION_DELAY_MS = 50;

/** Time after which a smaller capacity counts. */
const CAPACITY_BOUND_MS = 4_500;

/** Time in which leases expire and all tasks run. */
const SETTLE_MS = 25_000;

/** Duration of tasks that outlast a scenario. */
const LONG_TASK_MS = 12_000;

const FULL: ResourceRequirements = {
  cpuMillis: 8_000,
  memoryMb: 64_000,
  accelerators: 0,
};

const HALF: ResourceRequirements = {...FULL, cpuMillis: 4_000};

/** Needs of a task that fits on a worker of full capacity only. */
const LARGE_NEEDS: ResourceRequirements = {
  cpuMillis: 6_000,
  memoryMb: 1_000,
  accelerators: 0,
};

async function createHarness(
  options: JobHarnessOptions = {},
): Promise<JobHarness> {
  const harness = JobHarness.create({workers: 1, nodes: 1, ...options});
  await harness.advance(START_MS);
  return harness;
}

async function submit(
  harness: JobHarness,
  taskCount: number,
  fields: Partial<StepSpec>,
): Promise<string> {
  const steps = [createSampleStep(taskCount, fields)];
  const {jobId, outcome} = await harness.submit(steps);
  expect(outcome.isOk()).to.equal(true);
  return jobId;
}

/** Gives the worker its full capacity again, and expects that the jobs complete. */
async function growAndExpectCompletion(
  harness: JobHarness,
  jobIds: readonly string[],
): Promise<void> {
  harness.resizeWorker('worker-0', FULL);
  await harness.advance(SETTLE_MS);
  expect(harness.checker.violations).to.deep.equal([]);
  for (const jobId of jobIds)
    expect(await harness.getPhase(jobId)).to.equal('completed');
}

describe('a worker whose capacity shrinks', () => {
  it('is not told to start a run that was placed before, once the run is stored', async () => {
    const harness = await createHarness();
    const jobId = await submit(harness, 1, {needs: LARGE_NEEDS});
    const {storeFaults} = harness.nodes[0];
    Object.assign(storeFaults, {applyNextLate: 1_000, lateMs: 60_000});
    await harness.advance(50);
    harness.resizeWorker('worker-0', HALF);
    await harness.advance(CAPACITY_BOUND_MS + 100);
    storeFaults.applyNextLate = 0;
    await harness.advance(PLACEMENT_MS);
    await growAndExpectCompletion(harness, [jobId]);
  });

  it('is not told again to start a run for which it has no room any more', async () => {
    const harness = await createHarness();
    const {requestBlockedWorkers} = harness.nodes[0].linkFaults;
    const jobId = await submit(harness, 1, {needs: LARGE_NEEDS});
    requestBlockedWorkers.add('worker-0');
    harness.resizeWorker('worker-0', HALF, REGISTRATION_DELAY_MS);
    await harness.advance(CAPACITY_BOUND_MS);
    requestBlockedWorkers.delete('worker-0');
    await harness.advance(RENEWAL_RETRY_MS);
    await growAndExpectCompletion(harness, [jobId]);
  });

  it('keeps its runs and gets no filler while they exceed it', async () => {
    const harness = await createHarness();
    const serving = await submit(harness, 4, {isLongRunning: true});
    await harness.advance(PLACEMENT_MS);
    harness.resizeWorker('worker-0', HALF);
    await harness.advance(CAPACITY_BOUND_MS);
    const needs = {cpuMillis: 300, memoryMb: 100, accelerators: 0};
    const filler = await submit(harness, 1, {isFiller: true, needs});
    await harness.advance(PLACEMENT_MS);
    expect(harness.workers.get('worker-0')?.getRunCount()).to.equal(4);
    await growAndExpectCompletion(harness, [filler]);
    await harness.cancel(serving);
  });

  it('gets nothing from the next coordinator before its runs fit', async () => {
    const harness = await createHarness({nodes: 3});
    const running = await submit(harness, 4, {estimatedMs: LONG_TASK_MS});
    await harness.advance(PLACEMENT_MS);
    harness.resizeWorker('worker-0', HALF);
    const coordinator = harness.getCoordinator();
    if (coordinator !== undefined) harness.killNode(coordinator);
    await harness.advance(CAPACITY_BOUND_MS);
    const waiting = await submit(harness, 3, {});
    await harness.advance(PLACEMENT_MS);
    expect(harness.workers.get('worker-0')?.getRunCount()).to.equal(4);
    await growAndExpectCompletion(harness, [running, waiting]);
  });

  for (const guardsCapacity of [false, true]) {
    const kind = guardsCapacity ? 'guards' : "doesn't guard";
    it(`runs what fits if it ${kind} its capacity`, async () => {
      const harness = await createHarness({
        guardsCapacity: () => guardsCapacity,
      });
      harness.resizeWorker('worker-0', HALF);
      await harness.advance(CAPACITY_BOUND_MS);
      const jobId = await submit(harness, 8, {});
      await harness.advance(PLACEMENT_MS);
      expect(harness.workers.get('worker-0')?.getRunCount()).to.equal(2);
      harness.resizeWorker('worker-0', FULL);
      await harness.advance(PLACEMENT_MS);
      expect(harness.workers.get('worker-0')?.getRunCount()).to.equal(4);
      await growAndExpectCompletion(harness, [jobId]);
    });
  }
});
