import {JobWorkerModel} from '@mustardlug/standins/job_worker_model';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

/** Time in which a waiting task has to run while there is room for it. */
const MAX_WAIT_MS = 3_000;

/** Time by which four start commands without a response have timed out and lapsed. */
const LAPSE_MS = 4 * 300 + 5_000;

/** A worker whose lease renewals succeed, although it starts nothing. */
interface Refusal {
  readonly name: string;
  readonly refuse: (worker: JobWorkerModel) => void;
  readonly waitMs: number;
}

const REFUSALS: readonly Refusal[] = [
  {
    name: 'refuse them as unhealthy',
    refuse: worker => {
      worker.behavior.startRefusal = 'unhealthy';
    },
    waitMs: MAX_WAIT_MS,
  },
  {
    name: 'refuse them for want of room',
    refuse: worker => {
      worker.behavior.startRefusal = 'no-room';
    },
    waitMs: MAX_WAIT_MS,
  },
  {
    name: 'reject them as late',
    refuse: worker => {
      worker.start = () => 'lapsed';
    },
    waitMs: MAX_WAIT_MS,
  },
  {
    name: 'do not respond to them',
    refuse: worker => {
      worker.start = () => undefined;
      worker.stop = () => 'unhealthy';
    },
    waitMs: LAPSE_MS + MAX_WAIT_MS,
  },
];

describe('tasks whose best workers do not start them', () => {
  for (const {name, refuse, waitMs} of REFUSALS)
    it(`run on other workers if these ${name}`, async () => {
      const harness = JobHarness.create({workers: 4, nodes: 1});
      const workers = [...harness.workers.values()];
      for (const worker of workers.slice(2)) refuse(worker);
      await harness.advance(START_MS);
      const {jobId} = await harness.submit([
        createSampleStep(8, {isLongRunning: true}),
      ]);
      await harness.advance(waitMs);
      const counts = workers.map(worker => worker.getRunCount());
      expect(counts).to.deep.equal([4, 4, 0, 0]);
      expect(await harness.getPhase(jobId)).to.equal('running');
      expect(harness.checker.violations).to.deep.equal([]);
    });

  it('meet each worker that does not respond to them once', async () => {
    const harness = JobHarness.create({workers: 5, nodes: 1});
    const silentWorkers = [...harness.workers.values()].slice(2);
    for (const worker of silentWorkers) {
      worker.start = () => undefined;
      worker.stop = () => 'unhealthy';
    }
    await harness.advance(START_MS);
    const {jobId} = await harness.submit([createSampleStep(1)]);
    await harness.advance(silentWorkers.length * LAPSE_MS + MAX_WAIT_MS);
    expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
