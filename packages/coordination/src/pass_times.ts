/** Measures the time that placement passes take of a coordinator's term. */

import {Clock} from '@mustardlug/base/clock';

/** Durations of the placement passes of one term. */
export class PassTimes {
  private lastMs = 0;
  private totalMs = 0;
  private sharedMs = 0;
  private sharedSinceMs: number;

  private constructor(private readonly clock: Clock) {
    this.sharedSinceMs = clock.getMonotonicMs();
  }

  /**
   * Creates a measurement without any pass.
   * @param clock - Clock of the coordinator.
   */
  static create(clock: Clock): PassTimes {
    return new PassTimes(clock);
  }

  /**
   * Runs a pass and measures it.
   * @param pass - Pass to run.
   */
  measure(pass: () => void): void {
    const startMs = this.clock.getMonotonicMs();
    pass();
    this.lastMs = this.clock.getMonotonicMs() - startMs;
    this.totalMs += this.lastMs;
  }

  /** Gets the duration of the last pass; 0 before the first one. */
  getLastMs(): number {
    return this.lastMs;
  }

  /** Gets the duration of all passes. */
  getTotalMs(): number {
    return this.totalMs;
  }

  /** Gets the fraction of the time since the previous call that passes took. */
  takeShare(): number {
    const nowMs = this.clock.getMonotonicMs();
    const elapsedMs = nowMs - this.sharedSinceMs;
    const passMs = this.totalMs - this.sharedMs;
    this.sharedSinceMs = nowMs;
    this.sharedMs = this.totalMs;
    return elapsedMs > 0 ? passMs / elapsedMs : 0;
  }
}
