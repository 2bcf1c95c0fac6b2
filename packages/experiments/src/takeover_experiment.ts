/** Measures takeovers after the loss of nodes of two sizes, in virtual time. */

import {RandomSource} from '@mustardlug/base/random_source';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {RecordedEvent} from '@mustardlug/telemetry/event_recorder';
import {HarnessNode, JobHarness} from './job_harness.js';

/** Failures that end a term. */
export type TakeoverCause =
  /** All nodes lose power at once. */
  | 'all-nodes'
  /** All nodes lose power right after an outage of the store. */
  | 'all-nodes-after-store-outage'
  /** The process of the coordinator is killed and started again. */
  | 'coordinator-restart'
  /** The VM of the coordinator is lost for good. */
  | 'coordinator-loss'
  /** The same, some time after an outage of the store. */
  | 'coordinator-loss-after-store-outage'
  /** The VM of a coordinator that writes its status ever less often is lost for good. */
  | 'slow-coordinator-loss'
  /** All large VMs lose power for longer than a takeover takes. */
  | 'large-nodes';

export const TAKEOVER_CAUSES: readonly TakeoverCause[] = [
  'all-nodes',
  'all-nodes-after-store-outage',
  'coordinator-restart',
  'coordinator-loss',
  'coordinator-loss-after-store-outage',
  'slow-coordinator-loss',
  'large-nodes',
];

export interface TakeoverOptions {
  readonly cause: TakeoverCause;
  /** Seed of the times at which nodes start and fail. */
  readonly seed: number;
  readonly workers?: number;
}

export interface TakeoverResult {
  /** Elections before the failure. */
  readonly firstElections: number;
  /** Elections from the failure to the end of the run. */
  readonly elections: number;
  /** Those of them that a small VM won. */
  readonly smallElections: number;
  /** Time from the failure until a coordinator has fenced the workers and the runs go on. */
  readonly readyMs: number;
  /** Size of the VM that coordinates at the end. */
  readonly lastHolder: 'large' | 'small' | 'none';
  /** Runs whose lease expired. */
  readonly lapsedRuns: number;
  /** Longest time after the failure without a start of a task. */
  readonly longestPauseMs: number;
  readonly violations: readonly string[];
}

const LARGE_NODES = 18;
const SMALL_NODES = 79;
const LARGE_CORES = 1.35;
const SMALL_CORES = 0.186;
const DEFAULT_WORKERS = 100;

/** Time within which all nodes of a deployment start. */
const START_SPREAD_MS = 300;

/** Time until the first coordinator is ready and all tasks run. */
const WARM_UP_MS = 8_000;

/** Duration of an outage in which the store refuses calls, and its end before the loss of all nodes. */
const OUTAGE_MS = 2_600;
const OUTAGE_END_MS = 600;

/** Delays of a slow coordinator's calls to the store, and the duration of each. */
const SLOW_STORE_DELAYS_MS = [300, 500, 700, 900, 1_100, 1_300];
const SLOWNESS_MS = 2_000;

/** Maximum duration of a power loss of all nodes. */
const MAX_POWER_LOSS_MS = 1_500;

/** Time from the end of a power loss until the processes run again. */
const LARGE_START_MS = 280;
const LARGE_START_SPREAD_MS = 180;
const SMALL_START_MS = 1_770;
const SMALL_START_SPREAD_MS = 120;

/** Maximum time by which small VMs start still later, all of them by the same. */
const MAX_SMALL_START_DELAY_MS = 1_400;

/** Time for which the large VMs stay without power when only they lose it. */
const LONG_POWER_LOSS_MS = 9_000;

/** Time from the end of a killed process until the next one runs. */
const RESTART_MS = 800;

/** Maximum delay of a node's calls to the store, which depends on its failure domain. */
const MAX_STORE_DELAY_MS = 25;

/** Random numbers that are skipped. */
const SKIPPED_NUMBERS = 20;

/** Virtual time that is observed after a failure. */
const OBSERVATION_MS = 15_000;

/** Interval of the jobs that show when tasks are started. */
const JOB_INTERVAL_MS = 50;

/** Resolution of the measured pauses. */
const SAMPLE_INTERVAL_MS = 10;

/** Processor time of a node for each response and each row, on one core. */
const PROCESSOR_COSTS = {callMs: 1, rowMs: 0.1};

/** Duration of the tasks that hold leases throughout a run. */
const LASTING_TASK_MS = 120_000;

function isLarge(nodeId: string): boolean {
  return Number(nodeId.split('-')[1]) < LARGE_NODES;
}

/** One simulated failure and what follows. */
class TakeoverRun {
  private readonly random: RandomSource;
  private readonly harness: JobHarness;
  private readonly events: RecordedEvent[] = [];

  private constructor(private readonly options: TakeoverOptions) {
    this.random = RandomSource.create(options.seed);
    // The first numbers of similar seeds are similar.
    for (let count = 0; count < SKIPPED_NUMBERS; count++)
      this.random.getFloat();
    this.harness = JobHarness.create({
      nodes: LARGE_NODES + SMALL_NODES,
      workers: options.workers ?? DEFAULT_WORKERS,
      getCpuCores: nodeId => (isLarge(nodeId) ? LARGE_CORES : SMALL_CORES),
      processorCosts: PROCESSOR_COSTS,
      maxStartDelayMs: START_SPREAD_MS,
      seed: options.seed,
      maxStoreDelayMs: MAX_STORE_DELAY_MS,
      sink: event => this.events.push(event),
    });
  }

  static create(options: TakeoverOptions): TakeoverRun {
    return new TakeoverRun(options);
  }

