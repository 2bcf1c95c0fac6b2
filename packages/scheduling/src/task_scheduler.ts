/**
 * Binds tasks to leased workers and carries each attempt to its end.
 *
 * Rows in the table say which worker an attempt is bound to; a start is sent
 * only after its row is written. Workers say what runs. Each renewal compares
 * the two for one worker.
 */

import {Clock, Timer} from '@mustardlug/base/clock';
import {OutlierTracker} from '@mustardlug/base/outlier_tracker';
import {RandomSource} from '@mustardlug/base/random_source';
import {
  EnvironmentDocument,
  TeamDeclaration,
} from '@mustardlug/document/environment_document';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {GroupCommitter} from '@mustardlug/platform/group_committer';
import {TokenSource} from '@mustardlug/platform/row_token';
import {TableService} from '@mustardlug/platform/table_service';
import {Vm} from '@mustardlug/platform/vm_list';
import {
  AttemptReport,
  WorkerClient,
  WorkerCommand,
} from '@mustardlug/platform/worker_client';
import {
  createAttemptStart,
  isBoundTo,
  isFittingAlone,
} from './attempt_records.js';
import {CommandBatcher} from './command_batcher.js';
import {DisturbanceWatch} from './disturbance_watch.js';
import {EvictionPlanner} from './eviction_planner.js';
import {FairShareQueue, PendingTask} from './fair_share_queue.js';
import {Fleet} from './fleet.js';
import {GoneWorkerTracker} from './gone_worker_tracker.js';
import {InterferenceModel} from './interference_model.js';
import {getInfeasibleReason} from './job_feasibility.js';
import {JobMaintainer} from './job_maintainer.js';
import {
  hasReplica,
  PlacementPolicy,
  PlacementRequest,
} from './placement_policy.js';
import {ScoredPlacement} from './scored_placement.js';
import {SizeEstimator} from './size_estimator.js';
import {CachedTask, TaskCache} from './task_cache.js';
import {ENDED_TASK_RETENTION_MS, TaskPurger} from './task_purger.js';
import {TaskRecord} from './task_record.js';
import {TaskWriter} from './task_writer.js';
import {PlacedTask, ResourceAmount, WorkerView} from './worker_view.js';

/** Kinds of things that the scheduler reports. */
export type SchedulerEvent =
  | 'task-bound'
  | 'task-started'
  | 'task-finished'
  | 'task-evicted'
  | 'task-throttled'
  | 'task-failed'
  | 'task-cancelled'
  | 'job-infeasible'
  | 'worker-set-aside'
  | 'table-failed';

/** Subject of a scheduler event. */
export interface SchedulerEventSubject {
  readonly taskId?: string;
  readonly workerId?: string;
  readonly detail?: string;
}

/** Options of a task scheduler. */
export interface TaskSchedulerOptions {
  readonly schedulerId: string;
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly table: TableService;
  readonly committer: GroupCommitter;
  readonly tokens: TokenSource;
  readonly client: WorkerClient;
  /** Asks for a worker's state soon, for example after a stop command. */
  readonly renewSoon: (workerId: string, delayMs: number) => void;
  /** Longest time that the VM list may lag behind. */
  readonly listLagMs: number;
  /** Whether disturbed services are helped by throttling and evicting. */
  readonly isThrottling?: boolean;
  /** Replaces the scored placement, for comparisons. */
  readonly placement?: PlacementPolicy;
  readonly onEvent: (
    name: SchedulerEvent,
    subject: SchedulerEventSubject,
  ) => void;
}

const TICK_MS = 100;
const REFRESH_MS = 250;
const JOBS_REFRESH_MS = 1_000;
/** Tasks whose home is another scheduler are taken over after this time. */
const FOREIGN_TASK_DELAY_MS = 1_500;
const STEAL_INTERVAL_MS = 2_000;
const PURGE_INTERVAL_MS = 10_000;
const MAX_BINDS_PER_TICK = 400;
/** Jobs without a fitting worker that are looked at in one round. */
const MAX_BLOCKED_JOBS = 40;
/** Attempts bound ahead on each worker, which start without the table service. */
const BACKLOG_PER_WORKER = 2;
const MAX_ASIDE_FRACTION = 0.2;
/** Time in which entries learn that a worker is leaving, before its services stop. */
const LEAVING_GRACE_MS = 4_000;
/** Time after a stop command in which most attempts have written their checkpoint. */
const STOP_CHECK_MS = 150;
const RETRY_BACKOFF_MS = 200;
const MAX_RETRY_BACKOFF_MS = 10_000;

