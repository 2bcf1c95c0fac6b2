import {RandomSource} from '@mustardlug/base/random_source';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {createTaskRun, encodeRowValue} from '@mustardlug/jobs/job_codec';
import {StepSpec} from '@mustardlug/jobs/job_spec';
import {
  JobState,
  MAX_CHECKPOINT_BYTES,
  TaskState,
} from '@mustardlug/jobs/job_state';
import {
  decodeStoredProgress,
  validateProgress,
} from '@mustardlug/jobs/stored_schemas';
import {
  MAX_KEY_BYTES,
  MAX_ROW_BYTES,
  StoredRow,
} from '@mustardlug/platform/row_store';
import {expect} from 'chai';
import {InvalidRowReporter} from '../src/invalid_row_reporter.js';
import {JobIndex} from '../src/job_index.js';
import {ProgressChange, ProgressRows} from '../src/progress_rows.js';
import {PROGRESS_PART_TABLE, PROGRESS_TABLE} from '../src/tables.js';
import {createTestEvents} from './test_events.js';
import {createTestJob, createTestStep} from './test_runs.js';

/** The rows of the coordinator's tables, as the store has them. */
class RowTable {
  private constructor(private readonly rows: Map<string, StoredRow>) {}

  static create(): RowTable {
    return new RowTable(new Map());
  }

  /** Creates an independent copy. */
  copy(): RowTable {
    return new RowTable(new Map(this.rows));
  }

  apply({write, removal}: ProgressChange): void {
    if (write !== undefined)
      this.rows.set(`${write.table}:${write.key}`, {...write, version: 1});
    if (removal !== undefined)
      this.rows.delete(`${removal.table}:${removal.key}`);
  }

  getRows(table: string): StoredRow[] {
    return [...this.rows.values()].filter(row => row.table === table);
  }
}

/** Stores all changes of a job. */
function store(rows: ProgressRows, job: JobState, table: RowTable): void {
  for (const change of rows.createChanges(job)) {
    table.apply(change);
    change.onStored?.();
  }
}

/** Restores a job as the next coordinator does; undefined if its progress cannot be read. */
function restore(job: JobState, table: RowTable) {
  const events = createTestEvents(VirtualClock.create());
  const index = JobIndex.create(InvalidRowReporter.create(events));
  const {spec, queue, acceptedMs} = job.accepted;
  const accepted = {kind: 'accepted', job: {spec, queue, acceptedMs}};
  const jobRow = {
    table: 'jobs',
    part: '',
    key: job.getId(),
    value: encodeRowValue(accepted),
    version: 1,
  };
  const progress = {
    rows: table.getRows(PROGRESS_TABLE),
    parts: table.getRows(PROGRESS_PART_TABLE),
  };
  const obsoleteParts = index.restore([jobRow], progress, 0);
  const restored = index.findJob(job.getId());
  expect(index.getHeldJobs().size).to.equal(0);
  return {restored: restored!, obsoleteParts};
}

/** Describes the stored state of a task. */
function describeTask(task: TaskState): string {
  const {isDone, failures, checkpoint, runs, startCrashes} = task;
  const runDetails = runs.map(run => [
    run.workerId,
    run.runNumber,
    run.isProven,
    run.longLeaseEndStoreMs,
  ]);
  return JSON.stringify([
    isDone,
    isDone ? 0 : failures,
    isDone ? '' : checkpoint,
    runDetails,
    startCrashes,
  ]);
}

function describeJob(job: JobState): Map<string, string> {
  const tasks = new Map<string, string>();
  for (const {number, steps} of job.occurrences.values()) {
    for (const step of steps) {
      for (const task of step.tasks)
        tasks.set(`${number}.${step.index}.${task.index}`, describeTask(task));
    }
  }
  return tasks;
}

function getTasks(job: JobState): TaskState[] {
  const tasks: TaskState[] = [];
  for (const {steps} of job.occurrences.values()) {
    for (const step of steps) tasks.push(...step.tasks);
  }
  return tasks;
}

function addRun(task: TaskState, runNumber: number): void {
  const workerId = `worker-${(runNumber * 7_919) % 540}`;
  const run = createTaskRun(workerId, 1_764_979_200_000, runNumber, 0);
  task.hasRun = true;
  task.runs.push(run);
}

function createText(random: RandomSource, length: number): string {
  let text = '';
  while (text.length < length)
    text += Math.floor(random.getFloat() * 2 ** 32).toString(16);
  return text.slice(0, length);
}

