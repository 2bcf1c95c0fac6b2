/** Assigns waiting tasks to workers. */

import {JobState, StepState, TaskState} from '@mustardlug/jobs/job_state';
import {QueueConfig} from '@mustardlug/jobs/queue_config';
import {InterferenceModel} from './interference_model.js';
import {
  RankingRequest,
  CandidateWorker,
  WorkerRanking,
} from './worker_ranking.js';
import {
  createWaitingStep,
  getDeadlineStatus,
  isOverdue,
  Shortage,
  sortWaitingSteps,
  WaitingStep,
} from './task_order.js';
import {
  Preemption,
  RoomRequest,
  RoomReservations,
} from './room_reservations.js';
import {canShareTrial, hasSuspectedTask, isSuspected} from './start_crashes.js';
import {PlacementRound} from './placement_round.js';
import {BatchHeadroom} from './batch_headroom.js';
import {BatchRoom, getHoldLevel, HoldLevel} from './batch_room.js';
import {canEverRun} from './service_capacity.js';
import {AssignedRun, StartKind} from './worker_load.js';
import {WorkerSession} from './worker_session.js';

/** A candidate worker, with the session that sends it commands. */
export interface PlacementWorker extends CandidateWorker {
  readonly session: WorkerSession;
}

/** A task and the worker selected for it. */
export interface Placement {
  readonly waiting: WaitingStep;
  readonly task: TaskState;
  readonly worker: PlacementWorker;
  /** CPU limit from the start of the run, in percent of the task's needs. */
  readonly cpuLimitPercent: number;
}

/** Options of a placement pass. */
export interface PlacementPassOptions {
  readonly interferenceModel: InterferenceModel;
  /** Workers that are usable for new runs, by service. */
  readonly workersByService: ReadonlyMap<string, readonly PlacementWorker[]>;
  /** Maximum number of tasks to place; the members of a gang may exceed it. */
  readonly maxPlacements: number;
  /** Workers that are kept for interrupted long-running tasks, from pass to pass. */
  readonly reservations: RoomReservations;
  /** Room that is kept free from long-running tasks that have never run; none if absent. */
  readonly headroom?: BatchHeadroom;
  /** Services whose batch steps are placed by the cost of a delay; none if absent. */
  readonly shortage?: Shortage;
  /** Round that the pass continues. */
  readonly round: PlacementRound;
  /** Monotonic time of the pass. */
  readonly nowMs: number;
  /** Assigns the task to the worker and reserves the worker's capacity for it. */
  readonly place: (placement: Placement) => AssignedRun;
  /** Reverts a placement and releases the reserved capacity. */
  readonly undo: (assigned: AssignedRun, worker: PlacementWorker) => void;
  /** Stops a run for a task that has waited for room for too long. */
  readonly preempt: (preemption: Preemption) => void;
  /** Called with the number of workers before they are ranked for a step. */
  readonly onRanking?: (workerCount: number) => void;
}

/** Result of a pass for one step of which at least one task was placed. */
export interface PlacedStep {
  readonly waiting: WaitingStep;
  readonly workerIds: readonly string[];
  /** Number of tasks of the step that are still waiting because no worker had room. */
  readonly waitingCount: number;
}

/**
 * Maximum fraction of a service's workers on which suspected tasks are tried at
 * the same time, as each of these workers starts nothing else and may crash.
 */
const MAX_TRIAL_FRACTION = 0.2;

/** Resource needs that no worker could satisfy in this pass. */
interface UnplaceableNeeds {
  /** First step that failed with these needs. */
  readonly waiting: WaitingStep;
  readonly cpuMillis: number;
  readonly memoryMb: number;
}

/**
 * Collects the steps that have waiting tasks. Creates due occurrences of the jobs first.
 * @param jobs - Jobs to search; ended jobs are skipped.
 * @param getQueue - Returns the queue configuration in force for a job.
 * @param wallMs - Wall-clock time.
 */
