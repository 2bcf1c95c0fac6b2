/** In-memory state of an accepted job: its occurrences, steps, tasks and runs. */

import {getTaskCount, JobSpec, MAX_JOB_TASKS, StepSpec} from './job_spec.js';
import {QueueConfig} from './queue_config.js';

/** Phase of a job as shown to callers. */
export type JobPhase =
  'pending' | 'running' | 'completed' | 'failed' | 'cancelled';

/**
 * Maximum size of a checkpoint that is kept, in bytes of JSON. A task has to fit
 * into a row of the store, with its runs.
 */
export const MAX_CHECKPOINT_BYTES = 32_768;

/** Maximum number of bytes of a UTF-16 code unit in JSON. */
const MAX_JSON_CHARACTER_BYTES = 6;

/** End of leases that is not known. An earlier build takes it for later than the longest wait. */
export const UNKNOWN_LEASE_END_STORE_MS = Number.MAX_SAFE_INTEGER;

/** One run of a task on a worker. */
export interface TaskRun {
  readonly runNumber: number;
  readonly workerId: string;
  /** Start time of the worker process that may execute the run; distinguishes it from a restarted one. */
  workerStartMs: number;
  /** Monotonic time at which the run was placed. */
  readonly placedMs: number;
  /**
   * Monotonic time by which the run has started, if it has: that of its placement,
   * unless its start commands were not answered at first.
   */
  startedMs: number;
  /** Whether the run was found in stored rows or in a report; its actual age is then unknown. */
  readonly isAdopted: boolean;
  /** Whether the worker has confirmed the run, in a response or in a report. */
  isConfirmed: boolean;
  /**
   * Number of start commands of this term without a response, each of which the
   * worker may still execute.
   */
  openStarts: number;
  /**
   * Whether a report has listed the run some time after its placement, so that it
   * does not crash the worker that starts it.
   */
  isProven: boolean;
  /**
   * Time of the store by which all leases of the worker have expired, if that is later
   * than the coordinator's status declares for all workers; `UNKNOWN_LEASE_END_STORE_MS`
   * if its process may still execute calls to former ones.
   */
  longLeaseEndStoreMs?: number;
  /** Whether a stop was requested; the end of the run then does not count as a failure. */
  isStopping: boolean;
  /** Last reported progress, 0 to 100. */
  progressPercent: number;
  /** Age of the run at the last progress report. */
  progressAgeMs: number;
  /** CPU limit of the run as a percentage of its request, 0 to 100. */
  cpuLimitPercent: number;
  /** Monotonic time at which the CPU limit was last changed. */
  cpuLimitChangedMs: number;
  /** Last reported tail latency of a serving task in milliseconds, or CPU usage of any other task in millicores. */
  usage: number;
  /** Value of `usage` in the report before the latest one. */
  previousUsage: number;
}

/** Loss of a worker while a run of a task had just been started there. */
export interface StartCrash {
  readonly workerId: string;
  readonly runNumber: number;
  /** Whether the start is the likely cause, and no failure that other workers share. */
  readonly isAttributed: boolean;
}

export interface TaskState {
  readonly index: number;
  isDone: boolean;
  /** Number of own runs that failed. Of a gang, `failedGangRuns` has those of all members. */
  failures: number;
  /** Whether a worker has confirmed a run of the task. */
  hasRun: boolean;
  /** Losses of workers that had just started the task, since a run of it last was proven. */
  startCrashes: StartCrash[];
  /** Workers that did not start a run of the task, since one was last started; not stored. */
  readonly unstartedOn: Set<string>;
  /** Monotonic time at which a run of the task last ended, if one has in this term; not stored. */
  releasedMs?: number;
  /** Latest checkpoint; empty when there is none. */
  checkpoint: string;
  /** Runs that may be in progress; more than one only with speculative copies. */
  runs: TaskRun[];
}

/**
 * Records the latest checkpoint of a task. If it is too large to be kept, the task
 * keeps the previous one.
 * @param task - Task that the checkpoint belongs to.
 * @param checkpoint - Checkpoint; empty if there is none.
 * @returns Whether the task has lost nothing.
 */
export function recordCheckpoint(task: TaskState, checkpoint: string): boolean {
  if (checkpoint === '' || checkpoint === task.checkpoint) return true;
  if (!isStorable(checkpoint)) return false;
  task.checkpoint = checkpoint;
  return true;
}

