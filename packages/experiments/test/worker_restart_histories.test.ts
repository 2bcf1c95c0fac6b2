import {expect} from 'chai';
import {RandomSource} from '@mustardlug/base/random_source';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {JobHarness, WorkerRestart} from '../src/job_harness.js';

/** When the restarted workers of a wave restart again. */
type SecondRestart = 'none' | 'before-cut' | 'during-cut';

/** When, and how, the coordinator is lost in a wave. */
type Takeover =
  | 'none'
  | 'before-restart'
  | 'before-cut'
  | 'during-cut'
  /** Once before the cut, and once during it. */
  | 'twice'
  /** It goes on after a successor was elected. */
  | 'frozen';

/** When the next process registers: as it starts, later, or after its registration was removed. */
type Registration = 'current' | 'outdated' | 'lapsed';

/** Order of the events of a wave. */
interface WaveOrder {
  readonly secondRestart: SecondRestart;
  readonly takeover: Takeover;
  readonly registration: Registration;
}

const SECOND_RESTARTS = ['none', 'before-cut', 'during-cut'] as const;
const TAKEOVERS = [
  'none',
  'before-restart',
  'before-cut',
  'during-cut',
  'twice',
  'frozen',
] as const;
const REGISTRATIONS = ['current', 'outdated', 'lapsed'] as const;
const CLOCKS = ['anew', 'continued', 'ahead'] as const;

/** Faults of a history besides restarts of workers and the cuts that follow. */
interface HistoryKind {
  readonly title: string;
  /** Whether the coordinator is lost between a restart and the cut. */
  readonly killsCoordinator: boolean;
  /** Whether some calls around a restart are executed late and get no response. */
  readonly hasLateCalls: boolean;
  /** Whether calls that are executed late reach a process that was started after they were sent. */
  readonly reachesNextProcess: boolean;
  /** Whether calls to a worker that is down are held until its next process executes them. */
  readonly holdsCalls?: boolean;
  /** Whether the clock of a process may also go on from that of the former one, or be ahead of it. */
  readonly variesClocks?: boolean;
  readonly maxLeaseMs?: number;
  /** Order of each wave; `any` draws it. By default, a takeover lies between the restart and the cut. */
  readonly order?: Partial<WaveOrder> | 'any';
  /** Share of the histories of other kinds that this kind has. */
  readonly share?: number;
}

