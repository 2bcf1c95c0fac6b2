/**
 * Bounds the bytes of the requests that peers have forwarded to this process. Each peer
 * bounds only what its own callers hold, and all peers may choose the same holder.
 */

/** Budget shared by the channels of all peers. */
export class ForwardBudget {
  private reservedBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates a budget without reservations.
   * @param maxBytes - Maximum bytes of bodies that are being received or in progress.
   */
  static create(maxBytes: number): ForwardBudget {
    return new ForwardBudget(maxBytes);
  }

  /**
   * Reserves the bytes of a body before it is received.
   * @param bytes - Length of the body.
   * @returns A function that returns the bytes, without effect after the first call; `undefined` if there is no room.
   */
  reserve(bytes: number): (() => void) | undefined {
    if (this.reservedBytes + bytes > this.maxBytes) return undefined;
    this.reservedBytes += bytes;
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      this.reservedBytes -= bytes;
    };
  }

  getReservedBytes(): number {
    return this.reservedBytes;
  }
}
