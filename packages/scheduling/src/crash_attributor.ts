/**
 * Decides whether a worker crashed because of an attempt that it had just
 * started.
 *
 * A crash is not attributed if another worker, which was starting nothing,
 * failed at about the same time: it then belongs to a failure of several
 * workers, for example of a rack. For a task that such a crash was attributed
 * to before, the other worker may have been starting tasks without crashes.
 */

import {Clock} from '@mustardlug/base/clock';
import {WorkerStatus} from '@mustardlug/platform/worker_client';
import {hasStartCrashes} from './start_crashes.js';
import {StartTracker, TrackedBoot, wasStarting} from './start_tracker.js';
import {TaskRecord} from './task_record.js';

/**
 * Evidence that an attempt was just starting when its worker crashed; it is
 * `possible` if this process did not hold the worker's lease.
 */
export type CrashEvidence = 'none' | 'possible' | 'observed';

/** Latest failure of a worker that this process has seen, in monotonic time. */
interface WorkerFailure {
  /** Time of the last report before the failure. */
  readonly lastReportAtMs: number | undefined;
  readonly bootedAtMs: number | undefined;
  readonly wasStarting: boolean;
  /** Whether a task to which a crash was attributed was starting. */
  readonly wasStartingSuspect: boolean;
}

/** Time between failures of workers that may have the same cause. */
const COMMON_FAILURE_WINDOW_MS = 3_000;
/** Age from which a failure coincides with no new one. */
const MAX_FAILURE_AGE_MS = 300_000;
/** Time without a report after which the loss of a lease counts as a failure of the worker. */
const MIN_SILENCE_MS = 2_000;
/**
 * Longest time from the binding of an attempt to the next boot of its worker
 * for which the attempt may have crashed the worker, if this process did not
 * hold the worker's lease.
 */
const MAX_REBOOT_MS = 30_000;
/** Time after which the leases of workers that failed together have been lost. */
const FAILURE_DETECTION_MS = 6_000;

/** Attributes crashes of workers to attempts. */
export class CrashAttributor {
  private readonly failures = new Map<string, WorkerFailure>();

  private constructor(
    private readonly clock: Clock,
    private readonly starts: StartTracker,
    private readonly isSuspect: (taskId: string) => boolean,
  ) {}

  /**
   * Creates an attributor that knows of no failure.
   * @param clock - Clock of the process.
   * @param starts - Starting attempts of the workers.
   * @param isSuspect - Whether a crash has been attributed to a task.
   */
  static create(
    clock: Clock,
    starts: StartTracker,
    isSuspect: (taskId: string) => boolean,
  ): CrashAttributor {
    return new CrashAttributor(clock, starts, isSuspect);
  }

  /**
   * Records a failure if a worker that did not respond and whose lease was lost had not
   * been heard from.
   * @param workerId - Id of the worker.
   */
  recordLeaseLoss(workerId: string): void {
    const boot = this.starts.getLatestBoot(workerId);
    if (boot === undefined) return;
    const {lastReportAtMs} = boot;
    const silentMs = this.clock.getMonotonicMs() - lastReportAtMs;
    if (silentMs < MIN_SILENCE_MS) return;
    this.failures.set(workerId, {
      lastReportAtMs,
      bootedAtMs: undefined,
      ...this.getStartingState(getStartingIds(boot)),
    });
  }

  /**
   * Records a failure if a worker has rebooted.
   * @param status - First status under a new lease.
   * @param bound - Records of the tasks that are bound to the worker.
   */
  recordLeaseGrant(status: WorkerStatus, bound: readonly TaskRecord[]): void {
    const {workerId, bootId} = status;
    const previous = this.starts.getPreviousBoot(workerId);
    const lost = bound.filter(record => record.bootId !== bootId);
    if (previous === undefined && lost.length === 0) return;
    const nowMs = this.clock.getMonotonicMs();
    this.removeOldFailures(nowMs);
    const starting = lost.filter(
      record => this.getEvidence(record, status) !== 'none',
    );
    this.failures.set(workerId, {
      lastReportAtMs: this.getLastReportBeforeLoss(workerId, previous),
      bootedAtMs: nowMs - status.uptimeMs,
      ...this.getStartingState([
        ...(previous === undefined ? [] : getStartingIds(previous)),
        ...starting.map(({taskId}) => taskId),
      ]),
    });
  }

