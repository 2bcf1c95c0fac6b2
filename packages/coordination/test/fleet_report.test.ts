import {expect} from 'chai';
import {formatRestoredJobs} from '../src/fleet_report.js';
import {createTestJob, createTestStep} from './test_runs.js';

describe('formatRestoredJobs', () => {
  it('names the jobs without a run that have not ended, the oldest first', () => {
    const jobs = Array.from({length: 104}, (_, index) =>
      createTestJob([createTestStep()], undefined, 200 - index),
    );
    jobs[0].phase = 'failed';
    expect(formatRestoredJobs(jobs.slice(0, 2))).to.equal(
      `2 jobs, 0 started, 0 with runs to be confirmed, 1 without a run: ${jobs[1].getId()}`,
    );
    const oldestId = jobs[103].getId();
    expect(formatRestoredJobs(jobs)).to.match(
      RegExp(` 103 without a run: ${oldestId} (\\w{16} ){99}and 3 more$`),
    );
  });
});