export function getWaitingSteps(
  jobs: Iterable<JobState>,
  getQueue: (job: JobState) => QueueConfig,
  wallMs: number,
): WaitingStep[] {
  const waiting: WaitingStep[] = [];
  for (const job of jobs) {
    if (job.isEnded()) continue;
    job.createDueOccurrences(wallMs);
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.getEligibleSteps()) {
        if (!step.tasks.some(isWaitingTask)) continue;
        const queue = getQueue(job);
        waiting.push(createWaitingStep(job, occurrence.number, step, queue));
      }
    }
  }
  return waiting;
}

/**
 * Checks whether a task is not done and has no run.
 * @param task - Task to check.
 */
export function isWaitingTask(task: TaskState): boolean {
  return !task.isDone && task.runs.length === 0;
}

/** Checks whether a task has run before and has no run. */
function isInterruptedTask(task: TaskState): boolean {
  return task.hasRun && isWaitingTask(task);
}

/**
 * Checks whether tasks of a step may be placed under a CPU limit. A filler that is
 * overdue waits no longer for a worker that it does not disturb.
 * @param waiting - Step with waiting tasks.
 * @param wallMs - Wall-clock time.
 */
export function canLimitFillers(waiting: WaitingStep, wallMs: number): boolean {
  return waiting.step.spec.isFiller && isOverdue(waiting, wallMs);
}

/** A single pass over all waiting steps, in the order of `sortWaitingSteps`. */
export class PlacementPass {
  /**
   * Needs that could not be placed, by equivalence class. Free capacity only
   * shrinks during a pass, so equal or larger needs of the class fail as well.
   */
  private readonly unplaceableNeeds = new Map<string, UnplaceableNeeds>();
  private readonly placedSteps: PlacedStep[] = [];
  /** Workers on which nothing else is started, so that a waiting trial can begin there. */
  private readonly reservedWorkers = new Set<PlacementWorker>();
  /** Workers that are not kept for interrupted tasks, by service; filled as needed. */
  private readonly unreservedWorkers = new Map<
    string,
    readonly PlacementWorker[]
  >();
  /** Room for batch tasks by service; filled as needed. */
  private readonly batchRooms = new Map<string, BatchRoom | undefined>();
  private heldCount = 0;
  /** Services with batch steps that found no room. */
  private readonly shortServices = new Set<string>();
  private placementCount = 0;
  private isInterrupted = false;
  private wallMs = 0;

  private constructor(private readonly options: PlacementPassOptions) {}

  /**
   * Creates a pass.
   * @param options - Candidate workers and placement callbacks.
   */
  static create(options: PlacementPassOptions): PlacementPass {
    return new PlacementPass(options);
  }

  /**
   * Places as many waiting tasks as the workers have room for.
   * @param waiting - Steps with waiting tasks, in any order.
   * @param wallMs - Wall-clock time.
   */
  run(waiting: readonly WaitingStep[], wallMs: number): void {
    const {round} = this.options;
    this.wallMs = wallMs;
    const preceding = waiting.filter(each => each.hasPrecedingTask);
    const sortedPreceding = sortWaitingSteps(preceding, wallMs);
    // Trials are few at a time, and batch work must not take them from users that wait.
    for (const each of sortedPreceding) {
      if (each.step.spec.isLongRunning)
        this.placeSuspectedTasks(each, task => task.hasRun);
    }
    for (const each of sortedPreceding) this.placeSuspectedTasks(each);
    for (const each of sortedPreceding) this.placeInterruptedTasks(each);
    this.reserveRoom(sortedPreceding);
    if (!this.isLimitReached()) this.placeInOrder(waiting);
    if (!this.isInterrupted) round.end();
  }

  /**
   * Places tasks of urgent steps between two passes over all steps.
   * @param waiting - Steps without suspected or interrupted tasks, in any order.
   * @param wallMs - Wall-clock time.
   * @param trialWorkerIds - Workers that the last pass over all steps has kept for trials.
   */
  runUrgent(
    waiting: readonly WaitingStep[],
    wallMs: number,
    trialWorkerIds: ReadonlySet<string> = new Set(),
  ): void {
    this.wallMs = wallMs;
    for (const workers of this.options.workersByService.values()) {
      for (const worker of workers) {
        if (trialWorkerIds.has(worker.session.getId()))
          this.reservedWorkers.add(worker);
      }
    }
    this.placeInOrder(waiting);
  }

