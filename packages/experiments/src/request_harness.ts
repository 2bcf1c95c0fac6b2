/** Simulates entries, workers and a table in virtual time, for tests and experiments on request routing. */

import {err} from 'neverthrow';
import {createUnavailableError} from '@mustardlug/base/errors';
import {RandomSource} from '@mustardlug/base/random_source';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  EnvironmentDocument,
  environmentDocumentSchema,
  ServiceDeclaration,
} from '@mustardlug/document/environment_document';
import {EvacuationFollower} from '@mustardlug/document/evacuation_follower';
import {EvacuationStore} from '@mustardlug/document/evacuation_store';
import {
  DEFAULT_LEASE_TIMING,
  LeaseManager,
} from '@mustardlug/membership/lease_manager';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {GroupCommitter} from '@mustardlug/platform/group_committer';
import {CountingTokenSource} from '@mustardlug/platform/token_source';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {LeaseToken} from '@mustardlug/platform/worker_client';
import {MessageCodec} from '@mustardlug/protocol/message_codec';
import {
  HandoverMessage,
  HeartbeatMessage,
  HelloMessage,
  PeerMessage,
} from '@mustardlug/protocol/messages';
import {
  ForwardResult,
  RequestStatus,
  PeerChannel,
  PeerHandler,
  BufferedRequest,
  BufferedResponse,
} from '@mustardlug/protocol/peer_channel';
import {MemoryTable} from '@mustardlug/standins/memory_table';
import {ModelWorkerClient} from '@mustardlug/standins/model_worker_client';
import {NodeClock} from '@mustardlug/standins/node_clock';
import {OffsetClock} from '@mustardlug/standins/offset_clock';
import {RemoteTable} from '@mustardlug/standins/remote_table';
import {WorkerModel} from '@mustardlug/standins/worker_model';
import {HolderDirectory} from '@mustardlug/routing/holder_directory';
import {DispatcherRegistry} from '@mustardlug/routing/dispatcher_registry';
import {EvacuationGate} from '@mustardlug/routing/evacuation_gate';
import {IdempotencyRecords} from '@mustardlug/routing/idempotency_records';
import {PeerHolderNetwork} from '@mustardlug/routing/peer_holder_network';
import {NaiveCoordinator} from '@mustardlug/routing/naive_coordinator';
import {RequestCoordinator} from '@mustardlug/routing/request_coordinator';
import {HolderCandidate} from '@mustardlug/routing/holder_router';
import {
  CallerAnswer,
  HolderNetwork,
  RequestRunner,
} from '@mustardlug/routing/request_runner';
import {
  DEFAULT_RETRY_BUDGET,
  RetryBudget,
} from '@mustardlug/routing/retry_budget';
import {
  Upstream,
  UpstreamRequest,
  UpstreamResult,
} from '@mustardlug/routing/upstream';
import {MemoryLink} from './memory_link.js';
import {NaiveDirectRunner} from './naive_direct_runner.js';

/** Steps of request processing at which a test can inject a fault. */
export const REQUEST_STEPS = [
  'record-sent',
  'record-executed',
  'request-arrives',
  'dispatched',
  'upstream-done',
  'response-arrives',
] as const;

/** Step of request processing. */
export type RequestStep = (typeof REQUEST_STEPS)[number];

/** Options of a harness. */
export interface RequestHarnessOptions {
  readonly seed: number;
  /** Number of entries by failure domain. */
  readonly entries: Readonly<Record<string, number>>;
  /** Number of workers by failure domain. */
  readonly workers: Readonly<Record<string, number>>;
  readonly service?: Partial<ServiceDeclaration>;
  readonly serviceTimeMs?: number;
  /**
   * `naive-retries` retries without checking whether an earlier attempt may still run;
   * `naive-direct` also sends to random workers, without leases or queues.
   */
  readonly baseline?: 'naive-retries' | 'naive-direct';
  /** Whether entries follow the evacuated failure domains. */
  readonly followsEvacuations?: boolean;
  /** Whether to count the encoded size of messages between regions. */
  readonly isCountingBytes?: boolean;
}

/** Name of the only service. */
export const SERVICE = 'class-desk';
const PEER_LINK_DELAY_MS = 2;
const WORKER_DELAY_MS = 1;
const RECONNECT_INTERVAL_MS = 200;
/** Size of the HTTP headers of a request, for the baseline's traffic between regions. */
const HTTP_HEAD_BYTES = 300;
const HEARTBEAT_INTERVAL_MS = 1_000;
const PEER_TIMEOUT_MS = 3_000;
const EVACUATION_POLL_MS = 2_000;
/** Interval of the requests of `sendAtIntervals`. */
const SEND_INTERVAL_MS = 20;

