/** Interface of the transactional table service of the platform. */

import {Result} from 'neverthrow';
import {
  ConflictError,
  RefusedError,
  UnavailableError,
} from '@mustardlug/base/errors';

/** Expected revision of a row that must not exist. */
export const ABSENT_REVISION = 0;

/** Number of rows per page when all rows are read. */
const PAGE_SIZE = 1_000;

/** Fields that all stored values have. */
export interface StoredValue {
  /** Token of the transaction that wrote the row. Shows whether a commit without a response took effect. */
  readonly writeToken: string;
}

/** A row with its revision. */
export interface TableRow<T extends StoredValue = StoredValue> {
  readonly key: string;
  readonly value: T;
  /** Table-wide sequence number of the transaction that last wrote the row. */
  readonly revision: number;
}

/** Writes a row if it has the expected revision. */
export interface PutOperation {
  readonly kind: 'put';
  readonly key: string;
  readonly value: StoredValue;
  readonly expectedRevision: number;
}

/** Deletes a row if it has the expected revision. */
export interface DeleteOperation {
  readonly kind: 'delete';
  readonly key: string;
  readonly expectedRevision: number;
}

/** One change in a transaction. */
export type TableOperation = PutOperation | DeleteOperation;

/** Outcome of a committed transaction. */
export interface CommitReceipt {
  /** Revision of all written rows. */
  readonly revision: number;
}

/** A page of rows and the revision up to which it is complete. */
export interface RowPage {
  readonly rows: readonly TableRow[];
  readonly revision: number;
  readonly hasMore: boolean;
}

/** Selects rows. */
export interface RowQuery {
  readonly prefix: string;
  /** Selects only rows with a greater key. */
  readonly afterKey?: string;
  readonly limit: number;
}

/** Selects changed rows. */
export interface ChangeQuery {
  readonly prefix: string;
  /** Selects only rows with a greater revision, in ascending order. */
  readonly sinceRevision: number;
  readonly limit: number;
}

/** Errors of a transaction. One that is refused had no effect, and is likely to be refused again. */
export type CommitError = ConflictError | RefusedError | UnavailableError;

/** Client of the table service. */
export abstract class TableService {
  /**
   * Applies all operations atomically.
   * @param operations - Changes to apply.
   * @returns `conflict` if a revision differs from the expected one, `refused` if the service rejects the transaction, `unavailable` if the outcome is unknown.
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
   * Gets changed rows in revision order. Deleted rows are not reported.
   * @param query - Prefix, revision and limit.
   */
  abstract getChanges(
    query: ChangeQuery,
  ): Promise<Result<RowPage, UnavailableError>>;
}

/**
 * Gets all rows whose key starts with a prefix, page by page.
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
    const page = await table.getRows({prefix, afterKey, limit: PAGE_SIZE});
    if (page.isErr()) return page.map(() => rows);
    rows.push(...page.value.rows);
    if (!page.value.hasMore) return page.map(() => rows);
    afterKey = rows[rows.length - 1].key;
  }
}
