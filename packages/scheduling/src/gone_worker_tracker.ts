/**
 * Detects workers on which no attempt can be running any more.
 *
 * The platform lists a VM until the VM has stopped. A worker counts as gone
 * once it has been missing from up-to-date lists for the maximum list
 * staleness plus the duration of the task lease.
 */

import {Clock} from '@mustardlug/base/clock';
import {TASK_LEASE_MS} from '@mustardlug/platform/worker_client';

/** Age above which the VM list is too old to conclude that a missing VM is gone. */
const MAX_LIST_AGE_MS = 5_000;

/** Tracks how long workers have been missing from the VM list. */
export class GoneWorkerTracker {
  private readonly unlistedSinceMs = new Map<string, number>();
  private lastReadMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly confirmationMs: number,
  ) {}

  /**
   * Creates a tracker.
   * @param clock - Clock of the process.
   * @param listLagMs - Maximum staleness of the VM list.
   */
  static create(clock: Clock, listLagMs: number): GoneWorkerTracker {
    return new GoneWorkerTracker(clock, listLagMs + TASK_LEASE_MS);
  }

  /** Records that the VM list has just been read, whether or not it changed. */
  recordListRead(): void {
    this.lastReadMs = this.clock.getMonotonicMs();
  }

  /**
   * Gets the workers that are confirmed to be gone.
   * @param workerIds - Workers that tasks are bound to.
   * @param isListed - Whether the latest list contains a worker.
   */
  getGoneWorkers(
    workerIds: readonly string[],
    isListed: (workerId: string) => boolean,
  ): string[] {
    const nowMs = this.clock.getMonotonicMs();
    if (nowMs - this.lastReadMs > MAX_LIST_AGE_MS) {
      this.unlistedSinceMs.clear();
      return [];
    }
    this.forgetWorkersExcept(new Set(workerIds));
    return workerIds.filter(workerId =>
      this.isGone(workerId, isListed(workerId), nowMs),
    );
  }

  /** A worker without bound tasks is not checked, so that it may be listed again meanwhile. */
  private forgetWorkersExcept(workerIds: ReadonlySet<string>): void {
    for (const workerId of this.unlistedSinceMs.keys()) {
      if (!workerIds.has(workerId)) this.unlistedSinceMs.delete(workerId);
    }
  }

  private isGone(workerId: string, isListed: boolean, nowMs: number): boolean {
    if (isListed) {
      this.unlistedSinceMs.delete(workerId);
      return false;
    }
    const sinceMs = this.unlistedSinceMs.get(workerId) ?? nowMs;
    this.unlistedSinceMs.set(workerId, sinceMs);
    return nowMs - sinceMs >= this.confirmationMs;
  }
}
