/** A worker lease as its holder sees it. */

import {Clock} from '@mustardlug/base/clock';
import {
  AttemptName,
  AttemptReport,
  WorkerAddress,
  WorkerStatus,
} from '@mustardlug/platform/worker_client';

/** Fraction of a lease that is given up to cover clocks that run at different rates. */
const DRIFT_MARGIN_FRACTION = 0.1;

/** A granted lease. Valid only until it lapses on this process's monotonic clock. */
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
   * @param status - State that came with the grant.
   */
  static create(
    address: WorkerAddress,
    clock: Clock,
    status: WorkerStatus,
  ): WorkerLease {
    return new WorkerLease(address, clock, status);
  }

  /** Gets the epoch that commands and requests must carry. */
  getEpoch(): number {
    return this.status.epoch;
  }

  /** Gets the worker's state at the last grant or renewal, with all its attempts. */
  getStatus(): WorkerStatus {
    return this.status;
  }

  /** Checks whether the lease can be relied on now; call it just before each effect. */
  isValid(): boolean {
    return this.clock.getMonotonicMs() < this.validUntilMs;
  }

  /**
   * Extends the lease.
   * @param sentAtMs - Monotonic time at which the grant or renewal was asked for.
   * @param ttlMs - Duration that was granted, counted by the worker from a later time.
   * @param status - State that came with it.
   */
  extend(sentAtMs: number, ttlMs: number, status: WorkerStatus): void {
    this.validUntilMs = sentAtMs + ttlMs * (1 - DRIFT_MARGIN_FRACTION);
    this.status = status.isWholeReport
      ? status
      : {...status, attempts: mergeAttempts(this.status.attempts, status)};
  }

  /** Ends the lease at this process. */
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

function getAttemptKey(name: AttemptName): string {
  return `${name.taskId}#${name.attempt}`;
}
