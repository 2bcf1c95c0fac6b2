/**
 * Schedules the chunks of message bodies on a link.
 *
 * Heads are sent immediately. Bodies are split into chunks that share a credit
 * window. Chunks of urgent bodies are sent first, so a large bulk body delays
 * an urgent one by at most the window.
 */

import {ChunkMessage, PeerMessage} from './messages.js';

/** Priority of a body. `urgent` bodies are sent before `bulk` ones. */
export type SendPriority = 'urgent' | 'bulk';

/** Maximum size of a chunk, in bytes. */
export const CHUNK_BYTES = 16 * 1024;

/** Maximum number of chunk bytes in flight on one link. */
export const CREDIT_WINDOW_BYTES = 128 * 1024;

interface PendingBody {
  readonly id: string;
  readonly side: ChunkMessage['side'];
  readonly body: Uint8Array;
  offset: number;
}

/** Queues bodies and sends their chunks while credit is available. */
export class SendScheduler {
  private readonly queues: Record<SendPriority, PendingBody[]> = {
    urgent: [],
    bulk: [],
  };
  private creditBytes = CREDIT_WINDOW_BYTES;

  private constructor(private readonly send: (message: PeerMessage) => void) {}

  /**
   * Creates a scheduler for one link.
   * @param send - Sends a message immediately.
   */
  static create(send: (message: PeerMessage) => void): SendScheduler {
    return new SendScheduler(send);
  }

  /**
   * Adds a body whose head has been sent.
   * @param id - Id of the request.
   * @param side - Whether the body belongs to the request or the response.
   * @param body - Complete body.
   * @param priority - Priority of the body.
   */
  addBody(
    id: string,
    side: ChunkMessage['side'],
    body: Uint8Array,
    priority: SendPriority,
  ): void {
    if (body.length === 0) return;
    this.queues[priority].push({id, side, body, offset: 0});
    this.sendChunks();
  }

  /**
   * Adds credit that the receiver returned.
   * @param bytes - Number of bytes that the receiver has processed.
   */
  addCredit(bytes: number): void {
    this.creditBytes = Math.min(CREDIT_WINDOW_BYTES, this.creditBytes + bytes);
    this.sendChunks();
  }

  /**
   * Discards the unsent rest of a body.
   * @param id - Id of the request.
   */
  removeBody(id: string): void {
    for (const queue of Object.values(this.queues)) {
      const index = queue.findIndex(body => body.id === id);
      if (index >= 0) queue.splice(index, 1);
    }
  }

  private sendChunks(): void {
    while (this.creditBytes > 0) {
      const priority = this.queues.urgent.length > 0 ? 'urgent' : 'bulk';
      const pending = this.queues[priority].shift();
      if (pending === undefined) return;
      this.sendChunk(pending);
      if (pending.offset < pending.body.length)
        this.queues[priority].push(pending);
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
