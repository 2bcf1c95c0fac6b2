/** Names of tasks as the coordinator addresses them. */

import {JobState, StepState, TaskState} from '@mustardlug/jobs/job_state';
import {formatTaskName} from '@mustardlug/jobs/task_name';

/**
 * Gets the name of a task.
 * @param job - Job of the task.
 * @param occurrence - Number of the occurrence.
 * @param step - Step of the task.
 * @param task - Task to name.
 */
export function getTaskName(
  job: JobState,
  occurrence: number,
  step: StepState,
  task: TaskState,
): string {
  return formatTaskName({
    jobId: job.getId(),
    occurrence,
    stepIndex: step.index,
    taskIndex: task.index,
  });
}
