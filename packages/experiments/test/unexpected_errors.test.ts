import {JobIndex} from '@mustardlug/coordination/job_index';
import {JobTracker} from '@mustardlug/coordination/job_tracker';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

/** Time for a takeover, for the leases of lost workers and for the remaining tasks. */
const SETTLE_MS = 60_000;

const TASK_MS = 4_000;

/** Throws instead of one call. */
class Injection {
  isArmed = true;

  private constructor() {}

  static create(): Injection {
    return new Injection();
  }

  check(): void {
    if (!this.isArmed) return;
    this.isArmed = false;
    throw new Error('injected');
  }
}

describe('an unexpected error in the state of a term', () => {
  const {recordRunEnd, releaseRun} = JobTracker.prototype;
  const {applyRow} = JobIndex.prototype;
  afterEach(() => {
    Object.assign(JobTracker.prototype, {recordRunEnd, releaseRun});
    Object.assign(JobIndex.prototype, {applyRow});
  });

  for (const isKilled of [false, true])
    it(`while an end is recorded loses no task${isKilled ? ', also after a takeover' : ''}`, async () => {
      const harness = JobHarness.create({nodes: 4});
      await harness.advance(START_MS);
      const {jobId} = await harness.submit([
        createSampleStep(12, {estimatedMs: TASK_MS}),
      ]);
      const injection = Injection.create();
      Object.assign(JobTracker.prototype, {
        recordRunEnd(
          this: JobTracker,
          ...args: Parameters<typeof recordRunEnd>
        ) {
          injection.check();
          recordRunEnd.apply(this, args);
        },
      });
      await harness.advance(TASK_MS + 1_000);
      if (isKilled) harness.killNode(harness.getCoordinator()!);
      await harness.advance(SETTLE_MS);
      expect(injection.isArmed).to.equal(false);
      expect(await harness.getPhase(jobId)).to.equal('completed');
      expect(harness.checker.getStartCount()).to.equal(12);
      expect(harness.checker.violations).to.deep.equal([]);
    });

  for (const hasTakeover of [false, true])
    it(`while a lost run is released strands no task${hasTakeover ? ' of a worker that is not registered' : ''}`, async () => {
      const harness = JobHarness.create({nodes: 5, workers: 4});
      await harness.advance(START_MS);
      const {jobId} = await harness.submit([
        createSampleStep(16, {estimatedMs: TASK_MS}),
      ]);
      await harness.advance(1_000);
      const injection = Injection.create();
      injection.isArmed = !hasTakeover;
      Object.assign(JobTracker.prototype, {
        releaseRun(this: JobTracker, ...args: Parameters<typeof releaseRun>) {
          injection.check();
          releaseRun.apply(this, args);
        },
      });
      if (hasTakeover) harness.killNode(harness.getCoordinator()!);
      const lost = ['worker-0', 'worker-1'];
      harness.crashWorkers(lost, {delayMs: 100_000, workerId: 'new'});
      if (hasTakeover)
        for (const workerId of lost) harness.unregister(workerId);
      await harness.advance(7_000);
      if (hasTakeover) injection.isArmed = true;
      await harness.advance(SETTLE_MS);
      expect(injection.isArmed).to.equal(false);
      expect(await harness.getPhase(jobId)).to.equal('completed');
      expect(harness.checker.violations).to.deep.equal([]);
    });

  it('while the row of one job is applied loses no other job', async () => {
    const harness = JobHarness.create({nodes: 4});
    await harness.advance(START_MS);
    const injection = Injection.create();
    Object.assign(JobIndex.prototype, {
      applyRow(this: JobIndex, ...args: Parameters<typeof applyRow>) {
        injection.check();
        return applyRow.apply(this, args);
      },
    });
    const submissions = [1, 2, 3, 4].map(() =>
      harness.submit([createSampleStep(1)]),
    );
    const jobs = await Promise.all(submissions);
    await harness.advance(SETTLE_MS);
    const phases = await Promise.all(
      jobs.map(({jobId}) => harness.getPhase(jobId)),
    );
    const completed = phases.filter(phase => phase === 'completed');
    expect(completed).to.have.length(3);
  });
});
