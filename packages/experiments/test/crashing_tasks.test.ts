import {expect} from 'chai';
import {StepSpec} from '@mustardlug/jobs/job_spec';
import {parseTaskName, TaskName} from '@mustardlug/jobs/task_name';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {
  CrashRecovery,
  JobHarness,
  JobHarnessOptions,
} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

/** Time after the last fault in which all jobs must have ended. */
const SETTLE_MS = 75_000;

/** Time after the first of several takeovers in which all jobs must have ended. */
const TAKEOVER_SETTLE_MS = 150_000;

/** Time after its start at which a task crashes its worker. */
const CRASH_DELAY_MS = 10;

/** Time within which a waiting task must be started. */
const MAX_PLACEMENT_MS = 30_000;

/**
 * Times between two waves. The coordinator places lost tasks again about 5.5 s
 * after a wave, so that the next wave finds them just started.
 */
const WAVE_INTERVALS_MS = [5_800, 6_000];

const WAVE_INTERVAL_MS = 6_000;

const WAVE_COUNT = 5;

/** Interval at which a scenario checks whether a task was started. */
const START_POLL_MS = 4;

/** ID of the first job of a harness. */
const FIRST_JOB_ID = '0000000000000001';

const WORKER_COUNT = 12;

/** Number of jobs of one task each that crash workers beside gangs. */
const CRASHING_JOB_COUNT = 60;

const BACK_WITH_NEW_ID: CrashRecovery = {delayMs: 3_000, workerId: 'new'};
const BACK_WITH_SAME_ID: CrashRecovery = {delayMs: 3_000, workerId: 'same'};

const SHORT_STEP = createSampleStep(4, {estimatedMs: 300});
/** Fills all workers for a multiple of the time between two waves. */
const WIDE_STEP = createSampleStep(4 * WORKER_COUNT, {estimatedMs: 20_000});
const LONG_STEP = createSampleStep(2, {estimatedMs: 4_000});

/** Harmless jobs that are submitted at an interval. */
interface Load {
  readonly intervalMs: number;
  /** One in this many jobs has long tasks. */
  readonly longJobSpacing: number;
}

const NO_LOAD: Load = {intervalMs: Infinity, longJobSpacing: Infinity};
const MODERATE_LOAD: Load = {intervalMs: 500, longJobSpacing: 2};

/** Makes all workers start tasks all the time. */
const BUSY_LOAD: Load = {intervalMs: 100, longJobSpacing: 8};

/** A deployment with harmless jobs and, if given, a first job with tasks that crash workers. */
class CrashScenario {
  readonly harness: JobHarness;
  private readonly harmlessJobIds: string[] = [];
  private nextNodeIndex = 3;
  private nextWaveIndex = 0;
  private loadJobCount = 0;

  constructor(
    options: JobHarnessOptions = {},
    private readonly load = MODERATE_LOAD,
  ) {
    this.harness = JobHarness.create({workers: WORKER_COUNT, ...options});
  }

  /**
   * Creates a scenario in which the tasks of the first job crash their workers.
   * @param options - Options of the harness.
   * @param isCrashing - Selects the tasks of the first job; by default all.
   * @param crashDelayMs - Time after the start of a task.
   */
  static createCrashing(
    options: JobHarnessOptions = {},
    isCrashing: (name: TaskName) => boolean = () => true,
    crashDelayMs = CRASH_DELAY_MS,
  ): CrashScenario {
    return new CrashScenario({
      recovery: BACK_WITH_NEW_ID,
      ...options,
      getCrashDelayMs: taskName => {
        const name = parseTaskName(taskName);
        if (name?.jobId !== FIRST_JOB_ID) return undefined;
        return isCrashing(name) ? crashDelayMs : undefined;
      },
    });
  }

  /** Submits the first job, whose tasks crash workers. */
  async submitCrashing(steps: readonly StepSpec[]): Promise<void> {
    const {jobId} = await this.harness.submit(steps);
    expect(jobId).to.equal(FIRST_JOB_ID);
  }

