/** Task names of the form `jobId.occurrence.stepIndex.taskIndex`. */

/** Components of a task name. */
export interface TaskName {
  readonly jobId: string;
  /** Number of the occurrence; 0 for jobs without a schedule. */
  readonly occurrence: number;
  readonly stepIndex: number;
  readonly taskIndex: number;
}

const COMPONENT_COUNT = 4;

/**
 * Formats a task name.
 * @param name - Components of the name.
 */
export function formatTaskName(name: TaskName): string {
  return `${name.jobId}.${name.occurrence}.${name.stepIndex}.${name.taskIndex}`;
}

/**
 * Parses a task name.
 * @param text - Name to parse.
 * @returns `undefined` if the text is not a valid task name.
 */
export function parseTaskName(text: string): TaskName | undefined {
  const components = text.split('.');
  if (components.length !== COMPONENT_COUNT) return undefined;
  const [occurrence, stepIndex, taskIndex] = components.slice(1).map(Number);
  const numbers = [occurrence, stepIndex, taskIndex];
  if (!numbers.every(Number.isInteger)) return undefined;
  return {jobId: components[0], occurrence, stepIndex, taskIndex};
}
