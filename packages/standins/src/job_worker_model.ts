/** Model of a worker that runs tasks under a lease, in virtual time. */

import {createHash} from 'node:crypto';
import {Clock, Timer} from '@mustardlug/base/clock';
import {ResourceRequirements} from '@mustardlug/jobs/job_spec';
import {
  EndedRun,
  LeaseReport,
  LeaseRenewal,
  CpuLimitCommand,
  RefusalReason,
  RunOutcome,
  RunningRun,
  RunCommand,
  StartRunCommand,
  WorkerRecord,
} from '@mustardlug/platform/job_worker_client';
import {
  ActiveRun,
  WorkerConditions,
  RunPerformanceModel,
} from './run_performance_model.js';

/** Behavior of a worker and of its runs; may be changed at any time. */
export interface JobWorkerBehavior {
  /** Whether new runs fail after `FAILURE_DELAY_MS` of work. */
  failsAll: boolean;
  /** Whether new runs make no progress. */
  hangs: boolean;
  /** Factor by which the duration of runs is multiplied. */
  slowness: number;
  /** Time for which a run continues after a stop command. */
  stopMs: number;
  /** Reason for which all starts are refused; undefined to accept them. */
  startRefusal: 'no-room' | 'unhealthy' | undefined;
}

/** Properties of a worker that may be different in its next process. */
export type WorkerKind = Partial<
  Pick<WorkerRecord, 'capacity' | 'labels' | 'rack'>
>;

/**
 * Clock of a process that is not the first one of its worker: it starts at 0, goes on
 * from the clock of the previous process, or is far ahead of it.
 */
export type ProcessClock = 'anew' | 'continued' | 'ahead';

export interface JobWorkerModelOptions {
  readonly clock: Clock;
  readonly record: WorkerRecord;
  /**
   * Gets the duration of a task without interference; infinite for long-running
   * tasks.
   */
  readonly getTaskDurationMs: (taskName: string) => number;
  /** Checks whether a run fails because of the task itself. */
  readonly isFailing: (taskName: string, runNumber: number) => boolean;
  /** Minimum length of checkpoints, which are filled up with text that does not compress; 0 by default. */
  readonly checkpointLength?: number;
  /** Gets the work after which a failing run ends; `FAILURE_DELAY_MS` if absent. */
  readonly getFailureDelayMs?: (taskName: string) => number;
  /**
   * Gets the time after which a running task crashes the worker; undefined if it
   * does not. At 0, the worker crashes before it responds to the start command.
   */
  readonly getCrashDelayMs?: (taskName: string) => number | undefined;
  /** Called after a task has crashed the worker. */
  readonly onTaskCrash?: () => void;
  readonly observer: RunObserver;
  /** Interference between colocated runs; none if absent. */
  readonly performanceModel?: RunPerformanceModel;
  /** Maximum duration of a lease on the worker's clock; longer leases are shortened to it. */
  readonly maxLeaseMs?: number;
  /** Speed of the worker's clock; 0.98 is 2 % slow. */
  readonly clockRate?: number;
  /**
   * Gets the needs of a task that count against the capacity. A worker without it
   * does not guard its capacity: it starts whatever it is told to.
   */
  readonly getTaskNeeds?: (taskName: string) => ResourceRequirements;
}

/** Observes all runs, so that tests can check invariants. */
export interface RunObserver {
  /** Called when a worker process starts, for the first time or again. */
  onWorkerStarted(record: WorkerRecord): void;
  /** Called when the capacity of a worker process changes. Its runs continue. */
  onCapacityChanged(record: WorkerRecord): void;
  /**
   * Called when a run starts.
   * @param workerId - Worker of the run.
   * @param taskName - Task of the run.
   * @param runNumber - Number of the run.
   * @param delayMs - Time by which the worker executed the start command late.
   */
  onRunStarted(
    workerId: string,
    taskName: string,
    runNumber: number,
    delayMs: number,
  ): void;
  onRunEnded(
    workerId: string,
    taskName: string,
    runNumber: number,
    end: RunOutcome | 'crashed',
  ): void;
  /**
   * Called when the worker discards the record of an acknowledged end, so that
   * only the record of the scheduler remains. `hasLeaseExpired` tells whether
   * the worker's lease expired between the end and the acknowledgement.
   */
  onEndAcknowledged(
    workerId: string,
    ended: EndedRun,
    hasLeaseExpired: boolean,
  ): void;
}

/** Outcome of a command: `done`, or the reason for its refusal. */
export type RunCommandOutcome = 'done' | RefusalReason;