/** Scheduler of the workers that this process holds. */
export class TaskScheduler {
  private readonly cache: TaskCache;
  private readonly writer: TaskWriter;
  private readonly batcher: CommandBatcher;
  private readonly fleet: Fleet;
  private readonly jobs: JobMaintainer;
  private readonly goneWorkers: GoneWorkerTracker;
  private readonly purger: TaskPurger;
  private readonly disturbance: DisturbanceWatch;
  private readonly evictions = EvictionPlanner.create();
  private readonly views = new Map<string, WorkerView>();
  private readonly starting = new Set<string>();
  private readonly stopping = new Map<string, StopReason>();
  private readonly sizes = SizeEstimator.create();
  private readonly health: OutlierTracker;
  private readonly leavingSince = new Map<string, number>();
  private readonly retryAt = new Map<string, number>();
  private readonly backlog = new Map<string, Set<string>>();
  private placement: PlacementPolicy | undefined;
  private document: EnvironmentDocument | undefined;
  private timers = new Map<string, Timer>();
  private isUrgentWaiting = false;
  private isStopped = false;

  private constructor(private readonly options: TaskSchedulerOptions) {
    this.cache = TaskCache.create(
      options.table,
      options.failureDomain,
      record => this.learnSize(record),
    );
    this.writer = TaskWriter.create({
      cache: this.cache,
      committer: options.committer,
      clock: options.clock,
      onTableFailure: detail => options.onEvent('table-failed', {detail}),
    });
    this.batcher = CommandBatcher.create(options.client, options.clock);
    const {schedulerId, failureDomain, clock, listLagMs} = options;
    this.fleet = Fleet.create(schedulerId, failureDomain);
    this.goneWorkers = GoneWorkerTracker.create(clock, listLagMs);
    this.disturbance = DisturbanceWatch.create(clock);
    this.purger = TaskPurger.create({...options, cache: this.cache});
    this.jobs = JobMaintainer.create({
      ...options,
      cache: this.cache,
      fleet: this.fleet,
    });
    this.health = OutlierTracker.create({
      clock: options.clock,
      maxAsideFraction: MAX_ASIDE_FRACTION,
    });
  }

  /**
   * Creates a scheduler without workers.
   * @param options - Identity, table, workers and policies.
   */
  static create(options: TaskSchedulerOptions): TaskScheduler {
    return new TaskScheduler(options);
  }

  /** Begins to schedule. */
  start(): void {
    this.repeat('tick', TICK_MS, () => this.tick());
    this.repeat('refresh', REFRESH_MS, () => this.writer.refresh());
    this.repeat('jobs', JOBS_REFRESH_MS, () => this.jobs.refresh());
    this.repeat('purge', PURGE_INTERVAL_MS, () => this.purge());
    this.repeat('steal', STEAL_INTERVAL_MS, () => this.stealTasks());
  }

  /** Ends all activity; running attempts go on at their workers. */
  stop(): void {
    this.isStopped = true;
    for (const timer of this.timers.values()) timer.cancel();
  }

  /**
   * Sets the document in force.
   * @param document - Checked document.
   */
  setDocument(document: EnvironmentDocument): void {
    this.document = document;
    this.jobs.setDocument(document);
    const {random} = this.options;
    const {objective} = document;
    const slowdownLimit = this.disturbance.setObjective(objective);
    const model = this.disturbance.getModel();
    this.placement =
      this.options.placement ??
      ScoredPlacement.create({objective, model, random, slowdownLimit});
  }

  /**
   * Sets the VM list and the schedulers of this domain.
   * @param vms - All VMs.
   * @param schedulers - Ids of the live schedulers of this domain.
   */
  setVms(vms: readonly Vm[], schedulers: readonly string[]): void {
    this.fleet.setVms(vms, schedulers);
    this.jobs.updateWantedReplicas();
  }