  /** Gets the workers that are kept for trials. */
  getTrialWorkerIds(): ReadonlySet<string> {
    const ids = new Set<string>();
    for (const {session} of this.reservedWorkers) ids.add(session.getId());
    return ids;
  }

  private placeInOrder(waiting: readonly WaitingStep[]): void {
    const {wallMs} = this;
    const {round} = this.options;
    round.beginPass();
    const sorted = sortWaitingSteps(waiting, wallMs, this.options.shortage);
    const priorities = new Set<number>();
    for (const each of sorted) {
      if (this.isLimitReached()) return;
      const {priority} = each.queue;
      if (!priorities.has(priority) && this.isBehindOthers(each)) {
        priorities.add(priority);
        this.placeNeglectedTasks(sorted, priority);
        if (this.isInterrupted) return;
      }
      const key = this.getEquivalenceClass(each);
      if (this.isKnownToFail(key, each.step)) {
        this.recordShortage(key, each);
        continue;
      }
      const isRetry = round.isTried(each.step, 'in-order');
      if (isRetry && (isExpensive(key, each) || !round.canRetry())) continue;
      if (round.isPassOver()) {
        this.isInterrupted = true;
        return;
      }
      round.recordTried(each.step, 'in-order');
      const isPlaced = each.step.spec.isGang
        ? this.placeGang(each)
        : this.placeTasks(each);
      // The class depends on whether the job has runs, so that it may be another one by now.
      if (isPlaced) continue;
      this.recordFailure(this.getEquivalenceClass(each), each);
      this.recordShortage(key, each);
    }
  }

  /** Records that a batch step found no room, unless it can never or hardly ever find any. */
  private recordShortage(key: string | undefined, waiting: WaitingStep): void {
    const {step, queue} = waiting;
    const {serviceName} = queue;
    if (key === undefined || this.shortServices.has(serviceName)) return;
    if (step.spec.isLongRunning || this.isLimitReached()) return;
    const workers = this.getServiceWorkers(waiting);
    if (workers.some(worker => canEverRun(step.spec, worker)))
      this.shortServices.add(serviceName);
  }

  /**
   * Checks whether no step that is not overdue follows in the order. On a service that is short of room
   * late steps come among the others.
   */
  private isBehindOthers(waiting: WaitingStep): boolean {
    const isShort = this.options.shortage?.services.has(
      waiting.queue.serviceName,
    );
    if (!isShort) return isOverdue(waiting, this.wallMs);
    return getDeadlineStatus(waiting, this.wallMs) === 'expired';
  }

  /** Checks whether tasks may be left waiting because of `maxPlacements`. */
  isLimitReached(): boolean {
    return this.placementCount >= this.options.maxPlacements;
  }

  /** Checks whether the pass has left steps to the next one because it had taken its time. */
  isCut(): boolean {
    return this.isInterrupted;
  }

  /** Gets the services with batch steps that found no room. */
  getShortServices(): ReadonlySet<string> {
    return this.shortServices;
  }

  /** Gets the steps of which tasks were placed, in order of placement. */
  getPlacedSteps(): readonly PlacedStep[] {
    return this.placedSteps;
  }

