/** What the workers of one service can run together, and for how long work occupies them. */

import {ResourceRequirements, StepSpec} from '@mustardlug/jobs/job_spec';
import {Occupancy, WorkerResources} from './occupancy.js';
import {WorkerLoad} from './worker_load.js';

/** A worker that is to run jobs, whether or not it is usable at the moment. */
export interface AdmissionWorker {
  readonly load: WorkerLoad;
  readonly labels: readonly string[];
}

/** Resources of all workers of a service. */
export class ServiceCapacity {
  private readonly total: WorkerResources;
  /** The least of each resource that any of the workers has. */
  private readonly smallest: ResourceRequirements;

  private constructor(private readonly workers: readonly AdmissionWorker[]) {
    this.total = sumResources(workers);
    this.smallest = getSmallest(workers);
  }

  /**
   * Creates the capacity of workers.
   * @param workers - Workers of the service that are registered and not leaving.
   */
  static create(workers: readonly AdmissionWorker[]): ServiceCapacity {
    return new ServiceCapacity(workers);
  }

  /** Gets the CPU capacity, in thousandths of a core. */
  getCpuMillis(): number {
    return this.total.cpuMillis;
  }

  /**
   * Checks whether an empty worker could run a task of a step.
   * @param spec - Step.
   */
  canRun(spec: StepSpec): boolean {
    if (this.workers.length === 0) return false;
    return (
      this.canAllRun(spec) || this.workers.some(each => canEverRun(spec, each))
    );
  }

  /**
   * Gets for how long tasks of a step occupy the workers that can run them; all of
   * them if none can, and no time without workers.
   * @param spec - Step.
   * @param totalMs - Sum of the expected durations of the tasks.
   */
  getOccupancy(spec: StepSpec, totalMs: number): Occupancy {
    const occupancy = Occupancy.create();
    if (this.workers.length > 0)
      occupancy.addTasks(spec.needs, totalMs, this.getResources(spec));
    return occupancy;
  }

  private getResources(spec: StepSpec): WorkerResources {
    // Most steps fit on each worker, and there may be hundreds of both.
    if (this.canAllRun(spec)) return this.total;
    const fitting = this.workers.filter(each => canEverRun(spec, each));
    return fitting.length > 0 ? sumResources(fitting) : this.total;
  }

  private canAllRun({needs, requiredLabel}: StepSpec): boolean {
    return requiredLabel === undefined && isWithin(needs, this.smallest);
  }
}

function sumResources(workers: readonly AdmissionWorker[]): WorkerResources {
  const sum = {
    cpuMillis: 0,
    availableCpuMillis: 0,
    memoryMb: 0,
    accelerators: 0,
  };
  for (const {load} of workers) {
    const {cpuMillis, memoryMb, accelerators} = load.getCapacity();
    sum.cpuMillis += cpuMillis;
    sum.availableCpuMillis += load.getBatchCpuMillis();
    sum.memoryMb += memoryMb;
    sum.accelerators += accelerators;
  }
  return sum;
}

function getSmallest(
  workers: readonly AdmissionWorker[],
): ResourceRequirements {
  const smallest = {
    cpuMillis: Infinity,
    memoryMb: Infinity,
    accelerators: Infinity,
  };
  for (const {load} of workers) {
    const {cpuMillis, memoryMb, accelerators} = load.getCapacity();
    smallest.cpuMillis = Math.min(smallest.cpuMillis, cpuMillis);
    smallest.memoryMb = Math.min(smallest.memoryMb, memoryMb);
    smallest.accelerators = Math.min(smallest.accelerators, accelerators);
  }
  return smallest;
}

/**
 * Checks whether a worker could run a task of a step if it were empty.
 * @param spec - Step.
 * @param worker - Worker.
 */
export function canEverRun(
  {needs, requiredLabel}: StepSpec,
  {load, labels}: AdmissionWorker,
): boolean {
  if (requiredLabel !== undefined && !labels.includes(requiredLabel))
    return false;
  return isWithin(needs, load.getCapacity());
}

function isWithin(
  needs: ResourceRequirements,
  capacity: ResourceRequirements,
): boolean {
  return (
    needs.cpuMillis <= capacity.cpuMillis &&
    needs.memoryMb <= capacity.memoryMb &&
    needs.accelerators <= capacity.accelerators
  );
}
