/**
 * Fenced writes of a coordinator, which fail permanently once another
 * coordinator has taken over.
 */

import {Clock} from '@mustardlug/base/clock';
import {InvalidInputError} from '@mustardlug/base/errors';
import {decodeRowValue, encodeRowValue} from '@mustardlug/jobs/job_codec';
import {
  ABSENT_VERSION,
  RowAddress,
  RowCommitError,
  RowCondition,
  RowReceipt,
  RowSnapshot,
  RowStore,
  RowWrite,
  StoredRow,
} from '@mustardlug/platform/row_store';
import {ok, Result} from 'neverthrow';
import {z} from 'zod';
import {decodeCoordinatorStatus, STATUS_ADDRESS} from './coordinator_status.js';
import {COORDINATOR_PART, SINGLE_ROW_KEY, TERM_TABLE} from './tables.js';

/** Stored term of the coordinator. */
export interface TermRow {
  /**
   * Number of the term, which is its highest fencing token: a coordinator of an earlier
   * build takes the next number as its only token.
   */
  readonly term: number;
  readonly holder: string;
  /** Number of the last commit of this term. Identifies the commits of this log. */
  readonly commitNumber: number;
  /** Whether the stored bounds of leases hold for this term; absent in rows of earlier builds. */
  readonly keepsLeaseBounds?: boolean;
  /** Position of the range of run numbers of the term; absent in rows of earlier builds, where it is the term. */
  readonly runRange?: number;
  /**
   * Whether the stored runs tell which worker processes reject all calls to the previous
   * ones; absent in rows of earlier builds.
   */
  readonly fencesProcesses?: boolean;
}

/** Limit of the term, so that its run numbers remain exact. */
const MAX_TERM = 1_000_000_000;

/**
 * Number of fencing tokens of a term. Each process of a worker gets one of its own, so
 * that a worker may restart as often in one term.
 */
const TOKENS_PER_TERM = 1_000;

const termSchema: z.ZodType<TermRow> = z.object({
  term: z.number().int().nonnegative().max(MAX_TERM),
  holder: z.string(),
  commitNumber: z.number().int().nonnegative(),
  keepsLeaseBounds: z.boolean().optional(),
  runRange: z.number().int().positive().max(MAX_TERM).optional(),
  fencesProcesses: z.boolean().optional(),
});

/** A commit that is rejected has not taken effect, or does so before the next one. */
export type CommitOutcome = 'committed' | 'superseded' | 'rejected';

/** Changes of one commit, besides the term row. */
export interface CommitChanges {
  readonly writes: readonly RowWrite[];
  readonly removals: readonly RowAddress[];
}

/** What is known of the previous term besides its row. */
export interface PreviousTerm {
  /** Number of the term, in case its row cannot be read. */
  readonly minTerm: number;
  /**
   * Status row as it was read before the term row, if there was one. The new term
   * begins only if it has not been written since.
   */
  readonly statusRow: StoredRow | undefined;
  /** Monotonic time at which the read of the term row was sent. */
  readonly sentMs: number;
}

export interface CommitLogOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly holder: string;
}

/** Initial delay before a commit without a response is repeated. */
const INITIAL_RETRY_MS = 30;

/** Maximum delay between two attempts. Bounds the delay after an outage of the store. */
const MAX_RETRY_MS = 200;

/**
 * Attempts after which a transaction counts as rejected if the responses leave open
 * whether it was applied. Such a response may also come from a failure that passes.
 */
const MAX_UNCLEAR_REJECTIONS = 3;

/** Maximum number of rows in one transaction besides the term row. */
export const MAX_COMMIT_ROWS = 98;

const TERM_ADDRESS: RowAddress = {
  table: TERM_TABLE,
  part: COORDINATOR_PART,
  key: SINGLE_ROW_KEY,
};

/**
 * Commits one transaction at a time. Each one is conditional on the version that
 * the previous one gave to the term row, so that a delayed or repeated
 * transaction finds another version and has no effect.
 */
export class CommitLog {
  private commitNumber = 0;
  /** Numbers of rejected commits that may have taken effect since the last confirmed one. */
  private readonly unclearCommitNumbers = new Set<number>();
  private isClosed = false;
  private lastReceipt: {storeMs: number; receivedMs: number} | undefined;
  private lastConfirmedSendMs = -Infinity;
  /** Last time of the store whose call was sent at a known monotonic time. */
  private lastStoreTime: {storeMs: number; sentMs: number} | undefined;
  private areLeaseBoundsKept: boolean;
  private areProcessesFenced: boolean;