  /** Notes that the VM list was read just now, changed or not. */
  noteVmListRead(): void {
    this.goneWorkers.noteListRead();
  }

  /**
   * Adds a worker whose lease was granted.
   * @param lease - Lease of the worker.
   */
  addWorker(lease: WorkerLease): void {
    const status = lease.getStatus();
    const {workerId, cores, memoryMb, accelerators} = status;
    const vm = this.fleet.getVm(workerId);
    const view = WorkerView.create(
      vm?.rack ?? '',
      this.options.failureDomain,
      {cores, memoryMb, accelerators},
      lease,
    );
    this.views.set(workerId, view);
    this.health.addMember(workerId);
    this.takeInReports(view);
    void this.syncView(view);
  }

  /**
   * Takes in a renewal.
   * @param lease - Lease of the worker.
   */
  updateWorker(lease: WorkerLease): void {
    const view = this.views.get(lease.address.workerId);
    if (view === undefined || view.lease !== lease) return;
    this.takeInReports(view);
    this.reconcile(view);
  }

  /**
   * Removes a worker whose lease was lost.
   * @param workerId - Id of the worker.
   */
  removeWorker(workerId: string): void {
    this.views.delete(workerId);
    this.health.removeMember(workerId);
    this.backlog.delete(workerId);
  }

  /**
   * Gets the record of a task of this domain that has not ended.
   * @param taskId - Id of the task.
   */
  getTask(taskId: string): TaskRecord | undefined {
    return this.cache.getTask(taskId)?.record;
  }

  /** Gets the number of pending tasks of this domain. */
  getPendingCount(): number {
    return this.cache.getPending().length;
  }

  /** Gets what was learned about interference. */
  getModel(): InterferenceModel {
    return this.disturbance.getModel();
  }

  /** Ended tasks tell what their job really uses, whoever ran them. */
  private learnSize(record: TaskRecord): void {
    const {name, peakCores, peakMemoryMb} = record;
    if (peakCores === undefined || peakMemoryMb === undefined) return;
    this.sizes.addPeak(name, {cores: peakCores, memoryMb: peakMemoryMb});
  }

  /** A view may be acted on once rows were read that are newer than its lease. */
  private async syncView(view: WorkerView): Promise<void> {
    const refreshed = await this.cache.refresh();
    if (refreshed.isErr()) {
      this.options.clock.setTimer(REFRESH_MS, () => {
        if (this.isCurrent(view)) void this.syncView(view);
      });
      return;
    }
    view.isSynced = true;
    if (this.isCurrent(view)) this.reconcile(view);
  }

  private readonly isStopping = (taskId: string): boolean =>
    this.stopping.has(taskId);

  private isCurrent(view: WorkerView): boolean {
    return !this.isStopped && this.views.get(view.workerId) === view;
  }

  private takeInReports(view: WorkerView): void {
    const status = view.lease.getStatus();
    view.reports = status.attempts;
    this.updateLeaving(view, status.isLeaving);
    for (const report of status.attempts) {
      if (report.state !== 'running') {
        this.removeEnded(view, report);
        continue;
      }
      this.sizes.addReport(report);
      view.addTask(this.getPlacedTask(report));
    }
    this.disturbance.addReport(status);
  }

  /** The report may be of an earlier attempt than the one that is placed. */
  private removeEnded(view: WorkerView, report: AttemptReport): void {
    const record = this.cache.getTask(report.taskId)?.record;
    const isLater = record !== undefined && record.attempt > report.attempt;
    if (!isLater) view.removeTask(report.taskId);
  }

  private updateLeaving(view: WorkerView, isReported: boolean): void {
    const vm = this.fleet.getVm(view.workerId);
    view.isLeaving = isReported || vm?.state === 'leaving';
    if (!view.isLeaving) this.leavingSince.delete(view.workerId);
    else if (!this.leavingSince.has(view.workerId)) {
      this.leavingSince.set(view.workerId, this.options.clock.getMonotonicMs());
    }
  }

  private getPlacedTask(report: AttemptReport): PlacedTask {
    const {taskId, kind, name} = report;
    const record = this.cache.getTask(taskId)?.record;
    const isUrgent = record?.isUrgent ?? false;
    const charged = this.sizes.getCharged(
      name,
      report,
      this.getLargestWorker(),
    );
    return {taskId, kind, name, isUrgent, charged};
  }

