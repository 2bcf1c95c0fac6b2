/** Estimates the effects of inputs from a stream of samples by recursive least squares. */

/** One input of a sample. */
export interface EffectInput {
  readonly name: string;
  readonly amount: number;
}

/** Stored state of an estimator. */
export interface StoredEffects {
  /** Names of the inputs, in the order of their effects. */
  readonly names: readonly string[];
  readonly effects: readonly number[];
  /** Covariance matrix of the effects, in units of the noise variance. */
  readonly covariance: ReadonlyArray<readonly number[]>;
}

/** Significant digits to which stored numbers are rounded. */
const STORED_DIGITS = 5;

/**
 * Forgetting factor: the weight of past samples is multiplied by it at each new
 * sample. The memory spans some thousand samples.
 */
const FORGETTING_FACTOR = 0.9995;

/**
 * Standard deviation of the noise of a sample. The noise comes from the inaccuracy
 * of the measurements and from drift between two reports.
 */
const NOISE_DEVIATION = 0.08;

/** Standard deviation of the prior distribution of an effect. */
const PRIOR_DEVIATION = 1;

/** Standard deviation up to which an effect counts as known. */
const KNOWN_DEVIATION = 0.5;

const PRIOR_VARIANCE = (PRIOR_DEVIATION / NOISE_DEVIATION) ** 2;
const KNOWN_VARIANCE = (KNOWN_DEVIATION / NOISE_DEVIATION) ** 2;

/** Number of inputs for which there is room at first. */
const INITIAL_CAPACITY = 8;

/** Recursive least squares estimator with one coefficient for each named input. */
export class EffectEstimator {
  private readonly positions = new Map<string, number>();
  private effects: number[] = [];
  /** Rows of `capacity` cells. The matrix is symmetric. */
  private covariance = new Float64Array(INITIAL_CAPACITY ** 2);
  private capacity = INITIAL_CAPACITY;
  /** Amounts of the sample by input, and their product with the covariance. */
  private vector = new Float64Array(INITIAL_CAPACITY);
  private product = new Float64Array(INITIAL_CAPACITY);

  private constructor() {}

  /** Creates an estimator without inputs; the prior mean of every effect is zero. */
  static create(): EffectEstimator {
    return new EffectEstimator();
  }

  /**
   * Creates an estimator from a stored state.
   * @param stored - State of an earlier estimator.
   */
  static restore(stored: StoredEffects): EffectEstimator {
    const estimator = new EffectEstimator();
    const {names, effects, covariance} = stored;
    for (const name of names) estimator.addInput(name);
    estimator.effects = [...effects];
    for (const [row, cells] of covariance.entries())
      estimator.covariance.set(cells, row * estimator.capacity);
    return estimator;
  }

  /** Gets the state to store. */
  getStored(): StoredEffects {
    return {
      names: [...this.positions.keys()],
      effects: this.effects.map(roundForStorage),
      covariance: this.effects.map((_effect, row) =>
        Array.from(this.getRow(row), roundForStorage),
      ),
    };
  }

  /**
   * Gets the effect of one unit of an input. Negative estimates are returned as zero.
   * @param name - Name of the input.
   */
  getEffect(name: string): number {
    const position = this.positions.get(name);
    return position === undefined ? 0 : Math.max(0, this.effects[position]);
  }

  /**
   * Checks whether the effect of an input is known precisely enough for predictions.
   * @param name - Name of the input.
   */
  isKnown(name: string): boolean {
    const position = this.positions.get(name);
    if (position === undefined) return false;
    return this.covariance[position * (this.capacity + 1)] <= KNOWN_VARIANCE;
  }

  /**
   * Gets the expected combined effect of several inputs.
   * @param inputs - Amounts of the inputs.
   */
  getCombinedEffect(inputs: readonly EffectInput[]): number {
    let expected = 0;
    for (const {name, amount} of inputs)
      expected += this.getEffect(name) * amount;
    return expected;
  }

  /**
   * Updates the estimates from a sample.
   * @param inputs - Amounts of the inputs, or their changes; names may repeat.
   * @param value - Observed value, or its change.
   */
  addSample(inputs: readonly EffectInput[], value: number): void {
    for (const {name} of inputs) {
      if (!this.positions.has(name)) this.addInput(name);
    }
    const {effects, vector, product} = this;
    vector.fill(0);
    product.fill(0);
    for (const {name, amount} of inputs)
      vector[this.positions.get(name) ?? 0] += amount;
    let error = value;
    let gainDivisor = FORGETTING_FACTOR;
    // Most samples have few of the inputs.
    for (let row = 0; row < effects.length; row++) {
      if (vector[row] === 0) continue;
      this.addRowTo(product, row, vector[row]);
      error -= effects[row] * vector[row];
    }
    for (let row = 0; row < effects.length; row++)
      gainDivisor += vector[row] * product[row];
    for (let row = 0; row < effects.length; row++)
      effects[row] += (product[row] / gainDivisor) * error;
    this.updateCovariance(gainDivisor);
  }

  private updateCovariance(gainDivisor: number): void {
    // Indexed loops over local variables: this takes most of the time of a report.
    const {covariance, capacity, product} = this;
    const size = this.effects.length;
    const memory = 1 / FORGETTING_FACTOR;
    for (let row = 0; row < size; row++) {
      const gain = product[row] / gainDivisor;
      const start = row * capacity;
      for (let column = row; column < size; column++) {
        const cell =
          (covariance[start + column] - gain * product[column]) * memory;
        covariance[start + column] = cell;
        covariance[column * capacity + row] = cell;
      }
    }
    for (let row = 0; row < size; row++) this.limitVariance(row);
  }

  /**
   * Limits the variance of an input, which forgetting would make grow without bound while
   * it is rare. The covariances shrink with it: otherwise the matrix would not remain
   * positive semidefinite for inputs that change together, and the estimates would diverge.
   */
  private limitVariance(position: number): void {
    const {covariance, capacity} = this;
    const variance = covariance[position * (capacity + 1)];
    if (variance <= PRIOR_VARIANCE) return;
    const factor = Math.sqrt(PRIOR_VARIANCE / variance);
    for (let other = 0; other < this.effects.length; other++) {
      covariance[position * capacity + other] *= factor;
      covariance[other * capacity + position] *= factor;
    }
  }

  /** Adds a multiple of a row of the covariance to a vector. */
  private addRowTo(sum: Float64Array, row: number, factor: number): void {
    const {covariance, capacity} = this;
    const size = this.effects.length;
    const start = row * capacity;
    for (let column = 0; column < size; column++)
      sum[column] += factor * covariance[start + column];
  }

  private getRow(row: number): Float64Array {
    const start = row * this.capacity;
    return this.covariance.subarray(start, start + this.effects.length);
  }

  private addInput(name: string): void {
    const position = this.effects.length;
    if (position === this.capacity) this.doubleCapacity();
    this.positions.set(name, position);
    this.effects.push(0);
    this.covariance[position * (this.capacity + 1)] = PRIOR_VARIANCE;
  }

  private doubleCapacity(): void {
    const rows = this.effects.map((_effect, row) => this.getRow(row));
    this.capacity *= 2;
    this.vector = new Float64Array(this.capacity);
    this.product = new Float64Array(this.capacity);
    this.covariance = new Float64Array(this.capacity ** 2);
    for (const [index, row] of rows.entries())
      this.covariance.set(row, index * this.capacity);
  }
}

function roundForStorage(value: number): number {
  return Number(value.toPrecision(STORED_DIGITS));
}
