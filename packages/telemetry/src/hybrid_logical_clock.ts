/** Hybrid logical clock: timestamps that order events of all processes consistently with causality. */

import {Clock} from '@mustardlug/base/clock';

/** Wall time with a logical counter that orders events of the same millisecond. */
export interface HybridTimestamp {
  readonly wallMs: number;
  readonly counter: number;
}

/**
 * Clock whose timestamps are strictly increasing and greater than every
 * timestamp received from another process before.
 */
export class HybridLogicalClock {
  private last: HybridTimestamp = {wallMs: 0, counter: 0};

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): HybridLogicalClock {
    return new HybridLogicalClock(clock);
  }

  /** Gets a timestamp that is greater than all timestamps issued or received before. */
  getNext(): HybridTimestamp {
    const wallMs = Math.floor(this.clock.getWallMs());
    if (wallMs > this.last.wallMs) this.last = {wallMs, counter: 0};
    else this.last = {wallMs: this.last.wallMs, counter: this.last.counter + 1};
    return this.last;
  }

  /**
   * Advances the clock to a timestamp received from another process, if that is ahead.
   * @param received - Timestamp that was sent with a message.
   */
  mergeTimestamp(received: HybridTimestamp): void {
    if (compareTimestamps(received, this.last) > 0) this.last = received;
  }
}

/**
 * Compares two timestamps; for use with `Array.sort`.
 * @returns A negative number, zero or a positive number if `left` is earlier, equal or later.
 */
export function compareTimestamps(
  left: HybridTimestamp,
  right: HybridTimestamp,
): number {
  if (left.wallMs !== right.wallMs) return left.wallMs - right.wallMs;
  return left.counter - right.counter;
}
