/** Remembers which neighbors ran on a worker, so that lagging measurements match them. */

import {Neighbor} from './interference_model.js';

interface HistoryEntry {
  readonly sinceMs: number;
  readonly neighbors: readonly Neighbor[];
}

const MAX_ENTRIES = 64;

/** Neighbors on one worker over time. */
export class PlacementHistory {
  private readonly entries: HistoryEntry[] = [];

  private constructor() {}

  /** Creates an empty history. */
  static create(): PlacementHistory {
    return new PlacementHistory();
  }

  /**
   * Notes which neighbors run from now on.
   * @param nowMs - Wall time in milliseconds.
   * @param neighbors - Batch work on the worker.
   */
  addState(nowMs: number, neighbors: readonly Neighbor[]): void {
    this.entries.push({sinceMs: nowMs, neighbors});
    if (this.entries.length > MAX_ENTRIES) this.entries.shift();
  }

  /**
   * Gets the neighbors that ran at a time.
   * @param atMs - Wall time in milliseconds.
   * @returns `undefined` when the time is before the history.
   */
  getStateAt(atMs: number): readonly Neighbor[] | undefined {
    for (let index = this.entries.length - 1; index >= 0; index--) {
      const entry = this.entries[index];
      if (entry.sinceMs <= atMs) return entry.neighbors;
    }
    return undefined;
  }
}
