/** Sessions of all workers that are registered or may have runs, built from the worker table. */

import {Clock} from '@mustardlug/base/clock';
import {AppError} from '@mustardlug/base/errors';
import {
  JobState,
  TaskState,
  UNKNOWN_LEASE_END_STORE_MS,
} from '@mustardlug/jobs/job_state';
import {
  JobWorkerClient,
  WorkerRecord,
} from '@mustardlug/platform/job_worker_client';
import {RowChanges, StoredRow} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {
  recordInternalError,
  runGuarded,
} from '@mustardlug/telemetry/guarded_call';
import {Result} from 'neverthrow';
import {EvacuationState} from './evacuations.js';
import {FencingTokens} from './fencing_tokens.js';
import {LeaseBounds} from './lease_bounds.js';
import {LeaseLimit, UNDECLARED_LEASE_MS} from './lease_limit.js';
import {getTaskName} from './task_names.js';
import {OwnDelay} from './own_delay.js';
import {StartWindow} from './start_window.js';
import {AssignedRun} from './worker_load.js';
import {
  MAX_CALL_DELAY_MS,
  SessionListener,
  WorkerSession,
} from './worker_session.js';

/** Decodes a row of the platform's worker table. */
export type WorkerDecoder = (
  key: string,
  value: Buffer,
) => Result<WorkerRecord, AppError>;

export interface WorkerPoolOptions {
  readonly clock: Clock;
  readonly events: EventRecorder;
  readonly workerClient: JobWorkerClient;
  readonly decodeWorker: WorkerDecoder;
  readonly listener: SessionListener;
  readonly fencingTokens: FencingTokens;
  /** Whether stored runs tell which processes rejected the calls to former ones. */
  readonly areStoredProcessesFenced: boolean;
  /** Whether no worker was called before this term. */
  readonly isFirstTerm: boolean;
  /** Maximum lease duration that the platform grants, in milliseconds. */
  readonly maxLeaseMs: number;
  /** Checks whether the term still holds, so that runs may be started. */
  readonly isTermConfirmed: () => boolean;
  /** Checks whether the registrations are recent enough to start runs. */
  readonly areRegistrationsCurrent: () => boolean;
  readonly evacuations: EvacuationState;
  /** Checks whether the store responds, so that bounds of leases can be stored and removed. */
  readonly isStoreResponding: () => boolean;
  readonly leaseLimit: LeaseLimit;
  /** Start commands in progress to all workers. */
  readonly startWindow: StartWindow;
  readonly ownDelay: OwnDelay;
  readonly leaseBounds: LeaseBounds;
}

/**
 * Time beyond the longest lease for which the session of a lost worker is kept. The
 * crashes of other workers are compared with losses of up to 3 s before.
 */
const COMPARISON_MARGIN_MS = 3_000;

/** Delay after an unexpected error of a session, which its lease covers many times. */
const SESSION_RETRY_MS = 200;

/** Holds the sessions of workers, and the runs whose worker is not registered. */
export class WorkerPool {
  private readonly sessions = new Map<string, WorkerSession>();
  /** Runs of unregistered workers, with the monotonic time at which they have certainly ended. */
  private readonly orphanedRuns = new Map<AssignedRun, number>();
  /** Monotonic time by which leases of earlier terms have expired that last longer than declared, by worker ID. */
  private readonly longLeaseEndsMs = new Map<string, number>();
  /** Worker processes on which earlier terms have placed runs, and which reject calls to former ones. */
  private readonly fencedProcesses = new Set<string>();

  private constructor(private readonly options: WorkerPoolOptions) {}

  /**
   * Creates an empty pool.
   * @param options - Clients, term and listener.
   */
  static create(options: WorkerPoolOptions): WorkerPool {
    return new WorkerPool(options);
  }

  getSessions(): WorkerSession[] {
    return [...this.sessions.values()];
  }

  /**
   * Applies new or changed registrations.
   * @param rows - New or changed rows.
   * @returns Sessions of workers that were known before.
   */
  applyRows(rows: readonly StoredRow[]): WorkerSession[] {
    const knownSessions: WorkerSession[] = [];
    for (const row of rows) {
      const subject = `the registration of worker ${row.key}`;
      runGuarded(this.options.events, subject, () => {
        const session = this.applyRow(row);
        if (session !== undefined) knownSessions.push(session);
      });
    }
    return knownSessions;
  }

  /**
   * Applies changes of the registrations.
   * @param changes - Changed and removed rows.
   * @returns Sessions of workers that were known before.
   */
  applyChanges(changes: RowChanges): WorkerSession[] {
    for (const {key} of changes.removed)
      this.sessions.get(key)?.markUnregistered();
    return this.applyRows(changes.rows);
  }

  /**
   * Applies the whole table. Workers without a row are no longer registered.
   * @param rows - All rows.
   * @returns Sessions of workers that were known before.
   */
  replaceRows(rows: readonly StoredRow[]): WorkerSession[] {
    const registered = new Set(rows.map(row => row.key));
    for (const [workerId, session] of this.sessions) {
      if (!registered.has(workerId)) session.markUnregistered();
    }
    return this.applyRows(rows);
  }

