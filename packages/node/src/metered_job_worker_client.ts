/** Job worker client decorator that records latency metrics. */

import {Clock} from '@mustardlug/base/clock';
import {
  JobWorkerClient,
  LeaseRenewal,
  CpuLimitCommand,
  RunCommand,
  StartRunCommand,
  JobWorkerError,
} from '@mustardlug/platform/job_worker_client';
import {Result} from 'neverthrow';
import {getCallResult} from './metered_row_store.js';
import {NodeMetrics} from './node_metrics.js';

/**
 * Job worker client that records the latency of its calls. That of lease renewals
 * includes the time for which the worker waits for a run to end.
 */
export class MeteredJobWorkerClient extends JobWorkerClient {
  private constructor(
    private readonly client: JobWorkerClient,
    private readonly clock: Clock,
    private readonly metrics: NodeMetrics,
  ) {
    super();
  }

  /**
   * Creates a metered client.
   * @param client - Underlying client.
   * @param clock - Clock for measuring latencies.
   * @param metrics - Metrics to record to.
   */
  static create(
    client: JobWorkerClient,
    clock: Clock,
    metrics: NodeMetrics,
  ): MeteredJobWorkerClient {
    return new MeteredJobWorkerClient(client, clock, metrics);
  }

  override renewLease(request: LeaseRenewal) {
    return this.measure('renew', this.client.renewLease(request));
  }

  override startRun(command: StartRunCommand) {
    return this.measure('start', this.client.startRun(command));
  }

  override stopRun(command: RunCommand) {
    return this.measure('stop', this.client.stopRun(command));
  }

  override setRunCpuLimit(command: CpuLimitCommand) {
    return this.measure('pace', this.client.setRunCpuLimit(command));
  }

  private async measure<T>(
    call: string,
    pending: Promise<Result<T, JobWorkerError>>,
  ): Promise<Result<T, JobWorkerError>> {
    const startMs = this.clock.getMonotonicMs();
    const outcome = await pending;
    const durationMs = this.clock.getMonotonicMs() - startMs;
    this.metrics.recordWorkerCall(call, getCallResult(outcome), durationMs);
    return outcome;
  }
}
