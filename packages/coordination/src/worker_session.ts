/** The coordinator's side of one worker: lease renewal, reports and run commands. */

import {Clock} from '@mustardlug/base/clock';
import {recordCheckpoint} from '@mustardlug/jobs/job_state';
import {
  EndedRun,
  JobWorkerClient,
  LeaseReport,
  RefusalReason,
  RunCommand,
  RunningRun,
  StartReceipt,
  WorkerRecord,
  JobWorkerError,
} from '@mustardlug/platform/job_worker_client';
import {Result} from 'neverthrow';
import {CallCounts, CallHistory, WorkerCall} from './call_history.js';
import {EvacuationState} from './evacuations.js';
import {LeaseEnd, LeaseEndSource} from './lease_end.js';
import {FenceReport, ProcessFence} from './process_fence.js';
import {ReportTimes} from './report_times.js';
import {StartBackoff} from './start_backoff.js';
import {OwnDelay} from './own_delay.js';
import {StartWindow} from './start_window.js';
import {AssignedRun, getRunKey, WorkerLoad} from './worker_load.js';

/** Why no new runs may be placed on a worker. */
export type SessionExclusion =
  | 'session-ended'
  | 'not-registered'
  | 'draining'
  | 'evacuated'
  | 'evacuations-unknown'
  | 'unresponsive'
  | 'other-process'
  | 'unfenced-process'
  | 'unknown-runs'
  | 'out-of-capacity'
  | 'starts-failed'
  | 'leases-suspended';

/** Monotonic times between which a worker was lost, if it was. */
export interface LossInterval {
  /** Negative infinity if the worker has not responded in this term. */
  readonly earliestMs: number;
  readonly latestMs: number;
}

/** End of a run that was processed, and may not be acknowledged yet. */
type ProcessedEnd = Pick<EndedRun, 'sequence' | 'taskName'>;

/** Receives the events of a worker session. */
export interface SessionListener {
  /** Called once for each run that the worker lists as ended, in the order of the list. */
  onRunEnded(
    session: WorkerSession,
    ended: EndedRun,
    assigned: AssignedRun | undefined,
  ): void;
  /**
   * Checks whether the end of a run can be stored, so that the worker may discard it.
   * It is listed again until then.
   * @param taskName - Task that the run belongs to.
   */
  canRecordEndOf(taskName: string): boolean;
  /** Called when a run has certainly ended although the worker did not list its end. */
  onRunLost(
    session: WorkerSession,
    assigned: AssignedRun,
    reason: string,
  ): void;
  /**
   * Called before runs are dropped because their worker was lost, unless it was
   * leaving as planned. Its load still has all of them, and the loss interval is that
   * of the lost process.
   * @param isReplaced - Whether another process has responded, so that the previous
   *     one has certainly ended.
   */
  onWorkerLost(session: WorkerSession, isReplaced: boolean): void;
  /** Called when a run has been running for long enough not to crash the worker at its start. */
  onRunProven(assigned: AssignedRun): void;
  /**
   * Called when a checkpoint of a run is too large to be kept.
   * @param length - Its length, in characters.
   */
  onCheckpointOmitted(assigned: AssignedRun, length: number): void;
  /** Called after a report was applied. Its ended runs may be acknowledged once they are stored. */
  onReport(session: WorkerSession): void;
  /**
   * Called when the worker refused a start command. Only this command had no
   * effect; an earlier one of the same run may still be executed.
   */
  onStartRefused(
    session: WorkerSession,
    assigned: AssignedRun,
    reason: RefusalReason,
  ): void;
  /**
   * Called when the start command of a run is not sent, or not repeated, as the failure
   * domain of the worker is evacuated.
   */
  onStartWithheld(session: WorkerSession, assigned: AssignedRun): void;
  /** Called when a run has certainly not started and cannot start any more. */
  onRunNotStarted(assigned: AssignedRun): void;
  /**
   * Called at the first response of the worker in this term.
   * @param report - The response, which is not applied yet.
   */
  onFirstResponse(session: WorkerSession, report: LeaseReport): void;
  /**
   * Called when a report comes from another process than the previous one.
   * @param previousStartMs - Start time of the previous process.
   * @param previousLeaseEndMs - Monotonic time by which its leases have expired, which
   *     may be earlier than for the new process.
   */
  onProcessRestarted(
    session: WorkerSession,
    previousStartMs: number,
    previousLeaseEndMs: number,
  ): void;
  /**
   * Called when a process lists a run for the first time that was placed on another one.
   * @param report - The report that lists it.
   * @param placedStartMs - Start time of the process that the run was placed on.
   */
  onRunProcessChanged(
    session: WorkerSession,
    assigned: AssignedRun,
    report: LeaseReport,
    placedStartMs: number,
  ): void;
  /**
   * Called when the worker reports a run that is not assigned to it.
   * @returns The run with its task, or `undefined` if no such task is known.
   */
  onUnknownRun(
    session: WorkerSession,
    running: RunningRun,
  ): AssignedRun | undefined;
  /** Called when the worker did not respond to a command, which may still take effect. */
  onCommandUnanswered(
    session: WorkerSession,
    assigned: AssignedRun,
    command: 'start' | 'stop',
  ): void;
  /** Called when the worker has seen a higher fencing token. */
  onFenced(session: WorkerSession): void;
  /** Called when the worker has restarted more often than the term has fencing tokens. */
  onFencingTokensUsedUp(session: WorkerSession): void;
  /** Called when the process may hold a longer lease than granted, from a call to a former one. */
  onLongLease(session: WorkerSession): void;
  /**
   * Called when the response to a start command shows that a process has executed it
   * whose clock is behind that of the process it was meant for.
   * @param clockMs - Time of its clock.
   */
  onOtherClock(
    session: WorkerSession,
    assigned: AssignedRun,
    clockMs: number,
  ): void;
  /**
   * Called when the worker does not respond and has runs, and again when its leases may
   * last longer. No lease is granted any more until `resumeLeases` is called.
   * @param leaseEndMs - Monotonic time by which all leases have expired.
   */
  onLeasesSuspended(session: WorkerSession, leaseEndMs: number): void;
}

export interface WorkerSessionOptions {
  readonly clock: Clock;
  readonly client: JobWorkerClient;
  readonly listener: SessionListener;
  /** Lowest fencing token for the calls of the session. */
  readonly firstFencingToken: number;
  /** Highest fencing token of the term. */
  readonly lastFencingToken: number;
  readonly record: WorkerRecord;
  /** Maximum lease duration that the platform grants, in milliseconds. */
  readonly maxLeaseMs: number;
  /** Checks whether the term still holds, so that runs may be started. */
  readonly isTermConfirmed: () => boolean;
  /** Checks whether the registrations are recent enough to start runs. */
  readonly areRegistrationsCurrent: () => boolean;
  readonly evacuations: EvacuationState;
  /** Checks whether the store responds, so that bounds of leases can be stored and removed. */
  readonly isStoreResponding: () => boolean;
  /** Monotonic time by which all leases of earlier terms have expired. */
  readonly previousLeaseEndMs: number;
  /**
   * Gets the monotonic time by which the leases have expired that a process may hold
   * from calls to former ones, or `undefined` if earlier terms have not stored it.
   */
  readonly getLongLeaseEndMs: (processStartMs: number) => number | undefined;
  /** Gets the monotonic time by which all leases of this term must have expired. */
  readonly getLeaseLimitMs: () => number;
  /** Start commands in progress to all workers. */
  readonly startWindow: StartWindow;
  readonly ownDelay: OwnDelay;
  /**
   * Monotonic time by which all leases of this worker have expired, if a stored bound
   * tells. Leases are then suspended at first.
   */
  readonly leaseBoundMs: number | undefined;
}

/**
 * Duration of a granted lease. Long enough for runs to continue while a lost
 * coordinator is replaced.
 */
const LEASE_MS = 5_000;

/** Maximum time that the worker waits for a run to end before it responds to a renewal. */
const RENEWAL_POLL_TIMEOUT_MS = 500;

