/** Runs all components of an environment in one process, connected over loopback. */

import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {DocumentStore} from '@mustardlug/document/document_store';
import {EntryProcess} from '@mustardlug/entry/entry_process';
import {entrySettingsSchema} from '@mustardlug/entry/entry_settings';
import {CountingTokenSource} from '@mustardlug/platform/token_source';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {SchedulerProcess} from '@mustardlug/scheduler/scheduler_process';
import {schedulerSettingsSchema} from '@mustardlug/scheduler/scheduler_settings';
import {EnvironmentLayout, EntryPlan} from './environment_layout.js';
import {SimulatedEnvironment} from './simulated_environment.js';

/** Options of an in-process deployment. */
export interface InProcessDeploymentOptions {
  readonly layout: EnvironmentLayout;
  /** Text of the initial environment document. */
  readonly documentText: string;
  readonly keyFile: string;
  readonly clock: Clock;
  readonly seed: number;
  readonly usageIntervalMs: number;
}

const SLOTS_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 100;
const BALANCER_LAG_MS = 300;

/** Entries, schedulers and the simulated environment that they run in. */
export class InProcessDeployment {
  readonly entries = new Map<string, EntryProcess>();
  readonly schedulers = new Map<string, SchedulerProcess>();

  private constructor(
    private readonly options: InProcessDeploymentOptions,
    readonly environment: SimulatedEnvironment,
  ) {}

  /**
   * Creates a deployment. It listens once `start` is called.
   * @param options - Layout, document, key and clock.
   */
  static create(options: InProcessDeploymentOptions): InProcessDeployment {
    const random = RandomSource.create(options.seed);
    const {layout, clock} = options;
    const environment = SimulatedEnvironment.create(layout, clock, random);
    return new InProcessDeployment(options, environment);
  }

  /** Starts the simulated environment, publishes the document, then starts entries and schedulers. */
  async start(): Promise<void> {
    await this.environment.start();
    await this.publish(this.options.documentText);
    for (const plan of this.environment.plans) {
      await this.startEntry(plan);
      await this.startScheduler(plan);
    }
  }

  /** Gets the base URLs that callers send requests to. */
  getTargets(): string[] {
    return [...this.entries.values()].map(
      entry => `http://127.0.0.1:${entry.getCallerPort()}`,
    );
  }

  /**
   * Publishes a document as a trial and promotes it.
   * @param text - Text of the document.
   */
  async publish(text: string): Promise<void> {
    const {table, objects} = this.environment.platform;
    const {clock} = this.options;
    const store = DocumentStore.create({
      table,
      retryingCommitter: RetryingCommitter.create({table, clock}),
      objects,
      tokens: CountingTokenSource.create(`publisher-${clock.getWallMs()}`),
    });
    const trial = await store.publishTrial(text);
    if (trial.isErr()) throw new Error(trial.error.message);
    const promoted = await store.promote(trial.value.digest);
    if (promoted.isErr()) throw new Error(promoted.error.message);
  }

  /**
   * Waits until the entries together hold a number of slots of a service.
   * @param service - Name of the service.
   * @param slots - Minimum number of slots over all entries.
   * @returns Whether the slots were available before the timeout.
   */
  async waitForSlots(service: string, slots: number): Promise<boolean> {
    const {clock} = this.options;
    const deadlineMs = clock.getMonotonicMs() + SLOTS_TIMEOUT_MS;
    while (clock.getMonotonicMs() < deadlineMs) {
      if (this.countSlots(service) >= slots) return true;
      await clock.sleep(POLL_INTERVAL_MS);
    }
    return false;
  }

  /** Stops everything immediately, without draining. */
  stop(): void {
    for (const entry of this.entries.values()) entry.kill();
    for (const scheduler of this.schedulers.values()) scheduler.kill();
    this.environment.stop();
  }

  private countSlots(service: string): number {
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
