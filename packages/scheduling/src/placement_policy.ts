/** Policies that choose a worker for a task. */

import {ResourceAmount, WorkerView} from './worker_view.js';

/** A task that needs a worker. */
export interface PlacementRequest {
  readonly taskId: string;
  readonly kind: 'service' | 'batch';
  readonly name: string;
  readonly charged: ResourceAmount;
  /** For a service: number of its replicas bound in each rack of the failure domain. */
  readonly replicasByRack?: ReadonlyMap<string, number>;
}

export abstract class PlacementPolicy {
  /**
   * Chooses a worker that currently has enough free resources for the task.
   * @param request - Task to place.
   * @param workers - Candidate workers.
   * @returns `undefined` if no worker is suitable.
   */
  abstract chooseWorker(
    request: PlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined;

  /**
   * Checks whether a task may run alongside the tasks on a worker, regardless of free resources.
   * @param request - Task to place.
   * @param worker - Worker to check.
   */
  isCompatible(request: PlacementRequest, worker: WorkerView): boolean {
    return !hasReplica(request, worker);
  }

  /**
   * Checks whether a task may run alongside the services on a worker once
   * batch tasks there have ended or been evicted.
   * @param request - Task to place.
   * @param worker - Worker to check.
   */
  isAllowedBesideServices(
    request: PlacementRequest,
    worker: WorkerView,
  ): boolean {
    return !hasReplica(request, worker);
  }
}

/** Chooses the first suitable worker; baseline for comparisons. */
export class FirstFitPlacement extends PlacementPolicy {
  private constructor() {
    super();
  }

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
 * Checks whether a task may run on a worker: the task must fit, and a worker
 * runs at most one replica of a service.
 * @param request - Task to place.
 * @param worker - Worker to check.
 */
export function canPlace(
  request: PlacementRequest,
  worker: WorkerView,
): boolean {
  return worker.fits(request.charged) && !hasReplica(request, worker);
}

/**
 * Checks whether a worker runs another replica of the same service.
 * @param request - Task to place.
 * @param worker - Worker to check.
 */
export function hasReplica(
  request: PlacementRequest,
  worker: WorkerView,
): boolean {
  if (request.kind !== 'service') return false;
  if (!worker.getReplicaCounts().has(request.name)) return false;
  return !worker.isPlaced(request.taskId);
}