/** A simulated entry process. */
export class EntryNode implements PeerHandler {
  readonly channels = new Map<string, PeerChannel>();
  readonly links = new Map<string, MemoryLink>();
  readonly hello: HelloMessage;
  readonly registry: DispatcherRegistry;
  readonly leases: LeaseManager;
  readonly requestRunner: RequestRunner;
  readonly directory: HolderDirectory;
  readonly workerClient: ModelWorkerClient;
  /** Gate of the own failure domain, if evacuations are followed. */
  readonly gate: EvacuationGate | undefined;
  isDraining = false;
  private requestCount = 0;

  constructor(
    readonly nodeId: string,
    readonly domain: string,
    readonly clock: NodeClock,
    harness: RequestHarness,
    seed: number,
  ) {
    const random = RandomSource.create(seed);
    this.hello = {
      type: 'hello',
      protocolVersion: 1,
      nodeId,
      incarnation: `start-${seed}`,
      region: domain,
      failureDomain: domain,
    };
    this.directory = HolderDirectory.create(this.hello);
    this.registry = DispatcherRegistry.create({
      clock,
      random,
      upstream: new ModelUpstream(harness, clock),
      observer: {
        onDispatched: () => harness.reportStep('dispatched', this),
        onHealthChange: () => undefined,
        onSilent: () => undefined,
      },
    });
    this.registry.setDocument(harness.document, undefined);
    this.gate = harness.options.followsEvacuations
      ? this.followEvacuations(harness, random)
      : undefined;
    this.workerClient = ModelWorkerClient.create(harness.models, clock);
    this.leases = LeaseManager.create({
      scope: 'requests',
      holderId: nodeId,
      clock,
      random,
      client: this.workerClient,
      timing: DEFAULT_LEASE_TIMING,
      listener: {
        onAcquired: lease => this.registry.setWorker(lease),
        onRenewed: lease => this.registry.setWorker(lease),
        onLost: lease => this.registry.removeWorker(lease.address.workerId),
        onHandedOver: (workerId, holderId) =>
          this.channels
            .get(holderId)
            ?.sendNotice({type: 'handover', workerIds: [workerId]}),
      },
    });
    const table = RemoteTable.create(harness.table, clock, {
      onSend: () => harness.reportStep('record-sent', this),
      onDecided: () => harness.reportStep('record-executed', this),
    });
    const network = new CountingHolderNetwork(
      harness,
      PeerHolderNetwork.create({
        selfId: nodeId,
        registry: this.registry,
        directory: this.directory,
        getChannel: peerId => this.channels.get(peerId),
      }),
    );
    const {baseline} = harness.options;
    if (baseline === 'naive-retries') {
      this.requestRunner = NaiveCoordinator.create({clock, random, network});
      return;
    }
    if (baseline === 'naive-direct') {
      const workerIds = [...harness.models.keys()];
      this.requestRunner = NaiveDirectRunner.create({
        clock,
        random,
        workerIds,
        slots: harness.getService().slotsPerReplica,
        send: (workerId, request) =>
          harness.sendWithoutLease(this, workerId, request),
      });
      return;
    }
    this.requestRunner = RequestCoordinator.create({
      clock,
      random,
      network,
      records: IdempotencyRecords.create({
        table,
        clock,
        tokens: CountingTokenSource.create(`${nodeId}-${seed}`),
        committer: GroupCommitter.create({
          table,
          retryingCommitter: RetryingCommitter.create({table, clock}),
          clock,
          commitIntervalMs: 20,
        }),
      }),
      retryBudget: RetryBudget.create(DEFAULT_RETRY_BUDGET),
    });
  }

  private followEvacuations(
    harness: RequestHarness,
    random: RandomSource,
  ): EvacuationGate {
    const {clock, domain, registry, directory} = this;
    const gate = EvacuationGate.create({
      failureDomain: domain,
      registry,
      directory,
    });
    const table = RemoteTable.create(harness.table, clock);
    const getRows = table.getRows.bind(table);
    table.getRows = async query =>
      harness.domainsWithoutTable.has(domain)
        ? err(createUnavailableError('the table cannot be reached', false))
        : getRows(query);
    const follower = EvacuationFollower.create({
      store: EvacuationStore.create({
        table,
        retryingCommitter: RetryingCommitter.create({table, clock}),
        tokens: CountingTokenSource.create(this.nodeId),
      }),
      clock,
      random,
      pollMs: EVACUATION_POLL_MS,
      listener: {
        onEvacuationsRead: ({domains}) => gate.setEvacuatedDomains(domains),
        onReadFailed: () => undefined,
        onReadRecovered: () => undefined,
      },
    });
    void follower.start();
    return gate;
  }

