/** A table as one process reaches it: calls and answers take the process's own time. */

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

/** Called around each transaction, for tests that bring about faults. */
export interface CommitObserver {
  /** The transaction is about to be sent. */
  onSend(operations: readonly TableOperation[]): void;
  /** The transaction was decided; its answer is under way. */
  onDecided(operations: readonly TableOperation[]): void;
}

/** Heads of a call or an answer over HTTP, as measured on the stand-ins. */
const HTTP_HEAD_BYTES = 190;

/** A table behind the clock of one process, which may be frozen or killed. */
export class RemoteTable extends TableService {
  /** Size of all calls and answers as JSON over HTTP; counted only if asked for. */
  carriedBytes = 0;
  /** Whether to count bytes; takes processor time. */
  isCountingBytes = false;

  private constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly observer: CommitObserver | undefined,
  ) {
    super();
  }

  /**
   * Creates the view of one process.
   * @param table - Table to call.
   * @param clock - Clock of the process.
   * @param observer - Receives the steps of transactions.
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
      this.carriedBytes += getJsonBytes(body);
      this.carriedBytes += getJsonBytes(result.unwrapOr(undefined as T));
    }
    await this.clock.sleep(1);
    return result;
  }
}

function getJsonBytes(value: unknown): number {
  return HTTP_HEAD_BYTES + (JSON.stringify(value) ?? '').length;
}
