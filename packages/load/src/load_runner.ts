/** Open-loop load generator: requests are sent on schedule, independently of the response times. */

import {createHash} from 'node:crypto';
import {build, Histogram} from 'hdr-histogram-js';
import {Agent} from 'undici';
import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';

export interface LoadOptions {
  /** Base URLs of the entries, for example `http://127.0.0.1:7101`. */
  readonly targets: readonly string[];
  readonly service: string;
  readonly ratePerS: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Maximum body size; most bodies are limited to 2,048 bytes. */
  readonly maxBodyBytes: number;
  /** Fraction of the requests that are POST with an idempotency key. */
  readonly keyedFraction: number;
  /** Fraction of the requests that are GET. */
  readonly readFraction: number;
  readonly timeoutMs: number;
  /** Path below the service; `/bookings` by default. */
  readonly path?: string;
  /** Maximum number of concurrent requests; requests beyond it are counted as not sent. */
  readonly maxInProgress?: number;
  /** Called about once a second. */
  readonly onProgress?: (sent: number, total: number) => void;
}

/** Latency percentiles in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}

/** Result of a load run. */
export interface LoadReport {
  readonly sent: number;
  readonly notSent: number;
  readonly ran: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Responses that were incomplete or did not match their request. */
  readonly wrongAnswers: number;
  /** Requests that failed without an HTTP response. */
  readonly connectionErrors: number;
  /** Requests that ran and whose response has a 5xx status. */
  readonly serverErrors: number;
  /** Requests that ran, per second of the load run. */
  readonly goodputPerS: number;
  /**
   * Latencies of requests that ran, measured from their scheduled send time to
   * avoid coordinated omission.
   */
  readonly latency: LatencySummary;
  /** Number of unsuccessful requests by reason; only the first 20 distinct reasons are counted. */
  readonly reasons: Readonly<Record<string, number>>;
}

interface ScheduledRequest {
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

/** Time between two readiness polls, and timeout of each. */
const READINESS_INTERVAL_MS = 250;
const DEFAULT_MAX_IN_PROGRESS = 2_000;
const MICROSECONDS_PER_MS = 1_000;
const MAX_REASONS = 20;
const SERVER_ERROR_STATUS = 500;
/** One in this many requests may have a body of up to the maximum size. */
const LARGE_BODY_INTERVAL = 20;
const SMALL_BODY_BYTES = 2_048;

/** Sends requests to entries in the way that callers behind a load balancer do. */
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

  static create(options: LoadOptions, clock: Clock): LoadRunner {
    return new LoadRunner(options, clock);
  }

  /** Sends all requests at exponentially distributed intervals and waits for the responses. */
  async run(): Promise<LoadReport> {
    const {ratePerS, durationMs} = this.options;
    const readinessPolling = this.pollReadiness();
    const startMs = this.clock.getMonotonicMs();
    const total = Math.round((ratePerS * durationMs) / 1_000);
    const requests: Array<Promise<void>> = [];
    let scheduledMs = startMs;
    let lastProgressMs = startMs;
    for (let index = 0; index < total; index++) {
      scheduledMs += this.random.getExponential(1_000 / ratePerS);
      const waitMs = scheduledMs - this.clock.getMonotonicMs();
      if (waitMs > 0) await this.clock.sleep(waitMs);
      requests.push(this.sendRequest(index, scheduledMs));
      if (this.clock.getMonotonicMs() - lastProgressMs > 1_000) {
        lastProgressMs = this.clock.getMonotonicMs();
        this.options.onProgress?.(index + 1, total);
      }
    }
    await Promise.all(requests);
    const elapsedMs = this.clock.getMonotonicMs() - startMs;
    this.isDone = true;
    await readinessPolling;
    await this.agent.destroy();
    return this.createReport(elapsedMs);
  }

  private async sendRequest(index: number, scheduledMs: number): Promise<void> {
    const {maxInProgress} = this.options;
    if (this.inProgress >= (maxInProgress ?? DEFAULT_MAX_IN_PROGRESS)) {
      this.counts.notSent++;
      return;
    }
    this.counts.sent++;
    this.inProgress++;
    try {
      await this.executeRequest(this.createRequest(index), scheduledMs);
    } catch (error) {
      this.counts.connectionErrors++;
      this.countReason(`connection: ${(error as Error).message}`);
    } finally {
      this.inProgress--;
    }
  }

