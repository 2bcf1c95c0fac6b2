/** Order in which waiting work is placed. */

import {JobState, StepState} from '@mustardlug/jobs/job_state';
import {JobSpec, StepSpec} from '@mustardlug/jobs/job_spec';
import {QueueConfig} from '@mustardlug/jobs/queue_config';

/** Work of one step that waits for workers. */
export interface WaitingStep {
  readonly job: JobState;
  readonly occurrence: number;
  readonly step: StepState;
  readonly queue: QueueConfig;
  /** Wall-clock time by which the job should be done. */
  readonly objectiveMs: number;
  /** Wall-clock time after which the job earns nothing. */
  readonly lateLimitMs: number;
  /** Time that the job still needs when nothing delays it. */
  readonly remainingChainMs: number;
  /** Core-milliseconds that the job still needs. */
  readonly remainingWork: number;
}

/** A job that takes this many times its objective has lost its worth to the caller. */
const LATE_FACTOR = 3;

/** Duration that is assumed where the caller gave no estimate. */
const DEFAULT_TASK_MS = 1_000;

/** Classes of waiting work, most urgent first. */
type Outlook = 'in-time' | 'late' | 'hopeless';

const OUTLOOK_RANK: Record<Outlook, number> = {
  'in-time': 0,
  late: 1,
  hopeless: 2,
};

/**
 * Gets the expected duration of one task of a step.
 * @param step - Step of a job.
 */
export function getExpectedTaskMs(step: StepSpec): number {
  return step.estimatedMs > 0 ? step.estimatedMs : DEFAULT_TASK_MS;
}

/**
 * Gets the longest chain of work through a job's steps.
 * @param spec - Job to measure.
 * @param isDone - Tells which steps need no more time.
 */
export function getChainMs(
  spec: JobSpec,
  isDone: (stepIndex: number) => boolean = () => false,
): number {
  const finishMs: number[] = [];
  for (const [index, step] of spec.steps.entries()) {
    const starts = step.dependsOn.map(earlier => finishMs[earlier] ?? 0);
    const ownMs = isDone(index) ? 0 : getExpectedTaskMs(step);
    finishMs.push(Math.max(0, ...starts) + ownMs);
  }
  return Math.max(0, ...finishMs);
}

/**
 * Gets the time that a job may take to be worth its full value.
 * @param spec - Job to measure.
 * @param queue - Queue with the terms.
 */
export function getObjectiveMs(spec: JobSpec, queue: QueueConfig): number {
  return getChainMs(spec) * queue.stretch + queue.targetDurationMs;
}

/**
 * Describes the waiting work of a step.
 * @param job - Job of the step.
 * @param occurrence - Number of the occurrence.
 * @param step - Step with waiting tasks.
 * @param queue - Queue with the terms in force.
 */
export function createWaitingStep(
  job: JobState,
  occurrence: number,
  step: StepState,
  queue: QueueConfig,
): WaitingStep {
  const {spec} = job.accepted;
  const dueMs = job.getDueMs(occurrence);
  const objectiveMs = getObjectiveMs(spec, queue);
  const steps = job.occurrences.get(occurrence)?.steps ?? [];
  const isDone = (index: number) => steps[index]?.isDone() ?? false;
  let remainingWork = 0;
  for (const each of steps) {
    const openTasks = each.tasks.length - each.doneCount;
    remainingWork +=
      openTasks * getExpectedTaskMs(each.spec) * each.spec.needs.cpuMillis;
  }
  return {
    job,
    occurrence,
    step,
    queue,
    objectiveMs: dueMs + objectiveMs,
    lateLimitMs: dueMs + objectiveMs * LATE_FACTOR,
    remainingChainMs: getChainMs(spec, isDone),
    remainingWork,
  };
}

/**
 * Sorts waiting work: by priority, then tasks that end before those that run
 * on, then what can still be in time, then work that has begun, then by the
 * objective.
 * @param steps - Steps with waiting tasks.
 * @param wallMs - Wall-clock time.
 */
export function sortWaitingSteps(
  steps: readonly WaitingStep[],
  wallMs: number,
): WaitingStep[] {
  const ranked = steps.map(step => ({
    step,
    rank: OUTLOOK_RANK[getOutlook(step, wallMs)],
    isBegun: step.job.phase === 'running',
  }));
  ranked.sort((left, right) => {
    const byPriority = left.step.queue.priority - right.step.queue.priority;
    if (byPriority !== 0) return byPriority;
    const {isLongRunning} = left.step.step.spec;
    if (isLongRunning !== right.step.step.spec.isLongRunning)
      return isLongRunning ? 1 : -1;
    if (left.rank !== right.rank) return left.rank - right.rank;
    if (left.isBegun !== right.isBegun) return left.isBegun ? -1 : 1;
    return left.step.objectiveMs - right.step.objectiveMs;
  });
  return ranked.map(({step}) => step);
}

function getOutlook(step: WaitingStep, wallMs: number): Outlook {
  if (step.step.spec.isLongRunning) return 'in-time';
  const expectedEndMs = wallMs + step.remainingChainMs;
  if (expectedEndMs <= step.objectiveMs) return 'in-time';
  return expectedEndMs <= step.lateLimitMs ? 'late' : 'hopeless';
}
