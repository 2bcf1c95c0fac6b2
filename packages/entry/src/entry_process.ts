/** Composition and life cycle of an entry process. */

import {randomUUID} from 'node:crypto';
import {err, ok, Result} from 'neverthrow';
import {Clock, Timer} from '@mustardlug/base/clock';
import {AppError} from '@mustardlug/base/errors';
import {RandomSource} from '@mustardlug/base/random_source';
import {
  DocumentFollower,
  ActiveDocument,
} from '@mustardlug/document/document_follower';
import {EnvironmentDocument} from '@mustardlug/document/environment_document';
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
import {
  DocumentMessage,
  HandoverMessage,
  HeartbeatMessage,
  HelloMessage,
  PROTOCOL_VERSION,
} from '@mustardlug/protocol/messages';
import {ForwardBudget} from '@mustardlug/protocol/forward_budget';
import {
  RequestStatus,
  PeerHandler,
  BufferedRequest,
  BufferedResponse,
} from '@mustardlug/protocol/peer_channel';
import {PeerKeySet} from '@mustardlug/protocol/peer_key_set';
import {EvacuationGate} from '@mustardlug/routing/evacuation_gate';
import {IdempotencyRecords} from '@mustardlug/routing/idempotency_records';
import {RequestCoordinator} from '@mustardlug/routing/request_coordinator';
import {
  CallerAnswer,
  CallerRequest,
  HolderNetwork,
} from '@mustardlug/routing/request_runner';
import {PeerHolderNetwork} from '@mustardlug/routing/peer_holder_network';
import {
  DEFAULT_RETRY_BUDGET,
  RetryBudget,
} from '@mustardlug/routing/retry_budget';
import {EventName} from '@mustardlug/telemetry/event_catalogue';
import {
  EventRecorder,
  EventSubject,
} from '@mustardlug/telemetry/event_recorder';
import {HybridLogicalClock} from '@mustardlug/telemetry/hybrid_logical_clock';
import {createLogSink} from '@mustardlug/telemetry/logger';
import {CallerServer, REFUSAL_HEADERS} from './caller_server.js';
import {EntryMetrics} from './entry_metrics.js';
import {EntrySettings} from './entry_settings.js';
import {HolderDirectory} from '@mustardlug/routing/holder_directory';
import {DispatcherRegistry} from '@mustardlug/routing/dispatcher_registry';
import {HttpListener, ListenOptions} from '@mustardlug/runtime/http_listener';
import {ListenerLimits} from '@mustardlug/runtime/listener_limits';
import {PlatformClients} from '@mustardlug/runtime/platform_clients';
import {
  createOperatorApp,
  OPERATOR_LIMITS,
} from '@mustardlug/runtime/operator_server';
import {RefusalLog} from '@mustardlug/runtime/refusal_log';
import {Service, ServiceEvent} from '@mustardlug/runtime/service';
import {PeerAddress, PeerNetwork} from './peer_network.js';
import {readTlsFiles, TlsMaterial} from '@mustardlug/runtime/tls_files';
import {MAX_WARM_UP_MS, ReadinessReporter} from './readiness_reporter.js';
import {UndiciUpstream} from './undici_upstream.js';

const VM_LIST_POLL_MS = 1_000;
const DOCUMENT_POLL_MS = 2_000;
const DRAIN_POLL_MS = 50;
const PAUSE_CHECK_INTERVAL_MS = 500;
const DRAIN_TIMEOUT_MS = 60_000;
/** Time for clients to read the last responses. Bodies that are incomplete by then belong to no request in progress. */
const CLOSE_TIMEOUT_MS = 2_000;
/** Connections of peers, which have the key and stay open: several times a mesh of 21 entries. */
const MAX_PEER_CONNECTIONS = 256;
/** Heartbeat intervals after which every peer has received a heartbeat with `isLeaving`. */
const LEAVING_HEARTBEATS = 2;

/** Settings, and the contents of the files that they name. */
interface EntryConfiguration {
  readonly settings: EntrySettings;
  readonly key: PeerKeySet;
  readonly tls: TlsMaterial | undefined;
}

/**
 * An entry process: accepts callers' requests, holds worker leases and forwards
 * requests to lease holders.
 */
