/** Names that identify tasks to workers. */

import {JobState, StepState, TaskState} from '@mustardlug/jobs/job_state';
import {formatTaskName} from '@mustardlug/jobs/task_name';

/**
 * Gets the name of a task.
 * @param occurrence - Number of the job's occurrence that the task belongs to.
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