  /** Generates a unique request id. */
  getNextId(): string {
    return `${this.nodeId}/${this.hello.incarnation}/${++this.requestCount}`;
  }

  /** Attaches a new link to a peer, as after the exchange of hello messages; a restarted peer gets a new channel. */
  attachLink(peer: HelloMessage, link: MemoryLink): void {
    const known = this.channels.get(peer.nodeId);
    this.links.set(peer.nodeId, link);
    if (known?.getPeer().incarnation === peer.incarnation) {
      known.attachLink(link);
      return;
    }
    known?.retire();
    const channel = PeerChannel.create({
      peer,
      clock: this.clock,
      handler: this,
      heartbeatMs: HEARTBEAT_INTERVAL_MS,
      silenceMs: PEER_TIMEOUT_MS,
    });
    this.channels.set(peer.nodeId, channel);
    channel.attachLink(link);
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
    this.directory.updateFromHeartbeat(peer.nodeId, heartbeat);
  }

  handleDocument(): void {}

  handleHandover(handover: HandoverMessage): void {
    this.leases.pollNow(handover.workerIds);
  }

  getHeartbeat() {
    return {
      isLeaving: this.isDraining,
      documentVersion: 1,
      wallMs: this.clock.getWallMs(),
      counter: 0,
      loads: this.registry.getLoads(),
    };
  }

  handleLinkChange(peer: HelloMessage, isLinked: boolean): void {
    if (isLinked) this.directory.addPeer(peer);
    else this.directory.removePeer(peer.nodeId);
  }
}

/** Counts the requests that are forwarded to lease holders. */
class CountingHolderNetwork extends HolderNetwork {
  constructor(
    private readonly harness: RequestHarness,
    private readonly network: HolderNetwork,
  ) {
    super();
  }

  override getCandidates(service: string): HolderCandidate[] {
    return this.network.getCandidates(service);
  }

  override forward(
    nodeId: string,
    request: BufferedRequest,
  ): Promise<ForwardResult> {
    this.harness.forwardCount++;
    return this.network.forward(nodeId, request);
  }
}

/** Behavior of the upstream on one worker; tests change it at run time. */
export interface UpstreamBehavior {
  serviceTimeMs: number;
  isSilent: boolean;
  status: number;
}

/** Sends requests to upstreams on worker models; a running request continues after its lease holder dies. */
class ModelUpstream extends Upstream {
  constructor(
    private readonly harness: RequestHarness,
    private readonly clock: NodeClock,
  ) {
    super();
  }

  override send(
    lease: WorkerLease,
    request: UpstreamRequest,
  ): Promise<UpstreamResult> {
    return new Promise(resolve => {
      const timeout = this.clock.setTimer(request.timeoutMs, () =>
        resolve({
          kind: 'unknown',
          reason: 'upstream time-out',
          isSilent: true,
        }),
      );
      const settle = (result: UpstreamResult) =>
        this.clock.setTimer(WORKER_DELAY_MS, () => {
          timeout.cancel();
          resolve(result);
        });
      if (!lease.isValid()) {
        settle({kind: 'not-run', reason: 'lease expired', isFault: false});
        return;
      }
      const {clock} = this.harness;
      const {workerId} = lease.address;
      clock.setTimer(WORKER_DELAY_MS, () =>
        this.harness.runOnWorker(workerId, lease.getToken(), request, settle),
      );
    });
  }
}

