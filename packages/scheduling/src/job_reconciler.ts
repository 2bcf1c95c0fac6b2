/**
 * Reconciles task rows with the declared services and jobs: applies
 * cancellations, creates missing rows and steals tasks from other domains.
 */

import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {
  BatchJobDeclaration,
  EnvironmentDocument,
  ServiceDeclaration,
} from '@mustardlug/document/environment_document';
import {GroupCommitter} from '@mustardlug/platform/group_committer';
import {TokenSource} from '@mustardlug/platform/token_source';
import {
  ABSENT_REVISION,
  TableService,
} from '@mustardlug/platform/table_service';
import {Fleet} from './fleet.js';
import {
  createJobOperations,
  createReplicaRecord,
  getDesiredReplicas,
  jobRecordSchema,
} from './job_expander.js';
import {CachedTask, TaskCache} from './task_cache.js';
import {
  CANCEL_PREFIX,
  getTaskKey,
  JOB_PREFIX,
  TaskRecord,
} from './task_record.js';

export interface JobReconcilerOptions {
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly table: TableService;
  readonly committer: GroupCommitter;
  readonly tokens: TokenSource;
  readonly cache: TaskCache;
  readonly fleet: Fleet;
}

const CANCELLATION_PAGE_ROWS = 400;
/** Age below which pending tasks are left to the schedulers of their own domain. */
const MIN_STOLEN_TASK_AGE_MS = 3_000;
const MAX_STOLEN_TASKS = 50;

/** Creates task rows and moves them between domains, using compare-and-set writes. */
export class JobReconciler {
  private readonly cancelledJobs = new Set<string>();
  private cancelRevision = 0;
  private document: EnvironmentDocument | undefined;
  private desiredReplicas: ReadonlyMap<string, ServiceDeclaration> = new Map();

  private constructor(private readonly options: JobReconcilerOptions) {}

  static create(options: JobReconcilerOptions): JobReconciler {
    return new JobReconciler(options);
  }

  /**
   * Applies a new environment document.
   * @param document - Validated document.
   */
  setDocument(document: EnvironmentDocument): void {
    this.document = document;
    this.updateDesiredReplicas();
  }

  /**
   * Recomputes the desired replicas of this domain; called when the document
   * or the fleet changes.
   */
  updateDesiredReplicas(): void {
    if (this.document === undefined) return;
    const {failureDomain, fleet} = this.options;
    this.desiredReplicas = getDesiredReplicas(
      this.document,
      failureDomain,
      fleet.getWorkersByDomain(),
    );
  }

  /**
   * Checks whether a batch task was cancelled or a service replica is no longer declared.
   * @param record - Record of the task.
   */
  isCancelledOrUndeclared(record: TaskRecord): boolean {
    if (record.kind === 'batch') return this.cancelledJobs.has(record.name);
    if (this.document === undefined || !this.options.fleet.hasVms()) {
      return false;
    }
    return !this.desiredReplicas.has(record.taskId);
  }

  /**
   * Reads cancellations and creates missing rows; only the first scheduler of
   * the domain creates rows.
   */
  async refresh(): Promise<void> {
    await this.refreshCancellations();
    if (!this.options.fleet.isFirstScheduler()) return;
    await this.createReplicas();
    await this.createTasksOfDeclaredJobs();
  }

  /**
   * Moves pending batch tasks from a randomly chosen other domain to this domain.
   * @param fitsLocally - Whether a task fits on a worker of this scheduler.
   */
  async stealTasks(
    fitsLocally: (record: TaskRecord) => boolean,
  ): Promise<void> {
    await this.moveTasksFrom(
      this.options.fleet.getFailureDomains(),
      fitsLocally,
    );
  }

  /**
   * Moves pending batch tasks from a randomly chosen evacuated domain to this domain.
   * @param runsLocally - Whether a worker of this scheduler could run a task.
   */
  async takeEvacuatedTasks(
    runsLocally: (record: TaskRecord) => boolean,
  ): Promise<void> {
    const {fleet} = this.options;
    await this.moveTasksFrom(fleet.getEvacuatedDomains(), runsLocally);
  }

