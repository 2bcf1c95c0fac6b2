/** Determines the order in which waiting steps are placed. */

import {
  DeadlineStatus,
  getDeadlineStatus as getOutlookStatus,
  getUrgency,
  Outlook,
} from '@mustardlug/base/delay_cost';
import {JobState, StepState, TaskState} from '@mustardlug/jobs/job_state';
import {JobSpec, StepSpec} from '@mustardlug/jobs/job_spec';
import {QueueConfig} from '@mustardlug/jobs/queue_config';
import {isSuspected} from './start_crashes.js';

/** A step with waiting tasks, and the values by which it is ordered. */
export interface WaitingStep {
  readonly job: JobState;
  readonly occurrence: number;
  readonly step: StepState;
  readonly queue: QueueConfig;
  /** Wall-clock time of the job's objective, up to which it earns its full value. */
  readonly objectiveMs: number;
  /** Wall-clock time after which the job earns no value. */
  readonly lateLimitMs: number;
  /** Length of the critical path through the unfinished steps of the job. */
  readonly remainingCriticalPathMs: number;
  /** Expected CPU time of the job's unfinished tasks, in microseconds. */
  readonly remainingWork: number;
  /** Whether a waiting task is placed before others: a suspected or an interrupted one. */
  readonly hasPrecedingTask: boolean;
}

/** Multiple of its objective after which a job has no value to the caller. */
export const LATE_LIMIT_FACTOR = 3;

/** Duration that is assumed for tasks without an estimate from the caller. */
const DEFAULT_TASK_MS = 1_000;

/** Time after which callers may hold a late job for lost, with time to start it before. */
const MAX_LATE_WAIT_MS = 10_000;

/** Which services are short of room, so that their batch steps are placed by the cost of a delay. */
export interface Shortage {
  readonly services: ReadonlySet<string>;
  /** Gets the work as which a larger job counts that is protected; undefined if it is not. */
  readonly getProtectedWork?: (waiting: WaitingStep) => number | undefined;
}

const NO_SHORTAGE: Shortage = {services: new Set()};

const DEADLINE_STATUS_RANK: Record<DeadlineStatus, number> = {
  'in-time': 0,
  late: 1,
  expired: 2,
};

/**
 * Gets the expected duration of one task of a step.
 * @param step - Step of a job.
 */
export function getExpectedTaskMs(step: StepSpec): number {
  return step.estimatedMs > 0 ? step.estimatedMs : DEFAULT_TASK_MS;
}

/**
 * Gets the length of the critical path through a job's steps.
 * @param spec - Specification of the job.
 * @param isDone - Returns whether a step is done and counts as zero.
 */
export function getCriticalPathMs(
  spec: JobSpec,
  isDone: (stepIndex: number) => boolean = () => false,
): number {
  const finishMs: number[] = [];
  for (const [index, step] of spec.steps.entries()) {
    const starts = step.dependsOn.map(earlier => finishMs[earlier] ?? 0);
    const taskMs = isDone(index) ? 0 : getExpectedTaskMs(step);
    finishMs.push(Math.max(0, ...starts) + taskMs);
  }
  return Math.max(0, ...finishMs);
}

/**
 * Gets the duration up to which a job earns its full value.
 * @param spec - Specification of the job.
 * @param queue - Configuration of the queue.
 */
export function getObjectiveDurationMs(
  spec: JobSpec,
  queue: QueueConfig,
): number {
  return getCriticalPathMs(spec) * queue.stretch + queue.targetDurationMs;
}

/**
 * Gets the CPU time that all tasks of a job are expected to use, in microseconds.
 * @param spec - Specification of the job.
 */
export function getJobWork({steps}: JobSpec): number {
  let work = 0;
  for (const step of steps)
    work += step.taskCount * getExpectedTaskMs(step) * step.needs.cpuMillis;
  return work;
}

/**
 * Creates the description of a step with waiting tasks.
 * @param job - Job of the step.
 * @param occurrence - Number of the occurrence.
 * @param step - Step with waiting tasks.
 * @param queue - Queue configuration in force for the job.
 */
export function createWaitingStep(
  job: JobState,
  occurrence: number,
  step: StepState,
  queue: QueueConfig,
): WaitingStep {
  const {spec} = job.accepted;
  const dueMs = job.getDueMs(occurrence);
  const objectiveDurationMs = getObjectiveDurationMs(spec, queue);
  const steps = job.occurrences.get(occurrence)?.steps ?? [];
  const isDone = (index: number) => steps[index]?.isDone() ?? false;
  let remainingWork = 0;
  for (const each of steps) {
    const unfinishedTasks = each.tasks.length - each.doneCount;
    remainingWork +=
      unfinishedTasks *
      getExpectedTaskMs(each.spec) *
      each.spec.needs.cpuMillis;
  }
  return {
    job,
    occurrence,
    step,
    queue,
    objectiveMs: dueMs + objectiveDurationMs,
    lateLimitMs: dueMs + objectiveDurationMs * LATE_LIMIT_FACTOR,
    remainingCriticalPathMs: getCriticalPathMs(spec, isDone),
    remainingWork,
    hasPrecedingTask: step.tasks.some(task => isPreceding(task, step.spec)),
  };
}

