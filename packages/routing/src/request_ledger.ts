/** What a holder knows of each request, so that a peer can ask after it. */

import {Clock} from '@mustardlug/base/clock';
import {KnownRequest, WholeResponse} from '@mustardlug/protocol/peer_channel';

interface LedgerEntry {
  response: WholeResponse | undefined;
  isBodyDropped: boolean;
  endedAtMs: number | undefined;
}

/** Time that an ended request is remembered; longer than any request's deadline. */
const MEMORY_MS = 150_000;
/** Bytes of answers that are kept for repetition. */
const MAX_KEPT_BYTES = 8 * 1024 * 1024;

/** Remembers requests in the order in which they arrived. */
export class RequestLedger {
  private readonly entries = new Map<string, LedgerEntry>();
  private readonly answered: string[] = [];
  private keptBytes = 0;

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an empty ledger.
   * @param clock - Clock of the holder.
   */
  static create(clock: Clock): RequestLedger {
    return new RequestLedger(clock);
  }

  /**
   * Adds a request that arrived.
   * @param id - Id of the request.
   * @returns False if the id is already known.
   */
  addRequest(id: string): boolean {
    this.removeOld();
    if (this.entries.has(id)) return false;
    this.entries.set(id, {
      response: undefined,
      isBodyDropped: false,
      endedAtMs: undefined,
    });
    return true;
  }

  /**
   * Adds the answer of a request.
   * @param id - Id of the request.
   * @param response - Its answer.
   */
  addResponse(id: string, response: WholeResponse): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    entry.response = response;
    entry.endedAtMs = this.clock.getMonotonicMs();
    this.answered.push(id);
    this.keptBytes += response.body.length;
    this.dropLargeBodies();
  }

  /**
   * Gets what is known of a request.
   * @param id - Id of the request.
   */
  getKnownRequest(id: string): KnownRequest {
    const entry = this.entries.get(id);
    if (entry === undefined) return {state: 'not-run'};
    if (entry.isBodyDropped) return {state: 'unknown'};
    if (entry.response === undefined) return {state: 'in-progress'};
    return {state: 'answered', response: entry.response};
  }

  private dropLargeBodies(): void {
    while (this.keptBytes > MAX_KEPT_BYTES) {
      const oldest = this.answered.shift();
      if (oldest === undefined) return;
      this.dropBody(oldest);
    }
  }

  private dropBody(id: string): void {
    const entry = this.entries.get(id);
    if (entry?.response === undefined) return;
    this.keptBytes -= entry.response.body.length;
    entry.response = undefined;
    entry.isBodyDropped = true;
  }

  private removeOld(): void {
    const limitMs = this.clock.getMonotonicMs() - MEMORY_MS;
    for (const [id, entry] of this.entries) {
      if (entry.endedAtMs === undefined || entry.endedAtMs > limitMs) return;
      this.dropBody(id);
      this.entries.delete(id);
    }
  }
}
