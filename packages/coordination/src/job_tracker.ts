/** Tracks the state of jobs: acceptance, finished and failed tasks, cancellation. */

import {Clock} from '@mustardlug/base/clock';
import {createTaskRun} from '@mustardlug/jobs/job_codec';
import {
  JobState,
  recordCheckpoint,
  StepState,
  TaskRun,
  TaskState,
} from '@mustardlug/jobs/job_state';
import {DeploymentConfig, QueueConfig} from '@mustardlug/jobs/queue_config';
import {parseTaskName} from '@mustardlug/jobs/task_name';
import {EndedRun, RunningRun} from '@mustardlug/platform/job_worker_client';
import {StoredRow} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {runGuarded} from '@mustardlug/telemetry/guarded_call';
import {LimitedQueue, QueueRefusal} from './admission_control.js';
import {QueueLoad} from './coordinator_status.js';
import {SuspectedRun} from './crash_attributor.js';
import {InvalidRowReporter} from './invalid_row_reporter.js';
import {JobIndex, ProgressRecord, ProgressTables} from './job_index.js';
import {RejectedJobs} from './rejected_jobs.js';
import {formatStartCrashes, isGivenUp} from './start_crashes.js';
import {getTaskName} from './task_names.js';
import {WaitingStep} from './task_order.js';
import {WaitingStepCache} from './waiting_step_cache.js';
import {AssignedRun} from './worker_load.js';

/**
 * Estimated duration of a task from which its proven runs are stored at once.
 * Shorter ones mostly end before a successor would need to know.
 */
const MIN_STORED_PROOF_MS = 5_000;

export interface JobTrackerOptions {
  readonly clock: Clock;
  readonly events: EventRecorder;
  /** Returns the current configuration, or `undefined` if none has been received yet. */
  readonly getConfig: () => DeploymentConfig | undefined;
  readonly stopTaskRuns: (taskName: string, task: TaskState) => void;
  /** Called when the checkpoint of an ended run is too large to be kept. */
  readonly onCheckpointOmitted: (assigned: AssignedRun, length: number) => void;
  /** Receives the rows that cannot be read. */
  readonly invalidRows: InvalidRowReporter;
  /** Jobs whose progress the store rejects. */
  readonly rejectedJobs: RejectedJobs;
}

/** Holds all jobs, and the set of those whose stored progress is out of date. */
export class JobTracker {
  private readonly jobIndex: JobIndex;
  private readonly changedJobs = new Set<JobState>();
  /** Jobs that were accepted or have changed since the last request for them. */
  private recentJobs = new Set<JobState>();
  private readonly waitingSteps: WaitingStepCache;
  /** Tasks of held jobs that were done since, by job ID. */
  private readonly heldEnds = new Map<string, EndedRun[]>();

  private constructor(private readonly options: JobTrackerOptions) {
    this.jobIndex = JobIndex.create(options.invalidRows);
    this.waitingSteps = WaitingStepCache.create({
      getQueue: job => this.getQueue(job),
      getConfigVersion: () => options.getConfig()?.version,
    });
  }

  /**
   * Creates a tracker without jobs.
   * @param options - Clock, events, configuration and a function to stop runs.
   */
  static create(options: JobTrackerOptions): JobTracker {
    return new JobTracker(options);
  }

  /**
   * Restores all jobs from the shared tables.
   * @param jobRows - Rows of accepted and cancelled jobs.
   * @param progress - Rows of progress.
   * @param nowMs - Monotonic time that counts as the placement of restored runs.
   * @returns Parts that no row of a job names, which an earlier coordinator left over.
   */
  restore(
    jobRows: readonly StoredRow[],
    progress: ProgressTables,
    nowMs: number,
  ): StoredRow[] {
    const obsoleteParts = this.jobIndex.restore(jobRows, progress, nowMs);
    for (const job of this.jobIndex.getHeldJobs()) this.recordHold(job);
    return obsoleteParts;
  }

  /** Gets the jobs whose progress cannot be read. None of their tasks is started. */
  getHeldJobs(): ReadonlySet<JobState> {
    return this.jobIndex.getHeldJobs();
  }

  /**
   * Releases a held job if its progress can be read by now.
   * @param job - Held job.
   * @param progress - Current rows of its progress.
   * @returns Whether it was released, so that its runs have to be adopted.
   */
  tryRelease(job: JobState, progress: ProgressRecord): boolean {
    const nowMs = this.options.clock.getMonotonicMs();
    if (!this.jobIndex.release(job, progress, nowMs)) return false;
    this.recordRelease(job);
    return true;
  }