  /** Compares rows and reports of one worker and acts on each difference. */
  private reconcile(view: WorkerView): void {
    if (!view.isSynced || !view.lease.isValid()) return;
    const commands: WorkerCommand[] = [];
    for (const report of view.reports) {
      this.reconcileReport(view, report, commands);
    }
    for (const taskId of this.cache.getBoundIds(view.workerId)) {
      this.reconcileBound(view, taskId);
    }
    this.reconcileLeaving(view, commands);
    this.reconcileDisturbance(view, commands);
    if (commands.length > 0) void this.sendCommands(view, commands);
  }

  private reconcileReport(
    view: WorkerView,
    report: AttemptReport,
    commands: WorkerCommand[],
  ): void {
    const {taskId, attempt} = report;
    const task = this.cache.getTask(taskId);
    if (task?.isWriting) return;
    const name = {taskId, attempt};
    if (task === undefined || !isBoundTo(task.record, view, attempt)) {
      const kind = report.state === 'running' ? 'stop' : 'acknowledge';
      commands.push({kind, name});
      return;
    }
    switch (report.state) {
      case 'running':
        if (this.jobs.isUnwanted(task.record))
          this.requestStop(task, 'cancelled');
        // Sending the stop again also asks for the worker's state again soon.
        if (this.stopping.has(taskId)) commands.push({kind: 'stop', name});
        return;
      case 'finished':
        void this.commitEnd(view, task, report, 'done');
        return;
      case 'failed':
        this.noteStartHealth(view, true);
        void this.commitEnd(view, task, report, 'failed');
        return;
      case 'stopped':
        void this.commitEnd(view, task, report, 'stopped');
        return;
    }
  }

  /** Starts attempts that are bound here but not reported, or frees them from an earlier boot. */
  private reconcileBound(view: WorkerView, taskId: string): void {
    const task = this.cache.getTask(taskId);
    if (task === undefined || task.isWriting) return;
    const {record} = task;
    if (view.isReported(taskId, record.attempt)) return;
    if (this.starting.has(taskId)) return;
    if (record.bootId !== view.lease.getStatus().bootId) {
      void this.commitUnbind(task, 'the worker was restarted');
      return;
    }
    if (this.jobs.isUnwanted(record)) {
      void this.commitCancelled(task);
      return;
    }
    if (view.isLeaving) {
      void this.commitUnbind(task, 'the worker is leaving');
      return;
    }
    void this.startBound(view, task);
  }

  private reconcileLeaving(view: WorkerView, commands: WorkerCommand[]): void {
    const sinceMs = this.leavingSince.get(view.workerId);
    if (sinceMs === undefined) return;
    const leavingMs = this.options.clock.getMonotonicMs() - sinceMs;
    for (const report of view.reports) {
      if (report.state !== 'running') continue;
      const isService = report.kind === 'service';
      if (isService && leavingMs < LEAVING_GRACE_MS) continue;
      const {taskId, attempt} = report;
      this.stopping.set(taskId, 'moved');
      commands.push({kind: 'stop', name: {taskId, attempt}});
    }
  }

  private reconcileDisturbance(
    view: WorkerView,
    commands: WorkerCommand[],
  ): void {
    if (this.options.isThrottling === false) return;
    const decision = this.disturbance.getDecision(view, this.isStopping);
    if (decision === undefined) return;
    const {action, service} = decision;
    if (action.kind === 'none') return;
    const {taskId, attempt} = action.target;
    const {workerId} = view;
    const name = {taskId, attempt};
    if (action.kind === 'evict') {
      this.stopping.set(taskId, 'evicted');
      commands.push({kind: 'stop', name});
      return;
    }
    const {cpuShare} = action;
    commands.push({kind: 'throttle', name, cpuShare});
    const detail = `processor share ${cpuShare}; ${service.name} is slowed ${service.slowdown.toFixed(2)} times`;
    this.options.onEvent('task-throttled', {taskId, workerId, detail});
  }

