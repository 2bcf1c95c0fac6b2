/** All processes of an environment inside one process, over real connections. */

import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {DocumentStore} from '@mustardlug/document/document_store';
import {EntryProcess} from '@mustardlug/entry/entry_process';
import {entrySettingsSchema} from '@mustardlug/entry/entry_settings';
import {CountingTokenSource} from '@mustardlug/platform/row_token';
import {SettledTable} from '@mustardlug/platform/settled_table';
import {SchedulerProcess} from '@mustardlug/scheduler/scheduler_process';
import {schedulerSettingsSchema} from '@mustardlug/scheduler/scheduler_settings';
import {EnvironmentLayout, EntryPlan} from './environment_layout.js';
import {StandInEnvironment} from './standin_environment.js';

/** Options of an embedded system. */
export interface EmbeddedSystemOptions {
  readonly layout: EnvironmentLayout;
  /** Text of the document to publish at the start. */
  readonly documentText: string;
  readonly keyFile: string;
  readonly clock: Clock;
  readonly seed: number;
  readonly usageIntervalMs: number;
}

const START_TIMEOUT_MS = 30_000;
const CHECK_MS = 100;
const BALANCER_LAG_MS = 300;

/** Entries, schedulers and stand-ins of one environment. */
export class EmbeddedSystem {
  readonly entries = new Map<string, EntryProcess>();
  readonly schedulers = new Map<string, SchedulerProcess>();

  private constructor(
    private readonly options: EmbeddedSystemOptions,
    readonly environment: StandInEnvironment,
  ) {}

  /**
   * Creates a system; nothing listens before `start`.
   * @param options - Layout, document, key and clock.
   */
  static create(options: EmbeddedSystemOptions): EmbeddedSystem {
    const random = RandomSource.create(options.seed);
    const {layout, clock} = options;
    const environment = StandInEnvironment.create(layout, clock, random);
    return new EmbeddedSystem(options, environment);
  }

  /** Starts the stand-ins, publishes the document, and starts all processes. */
  async start(): Promise<void> {
    await this.environment.start();
    await this.publish(this.options.documentText);
    for (const plan of this.environment.plans) {
      await this.startEntry(plan);
      await this.startScheduler(plan);
    }
  }

  /** Gets the addresses for callers. */
  getTargets(): string[] {
    return [...this.entries.values()].map(
      entry => `http://127.0.0.1:${entry.getCallerPort()}`,
    );
  }

  /**
   * Publishes a document through trial and promotion.
   * @param text - Text of the document.
   */
  async publish(text: string): Promise<void> {
    const {table, objects} = this.environment.platform;
    const {clock} = this.options;
    const store = DocumentStore.create({
      table,
      settledTable: SettledTable.create({table, clock}),
      objects,
      tokens: CountingTokenSource.create(`publisher-${clock.getWallMs()}`),
    });
    const tried = await store.publishTrial(text);
    if (tried.isErr()) throw new Error(tried.error.message);
    const promoted = await store.promote(tried.value.digest);
    if (promoted.isErr()) throw new Error(promoted.error.message);
  }

  /**
   * Waits until a service has a number of replicas with slots.
   * @param service - Name of the service.
   * @param slots - Slots that all holders together must have.
   * @returns Whether it happened in time.
   */
  async waitForSlots(service: string, slots: number): Promise<boolean> {
    const {clock} = this.options;
    const limitMs = clock.getMonotonicMs() + START_TIMEOUT_MS;
    while (clock.getMonotonicMs() < limitMs) {
      if (this.getSlots(service) >= slots) return true;
      await clock.sleep(CHECK_MS);
    }
    return false;
  }

  /** Stops all processes at once. */
  stop(): void {
    for (const entry of this.entries.values()) entry.kill();
    for (const scheduler of this.schedulers.values()) scheduler.kill();
    this.environment.stop();
  }

  private getSlots(service: string): number {
    let slots = 0;
    for (const entry of this.entries.values()) {
      for (const load of entry.getStatus().loads) {
        if (load.service === service) slots += load.slots;
      }
    }
    return slots;
  }

  private async startEntry(plan: EntryPlan): Promise<void> {
    const {clock, keyFile, seed} = this.options;
    const settings = entrySettingsSchema.parse({
      nodeId: plan.nodeId,
      region: plan.region,
      failureDomain: plan.failureDomain,
      callerPort: plan.callerPort,
      innerPort: plan.innerPort,
      keyFile,
      platformUrl: this.environment.getPlatformUrl(plan.failureDomain),
      logLevel: 'silent',
      balancerLagMs: BALANCER_LAG_MS,
    });
    const random = RandomSource.create(seed + this.entries.size);
    const entry = EntryProcess.create(settings, clock, random);
    if (entry.isErr()) throw new Error(entry.error.message);
    const started = await entry.value.start();
    if (started.isErr()) throw new Error(started.error.message);
    this.entries.set(plan.nodeId, entry.value);
  }

  private async startScheduler(plan: EntryPlan): Promise<void> {
    const {clock, keyFile, seed, usageIntervalMs} = this.options;
    const settings = schedulerSettingsSchema.parse({
      nodeId: plan.nodeId,
      region: plan.region,
      failureDomain: plan.failureDomain,
      operatorPort: plan.schedulerPort,
      entryUrl: `http://127.0.0.1:${plan.innerPort}`,
      keyFile,
      platformUrl: this.environment.getPlatformUrl(plan.failureDomain),
      logLevel: 'silent',
      usageIntervalMs,
    });
    const random = RandomSource.create(seed + 1_000 + this.schedulers.size);
    const scheduler = SchedulerProcess.create(settings, clock, random);
    if (scheduler.isErr()) throw new Error(scheduler.error.message);
    const started = await scheduler.value.start();
    if (started.isErr()) throw new Error(started.error.message);
    this.schedulers.set(plan.nodeId, scheduler.value);
  }
}
