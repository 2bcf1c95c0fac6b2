import {PROGRESS_TABLE} from '@mustardlug/coordination/tables';
import {RandomSource} from '@mustardlug/base/random_source';
import {RowTransaction} from '@mustardlug/platform/row_store';
import {RowRejection} from '@mustardlug/standins/memory_row_store';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {RecordedEvent} from '@mustardlug/telemetry/event_recorder';
import {expect} from 'chai';
import {JobHarness, JobHarnessOptions} from '../src/job_harness.js';

/** Time for the first election and placement. */
const START_MS = 2_500;

/** Time for a takeover, for retries and for the remaining tasks. */
const SETTLE_MS = 60_000;

const TASK_MS = 2_000;

/** CPU requirement of a task of which one fits on a worker. */
const LARGE_TASK = {cpuMillis: 8_000, memoryMb: 100, accelerators: 0};

const SMALL_TASK = {cpuMillis: 1_000, memoryMb: 100, accelerators: 0};

const LASTING_REJECTIONS: readonly RowRejection[] = [
  'not-applied',
  'unknown-not-applied',
];

const REJECTIONS: readonly RowRejection[] = [
  ...LASTING_REJECTIONS,
  'unknown-applied',
];

function createHarness(options: JobHarnessOptions = {}) {
  const events: RecordedEvent[] = [];
  const harness = JobHarness.create({
    nodes: 4,
    cpuMillis: 8_000,
    ...options,
    sink: event => events.push(event),
  });
  return {harness, events};
}

function writesProgress({writes}: RowTransaction, jobId: string): boolean {
  return writes.some(
    ({table, key}) => table === PROGRESS_TABLE && key === jobId,
  );
}

/** Rejects each transaction that stores the progress of a job. */
function rejectProgress(
  harness: JobHarness,
  jobId: string,
  rejection: RowRejection = 'not-applied',
): void {
  harness.store.faults.getRejection = transaction =>
    writesProgress(transaction, jobId) ? rejection : undefined;
}

function acceptAll(harness: JobHarness): void {
  harness.store.faults.getRejection = undefined;
}

function killCoordinator(harness: JobHarness): void {
  const coordinator = harness.getCoordinator();
  expect(coordinator).not.to.equal(undefined);
  if (coordinator !== undefined) harness.killNode(coordinator);
}

function findStarts(events: readonly RecordedEvent[], jobId: string): string[] {
  return events
    .filter(({name}) => name === 'run-started')
    .map(({taskId = ''}) => taskId)
    .filter(taskId => taskId.startsWith(jobId));
}

