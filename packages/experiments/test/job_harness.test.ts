import {expect} from 'chai';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {CrashRecovery, JobHarness} from '../src/job_harness.js';

const START_MS = 2_500;
const PLACEMENT_MS = 500;

/** Table in which the harness registers workers. */
const WORKER_TABLE = 'workers';

async function createHarness(recovery: CrashRecovery): Promise<JobHarness> {
  const harness = JobHarness.create({
    workers: 1,
    recovery,
    getCrashDelayMs: taskName => (taskName.endsWith('.0.0') ? 10 : undefined),
  });
  await harness.advance(START_MS);
  return harness;
}

async function getRegisteredIds(harness: JobHarness): Promise<string[]> {
  const {storeFaults, clock} = harness.nodes[0];
  const store = harness.store.createClient(storeFaults, clock);
  const page = await harness.advanceUntilSettled(
    store.getRows({table: WORKER_TABLE, part: ''}),
  );
  return page._unsafeUnwrap().rows.map(({key}) => key);
}

describe('JobHarness with tasks that crash workers', () => {
  it('starts a crashed worker again under its ID', async () => {
    const harness = JobHarness.create({
      workers: 1,
      recovery: {delayMs: 1_000, workerId: 'same'},
      getCrashDelayMs: () => 10,
    });
    await harness.advance(START_MS);
    const {jobId} = await harness.submit([createSampleStep(1)]);
    await harness.advance(PLACEMENT_MS);
    const worker = harness.workers.get('worker-0');
    expect(worker?.isUp()).to.equal(false);
    await harness.cancel(jobId);
    await harness.advance(1_000);
    expect([...harness.workers.keys()]).to.deep.equal(['worker-0']);
    expect(worker?.isUp()).to.equal(true);
    expect(worker?.getRecord().startMs).to.be.above(1);
  });

  it('starts a crashed worker again under a new ID at the same address', async () => {
    const harness = await createHarness({delayMs: 1_000, workerId: 'new'});
    await harness.submit([createSampleStep(1)]);
    await harness.advance(PLACEMENT_MS + 1_000);
    const [workerId] = harness.workers.keys();
    expect(workerId).not.to.equal('worker-0');
    expect(harness.workers.get(workerId)?.getRecord().address).to.equal(
      'worker-0:80',
    );
    expect(await getRegisteredIds(harness)).to.include('worker-0');
    await harness.advance(4_000);
    expect(await getRegisteredIds(harness)).not.to.include('worker-0');
  });

  it('crashes several workers at once', async () => {
    const harness = JobHarness.create({workers: 4});
    const workers = [...harness.workers.values()];
    harness.crashWorkers(['worker-1', 'worker-2'], {
      delayMs: 1_000,
      workerId: 'new',
    });
    const isUp = workers.map(worker => worker.isUp());
    expect(isUp).to.deep.equal([true, false, false, true]);
    await harness.advance(1_000);
    expect(harness.workers.size).to.equal(4);
    expect(harness.workers.has('worker-1')).to.equal(false);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('removes the registration of a silent worker and restores it at its return', async () => {
    const harness = JobHarness.create({workers: 1});
    harness.crashWorkers(['worker-0'], {delayMs: 6_000, workerId: 'same'});
    await harness.advance(4_000);
    expect(await getRegisteredIds(harness)).to.deep.equal(['worker-0']);
    await harness.advance(1_000);
    expect(await getRegisteredIds(harness)).to.deep.equal([]);
    await harness.advance(1_000);
    expect(await getRegisteredIds(harness)).to.deep.equal(['worker-0']);
  });
});
