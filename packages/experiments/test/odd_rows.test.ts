import {JobTracker} from '@mustardlug/coordination/job_tracker';
import {PlacementPass} from '@mustardlug/coordination/placement_pass';
import {SilenceReporter} from '@mustardlug/coordination/silence_reporter';
import {getJobPart} from '@mustardlug/coordination/tables';
import {WorkerSupervisor} from '@mustardlug/coordination/worker_supervisor';
import {RowAddress} from '@mustardlug/platform/row_store';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {RecordedEvent} from '@mustardlug/telemetry/event_recorder';
import {expect} from 'chai';
import {JobHarness, WORKER_TABLE} from '../src/job_harness.js';

/** Time for the first election and placement. */
const START_MS = 2_500;

/** Time for a takeover, for the leases of lost workers and for the remaining tasks. */
const SETTLE_MS = 40_000;

const TASK_MS = 2_000;

const COORDINATOR_PART = 'coordinator';
const SINGLE_KEY = 'current';

/** Values of another writer, by description. */
const ODD_VALUES: ReadonlyArray<[string, Buffer]> = [
  ['no bytes', Buffer.alloc(0)],
  ['bytes that are not JSON', Buffer.from('{"kind":"acc')],
  ['bytes that are not UTF-8', Buffer.from([0x22, 0xff, 0xfe, 0x22])],
  ['a compressed value that is cut off', Buffer.from([1, 0xed, 0x9d, 0x4b])],
  ['null', Buffer.from('null')],
  ['an object without fields', Buffer.from('{}')],
  ['a list', Buffer.from('[1,2,3]')],
  ['nested lists', Buffer.from('['.repeat(20_000) + ']'.repeat(20_000))],
  [
    'fields of other types',
    Buffer.from(
      '{"kind":"accepted","job":7,"term":"x","holder":{},"phase":9,"occurrences":"x","leaseEndStoreMs":"x","form":2,"effects":[],"ownLoad":[]}',
    ),
  ],
];

/** Rows of the system's own tables that another writer may add or replace. */
const TABLES: ReadonlyArray<{table: string; part: string; key: string}> = [
  {table: WORKER_TABLE, part: '', key: 'odd'},
  {table: WORKER_TABLE, part: 'other', key: 'worker-1'},
  {table: 'mustardlug-jobs', part: getJobPart('odd'), key: 'odd'},
  {table: 'mustardlug-jobs', part: 'other', key: 'odd'},
  {table: 'mustardlug-progress', part: COORDINATOR_PART, key: 'odd'},
  {table: 'mustardlug-progress-parts', part: COORDINATOR_PART, key: 'odd'},
  {
    table: 'mustardlug-progress-parts',
    part: COORDINATOR_PART,
    key: 'odd/0/1.1/0',
  },
  {table: 'mustardlug-effects', part: COORDINATOR_PART, key: 'odd'},
  {table: 'mustardlug-lease-bounds', part: COORDINATOR_PART, key: 'odd'},
  {table: 'mustardlug-lease-bounds', part: COORDINATOR_PART, key: 'worker-1'},
  {table: 'mustardlug-nodes', part: 'nodes', key: 'odd'},
  {table: 'mustardlug-board', part: COORDINATOR_PART, key: 'odd'},
  {table: 'mustardlug-board', part: 'other', key: SINGLE_KEY},
  {table: 'mustardlug-board', part: COORDINATOR_PART, key: SINGLE_KEY},
  {table: 'mustardlug-term', part: COORDINATOR_PART, key: SINGLE_KEY},
];

async function startJob(harness: JobHarness): Promise<string> {
  await harness.advance(START_MS);
  const {jobId, outcome} = await harness.submit([
    createSampleStep(12, {estimatedMs: TASK_MS}),
    createSampleStep(4, {estimatedMs: TASK_MS, dependsOn: [0]}),
  ]);
  expect(outcome.isOk()).to.equal(true);
  await harness.advance(TASK_MS / 2);
  return jobId;
}

function killCoordinator(harness: JobHarness): void {
  const coordinator = harness.getCoordinator();
  if (coordinator !== undefined) harness.killNode(coordinator);
}

async function readRow(
  harness: JobHarness,
  {table, part, key}: RowAddress,
): Promise<Buffer> {
  const client = harness.store.createClient();
  const rows = await harness.advanceUntilSettled(
    client.getRows({table, part, fromKey: key, limit: 1}),
  );
  return rows._unsafeUnwrap().rows[0].value;
}

