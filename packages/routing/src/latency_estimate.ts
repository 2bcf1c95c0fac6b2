/** Exponentially weighted average of a latency. */

/** Average that follows the latest samples. */
export class LatencyEstimate {
  private valueMs: number;
  private sampleCount = 0;

  private constructor(
    initialMs: number,
    private readonly weight: number,
  ) {
    this.valueMs = initialMs;
  }

  /**
   * Creates an estimate.
   * @param initialMs - Value before the first sample.
   * @param weight - Weight of each new sample, from 0 to 1.
   */
  static create(initialMs: number, weight: number): LatencyEstimate {
    return new LatencyEstimate(initialMs, weight);
  }

  /** Gets the average in milliseconds. */
  getMs(): number {
    return this.valueMs;
  }

  /** Gets the number of samples. */
  getSampleCount(): number {
    return this.sampleCount;
  }

  /**
   * Adds a sample.
   * @param sampleMs - Measured latency in milliseconds.
   */
  addSample(sampleMs: number): void {
    const isFirst = this.sampleCount === 0;
    this.sampleCount++;
    if (isFirst) this.valueMs = sampleMs;
    else this.valueMs += this.weight * (sampleMs - this.valueMs);
  }
}
