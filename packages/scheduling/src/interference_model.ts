/**
 * Learns how much the tasks of a batch job slow down a service on the same
 * worker.
 *
 * Each pair of service and batch job has an effect per core of the batch task.
 * Effects start at zero, are updated by normalized least mean squares with a
 * prior that keeps estimates from few samples near zero, and decay with each update.
 */

/** Batch attempt that runs on the same worker as a service. */
export interface Neighbor {
  /** Name of the batch job. */
  readonly name: string;
  /** Cores available to the attempt after throttling. */
  readonly cores: number;
}

/** Slowdown measurement with the neighbors that ran when it was taken. */
export interface SlowdownSample {
  readonly serviceName: string;
  /** Latency relative to the latency without interference. */
  readonly slowdown: number;
  readonly neighbors: readonly Neighbor[];
}

const LEARNING_RATE = 0.3;
/** Weight of the zero-effect prior, in squared cores. */
const PRIOR_WEIGHT = 4;
/** Factor applied to an effect each time it is updated. */
const EFFECT_DECAY = 0.999;

/** Learned slowdown of services per core of each batch job. */
export class InterferenceModel {
  private readonly effects = new Map<string, Map<string, number>>();

  private constructor() {}

  static create(): InterferenceModel {
    return new InterferenceModel();
  }

  /**
   * Gets the learned slowdown per core; 0 for unknown pairs.
   * @param serviceName - Service that is slowed down.
   * @param jobName - Batch job that causes the slowdown.
   */
  getEffect(serviceName: string, jobName: string): number {
    return this.effects.get(serviceName)?.get(jobName) ?? 0;
  }

  /**
   * Gets the expected slowdown of a service.
   * @param serviceName - Service that is slowed down.
   * @param neighbors - Batch attempts on the same worker.
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
   * Updates the effects from a measurement.
   * @param sample - Measurement and the neighbors that ran when it was taken.
   */
  addSample(sample: SlowdownSample): void {
    const coresByName = sumCores(sample.neighbors);
    let squaredCores = PRIOR_WEIGHT;
    for (const cores of coresByName.values()) squaredCores += cores * cores;
    const expected = this.getExpectedSlowdown(
      sample.serviceName,
      sample.neighbors,
    );
    const error = sample.slowdown - expected;
    const effects = this.getOrAddEffects(sample.serviceName);
    for (const [name, cores] of coresByName) {
      const effect = effects.get(name) ?? 0;
      const corrected = effect + (LEARNING_RATE * error * cores) / squaredCores;
      effects.set(name, Math.max(0, corrected * EFFECT_DECAY));
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