/** Gets the kind of the error that a caller asking for a job gets. */
async function getStatusError(
  harness: JobHarness,
  jobId: string,
): Promise<string | undefined> {
  const status = await harness.advanceUntilSettled(
    harness.getHealthyNode().jobStore.getStatus(jobId),
  );
  return status.isErr() ? status.error.kind : undefined;
}

describe('an unexpected error', () => {
  const {run} = PlacementPass.prototype;
  const {update} = SilenceReporter.prototype;
  const {applyReport} = WorkerSupervisor.prototype;
  const {restore} = JobTracker.prototype;

  afterEach(() => {
    Object.assign(PlacementPass.prototype, {run});
    Object.assign(SilenceReporter.prototype, {update});
    Object.assign(WorkerSupervisor.prototype, {applyReport});
    Object.assign(JobTracker.prototype, {restore});
  });

  /** Checks that a job completes and that the error was recorded. */
  async function expectCompletion(inject: () => void): Promise<void> {
    const events: RecordedEvent[] = [];
    const sink = (event: RecordedEvent) => void events.push(event);
    const harness = JobHarness.create({nodes: 4, sink});
    const jobId = await startJob(harness);
    inject();
    await harness.advance(1_000);
    killCoordinator(harness);
    await harness.advance(SETTLE_MS);
    expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(harness.checker.violations).to.deep.equal([]);
    expect(events.map(event => event.name)).to.include('internal-error');
  }

  /** Creates a function that fails at its first calls and then does as the original. */
  function failFirst<T extends unknown[], R>(
    count: number,
    original: (...args: T) => R,
  ) {
    let calls = 0;
    return function (this: unknown, ...args: T): R {
      if (calls++ < count) throw new Error('injected');
      return original.apply(this, args);
    };
  }

  it('in a placement pass ends neither the process nor the term', () =>
    expectCompletion(() => {
      Object.assign(PlacementPass.prototype, {run: failFirst(3, run)});
    }));

  it('in a periodic check ends neither the process nor the term', () =>
    expectCompletion(() => {
      Object.assign(SilenceReporter.prototype, {update: failFirst(3, update)});
    }));

  it('while the state is restored leaves the role to another attempt', () =>
    expectCompletion(() => {
      Object.assign(JobTracker.prototype, {restore: failFirst(2, restore)});
    }));

  it('while a report is handled does not end the session', () =>
    expectCompletion(() => {
      const failing = failFirst(20, applyReport);
      Object.assign(WorkerSupervisor.prototype, {applyReport: failing});
    }));
});

