/** Writes task rows with compare-and-set and keeps the cache consistent with the table. */

import {Clock} from '@mustardlug/base/clock';
import {
  GroupCommitter,
  WriteOutcome,
} from '@mustardlug/platform/group_committer';
import {CachedTask, TaskCache} from './task_cache.js';
import {TERMINAL_STATES, TaskRecord} from './task_record.js';

export interface TaskWriterOptions {
  readonly cache: TaskCache;
  readonly committer: GroupCommitter;
  readonly clock: Clock;
  /** Called with the reason when the table service is unavailable. */
  readonly onTableFailure: (reason: string) => void;
}

/** Refreshes the cache and writes records, one write per row at a time. */
export class TaskWriter {
  private waiters: Array<() => void> = [];
  private refreshedAtMs = -Infinity;

  private constructor(private readonly options: TaskWriterOptions) {}

  static create(options: TaskWriterOptions): TaskWriter {
    return new TaskWriter(options);
  }

  /** Refreshes the cache; failed writes that wait for a refresh then resume. */
  async refresh(): Promise<void> {
    const waiters = this.waiters;
    this.waiters = [];
    const refreshed = await this.options.cache.refresh();
    if (refreshed.isErr()) {
      this.waiters.push(...waiters);
      this.options.onTableFailure(refreshed.error.message);
      return;
    }
    this.refreshedAtMs = this.options.clock.getMonotonicMs();
    for (const resume of waiters) resume();
  }

  /**
   * Checks whether the cache was refreshed recently.
   * @param ageMs - Greatest age of the refresh.
   */
  hasRefreshedWithin(ageMs: number): boolean {
    return this.options.clock.getMonotonicMs() - this.refreshedAtMs <= ageMs;
  }

  /**
   * Writes a record; if the write fails, resolves only once the state of the row is known again.
   * @param task - Task whose row is written.
   * @param next - New record.
   * @returns Whether the record was written.
   */
  async writeRecord(task: CachedTask, next: TaskRecord): Promise<boolean> {
    const {cache, clock, committer} = this.options;
    const record = TERMINAL_STATES.has(next.state)
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
      cache.applyRecord(task.key, record, outcome.revision);
      task.isWriting = false;
      return true;
    }
    await this.resolveFailedWrite(task, outcome);
    return false;
  }

  /** Keeps the task marked as being written until the state of its row is known again. */
  private async resolveFailedWrite(
    task: CachedTask,
    outcome: WriteOutcome,
  ): Promise<void> {
    if (outcome.kind === 'unavailable') {
      this.options.onTableFailure(outcome.reason);
    }
    await this.waitForRefresh();
    if (outcome.kind === 'conflict') {
      // The change feed does not report deleted rows.
      const reread = await this.options.cache.refreshTask(task);
      if (reread.isErr()) return this.resolveFailedWrite(task, outcome);
    }
    task.isWriting = false;
  }

  /** Resolves after a cache refresh that starts after this call. */
  private waitForRefresh(): Promise<void> {
    return new Promise(resolve => this.waiters.push(resolve));
  }
}
