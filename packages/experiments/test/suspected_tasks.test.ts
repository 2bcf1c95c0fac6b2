import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

/** ID of the first job of a harness. */
const FIRST_JOB_ID = '0000000000000001';

/** Time after its start at which the first job crashes its worker. */
const CRASH_DELAY_MS = 10;

/** Time by which a crash is noticed, as the lease has expired. */
const LOSS_MS = 5_500;

/** Time in which a waiting task has to run while there is room for it. */
const MAX_WAIT_MS = 3_000;

const LOAD_INTERVAL_MS = 100;

/** Fillers that spread over all workers, and end before their runs are proven. */
const SHORT_STEP = createSampleStep(12, {
  estimatedMs: 300,
  isFiller: true,
  image: 'short',
  needs: {cpuMillis: 400, memoryMb: 100, accelerators: 0},
});

describe('a suspected task', () => {
  it('is tried while every worker keeps starting short tasks', async () => {
    let isCrashing = true;
    const harness = JobHarness.create({
      workers: 8,
      getCrashDelayMs: taskName =>
        isCrashing && taskName.startsWith(FIRST_JOB_ID)
          ? CRASH_DELAY_MS
          : undefined,
    });
    await harness.advance(START_MS);
    const {jobId} = await harness.submit([createSampleStep(1)]);
    const settledMs = harness.clock.getMonotonicMs() + LOSS_MS + MAX_WAIT_MS;
    while (harness.clock.getMonotonicMs() < settledMs) {
      harness.submitWithoutWaiting([SHORT_STEP], SAMPLE_QUEUE);
      await harness.advance(LOAD_INTERVAL_MS);
      isCrashing = false;
    }
    expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
