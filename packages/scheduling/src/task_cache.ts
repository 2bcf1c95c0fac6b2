/** Cache of the task rows of one failure domain, as last read or written by this process. */

import {Result, ok} from 'neverthrow';
import {UnavailableError} from '@mustardlug/base/errors';
import {TableRow, TableService} from '@mustardlug/platform/table_service';
import {
  TERMINAL_STATES,
  getTaskPrefix,
  TaskRecord,
  taskRecordSchema,
} from './task_record.js';

/** A cached row. */
export interface CachedTask {
  readonly key: string;
  record: TaskRecord;
  revision: number;
  /**
   * Whether a write by this process is in progress; until it completes, the
   * row must not be written again.
   */
  isWriting: boolean;
}

/**
 * Fields of an ended batch task that are needed to purge its row; the rest is
 * dropped to save memory.
 */
export interface EndedTask {
  readonly key: string;
  readonly taskId: string;
  readonly jobName: string;
  readonly state: TaskRecord['state'];
  readonly evictions: number;
  readonly endedAtMs: number;
  readonly revision: number;
}

const PAGE_ROWS = 1_000;
const NO_TASKS: ReadonlySet<string> = new Set();

/** Task cache indexed by id, worker and pending state. */
export class TaskCache {
  private readonly tasks = new Map<string, CachedTask>();
  private readonly ended = new Map<string, EndedTask>();
  private readonly pendingIds = new Set<string>();
  private readonly idsByWorker = new Map<string, Set<string>>();
  private revision = 0;

  private constructor(
    private readonly table: TableService,
    private readonly failureDomain: string,
    private readonly onRead: (record: TaskRecord) => void,
  ) {}

  /**
   * Creates an empty cache.
   * @param table - Table to read from.
   * @param failureDomain - Domain whose tasks are cached.
   * @param onRead - Called with each record that is read.
   */
  static create(
    table: TableService,
    failureDomain: string,
    onRead: (record: TaskRecord) => void = () => undefined,
  ): TaskCache {
    return new TaskCache(table, failureDomain, onRead);
  }

  /** Reads all changes since the last successful read. */
  async refresh(): Promise<Result<void, UnavailableError>> {
    for (;;) {
      const page = await this.table.getChanges({
        prefix: getTaskPrefix(this.failureDomain),
        sinceRevision: this.revision,
        limit: PAGE_ROWS,
      });
      if (page.isErr()) return page.map(() => undefined);
      for (const row of page.value.rows) this.applyRow(row);
      this.revision = Math.max(this.revision, page.value.revision);
      if (!page.value.hasMore) return ok(undefined);
    }
  }

  /**
   * Rereads one row, for example after a failed write.
   * @param task - Task to read.
   */
  async refreshTask(task: CachedTask): Promise<Result<void, UnavailableError>> {
    const row = await this.table.getRow(task.key);
    if (row.isErr()) return row.map(() => undefined);
    if (row.value === undefined) this.removeTask(task.record.taskId);
    else this.applyRow(row.value);
    return ok(undefined);
  }

  /**
   * Gets a task, unless it is a batch task that has ended.
   * @param taskId - Id of the task.
   */
  getTask(taskId: string): CachedTask | undefined {
    return this.tasks.get(taskId);
  }

  /** Gets all tasks that have not ended, and all service replicas. */
  getTasks(): Iterable<CachedTask> {
    return this.tasks.values();
  }

  /** Gets the pending tasks without a write in progress. */
  getPendingTasks(): CachedTask[] {
    const pending: CachedTask[] = [];
    for (const taskId of this.pendingIds) {
      const task = this.tasks.get(taskId);
      if (task !== undefined && !task.isWriting) pending.push(task);
    }
    return pending;
  }

  /**
   * Gets the ids of the tasks that are bound to a worker.
   * @param workerId - Id of the worker.
   */
  getBoundTaskIds(workerId: string): ReadonlySet<string> {
    return this.idsByWorker.get(workerId) ?? NO_TASKS;
  }

