/**
 * Limits the size of commits so that each one is stored in a short time, for a
 * coordinator whose link is slow or shared with many calls.
 */

/** Size of the first commits, in bytes. */
const INITIAL_BYTES = 32_768;

/** Lower limit; a commit of this size costs about as much as an empty one. */
const MIN_BYTES = 4_096;

/** Upper limit; well below the size that the store accepts. */
const MAX_BYTES = 262_144;

/** Duration above which the limit is lowered. Half of the time after which a call is repeated. */
const SLOW_COMMIT_MS = 350;

/** Duration below which the limit is raised. */
const FAST_COMMIT_MS = 150;

const DECREASE_FACTOR = 0.5;

const INCREASE_FACTOR = 1.5;

/** Adapts the maximum size of a commit to the duration of the latest ones. */
export class CommitSizeLimit {
  private bytes = INITIAL_BYTES;

  private constructor() {}

  static create(): CommitSizeLimit {
    return new CommitSizeLimit();
  }

  /** Gets the maximum size of the next commit, in bytes. */
  getMaxBytes(): number {
    return this.bytes;
  }

  /**
   * Records a commit.
   * @param sizeBytes - Size of its rows.
   * @param durationMs - Time from its first attempt until its outcome was known.
   */
  recordCommit(sizeBytes: number, durationMs: number): void {
    if (durationMs > SLOW_COMMIT_MS) {
      const reduced = Math.min(this.bytes, sizeBytes) * DECREASE_FACTOR;
      this.bytes = Math.max(MIN_BYTES, reduced);
      return;
    }
    const isLimited = sizeBytes * INCREASE_FACTOR >= this.bytes;
    if (durationMs < FAST_COMMIT_MS && isLimited)
      this.bytes = Math.min(MAX_BYTES, this.bytes * INCREASE_FACTOR);
  }
}
