/** In-memory row store with partitions (`part`), a change feed and fault injection. */

import {Clock, Timer} from '@mustardlug/base/clock';
import {
  createRefusedError,
  createUnavailableError,
  UnavailableError,
} from '@mustardlug/base/errors';
import {
  ChangeRequest,
  HistoryGoneError,
  RowAddress,
  RowChanges,
  RowCommitError,
  RowRange,
  RowReceipt,
  RowRejectionError,
  RowSnapshot,
  RowStore,
  RowTransaction,
  StoredRow,
} from '@mustardlug/platform/row_store';
import {err, ok, Result} from 'neverthrow';
import {NodeClock} from './node_clock.js';
import {
  findExceededLimit,
  getWireBytes,
  MAX_CALL_BYTES,
  MAX_TABLES,
} from './row_store_limits.js';

/** Store faults that affect one node or all nodes; may be changed at any time. */
export interface RowStoreFaults {
  /** Delay of each call. */
  delayMs: number;
  /** Whether calls are refused without effect. */
  isRefusing: boolean;
  /** Whether calls get no response and have no effect. */
  isSilent: boolean;
  /** Number of next writes that take effect but whose response is lost. */
  loseNextAnswers: number;
  /** Number of next writes that take effect only after `lateMs` and get no response. */
  applyNextLate: number;
  /** Delay of the writes that `applyNextLate` counts. */
  lateMs: number;
  /**
   * Bandwidth for writes of the node, in bytes per second. Concurrent writes share
   * it in the order in which they are sent. A write that takes longer than the
   * time limit of the client is executed, but its response is not waited for.
   */
  writeBytesPerSecond: number;
  /** Time by which responses of the change feed arrive late, by table. */
  readonly feedDelaysMs: Map<string, number>;
  /** Determines which transactions are rejected although they keep the limits of the store. */
  getRejection?: (transaction: RowTransaction) => RowRejection | undefined;
}

/**
 * How a transaction is rejected: without effect, or with a response that leaves open
 * whether it was applied.
 */
export type RowRejection =
  'not-applied' | 'unknown-not-applied' | 'unknown-applied';

/** Creates fault settings without active faults. */
export function createDefaultRowStoreFaults(): RowStoreFaults {
  return {
    delayMs: 0,
    isRefusing: false,
    isSilent: false,
    loseNextAnswers: 0,
    applyNextLate: 0,
    lateMs: 2_000,
    writeBytesPerSecond: Infinity,
    feedDelaysMs: new Map(),
  };
}

/** A change of a row in the history. */
interface HistoryEntry {
  readonly address: RowAddress;
  /** Absent when the row was removed. */
  readonly row: StoredRow | undefined;
  readonly version: number;
}

/** Time after which a call to an unresponsive store times out. */
const CLIENT_TIMEOUT_MS = 700;

/** Latency of a write. */
const WRITE_LATENCY_MS = 5;

/** Latency of a read. */
const READ_LATENCY_MS = 2;

const MAX_ROWS_PER_READ = 500;

/** Rows and change history of all tables. */
export class MemoryRowStore {
  /** Faults that affect all nodes. */
  readonly faults = createDefaultRowStoreFaults();
  private readonly rows = new Map<string, StoredRow>();
  private readonly tables = new Set<string>();
  private history: HistoryEntry[] = [];
  private version = 0;
  /** Version up to which the history has been discarded. */
  private truncatedVersion = 0;
  private readonly waiters = new Set<() => void>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an empty store.
   * @param clock - Clock for delays.
   */
  static create(clock: Clock): MemoryRowStore {
    return new MemoryRowStore(clock);
  }

  /**
   * Creates a client of one node.
   * @param faults - Faults that affect only this client, besides those of the store.
   * @param nodeClock - Clock of the node, which gets no responses while it is suspended.
   */
  createClient(
    faults = createDefaultRowStoreFaults(),
    nodeClock = NodeClock.create(this.clock),
  ): RowStore {
    return new MemoryRowStoreClient(this, this.clock, faults, nodeClock);
  }

