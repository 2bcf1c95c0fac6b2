/** Keeps account of jobs: what is accepted, done, failed and cancelled. */

import {Clock} from '@mustardlug/base/clock';
import {JobState, StepState, TaskState} from '@mustardlug/jobs/job_state';
import {FleetConfig, QueueConfig} from '@mustardlug/jobs/queue_config';
import {parseTaskName} from '@mustardlug/jobs/task_name';
import {EndedRun} from '@mustardlug/platform/job_worker';
import {StoredRow} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {QueueLoad} from './board.js';
import {JobBook} from './job_book.js';
import {getTaskName} from './run_names.js';
import {AssignedRun} from './worker_load.js';

/** Options of a ledger. */
export interface JobLedgerOptions {
  readonly clock: Clock;
  readonly events: EventRecorder;
  /** Gets the configuration in force, or `undefined` before the first one. */
  readonly getConfig: () => FleetConfig | undefined;
  /** Stops the runs of a task. */
  readonly stopTaskRuns: (taskName: string, task: TaskState) => void;
}

/** Jobs, and those whose stored progress is out of date. */
export class JobLedger {
  private readonly book = JobBook.create();
  private readonly changedJobs = new Set<JobState>();

  private constructor(private readonly options: JobLedgerOptions) {}

  /**
   * Creates an empty ledger.
   * @param options - Events, configuration and stops.
   */
  static create(options: JobLedgerOptions): JobLedger {
    return new JobLedger(options);
  }

  /**
   * Restores all jobs from the shared tables.
   * @param jobRows - Rows of accepted and cancelled jobs.
   * @param progressRows - Rows of progress.
   * @param nowMs - Monotonic time that counts as the placement of restored runs.
   */
  restore(
    jobRows: readonly StoredRow[],
    progressRows: readonly StoredRow[],
    nowMs: number,
  ): void {
    this.book.restore(jobRows, progressRows, nowMs);
  }

  /** Cancels the restored jobs whose cancellation an earlier coordinator had not noticed. */
  cancelRestoredJobs(): void {
    for (const job of this.book.getActiveJobs()) {
      if (this.book.isCancelled(job.getId())) this.cancelJob(job);
    }
  }

  /** Gets the jobs that have not ended or of which runs may be going on. */
  getActiveJobs(): ReadonlySet<JobState> {
    return this.book.getActiveJobs();
  }

  /**
   * Gets jobs that ended before a time.
   * @param wallMs - Wall-clock time in milliseconds since the Unix epoch.
   * @param limit - Most jobs to get.
   */
  getJobsEndedBefore(wallMs: number, limit: number): JobState[] {
    const jobs: JobState[] = [];
    for (const job of this.book.getJobs()) {
      if (jobs.length >= limit) break;
      if (!job.isEnded() || job.hasRuns()) continue;
      if ((job.endedMs ?? Infinity) < wallMs) jobs.push(job);
    }
    return jobs;
  }

  /**
   * Forgets a job.
   * @param job - Job whose rows were removed.
   */
  forgetJob(job: JobState): void {
    this.book.forgetJob(job);
  }

  /**
   * Gets the terms in force for a job.
   * @param job - Job of a queue.
   */
  getQueue(job: JobState): QueueConfig {
    const {queue} = job.accepted;
    const config = this.options.getConfig();
    return config?.queues.find(each => each.name === queue.name) ?? queue;
  }

  /** Gets the load by the name of the queue. */
  getQueueLoads(): Record<string, QueueLoad> {
    const waiting: Record<string, number> = {};
    for (const job of this.book.getActiveJobs()) {
      if (job.phase !== 'pending') continue;
      const {name} = job.accepted.queue;
      waiting[name] = (waiting[name] ?? 0) + 1;
    }
    const loads: Record<string, QueueLoad> = {};
    for (const [name, waitingJobs] of Object.entries(waiting))
      loads[name] = {waitingJobs, retryAfterMs: 0};
    return loads;
  }

  /** Checks whether any stored progress is out of date. */
  hasChanges(): boolean {
    return this.changedJobs.size > 0;
  }

  /** Takes the jobs whose stored progress is out of date. */
  takeChangedJobs(): JobState[] {
    const jobs = [...this.changedJobs];
    this.changedJobs.clear();
    return jobs;
  }

  /**
   * Notes that a job's stored progress is out of date.
   * @param job - Job that changed.
   */
  markChanged(job: JobState): void {
    this.changedJobs.add(job);
  }

