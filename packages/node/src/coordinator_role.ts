/** Takes and gives up the coordinator role as the board demands. */

import {Clock} from '@mustardlug/base/clock';
import {Board} from '@mustardlug/coordination/board';
import {CommitLog} from '@mustardlug/coordination/commit_log';
import {Coordinator} from '@mustardlug/coordination/coordinator';
import {Election} from '@mustardlug/coordination/election';
import {TableFollower} from '@mustardlug/coordination/table_follower';
import {
  BOARD_TABLE,
  COORDINATOR_PART,
  NODE_PART,
  NODE_TABLE,
  SINGLE_ROW_KEY,
} from '@mustardlug/coordination/tables';
import {decodeRowValue, encodeRowValue} from '@mustardlug/jobs/job_codec';
import {getPartRows, RowStore, StoredRow} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';

/** Options of the coordinator role. */
export interface CoordinatorRoleOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly nodeId: string;
  /** Processors of this VM, in cores; larger VMs coordinate first. */
  readonly processorShare: number;
  readonly events: EventRecorder;
  /** Creates the coordinator of a term that this node tries to take. */
  readonly createCoordinator: (commitLog: CommitLog) => Coordinator;
}

/** Longest wait for a change of the board; well below the age at which it lapses. */
const BOARD_WAIT_MS = 400;

/** Delay after a lost race or term, so that the winner's board arrives first. */
const RETRY_MS = 200;

/** Delay of the first term of a deployment, so that all nodes are registered. */
const FIRST_TERM_DELAY_MS = 1_000;

/** Delay for a VM that is much smaller than the largest one. */
const SMALL_VM_DELAY_MS = 500;

/** Share of the largest VM's processors from which a VM counts as large. */
const LARGE_VM_FRACTION = 0.8;

/**
 * Pause between two looks at the board for each node: together they look
 * forty times a second, so that one of them soon notices a lost coordinator.
 */
const PAUSE_PER_NODE_MS = 25;

/** Longest pause; callers are shown boards of up to two seconds of age. */
const MAX_PAUSE_MS = 1_000;

/** Interval at which the number of nodes is read. */
const NODES_INTERVAL_MS = 10_000;

/** Stored description of a node. */
interface NodeRow {
  readonly processorShare: number;
}

/** A board that was received, and when. */
interface ReceivedBoard {
  readonly board: Board;
  readonly receivedMs: number;
}

/** Watches the board and coordinates when its holder is lost. */
export class CoordinatorRole {
  private readonly election = Election.create();
  private readonly follower: TableFollower;
  private coordinator: Coordinator | undefined;
  private received: ReceivedBoard | undefined;
  private storeMs = 0;
  private nodeCount = 1;
  private lastNodesMs = -Infinity;
  private isCandidate = false;
  private isStopped = false;

  private constructor(private readonly options: CoordinatorRoleOptions) {
    const {store, clock, events} = options;
    this.follower = TableFollower.create({
      store,
      clock,
      table: BOARD_TABLE,
      part: COORDINATOR_PART,
      waitMs: BOARD_WAIT_MS,
      getPauseMs: () => this.getPauseMs(),
      reader: {
        onSnapshot: rows => this.applySnapshot(rows),
        onChanges: changes => {
          this.storeMs = changes.storeMs;
          this.applyRows(changes.rows);
          this.noteAnswer();
        },
        onStoreLost: reason => {
          this.election.noteStoreLost();
          events.addEvent('store-lost', {detail: `${BOARD_TABLE}: ${reason}`});
        },
        onStoreRegained: () =>
          events.addEvent('store-regained', {detail: BOARD_TABLE}),
      },
    });
  }

  /**
   * Creates the role; `run` starts it.
   * @param options - Store and factory of coordinators.
   */
  static create(options: CoordinatorRoleOptions): CoordinatorRole {
    return new CoordinatorRole(options);
  }

  /** Watches the board until `stop`. */
  async run(): Promise<void> {
    await this.register();
    await this.follower.run();
  }

  /** Hands the role over if this node has it, and stops watching. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.follower.stop();
    await this.coordinator?.stop();
  }

  /** Gets the newest board, and its age since it was received. */
  getBoard(): {board: Board; ageMs: number} | undefined {
    if (this.received === undefined) return undefined;
    const {board, receivedMs} = this.received;
    return {board, ageMs: this.options.clock.getMonotonicMs() - receivedMs};
  }