  /**
   * Discards the change history, so that clients of the change feed have to
   * reread their tables.
   */
  truncateHistory(): void {
    this.history = [];
    this.truncatedVersion = this.version;
    this.notifyWaiters();
  }

  /**
   * Writes a row immediately, as another client of the platform would.
   * @param address - Row to write.
   * @param value - Value that can be serialized as JSON.
   */
  put(address: RowAddress, value: unknown): void {
    const bytes = Buffer.isBuffer(value)
      ? value
      : Buffer.from(JSON.stringify(value));
    this.apply({
      conditions: [],
      writes: [{...address, value: bytes}],
      removals: [],
    });
  }

  /**
   * Removes a row immediately.
   * @param address - Row to remove.
   */
  remove(address: RowAddress): void {
    this.apply({conditions: [], writes: [], removals: [address]});
  }

  /**
   * Gets the rows of a table, for assertions in tests.
   * @param table - Name of the table.
   */
  getTableRows(table: string): StoredRow[] {
    return [...this.rows.values()].filter(row => row.table === table);
  }

  /** @internal */
  apply(transaction: RowTransaction): Result<RowReceipt, RowCommitError> {
    const excess =
      findExceededLimit(transaction) ?? this.findExcessTables(transaction);
    if (excess !== undefined) return err(createRejection(excess, false));
    const current = transaction.conditions.map(condition =>
      this.rows.get(getRowKey(condition)),
    );
    const isConflict = transaction.conditions.some(
      (condition, index) =>
        (current[index]?.version ?? 0) !== condition.version,
    );
    if (isConflict) {
      return err({
        kind: 'row-conflict',
        message: 'another process changed the row; read it again',
        rows: current.filter(row => row !== undefined),
      });
    }
    this.version++;
    const {version} = this;
    for (const write of transaction.writes) {
      const row = {...write, version};
      this.rows.set(getRowKey(write), row);
      this.tables.add(write.table);
      this.history.push({address: write, row, version});
    }
    for (const address of transaction.removals) {
      this.rows.delete(getRowKey(address));
      this.history.push({address, row: undefined, version});
    }
    this.notifyWaiters();
    return ok({version, storeMs: this.clock.getMonotonicMs()});
  }

  /** @internal */
  read(range: RowRange): RowSnapshot {
    const limit = Math.min(range.limit ?? MAX_ROWS_PER_READ, MAX_ROWS_PER_READ);
    const matching = this.getTableRows(range.table)
      .filter(row => row.part === range.part)
      .filter(row => row.key >= (range.fromKey ?? ''))
      .filter(row => range.toKey === undefined || row.key < range.toKey)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const rows = matching.slice(0, countPageRows(matching, limit));
    return {
      rows,
      hasMore: matching.length > rows.length,
      version: this.version,
      storeMs: this.clock.getMonotonicMs(),
    };
  }

  /** @internal */
  readParts(table: string): string[] {
    return [...new Set(this.getTableRows(table).map(row => row.part))].sort();
  }

  /** @internal */
  readChanges(
    table: string,
    afterVersion: number,
  ): Result<RowChanges, HistoryGoneError> {
    if (afterVersion < this.truncatedVersion) {
      const message = `the history of ${table} is gone; read the table again`;
      return err({kind: 'history-gone', message});
    }
    const latest = new Map<string, HistoryEntry>();
    // Versions only rise, so that the changes that are asked for are the last ones.
    for (let index = this.history.length - 1; index >= 0; index--) {
      const entry = this.history[index];
      if (entry.version <= afterVersion) break;
      const key = getRowKey(entry.address);
      if (entry.address.table === table && !latest.has(key))
        latest.set(key, entry);
    }
    const entries = [...latest.values()].reverse();
    return ok({
      rows: entries.map(entry => entry.row).filter(row => row !== undefined),
      removed: entries
        .filter(entry => entry.row === undefined)
        .map(entry => entry.address),
      version: this.version,
      storeMs: this.clock.getMonotonicMs(),
    });
  }

