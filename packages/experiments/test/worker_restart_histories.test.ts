import {expect} from 'chai';
import {RandomSource} from '@mustardlug/base/random_source';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {JobHarness} from '../src/job_harness.js';

/** Faults of a history besides restarts of workers and the cuts that follow. */
interface HistoryKind {
  readonly title: string;
  /** Whether the coordinator is lost between a restart and the cut. */
  readonly killsCoordinator: boolean;
  /** Whether some calls around a restart are executed late and get no response. */
  readonly hasLateCalls: boolean;
  /** Whether calls that are executed late reach a process that was started after they were sent. */
  readonly reachesNextProcess: boolean;
}

const KINDS: readonly HistoryKind[] = [
  {
    title: 'restarts',
    killsCoordinator: false,
    hasLateCalls: false,
    reachesNextProcess: true,
  },
  {
    title: 'restarts and late calls',
    killsCoordinator: false,
    hasLateCalls: true,
    reachesNextProcess: true,
  },
  {
    title: 'restarts, late calls that end with the process',
    killsCoordinator: false,
    hasLateCalls: true,
    reachesNextProcess: false,
  },
  {
    title: 'restarts and takeovers',
    killsCoordinator: true,
    hasLateCalls: false,
    reachesNextProcess: true,
  },
  {
    title: 'restarts, takeovers and late calls',
    killsCoordinator: true,
    hasLateCalls: true,
    reachesNextProcess: true,
  },
  {
    title: 'restarts, takeovers and late calls that end with the process',
    killsCoordinator: true,
    hasLateCalls: true,
    reachesNextProcess: false,
  },
];

const NODE_COUNT = 4;
const WORKER_COUNT = 6;
const TASKS_PER_JOB = 3;
const FIRST_JOBS = 4;
const JOBS_PER_WAVE = 3;
const WAVES = 3;

/** Number of workers that restart in a wave. */
const RESTARTED_WORKERS = 3;

/** Duration of tasks, longer than the longest lease. */
const TASK_MS = 14_000;

/** Time for the first election. */
const START_MS = 2_500;

/** Time for which tasks run before the first restart. */
const RUN_MS = 3_000;

const MIN_DOWN_MS = 150;
const MAX_DOWN_MS = 1_150;
const MIN_PAUSE_MS = 200;
const MAX_PAUSE_MS = 3_700;
const MIN_CUT_MS = 6_000;
const MAX_CUT_MS = 13_000;
const MIN_LATE_MS = 300;
const MAX_LATE_MS = 4_000;

/** Share of the calls that are executed late while workers are down, and until they are cut off. */
const DOWN_LATE_PROBABILITY = 0.5;
const PAUSE_LATE_PROBABILITY = 0.1;

/** Time after a cut until the next wave. */
const WAVE_PAUSE_MS = 3_000;

/** Time in which all jobs must complete after the last cut. */
const SETTLE_MS = 90_000;

const SEED = Number(process.env['RESTART_SEED'] ?? 61);
const HISTORY_COUNT = Number(process.env['RESTART_RUNS'] ?? 20);

/** Workers that restart under their IDs and are cut off soon after, while long tasks run. */
class RestartHistory {
  readonly harness: JobHarness;
  private readonly random: RandomSource;
  private readonly jobIds: string[] = [];
  private nextNodeIndex = NODE_COUNT;

  constructor(
    private readonly kind: HistoryKind,
    seed: number,
  ) {
    this.random = RandomSource.create(seed);
    this.harness = JobHarness.create({
      nodes: NODE_COUNT,
      workers: WORKER_COUNT,
      seed,
      workerClockRate: 0.98,
    });
  }

