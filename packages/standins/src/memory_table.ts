/** A table service in memory, with faults that can be set while it runs. */

import {err, ok, Result} from 'neverthrow';
import {Clock} from '@mustardlug/base/clock';
import {
  createConflictError,
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

/** Faults of a table service. */
export interface TableFaults {
  /** Delay of each call. */
  delayMs: number;
  /** Whether all calls fail without effect. */
  isOutage: boolean;
  /** Number of coming writes that take effect although their answer is lost. */
  loseNextAnswers: number;
  /** Number of coming writes that take effect only after `lateMs`, their answer lost. */
  applyNextLate: number;
  lateMs: number;
}

/** Counts of calls since the start. */
export interface TableCounts {
  transactions: number;
  writtenRows: number;
  reads: number;
}

/** Creates faults that do nothing. */
export function createNoTableFaults(): TableFaults {
  return {
    delayMs: 0,
    isOutage: false,
    loseNextAnswers: 0,
    applyNextLate: 0,
    lateMs: 1_000,
  };
}

/** Rows in memory. */
export class MemoryTable extends TableService {
  /** Faults in force; change them at any time. */
  readonly faults = createNoTableFaults();
  /** Calls that were answered or lost after taking effect. */
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
    await this.delay();
    if (this.faults.isOutage) return err(createLost(false));
    if (this.faults.applyNextLate > 0) {
      this.faults.applyNextLate--;
      this.clock.setTimer(this.faults.lateMs, () => this.apply(operations));
      return err(createLost(true));
    }
    const receipt = this.apply(operations);
    if (this.faults.loseNextAnswers > 0) {
      this.faults.loseNextAnswers--;
      return err(createLost(true));
    }
    return receipt;
  }

  override async getRow(
    key: string,
  ): Promise<Result<TableRow | undefined, UnavailableError>> {
    await this.delay();
    if (this.faults.isOutage) return err(createLost(false));
    this.counts.reads++;
    return ok(this.rows.get(key));
  }

  override async getRows(
    query: RowQuery,
  ): Promise<Result<RowPage, UnavailableError>> {
    await this.delay();
    if (this.faults.isOutage) return err(createLost(false));
    this.counts.reads++;
    const afterKey = query.afterKey ?? '';
    const matching = this.getMatching(query.prefix)
      .filter(row => row.key > afterKey)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return ok(this.createPage(matching, query.limit));
  }

  override async getChanges(
    query: ChangeQuery,
  ): Promise<Result<RowPage, UnavailableError>> {
    await this.delay();
    if (this.faults.isOutage) return err(createLost(false));
    this.counts.reads++;
    return ok(this.createPage(this.getChanged(query), query.limit));
  }

  /**
   * Gets the rows below a prefix without faults, for checks.
   * @param prefix - Prefix of the keys.
   */
  getMatching(prefix: string): TableRow[] {
    const matching: TableRow[] = [];
    for (const row of this.rows.values()) {
      if (row.key.startsWith(prefix)) matching.push(row);
    }
    return matching;
  }

  /** Rows are kept in the order of their revisions, so the changed ones stand last. */
  private getChanged(query: ChangeQuery): TableRow[] {
    const changed: TableRow[] = [];
    for (const row of this.rows.values()) {
      if (row.revision <= query.sinceRevision) continue;
      if (row.key.startsWith(query.prefix)) changed.push(row);
    }
    return changed;
  }

  private createPage(rows: readonly TableRow[], limit: number): RowPage {
    const page = rows.slice(0, limit);
    const hasMore = rows.length > limit;
    const last = page[page.length - 1];
    // Rows of one transaction share a revision and must not be split.
    if (!hasMore) return {rows: page, revision: this.revision, hasMore};
    const whole = rows.filter(row => row.revision <= last.revision);
    return {rows: whole, revision: last.revision, hasMore};
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
    for (const operation of operations) this.applyOne(operation);
    return ok({revision: this.revision});
  }

  private applyOne(operation: TableOperation): void {
    const {key} = operation;
    this.rows.delete(key);
    if (operation.kind === 'delete') return;
    const {value} = operation;
    this.rows.set(key, {key, value, revision: this.revision});
  }

  private async delay(): Promise<void> {
    if (this.faults.delayMs > 0) await this.clock.sleep(this.faults.delayMs);
  }
}

function createLost(mayHaveTakenEffect: boolean): UnavailableError {
  return createUnavailableError(
    'the table service did not answer',
    mayHaveTakenEffect,
  );
}
