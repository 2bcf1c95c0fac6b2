/** Open-loop load: requests are sent at their times, however slow the answers are. */

import {createHash} from 'node:crypto';
import {build, Histogram} from 'hdr-histogram-js';
import {Agent} from 'undici';
import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';

/** Options of a load run. */
export interface LoadOptions {
  /** Base addresses of the entries, for example `http://127.0.0.1:7101`. */
  readonly targets: readonly string[];
  readonly service: string;
  readonly ratePerS: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Bodies are between 0 and this many bytes, most of them small. */
  readonly maxBodyBytes: number;
  /** Fraction of the requests that are POST with an idempotency key. */
  readonly keyedFraction: number;
  /** Fraction of the requests that are GET. */
  readonly readFraction: number;
  readonly timeoutMs: number;
  /** Path below the service. */
  readonly path?: string;
  /** Longest number of requests in progress; more are counted as not sent. */
  readonly maxInProgress?: number;
  /** Called about once a second. */
  readonly onProgress?: (sent: number, total: number) => void;
}

/** Latencies in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}

/** Outcome of a load run. */
export interface LoadReport {
  readonly sent: number;
  readonly notSent: number;
  readonly ran: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Answers that were not the whole answer to their own request. */
  readonly wrongAnswers: number;
  /** Connections that failed without an HTTP answer. */
  readonly connectionErrors: number;
  readonly serverErrors: number;
  readonly goodputPerS: number;
  /** Latencies of requests that ran, from their planned time on. */
  readonly latency: LatencySummary;
  readonly reasons: Readonly<Record<string, number>>;
}

interface PlannedRequest {
  readonly target: string;
  readonly runId: string;
  readonly isKeyed: boolean;
  /** Body of a POST; `null` for a GET. */
  readonly body: Buffer | null;
}

interface Counts {
  sent: number;
  notSent: number;
  ran: number;
  notRun: number;
  unknown: number;
  wrongAnswers: number;
  connectionErrors: number;
  serverErrors: number;
}

const READY_CHECK_MS = 250;
const DEFAULT_MAX_IN_PROGRESS = 2_000;
const MICROSECONDS_PER_MS = 1_000;
const MAX_REASONS = 20;
const SERVER_ERROR_STATUS = 500;
/** One request in this many has a body of up to the largest size. */
const LARGE_BODY_EVERY = 20;
const SMALL_BODY_BYTES = 2_048;

/** Sends requests to entries as callers behind a balancer would. */
export class LoadRunner {
  private readonly random: RandomSource;
  private readonly agent: Agent;
  private readonly histogram: Histogram;
  private readonly counts: Counts = {
    sent: 0,
    notSent: 0,
    ran: 0,
    notRun: 0,
    unknown: 0,
    wrongAnswers: 0,
    connectionErrors: 0,
    serverErrors: 0,
  };
  private readonly reasons: Record<string, number> = {};
  private readyTargets: readonly string[];
  private inProgress = 0;
  private isDone = false;