  /**
   * Gets the reasons of this pass, besides the workers', why tasks of a step may
   * have been left waiting.
   * @param waiting - Step with waiting tasks.
   */
  getObstacles(waiting: WaitingStep): string[] {
    const {step} = waiting;
    const obstacles: string[] = [];
    if (this.isLimitReached())
      obstacles.push(
        `limit of ${this.options.maxPlacements} placements reached`,
      );
    if (this.reservedWorkers.size > 0)
      obstacles.push(`${this.reservedWorkers.size} workers kept for trials`);
    const roomCount = this.options.reservations.getCount();
    if (roomCount > 0)
      obstacles.push(`${roomCount} workers kept for interrupted tasks`);
    if (step.spec.isLongRunning && this.heldCount > 0)
      obstacles.push(
        `${this.heldCount} steps held back as room is kept for batch work`,
      );
    if (step.spec.isGang && step.hasRuns())
      obstacles.push('members of the gang still have runs');
    const tasks = step.tasks.filter(isWaitingTask);
    const suspectedCount = tasks.filter(isSuspected).length;
    const isTrial = suspectedCount === tasks.length;
    const key = isTrial
      ? this.getTrialClass(waiting, getTrialKind(tasks[0]))
      : this.getEquivalenceClass(waiting);
    const failed = this.findFailure(key, step);
    if (failed !== undefined && failed.step !== step)
      obstacles.push(
        `skipped as ${failed.job.getId()}.${failed.occurrence}.${failed.step.index} failed with equal or smaller needs`,
      );
    if (suspectedCount > 0) {
      const isLimited = !step.spec.isGang && !this.canStartTrial(waiting);
      const limit = isLimited ? ', limit of trials reached' : '';
      obstacles.push(`${suspectedCount} tasks suspected${limit}`);
    }
    return obstacles;
  }

  private recordPlacedStep(
    waiting: WaitingStep,
    workers: readonly PlacementWorker[],
  ): void {
    if (workers.length === 0) return;
    this.placementCount += workers.length;
    this.placedSteps.push({
      waiting,
      workerIds: workers.map(({session}) => session.getId()),
      waitingCount: waiting.step.tasks.filter(isWaitingTask).length,
    });
  }

  /**
   * Places suspected tasks, each on a worker that starts nothing else, or only
   * others that may share a trial. They come first, as other tasks could keep all
   * workers from being free for them.
   * @param waiting - Step with waiting tasks.
   * @param canTry - Selects among the tasks; a gang is tried as a whole.
   */
  private placeSuspectedTasks(
    waiting: WaitingStep,
    canTry: (task: TaskState) => boolean = () => true,
  ): void {
    const {step} = waiting;
    if (step.spec.isGang) {
      if (hasSuspectedTask(step)) this.placeGang(waiting);
      return;
    }
    const tasks = step.tasks.filter(
      task => isWaitingTask(task) && isSuspected(task) && canTry(task),
    );
    if (tasks.length === 0) return;
    const workers: PlacementWorker[] = [];
    const failedKinds = new Set<StartKind>();
    for (const task of tasks) {
      const kind = getTrialKind(task);
      if (failedKinds.has(kind)) continue;
      if (this.isKnownToFail(this.getTrialClass(waiting, kind), step)) continue;
      const ranking = this.rankForTrial(waiting, task);
      const worker = ranking?.getBest(isAvoidedBy(task));
      if (ranking === undefined || worker === undefined) {
        this.reserveTrialWorker(waiting, task);
        this.recordFailure(this.getTrialClass(waiting, kind), waiting);
        failedKinds.add(kind);
        continue;
      }
      this.placeOnWorker(waiting, task, ranking, worker);
      workers.push(worker);
    }
    this.recordPlacedStep(waiting, workers);
  }

  /**
   * Places long-running tasks again that were running before. They come before
   * other tasks, also beyond the limit of placements: their users are waiting, and
   * on a full fleet batch work would take each room that becomes free.
   */
  private placeInterruptedTasks(waiting: WaitingStep): void {
    const {step} = waiting;
    if (!step.spec.isLongRunning || step.spec.isGang) return;
    const interrupted = step.tasks.filter(
      task => isInterruptedTask(task) && !isSuspected(task),
    );
    for (const task of interrupted) this.placeOnKeptWorker(waiting, task);
    const tasks = interrupted.filter(isWaitingTask);
    if (tasks.length === 0) return;
    const key = this.getEquivalenceClass(waiting);
    if (this.isKnownToFail(key, step)) return;
    if (!this.placeEach(waiting, tasks, this.getWorkers(waiting)))
      this.recordFailure(key, waiting);
  }

