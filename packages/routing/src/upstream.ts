/** Interface through which a lease holder sends requests to the upstreams of its workers. */

import {WorkerLease} from '@mustardlug/membership/worker_lease';

/** Request to an upstream. */
export interface UpstreamRequest {
  readonly id: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Alternating header names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly timeoutMs: number;
}

/** Outcome of an upstream request. */
export type UpstreamResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: string[];
      readonly body: Uint8Array;
    }
  /**
   * The request did not run: no byte was sent, or the worker refused it before execution.
   * `isFault` is set when the worker was unreachable.
   */
  | {
      readonly kind: 'not-run';
      readonly reason: string;
      readonly isFault: boolean;
    }
  /** The request may have run. `isSilent` is set when the connection made no progress in time. */
  | {
      readonly kind: 'unknown';
      readonly reason: string;
      readonly isSilent: boolean;
    };

/** Sends requests to upstreams. */
export abstract class Upstream {
  /**
   * Sends a request. Never rejects, and resolves no later than the request's time-out.
   * @param lease - Valid lease of the worker.
   * @param request - Request to send.
   */
  abstract send(
    lease: WorkerLease,
    request: UpstreamRequest,
  ): Promise<UpstreamResult>;
}
