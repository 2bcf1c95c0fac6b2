/** In-memory table service with fault injection. */

import {err, ok, Result} from 'neverthrow';
import {Clock} from '@mustardlug/base/clock';
import {
  createConflictError,
  createRefusedError,
  createUnavailableError,
  UnavailableError,
} from '@mustardlug/base/errors';
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

/** Faults of a table service; may be changed at any time. */
export interface TableFaults {
  /** Delay of each call. */
  delayMs: number;
  /** Whether all calls fail and have no effect. */
  isOutage: boolean;
  /** Number of next writes that take effect but whose response is lost. */
  loseNextAnswers: number;
  /**
   * Number of next writes that take effect only after `lateMs` and whose
   * response is lost.
   */
  applyNextLate: number;
  /** Delay of the writes that `applyNextLate` counts. */
  lateMs: number;
  /** Determines which transactions are rejected without effect. */
  isRejected?: (operations: readonly TableOperation[]) => boolean;
}

/** Numbers of calls and written rows since the table was created. */
export interface TableCounts {
  transactions: number;
  writtenRows: number;
  reads: number;
}

/** Creates fault settings without active faults. */
export function createDefaultTableFaults(): TableFaults {
  return {
    delayMs: 0,
    isOutage: false,
    loseNextAnswers: 0,
    applyNextLate: 0,
    lateMs: 1_000,
  };
}

/** Table service that keeps its rows in memory. */
export class MemoryTable extends TableService {
  readonly faults = createDefaultTableFaults();
  /** Counts of calls that took effect, including those whose response was lost. */
  readonly counts: TableCounts = {transactions: 0, writtenRows: 0, reads: 0};
  private readonly rows = new Map<string, TableRow>();
  private revision = 0;

  private constructor(private readonly clock: Clock) {
    super();
  }

  /**
   * Creates an empty table.
   * @param clock - Clock for delays.
   */
  static create(clock: Clock): MemoryTable {
    return new MemoryTable(clock);
  }

  override async commit(
    operations: readonly TableOperation[],
  ): Promise<Result<CommitReceipt, CommitError>> {
    await this.simulateDelay();
    if (this.faults.isOutage) return err(createNoResponseError(false));
    if (this.faults.applyNextLate > 0) {
      this.faults.applyNextLate--;
      this.clock.setTimer(this.faults.lateMs, () => this.apply(operations));
      return err(createNoResponseError(true));
    }
    if (this.faults.isRejected?.(operations)) {
      const message = 'the table rejected a transaction; change it';
      return err(createRefusedError(message));
    }
    const receipt = this.apply(operations);
    if (this.faults.loseNextAnswers > 0) {
      this.faults.loseNextAnswers--;
      return err(createNoResponseError(true));
    }
    return receipt;
  }

  override async getRow(
    key: string,
  ): Promise<Result<TableRow | undefined, UnavailableError>> {
    await this.simulateDelay();
    if (this.faults.isOutage) return err(createNoResponseError(false));
    this.counts.reads++;
    return ok(this.rows.get(key));
  }

  override async getRows(
    query: RowQuery,
  ): Promise<Result<RowPage, UnavailableError>> {
    await this.simulateDelay();
    if (this.faults.isOutage) return err(createNoResponseError(false));
    this.counts.reads++;
    const afterKey = query.afterKey ?? '';
    const matching = this.getRowsByPrefix(query.prefix)
      .filter(row => row.key > afterKey)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return ok({
      rows: matching.slice(0, query.limit),
      revision: this.revision,
      hasMore: matching.length > query.limit,
    });
  }

  override async getChanges(
    query: ChangeQuery,
  ): Promise<Result<RowPage, UnavailableError>> {
    await this.simulateDelay();
    if (this.faults.isOutage) return err(createNoResponseError(false));
    this.counts.reads++;
    return ok(this.createChangePage(this.getChangedRows(query), query.limit));
  }

  /**
   * Gets the rows with a key prefix. Not subject to faults, for assertions in tests.
   * @param prefix - Prefix of the keys.
   */
  getRowsByPrefix(prefix: string): TableRow[] {
    const matching: TableRow[] = [];
    for (const row of this.rows.values()) {
      if (row.key.startsWith(prefix)) matching.push(row);
    }
    return matching;
  }

  /**
   * Gets the rows that changed after a revision, ordered by revision. The map
   * iterates in that order because each write deletes and reinserts its row.
   */
  private getChangedRows(query: ChangeQuery): TableRow[] {
    const changed: TableRow[] = [];
    for (const row of this.rows.values()) {
      if (row.revision <= query.sinceRevision) continue;
      if (row.key.startsWith(query.prefix)) changed.push(row);
    }
    return changed;
  }

  private createChangePage(rows: readonly TableRow[], limit: number): RowPage {
    const page = rows.slice(0, limit);
    const hasMore = rows.length > limit;
    const last = page[page.length - 1];
    if (!hasMore) return {rows: page, revision: this.revision, hasMore};
    // Rows of one transaction share a revision and must be on the same page.
    const rowsOfCompleteTransactions = rows.filter(
      row => row.revision <= last.revision,
    );
    return {rows: rowsOfCompleteTransactions, revision: last.revision, hasMore};
  }

  private apply(
    operations: readonly TableOperation[],
  ): Result<CommitReceipt, CommitError> {
    for (const operation of operations) {
      const current = this.rows.get(operation.key)?.revision ?? 0;
      if (current !== operation.expectedRevision) {
        const message = `row ${operation.key} has revision ${current}, not ${operation.expectedRevision}; read it again`;
        return err(createConflictError(message));
      }
    }
    this.revision++;
    this.counts.transactions++;
    this.counts.writtenRows += operations.length;
    for (const operation of operations) this.applyOperation(operation);
    return ok({revision: this.revision});
  }

  private applyOperation(operation: TableOperation): void {
    const {key} = operation;
    this.rows.delete(key);
    if (operation.kind === 'delete') return;
    const {value} = operation;
    this.rows.set(key, {key, value, revision: this.revision});
  }

  private async simulateDelay(): Promise<void> {
    if (this.faults.delayMs > 0) await this.clock.sleep(this.faults.delayMs);
  }
}

function createNoResponseError(mayHaveTakenEffect: boolean): UnavailableError {
  return createUnavailableError(
    'the table service did not answer',
    mayHaveTakenEffect,
  );
}
