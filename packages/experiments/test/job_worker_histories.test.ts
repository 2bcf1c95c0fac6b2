import {expect} from 'chai';
import fc from 'fast-check';
import {StepSpec} from '@mustardlug/jobs/job_spec';
import {WorkerKind} from '@mustardlug/standins/job_worker_model';
import {
  createDefaultJobWorkerLinkFaults,
  JobWorkerLinkFaults,
} from '@mustardlug/standins/model_job_worker_client';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {JobHarness} from '../src/job_harness.js';

/** Request of a caller, or fault, in a random scenario. */
type ActionKind =
  | 'submit-dependent-steps'
  | 'submit-limited-step'
  | 'submit-labelled-step'
  | 'submit-gang'
  | 'submit-long-running-step'
  | 'cancel'
  | 'kill-coordinator'
  | 'freeze-coordinator'
  | 'restart-worker'
  | 'restart-other-kind'
  | 'restart-half-and-kill-coordinator'
  | 'lapse-registration'
  | 'outdated-registration'
  | 'late-commands'
  | 'late-calls'
  | 'late-leases'
  | 'lossy-path'
  | 'block-requests'
  | 'block-responses'
  | 'partition-worker'
  | 'refuse-starts'
  | 'clear-faults';

interface Action {
  readonly kind: ActionKind;
  readonly workerIndex: number;
  /** Delay of a restart. */
  readonly restartMs: number;
  /** Duration of a freeze. */
  readonly freezeMs: number;
  /** Time until the next action. */
  readonly pauseMs: number;
}

const REQUESTS: ActionKind[] = [
  'submit-dependent-steps',
  'submit-limited-step',
  'submit-labelled-step',
  'submit-gang',
  'submit-long-running-step',
  'cancel',
];

const RESTARTS: ActionKind[] = [
  ...REQUESTS,
  'restart-worker',
  'restart-worker',
  'restart-half-and-kill-coordinator',
  'kill-coordinator',
  'lapse-registration',
  'outdated-registration',
  'clear-faults',
];

const NETWORK_FAULTS: ActionKind[] = [
  'late-commands',
  'late-calls',
  'lossy-path',
  'block-requests',
  'block-responses',
  'partition-worker',
  'refuse-starts',
];

const WORKER_COUNT = 4;
const MAX_ACTIONS = 40;
const MAX_RESTART_MS = 1_500;
const MAX_FREEZE_MS = 9_000;
const MAX_PAUSE_MS = 400;

/** Time for the first election. */
const START_MS = 2_500;

/** Time after the last action in which all jobs must have ended. */
const SETTLE_MS = 60_000;

/** Numbers of the first run of a task in the first term and in the second one. */
const FIRST_RUN_NUMBERS = [1, 1_000_001];

const DURATION_MS = 400;

const STEPS: Partial<Record<ActionKind, readonly StepSpec[]>> = {
  'submit-dependent-steps': [
    createSampleStep(4, {estimatedMs: DURATION_MS}),
    createSampleStep(2, {estimatedMs: DURATION_MS, dependsOn: [0]}),
  ],
  'submit-limited-step': [
    createSampleStep(6, {maxPerWorker: 1, estimatedMs: 2 * DURATION_MS}),
  ],
  'submit-labelled-step': [createSampleStep(3, {requiredLabel: 'fast'})],
  'submit-gang': [createSampleStep(3, {isGang: true})],
  'submit-long-running-step': [
    createSampleStep(2, {isLongRunning: true, maxPerWorker: 1}),
  ],
};

/** Runs a sequence of actions against a deployment whose stops take time. */
class WorkerFaultScenario {
  readonly harness: JobHarness;
  /** IDs of the accepted jobs. */
  readonly acceptedJobIds: string[] = [];
  /** IDs of the accepted jobs for which a cancellation was requested. */
  readonly cancelRequestedIds = new Set<string>();
  private readonly longRunningIds: string[] = [];
  private nextNodeIndex = 3;

  constructor(seed: number) {
    this.harness = JobHarness.create({
      workers: WORKER_COUNT,
      seed,
      workerClockRate: 0.98,
      getWorkerKind: workerId =>
        workerId === 'worker-0' ? {labels: []} : {labels: ['fast']},
      isFailing: (taskName, runNumber) =>
        FIRST_RUN_NUMBERS.includes(runNumber) && taskName.endsWith('.1'),
    });
    for (const {behavior} of this.harness.workers.values())
      behavior.stopMs = 100;
  }