  /**
   * Gets the evidence that an attempt was just starting when its worker rebooted.
   * @param record - Task that is bound to an earlier boot of the worker.
   * @param status - Status of the worker.
   */
  getEvidence(record: TaskRecord, status: WorkerStatus): CrashEvidence {
    const {taskId, attempt, bootId, boundAtMs} = record;
    const previous = this.starts.getPreviousBoot(status.workerId);
    const known = previous?.starts.get(taskId);
    const start =
      previous?.bootId === bootId && known?.attempt === attempt
        ? known
        : undefined;
    if (hasStartCrashes(record)) {
      const isStarting =
        record.startingAttempt === attempt && start?.isProven !== true;
      return isStarting ? 'observed' : 'none';
    }
    if (start !== undefined) return wasStarting(start) ? 'observed' : 'none';
    if (boundAtMs === undefined) return 'none';
    const bootedAtMs = this.clock.getWallMs() - status.uptimeMs;
    return bootedAtMs - boundAtMs <= MAX_REBOOT_MS ? 'possible' : 'none';
  }

  /**
   * Checks whether failures of other workers at about the same time as that of
   * a worker would be known by now.
   * @param workerId - Worker that rebooted.
   */
  isSettled(workerId: string): boolean {
    const failure = this.failures.get(workerId);
    const failedAtMs = failure?.lastReportAtMs ?? failure?.bootedAtMs;
    if (failedAtMs === undefined) return true;
    return this.clock.getMonotonicMs() - failedAtMs >= FAILURE_DETECTION_MS;
  }

  /**
   * Checks whether the failure of a worker belongs to a failure of several workers.
   * @param workerId - Worker that rebooted.
   * @param isSuspect - Whether a crash has been attributed to the task before.
   */
  isCommonFailure(workerId: string, isSuspect: boolean): boolean {
    const failure = this.failures.get(workerId);
    if (failure === undefined) return false;
    for (const [otherId, other] of this.failures) {
      if (otherId === workerId) continue;
      const mayHaveOwnCause = isSuspect
        ? other.wasStartingSuspect
        : other.wasStarting;
      if (!mayHaveOwnCause && coincide(failure, other)) return true;
    }
    return false;
  }

  /** A report before a handover is no evidence: the worker then ran on under another holder. */
  private getLastReportBeforeLoss(
    workerId: string,
    previous: TrackedBoot | undefined,
  ): number | undefined {
    const lastReportAtMs = this.failures.get(workerId)?.lastReportAtMs;
    if (lastReportAtMs !== previous?.lastReportAtMs) return undefined;
    return lastReportAtMs;
  }

  private getStartingState(taskIds: readonly string[]) {
    return {
      wasStarting: taskIds.length > 0,
      wasStartingSuspect: taskIds.some(this.isSuspect),
    };
  }

  private removeOldFailures(nowMs: number): void {
    for (const [workerId, failure] of this.failures) {
      const {lastReportAtMs, bootedAtMs} = failure;
      const latestMs = bootedAtMs ?? lastReportAtMs ?? 0;
      if (nowMs - latestMs > MAX_FAILURE_AGE_MS) this.failures.delete(workerId);
    }
  }
}

function getStartingIds({starts}: TrackedBoot): string[] {
  const taskIds: string[] = [];
  for (const [taskId, start] of starts) {
    if (wasStarting(start)) taskIds.push(taskId);
  }
  return taskIds;
}

function coincide(left: WorkerFailure, right: WorkerFailure): boolean {
  return (
    isClose(left.lastReportAtMs, right.lastReportAtMs) ||
    isClose(left.bootedAtMs, right.bootedAtMs)
  );
}

function isClose(left: number | undefined, right: number | undefined): boolean {
  if (left === undefined || right === undefined) return false;
  return Math.abs(left - right) <= COMMON_FAILURE_WINDOW_MS;
}