  /** @internal */
  waitForChange(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      let timer: Timer | undefined = undefined;
      const notify = () => {
        timer?.cancel();
        this.waiters.delete(notify);
        resolve();
      };
      this.waiters.add(notify);
      timer = this.clock.setTimer(waitMs, notify);
    });
  }

  private findExcessTables({writes}: RowTransaction): string | undefined {
    const added = new Set(writes.map(({table}) => table));
    for (const table of this.tables) added.delete(table);
    const count = this.tables.size + added.size;
    if (count <= MAX_TABLES) return undefined;
    return `${count} tables, at most ${MAX_TABLES} are kept`;
  }

  private notifyWaiters(): void {
    for (const notify of [...this.waiters]) notify();
  }
}

/** Client of one node, subject to the faults of the node and of the store. */
class MemoryRowStoreClient extends RowStore {
  /** Time at which all writes that were sent so far have left the node. */
  private linkFreeMs = 0;

  constructor(
    private readonly store: MemoryRowStore,
    private readonly clock: Clock,
    private readonly clientFaults: RowStoreFaults,
    private readonly nodeClock: NodeClock,
  ) {
    super();
  }

  override async commit(
    transaction: RowTransaction,
  ): Promise<Result<RowReceipt, RowCommitError>> {
    const transferMs = this.reserveLink(transaction);
    if (transferMs > CLIENT_TIMEOUT_MS) {
      this.clock.setTimer(transferMs, () => this.store.apply(transaction));
      await this.clock.sleep(CLIENT_TIMEOUT_MS);
      return err(createNoResponseError(true));
    }
    if (transferMs > 0) await this.clock.sleep(transferMs);
    const outcome = await this.commitOnStore(transaction);
    await this.waitUntilResumed();
    return outcome;
  }

  override async getRows(
    range: RowRange,
  ): Promise<Result<RowSnapshot, UnavailableError>> {
    const failure = await this.simulateCall(READ_LATENCY_MS);
    const snapshot = this.store.read(range);
    await this.waitUntilResumed();
    if (failure !== undefined) return err(createNoResponseError(false));
    return ok(snapshot);
  }

  override async getParts(
    table: string,
  ): Promise<Result<string[], UnavailableError>> {
    const failure = await this.simulateCall(READ_LATENCY_MS);
    const parts = this.store.readParts(table);
    await this.waitUntilResumed();
    if (failure !== undefined) return err(createNoResponseError(false));
    return ok(parts);
  }

  override async getChanges(
    request: ChangeRequest,
  ): Promise<Result<RowChanges, HistoryGoneError | UnavailableError>> {
    const outcome = await this.pollChanges(request);
    const delayMs = this.getFeedDelayMs(request.table);
    if (delayMs > 0) await this.clock.sleep(delayMs);
    await this.waitUntilResumed();
    return outcome;
  }

  /** Reserves the link of the node for a write, and returns the time until it has been sent. */
  private reserveLink({writes}: RowTransaction): number {
    const nowMs = this.clock.getMonotonicMs();
    let sizeBytes = 0;
    for (const {value} of writes) sizeBytes += value.length;
    const sendMs = (sizeBytes * 1_000) / this.clientFaults.writeBytesPerSecond;
    this.linkFreeMs = Math.max(nowMs, this.linkFreeMs) + sendMs;
    return this.linkFreeMs - nowMs;
  }

  private getFeedDelayMs(table: string): number {
    const delaysMs = [this.clientFaults, this.store.faults].map(
      faults => faults.feedDelaysMs.get(table) ?? 0,
    );
    return Math.max(...delaysMs);
  }

  private async waitUntilResumed(): Promise<void> {
    if (!this.nodeClock.isRunning()) await this.nodeClock.sleep(0);
  }

