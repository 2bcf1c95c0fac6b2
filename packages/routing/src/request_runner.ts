/** Requests and answers of callers, and the interfaces of the components that run the requests. */

import {ServiceDeclaration} from '@mustardlug/document/environment_document';
import {Outcome} from '@mustardlug/protocol/messages';
import {
  ForwardResult,
  BufferedRequest,
} from '@mustardlug/protocol/peer_channel';
import {HolderCandidate} from './holder_router.js';

/** Request from a caller. */
export interface CallerRequest {
  readonly id: string;
  readonly service: ServiceDeclaration;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Uint8Array;
  readonly idempotencyKey: string | undefined;
  /** Monotonic time by which the caller needs the answer. */
  readonly deadlineMs: number;
}

/** Final answer to a caller. */
export interface CallerAnswer {
  readonly outcome: Outcome;
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Reason for an outcome other than `ran`; empty otherwise. */
  readonly reason: string;
  /** Delay after which the caller may retry, in milliseconds; 0 if not specified. */
  readonly retryAfterMs: number;
  readonly workerId: string;
  /** Whether the answer comes from an idempotency record. */
  readonly isRepeated: boolean;
}

/** Forwards requests to lease holders. */
export abstract class HolderNetwork {
  /**
   * Gets the reachable holders of a service.
   * @param service - Name of the service.
   */
  abstract getCandidates(service: string): HolderCandidate[];

  /**
   * Forwards a request to a holder, which may be this process.
   * @param nodeId - Id of the holder.
   * @param request - Request with its complete body.
   */
  abstract forward(
    nodeId: string,
    request: BufferedRequest,
  ): Promise<ForwardResult>;
}

export abstract class RequestRunner {
  /**
   * Runs a request and resolves with its final answer.
   * @param request - Request from a caller.
   */
  abstract runRequest(request: CallerRequest): Promise<CallerAnswer>;
}
