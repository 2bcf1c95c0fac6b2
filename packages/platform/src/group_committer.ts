/** Writes many independent rows in few transactions. */

import {Clock} from '@mustardlug/base/clock';
import {SettledTable} from './settled_table.js';
import {TableOperation, TableService} from './table_service.js';

/** Outcome of one write of a group. */
export type WriteOutcome =
  | {readonly kind: 'written'; readonly revision: number}
  /** Another process changed the row first. */
  | {readonly kind: 'conflict'}
  /** The row may or may not have been written; read it before relying on either. */
  | {readonly kind: 'unavailable'; readonly reason: string};

/** Operations that must take effect together, the first of which is a put. */
export type WriteUnit = readonly [
  Extract<TableOperation, {kind: 'put'}>,
  ...TableOperation[],
];

/** Options of a group committer. */
export interface GroupCommitterOptions {
  readonly table: TableService;
  readonly settledTable: SettledTable;
  readonly clock: Clock;
  /** Shortest time between the starts of two transactions of this process. */
  readonly commitIntervalMs: number;
}

interface WaitingUnit {
  readonly unit: WriteUnit;
  readonly settle: (outcome: WriteOutcome) => void;
}

const MAX_GROUP_OPERATIONS = 250;
/** Time after a failure in which the service counts as down. */
const DOWN_MS = 1_000;

/** Collects writes and commits them together, one transaction at a time. */
export class GroupCommitter {
  private waiting: WaitingUnit[] = [];
  private isCommitting = false;
  private lastCommitMs = -Infinity;
  private transactionCount = 0;
  private downUntilMs = -Infinity;

  private constructor(private readonly options: GroupCommitterOptions) {}

  /**
   * Creates a committer.
   * @param options - Table, clock and interval.
   */
  static create(options: GroupCommitterOptions): GroupCommitter {
    return new GroupCommitter(options);
  }

  /**
   * Checks whether the table service failed a moment ago. Callers that can do
   * without a write need not wait then; one write in each interval goes through.
   */
  isDown(): boolean {
    return this.options.clock.getMonotonicMs() < this.downUntilMs;
  }

  /** Gets the number of transactions that were sent. */
  getTransactionCount(): number {
    return this.transactionCount;
  }

  /**
   * Writes a unit with the next group.
   * @param unit - Operations that belong together.
   */
  write(unit: WriteUnit): Promise<WriteOutcome> {
    return new Promise(resolve => {
      this.waiting.push({unit, settle: resolve});
      void this.commitGroups();
    });
  }

  private async commitGroups(): Promise<void> {
    if (this.isCommitting) return;
    this.isCommitting = true;
    while (this.waiting.length > 0) {
      await this.waitForInterval();
      await this.commitGroup(this.takeGroup());
    }
    this.isCommitting = false;
  }

  private async waitForInterval(): Promise<void> {
    const {clock, commitIntervalMs} = this.options;
    const waitMs =
      this.lastCommitMs + commitIntervalMs - clock.getMonotonicMs();
    // Even without a wait, the writes of this turn of the loop join the group.
    await clock.sleep(Math.max(0, waitMs));
    this.lastCommitMs = clock.getMonotonicMs();
  }

  /** Takes units that touch different rows; a transaction names a row once. */
  private takeGroup(): WaitingUnit[] {
    const rowKeys = new Set<string>();
    const group: WaitingUnit[] = [];
    const rest: WaitingUnit[] = [];
    for (const waiting of this.waiting) {
      const keys = waiting.unit.map(operation => operation.key);
      const isFull = rowKeys.size + keys.length > MAX_GROUP_OPERATIONS;
      const isShared = keys.some(key => rowKeys.has(key));
      if (group.length > 0 && (isFull || isShared)) {
        rest.push(waiting);
        continue;
      }
      for (const key of keys) rowKeys.add(key);
      group.push(waiting);
    }
    this.waiting = rest;
    return group;
  }

  private async commitGroup(group: readonly WaitingUnit[]): Promise<void> {
    const operations = group.flatMap(waiting => waiting.unit);
    const token = group[0].unit[0].value.writeToken;
    this.transactionCount++;
    const outcome = await this.options.settledTable.commit(token, operations);
    if (outcome.isOk()) {
      const {revision} = outcome.value;
      for (const waiting of group) waiting.settle({kind: 'written', revision});
      return;
    }
    if (outcome.error.kind === 'unavailable') {
      const {clock} = this.options;
      this.downUntilMs = clock.getMonotonicMs() + DOWN_MS;
      const reason = outcome.error.message;
      // What waits behind the group has not been sent; it need not wait longer.
      for (const waiting of [...group, ...this.waiting.splice(0)]) {
        waiting.settle({kind: 'unavailable', reason});
      }
      return;
    }
    if (group.length === 1) {
      group[0].settle(await this.settleConflict(group[0].unit));
      return;
    }
    // One conflicting row fails the whole group; halving finds it in few transactions.
    const middle = group.length >> 1;
    await this.commitGroup(group.slice(0, middle));
    await this.commitGroup(group.slice(middle));
  }

  /** A conflict is this unit's own earlier write if the row carries its token. */
  private async settleConflict(unit: WriteUnit): Promise<WriteOutcome> {
    const [first] = unit;
    const row = await this.options.table.getRow(first.key);
    if (row.isErr()) {
      return {kind: 'unavailable', reason: row.error.message};
    }
    if (row.value?.value.writeToken !== first.value.writeToken) {
      return {kind: 'conflict'};
    }
    return {kind: 'written', revision: row.value.revision};
  }
}
