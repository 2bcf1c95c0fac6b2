/** What the holder of a worker's `tasks` lease knows of its load. */

import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {AttemptReport} from '@mustardlug/platform/worker_client';

/** Processors, memory and accelerators. */
export interface ResourceAmount {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** A task that takes capacity on a worker. */
export interface PlacedTask {
  readonly taskId: string;
  readonly kind: 'service' | 'batch';
  readonly name: string;
  readonly isUrgent: boolean;
  /** Declared size, or the learned one where that is larger. */
  readonly charged: ResourceAmount;
}

/** Tolerance for sums of fractions of cores. */
const CORE_EPSILON = 1e-9;

/** Load of one worker; the sum of what is placed never exceeds its capacity. */
export class WorkerView {
  /** Whether the rows of the worker's tasks were read after its lease was granted. */
  isSynced = false;
  isLeaving = false;
  /** Attempts in the worker's latest report. */
  reports: readonly AttemptReport[] = [];
  private readonly placed = new Map<string, PlacedTask>();
  private readonly batchCores = new Map<string, number>();
  private readonly replicaCounts = new Map<string, number>();
  private usedCores = 0;
  private usedMemoryMb = 0;
  private usedAccelerators = 0;

  private constructor(
    readonly workerId: string,
    readonly rack: string,
    readonly failureDomain: string,
    readonly capacity: ResourceAmount,
    readonly lease: WorkerLease,
  ) {}

  /**
   * Creates the view of a worker without tasks.
   * @param rack - Rack of the worker.
   * @param failureDomain - Its failure domain.
   * @param capacity - Its size.
   * @param lease - Lease under which tasks are placed.
   */
  static create(
    rack: string,
    failureDomain: string,
    capacity: ResourceAmount,
    lease: WorkerLease,
  ): WorkerView {
    const {workerId} = lease.address;
    return new WorkerView(workerId, rack, failureDomain, capacity, lease);
  }

  /**
   * Checks whether the latest report names an attempt.
   * @param taskId - Id of the task.
   * @param attempt - Number of the attempt.
   */
  isReported(taskId: string, attempt: number): boolean {
    for (const report of this.reports) {
      if (report.taskId === taskId && report.attempt === attempt) return true;
    }
    return false;
  }

  /** Gets the placed tasks. */
  getPlaced(): Iterable<PlacedTask> {
    return this.placed.values();
  }

  /** Gets the cores of the placed batch tasks, by job name. */
  getBatchCores(): ReadonlyMap<string, number> {
    return this.batchCores;
  }

  /** Gets the number of placed replicas, by service name. */
  getReplicaCounts(): ReadonlyMap<string, number> {
    return this.replicaCounts;
  }

  /** Gets the number of placed tasks. */
  getPlacedCount(): number {
    return this.placed.size;
  }

  /**
   * Checks whether a task is placed here.
   * @param taskId - Id of the task.
   */
  isPlaced(taskId: string): boolean {
    return this.placed.has(taskId);
  }

  /** Gets what is still free. */
  getFree(): ResourceAmount {
    return {
      cores: this.capacity.cores - this.usedCores,
      memoryMb: this.capacity.memoryMb - this.usedMemoryMb,
      accelerators: this.capacity.accelerators - this.usedAccelerators,
    };
  }

  /**
   * Checks whether a task fits beside what is placed.
   * @param amount - Charged size of the task.
   */
  isFitting(amount: ResourceAmount): boolean {
    const {cores, memoryMb, accelerators} = this.capacity;
    return (
      this.usedCores + amount.cores <= cores + CORE_EPSILON &&
      this.usedMemoryMb + amount.memoryMb <= memoryMb &&
      this.usedAccelerators + amount.accelerators <= accelerators
    );
  }

  /**
   * Adds a task; adding it again has no effect.
   * @param task - Task to place.
   */
  addTask(task: PlacedTask): void {
    if (this.placed.has(task.taskId)) return;
    this.placed.set(task.taskId, task);
    this.usedCores += task.charged.cores;
    this.usedMemoryMb += task.charged.memoryMb;
    this.usedAccelerators += task.charged.accelerators;
    this.addToIndexes(task, 1);
  }

  /**
   * Removes a task.
   * @param taskId - Id of the task.
   */
  removeTask(taskId: string): void {
    const task = this.placed.get(taskId);
    if (task === undefined) return;
    this.placed.delete(taskId);
    this.usedCores -= task.charged.cores;
    this.usedMemoryMb -= task.charged.memoryMb;
    this.usedAccelerators -= task.charged.accelerators;
    this.addToIndexes(task, -1);
  }

  private addToIndexes(task: PlacedTask, sign: 1 | -1): void {
    const {kind, name, charged} = task;
    if (kind === 'service') addToSum(this.replicaCounts, name, sign);
    else addToSum(this.batchCores, name, sign * charged.cores);
  }
}

function addToSum(
  sums: Map<string, number>,
  name: string,
  amount: number,
): void {
  const sum = (sums.get(name) ?? 0) + amount;
  if (sum > CORE_EPSILON) sums.set(name, sum);
  else sums.delete(name);
}
