/** A table service with parts and a feed in memory, with faults that can be set while it runs. */

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
  RowSnapshot,
  RowStore,
  RowTransaction,
  StoredRow,
} from '@mustardlug/platform/row_store';
import {err, ok, Result} from 'neverthrow';

/** Faults that one node, or all of them, meet at the store. */
export interface RowStoreFaults {
  /** Delay of each call. */
  delayMs: number;
  /** Whether calls are refused; nothing is done. */
  isRefusing: boolean;
  /** Whether calls get no answer; nothing is done. */
  isSilent: boolean;
  /** Number of coming writes that are done although their answer is lost. */
  loseNextAnswers: number;
  /** Number of coming writes that are done only after `lateMs`, without an answer. */
  applyNextLate: number;
  lateMs: number;
}

/** Creates faults that do nothing. */
export function createNoRowStoreFaults(): RowStoreFaults {
  return {
    delayMs: 0,
    isRefusing: false,
    isSilent: false,
    loseNextAnswers: 0,
    applyNextLate: 0,
    lateMs: 2_000,
  };
}

/** A change in the history. */
interface HistoryEntry {
  readonly address: RowAddress;
  /** Absent when the row was removed. */
  readonly row: StoredRow | undefined;
  readonly version: number;
}

/** Time after which a client gives up on a silent store. */
const CLIENT_TIMEOUT_MS = 700;

/** Time of one write at the service. */
const WRITE_MS = 5;

/** Time of one read at the service. */
const READ_MS = 2;

const MAX_ROWS = 500;

/** The rows of all tables. */
export class MemoryRowStore {
  /** Faults that all nodes meet. */
  readonly faults = createNoRowStoreFaults();
  private readonly rows = new Map<string, StoredRow>();
  private history: HistoryEntry[] = [];
  private version = 0;
  private historyStart = 0;
  private readonly waiters = new Set<() => void>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an empty store.
   * @param clock - Clock of the delays.
   */
  static create(clock: Clock): MemoryRowStore {
    return new MemoryRowStore(clock);
  }

  /**
   * Creates the client of one node, with faults of its own.
   * @param faults - Faults that only this node meets.
   */
  createClient(faults = createNoRowStoreFaults()): RowStore {
    return new MemoryRowStoreClient(this, this.clock, faults);
  }

  /** Forgets all changes so far, so that feeds must read their tables again. */
  dropHistory(): void {
    this.history = [];
    this.historyStart = this.version;
    this.wakeAll();
  }

  /**
   * Writes a row at once, as another party of the platform would.
   * @param address - Row to write.
   * @param value - Value, as JSON can express it.
   */
  put(address: RowAddress, value: unknown): void {
    const bytes = Buffer.from(JSON.stringify(value));
    this.apply({
      conditions: [],
      writes: [{...address, value: bytes}],
      removals: [],
    });
  }

  /**
   * Removes a row at once.
   * @param address - Row to remove.
   */
  remove(address: RowAddress): void {
    this.apply({conditions: [], writes: [], removals: [address]});
  }

  /**
   * Gets the rows of a table, for checks.
   * @param table - Name of the table.
   */
  getTable(table: string): StoredRow[] {
    return [...this.rows.values()].filter(row => row.table === table);
  }

  /** @internal */
  apply(transaction: RowTransaction): Result<RowReceipt, RowCommitError> {
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
      this.history.push({address: write, row, version});
    }
    for (const address of transaction.removals) {
      this.rows.delete(getRowKey(address));
      this.history.push({address, row: undefined, version});
    }
    this.wakeAll();
    return ok({version, storeMs: this.clock.getMonotonicMs()});
  }

  /** @internal */
  read(range: RowRange): RowSnapshot {
    const limit = Math.min(range.limit ?? MAX_ROWS, MAX_ROWS);
    const matching = this.getTable(range.table)
      .filter(row => row.part === range.part)
      .filter(row => row.key >= (range.fromKey ?? ''))
      .filter(row => range.toKey === undefined || row.key < range.toKey)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return {
      rows: matching.slice(0, limit),
      hasMore: matching.length > limit,
      version: this.version,
      storeMs: this.clock.getMonotonicMs(),
    };
  }

  /** @internal */
  readParts(table: string): string[] {
    return [...new Set(this.getTable(table).map(row => row.part))].sort();
  }

  /** @internal */
  readChanges(
    table: string,
    afterVersion: number,
  ): Result<RowChanges, HistoryGoneError> {
    if (afterVersion < this.historyStart) {
      const message = `the history of ${table} is gone; read the table again`;
      return err({kind: 'history-gone', message});
    }
    const latest = new Map<string, HistoryEntry>();
    for (const entry of this.history) {
      if (entry.version <= afterVersion || entry.address.table !== table)
        continue;
      latest.set(getRowKey(entry.address), entry);
    }
    const entries = [...latest.values()];
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
      const wake = () => {
        timer?.cancel();
        this.waiters.delete(wake);
        resolve();
      };
      this.waiters.add(wake);
      timer = this.clock.setTimer(waitMs, wake);
    });
  }

  private wakeAll(): void {
    for (const wake of [...this.waiters]) wake();
  }
}

