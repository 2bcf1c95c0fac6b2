/** Clock of a simulated machine whose wall time differs from that of the simulation. */

import {Clock, Timer} from '@mustardlug/base/clock';

/** Shifts the wall time of another clock. */
export class OffsetClock extends Clock {
  private constructor(
    private readonly base: Clock,
    private readonly wallOffsetMs: number,
  ) {
    super();
  }

  /**
   * Creates a clock.
   * @param base - Clock of the simulation.
   * @param wallOffsetMs - Time by which the wall time is ahead of that of `base`.
   */
  static create(base: Clock, wallOffsetMs: number): OffsetClock {
    return new OffsetClock(base, wallOffsetMs);
  }

  override getWallMs(): number {
    return this.base.getWallMs() + this.wallOffsetMs;
  }

  override getMonotonicMs(): number {
    return this.base.getMonotonicMs();
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    return this.base.setTimer(delayMs, callback);
  }
}
