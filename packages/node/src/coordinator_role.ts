/** Leader election: runs the coordinator on this node while it holds the coordinator role. */

import {Clock, Timer} from '@mustardlug/base/clock';
import {
  createInvalidInputError,
  FieldProblem,
  UnavailableError,
} from '@mustardlug/base/errors';
import {
  CoordinatorStatus,
  decodeCoordinatorStatus,
} from '@mustardlug/coordination/coordinator_status';
import {CommitLog} from '@mustardlug/coordination/commit_log';
import {
  Coordinator,
  CoordinatorLoad,
} from '@mustardlug/coordination/coordinator';
import {Election} from '@mustardlug/coordination/election';
import {InvalidRowReporter} from '@mustardlug/coordination/invalid_row_reporter';
import {TableFollower} from '@mustardlug/coordination/table_follower';
import {WaitSummary} from '@mustardlug/coordination/wait_reporter';
import {
  COORDINATOR_STATUS_TABLE,
  COORDINATOR_PART,
  NODE_PART,
  NODE_TABLE,
  SINGLE_ROW_KEY,
} from '@mustardlug/coordination/tables';
import {decodeRowValue, encodeRowValue} from '@mustardlug/jobs/job_codec';
import {
  getPartRows,
  RowSnapshot,
  RowStore,
  StoredRow,
} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {DurationHistogram} from '@mustardlug/telemetry/duration_histogram';
import {recordInternalError} from '@mustardlug/telemetry/guarded_call';
import {Result} from 'neverthrow';
import {z} from 'zod';

/** Options of `CoordinatorRole`. */
export interface CoordinatorRoleOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly nodeId: string;
  /** CPU capacity of this VM, in cores; larger VMs are preferred as coordinator. */
  readonly cpuCores: number;
  readonly events: EventRecorder;
  /** Creates the coordinator for a term that this node attempts to take. */
  readonly createCoordinator: (commitLog: CommitLog) => Coordinator;
}

/** Long-poll timeout of the status feed; well below the age at which the status expires. */
const FEED_WAIT_MS = 400;

/** Delay after a lost election or term, so that the status of the new holder is received first. */
const ELECTION_RETRY_MS = 200;

/** Delay before the first term of a deployment, so that all nodes can register. */
const FIRST_TERM_DELAY_MS = 1_000;

/**
 * Election delay of VMs that leave the role to others. Covers what a large VM needs
 * to read the status, the term and the nodes when a takeover is due.
 */
const ELECTION_YIELD_MS = 1_000;

/** Delay after the time at which a takeover is due, so that it is due by the store's clock as well. */
const DUE_MARGIN_MS = 10;

/** Fraction of the largest VM's CPU capacity from which a VM is not delayed. */
const LARGE_VM_FRACTION = 0.8;

/**
 * Delay between reads of the status, per node. The delay on each node is
 * proportional to the number of nodes, so that together they read 40 times a
 * second and one of them soon detects that the coordinator has failed.
 */
const POLL_DELAY_PER_NODE_MS = 25;

/** Upper limit of the delay between reads: the caller API accepts a status of up to 2 s of age. */
const MAX_POLL_DELAY_MS = 1_000;

/** Maximum time by which the time of a status may be ahead of the store's, which steps back by no more. */
const MAX_STORE_CLOCK_ERROR_MS = 5_000;

/** Minimum interval between reads of the registered nodes. */
const NODE_READ_INTERVAL_MS = 10_000;

/** Stored registration of a node. */
interface NodeRow {
  /** CPU capacity of the VM, in cores. */
  readonly processorShare: number;
}

/** Limit of a VM's CPU capacity, above any machine. */
const MAX_CPU_CORES = 10_000;

const nodeSchema: z.ZodType<NodeRow> = z.object({
  processorShare: z.number().positive().max(MAX_CPU_CORES),
});

