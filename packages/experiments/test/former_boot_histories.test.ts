import {expect} from 'chai';
import fc from 'fast-check';
import {RandomSource} from '@mustardlug/base/random_source';
import {
  createDocument,
  createJob,
  SchedulerHarness,
  SchedulerNode,
} from '../src/scheduler_harness.js';

type ActionKind =
  | 'submit'
  | 'reboot'
  | 'reboot-and-cut'
  | 'cut'
  | 'leave'
  | 'kill-scheduler'
  | 'late-calls';

const ACTION_KINDS: ActionKind[] = [
  'submit',
  'reboot',
  'reboot',
  'reboot-and-cut',
  'cut',
  'leave',
  'kill-scheduler',
  'late-calls',
  'late-calls',
];

/** Wall clock of a boot: one that goes on, one that starts anew, or one that is set back to about the former boot. */
type WallClock = 'goes-on' | 'starts-anew' | 'set-back';

const WALL_CLOCKS: WallClock[] = ['goes-on', 'starts-anew', 'set-back'];

interface Action {
  readonly kind: ActionKind;
  readonly workerIndex: number;
  readonly wallClock: WallClock;
  /** Duration of a fault. */
  readonly durationMs: number;
  /** Time until the next action. */
  readonly pauseMs: number;
}

/** Number of scenarios; more are run by hand with another seed. */
const SCENARIO_COUNT = Number(process.env['FORMER_BOOT_RUNS'] ?? 120);
const SEED = Number(process.env['FORMER_BOOT_SEED'] ?? 61);

const WORKER_COUNT = 3;
const SCHEDULER_COUNT = 2;
const MAX_ACTIONS = 40;
const MAX_PAUSE_MS = 2_000;
const MAX_FAULT_MS = 10_000;
const MAX_DOWN_MS = 500;
/** Largest difference of the first epochs of two boots by a clock that is set back. */
const MAX_EPOCH_DIFFERENCE = 4;
/** Time from a reboot to the cut that follows it. */
const CUT_DELAY_MS = 1_000;
const LATE_COMMANDS_PROBABILITY = 0.5;
const LATE_LEASE_PROBABILITY = 0.1;
const MAX_LATE_MS = 8_000;
const REPLACEMENT_MS = 500;
const TASK_COUNT = 12;
const LONG_TASK_COUNT = 3;
const START_MS = 3_000;
/** Time after the last action in which all tasks must be done. */
const SETTLE_MS = 150_000;
const CHECK_INTERVAL_MS = 50;

/** Performs actions on one failure domain, each of which ends by itself. */
class FormerBootScenario {
  readonly harness: SchedulerHarness;
  readonly failures = new Set<string>();
  private readonly random: RandomSource;
  /** Wall time at which the current boot of a worker started. */
  private readonly bootWallMs = new Map<string, number>();
  private readonly firstBootWallMs: number;
  private readonly cutUntilMs = new Map<string, number>();
  private lateUntilMs = -Infinity;
  private jobCount = 0;

  constructor(seed: number) {
    this.random = RandomSource.create(seed);
    this.harness = SchedulerHarness.create({
      seed,
      schedulers: SCHEDULER_COUNT,
      workers: WORKER_COUNT,
      document: createDocument({}),
    });
    this.firstBootWallMs = this.harness.clock.getWallMs();
    for (const workerId of this.harness.models.keys())
      this.bootWallMs.set(workerId, this.firstBootWallMs);
    for (const node of this.harness.nodes) this.setLateCalls(node);
  }

  async run(actions: readonly Action[]): Promise<void> {
    await this.advance(START_MS);
    this.submit();
    for (const action of actions) {
      this.perform(action);
      await this.advance(action.pauseMs);
    }
    await this.advance(SETTLE_MS);
    const {harness} = this;
    for (const {taskId, state} of harness.getTasks()) {
      if (state !== 'done') this.failures.add(`LOST ${taskId} is ${state}`);
    }
    for (const id of harness.getRepeatedStarts())
      this.failures.add(`REPEATED ${id}`);
    for (const violation of harness.getViolations())
      this.failures.add(`CAPACITY ${violation}`);
  }

  private perform(action: Action): void {
    const workerId = `worker-${action.workerIndex}`;
    switch (action.kind) {
      case 'submit':
        return this.submit();
      case 'reboot':
        return this.reboot(workerId, action);
      case 'reboot-and-cut':
        this.reboot(workerId, action);
        this.harness.clock.setTimer(CUT_DELAY_MS, () =>
          this.cut(workerId, action.durationMs),
        );
        return;
      case 'cut':
        return this.cut(workerId, action.durationMs);
      case 'leave':
        return this.leave(workerId, action.durationMs);
      case 'kill-scheduler':
        return this.killScheduler();
      case 'late-calls':
        this.lateUntilMs =
          this.harness.clock.getMonotonicMs() + action.durationMs;
        return;
    }
  }

