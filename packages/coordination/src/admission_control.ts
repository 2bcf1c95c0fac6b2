/**
 * Decides whether the queues accept further jobs.
 *
 * Load pattern: jobs arrive faster than their tasks can be started, because the
 * workers are full or the coordinator is short of processor time. Without a limit
 * the backlog grows until every job is late, and outlasts the load that caused it.
 *
 * The two limits are told apart. Tasks for which no worker has room wait for the
 * workers, for no longer than the registered ones need for the work before them. Tasks
 * that have room wait for the coordinator, and only for as long as it has shown to need
 * while it left such tasks waiting. How slowly tasks are started otherwise counts only for
 * late work, and only while much of what runs is lost.
 */

import {Clock} from '@mustardlug/base/clock';
import {JobState} from '@mustardlug/jobs/job_state';
import {QueueConfig} from '@mustardlug/jobs/queue_config';
import {PlacedStep, isWaitingTask} from './placement_pass.js';
import {
  getCriticalPathMs,
  getDeadlineStatus,
  getExpectedTaskMs,
  getObjectiveDurationMs,
  Shortage,
  sortWaitingSteps,
  WaitingStep,
} from './task_order.js';
import {ACCEPTED_FRACTION, JobLimit, JobLimits} from './job_limits.js';
import {SizeShares} from './size_shares.js';
import {FreeRoom} from './free_room.js';
import {LimitedThroughput} from './limited_throughput.js';
import {Occupancy} from './occupancy.js';
import {AdmissionWorker, ServiceCapacity} from './service_capacity.js';
import {AssignedRun} from './worker_load.js';
import {WorkerYield} from './worker_yield.js';

/** Shortest and longest time over which placements are measured; the tolerable wait in between. */
const MIN_WINDOW_MS = 2_000;
const MAX_WINDOW_MS = 10_000;

/**
 * Fraction of the placed jobs, those that waited least, that may have waited for
 * other reasons than load, such as an image that no worker is acceptable for.
 */
const WAIT_QUANTILE = 0.25;

/** Measured wait, as a fraction of the tolerable one, from which a queue counts as loaded. */
const MIN_MEASURED_FRACTION = 0.25;

/** Expected wait, as a fraction of the tolerable one, from which jobs are accepted again. */
const RESUME_FRACTION = 0.5;

/** Lower limit of the tolerable wait; covers the delay until a decision reaches the nodes. */
const MIN_TOLERABLE_WAIT_MS = 1_000;

/**
 * Time in which all accepted work of a queue should be placed, also work that is
 * late: callers may hold it for lost later, and new jobs would be placed before it.
 */
const MAX_BACKLOG_MS = 10_000;

/**
 * Backlog that is not limited, as the time for which all workers of the service
 * would work on it. Less may wait for other reasons than load.
 */
const MIN_BACKLOG_MS = 1_000;

/**
 * Fraction of the workers' room that leads to done tasks, below which free room says little: what is
 * placed there is likely to be lost again. All late work then counts by recent placements.
 */
const MIN_SOUND_YIELD = 0.7;

/** Upper limit of the delay after which refused callers are told to try again. */
const MAX_RETRY_AFTER_MS = 10_000;

const MS_PER_SECOND = 1_000;

/** Tasks of one step that were placed at the same time. */
interface RecordedPlacement {
  readonly placedMs: number;
  /** CPU time that the tasks are expected to use, in microseconds. */
  readonly work: number;
  /** Time for which the job has waited, if its first task was placed. */
  readonly firstWaitMs: number | undefined;
}

/** What a queue that refuses all jobs is short of. */
export type QueueShortage = 'workers' | 'coordinator';

/** Why a job is refused: for what its queue is short of, or for its work alone. */
export type RefusalLimit = QueueShortage | 'job-work';

/** Why a queue refuses jobs, and for how long. */
export interface QueueRefusal {
  readonly limit: QueueShortage;
  /** Time after which the queue is expected to accept jobs again. */
  readonly retryAfterMs: number;
  /** Rate at which jobs were started lately. */
  readonly startsPerSecond: number;
}

/** Limit of the work per job of a queue that accepts other jobs. */
export interface LimitedQueue extends JobLimit {
  /** Rate at which jobs were started lately. */
  readonly startsPerSecond: number;
}