  private async moveTasksFrom(
    domains: readonly string[],
    isSuitable: (record: TaskRecord) => boolean,
  ): Promise<void> {
    const {random, table, failureDomain, clock} = this.options;
    const others = domains.filter(domain => domain !== failureDomain);
    if (others.length === 0) return;
    const domain = others[random.getIndex(others.length)];
    const cache = TaskCache.create(table, domain);
    const refreshed = await cache.refresh();
    if (refreshed.isErr()) return;
    const nowMs = clock.getWallMs();
    const tasks = cache.getPendingTasks().filter(({record}) => {
      const isOld = nowMs - record.submittedAtMs >= MIN_STOLEN_TASK_AGE_MS;
      return record.kind === 'batch' && isOld && isSuitable(record);
    });
    for (const task of tasks.slice(0, MAX_STOLEN_TASKS)) {
      void this.moveToOwnDomain(task);
    }
  }

  private async refreshCancellations(): Promise<void> {
    const page = await this.options.table.getChanges({
      prefix: CANCEL_PREFIX,
      sinceRevision: this.cancelRevision,
      limit: CANCELLATION_PAGE_ROWS,
    });
    if (page.isErr()) return;
    this.cancelRevision = page.value.revision;
    for (const row of page.value.rows) {
      this.cancelledJobs.add(row.key.slice(CANCEL_PREFIX.length));
    }
  }

  private async createReplicas(): Promise<void> {
    const writes: Array<Promise<unknown>> = [];
    for (const [taskId, service] of this.desiredReplicas) {
      const existing = this.options.cache.getTask(taskId);
      if (existing !== undefined && existing.record.state !== 'cancelled')
        continue;
      if (existing?.isWriting) continue;
      writes.push(this.createReplica(taskId, service, existing));
    }
    await Promise.all(writes);
  }

  private createReplica(
    taskId: string,
    service: ServiceDeclaration,
    existing: CachedTask | undefined,
  ): Promise<unknown> {
    const {failureDomain, committer, tokens, clock} = this.options;
    const nowMs = clock.getWallMs();
    const token = tokens.getNext();
    const value: TaskRecord = {
      ...createReplicaRecord(service, taskId, token, nowMs),
      attempt: existing?.record.attempt ?? 0,
    };
    const key = getTaskKey(failureDomain, taskId);
    const expectedRevision = existing?.revision ?? ABSENT_REVISION;
    return committer.write([{kind: 'put', key, value, expectedRevision}]);
  }

  /**
   * Creates the tasks of declared jobs; only the first failure domain does
   * this, on behalf of all.
   */
  private async createTasksOfDeclaredJobs(): Promise<void> {
    const {fleet, failureDomain} = this.options;
    if (fleet.getFailureDomains()[0] !== failureDomain) return;
    if (fleet.getOwnDomainService() === 'unknown') return;
    const failureDomains = fleet.getTaskDomains();
    for (const job of this.document?.batchJobs ?? []) {
      const isCompleted = await this.createMissingTasks(job, failureDomains);
      if (!isCompleted) return;
    }
  }

  private async createMissingTasks(
    job: BatchJobDeclaration,
    failureDomains: readonly string[],
  ): Promise<boolean> {
    const {table, committer, tokens, clock} = this.options;
    const jobKey = JOB_PREFIX + job.name;
    const row = await table.getRow(jobKey);
    if (row.isErr()) return false;
    const existing = jobRecordSchema.safeParse(row.value?.value);
    let createdTasks = existing.success ? existing.data.createdTasks : 0;
    let revision = row.value?.revision ?? ABSENT_REVISION;
    while (createdTasks < job.tasks) {
      const expansion = {job, jobKey, revision, createdTasks, failureDomains};
      const operations = createJobOperations(
        expansion,
        tokens,
        clock.getWallMs(),
      );
      const outcome = await committer.write(operations);
      if (outcome.kind !== 'written') return false;
      revision = outcome.revision;
      createdTasks += operations.length - 1;
    }
    return true;
  }

  private async moveToOwnDomain(task: CachedTask): Promise<void> {
    const {failureDomain, committer, tokens, cache} = this.options;
    const key = getTaskKey(failureDomain, task.record.taskId);
    const writeToken = tokens.getNext();
    const record: TaskRecord = {...task.record, writeToken};
    const outcome = await committer.write([
      {kind: 'put', key, value: record, expectedRevision: ABSENT_REVISION},
      {kind: 'delete', key: task.key, expectedRevision: task.revision},
    ]);
    if (outcome.kind !== 'written') return;
    cache.applyRecord(key, record, outcome.revision);
  }
}
