/** Process metrics in the Prometheus exposition format. */

import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';
import {SampledHistogram} from './sampled_histogram.js';
import {DurationHistogram} from './duration_histogram.js';

const LATENCY_BUCKETS_SECONDS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
];

/** Registry of the metrics of one process. */
export class ProcessMetrics {
  private readonly registry = new Registry();

  private constructor() {}

  /**
   * Creates a registry.
   * @param includeDefaults - Whether to collect the default CPU, memory and event-loop metrics.
   */
  static create(includeDefaults = true): ProcessMetrics {
    const metrics = new ProcessMetrics();
    if (includeDefaults) collectDefaultMetrics({register: metrics.registry});
    return metrics;
  }

  /**
   * Adds a counter.
   * @param name - Metric name that ends in `_total`.
   * @param help - One-line description.
   */
  addCounter<T extends string>(
    name: string,
    help: string,
    labelNames: readonly T[] = [],
  ): Counter<T> {
    return new Counter({name, help, labelNames, registers: [this.registry]});
  }

  /**
   * Adds a gauge whose value is read on each scrape.
   * @param name - Metric name.
   * @param help - One-line description.
   * @param read - Returns the current value.
   */
  addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }

  /**
   * Adds a latency histogram in seconds.
   * @param name - Metric name that ends in `_seconds`.
   * @param help - One-line description.
   */
  addLatencyHistogram<T extends string>(
    name: string,
    help: string,
    labelNames: readonly T[] = [],
  ): Histogram<T> {
    return new Histogram({
      name,
      help,
      labelNames,
      buckets: LATENCY_BUCKETS_SECONDS,
      registers: [this.registry],
    });
  }

  /**
   * Adds histograms in seconds that are read on each scrape.
   * @param name - Metric name that ends in `_seconds`.
   * @param help - One-line description.
   * @param labelName - Label that distinguishes the histograms.
   * @param read - Returns the histograms by value of the label.
   */
  addSampledHistogram(
    name: string,
    help: string,
    labelName: string,
    read: () => ReadonlyMap<string, DurationHistogram>,
  ): void {
    const options = {name, help, labelName, read};
    this.registry.registerMetric(SampledHistogram.create(options));
  }

  /** Renders all metrics in the Prometheus text format. */
  getText(): Promise<string> {
    return this.registry.metrics();
  }
}
