import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {MAX_CHECKPOINT_BYTES} from '@mustardlug/jobs/job_state';
import {
  LeaseRenewal,
  LeaseReport,
  RefusalReason,
  RunningRun,
  WorkerRecord,
} from '@mustardlug/platform/job_worker_client';
import {expect} from 'chai';
import {LeaseEnd} from '../src/lease_end.js';
import {AssignedRun} from '../src/worker_load.js';
import {
  MAX_LEASE_VALIDITY_MS,
  SessionListener,
  WorkerSession,
} from '../src/worker_session.js';
import {ScriptedJobWorkerClient} from './scripted_job_worker_client.js';
import {OwnDelay} from '../src/own_delay.js';
import {StartWindow} from '../src/start_window.js';
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

/** Capacity that is too small for any run. */
const SMALL_CAPACITY = {cpuMillis: 1, memoryMb: 64_000, accelerators: 0};

/** Time in which a scripted command, its repetitions and a renewal complete. */
const SETTLE_MS = 1_000;

const UNKNOWN_RUN: RunningRun = {
  taskName: '000000000000ffff.0.0.0',
  runNumber: 7,
  checkpoint: '',
  progressPercent: 1,
  usage: 0,
};

/** Time after which a worker counts as not responding. */
const SILENCE_MS = 2_500;

/** Time in which a renewal without a response is repeated. */
const RENEWAL_RETRY_MS = 200;

/** Time in which a renewal completes and the next stop command is not due yet. */
const RENEWAL_MS = 50;

function createReport(fields: Partial<LeaseReport> = {}): LeaseReport {
  const startMs = PROCESS_START_MS;
  return {clockMs: 0, startMs, running: [], ended: [], ...fields};
}

function createRunning({taskName, run}: AssignedRun): RunningRun {
  return {...UNKNOWN_RUN, taskName, runNumber: run.runNumber};
}

/** A session with one assigned run, and the runs that it released. */
class SessionFixture {
  readonly clock = VirtualClock.create();
  readonly client = ScriptedJobWorkerClient.create();
  readonly releasedRuns: AssignedRun[] = [];
  /** Run that the listener assigns when the worker reports an unknown one. */
  reportedRun: AssignedRun | undefined;
  readonly provenRuns: AssignedRun[] = [];
  readonly omittedCheckpointLengths: number[] = [];
  fencedCount = 0;
  /** Expiry of the leases at each suspension. */
  readonly suspendedLeaseEndsMs: number[] = [];
  /** End of the leases at each first response. */
  readonly firstLeaseEnds: LeaseEnd[] = [];
  /** By how much each restart extended the leases. */
  readonly restartExtensionsMs: number[] = [];
  /** End of the leases after each restart. */
  readonly restartLeaseEndsMs: number[] = [];
  /** Number of each run that is listed by another process, the process that it was placed on, and that one. */
  readonly changedProcesses: number[][] = [];
  /** Runs whose start was withheld because of an evacuation. */
  readonly withheldRuns: AssignedRun[] = [];
  readonly evacuatedDomains = new Set<string>();
  areEvacuationsCurrent = true;
  areRegistrationsCurrent = true;
  isStoreResponding = true;
  isTermConfirmed = true;
  /** Monotonic time by which all leases of the term must have expired. */
  leaseLimitMs = Infinity;
  readonly session: WorkerSession;
  readonly assigned: AssignedRun;

