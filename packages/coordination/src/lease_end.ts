/** The time by which the leases of a worker have expired, with what determines it. */

/** What determines the end of a worker's leases. */
export type LeaseEndSource =
  /** A lease that this term granted. */
  | 'grant'
  /** What earlier terms declared or stored with runs, or the longest wait for their leases. */
  | 'earlier-terms'
  /** The first response in this term, after which no leases of earlier terms are accepted. */
  | 'first-response'
  /** A lease that was meant for another process of the worker, whose clock differs. */
  | 'other-process'
  /** The stored bound of a worker that did not respond. */
  | 'stored-bound';

/** Upper bound for the leases of one worker, on the coordinator's monotonic clock. */
export class LeaseEnd {
  private constructor(
    /** Monotonic time by which all leases have expired. */
    readonly endMs: number,
    readonly source: LeaseEndSource,
    /** What `endMs` would be without limits. */
    readonly unlimitedEndMs: number,
  ) {}

  /**
   * Creates the end of the leases of earlier terms.
   * @param previousEndMs - Monotonic time by which they have expired.
   * @param boundMs - The same by a stored bound, if there is one.
   */
  static create(previousEndMs: number, boundMs = Infinity): LeaseEnd {
    const leaseEnd = new LeaseEnd(
      previousEndMs,
      'earlier-terms',
      previousEndMs,
    );
    return leaseEnd.limit(boundMs, 'stored-bound');
  }

  /** Returns the end if leases may last until a given time. */
  extend(endMs: number, source: LeaseEndSource): LeaseEnd {
    if (endMs <= this.endMs) return this;
    const unlimitedEndMs = Math.max(endMs, this.unlimitedEndMs);
    return new LeaseEnd(endMs, source, unlimitedEndMs);
  }

  /** Returns the end if no lease lasts longer than until a given time. */
  limit(endMs: number, source: LeaseEndSource): LeaseEnd {
    if (endMs >= this.endMs) return this;
    return new LeaseEnd(endMs, source, this.unlimitedEndMs);
  }
}
