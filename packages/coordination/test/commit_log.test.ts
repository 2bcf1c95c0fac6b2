import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {MemoryRowStore} from '@mustardlug/standins/memory_row_store';
import {expect} from 'chai';
import {CommitLog} from '../src/commit_log.js';
import {STATUS_ADDRESS} from '../src/coordinator_status.js';
import {COORDINATOR_PART, PROGRESS_TABLE} from '../src/tables.js';

const ADDRESS = {table: PROGRESS_TABLE, part: COORDINATOR_PART, key: 'job'};

class Fixture {
  readonly clock = VirtualClock.create();
  readonly store = MemoryRowStore.create(this.clock);
  readonly client = this.store.createClient();

  async runUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    void promise.finally(() => {
      isSettled = true;
    });
    while (!isSettled) await this.clock.advance(1);
    return promise;
  }

  async createLog(holder: string): Promise<CommitLog> {
    const snapshot = await this.runUntilSettled(
      CommitLog.readTerm(this.client),
    );
    const {client: store, clock} = this;
    return CommitLog.create({store, clock, holder}, snapshot._unsafeUnwrap());
  }

  commit(log: CommitLog, value: string) {
    const writes = [{...ADDRESS, value: Buffer.from(value)}];
    return log.commit({writes, removals: []});
  }

  getValue(): string {
    return this.store.getTableRows(PROGRESS_TABLE)[0].value.toString();
  }
}

describe(CommitLog.name, () => {
  it('rejects commits of an earlier term', async () => {
    const fixture = new Fixture();
    const first = await fixture.createLog('node-1');
    await fixture.runUntilSettled(fixture.commit(first, 'one'));
    const second = await fixture.createLog('node-2');
    expect(second.getFirstFencingToken()).to.equal(first.term + 1);
    expect(second.term).to.be.above(second.getFirstFencingToken());
    expect(second.runRange).to.equal(first.runRange + 1);
    expect(
      await fixture.runUntilSettled(fixture.commit(second, 'two')),
    ).to.equal('committed');
    expect(
      await fixture.runUntilSettled(fixture.commit(first, 'three')),
    ).to.equal('superseded');
    expect(fixture.getValue()).to.equal('two');
  });

  for (const rejection of [
    'not-applied',
    'unknown-not-applied',
    'unknown-applied',
  ] as const)
    // A transaction that the store rejects was repeated for as long as the term lasted.
    it(`goes on after a commit that the store rejects (${rejection})`, async () => {
      const fixture = new Fixture();
      const log = await fixture.createLog('node-1');
      await fixture.runUntilSettled(fixture.commit(log, 'one'));
      fixture.store.faults.getRejection = ({writes}) =>
        writes.some(({value}) => String(value) === 'two')
          ? rejection
          : undefined;
      const outcome = await fixture.runUntilSettled(fixture.commit(log, 'two'));
      // The second attempt finds that the first one was applied.
      const isApplied = rejection === 'unknown-applied';
      expect(outcome).to.equal(isApplied ? 'committed' : 'rejected');
      expect(fixture.getValue()).to.equal(isApplied ? 'two' : 'one');
      expect(
        await fixture.runUntilSettled(fixture.commit(log, 'three')),
      ).to.equal('committed');
      expect(fixture.getValue()).to.equal('three');
    });

  it('goes on after a rejected commit of which a late attempt takes effect', async () => {
    const fixture = new Fixture();
    const log = await fixture.createLog('node-1');
    await fixture.runUntilSettled(fixture.commit(log, 'one'));
    const {faults} = fixture.store;
    faults.applyNextLate = 1;
    fixture.clock.setTimer(20, () => {
      faults.getRejection = () => 'not-applied';
    });
    expect(await fixture.runUntilSettled(fixture.commit(log, 'two'))).to.equal(
      'rejected',
    );
    expect(fixture.getValue()).to.equal('one');
    await fixture.clock.advance(faults.lateMs);
    expect(fixture.getValue()).to.equal('two');
    faults.getRejection = undefined;
    expect(
      await fixture.runUntilSettled(fixture.commit(log, 'three')),
    ).to.equal('committed');
    expect(fixture.getValue()).to.equal('three');
  });

  it('accepts the first commit of only one of two candidates for a term', async () => {
    const fixture = new Fixture();
    const logs = [
      await fixture.createLog('node-1'),
      await fixture.createLog('node-2'),
    ];
    const outcomes = await fixture.runUntilSettled(
      Promise.all(logs.map(log => fixture.commit(log, 'x'))),
    );
    expect(outcomes.sort()).to.deep.equal(['committed', 'superseded']);
  });

  for (const [title, isWritten] of [
    [
      'does not begin a term if the status has been written since it was read',
      true,
    ],
    ['begins a term if the status is the one that was read', false],
  ] as const)
    it(title, async () => {
      const fixture = new Fixture();
      const {clock, client: store} = fixture;
      fixture.store.put(STATUS_ADDRESS, {});
      const [statusRow] = fixture.store.getTableRows(STATUS_ADDRESS.table);
      const snapshot = await fixture.runUntilSettled(CommitLog.readTerm(store));
      const log = CommitLog.create(
        {store, clock, holder: 'node-1'},
        snapshot._unsafeUnwrap(),
        {minTerm: 0, statusRow, sentMs: clock.getMonotonicMs()},
      );
      if (isWritten) fixture.store.put(STATUS_ADDRESS, {});
      const outcome = await fixture.runUntilSettled(fixture.commit(log, 'x'));
      expect(outcome).to.equal(isWritten ? 'superseded' : 'committed');
    });

  it('does not begin a term if there was no status and one has been written since', async () => {
    const fixture = new Fixture();
    const {clock, client: store} = fixture;
    const snapshot = await fixture.runUntilSettled(CommitLog.readTerm(store));
    const log = CommitLog.create(
      {store, clock, holder: 'node-1'},
      snapshot._unsafeUnwrap(),
      {minTerm: 0, statusRow: undefined, sentMs: clock.getMonotonicMs()},
    );
    fixture.store.put(STATUS_ADDRESS, {});
    const outcome = await fixture.runUntilSettled(fixture.commit(log, 'x'));
    expect(outcome).to.equal('superseded');
  });

  it('recognizes its own commit when the response was lost', async () => {
    const fixture = new Fixture();
    const log = await fixture.createLog('node-1');
    fixture.store.faults.loseNextAnswers = 1;
    expect(await fixture.runUntilSettled(fixture.commit(log, 'one'))).to.equal(
      'committed',
    );
    expect(await fixture.runUntilSettled(fixture.commit(log, 'two'))).to.equal(
      'committed',
    );
    expect(fixture.getValue()).to.equal('two');
  });

  it('does not apply a delayed write after a newer one', async () => {
    const fixture = new Fixture();
    const log = await fixture.createLog('node-1');
    fixture.store.faults.applyNextLate = 1;
    await fixture.runUntilSettled(fixture.commit(log, 'one'));
    await fixture.runUntilSettled(fixture.commit(log, 'two'));
    await fixture.clock.advance(10_000);
    expect(fixture.getValue()).to.equal('two');
  });

  it('repeats a commit until an outage of the store ends', async () => {
    const fixture = new Fixture();
    const log = await fixture.createLog('node-1');
    fixture.store.faults.isRefusing = true;
    const outcome = fixture.commit(log, 'one');
    await fixture.clock.advance(5_000);
    fixture.store.faults.isRefusing = false;
    expect(await fixture.runUntilSettled(outcome)).to.equal('committed');
  });
});