  /** Cancels the restored jobs whose cancellation an earlier coordinator had not processed. */
  cancelRestoredJobs(): void {
    const {activeJobs, heldJobs} = {
      activeJobs: this.jobIndex.getActiveJobs(),
      heldJobs: this.jobIndex.getHeldJobs(),
    };
    for (const job of [...activeJobs, ...heldJobs]) {
      if (this.jobIndex.isCancelled(job.getId())) this.cancelJob(job);
    }
  }

  /** Gets the jobs that have not ended or that may still have active runs. */
  getActiveJobs(): ReadonlySet<JobState> {
    return this.jobIndex.getActiveJobs();
  }

  /**
   * Gets the steps that have waiting tasks. Creates due occurrences of the jobs first.
   * @param wallMs - Wall-clock time.
   */
  getWaitingSteps(wallMs: number): WaitingStep[] {
    return this.waitingSteps.getSteps(this.getActiveJobs(), wallMs);
  }

  /**
   * Gets the steps whose waiting tasks may be placed: those of jobs whose progress
   * can be stored.
   * @param wallMs - Wall-clock time.
   */
  getPlaceableSteps(wallMs: number): WaitingStep[] {
    return this.removeRejected(this.getWaitingSteps(wallMs));
  }

  private removeRejected(steps: WaitingStep[]): WaitingStep[] {
    const {rejectedJobs} = this.options;
    if (rejectedJobs.isEmpty()) return steps;
    return steps.filter(({job}) => !rejectedJobs.has(job.getId()));
  }

  /**
   * Gets the steps of some jobs that have waiting tasks, of those whose progress can
   * be stored.
   * @param jobs - Jobs to search; those that are not active are skipped.
   * @param wallMs - Wall-clock time.
   */
  getWaitingStepsOf(jobs: Iterable<JobState>, wallMs: number): WaitingStep[] {
    const activeJobs = this.getActiveJobs();
    const searched = [...jobs].filter(job => activeJobs.has(job));
    return this.removeRejected(this.waitingSteps.getSteps(searched, wallMs));
  }

  /** Returns the jobs that were accepted or have changed since the previous call. */
  takeRecentJobs(): ReadonlySet<JobState> {
    const jobs = this.recentJobs;
    this.recentJobs = new Set();
    return jobs;
  }

  /** Gets the priority of the queues that come first. */
  getTopPriority(): number {
    const queues = this.options.getConfig()?.queues ?? [];
    return Math.min(...queues.map(({priority}) => priority));
  }

  /**
   * Gets the jobs that ended before a time and have no active runs.
   * @param wallMs - Wall-clock time in milliseconds since the Unix epoch.
   * @param limit - Maximum number of jobs.
   */
  getJobsEndedBefore(wallMs: number, limit: number): JobState[] {
    const jobs: JobState[] = [];
    for (const job of this.jobIndex.getJobs()) {
      if (jobs.length >= limit) break;
      if (!job.isEnded() || job.hasRuns()) continue;
      if ((job.endedMs ?? Infinity) < wallMs) jobs.push(job);
    }
    return jobs;
  }

  /**
   * Gets the refused jobs whose rows were noticed before a time.
   * @param nowMs - Monotonic time.
   * @param limit - Maximum number of jobs.
   */
  getJobsRefusedBefore(nowMs: number, limit: number): string[] {
    const jobIds: string[] = [];
    for (const [jobId, noticedMs] of this.jobIndex.getRefusedJobs()) {
      // They were noticed one after the other.
      if (jobIds.length >= limit || noticedMs >= nowMs) break;
      jobIds.push(jobId);
    }
    return jobIds;
  }

  /**
   * Forgets a refused job.
   * @param jobId - Identifier of a job whose row was removed.
   */
  removeRefusedJob(jobId: string): void {
    this.jobIndex.removeRefusedJob(jobId);
  }

  /**
   * Removes a job.
   * @param job - Job whose rows were removed.
   */
  removeJob(job: JobState): void {
    this.jobIndex.removeJob(job);
  }

  /**
   * Gets the current configuration of a job's queue. Falls back to the one that
   * the job was accepted with if the queue is no longer configured.
   * @param job - Job whose queue to get.
   */
  getQueue(job: JobState): QueueConfig {
    const {queue} = job.accepted;
    const config = this.options.getConfig();
    return config?.queues.find(each => each.name === queue.name) ?? queue;
  }