  private submit(): void {
    const name = `job-${this.jobCount++}`;
    this.harness.submitJob(createJob(TASK_COUNT, {name, expectedRunMs: 300}));
    this.harness.submitJob(
      createJob(LONG_TASK_COUNT, {name: `long-${name}`, expectedRunMs: 9_000}),
    );
  }

  private reboot(workerId: string, {wallClock, durationMs}: Action): void {
    const {harness} = this;
    const model = harness.models.get(workerId);
    if (model === undefined) return;
    harness.crashWorker(workerId, durationMs % MAX_DOWN_MS, () => {
      const nowMs = harness.clock.getWallMs();
      const wallMs = this.getBootWallMs(workerId, wallClock);
      this.bootWallMs.set(workerId, wallMs);
      harness.wallOffsetsMs.set(workerId, wallMs - nowMs);
    });
  }

  private getBootWallMs(workerId: string, wallClock: WallClock): number {
    switch (wallClock) {
      case 'goes-on':
        return this.harness.clock.getWallMs();
      case 'starts-anew':
        return this.firstBootWallMs;
      case 'set-back': {
        const formerMs = this.bootWallMs.get(workerId) ?? this.firstBootWallMs;
        return formerMs - this.random.getIndex(MAX_EPOCH_DIFFERENCE + 1);
      }
    }
  }

  private cut(workerId: string, durationMs: number): void {
    const {clock, nodes} = this.harness;
    const untilMs = clock.getMonotonicMs() + durationMs;
    this.cutUntilMs.set(workerId, untilMs);
    for (const {workerClient} of nodes)
      workerClient.faults.unreachableWorkers.add(workerId);
    clock.setTimer(durationMs, () => {
      if (this.cutUntilMs.get(workerId) !== untilMs) return;
      this.cutUntilMs.delete(workerId);
      for (const {isDead, workerClient} of nodes) {
        if (!isDead) workerClient.faults.unreachableWorkers.delete(workerId);
      }
    });
  }

  private leave(workerId: string, durationMs: number): void {
    const {harness} = this;
    const setLeaving = (isLeaving: boolean) => {
      const model = harness.models.get(workerId);
      if (model !== undefined) model.behavior.isLeaving = isLeaving;
    };
    setLeaving(true);
    harness.clock.setTimer(durationMs, () => setLeaving(false));
  }

  private killScheduler(): void {
    const {harness} = this;
    const live = harness.nodes.filter(node => !node.isDead);
    if (live.length < SCHEDULER_COUNT) return;
    harness.killNode(live[this.random.getIndex(live.length)]);
    harness.clock.setTimer(REPLACEMENT_MS, () => {
      const node = harness.addNode();
      this.setLateCalls(node);
      for (const workerId of this.cutUntilMs.keys())
        node.workerClient.faults.unreachableWorkers.add(workerId);
    });
  }

  private setLateCalls({workerClient}: SchedulerNode): void {
    const {clock} = this.harness;
    workerClient.faults.getLateMs = call => {
      if (clock.getMonotonicMs() >= this.lateUntilMs) return undefined;
      const probability =
        call === 'commands'
          ? LATE_COMMANDS_PROBABILITY
          : LATE_LEASE_PROBABILITY;
      if (this.random.getFloat() >= probability) return undefined;
      return 1 + this.random.getIndex(MAX_LATE_MS);
    };
  }

  private async advance(durationMs: number): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += CHECK_INTERVAL_MS) {
      await this.harness.clock.advance(
        Math.min(CHECK_INTERVAL_MS, durationMs - ms),
      );
      this.check();
    }
  }

  private check(): void {
    const {harness} = this;
    for (const taskId of harness.getDuplicateRuns())
      this.failures.add(`TWICE ${taskId}`);
    for (const {taskId, state, attempt} of harness.getTasks()) {
      if (state !== 'done') continue;
      for (const model of harness.models.values()) {
        if (model.getRunningAttempts().some(id => id.taskId === taskId))
          this.failures.add(`DONE ${taskId} runs after attempt ${attempt}`);
      }
    }
  }
}

describe('calls of a former boot of a worker', () => {
  it('run no task twice, again or beyond the capacity on the next one', async () => {
    const action = fc.record({
      kind: fc.constantFrom(...ACTION_KINDS),
      workerIndex: fc.integer({min: 0, max: WORKER_COUNT - 1}),
      wallClock: fc.constantFrom(...WALL_CLOCKS),
      durationMs: fc.integer({min: 100, max: MAX_FAULT_MS}),
      pauseMs: fc.integer({min: 50, max: MAX_PAUSE_MS}),
    });
    const scenario = fc.record({
      seed: fc.integer({min: 1, max: 1_000_000}),
      actions: fc.array(action, {minLength: 10, maxLength: MAX_ACTIONS}),
    });
    const failures: string[] = [];
    const samples = fc.sample(scenario, {seed: SEED, numRuns: SCENARIO_COUNT});
    for (const [index, {seed, actions}] of samples.entries()) {
      const run = new FormerBootScenario(seed);
      await run.run(actions);
      for (const failure of run.failures)
        failures.push(`scenario ${index}: ${failure}`);
    }
    expect(failures).to.deep.equal([]);
  });
});
