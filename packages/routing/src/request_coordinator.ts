/** Coordinates callers' requests: idempotency records, forwarding, retries and the final answer. */

import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {Outcome, RequestMessage} from '@mustardlug/protocol/messages';
import {
  ForwardResult,
  BufferedRequest,
} from '@mustardlug/protocol/peer_channel';
import {chooseHolder, HolderCandidate} from './holder_router.js';
import {
  ClaimResult,
  IdempotencyRecords,
  KeyClaim,
} from './idempotency_records.js';
import {
  CallerAnswer,
  CallerRequest,
  HolderNetwork,
  RequestRunner,
} from './request_runner.js';
import {RetryBudget} from './retry_budget.js';

export interface RequestCoordinatorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly network: HolderNetwork;
  readonly records: IdempotencyRecords;
  readonly retryBudget: RetryBudget;
}

const MAX_HOLDER_ATTEMPTS = 3;
const NO_HOLDER_RETRY_AFTER_MS = 2_000;
const RECORDS_RETRY_AFTER_MS = 5_000;
const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Time reserved for the response to travel back; subtracted from the time that the holder gets. */
const RESPONSE_MARGIN_MS = 50;
const CONFLICT_STATUS = 409;
const SERVICE_UNAVAILABLE_STATUS = 503;
const GATEWAY_TIMEOUT_STATUS = 504;
const EMPTY_BODY = new Uint8Array(0);

/** Runs each request at most once, except requests that the document marks as read-only. */
export class RequestCoordinator extends RequestRunner {
  private constructor(private readonly options: RequestCoordinatorOptions) {
    super();
  }

  static create(options: RequestCoordinatorOptions): RequestCoordinator {
    return new RequestCoordinator(options);
  }

  override async runRequest(request: CallerRequest): Promise<CallerAnswer> {
    this.options.retryBudget.addRequest();
    if (request.idempotencyKey === undefined) return this.forward(request);
    return this.runWithIdempotencyKey(request, request.idempotencyKey);
  }

  private async runWithIdempotencyKey(
    request: CallerRequest,
    key: string,
  ): Promise<CallerAnswer> {
    const claimResult = await this.claimBeforeDeadline(request, key);
    switch (claimResult.kind) {
      case 'claimed':
        return this.runWithClaim(request, claimResult.claim);
      case 'answered':
        return {
          ...createAnswer('ran', claimResult.answer.status, ''),
          headers: ['content-type', claimResult.answer.contentType],
          body: claimResult.answer.body,
          isRepeated: true,
        };
      case 'taken':
        return createAnswer(
          'unknown',
          CONFLICT_STATUS,
          'a request with this idempotency key is in progress or has ended without a recorded answer',
          DEFAULT_RETRY_AFTER_MS,
        );
      case 'unavailable':
        return this.runWithoutRecord(request, claimResult.reason);
    }
  }

  /**
   * Claims the key within the deadline. A claim that is granted later is
   * released, because the caller has been answered without running the request.
   */
  private claimBeforeDeadline(
    request: CallerRequest,
    key: string,
  ): Promise<ClaimResult> {
    const {clock, records} = this.options;
    return new Promise(resolve => {
      let isTimedOut = false;
      const timer = clock.setTimer(this.getRemainingMs(request), () => {
        isTimedOut = true;
        resolve({
          kind: 'unavailable',
          reason: 'the table service did not answer before the deadline',
        });
      });
      void records.claim(request.service.name, key).then(result => {
        timer.cancel();
        if (isTimedOut && result.kind === 'claimed') {
          void records.release(result.claim);
        }
        resolve(result);
      });
    });
  }

  private runWithoutRecord(
    request: CallerRequest,
    reason: string,
  ): Promise<CallerAnswer> | CallerAnswer {
    if (request.service.whenRecordsUnavailable === 'run') {
      return this.forward(request);
    }
    return createAnswer(
      'not-run',
      SERVICE_UNAVAILABLE_STATUS,
      `the idempotency key could not be recorded (${reason})`,
      RECORDS_RETRY_AFTER_MS,
    );
  }

  private async runWithClaim(
    request: CallerRequest,
    claim: KeyClaim,
  ): Promise<CallerAnswer> {
    const {records} = this.options;
    const answer = await this.forward(request);
    if (answer.outcome === 'not-run') void records.release(claim);
    if (answer.outcome === 'ran') {
      const {status, body} = answer;
      const contentType = getHeader(answer.headers, 'content-type');
      void records.recordAnswer(claim, {status, contentType, body});
    }
    return answer;
  }