/**
 * Maximum time that the worker waits for a run to end while calls to it stay
 * unanswered, as the sooner a renewal is overdue, the more of them fit into a lease; and
 * while leases are short, so that they are renewed soon after the store responds again.
 */
const SHORT_POLL_TIMEOUT_MS = 200;

/** Number of renewals in progress beyond which none is sent before another one has ended. */
const MAX_OPEN_RENEWALS = 4;

/** Minimum time between two renewals, so that runs that end close together share a report. */
const MIN_RENEWAL_INTERVAL_MS = 20;

/** Maximum pause between two renewals of a process that falls behind; well below the lease. */
const MAX_RENEWAL_INTERVAL_MS = 400;

/** Pause between two renewals while no leases are granted, and so also the delay until they are again. */
const SUSPENDED_RENEWAL_INTERVAL_MS = 100;

/** Delay before a failed renewal is repeated, as long as it may save runs or tell their end. */
const RENEWAL_RETRY_MS = 150;

/**
 * Maximum delay before a failed renewal of a worker without runs is repeated. The
 * delay doubles up to it. A worker that responds again is noticed well within a lease.
 */
const MAX_RENEWAL_RETRY_MS = 1_000;

/** Maximum delay of the next renewal while the ended runs of the last report are being stored. */
const MAX_ACKNOWLEDGE_DELAY_MS = 400;

/** Allowance for a worker clock that runs slow. The platform's contract permits 2 %. */
const CLOCK_DRIFT_FACTOR = 1.03;

/** Allowance for clock readings in whole milliseconds. */
const CLOCK_ROUNDING_MS = 1;

/** Allowance for the time that a worker takes to handle a command. */
const LEASE_MARGIN_MS = 300;

/** Upper bound for the time that a granted lease keeps runs going, on the coordinator's clock. */
export const MAX_LEASE_VALIDITY_MS =
  LEASE_MS * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS;

/**
 * Time after which a call without a response is taken to be executed no more. Matters
 * only for calls to a former process while the next one has not been fenced.
 */
export const MAX_CALL_DELAY_MS = 5_000;

/** Duration of the shortest lease that is worth granting; covers a renewal. */
const MIN_LEASE_MS = 200;

/** Upper bound for the time that the shortest lease keeps runs going, on the coordinator's clock. */
export const MIN_LEASE_VALIDITY_MS =
  MIN_LEASE_MS * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS;

/** Age of the last response beyond which a worker receives no new runs. */
const UNRESPONSIVE_TIMEOUT_MS = 1_500;

/**
 * Time without a first response after which leases are suspended. Below the time
 * limit of a renewal, as none has been granted in this term, which may be short.
 */
const FIRST_RESPONSE_TIMEOUT_MS = 300;

/**
 * Age of a session from which runs are given up by a stored bound. Above the time
 * limit of a renewal, so that other lost workers are known to be silent by then.
 */
const MIN_GIVE_UP_AGE_MS = 1_000;

/**
 * Start commands without confirmation after which the run is stopped, so that a
 * delayed command cannot start it.
 */
const MAX_START_ATTEMPTS = 4;

/** The same while calls are being lost, as stopping the run takes calls too. */
const MAX_LOSSY_START_ATTEMPTS = 10;

/** Interval at which a start that waits for current registrations and evacuations checks them. */
const START_POLL_MS = 20;

/** Delay before a stop command without a response is repeated. */
const STOP_RETRY_MS = 200;

/** CPU limit of a run when it starts. */
const UNLIMITED_PERCENT = 100;

/** Delay before a CPU limit command without a response is repeated. */
const CPU_LIMIT_RETRY_MS = 200;

/**
 * Time for which a worker must list a run, on the worker's clock, until the run
 * counts as proven: it does not crash the worker at its start.
 */
const PROVING_TIME_MS = 500;

/** Maximum number of ended runs in one report. A report with as many may be incomplete. */
const MAX_REPORTED_ENDS = 500;

/** Reasons of refusals that concern the worker and not the task. */
const WORKER_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  'lapsed',
  'no-room',
  'other-lifetime',
  'unhealthy',
]);

/** Minimum time between two stop commands for the same unknown run. */
const UNKNOWN_RUN_STOP_INTERVAL_MS = 500;

/** Time of a worker's clock in a report. */
interface ClockReading {
  readonly clockMs: number;
  /** Monotonic time at which the report was received. */
  readonly receivedMs: number;
}

/** What became of a renewal by the time that the next one may be sent. */
type RenewalProgress = 'reported' | 'failed' | 'overdue';

/** Renews the lease of one worker, applies its reports and sends it run commands. */
export class WorkerSession {
  readonly load: WorkerLoad;
  private record: WorkerRecord;
  private processStartMs: number;
  private readonly fence: ProcessFence;
  private isStopped = false;
  private isRegistered = true;
  private readonly createdMs: number;
  private lastResponseMs = -Infinity;
  private hasResponded = false;
  /** Whether a renewal sent since the last report has failed. */
  private hasLastRenewalFailed = false;
  /** Whether the last renewal with a response was refused. */
  private isLastRenewalRefused = false;
  /** Number of the last call that was sent before the last report arrived. */
  private lastCallBeforeReport = 0;
  private openRenewalCount = 0;
  private lastRenewal: WorkerCall | undefined;
  /** A renewal without a response that was sent after the one of the last report. */
  private unreportedRenewal: WorkerCall | undefined;
  /** Monotonic time at which the call was sent to which the last report is the response. */
  private lastReportedCallMs = -Infinity;
  /** Monotonic time at which the last start command was sent that waits for a report. */
  private lastAwaitedStartMs = -Infinity;
  /** Ends the wait for a response to the renewal that was sent last. */
  private endRenewalWait: ((progress: RenewalProgress) => void) | undefined;
  /** Unexpected error while a report was applied. */
  private reportError: Error | undefined;
  private workerClock: ClockReading | undefined;
  /** Expiry of the lease that renewals have granted since the last report, on the worker's clock. */
  private grantedUntilMs: number | undefined;
  /** Whether the next renewal has to grant a longer lease than that in progress. */
  private isExtensionDue = false;
  /** When all leases have expired, including those of earlier terms. */
  private leaseEnd: LeaseEnd;
  private areLeasesSuspended: boolean;
  /** Number of times that leases were suspended. */
  private suspensionCount = 0;
  private processedSequence = 0;
  private acknowledgedSequence = 0;
  /** Processed ends that are not acknowledged, in the order of their numbers. */
  private unacknowledgedEnds: ProcessedEnd[] = [];
  /** Whether the last report listed ended runs, which the worker keeps until they are acknowledged. */
  private hasListedEnds = false;
  /** Start commands that wait for the next renewal, successful or not. */
  private renewalWaiters: Array<() => void> = [];
  private wakeUp: (() => void) | undefined;
  /** Delay before the next failed renewal is repeated if the worker has no runs. */
  private retryDelayMs = RENEWAL_RETRY_MS;
  private isOutOfCapacity = false;
  private readonly reportTimes = ReportTimes.create();
  private readonly startBackoff: StartBackoff;
  private readonly calls: CallHistory;
  /** Whether the last report listed runs of unknown tasks, whose needs cannot be counted. */
  private hasUnknownRuns = false;
  private readonly unknownRunStopTimes = new Map<string, number>();
  /** Runs whose CPU limit is being sent. */
  private readonly cpuLimitedRuns = new Set<AssignedRun>();

  private constructor(private readonly options: WorkerSessionOptions) {
    this.record = options.record;
    this.processStartMs = options.record.startMs;
    this.fence = ProcessFence.create({
      firstToken: options.firstFencingToken,
      lastToken: options.lastFencingToken,
      startMs: options.record.startMs,
    });
    this.load = WorkerLoad.create(options.record.capacity);
    const {clock, previousLeaseEndMs, leaseBoundMs} = options;
    this.startBackoff = StartBackoff.create(clock);
    this.calls = CallHistory.create(clock, options.startWindow.eventLoopDelay);
    this.createdMs = clock.getMonotonicMs();
    this.areLeasesSuspended = leaseBoundMs !== undefined;
    this.leaseEnd = LeaseEnd.create(previousLeaseEndMs, leaseBoundMs);
  }

