import {expect} from 'chai';
import {
  COORDINATOR_PART,
  SINGLE_ROW_KEY,
  TERM_TABLE,
} from '@mustardlug/coordination/tables';
import {JobWorkerModel} from '@mustardlug/standins/job_worker_model';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {HarnessNode, JobHarness} from '../src/job_harness.js';

/** Time after which the clock of a new process is behind by more than the longest lease. */
const UPTIME_MS = 15_000;

/** Time for which a worker is down. */
const DOWN_MS = 100;

/** Time in which all leases expire and interrupted tasks run again. */
const SETTLE_MS = 25_000;

/** Time within which what a test waits for must happen. */
const MAX_WAIT_MS = 15_000;

const SAMPLING_INTERVAL_MS = 1;

const WORKER_ID = 'worker-0';
const OTHER_ID = 'worker-1';

const NO_ROOM = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
const ROOM = {cpuMillis: 8_000, memoryMb: 64_000, accelerators: 0};

const TERM_ADDRESS = {
  table: TERM_TABLE,
  part: COORDINATOR_PART,
  key: SINGLE_ROW_KEY,
};

/** A worker that restarts, and another one that has room only once the first one is cut off. */
class Fleet {
  private readonly knownNodes: readonly HarnessNode[];

  private constructor(
    readonly harness: JobHarness,
    readonly worker: JobWorkerModel,
  ) {
    this.knownNodes = [...harness.nodes];
  }

  static async create(): Promise<Fleet> {
    const harness = JobHarness.create({
      nodes: 5,
      workers: 2,
      workerClockRate: 0.98,
    });
    harness.resizeWorker(OTHER_ID, NO_ROOM);
    for (const {linkFaults} of harness.nodes)
      linkFaults.reachesNextProcess = true;
    await harness.advance(UPTIME_MS);
    return new Fleet(harness, harness.workers.get(WORKER_ID)!);
  }

  getCoordinator(): HarnessNode {
    const coordinator = this.harness.getCoordinator();
    if (coordinator === undefined) throw new Error('no node coordinates');
    return coordinator;
  }

  async waitUntil(condition: () => boolean): Promise<void> {
    for (let ms = 0; ms < MAX_WAIT_MS; ms += SAMPLING_INTERVAL_MS) {
      if (condition()) return;
      await this.harness.advance(SAMPLING_INTERVAL_MS);
    }
    throw new Error(`not seen within ${MAX_WAIT_MS} ms: ${condition}`);
  }

  /** Starts a task that runs until it is stopped. */
  async startTask(count = 1): Promise<void> {
    const {harness, worker} = this;
    const steps = [createSampleStep(count, {isLongRunning: true})];
    await harness.submit(steps);
    await this.waitUntil(() => worker.getRunCount() >= count);
  }

  /** Executes the next call to the workers late; it gets no response. */
  async delayNext(
    fault: 'renewNextLate' | 'applyNextLate',
    lateMs: number,
  ): Promise<void> {
    const {linkFaults} = this.getCoordinator();
    linkFaults.lateMs = lateMs;
    linkFaults[fault] = 1;
    if (fault === 'applyNextLate') return;
    await this.waitUntil(() => linkFaults.renewNextLate === 0);
  }

  /** Restarts the worker, and waits until the coordinator has heard the next process. */
  async restart(registration?: 'outdated'): Promise<void> {
    const count = this.countEvents('worker-restarted');
    this.harness.restartWorker(WORKER_ID, {delayMs: DOWN_MS, registration});
    await this.harness.advance(DOWN_MS);
    await this.waitUntil(() => this.countEvents('worker-restarted') > count);
  }

  /** Restarts the worker, and waits until its task runs on the next process. */
  async restartAndRun(): Promise<void> {
    await this.restart();
    await this.waitUntil(() => this.worker.getRunCount() > 0);
  }

  /** Counts the events of all nodes that have ever run. */
  private countEvents(eventName: string): number {
    let count = 0;
    for (const node of this.knownNodes)
      count += getDetails(node, eventName).length;
    return count;
  }

  /** Cuts the power of the coordinator, and waits for its successor. */
  async takeOver(): Promise<void> {
    const count = this.countEvents('coordinator-elected');
    this.harness.powerOffNode(this.getCoordinator());
    await this.waitUntil(() => this.countEvents('coordinator-elected') > count);
  }

  /** Waits until a worker has executed a call of the current coordinator, and has responded. */
  async waitForResponse(): Promise<void> {
    const {workerClient} = this.getCoordinator();
    const count = workerClient.getCallCount(WORKER_ID);
    await this.waitUntil(
      () => workerClient.getCallCount(WORKER_ID) > count + 1,
    );
  }

