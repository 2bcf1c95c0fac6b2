/** Names of tasks: job, occurrence, step and index, joined by dots. */

/** Parts of a task's name. */
export interface TaskName {
  readonly jobId: string;
  /** Number of the occurrence; 0 for jobs without a schedule. */
  readonly occurrence: number;
  readonly stepIndex: number;
  readonly taskIndex: number;
}

const NUMBER_OF_PARTS = 4;

/**
 * Renders a task's name.
 * @param name - Parts of the name.
 */
export function formatTaskName(name: TaskName): string {
  return `${name.jobId}.${name.occurrence}.${name.stepIndex}.${name.taskIndex}`;
}

/**
 * Parses a task's name.
 * @param text - Name to parse.
 * @returns `undefined` when the text is not a task's name.
 */
export function parseTaskName(text: string): TaskName | undefined {
  const parts = text.split('.');
  if (parts.length !== NUMBER_OF_PARTS) return undefined;
  const [occurrence, stepIndex, taskIndex] = parts.slice(1).map(Number);
  const numbers = [occurrence, stepIndex, taskIndex];
  if (!numbers.every(Number.isInteger)) return undefined;
  return {jobId: parts[0], occurrence, stepIndex, taskIndex};
}
