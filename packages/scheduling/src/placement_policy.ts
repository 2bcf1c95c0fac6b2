/** Chooses the worker for a task. */

import {ResourceAmount, WorkerView} from './worker_view.js';

/** A task that needs a worker. */
export interface PlacementRequest {
  readonly taskId: string;
  readonly kind: 'service' | 'batch';
  readonly name: string;
  readonly charged: ResourceAmount;
  /** For a service: replicas that run in each rack of the failure domain. */
  readonly replicasByRack?: ReadonlyMap<string, number>;
}

/** Decides where tasks run. */
export abstract class PlacementPolicy {
  /**
   * Chooses a worker on which the task fits now.
   * @param request - Task to place.
   * @param workers - Workers that may be used.
   * @returns `undefined` when the task fits nowhere.
   */
  abstract chooseWorker(
    request: PlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined;

  /**
   * Checks whether a task may run beside what is placed on a worker, room aside.
   * @param request - Task to place.
   * @param worker - Worker in question.
   */
  isCompatible(request: PlacementRequest, worker: WorkerView): boolean {
    return !hasReplica(request, worker);
  }
}

/** First worker in order on which the task fits; the baseline to beat. */
export class FirstFitPlacement extends PlacementPolicy {
  private constructor() {
    super();
  }

  /** Creates the policy. */
  static create(): FirstFitPlacement {
    return new FirstFitPlacement();
  }

  override chooseWorker(
    request: PlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined {
    for (const worker of workers) {
      if (canPlace(request, worker)) return worker;
    }
    return undefined;
  }
}

/**
 * Checks whether a task may run on a worker: it fits, and a worker runs one
 * replica of a service at most.
 * @param request - Task to place.
 * @param worker - Worker in question.
 */
export function canPlace(
  request: PlacementRequest,
  worker: WorkerView,
): boolean {
  return worker.isFitting(request.charged) && !hasReplica(request, worker);
}

/**
 * Checks whether a worker runs a replica of the same service.
 * @param request - Task to place.
 * @param worker - Worker in question.
 */
export function hasReplica(
  request: PlacementRequest,
  worker: WorkerView,
): boolean {
  if (request.kind !== 'service') return false;
  if (!worker.getReplicaCounts().has(request.name)) return false;
  return !worker.isPlaced(request.taskId);
}
