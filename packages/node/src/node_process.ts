/** Node process of a VM: serves the caller API, and runs the coordinator while it is elected. */

import {Clock} from '@mustardlug/base/clock';
import {UnavailableError} from '@mustardlug/base/errors';
import {
  Coordinator,
  ShortCapacityPolicy,
} from '@mustardlug/coordination/coordinator';
import {EvacuationDecoder} from '@mustardlug/coordination/evacuations';
import {WorkerDecoder} from '@mustardlug/coordination/worker_pool';
import {JobStore} from '@mustardlug/coordination/job_store';
import {JobWorkerClient} from '@mustardlug/platform/job_worker_client';
import {findQueue} from '@mustardlug/jobs/queue_config';
import {RowStore} from '@mustardlug/platform/row_store';
import {
  HttpListener,
  ListenAddress,
  ListenOptions,
} from '@mustardlug/runtime/http_listener';
import {
  DEFAULT_LISTENER_LIMITS,
  ListenerLimits,
} from '@mustardlug/runtime/listener_limits';
import {RefusalLog} from '@mustardlug/runtime/refusal_log';
import {Service, ServiceEvent} from '@mustardlug/runtime/service';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {Hono} from 'hono';
import {ok, Result} from 'neverthrow';
import {CallerApi, CallerFormat} from './caller_api.js';
import {ConfigDecoder, ConfigFollower} from './config_follower.js';
import {CoordinatorRole} from './coordinator_role.js';
import {MeteredRowStore} from './metered_row_store.js';
import {MeteredJobWorkerClient} from './metered_job_worker_client.js';
import {NodeMetrics} from './node_metrics.js';
import {ReturnSchedule} from './return_schedule.js';

/** Listen addresses of a node. */
export interface NodeAddresses {
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  readonly metrics: ListenAddress;
}

/** Platform-specific clients, formats and parameters of a node. */
export interface NodePlatform {
  readonly store: RowStore;
  readonly workerClient: JobWorkerClient;
  readonly callerFormat: CallerFormat;
  readonly decodeConfig: ConfigDecoder;
  readonly decodeEvacuation: EvacuationDecoder;
  readonly decodeWorker: WorkerDecoder;
  readonly configTable: string;
  readonly configKey: string;
  readonly workerTable: string;
  readonly readinessPath: string;
  readonly metricsPath: string;
  /** How work is ordered, preempted and refused while capacity is short. */
  readonly shortCapacityPolicy: ShortCapacityPolicy;
  /** Maximum duration of a worker lease, in milliseconds. */
  readonly maxLeaseMs: number;
  /**
   * Time after the acknowledgement of the row of an evacuation from which no task may
   * start in its domain; undefined if such rows are ignored.
   */
  readonly evacuationMs: number | undefined;
  /** Time for which callers can query a job after it has ended, in milliseconds. */
  readonly endedJobRetentionMs: number;
}

/** Options of `NodeProcess`. */
export interface NodeProcessOptions {
  readonly clock: Clock;
  readonly nodeId: string;
  /** CPU capacity of this VM, in cores. */
  readonly cpuCores: number;
  readonly addresses: NodeAddresses;
  /** Limits of callers. */
  readonly callerLimits: ListenerLimits;
  readonly platform: NodePlatform;
  readonly events: EventRecorder;
  readonly metrics: NodeMetrics;
}

/** Time for which a stopping node continues to serve, so that the load balancer sees the failing readiness check. */
const DRAIN_DELAY_MS = 2_500;

/** Time limit for completing the requests in progress after the listeners have stopped accepting new ones. */
const CLOSE_TIMEOUT_MS = 1_500;

/**
 * Connections and bytes of the readiness and metrics ports, apart from those of callers, so
 * that a crowd at one port leaves the others usable. Load balancers and scrapers need a few.
 */
const MAX_PROBE_CONNECTIONS = 64;
const MAX_PROBE_HELD_BYTES = 2_097_152;

/** Requests of one connection to these ports, as a response with metrics takes up to 100 KB. */
const MAX_PROBES_IN_PROGRESS = 2;

const MS_PER_SECOND = 1_000;

/** Node process; composes the caller API, the configuration follower and the coordinator role. */
export class NodeProcess extends Service {
  private isDraining = false;
  private drainPromise: Promise<void> | undefined;
  private listeners: HttpListener[] = [];

  private constructor(
    private readonly options: NodeProcessOptions,
    private readonly store: RowStore,
    private readonly configFollower: ConfigFollower,
    private readonly role: CoordinatorRole,
  ) {
    super();
  }

