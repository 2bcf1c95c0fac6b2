/**
 * Limits the work of a job up to which queues that are short of room accept jobs.
 *
 * Load pattern: jobs of very different sizes arrive faster than workers have room. While the smaller
 * ones still find room at once, the larger ones wait behind them until they are of no use. The
 * larger ones are therefore refused at once, all but a fixed part of them, and those that are
 * accepted end in time.
 */

import {JobSpec} from '@mustardlug/jobs/job_spec';
import {JobState} from '@mustardlug/jobs/job_state';
import {isRefusalCheaper, Outlook} from '@mustardlug/base/delay_cost';
import {isWaitingTask} from './placement_pass.js';
import {
  getCriticalPathMs,
  getDeadlineStatus,
  getExpectedTaskMs,
  getJobWork,
  getObjectiveDurationMs,
  LATE_LIMIT_FACTOR,
  WaitingStep,
} from './task_order.js';

/** Limit of a queue. */
export interface JobLimit {
  /** Work up to which all jobs are accepted, in microseconds of CPU time. */
  readonly maxJobWork: number;
  /** Time after which larger jobs are expected to be accepted again. */
  readonly jobRetryAfterMs: number;
}

/** State from which the limits are decided. */
export interface JobLimitInputs {
  /** Steps with waiting tasks, in the order of placement. */
  readonly waiting: readonly WaitingStep[];
  /** Services that are short of room, and whose queues have more than one priority. */
  readonly shortServices: ReadonlySet<string>;
  /**
   * Gets the work of a queue that is placed in a millisecond while others of it wait for room;
   * undefined if that is not known.
   */
  readonly getWorkPerMs: (queueName: string) => number | undefined;
  readonly wallMs: number;
}

/**
 * Part of the time that jobs can wait until they are of no use which they may be expected to wait.
 * The rest is for estimates that are too low by a factor of up to two, and for smaller jobs that
 * arrive meanwhile.
 */
const EXPECTED_WAIT_FRACTION = 0.3;

/** Lower limit of the wait that may be expected; a decision reaches the nodes within this time. */
const MIN_EXPECTED_WAIT_MS = 1_000;

/** Expected wait, as a fraction of the tolerable one, from which a limit is lifted. */
const LIFT_FRACTION = 0.5;

/** Factor by which a limit may rise between two decisions, which are 300 ms apart. */
const MAX_RISE = 1.15;

/**
 * Fraction of the recent jobs of a queue, the smaller ones, that are never limited: they are
 * refused only with all others, by the admission control.
 */
const FLOOR_QUANTILE = 0.5;

/** Number of recent jobs from which the floor is derived. */
const MAX_RECENT_JOBS = 200;

/** Number of recent jobs below which no limit is set, as the sizes of the others are not known. */
const MIN_RECENT_JOBS = 10;

/** Number of waiting jobs from which a limit is set: one or two may wait for reasons of their own. */
const MIN_WAITING_JOBS = 3;

/**
 * Fraction of the jobs above the limit that are accepted all the same, so that the largest jobs are
 * served half as often as the others, with a margin for those that end late.
 */
export const ACCEPTED_FRACTION = 0.55;

const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 10_000;

/** Change of a limit that is reported, as a factor. */
const MIN_REPORTED_FACTOR = 1.5;

/** State of one queue. */
interface QueueState {
  /** Work of the jobs that were seen last, without those that have no end. */
  recentWork: number[];
  maxJobWork: number;
  retryAfterMs: number;
  reportedWork: number;
}

/** Jobs of one service and priority, which compete for the same room. */
interface Group {
  readonly queueNames: Set<string>;
  /** Jobs that can still be of use. */
  readonly jobs: Map<JobState, WaitingJob>;
  /** Sum over the jobs of the time that they could wait when they were accepted. */
  toleranceMs: number;
}

interface WaitingJob {
  readonly work: number;
  readonly unplacedWork: number;
}

/** Limits of all queues, for one coordinator term. */
export class JobLimits {
  private readonly queues = new Map<string, QueueState>();
  /** Time that a new job like one that was seen may be expected to wait. */
  private readonly tolerancesMs = new WeakMap<JobState, number>();
  private changes: string[] = [];

  private constructor() {}

  /** Creates limits that accept all jobs. */
  static create(): JobLimits {
    return new JobLimits();
  }

