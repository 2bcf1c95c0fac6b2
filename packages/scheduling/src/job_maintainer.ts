/** Keeps the rows of declared work: cancellations, replicas, job tasks, and moves between domains. */

import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {
  BatchJobDeclaration,
  EnvironmentDocument,
  ServiceDeclaration,
} from '@mustardlug/document/environment_document';
import {GroupCommitter} from '@mustardlug/platform/group_committer';
import {TokenSource} from '@mustardlug/platform/row_token';
import {
  ABSENT_REVISION,
  TableService,
} from '@mustardlug/platform/table_service';
import {Fleet} from './fleet.js';
import {
  createJobOperations,
  createReplicaRecord,
  getWantedReplicas,
  jobRecordSchema,
} from './job_expander.js';
import {CachedTask, TaskCache} from './task_cache.js';
import {
  CANCEL_PREFIX,
  getTaskKey,
  JOB_PREFIX,
  TaskRecord,
} from './task_record.js';

/** Options of a maintainer. */
export interface JobMaintainerOptions {
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly table: TableService;
  readonly committer: GroupCommitter;
  readonly tokens: TokenSource;
  readonly cache: TaskCache;
  readonly fleet: Fleet;
}

const CANCELLATIONS_PER_READ = 400;
const STEAL_MIN_AGE_MS = 3_000;
const MAX_STOLEN_TASKS = 50;

/** Creates and moves rows, each by compare-and-set. */
export class JobMaintainer {
  private readonly cancelledJobs = new Set<string>();
  private cancelRevision = 0;
  private document: EnvironmentDocument | undefined;
  private wantedReplicas: ReadonlyMap<string, ServiceDeclaration> = new Map();

  private constructor(private readonly options: JobMaintainerOptions) {}

  /**
   * Creates a maintainer.
   * @param options - Table, cache and fleet.
   */
  static create(options: JobMaintainerOptions): JobMaintainer {
    return new JobMaintainer(options);
  }

  /**
   * Sets the document in force.
   * @param document - Checked document.
   */
  setDocument(document: EnvironmentDocument): void {
    this.document = document;
    this.updateWantedReplicas();
  }

  /** Takes in that the fleet changed. */
  updateWantedReplicas(): void {
    if (this.document === undefined) return;
    const {failureDomain, fleet} = this.options;
    this.wantedReplicas = getWantedReplicas(
      this.document,
      failureDomain,
      fleet.getWorkersByDomain(),
    );
  }

  /**
   * Checks whether a task was cancelled or is no longer declared.
   * @param record - State of the task.
   */
  isUnwanted(record: TaskRecord): boolean {
    if (record.kind === 'batch') return this.cancelledJobs.has(record.name);
    if (this.document === undefined || !this.options.fleet.isKnown()) {
      return false;
    }
    return !this.wantedReplicas.has(record.taskId);
  }

  /** Reads cancellations and creates rows that are missing. */
  async refresh(): Promise<void> {
    await this.refreshCancellations();
    if (!this.options.fleet.isFirstScheduler()) return;
    await this.createReplicas();
    await this.createJobTasks();
  }

  /**
   * Takes pending batch tasks of another domain.
   * @param canRun - Whether a task would find room here.
   */
  async stealTasks(canRun: (record: TaskRecord) => boolean): Promise<void> {
    const {random, table, fleet, failureDomain, clock} = this.options;
    const others = fleet
      .getFailureDomains()
      .filter(domain => domain !== failureDomain);
    if (others.length === 0) return;
    const domain = others[random.getIndex(others.length)];
    const cache = TaskCache.create(table, domain);
    const refreshed = await cache.refresh();
    if (refreshed.isErr()) return;
    const nowMs = clock.getWallMs();
    const tasks = cache.getPending().filter(({record}) => {
      const isOld = nowMs - record.submittedAtMs >= STEAL_MIN_AGE_MS;
      return record.kind === 'batch' && isOld && canRun(record);
    });
    for (const task of tasks.slice(0, MAX_STOLEN_TASKS)) {
      void this.moveHere(task);
    }
  }

  private async refreshCancellations(): Promise<void> {
    const page = await this.options.table.getChanges({
      prefix: CANCEL_PREFIX,
      sinceRevision: this.cancelRevision,
      limit: CANCELLATIONS_PER_READ,
    });
    if (page.isErr()) return;
    this.cancelRevision = page.value.revision;
    for (const row of page.value.rows) {
      this.cancelledJobs.add(row.key.slice(CANCEL_PREFIX.length));
    }
  }

  private async createReplicas(): Promise<void> {
    const writes: Array<Promise<unknown>> = [];
    for (const [taskId, service] of this.wantedReplicas) {
      const known = this.options.cache.getTask(taskId);
      if (known !== undefined && known.record.state !== 'cancelled') continue;
      if (known?.isWriting) continue;
      writes.push(this.createReplica(taskId, service, known));
    }
    await Promise.all(writes);
  }

  private createReplica(
    taskId: string,
    service: ServiceDeclaration,
    known: CachedTask | undefined,
  ): Promise<unknown> {
    const {failureDomain, committer, tokens, clock} = this.options;
    const nowMs = clock.getWallMs();
    const token = tokens.getNext();
    const value: TaskRecord = {
      ...createReplicaRecord(service, taskId, token, nowMs),
      attempt: known?.record.attempt ?? 0,
    };
    const key = getTaskKey(failureDomain, taskId);
    const expectedRevision = known?.revision ?? ABSENT_REVISION;
    return committer.write([{kind: 'put', key, value, expectedRevision}]);
  }

  /** The first domain creates the tasks of declared jobs, for all domains. */
  private async createJobTasks(): Promise<void> {
    const failureDomains = this.options.fleet.getFailureDomains();
    if (failureDomains[0] !== this.options.failureDomain) return;
    for (const job of this.document?.batchJobs ?? []) {
      const isGoingOn = await this.createTasksOf(job, failureDomains);
      if (!isGoingOn) return;
    }
  }

  private async createTasksOf(
    job: BatchJobDeclaration,
    failureDomains: readonly string[],
  ): Promise<boolean> {
    const {table, committer, tokens, clock} = this.options;
    const jobKey = JOB_PREFIX + job.name;
    const row = await table.getRow(jobKey);
    if (row.isErr()) return false;
    const known = jobRecordSchema.safeParse(row.value?.value);
    let createdTasks = known.success ? known.data.createdTasks : 0;
    let revision = row.value?.revision ?? ABSENT_REVISION;
    while (createdTasks < job.tasks) {
      const plan = {job, jobKey, revision, createdTasks, failureDomains};
      const unit = createJobOperations(plan, tokens, clock.getWallMs());
      const outcome = await committer.write(unit);
      if (outcome.kind !== 'written') return false;
      revision = outcome.revision;
      createdTasks += unit.length - 1;
    }
    return true;
  }

  private async moveHere(task: CachedTask): Promise<void> {
    const {failureDomain, committer, tokens, cache} = this.options;
    const key = getTaskKey(failureDomain, task.record.taskId);
    const writeToken = tokens.getNext();
    const record: TaskRecord = {...task.record, writeToken};
    const outcome = await committer.write([
      {kind: 'put', key, value: record, expectedRevision: ABSENT_REVISION},
      {kind: 'delete', key: task.key, expectedRevision: task.revision},
    ]);
    if (outcome.kind !== 'written') return;
    cache.setRecord(key, record, outcome.revision);
  }
}
