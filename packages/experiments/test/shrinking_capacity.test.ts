import {expect} from 'chai';
import {ResourceRequirements, StepSpec} from '@mustardlug/jobs/job_spec';
import {
  createDefaultJobWorkerLinkFaults,
  JobWorkerLinkFaults,
} from '@mustardlug/standins/model_job_worker_client';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import * as fc from 'fast-check';
import {JobHarness, JobHarnessOptions} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

/** Time in which a task is placed and its start command is answered. */
const PLACEMENT_MS = 500;

/** Time in which a placement is stored and its first start command is sent. */
const STORAGE_MS = 20;

/** Time in which a worker that can be reached again responds to a renewal. */
const RENEWAL_RETRY_MS = 1_000;

/** Time after which the registration shows a capacity that has changed. */
const REGISTRATION_DELAY_MS = 50;

/** Time after which a smaller capacity counts. */
const CAPACITY_BOUND_MS = 4_500;

/** Time in which leases expire and all tasks run. */
const SETTLE_MS = 25_000;

/** Duration of tasks that outlast a scenario. */
const LONG_TASK_MS = 12_000;

const FULL: ResourceRequirements = {
  cpuMillis: 8_000,
  memoryMb: 64_000,
  accelerators: 0,
};

const HALF: ResourceRequirements = {...FULL, cpuMillis: 4_000};

/** Needs of a task that fits on a worker of full capacity only. */
const LARGE_NEEDS: ResourceRequirements = {
  cpuMillis: 6_000,
  memoryMb: 1_000,
  accelerators: 0,
};

async function createHarness(
  options: JobHarnessOptions = {},
): Promise<JobHarness> {
  const harness = JobHarness.create({workers: 1, nodes: 1, ...options});
  await harness.advance(START_MS);
  return harness;
}

async function submit(
  harness: JobHarness,
  taskCount: number,
  fields: Partial<StepSpec>,
): Promise<string> {
  const steps = [createSampleStep(taskCount, fields)];
  const {jobId, outcome} = await harness.submit(steps);
  expect(outcome.isOk()).to.equal(true);
  return jobId;
}

/** Gives the worker its full capacity again, and expects that the jobs complete. */
async function growAndExpectCompletion(
  harness: JobHarness,
  jobIds: readonly string[],
): Promise<void> {
  harness.resizeWorker('worker-0', FULL);
  await harness.advance(SETTLE_MS);
  expect(harness.checker.violations).to.deep.equal([]);
  for (const jobId of jobIds)
    expect(await harness.getPhase(jobId)).to.equal('completed');
}

