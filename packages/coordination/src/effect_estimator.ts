/** Recursive least squares: learns a linear relation from a stream of samples. */

/** One input of a sample. */
export interface EffectInput {
  readonly name: string;
  readonly amount: number;
}

/** Stored state of an estimator. */
export interface StoredEffects {
  /** Names of the inputs, in the order of their effects; the offset has none. */
  readonly names: readonly string[];
  /** The offset, then the effect of each input. */
  readonly effects: readonly number[];
  readonly covariance: readonly (readonly number[])[];
}

/** Significant digits of stored numbers. */
const STORED_DIGITS = 5;

/** Weight that past samples keep at each new one; the memory spans some thousand samples. */
const FORGETTING = 0.9995;

/** Variance of the prior belief in no effect, relative to that of the noise. */
const PRIOR_VARIANCE = 100;

/** Variance of the prior belief in the initial offset. */
const OFFSET_PRIOR_VARIANCE = 0.1;

/** Largest variance that forgetting may restore; keeps rare inputs from running away. */
const MAX_VARIANCE = 100;

/** Sum of the amounts in all samples from which an input counts as known. */
const KNOWN_EXPOSURE = 1.5;

/** Position of the offset among the inputs. */
const OFFSET_INPUT = 0;

/** Estimates an offset and the effect of each named input. */
export class EffectEstimator {
  private readonly positions = new Map<string, number>();
  private readonly exposures = new Map<string, number>();
  private effects: number[];
  private covariance: number[][] = [[OFFSET_PRIOR_VARIANCE]];

  private constructor(initialOffset: number) {
    this.effects = [initialOffset];
  }

  /**
   * Creates an estimator that expects no effects.
   * @param initialOffset - Value expected without inputs.
   */
  static create(initialOffset: number): EffectEstimator {
    return new EffectEstimator(initialOffset);
  }

  /**
   * Creates an estimator that knows what another one learned.
   * @param stored - State of the other one.
   */
  static restore(stored: StoredEffects): EffectEstimator {
    const estimator = new EffectEstimator(0);
    for (const [index, name] of stored.names.entries()) {
      estimator.positions.set(name, index + 1);
      estimator.exposures.set(name, KNOWN_EXPOSURE);
    }
    estimator.effects = [...stored.effects];
    estimator.covariance = stored.covariance.map(row => [...row]);
    return estimator;
  }

  /** Gets the state for a successor. */
  getStored(): StoredEffects {
    return {
      names: [...this.positions.keys()],
      effects: this.effects.map(roundForStorage),
      covariance: this.covariance.map(row => row.map(roundForStorage)),
    };
  }

  /** Gets the value expected without inputs. */
  getOffset(): number {
    return this.effects[OFFSET_INPUT];
  }

  /**
   * Gets the effect of one unit of an input; never below zero.
   * @param name - Name of the input.
   */
  getEffect(name: string): number {
    const position = this.positions.get(name);
    return position === undefined ? 0 : Math.max(0, this.effects[position]);
  }

  /**
   * Checks whether an input was seen often enough to judge it.
   * @param name - Name of the input.
   */
  isKnown(name: string): boolean {
    return (this.exposures.get(name) ?? 0) >= KNOWN_EXPOSURE;
  }

  /**
   * Gets the expected value.
   * @param inputs - Amounts of the inputs.
   */
  getExpected(inputs: readonly EffectInput[]): number {
    let expected = this.getOffset();
    for (const {name, amount} of inputs)
      expected += this.getEffect(name) * amount;
    return expected;
  }

  /**
   * Learns from a sample.
   * @param inputs - Amounts of the inputs; names may repeat.
   * @param value - Observed value.
   */
  addSample(inputs: readonly EffectInput[], value: number): void {
    for (const {name, amount} of inputs) {
      const exposure = this.exposures.get(name) ?? 0;
      this.exposures.set(name, exposure + amount);
    }
    const vector = this.createVector(inputs);
    const product = this.covariance.map(row => getDotProduct(row, vector));
    const gainDivisor = FORGETTING + getDotProduct(vector, product);
    const error = value - getDotProduct(this.effects, vector);
    for (const [row, rowProduct] of product.entries()) {
      const gain = rowProduct / gainDivisor;
      this.effects[row] += gain * error;
      const cells = this.covariance[row];
      for (const [column, columnProduct] of product.entries()) {
        cells[column] = (cells[column] - gain * columnProduct) / FORGETTING;
      }
      cells[row] = Math.min(cells[row], MAX_VARIANCE);
    }
  }

  private createVector(inputs: readonly EffectInput[]): number[] {
    for (const {name} of inputs) {
      if (!this.positions.has(name)) this.addInput(name);
    }
    const vector = this.effects.map(() => 0);
    vector[OFFSET_INPUT] = 1;
    for (const {name, amount} of inputs)
      vector[this.positions.get(name) ?? OFFSET_INPUT] += amount;
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
  left: readonly number[],
  right: readonly number[],
): number {
  let sum = 0;
  for (const [index, value] of left.entries()) sum += value * right[index];
  return sum;
}
