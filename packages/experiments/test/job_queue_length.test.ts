import {decodeCoordinatorStatus} from '@mustardlug/coordination/coordinator_status';
import {JOB_TABLE} from '@mustardlug/coordination/tables';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

/** Table of the coordinator status. */
const STATUS_TABLE = 'mustardlug-board';

const START_MS = 2_500;

/** Time after which the lease of a crashed worker has ended and its runs are given up. */
const LEASE_END_MS = 7_000;

/** Time after which a changed queue length is published. */
const PUBLICATION_MS = 1_500;

/** Time by which a feed is late; above the 2 s up to which a queue length may be out of date. */
const FEED_DELAY_MS = 3_000;

/** Usual latency of a response of the store. */
const FEED_LATENCY_MS = 50;

const IDLE_MS = 60_000;

/** Interval at which the published status is checked. */
const ROUND_MS = 100;

function getQueues(harness: JobHarness) {
  const [row] = harness.store.getTableRows(STATUS_TABLE);
  return decodeCoordinatorStatus(row.value)._unsafeUnwrap().queues;
}

function getWaitingJobs(harness: JobHarness): number {
  return getQueues(harness)?.[SAMPLE_QUEUE.name]?.waitingJobs ?? 0;
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

  it('counts a job whose only run was lost before it began, after a takeover', async () => {
    const harness = JobHarness.create({workers: 1});
    await harness.advance(START_MS);
    const [worker] = harness.workers.values();
    worker.crash();
    await harness.submit([createSampleStep(1)]);
    await harness.advance(LEASE_END_MS);
    expect(getWaitingJobs(harness)).to.equal(1);
    harness.killNode(harness.getCoordinator()!);
    await harness.advance(4 * PUBLICATION_MS);
    expect(getWaitingJobs(harness)).to.equal(1);
  });

  it('does not count a job whose started run was lost, after a takeover', async () => {
    const harness = JobHarness.create({workers: 1});
    await harness.advance(START_MS);
    const [worker] = harness.workers.values();
    await harness.submit([createSampleStep(1, {isLongRunning: true})]);
    await harness.advance(PUBLICATION_MS);
    worker.crash();
    await harness.advance(LEASE_END_MS);
    harness.killNode(harness.getCoordinator()!);
    await harness.advance(4 * PUBLICATION_MS);
    expect(getWaitingJobs(harness)).to.equal(0);
  });

  it('is not given by a status that was written too long ago', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    const node = harness.nodes.find(each => !each.role.isCoordinating())!;
    node.storeFaults.feedDelaysMs.set(STATUS_TABLE, FEED_DELAY_MS);
    await harness.advance(FEED_DELAY_MS);
    for (let round = 0; round < 2 * FEED_DELAY_MS; round += ROUND_MS) {
      await harness.advance(ROUND_MS);
      const {ageMs} = node.role.getCoordinatorStatus()!;
      expect(ageMs).to.be.at.least(FEED_DELAY_MS);
    }
  });

  it('is not published while changes of the job table arrive late', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    const coordinator = harness.getCoordinator()!;
    coordinator.storeFaults.feedDelaysMs.set(JOB_TABLE, FEED_DELAY_MS);
    await harness.advance(FEED_DELAY_MS);
    for (const worker of harness.workers.values()) worker.crash();
    await harness.submit([createSampleStep(1)]);
    for (let round = 0; round < 2 * FEED_DELAY_MS; round += ROUND_MS) {
      await harness.advance(ROUND_MS);
      expect(getQueues(harness)).to.equal(undefined);
    }
    coordinator.storeFaults.feedDelaysMs.clear();
    await harness.advance(2 * FEED_DELAY_MS);
    expect(getWaitingJobs(harness)).to.equal(1);
  });

  it('is published all the time while no jobs arrive', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    const coordinator = harness.getCoordinator()!;
    coordinator.storeFaults.feedDelaysMs.set(JOB_TABLE, FEED_LATENCY_MS);
    for (let round = 0; round < IDLE_MS; round += ROUND_MS) {
      await harness.advance(ROUND_MS);
      expect(getQueues(harness)).not.to.equal(undefined);
    }
  });
});
