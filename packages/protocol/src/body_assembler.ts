/** Puts bodies together from their chunks. */

import {err, ok, Result} from 'neverthrow';
import {createRefusedError, RefusedError} from '@mustardlug/base/errors';
import {ChunkMessage} from './messages.js';

interface PartialBody<T> {
  readonly head: T;
  readonly body: Buffer;
  receivedBytes: number;
}

/** A head with its whole body. */
export interface WholeMessage<T> {
  readonly head: T;
  readonly body: Buffer;
}

/** Head of a message that chunks follow. */
export interface BodyHead {
  readonly id: string;
  readonly bodyBytes: number;
}

/** Assembles the bodies of one side of one link. */
export class BodyAssembler<T extends BodyHead> {
  private readonly partials = new Map<string, PartialBody<T>>();

  private constructor() {}

  /** Creates an empty assembler. */
  static create<T extends BodyHead>(): BodyAssembler<T> {
    return new BodyAssembler<T>();
  }

  /**
   * Adds a head.
   * @param head - Head of the message.
   * @returns The whole message if it has no body.
   */
  addHead(head: T): WholeMessage<T> | undefined {
    const body = Buffer.allocUnsafe(head.bodyBytes);
    if (head.bodyBytes === 0) return {head, body};
    this.partials.set(head.id, {head, body, receivedBytes: 0});
    return undefined;
  }

  /**
   * Adds a chunk. Chunks of unknown ids are late and are dropped.
   * @param chunk - Chunk to add.
   * @returns The whole message when it is complete, or `refused` when chunks do not fit together.
   */
  addChunk(
    chunk: ChunkMessage,
  ): Result<WholeMessage<T> | undefined, RefusedError> {
    const partial = this.partials.get(chunk.id);
    if (partial === undefined) return ok(undefined);
    const endOffset = chunk.offset + chunk.data.length;
    const fits = endOffset <= partial.body.length;
    if (chunk.offset !== partial.receivedBytes || !fits) {
      this.partials.delete(chunk.id);
      const message = `chunk at ${chunk.offset} of ${chunk.id} does not follow byte ${partial.receivedBytes}; reconnect`;
      return err(createRefusedError(message));
    }
    partial.body.set(chunk.data, chunk.offset);
    partial.receivedBytes = endOffset;
    if (endOffset < partial.body.length) return ok(undefined);
    this.partials.delete(chunk.id);
    return ok({head: partial.head, body: partial.body});
  }

  /**
   * Drops a partial body.
   * @param id - Id of the request.
   */
  removePartial(id: string): void {
    this.partials.delete(id);
  }

  /** Drops all partial bodies. */
  clear(): void {
    this.partials.clear();
  }
}