  private async sendCommands(
    view: WorkerView,
    commands: readonly WorkerCommand[],
  ): Promise<void> {
    await Promise.all(
      commands.map(command => this.batcher.addCommand(view, command)),
    );
    const isStopping = commands.some(command => command.kind === 'stop');
    if (isStopping) this.options.renewSoon(view.workerId, STOP_CHECK_MS);
  }

  /** Starts an attempt whose row is written, if the worker has room for it. */
  private async startBound(view: WorkerView, task: CachedTask): Promise<void> {
    const {record} = task;
    const {taskId} = record;
    const placed = this.createPlacedTask(record);
    if (!view.isPlaced(taskId)) {
      // Room that was made for urgent work is not for attempts bound ahead.
      if (this.isUrgentWaiting && !record.isUrgent) return;
      if (!view.isFitting(placed.charged)) return;
      view.addTask(placed);
    }
    if (!view.lease.isValid()) return;
    this.starting.add(taskId);
    const answer = await this.batcher.addCommand(view, {
      kind: 'start',
      start: createAttemptStart(record),
    });
    this.starting.delete(taskId);
    this.backlog.get(view.workerId)?.delete(taskId);
    // Without an answer the next renewal tells whether the attempt runs.
    if (answer === undefined) return;
    if (!answer.isAccepted) {
      view.removeTask(taskId);
      return;
    }
    const detail = `attempt ${record.attempt}`;
    const {workerId} = view;
    this.options.onEvent('task-started', {taskId, workerId, detail});
  }

  private async commitEnd(
    view: WorkerView,
    task: CachedTask,
    report: AttemptReport,
    end: 'done' | 'failed' | 'stopped',
  ): Promise<void> {
    const {taskId} = task.record;
    const stopReason = this.stopping.get(taskId);
    const next = this.getEndRecord(task.record, report, end);
    const isWritten = await this.writer.writeRecord(task, next);
    if (!isWritten) return;
    this.stopping.delete(taskId);
    view.removeTask(taskId);
    if (end === 'done') this.noteStartHealth(view, false);
    const {workerId} = view;
    const event = getEndEvent(next.state, end, stopReason);
    const detail = `attempt ${report.attempt}, ${Math.round(report.coreMs)} core-ms`;
    this.options.onEvent(event, {taskId, workerId, detail});
    const name = {taskId, attempt: report.attempt};
    await this.sendCommands(view, [{kind: 'acknowledge', name}]);
    this.startBacklog(view);
  }

  /** Starts attempts that were bound ahead, now that room came free. */
  private startBacklog(view: WorkerView): void {
    if (!this.isCurrent(view) || !view.isSynced) return;
    for (const taskId of this.backlog.get(view.workerId) ?? []) {
      this.reconcileBound(view, taskId);
    }
  }

  private getEndRecord(
    record: TaskRecord,
    report: AttemptReport,
    end: 'done' | 'failed' | 'stopped',
  ): TaskRecord {
    const writeToken = this.options.tokens.getNext();
    if (end === 'done') {
      const peak = this.sizes.getPeak(record.name);
      return {
        ...record,
        writeToken,
        state: 'done',
        result: report.result,
        peakCores: peak?.cores,
        peakMemoryMb: peak?.memoryMb,
      };
    }
    if (this.jobs.isUnwanted(record)) {
      return {...record, writeToken, state: 'cancelled'};
    }
    const checkpoint = report.checkpoint ?? record.checkpoint;
    if (end === 'stopped') {
      const evictions = record.evictions + 1;
      return {...record, writeToken, state: 'pending', evictions, checkpoint};
    }
    const failures = record.failures + 1;
    const isOver = record.kind === 'batch' && failures >= record.maxAttempts;
    this.setRetryTime(record.taskId, failures);
    return {
      ...record,
      writeToken,
      failures,
      state: isOver ? 'failed' : 'pending',
      reason: `attempt ${record.attempt} failed on ${record.workerId}`,
    };
  }

  private setRetryTime(taskId: string, failures: number): void {
    const backoffMs = Math.min(
      MAX_RETRY_BACKOFF_MS,
      RETRY_BACKOFF_MS * 2 ** Math.min(failures, 10),
    );
    const nowMs = this.options.clock.getMonotonicMs();
    this.retryAt.set(taskId, nowMs + backoffMs);
  }

