/** Places the tasks of all accepted jobs on workers, for one term. */

import {Clock} from '@mustardlug/base/clock';
import {createTaskRun} from '@mustardlug/jobs/job_codec';
import {StepState} from '@mustardlug/jobs/job_state';
import {FleetConfig} from '@mustardlug/jobs/queue_config';
import {
  EndedRun,
  JobWorkerClient,
  RefusalReason,
} from '@mustardlug/platform/job_worker';
import {
  getPartRows,
  RowChanges,
  RowStore,
  StoredRow,
} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {CommitLog} from './commit_log.js';
import {renderFleetLoad, renderPlacedStep} from './fleet_report.js';
import {JobLedger} from './job_ledger.js';
import {JobRetention} from './job_retention.js';
import {ProgressWriter} from './progress_writer.js';
import {getTaskName} from './run_names.js';
import {
  COORDINATOR_PART,
  EFFECT_TABLE,
  JOB_TABLE,
  PROGRESS_TABLE,
} from './tables.js';
import {TableFollower} from './table_follower.js';
import {WaitingStep} from './task_order.js';
import {getWaitingSteps, Placement, PlacementPass} from './task_placer.js';
import {WorkerCare} from './worker_care.js';
import {AssignedRun} from './worker_load.js';
import {WorkerDecoder, WorkerPool} from './worker_pool.js';
import {SessionListener, WorkerSession} from './worker_session.js';

/** Options of a coordinator. */
export interface CoordinatorOptions {
  readonly clock: Clock;
  readonly store: RowStore;
  readonly workerClient: JobWorkerClient;
  readonly commitLog: CommitLog;
  readonly nodeId: string;
  /** Table in which workers are registered. */
  readonly workerTable: string;
  readonly decodeWorker: WorkerDecoder;
  /** Gets the configuration in force, or `undefined` before the first one. */
  readonly getConfig: () => FleetConfig | undefined;
  /** Longest lease that the platform grants. */
  readonly maxLeaseMs: number;
  /** Time for which callers may ask for a job after its end. */
  readonly keepEndedMs: number;
  readonly events: EventRecorder;
}

/** Why a coordinator ended. */
export type CoordinatorEnd = 'superseded' | 'stopped' | 'isolated';

/** Time between a change and the placement of work, so that changes close together share it. */
const PASS_DELAY_MS = 4;

/** Pause between two passes, as a multiple of the last one's duration: leaves time for reports and orders. */
const PASS_PAUSE_FACTOR = 3;

/** Interval of the checks that no change triggers. */
const TICK_MS = 250;

/** Longest wait for changes of a table. */
const FEED_WAIT_MS = 1_000;

/** Delay before shared state that could not be read is read again. */
const LOAD_RETRY_MS = 50;

/**
 * Time without a confirmed commit after which a coordinator gives no more
 * orders. Covers usual outages of the store; a successor waits for it where
 * it cannot reach a worker.
 */
const ISOLATION_LIMIT_MS = 5_500;

/** Interval of the log of the fleet's load. */
const LOAD_LOG_INTERVAL_MS = 2_000;

/** Share of the workers that must know the term before the coordinator counts as ready. */
const READY_SHARE = 0.9;

/** Runs of one term are numbered from a base, above those of all earlier terms. */
const RUNS_PER_TERM = 1_000;

/** Interval at which a planned hand-over looks for the end of a commit. */
const HANDOVER_POLL_MS = 5;

/** Attempts to announce a planned hand-over; a successor also notices the silence. */
const MAX_HANDOVER_TRIES = 3;

/** Coordinates until it is superseded or stopped. */
export class Coordinator implements SessionListener {
  private readonly pool: WorkerPool;
  private readonly ledger: JobLedger;
  private readonly care: WorkerCare;
  private readonly writer: ProgressWriter;
  private readonly retention: JobRetention;
  private readonly followers: TableFollower[] = [];
  private readonly runCounters = new Map<StepState | string, number>();
  private isPassScheduled = false;
  private isCommitting = false;
  private isPassNeeded = false;
  private isHandingOver = false;
  private isLoaded = false;
  private isReady = false;
  private electedMs = 0;
  private lastPassMs = 0;
  private lastLoadLogMs = -Infinity;
  private end: CoordinatorEnd | undefined;
  private resolveEnd: ((end: CoordinatorEnd) => void) | undefined;

