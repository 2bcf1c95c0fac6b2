import {expect} from 'chai';
import {err} from 'neverthrow';
import {createUnavailableError} from '@mustardlug/base/errors';
import {RandomSource} from '@mustardlug/base/random_source';
import {EvacuationFollower} from '@mustardlug/document/evacuation_follower';
import {EvacuationStore} from '@mustardlug/document/evacuation_store';
import {CountingTokenSource} from '@mustardlug/platform/token_source';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {TableService} from '@mustardlug/platform/table_service';
import {EvacuationGate} from '@mustardlug/routing/evacuation_gate';
import {CallerAnswer} from '@mustardlug/routing/request_runner';
import {RemoteTable} from '@mustardlug/standins/remote_table';
import {EntryNode, RequestHarness, SERVICE} from '../src/request_harness.js';

const DOMAINS = ['a', 'b', 'c'];
const POLL_MS = 2_000;
/** Specified bound from the end of a command until processes that reach the table follow. */
const EFFECT_LIMIT_MS = 5_000;
const SETTLE_MS = 6_000;
const STEP_MS = 20;

function createStore(table: TableService, harness: RequestHarness) {
  const {clock} = harness;
  return EvacuationStore.create({
    table,
    retryingCommitter: RetryingCommitter.create({table, clock}),
    tokens: CountingTokenSource.create('operator'),
  });
}

/** Entries of three failure domains that follow the evacuations. */
class Fixture {
  readonly harness: RequestHarness;
  readonly operator: EvacuationStore;
  /** Failure domains that do not reach the table. */
  readonly cutDomains = new Set<string>();
  readonly gates = new Map<EntryNode, EvacuationGate>();
  readonly answers: CallerAnswer[] = [];
  /** Requests that reached workers, by failure domain. */
  readonly arrivals = new Map<string, number>();
  private sentCount = 0;

  constructor(serviceTimeMs = 20) {
    this.harness = new RequestHarness({
      seed: 21,
      entries: {a: 2, b: 2, c: 2},
      workers: {a: 3, b: 3, c: 3},
      serviceTimeMs,
    });
    this.operator = createStore(this.harness.table, this.harness);
    for (const node of this.harness.nodes) this.follow(node);
    for (const [workerId, model] of this.harness.models) {
      const [, domain] = workerId.split('-');
      const begin = model.beginRequest.bind(model);
      model.beginRequest = (token, service) => {
        this.arrivals.set(domain, this.getArrivals(domain) + 1);
        return begin(token, service);
      };
    }
  }

  /** Lets an entry follow the evacuations from now on. */
  follow(node: EntryNode): void {
    const table = RemoteTable.create(this.harness.table, node.clock);
    const getRows = table.getRows.bind(table);
    table.getRows = async query =>
      this.cutDomains.has(node.domain)
        ? err(createUnavailableError('the table is cut off', false))
        : getRows(query);
    const gate = EvacuationGate.create({
      failureDomain: node.domain,
      registry: node.registry,
      directory: node.directory,
    });
    this.gates.set(node, gate);
    const follower = EvacuationFollower.create({
      store: createStore(table, this.harness),
      clock: node.clock,
      random: RandomSource.create(this.gates.size),
      pollMs: POLL_MS,
      listener: {
        onEvacuationsRead: ({domains}) => gate.setEvacuatedDomains(domains),
        onReadFailed: () => undefined,
        onReadRecovered: () => undefined,
      },
    });
    void follower.start();
  }

  async evacuate(domain: string): Promise<void> {
    const command = this.operator.evacuate(domain);
    await this.harness.clock.advance(50);
    expect((await command).isOk()).to.equal(true);
  }

  async restore(domain: string): Promise<void> {
    const command = this.operator.restore(domain);
    await this.harness.clock.advance(50);
    expect((await command).isOk()).to.equal(true);
  }

  /** Sends a request through each entry of some domains at every step. */
  async send(durationMs: number, domains = DOMAINS): Promise<CallerAnswer[]> {
    const {harness} = this;
    const pending: Array<Promise<CallerAnswer>> = [];
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      for (const node of harness.nodes) {
        if (!domains.includes(node.domain)) continue;
        const body = `request ${++this.sentCount}`;
        pending.push(harness.sendRequest(node, body));
      }
      await harness.clock.advance(STEP_MS);
    }
    await harness.clock.advance(SETTLE_MS);
    return Promise.all(pending);
  }

  getArrivals(domain: string): number {
    return this.arrivals.get(domain) ?? 0;
  }

  /** Checks that no request was executed twice. */
  expectSingleRuns(): void {
    for (const [body, count] of this.harness.runCountsByBody) {
      expect(count, body).to.equal(1);
    }
  }
}

function countOutcomes(answers: readonly CallerAnswer[], outcome: string) {
  return answers.filter(answer => answer.outcome === outcome).length;
}