  /** Places an interrupted task on the worker that is kept for it, if it has room by now. */
  private placeOnKeptWorker(waiting: WaitingStep, task: TaskState): void {
    const worker = this.findKeptWorker(waiting, task);
    if (worker === undefined) return;
    const {reservations} = this.options;
    if (!reservations.hasRoom(task, waiting.step, worker)) return;
    const ranking = this.rank(waiting, [worker], 'plain');
    if (ranking.getBest() === undefined) return;
    this.placeOnWorker(waiting, task, ranking, worker);
    this.recordPlacedStep(waiting, [worker]);
  }

  private findKeptWorker(
    waiting: WaitingStep,
    task: TaskState,
  ): PlacementWorker | undefined {
    const workerId = this.options.reservations.getWorkerId(task);
    if (workerId === undefined) return undefined;
    return this.getServiceWorkers(waiting).find(
      ({session}) => session.getId() === workerId,
    );
  }

  /** Keeps workers for the interrupted tasks that have found no room. */
  private reserveRoom(sorted: readonly WaitingStep[]): void {
    const {reservations, nowMs, preempt} = this.options;
    const requests: RoomRequest[] = [];
    for (const waiting of sorted) {
      const {spec, tasks} = waiting.step;
      // Whether a worker takes a filler depends on more than its room.
      if (!spec.isLongRunning || spec.isGang || spec.isFiller) continue;
      const interrupted = tasks.filter(isInterruptedTask);
      if (interrupted.length === 0) continue;
      const workers = this.getServiceWorkers(waiting);
      const canStartTrial = this.canStartTrial(waiting);
      for (const task of interrupted) {
        if (isSuspected(task) && !canStartTrial) continue;
        requests.push({waiting, task, workers});
      }
    }
    const hadReservations = reservations.getCount() > 0;
    const preemptions = reservations.update(requests, nowMs);
    this.unreservedWorkers.clear();
    // Needs that failed may fit on workers that are released.
    if (hadReservations) this.unplaceableNeeds.clear();
    for (const preemption of preemptions) preempt(preemption);
  }

  /** Ranks workers for a suspected task, if possible those that have not crashed at its start. */
  private rankForTrial(
    waiting: WaitingStep,
    task: TaskState,
  ): WorkerRanking<PlacementWorker> | undefined {
    const startKind = getTrialKind(task);
    const canStart = this.canStartTrial(waiting);
    if (!canStart && startKind === 'trial') return undefined;
    const kept = this.findKeptWorker(waiting, task);
    const unreserved = this.getWorkers(waiting);
    const candidates = kept === undefined ? unreserved : [kept, ...unreserved];
    const workers = canStart
      ? candidates
      : candidates.filter(({load}) => load.hasTrial());
    const others = getUncrashedWorkers(workers, task);
    const isNeglected = this.isNeglectedFiller(waiting);
    const ranking = this.rank(waiting, others, startKind, isNeglected);
    if (ranking.getBest() !== undefined) return ranking;
    return this.rank(waiting, workers, startKind, isNeglected);
  }

  private placeOnWorker(
    waiting: WaitingStep,
    task: TaskState,
    ranking: WorkerRanking<PlacementWorker>,
    worker: PlacementWorker,
  ): AssignedRun {
    const cpuLimitPercent = ranking.getCpuLimitPercent(worker);
    return this.options.place({waiting, task, worker, cpuLimitPercent});
  }

  /**
   * Reserves the worker on which the next trial can probably begin soonest.
   * Otherwise workers that keep starting short tasks would never be free for it.
   */
  private reserveTrialWorker(waiting: WaitingStep, task: TaskState): void {
    if (!this.canStartTrial(waiting)) return;
    const workers = this.getWorkers(waiting);
    const others = getUncrashedWorkers(workers, task);
    const worker =
      this.findLeastStarting(waiting, others) ??
      this.findLeastStarting(waiting, workers);
    if (worker !== undefined) this.reservedWorkers.add(worker);
  }

