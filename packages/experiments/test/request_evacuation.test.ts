import {expect} from 'chai';
import {CallerAnswer} from '@mustardlug/routing/request_runner';
import {RequestHarness, SERVICE} from '../src/request_harness.js';

const DOMAINS = ['a', 'b', 'c'];
/** Specified bound from the end of a command until processes that reach the table follow. */
const EFFECT_LIMIT_MS = 5_000;
const SETTLE_MS = 6_000;

async function createHarness(serviceTimeMs = 20): Promise<RequestHarness> {
  const harness = new RequestHarness({
    seed: 21,
    entries: {a: 2, b: 2, c: 2},
    workers: {a: 3, b: 3, c: 3},
    serviceTimeMs,
    followsEvacuations: true,
  });
  await harness.clock.advance(SETTLE_MS);
  return harness;
}

/** Evacuates domains, and waits until the bound has passed. */
async function evacuate(
  harness: RequestHarness,
  domains: readonly string[],
): Promise<void> {
  for (const domain of domains) {
    const command = harness.evacuations.evacuate(domain);
    await harness.clock.advance(50);
    expect((await command).isOk()).to.equal(true);
  }
  await harness.clock.advance(EFFECT_LIMIT_MS);
}

/** Checks that all requests were executed, exactly once. */
function expectRun(harness: RequestHarness, answers: CallerAnswer[]): void {
  expect(answers).not.to.deep.equal([]);
  for (const {outcome, reason} of answers) {
    expect(outcome, reason).to.equal('ran');
  }
  for (const [body, count] of harness.runCountsByBody) {
    expect(count, body).to.equal(1);
  }
}

describe('an evacuated failure domain', () => {
  it('gets no new requests after the bound, and its callers are served elsewhere', async () => {
    const harness = await createHarness();
    void harness.evacuations.evacuate('b');
    expectRun(harness, await harness.sendAtIntervals(EFFECT_LIMIT_MS, DOMAINS));
    const before = harness.getAttempts('b');
    expectRun(harness, await harness.sendAtIntervals(10_000, DOMAINS));
    expect(harness.getAttempts('b')).to.equal(before);
    void harness.evacuations.restore('b');
    await harness.clock.advance(EFFECT_LIMIT_MS);
    expectRun(harness, await harness.sendAtIntervals(2_000, DOMAINS));
    expect(harness.getAttempts('b')).to.be.greaterThan(before);
  });

  it('completes the requests in progress, and sends later ones elsewhere', async () => {
    const harness = await createHarness(150);
    let inProgress = 0;
    harness.clock.setTimer(150, () => {
      for (const {domain, gate, registry} of harness.nodes) {
        if (domain !== 'b') continue;
        inProgress += registry.getRunningCount();
        gate?.setEvacuatedDomains(['b']);
      }
    });
    let started = 0;
    // A request that was dispatched just before needs a little to arrive.
    harness.clock.setTimer(155, () => {
      started = harness.getAttempts('b');
    });
    expectRun(harness, await harness.sendAtIntervals(200, ['b']));
    expect(inProgress).to.be.greaterThan(5);
    expect(harness.getAttempts('b')).to.equal(started);
  });

  it('gets no requests from a domain that does not know of its evacuation', async () => {
    const harness = await createHarness();
    harness.domainsWithoutTable.add('a');
    await evacuate(harness, ['b']);
    expectRun(harness, await harness.sendAtIntervals(5_000, DOMAINS));
    expect(harness.getAttempts('b')).to.equal(0);
  });

  it('serves only its own callers if it is cut off from the table and does not know', async () => {
    const harness = await createHarness();
    harness.domainsWithoutTable.add('b');
    // Callers in a are served elsewhere, for which the entries in b offer slots.
    await evacuate(harness, ['a', 'b']);
    expectRun(harness, await harness.sendAtIntervals(2_000, ['a', 'c']));
    expect(harness.getAttempts('b')).to.equal(0);
    expectRun(harness, await harness.sendAtIntervals(2_000, ['b']));
    expect(harness.getAttempts('b')).to.be.greaterThan(0);
  });

  it('stays evacuated while it is cut off from the table, although others know of its restore', async () => {
    const harness = await createHarness();
    await evacuate(harness, ['b']);
    harness.domainsWithoutTable.add('b');
    void harness.evacuations.restore('b');
    await harness.clock.advance(EFFECT_LIMIT_MS);
    expectRun(harness, await harness.sendAtIntervals(2_000, DOMAINS));
    expect(harness.getAttempts('b')).to.equal(0);
    harness.domainsWithoutTable.clear();
    await harness.clock.advance(EFFECT_LIMIT_MS);
    expectRun(harness, await harness.sendAtIntervals(2_000, DOMAINS));
    expect(harness.getAttempts('b')).to.be.greaterThan(0);
  });

  it('stays evacuated in a process that restarts while the table does not respond', async () => {
    const harness = await createHarness();
    await evacuate(harness, ['b']);
    harness.table.faults.isOutage = true;
    for (const node of harness.nodes) {
      if (node.domain === 'b') harness.killNode(node, false);
    }
    harness.addNode('b');
    await harness.clock.advance(SETTLE_MS);
    harness.table.faults.isOutage = false;
    await harness.clock.advance(1_000);
    expectRun(harness, await harness.sendAtIntervals(1_000, ['b']));
    expect(harness.getAttempts('b')).to.equal(0);
  });

  it('is served without knowledge if the table does not respond for too long after the start', async () => {
    const harness = await createHarness();
    harness.table.faults.isOutage = true;
    for (const node of harness.nodes) harness.killNode(node, false);
    const {registry, gate} = harness.addNode('b');
    await harness.clock.advance(SETTLE_MS);
    expect(registry.getLoad(SERVICE)?.slots).to.equal(0);
    gate?.endWait();
    expect(registry.getLoad(SERVICE)?.slots).to.be.greaterThan(0);
  });

  it('refuses requests as not run if no other domain is in service', async () => {
    const harness = await createHarness();
    await evacuate(harness, DOMAINS);
    for (const answer of await harness.sendAtIntervals(200, DOMAINS)) {
      expect(answer).to.include({outcome: 'not-run', status: 503});
      expect(answer.retryAfterMs).to.be.greaterThan(0);
    }
    expect(harness.runCountsByBody.size).to.equal(0);
  });
});
