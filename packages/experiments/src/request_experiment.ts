/** Routing against the baseline, at several loads and with one bad worker. */

import {build, Histogram} from 'hdr-histogram-js';
import {RandomSource} from '@mustardlug/base/random_source';
import {CallerAnswer} from '@mustardlug/routing/request_runner';
import {EntryNode, RequestHarness} from './request_harness.js';

/** What is wrong with one of the workers. */
export type BadWorker = 'none' | 'slow' | 'fails-all' | 'silent';

/** What runs the requests. */
export type RequestPolicy = 'mustardlug' | 'naive';

/** One cell of the experiment. */
export interface RequestCell {
  readonly policy: RequestPolicy;
  readonly badWorker: BadWorker;
  /** Offered load over the capacity of all slots. */
  readonly load: number;
  readonly seed: number;
  readonly durationMs: number;
}

/** Figures of one cell. */
export interface RequestFigures extends RequestCell {
  readonly sent: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  /** Good answers a second over the capacity. */
  readonly goodput: number;
  /** Further copies that were sent to workers. */
  readonly retriesFraction: number;
  /** Further holders that were asked after a refusal. */
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
/** Time in which the policies meet the bad worker before figures are taken. */
const SETTLE_MS = 3_000;
const DEADLINE_MS = 2_000;
const UPSTREAM_TIMEOUT_MS = 1_000;
const BAD_WORKER = 'worker-a-0';
const SERVER_ERROR_STATUS = 500;
const MICROSECONDS_PER_MS = 1_000;

/**
 * Runs one cell in virtual time.
 * @param cell - Policy, fault, load and seed.
 */
export async function runRequestCell(
  cell: RequestCell,
): Promise<RequestFigures> {
  const harness = createHarness(cell);
  await harness.clock.advance(WARM_UP_MS);
  spoilWorker(harness, cell.badWorker);
  const run = new CellRun(harness, cell);
  await run.send(SETTLE_MS, false);
  const bytesBefore = harness.regionBytes;
  const attemptsBefore = harness.upstreamAttempts;
  const forwardsBefore = harness.forwards;
  await run.send(cell.durationMs, true);
  const bytes = harness.regionBytes - bytesBefore;
  const attempts = harness.upstreamAttempts - attemptsBefore;
  const forwards = harness.forwards - forwardsBefore;
  await harness.clock.advance(DEADLINE_MS + UPSTREAM_TIMEOUT_MS);
  return run.getFigures(bytes, attempts, forwards);
}

function createHarness(cell: RequestCell): RequestHarness {
  const entries: Record<string, number> = {};
  const workers: Record<string, number> = {};
  for (const domain of ['a', 'b', 'c'].slice(0, DOMAINS)) {
    entries[domain] = ENTRIES_PER_DOMAIN;
    workers[domain] = WORKERS_PER_DOMAIN;
  }
  return new RequestHarness({
    seed: cell.seed,
    entries,
    workers,
    serviceTimeMs: SERVICE_TIME_MS,
    service: {
      deadlineMs: DEADLINE_MS,
      upstreamTimeoutMs: UPSTREAM_TIMEOUT_MS,
      routes: [{pathPrefix: '/', isReadOnly: false}],
    },
    isCountingBytes: true,
    ...(cell.policy === 'naive' && {baseline: 'naive-direct' as const}),
  });
}

function spoilWorker(harness: RequestHarness, badWorker: BadWorker): void {
  const behavior = harness.upstreams.get(BAD_WORKER);
  if (behavior === undefined) return;
  if (badWorker === 'slow') behavior.serviceTimeMs *= SLOW_FACTOR;
  if (badWorker === 'fails-all') behavior.status = SERVER_ERROR_STATUS;
  if (badWorker === 'silent') behavior.isSilent = true;
}

/** Requests of one cell and what came of them. */
class CellRun {
  private readonly random: RandomSource;
  private readonly histogram: Histogram = build({
    highestTrackableValue: 10_000_000,
    numberOfSignificantValueDigits: 3,
  });
  private sent = 0;
  private good = 0;
  private refused = 0;
  private failed = 0;

  constructor(
    private readonly harness: RequestHarness,
    private readonly cell: RequestCell,
  ) {
    this.random = RandomSource.create(cell.seed + 77);
  }

  /** Sends requests at random times, in open loop. */
  async send(durationMs: number, isCounted: boolean): Promise<void> {
    const {clock, nodes} = this.harness;
    const ratePerMs = getCapacityPerMs() * this.cell.load;
    const endMs = clock.getMonotonicMs() + durationMs;
    for (;;) {
      const waitMs = this.random.getExponential(1 / ratePerMs);
      if (clock.getMonotonicMs() + waitMs > endMs) return;
      await clock.advance(waitMs);
      const node = nodes[this.random.getIndex(nodes.length)];
      this.sendOne(node, isCounted);
    }
  }

  /** Gets the figures after all answers. */
  getFigures(
    bytes: number,
    attempts: number,
    forwards: number,
  ): RequestFigures {
    const percentile = (value: number) =>
      this.histogram.getValueAtPercentile(value) / MICROSECONDS_PER_MS;
    const {durationMs} = this.cell;
    const dispatched = this.sent - this.refused;
    return {
      ...this.cell,
      sent: this.sent,
      p50Ms: percentile(50),
      p99Ms: percentile(99),
      p999Ms: percentile(99.9),
      goodput: this.good / durationMs / getCapacityPerMs(),
      retriesFraction: Math.max(0, attempts - dispatched) / this.sent,
      reroutesFraction: Math.max(0, forwards - this.sent) / this.sent,
      refusedFraction: this.refused / this.sent,
      failedFraction: this.failed / this.sent,
      regionBytesPerRequest: bytes / this.sent,
    };
  }

  private sendOne(node: EntryNode, isCounted: boolean): void {
    const startMs = this.harness.clock.getMonotonicMs();
    const body = `request-${this.sent}-${startMs}`;
    if (isCounted) this.sent++;
    void this.harness.sendRequest(node, body).then(answer => {
      if (isCounted) this.noteAnswer(answer, startMs);
    });
  }

  private noteAnswer(answer: CallerAnswer, startMs: number): void {
    if (answer.outcome === 'not-run') {
      this.refused++;
      return;
    }
    if (answer.outcome === 'unknown' || answer.status >= SERVER_ERROR_STATUS) {
      this.failed++;
      return;
    }
    this.good++;
    const latencyMs = this.harness.clock.getMonotonicMs() - startMs;
    this.histogram.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS));
  }
}

function getCapacityPerMs(): number {
  return (DOMAINS * WORKERS_PER_DOMAIN * SLOTS) / SERVICE_TIME_MS;
}
