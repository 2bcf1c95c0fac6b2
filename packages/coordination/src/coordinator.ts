/** Places the tasks of all accepted jobs on workers, for one term. */

import {Clock} from '@mustardlug/base/clock';
import {AppError} from '@mustardlug/base/errors';
import {
  createTaskRun,
  encodeRowValue,
  toStoredProgress,
} from '@mustardlug/jobs/job_codec';
import {JobState, StepState, TaskState} from '@mustardlug/jobs/job_state';
import {FleetConfig, QueueConfig} from '@mustardlug/jobs/queue_config';
import {formatTaskName, parseTaskName} from '@mustardlug/jobs/task_name';
import {
  EndedRun,
  JobWorkerClient,
  RefusalReason,
  WorkerRecord,
} from '@mustardlug/platform/job_worker';
import {
  getPartRows,
  RowChanges,
  RowStore,
  RowWrite,
  StoredRow,
} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {Result} from 'neverthrow';
import {Board, QueueLoad} from './board.js';
import {CommitLog, MAX_COMMIT_ROWS} from './commit_log.js';
import {getRunsToMove} from './drain_planner.js';
import {DurationModel} from './duration_model.js';
import {FillerControl} from './filler_control.js';
import {renderFleetLoad, renderPlacedStep} from './fleet_report.js';
import {JobBook, JobChange} from './job_book.js';
import {
  BOARD_TABLE,
  COORDINATOR_PART,
  EFFECT_TABLE,
  JOB_TABLE,
  PROGRESS_TABLE,
  SINGLE_ROW_KEY,
} from './tables.js';
import {TableFollower} from './table_follower.js';
import {WaitingStep} from './task_order.js';
import {
  getWaitingSteps,
  Placement,
  PlacementPass,
  PlacementWorker,
} from './task_placer.js';
import {HealthChange, WorkerHealth} from './worker_health.js';
import {AssignedRun} from './worker_load.js';
import {
  EARLIER_LEASE_MS,
  SessionListener,
  WorkerSession,
} from './worker_session.js';

/** Decodes a registration of the platform's worker table. */
export type WorkerDecoder = (
  key: string,
  value: Buffer,
) => Result<WorkerRecord, AppError>;

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
  readonly events: EventRecorder;
}

/** Why a coordinator ended. */
export type CoordinatorEnd = 'superseded' | 'stopped' | 'isolated';

/** Time between a change and the placement of work, so that changes close together share it. */
const PASS_DELAY_MS = 4;

/** Pause between two passes, as a multiple of the last one's duration: leaves time for reports and orders. */
const PASS_PAUSE_FACTOR = 3;

/** Interval of the board; a fourth of the age at which its holder counts as lost. */
const BOARD_INTERVAL_MS = 300;

/** Interval of the checks that no change triggers. */
const TICK_MS = 250;

/** Longest wait for changes of a table. */
const FEED_WAIT_MS = 1_000;

/**
 * Time without a confirmed commit after which a coordinator gives no more
 * orders. Covers usual outages of the store; a successor waits for it where
 * it cannot reach a worker.
 */
const ISOLATION_LIMIT_MS = 5_500;