/** Coordinator status with the earliest monotonic time at which it may have been written. */
interface ReceivedStatus {
  readonly status: CoordinatorStatus;
  readonly writtenMs: number;
}

/** A term whose holder is to be replaced, as it was read. */
interface DueTerm {
  /** Term row. */
  readonly snapshot: RowSnapshot;
  /** Status row, if there was one. */
  readonly statusRow: StoredRow | undefined;
  /** Monotonic time at which the read of the term row was sent. */
  readonly sentMs: number;
}

/** Follows the coordinator's status, and takes over the role when its holder has failed. */
export class CoordinatorRole {
  private readonly election = Election.create();
  private readonly invalidRows: InvalidRowReporter;
  private readonly follower: TableFollower;
  private coordinator: Coordinator | undefined;
  private received: ReceivedStatus | undefined;
  /** Last received time of the store's clock, in milliseconds. */
  private storeMs = 0;
  /** CPU capacities of the registered nodes by node ID, as last read. */
  private capacities: ReadonlyMap<string, number> = new Map();
  private lastNodeReadMs = -Infinity;
  private dueTimer: Timer | undefined;
  /** Whether the coordinator was an earlier process of this node, which has ended. */
  private wasHolder = false;
  private isCandidate = false;
  private isStopped = false;

  private constructor(private readonly options: CoordinatorRoleOptions) {
    const {store, clock, events} = options;
    this.invalidRows = InvalidRowReporter.create(events);
    this.follower = TableFollower.create({
      store,
      clock,
      events,
      table: COORDINATOR_STATUS_TABLE,
      part: COORDINATOR_PART,
      waitMs: FEED_WAIT_MS,
      getPauseMs: () => this.getPollDelayMs(),
      listener: {
        onSnapshot: (rows, storeMs) => this.applySnapshot(rows, storeMs),
        onChanges: changes => {
          this.storeMs = changes.storeMs;
          this.applyRows(changes.rows, changes.storeMs);
          this.handleStoreResponse();
        },
        onStoreLost: reason => {
          this.election.recordStoreOutage();
          events.addEvent('store-lost', {
            detail: `${COORDINATOR_STATUS_TABLE}: ${reason}`,
          });
        },
        onStoreRegained: () =>
          events.addEvent('store-regained', {detail: COORDINATOR_STATUS_TABLE}),
      },
    });
  }

  /**
   * Creates the role; `run` starts it.
   * @param options - Store and coordinator factory.
   */
  static create(options: CoordinatorRoleOptions): CoordinatorRole {
    return new CoordinatorRole(options);
  }

  /** Registers this node and follows the coordinator's status until `stop` is called. */
  async run(): Promise<void> {
    await this.registerNode();
    await this.follower.run();
  }

  /** Stops following, and hands the role over if this node holds it. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.dueTimer?.cancel();
    this.follower.stop();
    await this.coordinator?.stop();
  }

  /** Gets the last status received from the coordinator, and the maximum time since it was written. */
  getCoordinatorStatus():
    {status: CoordinatorStatus; ageMs: number} | undefined {
    if (this.received === undefined) return undefined;
    const {status, writtenMs} = this.received;
    return {status, ageMs: this.options.clock.getMonotonicMs() - writtenMs};
  }

  /** Gets how long the store has been unavailable to this node; undefined while it responds. */
  getStoreOutageMs(): number | undefined {
    return this.follower.getOutageMs();
  }

  /** Gets the number of nodes, as last read. */
  getNodeCount(): number {
    return Math.max(1, this.capacities.size);
  }

  /** Checks whether this node holds the coordinator role. */
  isCoordinating(): boolean {
    return this.coordinator !== undefined;
  }

  /** Gets how long steps have been waiting; `undefined` without the coordinator role. */
  getWaitSummary(): WaitSummary | undefined {
    return this.coordinator?.getWaitSummary();
  }

