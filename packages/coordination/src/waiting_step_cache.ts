/**
 * Keeps the steps with waiting tasks of each job until it changes, so that the cost
 * of a placement pass grows with the changes since the last one instead of the backlog.
 */

import {JobState} from '@mustardlug/jobs/job_state';
import {QueueConfig} from '@mustardlug/jobs/queue_config';
import {getWaitingSteps} from './placement_pass.js';
import {WaitingStep} from './task_order.js';

export interface WaitingStepCacheOptions {
  /** Gets the queue configuration in force for a job. */
  readonly getQueue: (job: JobState) => QueueConfig;
  /** Gets the version of the configuration in force; the steps of another one are not used. */
  readonly getConfigVersion: () => number | undefined;
}

interface CachedSteps {
  readonly steps: readonly WaitingStep[];
  /** Wall-clock time at which a further occurrence is due; infinite if there is none. */
  readonly nextDueMs: number;
}

/** Steps with waiting tasks, by job. */
export class WaitingStepCache {
  private cached = new WeakMap<JobState, CachedSteps>();
  private configVersion: number | undefined;

  private constructor(private readonly options: WaitingStepCacheOptions) {}

  /**
   * Creates an empty cache.
   * @param options - Configuration in force.
   */
  static create(options: WaitingStepCacheOptions): WaitingStepCache {
    return new WaitingStepCache(options);
  }

  /**
   * Removes the steps of a job. Must be called whenever its occurrences, tasks or
   * runs have changed.
   * @param job - Job that changed.
   */
  invalidate(job: JobState): void {
    this.cached.delete(job);
  }

  /**
   * Gets the steps that have waiting tasks. Creates due occurrences of the jobs first.
   * @param jobs - Jobs to search; ended jobs are skipped.
   * @param wallMs - Wall-clock time.
   */
  getSteps(jobs: Iterable<JobState>, wallMs: number): WaitingStep[] {
    const configVersion = this.options.getConfigVersion();
    if (configVersion !== this.configVersion) this.cached = new WeakMap();
    this.configVersion = configVersion;
    const waiting: WaitingStep[] = [];
    for (const job of jobs) {
      const {steps} = this.getCached(job, wallMs);
      if (steps.length > 0) waiting.push(...steps);
    }
    return waiting;
  }

  private getCached(job: JobState, wallMs: number): CachedSteps {
    const cached = this.cached.get(job);
    if (cached !== undefined && wallMs < cached.nextDueMs) return cached;
    const steps = getWaitingSteps([job], this.options.getQueue, wallMs);
    const isLast = job.isEnded() || job.nextOccurrence >= job.getRepetitions();
    const nextDueMs = isLast ? Infinity : job.getDueMs(job.nextOccurrence);
    const found = {steps, nextDueMs};
    this.cached.set(job, found);
    return found;
  }
}
