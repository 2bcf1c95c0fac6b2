/** Learns task durations and the bias of the callers' estimates. */

import {StepState} from '@mustardlug/jobs/job_state';
import {getExpectedTaskMs} from './task_order.js';

/** Weight of a new duration in the moving average of its step. */
const STEP_SAMPLE_WEIGHT = 0.4;

/** Weight of a new ratio of duration to estimate in the bias of its queue. */
const QUEUE_SAMPLE_WEIGHT = 0.05;

/** Limits of the estimated bias of a queue. */
const MIN_BIAS = 0.5;
const MAX_BIAS = 3;

/** Moving averages of task durations by step, and of the estimates' bias by queue. */
export class DurationModel {
  private readonly stepMs = new WeakMap<StepState, number>();
  private readonly queueBias = new Map<string, number>();

  private constructor() {}

  /** Creates a model without observations, which returns the callers' estimates unchanged. */
  static create(): DurationModel {
    return new DurationModel();
  }

  /**
   * Records the duration of a task that ran on a healthy worker.
   * @param queueName - Queue of the job.
   * @param step - Step of the task.
   * @param durationMs - Time from its start to its end.
   */
  addDuration(queueName: string, step: StepState, durationMs: number): void {
    const averageMs = this.stepMs.get(step) ?? durationMs;
    this.stepMs.set(
      step,
      averageMs + STEP_SAMPLE_WEIGHT * (durationMs - averageMs),
    );
    const ratio = durationMs / getExpectedTaskMs(step.spec);
    const bias = this.queueBias.get(queueName) ?? 1;
    const updatedBias = bias + QUEUE_SAMPLE_WEIGHT * (ratio - bias);
    this.queueBias.set(
      queueName,
      Math.min(MAX_BIAS, Math.max(MIN_BIAS, updatedBias)),
    );
  }

  /**
   * Gets the expected duration of a task.
   * @param queueName - Queue of the job.
   * @param step - Step of the task.
   */
  getExpectedMs(queueName: string, step: StepState): number {
    const averageMs = this.stepMs.get(step);
    if (averageMs !== undefined) return averageMs;
    return getExpectedTaskMs(step.spec) * (this.queueBias.get(queueName) ?? 1);
  }
}