/** One node's way to the store. */
class MemoryRowStoreClient extends RowStore {
  constructor(
    private readonly store: MemoryRowStore,
    private readonly clock: Clock,
    private readonly ownFaults: RowStoreFaults,
  ) {
    super();
  }

  override async commit(
    transaction: RowTransaction,
  ): Promise<Result<RowReceipt, RowCommitError>> {
    const refusal = await this.enter(WRITE_MS);
    if (refusal === 'refused')
      return err(createRefusedError('the store refuses writes; try again'));
    if (refusal === 'silent') return err(createLost(true));
    if (this.take('applyNextLate')) {
      const lateMs = this.getFault('lateMs');
      this.clock.setTimer(lateMs, () => this.store.apply(transaction));
      return err(createLost(true));
    }
    const outcome = this.store.apply(transaction);
    if (this.take('loseNextAnswers')) return err(createLost(true));
    return outcome;
  }

  override async getRows(
    range: RowRange,
  ): Promise<Result<RowSnapshot, UnavailableError>> {
    const refusal = await this.enter(READ_MS);
    if (refusal !== undefined) return err(createLost(false));
    return ok(this.store.read(range));
  }

  override async getParts(
    table: string,
  ): Promise<Result<string[], UnavailableError>> {
    const refusal = await this.enter(READ_MS);
    if (refusal !== undefined) return err(createLost(false));
    return ok(this.store.readParts(table));
  }

  override async getChanges(
    request: ChangeRequest,
  ): Promise<Result<RowChanges, HistoryGoneError | UnavailableError>> {
    const endMs = this.clock.getMonotonicMs() + request.waitMs;
    for (;;) {
      const refusal = await this.enter(READ_MS);
      if (refusal !== undefined) return err(createLost(false));
      const changes = this.store.readChanges(
        request.table,
        request.afterVersion,
      );
      if (changes.isErr()) return changes;
      const {rows, removed} = changes.value;
      const leftMs = endMs - this.clock.getMonotonicMs();
      if (rows.length + removed.length > 0 || leftMs <= 0) return changes;
      await this.store.waitForChange(leftMs);
    }
  }

  private async enter(
    serviceMs: number,
  ): Promise<'refused' | 'silent' | undefined> {
    if (this.hasFault('isSilent')) {
      await this.clock.sleep(CLIENT_TIMEOUT_MS);
      return 'silent';
    }
    await this.clock.sleep(serviceMs + this.getFault('delayMs'));
    return this.hasFault('isRefusing') ? 'refused' : undefined;
  }

  private hasFault(name: 'isSilent' | 'isRefusing'): boolean {
    return this.store.faults[name] || this.ownFaults[name];
  }

  private getFault(name: 'delayMs' | 'lateMs'): number {
    return Math.max(this.store.faults[name], this.ownFaults[name]);
  }

  private take(name: 'loseNextAnswers' | 'applyNextLate'): boolean {
    for (const faults of [this.ownFaults, this.store.faults]) {
      if (faults[name] === 0) continue;
      faults[name]--;
      return true;
    }
    return false;
  }
}

function createLost(mayHaveTakenEffect: boolean): UnavailableError {
  return createUnavailableError(
    'the store did not answer; try again',
    mayHaveTakenEffect,
  );
}

function getRowKey({table, part, key}: RowAddress): string {
  return `${table}\n${part}\n${key}`;
}