describe('rows of another writer', () => {
  for (const [name, value] of ODD_VALUES) {
    for (const address of TABLES) {
      const {table, part, key} = address;
      it(`with ${name} in ${table} (${part}/${key}) stop no job and no takeover`, async () => {
        const harness = JobHarness.create({nodes: 4});
        const jobId = await startJob(harness);
        harness.store.put(address, value);
        await harness.advance(TASK_MS / 2);
        killCoordinator(harness);
        await harness.advance(SETTLE_MS);
        expect(await harness.getPhase(jobId)).to.equal('completed');
        const next = await harness.submit([createSampleStep(2)]);
        await harness.advance(SETTLE_MS);
        expect(await harness.getPhase(next.jobId)).to.equal('completed');
        expect(harness.checker.violations).to.deep.equal([]);
      });
    }
  }

  const statusAddress = {
    table: 'mustardlug-board',
    part: COORDINATOR_PART,
    key: SINGLE_KEY,
  };
  const termAddress = {...statusAddress, table: 'mustardlug-term'};
  const wrongRows: ReadonlyArray<[string, RowAddress, object]> = [
    [
      'a status from the future',
      statusAddress,
      {term: 1, holder: 'node-9', writtenStoreMs: 1e15},
    ],
    [
      'a status of an earlier term',
      statusAddress,
      {term: 0, holder: 'node-0', writtenStoreMs: 0},
    ],
    [
      'a status of a later term',
      statusAddress,
      {term: 99, holder: 'node-9', writtenStoreMs: 0},
    ],
    [
      'a later term',
      termAddress,
      {term: 99, holder: 'node-9', commitNumber: 1},
    ],
    [
      'a term out of range',
      termAddress,
      {term: 1e300, holder: 'node-9', commitNumber: 1},
    ],
  ];
  for (const [name, address, value] of wrongRows) {
    it(`with ${name} do not prevent a takeover`, async () => {
      const harness = JobHarness.create({nodes: 4});
      const jobId = await startJob(harness);
      harness.store.put(address, value);
      await harness.advance(SETTLE_MS);
      killCoordinator(harness);
      await harness.advance(SETTLE_MS);
      const next = await harness.submit([createSampleStep(2)]);
      await harness.advance(SETTLE_MS);
      for (const each of [jobId, next.jobId])
        expect(await harness.getPhase(each)).to.equal('completed');
      expect(harness.checker.violations).to.deep.equal([]);
    });
  }

  it('in another part of the table of workers are ignored', async () => {
    const harness = JobHarness.create({workers: 1});
    await harness.advance(START_MS);
    const address = {table: WORKER_TABLE, part: 'other', key: 'worker-0'};
    const record = harness.workers.get('worker-0')?.getRecord();
    harness.store.put(address, {...record, isDraining: true});
    await harness.advance(1_000);
    const first = await harness.submit([createSampleStep(1)]);
    await harness.advance(TASK_MS);
    expect(await harness.getPhase(first.jobId)).to.equal('completed');
    harness.store.remove(address);
    await harness.advance(1_000);
    const second = await harness.submit([createSampleStep(1)]);
    await harness.advance(TASK_MS);
    expect(await harness.getPhase(second.jobId)).to.equal('completed');
  });

  it('under the ID of a worker leave its runs alone, and it is used after its next registration', async () => {
    const harness = JobHarness.create({workers: 1});
    const jobId = await startJob(harness);
    harness.store.put(
      {table: WORKER_TABLE, part: '', key: 'worker-0'},
      Buffer.from('{}'),
    );
    const starts = harness.checker.getStartCount();
    await harness.advance(SETTLE_MS);
    expect(harness.checker.getStartCount()).to.equal(starts);
    expect(await harness.getPhase(jobId)).to.equal('running');
    harness.register('worker-0');
    await harness.advance(SETTLE_MS);
    expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(harness.checker.getStartCount()).to.equal(16);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  for (const table of ['mustardlug-progress', 'mustardlug-jobs']) {
    for (const [name, value] of ODD_VALUES) {
      it(`with ${name} in place of a job's row in ${table} hold it until the row can be read, and no task runs again`, async () => {
        const events: RecordedEvent[] = [];
        const harness = JobHarness.create({
          nodes: 4,
          sink: event => events.push(event),
        });
        const jobId = await startJob(harness);
        // The tasks of the second step end during the takeover.
        await harness.advance(TASK_MS * 1.2);
        const isJobRow = table === 'mustardlug-jobs';
        const part = isJobRow ? getJobPart(jobId) : COORDINATOR_PART;
        const address = {table, part, key: jobId};
        const row = await readRow(harness, address);
        killCoordinator(harness);
        harness.store.put(address, value);
        await harness.advance(SETTLE_MS);
        const starts = harness.checker.getStartCount();
        expect(starts).to.equal(16);
        expect(await getStatusError(harness, jobId)).to.equal(
          isJobRow ? undefined : 'unavailable',
        );
        const other = await harness.submit([createSampleStep(2)]);
        await harness.advance(SETTLE_MS);
        expect(await harness.getPhase(other.jobId)).to.equal('completed');
        harness.store.put(address, row);
        await harness.advance(SETTLE_MS);
        expect(await harness.getPhase(jobId)).to.equal('completed');
        expect(harness.checker.violations).to.deep.equal([]);
        const details = events.map(({detail}) => detail ?? '');
        expect(events.map(event => event.name)).to.include('row-invalid');
        for (const detail of details) expect(detail.length).to.be.below(3_000);
      });
    }
  }

  it('in place of the progress of a job leave it to its caller to cancel it', async () => {
    const harness = JobHarness.create({nodes: 4});
    const jobId = await startJob(harness);
    killCoordinator(harness);
    harness.store.put(
      {table: 'mustardlug-progress', part: COORDINATOR_PART, key: jobId},
      Buffer.from('{}'),
    );
    await harness.advance(SETTLE_MS);
    expect(await harness.cancel(jobId)).to.equal(true);
    await harness.advance(START_MS);
    expect(await harness.getPhase(jobId)).to.equal('cancelled');
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('in place of the progress of a job let no task run again after another takeover', async () => {
    const harness = JobHarness.create({nodes: 5});
    const jobId = await startJob(harness);
    await harness.advance(TASK_MS * 1.2);
    const part = COORDINATOR_PART;
    const address = {table: 'mustardlug-progress', part, key: jobId};
    const row = await readRow(harness, address);
    killCoordinator(harness);
    harness.store.put(address, Buffer.from('{}'));
    await harness.advance(SETTLE_MS);
    expect(harness.checker.getStartCount()).to.equal(16);
    killCoordinator(harness);
    await harness.advance(SETTLE_MS);
    harness.store.put(address, row);
    await harness.advance(SETTLE_MS);
    expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(harness.checker.getStartCount()).to.equal(16);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
