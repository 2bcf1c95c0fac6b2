/**
 * Client of a table in one process; requests and responses are delayed on the
 * clock of the process.
 */

import {Result} from 'neverthrow';
import {Clock} from '@mustardlug/base/clock';
import {UnavailableError} from '@mustardlug/base/errors';
import {
  ChangeQuery,
  CommitError,
  CommitReceipt,
  RowPage,
  RowQuery,
  TableOperation,
  TableRow,
  TableService,
} from '@mustardlug/platform/table_service';

/** Observes each transaction, so that tests can inject faults at these points. */
export interface CommitObserver {
  /** Called before the transaction is sent. */
  onSend(operations: readonly TableOperation[]): void;
  /**
   * Called after the table has committed or refused the transaction, before its
   * response is delivered.
   */
  onDecided(operations: readonly TableOperation[]): void;
}

/**
 * Size of the HTTP headers of a request or response, as measured on the
 * simulated services.
 */
const HTTP_HEADER_BYTES = 190;

/** Table client of one process; a suspended or killed process receives no responses. */
export class RemoteTable extends TableService {
  /**
   * Estimated size of all requests and responses as JSON over HTTP, if
   * `isCountingBytes`.
   */
  transferredBytes = 0;
  /** Whether to count bytes; off by default because serialization costs CPU time. */
  isCountingBytes = false;

  private constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly observer: CommitObserver | undefined,
  ) {
    super();
  }

  /**
   * Creates the client of one process.
   * @param table - Table to call.
   * @param clock - Clock of the process.
   * @param observer - Observer of transactions.
   */
  static create(
    table: TableService,
    clock: Clock,
    observer?: CommitObserver,
  ): RemoteTable {
    return new RemoteTable(table, clock, observer);
  }

  override commit(
    operations: readonly TableOperation[],
  ): Promise<Result<CommitReceipt, CommitError>> {
    this.observer?.onSend(operations);
    return this.call(operations, async () => {
      const result = await this.table.commit(operations);
      this.observer?.onDecided(operations);
      return result;
    });
  }

  override getRow(
    key: string,
  ): Promise<Result<TableRow | undefined, UnavailableError>> {
    return this.call(key, () => this.table.getRow(key));
  }

  override getRows(
    query: RowQuery,
  ): Promise<Result<RowPage, UnavailableError>> {
    return this.call(query, () => this.table.getRows(query));
  }

  override getChanges(
    query: ChangeQuery,
  ): Promise<Result<RowPage, UnavailableError>> {
    return this.call(query, () => this.table.getChanges(query));
  }

  private async call<T, E>(
    body: unknown,
    action: () => Promise<Result<T, E>>,
  ): Promise<Result<T, E>> {
    await this.clock.sleep(1);
    const result = await action();
    if (this.isCountingBytes) {
      this.transferredBytes += estimateMessageBytes(body);
      this.transferredBytes += estimateMessageBytes(
        result.unwrapOr(undefined as T),
      );
    }
    await this.clock.sleep(1);
    return result;
  }
}

/** Estimates the size of a value that is sent as JSON over HTTP. */
function estimateMessageBytes(value: unknown): number {
  return HTTP_HEADER_BYTES + (JSON.stringify(value) ?? '').length;
}