/** A placement pass. */
export interface RecordedPass {
  /** Steps that had waiting tasks before it. */
  readonly waiting: readonly WaitingStep[];
  /** Workers that are registered, not leaving and not evacuated, by service. */
  readonly workersByService: ReadonlyMap<string, readonly AdmissionWorker[]>;
  /** Services of which all workers that are registered and not leaving are evacuated. */
  readonly evacuatedServices?: ReadonlySet<string>;
  /** Steps of which tasks were placed. */
  readonly placedSteps: readonly PlacedStep[];
  /** Whether it ended at its limit of placements, before it had tried all steps. */
  readonly isLimited: boolean;
  /** Services whose batch steps are placed by the cost of a delay; none if absent. */
  readonly shortage?: Shortage;
}

/** Unplaced work of one queue. */
interface Backlog {
  readonly queue: QueueConfig;
  /** Work that has not expired and that no worker has room for, in microseconds of CPU time. */
  work: number;
  /** All such work that a worker could run, expired or not. */
  totalWork: number;
  /** CPU capacity of the workers, in thousandths of a core. */
  readonly cpuMillis: number;
  /** Time that the workers need for the work that has not expired and has no room. */
  readonly occupancy: Occupancy;
  /** The same for all work without room that a worker could run, expired or not. */
  readonly totalOccupancy: Occupancy;
  /** All work that a worker could run, with or without room. */
  unplacedWork: number;
  /** Number of tasks that have not expired and that workers have room for. */
  startableCount: number;
  /** Number of all tasks that workers have room for. */
  totalStartableCount: number;
  /** Longest time for which a job has waited of which nothing has been placed. */
  oldestWaitMs: number;
  stepCount: number;
  /** Sum over the steps of the time that their jobs can wait without missing the objective. */
  slackMs: number;
}

/** Measures what each queue waits for, and refuses jobs that would miss their objective. */
export class AdmissionControl {
  private readonly placements = new Map<string, RecordedPlacement[]>();
  /** CPU time of the tasks placed while others of the queue waited for room, by queue. */
  private readonly workerThroughputs = new Map<string, LimitedThroughput>();
  /** The same while others of the queue waited on a service that was short, for whatever room. */
  private readonly shortThroughputs = new Map<string, LimitedThroughput>();
  /** Tasks placed while others that had room waited. */
  private readonly startThroughput: LimitedThroughput;
  private readonly workerYield: WorkerYield;
  /** CPU time of the tasks placed since the last decision, by queue. */
  private readonly placedWork = new Map<string, number>();
  /** Number of tasks placed since the last decision. */
  private placedCount = 0;
  /** Whether all passes since the last decision left steps untried; undefined without a pass. */
  private arePassesLimited: boolean | undefined;
  /** Queues that refuse jobs, by name. */
  private refusals: ReadonlyMap<string, QueueRefusal> = new Map();
  private readonly jobLimits = JobLimits.create();
  private readonly sizeShares = SizeShares.create();
  private limitedQueues: ReadonlyMap<string, LimitedQueue> = new Map();
  private shortage: Shortage | undefined;
  /** Steps with waiting tasks before the last pass. */
  private waiting: readonly WaitingStep[] = [];
  /** Workers at the last pass, by service. */
  private workersByService: ReadonlyMap<string, readonly AdmissionWorker[]> =
    new Map();
  /** Services at the last pass of which all workers are evacuated. */
  private evacuatedServices: ReadonlySet<string> = new Set();

  private constructor(private readonly clock: Clock) {
    this.startThroughput = LimitedThroughput.create(clock);
    this.workerYield = WorkerYield.create(clock);
  }

  /**
   * Creates a control that accepts all jobs.
   * @param clock - Clock of the measurements.
   */
  static create(clock: Clock): AdmissionControl {
    return new AdmissionControl(clock);
  }

  /**
   * Records a placement pass.
   * @param pass - Pass that has just ended.
   */
  recordPass(pass: RecordedPass): void {
    const {waiting, workersByService, placedSteps, isLimited} = pass;
    this.shortage = pass.shortage;
    this.waiting = waiting;
    this.workersByService = workersByService;
    this.evacuatedServices = pass.evacuatedServices ?? new Set();
    this.arePassesLimited = isLimited && this.arePassesLimited !== false;
    this.recordPlacements(placedSteps);
  }

