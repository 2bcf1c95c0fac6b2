/** Schedules the tasks of all accepted jobs for the duration of one coordinator term. */

import {Clock} from '@mustardlug/base/clock';
import {createTaskRun, encodeRowValue} from '@mustardlug/jobs/job_codec';
import {
  JobState,
  MAX_CHECKPOINT_BYTES,
  StepState,
  TaskRun,
  TaskState,
  UNKNOWN_LEASE_END_STORE_MS,
} from '@mustardlug/jobs/job_state';
import {getPartKeyRange} from '@mustardlug/jobs/progress_parts';
import {DeploymentConfig} from '@mustardlug/jobs/queue_config';
import {
  EndedRun,
  JobWorkerClient,
  LeaseReport,
  RefusalReason,
  RunningRun,
} from '@mustardlug/platform/job_worker_client';
import {
  getPartRows,
  RowChanges,
  RowStore,
  StoredRow,
} from '@mustardlug/platform/row_store';
import {DurationHistogram} from '@mustardlug/telemetry/duration_histogram';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {
  recordInternalError,
  runGuarded,
} from '@mustardlug/telemetry/guarded_call';
import {AdmissionControl} from './admission_control.js';
import {BatchHeadroom} from './batch_headroom.js';
import {CommitLog, CommitOutcome} from './commit_log.js';
import {CoordinatorHeartbeat} from './coordinator_heartbeat.js';
import {QueueLoad, STATUS_ADDRESS} from './coordinator_status.js';
import {CrashAttributor, LostWorker} from './crash_attributor.js';
import {DoubtfulCrashes} from './doubtful_crashes.js';
import {Evacuations} from './evacuations.js';
import {
  countUnregistered,
  formatExpiry,
  formatFleetLoad,
  formatLeaseEnd,
  formatMaxStarts,
  formatOrphanedRuns,
  formatPassTimes,
  formatPlacedStep,
  formatQueueLoads,
  formatRestoredJobs,
  formatRun,
  formatTrials,
} from './fleet_report.js';
import {InvalidRowReporter} from './invalid_row_reporter.js';
import {ProgressRecord, ProgressTables} from './job_index.js';
import {JobTracker} from './job_tracker.js';
import {FencingTokens} from './fencing_tokens.js';
import {LeaseBounds} from './lease_bounds.js';
import {LeaseLimit} from './lease_limit.js';
import {JobRetention} from './job_retention.js';
import {ProgressWriter} from './progress_writer.js';
import {RejectedJobs} from './rejected_jobs.js';
import {OwnDelay, WorkListener} from './own_delay.js';
import {getTaskName} from './task_names.js';
import {
  COORDINATOR_PART,
  EFFECT_TABLE,
  JOB_TABLE,
  LEASE_BOUND_TABLE,
  PROGRESS_PART_TABLE,
  PROGRESS_TABLE,
} from './tables.js';
import {TableFollower} from './table_follower.js';
import {
  isUrgent,
  Shortage,
  sortWaitingSteps,
  WaitingStep,
} from './task_order.js';
import {StartWindow} from './start_window.js';
import {
  isWaitingTask,
  Placement,
  PlacementPass,
  PlacementWorker,
} from './placement_pass.js';
import {PlacementRound} from './placement_round.js';
import {PassTimes} from './pass_times.js';
import {RoomReservations} from './room_reservations.js';
import {WorkerSupervisor} from './worker_supervisor.js';
import {ShortageTracker} from './shortage_tracker.js';
import {selectPreemptions} from './urgent_preemption.js';
import {RunNumbers} from './run_numbers.js';
import {AdmissionWorker} from './service_capacity.js';
import {SilenceReporter} from './silence_reporter.js';
import {explainWait} from './wait_explanation.js';
import {WaitReporter, WaitSummary} from './wait_reporter.js';
import {AssignedRun} from './worker_load.js';
import {WorkerDecoder, WorkerPool} from './worker_pool.js';
import {
  getLongestLeaseValidityMs,
  MIN_LEASE_VALIDITY_MS,
  SessionListener,
  WorkerSession,
} from './worker_session.js';

export interface CoordinatorOptions {
  readonly clock: Clock;
  readonly store: RowStore;
  readonly workerClient: JobWorkerClient;
  readonly commitLog: CommitLog;
  readonly nodeId: string;
  /** Table in which workers are registered. */
  readonly workerTable: string;
  readonly decodeWorker: WorkerDecoder;
  /** Gets the current configuration, or `undefined` if none has been received yet. */
  readonly getConfig: () => DeploymentConfig | undefined;
  /** Evacuated failure domains, which this node follows in any term. */
  readonly evacuations: Evacuations;
  /** How work is ordered, preempted and refused while capacity is short; by priority if absent. */
  readonly shortCapacityPolicy?: ShortCapacityPolicy;
  /** Maximum lease duration that the platform grants, in milliseconds. */
  readonly maxLeaseMs: number;
  /** How long callers can query a job after it has ended. */
  readonly keepEndedMs: number;
  readonly events: EventRecorder;
  /** Receives the work of the term, for simulations of its processor. */
  readonly onWork?: WorkListener;
}

/**
 * What decides while a service has too little room. `priority`: priority, then deadline
 * status and objective. `delay-cost`: within a priority the cost of a delay, which also
 * decides which runs are preempted and which jobs are refused.
 */
export type ShortCapacityPolicy = 'priority' | 'delay-cost';

/** What a term's bookkeeping consists of and costs. */
export interface CoordinatorLoad {
  /** Workers whose leases are renewed. */
  readonly workerSessions: number;
  /** Those of them that are not registered. */
  readonly unregisteredSessions: number;
  /** Start commands in progress. */
  readonly startCommands: number;
  readonly maxStartCommands: number;
  /** Time that placement passes have taken in this term. */
  readonly passMs: number;
  /** Jobs whose progress the store rejects. */
  readonly rejectedJobs: number;
  /** Starts that were not sent in this term because of evacuations. */
  readonly withheldStarts: number;
  /** Services of which long-running tasks are held back for batch work. */
  readonly heldServices: number;
}

/** Reason for the end of a coordinator's term. */
export type CoordinatorEndReason =
  | 'superseded'
  | 'stopped'
  | 'isolated'
  /** The store rejects what the term has to store. */
  | 'rejected'
  /** A worker has restarted more often than the term has fencing tokens. */
  | 'tokens-used-up'
  /** An unexpected error left the state of the term incomplete. */
  | 'failed';

/**
 * Delay between a change and the placement pass that it triggers, so that a
 * burst of changes is handled in one pass.
 */
const PASS_DEBOUNCE_MS = 4;

/**
 * Maximum fraction of the time that passes over all waiting steps take. The rest is
 * for worker reports, commands and urgent steps.
 */
const MAX_PASS_SHARE = 0.5;

/** Interval of the periodic checks, which run even if nothing has changed. */
const TICK_MS = 250;

/**
 * Maximum time that one call waits for changes of a table. The age of the
 * received contents is up to twice as high, and must stay below `MAX_JOBS_AGE_MS`
 * while no jobs arrive.
 */
const CHANGE_POLL_TIMEOUT_MS = 500;

