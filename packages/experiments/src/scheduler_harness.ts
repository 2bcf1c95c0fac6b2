/** Simulates schedulers, workers and a table in virtual time, for tests and experiments on scheduling. */

import {RandomSource} from '@mustardlug/base/random_source';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  batchJobSchema,
  EnvironmentDocument,
  environmentDocumentSchema,
} from '@mustardlug/document/environment_document';
import {EvacuationFollower} from '@mustardlug/document/evacuation_follower';
import {EvacuationStore} from '@mustardlug/document/evacuation_store';
import {
  DEFAULT_LEASE_TIMING,
  LeaseManager,
} from '@mustardlug/membership/lease_manager';
import {GroupCommitter} from '@mustardlug/platform/group_committer';
import {CountingTokenSource} from '@mustardlug/platform/token_source';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {
  ABSENT_REVISION,
  TableOperation,
} from '@mustardlug/platform/table_service';
import {createJobOperations} from '@mustardlug/scheduling/job_expander';
import {UsageRecorder} from '@mustardlug/scheduling/usage_recorder';
import {Vm} from '@mustardlug/platform/vm_list';
import {WorkerCommand} from '@mustardlug/platform/worker_client';
import {MemoryTable} from '@mustardlug/standins/memory_table';
import {ModelWorkerClient} from '@mustardlug/standins/model_worker_client';
import {NodeClock} from '@mustardlug/standins/node_clock';
import {OffsetClock} from '@mustardlug/standins/offset_clock';
import {RemoteTable} from '@mustardlug/standins/remote_table';
import {WorkerModel, WorkerCapacity} from '@mustardlug/standins/worker_model';
import {PlacementPolicy} from '@mustardlug/scheduling/placement_policy';
import {JOB_PREFIX, TaskRecord} from '@mustardlug/scheduling/task_record';
import {
  SchedulerEvent,
  TaskScheduler,
} from '@mustardlug/scheduling/task_scheduler';

/** Steps of task scheduling at which a test can inject a fault. */
export const TASK_STEPS = [
  'bind-sent',
  'bind-executed',
  'start-sent',
  'start-executed',
  'end-sent',
  'end-executed',
  'evict-sent',
  'evict-executed',
] as const;

/** Step of task scheduling. */
export type TaskStep = (typeof TASK_STEPS)[number];

/** Options of a harness. */
export interface SchedulerHarnessOptions {
  readonly seed: number;
  readonly schedulers: number;
  readonly workers: number;
  readonly size?: WorkerCapacity;
  readonly document: EnvironmentDocument;
  readonly commitIntervalMs?: number;
  /** Whether batch attempts that slow down services are throttled and evicted; on by default. */
  readonly isInterferenceControlEnabled?: boolean;
  readonly placement?: PlacementPolicy;
  /** Whether schedulers follow the evacuated failure domains; off by default. */
  readonly followsEvacuations?: boolean;
  /** Interval at which usage rows are written; if absent, none are written. */
  readonly usageIntervalMs?: number;
  /** Whether to count the bytes of calls to workers and the table. */
  readonly isCountingBytes?: boolean;
}

/** A simulated scheduler process. */
export interface SchedulerNode {
  readonly id: string;
  readonly clock: NodeClock;
  readonly scheduler: TaskScheduler;
  readonly leases: LeaseManager;
  readonly workerClient: ModelWorkerClient;
  readonly committer: GroupCommitter;
  readonly table: RemoteTable;
  isDead: boolean;
}

/** A crash of a worker. */
export interface WorkerCrash {
  readonly workerId: string;
  readonly atMs: number;
}

/** Name of the only failure domain. */
export const DOMAIN = 'domain-a';
const VM_LIST_POLL_MS = 1_000;
const VM_LIST_LAG_MS = 5_000;
const EVACUATION_POLL_MS = 2_000;
const DEFAULT_SIZE: WorkerCapacity = {
  cores: 8,
  memoryMb: 8_000,
  accelerators: 0,
};
/** Time from the crash of a worker to its next boot. */
const REBOOT_MS = 5_000;