  private async commitOnStore(
    transaction: RowTransaction,
  ): Promise<Result<RowReceipt, RowCommitError>> {
    const failure = await this.simulateCall(WRITE_LATENCY_MS);
    if (failure === 'refused')
      return err(createRefusedError('the store refuses writes; try again'));
    if (failure === 'silent') return err(createNoResponseError(true));
    if (this.consumeFault('applyNextLate')) {
      const lateMs = this.getFault('lateMs');
      this.clock.setTimer(lateMs, () => this.store.apply(transaction));
      return err(createNoResponseError(true));
    }
    const rejection = this.getRejection(transaction);
    if (rejection === 'unknown-applied') {
      const outcome = this.store.apply(transaction);
      if (outcome.isErr()) return outcome;
    }
    if (rejection !== undefined) {
      const mayHaveTakenEffect = rejection !== 'not-applied';
      return err(createRejection('an injected fault', mayHaveTakenEffect));
    }
    const outcome = this.store.apply(transaction);
    if (this.consumeFault('loseNextAnswers'))
      return err(createNoResponseError(true));
    return outcome;
  }

  private async pollChanges(
    request: ChangeRequest,
  ): Promise<Result<RowChanges, HistoryGoneError | UnavailableError>> {
    const deadlineMs = this.clock.getMonotonicMs() + request.waitMs;
    for (;;) {
      const failure = await this.simulateCall(READ_LATENCY_MS);
      if (failure !== undefined) return err(createNoResponseError(false));
      const changes = this.store.readChanges(
        request.table,
        request.afterVersion,
      );
      if (changes.isErr()) return changes;
      const {rows, removed} = changes.value;
      const remainingMs = deadlineMs - this.clock.getMonotonicMs();
      if (rows.length + removed.length > 0 || remainingMs <= 0) return changes;
      await this.store.waitForChange(remainingMs);
    }
  }

  /** Waits for the latency of a call and returns the fault that makes it fail, if any. */
  private async simulateCall(
    latencyMs: number,
  ): Promise<'refused' | 'silent' | undefined> {
    if (this.hasFault('isSilent')) {
      await this.clock.sleep(CLIENT_TIMEOUT_MS);
      return 'silent';
    }
    await this.clock.sleep(latencyMs + this.getFault('delayMs'));
    return this.hasFault('isRefusing') ? 'refused' : undefined;
  }

  private getRejection(transaction: RowTransaction): RowRejection | undefined {
    return (
      this.clientFaults.getRejection?.(transaction) ??
      this.store.faults.getRejection?.(transaction)
    );
  }

  private hasFault(name: 'isSilent' | 'isRefusing'): boolean {
    return this.store.faults[name] || this.clientFaults[name];
  }

  private getFault(name: 'delayMs' | 'lateMs'): number {
    return Math.max(this.store.faults[name], this.clientFaults[name]);
  }

  /** Decrements the counter of a fault and returns whether the fault applies. */
  private consumeFault(name: 'loseNextAnswers' | 'applyNextLate'): boolean {
    for (const faults of [this.clientFaults, this.store.faults]) {
      if (faults[name] === 0) continue;
      faults[name]--;
      return true;
    }
    return false;
  }
}

function createNoResponseError(mayHaveTakenEffect: boolean): UnavailableError {
  return createUnavailableError(
    'the store did not answer; try again',
    mayHaveTakenEffect,
  );
}

function createRejection(
  reason: string,
  mayHaveTakenEffect: boolean,
): RowRejectionError {
  const message = `the store rejected a write: ${reason}; change the write`;
  return {kind: 'row-rejection', message, mayHaveTakenEffect};
}

/** Counts the first rows that fit into a page, one at least if there are any. */
function countPageRows(rows: readonly StoredRow[], limit: number): number {
  let count = 0;
  let pageBytes = 0;
  for (const row of rows) {
    pageBytes += getWireBytes(row);
    if (count >= limit || (count > 0 && pageBytes > MAX_CALL_BYTES)) break;
    count++;
  }
  return count;
}

function getRowKey({table, part, key}: RowAddress): string {
  return `${table}\n${part}\n${key}`;
}