  async run(): Promise<string[]> {
    const {harness} = this;
    await harness.advance(START_MS);
    this.submit(FIRST_JOBS);
    await harness.advance(RUN_MS);
    for (let wave = 0; wave < WAVES; wave++) {
      this.submit(JOBS_PER_WAVE);
      await harness.advance(this.draw(200, 1_000));
      await this.runWave();
      await harness.advance(WAVE_PAUSE_MS);
    }
    await harness.advance(SETTLE_MS);
    return this.jobIds;
  }

  private async runWave(): Promise<void> {
    const {harness, random} = this;
    const firstIndex = random.getIndex(WORKER_COUNT);
    const workerIds = Array.from(
      {length: RESTARTED_WORKERS},
      (_, index) => `worker-${(firstIndex + index) % WORKER_COUNT}`,
    );
    const downMs = this.draw(MIN_DOWN_MS, MAX_DOWN_MS);
    const pauseMs = this.draw(MIN_PAUSE_MS, MAX_PAUSE_MS);
    this.setLateProbability(DOWN_LATE_PROBABILITY);
    for (const workerId of workerIds)
      harness.restartWorker(workerId, {delayMs: downMs});
    await harness.advance(downMs);
    this.setLateProbability(PAUSE_LATE_PROBABILITY);
    const killMs = random.getIndex(pauseMs);
    await harness.advance(killMs);
    if (this.kind.killsCoordinator) this.killCoordinator();
    await harness.advance(pauseMs - killMs);
    this.setLateProbability(0);
    const cutMs = this.draw(MIN_CUT_MS, MAX_CUT_MS);
    this.cutWorkers(workerIds);
    await harness.advance(cutMs);
    for (const {linkFaults} of harness.nodes)
      linkFaults.unreachableWorkers.clear();
  }

  private submit(count: number): void {
    const steps = [createSampleStep(TASKS_PER_JOB, {estimatedMs: TASK_MS})];
    for (let index = 0; index < count; index++)
      this.jobIds.push(this.harness.submitWithoutWaiting(steps, SAMPLE_QUEUE));
  }

  private draw(minMs: number, maxMs: number): number {
    return minMs + this.random.getIndex(maxMs - minMs);
  }

  private killCoordinator(): void {
    const {harness} = this;
    const coordinator = harness.getCoordinator();
    if (coordinator === undefined) return;
    harness.killNode(coordinator);
    harness.addNode(`node-${this.nextNodeIndex++}`);
    this.setReachesNextProcess();
  }

  private cutWorkers(workerIds: readonly string[]): void {
    for (const {linkFaults} of this.harness.nodes) {
      for (const workerId of workerIds)
        linkFaults.unreachableWorkers.add(workerId);
    }
  }

  private setLateProbability(probability: number): void {
    this.setReachesNextProcess();
    if (!this.kind.hasLateCalls) return;
    for (const {linkFaults} of this.harness.nodes) {
      linkFaults.lateProbability = probability;
      linkFaults.lateMs = MIN_LATE_MS;
      linkFaults.maxLateMs = MAX_LATE_MS;
    }
  }

  private setReachesNextProcess(): void {
    const {reachesNextProcess} = this.kind;
    for (const {linkFaults} of this.harness.nodes)
      linkFaults.reachesNextProcess = reachesNextProcess;
  }
}

describe('jobs whose workers restart under their IDs and are cut off soon after', () => {
  for (const kind of KINDS) {
    it(`run no task twice and complete: ${kind.title}`, async () => {
      const violations: string[] = [];
      for (let index = 0; index < HISTORY_COUNT; index++) {
        const seed = SEED * 1_000 + index;
        const history = new RestartHistory(kind, seed);
        const jobIds = await history.run();
        const {harness} = history;
        for (const violation of harness.checker.violations)
          violations.push(`seed ${seed}: ${violation}`);
        for (const jobId of jobIds) {
          const phase = await harness.getPhase(jobId);
          if (phase !== 'completed' && phase !== undefined)
            violations.push(`seed ${seed}: job ${jobId} is ${phase}`);
        }
      }
      expect(violations).to.deep.equal([]);
    });
  }
});