/** Simulates one failure domain. */
export class SchedulerHarness {
  readonly clock = VirtualClock.create();
  readonly table = MemoryTable.create(this.clock);
  readonly models = new Map<string, WorkerModel>();
  readonly nodes: SchedulerNode[] = [];
  /** Workers that were removed or rebooted. */
  private readonly removedModels: WorkerModel[] = [];
  readonly events: Array<{
    name: SchedulerEvent;
    taskId?: string;
    atMs: number;
  }> = [];
  /** Time after which attempts of a service or job crash their worker, by name. */
  readonly crashDelayMsByName = new Map<string, number>();
  /** Time by which the wall clock of a worker is ahead from its next boot on, by worker. */
  readonly wallOffsetsMs = new Map<string, number>();
  /** Rows of evacuated domains, as operators change them. */
  readonly evacuations = EvacuationStore.create({
    table: this.table,
    retryingCommitter: RetryingCommitter.create({
      table: this.table,
      clock: this.clock,
    }),
    tokens: CountingTokenSource.create('operator'),
  });
  /** Crashes of workers, in order. */
  readonly crashes: WorkerCrash[] = [];
  /** Workers on the platform's VM list. */
  vms: Vm[] = [];
  private startedCount = 0;
  private stepHook: ((step: TaskStep, node: SchedulerNode) => void) | undefined;

  private constructor(readonly options: SchedulerHarnessOptions) {
    this.table.faults.delayMs = 5;
    for (let index = 0; index < options.workers; index++) {
      this.addWorker(`worker-${index}`, `rack-${index % 3}`);
    }
    for (let index = 0; index < options.schedulers; index++) this.addNode();
  }

  /**
   * Creates a failure domain with running schedulers.
   * @param options - Sizes, seed and document.
   */
  static create(options: SchedulerHarnessOptions): SchedulerHarness {
    return new SchedulerHarness(options);
  }

  /** Sets the function that is called at every step of a task. */
  setStepHook(
    hook: ((step: TaskStep, node: SchedulerNode) => void) | undefined,
  ): void {
    this.stepHook = hook;
  }

