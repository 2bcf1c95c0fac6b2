import {decodeCoordinatorStatus} from '@mustardlug/coordination/coordinator_status';
import {COORDINATOR_STATUS_TABLE} from '@mustardlug/coordination/tables';
import {StoredRow} from '@mustardlug/platform/row_store';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';
import {
  measureTakeover,
  TakeoverCause,
  TakeoverResult,
} from '../src/takeover_experiment.js';

const SEEDS = [2, 8, 9, 10, 14, 18];

const WORKERS = 20;

/**
 * Longest time without a start of a task: as long as a lease, so that no run is
 * interrupted for want of a coordinator.
 */
const LEASE_MS = 5_000;

async function measureSeeds(cause: TakeoverCause): Promise<TakeoverResult[]> {
  const results: TakeoverResult[] = [];
  for (const seed of SEEDS)
    results.push(await measureTakeover({cause, seed, workers: WORKERS}));
  return results;
}

function expectTimely(results: readonly TakeoverResult[]): void {
  expect(results.map(each => each.lapsedRuns)).to.deep.equal(
    results.map(() => 0),
  );
  expect(results.flatMap(each => each.violations)).to.deep.equal([]);
  for (const {longestPauseMs} of results)
    expect(longestPauseMs).to.be.below(LEASE_MS);
}

describe('takeover of 18 large and 79 small VMs', () => {
  it('keeps the leases when all nodes lose power after an outage of the store', async () => {
    expectTimely(await measureSeeds('all-nodes-after-store-outage'));
  });

  it('elects a large VM when all nodes lose power, or the coordinator is lost', async () => {
    for (const cause of [
      'all-nodes',
      'all-nodes-after-store-outage',
      'coordinator-loss',
    ] as const) {
      const results = await measureSeeds(cause);
      for (const {smallElections, lastHolder} of results) {
        expect(smallElections).to.equal(0);
        expect(lastHolder).to.equal('large');
      }
    }
  });

  it('keeps the leases when the coordinator is lost or restarted', async () => {
    expectTimely(await measureSeeds('coordinator-loss'));
    expectTimely(await measureSeeds('coordinator-loss-after-store-outage'));
    expectTimely(await measureSeeds('coordinator-restart'));
    expectTimely(await measureSeeds('slow-coordinator-loss'));
  });

  it('returns to a large VM once one runs again', async () => {
    const results = await measureSeeds('large-nodes');
    expectTimely(results);
    for (const {lastHolder} of results) expect(lastHolder).to.equal('large');
  });
});

/** Maximum age of a status when it is stored: the latency of a write, and one step of the test. */
const MAX_FIRST_AGE_MS = 50;

describe('the first status of a term', () => {
  it('is as recent as the transaction that stores it', async () => {
    const harness = JobHarness.create();
    let rows = getStatusRows(harness);
    while (rows.length === 0) {
      await harness.advance(10);
      rows = getStatusRows(harness);
    }
    const status = decodeCoordinatorStatus(rows[0].value)._unsafeUnwrap();
    const ageMs = harness.clock.getMonotonicMs() - status.writtenStoreMs;
    expect(ageMs).to.be.below(MAX_FIRST_AGE_MS);
  });
});

/** Time until the process of a killed coordinator runs again. */
const RESTART_MS = 300;

/** Time for which the first coordinator is observed, several heartbeats. */
const FIRST_TERM_MS = 4_000;

/** Age at which a status that nobody has released is out of date. */
const STATUS_TIMEOUT_MS = 1_200;

describe('a coordinator whose process was killed', () => {
  it('is replaced by another node as soon as its process runs again', async () => {
    const elections: string[] = [];
    const harness = JobHarness.create({
      sink: ({name, nodeId}) => {
        if (name === 'coordinator-elected') elections.push(nodeId);
      },
    });
    await harness.advance(FIRST_TERM_MS);
    const killed = harness.getCoordinator();
    if (killed === undefined) throw new Error('expected a coordinator');
    harness.powerOffNode(killed);
    harness.startNode(killed.nodeId, RESTART_MS);
    // The status is up to one heartbeat old.
    await harness.advance(STATUS_TIMEOUT_MS - RESTART_MS);
    expect(elections).to.have.length(2);
    expect(elections[1]).not.to.equal(killed.nodeId);
  });

  it('takes the role again if there is no other node', async () => {
    const harness = JobHarness.create({nodes: 1});
    await harness.advance(FIRST_TERM_MS);
    const [killed] = harness.nodes;
    harness.powerOffNode(killed);
    harness.startNode(killed.nodeId, RESTART_MS);
    await harness.advance(FIRST_TERM_MS);
    expect(harness.getCoordinator()?.nodeId).to.equal(killed.nodeId);
  });
});

/** Time until the store's first response to a node after an outage, and the election itself. */
const RESPONSE_AND_ELECTION_MS = 600;

describe('a coordinator that is lost in an outage of the store', () => {
  // Guards against an election that waits for the next reads of the feed, 0.6 s apart.
  for (const offsetMs of [0, 100, 200])
    it(`is replaced once its status could have been written again, ${offsetMs} ms after a status`, async () => {
      const harness = JobHarness.create({nodes: 9});
      await harness.advance(FIRST_TERM_MS + offsetMs);
      const lost = harness.getCoordinator();
      if (lost === undefined) throw new Error('expected a coordinator');
      harness.store.faults.isRefusing = true;
      await harness.advance(FIRST_TERM_MS);
      harness.powerOffNode(lost);
      harness.store.faults.isRefusing = false;
      await harness.advance(STATUS_TIMEOUT_MS + RESPONSE_AND_ELECTION_MS);
      expect(harness.getCoordinator()).not.to.equal(undefined);
    });
});

/** Jobs whose rows block a coordinator of 0.27 of a core for over a second. */
const RESTORED_JOBS = 100;

describe('a coordinator that restores many jobs', () => {
  it('is not replaced meanwhile by one that is no faster', async () => {
    const elections: string[] = [];
    const harness = JobHarness.create({
      nodes: 8,
      workers: 25,
      getCpuCores: () => 0.27,
      processorCosts: {callMs: 1, rowMs: 6},
      sink: ({name, nodeId}) => {
        if (name === 'coordinator-elected') elections.push(nodeId);
      },
    });
    await harness.advance(FIRST_TERM_MS);
    for (let count = 0; count < RESTORED_JOBS; count++)
      await harness.submit([createSampleStep(1, {estimatedMs: 60_000})]);
    const termsBefore = elections.length;
    for (const node of [...harness.nodes]) {
      harness.powerOffNode(node);
      harness.startNode(node.nodeId, RESTART_MS);
    }
    await harness.advance(2 * FIRST_TERM_MS);
    expect(elections.length - termsBefore).to.equal(1);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});

function getStatusRows(harness: JobHarness): StoredRow[] {
  return harness.store.getTableRows(COORDINATOR_STATUS_TABLE);
}