  private constructor(private readonly options: CoordinatorOptions) {
    const {clock, events, commitLog, nodeId} = options;
    this.care = WorkerCare.create({clock, events});
    this.pool = WorkerPool.create({
      clock,
      events,
      workerClient: options.workerClient,
      decodeWorker: options.decodeWorker,
      listener: this,
      fencingToken: commitLog.term,
      maxLeaseMs: options.maxLeaseMs,
      earlierTermMs: ISOLATION_LIMIT_MS,
    });
    this.ledger = JobLedger.create({
      clock,
      events,
      getConfig: options.getConfig,
      stopTaskRuns: (name, task) => this.pool.stopTaskRuns(name, task),
    });
    this.writer = ProgressWriter.create({
      clock,
      commitLog,
      nodeId,
      disturbance: this.care.getDisturbance(),
      getQueueLoads: () =>
        this.isLoaded ? this.ledger.getQueueLoads() : undefined,
    });
    this.retention = JobRetention.create({
      store: options.store,
      clock,
      events,
      ledger: this.ledger,
      writer: this.writer,
      keepEndedMs: options.keepEndedMs,
    });
  }

  /**
   * Creates a coordinator; `run` starts it.
   * @param options - Clients, tables and commit log of a term.
   */
  static create(options: CoordinatorOptions): Coordinator {
    return new Coordinator(options);
  }

  /**
   * Takes over and coordinates until the end of the term.
   * @returns Why the term ended.
   */
  async run(): Promise<CoordinatorEnd> {
    const {commitLog, events, nodeId, clock} = this.options;
    const outcome = await this.writer.commitBoard(nodeId, 1);
    if (outcome === 'superseded') return 'superseded';
    this.electedMs = clock.getMonotonicMs();
    events.addEvent('coordinator-elected', {detail: `term ${commitLog.term}`});
    const ended = new Promise<CoordinatorEnd>(resolve => {
      this.resolveEnd = resolve;
    });
    void this.load();
    this.scheduleTick();
    const end = await ended;
    for (const follower of this.followers) follower.stop();
    this.pool.stop();
    commitLog.close();
    events.addEvent('coordinator-ended', {
      detail: `term ${commitLog.term}: ${end}`,
    });
    return end;
  }

  /** Hands over: the board says that the role is free. */
  async stop(): Promise<void> {
    this.isHandingOver = true;
    while (this.isCommitting && this.end === undefined)
      await this.options.clock.sleep(HANDOVER_POLL_MS);
    if (this.end !== undefined) return;
    this.isCommitting = true;
    await this.writer.commitBoard('', MAX_HANDOVER_TRIES);
    this.finish('stopped');
  }

  onRunEnded(
    session: WorkerSession,
    ended: EndedRun,
    assigned: AssignedRun | undefined,
  ): void {
    const name = ended.end === 'done' ? 'run-done' : 'run-ended';
    this.options.events.addEvent(name, {
      taskId: ended.taskName,
      workerId: session.getId(),
      detail: `run ${ended.runNumber} ${ended.end}`,
    });
    if (assigned === undefined) {
      this.ledger.noteUnassignedEnd(ended);
    } else {
      this.care.noteEnd(assigned, ended.end);
      this.ledger.noteEnd(assigned, ended);
    }
    this.schedulePass();
  }

  onRunGone(
    session: WorkerSession,
    assigned: AssignedRun,
    reason: string,
  ): void {
    this.options.events.addEvent('run-lost', {
      taskId: assigned.taskName,
      workerId: session.getId(),
      detail: `run ${assigned.run.runNumber}: ${reason}`,
    });
    this.releaseRun(assigned);
  }

  onReport(session: WorkerSession): void {
    if (!this.isReady) this.checkReady();
    this.care.applyReport(session);
    const sequence = session.getProcessedSequence();
    const bornMs = session.getBornMs();
    this.writer.addEffect(() => session.acknowledge(sequence, bornMs));
    if (!this.ledger.hasChanges() && !this.isCommitting)
      this.writer.runEffects();
  }

  onStartRefused(
    session: WorkerSession,
    assigned: AssignedRun,
    reason: RefusalReason,
  ): void {
    this.options.events.addEvent('start-refused', {
      taskId: assigned.taskName,
      workerId: session.getId(),
      detail: `run ${assigned.run.runNumber}: ${reason}`,
    });
    this.releaseRun(assigned);
  }

  onFenced(): void {
    this.finish('superseded');
  }

  private finish(end: CoordinatorEnd): void {
    if (this.end !== undefined) return;
    this.end = end;
    this.resolveEnd?.(end);
  }

