/** Specification of a job: a DAG of steps, each with a number of identical tasks. */

import {err, ok, Result} from 'neverthrow';
import {
  createInvalidInputError,
  FieldProblem,
  InvalidInputError,
} from '@mustardlug/base/errors';

/** Resource requirements of one task. */
export interface ResourceRequirements {
  /** CPU request in millicores. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** One step of a job. */
export interface StepSpec {
  readonly taskCount: number;
  readonly needs: ResourceRequirements;
  /** Estimated duration of one task, as given by the caller; 0 if unspecified. */
  readonly estimatedMs: number;
  /** Indexes of the steps that must be done before this one starts; all precede it. */
  readonly dependsOn: readonly number[];
  /** Whether tasks save checkpoints from which a later run can resume. */
  readonly isCheckpointing: boolean;
  /** Whether the tasks are gang-scheduled: all run at the same time and end together. */
  readonly isGang: boolean;
  /** Whether to place all tasks on one rack, because they run more slowly across racks. */
  readonly isSameRackPreferred: boolean;
  /** Label that a worker must have to run the tasks. */
  readonly requiredLabel?: string;
  /** Rack that stores the step's data; tasks on other racks run more slowly. */
  readonly dataRack?: string;
  /** Maximum number of the step's tasks on one worker; 0 means no limit. */
  readonly maxPerWorker: number;
  /** Whether speculative copies of a task may run; the first to finish provides the result. */
  readonly isSpeculative: boolean;
  /** Whether tasks run until the job is cancelled and are restarted if they end earlier. */
  readonly isLongRunning: boolean;
  /** Image that the tasks run; tasks with the same image have similar resource usage. */
  readonly image?: string;
  /** Response time objective of a long-running task; 0 if it has none. */
  readonly targetResponseMs: number;
  /** Whether the tasks are best-effort: they run on CPU capacity that other tasks leave unused. */
  readonly isFiller: boolean;
  /** Maximum number of tasks of a long-running step that the scheduler may stop at the same time; undefined means no limit. */
  readonly maxUnavailable?: number;
}

/** Schedule of a repeated job. */
export interface RepeatSchedule {
  readonly repetitions: number;
  /** Wall-clock time of the first occurrence, in milliseconds since the Unix epoch. */
  readonly firstRunMs: number;
  readonly intervalMs: number;
}

/** Job as submitted by a caller. */
export interface JobSpec {
  /** Opaque text that is passed to every task. */
  readonly specification: string;
  readonly steps: readonly StepSpec[];
  readonly schedule?: RepeatSchedule;
}

/**
 * Maximum number of tasks of all steps. The progress of a job with as many active
 * tasks still fits into one row of the store.
 */
export const MAX_JOB_TASKS = 2_000;

/** Maximum number of steps of a job. */
export const MAX_STEPS = 100;

/** Measured in UTF-8. */
const MAX_SPECIFICATION_BYTES = 4_000;

/**
 * Validates the constraints that a schema cannot express: size limits and the
 * order of dependent steps.
 * @param spec - Job to check.
 */
export function validateJobSpec(
  spec: JobSpec,
): Result<JobSpec, InvalidInputError> {
  const problems: FieldProblem[] = [];
  if (Buffer.byteLength(spec.specification) > MAX_SPECIFICATION_BYTES) {
    problems.push({
      path: 'specification',
      expected: `expected at most ${MAX_SPECIFICATION_BYTES} bytes`,
      remedy:
        'shorten it, or store the text elsewhere and pass a reference to it',
    });
  }
  if (spec.steps.length === 0 || spec.steps.length > MAX_STEPS) {
    problems.push({
      path: 'steps',
      expected: `expected 1 to ${MAX_STEPS} steps`,
      remedy: 'split the job or add a step',
    });
  }
  for (const [index, step] of spec.steps.entries()) {
    problems.push(...getStepProblems(step, index));
  }
  if (getTaskCount(spec) > MAX_JOB_TASKS) {
    problems.push({
      path: 'steps',
      expected: `expected at most ${MAX_JOB_TASKS} tasks in all steps, got ${getTaskCount(spec)}`,
      remedy: 'split the job',
    });
  }
  if (problems.length === 0) return ok(spec);
  return err(createInvalidInputError('the job', problems));
}

/**
 * Gets the number of tasks of all steps, in one occurrence of the job.
 * @param spec - Job to count.
 */
export function getTaskCount({steps}: JobSpec): number {
  let count = 0;
  for (const {taskCount} of steps) count += taskCount;
  return count;
}

function getStepProblems(step: StepSpec, index: number): FieldProblem[] {
  const problems: FieldProblem[] = [];
  if (step.taskCount < 1) {
    problems.push({
      path: `steps.${index}.count`,
      expected: 'expected at least 1 task',
      remedy: 'remove the step or give it a task',
    });
  }
  if (step.dependsOn.some(earlier => earlier >= index || earlier < 0)) {
    problems.push({
      path: `steps.${index}.after`,
      expected: 'expected indexes of earlier steps',
      remedy: 'order the steps so that each one follows its dependencies',
    });
  }
  return problems;
}
