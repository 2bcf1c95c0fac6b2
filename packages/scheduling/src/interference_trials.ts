/**
 * Decides when a batch job that is kept off a service because of its learned
 * effect is tried beside it again. Without trials an effect that was learned
 * too high, or has changed, would never be measured again.
 */

import {Clock} from '@mustardlug/base/clock';

/** Time between trials of one job beside one service. */
export const TRIAL_INTERVAL_MS = 60_000;

/** Times of the latest trials, by service and job. */
export class InterferenceTrials {
  private readonly triedAtMs = new Map<string, number>();
  private readonly tried = new Set<string>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): InterferenceTrials {
    return new InterferenceTrials(clock);
  }

  /**
   * Checks whether a trial is due; the first one is due some time after the first call.
   * @param serviceName - Service that the job slows down.
   * @param jobName - Batch job that is kept off the service.
   */
  isDue(serviceName: string, jobName: string): boolean {
    const nowMs = this.clock.getMonotonicMs();
    const key = `${serviceName}/${jobName}`;
    const triedAtMs = this.triedAtMs.get(key) ?? nowMs;
    this.triedAtMs.set(key, triedAtMs);
    return nowMs - triedAtMs >= TRIAL_INTERVAL_MS;
  }

  /**
   * Records that a task of a job is placed beside a service as a trial.
   * @param serviceName - Service that the job slows down.
   * @param jobName - Batch job that is tried.
   */
  recordTrial(serviceName: string, jobName: string): void {
    const key = `${serviceName}/${jobName}`;
    this.tried.add(key);
    this.triedAtMs.set(key, this.clock.getMonotonicMs());
  }

  /**
   * Checks whether a job has been tried beside a service.
   * @param serviceName - Service that the job slows down.
   * @param jobName - Batch job.
   */
  isTried(serviceName: string, jobName: string): boolean {
    return this.tried.has(`${serviceName}/${jobName}`);
  }
}
