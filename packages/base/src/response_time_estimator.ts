/** Derives time limits for calls from observed response times. */

/** Weight of a new response time in the mean; RFC 6298 uses 1/8 for a single connection. */
const MEAN_WEIGHT = 1 / 32;

/** Weight of a new response time in the mean deviation. */
const DEVIATION_WEIGHT = 1 / 16;

/** Number of mean deviations that a time limit lies above the mean, as in RFC 6298. */
const DEVIATION_FACTOR = 4;

/** Maximum time by which observed response times extend a time limit. */
const MAX_EXTENSION_MS = 1_700;

/**
 * Estimates response times over all calls of a client, so that calls are not
 * given up while all of them are slow, such as on a congested link.
 */
export class ResponseTimeEstimator {
  private meanMs = 0;
  private deviationMs = 0;

  private constructor() {}

  static create(): ResponseTimeEstimator {
    return new ResponseTimeEstimator();
  }

  /**
   * Records a response. A call without one tells nothing about the others.
   * @param durationMs - Time until the response.
   */
  record(durationMs: number): void {
    const deviationMs = Math.abs(durationMs - this.meanMs);
    this.deviationMs += (deviationMs - this.deviationMs) * DEVIATION_WEIGHT;
    this.meanMs += (durationMs - this.meanMs) * MEAN_WEIGHT;
  }

  /**
   * Gets the time limit of the next call.
   * @param minimumMs - Time limit while responses are fast.
   */
  getLimitMs(minimumMs: number): number {
    const expectedMs = this.meanMs + this.deviationMs * DEVIATION_FACTOR;
    return Math.min(
      Math.max(minimumMs, expectedMs),
      minimumMs + MAX_EXTENSION_MS,
    );
  }
}
