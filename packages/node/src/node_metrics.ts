/** Prometheus metrics of a node. */

import {EventSink} from '@mustardlug/telemetry/event_recorder';
import {DurationHistogram} from '@mustardlug/telemetry/duration_histogram';
import {ProcessMetrics} from '@mustardlug/telemetry/process_metrics';

/** Value of the `result` label of a call. */
export type CallResult = 'ok' | 'refused' | 'unavailable';

const MS_PER_SECOND = 1_000;

/** Event counters and latency histograms of a node. */
export class NodeMetrics {
  private readonly metrics = ProcessMetrics.create(false);
  private readonly events = this.metrics.addCounter(
    'mustardlug_events_total',
    'Events of the catalogue, by name.',
    ['event'],
  );
  private readonly requests = this.metrics.addLatencyHistogram(
    'mustardlug_request_seconds',
    'Time to answer callers, by method and status.',
    ['method', 'status'],
  );
  private readonly storeCalls = this.metrics.addLatencyHistogram(
    'mustardlug_store_call_seconds',
    'Time of calls to the table service, by kind and result.',
    ['call', 'result'],
  );
  private readonly workerCalls = this.metrics.addLatencyHistogram(
    'mustardlug_worker_call_seconds',
    'Time of orders to workers, by kind and result.',
    ['call', 'result'],
  );

  private readonly refusedClients = this.metrics.addCounter(
    'mustardlug_refused_connections_total',
    'Requests that were refused and connections that were closed as a client exceeded a limit, by port and reason.',
    ['port', 'reason'],
  );

  private constructor() {}

  /** Creates metrics without samples. */
  static create(): NodeMetrics {
    return new NodeMetrics();
  }

  /**
   * Adds a gauge.
   * @param name - Name of the metric.
   * @param help - One-line description of the metric.
   * @param read - Returns the current value.
   */
  addGauge(name: string, help: string, read: () => number): void {
    this.metrics.addGauge(name, help, read);
  }

  /**
   * Adds the histograms of the coordinator's own delay.
   * @param read - Returns the histograms by kind of delay.
   */
  addOwnDelay(read: () => ReadonlyMap<string, DurationHistogram>): void {
    this.metrics.addSampledHistogram(
      'mustardlug_coordinator_delay_seconds',
      'Delay that the coordinator adds in this term, by kind; none without the coordinator role.',
      'kind',
      read,
    );
  }

  /**
   * Creates an event sink that counts events and forwards them.
   * @param next - Sink to forward to.
   */
  createSink(next: EventSink): EventSink {
    return event => {
      this.events.inc({event: event.name});
      next(event);
    };
  }

  /**
   * Records a response to a caller.
   * @param method - HTTP method.
   * @param status - HTTP status code.
   * @param durationMs - Response time.
   */
  recordRequest(method: string, status: number, durationMs: number): void {
    const seconds = durationMs / MS_PER_SECOND;
    this.requests.observe({method, status: String(status)}, seconds);
  }

  /**
   * Records that a client exceeded a limit of a listener.
   * @param port - Value of the `port` label.
   * @param reason - Value of the `reason` label.
   */
  recordRefusedClient(port: string, reason: string): void {
    this.refusedClients.inc({port, reason});
  }

  /**
   * Records a call to the row store.
   * @param call - Value of the `call` label.
   * @param result - Result of the call.
   * @param durationMs - Duration of the call.
   */
  recordStoreCall(call: string, result: CallResult, durationMs: number): void {
    this.storeCalls.observe({call, result}, durationMs / MS_PER_SECOND);
  }

  /**
   * Records a command to a worker.
   * @param call - Value of the `call` label.
   * @param result - Result of the command.
   * @param durationMs - Duration of the command.
   */
  recordWorkerCall(call: string, result: CallResult, durationMs: number): void {
    this.workerCalls.observe({call, result}, durationMs / MS_PER_SECOND);
  }

  /** Gets the metrics in the Prometheus exposition format. */
  getText(): Promise<string> {
    return this.metrics.getText();
  }
}