  async submitHarmless(steps: readonly StepSpec[]): Promise<string> {
    const {harness} = this;
    const {jobId, outcome} = await harness.submit(
      steps,
      harness.getHealthyNode(),
    );
    if (outcome.isOk()) this.harmlessJobIds.push(jobId);
    return jobId;
  }

  /** Advances time while jobs with short and with long tasks are submitted. */
  async advanceUnderLoad(durationMs: number): Promise<void> {
    const {clock} = this.harness;
    const endMs = clock.getMonotonicMs() + durationMs;
    while (clock.getMonotonicMs() < endMs) {
      await this.submitLoad();
      const remainingMs = endMs - clock.getMonotonicMs();
      const pauseMs = Math.min(this.load.intervalMs, remainingMs);
      await this.harness.advance(Math.max(0, pauseMs));
    }
  }

  /** Crashes a share of the workers, other ones each time, and those that run a task of a job. */
  crashWave(
    fraction: number,
    recovery: CrashRecovery,
    targetJobId?: string,
  ): void {
    const {workers} = this.harness;
    const upIds = [...workers.keys()].filter(workerId =>
      workers.get(workerId)?.isUp(),
    );
    const count = Math.round(WORKER_COUNT * fraction);
    const firstIndex = this.nextWaveIndex;
    this.nextWaveIndex += count;
    const rotated = upIds.map(
      (_, index) => upIds[(firstIndex + index) % upIds.length],
    );
    const targets = rotated.filter(
      workerId =>
        targetJobId !== undefined && this.isRunning(workerId, targetJobId),
    );
    const crashed = new Set([...targets, ...rotated]);
    this.harness.crashWorkers([...crashed].slice(0, count), recovery);
  }

  /** Crashes waves of workers while jobs are submitted. */
  async crashWavesUnderLoad(
    fraction: number,
    recovery: CrashRecovery,
    intervalMs: number,
    afterWave: () => void = () => undefined,
  ): Promise<void> {
    for (let wave = 0; wave < WAVE_COUNT; wave++) {
      await this.advanceUnderLoad(intervalMs / 2);
      afterWave();
      await this.advanceUnderLoad(intervalMs / 2);
      this.crashWave(fraction, recovery);
    }
  }

  replaceCoordinator(): void {
    const coordinator = this.harness.getCoordinator();
    if (coordinator === undefined) return;
    this.harness.killNode(coordinator);
    this.harness.addNode(`node-${this.nextNodeIndex++}`);
  }

  /**
   * Advances time until a job has a run on a worker, while other jobs are submitted.
   * @returns Whether it had one in time.
   */
  async advanceUntilRunning(jobId: string): Promise<boolean> {
    const {clock, workers} = this.harness;
    const endMs = clock.getMonotonicMs() + MAX_PLACEMENT_MS;
    let nextLoadMs = clock.getMonotonicMs() + this.load.intervalMs;
    while (clock.getMonotonicMs() < endMs) {
      for (const workerId of workers.keys()) {
        if (this.isRunning(workerId, jobId)) return true;
      }
      await this.harness.advance(1);
      if (clock.getMonotonicMs() < nextLoadMs) continue;
      nextLoadMs += this.load.intervalMs;
      await this.submitLoad();
    }
    return false;
  }

  /** Gets the current IDs of the workers at an address. */
  getWorkerIdsAt(address: string): string[] {
    return [...this.harness.workers]
      .filter(([, worker]) => worker.getRecord().address === address)
      .map(([workerId]) => workerId);
  }

  async expectCrashingFailed(): Promise<void> {
    const phase = await this.harness.getPhase(FIRST_JOB_ID);
    expect(this.harness.checker.violations).to.deep.equal([]);
    expect(phase).to.equal('failed');
  }

