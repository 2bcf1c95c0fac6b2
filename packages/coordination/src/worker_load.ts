/** Tracks the runs on a worker and the capacity that they use. */

import {
  JobState,
  StepState,
  TaskRun,
  TaskState,
} from '@mustardlug/jobs/job_state';
import {ResourceRequirements} from '@mustardlug/jobs/job_spec';
import {BatchDemand} from './batch_demand.js';
import {canShareTrial, hasSuspectedTask, isSuspected} from './start_crashes.js';

/** A run with the job, step and task that it belongs to. */
export interface AssignedRun {
  readonly job: JobState;
  readonly occurrence: number;
  readonly step: StepState;
  readonly task: TaskState;
  readonly run: TaskRun;
  readonly taskName: string;
  /**
   * Monotonic time at which the worker responded to the start or stop command of
   * the run. The run has ended if a report requested at this time or later does
   * not list it.
   */
  commandResponseMs: number | undefined;
  /**
   * Latest lease expiry in the start commands, on the clock of the worker process,
   * which rejects all of them from then on. Absent until one was sent.
   */
  startLeaseUntilMs?: number;
  /**
   * Monotonic time by which a registered process that has not reported has ended the run,
   * if it has executed an open start command for the former one.
   */
  openStartLeaseEndMs?: number;
  /** Monotonic time since which the task could be placed; absent if it was not placed by this term. */
  placeableMs?: number;
  /** Start time of the process that the run was placed on, if it is another one than that of the run. */
  placedStartMs?: number;
  /** Whether its start was given up because of an evacuation. */
  isStartWithheld?: boolean;
  /** Time of the first report that lists the run, on the clock of the worker process. */
  firstListedClockMs?: number;
}

/**
 * Fraction of its declared CPU that a long-running task is assumed to use. The
 * remainder is available to fillers.
 */
const SERVING_CPU_UTILIZATION = 0.45;

/**
 * Maximum number of tasks that share a trial. After a crash each of them is tried
 * alone.
 */
const MAX_SHARED_TRIALS = 4;

/** How a run is started: as usual, or as a trial of a suspected task, alone or beside others. */
export type StartKind = 'plain' | 'shared-trial' | 'trial';

/** Resource of which a worker has too little for a task. */
export type Shortage = 'memory' | 'accelerators' | 'cpu';

/** Runs of one worker, its capacity, and the totals that the runs declare. */
export class WorkerLoad {
  private readonly runs = new Map<string, AssignedRun>();
  private readonly stepRunCounts = new Map<StepState, number>();
  private usedCpuMillis = 0;
  private usedMemoryMb = 0;
  private usedAccelerators = 0;
  private fillerCpuMillis = 0;
  private servingCpuMillis = 0;
  /** CPU that batch runs other than fillers declare, by priority of their queue. */
  private readonly batchDemands = new Map<number, BatchDemand>();
  /** Subsets of the runs, kept separately to avoid iterating over all of them. */
  private readonly servingRuns = new Set<AssignedRun>();
  private readonly fillerRuns = new Set<AssignedRun>();
  private readonly unprovenRuns = new Set<AssignedRun>();
  private servingImages: ReadonlySet<string> | undefined;
  private revision = 0;

  private constructor(private capacity: ResourceRequirements) {}

  /**
   * Creates the load of an empty worker.
   * @param capacity - Capacity of the worker.
   */
  static create(capacity: ResourceRequirements): WorkerLoad {
    return new WorkerLoad(capacity);
  }

  /**
   * Replaces the capacity.
   * @param capacity - Capacity as the worker reports it.
   */
  setCapacity(capacity: ResourceRequirements): void {
    this.capacity = capacity;
    this.revision++;
  }

  /** Gets a number that changes whenever the runs or the capacity change. */
  getRevision(): number {
    return this.revision;
  }

  /** Gets the capacity. */
  getCapacity(): ResourceRequirements {
    return this.capacity;
  }

  /** Gets all runs. */
  getRuns(): IterableIterator<AssignedRun> {
    return this.runs.values();
  }

  /** Gets the number of runs. */
  getRunCount(): number {
    return this.runs.size;
  }

  /**
   * Finds a run.
   * @param taskName - Name of the task.
   * @param runNumber - Number of the run.
   */
  findRun(taskName: string, runNumber: number): AssignedRun | undefined {
    return this.runs.get(getRunKey(taskName, runNumber));
  }

