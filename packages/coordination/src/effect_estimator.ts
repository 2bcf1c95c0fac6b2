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

/** Recursive least squares estimator with one coefficient for each named input. */
export class EffectEstimator {
  private readonly positions = new Map<string, number>();
  private effects: number[] = [];
  private covariance: number[][] = [];

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
    for (const [index, name] of stored.names.entries())
      estimator.positions.set(name, index);
    estimator.effects = [...stored.effects];
    estimator.covariance = stored.covariance.map(row => [...row]);
    return estimator;
  }

  /** Gets the state to store. */
  getStored(): StoredEffects {
    return {
      names: [...this.positions.keys()],
      effects: this.effects.map(roundForStorage),
      covariance: this.covariance.map(row => row.map(roundForStorage)),
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
    return this.covariance[position][position] <= KNOWN_VARIANCE;
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
    // Indexed loops: with many inputs, iterators would cost more than the arithmetic.
    const vector = this.createVector(inputs);
    const size = vector.length;
    const product = new Float64Array(size);
    for (let row = 0; row < size; row++)
      product[row] = getDotProduct(this.covariance[row], vector);
    const gainDivisor = FORGETTING_FACTOR + getDotProduct(vector, product);
    const error = value - getDotProduct(this.effects, vector);
    for (let row = 0; row < size; row++) {
      const gain = product[row] / gainDivisor;
      this.effects[row] += gain * error;
      const cells = this.covariance[row];
      for (let column = 0; column < size; column++)
        cells[column] =
          (cells[column] - gain * product[column]) / FORGETTING_FACTOR;
      // Without this limit, forgetting would make the variance of rare inputs grow without bound.
      cells[row] = Math.min(cells[row], PRIOR_VARIANCE);
    }
  }

  private createVector(inputs: readonly EffectInput[]): Float64Array {
    for (const {name} of inputs) {
      if (!this.positions.has(name)) this.addInput(name);
    }
    const vector = new Float64Array(this.effects.length);
    for (const {name, amount} of inputs)
      vector[this.positions.get(name) ?? 0] += amount;
    return vector;
  }

  private addInput(name: string): void {
    const position = this.effects.length;
    this.positions.set(name, position);
    this.effects.push(0);
    for (const row of this.covariance) row.push(0);
    const row = new Array<number>(position + 1).fill(0);
    row[position] = PRIOR_VARIANCE;
    this.covariance.push(row);
  }
}

function roundForStorage(value: number): number {
  return Number(value.toPrecision(STORED_DIGITS));
}

function getDotProduct(
  left: ArrayLike<number>,
  right: ArrayLike<number>,
): number {
  let sum = 0;
  for (let index = 0; index < left.length; index++)
    sum += left[index] * right[index];
  return sum;
}
