/** Time sources. Policy code receives a `Clock`, so that tests can run in virtual time. */

export interface Timer {
  /** Cancels the timer. Cancelling twice has no effect. */
  cancel(): void;
}

/** Source of wall time, monotonic time and timers. */
export abstract class Clock {
  /** Gets the wall-clock time in milliseconds since the Unix epoch. */
  abstract getWallMs(): number;

  /** Gets a monotonic time in milliseconds; only differences are meaningful. */
  abstract getMonotonicMs(): number;

  /** Calls a function once after a delay. */
  abstract setTimer(delayMs: number, callback: () => void): Timer;

  /** Resolves after a delay. */
  sleep(delayMs: number): Promise<void> {
    return new Promise(resolve => {
      this.setTimer(delayMs, resolve);
    });
  }
}

/** `Clock` over the time and timers of the running process. */
export class SystemClock extends Clock {
  private constructor() {
    super();
  }

  static create(): SystemClock {
    return new SystemClock();
  }

  override getWallMs(): number {
    return Date.now();
  }

  override getMonotonicMs(): number {
    return performance.now();
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delayMs);
    return {cancel: () => clearTimeout(handle)};
  }
}
