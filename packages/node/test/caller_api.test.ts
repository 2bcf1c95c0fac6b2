import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  CoordinatorStatus,
  QueueLoad,
} from '@mustardlug/coordination/coordinator_status';
import {JobStore} from '@mustardlug/coordination/job_store';
import {DeploymentConfig} from '@mustardlug/jobs/queue_config';
import {JobSpec} from '@mustardlug/jobs/job_spec';
import {MemoryRowStore} from '@mustardlug/standins/memory_row_store';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {HybridLogicalClock} from '@mustardlug/telemetry/hybrid_logical_clock';
import {createInvalidInputError} from '@mustardlug/base/errors';
import {expect} from 'chai';
import {err, ok} from 'neverthrow';
import {CallerApi, CallerFormat} from '../src/caller_api.js';
import {ReturnSchedule} from '../src/return_schedule.js';

const SPEC: JobSpec = {specification: '', steps: [createSampleStep(1)]};

const FORMAT: CallerFormat = {
  decodeJob: body =>
    body === 'bad'
      ? err(
          createInvalidInputError('the job', [
            {path: 'steps', expected: 'expected steps', remedy: 'add one'},
          ]),
        )
      : ok(SPEC),
  deadlineHeader: 'deadline-milliseconds',
  renderStatus: status => status,
  renderWaiting: waitingJobs => ({waitingJobs}),
};

const JOB_PATH = '/bookings/00000000000000aa';

class Fixture {
  readonly clock = VirtualClock.create();
  readonly store = MemoryRowStore.create(this.clock);
  config: DeploymentConfig | undefined = {
    version: 1,
    queues: [SAMPLE_QUEUE],
    services: [],
    limits: {maxBodyBytes: 100},
  };
  status: {status: CoordinatorStatus; ageMs: number} | undefined;
  storeOutageMs: number | undefined;
  readonly refusals: string[] = [];
  private readonly app = CallerApi.createApp({
    clock: this.clock,
    jobs: JobStore.create({
      store: this.store.createClient(),
      clock: this.clock,
      events: EventRecorder.create({
        nodeId: 'node-1',
        clock: HybridLogicalClock.create(this.clock),
      }),
    }),
    returns: ReturnSchedule.create({
      clock: this.clock,
      getNodeCount: () => 1,
    }),
    format: FORMAT,
    getConfig: () => this.config,
    getCoordinatorStatus: () => this.status,
    getStoreOutageMs: () => this.storeOutageMs,
    onRefusal: (queueName, reason) =>
      this.refusals.push(`${queueName} ${reason}`),
  });

  async request(method: string, path: string, body?: string) {
    const response = this.app.request(`http://desk.example${path}`, {
      method,
      body,
      headers: {host: 'desk.example'},
    });
    let isSettled = false;
    void Promise.resolve(response).finally(() => {
      isSettled = true;
    });
    for (let round = 0; !isSettled; round++) {
      await this.clock.advance(1);
      // Request bodies are read on the real event loop, which the virtual clock does not advance.
      await new Promise(resolve => setImmediate(resolve));
    }
    return response;
  }

  setLoad(
    retryAfterMs: number,
    waitingJobs = 0,
    jobLimit: Partial<QueueLoad> = {},
  ): void {
    const queues = {bookings: {waitingJobs, retryAfterMs, ...jobLimit}};
    const status = {term: 1, holder: 'node-2', writtenStoreMs: 0, queues};
    this.status = {status, ageMs: 100};
  }
}

