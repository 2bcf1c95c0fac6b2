/**
 * Protects services from interference by batch attempts: throttles them first,
 * then evicts them.
 *
 * Hysteresis prevents reactions to small changes. Measurements are delayed, so
 * no further action is taken on a worker until a measurement can reflect the
 * previous one.
 */

import {Objective} from '@mustardlug/document/environment_document';

/** A running batch attempt on the same worker as the measured service. */
export interface NeighborAttempt {
  readonly taskId: string;
  readonly attempt: number;
  readonly cpuShare: number;
  /** Slowdown of the service that the model attributes to this attempt. */
  readonly slowdownContribution: number;
  readonly progress: number;
}

/** Action to take on a worker; `throttle` sets the CPU share, lower or higher than before. */
export type InterferenceAction =
  | {readonly kind: 'none'}
  | {
      readonly kind: 'throttle';
      readonly target: NeighborAttempt;
      readonly cpuShare: number;
    }
  | {readonly kind: 'evict'; readonly target: NeighborAttempt};

/** Slowdown of a worker's most affected service, with the batch attempts that share the worker. */
export interface WorkerMeasurement {
  readonly workerId: string;
  readonly slowdown: number;
  /** Time at which the slowdown was measured. */
  readonly measuredAtMs: number;
  readonly nowMs: number;
  readonly neighbors: readonly NeighborAttempt[];
}

interface WorkerState {
  lastActionMs: number;
  belowLowLimitSinceMs: number | undefined;
}

/** Accepted latency increase, as a fraction of the baseline, if all objective weights are equal. */
const DEFAULT_ACCEPTED_INCREASE = 0.3;
const MIN_ACCEPTED_INCREASE = 0.1;
const MAX_ACCEPTED_INCREASE = 1;
/** Fraction of the accepted increase below which throttled attempts may be restored. */
const RESTORE_FRACTION = 0.4;
/** Time for which the slowdown must stay below the low limit before throttling is reverted. */
const RESTORE_DELAY_MS = 10_000;
/** Time after an action before a measurement is assumed to reflect it. */
const MEASUREMENT_SETTLE_MS = 500;
const MIN_CPU_SHARE = 0.25;

/** Chooses actions for workers with slowed services. */
export class InterferenceController {
  private readonly workers = new Map<string, WorkerState>();
  private readonly highLimit: number;
  private readonly lowLimit: number;

  private constructor(objective: Objective) {
    const batchWeight =
      (objective.evictionWeight + objective.throughputWeight) / 2;
    const ratio = batchWeight / Math.max(0.01, objective.tailLatencyWeight);
    const acceptedIncrease = Math.min(
      MAX_ACCEPTED_INCREASE,
      Math.max(MIN_ACCEPTED_INCREASE, DEFAULT_ACCEPTED_INCREASE * ratio),
    );
    this.highLimit = 1 + acceptedIncrease;
    this.lowLimit = 1 + acceptedIncrease * RESTORE_FRACTION;
  }

  /**
   * Creates a controller.
   * @param objective - Weights of tail latency, evictions and throughput.
   */
  static create(objective: Objective): InterferenceController {
    return new InterferenceController(objective);
  }

  /** Gets the slowdown above which batch attempts are throttled or evicted. */
  getSlowdownLimit(): number {
    return this.highLimit;
  }

  /**
   * Chooses the next action for a worker.
   * @param measurement - Measurement of a worker.
   */
  getAction(measurement: WorkerMeasurement): InterferenceAction {
    const state = this.getOrAddState(measurement.workerId);
    if (measurement.measuredAtMs < state.lastActionMs + MEASUREMENT_SETTLE_MS) {
      return {kind: 'none'};
    }
    if (measurement.slowdown > this.highLimit) {
      state.belowLowLimitSinceMs = undefined;
      return this.throttleOrEvict(state, measurement);
    }
    if (measurement.slowdown > this.lowLimit) {
      state.belowLowLimitSinceMs = undefined;
      return {kind: 'none'};
    }
    return this.restoreCpuShare(state, measurement);
  }

  /**
   * Forgets the actions on a worker.
   * @param workerId - Id of the worker.
   */
  removeWorker(workerId: string): void {
    this.workers.delete(workerId);
  }

  private throttleOrEvict(
    state: WorkerState,
    measurement: WorkerMeasurement,
  ): InterferenceAction {
    const throttleTarget = getMostDisruptive(
      measurement.neighbors.filter(
        neighbor => neighbor.cpuShare / 2 >= MIN_CPU_SHARE,
      ),
    );
    if (throttleTarget !== undefined) {
      state.lastActionMs = measurement.nowMs;
      const cpuShare = throttleTarget.cpuShare / 2;
      return {kind: 'throttle', target: throttleTarget, cpuShare};
    }
    const evictionTarget = getMostDisruptive(measurement.neighbors);
    if (evictionTarget === undefined) return {kind: 'none'};
    state.lastActionMs = measurement.nowMs;
    return {kind: 'evict', target: evictionTarget};
  }

  private restoreCpuShare(
    state: WorkerState,
    measurement: WorkerMeasurement,
  ): InterferenceAction {
    state.belowLowLimitSinceMs ??= measurement.nowMs;
    if (measurement.nowMs - state.belowLowLimitSinceMs < RESTORE_DELAY_MS)
      return {kind: 'none'};
    const throttled = measurement.neighbors.find(
      neighbor => neighbor.cpuShare < 1,
    );
    if (throttled === undefined) return {kind: 'none'};
    const cpuShare = Math.min(1, throttled.cpuShare * 2);
    const addedSlowdown =
      throttled.slowdownContribution * (cpuShare / throttled.cpuShare - 1);
    // Otherwise the controller would oscillate between restoring and throttling the neighbor.
    if (measurement.slowdown + addedSlowdown > this.highLimit)
      return {kind: 'none'};
    state.lastActionMs = measurement.nowMs;
    state.belowLowLimitSinceMs = undefined;
    return {kind: 'throttle', target: throttled, cpuShare};
  }

  private getOrAddState(workerId: string): WorkerState {
    let state = this.workers.get(workerId);
    if (state === undefined) {
      state = {lastActionMs: -Infinity, belowLowLimitSinceMs: undefined};
      this.workers.set(workerId, state);
    }
    return state;
  }
}

/** Gets the neighbor with the greatest slowdown contribution; ties go to the one with the least progress. */
function getMostDisruptive(
  neighbors: readonly NeighborAttempt[],
): NeighborAttempt | undefined {
  let mostDisruptive: NeighborAttempt | undefined;
  for (const neighbor of neighbors) {
    if (
      mostDisruptive === undefined ||
      isMoreDisruptive(neighbor, mostDisruptive)
    ) {
      mostDisruptive = neighbor;
    }
  }
  return mostDisruptive;
}

function isMoreDisruptive(
  left: NeighborAttempt,
  right: NeighborAttempt,
): boolean {
  if (left.slowdownContribution !== right.slowdownContribution)
    return left.slowdownContribution > right.slowdownContribution;
  return left.progress < right.progress;
}