/**
 * Maximum age of the received jobs for publishing queue lengths; the same as
 * that of a published length on the nodes that show it.
 */
const MAX_JOBS_AGE_MS = 2_000;

/** Delay before another attempt to read the shared state. */
const SNAPSHOT_RETRY_MS = 50;

/**
 * Age of the registrations beyond which no run is started. Longer than two waits
 * for changes, and with a heartbeat shorter than the time after which a capacity
 * that has shrunk counts.
 */
const MAX_REGISTRATION_AGE_MS = 2_500;

/**
 * Time without a confirmed write after which no leases are suspended, as they
 * could be resumed only when the store responds again. Covers two heartbeats.
 */
const STORE_RESPONSE_TIMEOUT_MS = 700;

/** Interval at which the progress of held jobs, of which there are normally none, is read again. */
const HELD_JOB_INTERVAL_MS = 5_000;

/** Interval of the `fleet-load` event. */
const LOAD_LOG_INTERVAL_MS = 2_000;

/**
 * Fraction of the workers that must have accepted this term before the
 * coordinator counts as ready.
 */
const READY_FRACTION = 0.9;

/** Interval at which a planned hand-over checks whether the commit in progress has finished. */
const HANDOVER_POLL_MS = 5;

/**
 * Maximum attempts to announce a planned hand-over. If all of them fail, a
 * successor takes over once the coordinator status is out of date.
 */
const MAX_HANDOVER_ATTEMPTS = 3;

/**
 * Places tasks and supervises workers until it is superseded, stopped or
 * isolated from the store.
 */
export class Coordinator implements SessionListener {
  private readonly workerPool: WorkerPool;
  private readonly jobTracker: JobTracker;
  private readonly rejectedJobs: RejectedJobs;
  private readonly workerSupervisor: WorkerSupervisor;
  private readonly writer: ProgressWriter;
  private readonly heartbeat: CoordinatorHeartbeat;
  private readonly retention: JobRetention;
  private readonly startWindow: StartWindow;
  private readonly invalidRows: InvalidRowReporter;
  private readonly leaseBounds: LeaseBounds;
  private readonly leaseLimit: LeaseLimit;
  private readonly admissionControl: AdmissionControl;
  private readonly crashAttributor = CrashAttributor.create();
  private readonly doubtfulCrashes = DoubtfulCrashes.create();
  private readonly reservations = RoomReservations.create();
  private readonly headroom = BatchHeadroom.create();
  private readonly shortageTracker = ShortageTracker.create();
  private lastPreemptionMs = -Infinity;
  private readonly round: PlacementRound;
  private readonly waitReporter: WaitReporter;
  private readonly silenceReporter: SilenceReporter;
  private readonly followers: TableFollower[] = [];
  private jobFollower: TableFollower | undefined;
  private registrationFollower: TableFollower | undefined;
  private readonly runNumbers: RunNumbers;
  private isPassScheduled = false;
  private isFullPassScheduled = false;
  private isCommitting = false;
  /** Whether a pass has asked for another commit since the one in progress began. */
  private isCommitPending = false;
  private isHandingOver = false;
  /** Whether the last pass may have left tasks waiting because of the start commands in progress. */
  private isStartLimited = false;
  /** Jobs that may have urgent steps with waiting tasks. */
  private urgentJobs = new Set<JobState>();
  /** Runs that are placed and whose start is not sent yet. */
  private readonly unsentRuns = new Set<AssignedRun>();
  /** Runs of which a checkpoint was reported as too large. */
  private readonly omittedCheckpointRuns = new WeakSet<TaskRun>();
  private isLoaded = false;
  private isReady = false;
  private electedMs = 0;
  private withheldStartCount = 0;
  private lastPass: PlacementPass | undefined;
  private lastPassStartMs = -Infinity;
  private readonly passTimes: PassTimes;
  private readonly ownDelay: OwnDelay;
  private lastLoadLogMs = -Infinity;
  private endReason: CoordinatorEndReason | undefined;
  private resolveEnd: ((end: CoordinatorEndReason) => void) | undefined;

  private constructor(private readonly options: CoordinatorOptions) {
    const {clock, events, commitLog, nodeId, store} = options;
    this.workerSupervisor = WorkerSupervisor.create({clock, events});
    this.startWindow = StartWindow.create(clock);
    this.passTimes = PassTimes.create(clock);
    this.round = PlacementRound.create(clock);
    this.ownDelay = OwnDelay.create(clock, options.onWork);
    this.runNumbers = RunNumbers.create(commitLog.runRange);
    this.waitReporter = WaitReporter.create({
      events,
      explain: waiting => this.explainWait(waiting),
    });
    this.silenceReporter = SilenceReporter.create(clock, events);
    this.admissionControl = AdmissionControl.create(clock);
    this.invalidRows = InvalidRowReporter.create(events);
    this.leaseBounds = LeaseBounds.create(clock, commitLog, this.invalidRows);
    this.leaseLimit = LeaseLimit.create(clock, commitLog, () => {
      for (const session of this.workerPool.getSessions())
        session.extendLeaseSoon();
    });
    this.workerPool = WorkerPool.create({
      clock,
      events,
      workerClient: options.workerClient,
      decodeWorker: options.decodeWorker,
      listener: this,
      fencingTokens: FencingTokens.create(
        commitLog.getFirstFencingToken(),
        commitLog.term,
      ),
      areStoredProcessesFenced: commitLog.hasPredecessorFencedProcesses(),
      isFirstTerm: commitLog.isFirstTerm,
      maxLeaseMs: options.maxLeaseMs,
      isTermConfirmed: () => this.checkTerm(),
      areRegistrationsCurrent: () => this.areRegistrationsCurrent(),
      evacuations: options.evacuations,
      isStoreResponding: () => this.isStoreResponding(),
      leaseLimit: this.leaseLimit,
      startWindow: this.startWindow,
      ownDelay: this.ownDelay,
      leaseBounds: this.leaseBounds,
    });
    this.rejectedJobs = RejectedJobs.create(clock, events);
    this.jobTracker = JobTracker.create({
      clock,
      events,
      getConfig: options.getConfig,
      onCheckpointOmitted: (assigned, length) =>
        this.onCheckpointOmitted(assigned, length),
      stopTaskRuns: (name, task) => this.workerPool.stopTaskRuns(name, task),
      invalidRows: this.invalidRows,
      rejectedJobs: this.rejectedJobs,
    });
    this.writer = ProgressWriter.create({
      clock,
      events,
      commitLog,
      interferenceModel: this.workerSupervisor.getInterferenceModel(),
      leaseBounds: this.leaseBounds,
      ownDelay: this.ownDelay,
      rejectedJobs: this.rejectedJobs,
      onJobRejected: job => this.withdrawUnsentRuns(job),
    });
    this.heartbeat = CoordinatorHeartbeat.create({
      store,
      clock,
      commitLog,
      leaseLimit: this.leaseLimit,
      nodeId,
      getQueueLoads: () => this.getQueueLoads(),
      isRestoring: () => !this.isLoaded,
      onSuperseded: () => this.finish('superseded'),
    });
    this.retention = JobRetention.create({
      store,
      clock,
      events,
      jobTracker: this.jobTracker,
      writer: this.writer,
      keepEndedMs: options.keepEndedMs,
    });
  }

