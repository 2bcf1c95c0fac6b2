/**
 * Division of the stored progress of a job into parts, for jobs whose progress exceeds a
 * row of the store. A part has consecutive tasks of an occurrence, counted over all steps.
 */

import {
  createInvalidInputError,
  FieldProblem,
  InvalidInputError,
} from '@mustardlug/base/errors';
import {err, ok, Result} from 'neverthrow';
import {
  StoredDoneTaskRun,
  StoredFailedGangRuns,
  StoredLongLease,
  StoredOccurrence,
  StoredProgress,
  StoredTask,
  StoredTaskCrashes,
} from './job_codec.js';
import {JobSpec} from './job_spec.js';
import {decodeStoredPart} from './stored_schemas.js';

/** Stored tasks of a part, and what belongs to them. */
export interface StoredPart {
  readonly tasks: readonly StoredTask[];
  readonly doneTaskRuns?: readonly StoredDoneTaskRun[];
  readonly startCrashes?: readonly StoredTaskCrashes[];
  /** Failed runs of the gangs whose first task is in this part. */
  readonly failedGangRuns?: readonly StoredFailedGangRuns[];
  readonly longLeases?: readonly StoredLongLease[];
}

/** A part as JSON, with the number of its first task. */
export interface EncodedPart {
  readonly firstTask: number;
  readonly json: string;
}

/** A row of a part. */
export interface PartRow {
  readonly key: string;
  readonly value: Buffer;
}

/** Identifies a part of a job. */
export interface PartName {
  readonly jobId: string;
  readonly occurrence: number;
  /** Distinguishes the parts from those that another term or attempt left over. */
  readonly layoutId: string;
  readonly firstTask: number;
}

const NAME_SEPARATOR = '/';

/** Ends the range of the keys of a job's parts. */
const CHARACTER_AFTER_SEPARATOR = '0';

/**
 * Formats the key of a part.
 * @param name - Name of the part.
 */
export function formatPartKey(name: PartName): string {
  const {jobId, occurrence, layoutId, firstTask} = name;
  return [jobId, occurrence, layoutId, firstTask].join(NAME_SEPARATOR);
}

/**
 * Parses the key of a part.
 * @param key - Key of a row.
 * @returns `undefined` if the key is not that of a part.
 */
export function parsePartKey(key: string): PartName | undefined {
  const components = key.split(NAME_SEPARATOR);
  if (components.length !== 4) return undefined;
  const [jobId, occurrenceText, layoutId, firstTaskText] = components;
  const occurrence = Number(occurrenceText);
  const firstTask = Number(firstTaskText);
  if (!isCount(occurrence) || !isCount(firstTask)) return undefined;
  return {jobId, occurrence, layoutId, firstTask};
}

/**
 * Gets the range of the keys of a job's parts: the first one, inclusive, and the last
 * one, exclusive.
 * @param jobId - Identifier of the job.
 */
export function getPartKeyRange(jobId: string): {
  fromKey: string;
  toKey: string;
} {
  return {
    fromKey: jobId + NAME_SEPARATOR,
    toKey: jobId + CHARACTER_AFTER_SEPARATOR,
  };
}

/**
 * Divides an occurrence into parts.
 * @param stored - Occurrence with its steps.
 * @param firstTasks - First tasks of the parts that exist already, 0 among them.
 * @param maxBytes - Size of JSON above which a part of several tasks is divided.
 * @returns The parts, those with later tasks first.
 */
export function divideOccurrence(
  stored: StoredOccurrence,
  firstTasks: Iterable<number>,
  maxBytes: number,
): EncodedPart[] {
  const tasks = stored.steps.flat();
  const offsets = getStepOffsets(stored.steps.map(step => step.length));
  const bounds = [...firstTasks].sort((left, right) => left - right);
  const parts: EncodedPart[] = [];
  const add = (first: number, end: number): void => {
    const part = createPart(stored, tasks, offsets, first, end);
    const json = JSON.stringify(part);
    if (Buffer.byteLength(json) <= maxBytes || end - first <= 1) {
      parts.push({firstTask: first, json});
      return;
    }
    const middle = (first + end) >> 1;
    add(first, middle);
    add(middle, end);
  };
  for (const [index, first] of bounds.entries())
    add(first, bounds[index + 1] ?? tasks.length);
  return parts.reverse();
}