  /**
   * Creates a session; `run` starts it.
   * @param options - Worker, fencing token and listener.
   */
  static create(options: WorkerSessionOptions): WorkerSession {
    return new WorkerSession(options);
  }

  getId(): string {
    return this.record.workerId;
  }

  /** Gets the current registration of the worker. */
  getRecord(): WorkerRecord {
    return this.record;
  }

  /** Checks whether the process that reported last rejects all calls to former ones. */
  isProcessFenced(): boolean {
    return this.fence.isFenced();
  }

  /** Gets the fencing token of the calls to the worker. */
  getFencingToken(): number {
    return this.fence.getToken();
  }

  /** Gets the start time of the current worker process, in milliseconds since the Unix epoch. */
  getProcessStartMs(): number {
    return this.processStartMs;
  }

  /**
   * Replaces the registration.
   * @param record - New registration of the same worker.
   */
  setRecord(record: WorkerRecord): void {
    const isOtherProcess = record.startMs !== this.record.startMs;
    const isSignOfLife = !this.isRegistered || isOtherProcess;
    this.record = record;
    this.isRegistered = true;
    this.load.setCapacity(record.capacity);
    if (this.hasResponded && isOtherProcess) this.fenceRegisteredProcess();
    if (isSignOfLife) this.endRetryDelay();
  }

  /**
   * Excludes the worker from new placements until it is registered again. Its
   * lease is still renewed.
   */
  markUnregistered(): void {
    this.isRegistered = false;
  }

  /** Checks whether the worker is registered. */
  hasRegistration(): boolean {
    return this.isRegistered;
  }

  /**
   * Checks whether the session can end: the worker is not registered, does not
   * respond and has no runs, and none can exist or be started there any more, as
   * its leases of this term and of earlier ones have expired. A worker that
   * registers again gets a new session.
   * @param retentionMs - Time without a response for which sessions are kept.
   */
  isObsolete(retentionMs: number): boolean {
    if (this.isRegistered || !this.hasLastRenewalFailed) return false;
    if (this.load.getRunCount() > 0) return false;
    if (this.options.clock.getMonotonicMs() < this.getLeaseEndMs())
      return false;
    return this.getSilenceMs() >= retentionMs;
  }

  /**
   * Checks whether the worker has accepted this term's fencing token, and
   * therefore rejects commands of earlier coordinators.
   */
  hasAcceptedTerm(): boolean {
    return this.hasResponded;
  }

  /** Checks whether new runs may be placed on the worker. */
  isUsable(): boolean {
    return this.findExclusion() === undefined;
  }

  /** Checks whether the failure domain of the worker is evacuated. */
  isEvacuated(): boolean {
    return this.options.evacuations.isEvacuated(this.record.failureDomain);
  }

  /** Gets the first reason why no new runs may be placed on the worker. */
  findExclusion(): SessionExclusion | undefined {
    if (this.isStopped) return 'session-ended';
    if (!this.isRegistered) return 'not-registered';
    if (this.record.isDraining) return 'draining';
    if (this.isEvacuated()) return 'evacuated';
    if (!this.options.evacuations.isCurrent()) return 'evacuations-unknown';
    if (!this.isResponding()) return 'unresponsive';
    // The registration of another process may have other labels or capacity.
    if (this.record.startMs !== this.processStartMs) return 'other-process';
    if (!this.fence.isFenced()) return 'unfenced-process';
    if (this.hasUnknownRuns) return 'unknown-runs';
    if (this.isOutOfCapacity) return 'out-of-capacity';
    if (this.startBackoff.isPaused()) return 'starts-failed';
    return this.areLeasesSuspended ? 'leases-suspended' : undefined;
  }

  /**
   * Extends the time for which runs are kept if the worker does not respond.
   * @param leaseEndMs - Monotonic time by which all leases have expired.
   * @param source - What determines this time.
   */
  extendLeaseEnd(leaseEndMs: number, source: LeaseEndSource): void {
    this.leaseEnd = this.leaseEnd.extend(leaseEndMs, source);
  }

  /** Gets the monotonic time from which runs are given up if the worker does not respond. */
  getLeaseEndMs(): number {
    return this.leaseEnd.endMs;
  }

  /** Gets when all leases have expired, with what determines it. */
  getLeaseEnd(): LeaseEnd {
    return this.leaseEnd;
  }

  /** Gets the time since the last response to a lease renewal; infinite before the first one. */
  getResponseAgeMs(): number {
    return Math.round(
      this.options.clock.getMonotonicMs() - this.lastResponseMs,
    );
  }

  /**
   * Checks whether the last response is older than the limit for new runs. While
   * calls are being lost, a silence takes more of them to tell.
   */
  isSilent(): boolean {
    const ageMs = this.options.clock.getMonotonicMs() - this.lastResponseMs;
    if (ageMs < UNRESPONSIVE_TIMEOUT_MS) return false;
    return !this.calls.isLossy() || this.calls.hasStopped();
  }

  /**
   * Checks whether the worker responds to calls. A single call without a response does
   * not tell otherwise, as its response may have been lost.
   */
  private isResponding(): boolean {
    if (!this.hasResponded || this.isLastRenewalRefused) return false;
    return !this.calls.hasStopped() && !this.isSilent();
  }

  /** Checks whether the worker has stopped responding to renewals of its lease. */
  hasStoppedResponding(): boolean {
    return this.hasLastRenewalFailed;
  }

  /**
   * Gets the times between which the worker was lost if it does not respond any more: it
   * responded to the call of the last report, and did not to the next renewal. When this
   * process read the last response does not matter, as it may have been busy.
   */
  getLossInterval(): LossInterval {
    const nowMs = this.options.clock.getMonotonicMs();
    const earliestMs = this.lastReportedCallMs;
    if (this.unreportedRenewal === undefined)
      return {earliestMs, latestMs: nowMs};
    const {sentMs, waitMs} = this.unreportedRenewal;
    const dueMs = sentMs + waitMs + this.calls.getUsualResponseMs();
    return {earliestMs, latestMs: Math.min(nowMs, dueMs)};
  }

  /** Gets the numbers of calls to the worker since the previous request for them. */
  takeCallCounts(): CallCounts {
    return this.calls.takeCounts();
  }

  /**
   * Gets the sequence number up to which ended runs may be acknowledged once they
   * are stored.
   */
  getRecordableSequence(): number {
    const {listener} = this.options;
    const held = this.unacknowledgedEnds.find(
      ({taskName}) => !listener.canRecordEndOf(taskName),
    );
    return held === undefined ? this.processedSequence : held.sequence - 1;
  }

  /**
   * Allows the worker to discard ended runs, which must have been stored.
   * @param sequence - Sequence number of the last ended run to discard.
   * @param processStartMs - Start time of the worker process that listed them.
   * @param receivedMs - Monotonic time at which the list was received.
   */
  acknowledge(
    sequence: number,
    processStartMs: number,
    receivedMs: number,
  ): void {
    if (processStartMs !== this.processStartMs) return;
    if (sequence <= this.acknowledgedSequence) return;
    this.options.ownDelay.recordSince('end-stored', receivedMs);
    this.acknowledgedSequence = sequence;
    this.unacknowledgedEnds = this.unacknowledgedEnds.filter(
      ended => ended.sequence > sequence,
    );
    if (!this.hasLastRenewalFailed) this.wakeUp?.();
  }

  /** Renews the lease until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const progress = await this.renew();
      if (this.isStopped) return;
      this.throwReportError();
      this.dropExpiredRuns();
      this.suspendLeasesIfSilent();
      this.notifyRenewalWaiters();
      if (progress !== 'overdue')
        await this.waitForNextRenewal(progress === 'reported');
    }
  }

  /**
   * Gets the number of the current suspension of leases, or `undefined` if leases
   * are being granted.
   */
  getLeaseSuspension(): number | undefined {
    return this.areLeasesSuspended ? this.suspensionCount : undefined;
  }

