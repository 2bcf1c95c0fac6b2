/** Names of the tables and rows that the nodes of a deployment share. */

/** Accepted jobs and their cancellations, partitioned by hash of the job's identifier. */
export const JOB_TABLE = 'mustardlug-jobs';

/** Progress of jobs, written only by the coordinator. */
export const PROGRESS_TABLE = 'mustardlug-progress';

/** Tasks of jobs whose progress exceeds a row, in parts, written only by the coordinator. */
export const PROGRESS_PART_TABLE = 'mustardlug-progress-parts';

/** Learned effects of fillers, one row for each serving image, written by the coordinator. */
export const EFFECT_TABLE = 'mustardlug-effects';

/** Expiry of the leases of workers that do not respond, written by the coordinator. */
export const LEASE_BOUND_TABLE = 'mustardlug-lease-bounds';

/** The coordinator's term; every write of a coordinator is conditional on it. */
export const TERM_TABLE = 'mustardlug-term';

/** Status that the coordinator publishes to all nodes. */
export const COORDINATOR_STATUS_TABLE = 'mustardlug-board';

/** Nodes of the system and their sizes. Each node writes its own row. */
export const NODE_TABLE = 'mustardlug-nodes';

/** Part of all rows of the node table. */
export const NODE_PART = 'nodes';

/** Part of all rows that the coordinator writes, so that one transaction covers them. */
export const COORDINATOR_PART = 'coordinator';

/** Key of the only row of the term table and of the coordinator status table. */
export const SINGLE_ROW_KEY = 'current';

/** Suffix of a job's key that makes the key of its cancellation. */
export const CANCEL_SUFFIX = '.cancel';

/** Number of parts that jobs are distributed over, so that a slow part does not delay all jobs. */
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
