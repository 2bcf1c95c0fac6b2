import {JobWorkerModel} from '@mustardlug/standins/job_worker_model';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

const START_MS = 2_500;

/** Needs of a task of which only one fits on a worker. */
const LARGE_NEEDS = {cpuMillis: 6_000, memoryMb: 1_000, accelerators: 0};

/** Number of a run that is above those of the first terms. */
const LATE_RUN_NUMBER = 10_000_000;

/** Time that a worker takes to stop a run. */
const STOP_MS = 1_000;

/** Creates a start command of a job's first task, as the first coordinator sends it. */
function createStart(worker: JobWorkerModel, jobId: string, runNumber: number) {
  return {
    worker: worker.getRecord(),
    taskName: `${jobId}.0.0.0`,
    runNumber,
    specification: jobId,
    checkpoint: '',
    leaseUntilMs: 10_000,
    fencingToken: 1,
  };
}

/** Makes a worker acknowledge stop commands at once and execute them later. */
function delayStops(harness: JobHarness, worker: JobWorkerModel): void {
  const stop = worker.stop.bind(worker);
  worker.stop = command => {
    harness.clock.setTimer(STOP_MS, () => stop(command));
    return 'done';
  };
}

async function getMaxRunCount(
  harness: JobHarness,
  worker: JobWorkerModel,
  durationMs: number,
): Promise<number> {
  let maxCount = 0;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 5) {
    await harness.advance(5);
    maxCount = Math.max(maxCount, worker.getRunCount());
  }
  return maxCount;
}

describe('placement limits', () => {
  it('count a run that a worker started late, until it has ended', async () => {
    const harness = JobHarness.create({workers: 1, nodes: 1});
    const worker = harness.workers.get('worker-0')!;
    await harness.advance(START_MS);
    const steps = [createSampleStep(1, {needs: LARGE_NEEDS})];
    const cancelled = await harness.submit(steps);
    await harness.advance(100);
    await harness.cancel(cancelled.jobId);
    await harness.advance(100);
    expect(worker.getRunCount()).to.equal(0);
    delayStops(harness, worker);
    worker.start(createStart(worker, cancelled.jobId, LATE_RUN_NUMBER));
    await harness.advance(600);
    expect(worker.getRunCount()).to.equal(1);
    const {jobId} = await harness.submit(steps);
    expect(await getMaxRunCount(harness, worker, 3_000)).to.equal(1);
    expect(await harness.getPhase(jobId)).to.equal('completed');
  });

  for (const [change, fields] of [
    ['labels', {labels: []}],
    ['service', {labels: ['fast'], serviceName: 'other'}],
    ['capacity', {labels: ['fast'], capacity: {...LARGE_NEEDS, cpuMillis: 1}}],
  ] as const)
    it(`do not apply the earlier ${change} of a worker to its next process`, async () => {
      const harness = JobHarness.create({workers: 1, nodes: 1});
      const worker = harness.workers.get('worker-0')!;
      harness.register('worker-0', {labels: ['fast']});
      await harness.advance(START_MS);
      worker.crash();
      worker.restart();
      await harness.advance(1_000);
      const fast = {needs: LARGE_NEEDS, requiredLabel: 'fast'};
      const {jobId} = await harness.submit([createSampleStep(1, fast)]);
      await harness.advance(1_000);
      harness.register('worker-0', fields);
      await harness.advance(1_000);
      expect(harness.checker.getStartCount()).to.equal(0);
      harness.register('worker-0', {labels: ['fast']});
      await harness.advance(3_000);
      expect(await harness.getPhase(jobId)).to.equal('completed');
    });
});