  /**
   * Grants no more leases to a worker that does not respond, so that the expiry of
   * the last one can be stored for a successor.
   */
  suspendLeasesIfSilent(): void {
    if (this.isStopped || this.areLeasesSuspended) return;
    if (!this.hasLastRenewalFailed) return;
    if (this.load.getRunCount() === 0) return;
    if (!this.options.isStoreResponding()) return;
    if (this.hasResponded) {
      if (!this.isSilent()) return;
    } else if (this.getSilenceMs() < FIRST_RESPONSE_TIMEOUT_MS) {
      return;
    }
    this.suspendLeases();
  }

  /**
   * Grants leases again, unless they were suspended anew.
   * @param suspension - Suspension to end, as `getLeaseSuspension` returned it.
   */
  resumeLeases(suspension: number): void {
    if (this.suspensionCount === suspension) this.areLeasesSuspended = false;
  }

  /**
   * Extends the lease of a worker with runs without waiting for the renewal in progress,
   * unless that is overdue already.
   */
  extendLeaseSoon(): void {
    if (this.load.getRunCount() === 0 || this.calls.getOverdueCount() > 0)
      return;
    this.isExtensionDue = true;
    if (this.mayOverlapRenewals()) this.endRenewalWait?.('overdue');
  }

  /** Ends the session. Runs on the worker continue until their lease expires. */
  stop(): void {
    this.isStopped = true;
    this.wakeUp?.();
    this.endRenewalWait?.('failed');
    this.notifyRenewalWaiters();
  }

  /**
   * Sends the start command for a run that has been stored, unless the worker is
   * draining, evacuated or has too little capacity by now. A command without a response is
   * repeated only once the same worker process has responded again, as a later
   * process may be of another kind and has a clock of its own.
   * @param assigned - Run on this worker.
   */
  async startRun(assigned: AssignedRun): Promise<void> {
    const {run} = assigned;
    const {workerStartMs} = run;
    const storedMs = this.options.clock.getMonotonicMs();
    for (let attempt = 1; attempt <= this.getMaxStartAttempts(); attempt++) {
      if (this.isStartDelayed(assigned, workerStartMs))
        await this.waitForStart(assigned, workerStartMs);
      if (!this.shouldStart(assigned, workerStartMs)) return;
      if (this.isEvacuated()) {
        await this.withholdStart(assigned);
        return;
      }
      if (!this.isRegisteredForStarts(workerStartMs)) break;
      if (this.areLeasesSuspended) break;
      if (this.hasUnknownRuns || !this.load.isWithinCapacity()) break;
      if (attempt === 1) this.recordFirstStart(assigned, storedMs);
      const sentMs = this.options.clock.getMonotonicMs();
      const fencingToken = this.fence.getToken();
      const outcome = await this.sendStart(assigned);
      if (!this.isCurrent(assigned)) return;
      if (run.workerStartMs !== workerStartMs) return;
      if (outcome.isOk()) {
        this.recordCommandResponse(assigned);
        // Earlier commands without a response may not have been executed.
        if (attempt > 1 && !run.isConfirmed) run.startedMs = sentMs;
        confirmRun(assigned);
        this.startBackoff.reset();
        if (run.cpuLimitPercent < UNLIMITED_PERCENT)
          void this.setRunCpuLimit(assigned, run.cpuLimitPercent);
        return;
      }
      if (!this.shouldStart(assigned, workerStartMs)) return;
      const {error} = outcome;
      if (error.kind === 'unavailable') {
        this.options.listener.onCommandUnanswered(this, assigned, 'start');
        await this.waitForReport(assigned, sentMs);
        continue;
      }
      if (error.reason === 'lapsed' || this.isForFormerProcess(fencingToken))
        continue;
      await this.handleRefusal(assigned, error.reason);
      return;
    }
    if (!this.shouldStart(assigned, workerStartMs)) return;
    this.recordUnansweredStart(assigned);
    await this.abandonStart(assigned);
  }

  private getMaxStartAttempts(): number {
    return this.calls.isLossy() ? MAX_LOSSY_START_ATTEMPTS : MAX_START_ATTEMPTS;
  }

  /**
   * Stops a run, or prevents it from starting if it has not started yet. Repeats
   * the command until the worker responds.
   * @param assigned - Run on this worker.
   */
  async stopRun(assigned: AssignedRun): Promise<void> {
    const {run} = assigned;
    run.isStopping = true;
    while (!this.isStopped && this.isCurrent(assigned)) {
      const {workerStartMs} = run;
      const fencingToken = this.fence.getToken();
      const outcome = await this.track(
        this.options.client.stopRun(this.createRunCommand(assigned)),
      );
      // The response does not hold for a process that was started later.
      if (run.workerStartMs !== workerStartMs) continue;
      if (outcome.isOk()) {
        this.recordCommandResponse(assigned);
        return;
      }
      const {error} = outcome;
      if (error.kind === 'worker-refusal') {
        if (
          error.reason === 'fenced' &&
          !this.isForFormerProcess(fencingToken)
        ) {
          this.options.listener.onFenced(this);
          return;
        }
        if (error.reason === 'superseded') {
          this.recordCommandResponse(assigned);
          return;
        }
      } else {
        this.options.listener.onCommandUnanswered(this, assigned, 'stop');
      }
      await this.options.clock.sleep(STOP_RETRY_MS);
    }
  }

  /**
   * Sets the CPU limit of a run. Repeats the command until the worker responds,
   * always with the limit that was set last.
   * @param assigned - Run on this worker.
   * @param percent - Limit in percent of the run's CPU needs, 0 to 100.
   */
  async setRunCpuLimit(assigned: AssignedRun, percent: number): Promise<void> {
    assigned.run.cpuLimitPercent = percent;
    assigned.run.cpuLimitChangedMs = this.options.clock.getMonotonicMs();
    if (!this.cpuLimitedRuns.has(assigned)) await this.sendCpuLimit(assigned);
  }

  private async sendCpuLimit(assigned: AssignedRun): Promise<void> {
    const {run} = assigned;
    this.cpuLimitedRuns.add(assigned);
    try {
      while (!this.isStopped && this.isCurrent(assigned)) {
        const {cpuLimitPercent: percent, workerStartMs} = run;
        const fencingToken = this.fence.getToken();
        const outcome = await this.track(
          this.options.client.setRunCpuLimit({
            ...this.createRunCommand(assigned),
            percent,
          }),
        );
        if (this.isStopped) return;
        if (outcome.isOk()) {
          const isUnchanged =
            run.cpuLimitPercent === percent &&
            run.workerStartMs === workerStartMs;
          if (isUnchanged) return;
          continue;
        }
        const {error} = outcome;
        const isFinal =
          error.kind === 'worker-refusal' &&
          error.reason !== 'unhealthy' &&
          !this.isForFormerProcess(fencingToken);
        if (isFinal) {
          if (error.reason === 'fenced') this.options.listener.onFenced(this);
          return;
        }
        await this.options.clock.sleep(CPU_LIMIT_RETRY_MS);
      }
    } finally {
      // In the same turn as the decision to end, so that no later limit is missed.
      this.cpuLimitedRuns.delete(assigned);
    }
  }

  /**
   * Sends a renewal, and waits until the worker has reported, the renewal has failed
   * or the next one should be sent without waiting for it any longer.
   */
  private renew(): Promise<RenewalProgress> {
    const {clock} = this.options;
    const call = this.sendRenewal();
    const expectedMs = call.waitMs + this.calls.getExpectedResponseMs();
    return new Promise(resolve => {
      const timer = clock.setTimer(expectedMs, () => {
        this.calls.recordOverdue(call);
        if (this.mayOverlapRenewals()) this.endRenewalWait?.('overdue');
      });
      this.endRenewalWait = progress => {
        timer.cancel();
        this.endRenewalWait = undefined;
        resolve(progress);
      };
    });
  }

