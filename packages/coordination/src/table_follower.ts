/** Keeps a reader up to date with a table: a snapshot first, then its changes. */

import {Clock} from '@mustardlug/base/clock';
import {
  getPartRows,
  getTableRows,
  RowChanges,
  RowStore,
  StoredRow,
  TableSnapshot,
} from '@mustardlug/platform/row_store';

/** Receives the contents of a table. */
export interface TableReader {
  /**
   * Receives all rows; replaces everything received before.
   * @param rows - Rows of the table.
   * @param storeMs - Time of the store, when it is known.
   */
  onSnapshot(rows: readonly StoredRow[]): void;
  /**
   * Receives changes since the last call. Called without rows when a wait ended.
   * @param changes - Changed and removed rows.
   */
  onChanges(changes: RowChanges): void;
  /** The store stopped answering; what was received may be out of date. */
  onStoreLost(reason: string): void;
  /** The store answers again. */
  onStoreRegained(): void;
}

/** Options of a table follower. */
export interface TableFollowerOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly table: string;
  /** The only part to read for a snapshot; all parts when absent. */
  readonly part?: string;
  readonly reader: TableReader;
  /** Longest wait of one call; bounds how long a silent connection goes unnoticed. */
  readonly waitMs: number;
  /** Gets the pause between two calls, where changes need not be seen at once. */
  readonly getPauseMs?: () => number;
}

/** Delay before a failed call is repeated. */
const RETRY_MS = 100;

/** Follows one table until it is stopped. */
export class TableFollower {
  private isStopped = false;
  private lostSinceMs: number | undefined;
  private version: number | undefined;

  private constructor(private readonly options: TableFollowerOptions) {}

  /**
   * Creates a follower; `run` starts it.
   * @param options - Store, table and reader.
   */
  static create(options: TableFollowerOptions): TableFollower {
    return new TableFollower(options);
  }

  /** Follows the table until `stop`. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      if (this.version === undefined) await this.readSnapshot();
      else await this.readChanges(this.version);
    }
  }

  /** Reads the snapshot once, and reports whether it succeeded. */
  async readSnapshot(): Promise<boolean> {
    const {store, table, part} = this.options;
    const snapshot =
      part === undefined
        ? await getTableRows(store, table)
        : await getPartRows(store, table, part);
    if (this.isStopped) return false;
    if (snapshot.isErr()) {
      await this.handleFailure(snapshot.error.message);
      return false;
    }
    this.acceptSnapshot(snapshot.value);
    return true;
  }

  /** Gets for how long the store has not answered; undefined while it does. */
  getLostMs(): number | undefined {
    if (this.lostSinceMs === undefined) return undefined;
    return this.options.clock.getMonotonicMs() - this.lostSinceMs;
  }

  /** Stops following; nothing is reported afterwards. */
  stop(): void {
    this.isStopped = true;
  }

  private acceptSnapshot(snapshot: TableSnapshot): void {
    this.noteAnswer();
    this.version = snapshot.version;
    this.options.reader.onSnapshot(snapshot.rows);
  }

  private async readChanges(afterVersion: number): Promise<void> {
    const {store, table, waitMs, reader} = this.options;
    const changes = await store.getChanges({table, afterVersion, waitMs});
    if (this.isStopped) return;
    if (changes.isOk()) {
      this.noteAnswer();
      this.version = Math.max(afterVersion, changes.value.version);
      reader.onChanges(changes.value);
      await this.pause();
      return;
    }
    if (changes.error.kind === 'history-gone') {
      this.version = undefined;
      return;
    }
    await this.handleFailure(changes.error.message);
  }

  private async pause(): Promise<void> {
    const pauseMs = this.options.getPauseMs?.() ?? 0;
    if (pauseMs > 0) await this.options.clock.sleep(pauseMs);
  }

  private async handleFailure(reason: string): Promise<void> {
    const {clock, reader} = this.options;
    if (this.lostSinceMs === undefined) reader.onStoreLost(reason);
    this.lostSinceMs ??= clock.getMonotonicMs();
    await clock.sleep(RETRY_MS);
  }

  private noteAnswer(): void {
    if (this.lostSinceMs === undefined) return;
    this.lostSinceMs = undefined;
    this.options.reader.onStoreRegained();
  }
}
