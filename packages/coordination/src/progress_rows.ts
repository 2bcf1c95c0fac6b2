/** Divides the progress of jobs into rows, and knows which of them are stored. */

import {
  encodeRowJson,
  encodeRowValue,
  StoredOccurrence,
  StoredProgress,
  toStoredProgress,
} from '@mustardlug/jobs/job_codec';
import {JobState, OccurrenceLayout} from '@mustardlug/jobs/job_state';
import {divideOccurrence, formatPartKey} from '@mustardlug/jobs/progress_parts';
import {RowAddress, RowWrite} from '@mustardlug/platform/row_store';
import {createHash} from 'node:crypto';
import {
  COORDINATOR_PART,
  PROGRESS_PART_TABLE,
  PROGRESS_TABLE,
} from './tables.js';

/**
 * A row of a job to write or to remove. The changes of a job are to be stored in their
 * order: what is stored after any of them is true.
 */
export interface ProgressChange {
  readonly write?: RowWrite;
  readonly removal?: RowAddress;
  /** To be called when the change is stored. */
  readonly onStored?: () => void;
}

/** Size of JSON up to which the progress of a job is stored in one row, as a fraction of the limit of a row. */
const SINGLE_ROW_FRACTION = 0.75;

/**
 * Size of JSON above which a part is divided, as a fraction of the limit of a row. A
 * smaller part costs less when one of its tasks changes.
 */
const PART_FRACTION = 0.25;

const DIGEST_ALGORITHM = 'sha1';

/** Creates the rows of jobs for one term. */
export class ProgressRows {
  private nextLayoutNumber = 1;

  private constructor(
    private readonly term: number,
    private readonly maxRowBytes: number,
  ) {}

  /**
   * Creates the rows of a term.
   * @param term - Number of the term, which distinguishes its layouts.
   * @param maxRowBytes - Maximum size of the value of a row.
   */
  static create(term: number, maxRowBytes: number): ProgressRows {
    return new ProgressRows(term, maxRowBytes);
  }

  /**
   * Gets the rows of a job that differ from the stored ones.
   * @param job - Job whose progress to store.
   */
  createChanges(job: JobState): ProgressChange[] {
    const stored = toStoredProgress(job);
    if (job.layouts.size > 0) return this.createRowsInParts(job, stored);
    const json = JSON.stringify(stored);
    if (Buffer.byteLength(json) > this.maxRowBytes * SINGLE_ROW_FRACTION)
      return this.createRowsInParts(job, stored);
    return [
      {write: {...getRowAddress(job.getId()), value: encodeRowJson(json)}},
    ];
  }

  /**
   * Gets the rows that may be stored for a job.
   * @param job - Job whose progress is to be removed.
   */
  getAddresses(job: JobState): RowAddress[] {
    const addresses = [getRowAddress(job.getId())];
    for (const [occurrence, layout] of job.layouts)
      addresses.push(...getPartAddresses(job, occurrence, layout));
    return addresses;
  }

  private createRowsInParts(
    job: JobState,
    stored: StoredProgress,
  ): ProgressChange[] {
    const maxPartBytes = this.maxRowBytes * PART_FRACTION;
    const newParts: ProgressChange[] = [];
    const changedParts: ProgressChange[] = [];
    const newLayouts: OccurrenceLayout[] = [];
    const occurrences: StoredOccurrence[] = [];
    for (const occurrence of stored.occurrences) {
      const {number} = occurrence;
      const layout = this.getLayout(job, number);
      if (!layout.isNamed) newLayouts.push(layout);
      const parts = layout.isNamed ? changedParts : newParts;
      parts.push(...createPartChanges(job, occurrence, layout, maxPartBytes));
      occurrences.push({number, layoutId: layout.id, steps: []});
    }
    return [
      ...newParts,
      ...createRowChange(job, {...stored, occurrences}, newLayouts),
      ...changedParts,
      ...createRemovals(job, stored.occurrences),
    ];
  }

  private getLayout(job: JobState, occurrence: number): OccurrenceLayout {
    const existing = job.layouts.get(occurrence);
    if (existing !== undefined) return existing;
    const layout: OccurrenceLayout = {
      id: `${this.term}.${this.nextLayoutNumber++}`,
      digests: new Map([[0, undefined]]),
      isNamed: false,
    };
    job.layouts.set(occurrence, layout);
    return layout;
  }
}

/** Gets the changed parts of an occurrence, those with later tasks first, as a division requires. */
function createPartChanges(
  job: JobState,
  occurrence: StoredOccurrence,
  {id, digests}: OccurrenceLayout,
  maxPartBytes: number,
): ProgressChange[] {
  const changes: ProgressChange[] = [];
  const parts = divideOccurrence(occurrence, digests.keys(), maxPartBytes);
  for (const {firstTask, json} of parts) {
    const digest = createHash(DIGEST_ALGORITHM).update(json).digest('base64');
    if (digests.get(firstTask) === digest) continue;
    // A part that may be stored from now on is removed with the others.
    digests.set(firstTask, undefined);
    const address = getPartAddress(job, occurrence.number, id, firstTask);
    changes.push({
      write: {...address, value: encodeRowJson(json)},
      onStored: () => digests.set(firstTask, digest),
    });
  }
  return changes;
}

function createRowChange(
  job: JobState,
  row: StoredProgress,
  newLayouts: readonly OccurrenceLayout[],
): ProgressChange[] {
  const value = encodeRowValue(row);
  if (job.storedRow?.equals(value)) return [];
  job.storedRow = undefined;
  const onStored = () => {
    job.storedRow = value;
    for (const layout of newLayouts) layout.isNamed = true;
  };
  return [{write: {...getRowAddress(job.getId()), value}, onStored}];
}

/** Gets the removals of the parts of occurrences that are over. */
function createRemovals(
  job: JobState,
  occurrences: readonly StoredOccurrence[],
): ProgressChange[] {
  const current = new Set(occurrences.map(({number}) => number));
  const changes: ProgressChange[] = [];
  for (const [number, layout] of job.layouts) {
    if (current.has(number)) continue;
    const addresses = getPartAddresses(job, number, layout);
    for (const [index, removal] of addresses.entries()) {
      const isLast = index === addresses.length - 1;
      const onStored = isLast ? () => job.layouts.delete(number) : undefined;
      changes.push({removal, onStored});
    }
  }
  return changes;
}

function getPartAddresses(
  job: JobState,
  occurrence: number,
  {id, digests}: OccurrenceLayout,
): RowAddress[] {
  return [...digests.keys()].map(firstTask =>
    getPartAddress(job, occurrence, id, firstTask),
  );
}

function getPartAddress(
  job: JobState,
  occurrence: number,
  layoutId: string,
  firstTask: number,
): RowAddress {
  const name = {jobId: job.getId(), occurrence, layoutId, firstTask};
  return {
    table: PROGRESS_PART_TABLE,
    part: COORDINATOR_PART,
    key: formatPartKey(name),
  };
}

function getRowAddress(jobId: string): RowAddress {
  return {table: PROGRESS_TABLE, part: COORDINATOR_PART, key: jobId};
}
