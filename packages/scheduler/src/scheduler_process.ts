/** Composition and life cycle of a scheduler process. */

import {err, ok, Result} from 'neverthrow';
import {Clock, Timer} from '@mustardlug/base/clock';
import {AppError} from '@mustardlug/base/errors';
import {RandomSource} from '@mustardlug/base/random_source';
import {DocumentFollower} from '@mustardlug/document/document_follower';
import {
  EvacuationChange,
  EvacuationFollower,
} from '@mustardlug/document/evacuation_follower';
import {
  DEFAULT_LEASE_TIMING,
  LeaseManager,
} from '@mustardlug/membership/lease_manager';
import {
  getWorkerAddress,
  VmDirectory,
} from '@mustardlug/membership/vm_directory';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {GroupCommitter} from '@mustardlug/platform/group_committer';
import {PeerKeySet} from '@mustardlug/protocol/peer_key_set';
import {HttpListener} from '@mustardlug/runtime/http_listener';
import {PlatformClients} from '@mustardlug/runtime/platform_clients';
import {
  createOperatorApp,
  OPERATOR_LIMITS,
} from '@mustardlug/runtime/operator_server';
import {RefusalLog} from '@mustardlug/runtime/refusal_log';
import {Service, ServiceEvent} from '@mustardlug/runtime/service';
import {readTlsFiles, TlsMaterial} from '@mustardlug/runtime/tls_files';
import {TaskScheduler} from '@mustardlug/scheduling/task_scheduler';
import {UsageRecorder} from '@mustardlug/scheduling/usage_recorder';
import {EventName} from '@mustardlug/telemetry/event_catalogue';
import {
  EventRecorder,
  EventSubject,
} from '@mustardlug/telemetry/event_recorder';
import {HybridLogicalClock} from '@mustardlug/telemetry/hybrid_logical_clock';
import {createLogSink} from '@mustardlug/telemetry/logger';
import {ProcessMetrics} from '@mustardlug/telemetry/process_metrics';
import {LocalEntryClient} from './local_entry_client.js';
import {SchedulerSettings} from './scheduler_settings.js';

const VM_LIST_POLL_MS = 1_000;
const DOCUMENT_POLL_MS = 2_000;

/** A scheduler process: holds task leases of workers and schedules tasks on them. */
export class SchedulerProcess extends Service {
  private readonly events: EventRecorder;
  private readonly metrics = ProcessMetrics.create();
  private readonly platform: PlatformClients;
  private readonly committer: GroupCommitter;
  private readonly vmDirectory: VmDirectory;
  private readonly follower: DocumentFollower;
  private readonly evacuations: EvacuationFollower;
  private readonly localEntryClient: LocalEntryClient;
  private readonly scheduler: TaskScheduler;
  private readonly usageRecorder: UsageRecorder;
  private readonly leases: LeaseManager;
  private readonly refusedClients = this.metrics.addCounter(
    'mustardlug_refused_connections_total',
    'Requests that were refused and connections that were closed as a client exceeded a limit, by port and reason.',
    ['port', 'reason'],
  );
  /** Bounds the log lines about refused clients and keys. */
  private readonly refusalLog = RefusalLog.create();
  private listener: HttpListener | undefined;
  private vmListTimer: Timer | undefined;
  private isStopped = false;
  private drainPromise: Promise<void> | undefined;

  private constructor(
    private readonly settings: SchedulerSettings,
    private readonly key: PeerKeySet,
    private readonly tls: TlsMaterial | undefined,
    private readonly clock: Clock,
    random: RandomSource,
  ) {
    super();
    const {nodeId, failureDomain} = settings;
    this.events = EventRecorder.create({
      nodeId: `${nodeId}/scheduler`,
      clock: HybridLogicalClock.create(clock),
      sink: createLogSink(settings.logLevel),
    });
    this.platform = PlatformClients.create({
      platformUrl: settings.platformUrl,
      failureDomain,
      timeoutMs: settings.platformTimeoutMs,
      caCertificate: tls?.ca,
      clock,
    });
    const {table, tokens, jsonClient, workerClient} = this.platform;
    this.localEntryClient = LocalEntryClient.create(
      jsonClient,
      key,
      settings.entryUrl,
    );
    this.vmDirectory = VmDirectory.create(this.platform.vmList);
    this.committer = this.platform.createCommitter(settings.commitIntervalMs);
    this.scheduler = TaskScheduler.create({
      schedulerId: nodeId,
      failureDomain,
      clock,
      random,
      table,
      committer: this.committer,
      tokens,
      client: workerClient,
      renewSoon: (workerId, delayMs) =>
        this.leases.renewSoon(workerId, delayMs),
      listLagMs: settings.listLagMs,
      waitsForEvacuations: true,
      onEvent: (name, subject) => this.addEvent(name, subject),
    });
    this.usageRecorder = UsageRecorder.create({
      clock,
      committer: this.committer,
      tokens,
      intervalMs: settings.usageIntervalMs,
    });
    this.follower = DocumentFollower.create({
      store: this.platform.documents,
      stage: settings.stage,
      clock,
      random,
      pollMs: DOCUMENT_POLL_MS,
      listener: {
        onDocumentActivated: current => {
          this.scheduler.setDocument(current.document);
          const detail = `version ${current.version}`;
          this.addEvent('document-in-force', {detail});
        },
        onReadFailed: detail => {
          this.addEvent('document-read-failed', {detail});
          void this.readDocumentFromLocalEntry();
        },
      },
    });
    this.evacuations = EvacuationFollower.create({
      store: this.platform.evacuations,
      clock,
      random,
      pollMs: DOCUMENT_POLL_MS,
      listener: {
        onEvacuationsRead: change => this.handleEvacuationsRead(change),
        onReadFailed: detail =>
          this.addEvent('evacuations-read-failed', {detail}),
        onReadRecovered: () => this.addEvent('evacuations-read-recovered'),
      },
    });
    this.leases = LeaseManager.create({
      scope: 'tasks',
      holderId: nodeId,
      clock,
      random,
      client: workerClient,
      timing: DEFAULT_LEASE_TIMING,
      shouldRequestUsage: workerId => this.usageRecorder.isDue(workerId),
      listener: {
        onAcquired: lease => this.handleLeaseAcquired(lease),
        onRenewed: lease => this.handleLeaseRenewed(lease),
        onLost: (lease, detail, isUnanswered) =>
          this.handleLeaseLost(lease, detail, isUnanswered),
      },
    });
    this.addMetrics();
  }