  async expectHarmlessCompleted(): Promise<void> {
    expect(this.harmlessJobIds).not.to.deep.equal([]);
    for (const jobId of this.harmlessJobIds) {
      const phase = await this.harness.getPhase(jobId);
      expect(phase, `job ${jobId}`).to.equal('completed');
    }
    expect(this.harness.checker.violations).to.deep.equal([]);
  }

  private async submitLoad(): Promise<void> {
    this.loadJobCount++;
    const isLong = this.loadJobCount % this.load.longJobSpacing === 0;
    await this.submitHarmless([isLong ? LONG_STEP : SHORT_STEP]);
  }

  private isRunning(workerId: string, jobId: string): boolean {
    const runs = this.harness.workers.get(workerId)?.getRuns() ?? [];
    for (const {taskName} of runs) {
      if (parseTaskName(taskName)?.jobId === jobId) return true;
    }
    return false;
  }
}

describe('a task that crashes the workers that start it', () => {
  for (const [crashDelayMs, recovery] of [
    [CRASH_DELAY_MS, BACK_WITH_NEW_ID],
    [CRASH_DELAY_MS, BACK_WITH_SAME_ID],
    [CRASH_DELAY_MS, {delayMs: 100, workerId: 'same'}],
    [0, BACK_WITH_NEW_ID],
    [0, BACK_WITH_SAME_ID],
  ] as ReadonlyArray<[number, CrashRecovery]>) {
    const response = crashDelayMs === 0 ? 'without' : 'after';
    const kind = `${response} a response, back after ${recovery.delayMs} ms under the ${recovery.workerId} ID`;
    it(`fails its job after few starts (${kind})`, async () => {
      const scenario = CrashScenario.createCrashing(
        {recovery},
        () => true,
        crashDelayMs,
      );
      await scenario.harness.advance(START_MS);
      await scenario.submitCrashing([createSampleStep(1)]);
      await scenario.harness.advance(SETTLE_MS);
      await scenario.expectCrashingFailed();
    });
  }

  for (const [crashDelayMs, recovery] of [
    [0, BACK_WITH_NEW_ID],
    [CRASH_DELAY_MS, BACK_WITH_NEW_ID],
    [CRASH_DELAY_MS, {delayMs: 100, workerId: 'same'}],
  ] as ReadonlyArray<[number, CrashRecovery]>) {
    const kind = `crash after ${crashDelayMs} ms, back after ${recovery.delayMs} ms under the ${recovery.workerId} ID`;
    it(`fails its job after few starts if each start is followed by a takeover (${kind})`, async () => {
      const scenario = CrashScenario.createCrashing(
        {recovery},
        () => true,
        crashDelayMs,
      );
      const {harness} = scenario;
      await harness.advance(START_MS);
      await scenario.submitCrashing([createSampleStep(1)]);
      let startCount = 0;
      const endMs = harness.clock.getMonotonicMs() + TAKEOVER_SETTLE_MS;
      while (harness.clock.getMonotonicMs() < endMs) {
        await harness.advance(START_POLL_MS);
        if (harness.checker.getStartCount() === startCount) continue;
        startCount = harness.checker.getStartCount();
        scenario.replaceCoordinator();
      }
      await scenario.expectCrashingFailed();
    });
  }

  for (const recovery of [BACK_WITH_NEW_ID, BACK_WITH_SAME_ID]) {
    it(`fails its job after few starts: a gang without a response, back under the ${recovery.workerId} ID`, async () => {
      const scenario = CrashScenario.createCrashing({recovery}, () => true, 0);
      await scenario.harness.advance(START_MS);
      await scenario.submitCrashing([
        createSampleStep(3, {isGang: true, maxPerWorker: 1}),
      ]);
      await scenario.harness.advance(SETTLE_MS);
      await scenario.expectCrashingFailed();
    });
  }

  it('fails its job after few starts if the coordinator changes once, after the second start', async () => {
    const scenario = CrashScenario.createCrashing();
    const {harness} = scenario;
    await harness.advance(START_MS);
    await scenario.submitCrashing([createSampleStep(1)]);
    for (let waitedMs = 0; waitedMs < MAX_PLACEMENT_MS; waitedMs++) {
      if (harness.checker.getStartCount() === 2) break;
      await harness.advance(1);
    }
    scenario.replaceCoordinator();
    await harness.advance(SETTLE_MS);
    await scenario.expectCrashingFailed();
  });

  for (const [kind, steps, isCrashing] of [
    [
      'several tasks of a step',
      [createSampleStep(4)],
      ({taskIndex}) => taskIndex !== 1,
    ],
    ['a long-running task', [createSampleStep(1, {isLongRunning: true})]],
    [
      'one of the long-running tasks of a step',
      [createSampleStep(3, {isLongRunning: true, maxPerWorker: 1})],
      ({taskIndex}) => taskIndex === 1,
    ],
    ['a filler', [createSampleStep(1, {isFiller: true})]],
    ['all members of a gang', [createSampleStep(3, {isGang: true})]],
    [
      'one member of a gang',
      [createSampleStep(3, {isGang: true})],
      ({taskIndex}) => taskIndex === 2,
    ],
    ['a speculative task', [createSampleStep(2, {isSpeculative: true})]],
    [
      'a task of the second step',
      [createSampleStep(4), createSampleStep(2, {dependsOn: [0]})],
      ({stepIndex, taskIndex}) => stepIndex === 1 && taskIndex === 0,
    ],
  ] as ReadonlyArray<
    [string, readonly StepSpec[], ((name: TaskName) => boolean)?]
  >) {
    it(`fails its job after few starts: ${kind}`, async () => {
      const scenario = CrashScenario.createCrashing({}, isCrashing);
      await scenario.harness.advance(START_MS);
      await scenario.submitCrashing(steps);
      await scenario.harness.advance(SETTLE_MS);
      await scenario.expectCrashingFailed();
    });
  }

  for (const workers of [4, WORKER_COUNT]) {
    it(`does not keep jobs on the same ${workers} workers from completing`, async () => {
      const scenario = CrashScenario.createCrashing({workers});
      await scenario.harness.advance(START_MS);
      await scenario.submitCrashing([createSampleStep(2)]);
      await scenario.advanceUnderLoad(20_000);
      await scenario.harness.advance(SETTLE_MS);
      await scenario.expectHarmlessCompleted();
      await scenario.expectCrashingFailed();
    });
  }
});