function isPreceding(task: TaskState, {isLongRunning}: StepSpec): boolean {
  return isSuspected(task) || (isLongRunning && task.hasRun);
}

/** A step with what it is sorted by. */
interface RankedStep {
  readonly step: WaitingStep;
  readonly rank: number;
  readonly isStarted: boolean;
  /** Absent unless the step is placed by the cost of a delay. */
  readonly urgency?: number;
}

/**
 * Sorts waiting steps by queue priority; then batch steps before long-running
 * steps; then by deadline status; then steps of running jobs before those of
 * jobs that have not started; then by earliest objective. Batch steps of services that are short
 * of room follow the others of their priority, sorted by the cost of a delay.
 * @param steps - Steps with waiting tasks.
 * @param wallMs - Wall-clock time.
 * @param shortage - Services that are short of room.
 */
export function sortWaitingSteps(
  steps: readonly WaitingStep[],
  wallMs: number,
  shortage = NO_SHORTAGE,
): WaitingStep[] {
  const ranked = steps.map(step => rankStep(step, wallMs, shortage));
  ranked.sort(compareRankedSteps);
  return ranked.map(({step}) => step);
}

function rankStep(
  step: WaitingStep,
  wallMs: number,
  {services, getProtectedWork}: Shortage,
): RankedStep {
  const rank = DEADLINE_STATUS_RANK[getDeadlineStatus(step, wallMs)];
  const isStarted = step.job.phase === 'running';
  const isShort =
    !step.step.spec.isLongRunning && services.has(step.queue.serviceName);
  if (!isShort) return {step, rank, isStarted};
  const urgency = getUrgency(
    getOutlook(step, wallMs, getProtectedWork?.(step)),
  );
  return {step, rank, isStarted, urgency};
}

function compareRankedSteps(left: RankedStep, right: RankedStep): number {
  const byPriority = left.step.queue.priority - right.step.queue.priority;
  if (byPriority !== 0) return byPriority;
  const {isLongRunning} = left.step.step.spec;
  if (isLongRunning !== right.step.step.spec.isLongRunning)
    return isLongRunning ? 1 : -1;
  if (left.urgency !== undefined || right.urgency !== undefined) {
    // Steps of services that are not short find room anyway.
    const byUrgency = (right.urgency ?? Infinity) - (left.urgency ?? Infinity);
    if (byUrgency !== 0) return byUrgency;
  } else {
    if (left.rank !== right.rank) return left.rank - right.rank;
    if (left.isStarted !== right.isStarted) return left.isStarted ? -1 : 1;
  }
  return left.step.objectiveMs - right.step.objectiveMs;
}

/**
 * Gets what is known of the job of a step at a time.
 * @param step - Step with waiting tasks.
 * @param wallMs - Wall-clock time.
 * @param protectedWork - Work as which the job counts if it has more.
 */
export function getOutlook(
  step: WaitingStep,
  wallMs: number,
  protectedWork?: number,
): Outlook {
  const expectedEndMs = wallMs + step.remainingCriticalPathMs;
  return {
    priority: step.queue.priority,
    slackMs: step.objectiveMs - expectedEndMs,
    lateSlackMs: step.lateLimitMs - expectedEndMs,
    remainingWork: step.remainingWork,
    protectedWork,
  };
}

/**
 * Checks whether a step is placed without waiting for a pass over all steps: batch work
 * of the first priority that is not overdue.
 * @param step - Step with waiting tasks.
 * @param topPriority - Priority of the queues that come first.
 * @param wallMs - Wall-clock time.
 */
export function isUrgent(
  step: WaitingStep,
  topPriority: number,
  wallMs: number,
): boolean {
  const {isFiller, isLongRunning} = step.step.spec;
  if (isFiller || isLongRunning || step.hasPrecedingTask) return false;
  return step.queue.priority <= topPriority && !isOverdue(step, wallMs);
}

/**
 * Checks whether a step has waited too long: its job will earn nothing, or it is
 * late and was due so long ago that callers may hold it for lost.
 * @param step - Step with waiting tasks.
 * @param wallMs - Wall-clock time.
 */
export function isOverdue(step: WaitingStep, wallMs: number): boolean {
  const status = getDeadlineStatus(step, wallMs);
  if (status !== 'late') return status === 'expired';
  return wallMs - step.job.getDueMs(step.occurrence) > MAX_LATE_WAIT_MS;
}

/**
 * Gets how a step is expected to end relative to its objective and late limit.
 * @param step - Step with waiting tasks.
 * @param wallMs - Wall-clock time.
 */
export function getDeadlineStatus(
  step: WaitingStep,
  wallMs: number,
): DeadlineStatus {
  if (step.step.spec.isLongRunning) return 'in-time';
  return getOutlookStatus(getOutlook(step, wallMs));
}