  /**
   * Adds a run.
   * @param assigned - Run to add.
   */
  addRun(assigned: AssignedRun): void {
    this.runs.set(
      getRunKey(assigned.taskName, assigned.run.runNumber),
      assigned,
    );
    this.updateTotals(assigned, 1);
    const {isLongRunning, isFiller} = assigned.step.spec;
    if (isFiller) this.fillerRuns.add(assigned);
    if (!assigned.run.isProven) this.unprovenRuns.add(assigned);
    if (!isLongRunning) return;
    this.servingRuns.add(assigned);
    this.servingImages = undefined;
  }

  /**
   * Removes a run.
   * @param assigned - Run to remove.
   */
  removeRun(assigned: AssignedRun): void {
    const key = getRunKey(assigned.taskName, assigned.run.runNumber);
    if (!this.runs.delete(key)) return;
    this.updateTotals(assigned, -1);
    this.fillerRuns.delete(assigned);
    this.unprovenRuns.delete(assigned);
    if (this.servingRuns.delete(assigned)) this.servingImages = undefined;
  }

  /**
   * Gets the number of runs of a step on the worker.
   * @param step - Step to count.
   */
  getStepRunCount(step: StepState): number {
    return this.stepRunCounts.get(step) ?? 0;
  }

  /** Gets the CPU that is not declared by any run except fillers, in thousandths of a core. */
  getFreeCpuMillis(): number {
    return this.capacity.cpuMillis - this.usedCpuMillis;
  }

  /** Gets the free memory in megabytes. */
  getFreeMemoryMb(): number {
    return this.capacity.memoryMb - this.usedMemoryMb;
  }

  /** Gets the number of free accelerators. */
  getFreeAccelerators(): number {
    return this.capacity.accelerators - this.usedAccelerators;
  }

  /** Gets the CPU that is available to further fillers, in thousandths of a core. */
  getReclaimableCpuMillis(): number {
    const batchUse = this.usedCpuMillis - this.servingCpuMillis;
    return this.getBatchCpuMillis() - batchUse - this.fillerCpuMillis;
  }

  /** Gets the CPU that long-running tasks leave to others, in thousandths of a core. */
  getBatchCpuMillis(): number {
    const servingUse = this.servingCpuMillis * SERVING_CPU_UTILIZATION;
    return this.capacity.cpuMillis - servingUse;
  }

  /** Gets the CPU that batch runs other than fillers declare, in thousandths of a core. */
  getBatchUseCpuMillis(): number {
    let cpuMillis = 0;
    for (const demand of this.batchDemands.values())
      cpuMillis += demand.getCpuMillis();
    return cpuMillis;
  }

  /**
   * Gets what batch runs other than fillers of one priority declare; undefined if there were none.
   * @param priority - Priority of the queues that have accepted their jobs.
   */
  getBatchDemand(priority: number): BatchDemand | undefined {
    return this.batchDemands.get(priority);
  }

  /**
   * Checks whether there are batch runs other than fillers of a lower priority.
   * @param priority - Priority of a queue.
   */
  hasBatchBelow(priority: number): boolean {
    for (const [other, demand] of this.batchDemands) {
      if (other > priority && demand.getCpuMillis() > 0) return true;
    }
    return false;
  }

  /** Gets the CPU that fillers declare, in thousandths of a core. */
  getFillerCpuMillis(): number {
    return this.fillerCpuMillis;
  }

  /** Gets the CPU that long-running tasks declare, in thousandths of a core. */
  getServingCpuMillis(): number {
    return this.servingCpuMillis;
  }

  /** Gets the runs of long-running tasks. */
  getServingRuns(): ReadonlySet<AssignedRun> {
    return this.servingRuns;
  }

  /** Gets the runs of fillers. */
  getFillerRuns(): ReadonlySet<AssignedRun> {
    return this.fillerRuns;
  }

  /** Gets the runs that may still crash the worker that starts them. */
  getUnprovenRuns(): ReadonlySet<AssignedRun> {
    return this.unprovenRuns;
  }

  /**
   * Marks a run as proven.
   * @param assigned - Run that has not crashed the worker.
   */
  markProven(assigned: AssignedRun): void {
    assigned.run.isProven = true;
    this.unprovenRuns.delete(assigned);
  }

  /**
   * Checks whether a suspected task is on trial here, so that nothing else may be
   * started.
   */
  hasTrial(): boolean {
    for (const assigned of this.unprovenRuns) {
      if (isTrial(assigned)) return true;
    }
    return false;
  }

