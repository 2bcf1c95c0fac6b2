/** CPU that a number of batch tasks need together, and the size of one of them. */

import {ResourceRequirements} from '@mustardlug/jobs/job_spec';

/** Sum over batch tasks that need CPU. */
export class BatchDemand {
  private cpuMillis = 0;
  /** Sum of the squared CPU needs, from which the size of a task is computed. */
  private squaredCpu = 0;
  /** Sum of the products of CPU and memory needs. */
  private weightedMemory = 0;

  private constructor() {}

  /** Creates the demand of no tasks. */
  static create(): BatchDemand {
    return new BatchDemand();
  }

  /**
   * Adds equal tasks.
   * @param needs - Needs of one task.
   * @param count - Number of tasks; negative to remove them.
   */
  addTasks({cpuMillis, memoryMb}: ResourceRequirements, count: number): void {
    this.cpuMillis += count * cpuMillis;
    this.squaredCpu += count * cpuMillis * cpuMillis;
    this.weightedMemory += count * cpuMillis * memoryMb;
  }

  /**
   * Adds the tasks of another demand.
   * @param other - Demand to add.
   */
  add(other: BatchDemand): void {
    this.cpuMillis += other.cpuMillis;
    this.squaredCpu += other.squaredCpu;
    this.weightedMemory += other.weightedMemory;
  }

  /** Gets the CPU of all tasks, in thousandths of a core. */
  getCpuMillis(): number {
    return this.cpuMillis;
  }

  /**
   * Gets the needs of a typical task, weighted by CPU: room for many small tasks is of no
   * use to the large ones, which need most of it. Undefined without tasks.
   */
  getTaskNeeds(): ResourceRequirements | undefined {
    if (this.cpuMillis <= 0) return undefined;
    return {
      cpuMillis: this.squaredCpu / this.cpuMillis,
      memoryMb: this.weightedMemory / this.cpuMillis,
      accelerators: 0,
    };
  }
}
