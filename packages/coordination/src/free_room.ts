/** Room that the workers of one service have for waiting tasks. */

import {StepSpec} from '@mustardlug/jobs/job_spec';
import {AdmissionWorker, canEverRun} from './service_capacity.js';

/** Resources of one worker that are free. */
interface FreeResources {
  readonly worker: AdmissionWorker;
  cpuMillis: number;
  /** CPU that is available to fillers. */
  reclaimableCpuMillis: number;
  memoryMb: number;
  accelerators: number;
}

/** Counts the waiting tasks that find room at once, step by step in the order of placement. */
export class FreeRoom {
  /** Steps that have found less room than they need. Steps that need as much find none. */
  private readonly failedSpecs: StepSpec[] = [];

  private constructor(private readonly workers: readonly FreeResources[]) {}

  /**
   * Creates the room that workers have.
   * @param workers - Workers of the service that are registered and not leaving.
   */
  static create(workers: readonly AdmissionWorker[]): FreeRoom {
    return new FreeRoom(
      workers.map(worker => ({
        worker,
        cpuMillis: worker.load.getFreeCpuMillis(),
        reclaimableCpuMillis: worker.load.getReclaimableCpuMillis(),
        memoryMb: worker.load.getFreeMemoryMb(),
        accelerators: worker.load.getFreeAccelerators(),
      })),
    );
  }

  /**
   * Takes room for tasks.
   * @param spec - Step of the tasks.
   * @param taskCount - Number of tasks; those of a gang find room together or not at all.
   * @returns The number of tasks that find room.
   */
  take(spec: StepSpec, taskCount: number): number {
    if (this.failedSpecs.some(failed => needsAsMuch(spec, failed))) return 0;
    const takes: Array<[FreeResources, number]> = [];
    let remaining = taskCount;
    for (const free of this.workers) {
      if (remaining === 0) break;
      const count = Math.min(remaining, countFitting(spec, free));
      if (count === 0) continue;
      takes.push([free, count]);
      remaining -= count;
    }
    if (remaining > 0) this.failedSpecs.push(spec);
    if (remaining > 0 && spec.isGang) return 0;
    for (const [free, count] of takes) takeFrom(free, spec, count);
    return taskCount - remaining;
  }
}

function countFitting(spec: StepSpec, free: FreeResources): number {
  if (!canEverRun(spec, free.worker)) return 0;
  const {cpuMillis, memoryMb, accelerators} = spec.needs;
  const freeCpuMillis = spec.isFiller
    ? free.reclaimableCpuMillis
    : free.cpuMillis;
  return Math.min(
    divide(freeCpuMillis, cpuMillis),
    divide(free.memoryMb, memoryMb),
    divide(free.accelerators, accelerators),
  );
}

function divide(free: number, needed: number): number {
  return needed > 0 ? Math.max(0, Math.floor(free / needed)) : Infinity;
}

function takeFrom(
  free: FreeResources,
  {needs, isFiller}: StepSpec,
  count: number,
) {
  if (!isFiller) free.cpuMillis -= count * needs.cpuMillis;
  free.reclaimableCpuMillis -= count * needs.cpuMillis;
  free.memoryMb -= count * needs.memoryMb;
  free.accelerators -= count * needs.accelerators;
}

/** Checks whether a step needs as much of each worker as another one that is no gang. */
function needsAsMuch(spec: StepSpec, other: StepSpec): boolean {
  if (other.isGang) return false;
  return (
    spec.isFiller === other.isFiller &&
    spec.requiredLabel === other.requiredLabel &&
    spec.needs.cpuMillis >= other.needs.cpuMillis &&
    spec.needs.memoryMb >= other.needs.memoryMb &&
    spec.needs.accelerators >= other.needs.accelerators
  );
}