describe(CallerApi.name, () => {
  it('accepts a job once, shows it and cancels it', async () => {
    const fixture = new Fixture();
    for (let attempt = 0; attempt < 2; attempt++) {
      const response = await fixture.request('POST', JOB_PATH, '{}');
      expect(response.status).to.equal(200);
    }
    const shown = await fixture.request('GET', JOB_PATH);
    expect(await shown.json()).to.deep.equal({phase: 'pending'});
    const cancelled = await fixture.request('DELETE', JOB_PATH);
    expect(cancelled.status).to.equal(200);
    const after = await fixture.request('GET', JOB_PATH);
    expect(await after.json()).to.deep.equal({phase: 'cancelled'});
  });

  const expectStatus = async (
    method: string,
    path: string,
    body: string | undefined,
    status: number,
  ) => {
    const response = await new Fixture().request(method, path, body);
    expect(response.status).to.equal(status);
  };

  it('returns 404 for a queue that does not exist', () =>
    expectStatus('GET', '/elsewhere/', undefined, 404));

  it('returns 404 for an invalid job ID', () =>
    expectStatus('POST', '/bookings/xyz', '{}', 404));

  it('returns 410 for a job that was not submitted', () =>
    expectStatus('GET', JOB_PATH, undefined, 410));

  it('returns 400 for a malformed job', () =>
    expectStatus('POST', JOB_PATH, 'bad', 400));

  it('returns 413 for a body over the limit', () =>
    expectStatus('POST', JOB_PATH, 'x'.repeat(101), 413));

  it('returns 503 with a retry delay before a configuration is received', async () => {
    const fixture = new Fixture();
    fixture.config = undefined;
    const response = await fixture.request('POST', JOB_PATH, '{}');
    expect(response.status).to.equal(503);
    expect(response.headers.get('retry-after')).to.equal('1');
  });

  it('does not store a malformed job', async () => {
    const fixture = new Fixture();
    await fixture.request('POST', JOB_PATH, 'bad');
    expect((await fixture.request('GET', JOB_PATH)).status).to.equal(410);
  });

  it('refuses a job with 429 under overload until the caller submits it again', async () => {
    const fixture = new Fixture();
    fixture.setLoad(2_500);
    const refused = await fixture.request('POST', JOB_PATH, '{}');
    expect(refused.status).to.equal(429);
    expect(refused.headers.get('retry-after')).to.equal('3');
    expect((await fixture.request('GET', JOB_PATH)).status).to.equal(410);
    fixture.setLoad(0);
    const accepted = await fixture.request('POST', JOB_PATH, '{}');
    expect(accepted.status).to.equal(200);
  });

  describe('with a limit on the work per job', () => {
    /** Identifiers of jobs that are refused above the limit, and that are accepted all the same. */
    const ids = Array.from({length: 40}, (_, index) =>
      index.toString(16).padStart(16, '0'),
    );
    const limit = {maxJobWork: 1_000, jobRetryAfterMs: 4_000};

    it('refuses some of the larger jobs with 429, the same ones again on a retry, and accepts the others', async () => {
      const fixture = new Fixture();
      fixture.setLoad(0, 0, limit);
      const refusedIds: string[] = [];
      for (const id of ids) {
        const response = await fixture.request('POST', `/bookings/${id}`, '{}');
        if (response.status === 200) continue;
        expect(response.status).to.equal(429);
        const seconds = Number(response.headers.get('retry-after'));
        expect(seconds).to.be.within(4, 30);
        refusedIds.push(id);
      }
      expect(refusedIds.length).to.be.within(8, 30);
      expect(fixture.refusals).to.have.length(refusedIds.length);
      expect(fixture.refusals[0]).to.equal('bookings job-work');
      const [refused] = refusedIds;
      const path = `/bookings/${refused}`;
      expect((await fixture.request('GET', path)).status).to.equal(410);
      expect((await fixture.request('POST', path, '{}')).status).to.equal(429);
      fixture.setLoad(0);
      expect((await fixture.request('POST', path, '{}')).status).to.equal(200);
    });

    it('accepts jobs below it, and all while the status is out of date', async () => {
      for (const [maxJobWork, ageMs] of [
        [1e9, 100],
        [1_000, 5_000],
      ]) {
        const fixture = new Fixture();
        fixture.setLoad(0, 0, {...limit, maxJobWork});
        fixture.status = {...fixture.status!, ageMs};
        for (const id of ids) {
          const path = `/bookings/${id}`;
          const response = await fixture.request('POST', path, '{}');
          expect(response.status).to.equal(200);
        }
      }
    });
  });

  it('does not refuse the retry of an accepted job', async () => {
    const fixture = new Fixture();
    await fixture.request('POST', JOB_PATH, '{}');
    fixture.setLoad(2_500);
    const repeated = await fixture.request('POST', JOB_PATH, '{}');
    expect(repeated.status).to.equal(200);
  });

  it('does not accept a delayed first write after a refusal', async () => {
    const fixture = new Fixture();
    fixture.store.faults.applyNextLate = 1;
    fixture.store.faults.lateMs = 500;
    const first = fixture.request('POST', JOB_PATH, '{}');
    fixture.setLoad(2_500);
    await fixture.request('POST', JOB_PATH, '{}');
    await first;
    fixture.setLoad(0);
    await fixture.clock.advance(1_000);
    const rows = fixture.store.getTableRows('mustardlug-jobs');
    expect(rows.length).to.equal(1);
  });

  it('returns 503 and stores nothing when the store refuses the write', async () => {
    const fixture = new Fixture();
    fixture.store.faults.isRefusing = true;
    const response = await fixture.request('POST', JOB_PATH, '{}');
    expect(response.status).to.equal(503);
    fixture.store.faults.isRefusing = false;
    expect((await fixture.request('GET', JOB_PATH)).status).to.equal(410);
  });

  it('returns 503 and stores nothing during a known store outage', async () => {
    const fixture = new Fixture();
    fixture.storeOutageMs = 3_500;
    const response = await fixture.request('POST', JOB_PATH, '{}');
    expect(response.status).to.equal(503);
    expect(response.headers.get('retry-after')).to.equal('4');
    expect(fixture.store.getTableRows('mustardlug-jobs')).to.deep.equal([]);
  });

  it('returns 504 within a second when the outcome of the write is unknown', async () => {
    const fixture = new Fixture();
    fixture.store.faults.isSilent = true;
    const startMs = fixture.clock.getMonotonicMs();
    const response = await fixture.request('POST', JOB_PATH, '{}');
    expect(response.status).to.equal(504);
    const durationMs = fixture.clock.getMonotonicMs() - startMs;
    expect(durationMs).to.be.lessThan(1_000);
  });

  it('shows the number of waiting jobs only while the coordinator status is current', async () => {
    const fixture = new Fixture();
    expect((await fixture.request('GET', '/bookings/')).status).to.equal(503);
    fixture.setLoad(0, 4);
    const shown = await fixture.request('GET', '/bookings/');
    expect(await shown.json()).to.deep.equal({waitingJobs: 4});
    fixture.status = {...fixture.status!, ageMs: 2_500};
    expect((await fixture.request('GET', '/bookings/')).status).to.equal(503);
  });
});
