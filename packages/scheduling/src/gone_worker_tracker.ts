/**
 * Finds workers on which nothing can run any more.
 *
 * The platform lists a VM until it has stopped it. A worker that has been off
 * a fresh list for the list's lag and the task lease is gone.
 */

import {Clock} from '@mustardlug/base/clock';
import {TASK_LEASE_MS} from '@mustardlug/platform/worker_client';

/** A list that was read longer ago says nothing about VMs that it lacks. */
const MAX_LIST_AGE_MS = 5_000;

/** Tracks since when workers have been off the VM list. */
export class GoneWorkerTracker {
  private readonly goneSince = new Map<string, number>();
  private lastReadMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly waitMs: number,
  ) {}

  /**
   * Creates a tracker.
   * @param clock - Clock of the process.
   * @param listLagMs - Longest time that the VM list may lag behind.
   */
  static create(clock: Clock, listLagMs: number): GoneWorkerTracker {
    return new GoneWorkerTracker(clock, listLagMs + TASK_LEASE_MS);
  }

  /** Notes that the VM list was read just now, changed or not. */
  noteListRead(): void {
    this.lastReadMs = this.clock.getMonotonicMs();
  }

  /**
   * Gets the workers that are gone for sure.
   * @param workerIds - Workers that tasks are bound to.
   * @param isListed - Whether the last list has a worker.
   */
  getGone(
    workerIds: readonly string[],
    isListed: (workerId: string) => boolean,
  ): string[] {
    const nowMs = this.clock.getMonotonicMs();
    if (nowMs - this.lastReadMs > MAX_LIST_AGE_MS) {
      this.goneSince.clear();
      return [];
    }
    return workerIds.filter(workerId =>
      this.isGone(workerId, isListed(workerId), nowMs),
    );
  }

  private isGone(workerId: string, isListed: boolean, nowMs: number): boolean {
    if (isListed) {
      this.goneSince.delete(workerId);
      return false;
    }
    const sinceMs = this.goneSince.get(workerId) ?? nowMs;
    this.goneSince.set(workerId, sinceMs);
    return nowMs - sinceMs >= this.waitMs;
  }
}
