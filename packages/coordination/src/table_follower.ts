/** Passes the contents of a table to a listener: first a snapshot, then its changes. */

import {Clock} from '@mustardlug/base/clock';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {runGuarded} from '@mustardlug/telemetry/guarded_call';
import {
  getPartRows,
  getTableRows,
  RowChanges,
  RowStore,
  StoredRow,
  TableSnapshot,
} from '@mustardlug/platform/row_store';

/** Receives the contents of a table and the availability of the store. */
export interface TableListener {
  /**
   * Receives all rows, which replace everything received before.
   * @param rows - Rows of the table.
   * @param storeMs - Time of the store when the first of them was read, in milliseconds.
   */
  onSnapshot(rows: readonly StoredRow[], storeMs: number): void;
  /**
   * Receives the changes since the last call. Also called without rows when a
   * wait ended without changes.
   * @param changes - Changed and removed rows.
   */
  onChanges(changes: RowChanges): void;
  /** Called when the store stops responding. The received rows may be out of date. */
  onStoreLost(reason: string): void;
  /** Called when the store responds again. */
  onStoreRegained(): void;
}

export interface TableFollowerOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly table: string;
  /** The only part to read for a snapshot; all parts if absent. */
  readonly part?: string;
  readonly listener: TableListener;
  readonly events: EventRecorder;
  /**
   * Maximum time that one call waits for changes. Bounds the time until a dead
   * connection is detected.
   */
  readonly waitMs: number;
  /**
   * The same for a call after a failed one; `waitMs` by default. With 0, the age of the
   * contents is known as soon as the store responds again, although nothing changes.
   */
  readonly retryWaitMs?: number;
  /**
   * Returns the pause between two calls, for tables whose changes need not be
   * received immediately.
   */
  readonly getPauseMs?: () => number;
}

/** Delay before a failed call is repeated. */
const READ_RETRY_MS = 100;

/** Follows the changes of one table until it is stopped. */
export class TableFollower {
  private isStopped = false;
  private outageStartMs: number | undefined;
  private version: number | undefined;
  /** Monotonic time at which the last successful call was sent. */
  private lastSentMs = -Infinity;

  private constructor(private readonly options: TableFollowerOptions) {}

  /**
   * Creates a follower; `run` starts it.
   * @param options - Store, table and listener.
   */
  static create(options: TableFollowerOptions): TableFollower {
    return new TableFollower(options);
  }

  /** Follows the table until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      if (this.version === undefined) await this.readSnapshot();
      else await this.readChanges(this.version);
    }
  }

  /** Reads a snapshot once, and returns whether that succeeded. */
  async readSnapshot(): Promise<boolean> {
    const {store, clock, table, part} = this.options;
    const sentMs = clock.getMonotonicMs();
    const snapshot =
      part === undefined
        ? await getTableRows(store, table)
        : await getPartRows(store, table, part);
    if (this.isStopped) return false;
    if (snapshot.isErr()) {
      await this.handleFailure(snapshot.error.message);
      return false;
    }
    this.applySnapshot(snapshot.value, sentMs);
    return true;
  }

  /** Gets the duration of the current outage of the store, or `undefined` if there is none. */
  getOutageMs(): number | undefined {
    if (this.outageStartMs === undefined) return undefined;
    return this.options.clock.getMonotonicMs() - this.outageStartMs;
  }

  /**
   * Gets the maximum age of the received contents: the time since the last
   * successful call was sent. Infinite before the first one.
   */
  getMaxAgeMs(): number {
    return this.options.clock.getMonotonicMs() - this.lastSentMs;
  }

  /** Stops following the table. The listener is not called afterwards. */
  stop(): void {
    this.isStopped = true;
  }

  private applySnapshot(snapshot: TableSnapshot, sentMs: number): void {
    this.recordResponse(sentMs);
    this.version = snapshot.version;
    const {rows, storeMs} = snapshot;
    this.notify(() => this.options.listener.onSnapshot(rows, storeMs));
  }

  /** Drops the changes of other parts, which a snapshot does not contain either. */
  private selectPart(changes: RowChanges): RowChanges {
    const {part} = this.options;
    if (part === undefined) return changes;
    return {
      ...changes,
      rows: changes.rows.filter(row => row.part === part),
      removed: changes.removed.filter(address => address.part === part),
    };
  }

  /** Calls the listener. An error must not end the loop that follows the table. */
  private notify(call: () => void): void {
    const {events, table} = this.options;
    runGuarded(events, `a change of ${table}`, call);
  }

  private async readChanges(afterVersion: number): Promise<void> {
    const {store, clock, table, listener} = this.options;
    const sentMs = clock.getMonotonicMs();
    const waitMs = this.getWaitMs();
    const changes = await store.getChanges({table, afterVersion, waitMs});
    if (this.isStopped) return;
    if (changes.isOk()) {
      this.recordResponse(sentMs);
      this.version = Math.max(afterVersion, changes.value.version);
      const own = this.selectPart(changes.value);
      this.notify(() => listener.onChanges(own));
      await this.pauseBetweenCalls();
      return;
    }
    if (changes.error.kind === 'history-gone') {
      this.version = undefined;
      return;
    }
    await this.handleFailure(changes.error.message);
  }

  private getWaitMs(): number {
    const {waitMs, retryWaitMs = waitMs} = this.options;
    return this.outageStartMs === undefined ? waitMs : retryWaitMs;
  }

  private async pauseBetweenCalls(): Promise<void> {
    const pauseMs = this.options.getPauseMs?.() ?? 0;
    if (pauseMs > 0) await this.options.clock.sleep(pauseMs);
  }

  private async handleFailure(reason: string): Promise<void> {
    const {clock, listener} = this.options;
    if (this.outageStartMs === undefined) listener.onStoreLost(reason);
    this.outageStartMs ??= clock.getMonotonicMs();
    await clock.sleep(READ_RETRY_MS);
  }

  private recordResponse(sentMs: number): void {
    this.lastSentMs = sentMs;
    if (this.outageStartMs === undefined) return;
    this.outageStartMs = undefined;
    this.options.listener.onStoreRegained();
  }
}
