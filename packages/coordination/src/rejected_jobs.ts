/** Jobs whose progress the store rejects, and when to try to store it again. */

import {Clock} from '@mustardlug/base/clock';
import {JobState} from '@mustardlug/jobs/job_state';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';

/** Delay before the first retry. */
const INITIAL_RETRY_MS = 1_000;

/** Maximum delay between two retries. */
const MAX_RETRY_MS = 30_000;

interface RejectedJob {
  readonly job: JobState;
  readonly retryDelayMs: number;
  readonly retryMs: number;
}

/**
 * Holds the jobs that are set aside. None of their tasks is started and none of their
 * ends acknowledged until their progress is stored.
 */
export class RejectedJobs {
  private readonly jobs = new Map<string, RejectedJob>();

  private constructor(
    private readonly clock: Clock,
    private readonly events: EventRecorder,
  ) {}

  /**
   * Creates an empty set.
   * @param clock - Clock for the delays between retries.
   * @param events - Recorder of this node.
   */
  static create(clock: Clock, events: EventRecorder): RejectedJobs {
    return new RejectedJobs(clock, events);
  }

  isEmpty(): boolean {
    return this.jobs.size === 0;
  }

  getCount(): number {
    return this.jobs.size;
  }

  /**
   * Checks whether a job is set aside.
   * @param jobId - Identifier of the job.
   */
  has(jobId: string): boolean {
    return this.jobs.has(jobId);
  }

  /**
   * Sets a job aside, or delays its next retry.
   * @param job - Job whose progress was rejected.
   */
  add(job: JobState): void {
    const jobId = job.getId();
    const previousMs = this.jobs.get(jobId)?.retryDelayMs;
    const retryDelayMs =
      previousMs === undefined
        ? INITIAL_RETRY_MS
        : Math.min(2 * previousMs, MAX_RETRY_MS);
    const retryMs = this.clock.getMonotonicMs() + retryDelayMs;
    this.jobs.set(jobId, {job, retryDelayMs, retryMs});
    this.events.addEvent('progress-rejected', {
      requestId: jobId,
      detail: `next attempt in ${retryDelayMs} ms`,
    });
  }

  /**
   * Removes a job whose progress was stored, or whose rows are removed.
   * @param jobId - Identifier of the job.
   */
  remove(jobId: string): void {
    if (!this.jobs.delete(jobId)) return;
    this.events.addEvent('progress-accepted', {requestId: jobId});
  }

  /** Gets the jobs whose progress is to be stored again now. */
  getDueJobs(): JobState[] {
    const nowMs = this.clock.getMonotonicMs();
    const due: JobState[] = [];
    for (const {job, retryMs} of this.jobs.values()) {
      if (retryMs <= nowMs) due.push(job);
    }
    return due;
  }
}