  /** Finds the worker that is starting the fewest runs, of those that a step can be placed on. */
  private findLeastStarting(
    waiting: WaitingStep,
    workers: readonly PlacementWorker[],
  ): PlacementWorker | undefined {
    const isNeglected = this.isNeglectedFiller(waiting);
    let best: PlacementWorker | undefined;
    let minCount = Infinity;
    for (const worker of workers) {
      const count = worker.load.getUnprovenRuns().size;
      if (count >= minCount) continue;
      const ranking = this.rank(waiting, [worker], 'plain', isNeglected);
      if (ranking.getBest() === undefined) continue;
      best = worker;
      minCount = count;
    }
    return best;
  }

  private getServiceWorkers({queue}: WaitingStep): readonly PlacementWorker[] {
    return this.options.workersByService.get(queue.serviceName) ?? [];
  }

  /** Gets the workers of a step's service that are not kept for interrupted tasks. */
  private getWorkers(waiting: WaitingStep): readonly PlacementWorker[] {
    const {reservations} = this.options;
    const workers = this.getServiceWorkers(waiting);
    if (reservations.getCount() === 0) return workers;
    const {serviceName} = waiting.queue;
    const known = this.unreservedWorkers.get(serviceName);
    if (known !== undefined) return known;
    const unreserved = workers.filter(each => !reservations.isReserved(each));
    this.unreservedWorkers.set(serviceName, unreserved);
    return unreserved;
  }

  private canStartTrial(waiting: WaitingStep): boolean {
    const workers = this.getServiceWorkers(waiting);
    const trialCount = workers.filter(
      worker => worker.load.hasTrial() || this.reservedWorkers.has(worker),
    ).length;
    return trialCount < Math.max(1, workers.length * MAX_TRIAL_FRACTION);
  }

  /** Places waiting tasks within the limit. Returns whether there was room for all of them. */
  private placeTasks(waiting: WaitingStep): boolean {
    const tasks = waiting.step.tasks.filter(
      task => isWaitingTask(task) && !isSuspected(task),
    );
    const maxTasks = this.options.maxPlacements - this.placementCount;
    const workers = this.getWorkers(waiting);
    return this.placeEach(waiting, tasks.slice(0, maxTasks), workers);
  }

  /** Places tasks of a step one by one. Returns whether there was room for all of them. */
  private placeEach(
    waiting: WaitingStep,
    tasks: readonly TaskState[],
    candidates: readonly PlacementWorker[],
  ): boolean {
    if (tasks.length === 0) return true;
    const ranking = this.rank(waiting, candidates, 'plain');
    const workers: PlacementWorker[] = [];
    let hasRoom = true;
    for (const task of tasks) {
      const worker = this.selectWorker(waiting, task, ranking);
      hasRoom = worker !== undefined;
      if (worker === undefined) break;
      this.placeOnWorker(waiting, task, ranking, worker);
      workers.push(worker);
      ranking.rescore(worker);
    }
    this.recordPlacedStep(waiting, workers);
    return hasRoom;
  }

  /** Selects the best worker, for a long-running task that has never run one that leaves enough room. */
  private selectWorker(
    waiting: WaitingStep,
    task: TaskState,
    ranking: WorkerRanking<PlacementWorker>,
  ): PlacementWorker | undefined {
    const isAvoided = isAvoidedBy(task);
    const level = this.getHoldLevel(waiting);
    const room = level === 'none' ? undefined : this.getBatchRoom(waiting);
    if (room === undefined || task.hasRun) return ranking.getBest(isAvoided);
    if (ranking.getBest() === undefined) return undefined;
    const leavesRoom = room.createFilter(waiting.step.spec.needs, level);
    const worker = ranking.getBest(isAvoided, ({load}) => leavesRoom(load));
    if (worker !== undefined) return worker;
    this.heldCount++;
    room.recordHeld();
    return undefined;
  }

  private getHoldLevel(waiting: WaitingStep): HoldLevel {
    const {job, occurrence, step} = waiting;
    if (!step.spec.isLongRunning || this.getBatchRoom(waiting) === undefined)
      return 'none';
    return getHoldLevel(this.wallMs - job.getDueMs(occurrence), job.hasRuns());
  }

