import {CoordinatorStatus} from '@mustardlug/coordination/coordinator_status';
import {decodeRowValue} from '@mustardlug/jobs/job_codec';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

/** Table of the coordinator status. */
const STATUS_TABLE = 'mustardlug-board';

const START_MS = 2_500;

/** Time after which a changed queue length is published. */
const PUBLICATION_MS = 1_500;

function getWaitingJobs(harness: JobHarness): number {
  const [row] = harness.store.getTableRows(STATUS_TABLE);
  const {queues} = decodeRowValue<CoordinatorStatus>(row.value);
  return queues?.[SAMPLE_QUEUE.name]?.waitingJobs ?? 0;
}

function setLateProbability(harness: JobHarness, probability: number): void {
  for (const {linkFaults} of harness.nodes)
    linkFaults.lateProbability = probability;
}

describe('the published queue length', () => {
  it('counts a job until a worker has confirmed one of its runs', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    setLateProbability(harness, 1);
    await harness.submit([createSampleStep(2, {isLongRunning: true})]);
    await harness.advance(PUBLICATION_MS);
    expect(getWaitingJobs(harness)).to.equal(1);
    setLateProbability(harness, 0);
    await harness.advance(4 * PUBLICATION_MS);
    expect(getWaitingJobs(harness)).to.equal(0);
  });

  it('does not count a started job after a takeover', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    await harness.submit([createSampleStep(2, {isLongRunning: true})]);
    await harness.advance(PUBLICATION_MS);
    expect(getWaitingJobs(harness)).to.equal(0);
    harness.killNode(harness.getCoordinator()!);
    await harness.advance(4 * PUBLICATION_MS);
    expect(getWaitingJobs(harness)).to.equal(0);
  });
});
