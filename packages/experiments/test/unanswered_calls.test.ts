import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

/** Time in which submitted tasks start. */
const PLACEMENT_MS = 2_000;

const WORKER_COUNT = 10;

/** Tasks that fill about half of the workers. */
const TASK_COUNT = 40;

const TASK_MS = 8_000;

/** Time for which calls stay unanswered. */
const FAULT_MS = 30_000;

/** Number of rounds in which jobs are submitted. */
const ROUND_COUNT = 3;

/** Time in which a round of tasks could be done twice over. */
const ROUND_MS = 2 * TASK_MS;

const SEEDS = [1, 2, 3, 4];

/** Leaves a share of the calls of all nodes unanswered; they are executed 2 to 12 s late. */
function loseAnswers(harness: JobHarness, share: number): void {
  for (const {linkFaults} of harness.nodes) {
    linkFaults.lateProbability = share;
    linkFaults.lateMs = 2_000;
    linkFaults.maxLateMs = 12_000;
  }
}

describe('sound workers of which half of the calls stay unanswered', () => {
  it('keep their leases and their runs', async () => {
    for (const seed of SEEDS) {
      const harness = JobHarness.create({
        workers: WORKER_COUNT,
        seed,
        workerClockRate: 0.98,
      });
      await harness.advance(START_MS);
      const step = createSampleStep(TASK_COUNT, {isLongRunning: true});
      await harness.submit([step]);
      await harness.advance(PLACEMENT_MS);
      const startCount = harness.checker.getStartCount();
      loseAnswers(harness, 0.5);
      await harness.advance(FAULT_MS);
      expect(harness.checker.getLapsedRunCount(), `seed ${seed}`).to.equal(0);
      expect(harness.checker.getStartCount()).to.equal(startCount);
      expect(harness.checker.violations).to.deep.equal([]);
    }
  });

  it('complete the work that they have room for', async () => {
    for (const seed of SEEDS) {
      const harness = JobHarness.create({workers: WORKER_COUNT, seed});
      await harness.advance(START_MS);
      loseAnswers(harness, 0.5);
      for (let round = 0; round < ROUND_COUNT; round++) {
        const step = createSampleStep(TASK_COUNT, {estimatedMs: TASK_MS});
        const {jobId} = await harness.submit([step]);
        await harness.advance(ROUND_MS);
        const phase = await harness.getPhase(jobId);
        expect(phase, `seed ${seed}, round ${round}`).to.equal('completed');
      }
      expect(harness.checker.violations).to.deep.equal([]);
    }
  });
});