  /**
   * Records placements.
   * @param placedSteps - Steps of which tasks were placed.
   */
  recordPlacements(placedSteps: readonly PlacedStep[]): void {
    const placedMs = this.clock.getMonotonicMs();
    for (const placed of placedSteps) {
      const {step, job, queue} = placed.waiting;
      this.placedCount += placed.workerIds.length;
      if (step.spec.isLongRunning) continue;
      const firstWaitMs = isNewJob(job) ? placedMs - job.noticedMs : undefined;
      const work = placed.workerIds.length * getTaskWork(placed.waiting);
      const placements = this.placements.get(queue.name) ?? [];
      placements.push({placedMs, work, firstWaitMs});
      this.placements.set(queue.name, placements);
      this.placedWork.set(
        queue.name,
        (this.placedWork.get(queue.name) ?? 0) + work,
      );
    }
  }

  /**
   * Records that a worker no longer has a run.
   * @param assigned - Run that has ended or was lost.
   * @param isDone - Whether its task is done.
   */
  recordRunEnd(assigned: AssignedRun, isDone: boolean): void {
    this.workerYield.recordRunEnd(assigned, isDone);
  }

  /**
   * Decides anew which queues accept jobs.
   * @param wallMs - Wall-clock time.
   * @returns The queues that refuse jobs, by name.
   */
  update(wallMs: number): ReadonlyMap<string, QueueRefusal> {
    this.removeOldPlacements();
    const refusals = new Map<string, QueueRefusal>();
    const nowMs = this.clock.getMonotonicMs();
    const backlogs = getBacklogs(
      this.waiting,
      this.workersByService,
      nowMs,
      wallMs,
      this.shortage,
    );
    this.recordThroughputs(backlogs);
    this.updateJobLimits(backlogs, wallMs);
    const all = [...backlogs.values()];
    for (const [queueName, backlog] of backlogs) {
      const workersMs = this.getWorkersDelayMs(backlog, all);
      const startsMs = this.getStartsDelayMs(backlog, all);
      const delayMs = Math.max(workersMs, startsMs);
      if (delayMs === 0) continue;
      refusals.set(queueName, {
        limit: workersMs >= startsMs ? 'workers' : 'coordinator',
        retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, delayMs),
        startsPerSecond: this.getStartsPerSecond(queueName, backlog),
      });
    }
    this.refusals = refusals;
    return refusals;
  }

  /**
   * Gets how many tasks the coordinator has shown to start in a second, measured while
   * tasks that had room waited; `undefined` if none did lately.
   */
  getMaxStartsPerSecond(): number | undefined {
    const perMs = this.startThroughput.getPerMs();
    return perMs === undefined ? undefined : perMs * MS_PER_SECOND;
  }

  /** Gets the last decision, as `update` returned it. */
  getRefusals(): ReadonlyMap<string, QueueRefusal> {
    return this.refusals;
  }

  /** Gets the limits of the work per job, by name of the queue. */
  getJobLimits(): ReadonlyMap<string, LimitedQueue> {
    return this.limitedQueues;
  }

  /** Gets a description of each limit of the work per job that has changed since the last call. */
  takeJobLimitChanges(): string[] {
    return this.jobLimits.takeChanges();
  }

  /**
   * Gets the work as which a job counts in the order of placement, if jobs of its size are served
   * too seldom.
   * @param waiting - Step with waiting tasks.
   */
  getProtectedWork(waiting: WaitingStep): number | undefined {
    return this.sizeShares.getProtectedWork(waiting);
  }

  private updateJobLimits(
    backlogs: ReadonlyMap<string, Backlog>,
    wallMs: number,
  ): void {
    const limits = this.jobLimits.getLimits();
    const yieldFraction = this.workerYield.getFraction();
    const shortServices = this.shortage?.services ?? new Set<string>();
    const getWorkPerMs = (queueName: string) => {
      const perMs = this.shortThroughputs.get(queueName)?.getPerMs();
      return perMs === undefined ? undefined : perMs * yieldFraction;
    };
    this.sizeShares.update({
      waiting: this.waiting,
      shortServices,
      getCpuMillis: getWorkPerMs,
      getAcceptedFraction: (queueName, work) => {
        const limit = limits.get(queueName)?.maxJobWork ?? Infinity;
        return work > limit ? ACCEPTED_FRACTION : 1;
      },
      wallMs,
    });
    const {waiting} = this;
    this.jobLimits.update({waiting, shortServices, getWorkPerMs, wallMs});
    const limitedQueues = new Map<string, LimitedQueue>();
    for (const [queueName, limit] of this.jobLimits.getLimits()) {
      const backlog = backlogs.get(queueName);
      const startsPerSecond =
        backlog === undefined ? 0 : this.getStartsPerSecond(queueName, backlog);
      limitedQueues.set(queueName, {...limit, startsPerSecond});
    }
    this.limitedQueues = limitedQueues;
  }

  /**
   * Records what was placed since the last decision, by what the rest waits for. Without
   * a pass in between nothing has been tried, so that the next decision covers that time.
   */
  private recordThroughputs(backlogs: ReadonlyMap<string, Backlog>): void {
    const isLimited = this.arePassesLimited;
    if (isLimited === undefined) return;
    let startableCount = 0;
    for (const backlog of backlogs.values())
      startableCount += backlog.totalStartableCount;
    this.startThroughput.record(
      this.placedCount,
      isLimited && startableCount > 0,
    );
    const names = new Set([
      ...this.workerThroughputs.keys(),
      ...this.shortThroughputs.keys(),
      ...backlogs.keys(),
    ]);
    for (const name of names) {
      const backlog = backlogs.get(name);
      const isFull =
        !isLimited && backlog !== undefined && hasRoomlessWork(backlog);
      const isShort =
        !isLimited && backlog !== undefined && this.isShort(backlog);
      this.recordThroughput(this.workerThroughputs, name, isFull);
      this.recordThroughput(this.shortThroughputs, name, isShort);
    }
    this.placedWork.clear();
    this.placedCount = 0;
    this.arePassesLimited = undefined;
  }

  private recordThroughput(
    throughputs: Map<string, LimitedThroughput>,
    queueName: string,
    isWaiting: boolean,
  ): void {
    let throughput = throughputs.get(queueName);
    if (throughput === undefined && !isWaiting) return;
    throughput ??= LimitedThroughput.create(this.clock);
    throughputs.set(queueName, throughput);
    throughput.record(this.placedWork.get(queueName) ?? 0, isWaiting);
  }

  private isShort({queue, unplacedWork}: Backlog): boolean {
    const services = this.shortage?.services;
    return unplacedWork > 0 && services?.has(queue.serviceName) === true;
  }

  /**
   * Gets the time until workers have room soon enough for accepting jobs; 0 while they have.
   * The end of an evacuation is not known, so that callers ask again after the longest delay.
   */
  private getWorkersDelayMs(
    backlog: Backlog,
    backlogs: readonly Backlog[],
  ): number {
    const queueName = backlog.queue.name;
    if (this.evacuatedServices.has(backlog.queue.serviceName))
      return MAX_RETRY_AFTER_MS;
    const placements = this.getPlacements(queueName, backlog);
    // Whether jobs wait because of load is not known while none are placed.
    if (placements.length === 0) return 0;
    const isRefusing = this.refusals.has(queueName);
    const workPerMs = this.workerThroughputs
      .get(queueName)
      ?.getPerMs(getWindowMs(backlog));
    const yieldFraction = this.workerYield.getFraction();
    const totalWaitMs =
      Math.min(
        divide(backlog.totalWork, workPerMs),
        backlog.totalOccupancy.getLongestMs(),
      ) / yieldFraction;
    const isUnsound = yieldFraction < MIN_SOUND_YIELD;
    const lateWaitMs = isUnsound
      ? Math.max(totalWaitMs, getPlacementMs(backlog, placements))
      : totalWaitMs;
    const lateWork = isUnsound ? backlog.unplacedWork : backlog.totalWork;
    const isLimited = lateWork > backlog.cpuMillis * MIN_BACKLOG_MS;
    const totalMs = isLimited
      ? getExcessMs(lateWaitMs, MAX_BACKLOG_MS, isRefusing)
      : 0;
    const tolerableMs = getTolerableWaitMs(backlog);
    const measuredMs = getMeasuredWaitMs(placements, backlog);
    if (measuredMs < tolerableMs * MIN_MEASURED_FRACTION) return totalMs;
    const waitMs =
      Math.min(divide(backlog.work, workPerMs), getBusyMs(backlog, backlogs)) /
      yieldFraction;
    return Math.max(totalMs, getExcessMs(waitMs, tolerableMs, isRefusing));
  }

  /**
   * Gets the time until the coordinator starts tasks that have room soon enough for
   * accepting jobs; 0 while it does.
   */
  private getStartsDelayMs(
    backlog: Backlog,
    backlogs: readonly Backlog[],
  ): number {
    const startsPerMs = this.startThroughput.getPerMs();
    if (startsPerMs === undefined || !this.startThroughput.isLimited())
      return 0;
    const {queue} = backlog;
    let precedingCount = 0;
    let totalCount = 0;
    for (const other of backlogs) {
      if (other.queue.priority > queue.priority) continue;
      const isBefore = other.queue.priority < queue.priority;
      totalCount += other.totalStartableCount;
      precedingCount += isBefore
        ? other.totalStartableCount
        : other.startableCount;
    }
    const isRefusing = this.refusals.has(queue.name);
    return Math.max(
      getExcessMs(totalCount / startsPerMs, MAX_BACKLOG_MS, isRefusing),
      getExcessMs(
        precedingCount / startsPerMs,
        getTolerableWaitMs(backlog),
        isRefusing,
      ),
    );
  }

  private getStartsPerSecond(queueName: string, backlog: Backlog): number {
    let count = 0;
    for (const {firstWaitMs} of this.getPlacements(queueName, backlog)) {
      if (firstWaitMs !== undefined) count++;
    }
    return (count * MS_PER_SECOND) / getWindowMs(backlog);
  }

  /** Gets the placements of a queue within its window. */
  private getPlacements(
    queueName: string,
    backlog: Backlog,
  ): readonly RecordedPlacement[] {
    const placements = this.placements.get(queueName) ?? [];
    const oldestMs = this.clock.getMonotonicMs() - getWindowMs(backlog);
    return placements.filter(({placedMs}) => placedMs > oldestMs);
  }

  private removeOldPlacements(): void {
    const oldestMs = this.clock.getMonotonicMs() - MAX_WINDOW_MS;
    for (const [queueName, placements] of this.placements) {
      const recent = placements.filter(({placedMs}) => placedMs > oldestMs);
      if (recent.length > 0) this.placements.set(queueName, recent);
      else this.placements.delete(queueName);
    }
  }
}

