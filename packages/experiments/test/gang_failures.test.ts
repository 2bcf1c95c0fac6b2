import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

const START_MS = 2_500;

const MEMBERS = 6;

/** Attempts of the sample queue. */
const MAX_ATTEMPTS = 3;

/** Time in which all attempts of a gang end. */
const ATTEMPTS_MS = 6_000;

/** Creates a deployment in which all members of a gang fail in the first runs. */
async function runFailingGang(failedRuns: number) {
  const harness = JobHarness.create({
    workers: 2,
    isFailing: (_, runNumber) => runNumber <= failedRuns,
  });
  await harness.advance(START_MS);
  const {jobId} = await harness.submit([
    createSampleStep(MEMBERS, {isGang: true}),
  ]);
  await harness.advance(ATTEMPTS_MS);
  const phase = await harness.getPhase(jobId);
  expect(harness.checker.violations).to.deep.equal([]);
  return {phase, startCount: harness.checker.getStartCount()};
}

describe('failures of gangs', () => {
  // Guards against failures that are counted by member, which used up all attempts at once.
  for (const failedRuns of [1, MAX_ATTEMPTS - 1])
    it(`leave further attempts after ${failedRuns} runs in which all members failed`, async () => {
      const {phase, startCount} = await runFailingGang(failedRuns);
      expect(phase).to.equal('completed');
      expect(startCount).to.equal((failedRuns + 1) * MEMBERS);
    });

  it('fail the job once the gang has used all its attempts', async () => {
    const {phase, startCount} = await runFailingGang(MAX_ATTEMPTS);
    expect(phase).to.equal('failed');
    expect(startCount).to.equal(MAX_ATTEMPTS * MEMBERS);
  });
});
