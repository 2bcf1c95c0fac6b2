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

const BATCH_SAMPLE_SIZE = 24;
/** Replicas are placed rarely and for long, and racks are to be spread over. */
const SERVICE_SAMPLE_SIZE = 96;
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
    const sampleSize =
      request.kind === 'service' ? SERVICE_SAMPLE_SIZE : BATCH_SAMPLE_SIZE;
    if (workers.length <= sampleSize) return this.chooseBest(request, workers);
    const sample = this.getSample(workers, sampleSize);
    return (
      this.chooseBest(request, sample) ?? this.chooseFirstFit(request, workers)
    );
  }

  private getSample(
    workers: readonly WorkerView[],
    size: number,
  ): WorkerView[] {
    const {random} = this.options;
    const sample: WorkerView[] = [];
    for (let count = 0; count < size; count++) {
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
    for (const serviceName of worker.getReplicaCounts().keys()) {
      const expected = this.getExpectedSlowdown(serviceName, request, worker);
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
    for (const [name, cores] of worker.getBatchCores()) {
      slowdown += model.getEffect(serviceName, name) * cores;
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
    if (request.kind === 'batch') {
      for (const serviceName of worker.getReplicaCounts().keys()) {
        const perCore = model.getEffect(serviceName, request.name);
        sum += perCore * request.charged.cores;
      }
      return sum;
    }
    for (const [name, cores] of worker.getBatchCores()) {
      sum += model.getEffect(request.name, name) * cores;
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