/** Gets for how long workers are busy with the work that precedes a new job of a queue. */
function getBusyMs({queue}: Backlog, backlogs: readonly Backlog[]): number {
  const preceding = Occupancy.create();
  for (const other of backlogs) {
    if (other.queue.serviceName !== queue.serviceName) continue;
    if (other.queue.priority > queue.priority) continue;
    const isBefore = other.queue.priority < queue.priority;
    preceding.add(isBefore ? other.totalOccupancy : other.occupancy);
  }
  return preceding.getLongestMs();
}

/** Gets how long the waiting jobs can wait, on average, and still meet their objectives. */
function getTolerableWaitMs({slackMs, stepCount}: Backlog): number {
  if (stepCount === 0) return MIN_TOLERABLE_WAIT_MS;
  return Math.max(MIN_TOLERABLE_WAIT_MS, slackMs / stepCount);
}

/**
 * Gets the time until a wait is short enough for accepting jobs again; 0 while it is.
 * @param waitMs - Expected wait.
 * @param limitMs - Wait from which jobs are refused.
 * @param isRefusing - Whether jobs are being refused.
 */
function getExcessMs(
  waitMs: number,
  limitMs: number,
  isRefusing: boolean,
): number {
  const resumeMs = limitMs * RESUME_FRACTION;
  return waitMs > (isRefusing ? resumeMs : limitMs) ? waitMs - resumeMs : 0;
}

