/** Reassembles message bodies from their chunks. */

import {err, ok, Result} from 'neverthrow';
import {createRefusedError, RefusedError} from '@mustardlug/base/errors';
import {ChunkMessage} from './messages.js';

interface PartialBody<T> {
  readonly head: T;
  readonly body: Buffer;
  receivedBytes: number;
}

/** A head with its complete body. */
export interface AssembledMessage<T> {
  readonly head: T;
  readonly body: Buffer;
}

/** Head of a message that chunks follow. */
export interface BodyHead {
  readonly id: string;
  readonly bodyBytes: number;
}

/** Assembles the bodies of one side (requests or responses) of one link. */
export class BodyAssembler<T extends BodyHead> {
  private readonly partialBodies = new Map<string, PartialBody<T>>();

  private constructor() {}

  /** Creates an empty assembler. */
  static create<T extends BodyHead>(): BodyAssembler<T> {
    return new BodyAssembler<T>();
  }

  /**
   * Adds a head.
   * @param head - Head of the message.
   * @returns The assembled message if it has no body.
   */
  addHead(head: T): AssembledMessage<T> | undefined {
    const body = Buffer.allocUnsafe(head.bodyBytes);
    if (head.bodyBytes === 0) return {head, body};
    this.partialBodies.set(head.id, {head, body, receivedBytes: 0});
    return undefined;
  }

  /**
   * Adds a chunk. Drops chunks with an unknown id, such as those of a cancelled request.
   * @param chunk - Chunk to add.
   * @returns The assembled message after its last chunk, or `refused` when the chunk is out of order or exceeds the announced size.
   */
  addChunk(
    chunk: ChunkMessage,
  ): Result<AssembledMessage<T> | undefined, RefusedError> {
    const partial = this.partialBodies.get(chunk.id);
    if (partial === undefined) return ok(undefined);
    const endOffset = chunk.offset + chunk.data.length;
    const fits = endOffset <= partial.body.length;
    if (chunk.offset !== partial.receivedBytes || !fits) {
      this.partialBodies.delete(chunk.id);
      const message = `chunk of message ${chunk.id} covers bytes ${chunk.offset} to ${endOffset}, expected offset ${partial.receivedBytes} of ${partial.body.length} bytes; reconnect`;
      return err(createRefusedError(message));
    }
    partial.body.set(chunk.data, chunk.offset);
    partial.receivedBytes = endOffset;
    if (endOffset < partial.body.length) return ok(undefined);
    this.partialBodies.delete(chunk.id);
    return ok({head: partial.head, body: partial.body});
  }

  /**
   * Discards an incomplete body.
   * @param id - Id of the request.
   */
  removePartialBody(id: string): void {
    this.partialBodies.delete(id);
  }

  /** Discards all incomplete bodies. */
  clear(): void {
    this.partialBodies.clear();
  }
}