  /** Adds a worker that has just booted; it has the size of the others by default. */
  addWorker(
    workerId: string,
    rack: string,
    size: WorkerCapacity = this.options.size ?? DEFAULT_SIZE,
  ): WorkerModel {
    const bootId = `boot-${++this.startedCount}`;
    const previous = this.models.get(workerId);
    if (previous !== undefined) this.removedModels.push(previous);
    const wallOffsetMs = this.wallOffsetsMs.get(workerId) ?? 0;
    const clock = OffsetClock.create(this.clock, wallOffsetMs);
    const model = WorkerModel.create(workerId, bootId, size, clock);
    model.behavior.getCrashDelayMs = name => this.crashDelayMsByName.get(name);
    model.behavior.onCrash = () => this.crashWorker(workerId);
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
        cores: size.cores,
        memoryMb: size.memoryMb,
        accelerators: size.accelerators,
      },
    ];
    this.publishMembership();
    return model;
  }

  /** Destroys a worker and removes it from the VM list. */
  removeWorker(workerId: string): void {
    const model = this.models.get(workerId);
    if (model !== undefined) this.removedModels.push(model);
    model?.destroy();
    this.models.delete(workerId);
    this.vms = this.vms.filter(vm => vm.id !== workerId);
    this.publishMembership();
  }

  /** Removes a worker from the VM list although it has not stopped, against the promise of the platform. */
  unlistWorker(workerId: string): void {
    this.vms = this.vms.filter(vm => vm.id !== workerId);
    this.publishMembership();
  }

  /**
   * Crashes a worker, which stays on the VM list and boots again.
   * @param workerId - Id of the worker.
   * @param rebootMs - Time from the crash to the next boot.
   * @param onBoot - Called before the next boot.
   */
  crashWorker(
    workerId: string,
    rebootMs = REBOOT_MS,
    onBoot?: () => void,
  ): void {
    const model = this.models.get(workerId);
    const vm = this.vms.find(({id}) => id === workerId);
    if (model === undefined || vm === undefined) return;
    this.crashes.push({workerId, atMs: this.clock.getWallMs()});
    model.destroy();
    this.removedModels.push(model);
    this.models.delete(workerId);
    this.clock.setTimer(rebootMs, () => {
      if (!this.vms.some(({id}) => id === workerId)) return;
      onBoot?.();
      this.addWorker(workerId, vm.rack, vm);
    });
  }

  /** Adds a scheduler process. */
  addNode(): SchedulerNode {
    const id = `scheduler-${++this.startedCount}`;
    const {seed, document} = this.options;
    const random = RandomSource.create(seed * 1000 + this.startedCount);
    const clock = NodeClock.create(this.clock);
    const reportStep = (step: TaskStep, count: number) => {
      if (count > 0) this.stepHook?.(step, node);
    };
    const workerClient = ModelWorkerClient.create(
      this.models,
      clock,
      {
        onSend: commands => reportStep('start-sent', countStarts(commands)),
        onExecuted: commands =>
          reportStep('start-executed', countStarts(commands)),
      },
      this.clock,
    );
    const table = RemoteTable.create(this.table, clock, {
      onSend: operations => {
        reportStep('bind-sent', countRecordsInState(operations, 'bound'));
        reportStep('end-sent', countRecordsInState(operations, 'done'));
        reportStep('evict-sent', countEvictions(operations));
      },
      onDecided: operations => {
        reportStep('bind-executed', countRecordsInState(operations, 'bound'));
        reportStep('end-executed', countRecordsInState(operations, 'done'));
        reportStep('evict-executed', countEvictions(operations));
      },
    });
    workerClient.isCountingBytes = this.options.isCountingBytes ?? false;
    table.isCountingBytes = this.options.isCountingBytes ?? false;
    const committer = GroupCommitter.create({
      table,
      retryingCommitter: RetryingCommitter.create({table, clock}),
      clock,
      commitIntervalMs: this.options.commitIntervalMs ?? 100,
    });
    const scheduler = TaskScheduler.create({
      schedulerId: id,
      failureDomain: DOMAIN,
      clock,
      random,
      table,
      committer,
      tokens: CountingTokenSource.create(id),
      client: workerClient,
      renewSoon: (workerId, delayMs) => leases.renewSoon(workerId, delayMs),
      listLagMs: VM_LIST_LAG_MS,
      isInterferenceControlEnabled: this.options.isInterferenceControlEnabled,
      placement: this.options.placement,
      waitsForEvacuations: this.options.followsEvacuations,
      onEvent: (name, {taskId}) =>
        this.events.push({name, taskId, atMs: this.clock.getWallMs()}),
    });
    const {usageIntervalMs} = this.options;
    const usage =
      usageIntervalMs === undefined
        ? undefined
        : UsageRecorder.create({
            clock,
            committer,
            tokens: CountingTokenSource.create(`${id}-usage`),
            intervalMs: usageIntervalMs,
          });
    const leases: LeaseManager = LeaseManager.create({
      scope: 'tasks',
      holderId: id,
      clock,
      random,
      client: workerClient,
      timing: DEFAULT_LEASE_TIMING,
      shouldRequestUsage: workerId => usage?.isDue(workerId) ?? false,
      listener: {
        onAcquired: lease => scheduler.addWorker(lease),
        onRenewed: lease => {
          scheduler.updateWorker(lease);
          void usage?.recordUsage(lease);
        },
        onLost: (lease, _reason, isUnanswered) =>
          scheduler.removeWorker(lease.address.workerId, isUnanswered),
      },
    });
    const node: SchedulerNode = {
      id,
      clock,
      scheduler,
      leases,
      workerClient,
      committer,
      table,
      isDead: false,
    };
    this.nodes.push(node);
    this.publishMembership();
    scheduler.setDocument(document);
    scheduler.start();
    this.pollVmList(node);
    if (this.options.followsEvacuations) this.followEvacuations(node, random);
    return node;
  }

  private followEvacuations(
    {id, clock, table, scheduler}: SchedulerNode,
    random: RandomSource,
  ): void {
    const follower = EvacuationFollower.create({
      store: EvacuationStore.create({
        table,
        retryingCommitter: RetryingCommitter.create({table, clock}),
        tokens: CountingTokenSource.create(`${id}-evacuations`),
      }),
      clock,
      random,
      pollMs: EVACUATION_POLL_MS,
      listener: {
        onEvacuationsRead: ({domains}) =>
          scheduler.setEvacuatedDomains(domains),
        onReadFailed: () => undefined,
        onReadRecovered: () => undefined,
      },
    });
    void follower.start();
  }

  /**
   * Adds a worker of another failure domain, which has no scheduler.
   * @param failureDomain - Name of the domain.
   */
  addForeignWorker(failureDomain: string): void {
    this.vms = [
      ...this.vms,
      {...this.vms[0], id: `worker-${failureDomain}`, failureDomain},
    ];
    this.publishMembership();
  }

  /** Gets the number of attempts that workers started. */
  getStartCount(): number {
    let count = 0;
    for (const model of this.getAllModels()) {
      count += model.startedAttempts.length;
    }
    return count;
  }

  /** Kills a scheduler process without a graceful shutdown. */
  killNode(node: SchedulerNode): void {
    node.isDead = true;
    node.clock.kill();
    node.scheduler.stop();
    node.leases.setWorkers([]);
    for (const vm of this.vms)
      node.workerClient.faults.unreachableWorkers.add(vm.id);
    this.publishMembership();
  }

  /**
   * Submits a job to the table.
   * @param job - Declaration of the job.
   * @param failureDomain - Domain that its tasks belong to.
   * @returns Wall time of the submission.
   */
  submitJob(job: object, failureDomain = DOMAIN): number {
    const declaration = batchJobSchema.parse(job);
    const nowMs = this.clock.getWallMs();
    const operations = createJobOperations(
      {
        job: declaration,
        jobKey: JOB_PREFIX + declaration.name,
        revision: ABSENT_REVISION,
        createdTasks: 0,
        failureDomains: [failureDomain],
      },
      CountingTokenSource.create('submitter'),
      nowMs,
    );
    void this.table.commit(operations);
    return nowMs;
  }

  /** Gets all task records. */
  getTasks(): TaskRecord[] {
    return this.table
      .getRowsByPrefix('task/')
      .map(row => row.value as TaskRecord);
  }

  /** Gets the number of attempts of a task that workers started. */
  countStarts(taskId: string): number {
    const started = this.getAllModels().flatMap(model => model.startedAttempts);
    return started.filter(attempt => attempt.taskId === taskId).length;
  }

  /** Gets the number of tasks in a state. */
  countTasks(state: TaskRecord['state']): number {
    return this.getTasks().filter(task => task.state === state).length;
  }

  /** Gets the violations that the workers recorded, including removed workers. */
  getViolations(): string[] {
    return this.getAllModels().flatMap(model => model.violations);
  }

  /** Gets the tasks that currently run on more than one worker. */
  getDuplicateRuns(): string[] {
    const seen = new Set<string>();
    const duplicates: string[] = [];
    for (const model of this.models.values()) {
      for (const {taskId} of model.getRunningAttempts()) {
        if (seen.has(taskId)) duplicates.push(taskId);
        seen.add(taskId);
      }
    }
    return duplicates;
  }

  /** Gets the task attempts that were started more than once. */
  getRepeatedStarts(): string[] {
    const seen = new Set<string>();
    const repeated: string[] = [];
    for (const model of this.getAllModels()) {
      for (const {taskId, attempt} of model.startedAttempts) {
        const key = `${taskId}#${attempt}`;
        if (seen.has(key)) repeated.push(key);
        seen.add(key);
      }
    }
    return repeated;
  }

  /** Gets the checkpoints from which more than one attempt resumed. */
  getRepeatedResumes(): string[] {
    const seen = new Set<string>();
    const repeated: string[] = [];
    for (const model of this.getAllModels()) {
      for (const {taskId, checkpoint} of model.startedAttempts) {
        if (checkpoint === undefined) continue;
        const key = `${taskId}@${checkpoint}`;
        if (seen.has(key)) repeated.push(key);
        seen.add(key);
      }
    }
    return repeated;
  }

  /** Gets the number of running service replicas. */
  countRunningServices(): number {
    let count = 0;
    for (const model of this.models.values()) {
      for (const {taskId} of model.getRunningAttempts()) {
        if (taskId.startsWith('service.')) count++;
      }
    }
    return count;
  }

  private getAllModels(): WorkerModel[] {
    return [...this.removedModels, ...this.models.values()];
  }

  /** Gives the current VM list to all schedulers. */
  publishMembership(): void {
    const liveNodeIds = this.nodes
      .filter(node => !node.isDead)
      .map(node => node.id);
    for (const node of this.nodes) {
      if (node.isDead) continue;
      node.scheduler.setVms(this.vms, liveNodeIds);
      node.leases.setCandidates(liveNodeIds);
      node.leases.setWorkers(
        this.vms.map(vm => ({workerId: vm.id, host: vm.host, port: vm.port})),
      );
    }
  }

  private pollVmList(node: SchedulerNode): void {
    if (node.isDead) return;
    node.scheduler.recordVmListRead();
    node.clock.setTimer(VM_LIST_POLL_MS, () => this.pollVmList(node));
  }
}

