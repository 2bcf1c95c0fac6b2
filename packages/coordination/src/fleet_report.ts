/** Formats runs and summaries of placements and of the fleet's load for the event log. */

import {JobState, TaskRun} from '@mustardlug/jobs/job_state';
import {QueueLoad} from './coordinator_status.js';
import {LeaseEnd} from './lease_end.js';
import {PassTimes} from './pass_times.js';
import {isWaitingTask, PlacedStep} from './placement_pass.js';
import {isSuspected} from './start_crashes.js';
import {WaitingStep} from './task_order.js';
import {AssignedRun, WorkerLoad} from './worker_load.js';
import {WorkerSession} from './worker_session.js';

const CPU_MILLIS_PER_CORE = 1_000;

/** Maximum number of restored jobs without a run that are listed. */
const MAX_LISTED_JOBS = 100;

/** Maximum number of workers listed for one step. */
const MAX_LISTED_WORKERS = 12;

/**
 * Formats the placement of a step: number of tasks, workers, and the inputs of the decision.
 * @param placed - Tasks of one step that were placed.
 * @param wallMs - Wall-clock time of the placement.
 */
export function formatPlacedStep(placed: PlacedStep, wallMs: number): string {
  const {waiting, workerIds, waitingCount} = placed;
  const {step, occurrence, queue, objectiveMs} = waiting;
  const distinct = [...new Set(workerIds)];
  return [
    `${occurrence}.${step.index}: ${workerIds.length} tasks on ${formatWorkers(distinct)}`,
    `${waitingCount} waiting`,
    `priority ${queue.priority}`,
    `objective in ${Math.round(objectiveMs - wallMs)} ms`,
  ].join(', ');
}

/**
 * Formats the number of cores that are free, in use or waited for, by kind of work,
 * and the calls to the workers since the previous report.
 * @param sessions - All workers.
 * @param waiting - Steps with waiting tasks.
 */
export function formatFleetLoad(
  sessions: readonly WorkerSession[],
  waiting: readonly WaitingStep[],
): string {
  const loads = sessions.map(session => session.load);
  const usable = sessions.filter(session => session.isUsable()).length;
  // The capacity of a worker that is not registered is not there to use.
  const presentLoads = sessions
    .filter(session => session.hasRegistration())
    .map(session => session.load);
  return [
    `workers ${usable} of ${sessions.length} (${countUnregistered(sessions)} not registered)`,
    `capacity ${sumCores(presentLoads, load => load.getCapacity().cpuMillis)}`,
    `free ${sumCores(presentLoads, load => load.getFreeCpuMillis())}`,
    `serving ${sumCores(loads, load => load.getServingCpuMillis())}`,
    `filler ${sumCores(loads, load => load.getFillerCpuMillis())}`,
    `paused ${sumCores(loads, getThrottledCpuMillis)}`,
    `waiting ${getWaitingCores(waiting)}`,
    formatCallCounts(sessions),
  ].join(', ');
}

/** Formats the calls to the workers since the previous report by what became of them. */
function formatCallCounts(sessions: readonly WorkerSession[]): string {
  let answered = 0;
  let refused = 0;
  let unanswered = 0;
  for (const session of sessions) {
    const counts = session.takeCallCounts();
    answered += counts.answered;
    refused += counts.refused;
    unanswered += counts.unanswered;
  }
  return `calls ${answered} answered ${refused} refused ${unanswered} unanswered`;
}

/**
 * Formats how many tasks wait for or are on trial, and how many jobs with waiting
 * tasks have no run at all.
 * @param sessions - All workers.
 * @param waiting - Steps with waiting tasks.
 */
export function formatTrials(
  sessions: readonly WorkerSession[],
  waiting: readonly WaitingStep[],
): string {
  const trials = sessions.filter(({load}) => load.hasTrial()).length;
  let suspected = 0;
  const idleJobs = new Set<JobState>();
  for (const {job, step} of waiting) {
    for (const task of step.tasks) {
      if (isWaitingTask(task) && isSuspected(task)) suspected++;
    }
    if (!job.hasRuns()) idleJobs.add(job);
  }
  return [
    `${suspected} suspected tasks waiting`,
    `${trials} workers with trials`,
    `${idleJobs.size} jobs waiting without a run`,
  ].join(', ');
}

/**
 * Counts the workers that are not registered.
 * @param sessions - All workers.
 */
export function countUnregistered(sessions: readonly WorkerSession[]): number {
  return sessions.filter(session => !session.hasRegistration()).length;
}

/**
 * Formats the cost of placement passes since the previous report.
 * @param times - Times of the passes.
 */
export function formatPassTimes(times: PassTimes): string {
  const percent = Math.round(100 * times.takeShare());
  return `passes take ${percent} % of the time, the last one ${Math.round(times.getLastMs())} ms`;
}

/**
 * Formats how many tasks the coordinator can start.
 * @param startsPerSecond - Rate while tasks that had room waited; undefined if none did.
 */
export function formatMaxStarts(startsPerSecond: number | undefined): string {
  return startsPerSecond === undefined
    ? 'starts not limited by the coordinator'
    : `starts limited by the coordinator to ${Math.round(startsPerSecond)} a second`;
}

/**
 * Formats the number of jobs that have not started, by name of the queue.
 * @param loads - Load by name of the queue.
 */