interface ModelRun {
  readonly taskName: string;
  readonly runNumber: number;
  /** Work of the run, as its duration at speed 1. */
  readonly workMs: number;
  /** Outcome when all work is complete. */
  readonly end: RunOutcome;
  readonly isHanging: boolean;
  completedWorkMs: number;
  /** Speed since `updatedMs`. */
  speed: number;
  updatedMs: number;
  cpuLimitPercent: number;
  /** Exponentially smoothed response time; 0 for runs that are not serving tasks. */
  smoothedResponseMs: number;
  /** Timer of the end of the run, by completion or by a stop command. */
  timer: Timer | undefined;
  /** Timer of the crash that the run causes. */
  crashTimer: Timer | undefined;
  /** Whether a stop command was executed that takes effect when the timer fires. */
  isStopping: boolean;
}

/** Work after which a failing run ends. */
const FAILURE_DELAY_MS = 100;

/** Amount of work between two checkpoints of a run. */
const CHECKPOINT_INTERVAL_MS = 500;

/** Interval at which speeds are recalculated if interference is modelled. */
const SPEED_UPDATE_INTERVAL_MS = 200;

/** Time constant of the exponential smoothing of reported response times. */
const RESPONSE_SMOOTHING_MS = 300;

/** Time that restoring a checkpoint takes. */
const RESTORE_DURATION_MS = 600;

const FULL_PERCENT = 100;

/** Difference between the start times of two consecutive processes of a worker. */
const PROCESS_START_STEP_MS = 1_000;

/** Time by which a clock is ahead of that of the previous process. */
const CLOCK_JUMP_MS = 3_600_000;

/** State machine of one worker. */
export class JobWorkerModel {
  readonly behavior: JobWorkerBehavior = {
    failsAll: false,
    hangs: false,
    slowness: 1,
    stopMs: 0,
    startRefusal: undefined,
  };
  private record: WorkerRecord;
  private readonly runs = new Map<string, ModelRun>();
  /** Highest run number per task that ended here or that a stop command covered. */
  private readonly closedRuns = new Map<string, number>();
  private endedRuns: EndedRun[] = [];
  private sequence = 0;
  /** Sequence number of the last end before the last expiry of the lease. */
  private expiredSequence = 0;
  private fencingToken = 0;
  private leaseUntilMs = 0;
  private leaseTimer: Timer | undefined;
  /** Monotonic time at which the worker's own clock reads 0. */
  private clockStartMs: number;
  private waiters: Array<() => void> = [];
  private isDown = false;
  private updateTimer: Timer | undefined;

  private constructor(private readonly options: JobWorkerModelOptions) {
    this.record = options.record;
    this.clockStartMs = options.clock.getMonotonicMs();
    options.observer.onWorkerStarted(options.record);
  }

  /**
   * Creates an idle worker.
   * @param options - Clock, registration record and task behavior.
   */
  static create(options: JobWorkerModelOptions): JobWorkerModel {
    return new JobWorkerModel(options);
  }

  /** Gets the registration record of the current lifetime. */
  getRecord(): WorkerRecord {
    return this.record;
  }

  /** Checks whether the worker responds to calls. */
  isUp(): boolean {
    return !this.isDown;
  }

  getRunCount(): number {
    return this.runs.size;
  }

  getRuns(): Iterable<ActiveRun> {
    return this.runs.values();
  }

  /** Crashes the worker: all runs are lost, and it does not respond until `restart`. */
  crash(): void {
    this.isDown = true;
    for (const run of [...this.runs.values()]) this.removeRun(run, 'crashed');
    this.leaseTimer?.cancel();
    this.notifyWaiters();
  }

  /**
   * Restarts the worker under the same id, without its previous state.
   * @param kind - Properties that differ from those of the previous process.
   * @param clock - Clock of the next process.
   */
  restart(kind: WorkerKind = {}, clock: ProcessClock = 'anew'): void {
    this.isDown = false;
    const startMs = this.record.startMs + PROCESS_START_STEP_MS;
    this.record = {...this.record, ...kind, startMs};
    if (clock === 'anew')
      this.clockStartMs = this.options.clock.getMonotonicMs();
    else if (clock === 'ahead') this.clockStartMs -= CLOCK_JUMP_MS;
    this.closedRuns.clear();
    this.endedRuns = [];
    this.sequence = 0;
    this.expiredSequence = 0;
    this.fencingToken = 0;
    this.leaseUntilMs = 0;
    this.options.observer.onWorkerStarted(this.record);
  }

