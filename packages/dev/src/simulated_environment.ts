/** Simulates the platform, workers and network of entries and schedulers in one process. */

import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {Vm} from '@mustardlug/platform/vm_list';
import {WorkerModel} from '@mustardlug/standins/worker_model';
import {
  EntryPlan,
  EnvironmentLayout,
  getDelayMs,
  getEntryPlans,
  getPlatformPort,
  getRegion,
} from './environment_layout.js';
import {BandwidthLimiter, LinkRelay} from './link_relay.js';
import {RunRecorder} from './run_recorder.js';
import {FaultRequest, faultRequestSchema} from './fault_request.js';
import {SimulatedPlatform, VmListing} from './simulated_platform.js';
import {SimulatedWorker} from './simulated_worker.js';

/** Relay for the connections from one failure domain to one target. */
interface DomainRelay {
  /** Failure domain of the target, or `platform`. */
  readonly to: string;
  /** Failure domain of the clients. */
  readonly from: string;
  readonly relay: LinkRelay;
}

/** Name of the platform as the target of a relay. */
const PLATFORM = 'platform';

/** Environment with a simulated platform, workers, upstreams and links between failure domains. */
export class SimulatedEnvironment {
  readonly runRecorder = RunRecorder.create();
  readonly platform: SimulatedPlatform;
  readonly workers = new Map<string, SimulatedWorker>();
  readonly plans: readonly EntryPlan[];
  private readonly relays: DomainRelay[] = [];
  private readonly bandwidthLimiters = new Map<string, BandwidthLimiter>();
  private vmListings: VmListing[] = [];
  private workerCount = 0;

