/** Metrics of an entry process. */

import {Counter, Histogram} from 'prom-client';
import {Outcome} from '@mustardlug/protocol/messages';
import {ProcessMetrics} from '@mustardlug/telemetry/process_metrics';

const MS_PER_SECOND = 1_000;

/** Sources of the values that are read on each scrape. */
export interface EntryMetricsSources {
  readonly getEvacuatedDomainCount: () => number;
}

/** Request counts and latencies by service. */
export class EntryMetrics {
  private readonly metrics = ProcessMetrics.create();
  private readonly requests: Counter<'service' | 'outcome'>;
  private readonly requestDuration: Histogram<'service'>;

  private readonly withheldRequests: Counter;
  private readonly refusedClients = this.metrics.addCounter(
    'mustardlug_refused_connections_total',
    'Requests that were refused and connections that were closed as a client exceeded a limit, by port and reason.',
    ['port', 'reason'],
  );

  private constructor(sources: EntryMetricsSources) {
    this.requests = this.metrics.addCounter(
      'mustardlug_requests_total',
      'Requests of callers by outcome.',
      ['service', 'outcome'],
    );
    this.requestDuration = this.metrics.addLatencyHistogram(
      'mustardlug_request_duration_seconds',
      'Time from the arrival of a request to its answer.',
      ['service'],
    );
    this.withheldRequests = this.metrics.addCounter(
      'mustardlug_withheld_requests_total',
      'Requests that were not sent to an upstream because its failure domain is evacuated; their senders try other holders.',
    );
    this.metrics.addGauge(
      'mustardlug_evacuated_domains',
      'Evacuated failure domains, as last read.',
      sources.getEvacuatedDomainCount,
    );
  }

  /**
   * Creates the metrics of a process.
   * @param sources - Sources of the gauges.
   */
  static create(sources: EntryMetricsSources): EntryMetrics {
    return new EntryMetrics(sources);
  }

  /** Records a request that was refused while the dispatch is suspended. */
  recordWithheldRequest(): void {
    this.withheldRequests.inc();
  }

  /**
   * Records a completed request.
   * @param service - Name of the service.
   * @param outcome - Whether the request ran.
   * @param durationMs - Time from arrival to response in milliseconds.
   */
  recordRequest(service: string, outcome: Outcome, durationMs: number): void {
    this.requests.inc({service, outcome});
    this.requestDuration.observe({service}, durationMs / MS_PER_SECOND);
  }

  /**
   * Records that a client exceeded a limit.
   * @param port - Value of the `port` label.
   * @param reason - Value of the `reason` label.
   */
  recordRefusedClient(port: string, reason: string): void {
    this.refusedClients.inc({port, reason});
  }

  /** Gets the metrics in the Prometheus text format. */
  getText(): Promise<string> {
    return this.metrics.getText();
  }
}
