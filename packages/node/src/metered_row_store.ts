/** Measures the calls of a table service. */

import {Clock} from '@mustardlug/base/clock';
import {
  ChangeRequest,
  RowRange,
  RowStore,
  RowTransaction,
} from '@mustardlug/platform/row_store';
import {Result} from 'neverthrow';
import {CallResult, NodeMetrics} from './node_metrics.js';

/** A table service whose calls are measured. Waits for changes are not: they last as asked. */
export class MeteredRowStore extends RowStore {
  private constructor(
    private readonly store: RowStore,
    private readonly clock: Clock,
    private readonly metrics: NodeMetrics,
  ) {
    super();
  }

  /**
   * Creates a measured service.
   * @param store - Service to call.
   * @param clock - Clock of the measurements.
   * @param metrics - Receiver of the measurements.
   */
  static create(
    store: RowStore,
    clock: Clock,
    metrics: NodeMetrics,
  ): MeteredRowStore {
    return new MeteredRowStore(store, clock, metrics);
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
    this.metrics.noteStoreCall(call, getCallResult(outcome), durationMs);
    return outcome;
  }
}

/**
 * Gets how a call ended.
 * @param outcome - Outcome of the call.
 */
export function getCallResult(
  outcome: Result<unknown, {readonly kind: string}>,
): CallResult {
  if (outcome.isOk()) return 'ok';
  return outcome.error.kind === 'unavailable' ? 'unavailable' : 'refused';
}
