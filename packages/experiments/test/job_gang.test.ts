import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

const START_MS = 2_500;

function countRunningTasks(harness: JobHarness): number {
  let count = 0;
  for (const worker of harness.workers.values()) count += worker.getRunCount();
  return count;
}

describe('gang scheduling', () => {
  it('starts all members of a gang together', async () => {
    const harness = JobHarness.create({workers: 2});
    await harness.advance(START_MS);
    const {jobId} = await harness.submit([createSampleStep(6, {isGang: true})]);
    await harness.advance(100);
    expect(countRunningTasks(harness)).to.equal(6);
    await harness.advance(1_500);
    expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('starts no member while the whole gang does not fit', async () => {
    const harness = JobHarness.create({workers: 1});
    await harness.advance(START_MS);
    const {jobId} = await harness.submit([createSampleStep(5, {isGang: true})]);
    await harness.advance(2_000);
    expect(harness.checker.getStartCount()).to.equal(0);
    expect(await harness.getPhase(jobId)).to.equal('pending');
  });
});
