/** Group commit: combines independent writes into few transactions. */

import {Clock} from '@mustardlug/base/clock';
import {RetryingCommitter} from './retrying_committer.js';
import {TableOperation, TableService} from './table_service.js';

/** Outcome of one write. */
export type WriteOutcome =
  | {readonly kind: 'written'; readonly revision: number}
  /** Another process has changed the row. */
  | {readonly kind: 'conflict'}
  /** The row may or may not have been written. Read it to find out. */
  | {readonly kind: 'unavailable'; readonly reason: string};

/** Operations that must be committed together. The first one is a put. */
export type WriteUnit = readonly [
  Extract<TableOperation, {kind: 'put'}>,
  ...TableOperation[],
];

/** Options of a group committer. */
export interface GroupCommitterOptions {
  readonly table: TableService;
  readonly retryingCommitter: RetryingCommitter;
  readonly clock: Clock;
  /** Minimum time between the starts of two transactions of this process. */
  readonly commitIntervalMs: number;
}

interface PendingWrite {
  readonly unit: WriteUnit;
  readonly settle: (outcome: WriteOutcome) => void;
}

const MAX_GROUP_OPERATIONS = 250;
/** Period after a failure during which the table service is considered unavailable. */
const UNAVAILABLE_PERIOD_MS = 1_000;

/** Collects writes and commits them in groups, one transaction at a time. */
export class GroupCommitter {
  private pendingWrites: PendingWrite[] = [];
  private isCommitting = false;
  private lastCommitMs = -Infinity;
  private transactionCount = 0;
  private unavailableUntilMs = -Infinity;

  private constructor(private readonly options: GroupCommitterOptions) {}

  /**
   * Creates a committer.
   * @param options - Table, clock and interval.
   */
  static create(options: GroupCommitterOptions): GroupCommitter {
    return new GroupCommitter(options);
  }

  /**
   * Checks whether the table service has failed recently. Callers that can
   * proceed without a write may skip it then. The first write after
   * `UNAVAILABLE_PERIOD_MS` checks the service again.
   */
  isUnavailable(): boolean {
    return this.options.clock.getMonotonicMs() < this.unavailableUntilMs;
  }

  /** Gets the number of sent transactions. */
  getTransactionCount(): number {
    return this.transactionCount;
  }

  /**
   * Adds a write to the next group and waits for its outcome.
   * @param unit - Operations that must be committed together.
   */
  write(unit: WriteUnit): Promise<WriteOutcome> {
    return new Promise(resolve => {
      this.pendingWrites.push({unit, settle: resolve});
      void this.commitGroups();
    });
  }

  private async commitGroups(): Promise<void> {
    if (this.isCommitting) return;
    this.isCommitting = true;
    while (this.pendingWrites.length > 0) {
      await this.waitForInterval();
      await this.commitGroup(this.takeGroup());
    }
    this.isCommitting = false;
  }

  private async waitForInterval(): Promise<void> {
    const {clock, commitIntervalMs} = this.options;
    const waitMs =
      this.lastCommitMs + commitIntervalMs - clock.getMonotonicMs();
    // A sleep of 0 ms lets the other writes of this event loop turn join the group.
    await clock.sleep(Math.max(0, waitMs));
    this.lastCommitMs = clock.getMonotonicMs();
  }

  /** Removes a group of units with disjoint rows. A transaction may contain each row only once. */
  private takeGroup(): PendingWrite[] {
    const rowKeys = new Set<string>();
    const group: PendingWrite[] = [];
    const rest: PendingWrite[] = [];
    for (const write of this.pendingWrites) {
      const keys = write.unit.map(operation => operation.key);
      const isFull = rowKeys.size + keys.length > MAX_GROUP_OPERATIONS;
      const isOverlapping = keys.some(key => rowKeys.has(key));
      if (group.length > 0 && (isFull || isOverlapping)) {
        rest.push(write);
        continue;
      }
      for (const key of keys) rowKeys.add(key);
      group.push(write);
    }
    this.pendingWrites = rest;
    return group;
  }

  private async commitGroup(group: readonly PendingWrite[]): Promise<void> {
    const operations = group.flatMap(write => write.unit);
    const token = group[0].unit[0].value.writeToken;
    this.transactionCount++;
    const outcome = await this.options.retryingCommitter.commit(
      token,
      operations,
    );
    if (outcome.isOk()) {
      const {revision} = outcome.value;
      for (const write of group) write.settle({kind: 'written', revision});
      return;
    }
    if (outcome.error.kind === 'unavailable') {
      const {clock} = this.options;
      this.unavailableUntilMs = clock.getMonotonicMs() + UNAVAILABLE_PERIOD_MS;
      const reason = outcome.error.message;
      // The queued writes have not been sent. They fail now instead of waiting longer.
      for (const write of [...group, ...this.pendingWrites.splice(0)]) {
        write.settle({kind: 'unavailable', reason});
      }
      return;
    }
    if (group.length === 1) {
      const [{unit, settle}] = group;
      if (outcome.error.kind === 'refused')
        settle({kind: 'unavailable', reason: outcome.error.message});
      else settle(await this.resolveConflict(unit));
      return;
    }
    // One row that conflicts or is rejected fails the whole group. Bisection isolates it in few transactions.
    const middle = group.length >> 1;
    await this.commitGroup(group.slice(0, middle));
    await this.commitGroup(group.slice(middle));
  }

  /** Reads the row of a conflicting unit. The unit has been written if the row carries its token. */
  private async resolveConflict(unit: WriteUnit): Promise<WriteOutcome> {
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
