/** Commit logs for tests. */

import {Clock} from '@mustardlug/base/clock';
import {MemoryRowStore} from '@mustardlug/standins/memory_row_store';
import {encodeRowValue} from '@mustardlug/jobs/job_codec';
import {CommitLog, TermRow} from '../src/commit_log.js';
import {COORDINATOR_PART, TERM_TABLE} from '../src/tables.js';

/** Time of the store when the term row is read. */
export const TEST_STORE_MS = 50_000;

/**
 * Creates the log of a term.
 * @param clock - Clock of the node.
 * @param predecessor - Term row of the previous coordinator; undefined in the first term.
 */
export function createTestCommitLog(
  clock: Clock,
  predecessor?: TermRow,
): CommitLog {
  const store = MemoryRowStore.create(clock).createClient();
  const address = {table: TERM_TABLE, part: COORDINATOR_PART, key: 'current'};
  const rows =
    predecessor === undefined
      ? []
      : [{...address, value: encodeRowValue(predecessor), version: 1}];
  const snapshot = {rows, hasMore: false, version: 1, storeMs: TEST_STORE_MS};
  return CommitLog.create({store, clock, holder: 'node-1'}, snapshot);
}
