/** Metrics of an entry process. */

import {Counter, Histogram} from 'prom-client';
import {Outcome} from '@mustardlug/protocol/messages';
import {ProcessMetrics} from '@mustardlug/telemetry/process_metrics';

const MS_PER_SECOND = 1_000;

/** Counts and latencies of callers' requests. */
export class EntryMetrics {
  private readonly metrics = ProcessMetrics.create();
  private readonly requests: Counter<'service' | 'outcome'>;
  private readonly latency: Histogram<'service'>;

  private constructor() {
    this.requests = this.metrics.addCounter(
      'mustardlug_requests_total',
      'Requests of callers by outcome.',
      ['service', 'outcome'],
    );
    this.latency = this.metrics.addLatencyHistogram(
      'mustardlug_request_duration_seconds',
      'Time from the arrival of a request to its answer.',
      ['service'],
    );
  }

  /** Creates the metrics. */
  static create(): EntryMetrics {
    return new EntryMetrics();
  }

  /**
   * Counts a request.
   * @param service - Name of the service.
   * @param outcome - Whether it ran.
   * @param durationMs - Time to its answer in milliseconds.
   */
  addRequest(service: string, outcome: Outcome, durationMs: number): void {
    this.requests.inc({service, outcome});
    this.latency.observe({service}, durationMs / MS_PER_SECOND);
  }

  /** Gets the metrics as text. */
  getText(): Promise<string> {
    return this.metrics.getText();
  }
}