describe('a worker whose capacity shrinks', () => {
  it('is not told to start a run that was placed before, once the run is stored', async () => {
    const harness = await createHarness();
    const jobId = await submit(harness, 1, {needs: LARGE_NEEDS});
    const {storeFaults} = harness.nodes[0];
    Object.assign(storeFaults, {applyNextLate: 1_000, lateMs: 60_000});
    await harness.advance(50);
    harness.resizeWorker('worker-0', HALF);
    await harness.advance(CAPACITY_BOUND_MS + 100);
    storeFaults.applyNextLate = 0;
    await harness.advance(PLACEMENT_MS);
    await growAndExpectCompletion(harness, [jobId]);
  });

  it('is not told again to start a run for which it has no room any more', async () => {
    const harness = await createHarness();
    const {requestBlockedWorkers} = harness.nodes[0].linkFaults;
    const jobId = await submit(harness, 1, {needs: LARGE_NEEDS});
    requestBlockedWorkers.add('worker-0');
    harness.resizeWorker('worker-0', HALF, REGISTRATION_DELAY_MS);
    await harness.advance(CAPACITY_BOUND_MS);
    requestBlockedWorkers.delete('worker-0');
    await harness.advance(RENEWAL_RETRY_MS);
    await growAndExpectCompletion(harness, [jobId]);
  });

  it('is not told again to start a run while its registration cannot be read', async () => {
    const harness = await createHarness();
    const {requestBlockedWorkers} = harness.nodes[0].linkFaults;
    const jobId = await submit(harness, 1, {needs: LARGE_NEEDS});
    requestBlockedWorkers.add('worker-0');
    await harness.advance(STORAGE_MS);
    harness.store.faults.isSilent = true;
    harness.resizeWorker('worker-0', HALF);
    await harness.advance(CAPACITY_BOUND_MS - 100);
    requestBlockedWorkers.delete('worker-0');
    await harness.advance(RENEWAL_RETRY_MS);
    harness.store.faults.isSilent = false;
    await growAndExpectCompletion(harness, [jobId]);
  });

  it('is not told to start a run when a frozen coordinator continues', async () => {
    for (let frozenAtMs = 0; frozenAtMs < STORAGE_MS; frozenAtMs++) {
      const harness = await createHarness();
      const jobId = await submit(harness, 1, {needs: LARGE_NEEDS});
      await harness.advance(frozenAtMs);
      harness.freezeNode(harness.nodes[0], CAPACITY_BOUND_MS + 300);
      harness.resizeWorker('worker-0', HALF);
      await harness.advance(CAPACITY_BOUND_MS + PLACEMENT_MS);
      await growAndExpectCompletion(harness, [jobId]);
    }
  });

  it('keeps its runs and gets no filler while they exceed it', async () => {
    const harness = await createHarness();
    const serving = await submit(harness, 4, {isLongRunning: true});
    await harness.advance(PLACEMENT_MS);
    harness.resizeWorker('worker-0', HALF);
    await harness.advance(CAPACITY_BOUND_MS);
    const needs = {cpuMillis: 300, memoryMb: 100, accelerators: 0};
    const filler = await submit(harness, 1, {isFiller: true, needs});
    await harness.advance(PLACEMENT_MS);
    expect(harness.workers.get('worker-0')?.getRunCount()).to.equal(4);
    await growAndExpectCompletion(harness, [filler]);
    await harness.cancel(serving);
  });

  it('gets nothing from the next coordinator before its runs fit', async () => {
    const harness = await createHarness({nodes: 3});
    const running = await submit(harness, 4, {estimatedMs: LONG_TASK_MS});
    await harness.advance(PLACEMENT_MS);
    harness.resizeWorker('worker-0', HALF);
    const coordinator = harness.getCoordinator();
    if (coordinator !== undefined) harness.killNode(coordinator);
    await harness.advance(CAPACITY_BOUND_MS);
    const waiting = await submit(harness, 3, {});
    await harness.advance(PLACEMENT_MS);
    expect(harness.workers.get('worker-0')?.getRunCount()).to.equal(4);
    await growAndExpectCompletion(harness, [running, waiting]);
  });

  for (const guardsCapacity of [false, true]) {
    const kind = guardsCapacity ? 'guards' : "doesn't guard";
    it(`runs what fits if it ${kind} its capacity`, async () => {
      const harness = await createHarness({
        guardsCapacity: () => guardsCapacity,
      });
      harness.resizeWorker('worker-0', HALF);
      await harness.advance(CAPACITY_BOUND_MS);
      const jobId = await submit(harness, 8, {});
      await harness.advance(PLACEMENT_MS);
      expect(harness.workers.get('worker-0')?.getRunCount()).to.equal(2);
      harness.resizeWorker('worker-0', FULL);
      await harness.advance(PLACEMENT_MS);
      expect(harness.workers.get('worker-0')?.getRunCount()).to.equal(4);
      await growAndExpectCompletion(harness, [jobId]);
    });
  }
});

/** Request of a caller, change of a capacity, or fault, in a random history. */
type ActionKind =
  | 'submit-tasks'
  | 'submit-large-tasks'
  | 'submit-fillers'
  | 'submit-long-running-tasks'
  | 'submit-gang'
  | 'resize-worker'
  | 'crash-worker'
  | 'kill-coordinator'
  | 'freeze-coordinator'
  | 'delay-commits'
  | 'late-commands'
  | 'lossy-path'
  | 'block-requests'
  | 'clear-faults';

interface Action {
  readonly kind: ActionKind;
  readonly workerIndex: number;
  /** New capacity as a fraction of the full one. */
  readonly capacityShare: number;
  /** Delay of a restart, or of the registration that shows a new capacity. */
  readonly delayMs: number;
  readonly freezeMs: number;
  /** Time until the next action. */
  readonly pauseMs: number;
}

