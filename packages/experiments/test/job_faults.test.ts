import {expect} from 'chai';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {JobHarness, JobHarnessOptions} from '../src/job_harness.js';

/** Time for the first election, the reading of all state and the fencing of workers. */
const START_MS = 2_500;

const TWO_STEPS = [createSampleStep(6), createSampleStep(4, {dependsOn: [0]})];

interface Case {
  readonly name: string;
  readonly options?: JobHarnessOptions;
  /** Causes the fault, some time after the job was accepted. */
  readonly disturb: (harness: JobHarness) => void | Promise<void>;
  /** Time within which the job must be done after the fault. */
  readonly doneWithinMs: number;
}

const CASES: Case[] = [
  {name: 'no fault', disturb: () => undefined, doneWithinMs: 2_500},
  {
    name: 'the coordinator is killed',
    disturb: harness => {
      const coordinator = harness.getCoordinator();
      if (coordinator !== undefined) harness.kill(coordinator);
    },
    doneWithinMs: 6_000,
  },
  {
    name: 'all nodes are killed and start again',
    disturb: async harness => {
      for (const node of [...harness.nodes]) harness.kill(node);
      await harness.advance(700);
      harness.addNode('node-8');
      harness.addNode('node-9');
    },
    doneWithinMs: 6_000,
  },
  {
    name: 'the coordinator loses the store alone',
    disturb: harness => {
      const coordinator = harness.getCoordinator();
      if (coordinator !== undefined) coordinator.storeFaults.isSilent = true;
    },
    doneWithinMs: 6_000,
  },
  {
    name: 'the store is down for four seconds',
    disturb: async harness => {
      harness.store.faults.isRefusing = true;
      await harness.advance(4_000);
      harness.store.faults.isRefusing = false;
    },
    doneWithinMs: 4_000,
  },
  {
    name: 'the store forgets its history',
    disturb: harness => harness.store.dropHistory(),
    doneWithinMs: 3_000,
  },
  {
    name: 'the store loses the answers of writes',
    disturb: harness => {
      harness.store.faults.loseNextAnswers = 5;
    },
    doneWithinMs: 3_500,
  },
  {
    name: 'the store carries out writes late',
    disturb: harness => {
      harness.store.faults.applyNextLate = 5;
    },
    doneWithinMs: 3_500,
  },
  {
    name: 'workers carry out orders late',
    disturb: harness => {
      for (const node of harness.nodes) node.linkFaults.applyNextLate = 3;
    },
    doneWithinMs: 4_500,
  },
  {
    name: 'answers of workers are lost',
    disturb: harness => {
      for (const node of harness.nodes) node.linkFaults.loseNextAnswers = 3;
    },
    doneWithinMs: 3_500,
  },
  {
    name: 'a worker crashes for good',
    disturb: harness => {
      harness.workers.get('worker-0')?.crash();
      harness.unregister('worker-0');
    },
    doneWithinMs: 9_000,
  },
  {
    name: 'a worker crashes and starts again under its identifier',
    disturb: async harness => {
      harness.workers.get('worker-0')?.crash();
      await harness.advance(500);
      harness.workers.get('worker-0')?.restart();
      harness.register('worker-0');
    },
    doneWithinMs: 4_000,
  },
  {
    name: 'a worker is cut off and runs on',
    disturb: async harness => {
      for (const node of harness.nodes)
        node.linkFaults.cutWorkers.add('worker-0');
      await harness.advance(6_000);
      for (const node of harness.nodes)
        node.linkFaults.cutWorkers.delete('worker-0');
    },
    doneWithinMs: 4_000,
  },
  {
    name: 'a worker is cut off while the coordinator is killed',
    disturb: async harness => {
      const coordinator = harness.getCoordinator();
      for (const node of harness.nodes)
        node.linkFaults.cutWorkers.add('worker-0');
      if (coordinator !== undefined) harness.kill(coordinator);
      await harness.advance(12_000);
    },
    doneWithinMs: 6_000,
  },
];

/** Points in the job's life at which each fault strikes. */
const OFFSETS_MS = [0, 15, 100, 790, 815, 900, 1_620];

async function doTest(testCase: Case, offsetMs: number): Promise<void> {
  const harness = JobHarness.create(testCase.options);
  await harness.advance(START_MS);
  const {jobId, outcome} = await harness.submit(TWO_STEPS);
  expect(outcome.isOk()).to.equal(true);
  await harness.advance(offsetMs);
  await testCase.disturb(harness);
  await harness.advance(testCase.doneWithinMs);
  expect(await harness.getPhase(jobId)).to.equal('completed');
  // What is carried out late must not start anything again.
  await harness.advance(13_000);
  expect(harness.checker.violations).to.deep.equal([]);
}

describe('a job under faults', () => {
  for (const testCase of CASES) {
    for (const offsetMs of OFFSETS_MS) {
      it(`is done once: ${testCase.name}, ${offsetMs} ms after acceptance`, () =>
        doTest(testCase, offsetMs));
    }
  }
});

describe('cancellations under faults', () => {
  it('stops runs of a worker that was not registered at the takeover', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    const steps = [createSampleStep(8, {isLongRunning: true})];
    const {jobId} = await harness.submit(steps);
    await harness.advance(500);
    harness.unregister('worker-1');
    const coordinator = harness.getCoordinator();
    if (coordinator !== undefined) harness.kill(coordinator);
    await harness.advance(2_500);
    expect(await harness.cancel(jobId)).to.equal(true);
    harness.register('worker-1');
    await harness.advance(1_500);
    for (const worker of harness.workers.values())
      expect(worker.getRunCount()).to.equal(0);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('keeps a submission that is still on its way from starting', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    const [node] = harness.nodes;
    node.storeFaults.applyNextLate = 1;
    const submission = harness.submit([createSampleStep(2)]);
    await harness.advance(20);
    expect(await harness.cancel('0000000000000001')).to.equal(false);
    await submission;
    harness.checker.noteCancelled('0000000000000001');
    await harness.advance(8_000);
    expect(harness.checker.getStartCount()).to.equal(0);
  });
});

describe('a coordinator that begins with empty tables', () => {
  it('learns of the first job', async () => {
    const harness = JobHarness.create();
    await harness.advance(START_MS);
    const {jobId} = await harness.submit([createSampleStep(1)]);
    await harness.advance(1_500);
    expect(await harness.getPhase(jobId)).to.equal('completed');
  });

  it('does not say how many jobs wait before it has read them', async () => {
    const harness = JobHarness.create({nodes: 1});
    await harness.advance(1_150);
    const boards = harness.store.getTable('mustardlug-board');
    expect(boards.length).to.equal(1);
    const board = JSON.parse(boards[0].value.toString()) as object;
    expect(board).not.to.have.property('queues');
  });
});
