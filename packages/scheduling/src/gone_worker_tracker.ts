/**
 * Detects workers on which no attempt can be running any more.
 *
 * The platform lists a VM until the VM has stopped. A worker counts as gone
 * once an up-to-date list misses it that was read the maximum list staleness
 * plus the longest time for which a leased worker runs attempts after the first
 * one that missed it: another scheduler may renew the lease until it has read
 * the list, and the task lease counts from the end of that lease.
 * Whether the list could be read in between does not matter: a boot that tasks
 * are bound to was listed before, and a stopped one does not return.
 */

import {Clock} from '@mustardlug/base/clock';
import {DEFAULT_LEASE_TIMING} from '@mustardlug/membership/lease_manager';
import {TASK_LEASE_MS} from '@mustardlug/platform/worker_client';

/** Age above which the VM list is too old to conclude that a missing VM is gone. */
const MAX_LIST_AGE_MS = 5_000;

/** Time limit of a renewal that is on its way, and interval at which a worker checks its lease. */
const RENEWAL_MARGIN_MS = 3_000;

/** Longest time for which a worker runs attempts after the last renewal of its lease was sent. */
const MAX_UNRENEWED_RUN_MS =
  RENEWAL_MARGIN_MS + DEFAULT_LEASE_TIMING.ttlMs + TASK_LEASE_MS;

/** Tracks how long boots of workers have been missing from the VM list. */
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
    return new GoneWorkerTracker(clock, listLagMs + MAX_UNRENEWED_RUN_MS);
  }

  /** Records that the VM list has just been read, whether or not it changed. */
  recordListRead(): void {
    this.lastReadMs = this.clock.getMonotonicMs();
  }

  /**
   * Gets the boots of workers that are confirmed to be gone.
   * @param bootKeys - Boots that tasks are bound to.
   * @param isListed - Whether the latest list contains the worker of a boot.
   */
  getGoneWorkers(
    bootKeys: readonly string[],
    isListed: (bootKey: string) => boolean,
  ): string[] {
    const nowMs = this.clock.getMonotonicMs();
    if (nowMs - this.lastReadMs > MAX_LIST_AGE_MS) return [];
    this.forgetBootsExcept(new Set(bootKeys));
    return bootKeys.filter(bootKey =>
      this.isGone(bootKey, isListed(bootKey), nowMs),
    );
  }

  /** Gets the boots that the latest list misses, among those that were asked for last. */
  getMissingBoots(): string[] {
    return [...this.unlistedSinceMs.keys()];
  }

  /**
   * Gets the time from the first list that missed a boot to the latest one.
   * @param bootKey - Boot of a worker.
   * @returns `undefined` if the boot is not missing.
   */
  getAbsentMs(bootKey: string): number | undefined {
    const sinceMs = this.unlistedSinceMs.get(bootKey);
    if (sinceMs === undefined) return undefined;
    return Math.max(0, this.lastReadMs - sinceMs);
  }

  /**
   * Continues the absence of a boot that another process has seen missing, if
   * the boot is missing now.
   * @param bootKey - Boot of a worker.
   * @param absentMs - Time for which it was missing.
   */
  continueAbsence(bootKey: string, absentMs: number): void {
    const sinceMs = this.unlistedSinceMs.get(bootKey);
    if (sinceMs === undefined) return;
    const earlierMs = this.clock.getMonotonicMs() - absentMs;
    this.unlistedSinceMs.set(bootKey, Math.min(sinceMs, earlierMs));
  }

  /** A boot without bound tasks is not checked, so that it may be listed again meanwhile. */
  private forgetBootsExcept(bootKeys: ReadonlySet<string>): void {
    for (const bootKey of this.unlistedSinceMs.keys()) {
      if (!bootKeys.has(bootKey)) this.unlistedSinceMs.delete(bootKey);
    }
  }

  private isGone(bootKey: string, isListed: boolean, nowMs: number): boolean {
    if (isListed) {
      this.unlistedSinceMs.delete(bootKey);
      return false;
    }
    const sinceMs = this.unlistedSinceMs.get(bootKey) ?? nowMs;
    this.unlistedSinceMs.set(bootKey, sinceMs);
    return this.lastReadMs - sinceMs >= this.confirmationMs;
  }
}
