/** Watches all workers and notes every broken promise about tasks. */

import {Clock} from '@mustardlug/base/clock';
import {JobSpec} from '@mustardlug/jobs/job_spec';
import {parseTaskName, TaskName} from '@mustardlug/jobs/task_name';
import {RunEnd} from '@mustardlug/platform/job_worker';
import {WorkerObserver} from '@mustardlug/standins/job_worker_model';

/** What is known of a task from the outside. */
interface TaskHistory {
  readonly runningOn: Set<string>;
  isDone: boolean;
  isDoneAcknowledged: boolean;
  acknowledgedFailures: number;
  starts: number;
}

/** A job as its caller knows it. */
interface CheckedJob {
  readonly spec: JobSpec;
  readonly maxAttempts: number;
  cancelledMs: number | undefined;
}

/** Time after the acknowledgement of a cancellation in which tasks may still start. */
const CANCEL_BOUND_MS = 3_000;

/** Compares what happens on workers with what callers were promised. */
export class PromiseChecker implements WorkerObserver {
  /** Broken promises, in order. */
  readonly violations: string[] = [];
  private readonly tasks = new Map<string, TaskHistory>();
  private readonly jobs = new Map<string, CheckedJob>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a checker that knows no job.
   * @param clock - Clock of the bounds.
   */
  static create(clock: Clock): PromiseChecker {
    return new PromiseChecker(clock);
  }

  /**
   * Adds a job that a caller submits.
   * @param jobId - Identifier of the job.
   * @param spec - What it asks for.
   * @param maxAttempts - Failures of a task after which the job has failed.
   */
  addJob(jobId: string, spec: JobSpec, maxAttempts: number): void {
    this.jobs.set(jobId, {spec, maxAttempts, cancelledMs: undefined});
  }

  /**
   * Notes that a cancellation was acknowledged.
   * @param jobId - Identifier of the job.
   */
  noteCancelled(jobId: string): void {
    const job = this.jobs.get(jobId);
    if (job !== undefined) job.cancelledMs ??= this.clock.getMonotonicMs();
  }

  /**
   * Checks what a caller is shown.
   * @param jobId - Identifier of the job.
   * @param phase - Phase that was shown.
   */
  notePhase(jobId: string, phase: string): void {
    if (phase !== 'completed') return;
    if (!this.isAllDone(jobId))
      this.add(`${jobId} is shown as completed, but is not done`);
  }

  /** Gets the number of runs that were started. */
  getStartCount(): number {
    let count = 0;
    for (const task of this.tasks.values()) count += task.starts;
    return count;
  }

  onRunStarted(workerId: string, taskName: string, runNumber: number): void {
    const task = this.getTask(taskName);
    const name = parseTaskName(taskName);
    const job = name && this.jobs.get(name.jobId);
    const label = `${taskName} run ${runNumber} on ${workerId}`;
    task.starts++;
    if (name === undefined || job === undefined) {
      this.add(`${label}: nobody submitted it`);
      return;
    }
    if (task.runningOn.size > 0)
      this.add(`${label}: also runs on ${[...task.runningOn].join(', ')}`);
    if (task.isDoneAcknowledged) this.add(`${label}: it was done before`);
    this.checkOrder(label, name, job.spec);
    const isLongRunning = job.spec.steps[name.stepIndex].isLongRunning;
    if (!isLongRunning && task.acknowledgedFailures >= job.maxAttempts)
      this.add(`${label}: it had failed ${task.acknowledgedFailures} times`);
    const sinceCancelMs =
      this.clock.getMonotonicMs() - (job.cancelledMs ?? Infinity);
    if (sinceCancelMs > CANCEL_BOUND_MS)
      this.add(`${label}: its job was cancelled ${sinceCancelMs} ms before`);
    task.runningOn.add(workerId);
  }

  onRunEnded(
    workerId: string,
    taskName: string,
    _runNumber: number,
    end: RunEnd | 'crashed',
  ): void {
    const task = this.getTask(taskName);
    task.runningOn.delete(workerId);
    if (end === 'done') task.isDone = true;
  }

  onEndAcknowledged(taskName: string, end: RunEnd): void {
    const task = this.getTask(taskName);
    if (end === 'done') task.isDoneAcknowledged = true;
    if (end === 'failed') task.acknowledgedFailures++;
  }

  private checkOrder(label: string, name: TaskName, spec: JobSpec): void {
    const step = spec.steps[name.stepIndex];
    for (const earlier of step.dependsOn) {
      if (this.isStepDone(name, earlier, spec.steps[earlier].taskCount))
        continue;
      this.add(`${label}: step ${earlier} is not done`);
    }
  }

  private isAllDone(jobId: string): boolean {
    const steps = this.jobs.get(jobId)?.spec.steps ?? [];
    return steps.every((step, stepIndex) =>
      this.isStepDone(
        {jobId, occurrence: 0, stepIndex, taskIndex: 0},
        stepIndex,
        step.taskCount,
      ),
    );
  }

  private isStepDone(
    {jobId, occurrence}: TaskName,
    stepIndex: number,
    taskCount: number,
  ): boolean {
    for (let task = 0; task < taskCount; task++) {
      const name = `${jobId}.${occurrence}.${stepIndex}.${task}`;
      if (!this.getTask(name).isDone) return false;
    }
    return true;
  }

  private getTask(taskName: string): TaskHistory {
    let task = this.tasks.get(taskName);
    if (task === undefined) {
      task = {
        runningOn: new Set(),
        isDone: false,
        isDoneAcknowledged: false,
        acknowledgedFailures: 0,
        starts: 0,
      };
      this.tasks.set(taskName, task);
    }
    return task;
  }

  private add(violation: string): void {
    this.violations.push(
      `${Math.round(this.clock.getMonotonicMs())}: ${violation}`,
    );
  }
}
