/** The platform's transactional table service, as this project uses it. */

import {Result} from 'neverthrow';
import {ConflictError, UnavailableError} from '@mustardlug/base/errors';

/** Expected revision of a row that must not exist. */
export const ABSENT_REVISION = 0;

/** Rows that one page holds when all rows are read. */
const PAGE_ROWS = 1_000;

/** Fields that every stored value carries. */
export interface StoredValue {
  /** Token of the transaction that wrote the row; settles lost answers. */
  readonly writeToken: string;
}

/** A row with its revision. */
export interface TableRow<T extends StoredValue = StoredValue> {
  readonly key: string;
  readonly value: T;
  /** Table-wide number of the transaction that last wrote the row. */
  readonly revision: number;
}

/** Writes a row if its revision is the expected one. */
export interface PutOperation {
  readonly kind: 'put';
  readonly key: string;
  readonly value: StoredValue;
  readonly expectedRevision: number;
}

/** Deletes a row if its revision is the expected one. */
export interface DeleteOperation {
  readonly kind: 'delete';
  readonly key: string;
  readonly expectedRevision: number;
}

/** One change in a transaction. */
export type TableOperation = PutOperation | DeleteOperation;

/** Outcome of a committed transaction. */
export interface CommitReceipt {
  /** Revision that all written rows now have. */
  readonly revision: number;
}

/** A page of rows, and the revision up to which it is complete. */
export interface RowPage {
  readonly rows: readonly TableRow[];
  readonly revision: number;
  readonly hasMore: boolean;
}

/** Selects rows. */
export interface RowQuery {
  readonly prefix: string;
  /** Only rows with a greater key. */
  readonly afterKey?: string;
  readonly limit: number;
}

/** Selects the rows that changed. */
export interface ChangeQuery {
  readonly prefix: string;
  /** Only rows with a greater revision, lowest first. */
  readonly sinceRevision: number;
  readonly limit: number;
}

/** Failures of a transaction. */
export type CommitError = ConflictError | UnavailableError;

/** Client of the table service. */
export abstract class TableService {
  /**
   * Applies all operations or none.
   * @param operations - Changes to apply.
   * @returns `conflict` when a revision differs, `unavailable` when the outcome is not known.
   */
  abstract commit(
    operations: readonly TableOperation[],
  ): Promise<Result<CommitReceipt, CommitError>>;

  /**
   * Gets a row, or `undefined` when it does not exist.
   * @param key - Key of the row.
   */
  abstract getRow(
    key: string,
  ): Promise<Result<TableRow | undefined, UnavailableError>>;

  /**
   * Gets rows in key order.
   * @param query - Prefix, start and limit.
   */
  abstract getRows(query: RowQuery): Promise<Result<RowPage, UnavailableError>>;

  /**
   * Gets rows that changed, in revision order. Deleted rows are not reported.
   * @param query - Prefix, revision and limit.
   */
  abstract getChanges(
    query: ChangeQuery,
  ): Promise<Result<RowPage, UnavailableError>>;
}

/**
 * Gets every row below a prefix, page by page.
 * @param table - Table to read.
 * @param prefix - Prefix of the keys.
 */
export async function getAllRows(
  table: TableService,
  prefix: string,
): Promise<Result<TableRow[], UnavailableError>> {
  const rows: TableRow[] = [];
  let afterKey: string | undefined;
  for (;;) {
    const page = await table.getRows({prefix, afterKey, limit: PAGE_ROWS});
    if (page.isErr()) return page.map(() => rows);
    rows.push(...page.value.rows);
    if (!page.value.hasMore) return page.map(() => rows);
    afterKey = rows[rows.length - 1].key;
  }
}
