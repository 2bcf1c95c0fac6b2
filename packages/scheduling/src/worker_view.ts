/** Load of a worker as known to the holder of its `tasks` lease. */

import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {AttemptReport} from '@mustardlug/platform/worker_client';

/** Amounts of cores, memory and accelerators. */
export interface ResourceAmount {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** A task that occupies capacity on a worker. */
export interface PlacedTask {
  readonly taskId: string;
  readonly kind: 'service' | 'batch';
  readonly name: string;
  readonly isUrgent: boolean;
  /** Resources charged to the task: the larger of the declared size and the observed peak. */
  readonly charged: ResourceAmount;
}

/** Tolerance for floating-point errors in sums of fractional cores. */
const CORE_EPSILON = 1e-9;

/**
 * Load of one worker. New tasks are placed only if they fit; attempts that the
 * worker already runs are always counted.
 */
export class WorkerView {
  /** Whether the rows of the worker's tasks were read after its lease was granted. */
  isSynced = false;
  isLeaving = false;
  /** Attempts in the latest status of the worker. */
  attemptReports: readonly AttemptReport[] = [];
  private readonly placed = new Map<string, PlacedTask>();
  private readonly services = new Map<string, PlacedTask>();
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
   * Creates a view without placed tasks.
   * @param rack - Rack of the worker.
   * @param failureDomain - Failure domain of the worker.
   * @param capacity - Total resources of the worker.
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
   * Checks whether the latest status contains an attempt.
   * @param taskId - Id of the task.
   * @param attempt - Number of the attempt.
   */
  isReported(taskId: string, attempt: number): boolean {
    for (const report of this.attemptReports) {
      if (report.taskId === taskId && report.attempt === attempt) return true;
    }
    return false;
  }

  /** Gets the placed tasks. */
  getPlacedTasks(): Iterable<PlacedTask> {
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
  getPlacedTaskCount(): number {
    return this.placed.size;
  }

  /**
   * Checks whether a task is placed on the worker.
   * @param taskId - Id of the task.
   */
  isPlaced(taskId: string): boolean {
    return this.placed.has(taskId);
  }

  /** Gets the resources that are not charged to placed tasks. */
  getFreeResources(): ResourceAmount {
    return {
      cores: this.capacity.cores - this.usedCores,
      memoryMb: this.capacity.memoryMb - this.usedMemoryMb,
      accelerators: this.capacity.accelerators - this.usedAccelerators,
    };
  }

  /**
   * Checks whether a task fits into the free resources.
   * @param amount - Resources charged to the task.
   */
  fits(amount: ResourceAmount): boolean {
    const {cores, memoryMb, accelerators} = this.capacity;
    return (
      this.usedCores + amount.cores <= cores + CORE_EPSILON &&
      this.usedMemoryMb + amount.memoryMb <= memoryMb &&
      this.usedAccelerators + amount.accelerators <= accelerators
    );
  }

  /**
   * Checks whether a task fits once all batch tasks have ended; services stay.
   * @param amount - Resources charged to the task.
   */
  fitsBesideServices(amount: ResourceAmount): boolean {
    return isWithin(amount, this.getRoomBesideServices());
  }

  /** Gets the resources that are not charged to services. */
  getRoomBesideServices(): ResourceAmount {
    let {cores, memoryMb, accelerators} = this.capacity;
    for (const {charged} of this.services.values()) {
      cores -= charged.cores;
      memoryMb -= charged.memoryMb;
      accelerators -= charged.accelerators;
    }
    return {cores, memoryMb, accelerators};
  }

  /**
   * Adds a task; has no effect if the task is already placed.
   * @param task - Task to place.
   */
  addTask(task: PlacedTask): void {
    if (this.placed.has(task.taskId)) return;
    this.placed.set(task.taskId, task);
    if (task.kind === 'service') this.services.set(task.taskId, task);
    this.usedCores += task.charged.cores;
    this.usedMemoryMb += task.charged.memoryMb;
    this.usedAccelerators += task.charged.accelerators;
    this.addToIndexes(task, 1);
  }

  /**
   * Removes a task and frees its resources.
   * @param taskId - Id of the task.
   */
  removeTask(taskId: string): void {
    const task = this.placed.get(taskId);
    if (task === undefined) return;
    this.placed.delete(taskId);
    this.services.delete(taskId);
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

function isWithin(amount: ResourceAmount, limit: ResourceAmount): boolean {
  return (
    amount.cores <= limit.cores + CORE_EPSILON &&
    amount.memoryMb <= limit.memoryMb &&
    amount.accelerators <= limit.accelerators
  );
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