  /** Gets for how long the store has not answered this node; undefined while it does. */
  getStoreLostMs(): number | undefined {
    return this.follower.getLostMs();
  }

  /** Checks whether this node coordinates. */
  isCoordinating(): boolean {
    return this.coordinator !== undefined;
  }

  private applySnapshot(rows: readonly StoredRow[]): void {
    if (rows.length === 0) this.election.noteBoard(undefined);
    this.applyRows(rows);
    void this.considerTakeover();
  }

  private applyRows(rows: readonly StoredRow[]): void {
    for (const row of rows) {
      if (row.key !== SINGLE_ROW_KEY) continue;
      const board = decodeRowValue<Board>(row.value);
      this.election.noteBoard(board);
      const receivedMs = this.options.clock.getMonotonicMs();
      this.received = {board, receivedMs};
    }
  }

  private getPauseMs(): number {
    return Math.min(MAX_PAUSE_MS, this.nodeCount * PAUSE_PER_NODE_MS);
  }

  private async countNodes(): Promise<void> {
    const nowMs = this.options.clock.getMonotonicMs();
    if (nowMs - this.lastNodesMs < NODES_INTERVAL_MS) return;
    this.lastNodesMs = nowMs;
    const nodes = await this.readNodes();
    if (nodes !== undefined) this.nodeCount = nodes.length;
  }

  private async readNodes(): Promise<NodeRow[] | undefined> {
    const nodes = await getPartRows(this.options.store, NODE_TABLE, NODE_PART);
    if (nodes.isErr()) return undefined;
    return nodes.value.rows.map(row => decodeRowValue<NodeRow>(row.value));
  }

  private noteAnswer(): void {
    void this.countNodes();
    this.election.noteAnswer(this.options.clock.getMonotonicMs());
    void this.considerTakeover();
  }

  private async considerTakeover(): Promise<void> {
    if (this.isCandidate || this.isStopped) return;
    if (!this.election.isTakeoverDue(this.storeMs)) return;
    this.isCandidate = true;
    await this.tryTerm();
    await this.options.clock.sleep(RETRY_MS);
    this.isCandidate = false;
  }

  /** Tells the other nodes how large this VM is. */
  private async register(): Promise<void> {
    const {store, nodeId, processorShare} = this.options;
    const row: NodeRow = {processorShare};
    const value = encodeRowValue(row);
    const address = {table: NODE_TABLE, part: NODE_PART, key: nodeId};
    const outcome = await store.commit({
      conditions: [],
      writes: [{...address, value}],
      removals: [],
    });
    if (outcome.isErr())
      this.options.events.addEvent('store-lost', {
        detail: `this node is not registered: ${outcome.error.message}`,
      });
  }

  private async letLargerVmsGoFirst(): Promise<void> {
    const {clock, processorShare} = this.options;
    if (this.election.getBoard() === undefined)
      await clock.sleep(FIRST_TERM_DELAY_MS);
    const nodes = await this.readNodes();
    if (nodes === undefined) return;
    const shares = nodes.map(node => node.processorShare);
    const largest = Math.max(processorShare, ...shares);
    if (processorShare < largest * LARGE_VM_FRACTION)
      await clock.sleep(SMALL_VM_DELAY_MS);
  }

  private async tryTerm(): Promise<void> {
    const {store, clock, nodeId} = this.options;
    const sentMs = clock.getMonotonicMs();
    const snapshot = await CommitLog.readTerm(store);
    if (snapshot.isErr() || this.isStopped) return;
    this.election.noteRoundTrip(clock.getMonotonicMs() - sentMs);
    this.storeMs = snapshot.value.storeMs;
    if (!this.election.isTakeoverDue(this.storeMs)) return;
    const term = CommitLog.getTerm(snapshot.value);
    await this.letLargerVmsGoFirst();
    if (!this.election.isTakeoverDue(this.storeMs) || this.isStopped) return;
    // Another node has taken a term whose board has not arrived here yet.
    if (term !== (this.election.getBoard()?.term ?? 0)) return;
    const log = CommitLog.create(
      {store, clock, holder: nodeId},
      snapshot.value,
    );
    this.coordinator = this.options.createCoordinator(log);
    await this.coordinator.run();
    this.coordinator = undefined;
  }
}