  /**
   * Decides the limits anew.
   * @param inputs - Waiting steps and rates.
   */
  update(inputs: JobLimitInputs): void {
    this.recordJobs(inputs.waiting);
    const limitedQueues = new Set<string>();
    for (const group of this.getGroups(inputs)) {
      const workPerMs = sumRates(group, inputs);
      for (const queueName of group.queueNames) {
        limitedQueues.add(queueName);
        if (workPerMs > 0) this.updateQueue(queueName, group, workPerMs);
      }
    }
    for (const [queueName, state] of this.queues) {
      if (!limitedQueues.has(queueName))
        this.setLimit(queueName, state, Infinity, 'nothing waits for room');
    }
  }

  /** Gets the limits that are in force, by name of the queue. */
  getLimits(): Map<string, JobLimit> {
    const limits = new Map<string, JobLimit>();
    for (const [name, {maxJobWork, retryAfterMs}] of this.queues) {
      if (maxJobWork !== Infinity)
        limits.set(name, {maxJobWork, jobRetryAfterMs: retryAfterMs});
    }
    return limits;
  }

  /** Gets a description of each limit that has begun, ended or changed much since the last call. */
  takeChanges(): string[] {
    const {changes} = this;
    this.changes = [];
    return changes;
  }

  /** Records the sizes of jobs that were not seen before. */
  private recordJobs(waiting: readonly WaitingStep[]): void {
    for (const each of waiting) {
      const {job, queue} = each;
      if (this.tolerancesMs.has(job)) continue;
      this.tolerancesMs.set(job, getToleranceMs(each));
      if (!isLimitable(job.accepted.spec)) continue;
      const state = this.queues.get(queue.name) ?? {
        recentWork: [],
        maxJobWork: Infinity,
        retryAfterMs: MIN_RETRY_AFTER_MS,
        reportedWork: Infinity,
      };
      this.queues.set(queue.name, state);
      state.recentWork.push(getJobWork(job.accepted.spec));
      if (state.recentWork.length > MAX_RECENT_JOBS) state.recentWork.shift();
    }
  }

  /** Collects the jobs that can still be of use, by service and priority. */
  private getGroups({
    waiting,
    shortServices,
    wallMs,
  }: JobLimitInputs): Iterable<Group> {
    const groups = new Map<string, Group>();
    for (const each of waiting) {
      const {job, queue, step} = each;
      if (!shortServices.has(queue.serviceName)) continue;
      if (step.spec.isLongRunning || job.isEnded()) continue;
      const key = `${queue.priority} ${queue.serviceName}`;
      let group = groups.get(key);
      if (group === undefined) {
        group = {queueNames: new Set(), jobs: new Map(), toleranceMs: 0};
        groups.set(key, group);
      }
      group.queueNames.add(queue.name);
      // A job with several waiting steps counts once.
      if (group.jobs.has(job)) continue;
      if (getDeadlineStatus(each, wallMs) === 'expired') continue;
      group.jobs.set(job, {
        work: each.remainingWork,
        unplacedWork: each.remainingWork - getRunningWork(each),
      });
      group.toleranceMs += this.tolerancesMs.get(job) ?? 0;
    }
    return groups.values();
  }

  private updateQueue(
    queueName: string,
    group: Group,
    workPerMs: number,
  ): void {
    const state = this.queues.get(queueName);
    if (state === undefined) return;
    if (state.recentWork.length < MIN_RECENT_JOBS) return;
    const tolerableMs = Math.max(
      MIN_EXPECTED_WAIT_MS,
      group.jobs.size > 0 ? group.toleranceMs / group.jobs.size : 0,
    );
    const jobs = [...group.jobs.values()].sort(
      (left, right) => left.work - right.work,
    );
    const {largestInTime, totalMs} = findLargestInTime(
      jobs,
      workPerMs,
      tolerableMs,
    );
    const floor = getQuantile(state.recentWork, FLOOR_QUANTILE);
    const wanted = Math.max(floor, largestInTime);
    const isUnlimited = state.maxJobWork === Infinity;
    const isLifted =
      totalMs < tolerableMs * LIFT_FRACTION ||
      (isUnlimited && jobs.length < MIN_WAITING_JOBS);
    const largest = Math.max(...state.recentWork);
    const raised = isUnlimited
      ? Infinity
      : Math.min(state.maxJobWork * MAX_RISE, largest);
    const limit = isLifted ? Infinity : Math.min(wanted, raised);
    state.retryAfterMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, totalMs - tolerableMs * LIFT_FRACTION),
    );
    const reason = `${jobs.length} jobs wait for ${Math.round(totalMs)} ms, ${Math.round(tolerableMs)} ms are tolerable, ${formatCores(workPerMs)} cores are placed at a time`;
    this.setLimit(queueName, state, limit, reason);
  }

  private setLimit(
    queueName: string,
    state: QueueState,
    maxJobWork: number,
    reason: string,
  ): void {
    state.maxJobWork = maxJobWork;
    const {reportedWork} = state;
    if (reportedWork === maxJobWork) return;
    const isChangeOfForce =
      (reportedWork === Infinity) !== (maxJobWork === Infinity);
    const factor =
      Math.max(reportedWork, maxJobWork) / Math.min(reportedWork, maxJobWork);
    if (!isChangeOfForce && factor < MIN_REPORTED_FACTOR) return;
    state.reportedWork = maxJobWork;
    const value =
      maxJobWork === Infinity
        ? 'no limit'
        : `at most ${formatCoreSeconds(maxJobWork)} core-seconds per job`;
    this.changes.push(`${queueName}: ${value}; ${reason}`);
  }
}