  private constructor(
    private readonly options: LoadOptions,
    private readonly clock: Clock,
  ) {
    this.random = RandomSource.create(options.seed);
    this.agent = new Agent({connections: 256, keepAliveTimeout: 10_000});
    this.histogram = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: 120_000_000,
      numberOfSignificantValueDigits: 3,
    });
    this.readyTargets = options.targets;
  }

  /**
   * Creates a runner.
   * @param options - Targets, rate and mix.
   * @param clock - Clock of the process.
   */
  static create(options: LoadOptions, clock: Clock): LoadRunner {
    return new LoadRunner(options, clock);
  }

  /** Sends all requests and waits for their answers. */
  async run(): Promise<LoadReport> {
    const {ratePerS, durationMs} = this.options;
    const checks = this.checkReadiness();
    const startMs = this.clock.getMonotonicMs();
    const total = Math.round((ratePerS * durationMs) / 1_000);
    const requests: Array<Promise<void>> = [];
    let plannedMs = startMs;
    let lastProgressMs = startMs;
    for (let index = 0; index < total; index++) {
      plannedMs += this.random.getExponential(1_000 / ratePerS);
      const waitMs = plannedMs - this.clock.getMonotonicMs();
      if (waitMs > 0) await this.clock.sleep(waitMs);
      requests.push(this.sendRequest(index, plannedMs));
      if (this.clock.getMonotonicMs() - lastProgressMs > 1_000) {
        lastProgressMs = this.clock.getMonotonicMs();
        this.options.onProgress?.(index + 1, total);
      }
    }
    await Promise.all(requests);
    const elapsedMs = this.clock.getMonotonicMs() - startMs;
    this.isDone = true;
    await checks;
    await this.agent.destroy();
    return this.createReport(elapsedMs);
  }

  private async sendRequest(index: number, plannedMs: number): Promise<void> {
    const {maxInProgress} = this.options;
    if (this.inProgress >= (maxInProgress ?? DEFAULT_MAX_IN_PROGRESS)) {
      this.counts.notSent++;
      return;
    }
    this.counts.sent++;
    this.inProgress++;
    try {
      await this.exchange(this.planRequest(index), plannedMs);
    } catch (error) {
      this.counts.connectionErrors++;
      this.noteReason(`connection: ${(error as Error).message}`);
    } finally {
      this.inProgress--;
    }
  }

  private planRequest(index: number): PlannedRequest {
    const {seed, readFraction, keyedFraction} = this.options;
    const targetIndex = this.random.getIndex(this.readyTargets.length);
    const kind = this.random.getFloat();
    const isRead = kind < readFraction;
    return {
      target: this.readyTargets[targetIndex],
      runId: `load-${seed}-${index}`,
      isKeyed: !isRead && kind < readFraction + keyedFraction,
      body: isRead ? null : this.createBody(index),
    };
  }

  private async exchange(
    planned: PlannedRequest,
    plannedMs: number,
  ): Promise<void> {
    const {service, timeoutMs, path} = this.options;
    const {target, runId, isKeyed, body} = planned;
    const response = await this.agent.request({
      origin: target,
      path: `/${service}${path ?? '/bookings'}?id=${runId}`,
      method: body === null ? 'GET' : 'POST',
      body,
      headers: {
        'x-run-id': runId,
        ...(isKeyed && {'idempotency-key': runId}),
      },
      signal: AbortSignal.timeout(timeoutMs),
    });
    const answer = Buffer.from(await response.body.arrayBuffer());
    const outcome = String(response.headers['x-mustardlug-outcome']);
    if (response.statusCode >= SERVER_ERROR_STATUS && outcome === 'ran') {
      this.counts.serverErrors++;
    }
    this.noteAnswer(outcome, answer);
    if (outcome !== 'ran') return;
    this.checkAnswer(runId, body, answer, response.headers);
    this.noteLatency(plannedMs);
  }

  private createBody(index: number): Buffer {
    const {maxBodyBytes} = this.options;
    const isLarge = index % LARGE_BODY_EVERY === 0;
    const limit = isLarge
      ? maxBodyBytes
      : Math.min(maxBodyBytes, SMALL_BODY_BYTES);
    const size = this.random.getIndex(limit + 1);
    return Buffer.alloc(size, `${this.options.seed}:${index};`);
  }

  private noteAnswer(outcome: string, answer: Buffer): void {
    if (outcome === 'ran') {
      this.counts.ran++;
      return;
    }
    if (outcome === 'not-run') this.counts.notRun++;
    else this.counts.unknown++;
    this.noteReason(`${outcome}: ${getReason(answer)}`);
  }

  private noteReason(reason: string): void {
    const isKnown = this.reasons[reason] !== undefined;
    if (!isKnown && Object.keys(this.reasons).length >= MAX_REASONS) return;
    this.reasons[reason] = (this.reasons[reason] ?? 0) + 1;
  }

  /** The stand-in upstream names the request and the digest of its body. */
  private checkAnswer(
    runId: string,
    body: Buffer | null,
    answer: Buffer,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (headers['x-answer-for'] === undefined) return;
    const digest = createHash('sha256')
      .update(body ?? Buffer.alloc(0))
      .digest('hex');
    const isOwn =
      headers['x-answer-for'] === runId &&
      headers['x-body-digest'] === digest &&
      Number(headers['x-answer-bytes']) === answer.length;
    if (!isOwn) this.counts.wrongAnswers++;
  }

  private noteLatency(plannedMs: number): void {
    const latencyMs = this.clock.getMonotonicMs() - plannedMs;
    this.histogram.recordValue(
      Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS)),
    );
  }

  /** Chooses ready entries only, as the platform's balancer does. */
  private async checkReadiness(): Promise<void> {
    while (!this.isDone) {
      const checks = this.options.targets.map(target => this.isReady(target));
      const results = await Promise.all(checks);
      const ready = this.options.targets.filter((_, index) => results[index]);
      if (ready.length > 0) this.readyTargets = ready;
      await this.clock.sleep(READY_CHECK_MS);
    }
  }

  private async isReady(target: string): Promise<boolean> {
    try {
      const response = await this.agent.request({
        origin: target,
        path: '/-/ready',
        method: 'GET',
        signal: AbortSignal.timeout(READY_CHECK_MS),
      });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }

  private createReport(elapsedMs: number): LoadReport {
    const percentile = (value: number) =>
      this.histogram.getValueAtPercentile(value) / MICROSECONDS_PER_MS;
    return {
      ...this.counts,
      goodputPerS: (this.counts.ran * 1_000) / elapsedMs,
      latency: {
        count: this.histogram.totalCount,
        p50Ms: percentile(50),
        p90Ms: percentile(90),
        p99Ms: percentile(99),
        p999Ms: percentile(99.9),
        maxMs: this.histogram.maxValue / MICROSECONDS_PER_MS,
      },
      reasons: this.reasons,
    };
  }
}

function getReason(answer: Buffer): string {
  try {
    const parsed = JSON.parse(answer.toString()) as {error: {reason: string}};
    return parsed.error.reason;
  } catch {
    return 'no reason given';
  }
}
