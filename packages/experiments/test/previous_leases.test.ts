import {
  decodeCoordinatorStatus,
  STATUS_ADDRESS,
} from '@mustardlug/coordination/coordinator_status';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {HarnessNode, JobHarness} from '../src/job_harness.js';

/** Time for the first election, after which no lease of a term before it is waited for. */
const START_MS = 13_000;

/** Time within which a submitted task is running. */
const PLACEMENT_MS = 1_000;

/** Time for which a long-running task may be away: 6 s from its last run, and 3 s more. */
const MAX_ABSENCE_MS = 9_000;

/** Time after which a successor gives up runs of an earlier build's term. */
const UNDECLARED_LEASE_MS = 10_950;

/** Time in which all leases expire and interrupted tasks run again. */
const SETTLE_MS = 25_000;

/** Time for which calls to an unresponsive store last at most, and their number meanwhile. */
const LOST_ANSWERS_MS = 2_000;
const LOST_ANSWERS = 100;

const SAMPLING_INTERVAL_MS = 10;

/** A fleet with one long-running task. */
class Fleet {
  private constructor(
    readonly harness: JobHarness,
    readonly coordinator: HarnessNode,
    /** Worker of the task. */
    readonly workerId: string,
  ) {}

  static async create(nodes = 4): Promise<Fleet> {
    const harness = JobHarness.create({nodes, workerClockRate: 0.98});
    await harness.advance(START_MS);
    await harness.submit([createSampleStep(1, {isLongRunning: true})]);
    await harness.advance(PLACEMENT_MS);
    const coordinator = harness.getCoordinator();
    const workerId = findWorker(harness);
    if (coordinator === undefined || workerId === undefined)
      throw new Error('the task is not running');
    return new Fleet(harness, coordinator, workerId);
  }

  /** Crashes the worker for good. */
  crashWorker(): void {
    const recovery = {delayMs: 2 * SETTLE_MS, workerId: 'new'} as const;
    this.harness.crashWorkers([this.workerId], recovery);
  }

  /** Cuts the worker off from all nodes but the coordinator, whose leases it goes on with. */
  cutWorkerOffFromOthers(): void {
    for (const node of this.harness.nodes) {
      if (node !== this.coordinator)
        node.linkFaults.unreachableWorkers.add(this.workerId);
    }
  }

  /** Replaces the status by one without a declaration, as an earlier build writes it. */
  removeDeclaration(): void {
    const [row] = this.harness.store.getTableRows(STATUS_ADDRESS.table);
    const status = decodeCoordinatorStatus(row.value)._unsafeUnwrap();
    this.harness.store.put(STATUS_ADDRESS, {
      ...status,
      leaseEndStoreMs: undefined,
    });
  }

  /** Gets the time until the task runs on another worker. */
  async measureReturnMs(): Promise<number> {
    for (let ms = 0; ms < SETTLE_MS; ms += SAMPLING_INTERVAL_MS) {
      if (findWorker(this.harness, this.workerId) !== undefined) return ms;
      await this.harness.advance(SAMPLING_INTERVAL_MS);
    }
    return Infinity;
  }

  /** Gets the time until another node coordinates. */
  async measureElectionMs(): Promise<number> {
    for (let ms = 0; ms < SETTLE_MS; ms += SAMPLING_INTERVAL_MS) {
      const isElected = this.harness.nodes.some(
        node => node !== this.coordinator && node.role.isCoordinating(),
      );
      if (isElected) return ms;
      await this.harness.advance(SAMPLING_INTERVAL_MS);
    }
    return Infinity;
  }

  /** Checks that the task never runs twice, and that it runs again in the end. */
  async expectSingleRun(): Promise<void> {
    expect(await this.measureReturnMs()).to.be.below(SETTLE_MS);
    await this.harness.advance(SETTLE_MS);
    expect(this.harness.checker.violations).to.deep.equal([]);
  }
}

/** Finds a worker that runs a task, except for one. */
function findWorker(harness: JobHarness, except = ''): string | undefined {
  for (const [workerId, worker] of harness.workers) {
    if (workerId === except || !worker.isUp()) continue;
    if (worker.getRunCount() > 0) return workerId;
  }
  return undefined;
}