  /**
   * Creates a node; `start` starts its listeners.
   * @param options - Addresses and platform.
   */
  static create(options: NodeProcessOptions): NodeProcess {
    const {clock, events, platform, nodeId, cpuCores, metrics} = options;
    const store = MeteredRowStore.create(platform.store, clock, metrics);
    const workerClient = MeteredJobWorkerClient.create(
      platform.workerClient,
      clock,
      metrics,
    );
    const configFollower = ConfigFollower.create({
      store,
      clock,
      events,
      table: platform.configTable,
      key: platform.configKey,
      decode: platform.decodeConfig,
      decodeEvacuation: platform.decodeEvacuation,
      evacuationMs: platform.evacuationMs,
    });
    const role = CoordinatorRole.create({
      store,
      clock,
      nodeId,
      cpuCores,
      events,
      createCoordinator: commitLog =>
        Coordinator.create({
          clock,
          store,
          workerClient,
          commitLog,
          nodeId,
          workerTable: platform.workerTable,
          decodeWorker: platform.decodeWorker,
          getConfig: () => configFollower.getConfig(),
          evacuations: configFollower.getEvacuations(),
          shortCapacityPolicy: platform.shortCapacityPolicy,
          maxLeaseMs: platform.maxLeaseMs,
          keepEndedMs: platform.endedJobRetentionMs,
          events,
        }),
    });
    return new NodeProcess(options, store, configFollower, role);
  }

  /** Starts the listeners, and begins to follow the configuration and the coordinator's status. */
  override async start(): Promise<Result<void, UnavailableError>> {
    const {addresses, events} = this.options;
    const callers = this.createListenOptions('callers');
    const readiness = this.createListenOptions('readiness');
    const metrics = this.createListenOptions('metrics');
    const servers: Array<[Hono, ListenAddress, ListenOptions]> = [
      [this.createCallerApp(), addresses.callers, callers],
      [this.createReadinessApp(), addresses.readiness, readiness],
      [this.createMetricsApp(), addresses.metrics, metrics],
    ];
    for (const [app, address, options] of servers) {
      const listener = await HttpListener.listen(app, address, options);
      if (listener.isErr()) return listener.map(() => undefined);
      this.listeners.push(listener.value);
      if (this.isDraining) return ok(undefined);
    }
    void this.configFollower.run();
    void this.role.run();
    const uptimeMs = Math.round(performance.now());
    const detail = `listening ${uptimeMs} ms after the process was started`;
    events.addEvent('process-started', {detail});
    return ok(undefined);
  }

  /** Shuts down gracefully: hands over the coordinator role, then drains the requests in progress. */
  override drain(): Promise<void> {
    this.drainPromise ??= this.runDrain();
    return this.drainPromise;
  }

  override recordServiceEvent(name: ServiceEvent, detail: string): void {
    this.options.events.addEvent(name, {detail});
  }

  private async runDrain(): Promise<void> {
    this.isDraining = true;
    const {clock, events} = this.options;
    events.addEvent('process-draining');
    await this.role.stop();
    await clock.sleep(DRAIN_DELAY_MS);
    this.configFollower.stop();
    await Promise.race([
      Promise.all(this.listeners.map(listener => listener.close())),
      clock.sleep(CLOSE_TIMEOUT_MS),
    ]);
    events.addEvent('process-stopped');
  }

  private createListenOptions(port: keyof NodeAddresses): ListenOptions {
    const {clock, events, metrics, callerLimits} = this.options;
    const log = RefusalLog.create();
    const isCallerPort = port === 'callers';
    return {
      clock,
      limits: isCallerPort
        ? callerLimits
        : {
            ...callerLimits,
            maxConnections: Math.min(
              callerLimits.maxConnections,
              MAX_PROBE_CONNECTIONS,
            ),
            maxHeldBytes: MAX_PROBE_HELD_BYTES,
            maxRequestsInProgress: MAX_PROBES_IN_PROGRESS,
          },
      getMaxBodyBytes: () =>
        this.configFollower.getConfig()?.limits.maxBodyBytes ??
        DEFAULT_LISTENER_LIMITS.maxBodyBytes,
      readsBodyAtOnce: true,
      usesBody: ({method, headers, url}) =>
        isCallerPort &&
        method === 'POST' &&
        this.hasQueue(headers.host ?? '', url ?? ''),
      onRefusal: (reason, detail) => {
        metrics.recordRefusedClient(port, reason);
        const text = log.add(reason, detail, clock.getMonotonicMs());
        if (text !== undefined)
          events.addEvent('client-refused', {detail: `${port}: ${text}`});
      },
    };
  }

