/** A worker that runs tasks under a lease, in virtual time. */

import {Clock, Timer} from '@mustardlug/base/clock';
import {
  EndedRun,
  LeaseReport,
  LeaseRequest,
  PaceOrder,
  RefusalReason,
  RunEnd,
  RunningRun,
  RunOrder,
  StartOrder,
  WorkerRecord,
} from '@mustardlug/platform/job_worker';

/** What the tasks on a worker do; tests change it while it runs. */
export interface WorkerModelBehavior {
  /** Whether every run fails soon after its start. */
  failsAll: boolean;
  /** Whether runs make no progress. */
  hangs: boolean;
  /** Factor on the duration of runs. */
  slowness: number;
}

/** Options of a worker model. */
export interface JobWorkerModelOptions {
  readonly clock: Clock;
  readonly record: WorkerRecord;
  /** Gets the duration of a task without disturbance; infinite for long-running ones. */
  readonly getTaskMs: (taskName: string) => number;
  /** Gets whether a run of a task fails by the task's own fault. */
  readonly isFailing: (taskName: string, runNumber: number) => boolean;
  readonly observer: WorkerObserver;
}

/** Is told what workers do; checks what must never happen. */
export interface WorkerObserver {
  onRunStarted(workerId: string, taskName: string, runNumber: number): void;
  onRunEnded(
    workerId: string,
    taskName: string,
    runNumber: number,
    end: RunEnd | 'crashed',
  ): void;
  /** An end is forgotten: from now on it rests with the scheduler. */
  onEndAcknowledged(taskName: string, end: RunEnd): void;
}

/** Outcome of an order: carried out, or refused for a reason. */
export type OrderOutcome = 'done' | RefusalReason;

interface ModelRun {
  readonly taskName: string;
  readonly runNumber: number;
  readonly startedMs: number;
  readonly taskMs: number;
  readonly timer: Timer | undefined;
}

/** Time after which a run that fails by its own fault ends. */
const FAILURE_MS = 100;

/** Part of the duration after which a run has a checkpoint. */
const CHECKPOINT_MS = 500;

/** One worker. */
export class JobWorkerModel {
  readonly behavior: WorkerModelBehavior = {
    failsAll: false,
    hangs: false,
    slowness: 1,
  };
  private readonly runs = new Map<string, ModelRun>();
  /** Highest run that ended or was stopped here, by task. */
  private readonly closedRuns = new Map<string, number>();
  private ended: EndedRun[] = [];
  private sequence = 0;
  private fencingToken = 0;
  private leaseUntilMs = 0;
  private leaseTimer: Timer | undefined;
  private bornMs: number;
  private clockStartMs: number;
  private waiters: Array<() => void> = [];
  private isDown = false;

  private constructor(private readonly options: JobWorkerModelOptions) {
    this.bornMs = options.record.bornMs;
    this.clockStartMs = options.clock.getMonotonicMs();
  }

  /**
   * Creates an idle worker.
   * @param options - Clock, registration and tasks.
   */
  static create(options: JobWorkerModelOptions): JobWorkerModel {
    return new JobWorkerModel(options);
  }

  /** Gets the registration of the present lifetime. */
  getRecord(): WorkerRecord {
    return {...this.options.record, bornMs: this.bornMs};
  }

  /** Checks whether the worker answers at all. */
  isUp(): boolean {
    return !this.isDown;
  }

  /** Gets the number of runs. */
  getRunCount(): number {
    return this.runs.size;
  }

  /** Loses everything; the worker does not answer until `restart`. */
  crash(): void {
    this.isDown = true;
    for (const run of [...this.runs.values()]) this.remove(run, 'crashed');
    this.leaseTimer?.cancel();
    this.wake();
  }

  /** Starts again under the same identifier, knowing nothing. */
  restart(): void {
    this.isDown = false;
    this.bornMs += 1_000;
    this.clockStartMs = this.options.clock.getMonotonicMs();
    this.closedRuns.clear();
    this.ended = [];
    this.sequence = 0;
    this.fencingToken = 0;
    this.leaseUntilMs = 0;
  }

  /**
   * Starts a run.
   * @param order - Run to start.
   */
  start(order: StartOrder): OrderOutcome {
    if (!this.acceptToken(order.fencingToken)) return 'fenced';
    const {taskName, runNumber} = order;
    const present = this.runs.get(taskName);
    if (present?.runNumber === runNumber) return 'done';
    if (order.leaseUntilMs <= this.getClockMs()) return 'lapsed';
    this.extendLease(order.leaseUntilMs);
    if (runNumber <= (this.closedRuns.get(taskName) ?? 0)) return 'superseded';
    this.begin(taskName, runNumber);
    return 'done';
  }

