/**
 * Stored expiry times of the leases of workers that do not respond, so that a
 * successor does not have to wait for leases that were never granted.
 *
 * A bound is a promise of all terms: no lease of the worker lasts longer, and none
 * is granted before the row has been removed by a commit of the current term.
 */

import {Clock} from '@mustardlug/base/clock';
import {decodeRowValue, encodeRowValue} from '@mustardlug/jobs/job_codec';
import {RowAddress, RowWrite, StoredRow} from '@mustardlug/platform/row_store';
import {z} from 'zod';
import {CommitLog} from './commit_log.js';
import {InvalidRowReporter} from './invalid_row_reporter.js';
import {COORDINATOR_PART, LEASE_BOUND_TABLE} from './tables.js';

/** Stored bound of one worker, keyed by its identifier. */
interface StoredLeaseBound {
  /** Time of the store by which all leases of the worker have expired, in milliseconds. */
  readonly leaseEndStoreMs: number;
}

const boundSchema: z.ZodType<StoredLeaseBound> = z.object({
  leaseEndStoreMs: z.number().nonnegative(),
});

/** Changes of the stored bounds since the last commit. */
export interface LeaseBoundChanges {
  readonly writes: RowWrite[];
  readonly removals: RowAddress[];
}

/** Bounds of the leases of workers that do not respond, and their changes that are not stored yet. */
export class LeaseBounds {
  /** Time of the store by which all leases of a worker have expired, by worker ID. */
  private readonly leaseEndsStoreMs = new Map<string, number>();
  private readonly changedWorkerIds = new Set<string>();
  /** Workers whose bound is known until its removal is stored. */
  private readonly removedWorkerIds = new Set<string>();

  private constructor(
    private readonly clock: Clock,
    private readonly commitLog: CommitLog,
    private readonly invalidRows: InvalidRowReporter,
  ) {}

  /**
   * Creates an empty set of bounds.
   * @param clock - Clock of this node.
   * @param commitLog - Log of the term, which knows the time of the store.
   * @param invalidRows - Receives the rows that cannot be read.
   */
  static create(
    clock: Clock,
    commitLog: CommitLog,
    invalidRows: InvalidRowReporter,
  ): LeaseBounds {
    return new LeaseBounds(clock, commitLog, invalidRows);
  }

  /**
   * Restores the bounds of earlier terms. Removes them if the previous coordinator
   * ran an earlier build, which grants leases regardless of them. A bound that
   * cannot be read is removed as well: the full wait applies to its worker.
   * @param rows - Rows of the table of bounds.
   */
  restore(rows: readonly StoredRow[]): void {
    for (const row of rows) {
      const {key} = row;
      const bound = decodeRowValue('lease bound', boundSchema, row.value);
      if (bound.isErr()) this.invalidRows.report(row, bound.error);
      if (bound.isOk() && this.commitLog.hasPredecessorKeptLeaseBounds())
        this.leaseEndsStoreMs.set(key, bound.value.leaseEndStoreMs);
      else this.changedWorkerIds.add(key);
    }
  }

  /** Gets the workers that have a bound which is not being removed. */
  getWorkerIds(): string[] {
    return [...this.leaseEndsStoreMs.keys()].filter(
      workerId => !this.removedWorkerIds.has(workerId),
    );
  }

  /**
   * Gets the monotonic time by which all leases of a worker have expired, or
   * `undefined` if no bound is known.
   * @param workerId - Identifier of the worker.
   */
  getLeaseEndMs(workerId: string): number | undefined {
    const leaseEndStoreMs = this.leaseEndsStoreMs.get(workerId);
    if (leaseEndStoreMs === undefined) return undefined;
    const remainingMs = leaseEndStoreMs - this.commitLog.getStoreMs();
    return this.clock.getMonotonicMs() + remainingMs;
  }

  /**
   * Records a bound. The caller must grant the worker no lease until the bound has
   * been removed and the removal is stored.
   * @param workerId - Identifier of the worker.
   * @param leaseEndMs - Monotonic time by which all its leases have expired.
   */
  setLeaseEnd(workerId: string, leaseEndMs: number): void {
    const storeMs = this.commitLog.getMaxStoreMs();
    if (storeMs === undefined) return;
    const remainingMs = leaseEndMs - this.clock.getMonotonicMs();
    this.leaseEndsStoreMs.set(workerId, Math.ceil(storeMs + remainingMs));
    this.removedWorkerIds.delete(workerId);
    this.changedWorkerIds.add(workerId);
  }

  /**
   * Removes the stored bound of a worker, which is known until `forgetRemoved` is
   * called.
   * @param workerId - Identifier of the worker.
   */
  remove(workerId: string): void {
    if (!this.leaseEndsStoreMs.has(workerId)) return;
    if (this.removedWorkerIds.has(workerId)) return;
    this.removedWorkerIds.add(workerId);
    this.changedWorkerIds.add(workerId);
  }

  /**
   * Forgets the bound of a worker if it was removed. Must be called only when the
   * removal is stored.
   * @param workerId - Identifier of the worker.
   */
  forgetRemoved(workerId: string): void {
    if (this.removedWorkerIds.delete(workerId))
      this.leaseEndsStoreMs.delete(workerId);
  }

  /** Checks whether any change is not stored yet. */
  hasChanges(): boolean {
    return this.changedWorkerIds.size > 0;
  }

  /** Returns the changes since the last call, the last one of each worker. */
  takeChanges(): LeaseBoundChanges {
    const writes: RowWrite[] = [];
    const removals: RowAddress[] = [];
    for (const key of this.changedWorkerIds) {
      const address = {table: LEASE_BOUND_TABLE, part: COORDINATOR_PART, key};
      const leaseEndStoreMs = this.leaseEndsStoreMs.get(key);
      if (leaseEndStoreMs === undefined || this.removedWorkerIds.has(key)) {
        removals.push(address);
        continue;
      }
      const bound: StoredLeaseBound = {leaseEndStoreMs};
      writes.push({...address, value: encodeRowValue(bound)});
    }
    this.changedWorkerIds.clear();
    return {writes, removals};
  }
}