/** Simulates entries and workers in several failure domains. */
export class RequestHarness {
  readonly clock = VirtualClock.create();
  readonly table = MemoryTable.create(this.clock);
  readonly models = new Map<string, WorkerModel>();
  readonly upstreams = new Map<string, UpstreamBehavior>();
  readonly document: EnvironmentDocument;
  readonly nodes: EntryNode[] = [];
  /** Number of executions by request body. */
  readonly runCountsByBody = new Map<string, number>();
  /** Number of executions by attempt id. */
  readonly runCountsByAttemptId = new Map<string, number>();
  /** Maximum number of concurrent requests on any worker. */
  maxConcurrentRequests = 0;
  /** Number of requests that reached a worker, including refused ones. */
  upstreamAttempts = 0;
  /** Number of requests that were sent to a lease holder, including one in the same process. */
  forwardCount = 0;
  /**
   * Number of bytes sent between regions: encoded peer messages, including the text of response
   * bodies and reasons, and for `naive-direct` also the headers and bodies of requests.
   */
  regionBytes = 0;
  /** Number of requests that reached a worker, including refused ones, by failure domain. */
  readonly attemptsByDomain = new Map<string, number>();
  /** Failure domains whose entries cannot read the evacuated domains. */
  readonly domainsWithoutTable = new Set<string>();
  /** Rows of evacuated domains, as operators change them. */
  readonly evacuations = EvacuationStore.create({
    table: this.table,
    retryingCommitter: RetryingCommitter.create({
      table: this.table,
      clock: this.clock,
    }),
    tokens: CountingTokenSource.create('operator'),
  });
  /** Failure domains that cannot connect to other domains. */
  readonly partitionedDomains = new Set<string>();
  private readonly codec = MessageCodec.create();
  private readonly random: RandomSource;
  private readonly inProgress = new Map<string, number>();
  private stepHook: ((step: RequestStep, node: EntryNode) => void) | undefined;
  private startedCount = 0;
  private bootCount = 0;

  constructor(readonly options: RequestHarnessOptions) {
    this.random = RandomSource.create(options.seed);
    this.table.faults.delayMs = 3;
    this.document = createDocument(options.service ?? {});
    for (const [domain, count] of Object.entries(options.workers)) {
      for (let index = 0; index < count; index++) {
        this.addWorker(`worker-${domain}-${index}`);
      }
    }
    for (const [domain, count] of Object.entries(options.entries)) {
      for (let index = 0; index < count; index++) this.createNode(domain);
    }
    this.publishMembership();
    this.connectNodes();
  }

  /** Gets the declared service. */
  getService(): ServiceDeclaration {
    return this.document.services[0];
  }

  /** Adds an entry process. */
  addNode(domain: string): EntryNode {
    const node = this.createNode(domain);
    this.publishMembership();
    return node;
  }

  private createNode(domain: string): EntryNode {
    const nodeId = `entry-${++this.startedCount}`;
    const seed = this.options.seed * 1_000 + this.startedCount;
    const clock = NodeClock.create(this.clock);
    const node = new EntryNode(nodeId, domain, clock, this, seed);
    this.nodes.push(node);
    return node;
  }

  /** Sends a request through an entry and resolves with its final response. */
  sendRequest(
    node: EntryNode,
    body: string,
    key?: string,
    method = 'POST',
    id = node.getNextId(),
  ): Promise<CallerAnswer> {
    const service = this.getService();
    return node.requestRunner.runRequest({
      id,
      service,
      method,
      path: '/bookings',
      headers: [],
      body: Buffer.from(body),
      idempotencyKey: key,
      deadlineMs: node.clock.getMonotonicMs() + service.deadlineMs,
    });
  }

  /** Sets the function that is called at every step of a request. */
  setStepHook(
    hook: ((step: RequestStep, node: EntryNode) => void) | undefined,
  ): void {
    this.stepHook = hook;
  }

  /**
   * Sends a request through each entry of some domains at every interval, and
   * waits until all are answered.
   * @param durationMs - Time during which requests are sent.
   * @param domains - Failure domains of the entries.
   */
  async sendAtIntervals(
    durationMs: number,
    domains: readonly string[],
  ): Promise<CallerAnswer[]> {
    const pending: Array<Promise<CallerAnswer>> = [];
    for (let ms = 0; ms < durationMs; ms += SEND_INTERVAL_MS) {
      for (const node of this.nodes) {
        if (!domains.includes(node.domain) || !node.clock.isRunning()) continue;
        const id = node.getNextId();
        pending.push(this.sendRequest(node, id, undefined, 'POST', id));
      }
      await this.clock.advance(SEND_INTERVAL_MS);
    }
    await this.clock.advance(2 * this.getService().deadlineMs);
    return Promise.all(pending);
  }

  /** Gets the number of requests that reached a worker of a failure domain. */
  getAttempts(domain: string): number {
    return this.attemptsByDomain.get(domain) ?? 0;
  }

  /** Gets how often a request was executed, over all attempts. */
  getRunCount(requestId: string): number {
    let count = 0;
    for (const [id, runs] of this.runCountsByAttemptId) {
      if (id.startsWith(`${requestId}.`)) count += runs;
    }
    return count;
  }

