/**
 * Binds tasks to leased workers and manages each attempt until it ends.
 *
 * The table records which worker an attempt is bound to; a start command is
 * sent only after the row has been written. Workers report what is running.
 * Each lease renewal reconciles the rows and the report of one worker.
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
import {TokenSource} from '@mustardlug/platform/token_source';
import {TableService} from '@mustardlug/platform/table_service';
import {Vm} from '@mustardlug/platform/vm_list';
import {
  AttemptId,
  AttemptReport,
  WorkerClient,
  WorkerCommand,
} from '@mustardlug/platform/worker_client';
import {ABSENCE_STORE_INTERVAL_MS, AbsenceRecords} from './absence_records.js';
import {createAttemptStart, isBoundTo} from './attempt_records.js';
import {CommandBatcher} from './command_batcher.js';
import {CrashAttributor, CrashEvidence} from './crash_attributor.js';
import {InterferenceMonitor} from './interference_monitor.js';
import {EvictionPlanner} from './eviction_planner.js';
import {FairShareQueue, PendingTask} from './fair_share_queue.js';
import {Fleet} from './fleet.js';
import {GoneWorkerTracker} from './gone_worker_tracker.js';
import {InterferenceModel} from './interference_model.js';
import {fits, getInfeasibleReason} from './job_feasibility.js';
import {JobReconciler} from './job_reconciler.js';
import {PlacementPolicy, PlacementRequest} from './placement_policy.js';
import {ScoredPlacement} from './scored_placement.js';
import {SizeEstimator} from './size_estimator.js';
import {
  countStartCrash,
  hasStartCrashes,
  NO_START_CRASHES,
  recordPossibleCrash,
} from './start_crashes.js';
import {MIN_PROOF_MS, StartTracker} from './start_tracker.js';
import {CachedTask, TaskCache} from './task_cache.js';
import {ENDED_TASK_RETENTION_MS, TaskPurger} from './task_purger.js';
import {TaskRecord} from './task_record.js';
import {TaskWriter} from './task_writer.js';
import {PlacedTask, ResourceAmount, WorkerView} from './worker_view.js';

/** Kinds of events that the scheduler emits. */
export type SchedulerEvent =
  | 'task-bound'
  | 'task-started'
  | 'task-finished'
  | 'task-evicted'
  | 'task-throttled'
  | 'task-failed'
  | 'task-cancelled'
  | 'task-crashed-worker'
  | 'task-crash-limit'
  | 'job-infeasible'
  | 'worker-set-aside'
  | 'table-failed';

/** Task or worker that a scheduler event refers to. */
export interface SchedulerEventSubject {
  readonly taskId?: string;
  readonly workerId?: string;
  readonly detail?: string;
}

export interface TaskSchedulerOptions {
  readonly schedulerId: string;
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly table: TableService;
  readonly committer: GroupCommitter;
  readonly tokens: TokenSource;
  readonly client: WorkerClient;
  /**
   * Requests an early lease renewal, for example after a stop command, to get
   * the worker's state.
   */
  readonly renewSoon: (workerId: string, delayMs: number) => void;
  /** Maximum staleness of the VM list. */
  readonly listLagMs: number;
  /**
   * Whether batch attempts are throttled and evicted when they slow down
   * services; on by default.
   */
  readonly isInterferenceControlEnabled?: boolean;
  /**
   * Whether no task is placed or started before `setEvacuatedDomains` has been
   * called; off by default.
   */
  readonly waitsForEvacuations?: boolean;
  /** Overrides the scored placement policy, for benchmarks. */
  readonly placement?: PlacementPolicy;
  readonly onEvent: (
    name: SchedulerEvent,
    subject: SchedulerEventSubject,
  ) => void;
}

const SCHEDULING_INTERVAL_MS = 100;
const CACHE_REFRESH_INTERVAL_MS = 250;
const JOBS_REFRESH_INTERVAL_MS = 1_000;
/**
 * Delay per preference rank before this scheduler places a task whose preferred
 * scheduler is another one.
 */
const TAKEOVER_DELAY_MS = 1_500;
const STEAL_INTERVAL_MS = 2_000;
/**
 * A task counts as neglected by its preferred scheduler once it has waited for
 * this multiple of the usual wait and `MIN_NEGLECT_MS`.
 */
const NEGLECT_FACTOR = 2;
const MIN_NEGLECT_MS = 10_000;
/** Weight of the latest placement in the usual wait. */
const OWN_WAIT_WEIGHT = 0.1;
const PURGE_INTERVAL_MS = 10_000;
const MAX_BINDS_PER_ROUND = 400;
/** Number of jobs without a suitable worker after which a scheduling round ends. */
const MAX_BLOCKED_JOBS = 40;
/**
 * Attempts bound to each busy worker in advance; they can start while the
 * table service is unavailable.
 */
const MAX_BACKLOG_PER_WORKER = 2;
/**
 * Time after which an attempt that was bound in advance is released; workers
 * that became free meanwhile can run it.
 */
const MAX_BACKLOG_WAIT_MS = 10_000;
/** Age of the latest read of the table up to which the table counts as available. */
const MAX_TABLE_READ_AGE_MS = 2 * CACHE_REFRESH_INTERVAL_MS;
/** Largest fraction of the workers that may be quarantined as outliers. */
const MAX_QUARANTINED_FRACTION = 0.2;
/**
 * Delay before the services of a leaving worker are stopped, so that entries
 * can route around it.
 */
const LEAVING_GRACE_PERIOD_MS = 4_000;
/**
 * Delay after a stop command before the worker is polled; most attempts have
 * written their checkpoint by then.
 */
const STOP_CHECK_DELAY_MS = 150;
/**
 * Longest time for which a worker is reserved; running attempts must end to
 * free enough resources.
 */
const MAX_RESERVATION_MS = 30_000;
/** Age from which a worker is reserved for a batch task that finds no room. */
const MIN_RESERVATION_AGE_MS = 30_000;
const RETRY_BACKOFF_MS = 200;
const MAX_RETRY_BACKOFF_MS = 10_000;

