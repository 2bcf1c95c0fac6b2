/** Seeded random numbers. */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers that policy code receives as an argument. */
export class RandomSource {
  private constructor(
    private readonly generator: ReturnType<typeof xoroshiro128plus>,
  ) {}

  /**
   * Creates a source; equal seeds give equal sequences.
   * @param seed - Seed of the sequence.
   */
  static create(seed: number): RandomSource {
    return new RandomSource(xoroshiro128plus(seed));
  }

  /** Gets a number that is at least 0 and below 1. */
  getFloat(): number {
    return uniformFloat64(this.generator);
  }

  /**
   * Gets a whole number that is at least 0 and below a bound.
   * @param bound - Exclusive upper bound; at least 1.
   */
  getIndex(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }

  /**
   * Gets an exponentially distributed number.
   * @param mean - Mean of the distribution.
   */
  getExponential(mean: number): number {
    return -mean * Math.log(1 - this.getFloat());
  }
}
