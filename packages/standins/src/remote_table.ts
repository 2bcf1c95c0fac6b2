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

/** A table behind the clock of one process, which may be frozen or killed. */
export class RemoteTable extends TableService {
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
    return this.call(async () => {
      const result = await this.table.commit(operations);
      this.observer?.onDecided(operations);
      return result;
    });
  }

  override getRow(
    key: string,
  ): Promise<Result<TableRow | undefined, UnavailableError>> {
    return this.call(() => this.table.getRow(key));
  }

  override getRows(
    query: RowQuery,
  ): Promise<Result<RowPage, UnavailableError>> {
    return this.call(() => this.table.getRows(query));
  }

  override getChanges(
    query: ChangeQuery,
  ): Promise<Result<RowPage, UnavailableError>> {
    return this.call(() => this.table.getChanges(query));
  }

  private async call<T>(action: () => Promise<T>): Promise<T> {
    await this.clock.sleep(1);
    const result = await action();
    await this.clock.sleep(1);
    return result;
  }
}