  /**
   * Changes the capacity of the current process. Its runs continue.
   * @param capacity - New capacity.
   */
  resize(capacity: ResourceRequirements): void {
    this.record = {...this.record, capacity};
    this.options.observer.onCapacityChanged(this.record);
    this.updateSpeeds();
  }

  /**
   * Starts a run.
   * @param command - Run to start.
   * @param delayMs - Time by which the execution is late.
   * @returns `undefined` if the process ended before it responded.
   */
  start(command: StartRunCommand, delayMs = 0): RunCommandOutcome | undefined {
    if (!this.acceptFencingToken(command.fencingToken)) return 'fenced';
    const {taskName, runNumber} = command;
    const existing = this.runs.get(taskName);
    if (existing?.runNumber === runNumber && !existing.isStopping)
      return 'done';
    if (this.behavior.startRefusal === 'unhealthy') return 'unhealthy';
    if (command.leaseUntilMs <= this.getClockMs()) return 'lapsed';
    this.extendLease(command.leaseUntilMs);
    if (runNumber <= this.getMaxRunNumber(taskName)) return 'superseded';
    if (this.behavior.startRefusal !== undefined)
      return this.behavior.startRefusal;
    if (!this.hasRoom(taskName)) return 'no-room';
    this.startRun(command, delayMs);
    return this.isDown ? undefined : 'done';
  }

  /**
   * Stops a run. If it has not started here, prevents it from starting later.
   * @param command - Run to stop.
   */
  stop(command: RunCommand): RunCommandOutcome {
    if (!this.acceptFencingToken(command.fencingToken)) return 'fenced';
    const {taskName, runNumber} = command;
    const run = this.runs.get(taskName);
    if (run !== undefined && run.runNumber <= runNumber)
      this.stopActiveRun(run);
    this.recordClosedRun(taskName, runNumber);
    return 'done';
  }

  /**
   * Changes the CPU limit of a run; does nothing if the run is not active.
   * @param command - Run and limit.
   */
  setCpuLimit(command: CpuLimitCommand): RunCommandOutcome {
    if (!this.acceptFencingToken(command.fencingToken)) return 'fenced';
    const run = this.runs.get(command.taskName);
    if (run === undefined || run.runNumber !== command.runNumber) return 'done';
    run.cpuLimitPercent = command.percent;
    this.updateSpeeds();
    return 'done';
  }

  /**
   * Renews the lease, waits until a run ends or the wait times out, then reports all runs.
   * @param request - Fencing token, lease and maximum wait.
   * @returns `undefined` if the process ended before it reported.
   */
  async renew(
    request: LeaseRenewal,
  ): Promise<LeaseReport | 'fenced' | undefined> {
    const {startMs} = this.record;
    if (!this.acceptFencingToken(request.fencingToken)) return 'fenced';
    if (request.leaseUntilMs !== undefined)
      this.extendLease(request.leaseUntilMs);
    this.removeAcknowledgedEnds(request.acknowledgedSequence);
    if (request.waitMs > 0 && this.endedRuns.length === 0)
      await this.waitForEnd(request.waitMs);
    if (this.isDown || this.record.startMs !== startMs) return undefined;
    return {
      clockMs: this.getClockMs(),
      startMs,
      running: [...this.runs.values()].map(run => this.toRunningRun(run)),
      ended: [...this.endedRuns],
    };
  }

  /** Gets the time of the worker's own clock. */
  getClockMs(): number {
    const elapsedMs = this.options.clock.getMonotonicMs() - this.clockStartMs;
    return elapsedMs * this.getClockRate();
  }

  private getClockRate(): number {
    return this.options.clockRate ?? 1;
  }

  private acceptFencingToken(fencingToken: number): boolean {
    if (fencingToken < this.fencingToken) return false;
    this.fencingToken = fencingToken;
    return true;
  }

  private extendLease(requestedUntilMs: number): void {
    const {clock, maxLeaseMs = Infinity} = this.options;
    const nowMs = this.getClockMs();
    const leaseUntilMs = Math.min(requestedUntilMs, nowMs + maxLeaseMs);
    if (leaseUntilMs <= this.leaseUntilMs) return;
    this.leaseUntilMs = leaseUntilMs;
    this.leaseTimer?.cancel();
    const remainingMs = (leaseUntilMs - nowMs) / this.getClockRate();
    this.leaseTimer = clock.setTimer(remainingMs, () => this.expireLease());
  }

  private expireLease(): void {
    this.expiredSequence = this.sequence;
    for (const run of [...this.runs.values()]) this.endRun(run, 'lapsed');
  }

