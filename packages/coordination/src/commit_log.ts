/** Conditional writes of a coordinator, which fail for good once another one has taken over. */

import {Clock} from '@mustardlug/base/clock';
import {decodeRowValue, encodeRowValue} from '@mustardlug/jobs/job_codec';
import {
  ABSENT_VERSION,
  RowAddress,
  RowCommitError,
  RowReceipt,
  RowSnapshot,
  RowStore,
  RowWrite,
  StoredRow,
} from '@mustardlug/platform/row_store';
import {Result} from 'neverthrow';
import {COORDINATOR_PART, SINGLE_ROW_KEY, TERM_TABLE} from './tables.js';

/** Stored term of the coordinator. */
export interface TermRow {
  readonly term: number;
  readonly holder: string;
  /** Number of the last commit of this term; tells own commits from others. */
  readonly commitNumber: number;
}

/** Outcome of a commit. */
export type CommitOutcome = 'committed' | 'superseded';

/** Changes of one commit, besides the term row. */
export interface CommitChanges {
  readonly writes: readonly RowWrite[];
  readonly removals: readonly RowAddress[];
}

/** Options of a commit log. */
export interface CommitLogOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly holder: string;
}

/** Delay before a commit without an answer is repeated. */
const FIRST_RETRY_MS = 30;

/** Longest delay between two attempts; bounds the delay after an outage. */
const MAX_RETRY_MS = 200;

/** Rows that fit into one transaction beside the term row. */
export const MAX_COMMIT_ROWS = 98;

const TERM_ADDRESS: RowAddress = {
  table: TERM_TABLE,
  part: COORDINATOR_PART,
  key: SINGLE_ROW_KEY,
};

/**
 * Commits one transaction at a time, each conditional on the version that the
 * last one gave to the term row. A late or repeated transaction of this log
 * thus finds another version and does nothing.
 */
export class CommitLog {
  private commitNumber = 0;
  private isClosed = false;
  private lastReceipt: {storeMs: number; receivedMs: number} | undefined;
  private lastConfirmedSendMs = -Infinity;

  private constructor(
    private readonly options: CommitLogOptions,
    readonly term: number,
    private termVersion: number,
  ) {}

  /**
   * Creates the log of a new term, which begins with its first commit.
   * @param options - Store, clock and holder.
   * @param snapshot - Term row as `readTerm` returned it.
   */
  static create(options: CommitLogOptions, snapshot: RowSnapshot): CommitLog {
    const term = CommitLog.getTerm(snapshot) + 1;
    const version = snapshot.rows.at(0)?.version ?? ABSENT_VERSION;
    const log = new CommitLog(options, term, version);
    log.noteStoreTime(snapshot.storeMs);
    return log;
  }

  /**
   * Reads the term row.
   * @param store - Store to read.
   */
  static readTerm(store: RowStore) {
    return store.getRows({
      table: TERM_TABLE,
      part: COORDINATOR_PART,
      fromKey: SINGLE_ROW_KEY,
      limit: 1,
    });
  }

  /**
   * Gets the term in force; 0 before the first one.
   * @param snapshot - Term row as `readTerm` returned it.
   */
  static getTerm(snapshot: RowSnapshot): number {
    const row = snapshot.rows.at(0);
    if (row === undefined) return 0;
    return decodeRowValue<TermRow>(row.value).term;
  }

  /** Gets the monotonic time at which the last confirmed commit was sent. */
  getLastConfirmedSendMs(): number {
    return this.lastConfirmedSendMs;
  }

  /** Estimates the store's time from its last answer. */
  getStoreMs(): number {
    if (this.lastReceipt === undefined) return 0;
    const {storeMs, receivedMs} = this.lastReceipt;
    return storeMs + this.options.clock.getMonotonicMs() - receivedMs;
  }

  /** Gives up: a commit in progress ends as superseded. */
  close(): void {
    this.isClosed = true;
  }

  /**
   * Commits changes; waits through outages until the outcome is known.
   * @param changes - At most `MAX_COMMIT_ROWS` rows of the coordinator's part.
   * @param maxTries - Attempts after which the commit counts as superseded.
   */
  async commit(
    changes: CommitChanges,
    maxTries = Infinity,
  ): Promise<CommitOutcome> {
    this.commitNumber++;
    let retryMs = FIRST_RETRY_MS;
    for (let attempt = 1; !this.isClosed; attempt++) {
      const sentMs = this.options.clock.getMonotonicMs();
      const outcome = await this.send(changes);
      if (outcome.isOk()) return this.confirm(outcome.value, sentMs);
      if (outcome.error.kind === 'row-conflict') {
        const own = outcome.error.rows.find(row => this.isOwnCommit(row));
        if (own === undefined) return 'superseded';
        this.termVersion = own.version;
        this.lastConfirmedSendMs = sentMs;
        return 'committed';
      }
      if (attempt >= maxTries) return 'superseded';
      await this.options.clock.sleep(retryMs);
      retryMs = Math.min(retryMs * 2, MAX_RETRY_MS);
    }
    return 'superseded';
  }

  private send(
    changes: CommitChanges,
  ): Promise<Result<RowReceipt, RowCommitError>> {
    const row: TermRow = {
      term: this.term,
      holder: this.options.holder,
      commitNumber: this.commitNumber,
    };
    return this.options.store.commit({
      conditions: [{...TERM_ADDRESS, version: this.termVersion}],
      writes: [
        {...TERM_ADDRESS, value: encodeRowValue(row)},
        ...changes.writes,
      ],
      removals: changes.removals,
    });
  }

  private confirm(receipt: RowReceipt, sentMs: number): CommitOutcome {
    this.termVersion = receipt.version;
    this.lastConfirmedSendMs = sentMs;
    this.noteStoreTime(receipt.storeMs);
    return 'committed';
  }

  private noteStoreTime(storeMs: number): void {
    const receivedMs = this.options.clock.getMonotonicMs();
    this.lastReceipt = {storeMs, receivedMs};
  }

  /** An attempt whose answer was lost may have been applied. */
  private isOwnCommit(row: StoredRow): boolean {
    if (row.table !== TERM_TABLE) return false;
    const stored = decodeRowValue<TermRow>(row.value);
    return (
      stored.term === this.term &&
      stored.holder === this.options.holder &&
      stored.commitNumber === this.commitNumber
    );
  }
}
