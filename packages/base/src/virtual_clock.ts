/** Simulated time for tests. */

import {Clock, Timer} from './clock.js';
import {PriorityQueue} from './priority_queue.js';

interface PendingTimer {
  readonly dueMs: number;
  readonly sequence: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

/** Microtask turns to wait for after each timer, so that promise chains up to this length settle. */
const MICROTASK_ROUNDS = 40;

/**
 * Deterministic clock that advances only in `advance`. Timers fire in order of
 * due time, then of creation.
 */
export class VirtualClock extends Clock {
  private readonly timers = PriorityQueue.create(compareTimers);
  private sequence = 0;

  private constructor(private currentMs: number) {
    super();
  }

  /**
   * Creates a clock.
   * @param startMs - Initial wall and monotonic time in milliseconds.
   */
  static create(startMs = 1_000_000): VirtualClock {
    return new VirtualClock(startMs);
  }

  override getWallMs(): number {
    return this.currentMs;
  }

  override getMonotonicMs(): number {
    return this.currentMs;
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    const timer: PendingTimer = {
      dueMs: this.currentMs + Math.max(0, delayMs),
      sequence: this.sequence++,
      callback,
      isCancelled: false,
    };
    this.timers.addItem(timer);
    return {
      cancel: () => {
        timer.isCancelled = true;
      },
    };
  }

  /**
   * Advances the time and fires every timer that becomes due in between.
   * @param durationMs - Duration in milliseconds.
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.currentMs + durationMs;
    await flushMicrotasks();
    for (;;) {
      const next = this.timers.getFirst();
      if (next === undefined || next.dueMs > endMs) break;
      this.timers.removeFirst();
      if (next.isCancelled) continue;
      this.currentMs = Math.max(this.currentMs, next.dueMs);
      next.callback();
      await flushMicrotasks();
    }
    this.currentMs = endMs;
    await flushMicrotasks();
  }
}

function compareTimers(left: PendingTimer, right: PendingTimer): number {
  if (left.dueMs !== right.dueMs) return left.dueMs - right.dueMs;
  return left.sequence - right.sequence;
}

async function flushMicrotasks(): Promise<void> {
  for (let round = 0; round < MICROTASK_ROUNDS; round++) {
    await Promise.resolve();
  }
}