  /**
   * Gets the load of the queues that refuse jobs or have jobs that have not
   * started, by name of the queue.
   * @param refusals - Queues that refuse jobs, by name.
   * @param jobLimits - Limits of the work per job, by name of the queue.
   */
  getQueueLoads(
    refusals: ReadonlyMap<string, QueueRefusal>,
    jobLimits: ReadonlyMap<string, LimitedQueue> = new Map(),
  ): Record<string, QueueLoad> {
    const waiting = new Map<string, number>();
    for (const name of [...refusals.keys(), ...jobLimits.keys()])
      waiting.set(name, 0);
    for (const job of this.jobIndex.getActiveJobs()) {
      if (job.hasStarted || job.isEnded()) continue;
      const {name} = job.accepted.queue;
      waiting.set(name, (waiting.get(name) ?? 0) + 1);
    }
    const loads: Record<string, QueueLoad> = {};
    for (const [name, waitingJobs] of waiting)
      loads[name] = {
        waitingJobs,
        retryAfterMs: 0,
        ...refusals.get(name),
        ...jobLimits.get(name),
      };
    return loads;
  }

  /** Checks whether any stored progress is out of date. */
  hasChanges(): boolean {
    return this.changedJobs.size > 0;
  }

  /**
   * Returns the jobs whose stored progress is out of date, by priority of their
   * queues, and clears the set.
   */
  takeChangedJobs(): JobState[] {
    const ranked = [...this.changedJobs].map(job => ({
      job,
      priority: this.getQueue(job).priority,
    }));
    this.changedJobs.clear();
    ranked.sort((left, right) => left.priority - right.priority);
    return ranked.map(({job}) => job);
  }

  /**
   * Marks a job's stored progress and its known waiting steps as out of date.
   * @param job - Job that changed.
   */
  markChanged(job: JobState): void {
    this.changedJobs.add(job);
    this.recentJobs.add(job);
    this.waitingSteps.invalidate(job);
  }

  /**
   * Applies rows of the job table.
   * @param rows - New or repeated rows.
   * @returns Jobs whose progress was restored, so that their runs have to be adopted.
   */
  applyRows(rows: readonly StoredRow[]): JobState[] {
    const restoredJobs: JobState[] = [];
    for (const row of rows) {
      // An error of one row must not lose the others, which are not sent again.
      runGuarded(this.options.events, `the row of job ${row.key}`, () => {
        restoredJobs.push(...this.applyRow(row));
      });
    }
    return restoredJobs;
  }

  private applyRow(row: StoredRow): JobState[] {
    const nowMs = this.options.clock.getMonotonicMs();
    const change = this.jobIndex.applyRow(row, nowMs);
    if (change === undefined || change === 'unreadable') return [];
    const {job, kind} = change;
    if (kind === 'restored') this.recordRelease(job);
    if (this.jobIndex.isCancelled(job.getId())) this.cancelJob(job);
    else if (kind === 'accepted') this.recordJobAccepted(job);
    else if (kind === 'held') this.recordHold(job);
    return kind === 'restored' ? [job] : [];
  }

  /**
   * Records the end of a run that is assigned to a worker.
   * @param assigned - Run that ended.
   * @param ended - How it ended.
   */
  recordRunEnd(assigned: AssignedRun, ended: EndedRun): void {
    const {job, step, task, run} = assigned;
    job.hasStarted = true;
    task.hasRun = true;
    task.runs = task.runs.filter(each => each !== run);
    task.releasedMs = this.options.clock.getMonotonicMs();
    if (!recordCheckpoint(task, ended.checkpoint))
      this.options.onCheckpointOmitted(assigned, ended.checkpoint.length);
    if (ended.outcome === 'done' || ended.outcome === 'failed')
      task.startCrashes = [];
    if (!job.isEnded() && !task.isDone) {
      if (ended.outcome === 'done')
        this.recordTaskDone(job, step, task, ended.taskName);
      else if (ended.outcome === 'failed') this.recordTaskFailure(assigned);
    }
    this.recordRunRemoved(job);
  }

  /**
   * Records the end of a run that is no longer assigned, such as one of an
   * earlier term or worker process. It may have succeeded before it was
   * considered lost.
   * @param ended - How it ended.
   */
  recordUnassignedRunEnd(ended: EndedRun): void {
    const name = parseTaskName(ended.taskName);
    if (name === undefined) return;
    if (this.jobIndex.isHeld(name.jobId)) {
      this.keepEnd(name.jobId, ended);
      return;
    }
    const job = this.jobIndex.findJob(name.jobId);
    if (job === undefined || job.isEnded()) return;
    const found = job.findTask(name.occurrence, name.stepIndex, name.taskIndex);
    if (found === undefined || found.task.isDone) return;
    this.clearStartCrashes(job, found.task);
    if (ended.outcome !== 'done') return;
    this.recordTaskDone(job, found.step, found.task, ended.taskName);
    this.jobIndex.updateActiveJobs(job);
    this.markChanged(job);
  }