describe('the wait for leases of a predecessor', () => {
  // Guards against a wait that begins at the election: tasks were away for 12 to 13 s.
  for (const delayMs of [0, 300, 600, 900, 1_200, 1_500, 1_800, 2_400])
    for (const isUnregistered of [false, true])
      it(`that is lost ${delayMs} ms after ${isUnregistered ? 'an unregistered' : 'a'} worker ends in time`, async () => {
        const fleet = await Fleet.create();
        fleet.crashWorker();
        if (isUnregistered) fleet.harness.unregister(fleet.workerId);
        await fleet.harness.advance(delayMs);
        fleet.harness.powerOffNode(fleet.coordinator);
        const returnMs = await fleet.measureReturnMs();
        expect(delayMs + returnMs).to.be.below(MAX_ABSENCE_MS);
        expect(fleet.harness.checker.violations).to.deep.equal([]);
      });

  it('whose restarted process released its term ends in time', async () => {
    const fleet = await Fleet.create(1);
    const {harness, coordinator} = fleet;
    fleet.crashWorker();
    harness.powerOffNode(coordinator);
    harness.startNode(coordinator.nodeId, 500);
    expect(await fleet.measureReturnMs()).to.be.below(MAX_ABSENCE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  for (const fault of ['isSilent', 'isRefusing'] as const)
    it(`that is cut off from the store (${fault}) covers what it goes on granting`, async () => {
      const fleet = await Fleet.create();
      fleet.cutWorkerOffFromOthers();
      fleet.coordinator.storeFaults[fault] = true;
      await fleet.expectSingleRun();
    });

  for (const frozenMs of [2_000, 3_000, 4_000, 6_000, 6_800, 9_000])
    it(`that was frozen for ${frozenMs} ms covers what it grants when it wakes`, async () => {
      const fleet = await Fleet.create();
      fleet.cutWorkerOffFromOthers();
      fleet.harness.freezeNode(fleet.coordinator, frozenMs);
      await fleet.expectSingleRun();
    });

  for (const busyMs of [2_000, 4_000, 6_800])
    it(`that was busy for ${busyMs} ms covers what it grants afterwards`, async () => {
      const fleet = await Fleet.create();
      fleet.cutWorkerOffFromOthers();
      fleet.coordinator.clock.spend(busyMs);
      await fleet.expectSingleRun();
    });

  for (const outageMs of [2_000, 4_000, 6_000])
    it(`that is cut off when the store is back after ${outageMs} ms covers its leases`, async () => {
      const fleet = await Fleet.create();
      const {harness, coordinator} = fleet;
      fleet.cutWorkerOffFromOthers();
      harness.store.faults.isRefusing = true;
      await harness.advance(outageMs);
      coordinator.storeFaults.isSilent = true;
      harness.store.faults.isRefusing = false;
      await fleet.expectSingleRun();
    });

  for (const fault of ['loseNextAnswers', 'applyNextLate'] as const)
    for (const lateMs of [50, 400, 1_000])
      it(`whose last status was stored without a response (${fault}, ${lateMs} ms) covers its leases`, async () => {
        const fleet = await Fleet.create();
        const {storeFaults} = fleet.coordinator;
        fleet.cutWorkerOffFromOthers();
        storeFaults.lateMs = lateMs;
        storeFaults[fault] = LOST_ANSWERS;
        await fleet.harness.advance(LOST_ANSWERS_MS);
        storeFaults.isSilent = true;
        await fleet.expectSingleRun();
      });

  for (const lateMs of [1_000, 3_000, 6_000])
    it(`whose orders are executed up to ${lateMs} ms late covers its leases`, async () => {
      const fleet = await Fleet.create();
      const {linkFaults, storeFaults} = fleet.coordinator;
      fleet.cutWorkerOffFromOthers();
      linkFaults.lateProbability = 0.5;
      linkFaults.maxLateMs = lateMs;
      linkFaults.lateMs = 100;
      await fleet.harness.advance(PLACEMENT_MS);
      storeFaults.isSilent = true;
      await fleet.expectSingleRun();
    });

  for (const delayMs of [0, 200, 500, 1_500])
    it(`of a term before the previous one, which lasted for ${delayMs} ms, covers its leases`, async () => {
      const fleet = await Fleet.create();
      const {harness, coordinator} = fleet;
      fleet.cutWorkerOffFromOthers();
      coordinator.storeFaults.isSilent = true;
      await fleet.measureElectionMs();
      await harness.advance(delayMs);
      const successor = harness.nodes.find(
        node => node !== coordinator && node.role.isCoordinating(),
      );
      harness.powerOffNode(successor!);
      await fleet.expectSingleRun();
    });

  it('of an earlier build counts from the election', async () => {
    const fleet = await Fleet.create();
    const {harness, coordinator} = fleet;
    fleet.crashWorker();
    harness.powerOffNode(coordinator);
    fleet.removeDeclaration();
    await fleet.measureElectionMs();
    const returnMs = await fleet.measureReturnMs();
    expect(returnMs).to.be.above(UNDECLARED_LEASE_MS - SAMPLING_INTERVAL_MS);
    expect(returnMs).to.be.below(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('of an earlier build is passed on by a successor that ends soon', async () => {
    const fleet = await Fleet.create();
    const {harness, coordinator} = fleet;
    fleet.crashWorker();
    harness.powerOffNode(coordinator);
    fleet.removeDeclaration();
    await fleet.measureElectionMs();
    await harness.advance(PLACEMENT_MS);
    harness.powerOffNode(harness.getCoordinator()!);
    const returnMs = await fleet.measureReturnMs();
    expect(PLACEMENT_MS + returnMs).to.be.above(
      UNDECLARED_LEASE_MS - SAMPLING_INTERVAL_MS,
    );
    expect(returnMs).to.be.below(SETTLE_MS);
  });

  it('whose status was removed covers its leases', async () => {
    const fleet = await Fleet.create();
    fleet.cutWorkerOffFromOthers();
    fleet.coordinator.storeFaults.isSilent = true;
    fleet.harness.store.remove(STATUS_ADDRESS);
    await fleet.expectSingleRun();
  });

  it('of a worker that has started again counts from the election while it does not respond', async () => {
    const fleet = await Fleet.create();
    const {harness, coordinator, workerId} = fleet;
    for (const node of harness.nodes)
      node.linkFaults.unreachableWorkers.add(workerId);
    harness.restartWorker(workerId, {delayMs: 300});
    await harness.advance(PLACEMENT_MS);
    harness.powerOffNode(coordinator);
    await fleet.measureElectionMs();
    const returnMs = await fleet.measureReturnMs();
    expect(returnMs).to.be.above(UNDECLARED_LEASE_MS - SAMPLING_INTERVAL_MS);
    expect(returnMs).to.be.below(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});

describe('a lease that a worker counts on the clock of another process', () => {
  /** Time after which the clock of a new process is behind by more than the longest lease. */
  const UPTIME_MS = 15_000;

  const NO_ROOM = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
  const ROOM = {cpuMillis: 8_000, memoryMb: 64_000, accelerators: 0};

  // The renewal that is repeated when the worker crashes reaches its next process.
  for (const isUnregistered of [false, true])
    for (const delayMs of [500, 1_500, 3_000])
      it(`is waited for by a successor after ${delayMs} ms, ${isUnregistered ? 'without' : 'with'} a registration`, async () => {
        const harness = JobHarness.create({workers: 2, workerClockRate: 0.98});
        const [workerId, otherId] = harness.workers.keys();
        harness.resizeWorker(otherId, NO_ROOM);
        await harness.advance(UPTIME_MS);
        await harness.submit([createSampleStep(1, {isLongRunning: true})]);
        await harness.advance(PLACEMENT_MS);
        harness.restartWorker(workerId, {delayMs: 100});
        await harness.advance(PLACEMENT_MS);
        expect(findWorker(harness)).to.equal(workerId);
        const coordinator = harness.getCoordinator();
        for (const node of harness.nodes)
          node.linkFaults.unreachableWorkers.add(workerId);
        await harness.advance(delayMs);
        harness.powerOffNode(coordinator!);
        if (isUnregistered) harness.unregister(workerId);
        harness.resizeWorker(otherId, ROOM);
        await harness.advance(SETTLE_MS);
        expect(findWorker(harness)).to.equal(otherId);
        expect(harness.checker.violations).to.deep.equal([]);
      });
});

describe('leases near their limit', () => {
  /** Longest usual outage of the store. */
  const OUTAGE_MS = 6_000;

  for (const fault of ['isSilent', 'isRefusing'] as const)
    for (const offsetMs of [0, 100, 200, 299])
      it(`outlast an outage of the store of 6 s (${fault}, ${offsetMs} ms after a status)`, async () => {
        const {harness} = await Fleet.create();
        await harness.advance(offsetMs);
        harness.store.faults[fault] = true;
        await harness.advance(OUTAGE_MS);
        harness.store.faults[fault] = false;
        await harness.advance(SETTLE_MS);
        expect(harness.checker.getLapsedRunCount()).to.equal(0);
        expect(harness.checker.violations).to.deep.equal([]);
      });

  for (const outageMs of [4_000, 5_000, OUTAGE_MS])
    it(`are extended at once after an outage of ${outageMs} ms, before the coordinator is lost`, async () => {
      const {harness, coordinator} = await Fleet.create();
      harness.store.faults.isRefusing = true;
      await harness.advance(outageMs);
      harness.store.faults.isRefusing = false;
      await harness.advance(100);
      harness.powerOffNode(coordinator);
      await harness.advance(SETTLE_MS);
      expect(harness.checker.getLapsedRunCount()).to.equal(0);
      expect(harness.checker.violations).to.deep.equal([]);
    });
});