/** Interval at which learned effects are stored for a successor. */
const EFFECTS_INTERVAL_MS = 3_000;

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
  private readonly book = JobBook.create();
  private readonly sessions = new Map<string, WorkerSession>();
  private readonly dirtyJobs = new Set<JobState>();
  private readonly runCounters = new Map<StepState | string, number>();
  /** Runs of workers that are not registered, and when they have certainly ended. */
  private readonly orphans = new Map<AssignedRun, number>();
  private readonly fillers: FillerControl;
  private readonly health = WorkerHealth.create({
    durations: DurationModel.create(),
  });
  private afterCommit: Array<() => void> = [];
  private followers: TableFollower[] = [];
  private isPassScheduled = false;
  private isCommitting = false;
  private isPassNeeded = false;
  private isHandingOver = false;
  private isLoaded = false;
  private isReady = false;
  private electedMs = 0;
  private lastBoardMs = -Infinity;
  private lastPassMs = 0;
  private lastLoadLogMs = -Infinity;
  private lastEffectsMs = -Infinity;
  private end: CoordinatorEnd | undefined;
  private resolveEnd: ((end: CoordinatorEnd) => void) | undefined;

  private constructor(private readonly options: CoordinatorOptions) {
    const {clock, events} = options;
    this.fillers = FillerControl.create({clock, events});
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
    const {commitLog, events} = this.options;
    const isTaken = await commitLog.commit(this.createBoardChanges(), 1);
    if (isTaken === 'superseded') return 'superseded';
    this.electedMs = this.options.clock.getMonotonicMs();
    events.addEvent('coordinator-elected', {detail: `term ${commitLog.term}`});
    const ended = new Promise<CoordinatorEnd>(resolve => {
      this.resolveEnd = resolve;
    });
    void this.load();
    this.scheduleTick();
    const end = await ended;
    for (const follower of this.followers) follower.stop();
    for (const session of this.sessions.values()) session.stop();
    commitLog.close();
    events.addEvent('coordinator-ended', {
      detail: `term ${commitLog.term}: ${end}`,
    });
    return end;
  }

  /** Hands over: the board says that the role is free. */
  async stop(): Promise<void> {
    const {clock, commitLog} = this.options;
    this.isHandingOver = true;
    while (this.isCommitting && this.end === undefined)
      await clock.sleep(HANDOVER_POLL_MS);
    if (this.end !== undefined) return;
    this.isCommitting = true;
    await commitLog.commit(this.createBoardChanges(), MAX_HANDOVER_TRIES);
    this.finish('stopped');
  }

  /** Gets the number of jobs that are not done. */
  getActiveJobCount(): number {
    return this.book.getActiveJobs().size;
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
    if (assigned === undefined) this.noteUnassignedEnd(ended);
    else this.noteEnd(session, ended, assigned);
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
    this.stopUnwantedRuns(session);
    this.fillers.applyReport(session);
    this.judgeHealth(session);
    this.emptyDrainingWorker(session);
    const sequence = session.getProcessedSequence();
    const bornMs = session.getBornMs();
    this.afterCommit.push(() => session.acknowledge(sequence, bornMs));
    if (this.dirtyJobs.size === 0 && !this.isCommitting) this.runAfterCommit();
  }

  private checkReady(): void {
    const sessions = [...this.sessions.values()];
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

  /** Runs whose job ended while their worker was not known are stopped once it is. */
  private stopUnwantedRuns(session: WorkerSession): void {
    for (const assigned of session.load.getRuns()) {
      const {job, task, run} = assigned;
      if (run.isStopping || !(job.isEnded() || task.isDone)) continue;
      void session.stopRun(assigned);
    }
  }

  /** What cannot end on a worker that leaves goes on elsewhere before it leaves. */
  private emptyDrainingWorker(session: WorkerSession): void {
    const {isDraining, drainRemainingMs} = session.getRecord();
    if (!isDraining) return;
    const nowMs = this.options.clock.getMonotonicMs();
    for (const assigned of getRunsToMove(
      session.load,
      drainRemainingMs,
      nowMs,
    )) {
      this.options.events.addEvent('run-moved', {
        requestId: assigned.job.getId(),
        taskId: assigned.taskName,
        workerId: session.getId(),
        detail: `the worker leaves in ${drainRemainingMs ?? 'unknown'} ms`,
      });
      void session.stopRun(assigned);
    }
  }

  /** Sets a worker aside that is slower than the fleet, and moves its work. */
  private judgeHealth(session: WorkerSession): void {
    const nowMs = this.options.clock.getMonotonicMs();
    const workerId = session.getId();
    this.noteHealth(workerId, this.health.judge(session.load, workerId, nowMs));
    if (!this.health.isAside(workerId)) return;
    for (const assigned of this.health.findStragglers(session.load, nowMs))
      void session.stopRun(assigned);
  }

  private noteHealth(workerId: string, change: HealthChange): void {
    if (change === 'unchanged') return;
    const name =
      change === 'set-aside' ? 'worker-set-aside' : 'worker-restored';
    this.options.events.addEvent(name, {workerId});
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
        if (this.isLoaded) this.replaceWorkerRows(rows);
      },
      onChanges: changes => this.applyWorkerChanges(changes),
    });
    const jobs = this.createFollower(JOB_TABLE, undefined, {
      onSnapshot: rows => {
        jobRows = rows;
        if (this.isLoaded) this.applyJobRows(rows);
      },
      onChanges: changes => this.applyJobRows(changes.rows),
    });
    while (this.end === undefined && !this.isLoaded) {
      const [hasWorkers, hasJobs, progress, effects] = await Promise.all([
        workers.readSnapshot(),
        jobs.readSnapshot(),
        getPartRows(store, PROGRESS_TABLE, COORDINATOR_PART),
        getPartRows(store, EFFECT_TABLE, COORDINATOR_PART),
      ]);
      if (!hasWorkers || !hasJobs || progress.isErr()) continue;
      // What an earlier coordinator learned is useful, but can be learned again.
      if (effects.isOk()) this.fillers.disturbance.restore(effects.value.rows);
      const nowMs = clock.getMonotonicMs();
      this.book.restore(jobRows, progress.value.rows, nowMs);
      this.isLoaded = true;
    }
    if (this.end !== undefined) return;
    this.applyWorkerRows(workerRows);
    this.adoptRestoredRuns();
    for (const job of this.book.getActiveJobs()) {
      if (this.book.isCancelled(job.getId())) this.cancelJob(job);
    }
    for (const follower of this.followers) void follower.run();
    this.schedulePass();
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

  /** Workers that are missing from a whole table are not registered any more. */
  private replaceWorkerRows(rows: readonly StoredRow[]): void {
    const registered = new Set(rows.map(row => row.key));
    for (const [workerId, session] of this.sessions) {
      if (!registered.has(workerId)) session.setUnregistered();
    }
    this.applyWorkerRows(rows);
  }

  private applyWorkerRows(rows: readonly StoredRow[]): void {
    for (const row of rows) this.applyWorkerRow(row);
    this.schedulePass();
  }

  private applyWorkerChanges(changes: RowChanges): void {
    for (const row of changes.rows) this.applyWorkerRow(row);
    for (const {key} of changes.removed)
      this.sessions.get(key)?.setUnregistered();
    if (changes.rows.length > 0) this.schedulePass();
  }

  private applyWorkerRow(row: StoredRow): void {
    const decoded = this.options.decodeWorker(row.key, row.value);
    if (decoded.isErr()) {
      this.options.events.addEvent('worker-row-invalid', {
        workerId: row.key,
        detail: decoded.error.message,
      });
      return;
    }
    const session = this.sessions.get(row.key);
    if (session === undefined) {
      this.addSession(decoded.value);
      return;
    }
    session.setRecord(decoded.value);
    this.emptyDrainingWorker(session);
  }

  private addSession(record: WorkerRecord): void {
    const {clock, workerClient, commitLog, maxLeaseMs} = this.options;
    const session = WorkerSession.create({
      clock,
      client: workerClient,
      listener: this,
      fencingToken: commitLog.term,
      record,
      maxLeaseMs,
      earlierTermMs: ISOLATION_LIMIT_MS,
    });
    this.sessions.set(record.workerId, session);
    this.adoptOrphans(session);
    void session.run();
  }

  /** Hands stored runs to the sessions of their workers, which find out what became of them. */
  private adoptRestoredRuns(): void {
    const endMs =
      this.options.clock.getMonotonicMs() +
      ISOLATION_LIMIT_MS +
      EARLIER_LEASE_MS;
    for (const job of this.book.getActiveJobs()) {
      for (const occurrence of job.occurrences.values()) {
        for (const step of occurrence.steps)
          this.adoptStepRuns(job, occurrence.number, step, endMs);
      }
    }
  }

  private adoptStepRuns(
    job: JobState,
    occurrence: number,
    step: StepState,
    endMs: number,
  ): void {
    for (const task of step.tasks) {
      for (const run of task.runs) {
        const assigned: AssignedRun = {
          job,
          occurrence,
          step,
          task,
          run,
          taskName: getTaskName(job, occurrence, step, task),
          // A worker that knows this term carries out no earlier order.
          settledMs: -Infinity,
        };
        const session = this.sessions.get(run.workerId);
        if (session === undefined) this.orphans.set(assigned, endMs);
        else session.load.addRun(assigned);
      }
    }
  }

  private adoptOrphans(session: WorkerSession): void {
    for (const assigned of [...this.orphans.keys()]) {
      if (assigned.run.workerId !== session.getId()) continue;
      this.orphans.delete(assigned);
      session.load.addRun(assigned);
    }
  }

  private applyJobRows(rows: readonly StoredRow[]): void {
    for (const row of rows) {
      const change = this.book.applyRow(row);
      if (change !== undefined) this.noteJobChange(change);
    }
    if (rows.length > 0) this.schedulePass();
  }

  private noteJobChange(change: JobChange): void {
    const {job} = change;
    if (this.book.isCancelled(job.getId())) {
      this.cancelJob(job);
      return;
    }
    this.options.events.addEvent('job-noticed', {
      requestId: job.getId(),
      detail: job.accepted.queue.name,
    });
  }

  private cancelJob(job: JobState): void {
    if (job.isEnded()) return;
    job.phase = 'cancelled';
    this.options.events.addEvent('job-ended', {
      requestId: job.getId(),
      detail: 'cancelled',
    });
    this.markDirty(job);
    this.stopRuns(job);
  }

  /** Stops all runs of a job that has ended. */
  private stopRuns(job: JobState): void {
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps) {
        for (const task of step.tasks)
          this.stopTaskRuns(
            getTaskName(job, occurrence.number, step, task),
            task,
          );
      }
    }
  }

  private stopTaskRuns(taskName: string, task: TaskState): void {
    for (const run of task.runs) {
      const session = this.sessions.get(run.workerId);
      const assigned = session?.load.findRun(taskName, run.runNumber);
      if (session === undefined || assigned === undefined) continue;
      if (!run.isStopping) void session.stopRun(assigned);
    }
  }

  private noteEnd(
    session: WorkerSession,
    ended: EndedRun,
    assigned: AssignedRun,
  ): void {
    const {job, step, task, run} = assigned;
    if (!step.spec.isLongRunning) {
      const nowMs = this.options.clock.getMonotonicMs();
      this.noteHealth(
        session.getId(),
        this.health.noteEnd(assigned, ended.end, nowMs),
      );
    }
    task.runs = task.runs.filter(each => each !== run);
    if (ended.checkpoint !== '') task.checkpoint = ended.checkpoint;
    if (!job.isEnded() && !task.isDone) {
      if (ended.end === 'done') this.noteDone(job, step, task, ended.taskName);
      else if (ended.end === 'failed') this.noteFailure(job, step, task);
    }
    this.book.refreshActive(job);
    this.markDirty(job);
  }

  /** A run of an earlier term or lifetime may have ended well before its loss was noticed. */
  private noteUnassignedEnd(ended: EndedRun): void {
    if (ended.end !== 'done') return;
    const name = parseTaskName(ended.taskName);
    const job = name && this.book.findJob(name.jobId);
    if (name === undefined || job === undefined || job.isEnded()) return;
    const found = job.findTask(name.occurrence, name.stepIndex, name.taskIndex);
    if (found === undefined || found.task.isDone) return;
    if (found.step.spec.isLongRunning) return;
    this.noteDone(job, found.step, found.task, ended.taskName);
    this.markDirty(job);
  }

  private noteDone(
    job: JobState,
    step: StepState,
    task: TaskState,
    taskName: string,
  ): void {
    if (step.spec.isLongRunning) return;
    // A gang works and ends together: one end stands for all members.
    const doneTasks = step.spec.isGang ? step.tasks : [task];
    for (const each of doneTasks) step.markDone(each);
    if (!step.spec.isGang) this.stopTaskRuns(taskName, task);
    if (!step.isDone()) return;
    job.closeDoneOccurrences();
    if (!job.isEnded()) return;
    this.options.events.addEvent('job-ended', {
      requestId: job.getId(),
      detail: job.phase,
    });
  }

  private noteFailure(job: JobState, step: StepState, task: TaskState): void {
    if (step.spec.isLongRunning) return;
    task.failures++;
    const {maxAttempts} = this.getQueue(job);
    const failures = step.spec.isGang ? getGangFailures(step) : task.failures;
    if (failures < maxAttempts) return;
    job.phase = 'failed';
    this.options.events.addEvent('job-ended', {
      requestId: job.getId(),
      detail: `failed: a task of step ${step.index} failed ${failures} times`,
    });
    this.stopRuns(job);
  }

  /** Lets a task be placed again. */
  private releaseRun(assigned: AssignedRun): void {
    const {job, step, task, run} = assigned;
    task.runs = task.runs.filter(each => each !== run);
    if (step.spec.isGang) this.stopGang(assigned);
    this.book.refreshActive(job);
    this.markDirty(job);
    this.schedulePass();
  }

  /** Without one member the others would only wait for it. */
  private stopGang({job, occurrence, step}: AssignedRun): void {
    for (const task of step.tasks)
      this.stopTaskRuns(getTaskName(job, occurrence, step, task), task);
  }

  private markDirty(job: JobState): void {
    this.dirtyJobs.add(job);
    this.schedulePass();
  }

  private getQueue(job: JobState): QueueConfig {
    const {queue} = job.accepted;
    const config = this.options.getConfig();
    return config?.queues.find(each => each.name === queue.name) ?? queue;
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
    this.isCommitting = true;
    this.isPassNeeded = false;
    const startMs = this.options.clock.getMonotonicMs();
    this.placeWaitingTasks();
    this.lastPassMs = this.options.clock.getMonotonicMs() - startMs;
    await this.commitDirtyJobs();
    this.isCommitting = false;
    if (this.end !== undefined) return;
    this.runAfterCommit();
    if (this.isPassNeeded || this.dirtyJobs.size > 0) this.schedulePass();
  }

  private placeWaitingTasks(): void {
    const {clock} = this.options;
    const wallMs = clock.getWallMs();
    const pass = PlacementPass.create({
      disturbance: this.fillers.disturbance,
      workersByService: this.getUsableWorkers(clock.getMonotonicMs()),
      place: placement => this.placeTask(placement),
      undo: (assigned, {session}) => this.undoPlacement(assigned, session),
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
    const jobs = this.book.getActiveJobs();
    return getWaitingSteps(jobs, job => this.getQueue(job), wallMs);
  }

  private getUsableWorkers(nowMs: number): Map<string, PlacementWorker[]> {
    const workers = new Map<string, PlacementWorker[]>();
    for (const session of this.sessions.values()) {
      if (!session.isUsable()) continue;
      const workerId = session.getId();
      if (!this.health.isUsable(workerId, nowMs)) continue;
      const {serviceName, rack, labels} = session.getRecord();
      const list = workers.get(serviceName) ?? [];
      const takesFillers = this.fillers.isOpen(workerId, nowMs);
      list.push({session, load: session.load, rack, labels, takesFillers});
      workers.set(serviceName, list);
    }
    return workers;
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
    this.health.notePlacement(session.getId(), run.placedMs);
    const {isFiller, image} = step.spec;
    if (isFiller)
      this.fillers.disturbance.notePlacement(image ?? '', session.load);
    this.dirtyJobs.add(job);
    this.afterCommit.push(() => this.startRun(session, assigned));
    return assigned;
  }

  /** Takes a placement of this pass back: nothing of it was stored or sent. */
  private undoPlacement(assigned: AssignedRun, session: WorkerSession): void {
    const {task, run} = assigned;
    task.runs = task.runs.filter(each => each !== run);
    session.load.removeRun(assigned);
  }

  private startRun(session: WorkerSession, assigned: AssignedRun): void {
    if (this.isIsolated() || !assigned.task.runs.includes(assigned.run)) return;
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

  private async commitDirtyJobs(): Promise<void> {
    const jobs = [...this.dirtyJobs];
    this.dirtyJobs.clear();
    const wallMs = this.options.clock.getWallMs();
    for (const job of jobs) {
      if (job.phase === 'pending' && job.hasRuns()) job.phase = 'running';
    }
    const writes = jobs.map<RowWrite>(job => ({
      table: PROGRESS_TABLE,
      part: COORDINATOR_PART,
      key: job.getId(),
      value: encodeRowValue(toStoredProgress(job, wallMs)),
    }));
    const isBoardDue =
      this.options.clock.getMonotonicMs() - this.lastBoardMs >=
      BOARD_INTERVAL_MS;
    if (isBoardDue) writes.push(...this.createBoardChanges().writes);
    writes.push(...this.createEffectWrites());
    const effects = this.afterCommit;
    this.afterCommit = [];
    while (writes.length > 0) {
      const chunk = writes.splice(0, MAX_COMMIT_ROWS);
      const {commitLog} = this.options;
      const outcome = await commitLog.commit({writes: chunk, removals: []});
      if (outcome === 'superseded') {
        this.finish('superseded');
        return;
      }
    }
    if (this.end !== undefined) return;
    for (const effect of effects) effect();
  }

  private createEffectWrites(): RowWrite[] {
    const nowMs = this.options.clock.getMonotonicMs();
    if (nowMs - this.lastEffectsMs < EFFECTS_INTERVAL_MS) return [];
    this.lastEffectsMs = nowMs;
    return this.fillers.disturbance.getChanges().map(({image, effects}) => ({
      table: EFFECT_TABLE,
      part: COORDINATOR_PART,
      key: image,
      value: encodeRowValue(effects),
    }));
  }

  private runAfterCommit(): void {
    if (this.dirtyJobs.size > 0) return;
    const effects = this.afterCommit;
    this.afterCommit = [];
    for (const effect of effects) effect();
  }

  private createBoardChanges() {
    const {commitLog, nodeId, clock} = this.options;
    this.lastBoardMs = clock.getMonotonicMs();
    const board: Board = {
      term: commitLog.term,
      holder: this.isHandingOver ? '' : nodeId,
      writtenStoreMs: commitLog.getStoreMs(),
      queues: this.isLoaded ? this.getQueueLoads() : undefined,
    };
    const write: RowWrite = {
      table: BOARD_TABLE,
      part: COORDINATOR_PART,
      key: SINGLE_ROW_KEY,
      value: encodeRowValue(board),
    };
    return {writes: [write], removals: []};
  }

  private getQueueLoads(): Record<string, QueueLoad> {
    const waiting: Record<string, number> = {};
    for (const job of this.book.getActiveJobs()) {
      if (job.phase !== 'pending') continue;
      const {name} = job.accepted.queue;
      waiting[name] = (waiting[name] ?? 0) + 1;
    }
    const loads: Record<string, QueueLoad> = {};
    for (const [name, waitingJobs] of Object.entries(waiting))
      loads[name] = {waitingJobs, retryAfterMs: 0};
    return loads;
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
    for (const [assigned, endMs] of this.orphans) {
      if (nowMs < endMs) continue;
      this.orphans.delete(assigned);
      this.releaseRun(assigned);
    }
    if (nowMs - this.lastLoadLogMs >= LOAD_LOG_INTERVAL_MS) this.logLoad(nowMs);
    this.schedulePass();
  }

  private logLoad(nowMs: number): void {
    this.lastLoadLogMs = nowMs;
    const waiting = this.getWaitingSteps(this.options.clock.getWallMs());
    const detail = renderFleetLoad([...this.sessions.values()], waiting);
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

function getGangFailures(step: StepState): number {
  let failures = 0;
  for (const task of step.tasks) failures += task.failures;
  return failures;
}

function getGangRunNumber(step: StepState): number | undefined {
  for (const {runs} of step.tasks) {
    if (runs.length > 0) return runs[0].runNumber;
  }
  return undefined;
}

function getTaskName(
  job: JobState,
  occurrence: number,
  step: StepState,
  task: TaskState,
): string {
  return formatTaskName({
    jobId: job.getId(),
    occurrence,
    stepIndex: step.index,
    taskIndex: task.index,
  });
}