  /**
   * Applies rows of the job table.
   * @param rows - New or repeated rows.
   */
  applyRows(rows: readonly StoredRow[]): void {
    for (const row of rows) {
      const change = this.book.applyRow(row);
      if (change === undefined) continue;
      const {job} = change;
      if (this.book.isCancelled(job.getId())) this.cancelJob(job);
      else if (change.kind === 'accepted') this.noteAccepted(job);
    }
  }

  /**
   * Notes the end of a run that was placed.
   * @param assigned - Run that ended.
   * @param ended - How it ended.
   */
  noteEnd(assigned: AssignedRun, ended: EndedRun): void {
    const {job, step, task, run} = assigned;
    task.runs = task.runs.filter(each => each !== run);
    if (ended.checkpoint !== '') task.checkpoint = ended.checkpoint;
    if (!job.isEnded() && !task.isDone) {
      if (ended.end === 'done') this.noteDone(job, step, task, ended.taskName);
      else if (ended.end === 'failed') this.noteFailure(job, step, task);
    }
    this.book.refreshActive(job);
    this.markChanged(job);
  }

  /**
   * Notes the end of a run of an earlier term or lifetime, which may have ended
   * well before its loss was noticed.
   * @param ended - How it ended.
   */
  noteUnassignedEnd(ended: EndedRun): void {
    if (ended.end !== 'done') return;
    const name = parseTaskName(ended.taskName);
    const job = name && this.book.findJob(name.jobId);
    if (name === undefined || job === undefined || job.isEnded()) return;
    const found = job.findTask(name.occurrence, name.stepIndex, name.taskIndex);
    if (found === undefined || found.task.isDone) return;
    this.noteDone(job, found.step, found.task, ended.taskName);
    this.markChanged(job);
  }

  /**
   * Lets the task of a run be placed again.
   * @param assigned - Run that is certainly not going on.
   */
  releaseRun(assigned: AssignedRun): void {
    const {job, step, task, run} = assigned;
    task.runs = task.runs.filter(each => each !== run);
    if (step.spec.isGang) this.stopGang(assigned);
    this.book.refreshActive(job);
    this.markChanged(job);
  }

  private noteAccepted(job: JobState): void {
    this.options.events.addEvent('job-noticed', {
      requestId: job.getId(),
      detail: job.accepted.queue.name,
    });
  }

  private cancelJob(job: JobState): void {
    if (job.isEnded()) return;
    job.phase = 'cancelled';
    this.noteJobEnd(job, 'cancelled');
    this.markChanged(job);
    this.stopRuns(job);
  }

  private noteDone(
    job: JobState,
    step: StepState,
    task: TaskState,
    taskName: string,
  ): void {
    if (step.spec.isLongRunning) return;
    // A gang works and ends together: one end stands for all members.
    const doneTasks = step.spec.isGang ? step.tasks : [task];
    for (const each of doneTasks) step.markDone(each);
    if (!step.spec.isGang) this.options.stopTaskRuns(taskName, task);
    if (!step.isDone()) return;
    job.closeDoneOccurrences();
    if (job.isEnded()) this.noteJobEnd(job, job.phase);
  }

  private noteFailure(job: JobState, step: StepState, task: TaskState): void {
    if (step.spec.isLongRunning) return;
    task.failures++;
    const {maxAttempts} = this.getQueue(job);
    const failures = step.spec.isGang ? getGangFailures(step) : task.failures;
    if (failures < maxAttempts) return;
    job.phase = 'failed';
    this.noteJobEnd(
      job,
      `failed: a task of step ${step.index} failed ${failures} times`,
    );
    this.stopRuns(job);
  }

  private noteJobEnd(job: JobState, detail: string): void {
    const requestId = job.getId();
    job.endedMs = this.options.clock.getWallMs();
    this.options.events.addEvent('job-ended', {requestId, detail});
  }

  /** Stops all runs of a job that has ended. */
  private stopRuns(job: JobState): void {
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps)
        this.stopStepRuns(job, occurrence.number, step);
    }
  }

  /** Without one member the others of a gang would only wait for it. */
  private stopGang({job, occurrence, step}: AssignedRun): void {
    this.stopStepRuns(job, occurrence, step);
  }

  private stopStepRuns(
    job: JobState,
    occurrence: number,
    step: StepState,
  ): void {
    for (const task of step.tasks) {
      const taskName = getTaskName(job, occurrence, step, task);
      this.options.stopTaskRuns(taskName, task);
    }
  }
}

function getGangFailures(step: StepState): number {
  let failures = 0;
  for (const task of step.tasks) failures += task.failures;
  return failures;
}