  private constructor(
    readonly layout: EnvironmentLayout,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {
    this.platform = SimulatedPlatform.create(clock);
    this.plans = getEntryPlans(layout);
    this.addControlRoutes();
  }

  /**
   * Creates an environment. It listens once `start` is called.
   * @param layout - Validated layout.
   * @param clock - Clock of the process.
   * @param random - Random source for the service times.
   */
  static create(
    layout: EnvironmentLayout,
    clock: Clock,
    random: RandomSource,
  ): SimulatedEnvironment {
    return new SimulatedEnvironment(layout, clock, random);
  }

  /** Starts the platform, the relays and the workers, and publishes the VM list. */
  async start(): Promise<void> {
    const {layout} = this;
    const platformPort = await this.platform.start(layout.basePort);
    for (const domain of layout.domains) {
      await this.startPlatformRelay(domain.name, platformPort);
      for (let index = 0; index < domain.workers; index++) {
        const id = `worker-${domain.name}-${index}`;
        const rack = Math.floor(index / layout.workersPerRack);
        await this.addWorker(id, domain.name, `${domain.name}-rack-${rack}`);
      }
    }
    for (const plan of this.plans) await this.addEntry(plan);
    this.publishVmList();
  }

  /** Stops the relays, the workers and the platform. */
  stop(): void {
    for (const {relay} of this.relays) relay.stop();
    for (const worker of this.workers.values()) worker.stop();
    this.platform.stop();
  }

  /**
   * Gets the URL at which a failure domain reaches the platform.
   * @param failureDomain - Name of the domain.
   */
  getPlatformUrl(failureDomain: string): string {
    return `http://127.0.0.1:${getPlatformPort(this.layout, failureDomain)}`;
  }

  /**
   * Injects or clears faults.
   * @param request - Faults to change.
   */
  setFaults(request: FaultRequest): void {
    Object.assign(this.platform.table.faults, request.table);
    if (request.objectStoreOutage !== undefined) {
      this.platform.objects.isOutage = request.objectStoreOutage;
    }
    if (request.freezeVmList !== undefined) {
      this.platform.setVmListFrozen(request.freezeVmList);
    }
    if (request.worker !== undefined) this.setWorkerFaults(request.worker);
    if (request.link !== undefined) this.setLinkFault(request.link);
  }

  /**
   * Stops a worker and removes it from the VM list.
   * @param workerId - ID of the worker.
   */
  removeWorker(workerId: string): void {
    this.workers.get(workerId)?.stop();
    this.workers.delete(workerId);
    this.vmListings = this.vmListings.filter(({vm}) => vm.id !== workerId);
    this.publishVmList();
  }

  /**
   * Marks a VM as leaving in the VM list.
   * @param vmId - ID of the VM.
   */
  setLeaving(vmId: string): void {
    this.vmListings = this.vmListings.map(listing =>
      listing.vm.id === vmId
        ? {...listing, vm: {...listing.vm, state: 'leaving' as const}}
        : listing,
    );
    this.publishVmList();
  }

  /** Gets the recorded runs, capacity violations, connections and traffic, for assertions in tests. */
  getObservations() {
    const violations = [...this.workers.values()].flatMap(
      worker => worker.getModel().violations,
    );
    let regionBytes = 0;
    for (const limiter of this.bandwidthLimiters.values()) {
      regionBytes += limiter.getTransferredBytes();
    }
    const connections = [...this.workers.values()].map(
      worker => worker.peakConnections,
    );
    return {
      mostConnections: Math.max(0, ...connections),
      runs: this.runRecorder.getDistinctRunCount(),
      repeatedRuns: this.runRecorder.getRepeatedRunIds(),
      violations,
      table: this.platform.table.counts,
      regionBytes,
    };
  }

  private addControlRoutes(): void {
    const routes = this.platform.getRoutes();
    routes.get('/standin/observations', context =>
      context.json(this.getObservations()),
    );
    routes.all('/direct/*', context => {
      const [worker] = this.workers.values();
      return worker.handleDirectRequest(context);
    });
    routes.post('/standin/faults', async context => {
      const parsed = faultRequestSchema.safeParse(await context.req.json());
      if (!parsed.success) {
        return context.json({reason: parsed.error.message}, 400);
      }
      this.setFaults(parsed.data);
      return context.json({});
    });
  }

  private setWorkerFaults(faults: NonNullable<FaultRequest['worker']>): void {
    const worker = this.workers.get(faults.id);
    if (worker === undefined) return;
    const {failsAll, isLeaving, slowFactor, isSilent, failsRequests} = faults;
    const {behavior} = worker.getModel();
    behavior.failsAll = failsAll ?? behavior.failsAll;
    behavior.isLeaving = isLeaving ?? behavior.isLeaving;
    worker.behavior.slowFactor = slowFactor ?? worker.behavior.slowFactor;
    worker.behavior.isSilent = isSilent ?? worker.behavior.isSilent;
    worker.behavior.failsRequests =
      failsRequests ?? worker.behavior.failsRequests;
  }

  private setLinkFault(link: NonNullable<FaultRequest['link']>): void {
    for (const {to, from, relay} of this.relays) {
      if (to !== link.to && from !== link.to) continue;
      if (link.state === 'silent-existing') relay.silenceExistingConnections();
      else relay.setState(link.state);
    }
  }

  private async startPlatformRelay(
    failureDomain: string,
    platformPort: number,
  ): Promise<void> {
    const {layout, clock} = this;
    const region = getRegion(layout, failureDomain);
    const isCrossRegion = region !== layout.storeRegion;
    const relay = LinkRelay.create({
      targetHost: '127.0.0.1',
      targetPort: platformPort,
      delayMs: isCrossRegion ? layout.regionDelayMs : layout.domainDelayMs,
      clock,
      ...(isCrossRegion &&
        this.getBandwidthLimiters(region, layout.storeRegion)),
    });
    this.relays.push({to: PLATFORM, from: failureDomain, relay});
    await relay.start(getPlatformPort(layout, failureDomain));
  }

  private async addWorker(
    id: string,
    failureDomain: string,
    rack: string,
  ): Promise<void> {
    const {layout, clock, random} = this;
    const index = this.workerCount++;
    const hasAccelerators =
      layout.acceleratorEvery > 0 && index % layout.acceleratorEvery === 0;
    const capacity = {
      cores: layout.coresPerWorker,
      memoryMb: layout.memoryMbPerWorker,
      accelerators: hasAccelerators ? layout.acceleratorsPerWorker : 0,
    };
    const model = WorkerModel.create(id, `boot-${index}`, capacity, clock);
    model.behavior.getInterference = () => layout.interferencePerBatchCore;
    const worker = SimulatedWorker.create({
      model,
      clock,
      random,
      runRecorder: this.runRecorder,
      serviceTimeMs: layout.serviceTimeMs,
    });
    const port = await worker.start();
    this.workers.set(id, worker);
    const vm: Vm = {
      id,
      role: 'worker',
      region: getRegion(layout, failureDomain),
      failureDomain,
      rack,
      state: 'live',
      host: '127.0.0.1',
      port,
      ...capacity,
    };
    this.vmListings.push({vm});
  }

  private async addEntry(plan: EntryPlan): Promise<void> {
    const ports = new Map<string, number>();
    for (const {name} of this.layout.domains) {
      if (name === plan.failureDomain) continue;
      ports.set(name, await this.startEntryRelay(name, plan));
    }
    const vm: Vm = {
      id: plan.nodeId,
      role: 'entry',
      region: plan.region,
      failureDomain: plan.failureDomain,
      rack: '',
      state: 'live',
      host: '127.0.0.1',
      port: plan.innerPort,
      cores: 0,
      memoryMb: 0,
      accelerators: 0,
    };
    this.vmListings.push({
      vm,
      getPortFrom: from => ports.get(from) ?? plan.innerPort,
    });
  }

  private async startEntryRelay(
    from: string,
    plan: EntryPlan,
  ): Promise<number> {
    const {layout, clock} = this;
    const region = getRegion(layout, from);
    const isCrossRegion = region !== plan.region;
    const relay = LinkRelay.create({
      targetHost: '127.0.0.1',
      targetPort: plan.innerPort,
      delayMs: getDelayMs(layout, from, plan.failureDomain),
      clock,
      ...(isCrossRegion && this.getBandwidthLimiters(region, plan.region)),
    });
    this.relays.push({to: plan.failureDomain, from, relay});
    return relay.start();
  }

  private getBandwidthLimiters(from: string, to: string) {
    return {
      forward: this.getBandwidthLimiter(`${from}>${to}`),
      backward: this.getBandwidthLimiter(`${to}>${from}`),
    };
  }

  private getBandwidthLimiter(name: string): BandwidthLimiter {
    let limiter = this.bandwidthLimiters.get(name);
    if (limiter === undefined) {
      limiter = BandwidthLimiter.create(this.layout.regionBitsPerS, this.clock);
      this.bandwidthLimiters.set(name, limiter);
    }
    return limiter;
  }

  private publishVmList(): void {
    this.platform.setVms(this.vmListings);
  }
}