  /** Gets what the coordinator's bookkeeping costs; `undefined` without the role. */
  getLoad(): CoordinatorLoad | undefined {
    return this.coordinator?.getLoad();
  }

  /** Gets the delays that the coordinator adds, by kind; none without the role. */
  getDelays(): ReadonlyMap<string, DurationHistogram> {
    return this.coordinator?.getDelays() ?? new Map();
  }

  private applySnapshot(rows: readonly StoredRow[], storeMs: number): void {
    if (rows.length === 0) this.election.recordStatus(undefined);
    this.applyRows(rows, storeMs);
    void this.releaseEarlierTerm(rows, storeMs);
    void this.maybeTakeOver(storeMs);
  }

  /**
   * Publishes that the role is free if an earlier process of this node held it, as
   * nobody else can know before the status is out of date.
   */
  private async releaseEarlierTerm(
    rows: readonly StoredRow[],
    storeMs: number,
  ): Promise<void> {
    const {store, nodeId} = this.options;
    const row = rows.find(({key}) => key === SINGLE_ROW_KEY);
    const status = this.election.getStatus();
    if (row === undefined || status?.holder !== nodeId) return;
    if (this.coordinator !== undefined) return;
    this.wasHolder = true;
    const released: CoordinatorStatus = {
      term: status.term,
      holder: '',
      writtenStoreMs: storeMs,
      leaseEndStoreMs: status.leaseEndStoreMs,
    };
    const {table, part, key, version} = row;
    const address = {table, part, key};
    // If this fails, the role is free once the status is out of date.
    await store.commit({
      conditions: [{...address, version}],
      writes: [{...address, value: encodeRowValue(released)}],
      removals: [],
    });
  }

  /**
   * Looks at the status when a takeover will be due, as the pauses between the
   * reads of nodes that started together end together.
   */
  private scheduleDueCheck(storeMs: number): void {
    const delayMs = this.election.getTimeUntilDueMs(storeMs);
    this.dueTimer?.cancel();
    if (delayMs === undefined) return;
    this.dueTimer = this.options.clock.setTimer(delayMs + DUE_MARGIN_MS, () => {
      void this.checkDue(storeMs + delayMs + DUE_MARGIN_MS);
    });
  }

  /** Takes over if it is due. After an outage, only responses of the store show that it is. */
  private async checkDue(storeMs: number): Promise<void> {
    if (this.isCandidate || this.isStopped) return;
    if (!this.election.isAwaitingHolder()) {
      await this.maybeTakeOver(storeMs);
      return;
    }
    const status = await this.readStatus();
    if (status.isErr() || this.isStopped) return;
    this.recordStatusRow(status.value);
    this.storeMs = status.value.storeMs;
    this.election.recordStoreResponse(
      this.options.clock.getMonotonicMs(),
      this.storeMs,
    );
    if (!this.isTakeoverDue(this.storeMs)) this.scheduleDueCheck(this.storeMs);
    await this.maybeTakeOver(this.storeMs);
  }

  private readStatus(): Promise<Result<RowSnapshot, UnavailableError>> {
    return this.options.store.getRows({
      table: COORDINATOR_STATUS_TABLE,
      part: COORDINATOR_PART,
      fromKey: SINGLE_ROW_KEY,
      limit: 1,
    });
  }

  private applyRows(rows: readonly StoredRow[], storeMs: number): void {
    for (const row of rows) {
      if (row.key !== SINGLE_ROW_KEY) continue;
      const status = this.decodeStatus(row, storeMs);
      if (status === undefined) {
        this.election.recordUnreadableStatus();
        continue;
      }
      this.election.recordStatus(status);
      // The store read the row after the call was sent, at its time `storeMs`.
      const sentMs =
        this.options.clock.getMonotonicMs() - this.follower.getMaxAgeMs();
      const ageMs = Math.max(0, storeMs - status.writtenStoreMs);
      this.received = {status, writtenMs: sentMs - ageMs};
      this.scheduleDueCheck(storeMs);
    }
  }

