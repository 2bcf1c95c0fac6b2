/**
 * Pauses placements on a worker that does not start runs.
 *
 * Load pattern: a worker renews its lease but refuses all starts. Where it has the
 * highest rank, each task that it has refused would be placed there again at once,
 * although other workers have room.
 */

import {Clock} from '@mustardlug/base/clock';

const INITIAL_PAUSE_MS = 250;

/** Below the time after which callers count work that waits beside free capacity as lost. */
const MAX_PAUSE_MS = 2_000;

/** Tracks the failed starts of one worker process. */
export class StartBackoff {
  private pauseMs = 0;
  private pauseEndMs = -Infinity;

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a tracker without failures.
   * @param clock - Clock of the pauses.
   */
  static create(clock: Clock): StartBackoff {
    return new StartBackoff(clock);
  }

  /** Checks whether the worker should get no new runs now. */
  isPaused(): boolean {
    return this.clock.getMonotonicMs() < this.pauseEndMs;
  }

  /**
   * Records that a run was not started. Doubles the previous pause, once for all
   * runs that were placed before it.
   */
  recordFailure(): void {
    if (this.isPaused()) return;
    const doubledMs = Math.min(this.pauseMs * 2, MAX_PAUSE_MS);
    this.pauseMs = Math.max(INITIAL_PAUSE_MS, doubledMs);
    this.pauseEndMs = this.clock.getMonotonicMs() + this.pauseMs;
  }

  /** Records that a run was started, or that another process has taken over. */
  reset(): void {
    this.pauseMs = 0;
    this.pauseEndMs = -Infinity;
  }
}
