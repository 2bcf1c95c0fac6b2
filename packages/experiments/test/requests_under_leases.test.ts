import {expect} from 'chai';
import {DEFAULT_LEASE_TIMING} from '@mustardlug/membership/lease_manager';
import {CallerAnswer} from '@mustardlug/routing/request_runner';
import {EntryNode, RequestHarness, SERVICE} from '../src/request_harness.js';

const SLOTS = 8;
const LEAVING_WORKER = 'worker-a-1';
const STEP_MS = 50;
const SETTLE_MS = 10_000;
/** Documented bound: time in which the workers of a dead lease holder are leased again. */
const TAKEOVER_MS =
  DEFAULT_LEASE_TIMING.ttlMs + 1.25 * DEFAULT_LEASE_TIMING.pollMs + 100;
/** Documented bound: time after which a leaving upstream gets no new requests. */
const LEAVING_NOTICE_MS = 3_000;
/** Documented bound: time in which a silent peer connection is replaced. */
const LINK_REPLACEMENT_MS = 4_500;

function createHarness(entries = 3, workers = 4): RequestHarness {
  return new RequestHarness({
    seed: 21,
    entries: {a: entries},
    workers: {a: workers},
  });
}

function getHolders(harness: RequestHarness, workerId: string): EntryNode[] {
  return harness.nodes.filter(
    node => node.leases.getLease(workerId) !== undefined,
  );
}

function countLeasedWorkers(harness: RequestHarness): number {
  let leased = 0;
  for (const workerId of harness.models.keys()) {
    const live = getHolders(harness, workerId).filter(node =>
      node.clock.isRunning(),
    );
    leased += live.length;
  }
  return leased;
}

/** Marks a worker as leaving; the returned list collects all requests that it admits from then on. */
function markLeavingAndRecordRequests(harness: RequestHarness): string[] {
  const admitted: string[] = [];
  const model = harness.models.get(LEAVING_WORKER);
  if (model === undefined) return admitted;
  model.behavior.isLeaving = true;
  const begin = model.beginRequest.bind(model);
  model.beginRequest = (token, service) =>
    begin(token, service).map(() => {
      admitted.push(service);
    });
  return admitted;
}

/** Sends requests at a fixed rate, and checks at each step that no worker has two holders. */
async function sendAtFixedRate(
  harness: RequestHarness,
  durationMs: number,
  requestsPerStep: number,
  getNode: (index: number) => EntryNode,
): Promise<CallerAnswer[]> {
  const responses: CallerAnswer[] = [];
  let index = 0;
  for (let elapsed = 0; elapsed < durationMs; elapsed += STEP_MS) {
    for (let count = 0; count < requestsPerStep; count++) {
      const body = `request-${harness.clock.getMonotonicMs()}-${index}`;
      void harness
        .sendRequest(getNode(index++), body)
        .then(response => responses.push(response));
    }
    await harness.clock.advance(STEP_MS);
    for (const workerId of harness.models.keys()) {
      const holders = getHolders(harness, workerId);
      expect(holders.length, `holders of ${workerId}`).to.be.at.most(1);
    }
  }
  await harness.clock.advance(SETTLE_MS);
  return responses;
}

function countOutcomes(responses: readonly CallerAnswer[], outcome: string) {
  return responses.filter(response => response.outcome === outcome).length;
}

