/** Learns the load index of serving tasks of one image without interference from fillers. */

/** Stored state of the mean load index. */
export interface StoredBaselineLoad {
  readonly mean: number;
}

/** Load index that is assumed before the first sample. */
const INITIAL_MEAN = 0.42;

/** Weight of a new sample in the moving average; the memory spans some hundred samples. */
const SAMPLE_WEIGHT = 0.005;

/** Exponentially weighted moving average of the load index. */
export class BaselineLoad {
  private constructor(private mean: number) {}

  /** Creates an average without samples. */
  static create(): BaselineLoad {
    return new BaselineLoad(INITIAL_MEAN);
  }

  /**
   * Creates an average from a stored state.
   * @param stored - State of an earlier average.
   */
  static restore({mean}: StoredBaselineLoad): BaselineLoad {
    return new BaselineLoad(mean);
  }

  /** Gets the state to store. */
  getStored(): StoredBaselineLoad {
    return {mean: this.mean};
  }

  /**
   * Adds a sample.
   * @param loadIndex - Measured load index minus the estimated effect of fillers.
   */
  addSample(loadIndex: number): void {
    this.mean += SAMPLE_WEIGHT * (loadIndex - this.mean);
  }

  /** Gets the mean load index. */
  getMean(): number {
    return this.mean;
  }
}
