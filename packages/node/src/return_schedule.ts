/**
 * Tells refused callers when to try again.
 *
 * Load pattern: many callers are refused within seconds. If all of them were told
 * the same delay, they would return together and most would be refused once more.
 */

import {Clock} from '@mustardlug/base/clock';
import {getReturnWeight} from '@mustardlug/base/delay_cost';
import {QueueLoad} from '@mustardlug/coordination/coordinator_status';

/** Options of `ReturnSchedule`. */
export interface ReturnScheduleOptions {
  readonly clock: Clock;
  /** Gets the number of nodes, each of which refuses callers by a schedule of its own. */
  readonly getNodeCount: () => number;
}

/** Fraction of the rate at which jobs are started that is given to returning callers. */
const RETURN_FRACTION = 0.5;

/** Rate that is assumed while no jobs are started, so that callers return from time to time. */
const MIN_STARTS_PER_SECOND = 1;

/** Upper limit of the delays; later callers would hardly wait for that long. */
const MAX_RETRY_AFTER_MS = 30_000;

const MS_PER_SECOND = 1_000;

/** Spreads the returns of refused callers by the rate at which the queue starts jobs. */
export class ReturnSchedule {
  /** Monotonic time of the last return that was assigned, by queue and kind of refusal. */
  private readonly lastReturnsMs = new Map<string, number>();

  private constructor(private readonly options: ReturnScheduleOptions) {}

  /**
   * Creates a schedule without returns.
   * @param options - Clock and number of nodes.
   */
  static create(options: ReturnScheduleOptions): ReturnSchedule {
    return new ReturnSchedule(options);
  }

  /**
   * Assigns a time to a refused caller.
   * @param queueName - Queue that refuses jobs.
   * @param load - Load of the queue.
   * @returns The delay after which the caller should try again, in milliseconds.
   */
  assignRetryAfterMs(queueName: string, load: QueueLoad): number {
    return this.assignReturn(queueName, load, load.retryAfterMs, 1);
  }

  /**
   * Assigns a time to a caller whose job has too much work for a queue that accepts others.
   * @param queueName - Queue that refuses the job.
   * @param load - Load of the queue.
   * @param jobWork - Work of the job, in microseconds of CPU time.
   * @returns The delay after which the caller should try again, in milliseconds.
   */
  assignJobRetryAfterMs(
    queueName: string,
    load: QueueLoad,
    jobWork: number,
  ): number {
    const {maxJobWork = jobWork, jobRetryAfterMs = MS_PER_SECOND} = load;
    const weight = getReturnWeight(jobWork, maxJobWork);
    // Callers of small jobs must not wait for those of large ones.
    const key = `${queueName} above the limit`;
    return this.assignReturn(key, load, jobRetryAfterMs, weight);
  }

  private assignReturn(
    key: string,
    load: QueueLoad,
    retryAfterMs: number,
    weight: number,
  ): number {
    const {clock, getNodeCount} = this.options;
    const nowMs = clock.getMonotonicMs();
    const startsPerSecond = Math.max(
      MIN_STARTS_PER_SECOND,
      load.startsPerSecond ?? 0,
    );
    const returnsPerSecond =
      (startsPerSecond * RETURN_FRACTION) / Math.max(1, getNodeCount());
    const lastReturnMs = this.lastReturnsMs.get(key) ?? -Infinity;
    const returnMs = Math.min(
      nowMs + MAX_RETRY_AFTER_MS,
      Math.max(
        nowMs + retryAfterMs,
        lastReturnMs + (weight * MS_PER_SECOND) / returnsPerSecond,
      ),
    );
    this.lastReturnsMs.set(key, returnMs);
    return returnMs - nowMs;
  }
}
