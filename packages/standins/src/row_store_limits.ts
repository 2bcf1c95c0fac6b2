/** Limits of the platform's row store, which the stand-ins enforce. */

import {
  MAX_ROW_BYTES,
  RowAddress,
  RowTransaction,
} from '@mustardlug/platform/row_store';

/** Maximum length of the name of a table, a partition or a key, in bytes. */
const MAX_TEXT_BYTES = 200;

/** Maximum number of conditions, writes and removals of one call. */
const MAX_CALL_ENTRIES = 100;

/** Maximum size of a call or of a page of rows, in bytes. */
export const MAX_CALL_BYTES = 1_000_000;

/** Maximum number of tables. */
export const MAX_TABLES = 100;

/** Size of the field names and delimiters of an entry of a call, in bytes. */
const ENTRY_OVERHEAD_BYTES = 64;

/** An entry of a call or a row of a page. */
interface Entry extends RowAddress {
  readonly value?: Buffer;
}

/**
 * Finds the limit that a transaction exceeds.
 * @param transaction - Transaction to check.
 * @returns What it exceeds, or `undefined` if the store accepts it.
 */
export function findExceededLimit(
  transaction: RowTransaction,
): string | undefined {
  const {conditions, writes, removals} = transaction;
  const entries: Entry[] = [...conditions, ...writes, ...removals];
  if (entries.length > MAX_CALL_ENTRIES)
    return `${entries.length} entries, at most ${MAX_CALL_ENTRIES} are accepted`;
  for (const {table, part, key} of entries) {
    for (const text of [table, part, key]) {
      if (Buffer.byteLength(text) > MAX_TEXT_BYTES)
        return `a name of more than ${MAX_TEXT_BYTES} bytes: ${text.slice(0, MAX_TEXT_BYTES)}`;
    }
  }
  for (const {key, value} of writes) {
    if (value.length > MAX_ROW_BYTES)
      return `row ${key} of ${value.length} bytes, at most ${MAX_ROW_BYTES} are accepted`;
  }
  let callBytes = 0;
  for (const entry of entries) callBytes += getWireBytes(entry);
  if (callBytes <= MAX_CALL_BYTES) return undefined;
  return `a call of ${callBytes} bytes, at most ${MAX_CALL_BYTES} are accepted`;
}

/**
 * Gets the approximate size of a row in a call or a page, whose value is base64-encoded.
 * @param entry - Row, or its address.
 */
export function getWireBytes({table, part, key, value}: Entry): number {
  const valueBytes = Math.ceil((value?.length ?? 0) / 3) * 4;
  const nameBytes = Buffer.byteLength(table + part + key);
  return ENTRY_OVERHEAD_BYTES + nameBytes + valueBytes;
}
