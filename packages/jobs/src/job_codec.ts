/** Serialization of accepted jobs and of their progress for the row store. */

import {constants, deflateRawSync, inflateRawSync} from 'node:zlib';
import {
  createInvalidInputError,
  FieldProblem,
  InvalidInputError,
} from '@mustardlug/base/errors';
import {parseJsonBytes} from '@mustardlug/base/json_reader';
import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {
  AcceptedJob,
  JobPhase,
  JobState,
  OccurrenceState,
  StartCrash,
  TaskRun,
  TaskState,
} from './job_state.js';

/**
 * Stored form of a task: 0 if it has not started, 1 if it is done, otherwise
 * its failure count, its checkpoint and its runs.
 */
export type StoredTask = 0 | 1 | [number, string, ...StoredRun[]];

/**
 * Worker ID, start time of the worker process, run number, and 1 if the run is
 * proven. Earlier versions neither store nor read the last one.
 */
export type StoredRun = [string, number, number, 1?];

/** Step index and task index, followed by the fields of the run. */
export type StoredDoneTaskRun = [number, number, ...StoredRun];

/** Step index, task index and run number, followed by the time of the store at which the lease has expired. */
export type StoredLongLease = [number, number, number, number];

/** Step index, followed by the numbers of the failed runs. */
export type StoredFailedGangRuns = [number, ...number[]];

/** Worker ID, run number, and 1 if the crash is attributed to the start or 0 if not. */
export type StoredStartCrash = [string, number, 0 | 1];

/** Step index and task index, followed by the crashes. */
export type StoredTaskCrashes = [number, number, ...StoredStartCrash[]];

export interface StoredOccurrence {
  readonly number: number;
  /**
   * Names the parts that hold the tasks and all else of the occurrence, in which case
   * there are no steps here; absent if the progress fits into one row.
   */
  readonly layoutId?: string;
  readonly steps: StoredTask[][];
  /**
   * Runs of done tasks that may still be in progress; absent if there are none.
   * Separate from the tasks, so that earlier versions still read these as done.
   */
  readonly doneTaskRuns?: readonly StoredDoneTaskRun[];
  /** Tasks whose starts workers have crashed at; absent if there are none. */
  readonly startCrashes?: readonly StoredTaskCrashes[];
  /** Gangs with failed runs; absent if there are none, and in rows of earlier versions. */
  readonly failedGangRuns?: readonly StoredFailedGangRuns[];
  /** Runs on workers whose leases last longer than the status declares; absent if there are none. */
  readonly longLeases?: readonly StoredLongLease[];
}

/** Stored progress of a job. */
export interface StoredProgress {
  readonly phase: JobPhase;
  readonly nextOccurrence: number;
  readonly occurrences: readonly StoredOccurrence[];
  /**
   * Whether a worker has confirmed a run of the job; absent if not. The phase does
   * not tell: it is `running` as soon as a run is placed.
   */
  readonly hasStarted?: true;
  /** Wall-clock time at which the job ended; determines when its rows are purged. */
  readonly endedMs?: number;
  /** Why the job failed; absent unless it did. */
  readonly failureReason?: string;
}

/**
 * Stored outcome of a submission: an accepted job, or a refusal, which a delayed
 * write of the same submission cannot overturn.
 */
export type StoredJob =
  | {readonly kind: 'accepted'; readonly job: Omit<AcceptedJob, 'jobId'>}
  | {readonly kind: 'refused'};

/** First byte of a compressed value; JSON texts never begin with it. */
const COMPRESSED_MARK = 1;

/**
 * Maximum size of an uncompressed value: well above the progress of the largest
 * job, and far below what a compressed row of another writer could expand to.
 */
const MAX_JSON_BYTES = 8_000_000;

/** Size of a JSON text above which it is compressed; on a small VM a short one costs more time than it saves. */
const COMPRESSION_THRESHOLD_BYTES = 2_048;

/**
 * Serializes a row value as JSON, compressed unless it is short. Progress repeats
 * the fields of its runs and compresses well.
 * @param value - JSON-serializable value.
 */
export function encodeRowValue(value: unknown): Buffer {
  return encodeRowJson(JSON.stringify(value));
}

/**
 * Encodes a row value that has been serialized as JSON, as `encodeRowValue` does.
 * @param text - JSON text.
 */
export function encodeRowJson(text: string): Buffer {
  const json = Buffer.from(text);
  if (json.length <= COMPRESSION_THRESHOLD_BYTES) return json;
  const compressed = deflateRawSync(json, {level: constants.Z_BEST_SPEED});
  return Buffer.concat([Buffer.of(COMPRESSED_MARK), compressed]);
}

/**
 * Deserializes a row value written by `encodeRowValue` and validates it. Never
 * throws: another writer may have written the row.
 * @param subject - Name of the row in error messages.
 * @param schema - Schema of the value.
 * @param bytes - Stored bytes.
 */
