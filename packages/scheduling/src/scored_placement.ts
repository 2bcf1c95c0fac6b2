/**
 * Placement by cost: minimizes interference, spreads replicas across racks and
 * avoids fragmenting accelerators.
 *
 * A bounded random sample of the workers is scored, so that the cost of a
 * decision does not grow with the fleet; all workers are scanned only when the
 * sample contains no suitable worker.
 */

import {RandomSource} from '@mustardlug/base/random_source';
import {Objective} from '@mustardlug/document/environment_document';
import {InterferenceModel} from './interference_model.js';
import {InterferenceTrials} from './interference_trials.js';
import {PlacementPolicy, PlacementRequest} from './placement_policy.js';
import {WorkerView} from './worker_view.js';

export interface ScoredPlacementOptions {
  readonly objective: Objective;
  readonly model: InterferenceModel;
  readonly random: RandomSource;
  /** Expected slowdown of a service above which no batch task is colocated with it. */
  readonly slowdownLimit: number;
  /** Trials beside services that a job is kept off; if absent, there are none. */
  readonly trials?: InterferenceTrials;
}

const BATCH_SAMPLE_SIZE = 24;
/**
 * Larger than for batch tasks: replicas are long-lived, rarely placed, and
 * must be spread across racks.
 */
const SERVICE_SAMPLE_SIZE = 96;
const SAME_RACK_PENALTY = 1;
const ACCELERATOR_WASTE_PENALTY = 3;
const LEFTOVER_WEIGHT = 0.5;

/** Chooses the worker with the lowest cost from a random sample. */
export class ScoredPlacement extends PlacementPolicy {
  private constructor(private readonly options: ScoredPlacementOptions) {
    super();
  }

  static create(options: ScoredPlacementOptions): ScoredPlacement {
    return new ScoredPlacement(options);
  }

  override chooseWorker(
    request: PlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined {
    const sampleSize =
      request.kind === 'service' ? SERVICE_SAMPLE_SIZE : BATCH_SAMPLE_SIZE;
    if (workers.length <= sampleSize) {
      return (
        this.chooseBest(request, workers) ??
        this.chooseForTrial(request, workers)
      );
    }
    const sample = this.getSample(workers, sampleSize);
    return (
      this.chooseBest(request, sample) ??
      this.chooseFirstFit(request, workers) ??
      this.chooseForTrial(request, workers)
    );
  }

  /**
   * Chooses a worker on which only the effect of the job itself on services
   * rules the task out, if a trial beside each of them is due.
   */
  private chooseForTrial(
    request: PlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined {
    if (request.kind === 'service') return undefined;
    for (const worker of workers) {
      if (!worker.fits(request.charged)) continue;
      if (!this.isAllowedBesideServices(request, worker)) continue;
      const ruledOutBy = this.getServicesThatRuleOut(request, worker);
      const isTriable = ruledOutBy.every(
        serviceName =>
          this.getSlowdownByNeighbors(serviceName, worker) <=
            this.options.slowdownLimit &&
          this.options.trials?.isDue(serviceName, request.name),
      );
      if (!isTriable) continue;
      for (const serviceName of ruledOutBy) {
        this.options.trials?.recordTrial(serviceName, request.name);
      }
      return worker;
    }
    return undefined;
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
    return worker.fits(request.charged) && this.isCompatible(request, worker);
  }

  /**
   * Rejects batch tasks that are predicted to slow down a service beyond the
   * limit, since they would soon be evicted.
   */
  override isCompatible(
    request: PlacementRequest,
    worker: WorkerView,
  ): boolean {
    if (request.kind === 'service') return super.isCompatible(request, worker);
    return this.getServicesThatRuleOut(request, worker).length === 0;
  }

  /** Gets the services on a worker that a batch task would slow down beyond the limit. */
  private getServicesThatRuleOut(
    request: PlacementRequest,
    worker: WorkerView,
  ): string[] {
    const names: string[] = [];
    for (const serviceName of worker.getReplicaCounts().keys()) {
      const perCore = this.options.model.getEffect(serviceName, request.name);
      const expected =
        this.getSlowdownByNeighbors(serviceName, worker) +
        perCore * request.charged.cores;
      if (expected > this.options.slowdownLimit) names.push(serviceName);
    }
    return names;
  }

  override isAllowedBesideServices(
    request: PlacementRequest,
    worker: WorkerView,
  ): boolean {
    if (request.kind === 'service') {
      return super.isAllowedBesideServices(request, worker);
    }
    const {model, slowdownLimit, trials} = this.options;
    for (const serviceName of worker.getReplicaCounts().keys()) {
      const perCore = model.getEffect(serviceName, request.name);
      if (1 + perCore * request.charged.cores <= slowdownLimit) continue;
      if (!trials?.isDue(serviceName, request.name)) return false;
    }
    return true;
  }

  /** Gets the expected slowdown of a service by the batch tasks on a worker. */
  private getSlowdownByNeighbors(
    serviceName: string,
    worker: WorkerView,
  ): number {
    let slowdown = 1;
    for (const [name, cores] of worker.getBatchCores()) {
      slowdown += this.options.model.getEffect(serviceName, name) * cores;
    }
    return slowdown;
  }

  private getCost(request: PlacementRequest, worker: WorkerView): number {
    const {objective} = this.options;
    const replicasInRack = request.replicasByRack?.get(worker.rack) ?? 0;
    const interference = this.getInterference(request, worker);
    return (
      objective.tailLatencyWeight * interference +
      objective.throughputWeight * getLeftoverCost(request, worker) +
      getAcceleratorWasteCost(request, worker) +
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

/** Cost of the cores left free on the worker; favors tight packing. */
function getLeftoverCost(
  request: PlacementRequest,
  worker: WorkerView,
): number {
  const left = worker.getFreeResources().cores - request.charged.cores;
  return (LEFTOVER_WEIGHT * left) / worker.capacity.cores;
}

function getAcceleratorWasteCost(
  request: PlacementRequest,
  worker: WorkerView,
): number {
  const {accelerators} = worker.capacity;
  if (accelerators === 0) return 0;
  if (request.charged.accelerators === 0) return ACCELERATOR_WASTE_PENALTY;
  const left =
    worker.getFreeResources().accelerators - request.charged.accelerators;
  return left / accelerators;
}