  /**
   * Creates a process that does not listen until `start`.
   * @param settings - Validated settings.
   * @param clock - Clock of the process.
   * @param random - Source of random numbers.
   * @returns `invalid-input` when a key or certificate file cannot be used.
   */
  static create(
    settings: SchedulerSettings,
    clock: Clock,
    random: RandomSource,
  ): Result<SchedulerProcess, AppError> {
    return PeerKeySet.read(settings.keyFile).andThen(key =>
      readTlsFiles(settings.tls).map(
        tls => new SchedulerProcess(settings, key, tls, clock, random),
      ),
    );
  }

  /** Starts the operator API, then starts scheduling and polling the platform. */
  override async start(): Promise<Result<void, AppError>> {
    const {host, operatorPort} = this.settings;
    const app = createOperatorApp({
      key: this.key,
      getStatus: () => this.getStatus(),
      getEvents: () => this.events.getEvents(),
      getMetrics: () => this.metrics.getText(),
      getDocument: () => undefined,
      getVms: () => this.vmDirectory.getSnapshot(),
      startDrain: () => void this.drain(),
      onKeyRefused: detail =>
        this.recordRefusal('peer-key-refused', 'key', detail),
    });
    const listener = await HttpListener.listen(
      app,
      {host, port: operatorPort},
      {
        tls: this.tls,
        clock: this.clock,
        limits: OPERATOR_LIMITS,
        usesBody: () => false,
        onRefusal: (reason, detail) =>
          this.recordRefusal('client-refused', reason, detail),
      },
    );
    if (listener.isErr()) return err(listener.error);
    this.listener = listener.value;
    this.scheduler.start();
    void this.follower.start();
    void this.evacuations.start();
    void this.pollVmList();
    const detail = `operators on port ${this.listener.getPort()}`;
    this.addEvent('process-started', {detail});
    return ok(undefined);
  }

  /** Gets the port of the operator API; 0 before `start`. */
  getOperatorPort(): number {
    return this.listener?.getPort() ?? 0;
  }

  /**
   * Shuts down gracefully, releasing all leases. Repeated calls return the same
   * promise.
   */
  override drain(): Promise<void> {
    this.drainPromise ??= this.runDrain();
    return this.drainPromise;
  }

  override recordServiceEvent(name: ServiceEvent, detail: string): void {
    this.addEvent(name, {detail});
  }

  /** Stops immediately, without releasing leases. */
  kill(): void {
    this.isStopped = true;
    this.vmListTimer?.cancel();
    this.follower.stop();
    this.evacuations.stop();
    this.scheduler.stop();
    this.leases.setWorkers([]);
    this.listener?.destroy();
    void this.platform.jsonClient.close();
  }

  /** Gets the status for the operator API. */
  getStatus() {
    const {nodeId, region, failureDomain} = this.settings;
    return {
      nodeId,
      role: 'scheduler',
      region,
      failureDomain,
      documentVersion: this.follower.getVersion(),
      isReady:
        this.follower.getCurrent() !== undefined && this.evacuations.isKnown(),
      degraded: this.getDegradations(),
      evacuatedDomains: this.evacuations.getDomains(),
      leases: this.leases.getValidLeases().map(lease => ({
        workerId: lease.address.workerId,
        epoch: lease.getEpoch(),
      })),
      pendingTasks: this.scheduler.getPendingCount(),
      transactions: this.committer.getTransactionCount(),
      platformTraffic: this.platform.jsonClient.byteCounts,
    };
  }

