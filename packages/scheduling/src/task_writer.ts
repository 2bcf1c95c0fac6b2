/** Writes task rows by compare-and-set, and keeps the cache in step with the table. */

import {Clock} from '@mustardlug/base/clock';
import {
  GroupCommitter,
  WriteOutcome,
} from '@mustardlug/platform/group_committer';
import {CachedTask, TaskCache} from './task_cache.js';
import {FINAL_STATES, TaskRecord} from './task_record.js';

/** Options of a writer. */
export interface TaskWriterOptions {
  readonly cache: TaskCache;
  readonly committer: GroupCommitter;
  readonly clock: Clock;
  /** Called with the reason when the table service failed. */
  readonly onTableFailure: (reason: string) => void;
}

/** Reads changes and writes records; a row is written by one call at a time. */
export class TaskWriter {
  private waiters: Array<() => void> = [];

  private constructor(private readonly options: TaskWriterOptions) {}

  /**
   * Creates a writer.
   * @param options - Cache, committer and clock.
   */
  static create(options: TaskWriterOptions): TaskWriter {
    return new TaskWriter(options);
  }

  /** Reads all changes; writes that failed before are settled by it. */
  async refresh(): Promise<void> {
    const waiters = this.waiters;
    this.waiters = [];
    const refreshed = await this.options.cache.refresh();
    if (refreshed.isErr()) {
      this.waiters.push(...waiters);
      this.options.onTableFailure(refreshed.error.message);
      return;
    }
    for (const resume of waiters) resume();
  }

  /**
   * Writes a record; after a failure the row's state is known again.
   * @param task - Task whose row is written.
   * @param next - New state.
   * @returns Whether the record was written.
   */
  async writeRecord(task: CachedTask, next: TaskRecord): Promise<boolean> {
    const {cache, clock, committer} = this.options;
    const record = FINAL_STATES.has(next.state)
      ? {...next, endedAtMs: clock.getWallMs()}
      : next;
    task.isWriting = true;
    const outcome = await committer.write([
      {
        kind: 'put',
        key: task.key,
        value: record,
        expectedRevision: task.revision,
      },
    ]);
    if (outcome.kind === 'written') {
      cache.setRecord(task.key, record, outcome.revision);
      task.isWriting = false;
      return true;
    }
    await this.settleFailedWrite(task, outcome);
    return false;
  }

  /** Nothing is done with a row before its state is known again. */
  private async settleFailedWrite(
    task: CachedTask,
    outcome: WriteOutcome,
  ): Promise<void> {
    if (outcome.kind === 'unavailable') {
      this.options.onTableFailure(outcome.reason);
    }
    await this.waitForRefresh();
    if (outcome.kind === 'conflict') {
      // The changes do not tell of a row that was deleted.
      const reread = await this.options.cache.refreshTask(task);
      if (reread.isErr()) return this.settleFailedWrite(task, outcome);
    }
    task.isWriting = false;
  }

  /** Resolves when all changes up to now have been read. */
  private waitForRefresh(): Promise<void> {
    return new Promise(resolve => this.waiters.push(resolve));
  }
}
