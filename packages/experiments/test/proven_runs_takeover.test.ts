import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

/** Time for the first election and the start of a task. */
const START_MS = 4_000;

/** Time that proves that a run does not crash its worker at its start. */
const PROVING_MS = 20_000;

/** Time in which a lost run is released after a takeover. */
const RELEASE_MS = 20_000;

describe('a run that has been running for long', () => {
  it('does not count as a crash at its start if its worker is lost with the coordinator', async () => {
    const crashes: string[] = [];
    const harness = JobHarness.create({
      sink: ({name, detail}) => {
        if (name === 'start-crashed') crashes.push(detail ?? '');
      },
    });
    await harness.advance(START_MS);
    await harness.submit([createSampleStep(1, {estimatedMs: 120_000})]);
    await harness.advance(PROVING_MS);
    const coordinator = harness.getCoordinator();
    if (coordinator !== undefined) harness.killNode(coordinator);
    for (const worker of harness.workers.values()) {
      if (worker.getRunCount() > 0) worker.crash();
    }
    await harness.advance(RELEASE_MS);
    expect(crashes).to.deep.equal([]);
  });
});
