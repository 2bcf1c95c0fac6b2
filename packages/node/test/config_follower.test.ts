import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  createInvalidInputError,
  createNotFoundError,
  createUnavailableError,
} from '@mustardlug/base/errors';
import {
  createDefaultRowStoreFaults,
  MemoryRowStore,
} from '@mustardlug/standins/memory_row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {HybridLogicalClock} from '@mustardlug/telemetry/hybrid_logical_clock';
import {expect} from 'chai';
import {err, ok} from 'neverthrow';
import {ConfigFollower} from '../src/config_follower.js';

const TABLE = 'operators';

/** Time in which a change reaches a node whose feed responds. */
const FEED_MS = 50;

/** Time after which the rows of a silent feed are too old to start tasks. */
const AGE_LIMIT_MS = 3_500;

/** Time after which a call with a wait of 1,000 ms is given up, with its grace period. */
const SILENT_CALL_MS = 1_840;

/** Followers of several nodes of one store. */
class FollowerFixture {
  readonly clock = VirtualClock.create();
  readonly store = MemoryRowStore.create(this.clock);

  /** Starts the follower of a node. */
  addNode(evacuationMs: number | undefined = 5_000) {
    const {clock} = this;
    const faults = createDefaultRowStoreFaults();
    const events = EventRecorder.create({
      nodeId: 'node-1',
      clock: HybridLogicalClock.create(clock),
      capacity: 64,
    });
    const follower = ConfigFollower.create({
      store: this.store.createClient(faults),
      clock,
      events,
      table: TABLE,
      key: 'config',
      decode: () => err(createInvalidInputError('a configuration', [])),
      decodeEvacuation: key => {
        if (key === 'bad') return err(createNotFoundError('a domain'));
        return ok(key === 'config' ? undefined : key);
      },
      evacuationMs,
    });
    void follower.run();
    return {faults, events, follower, evacuations: follower.getEvacuations()};
  }

  evacuate(domain: string): void {
    this.store.put({table: TABLE, part: '', key: domain}, {});
  }

  restore(domain: string): void {
    this.store.remove({table: TABLE, part: '', key: domain});
  }
}

