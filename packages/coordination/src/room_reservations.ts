/**
 * Keeps workers free of other new work until interrupted long-running tasks fit there.
 *
 * Load pattern: on a full fleet many small batch tasks wait. Each takes the gap that
 * another one leaves, so that no worker ever has room for a larger task.
 */

import {StepState, TaskState} from '@mustardlug/jobs/job_state';
import {getRemainingMs} from './drain_planner.js';
import {isWaitingTask, PlacementWorker} from './placement_pass.js';
import {WaitingStep} from './task_order.js';
import {AssignedRun} from './worker_load.js';

/** A task that fits on none of the workers that it may run on. */
export interface RoomRequest {
  readonly waiting: WaitingStep;
  readonly task: TaskState;
  /** Workers of the step's service that are usable for new runs. */
  readonly workers: readonly PlacementWorker[];
}

/** Sum of the needs of tasks. */
interface TotalNeeds {
  cpuMillis: number;
  memoryMb: number;
  accelerators: number;
}

/** Room on one worker that is kept for tasks. */
interface Claim extends TotalNeeds {
  readonly requests: RoomRequest[];
}

/** A batch run to stop for a task. */
export interface Preemption {
  readonly worker: PlacementWorker;
  readonly assigned: AssignedRun;
  /** Task for which the run is stopped. */
  readonly request: RoomRequest;
}

/** How a worker gets the room for a task. */
interface RoomPlan {
  /** Expected time until there is room. */
  readonly waitMs: number;
  /** Runs that have to end for that, the first one to end first. */
  readonly runs: readonly AssignedRun[];
}

/** Wait from which runs of a lower priority, or with a checkpoint, are stopped for a task. */
const PREEMPTION_WAIT_MS = 500;

/** Wait from which any batch run is stopped for a task; the rest of the time is for the start. */
const MAX_WAIT_MS = 1_500;

interface EndingRun {
  readonly assigned: AssignedRun;
  readonly remainingMs: number;
}

/** A worker that is kept for a task. */
interface Reservation {
  /** Monotonic time since which the task has been without room. */
  readonly sinceMs: number;
  readonly workerId: string | undefined;
  /** Monotonic time at which the worker was selected. */
  readonly selectedMs: number;
  /** Tasks that come first on the worker. */
  readonly preceding: readonly RoomRequest[];
}

interface SelectedWorker {
  readonly worker: PlacementWorker;
  readonly plan: RoomPlan;
}

/** Reservations of one coordinator term. At most one worker is reserved for each task. */
export class RoomReservations {
  private reservations: ReadonlyMap<TaskState, Reservation> = new Map();
  private reservedIds: ReadonlySet<string> = new Set();

  private constructor() {}

  static create(): RoomReservations {
    return new RoomReservations();
  }

  /** Gets the number of reserved workers. */
  getCount(): number {
    return this.reservedIds.size;
  }

  /**
   * Checks whether a worker takes no new runs but those of interrupted tasks.
   * @param worker - Worker to check.
   */
  isReserved({session}: PlacementWorker): boolean {
    return this.reservedIds.has(session.getId());
  }

  /**
   * Gets the identifier of the worker that is kept for a task, if there is one.
   * @param task - Interrupted task.
   */
  getWorkerId(task: TaskState): string | undefined {
    return this.reservations.get(task)?.workerId;
  }

  /**
   * Checks whether a task fits on its worker beside the waiting tasks that come first there.
   * @param task - Interrupted task.
   * @param step - Step of the task.
   * @param worker - Worker that is kept for the task.
   */
  hasRoom(task: TaskState, step: StepState, {load}: PlacementWorker): boolean {
    const total = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
    addNeeds(total, step);
    for (const each of this.reservations.get(task)?.preceding ?? []) {
      if (isWaitingTask(each.task)) addNeeds(total, each.waiting.step);
    }
    return load.hasRoom(total, false);
  }

