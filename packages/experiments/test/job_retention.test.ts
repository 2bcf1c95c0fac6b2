import {expect} from 'chai';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {HarnessNode, JobHarness} from '../src/job_harness.js';

const START_MS = 2_500;

/** Retention period of ended jobs, in which callers can query them. */
const RETENTION_MS = 120_000;

function countRows(harness: JobHarness): number {
  const tables = ['mustardlug-jobs', 'mustardlug-progress'];
  return tables.flatMap(table => harness.store.getTableRows(table)).length;
}

function killNode(harness: JobHarness, node: HarnessNode | undefined): void {
  if (node !== undefined) harness.killNode(node);
}

describe('rows of ended jobs', () => {
  it('are kept for the retention period, then removed', async () => {
    const harness = JobHarness.create({nodes: 1});
    await harness.advance(START_MS);
    const {jobId} = await harness.submit([createSampleStep(2)]);
    const cancelled = await harness.submit([
      createSampleStep(1, {isLongRunning: true}),
    ]);
    await harness.cancel(cancelled.jobId);
    await harness.advance(RETENTION_MS);
    expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(await harness.getPhase(cancelled.jobId)).to.equal('cancelled');
    await harness.advance(RETENTION_MS);
    expect(await harness.getPhase(jobId)).to.equal(undefined);
    expect(countRows(harness)).to.equal(0);
  });

  it('are removed by the next coordinator, based on the recorded end of the job', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    await harness.submit([createSampleStep(2)]);
    await harness.advance(2_000);
    killNode(harness, harness.getCoordinator());
    await harness.advance(RETENTION_MS * 1.5);
    expect(countRows(harness)).to.equal(0);
  });

  it('are kept while a job is running', async () => {
    const harness = JobHarness.create({nodes: 1});
    await harness.advance(START_MS);
    const steps = [createSampleStep(1, {isLongRunning: true})];
    const {jobId} = await harness.submit(steps);
    await harness.advance(RETENTION_MS * 2);
    expect(await harness.getPhase(jobId)).to.equal('running');
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