const ACTION_KINDS: ActionKind[] = [
  'submit-tasks',
  'submit-large-tasks',
  'submit-fillers',
  'submit-long-running-tasks',
  'submit-gang',
  'resize-worker',
  'resize-worker',
  'resize-worker',
  'resize-worker',
  'crash-worker',
  'kill-coordinator',
  'delay-commits',
  'delay-commits',
  'delay-commits',
  'late-commands',
  'lossy-path',
  'block-requests',
  'clear-faults',
];

const STEPS: Partial<Record<ActionKind, StepSpec>> = {
  'submit-tasks': createSampleStep(30, {estimatedMs: 600}),
  'submit-large-tasks': createSampleStep(4, {needs: LARGE_NEEDS}),
  'submit-fillers': createSampleStep(4, {
    isFiller: true,
    needs: {cpuMillis: 500, memoryMb: 12_000, accelerators: 0},
  }),
  'submit-long-running-tasks': createSampleStep(2, {isLongRunning: true}),
  'submit-gang': createSampleStep(3, {isGang: true}),
};

/** Work that fills all workers. */
const BACKGROUND_STEP = createSampleStep(120, {estimatedMs: 500});

const WORKER_COUNT = 4;
const MIN_ACTIONS = 15;
const MAX_ACTIONS = 30;
const HISTORY_COUNT = 40;

/** Maximum delay of a restart; one heartbeat for the registration of a capacity. */
const MAX_DELAY_MS = 1_500;
const MAX_FREEZE_MS = 9_000;
const MAX_PAUSE_MS = 400;

/** Time by which commits take effect late. */
const COMMIT_DELAY_MS = 500;

/** Time that a worker takes to stop a run. */
const STOP_MS = 300;

/** Time after the last action in which all jobs must have ended. */
const HISTORY_SETTLE_MS = 60_000;

interface HistorySettings {
  readonly title: string;
  readonly kinds: readonly ActionKind[];
  /** Time after which the checker applies a smaller capacity. */
  readonly capacityBoundMs: number;
  /** Whether a registration shows a new capacity without a delay. */
  readonly isRegisteredAtOnce: boolean;
  readonly seed: number;
}

const HISTORIES: HistorySettings[] = [
  {
    title: 'faults and frozen coordinators',
    kinds: [...ACTION_KINDS, 'freeze-coordinator'],
    capacityBoundMs: CAPACITY_BOUND_MS,
    isRegisteredAtOnce: false,
    seed: 1,
  },
  {
    title: 'faults, where all coordinators know each capacity at once',
    kinds: ACTION_KINDS,
    capacityBoundMs: 50,
    isRegisteredAtOnce: true,
    seed: 2,
  },
];

/** Runs a sequence of actions on workers of which every second one guards its capacity. */
class CapacityHistory {
  readonly harness: JobHarness;
  /** IDs of the accepted jobs. */
  readonly acceptedJobIds: string[] = [];
  readonly longRunningIds: string[] = [];
  private nextNodeIndex = 3;

  constructor(
    seed: number,
    private readonly settings: HistorySettings,
  ) {
    this.harness = JobHarness.create({
      workers: WORKER_COUNT,
      seed,
      workerClockRate: 0.98,
      guardsCapacity: workerId => Number(workerId.split('-')[1]) % 2 === 1,
    });
    this.harness.checker.capacityBoundMs = settings.capacityBoundMs;
    for (const {behavior} of this.harness.workers.values())
      behavior.stopMs = STOP_MS;
  }

  async run(actions: readonly Action[]): Promise<void> {
    await this.harness.advance(START_MS);
    await this.submit(BACKGROUND_STEP);
    for (const action of actions) {
      await this.perform(action);
      await this.harness.advance(action.pauseMs);
    }
    this.clearFaults();
    for (const workerId of this.harness.workers.keys())
      this.harness.resizeWorker(workerId, FULL);
    for (const jobId of this.longRunningIds) await this.harness.cancel(jobId);
    await this.harness.advance(HISTORY_SETTLE_MS);
  }