/** Gets the work of the tasks of a step that run. */
function getRunningWork({step}: WaitingStep): number {
  const {spec, tasks, doneCount} = step;
  let waitingCount = 0;
  for (const task of tasks) waitingCount += Number(isWaitingTask(task));
  const runningCount = Math.max(0, tasks.length - doneCount - waitingCount);
  return runningCount * getExpectedTaskMs(spec) * spec.needs.cpuMillis;
}

/** Gets for how long a new job like that of a step may be expected to wait. */
function getToleranceMs({job, queue}: WaitingStep): number {
  const {spec} = job.accepted;
  const outlook: Outlook = {
    priority: queue.priority,
    slackMs: getObjectiveDurationMs(spec, queue) - getCriticalPathMs(spec),
    lateSlackMs:
      getObjectiveDurationMs(spec, queue) * LATE_LIMIT_FACTOR -
      getCriticalPathMs(spec),
    remainingWork: getJobWork(spec),
  };
  const limitMs = isRefusalCheaper(outlook, outlook.slackMs + 1)
    ? outlook.slackMs
    : outlook.lateSlackMs;
  return limitMs * EXPECTED_WAIT_FRACTION;
}

function sumRates({queueNames}: Group, {getWorkPerMs}: JobLimitInputs): number {
  let workPerMs = 0;
  for (const queueName of queueNames) workPerMs += getWorkPerMs(queueName) ?? 0;
  return workPerMs;
}

/**
 * Finds the work below which a new job, behind all jobs of as much work, can be expected to wait for a
 * tolerable time.
 */
function findLargestInTime(
  jobs: readonly WaitingJob[],
  workPerMs: number,
  tolerableMs: number,
): {largestInTime: number; totalMs: number} {
  let smallestTooLate = Infinity;
  let totalMs = 0;
  for (const {work, unplacedWork} of jobs) {
    totalMs += unplacedWork / workPerMs;
    if (totalMs > tolerableMs)
      smallestTooLate = Math.min(smallestTooLate, work);
  }
  return {largestInTime: smallestTooLate - 1, totalMs};
}

function getQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) * quantile)];
}

function formatCores(workPerMs: number): string {
  return (workPerMs / 1_000).toFixed(1);
}

function formatCoreSeconds(work: number): string {
  return (work / 1_000_000).toFixed(1);
}

/** Checks whether the work of a job is limited: its tasks end, and it is not repeated. */
function isLimitable({steps, schedule}: JobSpec): boolean {
  return schedule === undefined && !steps.some(step => step.isLongRunning);
}

/**
 * Checks whether a queue with a limit refuses a job. All nodes decide alike, also when the same
 * job is submitted again.
 * @param jobId - Identifier of the job, 16 hexadecimal digits.
 * @param spec - Job.
 * @param maxJobWork - Limit of the queue; undefined if there is none.
 */
export function isAboveLimit(
  jobId: string,
  spec: JobSpec,
  maxJobWork: number | undefined,
): boolean {
  if (maxJobWork === undefined || !isLimitable(spec)) return false;
  return getJobWork(spec) > maxJobWork && !isAcceptedAboveLimit(jobId);
}

/** Selects a fixed part of all jobs by their identifiers. */
function isAcceptedAboveLimit(jobId: string): boolean {
  let hash = 0;
  for (const character of jobId)
    hash = (Math.imul(hash, 31) + character.charCodeAt(0)) >>> 0;
  // The low bits of a polynomial hash depend on few characters.
  const mixed = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d) >>> 0;
  return mixed / 2 ** 32 < ACCEPTED_FRACTION;
}