  async run(actions: readonly Action[]): Promise<void> {
    await this.harness.advance(START_MS);
    for (const action of actions) {
      await this.perform(action);
      await this.harness.advance(action.pauseMs);
    }
    this.clearFaults();
    for (const jobId of this.longRunningIds) await this.cancel(jobId);
    await this.harness.advance(SETTLE_MS);
  }

  private async perform(action: Action): Promise<void> {
    const {harness} = this;
    const {kind, workerIndex, restartMs, freezeMs} = action;
    const workerId = `worker-${workerIndex}`;
    const steps = STEPS[kind];
    if (steps !== undefined) return this.submit(steps);
    switch (kind) {
      case 'cancel':
        return this.cancelLatest();
      case 'kill-coordinator':
        return this.killCoordinator();
      case 'freeze-coordinator': {
        const coordinator = harness.getCoordinator();
        if (coordinator !== undefined)
          harness.freezeNode(coordinator, freezeMs);
        return;
      }
      case 'restart-worker':
        harness.restartWorker(workerId, {delayMs: restartMs});
        return;
      case 'restart-other-kind':
        this.restartAsOtherKind(workerId, restartMs);
        return;
      case 'restart-half-and-kill-coordinator': {
        const other = `worker-${(workerIndex + 1) % WORKER_COUNT}`;
        harness.restartWorker(workerId, {delayMs: restartMs});
        harness.restartWorker(other, {delayMs: MAX_RESTART_MS - restartMs});
        return this.killCoordinator();
      }
      case 'lapse-registration':
        harness.unregister(workerId);
        return;
      case 'outdated-registration':
        harness.restartWorker(workerId, {
          delayMs: restartMs,
          registration: 'outdated',
        });
        return;
      case 'late-commands':
        this.setLinkFaults({
          applyNextLate: 4,
          lateMs: 2_000,
          maxLateMs: 12_000,
        });
        return;
      case 'late-calls':
        this.setLinkFaults({
          lateProbability: 0.5,
          lateMs: 2_000,
          maxLateMs: 12_000,
        });
        return;
      case 'late-leases':
        this.setLinkFaults({
          lateProbability: 0.5,
          lateMs: 2_000,
          maxLateMs: 12_000,
          shiftsLateLeases: true,
        });
        return;
      case 'lossy-path':
        this.setLinkFaults({lossProbability: 0.3});
        return;
      case 'block-requests':
        for (const {linkFaults} of harness.nodes)
          linkFaults.requestBlockedWorkers.add(workerId);
        return;
      case 'block-responses':
        for (const {linkFaults} of harness.nodes)
          linkFaults.responseBlockedWorkers.add(workerId);
        return;
      case 'partition-worker':
        for (const {linkFaults} of harness.nodes)
          linkFaults.unreachableWorkers.add(workerId);
        return;
      case 'refuse-starts':
        this.refuseStarts(workerId, workerIndex % 2 === 0);
        return;
      default:
        this.clearFaults();
    }
  }

  private async submit(steps: readonly StepSpec[]): Promise<void> {
    const node = this.harness.getHealthyNode();
    const {jobId, outcome} = await this.harness.submit(steps, node);
    if (outcome.isErr()) return;
    this.acceptedJobIds.push(jobId);
    if (steps.some(step => step.isLongRunning)) this.longRunningIds.push(jobId);
  }

  private async cancelLatest(): Promise<void> {
    const jobId = this.acceptedJobIds.at(-1);
    if (jobId !== undefined) await this.cancel(jobId);
  }

  private async cancel(jobId: string): Promise<void> {
    // The cancellation may take effect even when the request fails.
    this.cancelRequestedIds.add(jobId);
    await this.harness.cancel(jobId);
  }

  private killCoordinator(): void {
    const coordinator = this.harness.getCoordinator();
    if (coordinator === undefined) return;
    this.harness.killNode(coordinator);
    this.harness.addNode(`node-${this.nextNodeIndex++}`);
  }

