/** For how long work occupies workers, by resource. */

import {ResourceRequirements} from '@mustardlug/jobs/job_spec';

/** Resources of several workers. */
export interface WorkerResources {
  readonly cpuMillis: number;
  /** Part of it that long-running tasks leave to others. */
  readonly availableCpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Time for which work takes each resource of all workers that can run it. */
export class Occupancy {
  private cpuMs = 0;
  private memoryMs = 0;
  private acceleratorMs = 0;

  private constructor() {}

  /** Creates the occupancy of no work. */
  static create(): Occupancy {
    return new Occupancy();
  }

  /**
   * Adds other work.
   * @param other - Occupancy of that work.
   */
  add(other: Occupancy): void {
    this.cpuMs += other.cpuMs;
    this.memoryMs += other.memoryMs;
    this.acceleratorMs += other.acceleratorMs;
  }

  /**
   * Adds tasks.
   * @param needs - Needs of each task.
   * @param totalMs - Sum of their expected durations.
   * @param resources - Resources of the workers that can run them.
   */
  addTasks(
    {cpuMillis, memoryMb, accelerators}: ResourceRequirements,
    totalMs: number,
    resources: WorkerResources,
  ): void {
    this.cpuMs += divide(
      totalMs * Math.max(1, cpuMillis),
      resources.availableCpuMillis,
    );
    this.memoryMs += divide(totalMs * memoryMb, resources.memoryMb);
    this.acceleratorMs += divide(
      totalMs * accelerators,
      resources.accelerators,
    );
  }

  /** Gets the time for the resource that takes longest. */
  getLongestMs(): number {
    return Math.max(this.cpuMs, this.memoryMs, this.acceleratorMs);
  }
}

/** Divides work by what handles it. Work that nothing handles takes forever. */
function divide(work: number, capacity: number): number {
  if (work === 0) return 0;
  return capacity > 0 ? work / capacity : Infinity;
}
