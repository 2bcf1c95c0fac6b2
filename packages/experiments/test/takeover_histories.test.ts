import {expect} from 'chai';
import fc from 'fast-check';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {HarnessNode, JobHarness} from '../src/job_harness.js';

/** Request of a caller, takeover or fault in a random scenario. */
type ActionKind =
  | 'submit'
  | 'kill-coordinator'
  | 'hand-over'
  | 'freeze-coordinator'
  | 'cut-worker'
  | 'cut-worker-from-coordinator'
  | 'block-requests'
  | 'block-responses'
  | 'cut-registration'
  | 'late-calls'
  | 'crash-worker';

const ACTION_KINDS: ActionKind[] = [
  'submit',
  'submit',
  'kill-coordinator',
  'kill-coordinator',
  'hand-over',
  'hand-over',
  'freeze-coordinator',
  'cut-worker',
  'cut-worker-from-coordinator',
  'block-requests',
  'block-responses',
  'cut-registration',
  'late-calls',
  'crash-worker',
];

interface Action {
  readonly kind: ActionKind;
  readonly workerIndex: number;
  /** Duration of a fault. */
  readonly durationMs: number;
  /** Time until the next action. */
  readonly pauseMs: number;
}

const WORKER_COUNT = 5;
const NODE_COUNT = 4;
const MAX_ACTIONS = 30;
const MAX_PAUSE_MS = 2_500;
const MAX_FAULT_MS = 12_000;

/** Number of scenarios; more are run by hand with another seed. */
const SCENARIO_COUNT = Number(process.env['TAKEOVER_RUNS'] ?? 60);
const SEED = Number(process.env['TAKEOVER_SEED'] ?? 32);

/** Time for the first election. */
const START_MS = 2_500;

/** Time after the last action in which all jobs must have completed. */
const SETTLE_MS = 60_000;

/** Duration of the tasks, about that of a release. */
const TASK_MS = 9_000;

/** Delay of late calls, up to which leases reach. */
const LATE_MS = 4_000;

/** Performs actions against a deployment, each of which ends by itself. */
class TakeoverScenario {
  readonly harness: JobHarness;
  private nextNodeIndex = NODE_COUNT;

  constructor(seed: number) {
    this.harness = JobHarness.create({
      nodes: NODE_COUNT,
      workers: WORKER_COUNT,
      seed,
      workerClockRate: 0.98,
    });
  }

  async run(actions: readonly Action[]): Promise<string[]> {
    const jobIds: string[] = [];
    await this.harness.advance(START_MS);
    jobIds.push(this.submit());
    for (const action of actions) {
      if (action.kind === 'submit') jobIds.push(this.submit());
      else this.perform(action);
      await this.harness.advance(action.pauseMs);
    }
    await this.harness.advance(MAX_FAULT_MS + SETTLE_MS);
    return jobIds;
  }

  private submit(): string {
    const steps = [createSampleStep(3, {estimatedMs: TASK_MS})];
    return this.harness.submitWithoutWaiting(steps, SAMPLE_QUEUE);
  }

  private perform({kind, workerIndex, durationMs}: Action): void {
    const {harness} = this;
    const workerId = `worker-${workerIndex}`;
    const coordinator = harness.getCoordinator();
    switch (kind) {
      case 'kill-coordinator':
        if (coordinator === undefined) return;
        harness.killNode(coordinator);
        harness.addNode(`node-${this.nextNodeIndex++}`);
        return;
      case 'hand-over':
        if (coordinator !== undefined) this.handOver(coordinator);
        return;
      case 'freeze-coordinator':
        if (coordinator !== undefined)
          harness.freezeNode(coordinator, durationMs);
        return;
      case 'cut-worker':
        this.cutWorker(workerId, harness.nodes, durationMs);
        return;
      case 'cut-worker-from-coordinator':
        if (coordinator !== undefined)
          this.cutWorker(workerId, [coordinator], durationMs);
        return;
      case 'block-requests':
        for (const {linkFaults} of harness.nodes)
          this.addFor(linkFaults.requestBlockedWorkers, workerId, durationMs);
        return;
      case 'block-responses':
        for (const {linkFaults} of harness.nodes)
          this.addFor(linkFaults.responseBlockedWorkers, workerId, durationMs);
        return;
      case 'cut-registration':
        harness.unregister(workerId);
        harness.clock.setTimer(durationMs, () => this.register(workerId));
        return;
      case 'late-calls':
        for (const {linkFaults} of harness.nodes)
          Object.assign(linkFaults, {
            applyNextLate: 2,
            renewNextLate: 2,
            lateMs: LATE_MS,
          });
        return;
      case 'crash-worker':
        harness.restartWorker(workerId, {delayMs: durationMs});
        return;
      default:
        throw new Error(`unknown action ${kind}`);
    }
  }

  private handOver(coordinator: HarnessNode): void {
    void coordinator.role.stop();
    this.harness.nodes.splice(this.harness.nodes.indexOf(coordinator), 1);
    this.harness.addNode(`node-${this.nextNodeIndex++}`);
  }

  private cutWorker(
    workerId: string,
    nodes: readonly HarnessNode[],
    durationMs: number,
  ): void {
    for (const {linkFaults} of nodes)
      this.addFor(linkFaults.unreachableWorkers, workerId, durationMs);
  }

  private addFor(
    workerIds: Set<string>,
    workerId: string,
    durationMs: number,
  ): void {
    workerIds.add(workerId);
    this.harness.clock.setTimer(durationMs, () => workerIds.delete(workerId));
  }

  private register(workerId: string): void {
    if (this.harness.workers.get(workerId)?.isUp())
      this.harness.register(workerId);
  }
}

const ACTIONS = fc.array(
  fc.record({
    kind: fc.constantFrom(...ACTION_KINDS),
    workerIndex: fc.integer({min: 0, max: WORKER_COUNT - 1}),
    durationMs: fc.integer({min: 500, max: MAX_FAULT_MS}),
    pauseMs: fc.integer({min: 0, max: MAX_PAUSE_MS}),
  }),
  {minLength: 12, maxLength: MAX_ACTIONS},
);

describe('jobs under random sequences of takeovers and cut workers', () => {
  it('run no task twice and complete', async () => {
    await fc.assert(
      fc.asyncProperty(
        ACTIONS,
        fc.integer({min: 1, max: 1_000_000}),
        async (actions, seed) => {
          const scenario = new TakeoverScenario(seed);
          const jobIds = await scenario.run(actions);
          const {harness} = scenario;
          expect(harness.checker.violations).to.deep.equal([]);
          for (const jobId of jobIds) {
            const phase = await harness.getPhase(jobId);
            // The submission itself may have failed.
            expect(phase, jobId).to.be.oneOf(['completed', undefined]);
          }
        },
      ),
      {seed: SEED, numRuns: SCENARIO_COUNT, endOnFailure: true},
    );
  });
});
