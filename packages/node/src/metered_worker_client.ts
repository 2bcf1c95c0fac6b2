/** Measures the orders to workers. */

import {Clock} from '@mustardlug/base/clock';
import {
  JobWorkerClient,
  LeaseRequest,
  PaceOrder,
  RunOrder,
  StartOrder,
  WorkerError,
} from '@mustardlug/platform/job_worker';
import {Result} from 'neverthrow';
import {getCallResult} from './metered_row_store.js';
import {NodeMetrics} from './node_metrics.js';

/** A client of workers whose orders are measured. Reports are not: they last as asked. */
export class MeteredWorkerClient extends JobWorkerClient {
  private constructor(
    private readonly client: JobWorkerClient,
    private readonly clock: Clock,
    private readonly metrics: NodeMetrics,
  ) {
    super();
  }

  /**
   * Creates a measured client.
   * @param client - Client to call.
   * @param clock - Clock of the measurements.
   * @param metrics - Receiver of the measurements.
   */
  static create(
    client: JobWorkerClient,
    clock: Clock,
    metrics: NodeMetrics,
  ): MeteredWorkerClient {
    return new MeteredWorkerClient(client, clock, metrics);
  }

  override renewLease(request: LeaseRequest) {
    return this.client.renewLease(request);
  }

  override startRun(order: StartOrder) {
    return this.measure('start', this.client.startRun(order));
  }

  override stopRun(order: RunOrder) {
    return this.measure('stop', this.client.stopRun(order));
  }

  override paceRun(order: PaceOrder) {
    return this.measure('pace', this.client.paceRun(order));
  }

  private async measure(
    call: string,
    pending: Promise<Result<void, WorkerError>>,
  ): Promise<Result<void, WorkerError>> {
    const startMs = this.clock.getMonotonicMs();
    const outcome = await pending;
    const durationMs = this.clock.getMonotonicMs() - startMs;
    this.metrics.noteWorkerCall(call, getCallResult(outcome), durationMs);
    return outcome;
  }
}