  /** Reads all shared state, then follows its changes. */
  private async load(): Promise<void> {
    const {store, clock, workerTable} = this.options;
    let workerRows: readonly StoredRow[] = [];
    let jobRows: readonly StoredRow[] = [];
    const workers = this.createFollower(workerTable, '', {
      onSnapshot: rows => {
        workerRows = rows;
        if (this.isLoaded) this.applyWorkers(this.pool.replaceRows(rows));
      },
      onChanges: changes => this.applyWorkers(this.pool.applyChanges(changes)),
    });
    const jobs = this.createFollower(JOB_TABLE, undefined, {
      onSnapshot: rows => {
        jobRows = rows;
        if (this.isLoaded) this.applyJobs(rows);
      },
      onChanges: changes => this.applyJobs(changes.rows),
    });
    while (this.end === undefined && !this.isLoaded) {
      const [hasWorkers, hasJobs, progress, effects] = await Promise.all([
        workers.readSnapshot(),
        jobs.readSnapshot(),
        getPartRows(store, PROGRESS_TABLE, COORDINATOR_PART),
        getPartRows(store, EFFECT_TABLE, COORDINATOR_PART),
      ]);
      if (!hasWorkers || !hasJobs || progress.isErr()) {
        await clock.sleep(LOAD_RETRY_MS);
        continue;
      }
      // What an earlier coordinator learned is useful, but can be learned again.
      if (effects.isOk())
        this.care.getDisturbance().restore(effects.value.rows);
      this.restore(workerRows, jobRows, progress.value.rows);
    }
    if (this.end !== undefined) return;
    for (const follower of this.followers) void follower.run();
    this.schedulePass();
  }

  private restore(
    workerRows: readonly StoredRow[],
    jobRows: readonly StoredRow[],
    progressRows: readonly StoredRow[],
  ): void {
    const nowMs = this.options.clock.getMonotonicMs();
    this.ledger.restore(jobRows, progressRows, nowMs);
    this.pool.applyRows(workerRows);
    this.pool.adoptRuns(this.ledger.getActiveJobs());
    this.ledger.cancelRestoredJobs();
    this.isLoaded = true;
  }

  private createFollower(
    table: string,
    part: string | undefined,
    handlers: {
      onSnapshot: (rows: readonly StoredRow[]) => void;
      onChanges: (changes: RowChanges) => void;
    },
  ): TableFollower {
    const {store, clock, events} = this.options;
    const follower = TableFollower.create({
      store,
      clock,
      table,
      part,
      waitMs: FEED_WAIT_MS,
      reader: {
        ...handlers,
        onStoreLost: reason =>
          events.addEvent('store-lost', {detail: `${table}: ${reason}`}),
        onStoreRegained: () =>
          events.addEvent('store-regained', {detail: table}),
      },
    });
    this.followers.push(follower);
    return follower;
  }

  private applyWorkers(known: readonly WorkerSession[]): void {
    for (const session of known) this.care.emptyDrainingWorker(session);
    this.schedulePass();
  }

  private applyJobs(rows: readonly StoredRow[]): void {
    if (rows.length === 0) return;
    this.ledger.applyRows(rows);
    this.schedulePass();
  }

  private releaseRun(assigned: AssignedRun): void {
    this.ledger.releaseRun(assigned);
    this.schedulePass();
  }

  private checkReady(): void {
    const sessions = this.pool.getSessions();
    const fenced = sessions.filter(session => session.isFenced()).length;
    if (fenced < sessions.length * READY_SHARE) return;
    this.isReady = true;
    const elapsedMs = Math.round(
      this.options.clock.getMonotonicMs() - this.electedMs,
    );
    this.options.events.addEvent('coordinator-ready', {
      detail: `${fenced} of ${sessions.length} workers after ${elapsedMs} ms`,
    });
  }

  private schedulePass(): void {
    if (this.isPassScheduled || this.end !== undefined) return;
    if (this.isHandingOver) return;
    this.isPassScheduled = true;
    const delayMs = Math.max(
      PASS_DELAY_MS,
      this.lastPassMs * PASS_PAUSE_FACTOR,
    );
    this.options.clock.setTimer(delayMs, () => {
      this.isPassScheduled = false;
      if (this.end !== undefined) return;
      if (this.isCommitting) this.isPassNeeded = true;
      else void this.passAndCommit();
    });
  }

  private async passAndCommit(): Promise<void> {
    const {clock} = this.options;
    this.isCommitting = true;
    this.isPassNeeded = false;
    const startMs = clock.getMonotonicMs();
    this.placeWaitingTasks();
    this.lastPassMs = clock.getMonotonicMs() - startMs;
    const outcome = await this.writer.commit(this.ledger.takeChangedJobs());
    this.isCommitting = false;
    if (outcome === 'superseded') this.finish('superseded');
    if (this.end !== undefined) return;
    if (!this.ledger.hasChanges()) this.writer.runEffects();
    if (this.isPassNeeded || this.ledger.hasChanges()) this.schedulePass();
  }

