/**
 * Learns how much a kind of batch task slows a service on the same worker.
 *
 * Each pair has an effect for each core of the batch task. Effects start at
 * none, are corrected by the error of each measurement (normalized least mean
 * squares, whose prior keeps thin data close to none), and decay.
 */

/** Batch work of one kind beside a service. */
export interface Neighbor {
  readonly name: string;
  /** Cores that the neighbor may use, after throttling. */
  readonly cores: number;
}

/** A measurement matched to what ran when it was taken. */
export interface SlowdownSample {
  readonly serviceName: string;
  /** Latency over the undisturbed one. */
  readonly slowdown: number;
  readonly neighbors: readonly Neighbor[];
}

const LEARNING_RATE = 0.3;
/** Weight of the assumption of no effect, in squared cores. */
const PRIOR_WEIGHT = 4;
const DECAY = 0.999;

/** Effects of batch jobs on services. */
export class InterferenceModel {
  private readonly effects = new Map<string, Map<string, number>>();

  private constructor() {}

  /** Creates a model that knows no interference. */
  static create(): InterferenceModel {
    return new InterferenceModel();
  }

  /**
   * Gets the learned slowdown for each core.
   * @param serviceName - Service that is disturbed.
   * @param batchName - Batch job that disturbs.
   */
  getEffect(serviceName: string, batchName: string): number {
    return this.effects.get(serviceName)?.get(batchName) ?? 0;
  }

  /**
   * Gets the expected slowdown of a service.
   * @param serviceName - Service that is disturbed.
   * @param neighbors - Batch work beside it.
   */
  getExpectedSlowdown(
    serviceName: string,
    neighbors: readonly Neighbor[],
  ): number {
    let slowdown = 1;
    for (const {name, cores} of neighbors) {
      slowdown += this.getEffect(serviceName, name) * cores;
    }
    return slowdown;
  }

  /**
   * Learns from a measurement.
   * @param sample - Measurement and the neighbors at its time.
   */
  addSample(sample: SlowdownSample): void {
    const coresByName = sumCores(sample.neighbors);
    let squares = PRIOR_WEIGHT;
    for (const cores of coresByName.values()) squares += cores * cores;
    const expected = this.getExpectedSlowdown(
      sample.serviceName,
      sample.neighbors,
    );
    const error = sample.slowdown - expected;
    const effects = this.getOrAddEffects(sample.serviceName);
    for (const [name, cores] of coresByName) {
      const known = effects.get(name) ?? 0;
      const corrected = known + (LEARNING_RATE * error * cores) / squares;
      effects.set(name, Math.max(0, corrected * DECAY));
    }
  }

  private getOrAddEffects(serviceName: string): Map<string, number> {
    let effects = this.effects.get(serviceName);
    if (effects === undefined) {
      effects = new Map();
      this.effects.set(serviceName, effects);
    }
    return effects;
  }
}

function sumCores(neighbors: readonly Neighbor[]): Map<string, number> {
  const sums = new Map<string, number>();
  for (const {name, cores} of neighbors) {
    sums.set(name, (sums.get(name) ?? 0) + cores);
  }
  return sums;
}
