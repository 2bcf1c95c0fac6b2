/** Distribution of durations, of which recording one allocates nothing. */

/** Upper bounds of the buckets in milliseconds; a further bucket has all longer durations. */
export const DURATION_BOUNDS_MS: readonly number[] = [
  0.25, 0.5, 1, 1.5, 2, 3, 4, 5, 7, 10, 15, 20, 30, 40, 50, 70, 100, 150, 200,
  300, 400, 500, 700, 1_000, 1_500, 2_000, 3_000, 5_000, 10_000, 30_000,
];

/** Counts of durations, by bucket. */
export class DurationHistogram {
  /** Counts since the creation; the last one is of durations above all bounds. */
  private readonly counts = new Float64Array(DURATION_BOUNDS_MS.length + 1);
  /** Counts at the previous `startInterval`. */
  private readonly earlierCounts = new Float64Array(this.counts.length);
  private count = 0;
  private earlierCount = 0;
  private sumMs = 0;
  private earlierSumMs = 0;

  private constructor() {}

  /** Creates a histogram without durations. */
  static create(): DurationHistogram {
    return new DurationHistogram();
  }

  /**
   * Records a duration.
   * @param durationMs - Duration in milliseconds.
   */
  record(durationMs: number): void {
    let bucket = 0;
    while (
      bucket < DURATION_BOUNDS_MS.length &&
      durationMs > DURATION_BOUNDS_MS[bucket]
    )
      bucket++;
    this.counts[bucket]++;
    this.count++;
    this.sumMs += durationMs;
  }

  /** Gets the number of durations by bucket; the last one is of those above all bounds. */
  getCounts(): Float64Array {
    return this.counts;
  }

  getCount(): number {
    return this.count;
  }

  getSumMs(): number {
    return this.sumMs;
  }

  /** Gets the number of durations in the current interval. */
  getIntervalCount(): number {
    return this.count - this.earlierCount;
  }

  /** Gets the sum of the durations in the current interval. */
  getIntervalSumMs(): number {
    return this.sumMs - this.earlierSumMs;
  }

  /**
   * Gets the duration that a fraction of those in the current interval do not exceed,
   * interpolated within its bucket; the highest bound if it is above all of them.
   * @param fraction - Fraction, above 0 and up to 1.
   */
  getIntervalPercentileMs(fraction: number): number {
    const rank = this.getIntervalCount() * fraction;
    let below = 0;
    let lowerMs = 0;
    for (const [bucket, upperMs] of DURATION_BOUNDS_MS.entries()) {
      const count = this.counts[bucket] - this.earlierCounts[bucket];
      if (count > 0 && below + count >= rank)
        return lowerMs + ((upperMs - lowerMs) * (rank - below)) / count;
      below += count;
      lowerMs = upperMs;
    }
    return lowerMs;
  }

  /** Starts an interval without durations. */
  startInterval(): void {
    this.earlierCounts.set(this.counts);
    this.earlierCount = this.count;
    this.earlierSumMs = this.sumMs;
  }
}
