/** Bounds the bytes that are received at once by letting later receivers wait for earlier ones. */

import {Clock} from '@mustardlug/base/clock';

interface Waiter {
  readonly bytes: number;
  readonly resolve: (isEntered: boolean) => void;
}

/**
 * First-in, first-out gate. All bytes of a receiver are granted at once, so that
 * receivers that have a part of what they need cannot block each other.
 */
export class ByteGate {
  private usedBytes = 0;
  private readonly waiters = new Set<Waiter>();

  private constructor(
    private readonly maxBytes: number,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a gate that nothing has entered.
   * @param maxBytes - Maximum sum of the granted bytes.
   * @param clock - Clock for time limits.
   */
  static create(maxBytes: number, clock: Clock): ByteGate {
    return new ByteGate(maxBytes, clock);
  }

  /**
   * Waits until bytes are free, and takes them. The caller must call `leave` if this resolves with true.
   * @param bytes - Bytes to take; more than the maximum count as the maximum.
   * @param timeoutMs - Maximum wait.
   * @returns Whether the bytes were taken.
   */
  enter(bytes: number, timeoutMs: number): Promise<boolean> {
    const needed = Math.min(bytes, this.maxBytes);
    if (this.waiters.size === 0 && this.fits(needed)) {
      this.usedBytes += needed;
      return Promise.resolve(true);
    }
    return new Promise(resolve => {
      const timer = this.clock.setTimer(Math.max(0, timeoutMs), () => {
        this.waiters.delete(waiter);
        resolve(false);
        this.admitWaiters();
      });
      const waiter: Waiter = {
        bytes: needed,
        resolve: isEntered => {
          timer.cancel();
          resolve(isEntered);
        },
      };
      this.waiters.add(waiter);
    });
  }

  /**
   * Returns bytes that `enter` has taken.
   * @param bytes - The same number as was passed to `enter`.
   */
  leave(bytes: number): void {
    this.usedBytes -= Math.min(bytes, this.maxBytes);
    this.admitWaiters();
  }

  getUsedBytes(): number {
    return this.usedBytes;
  }

  private admitWaiters(): void {
    for (const waiter of this.waiters) {
      if (!this.fits(waiter.bytes)) return;
      this.waiters.delete(waiter);
      this.usedBytes += waiter.bytes;
      waiter.resolve(true);
    }
  }

  private fits(bytes: number): boolean {
    return this.usedBytes + bytes <= this.maxBytes;
  }
}
