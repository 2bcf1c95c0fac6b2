import {expect} from 'chai';
import {RandomSource} from '@mustardlug/base/random_source';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {CountingTokenSource} from '@mustardlug/platform/token_source';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {MemoryTable} from '@mustardlug/standins/memory_table';
import {
  EvacuationChange,
  EvacuationFollower,
} from '../src/evacuation_follower.js';
import {EvacuationStore} from '../src/evacuation_store.js';

const POLL_MS = 2_000;
/** Specified bound from the end of a command until processes that reach the table follow. */
const EFFECT_LIMIT_MS = 5_000;
/** Longer than a command with retries takes. */
const COMMAND_MS = 10_000;

class Fixture {
  readonly clock = VirtualClock.create();
  readonly table = MemoryTable.create(this.clock);
  private count = 0;

  createStore(): EvacuationStore {
    const {table, clock} = this;
    return EvacuationStore.create({
      table,
      retryingCommitter: RetryingCommitter.create({table, clock}),
      tokens: CountingTokenSource.create(`process-${++this.count}`),
    });
  }

  /** Runs a command to its end. */
  async complete<T>(command: Promise<T>): Promise<T> {
    await this.clock.advance(COMMAND_MS);
    return command;
  }

  getRowKeys(): string[] {
    return this.table.getRowsByPrefix('evacuation/').map(({key}) => key);
  }
}

/** A process that follows the evacuations. */
class Process {
  readonly changes: EvacuationChange[] = [];
  readonly events: string[] = [];
  readonly follower: EvacuationFollower;

  constructor({clock}: Fixture, store: EvacuationStore, seed = 1) {
    this.follower = EvacuationFollower.create({
      store,
      clock,
      random: RandomSource.create(seed),
      pollMs: POLL_MS,
      listener: {
        onEvacuationsRead: change => this.changes.push(change),
        onReadFailed: () => this.events.push('failed'),
        onReadRecovered: () => this.events.push('recovered'),
      },
    });
    void this.follower.start();
  }
}

describe('EvacuationStore', () => {
  it('lets two operators evacuate one domain at the same time', async () => {
    const fixture = new Fixture();
    fixture.table.faults.delayMs = 5;
    const commands = [fixture.createStore(), fixture.createStore()].map(store =>
      store.evacuate('domain-a'),
    );
    const outcomes = await fixture.complete(Promise.all(commands));
    expect(
      outcomes.map(outcome => outcome._unsafeUnwrap()).sort(),
    ).to.deep.equal(['changed', 'unchanged']);
    expect(fixture.getRowKeys()).to.deep.equal(['evacuation/domain-a']);
  });

  it('keeps the changes of operators that change different domains at the same time', async () => {
    const fixture = new Fixture();
    fixture.table.faults.delayMs = 5;
    const commands = ['domain-a', 'domain-b', 'domain-c'].map(domain =>
      fixture.createStore().evacuate(domain),
    );
    const outcomes = await fixture.complete(Promise.all(commands));
    for (const outcome of outcomes) {
      expect(outcome._unsafeUnwrap()).to.equal('changed');
    }
    expect(fixture.getRowKeys()).to.have.length(3);
  });

  it('does not remove the row of an operator who evacuated the domain again meanwhile', async () => {
    const fixture = new Fixture();
    await fixture.createStore().evacuate('domain-a');
    fixture.table.faults.delayMs = 100;
    const slow = fixture.createStore().restore('domain-a');
    // The slow operator has read the row and is about to write.
    await fixture.clock.advance(250);
    fixture.table.faults.delayMs = 0;
    await fixture.createStore().restore('domain-a');
    await fixture.createStore().evacuate('domain-a');
    const outcome = await fixture.complete(slow);
    expect(outcome._unsafeUnwrapErr().kind).to.equal('conflict');
    expect(fixture.getRowKeys()).to.deep.equal(['evacuation/domain-a']);
  });

  it('reports a change whose response was lost as done', async () => {
    const fixture = new Fixture();
    const store = fixture.createStore();
    fixture.table.faults.loseNextAnswers = 1;
    const evacuated = await fixture.complete(store.evacuate('domain-a'));
    expect(evacuated._unsafeUnwrap()).to.equal('changed');
    fixture.table.faults.loseNextAnswers = 1;
    const restored = await fixture.complete(store.restore('domain-a'));
    expect(restored._unsafeUnwrap()).to.equal('changed');
    expect(fixture.getRowKeys()).to.deep.equal([]);
  });

  it('is not undone by a delayed duplicate that arrives after the restore', async () => {
    const fixture = new Fixture();
    const {table, clock} = fixture;
    const store = fixture.createStore();
    table.faults.applyNextLate = 1;
    table.faults.lateMs = 60_000;
    const evacuated = await fixture.complete(store.evacuate('domain-a'));
    expect(evacuated._unsafeUnwrap()).to.equal('changed');
    await fixture.complete(store.restore('domain-a'));
    await clock.advance(60_000);
    expect(fixture.getRowKeys()).to.deep.equal([]);
  });

  it('fails as unavailable during an outage, and may be repeated afterwards', async () => {
    const fixture = new Fixture();
    const store = fixture.createStore();
    fixture.table.faults.isOutage = true;
    const failed = await fixture.complete(store.evacuate('domain-a'));
    expect(failed._unsafeUnwrapErr().kind).to.equal('unavailable');
    fixture.table.faults.isOutage = false;
    const repeated = await fixture.complete(store.evacuate('domain-a'));
    expect(repeated._unsafeUnwrap()).to.equal('changed');
    const again = await fixture.complete(store.evacuate('domain-a'));
    expect(again._unsafeUnwrap()).to.equal('unchanged');
  });
});

