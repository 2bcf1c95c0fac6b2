/**
 * Tracks which attempts of each worker are just starting.
 *
 * An attempt is proven once its worker reports it as running `MIN_PROOF_MS`
 * after it has accepted or first reported the attempt. The attempts of the previous boot
 * of a worker are kept, as evidence about the crash that ended it.
 */

import {Clock} from '@mustardlug/base/clock';
import {AttemptId, WorkerStatus} from '@mustardlug/platform/worker_client';

/** Start of one attempt, as known to this process. */
export interface TrackedStart {
  readonly attempt: number;
  /** Whether the start is in progress; otherwise the attempt waits in the backlog. */
  isStarting: boolean;
  /** Monotonic time at which the worker accepted or first reported the attempt. */
  startedAtMs: number | undefined;
  isReported: boolean;
  isProven: boolean;
}

/** One boot of a worker. */
export interface TrackedBoot {
  readonly bootId: string;
  readonly starts: Map<string, TrackedStart>;
  /** Monotonic time of the latest report. */
  lastReportAtMs: number;
}

interface TrackedWorker {
  current: TrackedBoot;
  previous: TrackedBoot | undefined;
}

/** Time for which a worker must run an attempt before the attempt is proven. */
export const MIN_PROOF_MS = 500;

/** Tracks starting attempts by worker. */
export class StartTracker {
  private readonly workers = new Map<string, TrackedWorker>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): StartTracker {
    return new StartTracker(clock);
  }

  /**
   * Applies a status of a worker.
   * @param status - Status with all attempts of the worker.
   */
  recordStatus(status: WorkerStatus): void {
    const {starts} = this.getCurrentBoot(status);
    const nowMs = this.clock.getMonotonicMs();
    const reportedIds = new Set<string>();
    for (const {taskId, attempt, state} of status.attempts) {
      reportedIds.add(taskId);
      let start = starts.get(taskId);
      if (start?.attempt !== attempt) {
        // The latest attempt may be starting while an earlier one has ended.
        if (state !== 'running') continue;
        start = createStart(attempt, true);
        starts.set(taskId, start);
      }
      start.startedAtMs ??= nowMs;
      start.isReported = true;
      const runMs = nowMs - start.startedAtMs;
      if (state !== 'running' || runMs >= MIN_PROOF_MS) start.isProven = true;
    }
    for (const [taskId, {isReported}] of starts) {
      if (isReported && !reportedIds.has(taskId)) starts.delete(taskId);
    }
  }

  /**
   * Records that an attempt is being bound to a worker.
   * @param workerId - Id of the worker.
   * @param id - Attempt that is bound.
   * @param isStarting - Whether it starts immediately, not from the backlog.
   */
  recordBind(workerId: string, id: AttemptId, isStarting: boolean): void {
    const starts = this.workers.get(workerId)?.current.starts;
    starts?.set(id.taskId, createStart(id.attempt, isStarting));
  }

  /**
   * Records that a start command is being sent.
   * @param workerId - Id of the worker.
   * @param id - Attempt that is started.
   */
  recordStart(workerId: string, id: AttemptId): void {
    const starts = this.workers.get(workerId)?.current.starts;
    const existing = starts?.get(id.taskId);
    if (existing?.attempt === id.attempt) existing.isStarting = true;
    else starts?.set(id.taskId, createStart(id.attempt, true));
  }

  /**
   * Records that a worker has accepted an attempt.
   * @param workerId - Id of the worker.
   * @param id - Attempt that was started.
   */
  recordAcceptance(workerId: string, {taskId, attempt}: AttemptId): void {
    const start = this.workers.get(workerId)?.current.starts.get(taskId);
    if (start?.attempt !== attempt) return;
    start.startedAtMs ??= this.clock.getMonotonicMs();
  }

  /**
   * Removes an attempt that is no longer bound to the worker.
   * @param workerId - Id of the worker.
   * @param taskId - Id of the task.
   */
  removeStart(workerId: string, taskId: string): void {
    this.workers.get(workerId)?.current.starts.delete(taskId);
  }

  /**
   * Removes the attempts that the worker has not reported and that do not
   * match a filter.
   * @param workerId - Id of the worker.
   * @param isBound - Whether an attempt is bound to the worker.
   */
  retainUnreported(
    workerId: string,
    isBound: (id: AttemptId) => boolean,
  ): void {
    const starts = this.workers.get(workerId)?.current.starts ?? [];
    for (const [taskId, {attempt, isReported}] of starts) {
      if (isReported || isBound({taskId, attempt})) continue;
      this.removeStart(workerId, taskId);
    }
  }

  /**
   * Gets the tasks whose attempts are just starting on a worker.
   * @param workerId - Id of the worker.
   */
  getStartingTaskIds(workerId: string): string[] {
    const starts = this.workers.get(workerId)?.current.starts ?? [];
    const taskIds: string[] = [];
    for (const [taskId, {isStarting, isProven}] of starts) {
      if (isStarting && !isProven) taskIds.push(taskId);
    }
    return taskIds;
  }

  /**
   * Checks whether the current boot of a worker has accepted or reported an attempt.
   * @param workerId - Id of the worker.
   * @param id - Attempt to check.
   */
  isStarted(workerId: string, {taskId, attempt}: AttemptId): boolean {
    const start = this.workers.get(workerId)?.current.starts.get(taskId);
    return start?.attempt === attempt && start.startedAtMs !== undefined;
  }

  /**
   * Checks whether an attempt on the current boot of a worker is proven.
   * @param workerId - Id of the worker.
   * @param id - Attempt to check.
   */
  isProven(workerId: string, {taskId, attempt}: AttemptId): boolean {
    const start = this.workers.get(workerId)?.current.starts.get(taskId);
    return start?.attempt === attempt && start.isProven;
  }

  /**
   * Gets the boot of a worker before the current one; `undefined` if this
   * process held no lease during it.
   * @param workerId - Id of the worker.
   */
  getPreviousBoot(workerId: string): TrackedBoot | undefined {
    return this.workers.get(workerId)?.previous;
  }

  /**
   * Gets the boot of a worker that the latest report was from.
   * @param workerId - Id of the worker.
   */
  getLatestBoot(workerId: string): TrackedBoot | undefined {
    return this.workers.get(workerId)?.current;
  }

  /**
   * Drops the workers that are no longer listed.
   * @param isListed - Whether the VM list contains a worker.
   */
  retainWorkers(isListed: (workerId: string) => boolean): void {
    for (const workerId of this.workers.keys()) {
      if (!isListed(workerId)) this.workers.delete(workerId);
    }
  }

  private getCurrentBoot({workerId, bootId}: WorkerStatus): TrackedBoot {
    const nowMs = this.clock.getMonotonicMs();
    const worker = this.workers.get(workerId);
    if (worker?.current.bootId === bootId) {
      worker.current.lastReportAtMs = nowMs;
      return worker.current;
    }
    const current = {bootId, starts: new Map(), lastReportAtMs: nowMs};
    this.workers.set(workerId, {current, previous: worker?.current});
    return current;
  }
}

/**
 * Checks whether an attempt was just starting when its worker failed. A start
 * command without a response is no evidence: the worker may have failed before.
 * @param start - Attempt to check.
 */
export function wasStarting({startedAtMs, isProven}: TrackedStart): boolean {
  return startedAtMs !== undefined && !isProven;
}

function createStart(attempt: number, isStarting: boolean): TrackedStart {
  return {
    attempt,
    isStarting,
    startedAtMs: undefined,
    isReported: false,
    isProven: false,
  };
}
