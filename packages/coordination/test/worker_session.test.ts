import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  LeaseReport,
  RefusalReason,
  WorkerRecord,
} from '@mustardlug/platform/job_worker_client';
import {expect} from 'chai';
import {AssignedRun} from '../src/worker_load.js';
import {SessionListener, WorkerSession} from '../src/worker_session.js';
import {ScriptedJobWorkerClient} from './scripted_job_worker_client.js';
import {addTestRun} from './test_runs.js';

const PROCESS_START_MS = 1;

const RECORD: WorkerRecord = {
  workerId: 'worker-1',
  address: 'worker-1:80',
  serviceName: 'service',
  failureDomain: 'north-a',
  isDraining: false,
  capacity: {cpuMillis: 8_000, memoryMb: 64_000, accelerators: 0},
  labels: [],
  rack: 'rack-1',
  startMs: PROCESS_START_MS,
};

/** Time in which a scripted command, its repetitions and a renewal complete. */
const SETTLE_MS = 1_000;

/** Time in which a renewal completes and the next stop command is not due yet. */
const RENEWAL_MS = 50;

function createReport(fields: Partial<LeaseReport> = {}): LeaseReport {
  const startMs = PROCESS_START_MS;
  return {clockMs: 0, startMs, running: [], ended: [], ...fields};
}

/** A session with one assigned run, and the runs that it released. */
class SessionFixture {
  readonly clock = VirtualClock.create();
  readonly client = ScriptedJobWorkerClient.create();
  readonly releasedRuns: AssignedRun[] = [];
  readonly session: WorkerSession;
  readonly assigned: AssignedRun;

  private constructor() {
    const release = (_session: WorkerSession, assigned: AssignedRun): void => {
      this.releasedRuns.push(assigned);
    };
    const listener: SessionListener = {
      onRunEnded: () => undefined,
      onRunLost: release,
      onReport: () => undefined,
      onStartRefused: () => undefined,
      onRunNotStarted: assigned => this.releasedRuns.push(assigned),
      onProcessRestarted: () => undefined,
      onUnknownRun: () => undefined,
      onCommandUnanswered: () => undefined,
      onFenced: () => undefined,
    };
    this.session = WorkerSession.create({
      clock: this.clock,
      client: this.client,
      listener,
      fencingToken: 1,
      record: RECORD,
      maxLeaseMs: 10_000,
      isTermConfirmed: () => true,
      previousTermTimeoutMs: 0,
    });
    this.assigned = addTestRun(this.session.load, {});
    this.assigned.run.isConfirmed = false;
    this.assigned.commandResponseMs = undefined;
  }

  static create(): SessionFixture {
    return new SessionFixture();
  }

  /** Lets the worker report and waits until the session has applied the report. */
  async report(fields: Partial<LeaseReport> = {}): Promise<void> {
    this.client.report = createReport(fields);
    await this.clock.advance(SETTLE_MS);
  }
}

describe('WorkerSession', () => {
  describe('startRun', () => {
    const refusals: RefusalReason[] = ['unhealthy', 'no-room', 'no-ticket'];
    for (const refusal of refusals) {
      it(`releases a run whose only start command was refused: ${refusal}`, async () => {
        const {session, client, clock, assigned, releasedRuns} =
          SessionFixture.create();
        client.startResponses.push(refusal);
        void session.startRun(assigned);
        await clock.advance(SETTLE_MS);
        expect(releasedRuns).to.deep.equal([assigned]);
        expect(client.stopCommands).to.be.empty;
      });

      it(`does not release a run that an earlier start command without response may still start: ${refusal}`, async () => {
        const fixture = SessionFixture.create();
        const {session, client, clock, assigned, releasedRuns} = fixture;
        client.startResponses.push('none', refusal);
        client.stopResponses.push('unhealthy', 'none', 'done');
        void session.run();
        await fixture.report();
        void session.startRun(assigned);
        await clock.advance(RENEWAL_MS);
        expect(releasedRuns).to.be.empty;
        expect(client.stopCommands).to.have.length(1);
        await clock.advance(SETTLE_MS);
        expect(client.stopCommands).to.have.length(3);
        expect(releasedRuns).to.deep.equal([assigned]);
        session.stop();
      });
    }

    it('does not start a run on a worker that has begun to drain', async () => {
      const {session, client, clock, assigned, releasedRuns} =
        SessionFixture.create();
      session.setRecord({...RECORD, isDraining: true});
      void session.startRun(assigned);
      await clock.advance(SETTLE_MS);
      expect(client.startCommands).to.be.empty;
      expect(releasedRuns).to.deep.equal([assigned]);
    });

    it('does not repeat a start command on a worker that has begun to drain', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned, releasedRuns} = fixture;
      client.startResponses.push('none');
      void session.run();
      await fixture.report();
      void session.startRun(assigned);
      session.setRecord({...RECORD, isDraining: true});
      await clock.advance(SETTLE_MS);
      expect(client.startCommands).to.have.length(1);
      expect(client.stopCommands).to.have.length(1);
      expect(releasedRuns).to.deep.equal([assigned]);
      session.stop();
    });

    it('does not start a run on a process that has registered since the placement', async () => {
      const {session, client, clock, assigned} = SessionFixture.create();
      session.setRecord({
        ...RECORD,
        labels: ['other'],
        startMs: PROCESS_START_MS + 1,
      });
      void session.startRun(assigned);
      await clock.advance(SETTLE_MS);
      expect(client.startCommands).to.be.empty;
    });

    it('does not stop a run that the worker lists because a repetition was refused', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned} = fixture;
      client.startResponses.push('none', 'unhealthy');
      void session.run();
      await fixture.report();
      const {taskName} = assigned;
      const {runNumber} = assigned.run;
      client.report = createReport({
        running: [
          {taskName, runNumber, checkpoint: '', progressPercent: 1, usage: 0},
        ],
      });
      void session.startRun(assigned);
      await clock.advance(SETTLE_MS);
      expect(assigned.run.isConfirmed).to.equal(true);
      expect(client.stopCommands).to.be.empty;
      session.stop();
    });

    it('releases a run whose stops are all refused once its start has lapsed', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned, releasedRuns} = fixture;
      client.startResponses.push('none', 'unhealthy');
      for (let count = 0; count < 200; count++)
        client.stopResponses.push('unhealthy');
      void session.run();
      await fixture.report();
      void session.startRun(assigned);
      for (let second = 1; second <= 20; second++)
        await fixture.report({clockMs: second * 1_000});
      expect(clock.getMonotonicMs()).to.be.above(15_000);
      expect(releasedRuns).to.deep.equal([assigned]);
      session.stop();
    });
  });
});
