/**
 * Room of the workers of one service for batch tasks during a placement pass, and whether a
 * long-running task that has never run leaves enough of it.
 */

import {ResourceRequirements} from '@mustardlug/jobs/job_spec';
import {WorkerLoad} from './worker_load.js';

/** Room that is kept for batch tasks, counted in tasks of their size. */
export interface KeptRoom {
  /** Needs of one batch task. */
  readonly taskNeeds: ResourceRequirements;
  /** Batch tasks that ran or waited at a time, on average. */
  readonly meanTasks: number;
  /** The most batch tasks that ran or waited at a time. */
  readonly peakTasks: number;
}

/**
 * Which part of the kept room a long-running task must leave:
 * - `peak`: room for the largest wave
 * - `reduced`: half way between that and the average demand, with which all but the largest waves
 *   find room
 * - `mean`: room for the average demand, with which no batch work is left over for good
 * - `none`: it is not held back
 */
export type HoldLevel = 'peak' | 'reduced' | 'mean' | 'none';

/**
 * Fraction of the capacity in use up to which nothing is held back. Without it, large batch tasks
 * could find no room in the gaps of an almost empty fleet and hold back all others.
 */
const AMPLE_USE_FRACTION = 0.5;

/**
 * Wait up to which a long-running task leaves room for the largest wave: the time after which a wave
 * that does not come again is forgotten. Batch work is of no use after a few seconds, while a
 * task that runs for long loses little by this.
 */
const PEAK_HOLD_MS = 30_000;

/**
 * Wait from which one task of a job that has no run need only leave room for the average demand. All tasks
 * would leave the waves without room for good; without any, the job serves nobody.
 */
const LONG_HOLD_MS = 60_000;

/** Free room of workers, which shrinks as tasks are placed. */
export class BatchRoom {
  private constructor(
    private readonly loads: readonly WorkerLoad[],
    private readonly kept: KeptRoom,
    private readonly onHeld: () => void,
  ) {}

  /**
   * Creates the room of workers.
   * @param loads - Workers that are usable for new runs.
   * @param kept - Room that is to be kept.
   * @param onHeld - Called when a task is held back.
   */
  static create(
    loads: readonly WorkerLoad[],
    kept: KeptRoom,
    onHeld: () => void = () => undefined,
  ): BatchRoom {
    return new BatchRoom(loads, kept, onHeld);
  }

  /**
   * Creates a filter of the workers on which a long-running task leaves the room that is kept.
   * It holds until a further task is placed.
   * @param needs - Needs of the task.
   * @param level - Part of the kept room that the task must leave.
   */
  createFilter(
    needs: ResourceRequirements,
    level: HoldLevel,
  ): (load: WorkerLoad) => boolean {
    if (level === 'none' || this.hasAmpleRoom()) return () => true;
    const keptTasks = this.getKeptTasks(level);
    const spareTasks = this.countTasks() - keptTasks;
    return load => {
      const lostTasks = this.getFit(load) - this.getFit(load, needs);
      // A gap that is too small for a batch task is no loss.
      return lostTasks === 0 || lostTasks <= spareTasks;
    };
  }

  /** Records that no worker was left for a task. */
  recordHeld(): void {
    this.onHeld();
  }

  /** Describes the room for the log. */
  describe(): string {
    const kept = [this.kept.meanTasks, this.kept.peakTasks]
      .map(count => count.toFixed(0))
      .join(' to ');
    return `room for ${this.countTasks().toFixed(0)} batch tasks in use or free, ${kept} kept`;
  }

  private getKeptTasks(level: Exclude<HoldLevel, 'none'>): number {
    const {meanTasks, peakTasks} = this.kept;
    switch (level) {
      case 'peak':
        return peakTasks;
      case 'reduced':
        return (meanTasks + peakTasks) / 2;
      case 'mean':
        return meanTasks;
    }
  }

  /** Counts the batch tasks for which there is room, in use or free. Those that run end soon. */
  private countTasks(): number {
    let count = 0;
    for (const load of this.loads) {
      const usedTasks =
        load.getBatchUseCpuMillis() / this.kept.taskNeeds.cpuMillis;
      count += this.getFit(load) + usedTasks;
    }
    return count;
  }

  private hasAmpleRoom(): boolean {
    let capacity = 0;
    let free = 0;
    for (const load of this.loads) {
      capacity += load.getCapacity().cpuMillis;
      free += load.getFreeCpuMillis();
    }
    return capacity - free < capacity * AMPLE_USE_FRACTION;
  }

  /** Gets how many batch tasks fit on a worker, after a further task if one is given. */
  private getFit(load: WorkerLoad, taken?: ResourceRequirements): number {
    const {cpuMillis, memoryMb} = this.kept.taskNeeds;
    const freeCpuMillis = load.getFreeCpuMillis() - (taken?.cpuMillis ?? 0);
    const freeMemoryMb = load.getFreeMemoryMb() - (taken?.memoryMb ?? 0);
    const byCpu = Math.floor(freeCpuMillis / cpuMillis);
    const byMemory =
      memoryMb > 0 ? Math.floor(freeMemoryMb / memoryMb) : Infinity;
    return Math.max(0, Math.min(byCpu, byMemory));
  }
}

/**
 * Gets which part of the kept room a long-running task that has never run must leave.
 * @param waitMs - Time for which its job has waited.
 * @param hasRuns - Whether its job has a run.
 */
export function getHoldLevel(waitMs: number, hasRuns: boolean): HoldLevel {
  if (waitMs < PEAK_HOLD_MS) return 'peak';
  return waitMs >= LONG_HOLD_MS && !hasRuns ? 'mean' : 'reduced';
}