  /** Cuts the worker off from all nodes; the other one gets room. */
  cut(): void {
    for (const {linkFaults} of this.harness.nodes)
      linkFaults.unreachableWorkers.add(WORKER_ID);
    this.harness.resizeWorker(OTHER_ID, ROOM);
  }

  isRunningElsewhere(): boolean {
    return this.harness.workers.get(OTHER_ID)!.getRunCount() > 0;
  }

  /** Cuts the worker off, and checks that its task runs elsewhere, and never twice. */
  async expectSingleRun(): Promise<void> {
    expect(this.worker.getRunCount()).to.be.above(0);
    this.cut();
    await this.harness.advance(SETTLE_MS);
    expect(this.harness.checker.violations).to.deep.equal([]);
    expect(this.isRunningElsewhere()).to.equal(true);
  }

  /** Replaces the term row by one that an earlier build has written. */
  setEarlierTerm(getTerm: (term: number) => number = term => term): number {
    const {store} = this.harness;
    const [row] = store.getTableRows(TERM_TABLE);
    const stored = JSON.parse(row.value.toString()) as {term: number};
    const term = getTerm(stored.term);
    store.put(TERM_ADDRESS, {
      term,
      holder: 'earlier',
      commitNumber: 1,
      keepsLeaseBounds: true,
    });
    return term;
  }
}

describe('a call to a former process of a worker', () => {
  it('gives the next process no lease if it renews one after the first report', async () => {
    const fleet = await Fleet.create();
    await fleet.startTask();
    await fleet.delayNext('renewNextLate', 4_000);
    await fleet.restartAndRun();
    await fleet.harness.advance(3_500);
    await fleet.expectSingleRun();
  });

  for (const reason of ['old', 'room'] as const)
    it(`gives the next process no lease if it is a start that is refused: ${reason}`, async () => {
      const fleet = await Fleet.create();
      await fleet.delayNext('applyNextLate', 4_000);
      await fleet.startTask();
      await fleet.restartAndRun();
      if (reason === 'room') fleet.worker.behavior.startRefusal = 'no-room';
      await fleet.harness.advance(3_000);
      await fleet.expectSingleRun();
    });

  it('gives no lease to the process after the next one', async () => {
    const fleet = await Fleet.create();
    await fleet.startTask();
    await fleet.delayNext('renewNextLate', 5_000);
    await fleet.restartAndRun();
    await fleet.delayNext('renewNextLate', 4_000);
    await fleet.restartAndRun();
    await fleet.harness.advance(3_600);
    await fleet.expectSingleRun();
  });

  it('gives no lease to the process of a session that begins again', async () => {
    const fleet = await Fleet.create();
    const {harness} = fleet;
    await fleet.delayNext('renewNextLate', 18_000);
    harness.restartWorker(WORKER_ID, {
      delayMs: 16_000,
      registration: 'removed',
    });
    await harness.advance(16_000);
    harness.register(WORKER_ID);
    await fleet.startTask();
    await harness.advance(1_500);
    await fleet.expectSingleRun();
  });
});

describe('a lease that a process holds from a call to a former one', () => {
  it('is waited for by a successor that takes over its runs', async () => {
    const fleet = await Fleet.create();
    await fleet.startTask();
    await fleet.restartAndRun();
    await fleet.takeOver();
    await fleet.waitForResponse();
    await fleet.expectSingleRun();
  });

  it('is waited for by a successor that places the first runs there', async () => {
    const fleet = await Fleet.create();
    await fleet.restart();
    await fleet.takeOver();
    await fleet.startTask();
    await fleet.expectSingleRun();
  });

  it('is waited for by a successor that hears the process first', async () => {
    const fleet = await Fleet.create();
    const {harness} = fleet;
    const coordinator = fleet.getCoordinator();
    await fleet.startTask();
    // Executed shortly before the successor is elected.
    await fleet.delayNext('renewNextLate', 1_100);
    harness.restartWorker(WORKER_ID, {delayMs: DOWN_MS});
    await harness.advance(DOWN_MS / 2);
    coordinator.linkFaults.requestBlockedWorkers.add(WORKER_ID);
    await fleet.takeOver();
    await fleet.waitUntil(() => fleet.worker.getRunCount() > 0);
    await fleet.expectSingleRun();
  });

  it('is waited for by the successor of a successor that heard no worker', async () => {
    const fleet = await Fleet.create();
    const {harness} = fleet;
    await fleet.startTask();
    // Executed shortly before the second successor is elected.
    await fleet.delayNext('renewNextLate', 5_300);
    await fleet.restartAndRun();
    for (const node of harness.nodes) {
      if (node !== fleet.getCoordinator())
        node.linkFaults.requestBlockedWorkers.add(WORKER_ID);
    }
    await fleet.takeOver();
    await fleet.takeOver();
    const {linkFaults} = fleet.getCoordinator();
    linkFaults.requestBlockedWorkers.delete(WORKER_ID);
    await fleet.waitForResponse();
    await harness.advance(500);
    await fleet.waitUntil(() => fleet.worker.getRunCount() > 0);
    await fleet.expectSingleRun();
  });

  for (const call of ['start', 'renewal'] as const)
    it(`is waited for if the predecessor was lost before it had fenced the process: ${call}`, async () => {
      const fleet = await Fleet.create();
      const {harness, worker} = fleet;
      const {linkFaults} = fleet.getCoordinator();
      await fleet.startTask();
      if (call === 'renewal') await fleet.delayNext('renewNextLate', 3_900);
      // The crash is recorded with the job of this run, which the next process may have started.
      await fleet.delayNext('applyNextLate', call === 'start' ? 3_900 : 20_000);
      const steps = [createSampleStep(1, {isLongRunning: true})];
      harness.submitWithoutWaiting(steps, harness.getQueue());
      await fleet.waitUntil(() => linkFaults.applyNextLate === 0);
      await fleet.restart('outdated');
      linkFaults.requestBlockedWorkers.add(WORKER_ID);
      await harness.advance(2_000);
      harness.register(WORKER_ID);
      await harness.advance(600);
      await fleet.takeOver();
      await fleet.waitUntil(() => worker.getRunCount() > 0);
      await fleet.expectSingleRun();
    });
});

