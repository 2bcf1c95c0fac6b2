import {expect} from 'chai';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {JobHarness, JobHarnessOptions} from '../src/job_harness.js';

/** Time in which the first coordinator is elected, loads all state and fences the workers. */
const START_MS = 2_500;

const TWO_STEPS = [createSampleStep(6), createSampleStep(4, {dependsOn: [0]})];

/** Fault, and the time in which a job must still complete. */
interface FaultCase {
  readonly name: string;
  readonly options?: JobHarnessOptions;
  /** Injects the fault. Called some time after the job was accepted. */
  readonly injectFault: (harness: JobHarness) => void | Promise<void>;
  /** Maximum time from the return of `injectFault` to the completion of the job. */
  readonly maxCompletionMs: number;
}

const FAULT_CASES: FaultCase[] = [
  {name: 'no fault', injectFault: () => undefined, maxCompletionMs: 2_500},
  {
    name: 'the coordinator is killed',
    injectFault: harness => {
      const coordinator = harness.getCoordinator();
      if (coordinator !== undefined) harness.killNode(coordinator);
    },
    maxCompletionMs: 6_000,
  },
  {
    name: 'all nodes are killed and replaced',
    injectFault: async harness => {
      for (const node of [...harness.nodes]) harness.killNode(node);
      await harness.advance(700);
      harness.addNode('node-8');
      harness.addNode('node-9');
    },
    maxCompletionMs: 6_000,
  },
  {
    name: 'only the coordinator loses the store',
    injectFault: harness => {
      const coordinator = harness.getCoordinator();
      if (coordinator !== undefined) coordinator.storeFaults.isSilent = true;
    },
    maxCompletionMs: 6_000,
  },
  {
    name: 'the store is down for four seconds',
    injectFault: async harness => {
      harness.store.faults.isRefusing = true;
      await harness.advance(4_000);
      harness.store.faults.isRefusing = false;
    },
    maxCompletionMs: 4_000,
  },
  {
    name: 'the store drops its change history',
    injectFault: harness => harness.store.truncateHistory(),
    maxCompletionMs: 3_000,
  },
  {
    name: 'the store loses the responses to writes',
    injectFault: harness => {
      harness.store.faults.loseNextAnswers = 5;
    },
    maxCompletionMs: 3_500,
  },
  {
    name: 'the store applies writes late',
    injectFault: harness => {
      harness.store.faults.applyNextLate = 5;
    },
    maxCompletionMs: 3_500,
  },
  {
    name: 'workers execute commands late',
    injectFault: harness => {
      for (const node of harness.nodes) node.linkFaults.applyNextLate = 3;
    },
    maxCompletionMs: 4_500,
  },
  {
    name: 'responses of workers are lost',
    injectFault: harness => {
      for (const node of harness.nodes) node.linkFaults.loseNextAnswers = 3;
    },
    maxCompletionMs: 3_500,
  },
  {
    name: 'a worker crashes permanently',
    injectFault: harness => {
      harness.workers.get('worker-0')?.crash();
      harness.unregister('worker-0');
    },
    maxCompletionMs: 9_000,
  },
  {
    name: 'a worker crashes and restarts with the same ID',
    injectFault: async harness => {
      harness.workers.get('worker-0')?.crash();
      await harness.advance(500);
      harness.workers.get('worker-0')?.restart();
      harness.register('worker-0');
    },
    maxCompletionMs: 4_000,
  },
  {
    name: 'a worker is partitioned and keeps running',
    injectFault: async harness => {
      for (const node of harness.nodes)
        node.linkFaults.unreachableWorkers.add('worker-0');
      await harness.advance(6_000);
      for (const node of harness.nodes)
        node.linkFaults.unreachableWorkers.delete('worker-0');
    },
    maxCompletionMs: 4_000,
  },
  {
    name: 'a worker is partitioned and the coordinator is killed',
    injectFault: async harness => {
      const coordinator = harness.getCoordinator();
      for (const node of harness.nodes)
        node.linkFaults.unreachableWorkers.add('worker-0');
      if (coordinator !== undefined) harness.killNode(coordinator);
      await harness.advance(12_000);
    },
    maxCompletionMs: 6_000,
  },
];

/** Times after acceptance of the job at which each fault is injected. */
const FAULT_OFFSETS_MS = [0, 15, 100, 790, 815, 900, 1_620];

async function expectJobRunsOnce(
  testCase: FaultCase,
  offsetMs: number,
): Promise<void> {
  const harness = JobHarness.create(testCase.options);
  await harness.advance(START_MS);
  const {jobId, outcome} = await harness.submit(TWO_STEPS);
  expect(outcome.isOk()).to.equal(true);
  await harness.advance(offsetMs);
  await testCase.injectFault(harness);
  await harness.advance(testCase.maxCompletionMs);
  expect(await harness.getPhase(jobId)).to.equal('completed');
  // Commands and writes that take effect late must not start a task again.
  await harness.advance(13_000);
  expect(harness.checker.violations).to.deep.equal([]);
}

describe('a job under faults', () => {
  for (const testCase of FAULT_CASES) {
    for (const offsetMs of FAULT_OFFSETS_MS) {
      it(`completes once: ${testCase.name}, ${offsetMs} ms after acceptance`, () =>
        expectJobRunsOnce(testCase, offsetMs));
    }
  }
});

describe('cancellations under faults', () => {
  it('stops tasks on a worker that was unregistered during the takeover', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    const steps = [createSampleStep(8, {isLongRunning: true})];
    const {jobId} = await harness.submit(steps);
    await harness.advance(500);
    harness.unregister('worker-1');
    const coordinator = harness.getCoordinator();
    if (coordinator !== undefined) harness.killNode(coordinator);
    await harness.advance(2_500);
    expect(await harness.cancel(jobId)).to.equal(true);
    harness.register('worker-1');
    await harness.advance(1_500);
    for (const worker of harness.workers.values())
      expect(worker.getRunCount()).to.equal(0);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('prevents the start of a submission that is stored after its cancellation', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    const [node] = harness.nodes;
    node.storeFaults.applyNextLate = 1;
    const submission = harness.submit([createSampleStep(2)]);
    await harness.advance(20);
    expect(await harness.cancel('0000000000000001')).to.equal(false);
    await submission;
    harness.checker.recordCancellation('0000000000000001');
    await harness.advance(8_000);
    expect(harness.checker.getStartCount()).to.equal(0);
  });
});

describe('a coordinator that starts with empty tables', () => {
  it('discovers the first job', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    const {jobId} = await harness.submit([createSampleStep(1)]);
    await harness.advance(1_500);
    expect(await harness.getPhase(jobId)).to.equal('completed');
  });

  it('does not publish queue lengths before it has read the jobs', async () => {
    const harness = JobHarness.create({nodes: 1});
    await harness.advance(1_150);
    const rows = harness.store.getTableRows('mustardlug-board');
    expect(rows.length).to.equal(1);
    const status = JSON.parse(rows[0].value.toString()) as object;
    expect(status).not.to.have.property('queues');
  });
});