export class EntryProcess extends Service implements PeerHandler {
  private readonly self: HelloMessage;
  private readonly events: EventRecorder;
  private readonly hybridClock: HybridLogicalClock;
  private readonly metrics = EntryMetrics.create({
    getEvacuatedDomainCount: () => this.evacuations.getDomains().length,
  });
  private readonly platform: PlatformClients;
  private readonly vmDirectory: VmDirectory;
  private readonly follower: DocumentFollower;
  private readonly evacuations: EvacuationFollower;
  private readonly evacuationGate: EvacuationGate;
  private readonly leases: LeaseManager;
  private readonly upstream: UndiciUpstream;
  private readonly registry: DispatcherRegistry;
  private readonly holderDirectory: HolderDirectory;
  private readonly peerNetwork: PeerNetwork;
  private readonly holderNetwork: HolderNetwork;
  private readonly readinessReporter: ReadinessReporter;
  private readonly callerServer: CallerServer;
  /** Bounds the log lines about refused keys and forwarded requests. */
  private readonly refusalLog = RefusalLog.create();
  private callerListener: HttpListener | undefined;
  private innerListener: HttpListener | undefined;
  private timers: Timer[] = [];
  private isDraining = false;
  private isStopped = false;
  private previousDocument: EnvironmentDocument | undefined;
  private lastPauseCheckMs = 0;
  private drainPromise: Promise<void> | undefined;

