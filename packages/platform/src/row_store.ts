/** Interface of the row store of the platform, which has partitions, conditional transactions and a change feed. */

import {err, ok, Result} from 'neverthrow';
import {RefusedError, UnavailableError} from '@mustardlug/base/errors';

/** Version of a row that does not exist. */
export const ABSENT_VERSION = 0;

/** Usual maximum size of the value of a row, in bytes. */
export const MAX_ROW_BYTES = 65_536;

/** Maximum length of the key of a row, in bytes. */
export const MAX_KEY_BYTES = 200;

/** Address of a row. */
export interface RowAddress {
  readonly table: string;
  /** Partition of the row. A transaction can change rows of one partition only. */
  readonly part: string;
  readonly key: string;
}

/** A stored row. */
export interface StoredRow extends RowAddress {
  readonly value: Buffer;
  readonly version: number;
}

/** A row to write. */
export interface RowWrite extends RowAddress {
  readonly value: Buffer;
}

/** Version that a row must have for a transaction to be applied. */
export interface RowCondition extends RowAddress {
  /** `ABSENT_VERSION` when the row must not exist. */
  readonly version: number;
}

/** Changes that are applied atomically if all conditions hold. All rows belong to one partition. */
export interface RowTransaction {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
  readonly removals: readonly RowAddress[];
}

/** Outcome of an applied transaction. */
export interface RowReceipt {
  /** Version of all rows that the transaction has written. */
  readonly version: number;
  /** Monotonic time of the store, in milliseconds. */
  readonly storeMs: number;
}

/** A condition did not hold, so nothing was applied. */
export interface RowConflictError {
  readonly kind: 'row-conflict';
  readonly message: string;
  /** Existing rows among those of the conditions, as currently stored. */
  readonly rows: readonly StoredRow[];
}

/** The store no longer retains the requested changes. */
export interface HistoryGoneError {
  readonly kind: 'history-gone';
  readonly message: string;
}

/**
 * The store rejected a transaction, which it may do for as long as its content is
 * the same. Unlike `RefusedError`, it does not ask to try again later.
 */
export interface RowRejectionError {
  readonly kind: 'row-rejection';
  readonly message: string;
  /** Whether the transaction may have been applied nevertheless. */
  readonly mayHaveTakenEffect: boolean;
}

/** Errors of a transaction. A refused transaction has not taken effect. */
export type RowCommitError =
  RowConflictError | RowRejectionError | RefusedError | UnavailableError;

/** Selects rows of one partition. */
export interface RowRange {
  readonly table: string;
  readonly part: string;
  /** First key, inclusive. */
  readonly fromKey?: string;
  /** Last key, exclusive. */
  readonly toKey?: string;
  readonly limit?: number;
}

/** A page of rows at one version. */
export interface RowSnapshot {
  readonly rows: readonly StoredRow[];
  readonly hasMore: boolean;
  /** Latest version in the store. Later changes are not included. */
  readonly version: number;
  readonly storeMs: number;
}

/** Changed rows, in the order of their changes. */
export interface RowChanges {
  readonly rows: readonly StoredRow[];
  readonly removed: readonly RowAddress[];
  /** Version to continue from. */
  readonly version: number;
  readonly storeMs: number;
}

/** Selects changes of a table. */
export interface ChangeRequest {
  readonly table: string;
  readonly afterVersion: number;
  /** Maximum time to wait for a change. */
  readonly waitMs: number;
}

/** Client of the row store. Responses are linearizable. */
export abstract class RowStore {
  /** Gets the maximum size of the value of a row, in bytes. */
  getMaxRowBytes(): number {
    return MAX_ROW_BYTES;
  }

  /**
   * Applies a transaction.
   * @param transaction - Conditions and changes.
   */
  abstract commit(
    transaction: RowTransaction,
  ): Promise<Result<RowReceipt, RowCommitError>>;

  /**
   * Gets rows of a partition in key order.
   * @param range - Partition and key range.
   */
  abstract getRows(
    range: RowRange,
  ): Promise<Result<RowSnapshot, UnavailableError>>;

  /**
   * Gets the names of all partitions of a table.
   * @param table - Name of the table.
   */
  abstract getParts(table: string): Promise<Result<string[], UnavailableError>>;

  /**
   * Waits for changes of a table.
   * @param request - Table and version to continue from.
   */
  abstract getChanges(
    request: ChangeRequest,
  ): Promise<Result<RowChanges, HistoryGoneError | UnavailableError>>;
}

/** Rows of a table or of one of its partitions. */
export interface TableSnapshot {
  readonly rows: readonly StoredRow[];
  /** Version from which the change feed must be read to miss no change. */
  readonly version: number;
  /** Time of the store when the first row was read, in milliseconds. */
  readonly storeMs: number;
}

/** Range of keys, from the first one, inclusive, to the last one, exclusive. */
export type KeyRange = Pick<RowRange, 'fromKey' | 'toKey'>;

/**
 * Reads all rows of one partition, or those in a range of keys, page by page.
 * @param store - Store to read.
 * @param table - Name of the table.
 * @param part - Name of the partition.
 * @param range - Keys to read; all by default.
 */
export async function getPartRows(
  store: RowStore,
  table: string,
  part: string,
  range: KeyRange = {},
): Promise<Result<TableSnapshot, UnavailableError>> {
  const rows: StoredRow[] = [];
  let version: number | undefined;
  let storeMs: number | undefined;
  let {fromKey} = range;
  for (;;) {
    const page = await store.getRows({
      table,
      part,
      fromKey,
      toKey: range.toKey,
    });
    if (page.isErr()) return err(page.error);
    rows.push(...page.value.rows);
    // Later pages may contain newer rows. Reading the change feed from the version of the first page misses no change.
    version ??= page.value.version;
    storeMs ??= page.value.storeMs;
    if (!page.value.hasMore || page.value.rows.length === 0)
      return ok({rows, version, storeMs});
    // Smallest key greater than the last one of this page.
    fromKey = `${rows[rows.length - 1].key}\u0000`;
  }
}

/**
 * Reads all rows of a table.
 * @param store - Store to read.
 * @param table - Name of the table.
 */
export async function getTableRows(
  store: RowStore,
  table: string,
): Promise<Result<TableSnapshot, UnavailableError>> {
  // Partitions may be created during the read. Their rows are in the change feed after this version.
  const before = await store.getRows({table, part: '', limit: 1});
  if (before.isErr()) return err(before.error);
  const parts = await store.getParts(table);
  if (parts.isErr()) return err(parts.error);
  const snapshots = await Promise.all(
    parts.value.map(part => getPartRows(store, table, part)),
  );
  const rows: StoredRow[] = [];
  for (const snapshot of snapshots) {
    if (snapshot.isErr()) return err(snapshot.error);
    rows.push(...snapshot.value.rows);
  }
  const {version, storeMs} = before.value;
  return ok({rows, version, storeMs});
}
