/** Counters and latencies of one node. */

import {EventSink} from '@mustardlug/telemetry/event_recorder';
import {ProcessMetrics} from '@mustardlug/telemetry/process_metrics';

/** Result of a call, as the metrics tell it. */
export type CallResult = 'ok' | 'refused' | 'unavailable';

const MS_PER_SECOND = 1_000;

/** Metrics of one node, in the Prometheus exposition format. */
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

  private constructor() {}

  /** Creates metrics that have counted nothing. */
  static create(): NodeMetrics {
    return new NodeMetrics();
  }

  /**
   * Adds a gauge.
   * @param name - Name of the metric.
   * @param help - One-line description.
   * @param read - Gets the current value.
   */
  addGauge(name: string, help: string, read: () => number): void {
    this.metrics.addGauge(name, help, read);
  }

  /**
   * Creates an event sink that counts, and passes events on.
   * @param next - Receiver of the events.
   */
  createSink(next: EventSink): EventSink {
    return event => {
      this.events.inc({event: event.name});
      next(event);
    };
  }

  /**
   * Notes an answer to a caller.
   * @param method - HTTP method.
   * @param status - HTTP status.
   * @param durationMs - Time from the request to the answer.
   */
  noteRequest(method: string, status: number, durationMs: number): void {
    const seconds = durationMs / MS_PER_SECOND;
    this.requests.observe({method, status: String(status)}, seconds);
  }

  /**
   * Notes a call to the table service.
   * @param call - Kind of the call.
   * @param result - How it ended.
   * @param durationMs - Time until the answer.
   */
  noteStoreCall(call: string, result: CallResult, durationMs: number): void {
    this.storeCalls.observe({call, result}, durationMs / MS_PER_SECOND);
  }

  /**
   * Notes an order to a worker.
   * @param call - Kind of the order.
   * @param result - How it ended.
   * @param durationMs - Time until the answer.
   */
  noteWorkerCall(call: string, result: CallResult, durationMs: number): void {
    this.workerCalls.observe({call, result}, durationMs / MS_PER_SECOND);
  }

  /** Gets the metrics as text. */
  getText(): Promise<string> {
    return this.metrics.getText();
  }
}