  /**
   * Creates a coordinator; `run` starts it.
   * @param options - Clients, tables and the commit log of the term.
   */
  static create(options: CoordinatorOptions): Coordinator {
    return new Coordinator(options);
  }

  /**
   * Takes the coordinator role and holds it until the term ends.
   * @returns Reason for the end of the term.
   */
  async run(): Promise<CoordinatorEndReason> {
    const {commitLog, events, nodeId, clock} = this.options;
    const outcome = await this.commitStatus(nodeId, 1);
    if (outcome !== 'committed') return outcome;
    this.leaseLimit.begin();
    this.startWindow.start();
    this.ownDelay.start();
    const heartbeat = this.heartbeat.run(commitLog.getVersion());
    void this.endOnError('the coordinator status', heartbeat);
    this.electedMs = clock.getMonotonicMs();
    events.addEvent('coordinator-elected', {detail: `term ${commitLog.term}`});
    const ended = new Promise<CoordinatorEndReason>(resolve => {
      this.resolveEnd = resolve;
    });
    const {evacuations} = this.options;
    evacuations.setListener(domains => this.handleEvacuations(domains));
    void this.endOnError('the stored state', this.loadState());
    this.scheduleTick();
    const end = await ended;
    evacuations.setListener(undefined);
    this.heartbeat.stop();
    this.startWindow.stop();
    this.ownDelay.stop();
    for (const follower of this.followers) follower.stop();
    this.workerPool.stop();
    commitLog.close();
    events.addEvent('coordinator-ended', {
      detail: `term ${commitLog.term}: ${end}`,
    });
    return end;
  }

  /** Hands the role over by publishing a coordinator status without a holder. */
  async stop(): Promise<void> {
    this.isHandingOver = true;
    while (this.isCommitting && this.endReason === undefined)
      await this.options.clock.sleep(HANDOVER_POLL_MS);
    if (this.endReason !== undefined) return;
    this.isCommitting = true;
    this.heartbeat.stop();
    await this.commitStatus('', MAX_HANDOVER_ATTEMPTS);
    this.finish('stopped');
  }

  /** Gets how long steps have been waiting in this term. */
  getWaitSummary(): WaitSummary {
    return this.waitReporter.getSummary();
  }

  /** Gets what the term's bookkeeping consists of and costs. */
  getLoad(): CoordinatorLoad {
    const sessions = this.workerPool.getSessions();
    return {
      workerSessions: sessions.length,
      unregisteredSessions: countUnregistered(sessions),
      startCommands: this.startWindow.getCommandCount(),
      maxStartCommands: this.startWindow.getLimit(),
      passMs: this.passTimes.getTotalMs(),
      rejectedJobs: this.rejectedJobs.getCount(),
      withheldStarts: this.withheldStartCount,
      heldServices: this.headroom.getHoldingCount(),
    };
  }

  /** Gets the delays that the coordinator has added in this term, by kind. */
  getDelays(): ReadonlyMap<string, DurationHistogram> {
    return this.ownDelay.getHistograms();
  }

  onRunEnded(
    session: WorkerSession,
    ended: EndedRun,
    assigned: AssignedRun | undefined,
  ): void {
    const name = ended.outcome === 'done' ? 'run-done' : 'run-ended';
    this.options.events.addEvent(name, {
      taskId: ended.taskName,
      workerId: session.getId(),
      detail: `run ${ended.runNumber} ${ended.outcome}`,
    });
    if (assigned === undefined) {
      this.jobTracker.recordUnassignedRunEnd(ended);
    } else {
      this.workerSupervisor.recordRunEnd(assigned, ended.outcome);
      this.admissionControl.recordRunEnd(assigned, ended.outcome === 'done');
      this.jobTracker.recordRunEnd(assigned, ended);
    }
    this.schedulePass();
  }

  canRecordEndOf(taskName: string): boolean {
    return this.jobTracker.canRecordEndOf(taskName);
  }

  onRunLost(
    session: WorkerSession,
    assigned: AssignedRun,
    reason: string,
  ): void {
    this.options.events.addEvent('run-lost', {
      taskId: assigned.taskName,
      workerId: session.getId(),
      detail: `${formatRun(assigned.run)}: ${reason}; the worker's process is ${session.getProcessStartMs()}, its last response is ${session.getResponseAgeMs()} ms old; ${this.formatLeaseEnd(session)}`,
    });
    this.admissionControl.recordRunEnd(assigned, false);
    this.releaseRun(assigned);
  }

  onWorkerLost(session: WorkerSession, isReplaced: boolean): void {
    const mayRespondAgain = !isReplaced && session.hasRegistration();
    const lost = {...toLostWorker(session), mayRespondAgain};
    const others = this.workerPool
      .getSessions()
      .filter(each => each !== session && !each.getRecord().isDraining);
    const silentWorkers = others.filter(each => each.hasStoppedResponding());
    const suspectedRuns = this.crashAttributor.recordLoss(
      lost,
      silentWorkers.map(toLostWorker),
      others.length - silentWorkers.length,
      this.options.clock.getMonotonicMs(),
    );
    for (const suspected of suspectedRuns)
      this.jobTracker.recordStartCrash(suspected);
    if (mayRespondAgain) this.doubtfulCrashes.add(session, suspectedRuns);
  }

  onRunProven(assigned: AssignedRun): void {
    this.jobTracker.recordRunProven(assigned);
  }

  onCheckpointOmitted({run, taskName}: AssignedRun, length: number): void {
    if (this.omittedCheckpointRuns.has(run)) return;
    this.omittedCheckpointRuns.add(run);
    this.options.events.addEvent('checkpoint-omitted', {
      taskId: taskName,
      workerId: run.workerId,
      detail: `${formatRun(run)}: ${length} characters, at most ${MAX_CHECKPOINT_BYTES} bytes of JSON are kept`,
    });
  }

  onFirstResponse(session: WorkerSession, report: LeaseReport): void {
    this.options.events.addEvent('term-accepted', {
      workerId: session.getId(),
      detail: `process ${report.startMs}, its clock ${Math.round(report.clockMs)}; ${this.formatLeaseEnd(session)}`,
    });
  }

  onProcessRestarted(
    session: WorkerSession,
    previousStartMs: number,
    previousLeaseEndMs: number,
  ): void {
    const extendedMs = Math.round(session.getLeaseEndMs() - previousLeaseEndMs);
    this.options.events.addEvent('worker-restarted', {
      workerId: session.getId(),
      detail: `process ${session.getProcessStartMs()} after ${previousStartMs}, ${session.load.getRunCount()} runs assigned, registration of process ${session.getRecord().startMs}; ${this.formatLeaseEnd(session)}, ${extendedMs} ms later than before`,
    });
  }

  onRunProcessChanged(
    session: WorkerSession,
    {taskName, run}: AssignedRun,
    report: LeaseReport,
    placedStartMs: number,
  ): void {
    this.options.events.addEvent('run-process-changed', {
      taskId: taskName,
      workerId: session.getId(),
      detail: `run ${run.runNumber} was placed on process ${placedStartMs}, listed by process ${report.startMs}, its clock ${Math.round(report.clockMs)}`,
    });
  }