describe('ConfigFollower', () => {
  it('knows evacuations of before its start, and is not current before it has read them', async () => {
    // Guards against starts by a node that takes over during an evacuation.
    const fixture = new FollowerFixture();
    fixture.evacuate('domain-a');
    const {evacuations} = fixture.addNode();
    expect(evacuations.isCurrent()).to.equal(false);
    await fixture.clock.advance(FEED_MS);
    expect(evacuations.getDomains()).to.deep.equal(['domain-a']);
    expect(evacuations.isCurrent()).to.equal(true);
  });

  it('follows requests, removals and immediate new requests on all nodes', async () => {
    // Guards against nodes that decide by different evacuations.
    const fixture = new FollowerFixture();
    const nodes = [fixture.addNode(), fixture.addNode()];
    await fixture.clock.advance(FEED_MS);
    const expectDomains = async (...domains: string[]) => {
      await fixture.clock.advance(FEED_MS);
      for (const {evacuations} of nodes)
        expect(evacuations.getDomains().sort()).to.deep.equal(domains);
    };
    fixture.evacuate('domain-a');
    fixture.evacuate('domain-b');
    await expectDomains('domain-a', 'domain-b');
    fixture.restore('domain-a');
    await expectDomains('domain-b');
    fixture.evacuate('domain-a');
    fixture.restore('domain-a');
    fixture.evacuate('domain-a');
    await expectDomains('domain-a', 'domain-b');
  });

  it('stays current while nothing changes', async () => {
    // Guards against a quiet feed that stops starts, also under the shortest bound.
    for (const evacuationMs of [5_000, 2_000]) {
      const fixture = new FollowerFixture();
      const {evacuations} = fixture.addNode(evacuationMs);
      await fixture.clock.advance(FEED_MS);
      for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += 10) {
        await fixture.clock.advance(10);
        expect(evacuations.isCurrent()).to.equal(true);
      }
    }
  });

  it('asks its feed to wait for whole milliseconds, under any bound', async () => {
    // Guards against a store that rejects the wait, so that no row is read and nothing starts.
    const fixture = new FollowerFixture();
    const {store} = fixture;
    const waitsMs: number[] = [];
    const createClient = store.createClient.bind(store);
    store.createClient = faults => {
      const client = createClient(faults);
      const getChanges = client.getChanges.bind(client);
      client.getChanges = request => {
        waitsMs.push(request.waitMs);
        return getChanges(request);
      };
      return client;
    };
    for (const evacuationMs of [2_000, 4_000, 5_000])
      fixture.addNode(evacuationMs);
    await fixture.clock.advance(FEED_MS);
    expect(waitsMs).to.deep.equal([166, 833, 1_000]);
  });

  it('stays current if a single call of a quiet feed gets no response', async () => {
    // Guards against a lost packet that stops all starts.
    const fixture = new FollowerFixture();
    const {store, clock} = fixture;
    const createClient = store.createClient.bind(store);
    let callCount = 0;
    store.createClient = faults => {
      const client = createClient(faults);
      const getChanges = client.getChanges.bind(client);
      client.getChanges = async request => {
        if (++callCount !== 3) return getChanges(request);
        await clock.sleep(SILENT_CALL_MS);
        return err(createUnavailableError('no response', false));
      };
      return client;
    };
    const {evacuations} = fixture.addNode();
    await clock.advance(FEED_MS);
    for (let elapsedMs = 0; elapsedMs < 8_000; elapsedMs += 10) {
      await clock.advance(10);
      expect(evacuations.isCurrent(), `${elapsedMs} ms`).to.equal(true);
    }
    expect(callCount).to.be.above(5);
  });

  it('is not current while its feed is silent, and reads what has changed afterwards', async () => {
    // Guards against starts by a node that cannot know of an evacuation.
    const fixture = new FollowerFixture();
    const {evacuations, faults, events} = fixture.addNode();
    await fixture.clock.advance(FEED_MS);
    faults.isSilent = true;
    fixture.evacuate('domain-a');
    await fixture.clock.advance(AGE_LIMIT_MS);
    expect(evacuations.isCurrent()).to.equal(false);
    evacuations.reportAge();
    faults.isSilent = false;
    await fixture.clock.advance(1_000);
    expect(evacuations.isCurrent()).to.equal(true);
    expect(evacuations.getDomains()).to.deep.equal(['domain-a']);
    const names = events.getEvents().map(({name}) => name);
    expect(names.filter(name => name.startsWith('evacuation'))).to.deep.equal([
      'evacuations-unknown',
      'evacuation-in-force',
      'evacuations-known',
    ]);
  });

  it('replaces the evacuations when the store has forgotten what has changed', async () => {
    // Guards against an evacuation that outlasts its row.
    const fixture = new FollowerFixture();
    const {evacuations, faults} = fixture.addNode();
    fixture.evacuate('domain-a');
    await fixture.clock.advance(FEED_MS);
    faults.isSilent = true;
    await fixture.clock.advance(1_000);
    fixture.restore('domain-a');
    fixture.evacuate('domain-b');
    fixture.store.truncateHistory();
    faults.isSilent = false;
    await fixture.clock.advance(1_000);
    expect(evacuations.getDomains()).to.deep.equal(['domain-b']);
  });

  it('applies evacuations beside rows that cannot be read', async () => {
    // Guards against a malformed key or configuration that hides an evacuation.
    const fixture = new FollowerFixture();
    const {evacuations, events} = fixture.addNode();
    for (const key of ['bad', 'config', 'domain-a']) fixture.evacuate(key);
    await fixture.clock.advance(FEED_MS);
    fixture.evacuate('bad');
    await fixture.clock.advance(FEED_MS);
    expect(evacuations.getDomains()).to.deep.equal(['domain-a']);
    const names = events.getEvents().map(({name}) => name);
    expect(names.filter(name => name === 'evacuation-invalid').length).to.equal(
      1,
    );
  });

  it('ignores evacuations in deployments without a bound', async () => {
    // Guards against a change for deployments that do not have the setting.
    const fixture = new FollowerFixture();
    const faults = createDefaultRowStoreFaults();
    const {clock} = fixture;
    const events = EventRecorder.create({
      nodeId: 'node-1',
      clock: HybridLogicalClock.create(clock),
      capacity: 64,
    });
    const follower = ConfigFollower.create({
      store: fixture.store.createClient(faults),
      clock,
      events,
      table: TABLE,
      key: 'config',
      decode: () => err(createInvalidInputError('a configuration', [])),
      decodeEvacuation: key => ok(key),
      evacuationMs: undefined,
    });
    void follower.run();
    fixture.evacuate('domain-a');
    faults.isSilent = true;
    await clock.advance(AGE_LIMIT_MS);
    expect(follower.getEvacuations().getDomains()).to.be.empty;
    expect(follower.getEvacuations().isCurrent()).to.equal(true);
  });
});
