/**
 * Exponentially weighted moving average of a latency. The first sample replaces
 * the initial value.
 */
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
   * @param initialMs - Value before the first sample.
   * @param weight - Weight of each new sample, from 0 to 1.
   */
  static create(initialMs: number, weight: number): LatencyEstimate {
    return new LatencyEstimate(initialMs, weight);
  }

  getMs(): number {
    return this.valueMs;
  }

  getSampleCount(): number {
    return this.sampleCount;
  }

  /** @param sampleMs - Measured latency in milliseconds. */
  addSample(sampleMs: number): void {
    const isFirst = this.sampleCount === 0;
    this.sampleCount++;
    if (isFirst) this.valueMs = sampleMs;
    else this.valueMs += this.weight * (sampleMs - this.valueMs);
  }
}