  private constructor(leaseBoundDelayMs: number | undefined) {
    const release = (_session: WorkerSession, assigned: AssignedRun): void => {
      this.releasedRuns.push(assigned);
    };
    const listener: SessionListener = {
      onRunEnded: () => undefined,
      canRecordEndOf: () => true,
      onRunLost: release,
      onReport: () => undefined,
      onWorkerLost: () => undefined,
      onRunProven: assigned => this.provenRuns.push(assigned),
      onStartRefused: () => undefined,
      onStartWithheld: (_session, assigned) => this.withheldRuns.push(assigned),
      onRunNotStarted: assigned => this.releasedRuns.push(assigned),
      onFirstResponse: session =>
        this.firstLeaseEnds.push(session.getLeaseEnd()),
      onProcessRestarted: (session, _previousStartMs, previousLeaseEndMs) => {
        const leaseEndMs = session.getLeaseEndMs();
        this.restartExtensionsMs.push(leaseEndMs - previousLeaseEndMs);
        this.restartLeaseEndsMs.push(leaseEndMs);
      },
      onRunProcessChanged: (_session, {run}, {startMs}, placedStartMs) =>
        this.changedProcesses.push([run.runNumber, placedStartMs, startMs]),
      onCheckpointOmitted: (_assigned, length) =>
        this.omittedCheckpointLengths.push(length),
      onUnknownRun: () => this.reportedRun,
      onCommandUnanswered: () => undefined,
      onFenced: () => this.fencedCount++,
      onFencingTokensUsedUp: () => undefined,
      onLongLease: () => undefined,
      onOtherClock: () => undefined,
      onLeasesSuspended: (_session, leaseEndMs) =>
        this.suspendedLeaseEndsMs.push(leaseEndMs),
    };
    this.session = WorkerSession.create({
      clock: this.clock,
      client: this.client,
      listener,
      firstFencingToken: 1,
      lastFencingToken: 1_000,
      getLongLeaseEndMs: () => -Infinity,
      record: RECORD,
      maxLeaseMs: 10_000,
      isTermConfirmed: () => this.isTermConfirmed,
      areRegistrationsCurrent: () => this.areRegistrationsCurrent,
      evacuations: {
        isEvacuated: domain => this.evacuatedDomains.has(domain),
        isCurrent: () => this.areEvacuationsCurrent,
      },
      isStoreResponding: () => this.isStoreResponding,
      previousLeaseEndMs: this.clock.getMonotonicMs() + MAX_LEASE_VALIDITY_MS,
      getLeaseLimitMs: () => this.leaseLimitMs,
      startWindow: StartWindow.create(this.clock),
      ownDelay: OwnDelay.create(this.clock),
      leaseBoundMs:
        leaseBoundDelayMs && this.clock.getMonotonicMs() + leaseBoundDelayMs,
    });
    this.assigned = addTestRun(this.session.load, {});
    this.assigned.run.isConfirmed = false;
    this.assigned.commandResponseMs = undefined;
  }

  static create(leaseBoundDelayMs?: number): SessionFixture {
    return new SessionFixture(leaseBoundDelayMs);
  }

  /** Gets the CPU limits that were sent to the worker. */
  getSentLimits(): number[] {
    return this.client.cpuLimitCommands.map(({percent}) => percent);
  }

  /** Lets the worker report and waits until the session has applied the report. */
  async report(fields: Partial<LeaseReport> = {}): Promise<void> {
    this.client.report = createReport(fields);
    await this.clock.advance(SETTLE_MS);
  }
}

function hasLease({leaseUntilMs}: LeaseRenewal): boolean {
  return leaseUntilMs !== undefined;
}