/** Divides work by a rate. Nothing is known of the time without one. */
function divide(work: number, workPerMs: number | undefined): number {
  return workPerMs === undefined ? Infinity : work / workPerMs;
}

function hasRoomlessWork({work, totalWork}: Backlog): boolean {
  return work > 0 || totalWork > 0;
}

/** Gets how long the placement of all unplaced work takes at the rate of recent placements. */
function getPlacementMs(
  backlog: Backlog,
  placements: readonly RecordedPlacement[],
): number {
  let placedWork = 0;
  for (const {work} of placements) placedWork += work;
  return (backlog.unplacedWork * getWindowMs(backlog)) / placedWork;
}

function getWindowMs(backlog: Backlog): number {
  const windowMs = Math.max(MIN_WINDOW_MS, getTolerableWaitMs(backlog));
  return Math.min(MAX_WINDOW_MS, windowMs);
}

/** Checks whether nothing of a job without a schedule has been placed before. */
function isNewJob(job: JobState): boolean {
  return job.phase === 'pending' && job.accepted.spec.schedule === undefined;
}

/**
 * Gets how long jobs wait for their first placement: those that were placed lately
 * or, if there were none, the oldest one that waits.
 */
function getMeasuredWaitMs(
  placements: readonly RecordedPlacement[],
  backlog: Backlog,
): number {
  const waitsMs: number[] = [];
  for (const {firstWaitMs} of placements) {
    if (firstWaitMs !== undefined) waitsMs.push(firstWaitMs);
  }
  if (waitsMs.length === 0) return backlog.oldestWaitMs;
  waitsMs.sort((left, right) => left - right);
  return waitsMs[Math.floor(waitsMs.length * WAIT_QUANTILE)];
}

