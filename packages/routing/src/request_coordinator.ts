/** Takes a caller's request through admission, recording, forwarding and its final answer. */

import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {Outcome, RequestMessage} from '@mustardlug/protocol/messages';
import {ForwardResult, WholeRequest} from '@mustardlug/protocol/peer_channel';
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

/** Options of a coordinator. */
export interface RequestCoordinatorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly network: HolderNetwork;
  readonly records: IdempotencyRecords;
  readonly retryBudget: RetryBudget;
}

const MAX_HOLDERS = 3;
const NO_HOLDER_RETRY_AFTER_MS = 2_000;
const RECORDS_RETRY_AFTER_MS = 5_000;
const TAKEN_RETRY_AFTER_MS = 1_000;
/** Time that the answer needs to come back, taken off the holder's share of the deadline. */
const RETURN_ALLOWANCE_MS = 50;
const CONFLICT_STATUS = 409;
const SERVICE_UNAVAILABLE_STATUS = 503;
const GATEWAY_TIMEOUT_STATUS = 504;
const EMPTY_BODY = new Uint8Array(0);

/** Runs callers' requests at most once. */
export class RequestCoordinator extends RequestRunner {
  private constructor(private readonly options: RequestCoordinatorOptions) {
    super();
  }

  /**
   * Creates a coordinator.
   * @param options - Clock, random numbers, network, records and retry budget.
   */
  static create(options: RequestCoordinatorOptions): RequestCoordinator {
    return new RequestCoordinator(options);
  }

  override async runRequest(request: CallerRequest): Promise<CallerAnswer> {
    this.options.retryBudget.addRequest();
    if (request.idempotencyKey === undefined) return this.forward(request);
    return this.runKeyed(request, request.idempotencyKey);
  }

  private async runKeyed(
    request: CallerRequest,
    key: string,
  ): Promise<CallerAnswer> {
    const claimed = await this.claimBeforeDeadline(request, key);
    switch (claimed.kind) {
      case 'claimed':
        return this.runClaimed(request, claimed.claim);
      case 'answered':
        return {
          ...createAnswer('ran', claimed.answer.status, ''),
          headers: ['content-type', claimed.answer.contentType],
          body: claimed.answer.body,
          isRepeated: true,
        };
      case 'taken':
        return createAnswer(
          'unknown',
          CONFLICT_STATUS,
          'a request with this idempotency key was already sent; its outcome is not recorded yet',
          TAKEN_RETRY_AFTER_MS,
        );
      case 'unavailable':
        return this.runWithoutRecord(request, claimed.reason);
    }
  }

  /** A claim that comes too late is released, as its request was answered. */
  private claimBeforeDeadline(
    request: CallerRequest,
    key: string,
  ): Promise<ClaimResult> {
    const {clock, records} = this.options;
    return new Promise(resolve => {
      let isLate = false;
      const timer = clock.setTimer(this.getRemainingMs(request), () => {
        isLate = true;
        resolve({kind: 'unavailable', reason: 'the table service is too slow'});
      });
      void records.claim(request.service.name, key).then(result => {
        timer.cancel();
        if (isLate && result.kind === 'claimed') {
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

  private async runClaimed(
    request: CallerRequest,
    claim: KeyClaim,
  ): Promise<CallerAnswer> {
    const {records} = this.options;
    const answer = await this.forward(request);
    if (answer.outcome === 'not-run') void records.release(claim);
    if (answer.outcome === 'ran') {
      const {status, body} = answer;
      const contentType = getHeader(answer.headers, 'content-type');
      void records.addAnswer(claim, {status, contentType, body});
    }
    return answer;
  }

  private async forward(request: CallerRequest): Promise<CallerAnswer> {
    const tried = new Set<string>();
    let refusal: CallerAnswer | undefined;
    for (;;) {
      const remainingMs = this.getRemainingMs(request);
      if (remainingMs <= 0) return refusal ?? createDeadlineRefusal();
      const holder = this.chooseHolder(request.service.name, tried);
      if (holder === undefined) return refusal ?? createNoHolderRefusal();
      tried.add(holder.nodeId);
      const result = await this.options.network.forward(
        holder.nodeId,
        createWholeRequest(request, tried.size, remainingMs),
      );
      const answer = toCallerAnswer(result);
      if (!this.mayTryAnother(request, answer, tried.size)) return answer;
      refusal = answer;
    }
  }

  private chooseHolder(
    service: string,
    tried: ReadonlySet<string>,
  ): HolderCandidate | undefined {
    const candidates = this.options.network
      .getCandidates(service)
      .filter(candidate => !tried.has(candidate.nodeId));
    return chooseHolder(candidates, this.options.random);
  }

  private mayTryAnother(
    request: CallerRequest,
    answer: CallerAnswer,
    triedCount: number,
  ): boolean {
    if (answer.outcome === 'ran' || triedCount >= MAX_HOLDERS) return false;
    const isAllowed =
      answer.outcome === 'not-run' || isReadOnlyRequest(request);
    return isAllowed && this.options.retryBudget.takeRetry();
  }

  private getRemainingMs(request: CallerRequest): number {
    const nowMs = this.options.clock.getMonotonicMs();
    return request.deadlineMs - nowMs - RETURN_ALLOWANCE_MS;
  }
}

/**
 * Checks whether the document marks a request as read-only.
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
 * Creates the message for a holder.
 * @param request - Request of a caller.
 * @param attempt - Number of the holder that is tried, from 1.
 * @param remainingMs - Time that the holder has.
 */
export function createWholeRequest(
  request: CallerRequest,
  attempt: number,
  remainingMs: number,
): WholeRequest {
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
 * Converts the end of a forwarded request to an answer.
 * @param result - End of the request.
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
    'no upstream of the service can be reached',
    NO_HOLDER_RETRY_AFTER_MS,
  );
}

function createDeadlineRefusal(): CallerAnswer {
  return createAnswer(
    'not-run',
    SERVICE_UNAVAILABLE_STATUS,
    'the deadline is too near',
    TAKEN_RETRY_AFTER_MS,
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
