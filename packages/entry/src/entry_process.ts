/** One entry process: its parts and their life. */

import {randomUUID} from 'node:crypto';
import {err, ok, Result} from 'neverthrow';
import {Clock, Timer} from '@mustardlug/base/clock';
import {AppError} from '@mustardlug/base/errors';
import {RandomSource} from '@mustardlug/base/random_source';
import {
  DocumentFollower,
  DocumentInForce,
} from '@mustardlug/document/document_follower';
import {EnvironmentDocument} from '@mustardlug/document/environment_document';
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
import {
  KnownRequest,
  PeerHandler,
  WholeRequest,
  WholeResponse,
} from '@mustardlug/protocol/peer_channel';
import {PeerKey} from '@mustardlug/protocol/peer_key';
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
import {CallerServer} from './caller_server.js';
import {EntryMetrics} from './entry_metrics.js';
import {EntrySettings} from './entry_settings.js';
import {HolderDirectory} from '@mustardlug/routing/holder_directory';
import {DispatcherRegistry} from '@mustardlug/routing/dispatcher_registry';
import {HttpListener} from '@mustardlug/runtime/http_listener';
import {PlatformClients} from '@mustardlug/runtime/platform_clients';
import {createOperatorApp} from '@mustardlug/runtime/operator_server';
import {PeerAddress, PeerNetwork} from './peer_network.js';
import {readTlsFiles, TlsMaterial} from '@mustardlug/runtime/tls_files';
import {ReadinessProbe} from './readiness_probe.js';
import {UndiciUpstream} from './undici_upstream.js';

const VM_LIST_POLL_MS = 1_000;
const DOCUMENT_POLL_MS = 2_000;
const DRAIN_CHECK_MS = 50;
const PAUSE_CHECK_MS = 500;
const MAX_DRAIN_MS = 60_000;
/** Heartbeats after which every peer has seen that this process is leaving. */
const LEAVING_HEARTBEATS = 2;

/** The parts of a process that its settings determine. */
interface EntryIdentity {
  readonly settings: EntrySettings;
  readonly key: PeerKey;
  readonly tls: TlsMaterial | undefined;
}

/** A running entry process. */
export class EntryProcess implements PeerHandler {
  private readonly self: HelloMessage;
  private readonly events: EventRecorder;
  private readonly hybridClock: HybridLogicalClock;
  private readonly metrics = EntryMetrics.create();
  private readonly platform: PlatformClients;
  private readonly directory: VmDirectory;
  private readonly follower: DocumentFollower;
  private readonly leases: LeaseManager;
  private readonly upstream = UndiciUpstream.create();
  private readonly registry: DispatcherRegistry;
  private readonly holders: HolderDirectory;
  private readonly peers: PeerNetwork;
  private readonly network: HolderNetwork;
  private readonly probe: ReadinessProbe;
  private readonly callers: CallerServer;
  private callerListener: HttpListener | undefined;
  private innerListener: HttpListener | undefined;
  private timers: Timer[] = [];
  private isDraining = false;
  private isStopped = false;
  private previousDocument: EnvironmentDocument | undefined;
  private lastTickMs = 0;
  private drained: Promise<void> | undefined;

