/** Hybrid logical clock: orders events of all processes consistently with messages. */

import {Clock} from '@mustardlug/base/clock';

/** A reading: wall time, then a counter that breaks ties. */
export interface HybridTimestamp {
  readonly wallMs: number;
  readonly counter: number;
}

/** Clock whose readings never go back and follow every received reading. */
export class HybridLogicalClock {
  private last: HybridTimestamp = {wallMs: 0, counter: 0};

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a clock.
   * @param clock - Source of wall time.
   */
  static create(clock: Clock): HybridLogicalClock {
    return new HybridLogicalClock(clock);
  }

  /** Gets a reading that is later than all before it. */
  getNext(): HybridTimestamp {
    const wallMs = Math.floor(this.clock.getWallMs());
    if (wallMs > this.last.wallMs) this.last = {wallMs, counter: 0};
    else this.last = {wallMs: this.last.wallMs, counter: this.last.counter + 1};
    return this.last;
  }

  /**
   * Takes in a reading from another process.
   * @param received - Reading of the other process.
   */
  addReading(received: HybridTimestamp): void {
    if (compareTimestamps(received, this.last) > 0) this.last = received;
  }
}

/**
 * Compares two readings; the result has the sign that `Array.sort` expects.
 * @param left - First reading.
 * @param right - Second reading.
 */
export function compareTimestamps(
  left: HybridTimestamp,
  right: HybridTimestamp,
): number {
  if (left.wallMs !== right.wallMs) return left.wallMs - right.wallMs;
  return left.counter - right.counter;
}
