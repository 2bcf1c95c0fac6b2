/** Decides which waiting tasks go to which workers. */

import {JobState, StepState, TaskState} from '@mustardlug/jobs/job_state';
import {QueueConfig} from '@mustardlug/jobs/queue_config';
import {DisturbanceModel} from './disturbance_model.js';
import {PackingRequest, PackingWorker, WorkerRanking} from './packing.js';
import {
  createWaitingStep,
  sortWaitingSteps,
  WaitingStep,
} from './task_order.js';
import {AssignedRun} from './worker_load.js';
import {WorkerSession} from './worker_session.js';

/** A worker that may get new work. */
export interface PlacementWorker extends PackingWorker {
  readonly session: WorkerSession;
}

/** A task and the worker that was chosen for it. */
export interface Placement {
  readonly waiting: WaitingStep;
  readonly task: TaskState;
  readonly worker: PlacementWorker;
}

/** Options of a placement pass. */
export interface PlacementPassOptions {
  readonly disturbance: DisturbanceModel;
  /** Workers that may get new work, by service. */
  readonly workersByService: ReadonlyMap<string, readonly PlacementWorker[]>;
  /** Counts a placement against its worker. */
  readonly place: (placement: Placement) => AssignedRun;
  /** Takes a placement back. */
  readonly undo: (assigned: AssignedRun, worker: PlacementWorker) => void;
}

/** Tasks of one step that a pass placed. */
export interface PlacedStep {
  readonly waiting: WaitingStep;
  readonly workerIds: readonly string[];
  /** Waiting tasks of the step for which there was no room. */
  readonly leftCount: number;
}

/** Needs for which no worker had room. */
interface FailedNeeds {
  readonly cpuMillis: number;
  readonly memoryMb: number;
}

/**
 * Finds the steps with waiting tasks.
 * @param jobs - Jobs that are being worked on.
 * @param getQueue - Gets the terms in force for a job.
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
    job.openDueOccurrences(wallMs);
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.getOpenSteps()) {
        if (!step.tasks.some(isWaitingTask)) continue;
        const queue = getQueue(job);
        waiting.push(createWaitingStep(job, occurrence.number, step, queue));
      }
    }
  }
  return waiting;
}

/**
 * Checks whether a task waits for a worker.
 * @param task - Task to check.
 */
export function isWaitingTask(task: TaskState): boolean {
  return !task.isDone && task.runs.length === 0;
}

/** One pass over all waiting work, in its order. */
export class PlacementPass {
  /** Within a pass workers only fill up, so that larger needs fail as well. */
  private readonly failedNeeds = new Map<string, FailedNeeds>();
  private readonly placedSteps: PlacedStep[] = [];

  private constructor(private readonly options: PlacementPassOptions) {}

  /**
   * Creates a pass.
   * @param options - Workers and what to do with placements.
   */
  static create(options: PlacementPassOptions): PlacementPass {
    return new PlacementPass(options);
  }

  /**
   * Places as much as there is room for.
   * @param waiting - Steps with waiting tasks, in any order.
   * @param wallMs - Wall-clock time.
   */
  run(waiting: readonly WaitingStep[], wallMs: number): void {
    for (const each of sortWaitingSteps(waiting, wallMs)) {
      const key = getNeedsKey(each);
      if (this.isKnownToFail(key, each.step)) continue;
      const isPlaced = each.step.spec.isGang
        ? this.placeGang(each)
        : this.placeTasks(each);
      if (!isPlaced) this.noteFailure(key, each.step);
    }
  }

  /** Gets what was placed, in order. */
  getPlacedSteps(): readonly PlacedStep[] {
    return this.placedSteps;
  }

  private notePlaced(
    waiting: WaitingStep,
    workers: readonly PlacementWorker[],
  ): void {
    if (workers.length === 0) return;
    this.placedSteps.push({
      waiting,
      workerIds: workers.map(({session}) => session.getId()),
      leftCount: waiting.step.tasks.filter(isWaitingTask).length,
    });
  }

  /** Places the waiting tasks one by one; tells whether all found room. */
  private placeTasks(waiting: WaitingStep): boolean {
    const ranking = this.rank(waiting);
    const workers: PlacementWorker[] = [];
    let hasRoom = true;
    for (const task of waiting.step.tasks) {
      if (!isWaitingTask(task)) continue;
      const worker = ranking.getBest();
      hasRoom = worker !== undefined;
      if (worker === undefined) break;
      this.options.place({waiting, task, worker});
      workers.push(worker);
      ranking.refreshBest();
    }
    this.notePlaced(waiting, workers);
    return hasRoom;
  }

  /** The members of a gang work only together: all are placed, or none. */
  private placeGang(waiting: WaitingStep): boolean {
    const {step} = waiting;
    if (step.hasRuns()) return true;
    const ranking = this.rank(waiting);
    const placed: Array<{assigned: AssignedRun; worker: PlacementWorker}> = [];
    for (const task of step.tasks) {
      const worker = ranking.getBest();
      if (worker === undefined) {
        for (const each of placed)
          this.options.undo(each.assigned, each.worker);
        return false;
      }
      placed.push({
        assigned: this.options.place({waiting, task, worker}),
        worker,
      });
      ranking.refreshBest();
    }
    this.notePlaced(
      waiting,
      placed.map(({worker}) => worker),
    );
    return true;
  }

  private rank(waiting: WaitingStep): WorkerRanking<PlacementWorker> {
    const {step, queue} = waiting;
    const workers = this.options.workersByService.get(queue.serviceName) ?? [];
    const request: PackingRequest = {
      step,
      disturbance: this.options.disturbance,
      preferredRack: step.spec.isSameRackPreferred
        ? findRoomiestRack(workers)
        : undefined,
    };
    return WorkerRanking.create(request, workers);
  }

  private isKnownToFail(key: string | undefined, step: StepState): boolean {
    const failed = key === undefined ? undefined : this.failedNeeds.get(key);
    if (failed === undefined) return false;
    const {cpuMillis, memoryMb} = step.spec.needs;
    return cpuMillis >= failed.cpuMillis && memoryMb >= failed.memoryMb;
  }

  private noteFailure(key: string | undefined, step: StepState): void {
    if (key === undefined) return;
    const {cpuMillis, memoryMb} = step.spec.needs;
    this.failedNeeds.set(key, {cpuMillis, memoryMb});
  }
}

/** Names work that finds room on the same workers; undefined when a step has wishes of its own. */
function getNeedsKey({step, queue}: WaitingStep): string | undefined {
  const {spec} = step;
  const hasWishes =
    spec.isGang ||
    spec.maxPerWorker > 0 ||
    spec.requiredLabel !== undefined ||
    spec.needs.accelerators > 0;
  if (hasWishes) return undefined;
  const kind = spec.isFiller ? `filler ${spec.image ?? ''}` : 'plain';
  return `${queue.serviceName} ${kind}`;
}

function findRoomiestRack(
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