  /**
   * Replaces all reservations.
   * @param requests - All tasks without room, in the order of their placement.
   * @param nowMs - Monotonic time.
   * @returns Runs to stop, as tasks have waited for too long.
   */
  update(requests: readonly RoomRequest[], nowMs: number): Preemption[] {
    const planner = RoomPlanner.create(nowMs);
    const reservations = new Map<TaskState, Reservation>();
    const preemptions: Preemption[] = [];
    for (const request of requests) {
      const {task} = request;
      const previous = this.reservations.get(task);
      const sinceMs = previous?.sinceMs ?? nowMs;
      const kept = this.keepWorker(request, previous, planner, nowMs);
      const selected = kept ?? planner.selectWorker(request);
      const workerId = selected?.worker.session.getId();
      const selectedMs =
        kept === undefined ? nowMs : (previous?.selectedMs ?? nowMs);
      const preceding = planner.getClaimants(selected?.worker);
      reservations.set(task, {sinceMs, workerId, selectedMs, preceding});
      if (selected === undefined) continue;
      const {worker, plan} = selected;
      planner.addClaim(worker, request);
      // Stopping the others would free too little until a run has ended that is not stopped.
      if (plan.runs.some(each => !isEnding(each) && !isPreemptible(each)))
        continue;
      for (const assigned of plan.runs) {
        if (canPreempt(assigned, request, nowMs - sinceMs))
          preemptions.push({worker, assigned, request});
      }
    }
    this.reservations = reservations;
    this.reservedIds = planner.getClaimedIds();
    return preemptions;
  }

  /** Keeps the worker of a task for some time, as a change would leave the room to others again. */
  private keepWorker(
    request: RoomRequest,
    previous: Reservation | undefined,
    planner: RoomPlanner,
    nowMs: number,
  ): SelectedWorker | undefined {
    if (previous?.workerId === undefined) return undefined;
    const {workerId, selectedMs} = previous;
    if (nowMs - selectedMs >= MAX_WAIT_MS) return undefined;
    const worker = request.workers.find(
      ({session}) => session.getId() === workerId,
    );
    const plan = worker && planner.planRoom(request, worker);
    return worker && plan && {worker, plan};
  }
}

/** Plans for the state of the workers at one time. */
class RoomPlanner {
  private readonly claims = new Map<PlacementWorker, Claim>();
  private readonly endingRuns = new Map<PlacementWorker, EndingRun[]>();
  /** Plans by step, which hold until more room of the worker is claimed. */
  private readonly plans = new Map<
    StepState,
    Map<PlacementWorker, RoomPlan | undefined>
  >();

  private constructor(private readonly nowMs: number) {}

  static create(nowMs: number): RoomPlanner {
    return new RoomPlanner(nowMs);
  }

  /** Selects the worker that is expected to have room soonest. */
  selectWorker(request: RoomRequest): SelectedWorker | undefined {
    let best: SelectedWorker | undefined;
    for (const worker of request.workers) {
      const plan = this.planRoom(request, worker);
      if (plan === undefined) continue;
      if (best !== undefined && plan.waitMs >= best.plan.waitMs) continue;
      best = {worker, plan};
    }
    return best;
  }

  /** Gets the tasks for which room on a worker is kept. */
  getClaimants(worker: PlacementWorker | undefined): RoomRequest[] {
    const claim = worker && this.claims.get(worker);
    return [...(claim?.requests ?? [])];
  }

  /** Keeps room on a worker for a task. */
  addClaim(worker: PlacementWorker, request: RoomRequest): void {
    const claim = this.claims.get(worker) ?? {
      cpuMillis: 0,
      memoryMb: 0,
      accelerators: 0,
      requests: [],
    };
    addNeeds(claim, request.waiting.step);
    claim.requests.push(request);
    this.claims.set(worker, claim);
    for (const plans of this.plans.values()) plans.delete(worker);
  }

  /**
   * Plans the room for a task on a worker, besides the room that is kept for others.
   * Returns `undefined` if the task would not fit even without any batch run.
   */
  planRoom(
    {waiting: {step}}: RoomRequest,
    worker: PlacementWorker,
  ): RoomPlan | undefined {
    const plans =
      this.plans.get(step) ?? new Map<PlacementWorker, RoomPlan | undefined>();
    this.plans.set(step, plans);
    if (!plans.has(worker)) plans.set(worker, this.createPlan(step, worker));
    return plans.get(worker);
  }

  getClaimedIds(): Set<string> {
    return new Set([...this.claims.keys()].map(({session}) => session.getId()));
  }