describe('EvacuationFollower', () => {
  it('follows each change within the bound, with one failed read in between', async () => {
    for (let seed = 1; seed <= 20; seed++) {
      const fixture = new Fixture();
      const {clock, table} = fixture;
      const process = new Process(fixture, fixture.createStore(), seed);
      await clock.advance(seed * 311);
      await fixture.createStore().evacuate('domain-a');
      table.faults.isOutage = true;
      await clock.advance(2_500);
      table.faults.isOutage = false;
      await clock.advance(EFFECT_LIMIT_MS - 2_500);
      expect(process.follower.getDomains()).to.deep.equal(['domain-a']);
      await fixture.createStore().restore('domain-a');
      await clock.advance(EFFECT_LIMIT_MS);
      expect(process.follower.getDomains()).to.deep.equal([]);
      expect(process.changes.slice(-2)).to.deep.equal([
        {domains: ['domain-a'], evacuated: ['domain-a'], restored: []},
        {domains: [], evacuated: [], restored: ['domain-a']},
      ]);
      process.follower.stop();
    }
  });

  it('keeps the last known domains during an outage and reports it once', async () => {
    const fixture = new Fixture();
    const {clock, table} = fixture;
    await fixture.createStore().evacuate('domain-a');
    const process = new Process(fixture, fixture.createStore());
    await clock.advance(0);
    table.faults.isOutage = true;
    await clock.advance(60_000);
    expect(process.follower.getDomains()).to.deep.equal(['domain-a']);
    expect(process.events).to.deep.equal(['failed']);
    table.faults.isOutage = false;
    await clock.advance(EFFECT_LIMIT_MS);
    expect(process.events).to.deep.equal(['failed', 'recovered']);
    expect(process.changes).to.have.length(1);
  });

  it('knows the domains after a restart as soon as the table responds', async () => {
    const fixture = new Fixture();
    const {clock, table} = fixture;
    await fixture.createStore().evacuate('domain-a');
    table.faults.isOutage = true;
    const process = new Process(fixture, fixture.createStore());
    await clock.advance(20_000);
    expect(process.follower.isKnown()).to.equal(false);
    expect(process.changes).to.deep.equal([]);
    table.faults.isOutage = false;
    await clock.advance(500);
    expect(process.follower.isKnown()).to.equal(true);
    expect(process.follower.getDomains()).to.deep.equal(['domain-a']);
  });

  it('keeps what it knew in a domain that is cut off from the table', async () => {
    const fixture = new Fixture();
    const {clock, table} = fixture;
    const cutTable = MemoryTable.create(clock);
    const cutStore = EvacuationStore.create({
      table: cutTable,
      retryingCommitter: RetryingCommitter.create({table: cutTable, clock}),
      tokens: CountingTokenSource.create('cut'),
    });
    let isCut = false;
    cutTable.getRows = query => {
      cutTable.faults.isOutage = isCut;
      return isCut
        ? MemoryTable.prototype.getRows.call(cutTable, query)
        : table.getRows(query);
    };
    const cut = new Process(fixture, cutStore);
    const connected = new Process(fixture, fixture.createStore(), 2);
    await fixture.createStore().evacuate('domain-a');
    await clock.advance(EFFECT_LIMIT_MS);
    isCut = true;
    await fixture.createStore().restore('domain-a');
    await fixture.createStore().evacuate('domain-b');
    await clock.advance(30_000);
    expect(connected.follower.getDomains()).to.deep.equal(['domain-b']);
    expect(cut.follower.getDomains()).to.deep.equal(['domain-a']);
    isCut = false;
    await clock.advance(EFFECT_LIMIT_MS);
    expect(cut.follower.getDomains()).to.deep.equal(['domain-b']);
  });
});
