/** Row store decorator that records latency metrics. */

import {Clock} from '@mustardlug/base/clock';
import {
  ChangeRequest,
  RowRange,
  RowStore,
  RowTransaction,
} from '@mustardlug/platform/row_store';
import {Result} from 'neverthrow';
import {CallResult, NodeMetrics} from './node_metrics.js';

/** Row store that records the latency of its calls, except of change feeds, which are long polls. */
export class MeteredRowStore extends RowStore {
  private constructor(
    private readonly store: RowStore,
    private readonly clock: Clock,
    private readonly metrics: NodeMetrics,
  ) {
    super();
  }

  /**
   * Creates a metered row store.
   * @param store - Underlying row store.
   * @param clock - Clock for measuring latencies.
   * @param metrics - Metrics to record to.
   */
  static create(
    store: RowStore,
    clock: Clock,
    metrics: NodeMetrics,
  ): MeteredRowStore {
    return new MeteredRowStore(store, clock, metrics);
  }

  override getMaxRowBytes(): number {
    return this.store.getMaxRowBytes();
  }

  override commit(transaction: RowTransaction) {
    return this.measure('commit', this.store.commit(transaction));
  }

  override getRows(range: RowRange) {
    return this.measure('rows', this.store.getRows(range));
  }

  override getParts(table: string) {
    return this.measure('parts', this.store.getParts(table));
  }

  override getChanges(request: ChangeRequest) {
    return this.store.getChanges(request);
  }

  private async measure<T, E extends {readonly kind: string}>(
    call: string,
    pending: Promise<Result<T, E>>,
  ): Promise<Result<T, E>> {
    const startMs = this.clock.getMonotonicMs();
    const outcome = await pending;
    const durationMs = this.clock.getMonotonicMs() - startMs;
    this.metrics.recordStoreCall(call, getCallResult(outcome), durationMs);
    return outcome;
  }
}

/**
 * Maps the outcome of a call to its metric label.
 * @param outcome - Outcome of the call.
 */
export function getCallResult(
  outcome: Result<unknown, {readonly kind: string}>,
): CallResult {
  if (outcome.isOk()) return 'ok';
  return outcome.error.kind === 'unavailable' ? 'unavailable' : 'refused';
}