/** Changes some tasks at random as a coordinator does. */
function changeTasks(job: JobState, random: RandomSource): void {
  for (const {steps} of job.occurrences.values()) {
    for (const step of steps) {
      for (const task of step.tasks) {
        const choice = random.getFloat();
        if (task.isDone || choice > 0.4) continue;
        if (choice < 0.1) {
          step.markDone(task);
          task.runs = [];
        } else if (choice < 0.25) {
          const number = 1_000_000 + Math.floor(random.getFloat() * 1e6);
          addRun(task, number);
          task.runs[0].isProven = choice < 0.2;
          if (choice < 0.15) task.runs[0].longLeaseEndStoreMs = 123_456;
        } else if (choice < 0.35) {
          task.hasRun = true;
          task.checkpoint = createText(random, 1 + 4_000 * random.getFloat());
        } else {
          task.hasRun = true;
          task.failures++;
          task.startCrashes.push({
            workerId: 'worker-1',
            runNumber: 5,
            isAttributed: true,
          });
        }
      }
    }
  }
}

/** A job of the largest size, in which each task has what is named. */
interface LargeState {
  readonly name: string;
  readonly steps: readonly StepSpec[];
  readonly occurrences?: number;
  readonly runs?: number;
  readonly checkpointLength?: number;
  readonly hasCrashes?: boolean;
  readonly hasLongLeases?: boolean;
}

const LARGEST = [createTestStep({taskCount: 2_000})];

const LARGE_STATES: readonly LargeState[] = [
  {name: 'a run', steps: LARGEST, runs: 1},
  {
    name: 'a run with a checkpoint and a long lease',
    steps: LARGEST,
    runs: 1,
    checkpointLength: 16,
    hasLongLeases: true,
  },
  {
    name: 'two runs, a checkpoint, a crash and long leases',
    steps: LARGEST,
    runs: 2,
    checkpointLength: 16,
    hasCrashes: true,
    hasLongLeases: true,
  },
  {
    name: 'a run in two occurrences',
    steps: [createTestStep({taskCount: 1_000})],
    occurrences: 2,
    runs: 1,
    checkpointLength: 16,
  },
  {
    name: 'a checkpoint of 684 characters',
    steps: Array.from({length: 5}, () => createTestStep({taskCount: 32})),
    runs: 1,
    checkpointLength: 684,
  },
  {
    name: 'the largest checkpoint, several runs and crashes',
    steps: [createTestStep({taskCount: 40})],
    runs: 10,
    checkpointLength: MAX_CHECKPOINT_BYTES - 2,
    hasCrashes: true,
    hasLongLeases: true,
  },
];

function createLargeJob(state: LargeState): JobState {
  const random = RandomSource.create(55);
  const {steps, occurrences = 1, runs = 0, checkpointLength = 0} = state;
  const schedule = {
    repetitions: occurrences,
    firstRunMs: 0,
    intervalMs: 0,
  };
  const job = createTestJob(steps, undefined, 0, schedule);
  for (const task of getTasks(job)) {
    for (let index = 0; index < runs; index++)
      addRun(task, 1_000_000 + Math.floor(random.getFloat() * 1e6));
    task.checkpoint = createText(random, checkpointLength);
    if (state.hasCrashes)
      task.startCrashes.push({
        workerId: 'worker-539',
        runNumber: 1_000_001,
        isAttributed: true,
      });
    if (state.hasLongLeases)
      for (const run of task.runs) run.longLeaseEndStoreMs = 12_345_678;
  }
  return job;
}