/** Schedules tasks on the workers whose leases this process holds. */
export class TaskScheduler {
  private readonly cache: TaskCache;
  private readonly writer: TaskWriter;
  private readonly commandBatcher: CommandBatcher;
  private readonly fleet: Fleet;
  private readonly jobReconciler: JobReconciler;
  private readonly goneWorkers: GoneWorkerTracker;
  private readonly absences: AbsenceRecords;
  private readonly purger: TaskPurger;
  private readonly interferenceMonitor: InterferenceMonitor;
  private readonly starts: StartTracker;
  private readonly crashes: CrashAttributor;
  private readonly evictionPlanner = EvictionPlanner.create();
  private readonly views = new Map<string, WorkerView>();
  /** Bound tasks whose attempt is being started, or prevented from starting. */
  private readonly commandedTaskIds = new Set<string>();
  /** Attempts that are being stopped, by task. */
  private readonly stopping = new Map<string, StoppingAttempt>();
  private readonly sizeEstimator = SizeEstimator.create();
  private readonly outlierTracker: OutlierTracker;
  private readonly leavingSinceMs = new Map<string, number>();
  private readonly retryAtMs = new Map<string, number>();
  private readonly backlogByWorker = new Map<string, Set<string>>();
  private placement: PlacementPolicy | undefined;
  private document: EnvironmentDocument | undefined;
  private timers = new Map<string, Timer>();
  private readonly reservations = new Map<ReservationKind, WorkerReservation>();
  private withheldStartCount = 0;
  /** Moving average of the time from the submission to the placement. */
  private ownWaitMs = 0;
  private readonly passedOver = {
    primary: new Set<string>(),
    secondary: new Set<string>(),
  };
  private isStopped = false;

  private constructor(private readonly options: TaskSchedulerOptions) {
    this.cache = TaskCache.create(
      options.table,
      options.failureDomain,
      record => this.recordObservedPeak(record),
    );
    this.writer = TaskWriter.create({
      cache: this.cache,
      committer: options.committer,
      clock: options.clock,
      onTableFailure: detail => options.onEvent('table-failed', {detail}),
    });
    this.commandBatcher = CommandBatcher.create(options.client, options.clock);
    const {schedulerId, failureDomain, clock, listLagMs} = options;
    this.fleet = Fleet.create(schedulerId, failureDomain);
    if (!options.waitsForEvacuations) this.fleet.setEvacuatedDomains([]);
    this.goneWorkers = GoneWorkerTracker.create(clock, listLagMs);
    this.absences = AbsenceRecords.create(options, this.goneWorkers);
    this.interferenceMonitor = InterferenceMonitor.create(clock);
    this.starts = StartTracker.create(clock);
    this.crashes = CrashAttributor.create(clock, this.starts, taskId => {
      const record = this.cache.getTask(taskId)?.record;
      return record !== undefined && hasStartCrashes(record);
    });
    this.purger = TaskPurger.create({...options, cache: this.cache});
    this.jobReconciler = JobReconciler.create({
      ...options,
      cache: this.cache,
      fleet: this.fleet,
    });
    this.outlierTracker = OutlierTracker.create({
      clock: options.clock,
      maxQuarantinedFraction: MAX_QUARANTINED_FRACTION,
    });
  }

  static create(options: TaskSchedulerOptions): TaskScheduler {
    return new TaskScheduler(options);
  }

  /** Starts the periodic scheduling, refresh and purge work. */
  start(): void {
    this.scheduleRepeating('schedule', SCHEDULING_INTERVAL_MS, () =>
      this.runSchedulingRound(),
    );
    this.scheduleRepeating('refresh', CACHE_REFRESH_INTERVAL_MS, () =>
      this.writer.refresh(),
    );
    this.scheduleRepeating('jobs', JOBS_REFRESH_INTERVAL_MS, () =>
      this.jobReconciler.refresh(),
    );
    this.scheduleRepeating('purge', PURGE_INTERVAL_MS, () => this.purge());
    this.scheduleRepeating('absences', ABSENCE_STORE_INTERVAL_MS, () =>
      this.absences.exchange(),
    );
    this.scheduleRepeating('steal', STEAL_INTERVAL_MS, () => this.stealTasks());
  }

  /** Stops all periodic work; running attempts continue on their workers. */
  stop(): void {
    this.isStopped = true;
    for (const timer of this.timers.values()) timer.cancel();
  }

  /**
   * Applies a new environment document.
   * @param document - Validated document.
   */
  setDocument(document: EnvironmentDocument): void {
    this.document = document;
    this.jobReconciler.setDocument(document);
    const {random} = this.options;
    const {objective} = document;
    const slowdownLimit = this.interferenceMonitor.setObjective(objective);
    const model = this.interferenceMonitor.getModel();
    this.placement =
      this.options.placement ??
      ScoredPlacement.create({
        objective,
        model,
        random,
        slowdownLimit,
        trials: this.interferenceMonitor.trials,
      });
  }

  /**
   * Sets the VM list and the schedulers of this domain.
   * @param vms - All VMs.
   * @param schedulers - Ids of the live schedulers of this domain.
   */
  setVms(vms: readonly Vm[], schedulers: readonly string[]): void {
    this.fleet.setVms(vms, schedulers);
    this.starts.retainWorkers(id => this.fleet.getVm(id) !== undefined);
    this.jobReconciler.updateDesiredReplicas();
  }

  /**
   * Sets the evacuated failure domains. While that of this scheduler is one of
   * them, no task is placed or started; running attempts continue, and bound
   * ones that have not started are released at the next report of their worker.
   * @param domains - Names of the domains.
   */
  setEvacuatedDomains(domains: readonly string[]): void {
    this.fleet.setEvacuatedDomains(domains);
  }

  /** Gets the number of starts that were withheld because the failure domain is evacuated. */
  getWithheldStartCount(): number {
    return this.withheldStartCount;
  }

  /** Records that the VM list has just been read, whether or not it changed. */
  recordVmListRead(): void {
    this.goneWorkers.recordListRead();
  }

  /**
   * Adds a worker whose lease was granted to this process.
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
    this.outlierTracker.addMember(workerId);
    this.applyStatus(view);
    void this.syncView(view);
  }

  /**
   * Applies the report of a lease renewal and reconciles the worker.
   * @param lease - Renewed lease.
   */
  updateWorker(lease: WorkerLease): void {
    const view = this.views.get(lease.address.workerId);
    if (view === undefined || view.lease !== lease) return;
    this.applyStatus(view);
    this.reconcile(view);
  }

  /**
   * Removes a worker whose lease was lost.
   * @param workerId - Id of the worker.
   * @param isUnanswered - Whether the worker left the last call without a response.
   */
  removeWorker(workerId: string, isUnanswered: boolean): void {
    if (isUnanswered) this.crashes.recordLeaseLoss(workerId);
    this.views.delete(workerId);
    this.outlierTracker.removeMember(workerId);
    this.interferenceMonitor.removeWorker(workerId);
    this.backlogByWorker.delete(workerId);
  }

  /**
   * Gets the record of a task of this domain; ended batch tasks have none.
   * @param taskId - Id of the task.
   */
  getTask(taskId: string): TaskRecord | undefined {
    return this.cache.getTask(taskId)?.record;
  }

  /** Gets the number of pending tasks of this domain. */
  getPendingCount(): number {
    return this.cache.getPendingTasks().length;
  }

  /** Gets the learned interference model. */
  getModel(): InterferenceModel {
    return this.interferenceMonitor.getModel();
  }