  private createPlan(
    step: StepState,
    worker: PlacementWorker,
  ): RoomPlan | undefined {
    const {load, labels} = worker;
    const {needs, requiredLabel, maxPerWorker, isFiller} = step.spec;
    if (requiredLabel !== undefined && !labels.includes(requiredLabel))
      return undefined;
    const claim = this.claims.get(worker);
    const claimants = claim?.requests ?? [];
    const stepTasks =
      load.getStepRunCount(step) +
      claimants.filter(each => each.waiting.step === step).length;
    if (maxPerWorker > 0 && stepTasks >= maxPerWorker) return undefined;
    const cpuMillis = isFiller ? 0 : needs.cpuMillis;
    let missingCpu =
      cpuMillis + (claim?.cpuMillis ?? 0) - load.getFreeCpuMillis();
    let missingMemory =
      needs.memoryMb + (claim?.memoryMb ?? 0) - load.getFreeMemoryMb();
    let missingAccelerators =
      needs.accelerators +
      (claim?.accelerators ?? 0) -
      load.getFreeAccelerators();
    const runs: AssignedRun[] = [];
    let waitMs = 0;
    for (const {assigned, remainingMs} of this.getEndingRuns(worker)) {
      if (missingCpu <= 0 && missingMemory <= 0 && missingAccelerators <= 0)
        break;
      const {spec} = assigned.step;
      const freedCpu = spec.isFiller ? 0 : spec.needs.cpuMillis;
      const isUseful =
        (missingCpu > 0 && freedCpu > 0) ||
        (missingMemory > 0 && spec.needs.memoryMb > 0) ||
        (missingAccelerators > 0 && spec.needs.accelerators > 0);
      if (!isUseful) continue;
      missingCpu -= freedCpu;
      missingMemory -= spec.needs.memoryMb;
      missingAccelerators -= spec.needs.accelerators;
      runs.push(assigned);
      waitMs = remainingMs;
    }
    if (missingCpu > 0 || missingMemory > 0 || missingAccelerators > 0)
      return undefined;
    const canPreemptAll = runs.every(isPreemptible);
    return {
      waitMs: canPreemptAll ? Math.min(waitMs, MAX_WAIT_MS) : waitMs,
      runs,
    };
  }

  /** Gets the batch runs and the runs that are being stopped, the first to end first. */
  private getEndingRuns(worker: PlacementWorker): EndingRun[] {
    const known = this.endingRuns.get(worker);
    if (known !== undefined) return known;
    const ending: EndingRun[] = [];
    for (const assigned of worker.load.getRuns()) {
      const {run, step} = assigned;
      if (run.isStopping) ending.push({assigned, remainingMs: 0});
      else if (!step.spec.isLongRunning) {
        // A run that is overdue may hang, and counts the more the longer it is.
        const remainingMs = Math.abs(getRemainingMs(assigned, this.nowMs));
        ending.push({assigned, remainingMs});
      }
    }
    ending.sort((left, right) => left.remainingMs - right.remainingMs);
    this.endingRuns.set(worker, ending);
    return ending;
  }
}

/** Checks whether a run may be stopped for a task that has waited for some time. */
function canPreempt(
  assigned: AssignedRun,
  {waiting}: RoomRequest,
  waitMs: number,
): boolean {
  const {job, run, step} = assigned;
  if (run.isStopping || !run.isConfirmed) return false;
  if (!isPreemptible(assigned)) return false;
  if (waitMs >= MAX_WAIT_MS) return true;
  const isLower = job.accepted.queue.priority > waiting.queue.priority;
  return waitMs >= PREEMPTION_WAIT_MS && (isLower || step.spec.isCheckpointing);
}

function isEnding({run}: AssignedRun): boolean {
  return run.isStopping;
}

/** A gang is not, as all its members would be stopped, also on other workers. */
function isPreemptible({step}: AssignedRun): boolean {
  return !step.spec.isLongRunning && !step.spec.isGang;
}

function addNeeds(total: TotalNeeds, {spec}: StepState): void {
  const {needs, isFiller} = spec;
  total.cpuMillis += isFiller ? 0 : needs.cpuMillis;
  total.memoryMb += needs.memoryMb;
  total.accelerators += needs.accelerators;
}
