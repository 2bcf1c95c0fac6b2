import {expect} from 'chai';
import {getWaitingSteps} from '../src/placement_pass.js';
import {
  formatLeaseEnd,
  formatRestoredJobs,
  formatTrials,
} from '../src/fleet_report.js';
import {LeaseEnd} from '../src/lease_end.js';
import {SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {
  addTaskRun,
  createTestJob,
  createTestLoad,
  createTestStep,
} from './test_runs.js';

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

describe('formatLeaseEnd', () => {
  it('names the time and what determines it', () => {
    const leaseEnd = LeaseEnd.create(9_000);
    expect(formatLeaseEnd(leaseEnd, 1_000)).to.equal(
      'leases expire in 8000 ms by earlier-terms',
    );
    const limited = leaseEnd.limit(5_450.4, 'first-response');
    expect(formatLeaseEnd(limited, 5_462)).to.equal(
      'leases expired 12 ms ago by first-response, unlimited expire in 3538 ms',
    );
  });
});

describe('formatTrials', () => {
  it('counts the suspected tasks that wait and the jobs without a run', () => {
    const jobs = [1, 2, 3].map(() =>
      createTestJob([createTestStep({taskCount: 2})]),
    );
    const [{tasks}] = jobs[0].occurrences.get(0)!.steps;
    tasks[1].startCrashes = [
      {workerId: 'worker-9', runNumber: 1, isAttributed: true},
    ];
    addTaskRun(createTestLoad(), jobs[1], 0);
    const waiting = getWaitingSteps(jobs, () => SAMPLE_QUEUE, 0);
    expect(formatTrials([], waiting)).to.equal(
      '1 suspected tasks waiting, 0 workers with trials, 2 jobs waiting without a run',
    );
  });
});