  /** Checks whether a renewal may be sent while earlier ones are in progress. */
  private mayOverlapRenewals(): boolean {
    if (this.openRenewalCount >= MAX_OPEN_RENEWALS) return false;
    if (this.load.getRunCount() > 0) return true;
    return !this.calls.hasStopped();
  }

  private sendRenewal(): WorkerCall {
    const {client} = this.options;
    const fencingToken = this.fence.getToken();
    const hasUnacknowledgedEnds =
      this.processedSequence > this.acknowledgedSequence;
    const isReportOnly = !this.mayRenewLease();
    const isReportAwaited = this.lastAwaitedStartMs > this.lastReportedCallMs;
    const isUrgent =
      isReportOnly ||
      hasUnacknowledgedEnds ||
      isReportAwaited ||
      this.calls.getOverdueCount() > 0;
    const waitMs = isUrgent ? 0 : this.getPollTimeoutMs();
    const call = this.calls.addCall('renewal', waitMs);
    const pending = client.renewLease({
      worker: this.record,
      fencingToken,
      acknowledgedSequence:
        isReportOnly || !this.mayAcknowledge() ? 0 : this.acknowledgedSequence,
      leaseUntilMs: isReportOnly ? undefined : this.renewLease(),
      waitMs,
    });
    this.openRenewalCount++;
    this.lastRenewal = call;
    this.unreportedRenewal ??= call;
    void this.handleRenewal(call, fencingToken, pending);
    return call;
  }

  private suspendLeases(): void {
    this.areLeasesSuspended = true;
    this.suspensionCount++;
    this.options.listener.onLeasesSuspended(this, this.getLastLeaseEndMs());
  }

  /**
   * Gets the monotonic time by which all leases have expired, including that of a
   * registered process that executes an open start command.
   */
  private getLastLeaseEndMs(): number {
    let endMs = this.getLeaseEndMs();
    for (const {openStartLeaseEndMs = endMs} of this.load.getRuns())
      endMs = Math.max(endMs, openStartLeaseEndMs);
    return endMs;
  }

  private getPollTimeoutMs(): number {
    return this.calls.isLossy() || this.isLeaseLimited()
      ? SHORT_POLL_TIMEOUT_MS
      : RENEWAL_POLL_TIMEOUT_MS;
  }

  /**
   * Checks whether a renewal may extend the lease and acknowledge ends. Without a
   * recent report, or once another process has registered, one may respond to which
   * neither the clock nor the sequence numbers of the previous one apply.
   */
  private mayRenewLease(): boolean {
    if (this.workerClock === undefined || this.isLastRenewalRefused)
      return false;
    if (!this.fence.isLatest(this.processStartMs)) return false;
    if (this.isSilent() || this.areLeasesSuspended) return false;
    return this.options.isTermConfirmed();
  }

  /**
   * Gets the expiry of the lease that a renewal grants. Until the worker reports, it
   * stays that of the first renewal, so that runs of a lost worker are not waited
   * for any longer than after one renewal, unless an extension is due.
   */
  private renewLease(): number {
    if (this.grantedUntilMs === undefined || this.isExtensionDue)
      this.grantedUntilMs = this.grantLease();
    this.isExtensionDue = false;
    return this.grantedUntilMs;
  }

  /**
   * Checks whether a renewal may acknowledge ends: only the first one after a report
   * that lists some. The more time has passed, the more likely another process executes
   * it, perhaps late, and discards ends of its own that have not been reported.
   */
  private mayAcknowledge(): boolean {
    if (!this.hasListedEnds) return false;
    const lastNumber = this.lastRenewal?.number ?? 0;
    return lastNumber <= this.lastCallBeforeReport;
  }

  /** Throws the error of a report, if there was one, so that the caller of `run` handles it. */
  private throwReportError(): void {
    const {reportError} = this;
    this.reportError = undefined;
    if (reportError !== undefined) throw reportError;
  }

  private async handleRenewal(
    call: WorkerCall,
    fencingToken: number,
    pending: Promise<Result<LeaseReport, JobWorkerError>>,
  ): Promise<void> {
    const outcome = await this.track(pending, call);
    this.openRenewalCount--;
    if (this.isStopped) return;
    if (outcome.isOk()) {
      try {
        if (!this.isOvertaken(outcome.value, call))
          this.applyReport(outcome.value, call, fencingToken);
      } catch (error) {
        this.reportError = error as Error;
      }
      this.endRenewalWait?.('reported');
      return;
    }
    const {error} = outcome;
    if (
      error.kind === 'worker-refusal' &&
      !this.isForFormerProcess(fencingToken)
    ) {
      this.isLastRenewalRefused = true;
      if (error.reason === 'fenced') this.options.listener.onFenced(this);
    }
    // The failure of an earlier call does not outweigh the report to a later one.
    if (call.number > this.lastCallBeforeReport)
      this.hasLastRenewalFailed = true;
    if (call === this.lastRenewal) this.endRenewalWait?.('failed');
  }

  /**
   * Checks whether a report may be older than the last one that was applied, as
   * responses to calls that overlap overtake each other.
   */
  private isOvertaken(report: LeaseReport, {number}: WorkerCall): boolean {
    if (number > this.lastCallBeforeReport) return false;
    if (report.startMs !== this.processStartMs) return true;
    return report.clockMs <= (this.workerClock?.clockMs ?? -Infinity);
  }

  /** Checks whether the limit of the term is too close for a full lease. */
  private isLeaseLimited(): boolean {
    const {clock, getLeaseLimitMs} = this.options;
    return getLeaseLimitMs() - clock.getMonotonicMs() < MAX_LEASE_VALIDITY_MS;
  }

  /** Extends the lease and returns its expiry on the worker's clock. */
  private grantLease(): number {
    const {clock, maxLeaseMs, getLeaseLimitMs} = this.options;
    const nowMs = clock.getMonotonicMs();
    const remainingMs = getLeaseLimitMs() - nowMs - LEASE_MARGIN_MS;
    const leaseMs = Math.max(
      0,
      Math.min(LEASE_MS, maxLeaseMs, remainingMs / CLOCK_DRIFT_FACTOR),
    );
    this.extendLeaseEnd(
      nowMs + leaseMs * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS,
      'grant',
    );
    const {clockMs, receivedMs} = this.workerClock ?? {
      clockMs: 0,
      receivedMs: nowMs,
    };
    return Math.floor(clockMs + (nowMs - receivedMs) + leaseMs);
  }

  private applyReport(
    report: LeaseReport,
    call: WorkerCall,
    fencingToken: number,
  ): void {
    const {sentMs} = call;
    const receivedMs = this.options.clock.getMonotonicMs();
    if (this.isOtherProcess(report.startMs)) this.reportLoss(true);
    this.workerClock = {clockMs: report.clockMs, receivedMs};
    this.lastResponseMs = receivedMs;
    const isFirstReport = !this.hasResponded;
    this.hasResponded = true;
    this.hasLastRenewalFailed = false;
    this.isLastRenewalRefused = false;
    this.lastCallBeforeReport = this.calls.getLastCallNumber();
    this.lastReportedCallMs = sentMs;
    this.unreportedRenewal = this.findRenewalAfter(call);
    this.retryDelayMs = RENEWAL_RETRY_MS;
    this.isOutOfCapacity = false;
    this.hasListedEnds = report.ended.length > 0;
    const previousEndMs = this.getLeaseEndMs();
    const fenceReport = this.updateFence(report, fencingToken);
    if (isFirstReport) this.limitPreviousTermLeases(report);
    else if (fenceReport === 'fenced') this.assumeLongestLease();
    else if (fenceReport === 'unfenced') this.assumeLateLease();
    this.recordProcess(report, previousEndMs);
    this.grantedUntilMs = undefined;
    const {clockMs} = report;
    const reportedMs = this.reportTimes.addReport({
      clockMs,
      sentMs,
      receivedMs,
    });
    this.applyRunningRuns(report, reportedMs);
    this.applyEndedRuns(report);
    this.resolveRunsOfPreviousProcess(sentMs);
    this.dropUnlistedRuns(report, sentMs);
    this.options.listener.onReport(this);
    this.options.ownDelay.addWork('report');
    this.options.ownDelay.recordSince('report', receivedMs);
  }