  private constructor(
    private readonly configuration: EntryConfiguration,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {
    super();
    const {settings, key, tls} = configuration;
    this.self = {
      type: 'hello',
      protocolVersion: PROTOCOL_VERSION,
      nodeId: settings.nodeId,
      incarnation: randomUUID().slice(0, 8),
      region: settings.region,
      failureDomain: settings.failureDomain,
    };
    this.hybridClock = HybridLogicalClock.create(clock);
    this.events = EventRecorder.create({
      nodeId: settings.nodeId,
      clock: this.hybridClock,
      sink: createLogSink(settings.logLevel),
    });
    this.platform = PlatformClients.create({
      platformUrl: settings.platformUrl,
      failureDomain: settings.failureDomain,
      timeoutMs: settings.platformTimeoutMs,
      clock,
    });
    this.vmDirectory = VmDirectory.create(this.platform.vmList);
    this.follower = DocumentFollower.create({
      store: this.platform.documents,
      stage: settings.stage,
      clock,
      random,
      pollMs: DOCUMENT_POLL_MS,
      listener: {
        onDocumentActivated: current => this.handleDocumentActivated(current),
        onReadFailed: detail => this.addEvent('document-read-failed', {detail}),
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
    const {maxResponseBytes, maxForwardedBytes} = settings.callerLimits;
    this.upstream = UndiciUpstream.create(clock, maxResponseBytes);
    this.registry = DispatcherRegistry.create({
      clock,
      random,
      upstream: this.upstream,
      observer: {
        onDispatched: (requestId, workerId) =>
          this.addEvent('request-dispatched', {requestId, workerId}),
        onHealthChange: (workerId, isQuarantined) =>
          this.addEvent(
            isQuarantined ? 'upstream-set-aside' : 'upstream-restored',
            {workerId},
          ),
        onSilent: workerId => this.handleUnresponsiveUpstream(workerId),
        onWithheld: () => this.metrics.recordWithheldRequest(),
      },
    });
    this.leases = this.createLeaseManager();
    this.holderDirectory = HolderDirectory.create(this.self);
    this.evacuationGate = EvacuationGate.create({
      failureDomain: settings.failureDomain,
      registry: this.registry,
      directory: this.holderDirectory,
    });
    this.peerNetwork = PeerNetwork.create({
      self: this.self,
      clock,
      key,
      handler: this,
      heartbeatMs: settings.heartbeatMs,
      silenceMs: settings.silenceMs,
      compressBetweenRegions: settings.compressBetweenRegions,
      tls,
      forwardBudget: ForwardBudget.create(maxForwardedBytes),
      onRequestRefused: (peer, id) => this.recordForwardRefusal(peer, id),
      onKeyRefused: detail => this.recordRefusedKey(detail),
    });
    this.holderNetwork = PeerHolderNetwork.create({
      selfId: this.self.nodeId,
      registry: this.registry,
      directory: this.holderDirectory,
      getChannel: nodeId => this.peerNetwork.getChannel(nodeId),
    });
    this.readinessReporter = ReadinessReporter.create({
      clock,
      follower: this.follower,
      evacuations: this.evacuations,
      failureDomain: settings.failureDomain,
      vmDirectory: this.vmDirectory,
      holderNetwork: this.holderNetwork,
      peerNetwork: this.peerNetwork,
      isDraining: () => this.isDraining,
    });
    this.callerServer = this.createCallerServer();
  }

  /**
   * Creates a process that does not listen until `start`.
   * @param settings - Validated settings.
   * @param clock - Clock of the process.
   * @param random - Source of random numbers.
   * @returns `invalid-input` when a key or certificate file cannot be used.
   */
  static create(
    settings: EntrySettings,
    clock: Clock,
    random: RandomSource,
  ): Result<EntryProcess, AppError> {
    const key = PeerKeySet.read(settings.keyFile);
    if (key.isErr()) return err(key.error);
    return readTlsFiles(settings.tls).map(
      tls => new EntryProcess({settings, key: key.value, tls}, clock, random),
    );
  }

  /** Starts listening, then starts to poll the VM list and the document. */
  override async start(): Promise<Result<void, AppError>> {
    const {settings, key} = this.configuration;
    const {host} = settings;
    const operatorApp = createOperatorApp({
      key,
      getStatus: () => this.getStatus(),
      getEvents: () => this.events.getEvents(),
      getMetrics: () => this.metrics.getText(),
      getDocument: () => this.getActiveDocument(),
      getVms: () => this.vmDirectory.getSnapshot(),
      startDrain: () => void this.drain(),
      onKeyRefused: detail => this.recordRefusedKey(detail),
    });
    const {maxInnerConnections} = settings.callerLimits;
    const inner = await HttpListener.listen(
      operatorApp,
      {host, port: settings.innerPort},
      {
        ...this.createListenOptions('inner', {
          ...OPERATOR_LIMITS,
          maxConnections: maxInnerConnections,
        }),
        usesBody: () => false,
        acceptsUpgrades: true,
      },
    );
    if (inner.isErr()) return err(inner.error);
    this.innerListener = inner.value;
    inner.value.getServer().maxConnections += MAX_PEER_CONNECTIONS;
    this.peerNetwork.listen(inner.value.getServer());
    const caller = await HttpListener.listen(
      this.callerServer.createApp(),
      {host, port: settings.callerPort},
      {
        ...this.createListenOptions('callers', settings.callerLimits),
        getMaxBodyBytes: ({url}) =>
          this.callerServer.getMaxBodyBytes(url ?? ''),
        usesBody: ({url}) => this.callerServer.hasService(url ?? ''),
        refusalHeaders: REFUSAL_HEADERS,
      },
    );
    if (caller.isErr()) {
      inner.value.destroy();
      return err(caller.error);
    }
    this.callerListener = caller.value;
    this.setPeerAddresses();
    this.lastPauseCheckMs = this.clock.getMonotonicMs();
    this.schedulePeriodically(VM_LIST_POLL_MS, () => this.refreshVmList());
    this.schedulePeriodically(PAUSE_CHECK_INTERVAL_MS, () => this.checkPause());
    this.timers.push(
      this.clock.setTimer(MAX_WARM_UP_MS, () => this.evacuationGate.endWait()),
    );
    void this.refreshVmList();
    void this.follower.start();
    void this.evacuations.start();
    this.addEvent('process-started', {
      detail: `callers on port ${caller.value.getPort()}, peers and operators on port ${inner.value.getPort()}`,
    });
    return ok(undefined);
  }

  /** Gets the port for callers; 0 before `start`. */
  getCallerPort(): number {
    return this.callerListener?.getPort() ?? 0;
  }

  /** Gets the port of the peer protocol and the operator API; 0 before `start`. */
  getInnerPort(): number {
    return this.innerListener?.getPort() ?? 0;
  }

  /**
   * Shuts down gracefully: requests in progress have up to `DRAIN_TIMEOUT_MS` to
   * complete. Repeated calls return the same promise.
   */
  override drain(): Promise<void> {
    this.drainPromise ??= this.runDrain();
    return this.drainPromise;
  }

  override recordServiceEvent(name: ServiceEvent, detail: string): void {
    this.addEvent(name, {detail});
  }

  /** Stops immediately, aborting requests in progress. */
  kill(): void {
    this.isStopped = true;
    for (const timer of this.timers) timer.cancel();
    this.follower.stop();
    this.evacuations.stop();
    this.peerNetwork.close();
    this.callerListener?.destroy();
    this.innerListener?.destroy();
    void this.upstream.destroy();
    void this.platform.jsonClient.close();
  }

  handleRequest(
    _peer: HelloMessage,
    request: BufferedRequest,
  ): Promise<BufferedResponse> {
    return this.registry.runRequest(request);
  }

  handleCancel(id: string): void {
    this.registry.cancelRequest(id);
  }

  getRequestStatus(id: string): RequestStatus {
    return this.registry.getKnownRequest(id);
  }

  handleHeartbeat(peer: HelloMessage, heartbeat: HeartbeatMessage): void {
    const {wallMs, counter, documentVersion} = heartbeat;
    this.hybridClock.mergeTimestamp({wallMs, counter});
    this.holderDirectory.updateFromHeartbeat(peer.nodeId, heartbeat);
    const current = this.follower.getCurrent();
    if (current === undefined || documentVersion >= current.version) return;
    this.peerNetwork
      .getChannel(peer.nodeId)
      ?.sendNotice(createDocumentMessage(current));
  }

  handleDocument(document: DocumentMessage): void {
    this.follower.applyDocument(document.version, document.text);
  }

  handleHandover(handover: HandoverMessage): void {
    this.leases.pollNow(handover.workerIds);
  }

  getHeartbeat(): Omit<HeartbeatMessage, 'type' | 'sequence' | 'seenSequence'> {
    const {wallMs, counter} = this.hybridClock.getNext();
    return {
      isLeaving: this.isDraining,
      documentVersion: this.follower.getVersion(),
      wallMs,
      counter,
      loads: this.registry.getLoads(),
    };
  }

  handleLinkChange(
    peer: HelloMessage,
    isLinked: boolean,
    detail: string,
  ): void {
    const peerId = peer.nodeId;
    if (isLinked) this.holderDirectory.addPeer(peer);
    else this.holderDirectory.removePeer(peerId);
    this.addEvent(isLinked ? 'peer-connected' : 'peer-lost', {peerId, detail});
  }

  private createListenOptions(
    port: string,
    limits: Partial<ListenerLimits>,
  ): ListenOptions {
    const log = RefusalLog.create();
    return {
      tls: this.configuration.tls,
      clock: this.clock,
      limits,
      onRefusal: (reason, detail) => {
        this.metrics.recordRefusedClient(port, reason);
        const text = log.add(reason, detail, this.clock.getMonotonicMs());
        if (text === undefined) return;
        this.addEvent('client-refused', {detail: `${port}: ${text}`});
      },
    };
  }

  private recordRefusedKey(detail: string): void {
    this.metrics.recordRefusedClient('inner', 'key');
    const nowMs = this.clock.getMonotonicMs();
    const text = this.refusalLog.add('key', detail, nowMs);
    if (text !== undefined) this.addEvent('peer-key-refused', {detail: text});
  }

  private recordForwardRefusal(peer: HelloMessage, requestId: string): void {
    this.metrics.recordRefusedClient('inner', 'forwarded-memory');
    const nowMs = this.clock.getMonotonicMs();
    const text = this.refusalLog.add('memory', requestId, nowMs);
    if (text === undefined) return;
    const peerId = peer.nodeId;
    this.addEvent('forwarded-request-refused', {peerId, detail: text});
  }

  private getActiveDocument() {
    const current = this.follower.getCurrent();
    if (current === undefined) return undefined;
    return {version: current.version, text: current.text};
  }

  /** Gets the status for the operator API. */
  getStatus() {
    const {isReady} = this.readinessReporter.getReadiness();
    return {
      nodeId: this.self.nodeId,
      role: 'entry',
      region: this.self.region,
      failureDomain: this.self.failureDomain,
      documentVersion: this.follower.getVersion(),
      isReady,
      degraded: this.readinessReporter.getDegradations(),
      evacuatedDomains: this.evacuations.getDomains(),
      leases: this.leases.getValidLeases().map(lease => ({
        workerId: lease.address.workerId,
        epoch: lease.getEpoch(),
      })),
      loads: this.registry.getLoads(),
      peers: this.peerNetwork.getChannels().map(channel => ({
        nodeId: channel.getPeer().nodeId,
        isLinked: channel.isLinked(),
        openRequests: channel.getPendingRequestCount(),
      })),
      innerTraffic: this.peerNetwork.traffic,
      platformTraffic: this.platform.jsonClient.byteCounts,
    };
  }

  private createLeaseManager(): LeaseManager {
    return LeaseManager.create({
      scope: 'requests',
      holderId: this.self.nodeId,
      clock: this.clock,
      random: this.random,
      client: this.platform.workerClient,
      timing: DEFAULT_LEASE_TIMING,
      listener: {
        onAcquired: lease => this.handleAcquiredLease('lease-acquired', lease),
        onRenewed: lease => this.registry.setWorker(lease),
        onLost: (lease, detail) => {
          const {workerId} = lease.address;
          this.registry.removeWorker(workerId);
          this.upstream.closePool(workerId);
          this.addEvent('lease-lost', {workerId, detail});
        },
        onHandedOver: (workerId, holderId) =>
          this.peerNetwork
            .getChannel(holderId)
            ?.sendNotice({type: 'handover', workerIds: [workerId]}),
      },
    });
  }

  private createCallerServer(): CallerServer {
    const {table, tokens} = this.platform;
    const {recordCommitIntervalMs} = this.configuration.settings;
    const records = IdempotencyRecords.create({
      table,
      tokens,
      clock: this.clock,
      committer: this.platform.createCommitter(recordCommitIntervalMs),
    });
    const coordinator = RequestCoordinator.create({
      clock: this.clock,
      random: this.random,
      records,
      network: this.holderNetwork,
      retryBudget: RetryBudget.create(DEFAULT_RETRY_BUDGET),
    });
    return CallerServer.create({
      nodeId: this.self.nodeId,
      incarnation: this.self.incarnation,
      clock: this.clock,
      requestRunner: coordinator,
      getDocument: () => this.follower.getCurrent()?.document,
      getReadiness: () => this.readinessReporter.getReadiness(),
      isDraining: () => this.isDraining,
      onResponse: (request, response, durationMs) =>
        this.recordResponse(request, response, durationMs),
    });
  }

  private handleAcquiredLease(name: EventName, lease: WorkerLease): void {
    const {workerId} = lease.address;
    this.registry.setWorker(lease);
    this.addEvent(name, {workerId, detail: `epoch ${lease.getEpoch()}`});
  }

  private handleUnresponsiveUpstream(workerId: string): void {
    this.upstream.closePool(workerId);
    this.addEvent('upstream-silent', {workerId});
  }

  private handleDocumentActivated(current: ActiveDocument): void {
    this.registry.setDocument(current.document, this.previousDocument);
    this.previousDocument = current.document;
    for (const channel of this.peerNetwork.getChannels()) {
      channel.sendNotice(createDocumentMessage(current));
    }
    this.addEvent('document-in-force', {detail: `version ${current.version}`});
  }

  private handleEvacuationsRead(change: EvacuationChange): void {
    const {domains, evacuated, restored} = change;
    this.evacuationGate.setEvacuatedDomains(domains);
    for (const detail of evacuated) this.addEvent('domain-evacuated', {detail});
    for (const detail of restored) this.addEvent('domain-restored', {detail});
  }

  private recordResponse(
    request: CallerRequest,
    response: CallerAnswer,
    durationMs: number,
  ): void {
    const {outcome, workerId, reason} = response;
    const serviceName = request.service.name;
    this.metrics.recordRequest(serviceName, outcome, durationMs);
    this.addEvent(OUTCOME_EVENTS[outcome], {
      requestId: request.id,
      workerId,
      serviceName,
      detail: reason === '' ? `${Math.round(durationMs)} ms` : reason,
    });
  }

  private async refreshVmList(): Promise<void> {
    const outcome = await this.vmDirectory.refresh();
    if (outcome === 'failed') this.addEvent('vm-list-failed');
    if (outcome !== 'changed' || this.isDraining) return;
    const {failureDomain} = this.self;
    const domainVms = this.vmDirectory
      .getEntries()
      .filter(vm => vm.failureDomain === failureDomain && vm.state === 'live');
    const candidates = new Set(domainVms.map(vm => vm.id));
    candidates.add(this.self.nodeId);
    this.leases.setCandidates([...candidates].sort());
    const workers = this.vmDirectory.getWorkers(failureDomain);
    this.registry.setLeavingWorkers(
      workers.filter(vm => vm.state === 'leaving').map(vm => vm.id),
    );
    this.leases.setWorkers(workers.map(getWorkerAddress));
    this.setPeerAddresses();
  }

  private setPeerAddresses(): void {
    const vms = this.vmDirectory.getEntries();
    const addresses: PeerAddress[] =
      vms.length > 0
        ? vms.map(vm => ({
            nodeId: vm.id,
            region: vm.region,
            host: vm.host,
            port: vm.port,
          }))
        : this.configuration.settings.seedPeers.map(peer => ({
            ...peer,
            region: this.self.region,
          }));
    this.peerNetwork.setPeers(
      addresses.filter(peer => peer.nodeId !== this.self.nodeId),
    );
  }

  /** Records an event if the process was suspended for at least the validity period of a lease. */
  private checkPause(): void {
    const nowMs = this.clock.getMonotonicMs();
    const gapMs = nowMs - this.lastPauseCheckMs;
    this.lastPauseCheckMs = nowMs;
    if (gapMs < DEFAULT_LEASE_TIMING.ttlMs) return;
    this.addEvent('pause-detected', {detail: `${Math.round(gapMs)} ms`});
  }

  /**
   * Announces the shutdown to all peers before the leases are released, then hands
   * the workers over within the failure domain and waits until the load balancer has
   * stopped sending requests and those in progress have completed.
   */
  private async runDrain(): Promise<void> {
    const {settings} = this.configuration;
    this.isDraining = true;
    this.addEvent('process-draining');
    await this.clock.sleep(settings.heartbeatMs * LEAVING_HEARTBEATS);
    const workerIds = await this.leases.releaseAll();
    for (const channel of this.peerNetwork.getChannels()) {
      const isSameDomain =
        channel.getPeer().failureDomain === this.self.failureDomain;
      if (isSameDomain) channel.sendNotice({type: 'handover', workerIds});
    }
    await this.clock.sleep(settings.balancerLagMs);
    const drainDeadlineMs = this.clock.getMonotonicMs() + DRAIN_TIMEOUT_MS;
    while (
      this.hasActiveRequests() &&
      this.clock.getMonotonicMs() < drainDeadlineMs
    ) {
      await this.clock.sleep(DRAIN_POLL_MS);
    }
    // Clients that stopped halfway would keep the listener open until their time limits.
    await Promise.race([
      this.callerListener?.close(),
      this.clock.sleep(CLOSE_TIMEOUT_MS),
    ]);
    this.addEvent('process-stopped');
    this.kill();
  }

  private hasActiveRequests(): boolean {
    if (this.callerServer.getActiveRequestCount() > 0) return true;
    return this.registry.getRunningCount() > 0;
  }

  private schedulePeriodically(intervalMs: number, action: () => void): void {
    const index = this.timers.length;
    const run = () => {
      if (this.isStopped) return;
      this.timers[index] = this.clock.setTimer(intervalMs, () => {
        action();
        run();
      });
    };
    run();
  }

  private addEvent(name: EventName, subject: EventSubject = {}): void {
    this.events.addEvent(name, subject);
  }
}

const OUTCOME_EVENTS = {
  ran: 'request-answered',
  'not-run': 'request-refused',
  unknown: 'request-unknown',
} as const;

function createDocumentMessage(current: ActiveDocument): DocumentMessage {
  return {type: 'document', version: current.version, text: current.text};
}
