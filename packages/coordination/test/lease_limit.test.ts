import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {encodeRowValue} from '@mustardlug/jobs/job_codec';
import {StoredRow} from '@mustardlug/platform/row_store';
import {MemoryRowStore} from '@mustardlug/standins/memory_row_store';
import {expect} from 'chai';
import {CommitLog, TermRow} from '../src/commit_log.js';
import {CoordinatorStatus, STATUS_ADDRESS} from '../src/coordinator_status.js';
import {LeaseLimit, UNDECLARED_LEASE_MS} from '../src/lease_limit.js';
import {COORDINATOR_PART, TERM_TABLE} from '../src/tables.js';

/** Time of the store when the clock starts. */
const STORE_MS = 50_000;

/** Time from sending a call to its response. */
const ROUND_TRIP_MS = 40;

const CLOCK_START_MS = VirtualClock.create().getMonotonicMs();

const TERM: TermRow = {term: 3, holder: 'node-0', commitNumber: 7};

/** What the status of the previous term declares; by default it is of that term. */
type DeclaredStatus = Partial<CoordinatorStatus>;

function createStatusRow(fields: DeclaredStatus): StoredRow {
  const {term, holder} = TERM;
  const status = {term, holder, writtenStoreMs: STORE_MS, ...fields};
  return {...STATUS_ADDRESS, value: encodeRowValue(status), version: 1};
}

/**
 * Creates the limit of a term after its predecessor's status and term were read. The
 * store executes calls when they are sent, or when their responses arrive.
 */
async function createLimit(
  clock: VirtualClock,
  declared: DeclaredStatus,
  executed: 'at once' | 'late' = 'at once',
): Promise<{limit: LeaseLimit; commitLog: CommitLog}> {
  const sentMs = clock.getMonotonicMs();
  await clock.advance(ROUND_TRIP_MS);
  const executedMs = executed === 'late' ? clock.getMonotonicMs() : sentMs;
  const storeMs = STORE_MS + executedMs - CLOCK_START_MS;
  const address = {table: TERM_TABLE, part: COORDINATOR_PART, key: 'current'};
  const rows = [{...address, value: encodeRowValue(TERM), version: 1}];
  const commitLog = CommitLog.create(
    {store: MemoryRowStore.create(clock).createClient(), clock, holder: 'n'},
    {rows, hasMore: false, version: 1, storeMs},
    {minTerm: TERM.term, statusRow: createStatusRow(declared), sentMs},
  );
  return {limit: LeaseLimit.create(clock, commitLog), commitLog};
}

describe(LeaseLimit.name, () => {
  it('permits no lease before a status is confirmed', async () => {
    const clock = VirtualClock.create();
    const {limit} = await createLimit(clock, {leaseEndStoreMs: STORE_MS});
    limit.begin();
    expect(limit.getEndMs()).to.be.below(clock.getMonotonicMs());
  });

  it('counts from the creation of a status, not from its response', async () => {
    const clock = VirtualClock.create();
    const {limit} = await createLimit(clock, {leaseEndStoreMs: STORE_MS});
    limit.begin();
    const createdMs = clock.getMonotonicMs();
    const declaredMs = limit.getDeclaration() ?? 0;
    await clock.advance(ROUND_TRIP_MS);
    limit.confirm(createdMs);
    const endStoreMs = STORE_MS + limit.getEndMs() - CLOCK_START_MS;
    expect(endStoreMs).to.be.at.most(declaredMs);
  });

  for (const writer of ['at once', 'late'] as const)
    for (const reader of ['at once', 'late'] as const)
      it(`gives a successor a time at which the leases have expired, and little more, with calls executed ${writer} and ${reader}`, async () => {
        const clock = VirtualClock.create();
        const first = await createLimit(clock, {leaseEndStoreMs: 0}, writer);
        const declaredStoreMs = first.limit.getDeclaration();
        first.limit.confirm(clock.getMonotonicMs());
        const endMs = first.limit.getEndMs();
        const declared = {leaseEndStoreMs: declaredStoreMs};
        const second = await createLimit(clock, declared, reader);
        second.limit.begin();
        const waitedMs = second.limit.getPreviousEndMs();
        expect(waitedMs).to.be.at.least(endMs);
        expect(waitedMs).to.be.at.most(endMs + 2 * ROUND_TRIP_MS + 1);
      });

  for (const [kind, declared] of [
    ['declares nothing', {}],
    ['is of another term', {term: 2, leaseEndStoreMs: STORE_MS}],
    ['declares a time far in the future', {leaseEndStoreMs: 1e15}],
  ] as Array<[string, DeclaredStatus]>)
    it(`counts from the beginning of the term if the previous status ${kind}`, async () => {
      const clock = VirtualClock.create();
      const {limit} = await createLimit(clock, declared);
      await clock.advance(1_000);
      limit.begin();
      const latestMs = clock.getMonotonicMs() + UNDECLARED_LEASE_MS;
      expect(limit.getPreviousEndMs()).to.equal(latestMs);
    });

  it('reports when full leases can be granted again, once', async () => {
    const clock = VirtualClock.create();
    const {commitLog} = await createLimit(clock, {leaseEndStoreMs: STORE_MS});
    let count = 0;
    const limit = LeaseLimit.create(clock, commitLog, () => count++);
    limit.begin();
    for (const elapsedMs of [0, 300, 5_000, 300]) {
      await clock.advance(elapsedMs);
      limit.confirm(clock.getMonotonicMs());
    }
    expect(count).to.equal(2);
  });

  it('declares nothing before the term has begun if the previous status did not', async () => {
    const clock = VirtualClock.create();
    const {limit} = await createLimit(clock, {});
    expect(limit.getDeclaration()).to.equal(undefined);
    limit.begin();
    const declaredMs = (limit.getDeclaration() ?? 0) - STORE_MS;
    const latestMs = clock.getMonotonicMs() + UNDECLARED_LEASE_MS;
    expect(declaredMs).to.be.at.least(latestMs - CLOCK_START_MS);
  });

  it('declares at least what the previous status declared', async () => {
    const clock = VirtualClock.create();
    const leaseEndStoreMs = STORE_MS + UNDECLARED_LEASE_MS;
    const {limit} = await createLimit(clock, {leaseEndStoreMs});
    expect(limit.getDeclaration()).to.equal(leaseEndStoreMs);
  });
});
