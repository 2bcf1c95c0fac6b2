import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {encodeRowValue} from '@mustardlug/jobs/job_codec';
import {StepSpec} from '@mustardlug/jobs/job_spec';
import {
  createDefaultRowStoreFaults,
  MemoryRowStore,
  RowRejection,
} from '@mustardlug/standins/memory_row_store';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {createHash} from 'node:crypto';
import {JobStore} from '../src/job_store.js';
import {JOB_TABLE} from '../src/tables.js';
import {createTestEvents} from './test_events.js';

const JOB_ID = '00000000000000aa';

/** Time that callers wait for a response. */
const TIMEOUT_MS = 5_000;

/** Time within which a submission that cannot be served is to be rejected. */
const AT_ONCE_MS = 500;

class Fixture {
  readonly clock = VirtualClock.create();
  readonly store = MemoryRowStore.create(this.clock);
  readonly faults = createDefaultRowStoreFaults();
  private readonly jobs = JobStore.create({
    store: this.store.createClient(this.faults),
    clock: this.clock,
    events: createTestEvents(this.clock),
  });

  /** Rejects the rows of accepted jobs, and no smaller ones. */
  rejectJobs(rejection: RowRejection): void {
    const refusedBytes = encodeRowValue({kind: 'refused'}).length;
    this.faults.getRejection = ({writes}) =>
      writes.some(({value}) => value.length > refusedBytes)
        ? rejection
        : undefined;
  }

  /** Submits a job, and returns the outcome and the time until it. */
  async submit(steps: readonly StepSpec[] = [createSampleStep(1)]) {
    const startMs = this.clock.getMonotonicMs();
    const spec = {specification: '', steps};
    const outcome = await this.settle(
      this.jobs.submit({
        jobId: JOB_ID,
        spec,
        queue: SAMPLE_QUEUE,
        deadlineMs: startMs + TIMEOUT_MS,
        retryAfterMs: 0,
      }),
    );
    const kind = outcome.isOk() ? 'accepted' : outcome.error.kind;
    return {kind, elapsedMs: this.clock.getMonotonicMs() - startMs};
  }

  async getPhase(): Promise<string> {
    const status = await this.settle(this.jobs.getStatus(JOB_ID));
    return status.isOk() ? status.value.phase : status.error.kind;
  }

  async settle<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    void promise.finally(() => {
      isSettled = true;
    });
    while (!isSettled) await this.clock.advance(1);
    return promise;
  }
}

/** Creates steps whose labels are so many and different that they exceed a row of the store. */
function createLargeSteps(): StepSpec[] {
  return Array.from({length: 1_500}, (_, index) => {
    const digest = createHash('sha512').update(String(index)).digest('hex');
    return createSampleStep(1, {requiredLabel: digest});
  });
}

describe(JobStore.name, () => {
  for (const rejection of ['not-applied', 'unknown-not-applied'] as const)
    // A write that the store rejects was repeated until the caller gave up.
    it(`refuses a job at once that the store rejects (${rejection})`, async () => {
      const fixture = new Fixture();
      fixture.rejectJobs(rejection);
      const {kind, elapsedMs} = await fixture.submit();
      expect(kind).to.equal('refused');
      expect(elapsedMs).to.be.lessThan(AT_ONCE_MS);
      expect(await fixture.getPhase()).to.equal('not-found');
    });

  it('accepts a job whose write was applied in spite of a rejection', async () => {
    const fixture = new Fixture();
    fixture.rejectJobs('unknown-applied');
    expect((await fixture.submit()).kind).to.equal('accepted');
    expect(await fixture.getPhase()).to.equal('pending');
  });

  it('refuses a rejected job only once a late write of it can have no effect', async () => {
    const fixture = new Fixture();
    fixture.faults.applyNextLate = 1;
    fixture.clock.setTimer(20, () => fixture.rejectJobs('not-applied'));
    const {kind} = await fixture.submit();
    expect(kind).to.equal('refused');
    await fixture.clock.advance(2 * fixture.faults.lateMs);
    expect(await fixture.getPhase()).to.equal('not-found');
    expect((await fixture.submit()).kind).to.equal('refused');
    fixture.faults.getRejection = undefined;
    expect((await fixture.submit()).kind).to.equal('accepted');
  });

  it('rejects a job that no row can hold before it writes anything', async () => {
    const fixture = new Fixture();
    const {kind, elapsedMs} = await fixture.submit(createLargeSteps());
    expect(kind).to.equal('invalid-input');
    expect(elapsedMs).to.be.lessThan(AT_ONCE_MS);
    expect(fixture.store.getTableRows(JOB_TABLE)).to.deep.equal([]);
  });
});