  /**
   * Ends the sessions of lost workers of which nothing can be left.
   * @returns Identifiers of the workers.
   */
  endObsoleteSessions(): string[] {
    const retentionMs = UNDECLARED_LEASE_MS + COMPARISON_MARGIN_MS;
    const endedIds: string[] = [];
    for (const [workerId, session] of this.sessions) {
      if (!session.isObsolete(retentionMs)) continue;
      session.stop();
      this.sessions.delete(workerId);
      this.options.fencingTokens.recordEnd(workerId, session.getFencingToken());
      endedIds.push(workerId);
    }
    return endedIds;
  }

  /**
   * Assigns restored runs to the sessions of their workers, which determine
   * from the workers' reports whether the runs still exist.
   * @param jobs - Restored jobs.
   */
  adoptRuns(jobs: Iterable<JobState>): void {
    const runs = [...getAssignedRuns(jobs)];
    for (const assigned of runs) this.recordLongLease(assigned);
    for (const assigned of runs) this.adoptRun(assigned);
  }

  /** Gets the runs of unregistered workers, with the monotonic time at which each is given up. */
  getOrphanedRuns(): ReadonlyMap<AssignedRun, number> {
    return this.orphanedRuns;
  }

  /**
   * Gets the runs of unregistered workers that have certainly ended.
   * @param nowMs - Monotonic time.
   */
  getExpiredOrphans(nowMs: number): AssignedRun[] {
    const ended: AssignedRun[] = [];
    for (const [assigned, endMs] of this.orphanedRuns) {
      if (nowMs >= endMs) ended.push(assigned);
    }
    return ended;
  }

  /**
   * Removes a run of an unregistered worker.
   * @param assigned - Run that was released.
   */
  removeOrphan(assigned: AssignedRun): void {
    this.orphanedRuns.delete(assigned);
  }

  /**
   * Stops the runs of a task.
   * @param taskName - Name of the task.
   * @param task - Task to stop.
   */
  stopTaskRuns(taskName: string, task: TaskState): void {
    for (const run of task.runs) {
      const session = this.sessions.get(run.workerId);
      const assigned = session?.load.findRun(taskName, run.runNumber);
      if (session === undefined || assigned === undefined) continue;
      if (!run.isStopping) void session.stopRun(assigned);
    }
  }

  /**
   * Finds the session of a worker.
   * @param workerId - Identifier of the worker.
   */
  findSession(workerId: string): WorkerSession | undefined {
    return this.sessions.get(workerId);
  }

  /**
   * Checks whether runs wait for the leases of an unregistered worker.
   * @param workerId - Identifier of the worker.
   */
  hasOrphanedRuns(workerId: string): boolean {
    for (const {run} of this.orphanedRuns.keys()) {
      if (run.workerId === workerId) return true;
    }
    return false;
  }

  stop(): void {
    for (const session of this.sessions.values()) session.stop();
  }

  private applyRow(row: StoredRow): WorkerSession | undefined {
    const decoded = this.options.decodeWorker(row.key, row.value);
    if (decoded.isErr()) {
      this.options.events.addEvent('worker-row-invalid', {
        workerId: row.key,
        detail: decoded.error.message,
      });
      this.sessions.get(row.key)?.markUnregistered();
      return undefined;
    }
    const session = this.sessions.get(row.key);
    if (session === undefined) this.addSession(decoded.value);
    else session.setRecord(decoded.value);
    return session;
  }

  private addSession(record: WorkerRecord): void {
    const {clock, workerClient, listener, fencingTokens, leaseLimit} =
      this.options;
    const {workerId} = record;
    const session = WorkerSession.create({
      clock,
      client: workerClient,
      listener,
      firstFencingToken: fencingTokens.getFirstToken(workerId),
      lastFencingToken: fencingTokens.lastToken,
      record,
      maxLeaseMs: this.options.maxLeaseMs,
      isTermConfirmed: this.options.isTermConfirmed,
      areRegistrationsCurrent: this.options.areRegistrationsCurrent,
      evacuations: this.options.evacuations,
      isStoreResponding: this.options.isStoreResponding,
      previousLeaseEndMs: this.getPreviousLeaseEndMs(workerId),
      getLongLeaseEndMs: processStartMs =>
        this.getLongLeaseEndMs(workerId, processStartMs),
      getLeaseLimitMs: () => leaseLimit.getEndMs(),
      startWindow: this.options.startWindow,
      ownDelay: this.options.ownDelay,
      leaseBoundMs: this.options.leaseBounds.getLeaseEndMs(workerId),
    });
    this.sessions.set(workerId, session);
    this.adoptOrphans(session);
    void this.runSession(session);
  }

  /** Runs a session until it is stopped. An error while a report is handled must not end it. */
  private async runSession(session: WorkerSession): Promise<void> {
    const {clock, events} = this.options;
    for (;;) {
      try {
        await session.run();
        return;
      } catch (error) {
        const subject = `a report of worker ${session.getId()}`;
        recordInternalError(events, subject, error);
        await clock.sleep(SESSION_RETRY_MS);
      }
    }
  }

