/** Schedulers, workers and a table in virtual time, for tests of failures. */

import {RandomSource} from '@mustardlug/base/random_source';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  EnvironmentDocument,
  environmentDocumentSchema,
} from '@mustardlug/document/environment_document';
import {
  DEFAULT_LEASE_TIMING,
  LeaseKeeper,
} from '@mustardlug/membership/lease_keeper';
import {GroupCommitter} from '@mustardlug/platform/group_committer';
import {CountingTokenSource} from '@mustardlug/platform/row_token';
import {SettledTable} from '@mustardlug/platform/settled_table';
import {Vm} from '@mustardlug/platform/vm_list';
import {MemoryTable} from '@mustardlug/standins/memory_table';
import {ModelWorkerClient} from '@mustardlug/standins/model_worker_client';
import {WorkerModel, WorkerSize} from '@mustardlug/standins/worker_model';
import {PlacementPolicy} from '../src/placement_policy.js';
import {TaskRecord} from '../src/task_record.js';
import {SchedulerEvent, TaskScheduler} from '../src/task_scheduler.js';

/** Options of a harness. */
export interface HarnessOptions {
  readonly seed: number;
  readonly schedulers: number;
  readonly workers: number;
  readonly size?: WorkerSize;
  readonly document: EnvironmentDocument;
  readonly commitIntervalMs?: number;
  readonly isThrottling?: boolean;
  readonly placement?: PlacementPolicy;
}

/** One scheduler with its lease keeper. */
export interface SchedulerNode {
  readonly id: string;
  readonly scheduler: TaskScheduler;
  readonly leases: LeaseKeeper;
  readonly client: ModelWorkerClient;
  readonly committer: GroupCommitter;
  isDead: boolean;
}

/** Name of the one failure domain. */
export const DOMAIN = 'domain-a';
const LIST_READ_MS = 1_000;
const LIST_LAG_MS = 5_000;
const DEFAULT_SIZE: WorkerSize = {cores: 8, memoryMb: 8_000, accelerators: 0};

/** A failure domain in virtual time. */
export class SchedulerHarness {
  readonly clock = VirtualClock.create();
  readonly table = MemoryTable.create(this.clock);
  readonly models = new Map<string, WorkerModel>();
  readonly nodes: SchedulerNode[] = [];
  readonly events: Array<{
    name: SchedulerEvent;
    taskId?: string;
    atMs: number;
  }> = [];
  /** Workers on the platform's list. */
  vms: Vm[] = [];
  private started = 0;

  private constructor(private readonly options: HarnessOptions) {
    this.table.faults.delayMs = 5;
    for (let index = 0; index < options.workers; index++) {
      this.addWorker(`worker-${index}`, `rack-${index % 3}`);
    }
    for (let index = 0; index < options.schedulers; index++) this.addNode();
  }

  /**
   * Creates a running domain.
   * @param options - Sizes, seed and document.
   */
  static create(options: HarnessOptions): SchedulerHarness {
    return new SchedulerHarness(options);
  }

  /** Adds a worker that has just booted. */
  addWorker(workerId: string, rack: string): WorkerModel {
    const size = this.options.size ?? DEFAULT_SIZE;
    const bootId = `boot-${++this.started}`;
    const model = WorkerModel.create(workerId, bootId, size, this.clock);
    this.models.set(workerId, model);
    this.vms = [
      ...this.vms.filter(vm => vm.id !== workerId),
      {
        id: workerId,
        role: 'worker',
        region: 'region-a',
        failureDomain: DOMAIN,
        rack,
        state: 'live',
        host: 'none',
        port: 1,
        ...size,
      },
    ];
    this.publishVms();
    return model;
  }

  /** Ends a worker and drops it from the list. */
  removeWorker(workerId: string): void {
    this.models.get(workerId)?.destroy();
    this.models.delete(workerId);
    this.vms = this.vms.filter(vm => vm.id !== workerId);
    this.publishVms();
  }

