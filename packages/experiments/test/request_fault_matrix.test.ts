import {expect} from 'chai';
import {CallerAnswer} from '@mustardlug/routing/request_runner';
import {
  EntryNode,
  REQUEST_STEPS,
  RequestHarness,
  RequestStep,
} from '../src/request_harness.js';

/** Faults of processes, the table, links and upstreams. */
const FAULTS = [
  'kill-origin',
  'kill-holder',
  'kill-holder-silently',
  'suspend-origin',
  'suspend-holder',
  'reset-links',
  'silent-links',
  'silent-upstreams',
  'table-outage',
  'lose-response',
  'late-write',
  'suspend-holder-and-table-outage',
  'kill-holder-and-lose-response',
] as const;
type Fault = (typeof FAULTS)[number];

const SUSPENSION_MS = 9_000;
const OUTAGE_MS = 6_000;
const DEADLINE_MS = 3_000;
/** Tolerance for responses after the deadline. */
const RESPONSE_MARGIN_MS = 100;
const SEED = 5;

interface SentRequest {
  readonly id: string;
  readonly body: string;
  readonly origin: EntryNode;
  readonly sentMs: number;
  response: CallerAnswer | undefined;
  respondedMs: number;
}

/** One combination of step and fault. */
class MatrixCase {
  readonly harness: RequestHarness;
  readonly sent: SentRequest[] = [];
  isFaultInjected = false;

  constructor(
    private readonly step: RequestStep,
    private readonly fault: Fault,
    usesNaiveRetries: boolean,
  ) {
    this.harness = new RequestHarness({
      seed: SEED,
      entries: {a: 2, b: 2},
      workers: {a: 2, b: 2},
      ...(usesNaiveRetries && {baseline: 'naive-retries' as const}),
    });
  }

  /** Sends a request and two retries with its idempotency key through another entry, then a new request. */
  async run(): Promise<void> {
    const {harness} = this;
    const [first, second] = harness.nodes;
    await harness.clock.advance(8_000);
    // Only the other domain holds leases, so that every request crosses a link.
    for (const node of harness.nodes) {
      if (node.domain === first.domain) node.leases.setWorkers([]);
    }
    await harness.clock.advance(2_000);
    harness.setStepHook((step, node) => this.handleStep(step, node, first));
    this.send(first, 'charge-1', 'key-1');
    await harness.clock.advance(1_000);
    this.send(second, 'charge-1', 'key-1');
    await harness.clock.advance(15_000);
    harness.setStepHook(undefined);
    this.send(second, 'charge-1', 'key-1');
    this.send(second, 'charge-2');
    await harness.clock.advance(15_000);
  }

  private send(origin: EntryNode, body: string, key?: string): void {
    const {harness} = this;
    const request: SentRequest = {
      id: origin.getNextId(),
      body,
      origin,
      sentMs: harness.clock.getMonotonicMs(),
      response: undefined,
      respondedMs: 0,
    };
    this.sent.push(request);
    void harness
      .sendRequest(origin, body, key, 'POST', request.id)
      .then(response => {
        request.response = response;
        request.respondedMs = harness.clock.getMonotonicMs();
      });
  }

  private handleStep(
    step: RequestStep,
    node: EntryNode,
    origin: EntryNode,
  ): void {
    if (this.isFaultInjected || step !== this.step) return;
    this.isFaultInjected = true;
    const holder = node === origin ? this.getHolder() : node;
    this.injectFault(origin, holder);
  }

  private getHolder(): EntryNode {
    const {nodes} = this.harness;
    return (
      nodes.find(node => node.leases.getValidLeases().length > 0) ?? nodes[2]
    );
  }

  private injectFault(origin: EntryNode, holder: EntryNode): void {
    const {harness} = this;
    switch (this.fault) {
      case 'kill-origin':
        return harness.killNode(origin, false);
      case 'kill-holder':
        return harness.killNode(holder, false);
      case 'kill-holder-silently':
        return harness.killNode(holder, true);
      case 'suspend-origin':
        return this.suspend(origin);
      case 'suspend-holder':
        return this.suspend(holder);
      case 'reset-links':
        for (const link of origin.links.values()) link.reset();
        return;
      case 'silent-links':
        for (const link of origin.links.values()) link.silence();
        return;
      case 'silent-upstreams':
        return this.makeUpstreamsSilent();
      case 'table-outage':
        return this.startOutage();
      case 'lose-response':
        harness.table.faults.loseNextAnswers = 1;
        return;
      case 'late-write':
        harness.table.faults.applyNextLate = 1;
        return;
      case 'suspend-holder-and-table-outage':
        this.suspend(holder);
        return this.startOutage();
      case 'kill-holder-and-lose-response':
        harness.table.faults.loseNextAnswers = 2;
        return harness.killNode(holder, false);
    }
  }

  private suspend(node: EntryNode): void {
    node.clock.suspend();
    this.harness.clock.setTimer(SUSPENSION_MS, () => node.clock.resume());
  }

  /** Makes all upstreams accept requests without ever answering, for a while. */
  private makeUpstreamsSilent(): void {
    const {clock, upstreams} = this.harness;
    for (const behavior of upstreams.values()) behavior.isSilent = true;
    clock.setTimer(OUTAGE_MS, () => {
      for (const behavior of upstreams.values()) behavior.isSilent = false;
    });
  }

  private startOutage(): void {
    const {faults} = this.harness.table;
    faults.isOutage = true;
    this.harness.clock.setTimer(OUTAGE_MS, () => {
      faults.isOutage = false;
    });
  }
}

async function expectInvariantsHold(
  step: RequestStep,
  fault: Fault,
  usesNaiveRetries = false,
): Promise<void> {
  const matrixCase = new MatrixCase(step, fault, usesNaiveRetries);
  await matrixCase.run();
  const {harness, sent} = matrixCase;
  expect(matrixCase.isFaultInjected, 'the step was reached').to.equal(true);
  expect(harness.runCountsByBody.get('charge-1') ?? 0).to.be.at.most(1);
  expect(harness.runCountsByBody.get('charge-2') ?? 0).to.be.at.most(1);
  const isOriginSuspended = fault.startsWith('suspend-origin');
  for (const request of sent) {
    const {response, body, origin, sentMs, respondedMs} = request;
    if (response === undefined) {
      expect(
        origin.clock.isRunning(),
        'only a dead entry sends no response',
      ).to.equal(false);
      continue;
    }
    if (!isOriginSuspended) {
      expect(respondedMs - sentMs).to.be.at.most(
        DEADLINE_MS + RESPONSE_MARGIN_MS,
      );
    }
    const runs = harness.getRunCount(request.id);
    if (response.outcome === 'not-run') expect(runs).to.equal(0);
    if (response.outcome === 'ran') {
      expect(Buffer.from(response.body).toString()).to.equal(
        `result of ${body}`,
      );
      expect(harness.runCountsByBody.get(body)).to.equal(1);
    }
  }
}

describe('request fault matrix', () => {
  it('detects the faults of naive retries', async () => {
    const detectedFaults: string[] = [];
    for (const step of REQUEST_STEPS) {
      if (step === 'record-sent' || step === 'record-executed') continue;
      for (const fault of FAULTS) {
        await expectInvariantsHold(step, fault, true).catch(() =>
          detectedFaults.push(fault),
        );
      }
    }
    expect(detectedFaults).to.include.members(['reset-links', 'silent-links']);
  });

  for (const step of REQUEST_STEPS) {
    for (const fault of FAULTS) {
      it(`maintains the invariants under ${fault} at ${step}`, () =>
        expectInvariantsHold(step, fault));
    }
  }
});