  private async perform(action: Action): Promise<void> {
    const {harness} = this;
    const workerId = `worker-${action.workerIndex}`;
    const step = STEPS[action.kind];
    if (step !== undefined) return this.submit(step);
    switch (action.kind) {
      case 'resize-worker':
        harness.resizeWorker(
          workerId,
          getShare(action.capacityShare),
          this.settings.isRegisteredAtOnce ? 0 : action.delayMs,
        );
        return;
      case 'crash-worker':
        harness.restartWorker(workerId, {delayMs: action.delayMs});
        return;
      case 'kill-coordinator': {
        const coordinator = harness.getCoordinator();
        if (coordinator === undefined) return;
        harness.killNode(coordinator);
        harness.addNode(`node-${this.nextNodeIndex++}`);
        return;
      }
      case 'freeze-coordinator': {
        const coordinator = harness.getCoordinator();
        if (coordinator !== undefined)
          harness.freezeNode(coordinator, action.freezeMs);
        return;
      }
      case 'delay-commits': {
        const faults = {applyNextLate: 5, lateMs: COMMIT_DELAY_MS};
        Object.assign(harness.getCoordinator()?.storeFaults ?? {}, faults);
        return;
      }
      case 'late-commands':
        this.setLinkFaults({
          applyNextLate: 4,
          lateMs: 1_000,
          maxLateMs: 12_000,
        });
        return;
      case 'lossy-path':
        this.setLinkFaults({lossProbability: 0.3});
        return;
      case 'block-requests':
        for (const {linkFaults} of harness.nodes)
          linkFaults.requestBlockedWorkers.add(workerId);
        return;
      default:
        this.clearFaults();
    }
  }

  private async submit(step: StepSpec): Promise<void> {
    const node = this.harness.getHealthyNode();
    const {jobId, outcome} = await this.harness.submit([step], node);
    if (outcome.isErr()) return;
    this.acceptedJobIds.push(jobId);
    if (step.isLongRunning) this.longRunningIds.push(jobId);
  }

  private setLinkFaults(faults: Partial<JobWorkerLinkFaults>): void {
    for (const {linkFaults} of this.harness.nodes)
      Object.assign(linkFaults, faults);
  }

  private clearFaults(): void {
    for (const {linkFaults} of this.harness.nodes)
      Object.assign(linkFaults, createDefaultJobWorkerLinkFaults());
  }
}

function getShare(share: number): ResourceRequirements {
  return {
    cpuMillis: Math.round(FULL.cpuMillis * share),
    memoryMb: Math.round(FULL.memoryMb * share),
    accelerators: 0,
  };
}

function createActions(kinds: readonly ActionKind[]): fc.Arbitrary<Action[]> {
  const action = fc.record({
    kind: fc.constantFrom(...kinds),
    workerIndex: fc.integer({min: 0, max: WORKER_COUNT - 1}),
    capacityShare: fc.constantFrom(0.25, 0.5, 0.75, 1),
    delayMs: fc.integer({min: 0, max: MAX_DELAY_MS}),
    freezeMs: fc.integer({min: 500, max: MAX_FREEZE_MS}),
    pauseMs: fc.integer({min: 0, max: MAX_PAUSE_MS}),
  });
  return fc.array(action, {minLength: MIN_ACTIONS, maxLength: MAX_ACTIONS});
}

async function expectInvariants(
  settings: HistorySettings,
  actions: readonly Action[],
  seed: number,
): Promise<void> {
  const history = new CapacityHistory(seed, settings);
  await history.run(actions);
  const {harness} = history;
  expect(harness.checker.violations).to.deep.equal([]);
  for (const jobId of history.acceptedJobIds) {
    const expected = history.longRunningIds.includes(jobId)
      ? 'cancelled'
      : 'completed';
    expect(await harness.getPhase(jobId), jobId).to.equal(expected);
  }
}

for (const settings of HISTORIES) {
  describe(`jobs under random capacities that shrink and grow, and ${settings.title}`, () => {
    it('maintain the invariants and complete once accepted', async () => {
      await fc.assert(
        fc.asyncProperty(
          createActions(settings.kinds),
          fc.integer({min: 1, max: 1_000_000}),
          (actions, seed) => expectInvariants(settings, actions, seed),
        ),
        // The reported path allows a failing history to be replayed and shrunk.
        {seed: settings.seed, numRuns: HISTORY_COUNT, endOnFailure: true},
      );
    });
  });
}