export function decodeRowValue<T>(
  subject: string,
  schema: z.ZodType<T>,
  bytes: Buffer,
): Result<T, InvalidInputError> {
  return inflate(subject, bytes).andThen(json =>
    parseJsonBytes(subject, schema, json, MAX_JSON_BYTES),
  );
}

function inflate(
  subject: string,
  bytes: Buffer,
): Result<Buffer, InvalidInputError> {
  if (bytes[0] !== COMPRESSED_MARK) return ok(bytes);
  try {
    const limit = {maxOutputLength: MAX_JSON_BYTES};
    return ok(inflateRawSync(bytes.subarray(1), limit));
  } catch (error) {
    const problem: FieldProblem = {
      path: '(whole value)',
      expected: `expected a compressed value of at most ${MAX_JSON_BYTES} bytes (${(error as Error).message})`,
      remedy: 'restore the row or remove it',
    };
    return err(createInvalidInputError(subject, [problem]));
  }
}

/**
 * Converts a job's progress to its stored form.
 * @param job - Job to store.
 */
export function toStoredProgress(job: JobState): StoredProgress {
  const {phase, nextOccurrence, endedMs, failureReason} = job;
  const failure = failureReason === undefined ? {} : {failureReason};
  if (job.isEnded() && !job.hasRuns())
    return {phase, nextOccurrence, occurrences: [], endedMs, ...failure};
  const occurrences: StoredOccurrence[] = [];
  for (const occurrence of job.occurrences.values()) {
    const {number} = occurrence;
    const steps = occurrence.steps.map(step => step.tasks.map(toStoredTask));
    const doneTaskRuns = getDoneTaskRuns(occurrence);
    const startCrashes = getStartCrashes(occurrence);
    const failedGangRuns = getFailedGangRuns(occurrence);
    const longLeases = getLongLeases(occurrence);
    occurrences.push({
      number,
      steps,
      ...(doneTaskRuns.length > 0 && {doneTaskRuns}),
      ...(startCrashes.length > 0 && {startCrashes}),
      ...(failedGangRuns.length > 0 && {failedGangRuns}),
      ...(longLeases.length > 0 && {longLeases}),
    });
  }
  const hasStarted = job.hasStarted || undefined;
  return {phase, nextOccurrence, occurrences, hasStarted, endedMs, ...failure};
}

/**
 * Restores a job's progress. Restored runs are unconfirmed until a worker reports them.
 * @param job - Newly created job.
 * @param stored - Stored progress.
 * @param monotonicMs - Monotonic time to use as the placement time of restored runs.
 */
export function restoreProgress(
  job: JobState,
  stored: StoredProgress,
  monotonicMs: number,
): void {
  job.phase = stored.phase;
  job.nextOccurrence = stored.nextOccurrence;
  job.endedMs = stored.endedMs;
  job.failureReason = stored.failureReason;
  for (const storedOccurrence of stored.occurrences) {
    const {number, steps, doneTaskRuns, startCrashes} = storedOccurrence;
    const {failedGangRuns, longLeases} = storedOccurrence;
    const occurrence = OccurrenceState.create(number, job.accepted.spec);
    for (const [stepIndex, tasks] of steps.entries()) {
      const step = occurrence.steps[stepIndex];
      for (const [taskIndex, storedTask] of tasks.entries()) {
        const task = step.tasks[taskIndex];
        if (storedTask === 1) step.markDone(task);
        else if (storedTask !== 0) restoreTask(task, storedTask, monotonicMs);
      }
      // The members of a gang are done together, but their parts may not all have been stored.
      if (step.spec.isGang && step.doneCount > 0)
        for (const task of step.tasks) step.markDone(task);
    }
    for (const [stepIndex, taskIndex, ...run] of doneTaskRuns ?? []) {
      const task = occurrence.steps[stepIndex].tasks[taskIndex];
      task.runs.push(restoreRun(run, monotonicMs));
    }
    for (const [stepIndex, taskIndex, ...crashes] of startCrashes ?? []) {
      const task = occurrence.steps[stepIndex].tasks[taskIndex];
      task.startCrashes = crashes.map(restoreStartCrash);
    }
    for (const [stepIndex, ...runNumbers] of failedGangRuns ?? []) {
      const step = occurrence.steps[stepIndex];
      for (const runNumber of runNumbers) step.failedGangRuns.add(runNumber);
    }
    for (const [stepIndex, taskIndex, runNumber, endStoreMs] of longLeases ??
      []) {
      const {runs} = occurrence.steps[stepIndex].tasks[taskIndex];
      const run = runs.find(each => each.runNumber === runNumber);
      if (run !== undefined) run.longLeaseEndStoreMs = endStoreMs;
    }
    job.occurrences.set(number, occurrence);
  }
  // Rows of earlier versions lack the field, but the results of runs may show it.
  job.hasStarted = (stored.hasStarted ?? false) || hasResults(job);
}