  private findRenewalAfter({number}: WorkerCall): WorkerCall | undefined {
    const {lastRenewal} = this;
    return (lastRenewal?.number ?? 0) > number ? lastRenewal : undefined;
  }

  /**
   * A worker that has accepted this term accepts no further leases of earlier terms. It
   * may hold the longest one, unless its process is known to have been fenced before.
   */
  private limitPreviousTermLeases(report: LeaseReport): void {
    const {clock, listener, getLongLeaseEndMs} = this.options;
    const longLeaseEndMs = getLongLeaseEndMs(report.startMs);
    if (longLeaseEndMs === undefined) {
      this.assumeLongestLease();
    } else {
      const grantEndMs = clock.getMonotonicMs() + MAX_LEASE_VALIDITY_MS;
      const endMs = Math.max(grantEndMs, longLeaseEndMs);
      this.leaseEnd = this.leaseEnd.limit(endMs, 'first-response');
    }
    listener.onFirstResponse(this, report);
  }

  /**
   * Takes the worker for holding the longest lease from now on: its process has executed
   * calls to former ones, whose expiry counts on their clocks, but accepts no more of them.
   */
  private assumeLongestLease(): void {
    const endMs = this.getLongestLeaseEndMs();
    this.leaseEnd = this.leaseEnd
      .limit(endMs, 'other-process')
      .extend(endMs, 'other-process');
    this.options.listener.onLongLease(this);
  }

  /** Takes the worker for holding the longest lease from a call to a former process that is still to be executed. */
  private assumeLateLease(): void {
    const endMs = this.getLongestLeaseEndMs() + MAX_CALL_DELAY_MS;
    this.extendLeaseEnd(endMs, 'other-process');
    this.options.listener.onLongLease(this);
  }

  /** Gets the monotonic time by which a lease of the maximum duration has expired that is granted now. */
  private getLongestLeaseEndMs(): number {
    const {clock, maxLeaseMs} = this.options;
    return clock.getMonotonicMs() + getLongestLeaseValidityMs(maxLeaseMs);
  }

  /**
   * Fences the calls to former processes with the next call, once another process has
   * registered. It may execute their start commands before that, or while it is cut off.
   */
  private fenceRegisteredProcess(): void {
    if (!this.fence.recordRegistration(this.record.startMs)) return;
    this.checkFencingTokens();
    const endMs = this.getLongestLeaseEndMs() + MAX_CALL_DELAY_MS;
    const openRuns = [...this.load.getRuns()].filter(
      ({run}) => run.openStarts > 0,
    );
    if (openRuns.length === 0) return;
    for (const assigned of openRuns) assigned.openStartLeaseEndMs = endMs;
    if (this.areLeasesSuspended) this.suspendLeases();
  }

  private updateFence(
    {startMs}: LeaseReport,
    fencingToken: number,
  ): FenceReport {
    const isOtherProcess = startMs !== this.processStartMs;
    const fenceReport = this.fence.recordReport(
      startMs,
      fencingToken,
      isOtherProcess,
    );
    this.checkFencingTokens();
    return fenceReport;
  }

  private checkFencingTokens(): void {
    if (this.fence.hasUsedUpTokens())
      this.options.listener.onFencingTokensUsedUp(this);
  }

  /** Checks whether a refused call was meant for a former process, so that the refusal tells nothing of the term. */
  private isForFormerProcess(fencingToken: number): boolean {
    return fencingToken < this.fence.getToken();
  }

  private recordProcess(report: LeaseReport, previousEndMs: number): void {
    const {startMs: processStartMs} = report;
    if (processStartMs === this.processStartMs) return;
    const previousStartMs = this.processStartMs;
    this.processStartMs = processStartMs;
    this.startBackoff.reset();
    this.reportTimes.reset();
    this.processedSequence = 0;
    this.unacknowledgedEnds = [];
    this.acknowledgedSequence = 0;
    this.options.listener.onProcessRestarted(
      this,
      previousStartMs,
      previousEndMs,
    );
  }

  /**
   * A new worker process does not continue the runs of the previous one. It may
   * however execute a start command that was meant for that one, unless the run
   * is stopped first.
   */
  private resolveRunsOfPreviousProcess(reportSentMs: number): void {
    for (const assigned of [...this.load.getRuns()]) {
      const {run, commandResponseMs = -Infinity} = assigned;
      if (run.workerStartMs === this.processStartMs) continue;
      if (run.openStarts === 0 && commandResponseMs <= reportSentMs) {
        this.dropRun(assigned, 'the worker was restarted');
        continue;
      }
      assigned.placedStartMs ??= run.workerStartMs;
      run.workerStartMs = this.processStartMs;
      assigned.openStartLeaseEndMs = undefined;
      assigned.commandResponseMs = undefined;
      assigned.startLeaseUntilMs = undefined;
      assigned.firstListedClockMs = undefined;
      void this.stopRun(assigned);
    }
  }

  private applyRunningRuns(report: LeaseReport, reportedMs: number): void {
    this.hasUnknownRuns = false;
    this.forgetOldStops();
    for (const running of report.running) {
      const assigned =
        this.load.findRun(running.taskName, running.runNumber) ??
        this.assignUnknownRun(running);
      if (assigned === undefined) {
        this.hasUnknownRuns = true;
        void this.stopUnknownRun(running);
        continue;
      }
      if (assigned.run.workerStartMs !== report.startMs) {
        assigned.firstListedClockMs = undefined;
        assigned.placedStartMs ??= assigned.run.workerStartMs;
      }
      assigned.run.workerStartMs = report.startMs;
      this.reportProcessChange(assigned, report);
      this.confirmListedRun(assigned, reportedMs);
      assigned.run.progressPercent = running.progressPercent;
      assigned.run.progressAgeMs = Math.max(
        0,
        reportedMs - assigned.run.startedMs,
      );
      // A start or a report may arrive long after the placement.
      assigned.firstListedClockMs ??= report.clockMs;
      const listedMs = report.clockMs - assigned.firstListedClockMs;
      if (!assigned.run.isProven && listedMs >= PROVING_TIME_MS) {
        this.load.markProven(assigned);
        this.options.listener.onRunProven(assigned);
      }
      if (running.usage !== assigned.run.usage) {
        assigned.run.previousUsage = assigned.run.usage;
        assigned.run.usage = running.usage;
      }
      if (!recordCheckpoint(assigned.task, running.checkpoint))
        this.options.listener.onCheckpointOmitted(
          assigned,
          running.checkpoint.length,
        );
    }
  }

  private reportProcessChange(
    assigned: AssignedRun,
    report: LeaseReport,
  ): void {
    const {placedStartMs, firstListedClockMs} = assigned;
    if (placedStartMs === undefined || placedStartMs === report.startMs) return;
    if (firstListedClockMs !== undefined) return;
    const {listener} = this.options;
    listener.onRunProcessChanged(this, assigned, report, placedStartMs);
  }

  /** Confirms a run that may have started as late as this report if its start was not answered. */
  private confirmListedRun(assigned: AssignedRun, reportedMs: number): void {
    const {run} = assigned;
    if (!run.isConfirmed && !run.isAdopted && run.openStarts > 0)
      run.startedMs = reportedMs;
    confirmRun(assigned);
  }

  /**
   * Assigns a run that the worker reports unexpectedly, so that it counts against
   * the worker and its task is not placed again before it has ended. Stops it
   * if the task has other runs or if it belongs to a gang.
   */
  private assignUnknownRun(running: RunningRun): AssignedRun | undefined {
    const assigned = this.options.listener.onUnknownRun(this, running);
    if (assigned === undefined) return undefined;
    this.load.addRun(assigned);
    const {step, task} = assigned;
    if (task.runs.length > 1 || step.spec.isGang) void this.stopRun(assigned);
    return assigned;
  }

