/** Schemas of the stored rows of jobs. Another writer may have written a row. */

import {
  createInvalidInputError,
  FieldProblem,
  InvalidInputError,
} from '@mustardlug/base/errors';
import {createBoundedArraySchema} from '@mustardlug/base/json_reader';
import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {
  decodeRowValue,
  StoredDoneTaskRun,
  StoredFailedGangRuns,
  StoredJob,
  StoredLongLease,
  StoredOccurrence,
  StoredProgress,
  StoredRun,
  StoredStartCrash,
  StoredTask,
  StoredTaskCrashes,
} from './job_codec.js';
import {JobSpec, MAX_JOB_TASKS, validateJobSpec} from './job_spec.js';
import {StoredPart} from './progress_parts.js';

const countSchema = z.number().int().nonnegative();
const amountSchema = z.number().nonnegative();

const stepSchema = z.object({
  taskCount: countSchema,
  needs: z.object({
    cpuMillis: amountSchema,
    memoryMb: amountSchema,
    accelerators: amountSchema,
  }),
  estimatedMs: amountSchema,
  dependsOn: z.array(countSchema),
  isCheckpointing: z.boolean(),
  isGang: z.boolean(),
  isSameRackPreferred: z.boolean(),
  requiredLabel: z.string().optional(),
  dataRack: z.string().optional(),
  maxPerWorker: countSchema,
  isSpeculative: z.boolean(),
  isLongRunning: z.boolean(),
  image: z.string().optional(),
  targetResponseMs: amountSchema,
  isFiller: z.boolean(),
  maxUnavailable: countSchema.optional(),
});

const specSchema = z.object({
  specification: z.string(),
  steps: createBoundedArraySchema(stepSchema, MAX_JOB_TASKS),
  schedule: z
    .object({
      repetitions: countSchema,
      firstRunMs: z.number(),
      intervalMs: z.number(),
    })
    .optional(),
});

const queueSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  serviceName: z.string(),
  priority: z.number(),
  maxAttempts: z.number(),
  stretch: z.number(),
  targetDurationMs: z.number(),
  advice: z
    .object({
      decisionMs: z.number(),
      perWorkerMs: z.number(),
      validityMs: z.number(),
    })
    .optional(),
});

const storedJobSchema: z.ZodType<StoredJob> = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('accepted'),
    job: z.object({
      spec: specSchema,
      queue: queueSchema,
      acceptedMs: z.number(),
    }),
  }),
  z.object({kind: z.literal('refused')}),
]);

/** Fields of an occurrence or a part that name tasks. */
const taskDetailSchemas = {
  doneTaskRuns: z
    .custom<StoredDoneTaskRun[]>(
      value => isListOf(value, isDoneTaskRun),
      'expected a list of runs',
    )
    .optional(),
  startCrashes: z
    .custom<StoredTaskCrashes[]>(
      value => isListOf(value, isTaskCrashes),
      'expected a list of crashes',
    )
    .optional(),
  failedGangRuns: z
    .custom<StoredFailedGangRuns[]>(
      value => isListOf(value, isFailedGangRuns),
      'expected a list of failed runs',
    )
    .optional(),
  longLeases: z
    .custom<StoredLongLease[]>(
      value => isListOf(value, isLongLease),
      'expected a list of leases',
    )
    .optional(),
};

const occurrenceSchema = z.object({
  number: countSchema,
  layoutId: z.string().optional(),
  // Checked by functions, as a large job has thousands of tasks.
  steps: z.custom<StoredTask[][]>(isStoredSteps, 'expected lists of tasks'),
  ...taskDetailSchemas,
});

const partSchema: z.ZodType<StoredPart> = z.object({
  tasks: z.custom<StoredTask[]>(
    value => isListOf(value, isStoredTask),
    'expected a list of tasks',
  ),
  ...taskDetailSchemas,
});

const progressSchema: z.ZodType<StoredProgress> = z.object({
  phase: z.enum(['pending', 'running', 'completed', 'failed', 'cancelled']),
  nextOccurrence: countSchema,
  occurrences: createBoundedArraySchema(occurrenceSchema, MAX_JOB_TASKS),
  hasStarted: z.literal(true).optional(),
  endedMs: z.number().optional(),
  failureReason: z.string().optional(),
});

/**
 * Decodes a row of the job table.
 * @param jobId - Key of the row.
 * @param value - Stored bytes.
 */
export function decodeStoredJob(
  jobId: string,
  value: Buffer,
): Result<StoredJob, InvalidInputError> {
  const subject = `job row ${jobId}`;
  const decoded = decodeRowValue(subject, storedJobSchema, value);
  return decoded.andThen(stored => {
    if (stored.kind === 'refused') return ok(stored);
    return validateJobSpec(stored.job.spec).map(() => stored);
  });
}

/**
 * Decodes the progress of a job without comparing it with the job's specification.
 * @param jobId - Key of the row.
 * @param value - Stored bytes.
 */
export function decodeStoredProgress(
  jobId: string,
  value: Buffer,
): Result<StoredProgress, InvalidInputError> {
  return decodeRowValue(`progress row ${jobId}`, progressSchema, value);
}

