/** Names of the tables and rows that the nodes of a deployment share. */

/** Accepted jobs and their cancellations, by hash of the job's identifier. */
export const JOB_TABLE = 'mustardlug-jobs';

/** Progress of jobs, written by the coordinator alone. */
export const PROGRESS_TABLE = 'mustardlug-progress';

/** Learned effects of fillers, a row for each serving image; written by the coordinator. */
export const EFFECT_TABLE = 'mustardlug-effects';

/** The coordinator's term; every write of a coordinator is conditional on it. */
export const TERM_TABLE = 'mustardlug-term';

/** What the coordinator tells all nodes. */
export const BOARD_TABLE = 'mustardlug-board';

/** Nodes of the system and their sizes, each written by the node itself. */
export const NODE_TABLE = 'mustardlug-nodes';

/** Part of all rows of the node table. */
export const NODE_PART = 'nodes';

/** Part of all rows that the coordinator writes, so that one transaction covers them. */
export const COORDINATOR_PART = 'coordinator';

/** Key of the only row of the term table and of the board table. */
export const SINGLE_ROW_KEY = 'current';

/** Suffix of the key of a cancellation. */
export const CANCEL_SUFFIX = '.cancel';

/** Parts among which jobs are spread, so that one slow part does not hold all. */
const JOB_PART_COUNT = 8;

/**
 * Gets the part that holds a job.
 * @param jobId - Identifier of the job.
 */
export function getJobPart(jobId: string): string {
  let hash = 0;
  for (let index = 0; index < jobId.length; index++)
    hash = (hash * 31 + jobId.charCodeAt(index)) >>> 0;
  return `jobs-${hash % JOB_PART_COUNT}`;
}