  private getDegradations(): string[] {
    const degraded: string[] = [];
    if (this.follower.getCurrent() === undefined) {
      degraded.push('no environment document is in force');
    }
    if (this.vmDirectory.getVersion() === 0) {
      degraded.push('the VM list has not been read yet');
    }
    if (!this.evacuations.isKnown()) {
      degraded.push('the evacuated failure domains have not been read yet');
    }
    const {failureDomain} = this.settings;
    if (this.evacuations.getDomains().includes(failureDomain)) {
      degraded.push(`failure domain ${failureDomain} is evacuated`);
    }
    return degraded;
  }

  private async runDrain(): Promise<void> {
    this.addEvent('process-draining');
    this.scheduler.stop();
    await this.leases.releaseAll();
    this.addEvent('process-stopped');
    this.kill();
  }

  private async pollVmList(): Promise<void> {
    await this.refreshVmList();
    if (this.isStopped) return;
    this.vmListTimer = this.clock.setTimer(VM_LIST_POLL_MS, () => {
      void this.pollVmList();
    });
  }

  /**
   * Refreshes the VM list. If it has never been read and the platform fails,
   * uses the list of the local entry.
   */
  private async refreshVmList(): Promise<void> {
    const outcome = await this.vmDirectory.refresh();
    if (outcome === 'failed') {
      this.addEvent('vm-list-failed');
      if (this.vmDirectory.getVersion() > 0) return;
      const vms = await this.localEntryClient.getVms();
      if (vms === undefined || !this.vmDirectory.updateSnapshot(vms)) return;
      this.applyVmList();
      return;
    }
    this.scheduler.recordVmListRead();
    if (outcome === 'changed') this.applyVmList();
  }

  private applyVmList(): void {
    if (this.isStopped) return;
    const {nodeId, failureDomain} = this.settings;
    const schedulers = new Set([nodeId]);
    for (const vm of this.vmDirectory.getEntries()) {
      const isSameDomain = vm.failureDomain === failureDomain;
      if (isSameDomain && vm.state === 'live') schedulers.add(vm.id);
    }
    const candidateIds = [...schedulers].sort();
    const vms = this.vmDirectory.getSnapshot()?.vms ?? [];
    this.scheduler.setVms(vms, candidateIds);
    this.leases.setCandidates(candidateIds);
    this.leases.setWorkers(
      this.vmDirectory.getWorkers(failureDomain).map(getWorkerAddress),
    );
  }

  private handleEvacuationsRead(change: EvacuationChange): void {
    const {domains, evacuated, restored} = change;
    this.scheduler.setEvacuatedDomains(domains);
    for (const detail of evacuated) this.addEvent('domain-evacuated', {detail});
    for (const detail of restored) this.addEvent('domain-restored', {detail});
  }

  private async readDocumentFromLocalEntry(): Promise<void> {
    const document = await this.localEntryClient.getDocument();
    if (document === undefined) return;
    this.follower.applyDocument(document.version, document.text);
  }

  private handleLeaseAcquired(lease: WorkerLease): void {
    const {workerId} = lease.address;
    this.scheduler.addWorker(lease);
    const detail = `epoch ${lease.getEpoch()}`;
    this.addEvent('lease-acquired', {workerId, detail});
  }

  private handleLeaseRenewed(lease: WorkerLease): void {
    this.scheduler.updateWorker(lease);
    void this.usageRecorder.recordUsage(lease);
  }

  private handleLeaseLost(
    lease: WorkerLease,
    detail: string,
    isUnanswered: boolean,
  ): void {
    const {workerId} = lease.address;
    this.scheduler.removeWorker(workerId, isUnanswered);
    this.addEvent('lease-lost', {workerId, detail});
  }

  private recordRefusal(
    event: EventName,
    reason: string,
    refusalDetail: string,
  ): void {
    this.refusedClients.inc({port: 'operators', reason});
    const nowMs = this.clock.getMonotonicMs();
    const detail = this.refusalLog.add(reason, refusalDetail, nowMs);
    if (detail !== undefined) this.addEvent(event, {detail});
  }

  private addMetrics(): void {
    this.metrics.addGauge(
      'mustardlug_pending_tasks',
      'Tasks of the failure domain that wait for a worker.',
      () => this.scheduler.getPendingCount(),
    );
    this.metrics.addGauge(
      'mustardlug_held_worker_leases',
      'Worker leases that this process holds.',
      () => this.leases.getValidLeases().length,
    );
    this.metrics.addGauge(
      'mustardlug_evacuated_domains',
      'Evacuated failure domains, as last read.',
      () => this.evacuations.getDomains().length,
    );
    this.metrics.addGauge(
      'mustardlug_withheld_starts',
      'Starts withheld since the process started because the failure domain is evacuated.',
      () => this.scheduler.getWithheldStartCount(),
    );
    this.metrics.addGauge(
      'mustardlug_table_transactions',
      'Transactions sent to the table service since the start.',
      () => this.committer.getTransactionCount(),
    );
  }

  private addEvent(name: EventName, subject: EventSubject = {}): void {
    this.events.addEvent(name, subject);
  }
}