describe('gangs beside tasks that crash their workers', () => {
  it('complete', async () => {
    const crashingJobIds = new Set<string>();
    const scenario = new CrashScenario({
      workers: 24,
      getCrashDelayMs: taskName => {
        const jobId = parseTaskName(taskName)?.jobId ?? '';
        return crashingJobIds.has(jobId) ? CRASH_DELAY_MS : undefined;
      },
    });
    const {harness} = scenario;
    const gangStep = createSampleStep(3, {isGang: true, estimatedMs: 3_000});
    await harness.advance(START_MS);
    for (let count = 0; count < CRASHING_JOB_COUNT; count++) {
      if (count % 6 === 0) await scenario.submitHarmless([gangStep]);
      const {jobId} = await harness.submit(
        [createSampleStep(1)],
        harness.getHealthyNode(),
      );
      crashingJobIds.add(jobId);
      await scenario.advanceUnderLoad(MODERATE_LOAD.intervalMs);
    }
    await harness.advance(SETTLE_MS);
    await scenario.expectHarmlessCompleted();
  });
});

describe('jobs whose workers crash in waves', () => {
  for (const [fraction, share] of [
    [1 / 3, 'a third'],
    [1 / 2, 'half'],
  ] as const) {
    for (const intervalMs of WAVE_INTERVALS_MS) {
      for (const recovery of [BACK_WITH_NEW_ID, BACK_WITH_SAME_ID]) {
        it(`complete after waves of ${share} of the workers every ${intervalMs} ms, back under the ${recovery.workerId} ID`, async () => {
          const scenario = new CrashScenario();
          await scenario.harness.advance(START_MS);
          await scenario.crashWavesUnderLoad(fraction, recovery, intervalMs);
          await scenario.harness.advance(SETTLE_MS);
          await scenario.expectHarmlessCompleted();
        });
      }

      it(`complete after waves of ${share} of the workers every ${intervalMs} ms while all workers start tasks`, async () => {
        const scenario = new CrashScenario({}, BUSY_LOAD);
        const recovery = BACK_WITH_NEW_ID;
        await scenario.harness.advance(START_MS);
        await scenario.crashWavesUnderLoad(fraction, recovery, intervalMs);
        await scenario.harness.advance(SETTLE_MS);
        await scenario.expectHarmlessCompleted();
      });

      it(`complete after waves of ${share} of the workers every ${intervalMs} ms if their tasks fill all workers`, async () => {
        const scenario = new CrashScenario();
        const recovery = BACK_WITH_NEW_ID;
        await scenario.harness.advance(START_MS);
        await scenario.submitHarmless([WIDE_STEP]);
        await scenario.crashWavesUnderLoad(fraction, recovery, intervalMs);
        await scenario.harness.advance(SETTLE_MS);
        await scenario.expectHarmlessCompleted();
      });
    }

    for (const [otherJobs, load] of [
      ['no other jobs', NO_LOAD],
      ['other jobs', MODERATE_LOAD],
      ['jobs that make all workers start tasks', BUSY_LOAD],
    ] as const) {
      it(`complete beside ${otherJobs} if each wave of ${share} of the workers follows their start`, async () => {
        const scenario = new CrashScenario({}, load);
        const {harness} = scenario;
        await harness.advance(START_MS);
        const jobId = await scenario.submitHarmless([createSampleStep(2)]);
        for (let wave = 0; wave < WAVE_COUNT; wave++) {
          expect(await scenario.advanceUntilRunning(jobId)).to.equal(true);
          await harness.advance(CRASH_DELAY_MS);
          scenario.crashWave(fraction, BACK_WITH_NEW_ID, jobId);
        }
        await harness.advance(SETTLE_MS);
        await scenario.expectHarmlessCompleted();
      });
    }

    it(`complete after waves of ${share} of the workers with takeovers in between`, async () => {
      const scenario = new CrashScenario();
      await scenario.harness.advance(START_MS);
      await scenario.crashWavesUnderLoad(
        fraction,
        BACK_WITH_NEW_ID,
        WAVE_INTERVAL_MS,
        () => scenario.replaceCoordinator(),
      );
      await scenario.harness.advance(SETTLE_MS);
      await scenario.expectHarmlessCompleted();
    });

    it(`complete after waves of ${share} of the workers beside a task that crashes its workers`, async () => {
      const scenario = CrashScenario.createCrashing();
      await scenario.harness.advance(START_MS);
      await scenario.submitCrashing([createSampleStep(2)]);
      await scenario.crashWavesUnderLoad(
        fraction,
        BACK_WITH_NEW_ID,
        WAVE_INTERVAL_MS,
      );
      await scenario.harness.advance(SETTLE_MS);
      await scenario.expectHarmlessCompleted();
      await scenario.expectCrashingFailed();
    });
  }
});

