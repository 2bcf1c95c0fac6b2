/**
 * Aggregates ended batch tasks into a summary row per job and failure domain
 * and deletes their rows, so that the table does not grow without bound.
 */

import {z} from 'zod';
import {Clock} from '@mustardlug/base/clock';
import {GroupCommitter} from '@mustardlug/platform/group_committer';
import {TokenSource} from '@mustardlug/platform/token_source';
import {
  ABSENT_REVISION,
  StoredValue,
  TableService,
} from '@mustardlug/platform/table_service';
import {EndedTask, TaskCache} from './task_cache.js';

/** Schema of a summary row: counts of the purged tasks of a job in one failure domain. */
export const jobSummarySchema = z.object({
  writeToken: z.string(),
  jobName: z.string(),
  done: z.number().int(),
  failed: z.number().int(),
  cancelled: z.number().int(),
  infeasible: z.number().int(),
  evictions: z.number().int(),
});

/** Summary row of one job and failure domain. */
export type JobSummary = z.infer<typeof jobSummarySchema> & StoredValue;

/** Prefix of the summary rows. */
export const SUMMARY_PREFIX = 'summary/';

export interface TaskPurgerOptions {
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly table: TableService;
  readonly committer: GroupCommitter;
  readonly tokens: TokenSource;
  readonly cache: TaskCache;
}

/** Time for which the row of an ended task is kept. */
export const ENDED_TASK_RETENTION_MS = 600_000;

/** Maximum number of ended tasks purged in one transaction. */
const PURGED_TASKS_PER_TRANSACTION = 200;

/** Purges the ended tasks of one failure domain. */
export class TaskPurger {
  private constructor(private readonly options: TaskPurgerOptions) {}

  static create(options: TaskPurgerOptions): TaskPurger {
    return new TaskPurger(options);
  }

  /**
   * Purges tasks whose retention time has passed, one job at a time; stops at
   * the first failed write.
   */
  async purge(): Promise<void> {
    for (const [jobName, tasks] of this.getExpiredTasks()) {
      for (
        let start = 0;
        start < tasks.length;
        start += PURGED_TASKS_PER_TRANSACTION
      ) {
        const chunk = tasks.slice(start, start + PURGED_TASKS_PER_TRANSACTION);
        const isWritten = await this.purgeTasks(jobName, chunk);
        if (!isWritten) return;
      }
    }
  }

  private getExpiredTasks(): Map<string, EndedTask[]> {
    const limitMs = this.options.clock.getWallMs() - ENDED_TASK_RETENTION_MS;
    const byJob = new Map<string, EndedTask[]>();
    for (const task of this.options.cache.getEndedTasks()) {
      if (task.endedAtMs > limitMs) continue;
      const tasks = byJob.get(task.jobName) ?? [];
      tasks.push(task);
      byJob.set(task.jobName, tasks);
    }
    return byJob;
  }

  /**
   * Updates the counts and deletes the rows in one transaction, so that no
   * task is counted twice.
   */
  private async purgeTasks(
    jobName: string,
    tasks: readonly EndedTask[],
  ): Promise<boolean> {
    const {table, committer, tokens, failureDomain, cache} = this.options;
    const key = `${SUMMARY_PREFIX}${jobName}/${failureDomain}`;
    const row = await table.getRow(key);
    if (row.isErr()) return false;
    const existing = jobSummarySchema.safeParse(row.value?.value);
    const value = addTasks(
      existing.success ? existing.data : createEmptySummary(jobName),
      tasks,
      tokens.getNext(),
    );
    const outcome = await committer.write([
      {
        kind: 'put',
        key,
        value,
        expectedRevision: row.value?.revision ?? ABSENT_REVISION,
      },
      ...tasks.map(task => ({
        kind: 'delete' as const,
        key: task.key,
        expectedRevision: task.revision,
      })),
    ]);
    // After a conflict the rows may already be deleted; the cache removes the entries by age.
    if (outcome.kind !== 'written') return false;
    for (const task of tasks) cache.removeEnded(task.taskId);
    return true;
  }
}

function createEmptySummary(jobName: string): JobSummary {
  return {
    writeToken: '',
    jobName,
    done: 0,
    failed: 0,
    cancelled: 0,
    infeasible: 0,
    evictions: 0,
  };
}

function addTasks(
  summary: JobSummary,
  tasks: readonly EndedTask[],
  writeToken: string,
): JobSummary {
  const sums = {...summary, writeToken};
  for (const {state, evictions} of tasks) {
    sums.evictions += evictions;
    if (state === 'done') sums.done++;
    if (state === 'failed') sums.failed++;
    if (state === 'cancelled') sums.cancelled++;
    if (state === 'infeasible') sums.infeasible++;
  }
  return sums;
}