  private constructor(
    private readonly identity: EntryIdentity,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {
    const {settings, key, tls} = identity;
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
    this.directory = VmDirectory.create(this.platform.vmList);
    this.follower = DocumentFollower.create({
      store: this.platform.documents,
      stage: settings.stage,
      clock,
      random,
      pollMs: DOCUMENT_POLL_MS,
      listener: {
        onInForce: current => this.handleDocumentInForce(current),
        onReadFailed: detail => this.addEvent('document-read-failed', {detail}),
      },
    });
    this.registry = DispatcherRegistry.create({
      clock,
      random,
      upstream: this.upstream,
      observer: {
        onDispatched: (requestId, workerId) =>
          this.addEvent('request-dispatched', {requestId, workerId}),
        onHealthChange: (workerId, isAside) =>
          this.addEvent(isAside ? 'upstream-set-aside' : 'upstream-restored', {
            workerId,
          }),
        onSilent: workerId => this.handleSilentUpstream(workerId),
      },
    });
    this.leases = this.createLeaseKeeper();
    this.holders = HolderDirectory.create(this.self);
    this.peers = PeerNetwork.create({
      self: this.self,
      clock,
      key,
      handler: this,
      heartbeatMs: settings.heartbeatMs,
      silenceMs: settings.silenceMs,
      compressBetweenRegions: settings.compressBetweenRegions,
      tls,
      onKeyRefused: detail => this.addEvent('peer-key-refused', {detail}),
    });
    this.network = PeerHolderNetwork.create({
      selfId: this.self.nodeId,
      registry: this.registry,
      directory: this.holders,
      getChannel: nodeId => this.peers.getChannel(nodeId),
    });
    this.probe = ReadinessProbe.create({
      clock,
      follower: this.follower,
      directory: this.directory,
      network: this.network,
      peers: this.peers,
      isDraining: () => this.isDraining,
    });
    this.callers = this.createCallerServer();
  }

  /**
   * Creates a process; nothing listens before `start`.
   * @param settings - Checked settings.
   * @param clock - Clock of the process.
   * @param random - Random numbers.
   * @returns `invalid-input` when a key or certificate file cannot be used.
   */
  static create(
    settings: EntrySettings,
    clock: Clock,
    random: RandomSource,
  ): Result<EntryProcess, AppError> {
    const key = PeerKey.read(settings.keyFile);
    if (key.isErr()) return err(key.error);
    return readTlsFiles(settings.tls).map(
      tls => new EntryProcess({settings, key: key.value, tls}, clock, random),
    );
  }

  /** Listens, then follows the platform. */
  async start(): Promise<Result<void, AppError>> {
    const {settings, tls, key} = this.identity;
    const {host} = settings;
    const operatorApp = createOperatorApp({
      key,
      getStatus: () => this.getStatus(),
      getEvents: () => this.events.getEvents(),
      getMetrics: () => this.metrics.getText(),
      getDocument: () => this.getDocumentInForce(),
      getVms: () => this.directory.getSnapshot(),
      startDrain: () => void this.drain(),
      onKeyRefused: detail => this.addEvent('peer-key-refused', {detail}),
    });
    const inner = await HttpListener.listen(
      operatorApp,
      {host, port: settings.innerPort},
      tls,
    );
    if (inner.isErr()) return err(inner.error);
    this.innerListener = inner.value;
    this.peers.listen(inner.value.getServer());
    const caller = await HttpListener.listen(
      this.callers.getApp(),
      {host, port: settings.callerPort},
      tls,
    );
    if (caller.isErr()) {
      inner.value.destroy();
      return err(caller.error);
    }
    this.callerListener = caller.value;
    this.setPeerAddresses();
    this.lastTickMs = this.clock.getMonotonicMs();
    this.repeat(VM_LIST_POLL_MS, () => this.refreshDirectory());
    this.repeat(PAUSE_CHECK_MS, () => this.checkPause());
    void this.refreshDirectory();
    void this.follower.start();
    this.addEvent('process-started', {
      detail: `callers on port ${caller.value.getPort()}, inner on port ${inner.value.getPort()}`,
    });
    return ok(undefined);
  }

  /** Gets the port for callers. */
  getCallerPort(): number {
    return this.callerListener?.getPort() ?? 0;
  }

  /** Gets the port of the inner protocol. */
  getInnerPort(): number {
    return this.innerListener?.getPort() ?? 0;
  }

  /** Stops as planned: no request is cut off. Calling it again waits for the same stop. */
  drain(): Promise<void> {
    this.drained ??= this.runDrain();
    return this.drained;
  }

  /** Stops at once. */
  kill(): void {
    this.isStopped = true;
    for (const timer of this.timers) timer.cancel();
    this.follower.stop();
    this.peers.close();
    this.callerListener?.destroy();
    this.innerListener?.destroy();
    void this.upstream.destroy();
    void this.platform.json.close();
  }

  handleRequest(
    _peer: HelloMessage,
    request: WholeRequest,
  ): Promise<WholeResponse> {
    return this.registry.runRequest(request);
  }

  handleCancel(id: string): void {
    this.registry.cancelRequest(id);
  }

  getKnownRequest(id: string): KnownRequest {
    return this.registry.getKnownRequest(id);
  }

  handleHeartbeat(peer: HelloMessage, heartbeat: HeartbeatMessage): void {
    const {wallMs, counter, documentVersion} = heartbeat;
    this.hybridClock.addReading({wallMs, counter});
    this.holders.updateFromHeartbeat(peer.nodeId, heartbeat);
    const current = this.follower.getCurrent();
    if (current === undefined || documentVersion >= current.version) return;
    this.peers.getChannel(peer.nodeId)?.sendNotice(createNotice(current));
  }

  handleDocument(document: DocumentMessage): void {
    this.follower.offerDocument(document.version, document.text);
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
    if (isLinked) this.holders.addPeer(peer);
    else this.holders.removePeer(peerId);
    this.addEvent(isLinked ? 'peer-connected' : 'peer-lost', {peerId, detail});
  }

  private getDocumentInForce() {
    const current = this.follower.getCurrent();
    if (current === undefined) return undefined;
    return {version: current.version, text: current.text};
  }

  /** Gets what operators see of this node. */
  getStatus() {
    const {isReady} = this.probe.getReadiness();
    return {
      nodeId: this.self.nodeId,
      role: 'entry',
      region: this.self.region,
      failureDomain: this.self.failureDomain,
      documentVersion: this.follower.getVersion(),
      isReady,
      degraded: this.probe.getDegradations(),
      leases: this.leases.getValidLeases().map(lease => ({
        workerId: lease.address.workerId,
        epoch: lease.getEpoch(),
      })),
      loads: this.registry.getLoads(),
      peers: this.peers.getChannels().map(channel => ({
        nodeId: channel.getPeer().nodeId,
        isLinked: channel.isLinked(),
        openRequests: channel.getOpenCount(),
      })),
      innerTraffic: this.peers.traffic,
      platformTraffic: this.platform.json.byteCounts,
    };
  }

  private createLeaseKeeper(): LeaseManager {
    return LeaseManager.create({
      scope: 'requests',
      holderId: this.self.nodeId,
      clock: this.clock,
      random: this.random,
      client: this.platform.workers,
      timing: DEFAULT_LEASE_TIMING,
      listener: {
        onAcquired: lease => this.handleLease('lease-acquired', lease),
        onRenewed: lease => this.registry.setWorker(lease),
        onLost: (lease, detail) => {
          const {workerId} = lease.address;
          this.registry.removeWorker(workerId);
          this.upstream.closeWorker(workerId);
          this.addEvent('lease-lost', {workerId, detail});
        },
        onHandedOver: (workerId, holderId) =>
          this.peers
            .getChannel(holderId)
            ?.sendNotice({type: 'handover', workerIds: [workerId]}),
      },
    });
  }

  private createCallerServer(): CallerServer {
    const {table, tokens} = this.platform;
    const {recordCommitIntervalMs} = this.identity.settings;
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
      network: this.network,
      retryBudget: RetryBudget.create(DEFAULT_RETRY_BUDGET),
    });
    return CallerServer.create({
      nodeId: this.self.nodeId,
      incarnation: this.self.incarnation,
      clock: this.clock,
      coordinator,
      getDocument: () => this.follower.getCurrent()?.document,
      getReadiness: () => this.probe.getReadiness(),
      isStopping: () => this.isDraining,
      onAnswered: (request, answer, durationMs) =>
        this.handleAnswered(request, answer, durationMs),
    });
  }

  private handleLease(name: EventName, lease: WorkerLease): void {
    const {workerId} = lease.address;
    this.registry.setWorker(lease);
    this.addEvent(name, {workerId, detail: `epoch ${lease.getEpoch()}`});
  }

  private handleSilentUpstream(workerId: string): void {
    this.upstream.closeWorker(workerId);
    this.addEvent('upstream-silent', {workerId});
  }

  private handleDocumentInForce(current: DocumentInForce): void {
    this.registry.setDocument(current.document, this.previousDocument);
    this.previousDocument = current.document;
    for (const channel of this.peers.getChannels()) {
      channel.sendNotice(createNotice(current));
    }
    this.addEvent('document-in-force', {detail: `version ${current.version}`});
  }

  private handleAnswered(
    request: CallerRequest,
    answer: CallerAnswer,
    durationMs: number,
  ): void {
    const {outcome, workerId, reason} = answer;
    const serviceName = request.service.name;
    this.metrics.addRequest(serviceName, outcome, durationMs);
    this.addEvent(OUTCOME_EVENTS[outcome], {
      requestId: request.id,
      workerId,
      serviceName,
      detail: reason === '' ? `${Math.round(durationMs)} ms` : reason,
    });
  }

  private async refreshDirectory(): Promise<void> {
    const outcome = await this.directory.refresh();
    if (outcome === 'failed') this.addEvent('vm-list-failed');
    if (outcome !== 'changed' || this.isDraining) return;
    const {failureDomain} = this.self;
    const domainEntries = this.directory
      .getEntries()
      .filter(vm => vm.failureDomain === failureDomain && vm.state === 'live');
    const candidates = new Set(domainEntries.map(vm => vm.id));
    candidates.add(this.self.nodeId);
    this.leases.setCandidates([...candidates].sort());
    const workers = this.directory.getWorkers(failureDomain);
    this.registry.setLeavingWorkers(
      workers.filter(vm => vm.state === 'leaving').map(vm => vm.id),
    );
    this.leases.setWorkers(workers.map(getWorkerAddress));
    this.setPeerAddresses();
  }

  private setPeerAddresses(): void {
    const listed = this.directory.getEntries();
    const addresses: PeerAddress[] =
      listed.length > 0
        ? listed.map(vm => ({
            nodeId: vm.id,
            region: vm.region,
            host: vm.host,
            port: vm.port,
          }))
        : this.identity.settings.seedPeers.map(peer => ({
            ...peer,
            region: this.self.region,
          }));
    this.peers.setPeers(
      addresses.filter(peer => peer.nodeId !== this.self.nodeId),
    );
  }

  private checkPause(): void {
    const nowMs = this.clock.getMonotonicMs();
    const gapMs = nowMs - this.lastTickMs;
    this.lastTickMs = nowMs;
    if (gapMs < DEFAULT_LEASE_TIMING.ttlMs) return;
    this.addEvent('pause-detected', {detail: `${Math.round(gapMs)} ms`});
  }

  private async runDrain(): Promise<void> {
    const {settings} = this.identity;
    this.isDraining = true;
    this.addEvent('process-draining');
    await this.clock.sleep(settings.heartbeatMs * LEAVING_HEARTBEATS);
    const workerIds = await this.leases.releaseAll();
    for (const channel of this.peers.getChannels()) {
      const isNear =
        channel.getPeer().failureDomain === this.self.failureDomain;
      if (isNear) channel.sendNotice({type: 'handover', workerIds});
    }
    await this.clock.sleep(settings.balancerLagMs);
    const limitMs = this.clock.getMonotonicMs() + MAX_DRAIN_MS;
    while (this.isBusy() && this.clock.getMonotonicMs() < limitMs) {
      await this.clock.sleep(DRAIN_CHECK_MS);
    }
    await this.callerListener?.close();
    this.addEvent('process-stopped');
    this.kill();
  }

  private isBusy(): boolean {
    if (this.callers.getOpenCount() > 0) return true;
    return this.registry.getRunningCount() > 0;
  }

  private repeat(intervalMs: number, action: () => void): void {
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

function createNotice(current: DocumentInForce): DocumentMessage {
  return {type: 'document', version: current.version, text: current.text};
}