  /**
   * Merges the peak resource use recorded in the row of an ended task, which
   * may come from another scheduler.
   */
  private recordObservedPeak(record: TaskRecord): void {
    const {name, peakCores, peakMemoryMb} = record;
    if (peakCores === undefined || peakMemoryMb === undefined) return;
    this.sizeEstimator.addPeak(name, {
      cores: peakCores,
      memoryMb: peakMemoryMb,
    });
  }

  /**
   * Reads the task rows; a worker may be acted on only after a read that is
   * newer than its lease.
   */
  private async syncView(view: WorkerView): Promise<void> {
    const refreshed = await this.cache.refresh();
    if (refreshed.isErr()) {
      this.options.clock.setTimer(CACHE_REFRESH_INTERVAL_MS, () => {
        if (this.isCurrent(view)) void this.syncView(view);
      });
      return;
    }
    view.isSynced = true;
    if (!this.isCurrent(view)) return;
    this.crashes.recordLeaseGrant(
      view.lease.getStatus(),
      this.getBoundRecords(view.workerId),
    );
    this.reconcile(view);
  }

  private getBoundRecords(workerId: string): TaskRecord[] {
    const records: TaskRecord[] = [];
    for (const taskId of this.cache.getBoundTaskIds(workerId)) {
      const task = this.cache.getTask(taskId);
      if (task !== undefined) records.push(task.record);
    }
    return records;
  }

  private readonly isStopping = (id: AttemptId): boolean =>
    this.getStopReason(id) !== undefined;

  private getStopReason({taskId, attempt}: AttemptId): StopReason | undefined {
    const stopping = this.stopping.get(taskId);
    return stopping?.attempt === attempt ? stopping.reason : undefined;
  }

  private isCurrent(view: WorkerView): boolean {
    return !this.isStopped && this.views.get(view.workerId) === view;
  }

  private applyStatus(view: WorkerView): void {
    const status = view.lease.getStatus();
    view.attemptReports = status.attempts;
    this.starts.recordStatus(status);
    this.updateLeaving(view, status.isLeaving);
    for (const report of status.attempts) {
      if (report.state !== 'running') {
        this.removeEndedAttempt(view, report);
        continue;
      }
      this.sizeEstimator.addReport(report);
      view.addTask(this.createPlacedTaskFromReport(report));
    }
    this.interferenceMonitor.addStatus(status);
  }

  /**
   * Frees the resources of an ended attempt, unless a later attempt of the
   * task has replaced it.
   */
  private removeEndedAttempt(view: WorkerView, report: AttemptReport): void {
    const record = this.cache.getTask(report.taskId)?.record;
    const isLater = record !== undefined && record.attempt > report.attempt;
    if (!isLater) view.removeTask(report.taskId);
  }

  private updateLeaving(view: WorkerView, isReportedLeaving: boolean): void {
    const vm = this.fleet.getVm(view.workerId);
    view.isLeaving = isReportedLeaving || vm?.state === 'leaving';
    if (!view.isLeaving) this.leavingSinceMs.delete(view.workerId);
    else if (!this.leavingSinceMs.has(view.workerId)) {
      this.leavingSinceMs.set(
        view.workerId,
        this.options.clock.getMonotonicMs(),
      );
    }
  }

  private createPlacedTaskFromReport(report: AttemptReport): PlacedTask {
    const {taskId, kind, name} = report;
    const record = this.cache.getTask(taskId)?.record;
    const isUrgent = record?.isUrgent ?? false;
    const charged = this.sizeEstimator.getChargedSize(
      name,
      report,
      this.getLargestWorker(),
    );
    return {taskId, kind, name, isUrgent, charged};
  }