  private getBatchRoom(waiting: WaitingStep): BatchRoom | undefined {
    const {headroom, nowMs} = this.options;
    const {serviceName} = waiting.queue;
    if (!this.batchRooms.has(serviceName)) {
      const workers = this.getServiceWorkers(waiting);
      const room = headroom?.createRoom(serviceName, workers, nowMs);
      this.batchRooms.set(serviceName, room);
    }
    return this.batchRooms.get(serviceName);
  }

  /** Checks whether a step belongs to an overdue job that has no run. */
  private isNeglected(waiting: WaitingStep): boolean {
    return isOverdue(waiting, this.wallMs) && !waiting.job.hasRuns();
  }

  private isNeglectedFiller(waiting: WaitingStep): boolean {
    return waiting.step.spec.isFiller && this.isNeglected(waiting);
  }

  /**
   * Places one task of each overdue job of a priority that has no run. They share the
   * placements that are left: if the oldest jobs took all of them, the others would
   * stand still for as long as these last.
   */
  private placeNeglectedTasks(
    sorted: readonly WaitingStep[],
    priority: number,
  ): void {
    const neglected = sorted.filter(
      each => each.queue.priority === priority && this.isNeglected(each),
    );
    neglected.sort(
      (left, right) => left.job.idleSinceMs - right.job.idleSinceMs,
    );
    const {round} = this.options;
    for (const each of neglected) {
      if (round.isTried(each.step, 'neglected')) continue;
      if (round.isPassOver()) {
        this.isInterrupted = true;
        return;
      }
      this.placeNeglectedTask(each);
    }
  }

  /**
   * Places one task of an overdue job that has no run, a filler also where others
   * have taken all CPU. Overdue jobs come last, so that on a full fleet they would
   * wait for as long as others arrive.
   */
  private placeNeglectedTask(waiting: WaitingStep): void {
    const {step} = waiting;
    if (this.isLimitReached() || step.spec.isGang) return;
    const key = this.getEquivalenceClass(waiting, 'plain', true);
    if (this.isKnownToFail(key, step) || !this.isNeglected(waiting)) return;
    const task = step.tasks.find(
      each => isWaitingTask(each) && !isSuspected(each),
    );
    if (task === undefined) return;
    this.options.round.recordTried(step, 'neglected');
    const workers = this.getWorkers(waiting);
    const ranking = this.rank(waiting, workers, 'plain', true);
    const worker = ranking.getBest(isAvoidedBy(task));
    if (worker === undefined) {
      this.recordFailure(key, waiting);
      return;
    }
    this.placeOnWorker(waiting, task, ranking, worker);
    this.recordPlacedStep(waiting, [worker]);
  }

  /**
   * Places all tasks of a gang or none of them, as they can only run together.
   * Returns `false` if the gang did not fit.
   */
  private placeGang(waiting: WaitingStep): boolean {
    const {step} = waiting;
    if (step.hasRuns()) return true;
    const ranking = this.rank(
      waiting,
      this.getWorkers(waiting),
      hasSuspectedTask(step) ? 'trial' : 'plain',
    );
    const placed: Array<{assigned: AssignedRun; worker: PlacementWorker}> = [];
    for (const task of step.tasks) {
      const worker = this.selectWorker(waiting, task, ranking);
      if (worker === undefined) {
        for (const each of placed)
          this.options.undo(each.assigned, each.worker);
        return false;
      }
      placed.push({
        assigned: this.placeOnWorker(waiting, task, ranking, worker),
        worker,
      });
      ranking.rescore(worker);
    }
    this.recordPlacedStep(
      waiting,
      placed.map(({worker}) => worker),
    );
    return true;
  }

  private rank(
    waiting: WaitingStep,
    workers: readonly PlacementWorker[],
    startKind: StartKind,
    canOvercommitFillers = false,
  ): WorkerRanking<PlacementWorker> {
    const {step} = waiting;
    const request: RankingRequest = {
      step,
      startKind,
      canLimitFillers: canLimitFillers(waiting, this.wallMs),
      canOvercommitFillers,
      interferenceModel: this.options.interferenceModel,
      preferredRack: step.spec.isSameRackPreferred
        ? findRackWithMostFreeCpu(workers)
        : undefined,
    };
    const unreserved = workers.filter(
      worker => !this.reservedWorkers.has(worker),
    );
    this.options.onRanking?.(unreserved.length);
    return WorkerRanking.create(request, unreserved);
  }