  private noteStartHealth(view: WorkerView, isFailure: boolean): void {
    const change = this.health.noteResult(view.workerId, isFailure);
    if (change !== 'set-aside') return;
    const {workerId} = view;
    this.options.onEvent('worker-set-aside', {workerId});
  }

  private async commitUnbind(task: CachedTask, reason: string): Promise<void> {
    const {workerId} = task.record;
    const next: TaskRecord = {
      ...task.record,
      writeToken: this.options.tokens.getNext(),
      state: 'pending',
      reason,
    };
    const isWritten = await this.writer.writeRecord(task, next);
    if (!isWritten || workerId === undefined) return;
    this.views.get(workerId)?.removeTask(next.taskId);
    this.backlog.get(workerId)?.delete(next.taskId);
  }

  private async commitCancelled(task: CachedTask): Promise<void> {
    const {workerId, taskId} = task.record;
    const writeToken = this.options.tokens.getNext();
    const next: TaskRecord = {...task.record, writeToken, state: 'cancelled'};
    const isWritten = await this.writer.writeRecord(task, next);
    if (!isWritten) return;
    if (workerId !== undefined) this.views.get(workerId)?.removeTask(taskId);
    this.options.onEvent('task-cancelled', {taskId});
  }

  private tick(): void {
    if (this.document === undefined || this.placement === undefined) return;
    this.unbindFromGoneWorkers();
    this.isUrgentWaiting = false;
    this.evictions.startRound();
    const {own, foreign} = this.getEligiblePending();
    const usable = this.getUsableViews();
    const isRoomLeft = this.scheduleTasks(own, usable);
    // Schedulers would race for the same tasks if all took the oldest first.
    if (isRoomLeft) this.scheduleTasks(foreign, usable);
  }

  /** Places tasks in their fair order; returns whether all found a worker. */
  private scheduleTasks(
    pending: readonly PendingTask[],
    usable: readonly WorkerView[],
  ): boolean {
    if (pending.length === 0) return true;
    const queue = FairShareQueue.create(
      this.getDomainTeams(this.document?.teams ?? []),
      this.getUsedCores(),
      pending,
    );
    const blockedNames = new Set<string>();
    for (let binds = 0; binds < MAX_BINDS_PER_TICK;) {
      const next = queue.removeNext();
      if (next === undefined) break;
      const task = this.cache.getTask(next.taskId);
      if (task === undefined || task.isWriting) continue;
      if (blockedNames.has(task.record.name)) continue;
      if (this.scheduleTask(task, usable)) {
        binds++;
        queue.notePlaced(next);
        continue;
      }
      if (next.kind === 'service' || next.isUrgent) continue;
      blockedNames.add(task.record.name);
      if (blockedNames.size >= MAX_BLOCKED_JOBS) break;
    }
    return blockedNames.size === 0;
  }

  private scheduleTask(
    task: CachedTask,
    usable: readonly WorkerView[],
  ): boolean {
    const view = this.chooseView(task.record, usable);
    if (view !== undefined) {
      void this.bind(view, task, true);
      return true;
    }
    if (task.record.kind === 'batch' && !task.record.isUrgent) {
      return this.bindAhead(task, usable);
    }
    this.isUrgentWaiting = true;
    this.makeRoom(task.record, usable);
    return false;
  }

  /** Each domain enforces its part of a quota, by its part of the workers. */
  private getDomainTeams(teams: readonly TeamDeclaration[]): TeamDeclaration[] {
    const fraction = this.fleet.getOwnFraction();
    return teams.map(team => ({
      ...team,
      quotaCores: team.quotaCores * fraction,
    }));
  }

  /** Each task has a preferred scheduler; the others wait before they take it. */
  private getEligiblePending(): EligibleTasks {
    const nowMs = this.options.clock.getMonotonicMs();
    const own: PendingTask[] = [];
    const foreign: PendingTask[] = [];
    for (const task of this.cache.getPending()) {
      const {record} = task;
      const rank = this.fleet.getRank(record.taskId);
      if (rank > 0 && !this.isOverdue(record, rank)) continue;
      if ((this.retryAt.get(record.taskId) ?? 0) > nowMs) continue;
      if (this.jobs.isUnwanted(record)) {
        void this.commitCancelled(task);
        continue;
      }
      if (this.setInfeasible(task)) continue;
      const isPressing = record.kind === 'service' || record.isUrgent;
      if (rank === 0 || isPressing) own.push(record);
      else foreign.push(record);
    }
    return {own, foreign};
  }