/**
 * Decodes a part of the progress of a job.
 * @param key - Key of the row.
 * @param value - Stored bytes.
 */
export function decodeStoredPart(
  key: string,
  value: Buffer,
): Result<StoredPart, InvalidInputError> {
  return decodeRowValue(`progress part ${key}`, partSchema, value);
}

/**
 * Checks that progress covers exactly the tasks of a job, so that no task that is
 * done is taken for one that has not started.
 * @param jobId - Identifier of the job.
 * @param progress - Decoded progress.
 * @param spec - Specification of the job.
 */
export function validateProgress(
  jobId: string,
  progress: StoredProgress,
  spec: JobSpec,
): Result<StoredProgress, InvalidInputError> {
  const problem = findProgressProblem(progress, spec);
  if (problem === undefined) return ok(progress);
  return err(createInvalidInputError(`progress row ${jobId}`, [problem]));
}

function findProgressProblem(
  {occurrences, nextOccurrence}: StoredProgress,
  spec: JobSpec,
): FieldProblem | undefined {
  const numbers = new Set<number>();
  for (const [index, occurrence] of occurrences.entries()) {
    const path = `occurrences.${index}`;
    const {number} = occurrence;
    if (number >= nextOccurrence || numbers.has(number))
      return createMismatch(path, 'a number of its own that was due');
    numbers.add(number);
    if (!coversSteps(occurrence, spec))
      return createMismatch(path, 'the steps and tasks of the job');
    if (!namesKnownTasks(occurrence))
      return createMismatch(
        path,
        'runs, crashes, failures and leases of tasks of the job',
      );
  }
  return undefined;
}

function createMismatch(path: string, expected: string): FieldProblem {
  const remedy = 'restore the row, or cancel the job';
  return {path, expected: `expected ${expected}`, remedy};
}

function coversSteps({steps}: StoredOccurrence, spec: JobSpec): boolean {
  return (
    steps.length === spec.steps.length &&
    steps.every((tasks, index) => tasks.length === spec.steps[index].taskCount)
  );
}

function namesKnownTasks(occurrence: StoredOccurrence): boolean {
  const {
    steps,
    doneTaskRuns = [],
    startCrashes = [],
    failedGangRuns = [],
    longLeases = [],
  } = occurrence;
  for (const [stepIndex, taskIndex] of doneTaskRuns) {
    if (steps[stepIndex]?.[taskIndex] !== 1) return false;
  }
  for (const [stepIndex, taskIndex] of [...startCrashes, ...longLeases]) {
    if (steps[stepIndex]?.[taskIndex] === undefined) return false;
  }
  return failedGangRuns.every(([stepIndex]) => steps[stepIndex] !== undefined);
}

function isListOf<T>(
  value: unknown,
  isElement: (element: unknown) => element is T,
): value is T[] {
  return Array.isArray(value) && value.every(isElement);
}

function isStoredSteps(value: unknown): value is StoredTask[][] {
  return isListOf(value, (tasks): tasks is StoredTask[] =>
    isListOf(tasks, isStoredTask),
  );
}

function isStoredTask(value: unknown): value is StoredTask {
  if (value === 0 || value === 1) return true;
  if (!Array.isArray(value)) return false;
  const [failures, checkpoint, ...runs] = value as unknown[];
  return (
    isCount(failures) &&
    typeof checkpoint === 'string' &&
    isListOf(runs, isStoredRun)
  );
}

function isStoredRun(value: unknown): value is StoredRun {
  if (!Array.isArray(value)) return false;
  const [workerId, workerStartMs, runNumber, proven] = value as unknown[];
  return (
    typeof workerId === 'string' &&
    typeof workerStartMs === 'number' &&
    Number.isFinite(workerStartMs) &&
    isCount(runNumber) &&
    (proven === undefined || proven === 1)
  );
}

function isDoneTaskRun(value: unknown): value is StoredDoneTaskRun {
  if (!Array.isArray(value)) return false;
  const [stepIndex, taskIndex, ...run] = value as unknown[];
  return isCount(stepIndex) && isCount(taskIndex) && isStoredRun(run);
}

function isTaskCrashes(value: unknown): value is StoredTaskCrashes {
  if (!Array.isArray(value)) return false;
  const [stepIndex, taskIndex, ...crashes] = value as unknown[];
  return (
    isCount(stepIndex) &&
    isCount(taskIndex) &&
    isListOf(crashes, isStoredStartCrash)
  );
}

function isLongLease(value: unknown): value is StoredLongLease {
  return isListOf(value, isCount) && value.length === 4;
}

function isFailedGangRuns(value: unknown): value is StoredFailedGangRuns {
  return isListOf(value, isCount) && value.length > 0;
}

function isStoredStartCrash(value: unknown): value is StoredStartCrash {
  if (!Array.isArray(value) || value.length !== 3) return false;
  const [workerId, runNumber, mark] = value as unknown[];
  return (
    typeof workerId === 'string' &&
    isCount(runNumber) &&
    (mark === 0 || mark === 1)
  );
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