  onUnknownRun(
    session: WorkerSession,
    running: RunningRun,
  ): AssignedRun | undefined {
    this.options.events.addEvent('run-unknown', {
      taskId: running.taskName,
      workerId: session.getId(),
      detail: `run ${running.runNumber} on process ${session.getProcessStartMs()}, ${running.progressPercent} % done`,
    });
    const assigned = this.jobTracker.addReportedRun(
      running,
      session.getId(),
      session.getProcessStartMs(),
    );
    if (assigned !== undefined) this.recordLongLease(session, assigned.run);
    return assigned;
  }

  onCommandUnanswered(
    session: WorkerSession,
    assigned: AssignedRun,
    command: 'start' | 'stop',
  ): void {
    this.options.events.addEvent('command-unanswered', {
      taskId: assigned.taskName,
      workerId: session.getId(),
      detail: `${command} of ${formatRun(assigned.run)}`,
    });
  }

  onReport(session: WorkerSession): void {
    if (!this.isReady) this.checkReady();
    for (const assigned of this.doubtfulCrashes.takeRefuted(session))
      this.jobTracker.withdrawStartCrash(assigned);
    this.workerSupervisor.applyReport(session);
    const sequence = session.getRecordableSequence();
    const processStartMs = session.getProcessStartMs();
    const receivedMs = this.options.clock.getMonotonicMs();
    this.deferUntilStored(() => {
      // The store may have rejected the progress of a job meanwhile.
      const stored = Math.min(sequence, session.getRecordableSequence());
      session.acknowledge(stored, processStartMs, receivedMs);
    });
    this.releaseLeaseBound(session);
    if (!this.hasUnstoredChanges() && !this.isCommitting)
      this.writer.runDeferredActions();
  }

  onStartRefused(
    session: WorkerSession,
    assigned: AssignedRun,
    reason: RefusalReason,
  ): void {
    this.options.events.addEvent('start-refused', {
      taskId: assigned.taskName,
      workerId: session.getId(),
      detail: `${formatRun(assigned.run)}: ${reason}`,
    });
  }

  onStartWithheld(session: WorkerSession, {taskName, run}: AssignedRun): void {
    this.withheldStartCount++;
    const {failureDomain} = session.getRecord();
    this.options.events.addEvent('start-withheld', {
      taskId: taskName,
      workerId: session.getId(),
      detail: `${formatRun(run)}: ${failureDomain} is evacuated`,
    });
  }

  onRunNotStarted(assigned: AssignedRun): void {
    this.releaseRun(assigned);
  }

  onFenced(): void {
    this.finish('superseded');
  }

  onFencingTokensUsedUp(): void {
    this.finish('tokens-used-up');
  }

  onOtherClock(
    session: WorkerSession,
    assigned: AssignedRun,
    clockMs: number,
  ): void {
    this.options.events.addEvent('start-on-other-clock', {
      taskId: assigned.taskName,
      workerId: session.getId(),
      detail: `${formatRun(assigned.run)}: the clock of the process that executed it is ${Math.round(clockMs)}; ${this.formatLeaseEnd(session)}`,
    });
    this.jobTracker.markChanged(assigned.job);
    this.schedulePass();
  }

  onLongLease(session: WorkerSession): void {
    for (const {run} of session.load.getRuns())
      this.recordLongLease(session, run);
  }

  onLeasesSuspended(session: WorkerSession, leaseEndMs: number): void {
    this.leaseBounds.setLeaseEnd(session.getId(), leaseEndMs);
    this.schedulePass();
  }

  /** Stores a status in a transaction of the term, which begins or ends with it. */
  private async commitStatus(
    holder: string,
    maxAttempts: number,
  ): Promise<CommitOutcome> {
    const {commitLog, clock} = this.options;
    const createdMs = clock.getMonotonicMs();
    const value = encodeRowValue(this.heartbeat.createStatus(holder));
    const writes = [{...STATUS_ADDRESS, value}];
    const outcome = await commitLog.commit({writes, removals: []}, maxAttempts);
    if (outcome === 'committed') this.leaseLimit.confirm(createdMs);
    return outcome;
  }

  private finish(end: CoordinatorEndReason): void {
    if (this.endReason !== undefined) return;
    this.endReason = end;
    this.resolveEnd?.(end);
  }

  /** Defers an action until all current changes are stored; its failure does not prevent the others. */
  private deferUntilStored(action: () => void): void {
    this.writer.deferUntilStored(() => this.guard('a stored change', action));
  }

  /** Calls a function whose failure leaves the state of the term usable. */
  private guard(subject: string, call: () => void): void {
    runGuarded(this.options.events, subject, call);
  }

  /** Ends the term if an operation fails without which it cannot go on. */
  private async endOnError(
    subject: string,
    operation: Promise<void>,
  ): Promise<void> {
    try {
      await operation;
    } catch (error) {
      recordInternalError(this.options.events, subject, error);
      this.finish('failed');
    }
  }

  /** Restores the shared state, then starts to follow its changes. */
  private async loadState(): Promise<void> {
    const {store, clock, workerTable} = this.options;
    let workerRows: readonly StoredRow[] = [];
    let jobRows: readonly StoredRow[] = [];
    const workers = this.createFollower(workerTable, '', {
      onSnapshot: rows => {
        workerRows = rows;
        if (this.isLoaded)
          this.handleWorkerChanges(this.workerPool.replaceRows(rows));
      },
      onChanges: changes =>
        this.handleWorkerChanges(this.workerPool.applyChanges(changes)),
    });
    this.registrationFollower = workers;
    const jobs = this.createFollower(JOB_TABLE, undefined, {
      onSnapshot: rows => {
        jobRows = rows;
        if (this.isLoaded) this.handleJobChanges(rows);
      },
      onChanges: changes => this.handleJobChanges(changes.rows),
    });
    this.jobFollower = jobs;
    while (this.endReason === undefined && !this.isLoaded) {
      const [hasWorkers, hasJobs, progress, parts, bounds, effects] =
        await Promise.all([
          workers.readSnapshot(),
          jobs.readSnapshot(),
          getPartRows(store, PROGRESS_TABLE, COORDINATOR_PART),
          getPartRows(store, PROGRESS_PART_TABLE, COORDINATOR_PART),
          getPartRows(store, LEASE_BOUND_TABLE, COORDINATOR_PART),
          getPartRows(store, EFFECT_TABLE, COORDINATOR_PART),
        ]);
      const isRead = hasWorkers && hasJobs;
      if (!isRead || progress.isErr() || parts.isErr() || bounds.isErr()) {
        await clock.sleep(SNAPSHOT_RETRY_MS);
        continue;
      }
      // The effects learned by an earlier coordinator are optional: they can be learned again.
      if (effects.isOk())
        this.workerSupervisor
          .getInterferenceModel()
          .restore(effects.value.rows, this.invalidRows);
      this.leaseBounds.restore(bounds.value.rows);
      this.deferUntilStored(() =>
        this.options.commitLog.declareLeaseBoundsKept(),
      );
      this.restore(workerRows, jobRows, {
        rows: progress.value.rows,
        parts: parts.value.rows,
      });
    }
    if (this.endReason !== undefined) return;
    for (const follower of this.followers) void follower.run();
    void this.endOnError('a held job', this.releaseHeldJobs());
    this.schedulePass();
  }