describe('a job whose progress the store rejects', () => {
  for (const rejection of LASTING_REJECTIONS) {
    // One job that could not be stored stopped all jobs (review/2).
    it(`(${rejection}) leaves the others alone, and runs once it can be stored`, async () => {
      const {harness, events} = createHarness();
      await harness.advance(START_MS);
      const steps = [
        createSampleStep(4, {estimatedMs: TASK_MS, needs: LARGE_TASK}),
      ];
      const large = await harness.submit([...steps]);
      rejectProgress(harness, large.jobId, rejection);
      const small = await harness.submit([
        createSampleStep(4, {estimatedMs: TASK_MS, needs: SMALL_TASK}),
      ]);
      await harness.advance(2 * TASK_MS);
      expect(await harness.getPhase(small.jobId)).to.equal('completed');
      expect(findStarts(events, large.jobId)).to.deep.equal([]);
      expect(events.map(({name}) => name)).to.include('progress-rejected');
      acceptAll(harness);
      await harness.advance(SETTLE_MS);
      expect(await harness.getPhase(large.jobId)).to.equal('completed');
      expect(harness.checker.getStartCount()).to.equal(8);
      expect(harness.checker.violations).to.deep.equal([]);
    });

    it(`(${rejection}) while its tasks run keeps their ends for a successor, and those of others are stored`, async () => {
      const {harness} = createHarness();
      await harness.advance(START_MS);
      const steps = [
        createSampleStep(6, {estimatedMs: TASK_MS, needs: SMALL_TASK}),
        createSampleStep(3, {
          estimatedMs: TASK_MS,
          needs: SMALL_TASK,
          dependsOn: [0],
        }),
      ];
      const rejected = await harness.submit(steps);
      const other = await harness.submit(steps);
      await harness.advance(TASK_MS / 2);
      rejectProgress(harness, rejected.jobId, rejection);
      await harness.advance(3 * TASK_MS);
      expect(await harness.getPhase(other.jobId)).to.equal('completed');
      killCoordinator(harness);
      await harness.advance(SETTLE_MS);
      expect(await harness.getPhase(rejected.jobId)).to.equal('running');
      killCoordinator(harness);
      acceptAll(harness);
      await harness.advance(SETTLE_MS);
      expect(await harness.getPhase(rejected.jobId)).to.equal('completed');
      expect(harness.checker.getStartCount()).to.equal(18);
      expect(harness.checker.violations).to.deep.equal([]);
    });
  }

  it('is stopped when its caller cancels it, and is shown as cancelled once that is stored', async () => {
    const {harness} = createHarness();
    await harness.advance(START_MS);
    const {jobId} = await harness.submit([
      createSampleStep(4, {
        estimatedMs: SETTLE_MS,
        needs: LARGE_TASK,
      }),
    ]);
    await harness.advance(TASK_MS);
    rejectProgress(harness, jobId);
    expect(await harness.cancel(jobId)).to.equal(true);
    await harness.advance(TASK_MS);
    const next = await harness.submit([
      createSampleStep(4, {estimatedMs: TASK_MS, needs: LARGE_TASK}),
    ]);
    await harness.advance(3 * TASK_MS);
    expect(await harness.getPhase(next.jobId)).to.equal('completed');
    acceptAll(harness);
    await harness.advance(SETTLE_MS);
    expect(await harness.getPhase(jobId)).to.equal('cancelled');
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('is not counted as work that keeps a queue from accepting jobs', async () => {
    const {harness} = createHarness();
    await harness.advance(START_MS);
    const {jobId} = await harness.submit([
      createSampleStep(400, {estimatedMs: TASK_MS, needs: LARGE_TASK}),
    ]);
    rejectProgress(harness, jobId);
    await harness.advance(START_MS);
    const next = await harness.advanceUntilSettled(
      harness.submitIfAdmitted([createSampleStep(1)]),
    );
    expect(next.retryAfterMs).to.equal(0);
  });

  for (const seed of [1, 2, 3]) {
    it(`now and then, or of which late writes arrive after a takeover, completes without a task run twice (seed ${seed})`, async () => {
      const {harness} = createHarness({nodes: 6, seed});
      const random = RandomSource.create(seed);
      await harness.advance(START_MS);
      harness.store.faults.getRejection = () =>
        random.getFloat() < 0.7
          ? undefined
          : REJECTIONS[Math.floor(random.getFloat() * REJECTIONS.length)];
      const jobIds: string[] = [];
      for (let index = 0; index < 12; index++) {
        jobIds.push(
          harness.submitWithoutWaiting(
            [
              createSampleStep(5, {estimatedMs: TASK_MS, needs: SMALL_TASK}),
              createSampleStep(2, {estimatedMs: 500, dependsOn: [0]}),
            ],
            harness.getQueue(),
          ),
        );
        await harness.advance(700);
        harness.store.faults.applyNextLate = index % 3;
        if (index % 5 === 4) killCoordinator(harness);
      }
      acceptAll(harness);
      await harness.advance(2 * SETTLE_MS);
      let acceptedCount = 0;
      for (const jobId of jobIds) {
        const phase = await harness.getPhase(jobId);
        // The store rejects submissions as well.
        if (phase === undefined) continue;
        acceptedCount++;
        expect(phase).to.equal('completed');
      }
      expect(acceptedCount).to.be.greaterThan(0);
      expect(harness.checker.violations).to.deep.equal([]);
    });
  }
});

describe('a coordinator whose commits are all rejected', () => {
  it('leaves the role to another node if its heartbeat is accepted', async () => {
    const {harness, events} = createHarness();
    await harness.advance(START_MS);
    const first = await harness.submit([
      createSampleStep(4, {estimatedMs: TASK_MS, needs: SMALL_TASK}),
    ]);
    await harness.advance(TASK_MS / 2);
    const coordinator = harness.getCoordinator();
    coordinator!.storeFaults.getRejection = ({conditions}) =>
      conditions.some(({table}) => table === 'mustardlug-term')
        ? 'not-applied'
        : undefined;
    const second = await harness.submit(
      [createSampleStep(4, {estimatedMs: TASK_MS, needs: SMALL_TASK})],
      harness.nodes.find(node => node !== coordinator),
    );
    await harness.advance(SETTLE_MS);
    expect(harness.getCoordinator()?.nodeId).not.to.equal(coordinator?.nodeId);
    for (const {jobId} of [first, second])
      expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(events.map(({name}) => name)).to.include('commits-rejected');
    expect(harness.checker.getStartCount()).to.equal(8);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
