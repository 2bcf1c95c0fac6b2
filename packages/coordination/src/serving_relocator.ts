/** Selects serving tasks to relocate from workers that are slow for other reasons than fillers. */

import {StepState} from '@mustardlug/jobs/job_state';
import {InterferenceModel, hasResponseTarget} from './interference_model.js';
import {CandidateWorker, WorkerRanking} from './worker_ranking.js';
import {AssignedRun, WorkerLoad} from './worker_load.js';

/**
 * Time for which all response times must be saturated: two reports of
 * measurements that cover half a second each.
 */
const MIN_SATURATED_MS = 700;

/** Time after its placement from which a serving task counts as available. */
const STARTUP_MS = 1_500;

/**
 * Minimum time between the placement of a task and its relocation. Relocating
 * serving tasks that are overloaded by their own requests does not help, so this
 * limits how often they are relocated.
 */
const MIN_RESIDENCE_MS = 10_000;

/** Relocates at most one task of a worker at a time, and only if another worker has room for it. */
export class ServingRelocator {
  private readonly saturatedSinceMs = new WeakMap<WorkerLoad, number>();

  private constructor(private readonly interferenceModel: InterferenceModel) {}

  /**
   * Creates a relocator.
   * @param interferenceModel - Model that classifies the response times of workers.
   */
  static create(interferenceModel: InterferenceModel): ServingRelocator {
    return new ServingRelocator(interferenceModel);
  }

  /**
   * Finds a serving task to stop, so that it is placed on another worker.
   * @param load - Runs of a worker that has just reported.
   * @param workers - Workers that are eligible for new tasks.
   * @param nowMs - Monotonic time.
   */
  findRunToMove(
    load: WorkerLoad,
    workers: readonly CandidateWorker[],
    nowMs: number,
  ): AssignedRun | undefined {
    if (!this.isPersistentlySaturated(load, nowMs)) return undefined;
    const serving = [...load.getServingRuns()].filter(hasResponseTarget);
    // The capacity that a stopping task will use elsewhere is not reserved yet.
    if (serving.some(({run}) => run.isStopping)) return undefined;
    const others = workers.filter(worker => worker.load !== load);
    return serving.find(
      assigned =>
        assigned.run.isConfirmed &&
        nowMs - assigned.run.placedMs >= MIN_RESIDENCE_MS &&
        isDisruptionAllowed(assigned.step, nowMs) &&
        this.hasRoomOnOtherWorkers(assigned.step, others),
    );
  }

  private isPersistentlySaturated(load: WorkerLoad, nowMs: number): boolean {
    if (this.interferenceModel.getResponseState(load) !== 'saturated') {
      this.saturatedSinceMs.delete(load);
      return false;
    }
    const sinceMs = this.saturatedSinceMs.get(load) ?? nowMs;
    this.saturatedSinceMs.set(load, sinceMs);
    return nowMs - sinceMs >= MIN_SATURATED_MS;
  }

  private hasRoomOnOtherWorkers(
    step: StepState,
    others: readonly CandidateWorker[],
  ): boolean {
    const {interferenceModel} = this;
    const ranking = WorkerRanking.create({step, interferenceModel}, others);
    return ranking.getBest() !== undefined;
  }
}

/** Checks whether the caller's limit on unavailable tasks permits one more. */
function isDisruptionAllowed(step: StepState, nowMs: number): boolean {
  const {maxUnavailable} = step.spec;
  if (maxUnavailable === undefined) return true;
  const unavailableCount = step.tasks.filter(
    ({runs}) =>
      !runs.some(
        run =>
          run.isConfirmed &&
          !run.isStopping &&
          nowMs - run.placedMs >= STARTUP_MS,
      ),
  ).length;
  return unavailableCount < maxUnavailable;
}