  /**
   * Checks whether the end of a run can be stored: not while the progress of its job
   * cannot be read, or is rejected by the store.
   * @param taskName - Task that the run belongs to.
   */
  canRecordEndOf(taskName: string): boolean {
    const name = parseTaskName(taskName);
    if (name === undefined) return true;
    return (
      !this.jobIndex.isHeld(name.jobId) &&
      !this.options.rejectedJobs.has(name.jobId)
    );
  }

  /**
   * Records that a worker was lost when it had just started a run. Gives the task
   * up if enough workers have crashed in this way.
   * @param suspected - Run, and whether the crash is attributed to it.
   */
  recordStartCrash({assigned, isAttributed, reason}: SuspectedRun): void {
    const {job, task, run, taskName} = assigned;
    if (job.isEnded() || task.isDone || run.isProven) return;
    const {workerId, runNumber} = run;
    // A run whose stop was pending at a takeover may be lost once more.
    const isCounted = task.startCrashes.some(
      crash => crash.workerId === workerId && crash.runNumber === runNumber,
    );
    if (isCounted) return;
    const crash = {workerId, runNumber, isAttributed};
    task.startCrashes = [...task.startCrashes, crash];
    this.markChanged(job);
    this.options.events.addEvent('start-crashed', {
      taskId: taskName,
      workerId,
      detail: `run ${run.runNumber}, ${isAttributed ? 'attributed' : 'not attributed'}: ${reason}; crashes so far: ${formatStartCrashes(task.startCrashes)}`,
    });
    if (isGivenUp(task)) this.giveUp(assigned);
  }

  /**
   * Withdraws a crash, as the worker process has responded again.
   * @param assigned - Run that the crash was recorded for.
   */
  withdrawStartCrash({job, task, run, taskName}: AssignedRun): void {
    const {workerId, runNumber} = run;
    const remaining = task.startCrashes.filter(
      crash => crash.workerId !== workerId || crash.runNumber !== runNumber,
    );
    if (remaining.length === task.startCrashes.length) return;
    task.startCrashes = remaining;
    this.markChanged(job);
    this.options.events.addEvent('start-crash-withdrawn', {
      taskId: taskName,
      workerId,
      detail: `run ${runNumber}; crashes so far: ${remaining.length === 0 ? 'none' : formatStartCrashes(remaining)}`,
    });
  }

  /**
   * Records that a run has not crashed the worker that started it, so that the
   * task is not the cause of earlier crashes. Stores it for a successor if the run
   * will last; other changes of the job store it as well.
   * @param assigned - Run that is in progress.
   */
  recordRunProven({job, step, task}: AssignedRun): void {
    this.clearStartCrashes(job, task);
    const {isLongRunning, estimatedMs} = step.spec;
    if (isLongRunning || estimatedMs >= MIN_STORED_PROOF_MS)
      this.markChanged(job);
  }

  /**
   * Adds a run that a worker reports and that is not assigned to it, such as one
   * that was given up while the worker could not be reached.
   * @param running - Reported run.
   * @param workerId - Worker that reports it.
   * @param workerStartMs - Start time of the worker process.
   * @returns `undefined` if no such task is known.
   */
  addReportedRun(
    running: RunningRun,
    workerId: string,
    workerStartMs: number,
  ): AssignedRun | undefined {
    const {taskName, runNumber} = running;
    const name = parseTaskName(taskName);
    const job = name && this.jobIndex.findJob(name.jobId);
    if (name === undefined || job === undefined) return undefined;
    const {occurrence} = name;
    const found = job.findTask(occurrence, name.stepIndex, name.taskIndex);
    if (found === undefined) return undefined;
    const {step, task} = found;
    const nowMs = this.options.clock.getMonotonicMs();
    const run: TaskRun = {
      ...createTaskRun(workerId, workerStartMs, runNumber, nowMs),
      isAdopted: true,
      isConfirmed: true,
    };
    task.runs.push(run);
    this.jobIndex.updateActiveJobs(job);
    this.markChanged(job);
    // The report lists the run, so that it has ended once a later one does not.
    const commandResponseMs = -Infinity;
    return {job, occurrence, step, task, run, taskName, commandResponseMs};
  }

  /**
   * Releases the task of a lost run, so that it can be placed again.
   * @param assigned - Run that has certainly ended.
   */
  releaseRun(assigned: AssignedRun): void {
    const {job, step, task, run} = assigned;
    task.runs = task.runs.filter(each => each !== run);
    task.releasedMs = this.options.clock.getMonotonicMs();
    if (step.spec.isGang) this.stopGangRuns(assigned);
    this.recordRunRemoved(job);
  }