  private constructor(
    private readonly options: CommitLogOptions,
    readonly term: number,
    /** Position of the range of run numbers of the term. */
    readonly runRange: number,
    private termVersion: number,
    private readonly predecessor: TermRow | undefined,
    private readonly previous: PreviousTerm | undefined,
    /** Whether no term has left a row, so that no worker can have been called before. */
    readonly isFirstTerm: boolean,
  ) {
    this.areLeaseBoundsKept = this.hasPredecessorKeptLeaseBounds();
    this.areProcessesFenced = this.hasPredecessorFencedProcesses();
  }

  /**
   * Creates the log of a new term. The term begins with its first commit.
   * @param options - Store, clock and holder.
   * @param snapshot - Term row as `readTerm` returned it.
   * @param previous - What else is known of the previous term.
   */
  static create(
    options: CommitLogOptions,
    snapshot: RowSnapshot,
    previous?: PreviousTerm,
  ): CommitLog {
    const predecessor = CommitLog.readTermRow(snapshot).unwrapOr(undefined);
    const minTerm = previous?.minTerm ?? 0;
    const previousNumber = Math.max(predecessor?.term ?? 0, minTerm);
    const row = snapshot.rows.at(0);
    const version = row?.version ?? ABSENT_VERSION;
    const log = new CommitLog(
      options,
      previousNumber + TOKENS_PER_TERM,
      (predecessor?.runRange ?? previousNumber) + 1,
      version,
      predecessor,
      previous,
      row === undefined && previous?.statusRow === undefined,
    );
    const {storeMs} = snapshot;
    if (previous !== undefined)
      log.lastStoreTime = {storeMs, sentMs: previous.sentMs};
    log.recordStoreTime(storeMs);
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
   * Gets the current term; 0 before the first one.
   * @param snapshot - Term row as `readTerm` returned it.
   */
  static getTerm(snapshot: RowSnapshot): Result<number, InvalidInputError> {
    return CommitLog.readTermRow(snapshot).map(row => row?.term ?? 0);
  }

  private static readTermRow({
    rows,
  }: RowSnapshot): Result<TermRow | undefined, InvalidInputError> {
    const row = rows.at(0);
    if (row === undefined) return ok(undefined);
    return decodeTermRow(row.value);
  }

  /**
   * Declares that the stored bounds of leases hold for this term: those that an
   * earlier build did not respect have been removed.
   */
  declareLeaseBoundsKept(): void {
    this.areLeaseBoundsKept = true;
  }

  /** Gets the lowest fencing token of the term, above all those of earlier terms. */
  getFirstFencingToken(): number {
    return this.term - TOKENS_PER_TERM + 1;
  }

  /**
   * Declares that each stored run was placed on a process that rejects all calls to the
   * previous ones, and that the end of the leases of these calls is stored with it.
   */
  declareProcessesFenced(): void {
    this.areProcessesFenced = true;
  }

  /** Checks whether the stored runs of earlier terms tell which processes were fenced. */
  hasPredecessorFencedProcesses(): boolean {
    return this.predecessor?.fencesProcesses ?? this.isFirstTerm;
  }

  /** Checks whether the stored bounds of leases held for the previous term. */
  hasPredecessorKeptLeaseBounds(): boolean {
    return this.predecessor?.keepsLeaseBounds ?? false;
  }

  /**
   * Gets the time of the store by which all leases of the previous term and of earlier
   * ones have expired, or `undefined` if its status did not declare one.
   */
  getPreviousLeaseEndStoreMs(): number | undefined {
    const row = this.previous?.statusRow;
    if (row === undefined || this.predecessor === undefined) return undefined;
    const status = decodeCoordinatorStatus(row.value).unwrapOr(undefined);
    if (status?.term !== this.predecessor.term) return undefined;
    return status.leaseEndStoreMs;
  }

  /** Gets the maximum size of the value of a row, in bytes. */
  getMaxRowBytes(): number {
    return this.options.store.getMaxRowBytes();
  }

  /** Gets the monotonic time at which the last confirmed commit was sent. */
  getLastConfirmedSendMs(): number {
    return this.lastConfirmedSendMs;
  }

  /**
   * Gets the version of the last transaction of the term. All rows that it wrote
   * have this version.
   */
  getVersion(): number {
    return this.termVersion;
  }

  /**
   * Records that the term held when a write outside of this log was executed.
   * @param sentMs - Monotonic time at which the write was sent.
   * @param storeMs - Time of the store in its response.
   */
  confirmTerm(sentMs: number, storeMs: number): void {
    this.lastConfirmedSendMs = Math.max(this.lastConfirmedSendMs, sentMs);
    this.lastStoreTime = {storeMs, sentMs};
    this.recordStoreTime(storeMs);
  }

  /**
   * Estimates the current time of the store from its last response; at most the
   * actual time.
   */
  getStoreMs(): number {
    if (this.lastReceipt === undefined) return 0;
    const {storeMs, receivedMs} = this.lastReceipt;
    return storeMs + this.options.clock.getMonotonicMs() - receivedMs;
  }

  /**
   * Gets the latest time that the store may have now, or `undefined` if it is not known.
   */
  getMaxStoreMs(): number | undefined {
    if (this.lastStoreTime === undefined) return undefined;
    const {storeMs, sentMs} = this.lastStoreTime;
    return storeMs + this.options.clock.getMonotonicMs() - sentMs;
  }

  /** Closes the log. A commit in progress returns `superseded`. */
  close(): void {
    this.isClosed = true;
  }

  /**
   * Commits changes. Repeats the transaction during outages of the store until
   * the outcome is known, but not if the store rejects it.
   * @param changes - At most `MAX_COMMIT_ROWS` rows of the coordinator's part.
   * @param maxAttempts - Attempts after which the commit counts as superseded.
   */
  async commit(
    changes: CommitChanges,
    maxAttempts = Infinity,
  ): Promise<CommitOutcome> {
    this.commitNumber++;
    let retryMs = INITIAL_RETRY_MS;
    let unclearRejections = 0;
    for (let attempt = 1; !this.isClosed; attempt++) {
      const sentMs = this.options.clock.getMonotonicMs();
      const outcome = await this.send(changes);
      if (outcome.isOk()) return this.recordConfirmation(outcome.value, sentMs);
      const {error} = outcome;
      if (error.kind === 'row-conflict') {
        const own = this.findOwnCommit(error.rows);
        if (own === undefined) return 'superseded';
        this.termVersion = own.version;
        this.unclearCommitNumbers.clear();
        this.lastConfirmedSendMs = Math.max(this.lastConfirmedSendMs, sentMs);
        if (own.commitNumber === this.commitNumber) return 'committed';
        // A rejected commit had taken effect; this one follows it.
        continue;
      }
      if (error.kind === 'row-rejection') {
        unclearRejections++;
        if (
          !error.mayHaveTakenEffect ||
          unclearRejections >= MAX_UNCLEAR_REJECTIONS
        ) {
          // An earlier attempt may have got no response.
          this.unclearCommitNumbers.add(this.commitNumber);
          return 'rejected';
        }
      }
      if (attempt >= maxAttempts) return 'superseded';
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
      keepsLeaseBounds: this.areLeaseBoundsKept,
      runRange: this.runRange,
      fencesProcesses: this.areProcessesFenced,
    };
    return this.options.store.commit({
      conditions: [
        {...TERM_ADDRESS, version: this.termVersion},
        ...this.getStatusConditions(),
      ],
      writes: [
        {...TERM_ADDRESS, value: encodeRowValue(row)},
        ...changes.writes,
      ],
      removals: changes.removals,
    });
  }

  /**
   * The first commit of a term replaces the status that was read, and no later one: its
   * writer may have granted leases for which the one that was read does not account.
   */
  private getStatusConditions(): RowCondition[] {
    if (this.commitNumber > 1 || this.previous === undefined) return [];
    const version = this.previous.statusRow?.version ?? ABSENT_VERSION;
    return [{...STATUS_ADDRESS, version}];
  }

  private recordConfirmation(
    receipt: RowReceipt,
    sentMs: number,
  ): CommitOutcome {
    this.termVersion = receipt.version;
    this.unclearCommitNumbers.clear();
    this.confirmTerm(sentMs, receipt.storeMs);
    return 'committed';
  }

  private recordStoreTime(storeMs: number): void {
    const receivedMs = this.options.clock.getMonotonicMs();
    this.lastReceipt = {storeMs, receivedMs};
  }

  /**
   * Finds the term row among conflicting rows if an earlier attempt wrote it whose
   * response was lost, or a commit that was rejected. A row that cannot be read was
   * not: the term ends, as another coordinator may have written before it was replaced.
   */
  private findOwnCommit(
    rows: readonly StoredRow[],
  ): {commitNumber: number; version: number} | undefined {
    const row = rows.find(({table}) => table === TERM_TABLE);
    if (row === undefined) return undefined;
    const stored = decodeTermRow(row.value).unwrapOr(undefined);
    if (stored?.term !== this.term || stored.holder !== this.options.holder)
      return undefined;
    const {commitNumber} = stored;
    const isOwn =
      commitNumber === this.commitNumber ||
      this.unclearCommitNumbers.has(commitNumber);
    return isOwn ? {commitNumber, version: row.version} : undefined;
  }
}

function decodeTermRow(value: Buffer): Result<TermRow, InvalidInputError> {
  return decodeRowValue('term row', termSchema, value);
}
