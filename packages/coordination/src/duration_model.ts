/** Learns how long tasks take, compared with what their callers estimated. */

import {StepState} from '@mustardlug/jobs/job_state';
import {getExpectedTaskMs} from './task_order.js';

/** Weight of a new duration in the average of its step. */
const STEP_WEIGHT = 0.4;

/** Weight of a new duration in the bias of its queue. */
const QUEUE_WEIGHT = 0.05;

/** Bounds of the bias of a queue's estimates. */
const MIN_BIAS = 0.5;
const MAX_BIAS = 3;

/** Durations by step, and the bias of estimates by queue. */
export class DurationModel {
  private readonly stepMs = new WeakMap<StepState, number>();
  private readonly queueBias = new Map<string, number>();

  private constructor() {}

  /** Creates a model that believes the estimates. */
  static create(): DurationModel {
    return new DurationModel();
  }

  /**
   * Notes how long a task took on a sound worker.
   * @param queueName - Queue of the job.
   * @param step - Step of the task.
   * @param durationMs - Time from its start to its end.
   */
  addDuration(queueName: string, step: StepState, durationMs: number): void {
    const known = this.stepMs.get(step) ?? durationMs;
    this.stepMs.set(step, known + STEP_WEIGHT * (durationMs - known));
    const ratio = durationMs / getExpectedTaskMs(step.spec);
    const bias = this.queueBias.get(queueName) ?? 1;
    const moved = bias + QUEUE_WEIGHT * (ratio - bias);
    this.queueBias.set(
      queueName,
      Math.min(MAX_BIAS, Math.max(MIN_BIAS, moved)),
    );
  }

  /**
   * Gets the expected duration of a task.
   * @param queueName - Queue of the job.
   * @param step - Step of the task.
   */
  getExpectedMs(queueName: string, step: StepState): number {
    const known = this.stepMs.get(step);
    if (known !== undefined) return known;
    return getExpectedTaskMs(step.spec) * (this.queueBias.get(queueName) ?? 1);
  }
}
