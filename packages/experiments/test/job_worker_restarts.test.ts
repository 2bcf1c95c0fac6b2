import {expect} from 'chai';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {JobHarness} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

/** Time in which late commands and leases take effect. */
const SETTLE_MS = 20_000;

describe('tasks on a worker that restarts under the same ID', () => {
  it('does not start a task twice when a start command reaches the next process of a worker', async () => {
    const harness = JobHarness.create({
      isFailing: (taskName, runNumber) =>
        runNumber === 1 && taskName.endsWith('.1'),
    });
    const steps = [createSampleStep(4), createSampleStep(2, {dependsOn: [0]})];
    await harness.advance(START_MS);
    await harness.submit(steps);
    await harness.submit(steps);
    await harness.advance(813);
    harness.workers.get('worker-2')?.crash();
    await harness.advance(150);
    harness.workers.get('worker-2')?.restart();
    harness.register('worker-2');
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