  /**
   * Checks whether a run of a step may be started beside the runs here.
   * @param step - Step of the run.
   * @param kind - How the run is to be started.
   */
  canStartBeside(step: StepState, kind: StartKind): boolean {
    if (this.unprovenRuns.size === 0) return true;
    if (kind === 'shared-trial' && this.unprovenRuns.size >= MAX_SHARED_TRIALS)
      return false;
    for (const assigned of this.unprovenRuns) {
      // The members of a gang start together, and a crash is held against all of them.
      if (step.spec.isGang && assigned.step === step) continue;
      if (kind === 'trial') return false;
      const isBesideTrial = isTrial(assigned);
      if (kind === 'plain' && isBesideTrial) return false;
      if (kind === 'shared-trial' && (!isBesideTrial || isLoneTrial(assigned)))
        return false;
    }
    return true;
  }

  /** Gets the images of the long-running tasks. */
  getServingImages(): ReadonlySet<string> {
    if (this.servingImages === undefined) {
      const images = [...this.servingRuns].map(
        ({step}) => step.spec.image ?? '',
      );
      this.servingImages = new Set(images);
    }
    return this.servingImages;
  }

  /**
   * Checks whether the worker has free capacity for the needs of a task.
   * @param needs - Needs of one task.
   * @param isFiller - Whether the task is a filler, whose own CPU needs do not count.
   */
  hasRoom(needs: ResourceRequirements, isFiller: boolean): boolean {
    return this.findShortage(needs, isFiller) === undefined;
  }

  /**
   * Gets the first resource of which too little is free for the needs of a task.
   * @param needs - Needs of one task.
   * @param isFiller - Whether the task is a filler, whose own CPU needs do not count.
   */
  findShortage(
    needs: ResourceRequirements,
    isFiller: boolean,
  ): Shortage | undefined {
    if (needs.memoryMb > this.getFreeMemoryMb()) return 'memory';
    if (needs.accelerators > this.getFreeAccelerators()) return 'accelerators';
    const cpuMillis = isFiller ? 0 : needs.cpuMillis;
    return cpuMillis <= this.getFreeCpuMillis() ? undefined : 'cpu';
  }

  /** Checks whether the needs of all runs are within the capacity, which may have shrunk. */
  isWithinCapacity(): boolean {
    return this.hasRoom({cpuMillis: 0, memoryMb: 0, accelerators: 0}, false);
  }

  private updateTotals(assigned: AssignedRun, sign: 1 | -1): void {
    const {step} = assigned;
    const {needs, isFiller, isLongRunning} = step.spec;
    this.revision++;
    this.usedMemoryMb += sign * needs.memoryMb;
    this.usedAccelerators += sign * needs.accelerators;
    if (isFiller) this.fillerCpuMillis += sign * needs.cpuMillis;
    else this.usedCpuMillis += sign * needs.cpuMillis;
    if (isLongRunning) this.servingCpuMillis += sign * needs.cpuMillis;
    else if (!isFiller) this.updateBatchDemand(assigned, sign);
    const runCount = this.getStepRunCount(step) + sign;
    if (runCount === 0) this.stepRunCounts.delete(step);
    else this.stepRunCounts.set(step, runCount);
  }

  private updateBatchDemand({job, step}: AssignedRun, sign: 1 | -1): void {
    const {priority} = job.accepted.queue;
    const demand = this.batchDemands.get(priority) ?? BatchDemand.create();
    this.batchDemands.set(priority, demand);
    demand.addTasks(step.spec.needs, sign);
  }
}

/**
 * Checks whether a run is the trial of a suspected task, or of a gang with one.
 * @param assigned - Run to check.
 */
export function isTrial({step, task, run}: AssignedRun): boolean {
  if (run.isProven) return false;
  return step.spec.isGang ? hasSuspectedTask(step) : isSuspected(task);
}

/**
 * Checks whether a run is a trial beside which no other task may be started.
 * @param assigned - Run to check.
 */
export function isLoneTrial(assigned: AssignedRun): boolean {
  const {step, task} = assigned;
  return isTrial(assigned) && (step.spec.isGang || !canShareTrial(task));
}

/**
 * Gets the key of a run on its worker.
 * @param taskName - Name of the task.
 * @param runNumber - Number of the run.
 */
export function getRunKey(taskName: string, runNumber: number): string {
  return `${taskName}#${runNumber}`;
}
