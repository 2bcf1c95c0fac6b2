/**
 * Publishes the coordinator status, apart from the progress of jobs, so that a
 * coordinator with much to store is not taken for a lost one.
 */

import {Clock} from '@mustardlug/base/clock';
import {encodeRowValue} from '@mustardlug/jobs/job_codec';
import {RowStore, StoredRow} from '@mustardlug/platform/row_store';
import {CommitLog} from './commit_log.js';
import {
  CoordinatorStatus,
  decodeCoordinatorStatus,
  QueueLoad,
  STATUS_ADDRESS,
} from './coordinator_status.js';
import {LeaseLimit} from './lease_limit.js';
import {COORDINATOR_STATUS_TABLE} from './tables.js';

export interface CoordinatorHeartbeatOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly commitLog: CommitLog;
  /** Limit of the leases, which each status declares. */
  readonly leaseLimit: LeaseLimit;
  readonly nodeId: string;
  /** Returns the load by name of the queue, or `undefined` while accepted jobs may be unknown. */
  readonly getQueueLoads: () => Record<string, QueueLoad> | undefined;
  /** Checks whether the coordinator is still restoring the stored state. */
  readonly isRestoring: () => boolean;
  /** Called when another coordinator has replaced the status. */
  readonly onSuperseded: () => void;
}

/** Interval of the coordinator status; a quarter of the age at which its holder counts as lost. */
const HEARTBEAT_INTERVAL_MS = 300;

/**
 * Interval that is announced while the stored state is being restored, which may
 * block the process for seconds on a small VM.
 */
const RESTORING_INTERVAL_MS = 1_500;

/** Delay before a heartbeat without a response is repeated. */
const RETRY_MS = 50;

/** Factor by which the longest recent interval shrinks with each heartbeat. */
const INTERVAL_DECAY = 0.9;

/**
 * Rewrites the status row at a fixed interval. Each write is conditional on the
 * version that the previous one gave to the row. As a successor's first
 * transaction replaces the row, a successful write also proves that the term
 * still holds.
 */
export class CoordinatorHeartbeat {
  private isStopped = false;
  private version = 0;
  private lastSentMs: number;
  private lastAttemptMs: number;
  /** Longest time between two attempts since the last successful heartbeat, in milliseconds. */
  private attemptIntervalMs = 0;
  /**
   * Longest recent time between two attempts, in milliseconds. An outage of the
   * store delays the heartbeats, but not the attempts.
   */
  private intervalMs = HEARTBEAT_INTERVAL_MS;

  private constructor(private readonly options: CoordinatorHeartbeatOptions) {
    this.lastSentMs = options.clock.getMonotonicMs();
    this.lastAttemptMs = this.lastSentMs;
  }

  /**
   * Creates a heartbeat; `run` starts it.
   * @param options - Store, commit log of the term and source of the queue loads.
   */
  static create(options: CoordinatorHeartbeatOptions): CoordinatorHeartbeat {
    return new CoordinatorHeartbeat(options);
  }

  /**
   * Creates the status as of now.
   * @param holder - Identifier of the coordinating node; empty to hand the role over.
   */
  createStatus(holder: string): CoordinatorStatus {
    const {commitLog, leaseLimit, getQueueLoads, isRestoring} = this.options;
    const intervalMs = isRestoring()
      ? Math.max(RESTORING_INTERVAL_MS, this.intervalMs)
      : this.intervalMs;
    return {
      term: commitLog.term,
      holder,
      writtenStoreMs: commitLog.getStoreMs(),
      intervalMs: Math.round(intervalMs),
      leaseEndStoreMs: leaseLimit.getDeclaration(),
      queues: getQueueLoads(),
    };
  }

  /**
   * Publishes the status until `stop` is called or another coordinator has replaced it.
   * @param version - Version of the status row that the first transaction of the term wrote.
   */
  async run(version: number): Promise<void> {
    this.version = version;
    while (!this.isStopped) {
      await this.options.clock.sleep(this.getDelayMs());
      if (this.isStopped) return;
      const isSent = await this.send();
      if (!isSent && !this.isStopped) await this.options.clock.sleep(RETRY_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private getDelayMs(): number {
    const elapsedMs = this.options.clock.getMonotonicMs() - this.lastSentMs;
    return Math.max(0, HEARTBEAT_INTERVAL_MS - elapsedMs);
  }

  /** Sends one heartbeat, and returns whether the store responded. */
  private async send(): Promise<boolean> {
    const {store, clock, commitLog, leaseLimit, nodeId} = this.options;
    const sentMs = clock.getMonotonicMs();
    this.recordAttempt(sentMs);
    const value = encodeRowValue(this.createStatus(nodeId));
    const outcome = await store.commit({
      conditions: [{...STATUS_ADDRESS, version: this.version}],
      writes: [{...STATUS_ADDRESS, value}],
      removals: [],
    });
    if (this.isStopped) return false;
    if (outcome.isOk()) {
      this.version = outcome.value.version;
      commitLog.confirmTerm(sentMs, outcome.value.storeMs);
      leaseLimit.confirm(sentMs);
      this.recordInterval(sentMs);
      return true;
    }
    if (outcome.error.kind === 'row-conflict')
      return this.handleConflict(outcome.error.rows);
    return false;
  }

  /**
   * Continues after an earlier heartbeat whose response was lost. Ends the term if
   * the row cannot be read, as a successor may have written before it was replaced.
   */
  private handleConflict(rows: readonly StoredRow[]): boolean {
    const row = rows.find(({table}) => table === COORDINATOR_STATUS_TABLE);
    const {commitLog, nodeId, onSuperseded} = this.options;
    if (row !== undefined) {
      const status = decodeCoordinatorStatus(row.value).unwrapOr(undefined);
      if (status?.term === commitLog.term && status.holder === nodeId) {
        this.version = row.version;
        return false;
      }
    }
    this.isStopped = true;
    onSuperseded();
    return false;
  }

  private recordAttempt(sentMs: number): void {
    const intervalMs = sentMs - this.lastAttemptMs;
    this.lastAttemptMs = sentMs;
    this.attemptIntervalMs = Math.max(this.attemptIntervalMs, intervalMs);
  }

  private recordInterval(sentMs: number): void {
    this.lastSentMs = sentMs;
    this.intervalMs = Math.max(
      HEARTBEAT_INTERVAL_MS,
      this.attemptIntervalMs,
      this.intervalMs * INTERVAL_DECAY,
    );
    this.attemptIntervalMs = 0;
  }
}
