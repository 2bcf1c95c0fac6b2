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
  readonly changes: EvacuationChange[] = [];
  readonly events: string[] = [];
  private count = 0;

  createStore(): EvacuationStore {
    const {table, clock} = this;
    return EvacuationStore.create({
      table,
      retryingCommitter: RetryingCommitter.create({table, clock}),
      tokens: CountingTokenSource.create(`process-${++this.count}`),
    });
  }

  startFollower(seed = 1): EvacuationFollower {
    const follower = EvacuationFollower.create({
      store: this.createStore(),
      clock: this.clock,
      random: RandomSource.create(seed),
      pollMs: POLL_MS,
      listener: {
        onEvacuationsRead: change => this.changes.push(change),
        onReadFailed: () => this.events.push('failed'),
        onReadRecovered: () => this.events.push('recovered'),
      },
    });
    void follower.start();
    return follower;
  }

  /** Runs a command to its end, and gets its outcome or the kind of its error. */
  async complete(
    command: ReturnType<EvacuationStore['evacuate']>,
  ): Promise<string> {
    await this.clock.advance(COMMAND_MS);
    return (await command).match<string>(
      outcome => outcome,
      ({kind}) => kind,
    );
  }

  getRowKeys(): string[] {
    return this.table.getRowsByPrefix('evacuation/').map(({key}) => key);
  }
}

describe('EvacuationStore', () => {
  it('keeps the changes of operators that evacuate the same or different domains at the same time', async () => {
    const fixture = new Fixture();
    fixture.table.faults.delayMs = 5;
    const commands = ['a', 'a', 'b', 'c'].map(domain =>
      fixture.createStore().evacuate(domain),
    );
    const outcomes: string[] = [];
    for (const command of commands) {
      outcomes.push(await fixture.complete(command));
    }
    const [first, second, ...others] = outcomes;
    expect([first, second]).to.have.members(['changed', 'unchanged']);
    expect(others).to.deep.equal(['changed', 'changed']);
    expect(fixture.getRowKeys()).to.have.length(3);
  });

  it('does not remove the row of an operator who evacuated the domain again meanwhile', async () => {
    const fixture = new Fixture();
    const {table, clock} = fixture;
    await fixture.createStore().evacuate('a');
    table.faults.delayMs = 100;
    const slow = fixture.createStore().restore('a');
    // The slow operator has read the row and is about to write.
    await clock.advance(250);
    table.faults.delayMs = 0;
    await fixture.createStore().restore('a');
    await fixture.createStore().evacuate('a');
    expect(await fixture.complete(slow)).to.equal('conflict');
    expect(fixture.getRowKeys()).to.deep.equal(['evacuation/a']);
  });

  it('reports a change whose response was lost as done', async () => {
    const fixture = new Fixture();
    const store = fixture.createStore();
    fixture.table.faults.loseNextAnswers = 1;
    expect(await fixture.complete(store.evacuate('a'))).to.equal('changed');
    fixture.table.faults.loseNextAnswers = 1;
    expect(await fixture.complete(store.restore('a'))).to.equal('changed');
    expect(fixture.getRowKeys()).to.deep.equal([]);
  });

  it('is not undone by a delayed duplicate that arrives after the restore', async () => {
    const fixture = new Fixture();
    const store = fixture.createStore();
    fixture.table.faults.applyNextLate = 1;
    fixture.table.faults.lateMs = 60_000;
    expect(await fixture.complete(store.evacuate('a'))).to.equal('changed');
    expect(await fixture.complete(store.restore('a'))).to.equal('changed');
    await fixture.clock.advance(60_000);
    expect(fixture.getRowKeys()).to.deep.equal([]);
  });

  it('is not changed by a delayed write that a command gave up, once a later command has found nothing to do', async () => {
    // Guards against a domain that takes work after "evacuated already", and against one that does not after "not evacuated".
    for (const isEvacuation of [true, false]) {
      const fixture = new Fixture();
      const {table, clock} = fixture;
      const store = fixture.createStore();
      if (!isEvacuation) await fixture.complete(store.evacuate('a'));
      const keys = fixture.getRowKeys();
      table.faults.applyNextLate = 1;
      table.faults.lateMs = 60_000;
      const givenUp = isEvacuation ? store.evacuate('a') : store.restore('a');
      await clock.advance(10);
      table.faults.isOutage = true;
      const error = await fixture.complete(givenUp);
      expect(error).to.equal('unavailable');
      table.faults.isOutage = false;
      const opposite = isEvacuation ? store.restore('a') : store.evacuate('a');
      expect(await fixture.complete(opposite)).to.equal('unchanged');
      await clock.advance(60_000);
      expect(fixture.getRowKeys()).to.deep.equal(keys);
    }
  });

  it('fails as unavailable during an outage, and may be repeated afterwards', async () => {
    const fixture = new Fixture();
    const store = fixture.createStore();
    const evacuate = () => fixture.complete(store.evacuate('a'));
    fixture.table.faults.isOutage = true;
    expect(await evacuate()).to.equal('unavailable');
    fixture.table.faults.isOutage = false;
    expect(await evacuate()).to.equal('changed');
    expect(await evacuate()).to.equal('unchanged');
  });
});

describe('EvacuationFollower', () => {
  it('follows each change within the bound, with failed reads in between', async () => {
    for (let seed = 1; seed <= 20; seed++) {
      const fixture = new Fixture();
      const {clock, table} = fixture;
      const follower = fixture.startFollower(seed);
      await clock.advance(seed * 311);
      await fixture.createStore().evacuate('a');
      table.faults.isOutage = true;
      await clock.advance(2_500);
      table.faults.isOutage = false;
      await clock.advance(EFFECT_LIMIT_MS - 2_500);
      expect(follower.getDomains()).to.deep.equal(['a']);
      await fixture.createStore().restore('a');
      await clock.advance(EFFECT_LIMIT_MS);
      expect(fixture.changes.slice(-2)).to.deep.equal([
        {domains: ['a'], evacuated: ['a'], restored: []},
        {domains: [], evacuated: [], restored: ['a']},
      ]);
    }
  });

  it('keeps the last known domains while the table does not respond, and reports it once', async () => {
    const fixture = new Fixture();
    const {clock, table} = fixture;
    await fixture.createStore().evacuate('a');
    const follower = fixture.startFollower();
    await clock.advance(0);
    table.faults.isOutage = true;
    await clock.advance(60_000);
    expect(follower.getDomains()).to.deep.equal(['a']);
    expect(fixture.events).to.deep.equal(['failed']);
    table.faults.isOutage = false;
    await clock.advance(EFFECT_LIMIT_MS);
    expect(fixture.events).to.deep.equal(['failed', 'recovered']);
    expect(fixture.changes).to.have.length(1);
  });

  it('knows the domains after a restart as soon as the table responds', async () => {
    const fixture = new Fixture();
    const {clock, table} = fixture;
    await fixture.createStore().evacuate('a');
    table.faults.isOutage = true;
    const follower = fixture.startFollower();
    await clock.advance(20_000);
    expect(follower.isKnown()).to.equal(false);
    expect(fixture.changes).to.deep.equal([]);
    table.faults.isOutage = false;
    await clock.advance(500);
    expect(follower.isKnown()).to.equal(true);
    expect(follower.getDomains()).to.deep.equal(['a']);
  });
});
