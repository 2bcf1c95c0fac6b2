/**
 * Placement by score: little interference, replicas spread over racks, and
 * accelerators kept free in whole workers.
 *
 * A bounded random sample of the workers is scored, so that a decision does
 * not slow down as the fleet grows; all workers are looked at only when the
 * sample holds no fit.
 */

import {RandomSource} from '@mustardlug/base/random_source';
import {Objective} from '@mustardlug/document/environment_document';
import {InterferenceModel} from './interference_model.js';
import {PlacementPolicy, PlacementRequest} from './placement_policy.js';
import {WorkerView} from './worker_view.js';

/** Options of the policy. */
export interface ScoredPlacementOptions {
  readonly objective: Objective;
  readonly model: InterferenceModel;
  readonly random: RandomSource;
  /** Expected slowdown of a service above which no batch task is put beside it. */
  readonly slowdownLimit: number;
}

const SAMPLE_SIZE = 24;
const SAME_RACK_PENALTY = 1;
const ACCELERATOR_WASTE_PENALTY = 3;
const LEFTOVER_WEIGHT = 0.5;

/** Scores a sample of the workers. */
export class ScoredPlacement extends PlacementPolicy {
  private constructor(private readonly options: ScoredPlacementOptions) {
    super();
  }

  /**
   * Creates the policy.
   * @param options - Objective, model and random numbers.
   */
  static create(options: ScoredPlacementOptions): ScoredPlacement {
    return new ScoredPlacement(options);
  }

  override chooseWorker(
    request: PlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined {
    if (request.kind === 'service' || workers.length <= SAMPLE_SIZE) {
      return this.chooseBest(request, workers);
    }
    return (
      this.chooseBest(request, this.getSample(workers)) ??
      this.chooseFirstFit(request, workers)
    );
  }

  private getSample(workers: readonly WorkerView[]): WorkerView[] {
    const {random} = this.options;
    const sample: WorkerView[] = [];
    for (let count = 0; count < SAMPLE_SIZE; count++) {
      sample.push(workers[random.getIndex(workers.length)]);
    }
    return sample;
  }

  private chooseFirstFit(
    request: PlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined {
    const start = this.options.random.getIndex(workers.length);
    for (let offset = 0; offset < workers.length; offset++) {
      const worker = workers[(start + offset) % workers.length];
      if (this.isAllowed(request, worker)) return worker;
    }
    return undefined;
  }

  private chooseBest(
    request: PlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined {
    let best: WorkerView | undefined;
    let bestCost = Infinity;
    for (const worker of workers) {
      if (!this.isAllowed(request, worker)) continue;
      const cost = this.getCost(request, worker);
      if (cost >= bestCost) continue;
      best = worker;
      bestCost = cost;
    }
    return best;
  }

  private isAllowed(request: PlacementRequest, worker: WorkerView): boolean {
    return (
      worker.isFitting(request.charged) && this.isCompatible(request, worker)
    );
  }

  /** A batch task that would soon be evicted for a service had better wait. */
  override isCompatible(
    request: PlacementRequest,
    worker: WorkerView,
  ): boolean {
    if (request.kind === 'service') return super.isCompatible(request, worker);
    for (const task of worker.getPlaced()) {
      if (task.kind !== 'service') continue;
      const expected = this.getExpectedSlowdown(task.name, request, worker);
      if (expected > this.options.slowdownLimit) return false;
    }
    return true;
  }

  private getExpectedSlowdown(
    serviceName: string,
    request: PlacementRequest,
    worker: WorkerView,
  ): number {
    const {model} = this.options;
    const perCore = model.getEffect(serviceName, request.name);
    let slowdown = 1 + perCore * request.charged.cores;
    for (const {kind, name, charged} of worker.getPlaced()) {
      if (kind !== 'batch') continue;
      slowdown += model.getEffect(serviceName, name) * charged.cores;
    }
    return slowdown;
  }

  private getCost(request: PlacementRequest, worker: WorkerView): number {
    const {objective} = this.options;
    const replicasInRack = request.replicasByRack?.get(worker.rack) ?? 0;
    const interference = this.getInterference(request, worker);
    return (
      objective.tailLatencyWeight * interference +
      objective.throughputWeight * getLeftover(request, worker) +
      getAcceleratorWaste(request, worker) +
      SAME_RACK_PENALTY * replicasInRack
    );
  }

  private getInterference(
    request: PlacementRequest,
    worker: WorkerView,
  ): number {
    const {model} = this.options;
    let sum = 0;
    for (const task of worker.getPlaced()) {
      if (task.kind === request.kind) continue;
      sum +=
        request.kind === 'batch'
          ? model.getEffect(task.name, request.name) * request.charged.cores
          : model.getEffect(request.name, task.name) * task.charged.cores;
    }
    return sum;
  }
}

/** Fraction of the worker's free cores that the task would leave; low values pack tightly. */
function getLeftover(request: PlacementRequest, worker: WorkerView): number {
  const left = worker.getFree().cores - request.charged.cores;
  return (LEFTOVER_WEIGHT * left) / worker.capacity.cores;
}

function getAcceleratorWaste(
  request: PlacementRequest,
  worker: WorkerView,
): number {
  const {accelerators} = worker.capacity;
  if (accelerators === 0) return 0;
  if (request.charged.accelerators === 0) return ACCELERATOR_WASTE_PENALTY;
  const left = worker.getFree().accelerators - request.charged.accelerators;
  return left / accelerators;
}