describe('an evacuated failure domain', () => {
  it('gets no new requests after the bound, and its callers are served elsewhere', async () => {
    const fixture = new Fixture();
    await fixture.harness.clock.advance(SETTLE_MS);
    await fixture.evacuate('b');
    const switching = await fixture.send(EFFECT_LIMIT_MS);
    expect(countOutcomes(switching, 'ran')).to.equal(switching.length);
    const before = fixture.getArrivals('b');
    const during = await fixture.send(10_000);
    expect(countOutcomes(during, 'ran')).to.equal(during.length);
    expect(fixture.getArrivals('b')).to.equal(before);
    await fixture.restore('b');
    await fixture.harness.clock.advance(EFFECT_LIMIT_MS);
    const after = await fixture.send(2_000);
    expect(countOutcomes(after, 'ran')).to.equal(after.length);
    expect(fixture.getArrivals('b')).to.be.greaterThan(before);
    fixture.expectSingleRuns();
  });

  it('completes the requests in progress, and sends later ones elsewhere', async () => {
    const fixture = new Fixture(150);
    const {harness} = fixture;
    await harness.clock.advance(SETTLE_MS);
    let started = 0;
    let inProgress = 0;
    harness.clock.setTimer(150, () => {
      for (const [node, gate] of fixture.gates) {
        if (node.domain !== 'b') continue;
        inProgress += node.registry.getRunningCount();
        gate.setEvacuatedDomains(['b']);
      }
    });
    // A request that was dispatched just before needs a little to arrive.
    harness.clock.setTimer(155, () => {
      started = fixture.getArrivals('b');
    });
    const answers = await fixture.send(200, ['b']);
    expect(inProgress).to.be.greaterThan(5);
    expect(countOutcomes(answers, 'ran')).to.equal(answers.length);
    expect(fixture.getArrivals('b')).to.equal(started);
    fixture.expectSingleRuns();
  });

  it('gets no requests from a domain that does not know of its evacuation', async () => {
    const fixture = new Fixture();
    const {harness} = fixture;
    await harness.clock.advance(SETTLE_MS);
    fixture.cutDomains.add('a');
    await fixture.evacuate('b');
    await harness.clock.advance(EFFECT_LIMIT_MS);
    const before = fixture.getArrivals('b');
    const answers = await fixture.send(5_000);
    expect(countOutcomes(answers, 'ran')).to.equal(answers.length);
    expect(fixture.getArrivals('b')).to.equal(before);
    fixture.expectSingleRuns();
  });

  it('serves only its own callers if it is cut off from the table and does not know', async () => {
    const fixture = new Fixture();
    const {harness} = fixture;
    await harness.clock.advance(SETTLE_MS);
    fixture.cutDomains.add('b');
    await fixture.evacuate('b');
    // Callers in a are served elsewhere, for which the entries in b offer slots.
    await fixture.evacuate('a');
    await harness.clock.advance(EFFECT_LIMIT_MS);
    const before = fixture.getArrivals('b');
    const others = await fixture.send(2_000, ['a', 'c']);
    expect(countOutcomes(others, 'ran')).to.equal(others.length);
    expect(fixture.getArrivals('b')).to.equal(before);
    const own = await fixture.send(2_000, ['b']);
    expect(countOutcomes(own, 'ran')).to.equal(own.length);
    expect(fixture.getArrivals('b')).to.be.greaterThan(before);
  });

  it('stays evacuated in a process that restarts while the table does not respond', async () => {
    const fixture = new Fixture();
    const {harness} = fixture;
    await harness.clock.advance(SETTLE_MS);
    await fixture.evacuate('b');
    await harness.clock.advance(EFFECT_LIMIT_MS);
    const before = fixture.getArrivals('b');
    harness.table.faults.isOutage = true;
    for (const node of harness.nodes.filter(({domain}) => domain === 'b')) {
      harness.killNode(node, false);
    }
    const restarted = harness.addNode('b');
    fixture.follow(restarted);
    await harness.clock.advance(SETTLE_MS);
    harness.table.faults.isOutage = false;
    await harness.clock.advance(1_000);
    const body = 'request after the restart';
    const answer = harness.sendRequest(restarted, body);
    await harness.clock.advance(SETTLE_MS);
    expect((await answer).outcome).to.equal('ran');
    expect(fixture.getArrivals('b')).to.equal(before);
  });

  it('is served without knowledge if the table does not respond for too long after the start', async () => {
    const fixture = new Fixture();
    const {harness} = fixture;
    harness.table.faults.isOutage = true;
    for (const node of harness.nodes) harness.killNode(node, false);
    const restarted = harness.addNode('b');
    fixture.follow(restarted);
    await harness.clock.advance(SETTLE_MS);
    expect(restarted.registry.getLoad(SERVICE)?.slots).to.equal(0);
    fixture.gates.get(restarted)?.endWait();
    expect(restarted.registry.getLoad(SERVICE)?.slots).to.be.greaterThan(0);
  });

  it('refuses requests as not run if no other domain is in service', async () => {
    const fixture = new Fixture();
    const {harness} = fixture;
    await harness.clock.advance(SETTLE_MS);
    for (const domain of DOMAINS) await fixture.evacuate(domain);
    await harness.clock.advance(EFFECT_LIMIT_MS);
    const answers = await fixture.send(200);
    expect(countOutcomes(answers, 'not-run')).to.equal(answers.length);
    expect(harness.runCountsByBody.size).to.equal(0);
    for (const {status, retryAfterMs} of answers) {
      expect(status).to.equal(503);
      expect(retryAfterMs).to.be.greaterThan(0);
    }
  });
});