  /** Checks whether a task fits beside all runs, unless the capacity is not guarded. */
  private hasRoom(taskName: string): boolean {
    const {getTaskNeeds} = this.options;
    if (getTaskNeeds === undefined) return true;
    const {capacity} = this.record;
    const needs = [...new Set([...this.runs.keys(), taskName])].map(
      getTaskNeeds,
    );
    return (['cpuMillis', 'memoryMb', 'accelerators'] as const).every(
      resource =>
        needs.reduce((sum, each) => sum + each[resource], 0) <=
        capacity[resource],
    );
  }

  /** Starts a run after stopping the previous run of the same task. */
  private startRun(
    {taskName, runNumber, checkpoint}: StartRunCommand,
    delayMs: number,
  ): void {
    const {clock, getTaskDurationMs, isFailing, observer} = this.options;
    const {getFailureDelayMs = () => FAILURE_DELAY_MS} = this.options;
    const previous = this.runs.get(taskName);
    if (previous !== undefined) this.endRun(previous, 'stopped');
    const {failsAll, hangs} = this.behavior;
    const fails = failsAll || isFailing(taskName, runNumber);
    const modelsInterference = this.options.performanceModel !== undefined;
    const run: ModelRun = {
      taskName,
      runNumber,
      workMs: fails ? getFailureDelayMs(taskName) : getTaskDurationMs(taskName),
      end: fails ? 'failed' : 'done',
      isHanging: hangs && !fails,
      completedWorkMs: modelsInterference ? getRestoredWorkMs(checkpoint) : 0,
      speed: 0,
      updatedMs: clock.getMonotonicMs(),
      cpuLimitPercent: FULL_PERCENT,
      smoothedResponseMs: 0,
      timer: undefined,
      crashTimer: undefined,
      isStopping: false,
    };
    this.runs.set(taskName, run);
    observer.onRunStarted(this.record.workerId, taskName, runNumber, delayMs);
    this.updateSpeeds();
    this.scheduleTaskCrash(run);
  }

  private scheduleTaskCrash(run: ModelRun): void {
    const {clock, getCrashDelayMs} = this.options;
    const crashDelayMs = getCrashDelayMs?.(run.taskName);
    if (crashDelayMs === undefined) return;
    if (crashDelayMs === 0) this.crashByTask();
    else
      run.crashTimer = clock.setTimer(crashDelayMs, () => this.crashByTask());
  }

  private crashByTask(): void {
    this.crash();
    this.options.onTaskCrash?.();
  }

  /** Stops a run, which continues until the time that a stop takes has passed. */
  private stopActiveRun(run: ModelRun): void {
    const {stopMs} = this.behavior;
    if (run.isStopping) return;
    if (stopMs === 0) {
      this.endRun(run, 'stopped');
      return;
    }
    run.isStopping = true;
    run.timer?.cancel();
    run.timer = this.options.clock.setTimer(stopMs, () =>
      this.endRun(run, 'stopped'),
    );
  }

  /** Updates the progress of all runs, then recalculates their speeds and end timers. */
  private updateSpeeds(): void {
    const {clock, performanceModel} = this.options;
    const nowMs = clock.getMonotonicMs();
    for (const run of this.runs.values()) this.updateProgress(run, nowMs);
    const worker = this.getWorkerConditions();
    for (const run of this.runs.values()) {
      const speed = performanceModel?.getSpeed(
        run,
        this.runs.values(),
        worker,
        nowMs,
      );
      run.speed = run.isHanging ? 0 : (speed ?? 1) / worker.slowness;
      if (run.isStopping) continue;
      run.timer?.cancel();
      const remainingMs = (run.workMs - run.completedWorkMs) / run.speed;
      if (!Number.isFinite(remainingMs)) continue;
      run.timer = clock.setTimer(remainingMs, () => this.endRun(run, run.end));
    }
    if (performanceModel === undefined || this.runs.size === 0) return;
    this.updateTimer?.cancel();
    this.updateTimer = clock.setTimer(SPEED_UPDATE_INTERVAL_MS, () =>
      this.updateSpeeds(),
    );
  }

  private updateProgress(run: ModelRun, nowMs: number): void {
    const elapsedMs = nowMs - run.updatedMs;
    run.completedWorkMs += run.speed * elapsedMs;
    run.updatedMs = nowMs;
    const {performanceModel} = this.options;
    if (performanceModel === undefined) return;
    const worker = this.getWorkerConditions();
    const responseMs = performanceModel.getResponseMs(
      run,
      this.runs.values(),
      worker,
      nowMs,
    );
    const previousWeight = Math.exp(-elapsedMs / RESPONSE_SMOOTHING_MS);
    run.smoothedResponseMs =
      previousWeight * run.smoothedResponseMs +
      (1 - previousWeight) * responseMs;
  }

