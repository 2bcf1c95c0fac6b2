import {
  COORDINATOR_PART,
  LEASE_BOUND_TABLE,
} from '@mustardlug/coordination/tables';
import {JobWorkerModel} from '@mustardlug/standins/job_worker_model';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {HarnessNode, JobHarness} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

/** Time in which a submitted task is running. */
const PLACEMENT_MS = 1_500;

/** Silence after which the bound of a worker's leases is stored. */
const SILENCE_MS = 2_500;

/** Time in which a slow store has executed a removal. */
const SLOW_REMOVAL_MS = 3_000;

/** Time in which a coordinator reads the stored state; shorter than the interval of its checks. */
const LOADING_MS = 150;

/** Speed at which the store takes longer than a renewal for a transaction. */
const SLOW_BYTES_PER_SECOND = 1_000;

const TASK_MS = 60_000;

/** A worker that runs a task, with the leases that it is granted. */
class ObservedWorker {
  grantCount = 0;
  grantCountWhileBounded = 0;

  private constructor(
    readonly harness: JobHarness,
    readonly coordinator: HarnessNode,
    readonly workerId: string,
    readonly worker: JobWorkerModel,
  ) {
    const renew = worker.renew.bind(worker);
    worker.renew = request => {
      if (request.leaseUntilMs !== undefined) {
        this.grantCount++;
        if (this.isBounded()) this.grantCountWhileBounded++;
      }
      return renew(request);
    };
  }

  /** Creates a fleet that runs one task, and observes its worker or another one. */
  static async create(nodes: number, isIdle = false): Promise<ObservedWorker> {
    const harness = JobHarness.create({nodes, workerClockRate: 0.98});
    await harness.advance(START_MS);
    await harness.submit([createSampleStep(1, {estimatedMs: TASK_MS})]);
    await harness.advance(PLACEMENT_MS);
    const coordinator = harness.getCoordinator();
    if (coordinator === undefined) throw new Error('there is no coordinator');
    for (const [workerId, worker] of harness.workers) {
      if (worker.getRunCount() === (isIdle ? 0 : 1))
        return new ObservedWorker(harness, coordinator, workerId, worker);
    }
    throw new Error('there is no such worker');
  }

  /** Checks whether a bound of the worker's leases is stored. */
  isBounded(): boolean {
    const rows = this.harness.store.getTableRows(LEASE_BOUND_TABLE);
    return rows.some(({key}) => key === this.workerId);
  }
}

describe('a worker whose leases are suspended', () => {
  it('is granted none while their bound is stored', async () => {
    const observed = await ObservedWorker.create(3);
    const {harness, coordinator, workerId} = observed;
    coordinator.linkFaults.unreachableWorkers.add(workerId);
    await harness.advance(SILENCE_MS);
    expect(observed.isBounded()).to.equal(true);
    coordinator.storeFaults.writeBytesPerSecond = SLOW_BYTES_PER_SECOND;
    coordinator.linkFaults.unreachableWorkers.delete(workerId);
    observed.grantCount = 0;
    await harness.advance(SLOW_REMOVAL_MS);
    expect(observed.isBounded()).to.equal(false);
    expect(observed.grantCount).to.be.above(0);
    expect(observed.grantCountWhileBounded).to.equal(0);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('is granted none if it registers before the removal of their bound is stored', async () => {
    const observed = await ObservedWorker.create(3, true);
    const {harness, coordinator, workerId} = observed;
    harness.unregister(workerId);
    harness.killNode(coordinator);
    const leaseEndStoreMs = harness.clock.getMonotonicMs() + TASK_MS;
    harness.store.put(
      {table: LEASE_BOUND_TABLE, part: COORDINATOR_PART, key: workerId},
      {leaseEndStoreMs},
    );
    let successor: HarnessNode | undefined;
    while (successor === undefined) {
      await harness.advance(5);
      successor = harness.getCoordinator();
    }
    await harness.advance(LOADING_MS);
    successor.storeFaults.writeBytesPerSecond = SLOW_BYTES_PER_SECOND;
    await harness.advance(LOADING_MS);
    harness.register(workerId);
    observed.grantCount = 0;
    await harness.advance(SLOW_REMOVAL_MS);
    expect(observed.isBounded()).to.equal(false);
    expect(observed.grantCount).to.be.above(0);
    expect(observed.grantCountWhileBounded).to.equal(0);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('keeps its run if the store stops responding during a short cut', async () => {
    const {harness, coordinator, workerId, worker} =
      await ObservedWorker.create(3);
    coordinator.linkFaults.unreachableWorkers.add(workerId);
    await harness.advance(500);
    harness.store.faults.isSilent = true;
    await harness.advance(1_500);
    coordinator.linkFaults.unreachableWorkers.delete(workerId);
    await harness.advance(3_500);
    harness.store.faults.isSilent = false;
    await harness.advance(SILENCE_MS);
    expect(worker.getRunCount()).to.equal(1);
  });

  it('runs no task that starts elsewhere if an isolated coordinator goes on granting leases', async () => {
    const {
      harness,
      coordinator: isolated,
      workerId,
    } = await ObservedWorker.create(5);
    for (const other of harness.workers.keys()) {
      if (other !== workerId) isolated.linkFaults.unreachableWorkers.add(other);
    }
    for (const node of harness.nodes) {
      if (node !== isolated) node.linkFaults.unreachableWorkers.add(workerId);
    }
    isolated.storeFaults.isSilent = true;
    for (let takeover = 0; takeover < 2; takeover++) {
      let successor = harness.getCoordinator();
      while (successor === undefined) {
        await harness.advance(10);
        successor = harness.getCoordinator();
      }
      await harness.advance(SILENCE_MS);
      harness.killNode(successor);
    }
    await harness.advance(20_000);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
