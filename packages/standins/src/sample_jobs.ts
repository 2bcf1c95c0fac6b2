/** Sample queue and steps for tests and experiments. */

import {StepSpec} from '@mustardlug/jobs/job_spec';
import {QueueConfig} from '@mustardlug/jobs/queue_config';

/** A queue of urgent jobs. */
export const SAMPLE_QUEUE: QueueConfig = {
  name: 'bookings',
  host: 'desk.example',
  pathPrefix: '/bookings/',
  serviceName: 'class-desk',
  priority: 0,
  maxAttempts: 3,
  stretch: 1.5,
  targetDurationMs: 400,
};

/**
 * Creates a step of equal tasks.
 * @param taskCount - Number of tasks.
 * @param fields - Fields that override the defaults.
 */
export function createSampleStep(
  taskCount: number,
  fields: Partial<StepSpec> = {},
): StepSpec {
  return {
    taskCount,
    needs: {cpuMillis: 2_000, memoryMb: 1_000, accelerators: 0},
    estimatedMs: 800,
    dependsOn: [],
    isCheckpointing: false,
    isGang: false,
    isSameRackPreferred: false,
    maxPerWorker: 0,
    isSpeculative: false,
    isLongRunning: false,
    targetResponseMs: 0,
    isFiller: false,
    ...fields,
  };
}
