/** Allocates the numbers of runs in one term. */

import {StepState} from '@mustardlug/jobs/job_state';

/**
 * Size of the range of run numbers of one term. Each range lies above those of
 * all earlier terms.
 */
const RUNS_PER_TERM = 1_000_000;

/** Counts the runs of each task. The members of a gang share their numbers. */
export class RunNumbers {
  /**
   * Number of runs in this term, by task. Kept with the step, as the steps of
   * ended occurrences and jobs are not started again, and a term may last for long.
   */
  private readonly countsByStep = new WeakMap<StepState, Map<string, number>>();

  private constructor(private readonly range: number) {}

  /**
   * Creates the numbers of a term without any run.
   * @param range - Position of its range of numbers, from 1.
   */
  static create(range: number): RunNumbers {
    return new RunNumbers(range);
  }

  /**
   * Allocates the number of the next run.
   * @param step - Step of the task.
   * @param taskName - Name of the task.
   */
  allocate(step: StepState, taskName: string): number {
    const count = this.addToCount(step, taskName, 1);
    return (this.range - 1) * RUNS_PER_TERM + count;
  }

  /**
   * Releases the number that was allocated last.
   * @param step - Step of the task.
   * @param taskName - Name of the task.
   */
  release(step: StepState, taskName: string): void {
    this.addToCount(step, taskName, -1);
  }

  private addToCount(step: StepState, taskName: string, added: number): number {
    const counts = this.countsByStep.get(step) ?? new Map<string, number>();
    this.countsByStep.set(step, counts);
    const key = step.spec.isGang ? '' : taskName;
    const count = (counts.get(key) ?? 0) + added;
    counts.set(key, count);
    return count;
  }
}
