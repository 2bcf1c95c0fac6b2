/**
 * Measures for how long this process has not noticed what happens elsewhere.
 *
 * A process that is busy or suspended reads a response late, however early it
 * arrived. A duration that ends with the noticed response contains that delay, and
 * says nothing about the other side in it.
 */

import {Clock, Timer} from './clock.js';

/** Interval at which the delay of timers is measured. */
const MEASUREMENT_INTERVAL_MS = 50;

/** Delay of a timer up to which it counts as punctual; timers have a resolution of 1 ms. */
const PUNCTUAL_DELAY_MS = 5;

/** Measures how late the timers of a process fire. */
export class EventLoopDelay {
  private lastDelayMs = 0;
  private dueMs = Infinity;
  /** Time at which a stall began from which events may still be waiting to be read. */
  private unreadSinceMs = Infinity;
  private timer: Timer | undefined;
  private readTimer: Timer | undefined;

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a measurement that has not started yet.
   * @param clock - Clock of the process, whose timers fire late while it is busy.
   */
  static create(clock: Clock): EventLoopDelay {
    return new EventLoopDelay(clock);
  }

  /**
   * Measures until `stop` is called.
   * @param onMeasured - Called with each delay of a timer, in milliseconds.
   */
  start(onMeasured: (delayMs: number) => void = () => undefined): void {
    this.dueMs = this.clock.getMonotonicMs() + MEASUREMENT_INTERVAL_MS;
    this.timer = this.clock.setTimer(MEASUREMENT_INTERVAL_MS, () => {
      this.recordTimer();
      this.start(onMeasured);
      onMeasured(this.lastDelayMs);
    });
  }

  stop(): void {
    this.timer?.cancel();
    this.readTimer?.cancel();
    this.dueMs = Infinity;
    this.unreadSinceMs = Infinity;
  }

  /** Gets how late the last timer fired, in milliseconds. */
  getLastDelayMs(): number {
    return this.lastDelayMs;
  }

  /**
   * Gets the time until which everything that had happened has been noticed; now,
   * unless the process is in a stall or has just left one.
   */
  getObservedMs(): number {
    const nowMs = this.clock.getMonotonicMs();
    return Math.min(nowMs, this.dueMs, this.unreadSinceMs);
  }

  /**
   * Gets for how long a response that is noticed now may have been waiting for this
   * process.
   * @param sentMs - Monotonic time at which the request was sent.
   */
  getUnobservedMs(sentMs: number): number {
    const observedMs = Math.max(sentMs, this.getObservedMs());
    return this.clock.getMonotonicMs() - observedMs;
  }

  private recordTimer(): void {
    this.lastDelayMs = this.clock.getMonotonicMs() - this.dueMs;
    if (this.lastDelayMs <= PUNCTUAL_DELAY_MS) return;
    this.unreadSinceMs = Math.min(this.unreadSinceMs, this.dueMs);
    this.readTimer?.cancel();
    // The event loop reads what has arrived before timers fire for the second time.
    this.readTimer = this.clock.setTimer(1, () => {
      this.unreadSinceMs = Infinity;
    });
  }
}
