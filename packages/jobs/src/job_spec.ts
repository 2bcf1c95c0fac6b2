/** What a caller asks for: a job of steps, each of which has many equal tasks. */

import {err, ok, Result} from 'neverthrow';
import {
  createInvalidInputError,
  FieldProblem,
  InvalidInputError,
} from '@mustardlug/base/errors';

/** Resources that one task occupies while it runs. */
export interface TaskNeeds {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** One step of a job. */
export interface StepSpec {
  readonly taskCount: number;
  readonly needs: TaskNeeds;
  /** Rough duration of one task as the caller expects it; 0 when not given. */
  readonly estimatedMs: number;
  /** Numbers of the earlier steps that must be done first. */
  readonly dependsOn: readonly number[];
  /** Whether tasks save checkpoints from which they can resume. */
  readonly isCheckpointing: boolean;
  /** Whether all tasks must run at the same time and end together. */
  readonly isGang: boolean;
  /** Whether the tasks slow down when they run on more than one rack. */
  readonly isSameRackPreferred: boolean;
  /** Label that the worker must carry. */
  readonly requiredLabel?: string;
  /** Rack that holds the step's data; other racks are slower. */
  readonly dataRack?: string;
  /** Most tasks of the step on one worker; 0 means no limit. */
  readonly maxPerWorker: number;
  /** Whether several copies of a task may run, of which the first to finish counts. */
  readonly isSpeculative: boolean;
  /** Whether tasks run until the job is cancelled and are restarted when they end. */
  readonly isLongRunning: boolean;
  /** Name of what the tasks run; tasks of one image behave alike. */
  readonly image?: string;
  /** Response time that a long-running task must keep; 0 when it has no target. */
  readonly targetResponseMs: number;
  /** Whether the tasks run in capacity that other tasks leave unused. */
  readonly isFiller: boolean;
  /** Tasks of a long-running step that the scheduler may take down at once; undefined means no limit. */
  readonly maxUnavailable?: number;
}

/** When the steps of a job run repeatedly. */
export interface RepeatSchedule {
  readonly repetitions: number;
  /** Wall-clock time of the first occurrence, in milliseconds since the Unix epoch. */
  readonly firstRunMs: number;
  readonly intervalMs: number;
}

/** A job as its caller submitted it. */
export interface JobSpec {
  /** Opaque text that every task receives. */
  readonly specification: string;
  readonly steps: readonly StepSpec[];
  readonly schedule?: RepeatSchedule;
}

/** Largest number of tasks in one step. */
const MAX_STEP_TASKS = 10_000;

/** Largest number of steps in one job. */
const MAX_STEPS = 100;

/** Largest specification, in UTF-8 bytes. */
const MAX_SPECIFICATION_BYTES = 4_000;

/**
 * Checks what a schema cannot express: limits and the order of steps.
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
      remedy: 'shorten it, or store the text elsewhere and pass its name',
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
  if (problems.length === 0) return ok(spec);
  return err(createInvalidInputError('the job', problems));
}

function getStepProblems(step: StepSpec, index: number): FieldProblem[] {
  const problems: FieldProblem[] = [];
  if (step.taskCount < 1 || step.taskCount > MAX_STEP_TASKS) {
    problems.push({
      path: `steps.${index}.count`,
      expected: `expected 1 to ${MAX_STEP_TASKS} tasks`,
      remedy: 'split the step',
    });
  }
  if (step.dependsOn.some(earlier => earlier >= index || earlier < 0)) {
    problems.push({
      path: `steps.${index}.after`,
      expected: 'expected numbers of earlier steps',
      remedy: 'order the steps so that each one follows those it needs',
    });
  }
  return problems;
}