function isStorable(checkpoint: string): boolean {
  const {length} = checkpoint;
  if (length * MAX_JSON_CHARACTER_BYTES <= MAX_CHECKPOINT_BYTES) return true;
  if (length > MAX_CHECKPOINT_BYTES) return false;
  return Buffer.byteLength(JSON.stringify(checkpoint)) <= MAX_CHECKPOINT_BYTES;
}

/** State of one step in one occurrence. */
export class StepState {
  /** Number of tasks that completed successfully. */
  doneCount = 0;
  /** Numbers of the runs of a gang in which any member failed. */
  readonly failedGangRuns = new Set<number>();
  /** Monotonic time at which all tasks were done, if that was in this term; not stored. */
  doneMs: number | undefined;

  private constructor(
    readonly index: number,
    readonly spec: StepSpec,
    readonly tasks: TaskState[],
  ) {}

  /**
   * Creates a step with no runs.
   * @param index - Index of the step in the job.
   * @param spec - Specification of the step.
   */
  static create(index: number, spec: StepSpec): StepState {
    const tasks: TaskState[] = [];
    for (let task = 0; task < spec.taskCount; task++) {
      tasks.push({
        index: task,
        isDone: false,
        failures: 0,
        startCrashes: [],
        unstartedOn: new Set(),
        hasRun: false,
        checkpoint: '',
        runs: [],
      });
    }
    return new StepState(index, spec, tasks);
  }

  /** Checks whether all tasks completed successfully. */
  isDone(): boolean {
    return this.doneCount === this.tasks.length;
  }

  /** Checks whether any run of the step may be in progress. */
  hasRuns(): boolean {
    return this.tasks.some(task => task.runs.length > 0);
  }

  /**
   * Records that a run of a task failed. The members of a gang share their runs,
   * each of which counts once.
   * @param task - Task of this step.
   * @param runNumber - Number of the run.
   */
  recordFailure(task: TaskState, runNumber: number): void {
    task.failures++;
    if (this.spec.isGang) this.failedGangRuns.add(runNumber);
  }

  /**
   * Gets the number of failed runs that count against the attempts of a task.
   * @param task - Task of this step.
   */
  getFailureCount(task: TaskState): number {
    if (!this.spec.isGang) return task.failures;
    // Earlier builds stored only how often each member failed.
    const memberFailures = this.tasks.map(({failures}) => failures);
    return Math.max(this.failedGangRuns.size, ...memberFailures);
  }

  /**
   * Marks a task as done.
   * @param task - Task of this step.
   */
  markDone(task: TaskState): void {
    if (task.isDone) return;
    task.isDone = true;
    this.doneCount++;
  }
}

/** State of one occurrence of a job: a single pass through all its steps. */
export class OccurrenceState {
  private constructor(
    readonly number: number,
    readonly steps: StepState[],
  ) {}

  /**
   * Creates an occurrence with no runs.
   * @param number - Number of the occurrence.
   * @param spec - Specification of the job.
   */
  static create(number: number, spec: JobSpec): OccurrenceState {
    const steps = spec.steps.map((step, index) =>
      StepState.create(index, step),
    );
    return new OccurrenceState(number, steps);
  }

  /** Checks whether all steps are done. */
  isDone(): boolean {
    return this.steps.every(step => step.isDone());
  }

  /** Checks whether any run of the occurrence may be in progress. */
  hasRuns(): boolean {
    return this.steps.some(step => step.hasRuns());
  }

  /** Gets the unfinished steps whose dependencies are all done. */
  getEligibleSteps(): StepState[] {
    return this.steps.filter(
      step => !step.isDone() && this.areDependenciesDone(step),
    );
  }

  private areDependenciesDone(step: StepState): boolean {
    return step.spec.dependsOn.every(index => this.steps[index].isDone());
  }
}

/** How the stored tasks of an occurrence are divided into parts. */
export interface OccurrenceLayout {
  readonly id: string;
  /**
   * Digest of the stored JSON of each part, by number of the part's first task;
   * undefined if what is stored is not known.
   */
  readonly digests: Map<number, string | undefined>;
  /** Whether the stored row of the job names the layout. */
  isNamed: boolean;
}

/** Immutable data of a job, recorded when it is accepted. */
export interface AcceptedJob {
  readonly jobId: string;
  readonly spec: JobSpec;
  /** Configuration of the queue at the time of acceptance. */
  readonly queue: QueueConfig;
  /** Wall-clock time of acceptance, in milliseconds since the Unix epoch. */
  readonly acceptedMs: number;
}

