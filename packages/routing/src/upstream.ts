/** The connection from a holder to the upstreams of a worker, as the policy sees it. */

import {WorkerLease} from '@mustardlug/membership/worker_lease';

/** A request as it is sent to an upstream. */
export interface UpstreamRequest {
  readonly id: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly timeoutMs: number;
}

/** End of an upstream request. */
export type UpstreamResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: string[];
      readonly body: Uint8Array;
    }
  /**
   * No byte was sent, or the worker refused it before running it.
   * `isFault` when the worker could not be reached.
   */
  | {
      readonly kind: 'not-run';
      readonly reason: string;
      readonly isFault: boolean;
    }
  /** The request may have run. `isSilent` when the connection made no progress in time. */
  | {
      readonly kind: 'unknown';
      readonly reason: string;
      readonly isSilent: boolean;
    };

/** Sends requests to upstreams. */
export abstract class Upstream {
  /**
   * Sends a request; never fails and always resolves by its timeout.
   * @param lease - Valid lease of the worker.
   * @param request - Request to send.
   */
  abstract send(
    lease: WorkerLease,
    request: UpstreamRequest,
  ): Promise<UpstreamResult>;
}
