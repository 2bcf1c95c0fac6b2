/**
 * Reacts to services that batch work slows down: throttle first, then evict.
 *
 * Hysteresis keeps the controller from acting on every small change, and no
 * second action is taken on a worker before the first one can have shown in
 * the lagging measurements.
 */

import {Objective} from '@mustardlug/document/environment_document';

/** A running batch attempt on the disturbed worker. */
export interface BatchNeighbor {
  readonly taskId: string;
  readonly attempt: number;
  readonly cpuShare: number;
  /** Learned slowdown that it causes. */
  readonly effect: number;
  readonly progress: number;
}

/** What to do on a worker. */
export type DisturbanceAction =
  | {readonly kind: 'none'}
  | {
      readonly kind: 'throttle';
      readonly target: BatchNeighbor;
      readonly cpuShare: number;
    }
  | {readonly kind: 'evict'; readonly target: BatchNeighbor};

/** A measurement of a worker. */
export interface DisturbanceReading {
  readonly workerId: string;
  readonly slowdown: number;
  /** Time at which the slowdown was measured. */
  readonly measuredAtMs: number;
  readonly nowMs: number;
  readonly neighbors: readonly BatchNeighbor[];
}

interface WorkerState {
  lastActionMs: number;
  calmSinceMs: number | undefined;
}

/** Slowdown that is accepted when all objective weights are equal. */
const ACCEPTED_EXTRA = 0.3;
const MIN_ACCEPTED_EXTRA = 0.1;
const MAX_ACCEPTED_EXTRA = 1;
/** Fraction of the accepted slowdown below which throttling is undone. */
const CALM_FRACTION = 0.4;
const CALM_MS = 10_000;
const SETTLE_MS = 500;
const MIN_CPU_SHARE = 0.25;

/** Chooses actions for disturbed workers. */
export class DisturbanceController {
  private readonly workers = new Map<string, WorkerState>();
  private readonly highLimit: number;
  private readonly lowLimit: number;

  private constructor(objective: Objective) {
    const batchWeight =
      (objective.evictionWeight + objective.throughputWeight) / 2;
    const ratio = batchWeight / Math.max(0.01, objective.tailLatencyWeight);
    const extra = Math.min(
      MAX_ACCEPTED_EXTRA,
      Math.max(MIN_ACCEPTED_EXTRA, ACCEPTED_EXTRA * ratio),
    );
    this.highLimit = 1 + extra;
    this.lowLimit = 1 + extra * CALM_FRACTION;
  }

  /**
   * Creates a controller.
   * @param objective - Weights of tail latency, evictions and throughput.
   */
  static create(objective: Objective): DisturbanceController {
    return new DisturbanceController(objective);
  }

  /** Gets the slowdown above which the controller acts. */
  getHighLimit(): number {
    return this.highLimit;
  }

  /**
   * Decides on an action.
   * @param reading - Measurement of a worker.
   */
  getAction(reading: DisturbanceReading): DisturbanceAction {
    const state = this.getOrAddState(reading.workerId);
    if (reading.measuredAtMs < state.lastActionMs + SETTLE_MS) {
      return {kind: 'none'};
    }
    if (reading.slowdown > this.highLimit) {
      state.calmSinceMs = undefined;
      return this.reduce(state, reading);
    }
    if (reading.slowdown > this.lowLimit) {
      state.calmSinceMs = undefined;
      return {kind: 'none'};
    }
    return this.restore(state, reading);
  }

  private reduce(
    state: WorkerState,
    reading: DisturbanceReading,
  ): DisturbanceAction {
    const strongest = getStrongest(
      reading.neighbors.filter(
        neighbor => neighbor.cpuShare / 2 >= MIN_CPU_SHARE,
      ),
    );
    if (strongest !== undefined) {
      state.lastActionMs = reading.nowMs;
      const cpuShare = strongest.cpuShare / 2;
      return {kind: 'throttle', target: strongest, cpuShare};
    }
    const target = getStrongest(reading.neighbors);
    if (target === undefined) return {kind: 'none'};
    state.lastActionMs = reading.nowMs;
    return {kind: 'evict', target};
  }

  private restore(
    state: WorkerState,
    reading: DisturbanceReading,
  ): DisturbanceAction {
    state.calmSinceMs ??= reading.nowMs;
    if (reading.nowMs - state.calmSinceMs < CALM_MS) return {kind: 'none'};
    const throttled = reading.neighbors.find(neighbor => neighbor.cpuShare < 1);
    if (throttled === undefined) return {kind: 'none'};
    const cpuShare = Math.min(1, throttled.cpuShare * 2);
    const addedEffect = throttled.effect * (cpuShare / throttled.cpuShare - 1);
    // Without this check a throttled neighbor would be restored only to be throttled again.
    if (reading.slowdown + addedEffect > this.highLimit) return {kind: 'none'};
    state.lastActionMs = reading.nowMs;
    state.calmSinceMs = undefined;
    return {kind: 'throttle', target: throttled, cpuShare};
  }

  private getOrAddState(workerId: string): WorkerState {
    let state = this.workers.get(workerId);
    if (state === undefined) {
      state = {lastActionMs: -Infinity, calmSinceMs: undefined};
      this.workers.set(workerId, state);
    }
    return state;
  }
}

/** The neighbor with the greatest effect; among equals the one with the least progress. */
function getStrongest(
  neighbors: readonly BatchNeighbor[],
): BatchNeighbor | undefined {
  let strongest: BatchNeighbor | undefined;
  for (const neighbor of neighbors) {
    if (strongest === undefined || isStronger(neighbor, strongest)) {
      strongest = neighbor;
    }
  }
  return strongest;
}

function isStronger(left: BatchNeighbor, right: BatchNeighbor): boolean {
  if (left.effect !== right.effect) return left.effect > right.effect;
  return left.progress < right.progress;
}
