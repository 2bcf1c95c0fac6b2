/**
 * Decides which part of which body is sent next on a link.
 *
 * Heads and small bodies go at once. Larger bodies are cut into chunks that
 * share a credit window, latency-critical ones first, so that a report never
 * holds up a booking for more than the window.
 */

import {ChunkMessage, InnerMessage} from './messages.js';

/** `urgent` bodies go before `bulk` ones. */
export type SendLane = 'urgent' | 'bulk';

/** Size of one chunk, in bytes. */
export const CHUNK_BYTES = 16 * 1024;

/** Bytes of chunks that may be under way on one link. */
export const CREDIT_WINDOW_BYTES = 128 * 1024;

interface PendingBody {
  readonly id: string;
  readonly side: ChunkMessage['side'];
  readonly body: Uint8Array;
  offset: number;
}

/** Queues bodies and hands out chunks while credit lasts. */
export class SendScheduler {
  private readonly lanes: Record<SendLane, PendingBody[]> = {
    urgent: [],
    bulk: [],
  };
  private creditBytes = CREDIT_WINDOW_BYTES;

  private constructor(private readonly send: (message: InnerMessage) => void) {}

  /**
   * Creates a scheduler for one link.
   * @param send - Function that sends a message at once.
   */
  static create(send: (message: InnerMessage) => void): SendScheduler {
    return new SendScheduler(send);
  }

  /**
   * Adds a body whose head was sent.
   * @param id - Id of the request.
   * @param side - Whether it belongs to the request or the response.
   * @param body - Whole body.
   * @param lane - Lane to use.
   */
  addBody(
    id: string,
    side: ChunkMessage['side'],
    body: Uint8Array,
    lane: SendLane,
  ): void {
    if (body.length === 0) return;
    this.lanes[lane].push({id, side, body, offset: 0});
    this.sendChunks();
  }

  /**
   * Adds credit that the receiver returned.
   * @param bytes - Bytes that the receiver took.
   */
  addCredit(bytes: number): void {
    this.creditBytes = Math.min(CREDIT_WINDOW_BYTES, this.creditBytes + bytes);
    this.sendChunks();
  }

  /**
   * Drops the rest of a request's body.
   * @param id - Id of the request.
   */
  removeBody(id: string): void {
    for (const lane of Object.values(this.lanes)) {
      const index = lane.findIndex(body => body.id === id);
      if (index >= 0) lane.splice(index, 1);
    }
  }

  private sendChunks(): void {
    while (this.creditBytes > 0) {
      const lane = this.lanes.urgent.length > 0 ? 'urgent' : 'bulk';
      const pending = this.lanes[lane].shift();
      if (pending === undefined) return;
      this.sendChunk(pending);
      if (pending.offset < pending.body.length) this.lanes[lane].push(pending);
    }
  }

  private sendChunk(pending: PendingBody): void {
    const {id, side, offset} = pending;
    const data = pending.body.subarray(offset, offset + CHUNK_BYTES);
    this.creditBytes -= data.length;
    pending.offset += data.length;
    this.send({type: 'chunk', id, side, offset, data});
  }
}