describe(ProgressRows.name, () => {
  for (const state of LARGE_STATES)
    // One row has no bound, whatever the length of the checkpoints.
    it(`fits the progress of a large job into rows: ${state.name}`, () => {
      const job = createLargeJob(state);
      const table = RowTable.create();
      store(ProgressRows.create(1, MAX_ROW_BYTES), job, table);
      const rows = [
        ...table.getRows(PROGRESS_TABLE),
        ...table.getRows(PROGRESS_PART_TABLE),
      ];
      for (const {key, value} of rows) {
        expect(value.length).to.be.at.most(MAX_ROW_BYTES);
        expect(Buffer.byteLength(key)).to.be.at.most(MAX_KEY_BYTES);
      }
      const {restored, obsoleteParts} = restore(job, table);
      expect(describeJob(restored)).to.deep.equal(describeJob(job));
      expect(obsoleteParts).to.deep.equal([]);
    });

  it('stores the progress of other jobs in one row, as earlier builds do', () => {
    const job = createTestJob([createTestStep({taskCount: 160})]);
    for (const [index, task] of getTasks(job).entries())
      addRun(task, 1_000_000 + index);
    const changes = ProgressRows.create(1, MAX_ROW_BYTES).createChanges(job);
    expect(changes).to.have.length(1);
    expect(changes[0].write?.table).to.equal(PROGRESS_TABLE);
  });

  it('writes only the part whose task has changed', () => {
    const job = createLargeJob(LARGE_STATES[2]);
    const rows = ProgressRows.create(1, MAX_ROW_BYTES);
    const table = RowTable.create();
    store(rows, job, table);
    const partCount = table.getRows(PROGRESS_PART_TABLE).length;
    expect(partCount).to.be.greaterThan(10);
    expect(rows.createChanges(job)).to.deep.equal([]);
    getTasks(job)[1_234].failures++;
    expect(rows.createChanges(job)).to.have.length(1);
  });

  it('removes the parts of a job that is over', () => {
    const job = createLargeJob(LARGE_STATES[1]);
    const rows = ProgressRows.create(1, MAX_ROW_BYTES);
    const table = RowTable.create();
    store(rows, job, table);
    for (const task of getTasks(job)) task.runs = [];
    job.phase = 'cancelled';
    store(rows, job, table);
    expect(table.getRows(PROGRESS_PART_TABLE)).to.deep.equal([]);
    expect(restore(job, table).restored.phase).to.equal('cancelled');
    expect(rows.createChanges(job)).to.have.length(1);
  });

  it('lets an earlier build, which reads the row alone, see the phase and hold the job', () => {
    const job = createLargeJob(LARGE_STATES[1]);
    job.phase = 'running';
    const table = RowTable.create();
    store(ProgressRows.create(1, MAX_ROW_BYTES), job, table);
    const [row] = table.getRows(PROGRESS_TABLE);
    const stored = decodeStoredProgress(row.key, row.value)._unsafeUnwrap();
    expect(stored.phase).to.equal('running');
    const {spec} = job.accepted;
    expect(validateProgress(row.key, stored, spec).isErr()).to.equal(true);
  });

  for (const seed of [1, 2, 3, 4])
    // A coordinator may be lost between any two transactions.
    it(`leaves a true state after each of its writes (seed ${seed})`, () => {
      const random = RandomSource.create(seed);
      const steps = [60, 40, 80].map(taskCount => createTestStep({taskCount}));
      const schedule = {repetitions: 3, firstRunMs: 0, intervalMs: 1_000};
      const job = createTestJob(steps, undefined, 0, schedule);
      const table = RowTable.create();
      let term = 1;
      let rows = ProgressRows.create(term, MAX_ROW_BYTES);
      let stored = describeJob(job);
      for (let round = 0; round < 8; round++) {
        job.createDueOccurrences(round * 500);
        changeTasks(job, random);
        const current = describeJob(job);
        const changes = rows.createChanges(job);
        // The commit ends after a random number of writes now and then.
        const isCut = random.getFloat() < 0.3;
        const storedCount = isCut
          ? Math.floor(random.getFloat() * changes.length)
          : changes.length;
        for (const [index, change] of changes.entries()) {
          if (index >= storedCount) break;
          table.apply(change);
          change.onStored?.();
          const {restored} = restore(job, table.copy());
          for (const [name, description] of describeJob(restored)) {
            expect(
              [current.get(name), stored.get(name)],
              `${name} in round ${round} after write ${index}`,
            ).to.include(description);
          }
        }
        // What is stored is the old or the new state of each task.
        const now = describeJob(restore(job, table).restored);
        if (!isCut) expect(now).to.deep.equal(current);
        if (isCut && random.getFloat() < 0.5) {
          // A successor knows what was stored, and removes what was left over.
          const {restored, obsoleteParts} = restore(job, table);
          for (const part of obsoleteParts) table.apply({removal: part});
          job.occurrences.clear();
          for (const [number, occurrence] of restored.occurrences)
            job.occurrences.set(number, occurrence);
          job.layouts.clear();
          for (const [number, layout] of restored.layouts)
            job.layouts.set(number, layout);
          job.storedRow = undefined;
          job.nextOccurrence = restored.nextOccurrence;
          rows = ProgressRows.create(++term, MAX_ROW_BYTES);
        }
        stored = describeJob(restore(job, table).restored);
      }
      expect(job.layouts.size).to.be.greaterThan(0);
    });
});