  private isOverdue(record: TaskRecord, rank: number): boolean {
    const ageMs = this.options.clock.getWallMs() - record.submittedAtMs;
    const delayMs = record.isUrgent
      ? FOREIGN_TASK_DELAY_MS / 4
      : FOREIGN_TASK_DELAY_MS;
    return ageMs > delayMs * rank;
  }

  private setInfeasible(task: CachedTask): boolean {
    const {record} = task;
    const team = this.document?.teams.find(({name}) => name === record.team);
    const reason = getInfeasibleReason(
      record,
      this.fleet.getWorkerSizes(),
      team,
    );
    if (reason === undefined) return false;
    const writeToken = this.options.tokens.getNext();
    const next: TaskRecord = {
      ...record,
      writeToken,
      state: 'infeasible',
      reason,
    };
    const {taskId} = record;
    void this.writer.writeRecord(task, next).then(isWritten => {
      if (!isWritten) return;
      this.options.onEvent('job-infeasible', {taskId, detail: reason});
    });
    return true;
  }

  private getUsedCores(): Map<string, number> {
    const used = new Map<string, number>();
    for (const {record} of this.cache.getBound()) {
      if (record.kind !== 'batch') continue;
      used.set(record.team, (used.get(record.team) ?? 0) + record.cores);
    }
    return used;
  }

  private getUsableViews(): WorkerView[] {
    const usable: WorkerView[] = [];
    for (const view of this.views.values()) {
      if (!view.isSynced || view.isLeaving || !view.lease.isValid()) continue;
      if (this.health.isUsable(view.workerId)) usable.push(view);
    }
    return usable;
  }

  private chooseView(
    record: TaskRecord,
    usable: readonly WorkerView[],
  ): WorkerView | undefined {
    return this.placement?.chooseWorker(
      this.createPlacementRequest(record),
      usable.filter(view => this.health.isUsable(view.workerId)),
    );
  }

  private createPlacementRequest(record: TaskRecord): PlacementRequest {
    const placed = this.createPlacedTask(record);
    if (record.kind === 'batch') return placed;
    const replicasByRack = new Map<string, number>();
    for (const {record: other} of this.cache.getBound()) {
      if (other.kind !== 'service' || other.name !== record.name) continue;
      const rack = this.fleet.getVm(other.workerId ?? '')?.rack ?? '';
      replicasByRack.set(rack, (replicasByRack.get(rack) ?? 0) + 1);
    }
    return {...placed, replicasByRack};
  }

  private createPlacedTask(record: TaskRecord): PlacedTask {
    const {taskId, kind, name, isUrgent} = record;
    const charged = this.sizes.getCharged(
      name,
      record,
      this.getLargestWorker(),
    );
    return {taskId, kind, name, isUrgent, charged};
  }

  private getLargestWorker(): ResourceAmount {
    let largest: ResourceAmount = {cores: 0, memoryMb: 0, accelerators: 0};
    for (const {capacity} of this.views.values()) {
      if (capacity.cores > largest.cores) largest = capacity;
    }
    return largest;
  }

  private async bind(
    view: WorkerView,
    task: CachedTask,
    isStartedNow: boolean,
  ): Promise<void> {
    const {taskId} = task.record;
    if (isStartedNow) {
      view.addTask(this.createPlacedTask(task.record));
      this.health.noteDispatch(view.workerId);
    }
    const next: TaskRecord = {
      ...task.record,
      writeToken: this.options.tokens.getNext(),
      state: 'bound',
      attempt: task.record.attempt + 1,
      workerId: view.workerId,
      bootId: view.lease.getStatus().bootId,
      reason: undefined,
    };
    const isWritten = await this.writer.writeRecord(task, next);
    if (!isWritten) {
      this.releaseUnbound(view, taskId);
      return;
    }
    const detail = `attempt ${next.attempt}`;
    const {workerId} = view;
    this.options.onEvent('task-bound', {taskId, workerId, detail});
    if (this.isCurrent(view) && view.lease.isValid()) {
      await this.startBound(view, task);
    }
  }