  /** Decodes the status row; one from the future would make its holder seem alive for ever. */
  private decodeStatus(
    row: StoredRow,
    storeMs: number,
  ): CoordinatorStatus | undefined {
    const status = decodeCoordinatorStatus(row.value);
    if (status.isErr()) {
      this.invalidRows.report(row, status.error);
      return undefined;
    }
    const {writtenStoreMs} = status.value;
    if (writtenStoreMs <= storeMs + MAX_STORE_CLOCK_ERROR_MS)
      return status.value;
    const problem: FieldProblem = {
      path: 'writtenStoreMs',
      expected: `expected a time of the store of at most ${storeMs}, got ${writtenStoreMs}`,
      remedy: 'remove the row',
    };
    const error = createInvalidInputError('coordinator status', [problem]);
    this.invalidRows.report(row, error);
    return undefined;
  }

  private getPollDelayMs(): number {
    const delayMs = this.getNodeCount() * POLL_DELAY_PER_NODE_MS;
    return Math.min(MAX_POLL_DELAY_MS, delayMs);
  }

  private async refreshNodes(): Promise<void> {
    const nowMs = this.options.clock.getMonotonicMs();
    if (nowMs - this.lastNodeReadMs < NODE_READ_INTERVAL_MS) return;
    this.lastNodeReadMs = nowMs;
    await this.readNodes();
  }

  /** Reads the registered nodes; keeps those read before if the store does not respond. */
  private async readNodes(): Promise<void> {
    const rows = await getPartRows(this.options.store, NODE_TABLE, NODE_PART);
    if (rows.isErr()) return;
    const capacities = new Map<string, number>();
    for (const row of rows.value.rows) {
      const node = decodeRowValue(`node ${row.key}`, nodeSchema, row.value);
      if (node.isOk()) capacities.set(row.key, node.value.processorShare);
      else this.invalidRows.report(row, node.error);
    }
    this.capacities = capacities;
  }

  /** Checks whether this VM is about as large as the largest registered one. */
  private isLargeVm(): boolean {
    const {cpuCores} = this.options;
    const largest = Math.max(cpuCores, ...this.capacities.values());
    return cpuCores >= largest * LARGE_VM_FRACTION;
  }

  /**
   * Checks whether this node should try to take over now: the holder is lost, or a
   * small VM that has the role only because no large one was there.
   */
  private isTakeoverDue(storeMs: number): boolean {
    if (this.election.isTakeoverDue(storeMs)) return true;
    const holder = this.election.getStatus()?.holder ?? '';
    const holderCores = this.capacities.get(holder);
    if (holderCores === undefined || !this.isLargeVm()) return false;
    return holderCores < this.options.cpuCores * LARGE_VM_FRACTION;
  }

  private handleStoreResponse(): void {
    void this.refreshNodes();
    const nowMs = this.options.clock.getMonotonicMs();
    this.election.recordStoreResponse(nowMs, this.storeMs);
    if (this.election.isAwaitingHolder()) this.scheduleDueCheck(this.storeMs);
    void this.maybeTakeOver(this.storeMs);
  }

  private async maybeTakeOver(storeMs: number): Promise<void> {
    if (this.isCandidate || this.isStopped) return;
    if (!this.isTakeoverDue(storeMs)) return;
    this.isCandidate = true;
    try {
      await this.attemptTerm();
    } catch (error) {
      // Another attempt follows, on this node or on another one.
      recordInternalError(this.options.events, 'a term', error);
      this.coordinator = undefined;
    }
    await this.options.clock.sleep(ELECTION_RETRY_MS);
    this.isCandidate = false;
  }