function countStarts(commands: readonly WorkerCommand[]): number {
  return commands.filter(command => command.kind === 'start').length;
}

function getTaskRecords(operations: readonly TableOperation[]): TaskRecord[] {
  return operations.flatMap(operation =>
    operation.kind === 'put' && operation.key.startsWith('task/')
      ? [operation.value as TaskRecord]
      : [],
  );
}

function countRecordsInState(
  operations: readonly TableOperation[],
  state: TaskRecord['state'],
): number {
  return getTaskRecords(operations).filter(record => record.state === state)
    .length;
}

function countEvictions(operations: readonly TableOperation[]): number {
  return getTaskRecords(operations).filter(
    record => record.state === 'pending' && record.evictions > 0,
  ).length;
}

/** Fields of a document that a test overrides. */
export interface DocumentOverrides {
  readonly services?: object[];
  readonly batchJobs?: object[];
  readonly teams?: object[];
  readonly objective?: object;
}

/** Creates a document with one team. */
export function createDocument(
  overrides: DocumentOverrides,
): EnvironmentDocument {
  return environmentDocumentSchema.parse({
    environment: 'test',
    objective: overrides.objective ?? {
      tailLatencyWeight: 1,
      evictionWeight: 1,
      throughputWeight: 1,
    },
    teams: overrides.teams ?? [{name: 'team-a', quotaCores: 1_000}],
    services: overrides.services ?? [],
    batchJobs: overrides.batchJobs ?? [],
  });
}

/** Creates a batch job of small tasks. */
export function createJob(tasks: number, overrides: object = {}): object {
  return {
    name: 'reports',
    team: 'team-a',
    tasks,
    resources: {cores: 1, memoryMb: 500},
    expectedRunMs: 5_000,
    ...overrides,
  };
}

/** Creates a service. */
export function createService(
  replicas: number,
  overrides: object = {},
): object {
  return {
    name: 'class-desk',
    team: 'team-a',
    replicas,
    resources: {cores: 2, memoryMb: 1_000},
    ...overrides,
  };
}
