/** The platform's table service with parts, conditions and a feed of changes. */

import {err, ok, Result} from 'neverthrow';
import {RefusedError, UnavailableError} from '@mustardlug/base/errors';

/** Version that a row has when it does not exist. */
export const ABSENT_VERSION = 0;

/** Address of a row. */
export interface RowAddress {
  readonly table: string;
  /** Rows of one part can be changed in one transaction. */
  readonly part: string;
  readonly key: string;
}

/** A stored row. */
export interface StoredRow extends RowAddress {
  readonly value: Buffer;
  readonly version: number;
}

/** A row that a transaction writes. */
export interface RowWrite extends RowAddress {
  readonly value: Buffer;
}

/** A row that must have a version for a transaction to apply. */
export interface RowCondition extends RowAddress {
  /** `ABSENT_VERSION` when the row must not exist. */
  readonly version: number;
}

/** Changes that apply together, if all conditions hold. All rows share one part. */
export interface RowTransaction {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
  readonly removals: readonly RowAddress[];
}

/** Outcome of an applied transaction. */
export interface RowReceipt {
  /** Version that all written rows now have. */
  readonly version: number;
  /** Steady time of the store in milliseconds. */
  readonly storeMs: number;
}

/** A condition did not hold; nothing was applied. */
export interface RowConflictError {
  readonly kind: 'row-conflict';
  readonly message: string;
  /** Current rows of the conditions that exist. */
  readonly rows: readonly StoredRow[];
}

/** The store no longer has the changes that were asked for. */
export interface HistoryGoneError {
  readonly kind: 'history-gone';
  readonly message: string;
}

/** Why a transaction has no receipt. A refused one did not take effect. */
export type RowCommitError = RowConflictError | RefusedError | UnavailableError;

/** Selects rows of one part. */
export interface RowRange {
  readonly table: string;
  readonly part: string;
  /** First key, inclusive. */
  readonly fromKey?: string;
  /** Last key, exclusive. */
  readonly toKey?: string;
  readonly limit?: number;
}

/** Rows at one moment. */
export interface RowSnapshot {
  readonly rows: readonly StoredRow[];
  readonly hasMore: boolean;
  /** Newest version in the store; changes after it are not in this snapshot. */
  readonly version: number;
  readonly storeMs: number;
}

/** Rows that changed, in order. */
export interface RowChanges {
  readonly rows: readonly StoredRow[];
  readonly removed: readonly RowAddress[];
  /** Version to continue from. */
  readonly version: number;
  readonly storeMs: number;
}

/** Selects changes. */
export interface ChangeRequest {
  readonly table: string;
  readonly afterVersion: number;
  /** Longest time to wait for a change. */
  readonly waitMs: number;
}

/** Client of the table service. Responses are linearizable. */
export abstract class RowStore {
  /**
   * Applies a transaction.
   * @param transaction - Conditions and changes.
   */
  abstract commit(
    transaction: RowTransaction,
  ): Promise<Result<RowReceipt, RowCommitError>>;

  /**
   * Gets rows of a part in key order.
   * @param range - Part and keys.
   */
  abstract getRows(
    range: RowRange,
  ): Promise<Result<RowSnapshot, UnavailableError>>;

  /**
   * Gets the names of all parts of a table.
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

/** A whole table, or as much of it as one part holds. */
export interface TableSnapshot {
  readonly rows: readonly StoredRow[];
  /** Version from which changes must be followed to miss none. */
  readonly version: number;
}

/**
 * Reads all rows of one part, page by page.
 * @param store - Store to read.
 * @param table - Name of the table.
 * @param part - Name of the part.
 */
export async function getPartRows(
  store: RowStore,
  table: string,
  part: string,
): Promise<Result<TableSnapshot, UnavailableError>> {
  const rows: StoredRow[] = [];
  let version: number | undefined;
  let fromKey: string | undefined;
  for (;;) {
    const page = await store.getRows({table, part, fromKey});
    if (page.isErr()) return err(page.error);
    rows.push(...page.value.rows);
    // Later pages may show newer rows; following from the first misses none.
    version ??= page.value.version;
    if (!page.value.hasMore || page.value.rows.length === 0)
      return ok({rows, version});
    // The smallest key that is greater than the last one of this page.
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
  // Parts may appear while they are read; changes since before then are followed.
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
  return ok({rows, version: before.value.version});
}
