/** Compares routing with a naive baseline, at several loads and with one faulty worker. */

import {build, Histogram} from 'hdr-histogram-js';
import {RandomSource} from '@mustardlug/base/random_source';
import {CallerAnswer} from '@mustardlug/routing/request_runner';
import {EntryNode, RequestHarness} from './request_harness.js';

/** Fault of one worker. */
export type WorkerFault = 'none' | 'slow' | 'fails-all' | 'silent';

/** Routing policy under test. */
export type RequestPolicy = 'mustardlug' | 'naive';

/** Parameters of one simulation run. */
export interface RequestScenario {
  readonly policy: RequestPolicy;
  readonly badWorker: WorkerFault;
  /** Offered load as a fraction of the capacity of all slots. */
  readonly load: number;
  readonly seed: number;
  readonly durationMs: number;
}

/** Results of one simulation run. */
export interface RequestResult extends RequestScenario {
  readonly sent: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  /** Successful responses per second as a fraction of capacity. */
  readonly goodput: number;
  /** Additional attempts at workers per request. */
  readonly retriesFraction: number;
  /** Additional lease holders tried per request after a refusal. */
  readonly reroutesFraction: number;
  readonly refusedFraction: number;
  readonly failedFraction: number;
  readonly regionBytesPerRequest: number;
}

const WORKERS_PER_DOMAIN = 11;
const DOMAINS = 3;
const ENTRIES_PER_DOMAIN = 3;
const SLOTS = 8;
const SERVICE_TIME_MS = 100;
const SLOW_FACTOR = 10;
const WARM_UP_MS = 20_000;
/** Time between the fault and the start of measurement, so that the policies can react to the fault. */
const FAULT_WARM_UP_MS = 3_000;
const DEADLINE_MS = 2_000;
const UPSTREAM_TIMEOUT_MS = 1_000;
const FAULTY_WORKER_ID = 'worker-a-0';
const SERVER_ERROR_STATUS = 500;
const MICROSECONDS_PER_MS = 1_000;

/**
 * Runs one simulation in virtual time.
 * @param scenario - Policy, fault, load, seed and duration.
 */
export async function runRequestScenario(
  scenario: RequestScenario,
): Promise<RequestResult> {
  const harness = createHarness(scenario);
  await harness.clock.advance(WARM_UP_MS);
  injectWorkerFault(harness, scenario.badWorker);
  const run = new ScenarioRun(harness, scenario);
  await run.send(FAULT_WARM_UP_MS, false);
  const bytesBefore = harness.regionBytes;
  const attemptsBefore = harness.upstreamAttempts;
  const forwardsBefore = harness.forwardCount;
  await run.send(scenario.durationMs, true);
  const bytes = harness.regionBytes - bytesBefore;
  const attempts = harness.upstreamAttempts - attemptsBefore;
  const forwards = harness.forwardCount - forwardsBefore;
  await harness.clock.advance(DEADLINE_MS + UPSTREAM_TIMEOUT_MS);
  return run.getResult(bytes, attempts, forwards);
}

function createHarness(scenario: RequestScenario): RequestHarness {
  const entries: Record<string, number> = {};
  const workers: Record<string, number> = {};
  for (const domain of ['a', 'b', 'c'].slice(0, DOMAINS)) {
    entries[domain] = ENTRIES_PER_DOMAIN;
    workers[domain] = WORKERS_PER_DOMAIN;
  }
  return new RequestHarness({
    seed: scenario.seed,
    entries,
    workers,
    serviceTimeMs: SERVICE_TIME_MS,
    service: {
      deadlineMs: DEADLINE_MS,
      upstreamTimeoutMs: UPSTREAM_TIMEOUT_MS,
      routes: [{pathPrefix: '/', isReadOnly: false}],
    },
    isCountingBytes: true,
    ...(scenario.policy === 'naive' && {baseline: 'naive-direct' as const}),
  });
}

function injectWorkerFault(
  harness: RequestHarness,
  badWorker: WorkerFault,
): void {
  const behavior = harness.upstreams.get(FAULTY_WORKER_ID);
  if (behavior === undefined) return;
  if (badWorker === 'slow') behavior.serviceTimeMs *= SLOW_FACTOR;
  if (badWorker === 'fails-all') behavior.status = SERVER_ERROR_STATUS;
  if (badWorker === 'silent') behavior.isSilent = true;
}

/** Generates the requests of one simulation run and records their outcomes. */
class ScenarioRun {
  private readonly random: RandomSource;
  private readonly histogram: Histogram = build({
    highestTrackableValue: 10_000_000,
    numberOfSignificantValueDigits: 3,
  });
  private sent = 0;
  private succeeded = 0;
  private refused = 0;
  private failed = 0;

  constructor(
    private readonly harness: RequestHarness,
    private readonly scenario: RequestScenario,
  ) {
    this.random = RandomSource.create(scenario.seed + 77);
  }

  /** Sends requests with exponential interarrival times, in an open loop. */
  async send(durationMs: number, isMeasured: boolean): Promise<void> {
    const {clock, nodes} = this.harness;
    const ratePerMs = getCapacityPerMs() * this.scenario.load;
    const endMs = clock.getMonotonicMs() + durationMs;
    for (;;) {
      const waitMs = this.random.getExponential(1 / ratePerMs);
      if (clock.getMonotonicMs() + waitMs > endMs) return;
      await clock.advance(waitMs);
      const node = nodes[this.random.getIndex(nodes.length)];
      this.sendRequest(node, isMeasured);
    }
  }

  /** Gets the results; call it once all requests are answered. */
  getResult(bytes: number, attempts: number, forwards: number): RequestResult {
    const percentile = (value: number) =>
      this.histogram.getValueAtPercentile(value) / MICROSECONDS_PER_MS;
    const {durationMs} = this.scenario;
    const dispatched = this.sent - this.refused;
    return {
      ...this.scenario,
      sent: this.sent,
      p50Ms: percentile(50),
      p99Ms: percentile(99),
      p999Ms: percentile(99.9),
      goodput: this.succeeded / durationMs / getCapacityPerMs(),
      retriesFraction: Math.max(0, attempts - dispatched) / this.sent,
      reroutesFraction: Math.max(0, forwards - this.sent) / this.sent,
      refusedFraction: this.refused / this.sent,
      failedFraction: this.failed / this.sent,
      regionBytesPerRequest: bytes / this.sent,
    };
  }

  private sendRequest(node: EntryNode, isMeasured: boolean): void {
    const startMs = this.harness.clock.getMonotonicMs();
    const body = `request-${this.sent}-${startMs}`;
    if (isMeasured) this.sent++;
    void this.harness.sendRequest(node, body).then(response => {
      if (isMeasured) this.recordResponse(response, startMs);
    });
  }

  private recordResponse(response: CallerAnswer, startMs: number): void {
    if (response.outcome === 'not-run') {
      this.refused++;
      return;
    }
    if (
      response.outcome === 'unknown' ||
      response.status >= SERVER_ERROR_STATUS
    ) {
      this.failed++;
      return;
    }
    this.succeeded++;
    const latencyMs = this.harness.clock.getMonotonicMs() - startMs;
    this.histogram.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS));
  }
}

function getCapacityPerMs(): number {
  return (DOMAINS * WORKERS_PER_DOMAIN * SLOTS) / SERVICE_TIME_MS;
}
