import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

const WORKERS = 12;
const WAVES = 6;
const WAVE_INTERVAL_MS = 6_000;
const REPLACEMENT_MS = 5_000;

/**
 * Time after which the leases of a lost worker have certainly expired, the terms
 * that could have granted them included, and its registration is removed.
 */
const MAX_LOSS_MS = 20_000;

/** Longest lease that is granted. */
const LEASE_MS = 5_000;

/** Time in which calls to workers that do not respond are counted. */
const COUNTING_MS = 30_000;

/** Least time between two calls to a silent worker whose leases have expired. */
const MIN_CALL_INTERVAL_MS = 1_000;

/** Gets the load of the coordinator's term. */
function getLoad(harness: JobHarness) {
  const load = harness.getCoordinator()?.role.getLoad();
  if (load === undefined) throw new Error('no node coordinates');
  return load;
}

/** Gets the number of calls of the coordinator to some workers. */
function countCalls(harness: JobHarness, workerIds: Iterable<string>): number {
  const client = harness.getCoordinator()?.workerClient;
  let count = 0;
  for (const workerId of workerIds)
    count += client?.getCallCount(workerId) ?? 0;
  return count;
}

/** Lets half of the workers crash in waves while jobs run, and returns the lost ones. */
async function crashInWaves(harness: JobHarness, jobIds: string[]) {
  const lost: string[] = [];
  for (let wave = 0; wave < WAVES; wave++) {
    const {jobId} = await harness.submit([createSampleStep(WORKERS)]);
    jobIds.push(jobId);
    const crashing = [...harness.workers.keys()].slice(0, WORKERS / 2);
    lost.push(...crashing);
    const recovery = {delayMs: REPLACEMENT_MS, workerId: 'new'} as const;
    harness.crashWorkers(crashing, recovery);
    await harness.advance(WAVE_INTERVAL_MS);
  }
  return lost;
}

describe('the sessions of lost workers', () => {
  it('end once nothing of the workers can be left, after waves of crashes', async () => {
    const harness = JobHarness.create({workers: WORKERS});
    await harness.advance(START_MS);
    const jobIds: string[] = [];
    const lost = await crashInWaves(harness, jobIds);
    await harness.advance(MAX_LOSS_MS);
    expect(getLoad(harness).workerSessions).to.equal(WORKERS);
    expect(getLoad(harness).unregisteredSessions).to.equal(0);
    const callCount = countCalls(harness, lost);
    await harness.advance(COUNTING_MS);
    expect(countCalls(harness, lost)).to.equal(callCount);
    for (const jobId of jobIds)
      expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('remain while an unregistered worker responds', async () => {
    const harness = JobHarness.create({workers: 2});
    await harness.advance(START_MS);
    harness.unregister('worker-0');
    await harness.advance(MAX_LOSS_MS);
    expect(getLoad(harness).unregisteredSessions).to.equal(1);
  });

  it('are created again for a worker whose registration comes back', async () => {
    const harness = JobHarness.create({workers: 1});
    await harness.advance(START_MS);
    const {jobId} = await harness.submit([createSampleStep(1)]);
    await harness.advance(500);
    for (const {linkFaults} of harness.nodes)
      linkFaults.unreachableWorkers.add('worker-0');
    harness.unregister('worker-0');
    await harness.advance(MAX_LOSS_MS);
    expect(getLoad(harness).workerSessions).to.equal(0);
    for (const {linkFaults} of harness.nodes)
      linkFaults.unreachableWorkers.clear();
    harness.register('worker-0');
    await harness.advance(LEASE_MS);
    expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(harness.checker.violations).to.deep.equal([]);
  });
});

describe('a registered worker that does not respond', () => {
  it('is asked less often once its leases have expired, and used soon after it responds', async () => {
    const harness = JobHarness.create({workers: 1});
    await harness.advance(START_MS);
    for (const {linkFaults} of harness.nodes)
      linkFaults.unreachableWorkers.add('worker-0');
    const {jobId} = await harness.submit([createSampleStep(1)]);
    await harness.advance(MAX_LOSS_MS);
    const callCount = countCalls(harness, ['worker-0']);
    await harness.advance(COUNTING_MS);
    expect(countCalls(harness, ['worker-0']) - callCount).to.be.at.most(
      COUNTING_MS / MIN_CALL_INTERVAL_MS,
    );
    for (const {linkFaults} of harness.nodes)
      linkFaults.unreachableWorkers.clear();
    await harness.advance(LEASE_MS);
    expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
