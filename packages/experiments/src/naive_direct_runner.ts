/** The baseline to beat: random workers, fixed limits for each entry, three tries on any failure. */

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
  /** Requests that this entry has in progress on one worker at most. */
  readonly slots: number;
  readonly send: (
    workerId: string,
    request: UpstreamRequest,
  ) => Promise<UpstreamResult>;
}

const MAX_TRIES = 3;
const SERVER_ERROR_STATUS = 500;

/** Sends each request to a random worker and tries again whatever went wrong. */
export class NaiveDirectRunner extends RequestRunner {
  private readonly inProgress = new Map<string, number>();

  private constructor(private readonly options: NaiveDirectRunnerOptions) {
    super();
  }

  /**
   * Creates the baseline.
   * @param options - Workers, limit and connection.
   */
  static create(options: NaiveDirectRunnerOptions): NaiveDirectRunner {
    return new NaiveDirectRunner(options);
  }

  override async runRequest(request: CallerRequest): Promise<CallerAnswer> {
    let answer = toCallerAnswer({kind: 'not-run', reason: 'no free slot'});
    for (let attempt = 1; attempt <= MAX_TRIES; attempt++) {
      const remainingMs =
        request.deadlineMs - this.options.clock.getMonotonicMs();
      if (remainingMs <= 0) return answer;
      const result = await this.tryWorker(request, attempt, remainingMs);
      answer = toAnswer(result);
      const isGood =
        answer.outcome === 'ran' && answer.status < SERVER_ERROR_STATUS;
      if (isGood) return answer;
    }
    return answer;
  }

  private async tryWorker(
    request: CallerRequest,
    attempt: number,
    remainingMs: number,
  ): Promise<UpstreamResult> {
    const {random, workerIds, slots, send} = this.options;
    const workerId = workerIds[random.getIndex(workerIds.length)];
    const taken = this.inProgress.get(workerId) ?? 0;
    if (taken >= slots) {
      return {kind: 'not-run', reason: 'limit reached', isFault: false};
    }
    this.inProgress.set(workerId, taken + 1);
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

function toAnswer(result: UpstreamResult): CallerAnswer {
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