describe('jobs on workers that fail for reasons of their own', () => {
  it('complete after the loss of a rack', async () => {
    const rackIds = ['worker-0', 'worker-1', 'worker-2', 'worker-3'];
    const scenario = new CrashScenario({
      getWorkerKind: workerId => ({
        rack: rackIds.includes(workerId) ? 'rack-1' : 'rack-2',
      }),
    });
    const {harness} = scenario;
    await harness.advance(START_MS);
    await scenario.advanceUnderLoad(3_000);
    harness.crashWorkers(rackIds, {delayMs: 15_000, workerId: 'new'});
    await scenario.advanceUnderLoad(20_000);
    await harness.advance(SETTLE_MS);
    await scenario.expectHarmlessCompleted();
  });

  for (const workerId of ['same', 'new'] as const) {
    it(`complete beside flapping workers, back under the ${workerId} ID`, async () => {
      const scenario = new CrashScenario();
      const {harness} = scenario;
      await harness.advance(START_MS);
      for (let flap = 0; flap < 15; flap++) {
        const [id] = scenario.getWorkerIdsAt(`worker-${flap % 2}:80`);
        harness.crashWorkers([id], {delayMs: 500, workerId});
        await scenario.advanceUnderLoad(1_500);
      }
      await harness.advance(SETTLE_MS);
      await scenario.expectHarmlessCompleted();
    });
  }

  it('complete after the crash of single workers that have just started them', async () => {
    const scenario = new CrashScenario();
    const {harness} = scenario;
    await harness.advance(START_MS);
    for (let crash = 0; crash < WAVE_COUNT; crash++) {
      const jobId = await scenario.submitHarmless([SHORT_STEP, LONG_STEP]);
      expect(await scenario.advanceUntilRunning(jobId)).to.equal(true);
      scenario.crashWave(1 / WORKER_COUNT, BACK_WITH_NEW_ID, jobId);
      await scenario.advanceUnderLoad(2_000);
    }
    await harness.advance(SETTLE_MS);
    await scenario.expectHarmlessCompleted();
  });

  for (const cutMs of [3_000, 9_000]) {
    it(`complete if workers that run on are cut off for ${cutMs} ms, again and again`, async () => {
      const scenario = new CrashScenario();
      const {harness} = scenario;
      await harness.advance(START_MS);
      for (const workerId of [
        'worker-1',
        'worker-4',
        'worker-7',
        'worker-10',
      ]) {
        for (const {linkFaults} of harness.nodes)
          linkFaults.unreachableWorkers.add(workerId);
        await scenario.advanceUnderLoad(cutMs);
        for (const {linkFaults} of harness.nodes)
          linkFaults.unreachableWorkers.clear();
      }
      await harness.advance(SETTLE_MS);
      await scenario.expectHarmlessCompleted();
    });
  }

  it('complete although no call reaches the workers that are to start them until their leases have expired', async () => {
    const workerIds: string[] = [];
    const scenario = new CrashScenario(
      {
        sink: ({name, detail}) => {
          const workerId = /1 tasks on (\S+),/.exec(detail ?? '')?.[1];
          if (name !== 'step-placed' || workerId === undefined) return;
          workerIds.push(workerId);
          cutOff(workerIds.length <= WAVE_COUNT ? [workerId] : []);
        },
      },
      NO_LOAD,
    );
    const {harness} = scenario;
    const cutOff = (unreachableIds: readonly string[]) => {
      for (const {requestBlockedWorkers} of harness.nodes.map(
        node => node.linkFaults,
      )) {
        requestBlockedWorkers.clear();
        for (const workerId of unreachableIds)
          requestBlockedWorkers.add(workerId);
      }
    };
    await harness.advance(START_MS);
    await scenario.submitHarmless([createSampleStep(1)]);
    await harness.advance(SETTLE_MS);
    expect(workerIds).to.have.length(WAVE_COUNT + 1);
    await scenario.expectHarmlessCompleted();
  });

  it('complete if workers drain and exit', async () => {
    const scenario = new CrashScenario();
    const {harness} = scenario;
    await harness.advance(START_MS);
    for (const workerId of ['worker-2', 'worker-5', 'worker-8', 'worker-11']) {
      await scenario.submitHarmless([LONG_STEP]);
      harness.register(workerId, {isDraining: true, drainRemainingMs: 2_500});
      await scenario.advanceUnderLoad(2_500);
      harness.crashWorkers([workerId], {delayMs: 10_000, workerId: 'new'});
    }
    await harness.advance(SETTLE_MS);
    await scenario.expectHarmlessCompleted();
  });
});
