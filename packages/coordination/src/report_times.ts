/** Tells when a worker wrote its reports, however late this process read them. */

/** A report: the worker's clock, and when this process sent the call and read the response. */
export interface TimedReport {
  /** Time on the clock of the worker process. */
  readonly clockMs: number;
  /** Monotonic time at which the call was sent. */
  readonly sentMs: number;
  /** Monotonic time at which the response was read. */
  readonly receivedMs: number;
}

/** Maximum rate at which a worker clock falls behind. The platform's contract permits 2 %. */
const MAX_CLOCK_DRIFT = 0.03;

/**
 * Compares the clock of a worker process with that of this process. The report that was
 * read soonest after the worker wrote it tells the difference; later reads of other
 * reports do not count.
 */
export class ReportTimes {
  /** Upper bound of the difference between the clocks, as of the last report. */
  private maxOffsetMs = Infinity;
  private lastReceivedMs = -Infinity;

  private constructor() {}

  static create(): ReportTimes {
    return new ReportTimes();
  }

  /** Forgets the reports, as those of another process have another clock. */
  reset(): void {
    this.maxOffsetMs = Infinity;
  }

  /**
   * Adds a report.
   * @param report - Report that was received last.
   * @returns The monotonic time at which the worker had written it.
   */
  addReport({clockMs, sentMs, receivedMs}: TimedReport): number {
    const elapsedMs = receivedMs - this.lastReceivedMs;
    this.lastReceivedMs = receivedMs;
    if (Number.isFinite(this.maxOffsetMs))
      this.maxOffsetMs += elapsedMs * MAX_CLOCK_DRIFT;
    this.maxOffsetMs = Math.min(this.maxOffsetMs, receivedMs - clockMs);
    // The clock of the worker may have been set back.
    return Math.max(sentMs, clockMs + this.maxOffsetMs);
  }
}