  private applyEndedRuns(report: LeaseReport): void {
    for (const ended of report.ended) {
      if (ended.sequence <= this.processedSequence) continue;
      const assigned = this.load.findRun(ended.taskName, ended.runNumber);
      // After an unexpected error, the next report lists the end again.
      this.options.listener.onRunEnded(this, ended, assigned);
      this.processedSequence = ended.sequence;
      this.unacknowledgedEnds.push({
        sequence: ended.sequence,
        taskName: ended.taskName,
      });
      if (assigned !== undefined) this.load.removeRun(assigned);
    }
  }

  private dropUnlistedRuns(report: LeaseReport, sentMs: number): void {
    if (report.ended.length >= MAX_REPORTED_ENDS) return;
    const listed = new Set(
      report.running.map(({taskName, runNumber}) =>
        getRunKey(taskName, runNumber),
      ),
    );
    for (const assigned of [...this.load.getRuns()]) {
      const key = getRunKey(assigned.taskName, assigned.run.runNumber);
      if (listed.has(key)) continue;
      const {commandResponseMs = Infinity, startLeaseUntilMs = Infinity} =
        assigned;
      const isLapsed = report.clockMs > startLeaseUntilMs;
      if (commandResponseMs > sentMs && !isLapsed) continue;
      if (isUnstarted(assigned)) this.recordUnansweredStart(assigned);
      this.dropRun(
        assigned,
        commandResponseMs <= sentMs
          ? 'the worker no longer lists it'
          : 'its start commands have lapsed',
      );
    }
  }

  private dropExpiredRuns(): void {
    const nowMs = this.options.clock.getMonotonicMs();
    if (nowMs < this.getLeaseEndMs() || !this.hasLastRenewalFailed) return;
    if (this.getSilenceMs() < MIN_GIVE_UP_AGE_MS) return;
    const expiredRuns = [...this.load.getRuns()].filter(
      ({openStartLeaseEndMs = -Infinity}) => nowMs >= openStartLeaseEndMs,
    );
    if (expiredRuns.length === 0) return;
    this.reportLoss(false);
    for (const assigned of expiredRuns)
      this.dropRun(assigned, 'its lease expired');
  }

  /** Gets the time since the last response, or since the session was created. */
  private getSilenceMs(): number {
    const sinceMs = this.hasResponded ? this.lastResponseMs : this.createdMs;
    return this.options.clock.getMonotonicMs() - sinceMs;
  }

  /**
   * Checks whether the worker was restarted, in this term or since an earlier one
   * assigned runs to it.
   */
  private isOtherProcess(startMs: number): boolean {
    if (startMs !== this.processStartMs) return true;
    for (const {run} of this.load.getRuns()) {
      if (run.workerStartMs !== startMs) return true;
    }
    return false;
  }

  private reportLoss(isReplaced: boolean): void {
    if (this.record.isDraining) return;
    this.options.listener.onWorkerLost(this, isReplaced);
  }

  private dropRun(assigned: AssignedRun, reason: string): void {
    this.options.listener.onRunLost(this, assigned, reason);
    this.load.removeRun(assigned);
  }

  /** Forgets when unknown runs were stopped that may be stopped again by now. */
  private forgetOldStops(): void {
    const nowMs = this.options.clock.getMonotonicMs();
    for (const [key, stopMs] of this.unknownRunStopTimes) {
      if (nowMs - stopMs >= UNKNOWN_RUN_STOP_INTERVAL_MS)
        this.unknownRunStopTimes.delete(key);
    }
  }

  /** Stops a run of a task that is not known, such as one of a job whose records were deleted. */
  private async stopUnknownRun(running: RunningRun): Promise<void> {
    const {clock, client} = this.options;
    const {taskName, runNumber} = running;
    const key = getRunKey(taskName, runNumber);
    const nowMs = clock.getMonotonicMs();
    const lastMs = this.unknownRunStopTimes.get(key) ?? -Infinity;
    if (nowMs - lastMs < UNKNOWN_RUN_STOP_INTERVAL_MS) return;
    this.unknownRunStopTimes.set(key, nowMs);
    const worker = this.record;
    await this.track(
      client.stopRun({
        worker,
        taskName,
        runNumber,
        fencingToken: this.fence.getToken(),
      }),
    );
  }

  private async handleRefusal(
    assigned: AssignedRun,
    reason: RefusalReason,
  ): Promise<void> {
    if (reason === 'fenced') {
      this.options.listener.onFenced(this);
      return;
    }
    if (reason === 'superseded') {
      // The run ended before the command was repeated; the worker's reports tell how.
      this.recordCommandResponse(assigned);
      return;
    }
    if (reason === 'no-room') this.isOutOfCapacity = true;
    if (WORKER_REFUSALS.has(reason)) {
      this.startBackoff.recordFailure();
      assigned.task.unstartedOn.add(this.getId());
    }
    this.options.listener.onStartRefused(this, assigned, reason);
    await this.abandonStart(assigned);
  }

  /**
   * Records that a run was not started for want of a response. The worker gets no
   * pause while other calls are being lost too, as it may start the next run at once.
   */
  private recordUnansweredStart({task}: AssignedRun): void {
    if (!this.calls.isLossy()) this.startBackoff.recordFailure();
    task.unstartedOn.add(this.getId());
  }

  /**
   * Gives up the start of a run because of an evacuation. This tells nothing about the
   * worker and the task, which may meet again after it.
   */
  private async withholdStart(assigned: AssignedRun): Promise<void> {
    assigned.isStartWithheld = true;
    this.options.listener.onStartWithheld(this, assigned);
    await this.abandonStart(assigned);
  }

  /** Releases a run that has not started, once none of its start commands can take effect. */
  private async abandonStart(assigned: AssignedRun): Promise<void> {
    if (assigned.run.openStarts > 0) {
      await this.stopRun(assigned);
      return;
    }
    this.options.listener.onRunNotStarted(assigned);
    this.load.removeRun(assigned);
  }

  private recordCommandResponse(assigned: AssignedRun): void {
    assigned.commandResponseMs ??= this.options.clock.getMonotonicMs();
  }

  private recordFirstStart(assigned: AssignedRun, storedMs: number): void {
    const {ownDelay} = this.options;
    ownDelay.recordSince('sent', storedMs);
    const {job, placeableMs} = assigned;
    if (placeableMs !== undefined)
      ownDelay.recordStart(job.accepted.queue.priority, placeableMs);
  }

  private isCurrent(assigned: AssignedRun): boolean {
    const {taskName, run} = assigned;
    return this.load.findRun(taskName, run.runNumber) === assigned;
  }

  private async sendStart(
    assigned: AssignedRun,
  ): Promise<Result<StartReceipt, JobWorkerError>> {
    const {run, job, task} = assigned;
    const {processStartMs, workerClock} = this;
    const leaseUntilMs = this.grantLease();
    assigned.startLeaseUntilMs = Math.max(
      assigned.startLeaseUntilMs ?? -Infinity,
      leaseUntilMs,
    );
    run.openStarts++;
    const {clock, startWindow, ownDelay} = this.options;
    ownDelay.addWork('start-command');
    const command = startWindow.addCommand();
    const outcome = await this.track(
      this.options.client.startRun({
        ...this.createRunCommand(assigned),
        specification: job.accepted.spec.specification,
        checkpoint: task.checkpoint,
        leaseUntilMs,
      }),
    );
    const isAnswered =
      outcome.isOk() || outcome.error.kind === 'worker-refusal';
    startWindow.removeCommand(
      command,
      isAnswered ? clock.getMonotonicMs() - command.sentMs : undefined,
    );
    if (isAnswered) ownDelay.recordSince('answered', command.sentMs);
    const clockMs = getResponseClock(outcome);
    const isOtherClock =
      clockMs !== undefined &&
      processStartMs === this.processStartMs &&
      clockMs < getMinClock(workerClock, command.sentMs);
    if (isOtherClock) this.recordOtherClock(assigned, clockMs);
    const isSettled =
      isAnswered ||
      (outcome.error.kind === 'unavailable' &&
        !outcome.error.mayHaveTakenEffect);
    if (isSettled) run.openStarts--;
    return outcome;
  }

