/**
 * Records which neighbors ran on a worker, so that delayed measurements are
 * matched to the neighbors of their time.
 */

import {Neighbor} from './interference_model.js';

interface PlacementSnapshot {
  readonly sinceMs: number;
  readonly neighbors: readonly Neighbor[];
}

const MAX_SNAPSHOTS = 64;

/** Bounded history of the neighbors on one worker. */
export class PlacementHistory {
  private readonly snapshots: PlacementSnapshot[] = [];

  private constructor() {}

  static create(): PlacementHistory {
    return new PlacementHistory();
  }

  /**
   * Records the neighbors that run from a time on.
   * @param nowMs - Wall time in milliseconds.
   * @param neighbors - Batch attempts on the worker.
   */
  addSnapshot(nowMs: number, neighbors: readonly Neighbor[]): void {
    this.snapshots.push({sinceMs: nowMs, neighbors});
    if (this.snapshots.length > MAX_SNAPSHOTS) this.snapshots.shift();
  }

  /**
   * Gets the neighbors that ran at a time.
   * @param atMs - Wall time in milliseconds.
   * @returns `undefined` if the time precedes the recorded history.
   */
  getNeighborsAt(atMs: number): readonly Neighbor[] | undefined {
    for (let index = this.snapshots.length - 1; index >= 0; index--) {
      const snapshot = this.snapshots[index];
      if (snapshot.sinceMs <= atMs) return snapshot.neighbors;
    }
    return undefined;
  }
}