  private async forward(request: CallerRequest): Promise<CallerAnswer> {
    const triedHolders = new Set<string>();
    let lastFailure: CallerAnswer | undefined;
    for (;;) {
      const remainingMs = this.getRemainingMs(request);
      if (remainingMs <= 0) return lastFailure ?? createDeadlineRefusal();
      const holder = this.chooseHolder(request.service.name, triedHolders);
      if (holder === undefined) return lastFailure ?? createNoHolderRefusal();
      triedHolders.add(holder.nodeId);
      const result = await this.options.network.forward(
        holder.nodeId,
        createForwardedRequest(request, triedHolders.size, remainingMs),
      );
      const answer = toCallerAnswer(result);
      if (!this.canTryAnotherHolder(request, answer, triedHolders.size))
        return answer;
      lastFailure = answer;
    }
  }

  private chooseHolder(
    service: string,
    triedHolders: ReadonlySet<string>,
  ): HolderCandidate | undefined {
    const candidates = this.options.network
      .getCandidates(service)
      .filter(candidate => !triedHolders.has(candidate.nodeId));
    return chooseHolder(candidates, this.options.random);
  }

  private canTryAnotherHolder(
    request: CallerRequest,
    answer: CallerAnswer,
    attemptCount: number,
  ): boolean {
    if (answer.outcome === 'ran' || attemptCount >= MAX_HOLDER_ATTEMPTS)
      return false;
    const isSafeToRetry =
      answer.outcome === 'not-run' || isReadOnlyRequest(request);
    return isSafeToRetry && this.options.retryBudget.takeRetry();
  }

  private getRemainingMs(request: CallerRequest): number {
    const nowMs = this.options.clock.getMonotonicMs();
    return request.deadlineMs - nowMs - RESPONSE_MARGIN_MS;
  }
}

/**
 * Checks whether the document declares the route of a request as read-only.
 * @param request - Method, path and service.
 */
export function isReadOnlyRequest(
  request: Pick<CallerRequest, 'method' | 'path' | 'service'>,
): boolean {
  if (request.method !== 'GET' && request.method !== 'HEAD') return false;
  for (const route of request.service.routes) {
    if (request.path.startsWith(route.pathPrefix)) return route.isReadOnly;
  }
  return false;
}

/**
 * Creates the peer request that is sent to a holder.
 * @param request - Request of a caller.
 * @param attempt - Number of the attempt, from 1; part of the forwarded request id.
 * @param remainingMs - Time until the holder must have answered.
 */
export function createForwardedRequest(
  request: CallerRequest,
  attempt: number,
  remainingMs: number,
): BufferedRequest {
  const head: RequestMessage = {
    type: 'request',
    id: `${request.id}.${attempt}`,
    service: request.service.name,
    method: request.method,
    path: request.path,
    headers: request.headers,
    bodyBytes: request.body.length,
    remainingMs,
    isReadOnly: isReadOnlyRequest(request),
  };
  return {head, body: request.body};
}

/**
 * Converts the result of a forwarded request to the answer for its caller.
 * @param result - Result of the forwarded request.
 */
export function toCallerAnswer(result: ForwardResult): CallerAnswer {
  if (result.kind === 'not-run') {
    return createAnswer(
      'not-run',
      SERVICE_UNAVAILABLE_STATUS,
      result.reason,
      NO_HOLDER_RETRY_AFTER_MS,
    );
  }
  if (result.kind === 'unknown') {
    return createAnswer('unknown', GATEWAY_TIMEOUT_STATUS, result.reason);
  }
  const {head, body} = result.response;
  const {outcome, status, headers, reason, retryAfterMs, workerId} = head;
  return {
    outcome,
    status,
    headers,
    body,
    reason,
    retryAfterMs,
    workerId,
    isRepeated: false,
  };
}

function createNoHolderRefusal(): CallerAnswer {
  return createAnswer(
    'not-run',
    SERVICE_UNAVAILABLE_STATUS,
    'no reachable upstream for the service',
    NO_HOLDER_RETRY_AFTER_MS,
  );
}

function createDeadlineRefusal(): CallerAnswer {
  return createAnswer(
    'not-run',
    SERVICE_UNAVAILABLE_STATUS,
    'the remaining time until the deadline is too short',
    DEFAULT_RETRY_AFTER_MS,
  );
}

function createAnswer(
  outcome: Outcome,
  status: number,
  reason: string,
  retryAfterMs = 0,
): CallerAnswer {
  return {
    outcome,
    status,
    headers: [],
    body: EMPTY_BODY,
    reason,
    retryAfterMs,
    workerId: '',
    isRepeated: false,
  };
}

function getHeader(headers: readonly string[], name: string): string {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index].toLowerCase() === name) return headers[index + 1];
  }
  return 'application/octet-stream';
}