  /**
   * Withdraws runs of a job that have neither been stored nor sent.
   * @param job - Job of the runs.
   * @param withdrawn - Runs to remove.
   */
  withdrawRuns(job: JobState, withdrawn: readonly AssignedRun[]): void {
    for (const {task, run} of withdrawn)
      task.runs = task.runs.filter(each => each !== run);
    this.recordRunRemoved(job);
  }

  /** Removes the state of a job that was kept only for its active runs. */
  private recordRunRemoved(job: JobState): void {
    if (!job.hasRuns()) job.idleSinceMs = this.options.clock.getMonotonicMs();
    job.removeDoneOccurrences();
    this.jobIndex.updateActiveJobs(job);
    this.markChanged(job);
  }

  private recordHold(job: JobState): void {
    this.options.events.addEvent('job-held', {
      requestId: job.getId(),
      detail: job.accepted.queue.name,
    });
  }

  private recordRelease(job: JobState): void {
    const requestId = job.getId();
    const ends = this.heldEnds.get(requestId) ?? [];
    this.heldEnds.delete(requestId);
    for (const ended of ends) this.recordUnassignedRunEnd(ended);
    this.options.events.addEvent('job-released', {
      requestId,
      detail: `${ends.length} tasks done in the meantime`,
    });
  }

  /** Keeps the end of a task that is done, which the worker forgets once it is acknowledged. */
  private keepEnd(jobId: string, ended: EndedRun): void {
    if (ended.outcome !== 'done') return;
    const ends = this.heldEnds.get(jobId) ?? [];
    ends.push(ended);
    this.heldEnds.set(jobId, ends);
  }

  private recordJobAccepted(job: JobState): void {
    this.recentJobs.add(job);
    this.options.events.addEvent('job-noticed', {
      requestId: job.getId(),
      detail: job.accepted.queue.name,
    });
  }

  private cancelJob(job: JobState): void {
    if (job.isEnded()) return;
    job.phase = 'cancelled';
    this.recordJobEnd(job, 'cancelled');
    this.jobIndex.endHold(job);
    this.markChanged(job);
    this.stopRuns(job);
  }

  private recordTaskDone(
    job: JobState,
    step: StepState,
    task: TaskState,
    taskName: string,
  ): void {
    if (step.spec.isLongRunning) return;
    // The members of a gang end together, so that the end of one completes all of them.
    const doneTasks = step.spec.isGang ? step.tasks : [task];
    for (const each of doneTasks) step.markDone(each);
    if (!step.spec.isGang) this.options.stopTaskRuns(taskName, task);
    if (!step.isDone()) return;
    step.doneMs = this.options.clock.getMonotonicMs();
    job.removeDoneOccurrences();
    if (job.isEnded()) this.recordJobEnd(job, job.phase);
  }

  private recordTaskFailure({job, step, task, run}: AssignedRun): void {
    if (step.spec.isLongRunning) return;
    step.recordFailure(task, run.runNumber);
    const failures = step.getFailureCount(task);
    if (failures < this.getQueue(job).maxAttempts) return;
    const subject = step.spec.isGang ? 'the gang' : 'a task';
    this.failJob(
      job,
      `${subject} of step ${step.index} failed ${failures} times`,
    );
  }

  private clearStartCrashes(job: JobState, task: TaskState): void {
    if (task.startCrashes.length === 0) return;
    task.startCrashes = [];
    this.markChanged(job);
  }

  private giveUp({job, task, taskName}: AssignedRun): void {
    const crashes = formatStartCrashes(task.startCrashes);
    this.options.events.addEvent('task-given-up', {
      requestId: job.getId(),
      taskId: taskName,
      detail: `workers crashed when they started it: ${crashes}`,
    });
    this.failJob(
      job,
      `task ${taskName} crashed ${task.startCrashes.length} workers that started it: ${crashes}`,
    );
  }

  private failJob(job: JobState, reason: string): void {
    job.phase = 'failed';
    job.failureReason = reason;
    this.recordJobEnd(job, `failed: ${reason}`);
    this.stopRuns(job);
  }

  private recordJobEnd(job: JobState, detail: string): void {
    const requestId = job.getId();
    job.endedMs = this.options.clock.getWallMs();
    this.options.events.addEvent('job-ended', {requestId, detail});
  }

  private stopRuns(job: JobState): void {
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps)
        this.stopStepRuns(job, occurrence.number, step);
    }
  }

  /** Stops all members of a gang, as the others would only wait for the lost one. */
  private stopGangRuns({job, occurrence, step}: AssignedRun): void {
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
