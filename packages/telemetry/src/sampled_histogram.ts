/** Prometheus histogram whose counts are read on each scrape. */

import {Histogram} from 'prom-client';
import {DURATION_BOUNDS_MS, DurationHistogram} from './duration_histogram.js';

const MS_PER_SECOND = 1_000;

export interface SampledHistogramOptions {
  readonly name: string;
  readonly help: string;
  /** Label that distinguishes the histograms. */
  readonly labelName: string;
  /** Gets the histograms by value of the label. */
  readonly read: () => ReadonlyMap<string, DurationHistogram>;
}

type HistogramSnapshot = Awaited<ReturnType<Histogram['get']>>;

/** Histograms in seconds, of which the process records durations without `observe`. */
export class SampledHistogram extends Histogram {
  private constructor(private readonly options: SampledHistogramOptions) {
    const {name, help, labelName} = options;
    super({name, help, labelNames: [labelName], registers: []});
  }

  /**
   * Creates a histogram that is not registered yet.
   * @param options - Name and source of the histograms.
   */
  static create(options: SampledHistogramOptions): SampledHistogram {
    return new SampledHistogram(options);
  }

  override get(): Promise<HistogramSnapshot> {
    return this.getForPromString();
  }

  /** Gets the values for the text format, for which the registry does not call `get`. */
  getForPromString(): Promise<HistogramSnapshot> {
    const {name, help, read} = this.options;
    const values: HistogramSnapshot['values'] = [];
    for (const [label, histogram] of read())
      values.push(...this.createValues(label, histogram));
    const snapshot = {name, help, type: 'histogram', aggregator: 'sum', values};
    // The declared type of a metric is an enumeration that the library does not export.
    return Promise.resolve(snapshot as unknown as HistogramSnapshot);
  }

  private createValues(label: string, histogram: DurationHistogram) {
    const {name, labelName} = this.options;
    const labels = {[labelName]: label};
    const metricName = `${name}_bucket`;
    let count = 0;
    const values = DURATION_BOUNDS_MS.map((boundMs, bucket) => {
      count += histogram.getCounts()[bucket];
      const bucketLabels = {...labels, le: boundMs / MS_PER_SECOND};
      return {metricName, labels: bucketLabels, value: count};
    });
    const total = histogram.getCount();
    const sumSeconds = histogram.getSumMs() / MS_PER_SECOND;
    return [
      ...values,
      {metricName, labels: {...labels, le: '+Inf'}, value: total},
      {metricName: `${name}_sum`, labels, value: sumSeconds},
      {metricName: `${name}_count`, labels, value: total},
    ];
  }
}
