/** Seeded pseudo-random number generator. */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Deterministic source of random numbers that policy code receives as an argument. */
export class RandomSource {
  private constructor(
    private readonly generator: ReturnType<typeof xoroshiro128plus>,
  ) {}

  /**
   * Creates a source.
   * @param seed - Seed; equal seeds produce equal sequences.
   */
  static create(seed: number): RandomSource {
    return new RandomSource(xoroshiro128plus(seed));
  }

  /** Gets a uniformly distributed number in [0, 1). */
  getFloat(): number {
    return uniformFloat64(this.generator);
  }

  /**
   * Gets a uniformly distributed integer in [0, bound).
   * @param bound - Exclusive upper bound; at least 1.
   */
  getIndex(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }

  /** Gets an exponentially distributed number with the given mean. */
  getExponential(mean: number): number {
    return -mean * Math.log(1 - this.getFloat());
  }
}