/**
 * Sums up the unplaced work by queue. Expired work counts only in the total, as it
 * is placed after all other work of its priority.
 */
function getBacklogs(
  waiting: readonly WaitingStep[],
  workersByService: ReadonlyMap<string, readonly AdmissionWorker[]>,
  nowMs: number,
  wallMs: number,
  shortage: Shortage | undefined,
): Map<string, Backlog> {
  const backlogs = new Map<string, Backlog>();
  const capacities = new Map<string, ServiceCapacity>();
  const rooms = new Map<string, FreeRoom>();
  for (const [serviceName, workers] of workersByService) {
    capacities.set(serviceName, ServiceCapacity.create(workers));
    rooms.set(serviceName, FreeRoom.create(workers));
  }
  for (const each of sortWaitingSteps(waiting, wallMs, shortage)) {
    const {step, job, queue} = each;
    if (step.spec.isLongRunning || job.isEnded()) continue;
    const taskCount = step.tasks.filter(isWaitingTask).length;
    if (taskCount === 0) continue;
    const capacity =
      capacities.get(queue.serviceName) ?? ServiceCapacity.create([]);
    const backlog = backlogs.get(queue.name) ?? createBacklog(queue, capacity);
    backlogs.set(queue.name, backlog);
    const startableCount =
      rooms.get(queue.serviceName)?.take(step.spec, taskCount) ?? 0;
    const roomlessCount = taskCount - startableCount;
    const work = roomlessCount * getTaskWork(each);
    const occupancy = capacity.getOccupancy(
      step.spec,
      roomlessCount * getExpectedTaskMs(step.spec),
    );
    backlog.totalStartableCount += startableCount;
    if (capacity.canRun(step.spec)) {
      backlog.totalWork += work;
      backlog.unplacedWork += taskCount * getTaskWork(each);
      backlog.totalOccupancy.add(occupancy);
    }
    if (getDeadlineStatus(each, wallMs) === 'expired') continue;
    backlog.startableCount += startableCount;
    backlog.work += work;
    backlog.occupancy.add(occupancy);
    backlog.stepCount++;
    backlog.slackMs += getSlackMs(each);
    if (!isNewJob(job)) continue;
    const waitMs = nowMs - job.noticedMs;
    backlog.oldestWaitMs = Math.max(backlog.oldestWaitMs, waitMs);
  }
  return backlogs;
}

function createBacklog(queue: QueueConfig, capacity: ServiceCapacity): Backlog {
  return {
    queue,
    work: 0,
    totalWork: 0,
    unplacedWork: 0,
    cpuMillis: capacity.getCpuMillis(),
    occupancy: Occupancy.create(),
    totalOccupancy: Occupancy.create(),
    startableCount: 0,
    totalStartableCount: 0,
    oldestWaitMs: 0,
    stepCount: 0,
    slackMs: 0,
  };
}

function getTaskWork({step}: WaitingStep): number {
  return Math.max(1, step.spec.needs.cpuMillis) * getExpectedTaskMs(step.spec);
}

/** Gets how long a new job like that of a step can wait and still meet its objective. */
function getSlackMs({job, queue}: WaitingStep): number {
  const {spec} = job.accepted;
  return getObjectiveDurationMs(spec, queue) - getCriticalPathMs(spec);
}
