/** All stand-ins of one environment in one process. */

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
import {LinkRelay, SharedBandwidth} from './link_relay.js';
import {RunRecorder} from './run_recorder.js';
import {FaultRequest, faultRequestSchema} from './standin_faults.js';
import {ListedVm, StandInPlatform} from './standin_platform.js';
import {StandInWorker} from './standin_worker.js';

interface NamedRelay {
  /** Failure domain at the far end, or `platform`. */
  readonly to: string;
  readonly from: string;
  readonly relay: LinkRelay;
}

/** Key of the relays to the platform. */
const PLATFORM = 'platform';

/** Platform, workers, upstreams and the links between domains. */
export class StandInEnvironment {
  readonly runs = RunRecorder.create();
  readonly platform: StandInPlatform;
  readonly workers = new Map<string, StandInWorker>();
  readonly plans: readonly EntryPlan[];
  private readonly relays: NamedRelay[] = [];
  private readonly bandwidths = new Map<string, SharedBandwidth>();
  private listed: ListedVm[] = [];
  private bootCount = 0;

  private constructor(
    readonly layout: EnvironmentLayout,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {
    this.platform = StandInPlatform.create(clock);
    this.plans = getEntryPlans(layout);
    this.addControlRoutes();
  }

  /**
   * Creates the stand-ins; nothing listens before `start`.
   * @param layout - Shape of the environment.
   * @param clock - Clock of the process.
   * @param random - Random numbers for service times.
   */
  static create(
    layout: EnvironmentLayout,
    clock: Clock,
    random: RandomSource,
  ): StandInEnvironment {
    return new StandInEnvironment(layout, clock, random);
  }

  /** Starts all stand-ins. */
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
    this.publish();
  }

  /** Ends all stand-ins. */
  stop(): void {
    for (const {relay} of this.relays) relay.stop();
    for (const worker of this.workers.values()) worker.stop();
    this.platform.stop();
  }

  /**
   * Gets the address of the platform as seen from a failure domain.
   * @param failureDomain - Name of the domain.
   */
  getPlatformUrl(failureDomain: string): string {
    return `http://127.0.0.1:${getPlatformPort(this.layout, failureDomain)}`;
  }

  /**
   * Sets faults.
   * @param request - Faults to change.
   */
  setFaults(request: FaultRequest): void {
    Object.assign(this.platform.table.faults, request.table);
    if (request.objectStoreOutage !== undefined) {
      this.platform.objects.isOutage = request.objectStoreOutage;
    }
    if (request.freezeVmList !== undefined) {
      this.platform.setListFrozen(request.freezeVmList);
    }
    if (request.worker !== undefined) this.setWorkerFaults(request.worker);
    if (request.link !== undefined) this.setLinkFault(request.link);
  }

  /**
   * Ends a worker and drops it from the VM list.
   * @param workerId - Id of the worker.
   */
  removeWorker(workerId: string): void {
    this.workers.get(workerId)?.stop();
    this.workers.delete(workerId);
    this.listed = this.listed.filter(({vm}) => vm.id !== workerId);
    this.publish();
  }

  /**
   * Marks a VM as leaving on the VM list.
   * @param vmId - Id of the VM.
   */
  setLeaving(vmId: string): void {
    this.listed = this.listed.map(listed =>
      listed.vm.id === vmId
        ? {...listed, vm: {...listed.vm, state: 'leaving' as const}}
        : listed,
    );
    this.publish();
  }

  /** Gets what the stand-ins saw, for checks. */
  getObservations() {
    const violations = [...this.workers.values()].flatMap(
      worker => worker.getModel().violations,
    );
    let regionBytes = 0;
    for (const bandwidth of this.bandwidths.values()) {
      regionBytes += bandwidth.getCarriedBytes();
    }
    const connections = [...this.workers.values()].map(
      worker => worker.mostConnections,
    );
    return {
      mostConnections: Math.max(0, ...connections),
      runs: this.runs.getRunCount(),
      repeatedRuns: this.runs.getRepeated(),
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
      return worker.answerDirectly(context);
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
      if (link.state === 'silent-existing') relay.silenceExisting();
      else relay.setState(link.state);
    }
  }

  private async startPlatformRelay(
    failureDomain: string,
    platformPort: number,
  ): Promise<void> {
    const {layout, clock} = this;
    const region = getRegion(layout, failureDomain);
    const isFar = region !== layout.storeRegion;
    const relay = LinkRelay.create({
      targetHost: '127.0.0.1',
      targetPort: platformPort,
      delayMs: isFar ? layout.regionDelayMs : layout.domainDelayMs,
      clock,
      ...(isFar && this.getBandwidths(region, layout.storeRegion)),
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
    const index = this.bootCount++;
    const hasAccelerators =
      layout.acceleratorEvery > 0 && index % layout.acceleratorEvery === 0;
    const size = {
      cores: layout.coresPerWorker,
      memoryMb: layout.memoryMbPerWorker,
      accelerators: hasAccelerators ? layout.acceleratorsPerWorker : 0,
    };
    const model = WorkerModel.create(id, `boot-${index}`, size, clock);
    model.behavior.getInterference = () => layout.interferencePerBatchCore;
    const worker = StandInWorker.create({
      model,
      clock,
      random,
      runs: this.runs,
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
      ...size,
    };
    this.listed.push({vm});
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
    this.listed.push({
      vm,
      portFrom: from => ports.get(from) ?? plan.innerPort,
    });
  }

  private async startEntryRelay(
    from: string,
    plan: EntryPlan,
  ): Promise<number> {
    const {layout, clock} = this;
    const region = getRegion(layout, from);
    const isFar = region !== plan.region;
    const relay = LinkRelay.create({
      targetHost: '127.0.0.1',
      targetPort: plan.innerPort,
      delayMs: getDelayMs(layout, from, plan.failureDomain),
      clock,
      ...(isFar && this.getBandwidths(region, plan.region)),
    });
    this.relays.push({to: plan.failureDomain, from, relay});
    return relay.start();
  }

  private getBandwidths(from: string, to: string) {
    return {
      forward: this.getBandwidth(`${from}>${to}`),
      backward: this.getBandwidth(`${to}>${from}`),
    };
  }

  private getBandwidth(name: string): SharedBandwidth {
    let bandwidth = this.bandwidths.get(name);
    if (bandwidth === undefined) {
      bandwidth = SharedBandwidth.create(
        this.layout.regionBitsPerS,
        this.clock,
      );
      this.bandwidths.set(name, bandwidth);
    }
    return bandwidth;
  }

  private publish(): void {
    this.platform.setVms(this.listed);
  }
}