  /** Compares the task rows and attempt reports of one worker and resolves each difference. */
  private reconcile(view: WorkerView): void {
    if (!view.isSynced || !view.lease.isValid()) return;
    this.starts.retainUnreported(view.workerId, id =>
      this.isBindingOrBound(view, id),
    );
    const commands: WorkerCommand[] = [];
    for (const report of view.attemptReports) {
      this.reconcileReport(view, report, commands);
    }
    for (const taskId of this.cache.getBoundTaskIds(view.workerId)) {
      this.reconcileBoundTask(view, taskId);
    }
    this.reconcileLeaving(view, commands);
    this.reconcileInterference(view, commands);
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
        if (this.jobReconciler.isCancelledOrUndeclared(task.record))
          this.requestStop(task, 'cancelled');
        // Resending the stop command also requests another early renewal.
        if (this.isStopping(name)) commands.push({kind: 'stop', name});
        if (hasStartCrashes(task.record)) this.checkProof(view, task);
        return;
      case 'finished':
        void this.commitEnd(view, task, report, 'done');
        return;
      case 'failed':
        this.recordAttemptResult(view, true);
        void this.commitEnd(view, task, report, 'failed');
        return;
      case 'stopped':
        void this.commitEnd(view, task, report, 'stopped');
        return;
    }
  }

  private isBindingOrBound(view: WorkerView, id: AttemptId): boolean {
    const task = this.cache.getTask(id.taskId);
    if (task === undefined) return false;
    return task.isWriting || isBoundTo(task.record, view, id.attempt);
  }

  /**
   * Resets the count of crashes once the attempt is proven; until then, polls
   * the worker, since nothing else starts there.
   */
  private checkProof(view: WorkerView, task: CachedTask): void {
    const {record} = task;
    if (!this.starts.isProven(view.workerId, record)) {
      this.renewForProof(view);
      return;
    }
    void this.writer.writeRecord(task, {
      ...record,
      writeToken: this.options.tokens.getNext(),
      ...NO_START_CRASHES,
    });
  }

  private renewForProof({workerId}: WorkerView): void {
    this.options.clock.setTimer(MIN_PROOF_MS, () =>
      this.options.renewSoon(workerId, 0),
    );
  }

  /**
   * Starts an attempt that is bound to the worker but not reported, or releases
   * its task if the attempt must not start there any more.
   */
  private reconcileBoundTask(view: WorkerView, taskId: string): void {
    const task = this.cache.getTask(taskId);
    if (task === undefined || task.isWriting) return;
    const {record} = task;
    if (view.isReported(taskId, record.attempt)) return;
    if (this.commandedTaskIds.has(taskId)) return;
    if (record.bootId !== view.lease.getStatus().bootId)
      this.releaseAfterReboot(view, task);
    else if (this.jobReconciler.isCancelledOrUndeclared(record))
      void this.releaseBoundTask(view, task, 'the task was cancelled');
    else if (view.isLeaving)
      void this.releaseBoundTask(view, task, 'the worker is leaving');
    else void this.startBoundTask(view, task);
  }

  /** Releases a bound task instead of starting it in an evacuated failure domain. */
  private async withholdStart(
    view: WorkerView,
    task: CachedTask,
  ): Promise<void> {
    // The report that lacks an accepted attempt may be older than its start, and
    // the release would stop it.
    if (this.starts.isStarted(view.workerId, task.record)) return;
    this.withheldStartCount++;
    await this.releaseBoundTask(
      view,
      task,
      `failure domain ${this.options.failureDomain} is evacuated`,
    );
  }

  /** Unbinds a task from a rebooted worker, and records whether the attempt may have crashed it. */
  private releaseAfterReboot(view: WorkerView, task: CachedTask): void {
    const {record} = task;
    const {workerId} = view;
    const reason = 'the worker was restarted';
    const evidence = this.crashes.getEvidence(record, view.lease.getStatus());
    if (evidence === 'none') {
      void this.releaseBoundTask(view, task, reason);
      return;
    }
    // A first crash only limits the placement; it need not wait for other evidence.
    const isSuspect = hasStartCrashes(record);
    if (isSuspect && !this.crashes.isSettled(workerId)) return;
    if (this.crashes.isCommonFailure(workerId, isSuspect)) {
      const commonReason = `${reason}, like others at about the same time`;
      void this.releaseBoundTask(view, task, commonReason);
      return;
    }
    void this.releaseBoundTask(view, task, reason, evidence);
  }

  /**
   * Unbinds or cancels a task whose attempt the worker does not report. First
   * sends a stop command, after which a delayed start command has no effect.
   * Its refusal also proves that the lease is current.
   */
  private async releaseBoundTask(
    view: WorkerView,
    task: CachedTask,
    reason: string,
    evidence: CrashEvidence = 'none',
  ): Promise<void> {
    const {record} = task;
    const {taskId, attempt} = record;
    this.commandedTaskIds.add(taskId);
    const outcome = await this.commandBatcher.addCommand(view, {
      kind: 'stop',
      name: {taskId, attempt},
    });
    this.commandedTaskIds.delete(taskId);
    // If the attempt is there after all, the next renewal reports it.
    if (outcome === undefined || outcome.isAccepted) return;
    if (task.record !== record || task.isWriting) return;
    if (this.jobReconciler.isCancelledOrUndeclared(record))
      await this.commitCancelled(task);
    else if (evidence === 'observed') await this.commitStartCrash(view, task);
    else await this.commitUnbind(task, reason, evidence === 'possible');
  }

  /**
   * Stops the attempts of a leaving worker: batch attempts immediately, services
   * after a grace period.
   */
  private reconcileLeaving(view: WorkerView, commands: WorkerCommand[]): void {
    const sinceMs = this.leavingSinceMs.get(view.workerId);
    if (sinceMs === undefined) return;
    const leavingMs = this.options.clock.getMonotonicMs() - sinceMs;
    for (const report of view.attemptReports) {
      if (report.state !== 'running') continue;
      const isService = report.kind === 'service';
      if (isService && leavingMs < LEAVING_GRACE_PERIOD_MS) continue;
      const {taskId, attempt} = report;
      this.stopping.set(taskId, {attempt, reason: 'moved'});
      commands.push({kind: 'stop', name: {taskId, attempt}});
    }
  }

  private reconcileInterference(
    view: WorkerView,
    commands: WorkerCommand[],
  ): void {
    if (this.options.isInterferenceControlEnabled === false) return;
    const decision = this.interferenceMonitor.getDecision(
      view,
      this.isStopping,
    );
    if (decision === undefined) return;
    const {action, service} = decision;
    if (action.kind === 'none') return;
    const {taskId, attempt} = action.target;
    const {workerId} = view;
    const name = {taskId, attempt};
    if (action.kind === 'evict') {
      this.stopping.set(taskId, {attempt, reason: 'evicted'});
      commands.push({kind: 'stop', name});
      return;
    }
    const {cpuShare} = action;
    commands.push({kind: 'throttle', name, cpuShare});
    const detail = `CPU share ${cpuShare}; latency of service ${service.name} is ${service.slowdown.toFixed(2)} times its baseline`;
    this.options.onEvent('task-throttled', {taskId, workerId, detail});
  }

  private async sendCommands(
    view: WorkerView,
    commands: readonly WorkerCommand[],
  ): Promise<void> {
    await Promise.all(
      commands.map(command => this.commandBatcher.addCommand(view, command)),
    );
    const includesStop = commands.some(command => command.kind === 'stop');
    if (includesStop)
      this.options.renewSoon(view.workerId, STOP_CHECK_DELAY_MS);
  }

  /** Starts an attempt whose row has been written, if the worker has enough free resources. */
  private async startBoundTask(
    view: WorkerView,
    task: CachedTask,
  ): Promise<void> {
    const {record} = task;
    const {taskId} = record;
    const service = this.fleet.getOwnDomainService();
    if (service === 'evacuated') await this.withholdStart(view, task);
    if (service !== 'in-service') return;
    if (!this.mayStart(record, view)) {
      if (!view.isPlaced(taskId)) await this.releaseIfOverdue(view, task);
      return;
    }
    const placed = this.createPlacedTaskFromRecord(record);
    if (!view.isPlaced(taskId)) {
      if (!view.fitsBesideServices(placed.charged)) {
        await this.releaseBoundTask(view, task, 'services leave no room');
        return;
      }
      // Resources freed for an urgent task must not go to attempts from the backlog.
      const isKeptFree =
        !record.isUrgent && this.evictionPlanner.isPlanned(view);
      if (isKeptFree || !view.fits(placed.charged)) {
        await this.releaseIfOverdue(view, task);
        return;
      }
      view.addTask(placed);
    }
    if (!view.lease.isValid()) return;
    this.starts.recordStart(view.workerId, record);
    this.commandedTaskIds.add(taskId);
    const outcome = await this.commandBatcher.addCommand(view, {
      kind: 'start',
      start: createAttemptStart(record),
    });
    this.commandedTaskIds.delete(taskId);
    this.backlogByWorker.get(view.workerId)?.delete(taskId);
    // The outcome is unknown; the next renewal reports whether the attempt runs.
    if (outcome === undefined) return;
    if (!outcome.isAccepted) {
      view.removeTask(taskId);
      this.starts.removeStart(view.workerId, taskId);
      this.setRetryTime(taskId, record.failures);
      if (this.isCurrent(view) && !task.isWriting && task.record === record)
        await this.releaseBoundTask(
          view,
          task,
          'the worker refused to start it',
        );
      return;
    }
    const detail = `attempt ${record.attempt}`;
    const {workerId} = view;
    this.options.onEvent('task-started', {taskId, workerId, detail});
    this.starts.recordAcceptance(workerId, record);
    if (!hasStartCrashes(record)) return;
    this.renewForProof(view);
    if (record.startingAttempt === record.attempt) return;
    if (task.isWriting || task.record !== record) return;
    await this.commitStartingAttempt(task, record.attempt);
  }

  /**
   * Releases a task that has waited too long for resources of the worker that
   * it was bound to in advance. It waits a little before it is placed again, so
   * that schedulers with room on other workers come first. The time counts from
   * the binding, under whichever scheduler.
   */
  private async releaseIfOverdue(
    view: WorkerView,
    task: CachedTask,
  ): Promise<void> {
    const {taskId, boundAtMs = -Infinity} = task.record;
    const waitedMs = this.options.clock.getWallMs() - boundAtMs;
    if (waitedMs < MAX_BACKLOG_WAIT_MS) return;
    // Without the table the attempt could neither be released nor bound again.
    const isTableUp = this.writer.hasRefreshedWithin(MAX_TABLE_READ_AGE_MS);
    if (!isTableUp || this.options.committer.isUnavailable()) return;
    this.setRetryTime(taskId, 0);
    await this.releaseBoundTask(view, task, 'the worker stays busy');
  }

  private async commitStartingAttempt(
    task: CachedTask,
    startingAttempt: number | undefined,
  ): Promise<void> {
    const writeToken = this.options.tokens.getNext();
    const next: TaskRecord = {...task.record, writeToken, startingAttempt};
    await this.writer.writeRecord(task, next);
  }

  private async commitEnd(
    view: WorkerView,
    task: CachedTask,
    report: AttemptReport,
    end: 'done' | 'failed' | 'stopped',
  ): Promise<void> {
    const {taskId} = task.record;
    const stopReason = this.getStopReason(report);
    // The attempt has ended on a running worker, so it did not crash it.
    const next: TaskRecord = {
      ...this.getEndRecord(task.record, report, end),
      ...NO_START_CRASHES,
    };
    const isWritten = await this.writer.writeRecord(task, next);
    if (!isWritten) return;
    this.stopping.delete(taskId);
    view.removeTask(taskId);
    if (end === 'done') this.recordAttemptResult(view, false);
    const {workerId} = view;
    const event = getEndEvent(next.state, end, stopReason);
    const detail = `attempt ${report.attempt}, ${Math.round(report.coreMs)} core-ms`;
    this.options.onEvent(event, {taskId, workerId, detail});
    const name = {taskId, attempt: report.attempt};
    await this.sendCommands(view, [{kind: 'acknowledge', name}]);
    this.startBacklog(view);
  }

  /** Starts attempts from the backlog of a worker after resources were freed. */
  private startBacklog(view: WorkerView): void {
    if (!this.isCurrent(view) || !view.isSynced) return;
    for (const taskId of this.backlogByWorker.get(view.workerId) ?? []) {
      this.reconcileBoundTask(view, taskId);
    }
  }

  private getEndRecord(
    record: TaskRecord,
    report: AttemptReport,
    end: 'done' | 'failed' | 'stopped',
  ): TaskRecord {
    const writeToken = this.options.tokens.getNext();
    if (end === 'done') {
      const peak = this.sizeEstimator.getPeak(record.name);
      return {
        ...record,
        writeToken,
        state: 'done',
        result: report.result,
        peakCores: peak?.cores,
        peakMemoryMb: peak?.memoryMb,
      };
    }
    if (this.jobReconciler.isCancelledOrUndeclared(record)) {
      return {...record, writeToken, state: 'cancelled'};
    }
    const checkpoint = report.checkpoint ?? record.checkpoint;
    if (end === 'stopped') {
      const evictions = record.evictions + 1;
      return {...record, writeToken, state: 'pending', evictions, checkpoint};
    }
    const failures = record.failures + 1;
    const isOutOfAttempts =
      record.kind === 'batch' && failures >= record.maxAttempts;
    this.setRetryTime(record.taskId, failures);
    return {
      ...record,
      writeToken,
      failures,
      state: isOutOfAttempts ? 'failed' : 'pending',
      reason: `attempt ${record.attempt} failed on ${record.workerId}`,
    };
  }

  private setRetryTime(taskId: string, failures: number): void {
    const backoffMs = Math.min(
      MAX_RETRY_BACKOFF_MS,
      RETRY_BACKOFF_MS * 2 ** Math.min(failures, 10),
    );
    const nowMs = this.options.clock.getMonotonicMs();
    this.retryAtMs.set(taskId, nowMs + backoffMs);
  }

  private recordAttemptResult(view: WorkerView, isFailure: boolean): void {
    const change = this.outlierTracker.recordResult(view.workerId, isFailure);
    if (change !== 'quarantined') return;
    const {workerId} = view;
    this.options.onEvent('worker-set-aside', {workerId});
  }

  private async commitUnbind(
    task: CachedTask,
    reason: string,
    isPossibleCrash = false,
  ): Promise<void> {
    const {record} = task;
    const {workerId} = record;
    const writeToken = this.options.tokens.getNext();
    const next: TaskRecord = isPossibleCrash
      ? recordPossibleCrash(record, reason, writeToken)
      : {...record, writeToken, state: 'pending', reason};
    const isWritten = await this.writer.writeRecord(task, next);
    if (!isWritten || workerId === undefined) return;
    this.views.get(workerId)?.removeTask(next.taskId);
    this.backlogByWorker.get(workerId)?.delete(next.taskId);
  }

  private async commitStartCrash(
    view: WorkerView,
    task: CachedTask,
  ): Promise<void> {
    const {workerId} = view;
    const {taskId, attempt} = task.record;
    const writeToken = this.options.tokens.getNext();
    const next = countStartCrash(task.record, workerId, writeToken);
    const isWritten = await this.writer.writeRecord(task, next);
    if (!isWritten) return;
    view.removeTask(taskId);
    this.backlogByWorker.get(workerId)?.delete(taskId);
    const detail = `attempt ${attempt}`;
    this.options.onEvent('task-crashed-worker', {taskId, workerId, detail});
    if (next.state !== 'failed') return;
    this.options.onEvent('task-crash-limit', {taskId, detail: next.reason});
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

  private runSchedulingRound(): void {
    if (this.document === undefined || this.placement === undefined) return;
    this.unbindFromGoneWorkers();
    this.evictionPlanner.startRound();
    const {primary, secondary} = this.getEligiblePending();
    if (this.fleet.getOwnDomainService() !== 'in-service') return;
    const usable = this.getUsableViews();
    const {passedOver} = this;
    const isCapacityLeft = this.scheduleTasks(
      primary,
      usable,
      passedOver.primary,
    );
    // Each scheduler first places the tasks that it is preferred for; otherwise
    // all schedulers would compete for the oldest tasks.
    if (isCapacityLeft) {
      this.scheduleTasks(secondary, usable, passedOver.secondary);
    }
  }

  /**
   * Places tasks in fair-share order; returns false if any batch job had no suitable worker.
   * @param pending - Tasks to place.
   * @param usable - Workers.
   * @param passedOver - Jobs without a suitable worker in earlier rounds that
   *     ended before all jobs had their turn; the other jobs come first.
   */
  private scheduleTasks(
    pending: readonly PendingTask[],
    usable: readonly WorkerView[],
    passedOver: Set<string>,
  ): boolean {
    if (pending.length === 0) return true;
    let isComplete = true;
    const queue = FairShareQueue.create(
      this.getTeamsWithDomainQuota(this.document?.teams ?? []),
      this.getUsedCoresByTeam(),
      pending,
    );
    const blockedNames = new Set<string>();
    for (let binds = 0; binds < MAX_BINDS_PER_ROUND;) {
      const next = queue.removeNext();
      if (next === undefined) break;
      const task = this.cache.getTask(next.taskId);
      if (task === undefined || task.isWriting) continue;
      const {name} = task.record;
      if (blockedNames.has(name) || passedOver.has(name)) continue;
      if (this.scheduleTask(task, usable)) {
        binds++;
        queue.recordPlacement(next);
        this.recordOwnWait(task.record);
        continue;
      }
      if (next.kind === 'service' || next.isUrgent) continue;
      // Its placement is limited, unlike that of other tasks of the job.
      if (hasStartCrashes(task.record)) continue;
      if (this.hasReservation(task.record)) continue;
      blockedNames.add(name);
      if (blockedNames.size < MAX_BLOCKED_JOBS) continue;
      isComplete = false;
      break;
    }
    const isCapacityLeft = blockedNames.size + passedOver.size === 0;
    if (isComplete) passedOver.clear();
    else for (const name of blockedNames) passedOver.add(name);
    return isCapacityLeft;
  }

  private scheduleTask(
    task: CachedTask,
    usable: readonly WorkerView[],
  ): boolean {
    const {record} = task;
    const startable = this.getStartableViews(record, usable);
    const view = this.chooseView(record, startable);
    if (view !== undefined) {
      void this.bind(view, task, true);
      return true;
    }
    if (hasStartCrashes(record)) {
      this.reserveWorker('suspect', record, usable);
      return false;
    }
    if (record.kind === 'batch' && !record.isUrgent) {
      if (this.getAgeMs(record) >= MIN_RESERVATION_AGE_MS) {
        this.reserveWorker('old', record, usable);
      }
      if (this.hasReservation(record)) return false;
      return this.bindToBacklog(task, startable);
    }
    this.evictForUrgentTask(record, startable);
    return false;
  }

  /** Gets the teams with quotas scaled to this domain's fraction of all workers. */
  private getTeamsWithDomainQuota(
    teams: readonly TeamDeclaration[],
  ): TeamDeclaration[] {
    const fraction = this.fleet.getOwnDomainFraction();
    return teams.map(team => ({
      ...team,
      quotaCores: team.quotaCores * fraction,
    }));
  }

  /**
   * Gets the pending tasks that may be placed now; tasks whose preferred
   * scheduler is another one become eligible after a delay.
   */
  private getEligiblePending(): EligibleTasks {
    const nowMs = this.options.clock.getMonotonicMs();
    const primary: PendingTask[] = [];
    const secondary: PendingTask[] = [];
    for (const task of this.cache.getPendingTasks()) {
      const {record} = task;
      const rank = this.fleet.getRank(record.taskId);
      if (rank > 0 && !this.isTakeoverDue(record, rank)) continue;
      if ((this.retryAtMs.get(record.taskId) ?? 0) > nowMs) continue;
      this.retryAtMs.delete(record.taskId);
      if (this.jobReconciler.isCancelledOrUndeclared(record)) {
        void this.commitCancelled(task);
        continue;
      }
      if (this.rejectIfInfeasible(task)) continue;
      const isHighPriority = record.kind === 'service' || record.isUrgent;
      const isOwn = rank === 0 || this.isNeglected(record, rank);
      if (isOwn || isHighPriority) primary.push(record);
      else secondary.push(record);
    }
    return {primary, secondary};
  }

  /**
   * Checks whether a task has waited so much longer than those that this
   * scheduler is preferred for that its preferred scheduler seems to be unable
   * to place it.
   */
  private isNeglected(record: TaskRecord, rank: number): boolean {
    const usualMs = NEGLECT_FACTOR * this.ownWaitMs + MIN_NEGLECT_MS;
    return this.getAgeMs(record) > rank * usualMs;
  }

  private getAgeMs({submittedAtMs}: TaskRecord): number {
    return this.options.clock.getWallMs() - submittedAtMs;
  }

  /** Updates the usual wait of the batch tasks that this scheduler is preferred for. */
  private recordOwnWait(record: TaskRecord): void {
    if (record.kind === 'service' || record.isUrgent) return;
    if (this.fleet.getRank(record.taskId) > 0) return;
    const differenceMs = this.getAgeMs(record) - this.ownWaitMs;
    this.ownWaitMs += OWN_WAIT_WEIGHT * differenceMs;
  }

  private isTakeoverDue(record: TaskRecord, rank: number): boolean {
    const ageMs = this.getAgeMs(record);
    const delayMs = record.isUrgent ? TAKEOVER_DELAY_MS / 4 : TAKEOVER_DELAY_MS;
    return ageMs > delayMs * rank;
  }

  private rejectIfInfeasible(task: CachedTask): boolean {
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

  private getUsedCoresByTeam(): Map<string, number> {
    const used = new Map<string, number>();
    for (const {record} of this.cache.getBoundTasks()) {
      if (record.kind !== 'batch') continue;
      used.set(record.team, (used.get(record.team) ?? 0) + record.cores);
    }
    return used;
  }

  private getUsableViews(): WorkerView[] {
    const usable: WorkerView[] = [];
    for (const view of this.views.values()) {
      if (!view.isSynced || view.isLeaving || !view.lease.isValid()) continue;
      if (this.outlierTracker.isUsable(view.workerId)) usable.push(view);
    }
    return usable;
  }

  /** Gets the workers on which a task may start now. */
  private getStartableViews(
    record: TaskRecord,
    usable: readonly WorkerView[],
  ): WorkerView[] {
    return usable.filter(
      view => this.mayStart(record, view) && !this.isAvoided(record, view),
    );
  }

  /**
   * Checks whether a task is kept off a worker that it may have crashed; only
   * crashes of different workers show that the task is the cause. It may return
   * if no other worker is large enough.
   */
  private isAvoided(record: TaskRecord, {workerId}: WorkerView): boolean {
    const {crashedWorkerIds = []} = record;
    if (!crashedWorkerIds.includes(workerId)) return false;
    return this.fleet.hasWorker(
      vm => fits(record, vm) && !crashedWorkerIds.includes(vm.id),
    );
  }

  /**
   * Reserves a worker for a task that would otherwise wait as long as each
   * worker keeps starting other tasks: it must start alone, or needs more than
   * one attempt frees.
   */
  private reserveWorker(
    kind: ReservationKind,
    record: TaskRecord,
    usable: readonly WorkerView[],
  ): void {
    if (this.getReservation(kind) !== undefined) return;
    let best: WorkerView | undefined;
    let bestCores = -Infinity;
    for (const view of usable) {
      if (this.isAvoided(record, view)) continue;
      if (this.isReservedForOther(record, view)) continue;
      if (!this.canEverRun(record, [view])) continue;
      const {cores} = view.getFreeResources();
      if (cores <= bestCores) continue;
      best = view;
      bestCores = cores;
    }
    if (best === undefined) return;
    const nowMs = this.options.clock.getMonotonicMs();
    this.reservations.set(kind, {
      workerId: best.workerId,
      taskId: record.taskId,
      untilMs: nowMs + MAX_RESERVATION_MS,
    });
  }

  private isReservedForOther(
    {taskId}: TaskRecord,
    {workerId}: WorkerView,
  ): boolean {
    for (const kind of RESERVATION_KINDS) {
      const reservation = this.getReservation(kind);
      if (reservation?.workerId !== workerId) continue;
      if (reservation.taskId !== taskId) return true;
    }
    return false;
  }

  private hasReservation({taskId}: TaskRecord): boolean {
    return RESERVATION_KINDS.some(
      kind => this.getReservation(kind)?.taskId === taskId,
    );
  }

  private getReservation(kind: ReservationKind): WorkerReservation | undefined {
    const reservation = this.reservations.get(kind);
    if (reservation === undefined) return undefined;
    const {taskId, untilMs} = reservation;
    const isPending = this.cache.getTask(taskId)?.record.state === 'pending';
    const isExpired = this.options.clock.getMonotonicMs() > untilMs;
    if (isPending && !isExpired) return reservation;
    this.reservations.delete(kind);
    return undefined;
  }

  /**
   * Checks whether a task may start beside the starting attempts of a worker:
   * the attempt of a task that may have crashed workers starts alone, so that
   * the next crash shows whether it is the cause.
   */
  private mayStart(record: TaskRecord, view: WorkerView): boolean {
    const startingIds = this.starts.getStartingTaskIds(view.workerId);
    // An attempt whose start is in progress already occupies the resources.
    if (
      !startingIds.includes(record.taskId) &&
      this.isReservedForOther(record, view)
    ) {
      return false;
    }
    const isSuspect = hasStartCrashes(record);
    for (const taskId of startingIds) {
      if (taskId === record.taskId) continue;
      const other = this.cache.getTask(taskId)?.record;
      if (isSuspect || (other !== undefined && hasStartCrashes(other))) {
        return false;
      }
    }
    return true;
  }

  private chooseView(
    record: TaskRecord,
    usable: readonly WorkerView[],
  ): WorkerView | undefined {
    return this.placement?.chooseWorker(
      this.createPlacementRequest(record),
      usable.filter(view => this.outlierTracker.isUsable(view.workerId)),
    );
  }

  private createPlacementRequest(record: TaskRecord): PlacementRequest {
    const placed = this.createPlacedTaskFromRecord(record);
    if (record.kind === 'batch') return placed;
    const replicasByRack = new Map<string, number>();
    for (const {record: other} of this.cache.getBoundTasks()) {
      if (other.kind !== 'service' || other.name !== record.name) continue;
      const rack = this.fleet.getVm(other.workerId ?? '')?.rack ?? '';
      replicasByRack.set(rack, (replicasByRack.get(rack) ?? 0) + 1);
    }
    return {...placed, replicasByRack};
  }

  private createPlacedTaskFromRecord(record: TaskRecord): PlacedTask {
    const {taskId, kind, name, isUrgent} = record;
    const charged = this.sizeEstimator.getChargedSize(
      name,
      record,
      this.getLargestRoom(record),
    );
    return {taskId, kind, name, isUrgent, charged};
  }

  /**
   * Gets the largest room beside services on any worker that can run a task. A
   * task that is charged more would find a worker as little as one that
   * declares more.
   */
  private getLargestRoom(declared: ResourceAmount): ResourceAmount {
    let largest: ResourceAmount = {cores: 0, memoryMb: 0, accelerators: 0};
    for (const view of this.views.values()) {
      if (!view.fitsBesideServices(declared)) continue;
      const room = view.getRoomBesideServices();
      if (room.cores > largest.cores) largest = room;
    }
    return largest;
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
    isStartedImmediately: boolean,
  ): Promise<void> {
    const {taskId} = task.record;
    const attempt = task.record.attempt + 1;
    this.starts.recordBind(
      view.workerId,
      {taskId, attempt},
      isStartedImmediately,
    );
    if (isStartedImmediately) {
      view.addTask(this.createPlacedTaskFromRecord(task.record));
      this.outlierTracker.recordDispatch(view.workerId);
    }
    const next: TaskRecord = {
      ...task.record,
      writeToken: this.options.tokens.getNext(),
      state: 'bound',
      attempt,
      workerId: view.workerId,
      bootId: view.lease.getStatus().bootId,
      boundAtMs: this.options.clock.getWallMs(),
      startingAttempt: hasStartCrashes(task.record) ? attempt : undefined,
      reason: undefined,
    };
    const isWritten = await this.writer.writeRecord(task, next);
    if (!isWritten) {
      this.releaseAfterFailedBind(view, taskId);
      return;
    }
    const detail = `attempt ${next.attempt}`;
    const {workerId} = view;
    this.options.onEvent('task-bound', {taskId, workerId, detail});
    if (this.isCurrent(view) && view.lease.isValid()) {
      await this.startBoundTask(view, task);
    }
    await this.clearUnsentStart(view, task, next);
  }

  /**
   * Withdraws the evidence of a start that the worker has not accepted, so that
   * an earlier failure of the worker is not counted as a crash.
   */
  private async clearUnsentStart(
    view: WorkerView,
    task: CachedTask,
    record: TaskRecord,
  ): Promise<void> {
    if (record.startingAttempt === undefined) return;
    if (this.starts.isStarted(view.workerId, record)) return;
    if (task.isWriting || task.record !== record) return;
    await this.commitStartingAttempt(task, undefined);
  }

  /**
   * Frees reserved resources after a failed bind, unless the row turns out to
   * have been written.
   */
  private releaseAfterFailedBind(view: WorkerView, taskId: string): void {
    const record = this.cache.getTask(taskId)?.record;
    const isBound =
      record?.state === 'bound' && record.workerId === view.workerId;
    if (!isBound) {
      view.removeTask(taskId);
      this.starts.removeStart(view.workerId, taskId);
    }
    this.backlogByWorker.get(view.workerId)?.delete(taskId);
  }

  /**
   * Binds a task in advance, so that it can start when resources are freed
   * even if the table service is unavailable.
   */
  private bindToBacklog(
    task: CachedTask,
    usable: readonly WorkerView[],
  ): boolean {
    const request = this.createPlacementRequest(task.record);
    for (const view of usable) {
      if (!this.placement?.isCompatible(request, view)) continue;
      const backlog =
        this.backlogByWorker.get(view.workerId) ?? new Set<string>();
      if (backlog.size >= MAX_BACKLOG_PER_WORKER) continue;
      if (!view.fitsBesideServices(request.charged)) continue;
      backlog.add(task.record.taskId);
      this.backlogByWorker.set(view.workerId, backlog);
      void this.bind(view, task, false);
      return true;
    }
    return false;
  }

  /**
   * Evicts batch attempts on the first worker where this frees enough
   * resources for an urgent task.
   */
  private evictForUrgentTask(
    record: TaskRecord,
    usable: readonly WorkerView[],
  ): void {
    const request = this.createPlacementRequest(record);
    for (const view of usable) {
      if (!this.placement?.isAllowedBesideServices(request, view)) continue;
      const victims = this.evictionPlanner.planEvictions(
        view,
        request.charged,
        this.isStopping,
      );
      if (victims === undefined) continue;
      const commands: WorkerCommand[] = [];
      for (const {taskId, attempt} of victims) {
        this.stopping.set(taskId, {attempt, reason: 'evicted'});
        commands.push({kind: 'stop', name: {taskId, attempt}});
      }
      if (commands.length > 0) void this.sendCommands(view, commands);
      return;
    }
  }

  private requestStop(task: CachedTask, reason: StopReason): void {
    const {taskId, attempt} = task.record;
    if (!this.isStopping(task.record))
      this.stopping.set(taskId, {attempt, reason});
  }

  /**
   * Drops old ended tasks from the cache; only the first scheduler of the
   * domain removes their rows and those of absences.
   */
  private async purge(): Promise<void> {
    if (this.fleet.isFirstScheduler()) {
      await this.purger.purge();
      await this.purgeAbsences();
    }
    this.cache.removeEndedBefore(
      this.options.clock.getWallMs() - 2 * ENDED_TASK_RETENTION_MS,
    );
  }

  /** Checks whether a task could run on a worker without other batch tasks. */
  private canEverRun(
    record: TaskRecord,
    usable: readonly WorkerView[],
  ): boolean {
    const request = this.createPlacementRequest(record);
    return usable.some(
      view =>
        view.fitsBesideServices(request.charged) &&
        this.placement?.isAllowedBesideServices(request, view),
    );
  }

  private async purgeAbsences(): Promise<void> {
    const refreshed = await this.cache.refresh();
    if (refreshed.isErr()) return;
    const boots = this.getUnlistedBoots();
    await this.absences.purge(bootKey => boots.has(bootKey));
  }

  private isUnlisted(workerId: string): boolean {
    return this.fleet.getVm(workerId) === undefined;
  }

  private async stealTasks(): Promise<void> {
    if (this.fleet.getOwnDomainService() !== 'in-service') return;
    const usable = this.getUsableViews();
    // Tasks of evacuated domains compete with those of this one; they would
    // otherwise wait until this domain has nothing else to do.
    await this.jobReconciler.takeEvacuatedTasks(record =>
      this.canEverRun(record, usable),
    );
    if (!usable.some(view => view.getFreeResources().cores >= 1)) return;
    // Tasks that no worker here can run must not keep room from those of others.
    for (const {record} of this.cache.getPendingTasks()) {
      if (this.canEverRun(record, usable)) return;
    }
    await this.jobReconciler.stealTasks(record =>
      usable.some(view => view.fits(record)),
    );
  }

  private unbindFromGoneWorkers(): void {
    const boots = this.getUnlistedBoots();
    const gone = this.goneWorkers.getGoneWorkers(
      [...boots.keys()],
      () => false,
    );
    for (const bootKey of gone) {
      const {workerId, tasks} = boots.get(bootKey) ?? NO_BOOT;
      for (const task of tasks) {
        if (task.isWriting) continue;
        void this.commitUnbind(task, `worker ${workerId} is gone`);
      }
    }
  }

  /**
   * Gets the boots of unlisted workers that tasks are bound to, by key. A VM
   * that is created anew under the id of a gone one runs the tasks of another
   * boot.
   */
  private getUnlistedBoots(): Map<string, BoundBoot> {
    const boots = new Map<string, BoundBoot>();
    for (const workerId of this.cache.getBoundWorkerIds()) {
      if (!this.isUnlisted(workerId)) continue;
      for (const taskId of this.cache.getBoundTaskIds(workerId)) {
        const task = this.cache.getTask(taskId);
        if (task === undefined) continue;
        const bootKey = `${workerId}/${task.record.bootId ?? ''}`;
        const boot = boots.get(bootKey);
        if (boot === undefined) boots.set(bootKey, {workerId, tasks: [task]});
        else boot.tasks.push(task);
      }
    }
    return boots;
  }

  private scheduleRepeating(
    name: string,
    intervalMs: number,
    action: () => void | Promise<void>,
  ): void {
    if (this.isStopped) return;
    const timer = this.options.clock.setTimer(intervalMs, () => {
      void Promise.resolve(action()).then(() =>
        this.scheduleRepeating(name, intervalMs, action),
      );
    });
    this.timers.set(name, timer);
  }
}

/** What a worker is reserved for; each kind has one worker at most. */
type ReservationKind = 'suspect' | 'old';

const RESERVATION_KINDS: readonly ReservationKind[] = ['suspect', 'old'];

/** A worker on which only one task may start. */
interface WorkerReservation {
  readonly workerId: string;
  readonly taskId: string;
  readonly untilMs: number;
}

/** A boot of a worker, with the tasks that are bound to it. */
interface BoundBoot {
  readonly workerId: string;
  readonly tasks: CachedTask[];
}

const NO_BOOT: BoundBoot = {workerId: '', tasks: []};

interface EligibleTasks {
  /** Tasks that this scheduler is preferred for, neglected ones, service replicas and urgent tasks. */
  readonly primary: readonly PendingTask[];
  /** Other batch tasks, taken over from their preferred schedulers. */
  readonly secondary: readonly PendingTask[];
}

type StopReason = 'cancelled' | 'evicted' | 'moved';

interface StoppingAttempt {
  readonly attempt: number;
  readonly reason: StopReason;
}

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