export function formatQueueLoads(
  loads: Readonly<Record<string, QueueLoad>>,
): string {
  const parts = Object.entries(loads).map(
    ([name, {waitingJobs, retryAfterMs, limit}]) =>
      retryAfterMs > 0
        ? `${name} ${waitingJobs} (refusing for ${Math.round(retryAfterMs)} ms, short of ${limit ?? 'workers'})`
        : `${name} ${waitingJobs}`,
  );
  return `jobs not started ${parts.length === 0 ? 'none' : parts.join(' ')}`;
}

/**
 * Formats what the stored state tells about the jobs that a coordinator takes over.
 * @param jobs - Restored jobs that have not ended or that have active runs.
 */
export function formatRestoredJobs(jobs: Iterable<JobState>): string {
  let jobCount = 0;
  let startedCount = 0;
  let unconfirmedCount = 0;
  const idleJobs: JobState[] = [];
  for (const job of jobs) {
    jobCount++;
    const hasRuns = job.hasRuns();
    if (job.hasStarted) startedCount++;
    else if (hasRuns) unconfirmedCount++;
    if (!hasRuns && !job.isEnded()) idleJobs.push(job);
  }
  return [
    `${jobCount} jobs`,
    `${startedCount} started`,
    `${unconfirmedCount} with runs to be confirmed`,
    `${idleJobs.length} without a run${formatOldestJobs(idleJobs)}`,
  ].join(', ');
}

function formatOldestJobs(jobs: readonly JobState[]): string {
  if (jobs.length === 0) return '';
  const sorted = [...jobs].sort(
    (left, right) => left.accepted.acceptedMs - right.accepted.acceptedMs,
  );
  const listed = sorted.slice(0, MAX_LISTED_JOBS).map(job => job.getId());
  const more = jobs.length - listed.length;
  return `: ${listed.join(' ')}${more > 0 ? ` and ${more} more` : ''}`;
}

/**
 * Formats how long runs of workers that are not registered are waited for.
 * @param orphanedRuns - Runs, with the monotonic time at which each is given up.
 * @param nowMs - Monotonic time.
 */
export function formatOrphanedRuns(
  orphanedRuns: ReadonlyMap<AssignedRun, number>,
  nowMs: number,
): string {
  const workerIds = new Set<string>();
  let lastEndMs = nowMs;
  for (const [{run}, endMs] of orphanedRuns) {
    workerIds.add(run.workerId);
    lastEndMs = Math.max(lastEndMs, endMs);
  }
  return `${orphanedRuns.size} runs on ${workerIds.size} workers that are not registered (${formatWorkers([...workerIds])}), given up in ${Math.round(lastEndMs - nowMs)} ms at the latest`;
}

function formatWorkers(workerIds: readonly string[]): string {
  const named = workerIds.slice(0, MAX_LISTED_WORKERS).join(' ');
  return workerIds.length > MAX_LISTED_WORKERS ? `${named} and more` : named;
}

function sumCores(
  loads: readonly WorkerLoad[],
  getMillis: (load: WorkerLoad) => number,
): number {
  let millis = 0;
  for (const load of loads) millis += getMillis(load);
  return Math.round(millis / CPU_MILLIS_PER_CORE);
}

/** Gets the CPU that throttled fillers leave unused, in thousandths of a core. */
function getThrottledCpuMillis(load: WorkerLoad): number {
  let millis = 0;
  for (const {step, run} of load.getFillerRuns())
    millis += (step.spec.needs.cpuMillis * (100 - run.cpuLimitPercent)) / 100;
  return millis;
}

function getWaitingCores(waiting: readonly WaitingStep[]): number {
  let millis = 0;
  for (const {step} of waiting) {
    const count = step.tasks.filter(isWaitingTask).length;
    millis += count * step.spec.needs.cpuMillis;
  }
  return Math.round(millis / CPU_MILLIS_PER_CORE);
}

/**
 * Formats when the leases of a worker expire, what determines this time, and when they
 * would without limits.
 * @param leaseEnd - End of the leases.
 * @param nowMs - Monotonic time.
 */
export function formatLeaseEnd(leaseEnd: LeaseEnd, nowMs: number): string {
  const {endMs, source, unlimitedEndMs} = leaseEnd;
  const text = `leases ${formatExpiry(endMs, nowMs)} by ${source}`;
  if (unlimitedEndMs <= endMs) return text;
  return `${text}, unlimited ${formatExpiry(unlimitedEndMs, nowMs)}`;
}

/**
 * Formats when leases expire.
 * @param endMs - Monotonic time at which they have expired.
 * @param nowMs - Monotonic time.
 */
export function formatExpiry(endMs: number, nowMs: number): string {
  const remainingMs = Math.round(endMs - nowMs);
  return remainingMs > 0
    ? `expire in ${remainingMs} ms`
    : `expired ${-remainingMs} ms ago`;
}

/**
 * Formats a run: its number, the worker process that it was sent to, and what
 * is known of it.
 * @param run - Run to format.
 */
export function formatRun(run: TaskRun): string {
  const state = [
    run.isConfirmed ? 'confirmed' : 'unconfirmed',
    ...(run.isStopping ? ['stopping'] : []),
    ...(run.openStarts > 0 ? [`${run.openStarts} open starts`] : []),
  ].join(', ');
  return `run ${run.runNumber} of process ${run.workerStartMs} (${state})`;
}