/** Checks whether any run of the job has left a result, a failure or a checkpoint. */
function hasResults({nextOccurrence, occurrences}: JobState): boolean {
  // Occurrences are removed when they are done.
  if (occurrences.size < nextOccurrence) return true;
  for (const {steps} of occurrences.values()) {
    for (const {doneCount, tasks} of steps) {
      if (doneCount > 0) return true;
      if (tasks.some(task => task.failures > 0 || task.checkpoint !== ''))
        return true;
    }
  }
  return false;
}

function toStoredTask(task: TaskState): StoredTask {
  if (task.isDone) return 1;
  const isNotStarted =
    task.runs.length === 0 && task.failures === 0 && task.checkpoint === '';
  if (isNotStarted && !task.hasRun) return 0;
  return [task.failures, task.checkpoint, ...task.runs.map(toStoredRun)];
}

function toStoredRun(run: TaskRun): StoredRun {
  const {workerId, workerStartMs, runNumber} = run;
  return run.isProven
    ? [workerId, workerStartMs, runNumber, 1]
    : [workerId, workerStartMs, runNumber];
}

/** Gets the runs of done tasks, such as copies that are being stopped. */
function getDoneTaskRuns({steps}: OccurrenceState): StoredDoneTaskRun[] {
  const stored: StoredDoneTaskRun[] = [];
  for (const step of steps) {
    for (const task of step.tasks) {
      if (!task.isDone) continue;
      for (const run of task.runs)
        stored.push([step.index, task.index, ...toStoredRun(run)]);
    }
  }
  return stored;
}

function getStartCrashes({steps}: OccurrenceState): StoredTaskCrashes[] {
  const stored: StoredTaskCrashes[] = [];
  for (const step of steps) {
    for (const task of step.tasks) {
      if (task.startCrashes.length === 0) continue;
      const crashes = task.startCrashes.map(toStoredStartCrash);
      stored.push([step.index, task.index, ...crashes]);
    }
  }
  return stored;
}

function getFailedGangRuns({steps}: OccurrenceState): StoredFailedGangRuns[] {
  return steps
    .filter(({failedGangRuns}) => failedGangRuns.size > 0)
    .map(({index, failedGangRuns}) => [index, ...failedGangRuns]);
}

function getLongLeases({steps}: OccurrenceState): StoredLongLease[] {
  const stored: StoredLongLease[] = [];
  for (const step of steps) {
    for (const task of step.tasks) {
      for (const {runNumber, longLeaseEndStoreMs} of task.runs) {
        if (longLeaseEndStoreMs === undefined) continue;
        stored.push([step.index, task.index, runNumber, longLeaseEndStoreMs]);
      }
    }
  }
  return stored;
}

function toStoredStartCrash(crash: StartCrash): StoredStartCrash {
  return [crash.workerId, crash.runNumber, crash.isAttributed ? 1 : 0];
}

function restoreStartCrash([
  workerId,
  runNumber,
  mark,
]: StoredStartCrash): StartCrash {
  return {workerId, runNumber, isAttributed: mark === 1};
}

function restoreTask(
  task: TaskState,
  stored: Exclude<StoredTask, 0 | 1>,
  monotonicMs: number,
): void {
  const [failures, checkpoint, ...runs] = stored;
  // The start command of a stored run has most probably been sent.
  task.hasRun = true;
  task.failures = failures;
  task.checkpoint = checkpoint;
  task.runs = runs.map(run => restoreRun(run, monotonicMs));
}

function restoreRun(
  [workerId, workerStartMs, runNumber, mark]: StoredRun,
  monotonicMs: number,
): TaskRun {
  const run = createTaskRun(workerId, workerStartMs, runNumber, monotonicMs);
  return {...run, isAdopted: true, isProven: mark === 1};
}

/**
 * Creates a run that no worker has confirmed yet.
 * @param workerId - Worker on which the run is placed.
 * @param workerStartMs - Start time of the worker process.
 * @param runNumber - Number of the run.
 * @param placedMs - Monotonic time of the placement.
 */
export function createTaskRun(
  workerId: string,
  workerStartMs: number,
  runNumber: number,
  placedMs: number,
): TaskRun {
  return {
    runNumber,
    workerId,
    workerStartMs,
    placedMs,
    startedMs: placedMs,
    isAdopted: false,
    isConfirmed: false,
    openStarts: 0,
    isProven: false,
    isStopping: false,
    progressPercent: 0,
    progressAgeMs: 0,
    cpuLimitPercent: 100,
    cpuLimitChangedMs: placedMs,
    usage: 0,
    previousUsage: 0,
  };
}