  /** A bind that was reported as failed may turn out to be written. */
  private releaseUnbound(view: WorkerView, taskId: string): void {
    const record = this.cache.getTask(taskId)?.record;
    const isBound =
      record?.state === 'bound' && record.workerId === view.workerId;
    if (!isBound) view.removeTask(taskId);
    this.backlog.get(view.workerId)?.delete(taskId);
  }

  /** Binds a task that starts when room comes free, even without the table service. */
  private bindAhead(task: CachedTask, usable: readonly WorkerView[]): boolean {
    const request = this.createPlacementRequest(task.record);
    for (const view of usable) {
      if (!this.placement?.isCompatible(request, view)) continue;
      const ahead = this.backlog.get(view.workerId) ?? new Set<string>();
      if (ahead.size >= BACKLOG_PER_WORKER) continue;
      if (!isFittingAlone(task.record, view)) continue;
      ahead.add(task.record.taskId);
      this.backlog.set(view.workerId, ahead);
      void this.bind(view, task, false);
      return true;
    }
    return false;
  }

  /** Evicts the least batch work that makes room for an urgent task. */
  private makeRoom(record: TaskRecord, usable: readonly WorkerView[]): void {
    const request = this.createPlacementRequest(record);
    for (const view of usable) {
      if (hasReplica(request, view)) continue;
      const victims = this.evictions.planRoom(
        view,
        request.charged,
        this.isStopping,
      );
      if (victims === undefined) continue;
      const commands: WorkerCommand[] = [];
      for (const {taskId, attempt} of victims) {
        this.stopping.set(taskId, 'evicted');
        commands.push({kind: 'stop', name: {taskId, attempt}});
      }
      if (commands.length > 0) void this.sendCommands(view, commands);
      return;
    }
  }

  private requestStop(task: CachedTask, reason: StopReason): void {
    if (!this.stopping.has(task.record.taskId)) {
      this.stopping.set(task.record.taskId, reason);
    }
  }

  /** Every scheduler forgets old ended tasks; the first one removes their rows. */
  private async purge(): Promise<void> {
    if (this.fleet.isFirstScheduler()) await this.purger.purge();
    this.cache.removeEndedBefore(
      this.options.clock.getWallMs() - 2 * ENDED_TASK_RETENTION_MS,
    );
  }

  private async stealTasks(): Promise<void> {
    if (this.cache.getPending().length > 0) return;
    const usable = this.getUsableViews();
    if (!usable.some(view => view.getFree().cores >= 1)) return;
    await this.jobs.stealTasks(record =>
      usable.some(view => view.isFitting(record)),
    );
  }

  private unbindFromGoneWorkers(): void {
    const gone = this.goneWorkers.getGone(
      this.cache.getBoundWorkerIds(),
      workerId => this.fleet.getVm(workerId) !== undefined,
    );
    for (const workerId of gone) {
      for (const taskId of this.cache.getBoundIds(workerId)) {
        const task = this.cache.getTask(taskId);
        if (task === undefined || task.isWriting) continue;
        void this.commitUnbind(task, `worker ${workerId} is gone`);
      }
    }
  }

  private repeat(
    name: string,
    intervalMs: number,
    action: () => void | Promise<void>,
  ): void {
    if (this.isStopped) return;
    const timer = this.options.clock.setTimer(intervalMs, () => {
      void Promise.resolve(action()).then(() =>
        this.repeat(name, intervalMs, action),
      );
    });
    this.timers.set(name, timer);
  }
}

interface EligibleTasks {
  readonly own: readonly PendingTask[];
  readonly foreign: readonly PendingTask[];
}

type StopReason = 'cancelled' | 'evicted' | 'moved';

function getEndEvent(
  state: TaskRecord['state'],
  end: 'done' | 'failed' | 'stopped',
  stopReason: StopReason | undefined,
): SchedulerEvent {
  if (end === 'done') return 'task-finished';
  if (state === 'cancelled' || stopReason === 'cancelled') {
    return 'task-cancelled';
  }
  return end === 'failed' ? 'task-failed' : 'task-evicted';
}
