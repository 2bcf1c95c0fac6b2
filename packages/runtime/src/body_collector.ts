/** Collects the pieces of request bodies in blocks that are used again. */

/** Size of a block. Most bodies of callers fit into one. */
export const BLOCK_BYTES = 16_384;

/**
 * Blocks that are not in use. Reuse keeps the memory of ended requests from waiting for
 * a garbage collection, which the memory of buffers alone triggers late.
 */
export class BlockPool {
  private readonly blocks: Buffer[] = [];
  private scratch = Buffer.alloc(0);

  private constructor() {}

  static create(): BlockPool {
    return new BlockPool();
  }

  take(): Buffer {
    return this.blocks.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  give(block: Buffer): void {
    this.blocks.push(block);
  }

  /** Gets memory that is valid until the next call. */
  getScratch(bytes: number): Buffer {
    if (this.scratch.length < bytes)
      this.scratch = Buffer.allocUnsafeSlow(bytes);
    return this.scratch.subarray(0, bytes);
  }
}

/** Pieces of one body. Copies them, so that very many small ones cost no more than their bytes. */
export class BodyCollector {
  private readonly blocks: Buffer[] = [];
  private length = 0;

  private constructor(private readonly pool: BlockPool) {}

  /**
   * Creates a collector without bytes.
   * @param pool - Source of blocks.
   */
  static create(pool: BlockPool): BodyCollector {
    return new BodyCollector(pool);
  }

  getLength(): number {
    return this.length;
  }

  /**
   * Gets the number of bytes that a piece would take in new blocks.
   * @param pieceBytes - Length of the piece.
   */
  getGrowthBytes(pieceBytes: number): number {
    const neededBlocks = Math.ceil((this.length + pieceBytes) / BLOCK_BYTES);
    return (neededBlocks - this.blocks.length) * BLOCK_BYTES;
  }

  append(piece: Buffer): void {
    let copied = 0;
    while (copied < piece.length) {
      const offset = this.length % BLOCK_BYTES;
      if (offset === 0) this.blocks.push(this.pool.take());
      const block = this.blocks[this.blocks.length - 1];
      const count = piece.copy(block, offset, copied);
      copied += count;
      this.length += count;
    }
  }

  /** Gets the whole body, in memory that is valid until this or another collector is used. */
  viewBody(): Buffer {
    if (this.blocks.length === 1)
      return this.blocks[0].subarray(0, this.length);
    const body = this.pool.getScratch(this.length);
    let offset = 0;
    for (const block of this.blocks) offset += block.copy(body, offset);
    return body;
  }

  /** Gets the whole body and returns the blocks. */
  takeBody(): Buffer {
    const body = Buffer.concat(this.blocks, this.length);
    this.discard();
    return body;
  }

  /** Returns the blocks. Discarding twice has no effect. */
  discard(): void {
    for (const block of this.blocks) this.pool.give(block);
    this.blocks.length = 0;
    this.length = 0;
  }
}