  private createRequest(index: number): ScheduledRequest {
    const {seed, readFraction, keyedFraction} = this.options;
    const targetIndex = this.random.getIndex(this.readyTargets.length);
    const sample = this.random.getFloat();
    const isRead = sample < readFraction;
    return {
      target: this.readyTargets[targetIndex],
      runId: `load-${seed}-${index}`,
      isKeyed: !isRead && sample < readFraction + keyedFraction,
      body: isRead ? null : this.createBody(index),
    };
  }

  private async executeRequest(
    request: ScheduledRequest,
    scheduledMs: number,
  ): Promise<void> {
    const {service, timeoutMs, path} = this.options;
    const {target, runId, isKeyed, body} = request;
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
    const responseBody = Buffer.from(await response.body.arrayBuffer());
    const outcome = String(response.headers['x-mustardlug-outcome']);
    if (response.statusCode >= SERVER_ERROR_STATUS && outcome === 'ran') {
      this.counts.serverErrors++;
    }
    this.countOutcome(outcome, responseBody);
    if (outcome !== 'ran') return;
    this.checkResponse(runId, body, responseBody, response.headers);
    this.recordLatency(scheduledMs);
  }

  private createBody(index: number): Buffer {
    const {maxBodyBytes} = this.options;
    const isLarge = index % LARGE_BODY_INTERVAL === 0;
    const limit = isLarge
      ? maxBodyBytes
      : Math.min(maxBodyBytes, SMALL_BODY_BYTES);
    const size = this.random.getIndex(limit + 1);
    return Buffer.alloc(size, `${this.options.seed}:${index};`);
  }

  private countOutcome(outcome: string, responseBody: Buffer): void {
    if (outcome === 'ran') {
      this.counts.ran++;
      return;
    }
    if (outcome === 'not-run') this.counts.notRun++;
    else this.counts.unknown++;
    this.countReason(`${outcome}: ${getReason(responseBody)}`);
  }

  private countReason(reason: string): void {
    const isKnown = this.reasons[reason] !== undefined;
    if (!isKnown && Object.keys(this.reasons).length >= MAX_REASONS) return;
    this.reasons[reason] = (this.reasons[reason] ?? 0) + 1;
  }

  /**
   * Checks a response of the stand-in upstream, which returns the run id and
   * the digest of the request body.
   */
  private checkResponse(
    runId: string,
    body: Buffer | null,
    responseBody: Buffer,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (headers['x-answer-for'] === undefined) return;
    const digest = createHash('sha256')
      .update(body ?? Buffer.alloc(0))
      .digest('hex');
    const isCorrect =
      headers['x-answer-for'] === runId &&
      headers['x-body-digest'] === digest &&
      Number(headers['x-answer-bytes']) === responseBody.length;
    if (!isCorrect) this.counts.wrongAnswers++;
  }

  private recordLatency(scheduledMs: number): void {
    const latencyMs = this.clock.getMonotonicMs() - scheduledMs;
    this.histogram.recordValue(
      Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS)),
    );
  }

  /**
   * Polls the readiness of the entries and limits the targets to ready ones, as
   * the load balancer of the platform does.
   */
  private async pollReadiness(): Promise<void> {
    while (!this.isDone) {
      const checks = this.options.targets.map(target => this.isReady(target));
      const results = await Promise.all(checks);
      const ready = this.options.targets.filter((_, index) => results[index]);
      if (ready.length > 0) this.readyTargets = ready;
      await this.clock.sleep(READINESS_INTERVAL_MS);
    }
  }

  private async isReady(target: string): Promise<boolean> {
    try {
      const response = await this.agent.request({
        origin: target,
        path: '/-/ready',
        method: 'GET',
        signal: AbortSignal.timeout(READINESS_INTERVAL_MS),
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

function getReason(responseBody: Buffer): string {
  try {
    const parsed = JSON.parse(responseBody.toString()) as {
      error: {reason: string};
    };
    return parsed.error.reason;
  } catch {
    return 'no reason given';
  }
}