  private endRun(run: ModelRun, end: RunOutcome): void {
    this.updateProgress(run, this.options.clock.getMonotonicMs());
    this.removeRun(run, end);
    this.recordClosedRun(run.taskName, run.runNumber);
    this.sequence++;
    this.endedRuns.push({
      sequence: this.sequence,
      taskName: run.taskName,
      runNumber: run.runNumber,
      outcome: end,
      checkpoint: this.getCheckpoint(run),
    });
    this.notifyWaiters();
    if (this.options.performanceModel !== undefined) this.updateSpeeds();
  }

  private removeRun(run: ModelRun, end: RunOutcome | 'crashed'): void {
    run.timer?.cancel();
    run.crashTimer?.cancel();
    this.runs.delete(run.taskName);
    const {workerId} = this.record;
    this.options.observer.onRunEnded(
      workerId,
      run.taskName,
      run.runNumber,
      end,
    );
  }

  /** Gets the highest run number of a task that is active, ended here or was stopped. */
  private getMaxRunNumber(taskName: string): number {
    const active = this.runs.get(taskName)?.runNumber ?? 0;
    return Math.max(active, this.closedRuns.get(taskName) ?? 0);
  }

  private recordClosedRun(taskName: string, runNumber: number): void {
    const closed = this.closedRuns.get(taskName) ?? 0;
    this.closedRuns.set(taskName, Math.max(closed, runNumber));
  }

  private removeAcknowledgedEnds(acknowledgedSequence: number): void {
    const {observer} = this.options;
    for (const ended of this.endedRuns) {
      if (ended.sequence > acknowledgedSequence) continue;
      const hasLeaseExpired = ended.sequence <= this.expiredSequence;
      observer.onEndAcknowledged(this.record.workerId, ended, hasLeaseExpired);
    }
    this.endedRuns = this.endedRuns.filter(
      ({sequence}) => sequence > acknowledgedSequence,
    );
  }

  private waitForEnd(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = this.options.clock.setTimer(waitMs, resolve);
      this.waiters.push(() => {
        timer.cancel();
        resolve();
      });
    });
  }

  private notifyWaiters(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const notify of waiters) notify();
  }

  private getWorkerConditions(): WorkerConditions {
    const {cpuMillis} = this.record.capacity;
    return {cpuMillis, slowness: this.behavior.slowness};
  }

  private toRunningRun(run: ModelRun): RunningRun {
    this.updateProgress(run, this.options.clock.getMonotonicMs());
    return {
      taskName: run.taskName,
      runNumber: run.runNumber,
      checkpoint: this.getCheckpoint(run),
      progressPercent: Math.min(
        FULL_PERCENT,
        Math.floor((FULL_PERCENT * run.completedWorkMs) / run.workMs),
      ),
      usage: Math.round(run.smoothedResponseMs),
    };
  }

  /**
   * Formats a checkpoint as the run number and the number of completed checkpoint
   * intervals.
   */
  private getCheckpoint({
    taskName,
    runNumber,
    completedWorkMs,
  }: ModelRun): string {
    if (completedWorkMs < CHECKPOINT_INTERVAL_MS) return '';
    const count = Math.floor(completedWorkMs / CHECKPOINT_INTERVAL_MS);
    const checkpoint = `${runNumber}-${count}`;
    const {checkpointLength = 0} = this.options;
    if (checkpoint.length >= checkpointLength) return checkpoint;
    const seed = `${taskName}-${checkpoint}`;
    return `${checkpoint}-${createFilling(seed, checkpointLength)}`;
  }
}

/**
 * Creates text that does not compress.
 * @param seed - Text that determines it.
 * @param length - Number of characters.
 */
function createFilling(seed: string, length: number): string {
  let text = '';
  for (let block = 0; text.length < length; block++) {
    text += createHash('sha512').update(`${seed}.${block}`).digest('base64url');
  }
  return text.slice(0, length);
}

/** Gets the work that a checkpoint covers, less the time that restoring it takes. */
function getRestoredWorkMs(checkpoint: string): number {
  if (checkpoint === '') return 0;
  const intervals = Number(checkpoint.split('-')[1]);
  return intervals * CHECKPOINT_INTERVAL_MS - RESTORE_DURATION_MS;
}