  private recordLongLease({run}: AssignedRun): void {
    const {workerId, workerStartMs, longLeaseEndStoreMs} = run;
    const isFenced =
      this.options.areStoredProcessesFenced &&
      longLeaseEndStoreMs !== UNKNOWN_LEASE_END_STORE_MS;
    if (isFenced)
      this.fencedProcesses.add(getProcessKey(workerId, workerStartMs));
    if (longLeaseEndStoreMs === undefined) return;
    const {leaseLimit} = this.options;
    const endMs = leaseLimit.getPreviousEndMs(longLeaseEndStoreMs);
    const knownMs = this.longLeaseEndsMs.get(workerId) ?? -Infinity;
    this.longLeaseEndsMs.set(workerId, Math.max(knownMs, endMs));
  }

  /**
   * Gets the monotonic time by which the leases have expired that a process holds from
   * calls to former ones, or `undefined` if no earlier term has placed a run there.
   */
  private getLongLeaseEndMs(
    workerId: string,
    processStartMs: number,
  ): number | undefined {
    if (this.options.isFirstTerm) return -Infinity;
    const key = getProcessKey(workerId, processStartMs);
    if (!this.fencedProcesses.has(key)) return undefined;
    return this.longLeaseEndsMs.get(workerId) ?? -Infinity;
  }

  /** Gets the monotonic time by which the leases of earlier terms of a worker have expired. */
  private getPreviousLeaseEndMs(workerId: string): number {
    const longLeaseEndMs = this.longLeaseEndsMs.get(workerId) ?? -Infinity;
    return Math.max(this.options.leaseLimit.getPreviousEndMs(), longLeaseEndMs);
  }

  private adoptRun(assigned: AssignedRun): void {
    const session = this.sessions.get(assigned.run.workerId);
    if (session !== undefined) {
      this.assignAdoptedRun(session, assigned);
      return;
    }
    this.orphanedRuns.set(
      assigned,
      this.getOrphanLeaseEndMs(assigned.run.workerId),
    );
  }

  /**
   * Gets the time by which the leases of an unregistered worker have expired. Stores
   * it for a successor; a session with the worker would be created with it.
   */
  private getOrphanLeaseEndMs(workerId: string): number {
    const {leaseBounds} = this.options;
    const maxEndMs = this.getPreviousLeaseEndMs(workerId);
    const boundMs = leaseBounds.getLeaseEndMs(workerId);
    if (boundMs === undefined) leaseBounds.setLeaseEnd(workerId, maxEndMs);
    return Math.min(maxEndMs, boundMs ?? Infinity);
  }

  private adoptOrphans(session: WorkerSession): void {
    for (const assigned of [...this.orphanedRuns.keys()]) {
      if (assigned.run.workerId !== session.getId()) continue;
      this.orphanedRuns.delete(assigned);
      this.assignAdoptedRun(session, assigned);
    }
  }

  /**
   * Assigns a run of an earlier term to the session of its worker. If the worker has
   * started again, its process may have executed calls to the previous one, whose leases
   * do not count on its clock; while it does not respond, the longest wait applies. A run
   * that may not have started yet may be started by a late call.
   */
  private assignAdoptedRun(
    session: WorkerSession,
    assigned: AssignedRun,
  ): void {
    session.load.addRun(assigned);
    if (session.hasAcceptedTerm()) return;
    const {leaseLimit, leaseBounds} = this.options;
    const {run} = assigned;
    const isSameProcess = run.workerStartMs === session.getProcessStartMs();
    const mayBeStarted =
      !isSameProcess || run.longLeaseEndStoreMs === UNKNOWN_LEASE_END_STORE_MS;
    if (mayBeStarted && !run.isProven)
      assigned.openStartLeaseEndMs =
        leaseLimit.getLatestPreviousEndMs() + MAX_CALL_DELAY_MS;
    const endMs = isSameProcess
      ? this.getPreviousLeaseEndMs(session.getId())
      : leaseLimit.getLatestPreviousEndMs();
    const boundMs = leaseBounds.getLeaseEndMs(session.getId()) ?? Infinity;
    if (boundMs < endMs) session.extendLeaseEnd(boundMs, 'stored-bound');
    else
      session.extendLeaseEnd(
        endMs,
        isSameProcess ? 'earlier-terms' : 'other-process',
      );
  }
}

function getProcessKey(workerId: string, processStartMs: number): string {
  return `${workerId}/${processStartMs}`;
}

/** Gets the runs of restored jobs. */
function* getAssignedRuns(jobs: Iterable<JobState>): Generator<AssignedRun> {
  for (const job of jobs) {
    for (const {number: occurrence, steps} of job.occurrences.values()) {
      for (const step of steps) {
        for (const task of step.tasks) {
          for (const run of task.runs) {
            const taskName = getTaskName(job, occurrence, step, task);
            // A worker that has accepted this term rejects commands of earlier terms.
            const commandResponseMs = -Infinity;
            yield {
              job,
              occurrence,
              step,
              task,
              run,
              taskName,
              commandResponseMs,
            };
          }
        }
      }
    }
  }
}