  /** Adds a scheduler process. */
  addNode(): SchedulerNode {
    const id = `scheduler-${++this.started}`;
    const {seed, document} = this.options;
    const random = RandomSource.create(seed * 1000 + this.started);
    const client = ModelWorkerClient.create(this.models, this.clock);
    const committer = GroupCommitter.create({
      table: this.table,
      settledTable: SettledTable.create({table: this.table, clock: this.clock}),
      clock: this.clock,
      commitIntervalMs: this.options.commitIntervalMs ?? 100,
    });
    const scheduler = TaskScheduler.create({
      schedulerId: id,
      failureDomain: DOMAIN,
      clock: this.clock,
      random,
      table: this.table,
      committer,
      tokens: CountingTokenSource.create(id),
      client,
      listLagMs: LIST_LAG_MS,
      isThrottling: this.options.isThrottling,
      placement: this.options.placement,
      onEvent: (name, {taskId}) =>
        this.events.push({name, taskId, atMs: this.clock.getWallMs()}),
    });
    const leases = LeaseKeeper.create({
      scope: 'tasks',
      holderId: id,
      clock: this.clock,
      random,
      client,
      timing: DEFAULT_LEASE_TIMING,
      listener: {
        onAcquired: lease => scheduler.addWorker(lease),
        onRenewed: lease => scheduler.updateWorker(lease),
        onLost: lease => scheduler.removeWorker(lease.address.workerId),
      },
    });
    const node = {id, scheduler, leases, client, committer, isDead: false};
    this.nodes.push(node);
    this.publishVms();
    scheduler.setDocument(document);
    scheduler.start();
    this.readList(node);
    return node;
  }

  /** Kills a scheduler process without any farewell. */
  killNode(node: SchedulerNode): void {
    node.isDead = true;
    node.scheduler.stop();
    node.leases.setWorkers([]);
    for (const vm of this.vms) node.client.faults.cutWorkers.add(vm.id);
    this.publishVms();
  }

  /** Gets all task records. */
  getTasks(): TaskRecord[] {
    return this.table.getMatching('task/').map(row => row.value as TaskRecord);
  }

  /** Gets the number of tasks in a state. */
  countTasks(state: TaskRecord['state']): number {
    return this.getTasks().filter(task => task.state === state).length;
  }

  /** Gets all violations that workers noted. */
  getViolations(): string[] {
    return [...this.models.values()].flatMap(model => model.violations);
  }

  /** Gets the tasks that run on more than one worker now. */
  getDoubleRuns(): string[] {
    const seen = new Set<string>();
    const doubles: string[] = [];
    for (const model of this.models.values()) {
      for (const {taskId} of model.getRunningAttempts()) {
        if (seen.has(taskId)) doubles.push(taskId);
        seen.add(taskId);
      }
    }
    return doubles;
  }

  /** Gets the attempts that were started more than once. */
  getRepeatedStarts(): string[] {
    const seen = new Set<string>();
    const repeated: string[] = [];
    for (const model of this.models.values()) {
      for (const {taskId, attempt} of model.startedAttempts) {
        const key = `${taskId}#${attempt}`;
        if (seen.has(key)) repeated.push(key);
        seen.add(key);
      }
    }
    return repeated;
  }

  private publishVms(): void {
    const live = this.nodes.filter(node => !node.isDead).map(node => node.id);
    for (const node of this.nodes) {
      if (node.isDead) continue;
      node.scheduler.setVms(this.vms, live);
      node.leases.setCandidates(live);
      node.leases.setWorkers(
        this.vms.map(vm => ({workerId: vm.id, host: vm.host, port: vm.port})),
      );
    }
  }

  private readList(node: SchedulerNode): void {
    if (node.isDead) return;
    node.scheduler.noteVmListRead();
    this.clock.setTimer(LIST_READ_MS, () => this.readList(node));
  }
}

/** Parts of a document that a test sets. */
export interface DocumentParts {
  readonly services?: object[];
  readonly batchJobs?: object[];
  readonly teams?: object[];
  readonly objective?: object;
}

/** Creates a document with one team. */
export function createDocument(parts: DocumentParts): EnvironmentDocument {
  return environmentDocumentSchema.parse({
    environment: 'test',
    objective: parts.objective ?? {
      tailLatencyWeight: 1,
      evictionWeight: 1,
      throughputWeight: 1,
    },
    teams: parts.teams ?? [{name: 'team-a', quotaCores: 1_000}],
    services: parts.services ?? [],
    batchJobs: parts.batchJobs ?? [],
  });
}

/** Creates a batch job of small tasks. */
export function createJob(tasks: number, more: object = {}): object {
  return {
    name: 'reports',
    team: 'team-a',
    tasks,
    resources: {cores: 1, memoryMb: 500},
    expectedRunMs: 5_000,
    ...more,
  };
}

/** Creates a service. */
export function createService(replicas: number, more: object = {}): object {
  return {
    name: 'class-desk',
    team: 'team-a',
    replicas,
    resources: {cores: 2, memoryMb: 1_000},
    ...more,
  };
}