  private placeWaitingTasks(): void {
    const wallMs = this.options.clock.getWallMs();
    const pass = PlacementPass.create({
      disturbance: this.care.getDisturbance(),
      workersByService: this.care.getUsableWorkers(this.pool.getSessions()),
      place: placement => this.placeTask(placement),
      undo: (assigned, {session}) => undoPlacement(assigned, session),
    });
    pass.run(this.getWaitingSteps(wallMs), wallMs);
    for (const step of pass.getPlacedSteps()) {
      this.options.events.addEvent('step-placed', {
        requestId: step.waiting.job.getId(),
        detail: renderPlacedStep(step, wallMs),
      });
    }
  }

  private getWaitingSteps(wallMs: number): WaitingStep[] {
    const jobs = this.ledger.getActiveJobs();
    return getWaitingSteps(jobs, job => this.ledger.getQueue(job), wallMs);
  }

  private placeTask({waiting, task, worker}: Placement): AssignedRun {
    const {job, occurrence, step} = waiting;
    const {session} = worker;
    const taskName = getTaskName(job, occurrence, step, task);
    const run = createTaskRun(
      session.getId(),
      session.getBornMs(),
      this.getNextRunNumber(step, taskName),
      this.options.clock.getMonotonicMs(),
    );
    task.runs.push(run);
    const assigned: AssignedRun = {
      job,
      occurrence,
      step,
      task,
      run,
      taskName,
      settledMs: undefined,
    };
    session.load.addRun(assigned);
    this.care.notePlacement(session, assigned);
    this.ledger.markChanged(job);
    this.writer.addEffect(() => this.startRun(session, assigned));
    return assigned;
  }

  private startRun(session: WorkerSession, assigned: AssignedRun): void {
    if (this.end !== undefined || this.isIsolated()) return;
    if (!assigned.task.runs.includes(assigned.run)) return;
    this.options.events.addEvent('run-started', {
      taskId: assigned.taskName,
      workerId: session.getId(),
      detail: `run ${assigned.run.runNumber}`,
    });
    void session.startRun(assigned);
  }

  /**
   * Run numbers of a term lie above those of all earlier terms. The members of
   * a gang share one number, which the first member that is placed takes.
   */
  private getNextRunNumber(step: StepState, taskName: string): number {
    const present = step.spec.isGang ? getGangRunNumber(step) : undefined;
    if (present !== undefined) return present;
    const owner = step.spec.isGang ? step : taskName;
    const count = (this.runCounters.get(owner) ?? 0) + 1;
    this.runCounters.set(owner, count);
    return (this.options.commitLog.term - 1) * RUNS_PER_TERM + count;
  }

  private scheduleTick(): void {
    this.options.clock.setTimer(TICK_MS, () => {
      if (this.end !== undefined) return;
      this.tick();
      this.scheduleTick();
    });
  }

  private tick(): void {
    if (this.isIsolated()) {
      this.finish('isolated');
      return;
    }
    const nowMs = this.options.clock.getMonotonicMs();
    for (const assigned of this.pool.takeEndedOrphans(nowMs))
      this.releaseRun(assigned);
    if (nowMs - this.lastLoadLogMs >= LOAD_LOG_INTERVAL_MS) this.logLoad(nowMs);
    if (this.isLoaded) void this.retention.purge();
    this.schedulePass();
  }

  private logLoad(nowMs: number): void {
    this.lastLoadLogMs = nowMs;
    const waiting = this.getWaitingSteps(this.options.clock.getWallMs());
    const detail = renderFleetLoad(this.pool.getSessions(), waiting);
    this.options.events.addEvent('fleet-load', {detail});
  }

  /** Without the store this node cannot know whether another one has taken over. */
  private isIsolated(): boolean {
    const {commitLog, clock} = this.options;
    const silentMs =
      clock.getMonotonicMs() - commitLog.getLastConfirmedSendMs();
    return silentMs > ISOLATION_LIMIT_MS;
  }
}

/** Takes a placement of the present pass back: nothing of it was stored or sent. */
function undoPlacement(assigned: AssignedRun, session: WorkerSession): void {
  const {task, run} = assigned;
  task.runs = task.runs.filter(each => each !== run);
  session.load.removeRun(assigned);
}

function getGangRunNumber(step: StepState): number | undefined {
  for (const {runs} of step.tasks) {
    if (runs.length > 0) return runs[0].runNumber;
  }
  return undefined;
}