  /** Checks whether a request is for a queue. */
  private hasQueue(host: string, url: string): boolean {
    const config = this.configFollower.getConfig();
    const [hostName] = host.split(':');
    const [path] = url.split('?');
    return (
      config !== undefined && findQueue(config, hostName, path) !== undefined
    );
  }

  private createCallerApp(): Hono {
    const {clock, platform, events, metrics} = this.options;
    return CallerApi.createApp({
      clock,
      jobs: JobStore.create({store: this.store, clock, events}),
      returns: ReturnSchedule.create({
        clock,
        getNodeCount: () => this.role.getNodeCount(),
      }),
      onRefusal: (queueName, reason) =>
        metrics.recordRefusal(queueName, reason),
      onResponse: (method, status, durationMs) =>
        metrics.recordRequest(method, status, durationMs),
      format: platform.callerFormat,
      getConfig: () => this.configFollower.getConfig(),
      getCoordinatorStatus: () => this.role.getCoordinatorStatus(),
      getStoreOutageMs: () => this.role.getStoreOutageMs(),
    });
  }

  private createReadinessApp(): Hono {
    const app = new Hono();
    app.get(this.options.platform.readinessPath, context => {
      const isReady =
        !this.isDraining && this.configFollower.getConfig() !== undefined;
      return context.body(null, isReady ? 200 : 503);
    });
    return app;
  }

  private createMetricsApp(): Hono {
    const {metrics} = this.options;
    metrics.addGauge(
      'mustardlug_is_coordinator',
      'Whether this node has the coordinator role.',
      () => Number(this.role.isCoordinating()),
    );
    metrics.addGauge(
      'mustardlug_oldest_step_wait_seconds',
      'Longest time in this term for which a step has had waiting tasks; 0 without the coordinator role.',
      () => (this.role.getWaitSummary()?.oldestWaitMs ?? 0) / MS_PER_SECOND,
    );
    metrics.addGauge(
      'mustardlug_long_waiting_steps',
      'Number of steps that have had waiting tasks for over 10 s in this term; 0 without the coordinator role.',
      () => this.role.getWaitSummary()?.longWaitCount ?? 0,
    );
    this.addLoadGauges();
    metrics.addOwnDelay(() => this.role.getDelays());
    const app = new Hono();
    app.get(this.options.platform.metricsPath, async context =>
      context.text(await metrics.getText()),
    );
    return app;
  }

  private addLoadGauges(): void {
    const {metrics} = this.options;
    metrics.addGauge(
      'mustardlug_worker_sessions',
      'Number of workers whose leases this node renews; 0 without the coordinator role.',
      () => this.role.getLoad()?.workerSessions ?? 0,
    );
    metrics.addGauge(
      'mustardlug_unregistered_worker_sessions',
      'Number of workers whose leases this node renews that are not registered.',
      () => this.role.getLoad()?.unregisteredSessions ?? 0,
    );
    metrics.addGauge(
      'mustardlug_start_commands',
      'Number of start commands in progress.',
      () => this.role.getLoad()?.startCommands ?? 0,
    );
    metrics.addGauge(
      'mustardlug_max_start_commands',
      'Number of start commands that may be in progress at a time.',
      () => this.role.getLoad()?.maxStartCommands ?? 0,
    );
    metrics.addGauge(
      'mustardlug_rejected_jobs',
      'Number of jobs whose progress the store rejects; 0 without the coordinator role.',
      () => this.role.getLoad()?.rejectedJobs ?? 0,
    );
    metrics.addGauge(
      'mustardlug_evacuated_domains',
      'Number of failure domains that operators have taken out of service.',
      () => this.configFollower.getEvacuations().getDomains().length,
    );
    metrics.addGauge(
      'mustardlug_withheld_starts',
      'Number of starts that were not sent in this term because of evacuations; 0 without the coordinator role.',
      () => this.role.getLoad()?.withheldStarts ?? 0,
    );
    metrics.addGauge(
      'mustardlug_held_services',
      'Number of services of which long-running tasks are held back for batch work.',
      () => this.role.getLoad()?.heldServices ?? 0,
    );
    metrics.addGauge(
      'mustardlug_placement_pass_seconds',
      'Time that placement passes have taken in this term.',
      () => (this.role.getLoad()?.passMs ?? 0) / MS_PER_SECOND,
    );
  }
}
