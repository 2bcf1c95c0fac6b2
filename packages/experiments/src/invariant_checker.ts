/** Observes all workers and records violations of the scheduling guarantees. */

import {Clock} from '@mustardlug/base/clock';
import {JobSpec} from '@mustardlug/jobs/job_spec';
import {parseTaskName, TaskName} from '@mustardlug/jobs/task_name';
import {RunOutcome} from '@mustardlug/platform/job_worker_client';
import {RunObserver} from '@mustardlug/standins/job_worker_model';

/** Observed history of a task. */
interface TaskHistory {
  readonly runningWorkers: Set<string>;
  isDone: boolean;
  isDoneAcknowledged: boolean;
  acknowledgedFailures: number;
  starts: number;
}

/** A job that a caller submitted. */
interface SubmittedJob {
  readonly spec: JobSpec;
  readonly maxAttempts: number;
  cancelledMs: number | undefined;
}

/** Time after an acknowledged cancellation in which tasks of the job may still start. */
const CANCELLATION_BOUND_MS = 3_000;

/** Checks the runs on workers against the guarantees given to callers. */
export class InvariantChecker implements RunObserver {
  /** Violations, in order of occurrence. */
  readonly violations: string[] = [];
  private readonly tasks = new Map<string, TaskHistory>();
  private readonly jobs = new Map<string, SubmittedJob>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a checker without jobs.
   * @param clock - Clock for time bounds.
   */
  static create(clock: Clock): InvariantChecker {
    return new InvariantChecker(clock);
  }

  /**
   * Registers a job that a caller submits.
   * @param jobId - Identifier of the job.
   * @param spec - Specification of the job.
   * @param maxAttempts - Number of failures of a task after which the job fails.
   */
  addJob(jobId: string, spec: JobSpec, maxAttempts: number): void {
    this.jobs.set(jobId, {spec, maxAttempts, cancelledMs: undefined});
  }

  /**
   * Records that a cancellation was acknowledged.
   * @param jobId - Identifier of the job.
   */
  recordCancellation(jobId: string): void {
    const job = this.jobs.get(jobId);
    if (job !== undefined) job.cancelledMs ??= this.clock.getMonotonicMs();
  }

  /**
   * Checks a phase that was reported to a caller.
   * @param jobId - Identifier of the job.
   * @param phase - Reported phase.
   */
  checkPhase(jobId: string, phase: string): void {
    if (phase !== 'completed') return;
    if (!this.isAllDone(jobId))
      this.addViolation(
        `${jobId} reported as completed before all tasks were done`,
      );
  }

  /** Gets the total number of started runs. */
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
      this.addViolation(`${label}: job was never submitted`);
      return;
    }
    if (task.runningWorkers.size > 0)
      this.addViolation(
        `${label}: already running on ${[...task.runningWorkers].join(', ')}`,
      );
    if (task.isDoneAcknowledged)
      this.addViolation(`${label}: already acknowledged as done`);
    this.checkDependencies(label, name, job.spec);
    const isLongRunning = job.spec.steps[name.stepIndex].isLongRunning;
    if (!isLongRunning && task.acknowledgedFailures >= job.maxAttempts)
      this.addViolation(
        `${label}: already failed ${task.acknowledgedFailures} times`,
      );
    const sinceCancelMs =
      this.clock.getMonotonicMs() - (job.cancelledMs ?? Infinity);
    if (sinceCancelMs > CANCELLATION_BOUND_MS)
      this.addViolation(
        `${label}: job was cancelled ${sinceCancelMs} ms earlier`,
      );
    task.runningWorkers.add(workerId);
  }

  onRunEnded(
    workerId: string,
    taskName: string,
    _runNumber: number,
    outcome: RunOutcome | 'crashed',
  ): void {
    const task = this.getTask(taskName);
    task.runningWorkers.delete(workerId);
    if (outcome === 'done') task.isDone = true;
  }

  onEndAcknowledged(taskName: string, outcome: RunOutcome): void {
    const task = this.getTask(taskName);
    if (outcome === 'done') task.isDoneAcknowledged = true;
    if (outcome === 'failed') task.acknowledgedFailures++;
  }

  private checkDependencies(
    label: string,
    name: TaskName,
    spec: JobSpec,
  ): void {
    const step = spec.steps[name.stepIndex];
    for (const dependency of step.dependsOn) {
      if (this.isStepDone(name, dependency, spec.steps[dependency].taskCount))
        continue;
      this.addViolation(`${label}: step ${dependency} is not done`);
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
        runningWorkers: new Set(),
        isDone: false,
        isDoneAcknowledged: false,
        acknowledgedFailures: 0,
        starts: 0,
      };
      this.tasks.set(taskName, task);
    }
    return task;
  }

  private addViolation(violation: string): void {
    this.violations.push(
      `${Math.round(this.clock.getMonotonicMs())}: ${violation}`,
    );
  }
}