  /** Reports that a request reached a step at an entry. */
  reportStep(step: RequestStep, node: EntryNode): void {
    this.stepHook?.(step, node);
  }

  /** Kills a process; its connections are reset, or if `isSilent`, they drop all messages without an error. */
  killNode(node: EntryNode, isSilent: boolean): void {
    node.clock.kill();
    node.leases.setWorkers([]);
    for (const link of node.links.values()) {
      if (isSilent) link.silence();
      else link.reset();
    }
    for (const workerId of this.models.keys()) {
      node.workerClient.faults.unreachableWorkers.add(workerId);
    }
  }

  /** Sends a request directly to a worker, without a lease, for the baseline. */
  sendWithoutLease(
    node: EntryNode,
    workerId: string,
    request: UpstreamRequest,
  ): Promise<UpstreamResult> {
    return new Promise(resolve => {
      const isCrossDomain = !workerId.startsWith(`worker-${node.domain}-`);
      const delayMs =
        WORKER_DELAY_MS + (isCrossDomain ? PEER_LINK_DELAY_MS : 0);
      if (isCrossDomain && this.options.isCountingBytes) {
        this.regionBytes += request.body.length + HTTP_HEAD_BYTES;
      }
      const timeout = this.clock.setTimer(request.timeoutMs, () =>
        resolve({
          kind: 'unknown',
          reason: 'upstream time-out',
          isSilent: true,
        }),
      );
      const settle = (result: UpstreamResult) =>
        this.clock.setTimer(delayMs, () => {
          timeout.cancel();
          resolve(result);
        });
      this.clock.setTimer(delayMs, () =>
        this.runOnWorker(workerId, undefined, request, settle),
      );
    });
  }

  /** Executes a request on the upstream of a worker. */
  runOnWorker(
    workerId: string,
    token: LeaseToken | undefined,
    request: UpstreamRequest,
    settle: (result: UpstreamResult) => void,
  ): void {
    this.upstreamAttempts++;
    const [, domain] = workerId.split('-');
    this.attemptsByDomain.set(domain, this.getAttempts(domain) + 1);
    const model = this.models.get(workerId);
    const behavior = this.upstreams.get(workerId);
    if (model === undefined || behavior === undefined) {
      settle({kind: 'not-run', reason: 'connection refused', isFault: true});
      return;
    }
    if (!this.beginRequest(model, token, settle)) return;
    this.recordRun(workerId, request);
    if (behavior.isSilent) return;
    const timeMs =
      behavior.serviceTimeMs * (0.4 + this.random.getExponential(0.6));
    this.clock.setTimer(timeMs, () => {
      if (token !== undefined) model.endRequest();
      this.inProgress.set(workerId, (this.inProgress.get(workerId) ?? 1) - 1);
      this.reportUpstreamDone(workerId);
      settle({
        kind: 'answered',
        status: behavior.status,
        headers: [],
        body: Buffer.from(`result of ${Buffer.from(request.body).toString()}`),
      });
    });
  }

  private beginRequest(
    model: WorkerModel,
    token: LeaseToken | undefined,
    settle: (result: UpstreamResult) => void,
  ): boolean {
    if (token === undefined) {
      const inProgress = this.inProgress.get(model.workerId) ?? 0;
      if (inProgress < this.getService().slotsPerReplica) return true;
      settle({kind: 'not-run', reason: 'no free slot', isFault: false});
      return false;
    }
    const begun = model.beginRequest(token, SERVICE);
    if (begun.isOk()) return true;
    settle({kind: 'not-run', reason: begun.error.message, isFault: false});
    return false;
  }

  private reportUpstreamDone(workerId: string): void {
    if (this.stepHook === undefined) return;
    const holder = this.nodes.find(
      node => node.leases.getLease(workerId) !== undefined,
    );
    if (holder !== undefined) this.reportStep('upstream-done', holder);
  }

  private recordRun(workerId: string, request: UpstreamRequest): void {
    const body = Buffer.from(request.body).toString();
    this.runCountsByBody.set(body, (this.runCountsByBody.get(body) ?? 0) + 1);
    this.runCountsByAttemptId.set(
      request.id,
      (this.runCountsByAttemptId.get(request.id) ?? 0) + 1,
    );
    const inProgress = (this.inProgress.get(workerId) ?? 0) + 1;
    this.inProgress.set(workerId, inProgress);
    this.maxConcurrentRequests = Math.max(
      this.maxConcurrentRequests,
      inProgress,
    );
  }

