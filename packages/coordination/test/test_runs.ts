/** Test fixtures shared by the tests of this package. */

import {createTaskRun} from '@mustardlug/jobs/job_codec';
import {RepeatSchedule, StepSpec} from '@mustardlug/jobs/job_spec';
import {JobState} from '@mustardlug/jobs/job_state';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {AssignedRun, WorkerLoad} from '../src/worker_load.js';

let nextJobNumber = 1;

/**
 * Creates a step of one task with an estimated duration of one second.
 * @param fields - Fields that override the defaults.
 */
export function createTestStep(fields: Partial<StepSpec> = {}): StepSpec {
  return createSampleStep(1, {estimatedMs: 1_000, ...fields});
}

/** Fields of a serving step with a response time target of 100 ms. */
export const SERVING_FIELDS: Partial<StepSpec> = {
  isLongRunning: true,
  targetResponseMs: 100,
  needs: {cpuMillis: 6_000, memoryMb: 4_000, accelerators: 0},
};

/**
 * Creates a job.
 * @param steps - Steps of the job.
 * @param queue - Queue that accepted it.
 * @param acceptedMs - Wall-clock time of the acceptance.
 * @param schedule - Schedule of a repeated job.
 */
export function createTestJob(
  steps: readonly StepSpec[],
  queue = SAMPLE_QUEUE,
  acceptedMs = 0,
  schedule?: RepeatSchedule,
): JobState {
  const jobId = (nextJobNumber++).toString(16).padStart(16, '0');
  const spec = {specification: '', steps, schedule};
  const job = JobState.create({jobId, spec, queue, acceptedMs});
  job.createDueOccurrences(acceptedMs);
  return job;
}

/**
 * Adds a confirmed run of a new job with one step and one task to a worker.
 * @param load - Load of the worker.
 * @param fields - Fields of the step that override the defaults.
 * @param placedMs - Monotonic time of the placement.
 * @param workerId - Identifier of the worker.
 */
export function addTestRun(
  load: WorkerLoad,
  fields: Partial<StepSpec>,
  placedMs = 0,
  workerId = 'worker-1',
): AssignedRun {
  const job = createTestJob([createTestStep(fields)]);
  return addTaskRun(load, job, 0, placedMs, workerId);
}

/**
 * Adds a confirmed run for each task of a new job with one step to a worker.
 * @param load - Load of the worker.
 * @param taskCount - Number of tasks.
 */
export function addTestRuns(
  load: WorkerLoad,
  taskCount: number,
): AssignedRun[] {
  const job = createTestJob([createTestStep({taskCount})]);
  const runs: AssignedRun[] = [];
  for (let task = 0; task < taskCount; task++)
    runs.push(addTaskRun(load, job, task));
  return runs;
}

/**
 * Adds a confirmed run of a task in the first step of a job to a worker.
 * @param load - Load of the worker.
 * @param job - Job of the task.
 * @param taskIndex - Index of the task.
 * @param placedMs - Monotonic time of the placement.
 * @param workerId - Identifier of the worker.
 */
export function addTaskRun(
  load: WorkerLoad,
  job: JobState,
  taskIndex: number,
  placedMs = 0,
  workerId = 'worker-1',
): AssignedRun {
  const step = job.occurrences.get(0)!.steps[0];
  const task = step.tasks[taskIndex];
  const run = createTaskRun(workerId, 1, 1, placedMs);
  run.isConfirmed = true;
  task.runs.push(run);
  const taskName = `${job.getId()}.0.0.${taskIndex}`;
  const assigned: AssignedRun = {
    job,
    occurrence: 0,
    step,
    task,
    run,
    taskName,
    commandResponseMs: placedMs,
  };
  load.addRun(assigned);
  return assigned;
}

/**
 * Creates the load of a worker without runs; it has 32 cores by default.
 * @param cpuMillis - CPU capacity in thousandths of a core.
 */
export function createTestLoad(cpuMillis = 32_000): WorkerLoad {
  return WorkerLoad.create({cpuMillis, memoryMb: 128_000, accelerators: 0});
}
