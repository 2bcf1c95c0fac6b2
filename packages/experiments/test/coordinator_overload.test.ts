import {expect} from 'chai';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {JobHarness} from '../src/job_harness.js';

/** Time in which the first coordinator is elected, loads all state and fences the workers. */
const START_MS = 2_500;

const WORKERS = 40;

const JOBS = 30;

/**
 * Bandwidth of the nodes, at which storing the progress of all jobs takes longer
 * than a coordinator may go without publishing its status.
 */
const WRITE_BYTES_PER_SECOND = 20_000;

function countTerms(harness: JobHarness): number {
  return Math.max(
    ...harness.store
      .getTableRows('mustardlug-term')
      .map(row => (JSON.parse(row.value.toString()) as {term: number}).term),
  );
}

describe('an overloaded coordinator', () => {
  it('is not replaced while it stores the progress of many jobs over a slow link', async () => {
    const harness = JobHarness.create({workers: WORKERS, cpuMillis: 32_000});
    await harness.advance(START_MS);
    for (const {storeFaults} of harness.nodes)
      storeFaults.writeBytesPerSecond = WRITE_BYTES_PER_SECOND;
    const terms = countTerms(harness);
    const jobIds: string[] = [];
    for (let index = 0; index < JOBS; index++) {
      const steps = [
        createSampleStep(40),
        createSampleStep(40, {dependsOn: [0]}),
      ];
      const {jobId} = await harness.submit(steps);
      jobIds.push(jobId);
    }
    await harness.advance(40_000);
    expect(countTerms(harness)).to.equal(terms);
    for (const jobId of jobIds)
      expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