  /**
   * Boots a worker anew, with its service; requests that the former boot executes still complete.
   * @param workerId - Id of the worker.
   * @param wallOffsetMs - Time by which its wall clock is ahead.
   */
  rebootWorker(workerId: string, wallOffsetMs: number): void {
    this.models.get(workerId)?.destroy();
    this.addWorker(workerId, wallOffsetMs);
  }

  private addWorker(workerId: string, wallOffsetMs = 0): void {
    const size = {cores: 8, memoryMb: 8_000, accelerators: 0};
    const bootId = `boot-${++this.bootCount}`;
    const clock = OffsetClock.create(this.clock, wallOffsetMs);
    const model = WorkerModel.create(workerId, bootId, size, clock);
    const lease = model.requestLease({
      scope: 'tasks',
      holderId: 'scheduler',
      ttlMs: Number.MAX_SAFE_INTEGER,
    });
    const service = this.getService();
    model.runCommands(lease._unsafeUnwrap(), [
      {
        kind: 'start',
        start: {
          taskId: `service.${workerId}`,
          attempt: 1,
          kind: 'service',
          team: 'team-a',
          name: SERVICE,
          cores: 2,
          memoryMb: 1_000,
          accelerators: 0,
          expectedRunMs: 1,
          slots: service.slotsPerReplica,
          connections: service.connectionsPerReplica,
        },
      },
    ]);
    this.models.set(workerId, model);
    this.upstreams.set(workerId, {
      serviceTimeMs: this.options.serviceTimeMs ?? 20,
      isSilent: false,
      status: 200,
    });
  }

  private publishMembership(): void {
    for (const node of this.nodes) {
      const members = this.nodes.filter(other => other.domain === node.domain);
      node.leases.setCandidates(members.map(other => other.nodeId));
      node.leases.setWorkers(
        [...this.models.keys()]
          .filter(workerId => workerId.startsWith(`worker-${node.domain}-`))
          .map(workerId => ({workerId, host: 'none', port: 1})),
      );
    }
  }

  private connectNodes(): void {
    for (const left of this.nodes) {
      for (const right of this.nodes) {
        if (left.nodeId < right.nodeId) this.connectPair(left, right);
      }
    }
    this.clock.setTimer(RECONNECT_INTERVAL_MS, () => this.connectNodes());
  }

  private connectPair(left: EntryNode, right: EntryNode): void {
    if (!left.clock.isRunning() || !right.clock.isRunning()) return;
    if (this.isPartitioned(left, right)) return;
    if (left.channels.get(right.nodeId)?.isLinked()) return;
    const [leftLink, rightLink] = MemoryLink.createPair(
      left.clock,
      right.clock,
      PEER_LINK_DELAY_MS,
      message => this.handleDelivery(message, left, right),
    );
    left.attachLink(right.hello, leftLink);
    right.attachLink(left.hello, rightLink);
  }

  private isPartitioned(left: EntryNode, right: EntryNode): boolean {
    if (left.domain === right.domain) return false;
    return (
      this.partitionedDomains.has(left.domain) ||
      this.partitionedDomains.has(right.domain)
    );
  }

  private handleDelivery(
    message: PeerMessage,
    left: EntryNode,
    right: EntryNode,
  ): void {
    if (this.options.isCountingBytes && left.domain !== right.domain) {
      this.regionBytes += this.codec.encode(message).length;
    }
    if (this.stepHook === undefined) return;
    const origin =
      'id' in message && message.id.startsWith(`${left.nodeId}/`)
        ? left
        : right;
    const holder = origin === left ? right : left;
    if (message.type === 'request') this.reportStep('request-arrives', holder);
    if (message.type === 'response')
      this.reportStep('response-arrives', origin);
  }
}

function createDocument(
  service: Partial<ServiceDeclaration>,
): EnvironmentDocument {
  return environmentDocumentSchema.parse({
    environment: 'test',
    objective: {
      tailLatencyWeight: 1,
      evictionWeight: 1,
      throughputWeight: 1,
    },
    teams: [{name: 'team-a', quotaCores: 100}],
    services: [
      {
        name: SERVICE,
        team: 'team-a',
        replicas: 4,
        resources: {cores: 2, memoryMb: 1_000},
        deadlineMs: 3_000,
        upstreamTimeoutMs: 1_500,
        ...service,
      },
    ],
    batchJobs: [],
  });
}
