/** Callers' requests, their answers, and what runs them. */

import {ServiceDeclaration} from '@mustardlug/document/environment_document';
import {Outcome} from '@mustardlug/protocol/messages';
import {ForwardResult, WholeRequest} from '@mustardlug/protocol/peer_channel';
import {HolderCandidate} from './holder_router.js';

/** A caller's request. */
export interface CallerRequest {
  readonly id: string;
  readonly service: ServiceDeclaration;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Uint8Array;
  readonly idempotencyKey: string | undefined;
  /** Monotonic time by which the caller must have its answer. */
  readonly deadlineMs: number;
}

/** Final answer to a caller. */
export interface CallerAnswer {
  readonly outcome: Outcome;
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Reason of an outcome other than `ran`. */
  readonly reason: string;
  /** Time after which the caller may try again, in milliseconds; 0 if not given. */
  readonly retryAfterMs: number;
  readonly workerId: string;
  /** Whether a recorded answer was repeated. */
  readonly isRepeated: boolean;
}

/** Sends requests to holders. */
export abstract class HolderNetwork {
  /**
   * Gets the holders that can be reached for a service.
   * @param service - Name of the service.
   */
  abstract getCandidates(service: string): HolderCandidate[];

  /**
   * Sends a request to a holder, which may be this process.
   * @param nodeId - Holder to use.
   * @param request - Whole request.
   */
  abstract forward(
    nodeId: string,
    request: WholeRequest,
  ): Promise<ForwardResult>;
}

/** Runs callers' requests. */
export abstract class RequestRunner {
  /**
   * Runs a request.
   * @param request - Request of a caller.
   */
  abstract runRequest(request: CallerRequest): Promise<CallerAnswer>;
}
