import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {expect} from 'chai';
import {MAX_COMMIT_ROWS} from '../src/commit_log.js';
import {InterferenceModel} from '../src/interference_model.js';
import {InvalidRowReporter} from '../src/invalid_row_reporter.js';
import {LeaseBounds} from '../src/lease_bounds.js';
import {OwnDelay} from '../src/own_delay.js';
import {ProgressWriter} from '../src/progress_writer.js';
import {RejectedJobs} from '../src/rejected_jobs.js';
import {createTestCommitLog} from './test_commit_logs.js';
import {createTestEvents} from './test_events.js';
import {createTestJob, createTestStep} from './test_runs.js';

function createWriter(clock: VirtualClock): ProgressWriter {
  const commitLog = createTestCommitLog(clock);
  const events = createTestEvents(clock);
  const invalidRows = InvalidRowReporter.create(events);
  return ProgressWriter.create({
    clock,
    events,
    rejectedJobs: RejectedJobs.create(clock, events),
    onJobRejected: () => undefined,
    commitLog,
    interferenceModel: InterferenceModel.create(),
    leaseBounds: LeaseBounds.create(clock, commitLog, invalidRows),
    ownDelay: OwnDelay.create(clock),
  });
}

function createJobs(count: number) {
  return Array.from({length: count}, () => createTestJob([createTestStep()]));
}

describe(ProgressWriter.name, () => {
  it('does not keep the start of an urgent task waiting for the rows of other jobs', async () => {
    const clock = VirtualClock.create();
    const writer = createWriter(clock);
    const jobs = createJobs(2 * MAX_COMMIT_ROWS);
    const [urgentJob] = jobs;
    const lastJob = jobs[jobs.length - 1];
    const order: string[] = [];
    writer.deferUntilJobStored(lastJob, () => order.push('last'));
    writer.deferUntilStored(() => order.push('all'));
    writer.deferUntilJobStored(urgentJob, () => order.push('urgent'));
    const committed = writer.commit(jobs).then(() => order.push('committed'));
    while (order.length === 0) await clock.advance(1);
    expect(order).to.deep.equal(['urgent']);
    await clock.advance(1_000);
    await committed;
    expect(order).to.deep.equal(['urgent', 'last', 'all', 'committed']);
  });

  it('leaves what is deferred during a commit to the next one', async () => {
    const clock = VirtualClock.create();
    const writer = createWriter(clock);
    const [job] = createJobs(1);
    const stored: string[] = [];
    const first = writer.commit([job]);
    writer.deferUntilJobStored(job, () => stored.push('job'));
    await clock.advance(1_000);
    await first;
    expect(stored).to.deep.equal([]);
    const second = writer.commit([job]);
    await clock.advance(1_000);
    await second;
    expect(stored).to.deep.equal(['job']);
  });
});