function createPart(
  stored: StoredOccurrence,
  tasks: readonly StoredTask[],
  offsets: readonly number[],
  first: number,
  end: number,
): StoredPart {
  const isInPart = ([step, task]: readonly [number, number, ...unknown[]]) => {
    const index = offsets[step] + task;
    return index >= first && index < end;
  };
  const doneTaskRuns = stored.doneTaskRuns?.filter(isInPart) ?? [];
  const startCrashes = stored.startCrashes?.filter(isInPart) ?? [];
  const longLeases = stored.longLeases?.filter(isInPart) ?? [];
  const failedGangRuns =
    stored.failedGangRuns?.filter(([step]) => isInPart([step, 0])) ?? [];
  return {
    tasks: tasks.slice(first, end),
    ...(doneTaskRuns.length > 0 && {doneTaskRuns}),
    ...(startCrashes.length > 0 && {startCrashes}),
    ...(failedGangRuns.length > 0 && {failedGangRuns}),
    ...(longLeases.length > 0 && {longLeases}),
  };
}

/**
 * Puts the parts that a job's row names in place of its steps.
 * @param jobId - Identifier of the job.
 * @param progress - Progress as in the job's row.
 * @param rows - Rows of parts of the job, also of such that are not named.
 * @param spec - Specification of the job.
 */
export function joinParts(
  jobId: string,
  progress: StoredProgress,
  rows: readonly PartRow[],
  spec: JobSpec,
): Result<StoredProgress, InvalidInputError> {
  const occurrences: StoredOccurrence[] = [];
  for (const stored of progress.occurrences) {
    const joined =
      stored.layoutId === undefined
        ? ok(stored)
        : joinOccurrence(jobId, stored, rows, spec);
    if (joined.isErr()) return err(joined.error);
    occurrences.push(joined.value);
  }
  return ok({...progress, occurrences});
}

function joinOccurrence(
  jobId: string,
  {number, layoutId}: StoredOccurrence,
  rows: readonly PartRow[],
  spec: JobSpec,
): Result<StoredOccurrence, InvalidInputError> {
  const subject = `progress of job ${jobId}, occurrence ${number}`;
  const offsets = getStepOffsets(spec.steps.map(({taskCount}) => taskCount));
  const taskCount = offsets[spec.steps.length];
  const parts: Array<{first: number; part: StoredPart}> = [];
  for (const row of rows) {
    const name = parsePartKey(row.key);
    if (name?.occurrence !== number || name.layoutId !== layoutId) continue;
    const part = decodeStoredPart(row.key, row.value);
    if (part.isErr()) return err(part.error);
    parts.push({first: name.firstTask, part: part.value});
  }
  parts.sort((left, right) => left.first - right.first);
  const tasks: StoredTask[] = [];
  const doneTaskRuns: StoredDoneTaskRun[] = [];
  const startCrashes: StoredTaskCrashes[] = [];
  const failedGangRuns: StoredFailedGangRuns[] = [];
  const longLeases: StoredLongLease[] = [];
  for (const [index, {first, part}] of parts.entries()) {
    // A part that was divided may still have the tasks of the later one.
    const end = Math.min(
      first + part.tasks.length,
      parts[index + 1]?.first ?? taskCount,
    );
    if (first !== tasks.length || end <= first) break;
    const isInPart = ([step, task]: readonly [
      number,
      number,
      ...unknown[],
    ]) => {
      const position = offsets[step] + task;
      return position >= first && position < end;
    };
    tasks.push(...part.tasks.slice(0, end - first));
    doneTaskRuns.push(...(part.doneTaskRuns ?? []).filter(isInPart));
    startCrashes.push(...(part.startCrashes ?? []).filter(isInPart));
    longLeases.push(...(part.longLeases ?? []).filter(isInPart));
    for (const failed of part.failedGangRuns ?? []) {
      if (isInPart([failed[0], 0])) failedGangRuns.push(failed);
    }
  }
  if (tasks.length !== taskCount) {
    const problem: FieldProblem = {
      path: `parts of layout ${layoutId}`,
      expected: `expected ${taskCount} consecutive tasks, got ${tasks.length}`,
      remedy: 'restore the parts, or cancel the job',
    };
    return err(createInvalidInputError(subject, [problem]));
  }
  const steps = spec.steps.map((_, index) =>
    tasks.slice(offsets[index], offsets[index + 1]),
  );
  return ok({
    number,
    layoutId,
    steps,
    doneTaskRuns,
    startCrashes,
    failedGangRuns,
    longLeases,
  });
}

/** Gets the number of the first task of each step, and behind them the number of all tasks. */
function getStepOffsets(taskCounts: readonly number[]): number[] {
  const offsets = [0];
  for (const count of taskCounts)
    offsets.push(offsets[offsets.length - 1] + count);
  return offsets;
}

function isCount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}
