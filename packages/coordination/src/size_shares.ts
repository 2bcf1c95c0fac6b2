/**
 * Protects the largest jobs of a queue that are served too seldom.
 *
 * Load pattern: so many jobs arrive for so long that the small ones alone take all room. Those
 * that need most work then wait behind them until they are of no use, however few of them are
 * accepted.
 */

import {JobState} from '@mustardlug/jobs/job_state';
import {getJobWork, getOutlook, WaitingStep} from './task_order.js';

/** State from which the shares are measured. */
export interface SizeShareInputs {
  readonly waiting: readonly WaitingStep[];
  /** Services that are short of room. */
  readonly shortServices: ReadonlySet<string>;
  /** Gets the CPU that tasks of a queue get while others of it wait, in thousandths of a core. */
  readonly getCpuMillis: (queueName: string) => number | undefined;
  /** Gets the part of the jobs of as much work that the nodes accept. */
  readonly getAcceptedFraction: (queueName: string, work: number) => number;
  readonly wallMs: number;
}

/** Parts of the jobs, by size, that have to be served: the largest tenth, and the fifth below it. */
const CLASS_BOUNDS: ReadonlyArray<{from: number; to: number}> = [
  {from: 0.7, to: 0.9},
  {from: 0.9, to: 1},
];

/**
 * Share of the queue's success under which a class is protected. It must not fall below one half;
 * the rest covers the delay until its jobs have ended.
 */
const MIN_SHARE = 0.6;

/**
 * Part of the CPU of a queue that protected jobs may take. If all large jobs were protected, each would
 * progress a little, none would end in time, and the small ones would wait as well.
 */
const MAX_PROTECTED_FRACTION = 0.35;

/** Number of outcomes from which shares are measured, and that are kept. */
const MIN_OUTCOMES = 30;
const MAX_OUTCOMES = 200;

/** Time for which outcomes count. */
const WINDOW_MS = 60_000;

/** A job that is over for its caller. */
interface Outcome {
  readonly atMs: number;
  readonly work: number;
  /** Number of submitted jobs that the job stands for, as others were refused. */
  readonly weight: number;
  readonly isUseful: boolean;
}

interface OpenJob {
  readonly queueName: string;
  readonly lateLimitMs: number;
  readonly work: number;
  readonly weight: number;
}

/** From which work on jobs are protected, and the work as which they count. */
interface Protection {
  readonly fromWork: number;
  readonly countsAs: number;
}

/** Shares of the sizes in what is served, by queue, for one coordinator term. */
export class SizeShares {
  private readonly openJobs = new Map<JobState, OpenJob>();
  private readonly seenJobs = new WeakSet<JobState>();
  private readonly outcomes = new Map<string, Outcome[]>();
  /** Protected jobs, and the work as which they count. */
  private protectedJobs: ReadonlyMap<JobState, number> = new Map();

  private constructor() {}

  /** Creates shares that protect no job. */
  static create(): SizeShares {
    return new SizeShares();
  }

  /**
   * Measures the shares anew.
   * @param inputs - Waiting steps.
   */
  update(inputs: SizeShareInputs): void {
    this.addJobs(inputs);
    this.recordOutcomes(inputs.wallMs);
    const protectedJobs = new Map<JobState, number>();
    for (const [queueName, outcomes] of this.outcomes) {
      const recent = outcomes
        .filter(({atMs}) => inputs.wallMs - atMs <= WINDOW_MS)
        .slice(-MAX_OUTCOMES);
      this.outcomes.set(queueName, recent);
      const protection = findProtection(recent);
      if (protection === undefined) continue;
      for (const job of this.selectJobs(queueName, protection, inputs))
        protectedJobs.set(job, protection.countsAs);
    }
    this.protectedJobs = protectedJobs;
  }

  /**
   * Gets the work as which the job of a step counts in the order of placement; undefined if it counts
   * with all its work.
   * @param waiting - Step with waiting tasks.
   */
  getProtectedWork({job}: WaitingStep): number | undefined {
    return this.protectedJobs.get(job);
  }