/** State of one job. */
export class JobState {
  /** Occurrences that are due, and not yet done or with active runs, by number. */
  readonly occurrences = new Map<number, OccurrenceState>();
  /** Layouts of the parts that may be stored, by number of the occurrence; none if one row does. */
  readonly layouts = new Map<number, OccurrenceLayout>();
  /** Value of the stored row of a job with parts, if it is known. */
  storedRow: Buffer | undefined;
  /** Number of the next occurrence to become due. */
  nextOccurrence = 0;
  phase: JobPhase = 'pending';
  /** Whether any run of the job is known to have started. */
  hasStarted = false;
  /** Wall-clock time at which the job ended, in milliseconds since the Unix epoch; undefined until then. */
  endedMs: number | undefined;
  /** Why the job failed, for its caller; undefined unless it did. */
  failureReason: string | undefined;

  /**
   * Monotonic time at which this process learned of the job. Unlike the time of
   * acceptance, it does not depend on the wall clock of another node.
   */
  noticedMs = 0;

  /** Monotonic time since which the job has had no run, if it has none; that of its notice before the first one. */
  idleSinceMs = 0;

  private constructor(readonly accepted: AcceptedJob) {}

  /**
   * Creates a job with no runs.
   * @param accepted - Accepted job.
   */
  static create(accepted: AcceptedJob): JobState {
    return new JobState(accepted);
  }

  /** Gets the job ID, which the caller chose. */
  getId(): string {
    return this.accepted.jobId;
  }

  /** Checks whether the job is in a final phase. */
  isEnded(): boolean {
    return isFinalPhase(this.phase);
  }

  /** Checks whether any run of the job may be in progress. */
  hasRuns(): boolean {
    for (const occurrence of this.occurrences.values()) {
      if (occurrence.hasRuns()) return true;
    }
    return false;
  }

  /** Gets the number of occurrences; 1 for a job without a schedule. */
  getRepetitions(): number {
    return this.accepted.spec.schedule?.repetitions ?? 1;
  }

  /**
   * Gets the due time of an occurrence, in milliseconds since the Unix epoch.
   * @param number - Number of the occurrence.
   */
  getDueMs(number: number): number {
    const {schedule} = this.accepted.spec;
    if (schedule === undefined) return this.accepted.acceptedMs;
    return schedule.firstRunMs + number * schedule.intervalMs;
  }

  /**
   * Creates the state of occurrences that have become due. Those beyond
   * `MAX_JOB_TASKS` wait until earlier ones are done, so that a schedule in the
   * past or without an interval neither fills the memory nor exceeds a stored row.
   * @param wallMs - Wall-clock time in milliseconds since the Unix epoch.
   */
  createDueOccurrences(wallMs: number): void {
    const hasSchedule = this.accepted.spec.schedule !== undefined;
    const taskCount = getTaskCount(this.accepted.spec);
    while (this.nextOccurrence < this.getRepetitions()) {
      const number = this.nextOccurrence;
      if (hasSchedule && this.getDueMs(number) > wallMs) return;
      const activeCount = this.occurrences.size;
      if (activeCount > 0 && (activeCount + 1) * taskCount > MAX_JOB_TASKS)
        return;
      this.occurrences.set(
        number,
        OccurrenceState.create(number, this.accepted.spec),
      );
      this.nextOccurrence++;
    }
  }

  /**
   * Finds a task.
   * @param occurrence - Number of the occurrence.
   * @param stepIndex - Index of the step.
   * @param taskIndex - Index of the task.
   */
  findTask(
    occurrence: number,
    stepIndex: number,
    taskIndex: number,
  ): {step: StepState; task: TaskState} | undefined {
    const step = this.occurrences.get(occurrence)?.steps[stepIndex];
    const task = step?.tasks[taskIndex];
    if (step === undefined || task === undefined) return undefined;
    return {step, task};
  }

  /**
   * Removes finished occurrences, and completes the job after the last one. An
   * occurrence with active runs is kept, as they use capacity until they end.
   */
  removeDoneOccurrences(): void {
    let isAllDone = this.nextOccurrence >= this.getRepetitions();
    for (const [number, occurrence] of this.occurrences) {
      if (!occurrence.isDone()) isAllDone = false;
      else if (!occurrence.hasRuns()) this.occurrences.delete(number);
    }
    if (isAllDone && !this.isEnded()) this.phase = 'completed';
  }
}

/**
 * Checks whether a phase is final.
 * @param phase - Phase to check.
 */
export function isFinalPhase(phase: JobPhase): boolean {
  return phase === 'completed' || phase === 'failed' || phase === 'cancelled';
}