const UNKIND_FAULTS = {
  killsCoordinator: false,
  hasLateCalls: true,
  reachesNextProcess: true,
  holdsCalls: true,
  variesClocks: true,
  share: 0.4,
} as const;

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
  {
    title: 'restarts and held calls, on any clock',
    ...UNKIND_FAULTS,
  },
  {
    title: 'restarts, takeovers, late and held calls, on any clock',
    ...UNKIND_FAULTS,
    killsCoordinator: true,
  },
  {
    title: 'restarts, takeovers, late and held calls, leases of 6 s',
    ...UNKIND_FAULTS,
    killsCoordinator: true,
    maxLeaseMs: 6_000,
  },
  {
    title: 'two restarts before a cut, and a takeover',
    ...UNKIND_FAULTS,
    order: {secondRestart: 'before-cut', takeover: 'before-cut'},
  },
  {
    title: 'a second restart during the cut, and a takeover',
    ...UNKIND_FAULTS,
    order: {secondRestart: 'during-cut', takeover: 'before-cut'},
  },
  {
    title: 'a takeover during the cut',
    ...UNKIND_FAULTS,
    order: {takeover: 'during-cut'},
  },
  {
    title: 'a takeover before the restart',
    ...UNKIND_FAULTS,
    order: {takeover: 'before-restart'},
  },
  {
    title: 'a coordinator that goes on after its successor was elected',
    ...UNKIND_FAULTS,
    order: {takeover: 'frozen'},
  },
  {
    title: 'two takeovers in a wave',
    ...UNKIND_FAULTS,
    order: {takeover: 'twice'},
  },
  {
    title: 'late registrations and a takeover',
    ...UNKIND_FAULTS,
    order: {registration: 'outdated', takeover: 'before-cut'},
  },
  {
    title: 'lapsed registrations and a takeover',
    ...UNKIND_FAULTS,
    order: {registration: 'lapsed', takeover: 'before-cut'},
  },
  {
    title: 'any order',
    ...UNKIND_FAULTS,
    order: 'any',
    share: 1,
  },
  {
    title: 'any order, leases of 6 s',
    ...UNKIND_FAULTS,
    order: 'any',
    maxLeaseMs: 6_000,
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

/** Time for which calls to workers that are down are held. */
const HOLD_MS = 5_000;

/** Time for which a coordinator is frozen, so that it goes on while its workers are cut off. */
const MIN_FROZEN_MS = 6_000;
const MAX_FROZEN_MS = 12_000;

/** Maximum time between a takeover and the restarts after it. */
const MAX_LEAD_MS = 4_000;

/** Maximum time by which a registration is late. */
const MAX_REGISTRATION_DELAY_MS = 6_000;

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
      maxLeaseMs: kind.maxLeaseMs,
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
    const killMs = random.getIndex(pauseMs);
    const cutMs = this.draw(MIN_CUT_MS, MAX_CUT_MS);
    const order = this.drawOrder();
    const {takeover} = order;
    if (takeover === 'before-restart') {
      this.killCoordinator();
      await harness.advance(random.getIndex(MAX_LEAD_MS));
    }
    this.setLateProbability(DOWN_LATE_PROBABILITY);
    this.restartWorkers(workerIds, downMs, order.registration);
    await harness.advance(downMs);
    this.setLateProbability(PAUSE_LATE_PROBABILITY);
    if (order.secondRestart === 'before-cut')
      this.scheduleRestart(workerIds, pauseMs, order.registration);
    await harness.advance(killMs);
    if (takeover === 'before-cut' || takeover === 'twice')
      this.killCoordinator();
    if (takeover === 'frozen') this.freezeCoordinator();
    await harness.advance(pauseMs - killMs);
    this.setLateProbability(0);
    this.cutWorkers(workerIds);
    if (order.secondRestart === 'during-cut')
      this.scheduleRestart(workerIds, cutMs, order.registration);
    if (takeover === 'during-cut' || takeover === 'twice')
      harness.clock.setTimer(random.getIndex(cutMs), () =>
        this.killCoordinator(),
      );
    await harness.advance(cutMs);
    for (const {linkFaults} of harness.nodes)
      linkFaults.unreachableWorkers.clear();
  }

  private drawOrder(): WaveOrder {
    const {order = {}, killsCoordinator} = this.kind;
    if (order === 'any')
      return {
        secondRestart: this.drawItem(SECOND_RESTARTS),
        takeover: this.drawItem(TAKEOVERS),
        registration: this.drawItem(REGISTRATIONS),
      };
    return {
      secondRestart: 'none',
      takeover: killsCoordinator ? 'before-cut' : 'none',
      registration: 'current',
      ...order,
    };
  }

  /** Restarts the workers at a random time, unless they are down by then. */
  private scheduleRestart(
    workerIds: readonly string[],
    maxDelayMs: number,
    registration: Registration,
  ): void {
    const {clock} = this.harness;
    clock.setTimer(this.random.getIndex(maxDelayMs), () => {
      const downMs = this.draw(MIN_DOWN_MS, MAX_DOWN_MS);
      this.restartWorkers(workerIds, downMs, registration);
    });
  }

  private restartWorkers(
    workerIds: readonly string[],
    delayMs: number,
    registration: Registration,
  ): void {
    for (const workerId of workerIds)
      this.restartWorker(workerId, delayMs, registration);
  }

  private restartWorker(
    workerId: string,
    delayMs: number,
    registration: Registration,
  ): void {
    const {harness, kind} = this;
    const clock = kind.variesClocks ? this.drawItem(CLOCKS) : 'anew';
    const restart: WorkerRestart = {delayMs, clock};
    if (registration === 'current') {
      harness.restartWorker(workerId, restart);
      return;
    }
    const isRemoved = registration === 'lapsed';
    harness.restartWorker(workerId, {
      ...restart,
      registration: isRemoved ? 'removed' : 'outdated',
    });
    const lateMs = this.random.getIndex(MAX_REGISTRATION_DELAY_MS);
    harness.clock.setTimer(delayMs + lateMs, () => {
      if (harness.workers.get(workerId)?.isUp()) harness.register(workerId);
    });
  }

  private submit(count: number): void {
    const steps = [createSampleStep(TASKS_PER_JOB, {estimatedMs: TASK_MS})];
    for (let index = 0; index < count; index++)
      this.jobIds.push(this.harness.submitWithoutWaiting(steps, SAMPLE_QUEUE));
  }

  private draw(minMs: number, maxMs: number): number {
    return minMs + this.random.getIndex(maxMs - minMs);
  }

  private drawItem<T>(items: readonly T[]): T {
    return items[this.random.getIndex(items.length)];
  }

  private killCoordinator(): void {
    const {harness} = this;
    const coordinator = harness.getCoordinator();
    if (coordinator === undefined) return;
    harness.killNode(coordinator);
    const node = harness.addNode(`node-${this.nextNodeIndex++}`);
    for (const workerId of coordinator.linkFaults.unreachableWorkers)
      node.linkFaults.unreachableWorkers.add(workerId);
    this.setReachesNextProcess();
  }

  private freezeCoordinator(): void {
    const coordinator = this.harness.getCoordinator();
    if (coordinator === undefined) return;
    const durationMs = this.draw(MIN_FROZEN_MS, MAX_FROZEN_MS);
    this.harness.freezeNode(coordinator, durationMs);
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
    const {reachesNextProcess, holdsCalls} = this.kind;
    for (const {linkFaults} of this.harness.nodes) {
      linkFaults.reachesNextProcess = reachesNextProcess;
      linkFaults.holdMs = holdsCalls ? HOLD_MS : 0;
    }
  }
}

describe('jobs whose workers restart under their IDs and are cut off soon after', () => {
  for (const kind of KINDS) {
    it(`run no task twice and complete: ${kind.title}`, async () => {
      const violations: string[] = [];
      const count = Math.ceil(HISTORY_COUNT * (kind.share ?? 1));
      for (let index = 0; index < count; index++) {
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
