import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {expect} from 'chai';
import {TermRow} from '../src/commit_log.js';
import {InvalidRowReporter} from '../src/invalid_row_reporter.js';
import {LeaseBoundChanges, LeaseBounds} from '../src/lease_bounds.js';
import {createTestEvents} from './test_events.js';
import {createTestCommitLog, TEST_STORE_MS} from './test_commit_logs.js';

/** Time from sending a commit to its response. */
const ROUND_TRIP_MS = 40;

const LEASE_MS = 5_000;

const CLOCK_START_MS = VirtualClock.create().getMonotonicMs();

const PREDECESSOR: TermRow = {
  term: 3,
  holder: 'node-0',
  commitNumber: 7,
  keepsLeaseBounds: true,
};

/**
 * Creates the bounds of a term. The store executes its first commit some time after
 * it was sent, and has the time `TEST_STORE_MS` when the clock starts.
 */
async function createBounds(
  clock: VirtualClock,
  predecessor = PREDECESSOR,
  executionDelayMs = 0,
): Promise<LeaseBounds> {
  const commitLog = createTestCommitLog(clock, predecessor);
  const sentMs = clock.getMonotonicMs();
  await clock.advance(ROUND_TRIP_MS);
  const elapsedMs = sentMs + executionDelayMs - CLOCK_START_MS;
  commitLog.confirmTerm(sentMs, TEST_STORE_MS + elapsedMs);
  return LeaseBounds.create(
    clock,
    commitLog,
    InvalidRowReporter.create(createTestEvents(clock)),
  );
}

function toStoredRows({writes}: LeaseBoundChanges) {
  return writes.map(write => ({...write, version: 1}));
}

describe(LeaseBounds.name, () => {
  it('gives a successor a time at which the lease has expired, and little more', async () => {
    const clock = VirtualClock.create();
    const bounds = await createBounds(clock);
    const leaseEndMs = clock.getMonotonicMs() + LEASE_MS;
    bounds.setLeaseEnd('worker-1', leaseEndMs);
    const successor = await createBounds(clock, PREDECESSOR, ROUND_TRIP_MS);
    successor.restore(toStoredRows(bounds.takeChanges()));
    const restoredMs = successor.getLeaseEndMs('worker-1') ?? 0;
    expect(restoredMs).to.be.at.least(leaseEndMs);
    expect(restoredMs).to.be.at.most(leaseEndMs + 2 * ROUND_TRIP_MS);
    expect(successor.hasChanges()).to.equal(false);
  });

  it('removes the bounds that a coordinator of an earlier build did not respect', async () => {
    const clock = VirtualClock.create();
    const bounds = await createBounds(clock);
    bounds.setLeaseEnd('worker-1', clock.getMonotonicMs() + LEASE_MS);
    const rows = toStoredRows(bounds.takeChanges());
    const {term, holder, commitNumber} = PREDECESSOR;
    const successor = await createBounds(clock, {term, holder, commitNumber});
    successor.restore(rows);
    expect(successor.getLeaseEndMs('worker-1')).to.equal(undefined);
    const {writes, removals} = successor.takeChanges();
    expect(writes).to.deep.equal([]);
    expect(removals.map(({key}) => key)).to.deep.equal(['worker-1']);
  });

  it('stores the last of several changes of a worker', async () => {
    const clock = VirtualClock.create();
    const bounds = await createBounds(clock);
    bounds.setLeaseEnd('worker-1', clock.getMonotonicMs() + LEASE_MS);
    bounds.remove('worker-1');
    const {writes, removals} = bounds.takeChanges();
    expect(writes).to.deep.equal([]);
    expect(removals.length).to.equal(1);
    expect(bounds.hasChanges()).to.equal(false);
  });
});