describe('WorkerSession', () => {
  it('names the first reason that excludes the worker from new runs', async () => {
    const fixture = SessionFixture.create();
    const {session, client} = fixture;
    void session.run();
    await fixture.clock.advance(SILENCE_MS);
    expect(session.findExclusion()).to.equal('unresponsive');
    await fixture.report();
    expect(session.findExclusion()).to.equal('leases-suspended');
    session.resumeLeases(session.getLeaseSuspension() ?? -1);
    expect(session.findExclusion()).to.equal(undefined);
    session.setRecord({...RECORD, startMs: PROCESS_START_MS + 1});
    expect(session.findExclusion()).to.equal('other-process');
    fixture.areEvacuationsCurrent = false;
    expect(session.findExclusion()).to.equal('evacuations-unknown');
    fixture.evacuatedDomains.add(RECORD.failureDomain);
    expect(session.findExclusion()).to.equal('evacuated');
    fixture.evacuatedDomains.clear();
    fixture.areEvacuationsCurrent = true;
    session.setRecord({...RECORD, isDraining: true});
    expect(session.findExclusion()).to.equal('draining');
    session.markUnregistered();
    expect(session.findExclusion()).to.equal('not-registered');
    session.setRecord(RECORD);
    client.report = undefined;
    await fixture.clock.advance(SETTLE_MS);
    expect(session.findExclusion()).to.equal('unresponsive');
    const leaseEndMs = session.getLeaseEndMs();
    expect(leaseEndMs).to.be.greaterThan(fixture.clock.getMonotonicMs());
    await fixture.clock.advance(SETTLE_MS);
    expect(session.getLeaseEndMs()).to.equal(leaseEndMs);
    session.stop();
  });

  describe('telling what determines the end of its leases', () => {
    it('reports the first response in a term once, with the limit that it sets', async () => {
      const fixture = SessionFixture.create();
      const {session, clock} = fixture;
      const previousEndMs = clock.getMonotonicMs() + 3 * MAX_LEASE_VALIDITY_MS;
      session.extendLeaseEnd(previousEndMs, 'earlier-terms');
      void session.run();
      await fixture.report();
      await fixture.report();
      expect(session.getLeaseEnd().source).to.equal('grant');
      expect(session.getLeaseEnd().unlimitedEndMs).to.equal(previousEndMs);
      expect(fixture.firstLeaseEnds).to.have.length(1);
      const [firstEnd] = fixture.firstLeaseEnds;
      expect(firstEnd.source).to.equal('first-response');
      expect(firstEnd.endMs).to.be.below(previousEndMs);
      expect(firstEnd.unlimitedEndMs).to.equal(previousEndMs);
      session.stop();
    });

    it('reports by how much a restart extends the leases', async () => {
      const fixture = SessionFixture.create();
      const {session, client} = fixture;
      void session.run();
      await fixture.report({clockMs: 60_000});
      client.report = undefined;
      await fixture.clock.advance(RENEWAL_MS);
      const previousEndMs = session.getLeaseEndMs();
      client.report = createReport({startMs: PROCESS_START_MS + 1});
      await fixture.clock.advance(RENEWAL_RETRY_MS);
      expect(session.getLeaseEnd().source).to.equal('other-process');
      const [restartEndMs] = fixture.restartLeaseEndsMs;
      expect(fixture.restartExtensionsMs).to.deep.equal([
        restartEndMs - previousEndMs,
      ]);
      expect(fixture.restartExtensionsMs[0]).to.be.above(0);
      // The next report shows that late calls are rejected from then on.
      expect(session.getLeaseEndMs()).to.be.within(
        previousEndMs,
        restartEndMs - 1,
      );
      session.stop();
    });

    it('reports once that a later process lists a run', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned} = fixture;
      void session.run();
      await fixture.report();
      client.startResponses.push('none');
      void session.startRun(assigned);
      await clock.advance(0);
      // The first report of the next process precedes its execution of the start command.
      const startMs = PROCESS_START_MS + 1;
      for (let count = 0; count < 50; count++)
        client.stopResponses.push('none');
      await fixture.report({startMs});
      expect(fixture.changedProcesses).to.deep.equal([]);
      const running = [createRunning(assigned)];
      await fixture.report({startMs, running});
      await fixture.report({startMs, running});
      const {runNumber} = assigned.run;
      expect(fixture.changedProcesses).to.deep.equal([
        [runNumber, PROCESS_START_MS, startMs],
      ]);
      session.stop();
    });
  });

  // One long checkpoint cost its worker, and the work of its neighbours there.
  it('keeps the previous checkpoint of a task if the next one is too large, and its neighbours theirs', async () => {
    const fixture = SessionFixture.create();
    const {session, assigned} = fixture;
    const neighbour = addTestRun(session.load, {});
    void session.run();
    const reportCheckpoints = (checkpoint: string, other: string) =>
      fixture.report({
        running: [
          {...createRunning(assigned), checkpoint},
          {...createRunning(neighbour), checkpoint: other},
        ],
      });
    await reportCheckpoints('a-1', 'b-1');
    await reportCheckpoints('x'.repeat(MAX_CHECKPOINT_BYTES), 'b-2');
    expect(assigned.task.checkpoint).to.equal('a-1');
    expect(neighbour.task.checkpoint).to.equal('b-2');
    expect(fixture.omittedCheckpointLengths).to.include(MAX_CHECKPOINT_BYTES);
    // JSON needs six bytes for each of these characters.
    await reportCheckpoints('\u0001'.repeat(MAX_CHECKPOINT_BYTES / 4), 'b-3');
    expect(assigned.task.checkpoint).to.equal('a-1');
    const kept = 'y'.repeat(MAX_CHECKPOINT_BYTES - 2);
    await reportCheckpoints(kept, 'b-4');
    expect(assigned.task.checkpoint).to.equal(kept);
    expect(fixture.releasedRuns).to.deep.equal([]);
    session.stop();
  });

  describe('near the limit of its leases', () => {
    const REMAINING_MS = 2_000;

    it('grants no lease beyond the limit of the term, by renewals, starts and refused starts', async () => {
      const fixture = SessionFixture.create();
      const {session, client, assigned, clock} = fixture;
      void session.run();
      await fixture.report();
      const limitMs = clock.getMonotonicMs() + REMAINING_MS;
      fixture.leaseLimitMs = limitMs;
      client.renewals.length = 0;
      client.startResponses.push('lapsed', 'no-room');
      // The worker's clock reads 0 in each report, and runs 2 % slow.
      const reportedMs = clock.getMonotonicMs();
      void session.startRun(assigned);
      await clock.advance(10);
      const grants = [...client.startCommands, ...client.renewals];
      const leases = grants.map(({leaseUntilMs = 0}) => leaseUntilMs);
      expect(client.startCommands).to.have.length(2);
      for (const leaseUntilMs of leases)
        expect(reportedMs + leaseUntilMs / 0.98).to.be.at.most(limitMs);
      expect(Math.max(...leases)).to.be.above(REMAINING_MS / 2);
      session.stop();
    });
  });

  describe('applying a report', () => {
    it('excludes the worker from new runs while it lists a run of an unknown task', async () => {
      const fixture = SessionFixture.create();
      const {session, client} = fixture;
      void session.run();
      await fixture.report();
      expect(session.isUsable()).to.equal(true);
      await fixture.report({running: [UNKNOWN_RUN]});
      expect(session.isUsable()).to.equal(false);
      expect(session.findExclusion()).to.equal('unknown-runs');
      expect(client.stopCommands[0].taskName).to.equal(UNKNOWN_RUN.taskName);
      await fixture.report();
      expect(session.isUsable()).to.equal(true);
      session.stop();
    });

    for (const hasOtherRun of [false, true]) {
      const verb = hasOtherRun ? 'stops' : 'keeps';
      const task = hasOtherRun ? 'that has another' : 'without any other';
      it(`${verb} a run that is not assigned, of a task ${task}`, async () => {
        const fixture = SessionFixture.create();
        const {session, client, assigned} = fixture;
        const {task, run} = assigned;
        session.load.removeRun(assigned);
        const reported = {...run, runNumber: UNKNOWN_RUN.runNumber};
        task.runs = hasOtherRun ? [run, reported] : [reported];
        fixture.reportedRun = {...assigned, run: reported};
        const {taskName} = assigned;
        void session.run();
        await fixture.report({running: [{...UNKNOWN_RUN, taskName}]});
        expect(session.load.getRunCount()).to.equal(1);
        expect(client.stopCommands.length).to.equal(hasOtherRun ? 1 : 0);
        session.stop();
      });
    }

    it('of a later process disregards the response to an earlier stop command', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned, releasedRuns} = fixture;
      void session.run();
      await fixture.report();
      client.startResponses.push('none');
      void session.startRun(assigned);
      let openGate = (): void => undefined;
      client.stopGate = new Promise(resolve => {
        openGate = resolve;
      });
      client.stopResponses.push('done');
      void session.stopRun(assigned);
      await clock.advance(0);
      for (let count = 0; count < 50; count++)
        client.stopResponses.push('none');
      await fixture.report({startMs: PROCESS_START_MS + 1});
      openGate();
      await clock.advance(SETTLE_MS);
      expect(releasedRuns).to.be.empty;
      client.stopResponses.length = 0;
      await clock.advance(SETTLE_MS);
      expect(releasedRuns).to.deep.equal([assigned]);
      session.stop();
    });
  });

  it('proves a run by the time for which the worker lists it, not by that since its placement', async () => {
    const fixture = SessionFixture.create();
    const {session, assigned, provenRuns} = fixture;
    const {taskName, run} = assigned;
    const running = [{...UNKNOWN_RUN, taskName, runNumber: run.runNumber}];
    void session.run();
    await fixture.report({clockMs: 1_000});
    await fixture.report({clockMs: 2_000, running});
    await fixture.report({clockMs: 2_490, running});
    expect(provenRuns).to.be.empty;
    await fixture.report({clockMs: 2_500, running});
    expect(provenRuns).to.deep.equal([assigned]);
    session.stop();
  });

  it('uses no fencing token if the registration of a former process is repeated', async () => {
    const fixture = SessionFixture.create();
    const {session} = fixture;
    void session.run();
    await fixture.report();
    await fixture.report({startMs: PROCESS_START_MS + 1});
    const fencingToken = session.getFencingToken();
    for (let count = 0; count < 3; count++) {
      session.setRecord({...RECORD});
      await fixture.report({startMs: PROCESS_START_MS + 1});
    }
    expect(session.getFencingToken()).to.equal(fencingToken);
    session.stop();
  });

  describe('a response to a start command', () => {
    for (const refusal of [undefined, 'superseded', 'no-room'] as const) {
      it(`tells that another process holds the longest lease if its clock is behind (${refusal ?? 'done'})`, async () => {
        const fixture = SessionFixture.create();
        const {session, client, clock, assigned} = fixture;
        void session.run();
        await fixture.report({clockMs: 60_000});
        const fencingToken = session.getFencingToken();
        if (refusal !== undefined) client.startResponses.push(refusal);
        client.startClockMs = 700;
        const answeredMs = clock.getMonotonicMs();
        void session.startRun(assigned);
        await clock.advance(0);
        expect(session.getFencingToken()).to.equal(fencingToken + 1);
        expect(session.findExclusion()).to.equal('unfenced-process');
        expect(session.getLeaseEndMs()).to.be.at.least(answeredMs + 10_000);
        session.stop();
      });
    }

    it('tells nothing if its clock is that of the process', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned} = fixture;
      void session.run();
      await fixture.report({clockMs: 60_000});
      const fencingToken = session.getFencingToken();
      client.startClockMs = 61_000;
      void session.startRun(assigned);
      await clock.advance(0);
      expect(session.getFencingToken()).to.equal(fencingToken);
      expect(session.isProcessFenced()).to.equal(true);
      session.stop();
    });
  });

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

    it('does not start a run for which the worker has no room any more', async () => {
      const {session, client, clock, assigned, releasedRuns} =
        SessionFixture.create();
      session.setRecord({...RECORD, capacity: SMALL_CAPACITY});
      void session.startRun(assigned);
      await clock.advance(SETTLE_MS);
      expect(client.startCommands).to.be.empty;
      expect(releasedRuns).to.deep.equal([assigned]);
    });

    it('does not repeat a start command for which the worker has no room any more', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned, releasedRuns} = fixture;
      client.startResponses.push('none');
      void session.run();
      await fixture.report();
      void session.startRun(assigned);
      session.setRecord({...RECORD, capacity: SMALL_CAPACITY});
      await clock.advance(SETTLE_MS);
      expect(client.startCommands).to.have.length(1);
      expect(client.stopCommands).to.have.length(1);
      expect(releasedRuns).to.deep.equal([assigned]);
      session.stop();
    });

    it('counts a run that is being stopped against a capacity that has shrunk', async () => {
      const {session, client, clock, assigned} = SessionFixture.create();
      const stopping = addTestRun(session.load, {});
      await session.stopRun(stopping);
      const {needs} = assigned.step.spec;
      session.setRecord({...RECORD, capacity: needs});
      void session.startRun(assigned);
      await clock.advance(SETTLE_MS);
      expect(client.startCommands).to.be.empty;
    });

    it('starts the runs that still fit on a worker that has shrunk', async () => {
      const {session, client, clock, assigned, releasedRuns} =
        SessionFixture.create();
      const other = addTestRun(session.load, {});
      other.run.isConfirmed = false;
      session.setRecord({...RECORD, capacity: assigned.step.spec.needs});
      void session.startRun(assigned);
      void session.startRun(other);
      await clock.advance(SETTLE_MS);
      expect(client.startCommands).to.have.length(1);
      expect(releasedRuns).to.have.length(1);
    });

    it('waits until the registrations are current', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned} = fixture;
      fixture.areRegistrationsCurrent = false;
      void session.startRun(assigned);
      await clock.advance(SETTLE_MS);
      expect(client.startCommands).to.be.empty;
      fixture.areRegistrationsCurrent = true;
      await clock.advance(SETTLE_MS);
      expect(client.startCommands).to.have.length(1);
    });

    it('releases a run at once whose domain was evacuated after the placement, and counts no failure', async () => {
      // Guards against a start in the domain, and against a pause of the worker after the evacuation.
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned, releasedRuns} = fixture;
      void session.run();
      await fixture.report();
      fixture.evacuatedDomains.add(RECORD.failureDomain);
      fixture.areRegistrationsCurrent = false;
      void session.startRun(assigned);
      await clock.advance(0);
      expect(client.startCommands).to.be.empty;
      expect(releasedRuns).to.deep.equal([assigned]);
      expect(fixture.withheldRuns).to.deep.equal([assigned]);
      expect(assigned.task.unstartedOn.size).to.equal(0);
      expect(session.load.getRunCount()).to.equal(0);
      fixture.evacuatedDomains.clear();
      session.resumeLeases(session.getLeaseSuspension() ?? -1);
      expect(session.findExclusion()).to.equal(undefined);
      session.stop();
    });

    it('sends no start while the evacuations are not known, and releases the run if its domain is evacuated', async () => {
      // Guards against a start during an evacuation that the node has not read yet.
      for (const isEvacuated of [false, true]) {
        const fixture = SessionFixture.create();
        const {session, client, clock, assigned, releasedRuns} = fixture;
        fixture.areEvacuationsCurrent = false;
        void session.startRun(assigned);
        await clock.advance(SETTLE_MS);
        expect(client.startCommands).to.be.empty;
        expect(releasedRuns).to.be.empty;
        if (isEvacuated) fixture.evacuatedDomains.add(RECORD.failureDomain);
        fixture.areEvacuationsCurrent = true;
        await clock.advance(SETTLE_MS);
        expect(client.startCommands).to.have.length(isEvacuated ? 0 : 1);
        expect(releasedRuns).to.have.length(isEvacuated ? 1 : 0);
      }
    });

    it('does not repeat a start without a response in an evacuated domain', async () => {
      // Guards against a repeated start, and against the release of a run that may still start.
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned, releasedRuns} = fixture;
      void session.run();
      await fixture.report();
      client.startResponses.push('none');
      client.stopResponses.push('none');
      void session.startRun(assigned);
      await clock.advance(0);
      expect(client.startCommands).to.have.length(1);
      fixture.evacuatedDomains.add(RECORD.failureDomain);
      await clock.advance(RENEWAL_MS);
      expect(releasedRuns).to.be.empty;
      await clock.advance(SETTLE_MS);
      expect(client.startCommands).to.have.length(1);
      expect(client.stopCommands).to.have.length(2);
      expect(releasedRuns).to.deep.equal([assigned]);
      expect(assigned.task.unstartedOn.size).to.equal(0);
      session.stop();
    });

    it('follows the domain of the registration when a worker moves', async () => {
      // Guards against starts on a worker that has moved into an evacuated domain.
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned} = fixture;
      fixture.evacuatedDomains.add('south-b');
      session.setRecord({...RECORD, failureDomain: 'south-b'});
      void session.startRun(assigned);
      await clock.advance(SETTLE_MS);
      expect(client.startCommands).to.be.empty;
      expect(session.isEvacuated()).to.equal(true);
      session.setRecord(RECORD);
      expect(session.isEvacuated()).to.equal(false);
    });

    it('does not start a run that was stopped before the registrations were current', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned} = fixture;
      fixture.areRegistrationsCurrent = false;
      void session.startRun(assigned);
      void session.stopRun(assigned);
      await clock.advance(SETTLE_MS);
      fixture.areRegistrationsCurrent = true;
      await clock.advance(SETTLE_MS);
      expect(client.startCommands).to.be.empty;
    });

    it('does not start a run on a worker that lists a run of an unknown task', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned, releasedRuns} = fixture;
      void session.run();
      await fixture.report({running: [UNKNOWN_RUN]});
      void session.startRun(assigned);
      await clock.advance(RENEWAL_MS);
      expect(client.startCommands).to.be.empty;
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

    it('does not release a run before the latest lease of its start commands has expired', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned, releasedRuns} = fixture;
      for (let count = 0; count < 200; count++)
        client.stopResponses.push('unhealthy');
      void session.run();
      await fixture.report({clockMs: 1_000});
      client.startResponses.push('none', 'unhealthy');
      let openGate = (): void => undefined;
      client.startGate = new Promise(resolve => {
        openGate = resolve;
      });
      void session.startRun(assigned);
      // A report that was delayed on its way sets the estimate of the worker's clock back.
      await fixture.report({clockMs: 500});
      openGate();
      await clock.advance(SETTLE_MS);
      const leases = client.startCommands.map(each => each.leaseUntilMs);
      expect(leases[1]).to.be.below(leases[0]);
      await fixture.report({clockMs: leases[0] - 1});
      expect(releasedRuns).to.be.empty;
      await fixture.report({clockMs: leases[0] + 1});
      expect(releasedRuns).to.deep.equal([assigned]);
      session.stop();
    });
  });

  describe('setRunCpuLimit', () => {
    it('repeats the command until the worker responds', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned} = fixture;
      client.cpuLimitResponses.push('none', 'unhealthy', 'none', 'done');
      void session.setRunCpuLimit(assigned, 40);
      await clock.advance(RENEWAL_MS);
      expect(fixture.getSentLimits()).to.deep.equal([40]);
      await clock.advance(SETTLE_MS);
      expect(fixture.getSentLimits()).to.deep.equal([40, 40, 40, 40]);
      await clock.advance(SETTLE_MS);
      expect(client.cpuLimitCommands).to.have.length(4);
    });

    it('repeats only the newest limit of a run', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned} = fixture;
      client.cpuLimitResponses.push('none', 'none', 'done');
      void session.setRunCpuLimit(assigned, 40);
      await clock.advance(RENEWAL_MS);
      void session.setRunCpuLimit(assigned, 16);
      void session.setRunCpuLimit(assigned, 0);
      await clock.advance(SETTLE_MS);
      expect(fixture.getSentLimits()).to.deep.equal([40, 0, 0]);
      expect(assigned.run.cpuLimitPercent).to.equal(0);
    });

    it('sends a limit that was set while an earlier command was in progress', async () => {
      const fixture = SessionFixture.create();
      const {session, clock, assigned} = fixture;
      void session.setRunCpuLimit(assigned, 40);
      void session.setRunCpuLimit(assigned, 0);
      void session.setRunCpuLimit(assigned, 50);
      await clock.advance(SETTLE_MS);
      expect(fixture.getSentLimits()).to.deep.equal([40, 50]);
      void session.setRunCpuLimit(assigned, 100);
      await clock.advance(SETTLE_MS);
      expect(fixture.getSentLimits()).to.deep.equal([40, 50, 100]);
    });

    it('sends a limit that was set while the response to an earlier command was processed', async () => {
      for (let microtasks = 0; microtasks < 10; microtasks++) {
        const fixture = SessionFixture.create();
        const {session, clock, assigned} = fixture;
        void session.setRunCpuLimit(assigned, 40);
        for (let count = 0; count < microtasks; count++)
          await Promise.resolve();
        void session.setRunCpuLimit(assigned, 0);
        await clock.advance(SETTLE_MS);
        expect(fixture.getSentLimits()).to.deep.equal([40, 0]);
      }
    });

    it('repeats a command whose response may be from an earlier worker process', async () => {
      const fixture = SessionFixture.create();
      const {session, clock, assigned} = fixture;
      void session.setRunCpuLimit(assigned, 40);
      assigned.run.workerStartMs = PROCESS_START_MS + 1;
      await clock.advance(SETTLE_MS);
      expect(fixture.getSentLimits()).to.deep.equal([40, 40]);
    });

    it('sends the limits of different runs independently', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned} = fixture;
      const other = addTestRun(session.load, {});
      client.cpuLimitResponses.push('none', 'done', 'done');
      void session.setRunCpuLimit(assigned, 40);
      void session.setRunCpuLimit(other, 16);
      await clock.advance(SETTLE_MS);
      expect(fixture.getSentLimits()).to.deep.equal([40, 16, 40]);
    });

    it('does not repeat the command once the run is no longer assigned', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned} = fixture;
      client.cpuLimitResponses.push('none', 'none', 'none');
      void session.setRunCpuLimit(assigned, 40);
      await clock.advance(RENEWAL_MS);
      session.load.removeRun(assigned);
      await clock.advance(SETTLE_MS);
      expect(client.cpuLimitCommands).to.have.length(1);
    });

    it('does not repeat the command once the session is stopped', async () => {
      const {session, client, clock, assigned} = SessionFixture.create();
      client.cpuLimitResponses.push('none', 'none', 'none');
      void session.setRunCpuLimit(assigned, 40);
      await clock.advance(RENEWAL_MS);
      session.stop();
      await clock.advance(SETTLE_MS);
      expect(client.cpuLimitCommands).to.have.length(1);
    });

    const finalRefusals: RefusalReason[] = [
      'fenced',
      'superseded',
      'other-lifetime',
      'invalid',
    ];
    for (const refusal of finalRefusals) {
      it(`does not repeat a refused command: ${refusal}`, async () => {
        const fixture = SessionFixture.create();
        const {session, client, clock, assigned} = fixture;
        client.cpuLimitResponses.push('none', refusal);
        void session.setRunCpuLimit(assigned, 40);
        await clock.advance(SETTLE_MS);
        expect(client.cpuLimitCommands).to.have.length(2);
        expect(fixture.fencedCount).to.equal(refusal === 'fenced' ? 1 : 0);
      });
    }
  });

  it('stays usable after a renewal without a response', async () => {
    const fixture = SessionFixture.create();
    const {session, client, clock} = fixture;
    void session.run();
    await fixture.report();
    client.report = undefined;
    await clock.advance(RENEWAL_MS);
    expect(session.isUsable()).to.equal(true);
    await clock.advance(SILENCE_MS);
    expect(session.isUsable()).to.equal(false);
    session.stop();
  });

  describe('a worker that does not respond', () => {
    it('gets no lease until leases are resumed', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock, assigned} = fixture;
      const {taskName, run} = assigned;
      const running = [{...UNKNOWN_RUN, taskName, runNumber: run.runNumber}];
      void session.run();
      await fixture.report({running});
      const lastGrantMs = clock.getMonotonicMs();
      client.report = undefined;
      await clock.advance(SILENCE_MS);
      expect(fixture.suspendedLeaseEndsMs.length).to.equal(1);
      expect(fixture.suspendedLeaseEndsMs[0]).to.be.at.least(lastGrantMs);
      client.renewals.length = 0;
      await fixture.report({running});
      expect(session.isUsable()).to.equal(false);
      expect(client.renewals.some(hasLease)).to.equal(false);
      session.resumeLeases(session.getLeaseSuspension() ?? -1);
      await fixture.report({running});
      expect(session.isUsable()).to.equal(true);
      expect(client.renewals.some(hasLease)).to.equal(true);
      session.stop();
    });

    it('is not granted leases by the end of an earlier suspension', async () => {
      const fixture = SessionFixture.create();
      const {session, client, clock} = fixture;
      void session.run();
      await clock.advance(SILENCE_MS);
      const earlier = session.getLeaseSuspension() ?? -1;
      session.resumeLeases(earlier);
      await clock.advance(SILENCE_MS);
      session.resumeLeases(earlier);
      expect(session.getLeaseSuspension()).to.equal(earlier + 1);
      expect(client.renewals.some(hasLease)).to.equal(false);
      session.stop();
    });

    it('is sent no start command', async () => {
      const fixture = SessionFixture.create(SETTLE_MS);
      const {session, client, assigned, releasedRuns} = fixture;
      await session.startRun(assigned);
      expect(client.startCommands).to.deep.equal([]);
      expect(releasedRuns).to.deep.equal([assigned]);
    });

    it('keeps its runs at first although the stored bound of its leases has passed', async () => {
      const fixture = SessionFixture.create(1);
      const {session, clock, releasedRuns} = fixture;
      void session.run();
      await clock.advance(SETTLE_MS - RENEWAL_MS);
      expect(releasedRuns).to.deep.equal([]);
      await clock.advance(SETTLE_MS);
      expect(releasedRuns.length).to.equal(1);
      session.stop();
    });

    it('is granted leases while no bound of them can be stored', async () => {
      const fixture = SessionFixture.create();
      fixture.isStoreResponding = false;
      const {session, clock} = fixture;
      void session.run();
      await clock.advance(SILENCE_MS);
      expect(fixture.suspendedLeaseEndsMs).to.deep.equal([]);
      session.stop();
    });

    it('is granted no lease once the term is not confirmed', async () => {
      const fixture = SessionFixture.create();
      const {session, client} = fixture;
      void session.run();
      await fixture.report();
      fixture.isTermConfirmed = false;
      client.renewals.length = 0;
      await fixture.report();
      expect(client.renewals.length).to.be.above(1);
      expect(client.renewals.slice(1).some(hasLease)).to.equal(false);
      session.stop();
    });

    it('loses its runs when the stored bound of its leases has passed', async () => {
      const fixture = SessionFixture.create(SETTLE_MS);
      const {session, clock, assigned, releasedRuns} = fixture;
      void session.run();
      await clock.advance(SETTLE_MS - RENEWAL_MS);
      expect(releasedRuns).to.deep.equal([]);
      await clock.advance(SETTLE_MS);
      expect(releasedRuns).to.deep.equal([assigned]);
      session.stop();
    });
  });
});