  private restore(
    workerRows: readonly StoredRow[],
    jobRows: readonly StoredRow[],
    progress: ProgressTables,
  ): void {
    const nowMs = this.options.clock.getMonotonicMs();
    const obsoleteParts = this.jobTracker.restore(jobRows, progress, nowMs);
    this.writer.addRemovals(obsoleteParts);
    this.workerPool.applyRows(workerRows);
    this.workerPool.adoptRuns(this.jobTracker.getActiveJobs());
    this.jobTracker.cancelRestoredJobs();
    this.isLoaded = true;
    const detail = formatRestoredJobs(this.jobTracker.getActiveJobs());
    this.options.events.addEvent('state-restored', {detail});
    this.reportEvacuations(this.options.evacuations.getDomains());
    const orphanedRuns = this.workerPool.getOrphanedRuns();
    if (orphanedRuns.size === 0) return;
    this.options.events.addEvent('runs-awaited', {
      detail: formatOrphanedRuns(orphanedRuns, nowMs),
    });
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
      events,
      waitMs: CHANGE_POLL_TIMEOUT_MS,
      listener: {
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

  private handleWorkerChanges(knownSessions: readonly WorkerSession[]): void {
    for (const session of knownSessions)
      this.workerSupervisor.evacuateDrainingWorker(session);
    this.schedulePass();
  }

  /** Applies changed evacuations to placement at once, also to moves between passes. */
  private handleEvacuations(addedDomains: readonly string[]): void {
    if (!this.isLoaded) return;
    this.getUsableWorkers();
    this.reportEvacuations(addedDomains);
    this.schedulePass();
  }

  /** Reports how many workers evacuations concern; none if a name matches no domain. */
  private reportEvacuations(domains: readonly string[]): void {
    const sessions = this.workerPool.getSessions();
    for (const domain of domains) {
      const {length} = sessions.filter(
        session =>
          session.hasRegistration() &&
          session.getRecord().failureDomain === domain,
      );
      this.options.events.addEvent('evacuation-applied', {
        detail: `${domain}: ${length} registered workers`,
      });
    }
  }

  private handleJobChanges(rows: readonly StoredRow[]): void {
    if (rows.length === 0) return;
    this.workerPool.adoptRuns(this.jobTracker.applyRows(rows));
    this.schedulePass();
  }

  /** Reads the progress of held jobs again from time to time. */
  private async releaseHeldJobs(): Promise<void> {
    const {clock} = this.options;
    while (this.endReason === undefined) {
      for (const job of [...this.jobTracker.getHeldJobs()]) {
        const progress = await this.readProgress(job.getId());
        if (this.endReason !== undefined) return;
        if (progress === undefined) continue;
        if (!this.jobTracker.getHeldJobs().has(job)) continue;
        if (!this.jobTracker.tryRelease(job, progress)) continue;
        this.workerPool.adoptRuns([job]);
        this.schedulePass();
      }
      await clock.sleep(HELD_JOB_INTERVAL_MS);
    }
  }

  /** Reads the rows of a job's progress, which this term does not write while the job is held. */
  private async readProgress(
    jobId: string,
  ): Promise<ProgressRecord | undefined> {
    const {store} = this.options;
    const rows = await store.getRows({
      table: PROGRESS_TABLE,
      part: COORDINATOR_PART,
      fromKey: jobId,
      limit: 1,
    });
    const row = rows.isOk() ? rows.value.rows.at(0) : undefined;
    if (row?.key !== jobId) return undefined;
    const parts = await getPartRows(
      store,
      PROGRESS_PART_TABLE,
      COORDINATOR_PART,
      getPartKeyRange(jobId),
    );
    return parts.isOk() ? {row, parts: parts.value.rows} : undefined;
  }

  private releaseRun(assigned: AssignedRun): void {
    this.jobTracker.releaseRun(assigned);
    this.schedulePass();
  }

  /** Removes the bound of a worker, and grants leases again once that is stored. */
  private releaseLeaseBound(session: WorkerSession): void {
    const suspension = session.getLeaseSuspension();
    if (suspension === undefined) return;
    this.removeLeaseBound(session.getId());
    this.deferUntilStored(() => session.resumeLeases(suspension));
    this.schedulePass();
  }

  private removeLeaseBound(workerId: string): void {
    this.leaseBounds.remove(workerId);
    this.deferUntilStored(() => this.leaseBounds.forgetRemoved(workerId));
  }

  /** Removes the bounds of workers that have no more runs. */
  private removeObsoleteLeaseBounds(): void {
    for (const workerId of this.leaseBounds.getWorkerIds()) {
      const session = this.workerPool.findSession(workerId);
      if (session?.load.getRunCount() === 0) this.releaseLeaseBound(session);
      else if (
        session === undefined &&
        !this.workerPool.hasOrphanedRuns(workerId)
      )
        this.removeLeaseBound(workerId);
    }
  }

  private endObsoleteSessions(): void {
    for (const workerId of this.workerPool.endObsoleteSessions()) {
      this.workerSupervisor.forgetWorker(workerId);
      this.options.events.addEvent('worker-forgotten', {workerId});
    }
  }

  private checkReady(): void {
    const sessions = this.workerPool
      .getSessions()
      .filter(session => session.hasRegistration());
    const acceptedCount = sessions.filter(session =>
      session.hasAcceptedTerm(),
    ).length;
    if (acceptedCount < sessions.length * READY_FRACTION) return;
    this.isReady = true;
    const elapsedMs = Math.round(
      this.options.clock.getMonotonicMs() - this.electedMs,
    );
    this.options.events.addEvent('coordinator-ready', {
      detail: `${acceptedCount} of ${sessions.length} workers fenced after ${elapsedMs} ms`,
    });
  }

  private schedulePass(): void {
    if (this.isPassScheduled || this.endReason !== undefined) return;
    this.isPassScheduled = true;
    this.options.clock.setTimer(PASS_DEBOUNCE_MS, () => {
      this.isPassScheduled = false;
      const pauseMs = this.getPassPauseMs();
      if (pauseMs === 0) this.runPass();
      else this.runUrgentPass();
      if (pauseMs > 0) this.scheduleFullPass(pauseMs);
    });
  }

  /** Schedules a pass over all waiting steps for when the previous one has had its pause. */
  private scheduleFullPass(pauseMs: number): void {
    if (this.isFullPassScheduled) return;
    this.isFullPassScheduled = true;
    this.options.clock.setTimer(Math.ceil(pauseMs), () => {
      this.isFullPassScheduled = false;
      if (this.endReason !== undefined) return;
      // Timers of the process may fire up to a millisecond early.
      const remainingMs = this.getPassPauseMs();
      if (remainingMs === 0) this.runPass();
      else this.scheduleFullPass(remainingMs);
    });
  }

  /**
   * Gets the time until the next pass over all waiting steps, so that such passes
   * leave time for reports and commands. Urgent steps do not wait for it.
   */
  private getPassPauseMs(): number {
    const endMs = this.lastPassStartMs + this.passTimes.getLastMs();
    const pauseMs = this.passTimes.getLastMs() * (1 / MAX_PASS_SHARE - 1);
    const nowMs = this.options.clock.getMonotonicMs();
    return Math.max(0, endMs + pauseMs - nowMs);
  }

  private runPass(): void {
    if (this.endReason !== undefined || this.isHandingOver) return;
    this.lastPassStartMs = this.options.clock.getMonotonicMs();
    this.passTimes.measure(() =>
      this.guard('a placement pass', () => this.placeWaitingTasks()),
    );
    this.ownDelay.record('pass', this.passTimes.getLastMs());
    if (this.lastPass?.isCut()) this.schedulePass();
    this.requestCommit();
  }

  /** Places the tasks of urgent steps that changed, or were left, since the last pass. */
  private runUrgentPass(): void {
    if (this.endReason !== undefined || this.isHandingOver) return;
    const startMs = this.options.clock.getMonotonicMs();
    this.guard('an urgent placement pass', () => this.placeUrgentTasks());
    this.ownDelay.recordSince('urgent-pass', startMs);
  }

  private requestCommit(): void {
    if (this.isCommitting) this.isCommitPending = true;
    else void this.endOnError('a commit', this.commitChanges());
  }

  /** Commits what has changed, and once more if a pass asks for it meanwhile. */
  private async commitChanges(): Promise<void> {
    this.isCommitting = true;
    do {
      this.isCommitPending = false;
      const jobs = this.jobTracker.takeChangedJobs();
      const outcome = await this.writer.commit(jobs);
      if (outcome !== 'committed') this.finish(outcome);
      if (this.endReason !== undefined) break;
    } while (this.isCommitPending && !this.isHandingOver);
    this.isCommitting = false;
    if (this.endReason !== undefined) return;
    if (!this.hasUnstoredChanges()) this.writer.runDeferredActions();
    else this.schedulePass();
  }

  private hasUnstoredChanges(): boolean {
    return this.jobTracker.hasChanges() || this.leaseBounds.hasChanges();
  }

  private placeWaitingTasks(): void {
    const wallMs = this.options.clock.getWallMs();
    const workersByService = this.getUsableWorkers();
    this.startWindow.setUsableWorkerCount(countWorkers(workersByService));
    const pass = this.createPass(workersByService, this.round);
    const waiting = this.jobTracker.getPlaceableSteps(wallMs);
    this.ownDelay.addWork('waiting-step', waiting.length);
    pass.run(waiting, wallMs);
    const admissionWorkers = this.getAdmissionWorkers();
    this.updateShortage(pass);
    this.admissionControl.recordPass({
      waiting,
      workersByService: admissionWorkers,
      evacuatedServices: this.getEvacuatedServices(admissionWorkers),
      placedSteps: pass.getPlacedSteps(),
      isLimited: pass.isLimitReached(),
      shortage: this.getShortage(),
    });
    this.updateHeadroom(waiting, workersByService, wallMs);
    this.preemptForUrgentSteps(waiting, workersByService, wallMs);
    this.isStartLimited = pass.isLimitReached();
    this.lastPass = pass;
    this.jobTracker.takeRecentJobs();
    this.urgentJobs = getUrgentJobs(waiting, this.jobTracker.getTopPriority());
    this.recordPlacedSteps(pass, wallMs);
  }

  private updateHeadroom(
    waiting: readonly WaitingStep[],
    workersByService: ReadonlyMap<string, readonly PlacementWorker[]>,
    wallMs: number,
  ): void {
    const {clock, events, getConfig} = this.options;
    const nowMs = clock.getMonotonicMs();
    const queues = getConfig()?.queues ?? [];
    const state = {queues, workersByService, waiting, nowMs, wallMs};
    this.headroom.recordPass(state);
    for (const change of this.headroom.takeChanges(workersByService, nowMs)) {
      const {isHolding, detail} = change;
      const name = isHolding ? 'long-running-held' : 'long-running-admitted';
      events.addEvent(name, {detail});
    }
  }

  private updateShortage(pass: PlacementPass): void {
    const {clock, getConfig, shortCapacityPolicy} = this.options;
    if (shortCapacityPolicy !== 'delay-cost') return;
    this.shortageTracker.recordPass(
      pass.getShortServices(),
      getConfig()?.queues ?? [],
      clock.getMonotonicMs(),
    );
  }

  private getShortage(): Shortage {
    const nowMs = this.options.clock.getMonotonicMs();
    return {
      services: this.shortageTracker.getShortServices(nowMs),
      getProtectedWork: waiting =>
        this.admissionControl.getProtectedWork(waiting),
    };
  }

  /** Stops batch runs of lower priority for urgent steps that would miss their objective. */
  private preemptForUrgentSteps(
    waiting: readonly WaitingStep[],
    workersByService: ReadonlyMap<string, readonly PlacementWorker[]>,
    wallMs: number,
  ): void {
    const nowMs = this.options.clock.getMonotonicMs();
    const shortage = this.getShortage();
    if (nowMs - this.lastPreemptionMs < TICK_MS) return;
    const topPriority = this.jobTracker.getTopPriority();
    const urgent = waiting.filter(
      each =>
        shortage.services.has(each.queue.serviceName) &&
        isUrgent(each, topPriority, wallMs) &&
        each.step.tasks.some(isWaitingTask),
    );
    if (urgent.length === 0) return;
    this.lastPreemptionMs = nowMs;
    const freeWorkers = new Map<string, PlacementWorker[]>();
    for (const serviceName of shortage.services) {
      const workers = workersByService.get(serviceName) ?? [];
      const unreserved = workers.filter(
        worker => !this.reservations.isReserved(worker),
      );
      freeWorkers.set(serviceName, unreserved);
    }
    const preemptions = selectPreemptions({
      waiting: sortWaitingSteps(urgent, wallMs, shortage),
      workersByService: freeWorkers,
      ...{nowMs, wallMs},
    });
    for (const preemption of preemptions)
      this.workerSupervisor.preemptForUrgent(preemption);
  }

  private placeUrgentTasks(): void {
    const wallMs = this.options.clock.getWallMs();
    for (const job of this.jobTracker.takeRecentJobs())
      this.urgentJobs.add(job);
    const changed = this.jobTracker.getWaitingStepsOf(this.urgentJobs, wallMs);
    const topPriority = this.jobTracker.getTopPriority();
    const waiting = changed.filter(each => isUrgent(each, topPriority, wallMs));
    this.urgentJobs = new Set(waiting.map(({job}) => job));
    if (waiting.length === 0) return;
    this.ownDelay.addWork('waiting-step', waiting.length);
    const pass = this.createPass(
      this.getUsableWorkers(),
      PlacementRound.create(this.options.clock),
    );
    pass.runUrgent(waiting, wallMs, this.lastPass?.getTrialWorkerIds());
    if (pass.getPlacedSteps().length === 0) return;
    this.admissionControl.recordPlacements(pass.getPlacedSteps());
    this.recordPlacedSteps(pass, wallMs);
    this.requestCommit();
  }

  private getUsableWorkers(): Map<string, PlacementWorker[]> {
    return this.workerSupervisor.getUsableWorkers(
      this.workerPool.getSessions(),
    );
  }

  private createPass(
    workersByService: ReadonlyMap<string, readonly PlacementWorker[]>,
    round: PlacementRound,
  ): PlacementPass {
    const freeCount = this.startWindow.getFreeCount() - this.unsentRuns.size;
    return PlacementPass.create({
      interferenceModel: this.workerSupervisor.getInterferenceModel(),
      workersByService,
      maxPlacements: Math.max(0, freeCount),
      reservations: this.reservations,
      headroom: this.headroom,
      shortage: this.getShortage(),
      round,
      nowMs: this.options.clock.getMonotonicMs(),
      place: placement => this.placeTask(placement),
      undo: (assigned, {session}) => this.undoPlacement(assigned, session),
      preempt: preemption => this.workerSupervisor.preempt(preemption),
      onRanking: count => this.ownDelay.addWork('ranked-worker', count),
    });
  }

  private recordPlacedSteps(pass: PlacementPass, wallMs: number): void {
    for (const step of pass.getPlacedSteps()) {
      this.options.events.addEvent('step-placed', {
        requestId: step.waiting.job.getId(),
        detail: formatPlacedStep(step, wallMs),
      });
    }
  }

  /**
   * Gets the workers that are to run jobs, by service. Those that are not usable at
   * the moment count: why they are not says nothing about load. Those of an evacuated
   * domain do not, as they stay unusable for longer than callers wait.
   */
  private getAdmissionWorkers(): Map<string, AdmissionWorker[]> {
    const workers = new Map<string, AdmissionWorker[]>();
    for (const session of this.workerPool.getSessions()) {
      const {serviceName, labels, isDraining} = session.getRecord();
      if (isDraining || !session.hasRegistration()) continue;
      if (session.isEvacuated()) continue;
      const list = workers.get(serviceName) ?? [];
      list.push({load: session.load, labels});
      workers.set(serviceName, list);
    }
    return workers;
  }

  /** Gets the services that have no workers to run jobs but evacuated ones. */
  private getEvacuatedServices(
    workers: ReadonlyMap<string, readonly AdmissionWorker[]>,
  ): Set<string> {
    const services = new Set<string>();
    for (const session of this.workerPool.getSessions()) {
      const {serviceName, isDraining} = session.getRecord();
      if (isDraining || !session.hasRegistration()) continue;
      if (session.isEvacuated() && !workers.has(serviceName))
        services.add(serviceName);
    }
    return services;
  }

  /** Gets the load by name of the queue, or `undefined` while accepted jobs may be unknown here. */
  private getQueueLoads(): Record<string, QueueLoad> | undefined {
    const jobsAgeMs = this.jobFollower?.getMaxAgeMs() ?? Infinity;
    if (!this.isLoaded || jobsAgeMs > MAX_JOBS_AGE_MS) return undefined;
    const wallMs = this.options.clock.getWallMs();
    const refusals = this.admissionControl.update(wallMs);
    for (const detail of this.admissionControl.takeJobLimitChanges())
      this.options.events.addEvent('job-limit-changed', {detail});
    return this.jobTracker.getQueueLoads(
      refusals,
      this.admissionControl.getJobLimits(),
    );
  }

  private placeTask(placement: Placement): AssignedRun {
    const {waiting, task, worker, cpuLimitPercent} = placement;
    const {job, occurrence, step} = waiting;
    const {session} = worker;
    const taskName = getTaskName(job, occurrence, step, task);
    const run = createTaskRun(
      session.getId(),
      session.getProcessStartMs(),
      this.allocateRunNumber(step, taskName),
      this.options.clock.getMonotonicMs(),
    );
    run.cpuLimitPercent = cpuLimitPercent;
    this.recordLongLease(session, run);
    task.runs.push(run);
    const assigned: AssignedRun = {
      job,
      occurrence,
      step,
      task,
      run,
      taskName,
      commandResponseMs: undefined,
      placeableMs: this.getPlaceableMs(waiting, task),
    };
    this.ownDelay.recordSince(
      step.spec.isFiller ? 'filler-placed' : 'placed',
      assigned.placeableMs ?? run.placedMs,
    );
    session.load.addRun(assigned);
    this.workerSupervisor.recordPlacement(session, assigned);
    this.jobTracker.markChanged(job);
    this.unsentRuns.add(assigned);
    this.writer.deferUntilJobStored(job, () =>
      this.guard('a stored placement', () => this.startRun(session, assigned)),
    );
    return assigned;
  }

  /** Gets the monotonic time since which this term could have placed a task, had there been room. */
  private getPlaceableMs(waiting: WaitingStep, task: TaskState): number {
    const {clock} = this.options;
    const {job, occurrence, step} = waiting;
    const dueAgeMs = clock.getWallMs() - job.getDueMs(occurrence);
    let placeableMs = Math.max(
      job.noticedMs,
      task.releasedMs ?? 0,
      clock.getMonotonicMs() - dueAgeMs,
    );
    const steps = job.occurrences.get(occurrence)?.steps ?? [];
    for (const index of step.spec.dependsOn)
      placeableMs = Math.max(placeableMs, steps[index]?.doneMs ?? 0);
    return placeableMs;
  }

  private formatLeaseEnd(session: WorkerSession): string {
    const nowMs = this.options.clock.getMonotonicMs();
    return formatLeaseEnd(session.getLeaseEnd(), nowMs);
  }

  /**
   * Records with a run that its worker may hold a lease of which the status does not tell.
   * Without such a record, a successor takes the process of the run for fenced.
   */
  private recordLongLease(session: WorkerSession, run: TaskRun): void {
    if (!session.isProcessFenced()) {
      run.longLeaseEndStoreMs = UNKNOWN_LEASE_END_STORE_MS;
      return;
    }
    const leaseEndMs = session.getLeaseEndMs();
    const endStoreMs = this.leaseLimit.getLongLeaseEndStoreMs(leaseEndMs);
    const isReplaced = run.longLeaseEndStoreMs === UNKNOWN_LEASE_END_STORE_MS;
    if (endStoreMs !== undefined || isReplaced)
      run.longLeaseEndStoreMs = endStoreMs;
  }

  private startRun(session: WorkerSession, assigned: AssignedRun): void {
    this.unsentRuns.delete(assigned);
    if (!this.checkTerm()) return;
    if (!assigned.task.runs.includes(assigned.run)) return;
    this.ownDelay.recordSince('stored', assigned.run.placedMs);
    this.options.events.addEvent('run-started', {
      taskId: assigned.taskName,
      workerId: session.getId(),
      detail: formatRun(assigned.run),
    });
    void session.startRun(assigned).then(() => {
      if (this.isStartLimited) this.schedulePass();
    });
  }

  /**
   * Allocates a run number above those of all earlier terms. The members of a
   * gang share the number of the member that is placed first.
   */
  private allocateRunNumber(step: StepState, taskName: string): number {
    const gangRunNumber = step.spec.isGang ? getGangRunNumber(step) : undefined;
    return gangRunNumber ?? this.runNumbers.allocate(step, taskName);
  }

  /**
   * Reverts a placement of the current pass, and releases its run number. Nothing
   * of it has been stored or sent yet.
   */
  private undoPlacement(assigned: AssignedRun, session: WorkerSession): void {
    const {step, task, run, taskName} = assigned;
    task.runs = task.runs.filter(each => each !== run);
    session.load.removeRun(assigned);
    this.unsentRuns.delete(assigned);
    if (step.spec.isGang && step.hasRuns()) return;
    this.runNumbers.release(step, taskName);
  }

  /**
   * Withdraws the placements of a job whose progress was rejected. A successor does not
   * know of them, and they would hold room that other jobs can use.
   */
  private withdrawUnsentRuns(job: JobState): void {
    const withdrawn = [...this.unsentRuns].filter(each => each.job === job);
    for (const assigned of withdrawn) {
      this.unsentRuns.delete(assigned);
      const session = this.workerPool.findSession(assigned.run.workerId);
      session?.load.removeRun(assigned);
    }
    this.jobTracker.withdrawRuns(job, withdrawn);
    this.schedulePass();
  }

  private scheduleTick(): void {
    this.options.clock.setTimer(TICK_MS, () => {
      if (this.endReason !== undefined) return;
      this.guard('a periodic check', () => this.tick());
      this.scheduleTick();
    });
  }

  private tick(): void {
    this.options.evacuations.reportAge();
    if (!this.checkTerm()) return;
    const nowMs = this.options.clock.getMonotonicMs();
    this.declareProcessesFenced(nowMs);
    for (const assigned of this.workerPool.getExpiredOrphans(nowMs))
      this.guard('the loss of a run', () => this.releaseOrphan(assigned));
    this.schedulePass();
    if (this.isLoaded) {
      for (const session of this.workerPool.getSessions())
        session.suspendLeasesIfSilent();
      this.removeObsoleteLeaseBounds();
      this.endObsoleteSessions();
      void this.endOnError('ended jobs', this.retention.purge());
    }
    this.guard('a report of waits', () => {
      if (nowMs - this.lastLoadLogMs >= LOAD_LOG_INTERVAL_MS)
        this.logLoad(nowMs);
      if (this.isLoaded) this.reportWaits(nowMs);
    });
  }

  /** Declares that the calls of an earlier build, which fenced no processes, have had their effect. */
  private declareProcessesFenced(nowMs: number): void {
    const {commitLog, maxLeaseMs} = this.options;
    const endMs = this.leaseLimit.getLatestPreviousEndMs();
    if (nowMs >= endMs + getLongestLeaseValidityMs(maxLeaseMs))
      commitLog.declareProcessesFenced();
  }

  private releaseOrphan(assigned: AssignedRun): void {
    const reason = 'the worker was lost before this term';
    const nowMs = this.options.clock.getMonotonicMs();
    const endMs = this.workerPool.getOrphanedRuns().get(assigned) ?? nowMs;
    this.options.events.addEvent('run-lost', {
      taskId: assigned.taskName,
      workerId: assigned.run.workerId,
      detail: `${formatRun(assigned.run)}: ${reason}; leases ${formatExpiry(endMs, nowMs)}`,
    });
    this.jobTracker.recordStartCrash({assigned, isAttributed: false, reason});
    this.releaseRun(assigned);
    this.workerPool.removeOrphan(assigned);
  }

  private reportWaits(nowMs: number): void {
    this.silenceReporter.update(this.workerPool.getSessions());
    if (!this.waitReporter.isDue(nowMs)) return;
    const wallMs = this.options.clock.getWallMs();
    const waiting = this.jobTracker.getWaitingSteps(wallMs);
    this.waitReporter.update(waiting, nowMs);
  }

  private explainWait(waiting: WaitingStep): string {
    const {clock} = this.options;
    if (this.rejectedJobs.has(waiting.job.getId()))
      return 'the store rejects the progress of the job';
    return explainWait(waiting, {
      supervisor: this.workerSupervisor,
      sessions: this.workerPool.getSessions(),
      pass: this.lastPass,
      passAgeMs: clock.getMonotonicMs() - this.lastPassStartMs,
      nowMs: clock.getMonotonicMs(),
      wallMs: clock.getWallMs(),
    });
  }

  private logLoad(nowMs: number): void {
    this.lastLoadLogMs = nowMs;
    const waiting = this.jobTracker.getWaitingSteps(
      this.options.clock.getWallMs(),
    );
    const detail = [
      formatFleetLoad(this.workerPool.getSessions(), waiting),
      formatTrials(this.workerPool.getSessions(), waiting),
      formatQueueLoads(
        this.jobTracker.getQueueLoads(this.admissionControl.getRefusals()),
      ),
      `timers ${Math.round(this.startWindow.getDelayMs())} ms late, ${this.startWindow.getCommandCount()} of ${Math.round(this.startWindow.getLimit())} start commands at a time`,
      formatMaxStarts(this.admissionControl.getMaxStartsPerSecond()),
      formatPassTimes(this.passTimes),
      this.ownDelay.takeReport(),
      `job feed ${Math.round(this.jobFollower?.getMaxAgeMs() ?? Infinity)} ms old`,
    ].join(', ');
    this.options.events.addEvent('fleet-load', {detail});
  }

  /**
   * Checks whether the term still holds. Ends it when the node is isolated from
   * the store: a run that is not started for that reason would stay assigned.
   */
  private checkTerm(): boolean {
    if (this.endReason === undefined && this.isIsolated())
      this.finish('isolated');
    return this.endReason === undefined;
  }

  private areRegistrationsCurrent(): boolean {
    const ageMs = this.registrationFollower?.getMaxAgeMs() ?? Infinity;
    return ageMs < MAX_REGISTRATION_AGE_MS;
  }

  private isStoreResponding(): boolean {
    return this.getUnconfirmedMs() < STORE_RESPONSE_TIMEOUT_MS;
  }

  /** Without access to the store, this node can soon grant no leases any more. */
  private isIsolated(): boolean {
    const remainingMs =
      this.leaseLimit.getEndMs() - this.options.clock.getMonotonicMs();
    return remainingMs < MIN_LEASE_VALIDITY_MS;
  }

  /** Gets the time since the last write to the store that was confirmed was sent. */
  private getUnconfirmedMs(): number {
    const {commitLog, clock} = this.options;
    return clock.getMonotonicMs() - commitLog.getLastConfirmedSendMs();
  }
}

function getUrgentJobs(
  waiting: readonly WaitingStep[],
  topPriority: number,
): Set<JobState> {
  const jobs = new Set<JobState>();
  for (const {job, queue, step} of waiting) {
    if (queue.priority <= topPriority && !step.spec.isFiller) jobs.add(job);
  }
  return jobs;
}

function countWorkers(
  workersByService: ReadonlyMap<string, readonly PlacementWorker[]>,
): number {
  let count = 0;
  for (const workers of workersByService.values()) count += workers.length;
  return count;
}

function toLostWorker(session: WorkerSession): LostWorker {
  return {
    workerId: session.getId(),
    interval: session.getLossInterval(),
    mayRespondAgain: session.hasRegistration(),
    load: session.load,
  };
}

function getGangRunNumber(step: StepState): number | undefined {
  for (const {runs} of step.tasks) {
    if (runs.length > 0) return runs[0].runNumber;
  }
  return undefined;
}