  /** Publishes this VM's CPU capacity to the other nodes. */
  private async registerNode(): Promise<void> {
    const {store, nodeId, cpuCores} = this.options;
    const row: NodeRow = {processorShare: cpuCores};
    const value = encodeRowValue(row);
    const address = {table: NODE_TABLE, part: NODE_PART, key: nodeId};
    const outcome = await store.commit({
      conditions: [],
      writes: [{...address, value}],
      removals: [],
    });
    if (outcome.isErr())
      this.options.events.addEvent('store-lost', {
        detail: `failed to register this node: ${outcome.error.message}`,
      });
  }

  /**
   * Delays an election attempt on a small VM, so that a larger one can win it, and
   * on the VM of the last holder, whose process may end again for the same cause.
   */
  private async yieldToOtherVms(): Promise<void> {
    const {clock} = this.options;
    if (this.election.getStatus() === undefined)
      await clock.sleep(FIRST_TERM_DELAY_MS);
    await this.readNodes();
    if (this.wasHolder || !this.isLargeVm())
      await clock.sleep(ELECTION_YIELD_MS);
    this.wasHolder = false;
  }

  /**
   * Gets the current term. Each term begins with a transaction that writes both the
   * term row and the status, so that the status names it if the term row cannot be
   * read. Without either, the term is unknown and must not be taken.
   */
  private getStoredTerm(snapshot: RowSnapshot): number | undefined {
    const term = CommitLog.getTerm(snapshot);
    if (term.isOk()) return term.value;
    const row = snapshot.rows.at(0);
    if (row !== undefined) this.invalidRows.report(row, term.error);
    return this.election.getStatus()?.term;
  }

  /**
   * Reads the status, then the term row; returns `undefined` if no takeover is due
   * any more.
   */
  private async readDueTerm(): Promise<DueTerm | undefined> {
    const {store, clock} = this.options;
    const statusSentMs = clock.getMonotonicMs();
    const status = await this.readStatus();
    if (status.isErr() || this.isStopped) return undefined;
    const sentMs = clock.getMonotonicMs();
    this.election.recordRoundTrip(sentMs - statusSentMs);
    this.recordStatusRow(status.value);
    const snapshot = await CommitLog.readTerm(store);
    if (snapshot.isErr() || this.isStopped) return undefined;
    this.storeMs = snapshot.value.storeMs;
    if (!this.isTakeoverDue(this.storeMs)) return undefined;
    const statusRow = status.value.rows.at(0);
    return {snapshot: snapshot.value, statusRow, sentMs};
  }

  /** Records a status that the feed has not delivered yet. */
  private recordStatusRow({rows, storeMs}: RowSnapshot): void {
    for (const row of rows) {
      const status = this.decodeStatus(row, storeMs);
      if (status === undefined) continue;
      const known = this.election.getStatus();
      if (known !== undefined && status.writtenStoreMs <= known.writtenStoreMs)
        continue;
      this.election.recordStatus(status);
    }
  }

  private async attemptTerm(): Promise<void> {
    const {store, clock, nodeId} = this.options;
    if ((await this.readDueTerm()) === undefined) return;
    await this.yieldToOtherVms();
    // Read again, as the first status of the term is based on the time of the response.
    const due = await this.readDueTerm();
    if (due === undefined) return;
    const {snapshot, statusRow, sentMs} = due;
    const term = this.getStoredTerm(snapshot);
    if (term === undefined) return;
    // Another node has taken a term whose status has not been received yet.
    const statusTerm = this.election.getStatus()?.term ?? 0;
    if (term !== statusTerm && !this.election.isStatusSettled()) return;
    const commitLog = CommitLog.create(
      {store, clock, holder: nodeId},
      snapshot,
      {minTerm: term, statusRow, sentMs},
    );
    this.options.events.addEvent('takeover-attempted', {
      detail: `${this.election.formatStatus(this.storeMs)}; this VM has ${this.options.cpuCores} cores`,
    });
    this.coordinator = this.options.createCoordinator(commitLog);
    await this.coordinator.run();
    this.coordinator = undefined;
  }
}