  /**
   * Stops a run, or shuts out one that is not there.
   * @param order - Run to stop.
   */
  stop(order: RunOrder): OrderOutcome {
    if (!this.acceptToken(order.fencingToken)) return 'fenced';
    const {taskName, runNumber} = order;
    const run = this.runs.get(taskName);
    if (run !== undefined && run.runNumber <= runNumber)
      this.end(run, 'stopped');
    this.close(taskName, runNumber);
    return 'done';
  }

  /**
   * Changes nothing but the fencing token; the model's tasks do not disturb each other.
   * @param order - Run and share.
   */
  pace(order: PaceOrder): OrderOutcome {
    return this.acceptToken(order.fencingToken) ? 'done' : 'fenced';
  }

  /**
   * Renews the lease and waits for an end.
   * @param request - Token, lease and wait.
   */
  async renew(request: LeaseRequest): Promise<LeaseReport | 'fenced'> {
    if (!this.acceptToken(request.fencingToken)) return 'fenced';
    if (request.leaseUntilMs !== undefined)
      this.extendLease(request.leaseUntilMs);
    this.forget(request.acknowledgedSequence);
    if (request.waitMs > 0 && this.ended.length === 0)
      await this.waitForEnd(request.waitMs);
    return {
      clockMs: this.getClockMs(),
      bornMs: this.bornMs,
      running: [...this.runs.values()].map(run => this.toRunning(run)),
      ended: [...this.ended],
    };
  }

  private getClockMs(): number {
    return this.options.clock.getMonotonicMs() - this.clockStartMs;
  }

  private acceptToken(fencingToken: number): boolean {
    if (fencingToken < this.fencingToken) return false;
    this.fencingToken = fencingToken;
    return true;
  }

  private extendLease(leaseUntilMs: number): void {
    if (leaseUntilMs <= this.leaseUntilMs) return;
    this.leaseUntilMs = leaseUntilMs;
    this.leaseTimer?.cancel();
    const leftMs = leaseUntilMs - this.getClockMs();
    this.leaseTimer = this.options.clock.setTimer(leftMs, () => this.lapse());
  }

  private lapse(): void {
    for (const run of [...this.runs.values()]) this.end(run, 'lapsed');
  }

  private begin(taskName: string, runNumber: number): void {
    const {clock, getTaskMs, isFailing, observer, record} = this.options;
    const superseded = this.runs.get(taskName);
    if (superseded !== undefined) this.end(superseded, 'stopped');
    const {failsAll, hangs, slowness} = this.behavior;
    const taskMs = getTaskMs(taskName) * slowness;
    const fails = failsAll || isFailing(taskName, runNumber);
    const endMs = fails ? FAILURE_MS : taskMs;
    const hasEnd = Number.isFinite(endMs) && (fails || !hangs);
    const timer = hasEnd
      ? clock.setTimer(endMs, () => this.end(run, fails ? 'failed' : 'done'))
      : undefined;
    const run: ModelRun = {
      taskName,
      runNumber,
      startedMs: clock.getMonotonicMs(),
      taskMs,
      timer,
    };
    this.runs.set(taskName, run);
    observer.onRunStarted(record.workerId, taskName, runNumber);
  }

  private end(run: ModelRun, end: RunEnd): void {
    this.remove(run, end);
    this.close(run.taskName, run.runNumber);
    this.sequence++;
    this.ended.push({
      sequence: this.sequence,
      taskName: run.taskName,
      runNumber: run.runNumber,
      end,
      checkpoint: this.getCheckpoint(run),
    });
    this.wake();
  }

  private remove(run: ModelRun, end: RunEnd | 'crashed'): void {
    run.timer?.cancel();
    this.runs.delete(run.taskName);
    const {workerId} = this.options.record;
    this.options.observer.onRunEnded(
      workerId,
      run.taskName,
      run.runNumber,
      end,
    );
  }

  private close(taskName: string, runNumber: number): void {
    const closed = this.closedRuns.get(taskName) ?? 0;
    this.closedRuns.set(taskName, Math.max(closed, runNumber));
  }

  private forget(acknowledgedSequence: number): void {
    for (const {sequence, taskName, end} of this.ended) {
      if (sequence <= acknowledgedSequence)
        this.options.observer.onEndAcknowledged(taskName, end);
    }
    this.ended = this.ended.filter(
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

  private wake(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  private toRunning(run: ModelRun): RunningRun {
    const elapsedMs = this.options.clock.getMonotonicMs() - run.startedMs;
    const progress = this.behavior.hangs ? 0 : elapsedMs / run.taskMs;
    return {
      taskName: run.taskName,
      runNumber: run.runNumber,
      checkpoint: this.getCheckpoint(run),
      progressPercent: Math.min(100, Math.floor(100 * progress)),
      usage: 0,
    };
  }

  private getCheckpoint(run: ModelRun): string {
    const elapsedMs = this.options.clock.getMonotonicMs() - run.startedMs;
    if (elapsedMs < CHECKPOINT_MS) return '';
    return `${run.runNumber}-${Math.floor(elapsedMs / CHECKPOINT_MS)}`;
  }
}