  private refuseStarts(workerId: string, isHealthy: boolean): void {
    const behavior = this.harness.workers.get(workerId)?.behavior;
    if (behavior !== undefined)
      behavior.startRefusal = isHealthy ? 'no-room' : 'unhealthy';
  }

  private restartAsOtherKind(workerId: string, delayMs: number): void {
    // One worker with the label remains, so that all jobs can complete.
    if (workerId === 'worker-3') return;
    const kind = this.getOtherKind(workerId);
    this.harness.restartWorker(workerId, {delayMs, kind});
  }

  private getOtherKind(workerId: string): WorkerKind {
    const labels = this.harness.workers.get(workerId)?.getRecord().labels ?? [];
    return labels.length > 0
      ? {
          labels: [],
          capacity: {cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0},
        }
      : {
          labels: ['fast'],
          capacity: {cpuMillis: 8_000, memoryMb: 64_000, accelerators: 0},
        };
  }

  private setLinkFaults(faults: Partial<JobWorkerLinkFaults>): void {
    for (const {linkFaults} of this.harness.nodes)
      Object.assign(linkFaults, faults);
  }

  private clearFaults(): void {
    const {nodes, workers} = this.harness;
    for (const {linkFaults} of nodes)
      Object.assign(linkFaults, createDefaultJobWorkerLinkFaults());
    for (const [workerId, worker] of workers) {
      worker.behavior.startRefusal = undefined;
      if (worker.isUp()) this.harness.register(workerId);
    }
  }
}

function createActions(kinds: readonly ActionKind[]): fc.Arbitrary<Action[]> {
  const action = fc.record({
    kind: fc.constantFrom(...kinds),
    workerIndex: fc.integer({min: 0, max: WORKER_COUNT - 1}),
    restartMs: fc.integer({min: 0, max: MAX_RESTART_MS}),
    freezeMs: fc.integer({min: 500, max: MAX_FREEZE_MS}),
    pauseMs: fc.integer({min: 0, max: MAX_PAUSE_MS}),
  });
  return fc.array(action, {minLength: 20, maxLength: MAX_ACTIONS});
}

async function expectInvariants(
  actions: readonly Action[],
  seed: number,
): Promise<void> {
  const scenario = new WorkerFaultScenario(seed);
  await scenario.run(actions);
  const {harness} = scenario;
  expect(harness.checker.violations).to.deep.equal([]);
  for (const jobId of scenario.acceptedJobIds) {
    const allowed = scenario.cancelRequestedIds.has(jobId)
      ? ['completed', 'cancelled']
      : ['completed'];
    expect(await harness.getPhase(jobId), jobId).to.be.oneOf(allowed);
  }
}

/** Faults of workers, nodes and the paths between them. */
const HISTORIES: Array<{title: string; kinds: ActionKind[]; seed: number}> = [
  {title: 'restarts of workers', kinds: RESTARTS, seed: 1},
  {
    title: 'restarts of workers and network faults',
    kinds: [...RESTARTS, ...NETWORK_FAULTS],
    seed: 2,
  },
  {
    title: 'restarts of workers, network faults and frozen coordinators',
    kinds: [...RESTARTS, ...NETWORK_FAULTS, 'freeze-coordinator'],
    seed: 3,
  },
  {
    title: 'restarts as another kind of worker',
    kinds: [...RESTARTS, 'restart-other-kind', 'restart-other-kind'],
    seed: 4,
  },
  {
    title: 'late calls whose lease time counts from their arrival',
    kinds: [...RESTARTS, ...NETWORK_FAULTS, 'late-leases', 'late-leases'],
    seed: 5,
  },
  {
    title: 'network faults without restarts',
    kinds: [...REQUESTS, ...NETWORK_FAULTS, 'clear-faults'],
    seed: 6,
  },
];

const SCENARIO_COUNT = 120;

for (const {title, kinds, seed} of HISTORIES) {
  describe(`jobs under random sequences of ${title}`, () => {
    it('maintain the invariants and complete once accepted', async () => {
      await fc.assert(
        fc.asyncProperty(
          createActions(kinds),
          fc.integer({min: 1, max: 1_000_000}),
          expectInvariants,
        ),
        // The reported path allows a failing scenario to be replayed and shrunk.
        {seed, numRuns: SCENARIO_COUNT, endOnFailure: true},
      );
    });
  });
}
