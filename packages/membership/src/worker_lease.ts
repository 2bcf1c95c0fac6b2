/** Holder-side state of a worker lease. */

import {Clock} from '@mustardlug/base/clock';
import {
  AttemptId,
  AttemptReport,
  LeaseToken,
  WorkerAddress,
  WorkerStatus,
} from '@mustardlug/platform/worker_client';

/**
 * Fraction of the lease duration that is not used, to allow for clock drift
 * between holder and worker.
 */
const CLOCK_DRIFT_MARGIN_FRACTION = 0.1;

/** Granted lease. Valid until it expires on the monotonic clock of this process. */
export class WorkerLease {
  private validUntilMs = 0;
  private status: WorkerStatus;
  readonly grantedAtMs: number;

  private constructor(
    readonly address: WorkerAddress,
    private readonly clock: Clock,
    status: WorkerStatus,
  ) {
    this.status = status;
    this.grantedAtMs = clock.getMonotonicMs();
  }

  /**
   * Creates a lease from a grant.
   * @param address - Worker that granted it.
   * @param clock - Clock of the holder.
   * @param status - Worker status that was returned with the grant.
   */
  static create(
    address: WorkerAddress,
    clock: Clock,
    status: WorkerStatus,
  ): WorkerLease {
    return new WorkerLease(address, clock, status);
  }

  /** Gets the lease epoch (fencing token), which increases within a boot of the worker. */
  getEpoch(): number {
    return this.status.epoch;
  }

  /** Gets the identity of the lease, which commands and requests must carry. */
  getToken(): Required<LeaseToken> {
    const {bootId, epoch} = this.status;
    return {bootId, epoch};
  }

  /** Gets the worker status as of the last grant or renewal, with all attempts. */
  getStatus(): WorkerStatus {
    return this.status;
  }

  /**
   * Checks whether the lease is valid now. Call it immediately before each
   * operation that relies on the lease.
   */
  isValid(): boolean {
    return this.clock.getMonotonicMs() < this.validUntilMs;
  }

  /**
   * Extends the lease and updates the worker status.
   * @param sentAtMs - Monotonic time at which the grant or renewal was requested.
   * @param ttlMs - Granted duration. The worker counts it from a later time,
   *     so the lease expires here first.
   * @param status - Worker status that was returned; merged into the known
   *     one if it lists only changes.
   */
  extend(sentAtMs: number, ttlMs: number, status: WorkerStatus): void {
    this.validUntilMs = sentAtMs + ttlMs * (1 - CLOCK_DRIFT_MARGIN_FRACTION);
    this.status = status.isWholeReport
      ? status
      : {...status, attempts: mergeAttempts(this.status.attempts, status)};
  }

  /** Marks the lease as invalid in this process; the worker is not notified. */
  invalidate(): void {
    this.validUntilMs = 0;
  }
}

function mergeAttempts(
  known: readonly AttemptReport[],
  changes: WorkerStatus,
): AttemptReport[] {
  const merged = new Map(
    known.map(report => [getAttemptKey(report), report] as const),
  );
  for (const name of changes.removedAttempts)
    merged.delete(getAttemptKey(name));
  for (const report of changes.attempts) {
    merged.set(getAttemptKey(report), report);
  }
  return [...merged.values()];
}

function getAttemptKey(name: AttemptId): string {
  return `${name.taskId}#${name.attempt}`;
}