describe('a worker that restarts more often than a term has fencing tokens', () => {
  it('ends the term, and all tasks run in the next one', async () => {
    const fleet = await Fleet.create();
    const {harness, worker} = fleet;
    await fleet.startTask();
    await fleet.takeOver();
    const coordinator = fleet.getCoordinator();
    worker.behavior.startRefusal = 'unhealthy';
    harness.resizeWorker(OTHER_ID, ROOM);
    harness.restartWorker(WORKER_ID, {delayMs: DOWN_MS});
    await fleet.waitUntil(() => fleet.isRunningElsewhere());
    for (let count = 0; count < 1_050; count++) {
      harness.restartWorker(WORKER_ID, {delayMs: 10});
      await harness.advance(40);
    }
    expect(fleet.isRunningElsewhere()).to.equal(true);
    expect(getDetails(coordinator, 'coordinator-ended')).to.deep.equal([
      'term 2000: tokens-used-up',
    ]);
    worker.behavior.startRefusal = undefined;
    harness.resizeWorker(OTHER_ID, NO_ROOM);
    await fleet.startTask();
    expect(harness.checker.violations).to.deep.equal([]);
  });
});

describe('a term of an earlier build', () => {
  it('leaves the successor to wait for the longest lease', async () => {
    const fleet = await Fleet.create();
    await fleet.startTask();
    await fleet.restartAndRun();
    fleet.harness.powerOffNode(fleet.getCoordinator());
    fleet.setEarlierTerm();
    await fleet.waitUntil(() => fleet.harness.getCoordinator() !== undefined);
    await fleet.waitForResponse();
    await fleet.expectSingleRun();
  });

  it('has a token that the next term exceeds, and run numbers that it exceeds', async () => {
    const fleet = await Fleet.create();
    const {harness, worker} = fleet;
    await fleet.startTask();
    harness.powerOffNode(fleet.getCoordinator());
    const term = fleet.setEarlierTerm(previous => previous + 1);
    const report = await worker.renew({
      worker: worker.getRecord(),
      fencingToken: term,
      acknowledgedSequence: 0,
      waitMs: 0,
    });
    expect(report).not.to.equal('fenced');
    await fleet.waitUntil(() => harness.getCoordinator() !== undefined);
    await fleet.waitForResponse();
    const lastRunNumber = term * 1_000_000;
    await harness.submit([createSampleStep(1, {isLongRunning: true})]);
    await fleet.waitUntil(() => worker.getRunCount() === 2);
    const details = getDetails(fleet.getCoordinator(), 'run-started');
    const runNumbers = details.map(detail => Number(detail.split(' ')[1]));
    expect(runNumbers).to.have.lengthOf(1);
    expect(runNumbers[0]).to.be.above(lastRunNumber);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});

describe('a process that was fenced before a takeover', () => {
  // Guards against a wait of 10.65 s from the first response of each worker.
  it('is waited for no longer than the leases of the successor', async () => {
    const fleet = await Fleet.create();
    const {harness} = fleet;
    await fleet.startTask();
    await harness.advance(12_000);
    await fleet.takeOver();
    await fleet.waitForResponse();
    fleet.cut();
    await harness.advance(7_500);
    expect(fleet.isRunningElsewhere()).to.equal(true);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});

/** Gets the details of the events with a name. */
function getDetails({events}: HarnessNode, eventName: string): string[] {
  const details: string[] = [];
  for (const {name, detail} of events.getEvents())
    if (name === eventName) details.push(detail ?? '');
  return details;
}