describe('requests under leases', () => {
  it('takes over the leases of a dead holder within the documented bound', async () => {
    const harness = createHarness();
    await harness.clock.advance(SETTLE_MS);
    expect(countLeasedWorkers(harness)).to.equal(4);
    const [holder] = getHolders(harness, 'worker-a-0');
    harness.killNode(holder, true);
    await harness.clock.advance(TAKEOVER_MS);
    expect(countLeasedWorkers(harness)).to.equal(4);
  });

  it('does not exceed the slots of a worker when its holder is suspended', async () => {
    const harness = createHarness();
    await harness.clock.advance(SETTLE_MS);
    const [suspended] = getHolders(harness, 'worker-a-0');
    const others = harness.nodes.filter(node => node !== suspended);
    harness.clock.setTimer(1_000, () => suspended.clock.suspend());
    harness.clock.setTimer(8_000, () => suspended.clock.resume());
    await sendAtFixedRate(
      harness,
      12_000,
      30,
      index => [suspended, ...others][index % 3],
    );
    expect(harness.maxConcurrentRequests).to.be.at.most(SLOTS);
    for (const count of harness.runCountsByBody.values())
      expect(count).to.equal(1);
  });

  it('keeps one holder per worker while entries disagree about membership', async () => {
    const harness = createHarness();
    for (const node of harness.nodes) {
      node.leases.setCandidates([node.nodeId]);
    }
    await harness.clock.advance(SETTLE_MS);
    const responses = await sendAtFixedRate(
      harness,
      8_000,
      4,
      index => harness.nodes[index % 3],
    );
    expect(countOutcomes(responses, 'ran')).to.equal(responses.length);
    expect(harness.maxConcurrentRequests).to.be.at.most(SLOTS);
  });

  it('hands leases over to the preferred holder without losing requests', async () => {
    const harness = createHarness(1);
    await harness.clock.advance(SETTLE_MS);
    harness.addNode('a');
    const responses = await sendAtFixedRate(
      harness,
      30_000,
      2,
      () => harness.nodes[0],
    );
    expect(harness.nodes[1].leases.getValidLeases()).to.not.be.empty;
    expect(countOutcomes(responses, 'ran')).to.equal(responses.length);
  });

  it('serves requests without idempotency keys during a table outage', async () => {
    const harness = createHarness();
    await harness.clock.advance(SETTLE_MS);
    harness.table.faults.isOutage = true;
    const responses = await sendAtFixedRate(
      harness,
      8_000,
      3,
      index => harness.nodes[index % 3],
    );
    expect(countOutcomes(responses, 'ran')).to.equal(responses.length);
  });

  it('serves the callers of a partitioned failure domain on its own upstreams', async () => {
    const harness = new RequestHarness({
      seed: 22,
      entries: {a: 2, b: 2},
      workers: {a: 2, b: 2},
    });
    await harness.clock.advance(SETTLE_MS);
    harness.partitionedDomains.add('b');
    harness.table.faults.isOutage = true;
    for (const node of harness.nodes) {
      if (node.domain !== 'b') continue;
      for (const [peerId, link] of node.links) {
        const peer = harness.nodes.find(other => other.nodeId === peerId);
        if (peer?.domain !== 'b') link.silence();
      }
    }
    // Requests in flight on the lost links may end as unknown; later requests must not.
    await harness.clock.advance(LINK_REPLACEMENT_MS);
    const ownNodes = harness.nodes.filter(node => node.domain === 'b');
    const responses = await sendAtFixedRate(
      harness,
      8_000,
      2,
      index => ownNodes[index % 2],
    );
    expect(countOutcomes(responses, 'ran')).to.equal(responses.length);
  });

  const leavingFaults: Record<
    string,
    (harness: RequestHarness, holder: EntryNode) => void
  > = {
    none: () => undefined,
    'its holder is killed': (harness, holder) =>
      harness.killNode(holder, false),
    'its holder dies silently': (harness, holder) =>
      harness.killNode(holder, true),
    'its holder is suspended': (harness, holder) => {
      holder.clock.suspend();
      harness.clock.setTimer(9_000, () => holder.clock.resume());
    },
    'its holder cannot reach the worker': (_, holder) => {
      holder.workerClient.faults.unreachableWorkers.add(LEAVING_WORKER);
    },
    'the table is down': harness => {
      harness.table.faults.isOutage = true;
    },
  };
  for (const [fault, injectFault] of Object.entries(leavingFaults)) {
    it(`sends no new requests to a leaving upstream after the documented bound (fault: ${fault})`, async () => {
      const harness = createHarness();
      await harness.clock.advance(SETTLE_MS);
      const [holder] = getHolders(harness, LEAVING_WORKER);
      const admitted = markLeavingAndRecordRequests(harness);
      injectFault(harness, holder);
      const live = harness.nodes.filter(node => node.clock.isRunning());
      const send = (durationMs: number) =>
        sendAtFixedRate(
          harness,
          durationMs,
          2,
          index => live[index % live.length],
        );
      await send(LEAVING_NOTICE_MS);
      admitted.length = 0;
      await send(12_000);
      expect(admitted).to.deep.equal([]);
    });
  }

  it('replaces silent connections within the documented bound', async () => {
    const harness = new RequestHarness({
      seed: 23,
      entries: {a: 1, b: 1},
      workers: {a: 0, b: 2},
    });
    const [caller, holder] = harness.nodes;
    await harness.clock.advance(SETTLE_MS);
    caller.links.get(holder.nodeId)?.silence();
    await harness.clock.advance(LINK_REPLACEMENT_MS);
    const response = await Promise.race([
      harness.sendRequest(caller, 'after-silence'),
      harness.clock.advance(1_000).then(() => undefined),
    ]);
    expect(response?.outcome).to.equal('ran');
  });

  it('reports unknown after the upstream timeout when an upstream is silent', async () => {
    const harness = createHarness(1, 1);
    await harness.clock.advance(SETTLE_MS);
    const behavior = harness.upstreams.get('worker-a-0');
    if (behavior !== undefined) behavior.isSilent = true;
    let response: CallerAnswer | undefined;
    void harness.sendRequest(harness.nodes[0], 'silent').then(result => {
      response = result;
    });
    await harness.clock.advance(harness.getService().upstreamTimeoutMs + 10);
    expect(response?.outcome).to.equal('unknown');
  });

  it('are not executed by the next boot of a worker, whose wall clock starts anew so that epochs are equal', async () => {
    const harness = createHarness(1, 1);
    const firstBootMs = harness.clock.getWallMs();
    await harness.clock.advance(SETTLE_MS);
    const [node] = harness.nodes;
    const runOnWorker = harness.runOnWorker.bind(harness);
    const late: Array<() => void> = [];
    harness.runOnWorker = (...call) => {
      late.push(() => runOnWorker(...call));
    };
    let outcome: string | undefined;
    void harness.sendRequest(node, 'late').then(response => {
      ({outcome} = response);
    });
    await harness.clock.advance(harness.getService().deadlineMs);
    expect(outcome).to.equal('unknown');
    harness.rebootWorker('worker-a-0', firstBootMs - harness.clock.getWallMs());
    await harness.clock.advance(SETTLE_MS);
    expect(node.leases.getLease('worker-a-0')?.getStatus().bootId).to.equal(
      'boot-2',
    );
    for (const execute of late) execute();
    expect(late).to.have.length(1);
    expect(harness.runCountsByBody.has('late')).to.equal(false);
  });

  it('immediately refuses requests that cannot meet their deadline, with a retry delay', async () => {
    const harness = createHarness(1, 1);
    await harness.clock.advance(SETTLE_MS);
    const [node] = harness.nodes;
    const responses: CallerAnswer[] = [];
    const sentMs = harness.clock.getMonotonicMs();
    for (let index = 0; index < 2_000; index++) {
      void harness.sendRequest(node, `burst-${index}`).then(response => {
        responses.push(response);
      });
    }
    await harness.clock.advance(0);
    expect(harness.clock.getMonotonicMs()).to.equal(sentMs);
    const refused = responses.filter(
      response => response.outcome === 'not-run',
    );
    expect(refused).to.not.be.empty;
    for (const response of refused) {
      expect(response.retryAfterMs).to.be.greaterThan(0);
    }
    await harness.clock.advance(SETTLE_MS);
    expect(responses).to.have.length(2_000);
    expect(harness.getService().name).to.equal(SERVICE);
  });
});