  /**
   * Records that another process has executed a start command, under a lease whose expiry
   * counts on the clock of the process that reported last.
   */
  private recordOtherClock(assigned: AssignedRun, clockMs: number): void {
    this.fence.recordUnknownProcess();
    this.checkFencingTokens();
    this.assumeLateLease();
    this.options.listener.onOtherClock(this, assigned, clockMs);
  }

  /** Checks whether a run has yet to be started on the process that it was placed on. */
  private shouldStart(assigned: AssignedRun, workerStartMs: number): boolean {
    if (this.isStopped || !this.isCurrent(assigned)) return false;
    if (!this.options.isTermConfirmed()) return false;
    const {run} = assigned;
    if (run.isStopping || run.isConfirmed) return false;
    return run.workerStartMs === workerStartMs;
  }

  /** Checks whether starts may be sent to a worker process by its registration, and by what is known of later ones. */
  private isRegisteredForStarts(workerStartMs: number): boolean {
    const {isDraining, startMs} = this.record;
    if (!this.fence.isLatest(workerStartMs)) return false;
    return !isDraining && startMs === workerStartMs;
  }

  /** Checks whether the state that decides on starts is recent enough. */
  private isStartStateCurrent(): boolean {
    const {areRegistrationsCurrent, evacuations} = this.options;
    return areRegistrationsCurrent() && evacuations.isCurrent();
  }

  /**
   * Checks whether the start of a run has to wait: for current registrations, as the capacity
   * may have shrunk meanwhile, for current evacuations, or for leases if the start may
   * have been executed.
   */
  private isStartDelayed(
    assigned: AssignedRun,
    workerStartMs: number,
  ): boolean {
    if (this.isEvacuated()) return false;
    if (!this.isStartStateCurrent()) return true;
    if (!this.isRegisteredForStarts(workerStartMs)) return false;
    return this.areLeasesSuspended && assigned.run.openStarts > 0;
  }

  /** Waits until a start can be sent or given up, or until the run is no longer to be started. */
  private async waitForStart(
    assigned: AssignedRun,
    workerStartMs: number,
  ): Promise<void> {
    while (this.shouldStart(assigned, workerStartMs)) {
      if (!this.isStartDelayed(assigned, workerStartMs)) return;
      if (!this.isStartStateCurrent())
        await this.options.clock.sleep(START_POLL_MS);
      else
        await new Promise<void>(resolve => this.renewalWaiters.push(resolve));
    }
  }

  /**
   * Waits until the worker has reported after a start command without a response was
   * sent, or until the run is no longer assigned.
   * @param assigned - Run to start.
   * @param sentMs - Monotonic time at which the command was sent.
   */
  private async waitForReport(
    assigned: AssignedRun,
    sentMs: number,
  ): Promise<void> {
    this.lastAwaitedStartMs = Math.max(this.lastAwaitedStartMs, sentMs);
    while (!this.isStopped && this.isCurrent(assigned)) {
      if (this.lastReportedCallMs >= sentMs) return;
      if (!this.isReportRequested(sentMs) && this.mayOverlapRenewals())
        this.endRenewalWait?.('overdue');
      await new Promise<void>(resolve => this.renewalWaiters.push(resolve));
    }
  }

  /**
   * Checks whether the worker was asked, after a time, for a report that it sends without
   * waiting for a run to end.
   */
  private isReportRequested(sinceMs: number): boolean {
    if (this.lastRenewal === undefined) return false;
    const {sentMs, waitMs} = this.lastRenewal;
    return sentMs >= sinceMs && waitMs === 0;
  }

  private notifyRenewalWaiters(): void {
    const waiters = this.renewalWaiters;
    this.renewalWaiters = [];
    for (const notify of waiters) notify();
  }

  /** Sends a call, and records whether it was answered. */
  private async track<T>(
    pending: Promise<Result<T, JobWorkerError>>,
    call = this.calls.addCall('command'),
  ): Promise<Result<T, JobWorkerError>> {
    const outcome = await pending;
    this.calls.recordOutcome(call, outcome);
    return outcome;
  }

  private createRunCommand(assigned: AssignedRun): RunCommand {
    return {
      worker: this.record,
      taskName: assigned.taskName,
      runNumber: assigned.run.runNumber,
      fencingToken: this.fence.getToken(),
    };
  }

  /** Spaces renewals while this process falls behind, so that more ended runs share a report. */
  private getRenewalIntervalMs(): number {
    const delayMs = this.options.startWindow.getDelayMs();
    const intervalMs = MIN_RENEWAL_INTERVAL_MS + delayMs;
    return Math.min(intervalMs, MAX_RENEWAL_INTERVAL_MS);
  }

  private waitForNextRenewal(isRenewed: boolean): Promise<void> {
    const {clock} = this.options;
    if (!isRenewed) return this.sleepUntilWoken(this.takeRetryDelayMs());
    if (this.areLeasesSuspended)
      return clock.sleep(SUSPENDED_RENEWAL_INTERVAL_MS);
    if (this.processedSequence <= this.acknowledgedSequence)
      return clock.sleep(this.getRenewalIntervalMs());
    return this.sleepUntilWoken(MAX_ACKNOWLEDGE_DELAY_MS);
  }

  /** Gets the delay before a failed renewal is repeated, and doubles the next one. */
  private takeRetryDelayMs(): number {
    if (this.load.getRunCount() > 0 || this.calls.isLossy())
      return RENEWAL_RETRY_MS;
    const delayMs = this.retryDelayMs;
    this.retryDelayMs = Math.min(2 * delayMs, MAX_RENEWAL_RETRY_MS);
    return delayMs;
  }

  /** Repeats a failed renewal at once, as the worker is likely to respond by now. */
  private endRetryDelay(): void {
    this.retryDelayMs = RENEWAL_RETRY_MS;
    if (this.hasLastRenewalFailed) this.wakeUp?.();
  }

  private sleepUntilWoken(delayMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = this.options.clock.setTimer(delayMs, () => {
        this.wakeUp = undefined;
        resolve();
      });
      this.wakeUp = () => {
        timer.cancel();
        this.wakeUp = undefined;
        resolve();
      };
    });
  }
}

/**
 * Gets the upper bound for the time that a lease of the maximum duration keeps runs
 * going, on the coordinator's clock.
 * @param maxLeaseMs - Maximum lease duration that the platform grants.
 */
export function getLongestLeaseValidityMs(maxLeaseMs: number): number {
  return maxLeaseMs * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS;
}

/** Gets the time of the worker's clock in the response to a start command, if it tells. */
function getResponseClock(
  outcome: Result<StartReceipt, JobWorkerError>,
): number | undefined {
  if (outcome.isOk()) return outcome.value.clockMs;
  const {error} = outcome;
  return error.kind === 'worker-refusal' ? error.clockMs : undefined;
}

/**
 * Gets the earliest time that the clock of a reading may have later.
 * @param reading - Last reading, if there is one.
 * @param nowMs - Monotonic time.
 */
function getMinClock(reading: ClockReading | undefined, nowMs: number): number {
  if (reading === undefined) return -Infinity;
  const elapsedMs = (nowMs - reading.receivedMs) / CLOCK_DRIFT_FACTOR;
  return Math.floor(reading.clockMs + elapsedMs) - CLOCK_ROUNDING_MS;
}

/** Checks whether a run of this term was still to be started when it was given up. */
function isUnstarted(assigned: AssignedRun): boolean {
  const {job, task, run, isStartWithheld = false} = assigned;
  if (run.isConfirmed || run.isAdopted || isStartWithheld) return false;
  return !job.isEnded() && !task.isDone;
}

function confirmRun({job, task, run}: AssignedRun): void {
  run.isConfirmed = true;
  task.hasRun = true;
  task.unstartedOn.clear();
  job.hasStarted = true;
}