  /** Gets the tasks that are bound to any worker. */
  getBoundTasks(): CachedTask[] {
    const bound: CachedTask[] = [];
    for (const ids of this.idsByWorker.values()) {
      for (const taskId of ids) {
        const task = this.tasks.get(taskId);
        if (task !== undefined) bound.push(task);
      }
    }
    return bound;
  }

  /** Gets the workers that tasks are bound to. */
  getBoundWorkerIds(): string[] {
    return [...this.idsByWorker.keys()];
  }

  /**
   * Applies a row that was read; invalid rows are ignored.
   * @param row - Row of a task.
   */
  applyRow(row: TableRow): void {
    const parsed = taskRecordSchema.safeParse(row.value);
    if (!parsed.success) return;
    this.onRead(parsed.data);
    this.applyRecord(row.key, parsed.data, row.revision);
  }

  /**
   * Applies a record that was read or written, unless the cache has the same or a newer revision.
   * @param key - Key of the row.
   * @param record - Record of the task.
   * @param revision - Revision of the row.
   */
  applyRecord(key: string, record: TaskRecord, revision: number): void {
    const ended = this.ended.get(record.taskId);
    if (ended !== undefined) {
      // Only an operator's retry makes an ended task pending again.
      if (record.state !== 'pending' || ended.revision >= revision) return;
      this.ended.delete(record.taskId);
    }
    const existing = this.tasks.get(record.taskId);
    if (existing !== undefined && existing.revision >= revision) return;
    if (isEndedBatch(record)) {
      this.removeTask(record.taskId);
      this.ended.set(record.taskId, toEndedTask(key, record, revision));
      return;
    }
    if (existing !== undefined) this.removeFromIndexes(existing.record);
    this.addToIndexes(record);
    if (existing === undefined) {
      this.tasks.set(record.taskId, {key, record, revision, isWriting: false});
      return;
    }
    existing.record = record;
    existing.revision = revision;
  }

  /**
   * Removes a task whose row was deleted or that has ended.
   * @param taskId - Id of the task.
   */
  removeTask(taskId: string): void {
    const task = this.tasks.get(taskId);
    if (task === undefined) return;
    this.removeFromIndexes(task.record);
    this.tasks.delete(taskId);
  }

  /** Gets the batch tasks that have ended. */
  getEndedTasks(): Iterable<EndedTask> {
    return this.ended.values();
  }

  /**
   * Removes an ended task.
   * @param taskId - Id of the task.
   */
  removeEnded(taskId: string): void {
    this.ended.delete(taskId);
  }

  /**
   * Removes tasks that ended before a given time; their rows may already be deleted.
   * @param limitMs - Wall time in milliseconds.
   */
  removeEndedBefore(limitMs: number): void {
    for (const {taskId, endedAtMs} of this.ended.values()) {
      if (endedAtMs < limitMs) this.ended.delete(taskId);
    }
  }

  private addToIndexes(record: TaskRecord): void {
    if (record.state === 'pending') this.pendingIds.add(record.taskId);
    if (record.state !== 'bound' || record.workerId === undefined) return;
    let ids = this.idsByWorker.get(record.workerId);
    if (ids === undefined) {
      ids = new Set();
      this.idsByWorker.set(record.workerId, ids);
    }
    ids.add(record.taskId);
  }

  private removeFromIndexes(record: TaskRecord): void {
    this.pendingIds.delete(record.taskId);
    if (record.workerId === undefined) return;
    const ids = this.idsByWorker.get(record.workerId);
    ids?.delete(record.taskId);
    if (ids?.size === 0) this.idsByWorker.delete(record.workerId);
  }
}

function isEndedBatch(record: TaskRecord): boolean {
  return record.kind === 'batch' && TERMINAL_STATES.has(record.state);
}

function toEndedTask(
  key: string,
  record: TaskRecord,
  revision: number,
): EndedTask {
  const {taskId, name, state, evictions, endedAtMs} = record;
  return {
    key,
    taskId,
    jobName: name,
    state,
    evictions,
    endedAtMs: endedAtMs ?? record.submittedAtMs,
    revision,
  };
}