  /**
   * Gets the key that is shared by all steps that fit on the same workers, apart
   * from their CPU and memory needs. Returns `undefined` for steps with placement
   * constraints of their own.
   */
  private getEquivalenceClass(
    waiting: WaitingStep,
    startKind: StartKind = 'plain',
    canOvercommitFillers = false,
  ): string | undefined {
    const {spec} = waiting.step;
    const isConstrained =
      spec.isGang ||
      spec.maxPerWorker > 0 ||
      spec.requiredLabel !== undefined ||
      spec.needs.accelerators > 0;
    if (isConstrained) return undefined;
    const kind = spec.isFiller ? `filler ${spec.image ?? ''}` : 'other';
    const limit = canLimitFillers(waiting, this.wallMs) ? ' limited' : '';
    const overcommitted = canOvercommitFillers ? ' overcommitted' : '';
    // What is held back may fit, and batch tasks must not be skipped for it.
    const level = this.getHoldLevel(waiting);
    const held = level === 'none' ? '' : ` held ${level}`;
    return `${waiting.queue.serviceName} ${kind}${limit} ${startKind}${overcommitted}${held}`;
  }

  private getTrialClass(
    waiting: WaitingStep,
    kind: StartKind,
  ): string | undefined {
    const isNeglected = this.isNeglectedFiller(waiting);
    return this.getEquivalenceClass(waiting, kind, isNeglected);
  }

  private isKnownToFail(key: string | undefined, step: StepState): boolean {
    return this.findFailure(key, step) !== undefined;
  }

  /** Finds a step of the class that failed with equal or smaller needs. */
  private findFailure(
    key: string | undefined,
    step: StepState,
  ): WaitingStep | undefined {
    const failed =
      key === undefined ? undefined : this.unplaceableNeeds.get(key);
    if (failed === undefined) return undefined;
    const {cpuMillis, memoryMb} = step.spec.needs;
    const isLarger =
      cpuMillis >= failed.cpuMillis && memoryMb >= failed.memoryMb;
    return isLarger ? failed.waiting : undefined;
  }

  private recordFailure(key: string | undefined, waiting: WaitingStep): void {
    if (key === undefined) return;
    const {cpuMillis, memoryMb} = waiting.step.spec.needs;
    this.unplaceableNeeds.set(key, {cpuMillis, memoryMb, waiting});
  }
}

/** Checks whether the failure of a step tells nothing, or little, about others. */
function isExpensive(key: string | undefined, {step}: WaitingStep): boolean {
  return key === undefined || step.spec.isFiller;
}

/** Selects the workers that have not started a task when they were to. */
function isAvoidedBy({unstartedOn}: TaskState) {
  return ({session}: PlacementWorker) => unstartedOn.has(session.getId());
}

function getTrialKind(task: TaskState): StartKind {
  return canShareTrial(task) ? 'shared-trial' : 'trial';
}

/** Gets the workers that have not crashed at a start of a task. */
function getUncrashedWorkers(
  workers: readonly PlacementWorker[],
  {startCrashes}: TaskState,
): PlacementWorker[] {
  const crashedIds = new Set(startCrashes.map(({workerId}) => workerId));
  return workers.filter(({session}) => !crashedIds.has(session.getId()));
}

function findRackWithMostFreeCpu(
  workers: readonly PlacementWorker[],
): string | undefined {
  const freeByRack = new Map<string, number>();
  for (const {rack, load} of workers) {
    const free = freeByRack.get(rack) ?? 0;
    freeByRack.set(rack, free + load.getFreeCpuMillis());
  }
  let best: string | undefined;
  for (const [rack, free] of freeByRack) {
    if (best === undefined || free > (freeByRack.get(best) ?? 0)) best = rack;
  }
  return best;
}
