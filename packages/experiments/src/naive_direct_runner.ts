/** Baseline for routing: random workers, a fixed concurrency limit per entry and worker, and up to three attempts after any failure. */

import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {toCallerAnswer} from '@mustardlug/routing/request_coordinator';
import {
  CallerAnswer,
  CallerRequest,
  RequestRunner,
} from '@mustardlug/routing/request_runner';
import {UpstreamRequest, UpstreamResult} from '@mustardlug/routing/upstream';

/** Options of the baseline. */
export interface NaiveDirectRunnerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly workerIds: readonly string[];
  /** Maximum number of requests of this entry in progress on one worker. */
  readonly slots: number;
  readonly send: (
    workerId: string,
    request: UpstreamRequest,
  ) => Promise<UpstreamResult>;
}

const MAX_ATTEMPTS = 3;
const SERVER_ERROR_STATUS = 500;

/** Sends each request to a random worker and retries after any failure. */
export class NaiveDirectRunner extends RequestRunner {
  private readonly inProgress = new Map<string, number>();

  private constructor(private readonly options: NaiveDirectRunnerOptions) {
    super();
  }

  /**
   * Creates a runner.
   * @param options - Workers, concurrency limit and transport.
   */
  static create(options: NaiveDirectRunnerOptions): NaiveDirectRunner {
    return new NaiveDirectRunner(options);
  }

  override async runRequest(request: CallerRequest): Promise<CallerAnswer> {
    let response = toCallerAnswer({kind: 'not-run', reason: 'no free slot'});
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const remainingMs =
        request.deadlineMs - this.options.clock.getMonotonicMs();
      if (remainingMs <= 0) return response;
      const result = await this.sendToRandomWorker(
        request,
        attempt,
        remainingMs,
      );
      response = toResponse(result);
      const isSuccessful =
        response.outcome === 'ran' && response.status < SERVER_ERROR_STATUS;
      if (isSuccessful) return response;
    }
    return response;
  }

  private async sendToRandomWorker(
    request: CallerRequest,
    attempt: number,
    remainingMs: number,
  ): Promise<UpstreamResult> {
    const {random, workerIds, slots, send} = this.options;
    const workerId = workerIds[random.getIndex(workerIds.length)];
    const inProgress = this.inProgress.get(workerId) ?? 0;
    if (inProgress >= slots) {
      return {
        kind: 'not-run',
        reason: 'concurrency limit reached',
        isFault: false,
      };
    }
    this.inProgress.set(workerId, inProgress + 1);
    const {service, method, path, headers, body} = request;
    const result = await send(workerId, {
      id: `${request.id}.${attempt}`,
      service: service.name,
      method,
      path,
      headers,
      body,
      timeoutMs: Math.min(service.upstreamTimeoutMs, remainingMs),
    });
    this.inProgress.set(workerId, (this.inProgress.get(workerId) ?? 1) - 1);
    return result;
  }
}

function toResponse(result: UpstreamResult): CallerAnswer {
  if (result.kind !== 'answered') return toCallerAnswer(result);
  const {status, headers, body} = result;
  return {
    outcome: 'ran',
    status,
    headers,
    body,
    reason: '',
    retryAfterMs: 0,
    workerId: '',
    isRepeated: false,
  };
}