  async run(): Promise<TakeoverResult> {
    const {harness} = this;
    await harness.advance(START_SPREAD_MS + 1);
    const workers = harness.workers.size;
    const lasting = createSampleStep(workers, {estimatedMs: LASTING_TASK_MS});
    harness.submitWithoutWaiting([lasting], SAMPLE_QUEUE);
    this.submitPeriodically();
    await harness.advance(WARM_UP_MS + 1_000 * this.random.getFloat());
    const eventCount = this.events.length;
    await this.fail();
    const failedMs = harness.clock.getMonotonicMs();
    const longestPauseMs = await this.observeStarts();
    return this.summarize(eventCount, failedMs, longestPauseMs);
  }

  private findCoordinator(): HarnessNode | undefined {
    return this.harness.nodes.find(({role}) => role.isCoordinating());
  }

  private submitPeriodically(): void {
    const {harness} = this;
    if (harness.nodes.length > 0)
      harness.submitWithoutWaiting(
        [createSampleStep(1, {estimatedMs: 300})],
        SAMPLE_QUEUE,
      );
    harness.clock.setTimer(JOB_INTERVAL_MS, () => this.submitPeriodically());
  }

  private async fail(): Promise<void> {
    const {harness} = this;
    const {cause} = this.options;
    if (cause.endsWith('-after-store-outage')) await this.interruptStore();
    const coordinator = this.findCoordinator();
    switch (cause) {
      case 'slow-coordinator-loss':
        if (coordinator !== undefined) await this.loseSlowNode(coordinator);
        return;
      case 'coordinator-loss':
      case 'coordinator-loss-after-store-outage':
        if (coordinator !== undefined) harness.powerOffNode(coordinator);
        return;
      case 'coordinator-restart':
        if (coordinator !== undefined)
          this.restart(coordinator, RESTART_MS, RESTART_MS);
        return;
      case 'large-nodes':
        for (const node of [...harness.nodes]) {
          if (isLarge(node.nodeId))
            this.restart(node, LONG_POWER_LOSS_MS, LARGE_START_SPREAD_MS);
        }
        return;
      case 'all-nodes':
      case 'all-nodes-after-store-outage':
        this.restartAll();
    }
  }

  private async interruptStore(): Promise<void> {
    const {clock, store} = this.harness;
    store.faults.isRefusing = true;
    await clock.advance(OUTAGE_MS);
    store.faults.isRefusing = false;
    await clock.advance(OUTAGE_END_MS);
  }

  private async loseSlowNode(node: HarnessNode): Promise<void> {
    for (const delayMs of SLOW_STORE_DELAYS_MS) {
      node.storeFaults.delayMs = delayMs;
      await this.harness.advance(SLOWNESS_MS);
    }
    this.harness.powerOffNode(node);
  }

  private restartAll(): void {
    const {harness} = this;
    const lossMs = MAX_POWER_LOSS_MS * this.random.getFloat();
    const smallStartMs =
      lossMs +
      SMALL_START_MS +
      MAX_SMALL_START_DELAY_MS * this.random.getFloat();
    for (const node of [...harness.nodes]) {
      if (isLarge(node.nodeId))
        this.restart(node, lossMs + LARGE_START_MS, LARGE_START_SPREAD_MS);
      else this.restart(node, smallStartMs, SMALL_START_SPREAD_MS);
    }
  }

  private restart(node: HarnessNode, delayMs: number, spreadMs: number): void {
    this.harness.powerOffNode(node);
    const startMs = delayMs + spreadMs * this.random.getFloat();
    this.harness.startNode(node.nodeId, startMs);
  }

  /** Observes the starts after the failure, and gets the longest time without one. */
  private async observeStarts(): Promise<number> {
    const {harness} = this;
    const endMs = harness.clock.getMonotonicMs() + OBSERVATION_MS;
    let longestMs = 0;
    let lastStartMs = harness.clock.getMonotonicMs();
    let starts = harness.checker.getStartCount();
    for (;;) {
      const nowMs = harness.clock.getMonotonicMs();
      longestMs = Math.max(longestMs, nowMs - lastStartMs);
      if (nowMs >= endMs) return longestMs;
      await harness.advance(SAMPLE_INTERVAL_MS);
      if (harness.checker.getStartCount() === starts) continue;
      starts = harness.checker.getStartCount();
      lastStartMs = harness.clock.getMonotonicMs();
    }
  }

  private summarize(
    eventCount: number,
    failedMs: number,
    longestPauseMs: number,
  ): TakeoverResult {
    const {checker} = this.harness;
    const earlier = this.events.slice(0, eventCount);
    const events = this.events.slice(eventCount);
    const elections = events.filter(isElection);
    const ready = events.find(({name}) => name === 'coordinator-ready');
    const holder = this.findCoordinator();
    return {
      firstElections: earlier.filter(isElection).length,
      elections: elections.length,
      smallElections: elections.filter(({nodeId}) => !isLarge(nodeId)).length,
      readyMs: ready === undefined ? Infinity : ready.at.wallMs - failedMs,
      lastHolder: getSize(holder?.nodeId),
      lapsedRuns: checker.getLapsedRunCount(),
      longestPauseMs,
      violations: checker.violations,
    };
  }
}

function isElection({name}: RecordedEvent): boolean {
  return name === 'coordinator-elected';
}

function getSize(nodeId: string | undefined): 'large' | 'small' | 'none' {
  if (nodeId === undefined) return 'none';
  return isLarge(nodeId) ? 'large' : 'small';
}

/**
 * Simulates one failure of a deployment of 18 large and 79 small VMs.
 * @param options - Failure, seed and number of workers.
 */
export function measureTakeover(
  options: TakeoverOptions,
): Promise<TakeoverResult> {
  return TakeoverRun.create(options).run();
}
