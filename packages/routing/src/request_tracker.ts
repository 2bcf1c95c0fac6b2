/** States and responses of recent requests, for deduplication and for queries by peers. */

import {Clock} from '@mustardlug/base/clock';
import {
  RequestStatus,
  BufferedResponse,
} from '@mustardlug/protocol/peer_channel';

interface TrackedRequest {
  response: BufferedResponse | undefined;
  isResponseEvicted: boolean;
  endedAtMs: number | undefined;
}

/** Retention period of ended requests; longer than the deadline of any request. */
const RETENTION_MS = 150_000;
/** Total size of the response bodies that are retained for duplicates and peer queries. */
const MAX_RETAINED_BYTES = 8 * 1024 * 1024;

/** Tracks requests in order of arrival. */
export class RequestTracker {
  private readonly entries = new Map<string, TrackedRequest>();
  private readonly answeredIds: string[] = [];
  private retainedBytes = 0;

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an empty tracker.
   * @param clock - Clock of this process.
   */
  static create(clock: Clock): RequestTracker {
    return new RequestTracker(clock);
  }

  /**
   * Adds a request.
   * @param id - Id of the request.
   * @returns False if the id is already tracked.
   */
  addRequest(id: string): boolean {
    this.removeExpired();
    if (this.entries.has(id)) return false;
    this.entries.set(id, {
      response: undefined,
      isResponseEvicted: false,
      endedAtMs: undefined,
    });
    return true;
  }

  /**
   * Stores the response of a request. Evicts the oldest responses while their
   * bodies exceed `MAX_RETAINED_BYTES`.
   * @param id - Id of the request.
   * @param response - Response of the request.
   */
  addResponse(id: string, response: BufferedResponse): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    entry.response = response;
    entry.endedAtMs = this.clock.getMonotonicMs();
    this.answeredIds.push(id);
    this.retainedBytes += response.body.length;
    this.evictOldestResponses();
  }

  /**
   * Gets the state of a request; `not-run` if the id is not tracked.
   * @param id - Id of the request.
   */
  getKnownRequest(id: string): RequestStatus {
    const entry = this.entries.get(id);
    if (entry === undefined) return {state: 'not-run'};
    if (entry.isResponseEvicted) return {state: 'unknown'};
    if (entry.response === undefined) return {state: 'in-progress'};
    return {state: 'answered', response: entry.response};
  }

  private evictOldestResponses(): void {
    while (this.retainedBytes > MAX_RETAINED_BYTES) {
      const oldest = this.answeredIds.shift();
      if (oldest === undefined) return;
      this.evictResponse(oldest);
    }
  }

  private evictResponse(id: string): void {
    const entry = this.entries.get(id);
    if (entry?.response === undefined) return;
    this.retainedBytes -= entry.response.body.length;
    entry.response = undefined;
    entry.isResponseEvicted = true;
  }

  private removeExpired(): void {
    const limitMs = this.clock.getMonotonicMs() - RETENTION_MS;
    for (const [id, entry] of this.entries) {
      if (entry.endedAtMs === undefined || entry.endedAtMs > limitMs) return;
      this.evictResponse(id);
      this.entries.delete(id);
    }
  }
}
