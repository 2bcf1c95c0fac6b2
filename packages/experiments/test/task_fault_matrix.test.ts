import {expect} from 'chai';
import {
  createDocument,
  createJob,
  createService,
  SchedulerHarness,
  SchedulerNode,
  TASK_STEPS,
  TaskStep,
} from '../src/scheduler_harness.js';

const FAULTS = [
  'kill-scheduler',
  'suspend-scheduler',
  'partition-workers',
  'lose-response',
  'late-write',
  'table-outage',
  'lose-worker-response',
  'worker-dies',
  'worker-reboots',
  'kill-scheduler-and-lose-response',
  'suspend-scheduler-and-late-write',
  'table-outage-and-worker-dies',
] as const;
type Fault = (typeof FAULTS)[number];

const SEED = 3;
const TASK_COUNT = 24;
const REPLICA_COUNT = 4;
const SUSPENSION_MS = 15_000;
const OUTAGE_MS = 20_000;
const CHECK_INTERVAL_MS = 100;
const RUN_MS = 60_000;
/** Longer than schedulers take to detect that a worker no longer exists. */
const SETTLE_MS = 150_000;

/** One combination of step and fault. */
class MatrixCase {
  readonly harness = SchedulerHarness.create({
    seed: SEED,
    schedulers: 3,
    workers: 5,
    document: createDocument({
      services: [createService(REPLICA_COUNT)],
      batchJobs: [createJob(TASK_COUNT)],
    }),
  });
  readonly duplicateRuns: string[] = [];
  isFaultInjected = false;

  constructor(
    private readonly step: TaskStep,
    private readonly fault: Fault,
  ) {}

  /** Runs the tasks. One worker is marked as leaving for a while, so that tasks are evicted. */
  async run(): Promise<void> {
    const {harness} = this;
    harness.setStepHook((step, node) => this.handleStep(step, node));
    await this.advance(4_000);
    this.setLeaving(true);
    await this.advance(RUN_MS);
    this.setLeaving(false);
    await this.advance(SETTLE_MS);
  }

  private setLeaving(isLeaving: boolean): void {
    const model = this.harness.models.get('worker-0');
    if (model !== undefined) model.behavior.isLeaving = isLeaving;
  }

  private async advance(durationMs: number): Promise<void> {
    for (let elapsed = 0; elapsed < durationMs; elapsed += CHECK_INTERVAL_MS) {
      await this.harness.clock.advance(CHECK_INTERVAL_MS);
      this.duplicateRuns.push(...this.harness.getDuplicateRuns());
    }
  }

  private handleStep(step: TaskStep, node: SchedulerNode): void {
    if (this.isFaultInjected || step !== this.step) return;
    this.isFaultInjected = true;
    this.injectFault(node);
  }

  private injectFault(node: SchedulerNode): void {
    const {harness} = this;
    const {faults} = harness.table;
    switch (this.fault) {
      case 'kill-scheduler':
        return harness.killNode(node);
      case 'suspend-scheduler':
        return this.suspend(node);
      case 'partition-workers':
        return this.partitionWorkers(node);
      case 'lose-response':
        faults.loseNextAnswers = 1;
        return;
      case 'late-write':
        faults.applyNextLate = 1;
        return;
      case 'table-outage':
        return this.startOutage();
      case 'lose-worker-response':
        node.workerClient.faults.loseNextAnswers = 1;
        return;
      case 'worker-dies':
        return this.killWorker();
      case 'worker-reboots':
        return this.rebootWorker();
      case 'kill-scheduler-and-lose-response':
        faults.loseNextAnswers = 1;
        return harness.killNode(node);
      case 'suspend-scheduler-and-late-write':
        faults.applyNextLate = 1;
        return this.suspend(node);
      case 'table-outage-and-worker-dies':
        this.startOutage();
        return this.killWorker();
    }
  }

  private suspend(node: SchedulerNode): void {
    node.clock.suspend();
    this.harness.clock.setTimer(SUSPENSION_MS, () => node.clock.resume());
  }

  private partitionWorkers(node: SchedulerNode): void {
    const {unreachableWorkers} = node.workerClient.faults;
    for (const workerId of this.harness.models.keys())
      unreachableWorkers.add(workerId);
    this.harness.clock.setTimer(OUTAGE_MS, () => unreachableWorkers.clear());
  }

  private startOutage(): void {
    const {faults} = this.harness.table;
    faults.isOutage = true;
    this.harness.clock.setTimer(OUTAGE_MS, () => {
      faults.isOutage = false;
    });
  }

  private killWorker(): void {
    this.harness.removeWorker('worker-1');
  }

  private rebootWorker(): void {
    this.harness.models.get('worker-1')?.destroy();
    this.harness.addWorker('worker-1', 'rack-1');
  }
}

async function expectInvariantsHold(
  step: TaskStep,
  fault: Fault,
): Promise<void> {
  const matrixCase = new MatrixCase(step, fault);
  await matrixCase.run();
  const {harness} = matrixCase;
  expect(matrixCase.isFaultInjected, 'the step was reached').to.equal(true);
  expect(
    matrixCase.duplicateRuns,
    'tasks running on two workers',
  ).to.deep.equal([]);
  expect(harness.getViolations(), 'capacity violations').to.deep.equal([]);
  expect(harness.getRepeatedStarts(), 'attempts started twice').to.deep.equal(
    [],
  );
  expect(
    harness.getRepeatedResumes(),
    'checkpoints resumed twice',
  ).to.deep.equal([]);
  expect(harness.countTasks('done'), 'batch tasks done').to.equal(TASK_COUNT);
  expect(harness.countTasks('bound'), 'replicas bound').to.equal(REPLICA_COUNT);
  expect(harness.countRunningServices(), 'replicas running').to.equal(
    REPLICA_COUNT,
  );
}

describe('task fault matrix', () => {
  for (const step of TASK_STEPS) {
    for (const fault of FAULTS) {
      it(`maintains the invariants under ${fault} at ${step}`, () =>
        expectInvariantsHold(step, fault));
    }
  }
});
