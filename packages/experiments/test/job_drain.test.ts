import {expect} from 'chai';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {JobHarness} from '../src/job_harness.js';

const START_MS = 2_500;

/** Maximum time in which a draining worker must stop the tasks that cannot finish on it. */
const MIGRATION_TIMEOUT_MS = 1_000;

function countRunningTasks(harness: JobHarness): number {
  let count = 0;
  for (const worker of harness.workers.values()) count += worker.getRunCount();
  return count;
}

describe('draining a worker', () => {
  it('migrates long-running tasks before the worker shuts down', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    await harness.submit([createSampleStep(6, {isLongRunning: true})]);
    await harness.advance(1_000);
    const busy = [...harness.workers].find(
      ([, worker]) => worker.getRunCount() > 0,
    );
    if (busy === undefined) throw new Error('no worker is busy');
    const [workerId, draining] = busy;
    harness.register(workerId, {isDraining: true, drainRemainingMs: 2_500});
    await harness.advance(MIGRATION_TIMEOUT_MS);
    expect(draining.getRunCount()).to.equal(0);
    expect(countRunningTasks(harness)).to.equal(6);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('migrates checkpointing fillers and lets short tasks finish', async () => {
    const harness = JobHarness.create({workers: 1});
    await harness.advance(START_MS);
    const filler = {isFiller: true, isCheckpointing: true, image: 'report'};
    await harness.submit([
      createSampleStep(1, {...filler, estimatedMs: 8_000}),
      createSampleStep(1, {estimatedMs: 1_500}),
    ]);
    await harness.advance(800);
    const draining = harness.workers.get('worker-0');
    expect(draining?.getRunCount()).to.equal(2);
    harness.register('worker-0', {isDraining: true, drainRemainingMs: 2_500});
    await harness.advance(300);
    expect(draining?.getRunCount()).to.equal(1);
    await harness.advance(600);
    expect(draining?.getRunCount()).to.equal(0);
    expect(harness.checker.getStartCount()).to.equal(2);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('places no new tasks on the worker', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    harness.register('worker-0', {isDraining: true});
    await harness.advance(100);
    await harness.submit([createSampleStep(12)]);
    await harness.advance(300);
    expect(harness.workers.get('worker-0')?.getRunCount()).to.equal(0);
    expect(countRunningTasks(harness)).to.equal(12);
  });
});