  /**
   * Selects the jobs to protect: those that are protected already, then those that have most time
   * left, which are most likely to end in time.
   */
  private selectJobs(
    queueName: string,
    {fromWork}: Protection,
    {waiting, wallMs, getCpuMillis}: SizeShareInputs,
  ): Set<JobState> {
    const candidates = waiting.filter(
      ({job, queue, step}) =>
        queue.name === queueName &&
        !job.isEnded() &&
        !step.spec.isLongRunning &&
        getJobWork(job.accepted.spec) >= fromWork,
    );
    const ranked = candidates
      .map(each => ({
        job: each.job,
        isProtected: this.protectedJobs.has(each.job),
        slackMs: getOutlook(each, wallMs).lateSlackMs,
      }))
      .filter(({slackMs}) => slackMs >= 0);
    ranked.sort((left, right) => {
      if (left.isProtected !== right.isProtected)
        return left.isProtected ? -1 : 1;
      return right.slackMs - left.slackMs;
    });
    const selected = new Set<JobState>();
    let freeCpuMillis = (getCpuMillis(queueName) ?? 0) * MAX_PROTECTED_FRACTION;
    for (const {job} of ranked) {
      if (selected.has(job)) continue;
      if (freeCpuMillis <= 0) break;
      selected.add(job);
      freeCpuMillis -= getWidestCpuMillis(job);
    }
    return selected;
  }

  private addJobs({
    waiting,
    shortServices,
    getAcceptedFraction,
  }: SizeShareInputs): void {
    for (const each of waiting) {
      const {job, queue, step, lateLimitMs} = each;
      if (!shortServices.has(queue.serviceName)) continue;
      if (this.seenJobs.has(job)) continue;
      this.seenJobs.add(job);
      const {spec} = job.accepted;
      if (step.spec.isLongRunning || spec.schedule !== undefined) continue;
      const work = getJobWork(spec);
      const weight = 1 / getAcceptedFraction(queue.name, work);
      const {name: queueName} = queue;
      this.openJobs.set(job, {queueName, lateLimitMs, work, weight});
    }
  }

  private recordOutcomes(wallMs: number): void {
    for (const [job, {queueName, lateLimitMs, work, weight}] of this.openJobs) {
      if (!job.isEnded() && wallMs <= lateLimitMs) continue;
      this.openJobs.delete(job);
      // Neither a failure nor a cancellation tells anything about room.
      if (job.isEnded() && job.phase !== 'completed') continue;
      const isUseful = job.isEnded() && (job.endedMs ?? wallMs) <= lateLimitMs;
      const outcomes = this.outcomes.get(queueName) ?? [];
      outcomes.push({atMs: wallMs, work, weight, isUseful});
      this.outcomes.set(queueName, outcomes);
    }
  }
}

/** Gets the CPU that the widest step of a job takes at a time. */
function getWidestCpuMillis(job: JobState): number {
  const {steps} = job.accepted.spec;
  return Math.max(
    ...steps.map(({taskCount, needs}) => taskCount * needs.cpuMillis),
  );
}

function findProtection(outcomes: readonly Outcome[]): Protection | undefined {
  if (outcomes.length < MIN_OUTCOMES) return undefined;
  const sorted = [...outcomes].sort((left, right) => left.work - right.work);
  const fraction = getUsefulFraction(sorted);
  let totalWeight = 0;
  for (const {weight} of sorted) totalWeight += weight;
  for (const {from, to} of CLASS_BOUNDS) {
    const members = getMembers(sorted, from * totalWeight, to * totalWeight);
    if (members.length === 0) continue;
    if (getUsefulFraction(members) >= fraction * MIN_SHARE) continue;
    return {
      fromWork: getFromWork(members),
      countsAs: sorted[Math.floor(sorted.length / 2)].work,
    };
  }
  return undefined;
}

/** Gets the outcomes between two positions in the order of work. */
function getMembers(
  sorted: readonly Outcome[],
  fromWeight: number,
  toWeight: number,
): Outcome[] {
  const members: Outcome[] = [];
  let weight = 0;
  for (const each of sorted) {
    if (weight >= fromWeight && weight < toWeight) members.push(each);
    weight += each.weight;
  }
  return members;
}

/**
 * Gets the work from which jobs belong to a class. Small jobs that fall into it, where the large
 * ones are rarer than the class is wide, do not count.
 */
function getFromWork(members: readonly Outcome[]): number {
  let sum = 0;
  for (const {work} of members) sum += work;
  return Math.max(members[0].work, sum / members.length / 2);
}

function getUsefulFraction(outcomes: readonly Outcome[]): number {
  let useful = 0;
  let total = 0;
  for (const {weight, isUseful} of outcomes) {
    total += weight;
    // A job stands for those that were refused, which were not served.
    if (isUseful) useful++;
  }
  return useful / total;
}
