import {RandomSource} from '@mustardlug/base/random_source';
import {expect} from 'chai';
import {
  createTaskRun,
  encodeRowValue,
  restoreProgress,
  StoredProgress,
  toStoredProgress,
} from '../src/job_codec.js';
import {
  JobSpec,
  MAX_JOB_TASKS,
  StepSpec,
  validateJobSpec,
} from '../src/job_spec.js';
import {JobState} from '../src/job_state.js';
import {findQueue, QueueConfig} from '../src/queue_config.js';
import {decodeStoredProgress, validateProgress} from '../src/stored_schemas.js';
import {formatTaskName, parseTaskName} from '../src/task_name.js';

/** Maximum size of a row's value that the platform's store accepts, in bytes. */
const MAX_ROW_BYTES = 65_536;

const STEP: StepSpec = {
  taskCount: 3,
  needs: {cpuMillis: 1_000, memoryMb: 100, accelerators: 0},
  estimatedMs: 500,
  dependsOn: [],
  isCheckpointing: true,
  isGang: false,
  isSameRackPreferred: false,
  maxPerWorker: 0,
  isSpeculative: false,
  isLongRunning: false,
  targetResponseMs: 0,
  isFiller: false,
};

const QUEUE: QueueConfig = {
  name: 'bookings',
  host: 'desk.example',
  pathPrefix: '/bookings/',
  serviceName: 'class-desk',
  priority: 0,
  maxAttempts: 3,
  stretch: 1.5,
  targetDurationMs: 400,
};

function createJob(fields: Partial<JobSpec> = {}): JobState {
  const spec = {specification: 'x', steps: [STEP], ...fields};
  const jobId = '00000000000000aa';
  return JobState.create({jobId, spec, queue: QUEUE, acceptedMs: 1_000});
}

describe('task names', () => {
  it('are parsed from their formatted form', () => {
    const name = {jobId: 'ab', occurrence: 2, stepIndex: 1, taskIndex: 17};
    expect(formatTaskName(name)).to.equal('ab.2.1.17');
    expect(parseTaskName('ab.2.1.17')).to.deep.equal(name);
  });

  for (const text of ['', 'ab', 'ab.1.2', 'ab.x.1.2', 'a.b.1.2.3'])
    it(`rejects "${text}"`, () =>
      expect(parseTaskName(text)).to.equal(undefined));
});

describe('findQueue', () => {
  it('selects the longest matching prefix of the host', () => {
    const short = {...QUEUE, name: 'short', pathPrefix: '/'};
    const other = {...QUEUE, name: 'other', host: 'else.example'};
    const config = {
      version: 1,
      queues: [short, other, QUEUE],
      services: [],
      limits: {maxBodyBytes: 1},
    };
    const find = (host: string, path: string) =>
      findQueue(config, host, path)?.name;
    expect(find('desk.example', '/bookings/1')).to.equal('bookings');
    expect(find('desk.example', '/x')).to.equal('short');
    expect(find('none.example', '/bookings/1')).to.equal(undefined);
  });
});

describe('validateJobSpec', () => {
  const expectProblemAt = (spec: Partial<JobSpec>, path: string) => {
    const full = {specification: '', steps: [STEP], ...spec};
    const error = validateJobSpec(full)._unsafeUnwrapErr();
    expect(error.problems.map(problem => problem.path)).to.deep.equal([path]);
  };

  it('reports a specification that is too long', () =>
    expectProblemAt({specification: 'é'.repeat(2_001)}, 'specification'));

  it('reports a job without steps', () =>
    expectProblemAt({steps: []}, 'steps'));

  it('reports a step that depends on itself', () =>
    expectProblemAt({steps: [{...STEP, dependsOn: [0]}]}, 'steps.0.after'));

  it('reports a step without tasks', () =>
    expectProblemAt({steps: [{...STEP, taskCount: 0}]}, 'steps.0.count'));
});

describe(JobState.name, () => {
  it('returns a step only when its dependencies are done', () => {
    const steps = [STEP, {...STEP, dependsOn: [0]}];
    const job = createJob({steps});
    job.createDueOccurrences(1_000);
    const occurrence = job.occurrences.get(0)!;
    const [first] = occurrence.steps;
    expect(occurrence.getEligibleSteps()).to.deep.equal([first]);
    for (const task of first.tasks) first.markDone(task);
    expect(occurrence.getEligibleSteps()).to.deep.equal([occurrence.steps[1]]);
  });

  it('creates occurrences when they are due, and completes after the last one', () => {
    const schedule = {repetitions: 2, firstRunMs: 5_000, intervalMs: 1_000};
    const job = createJob({schedule});
    job.createDueOccurrences(4_999);
    expect(job.occurrences.size).to.equal(0);
    job.createDueOccurrences(6_000);
    expect([...job.occurrences.keys()]).to.deep.equal([0, 1]);
    for (const {steps} of job.occurrences.values()) {
      for (const task of steps[0].tasks) steps[0].markDone(task);
    }
    job.removeDoneOccurrences();
    expect(job.phase).to.equal('completed');
  });

  it('restores stored progress, with its runs marked as adopted', () => {
    const job = createJob();
    job.createDueOccurrences(1_000);
    job.phase = 'running';
    const step = job.occurrences.get(0)!.steps[0];
    step.markDone(step.tasks[0]);
    step.tasks[1].failures = 1;
    step.tasks[1].checkpoint = 'half';
    step.tasks[1].hasRun = true;
    step.tasks[2].hasRun = true;
    const run = createTaskRun('worker-1', 7, 1_001, 0);
    step.tasks[1].runs = [run];
    const stored = decodeStoredProgress(
      'job-1',
      encodeRowValue(toStoredProgress(job)),
    )._unsafeUnwrap();
    const restored = createJob();
    restoreProgress(restored, stored, 0);
    step.tasks[1].runs = [{...run, isAdopted: true}];
    expect(restored.occurrences).to.deep.equal(job.occurrences);
    expect(restored.phase).to.equal('running');
    expect(restored.nextOccurrence).to.equal(1);
  });

  it('restores which runs are proven, also of done tasks; earlier versions did not store it', () => {
    const job = createJob();
    job.createDueOccurrences(1_000);
    const step = job.occurrences.get(0)!.steps[0];
    const run = {...createTaskRun('worker-1', 7, 1_001, 0), isProven: true};
    step.tasks[0].runs = [run];
    step.tasks[1].runs = [run];
    step.markDone(step.tasks[1]);
    const stored = toStoredProgress(job);
    const restored = createJob();
    restoreProgress(restored, stored, 0);
    const [active, done] = restored.occurrences.get(0)!.steps[0].tasks;
    expect(active.runs[0].isProven).to.equal(true);
    expect(done.runs[0].isProven).to.equal(true);
    const [{number, steps}] = stored.occurrences;
    steps[0][0] = [0, '', ['worker-1', 7, 1_001]];
    const earlier = createJob();
    restoreProgress(earlier, {...stored, occurrences: [{number, steps}]}, 0);
    const [unproven] = earlier.occurrences.get(0)!.steps[0].tasks;
    expect(unproven.runs[0].isProven).to.equal(false);
  });

  it('restores until when the worker of a run may hold a lease', () => {
    const job = createJob();
    job.createDueOccurrences(1_000);
    const [task] = job.occurrences.get(0)!.steps[0].tasks;
    const run = createTaskRun('worker-1', 7, 1_001, 0);
    task.runs = [run, {...run, runNumber: 1_002, longLeaseEndStoreMs: 9_000}];
    const stored = decodeStoredProgress(
      'job-1',
      encodeRowValue(toStoredProgress(job)),
    )._unsafeUnwrap();
    const restored = createJob();
    restoreProgress(restored, stored, 0);
    const [{runs}] = restored.occurrences.get(0)!.steps[0].tasks;
    const ends = runs.map(({longLeaseEndStoreMs}) => longLeaseEndStoreMs);
    expect(ends).to.deep.equal([undefined, 9_000]);
  });

  it('rejects failed runs of a gang that the job does not have', () => {
    const job = createJob();
    job.createDueOccurrences(1_000);
    const [stored] = toStoredProgress(job).occurrences;
    const {spec} = job.accepted;
    for (const [stepIndex, isValid] of [
      [0, true],
      [1, false],
    ] as const) {
      const occurrences = [{...stored, failedGangRuns: [[stepIndex, 7]]}];
      const bytes = encodeRowValue({...toStoredProgress(job), occurrences});
      const progress = decodeStoredProgress('job-1', bytes).andThen(decoded =>
        validateProgress('job-1', decoded, spec),
      );
      expect(progress.isOk()).to.equal(isValid);
    }
  });

  it('takes a gang for done if one of its members is, as their parts may not all have been stored', () => {
    const fields = {steps: [{...STEP, isGang: true}]};
    const job = createJob(fields);
    const stored: StoredProgress = {
      phase: 'running',
      nextOccurrence: 1,
      occurrences: [
        {number: 0, steps: [[1, [0, '', ['worker-1', 5, 7]], [0, '']]]},
      ],
    };
    restoreProgress(job, stored, 0);
    const [step] = job.occurrences.get(0)!.steps;
    expect(step.isDone()).to.equal(true);
    expect(step.tasks[1].runs).to.have.length(1);
  });

  it('restores the runs of done tasks, also of an occurrence that is done', () => {
    const job = createJob();
    job.createDueOccurrences(1_000);
    const step = job.occurrences.get(0)!.steps[0];
    const run = createTaskRun('worker-1', 7, 1_001, 0);
    step.tasks[1].runs = [run];
    for (const task of step.tasks) step.markDone(task);
    job.removeDoneOccurrences();
    expect(job.phase).to.equal('completed');
    const stored = toStoredProgress(job);
    expect(stored.occurrences[0].steps).to.deep.equal([[1, 1, 1]]);
    const restored = createJob();
    restoreProgress(restored, stored, 0);
    step.tasks[1].runs = [{...run, isAdopted: true}];
    expect(restored.occurrences).to.deep.equal(job.occurrences);
    step.tasks[1].runs = [];
    job.removeDoneOccurrences();
    expect(job.occurrences.size).to.equal(0);
  });

  it('restores progress that was stored without the runs of done tasks', () => {
    const restored = createJob();
    const steps = [[1, 0, [1, 'half', ['worker-1', 7, 1_001]]]];
    const stored = {
      phase: 'running',
      nextOccurrence: 1,
      occurrences: [{number: 0, steps}],
    } as StoredProgress;
    restoreProgress(restored, stored, 0);
    const step = restored.occurrences.get(0)!.steps[0];
    expect(step.doneCount).to.equal(1);
    expect(step.tasks[2].runs).to.have.length(1);
    expect(toStoredProgress(restored).occurrences).to.deep.equal(
      stored.occurrences,
    );
  });

  it('restores compressed progress of a large job', () => {
    const tasks = Array.from({length: 100}, (_, index) => [
      0,
      '',
      [`worker-${index % 7}`, 7, 1_000 + index],
    ]);
    const occurrences = [{number: 0, steps: [tasks]}];
    const stored = {phase: 'running', nextOccurrence: 1, occurrences};
    const bytes = encodeRowValue(stored);
    expect(bytes.length).to.be.below(JSON.stringify(stored).length / 2);
    expect(decodeStoredProgress('job-1', bytes)._unsafeUnwrap()).to.deep.equal(
      stored,
    );
  });

  it('keeps the progress of the largest job within a row of the store', () => {
    const random = RandomSource.create(7);
    const getHex = (length: number) =>
      Array.from({length}, () => random.getIndex(16).toString(16)).join('');
    const tasks = Array.from({length: MAX_JOB_TASKS}, (_, index) => [
      1,
      getHex(16),
      [`i-${getHex(10)}`, 1_790_000_000_000 + index * 977, 3_000_001],
    ]);
    const occurrences = [{number: 0, steps: [tasks]}];
    const stored = {phase: 'running', nextOccurrence: 1, occurrences};
    expect(encodeRowValue(stored).length).to.be.below(MAX_ROW_BYTES);
  });

  it('creates due occurrences only as earlier ones are done', () => {
    const steps = [{...STEP, taskCount: 30}];
    const schedule = {repetitions: 1e9, firstRunMs: 0, intervalMs: 0};
    const job = JobState.create({
      ...createJob().accepted,
      spec: {specification: '', steps, schedule},
    });
    job.createDueOccurrences(1_000);
    expect(job.occurrences.size).to.equal(Math.floor(MAX_JOB_TASKS / 30));
    const [first] = job.occurrences.values();
    for (const task of first.steps[0].tasks) first.steps[0].markDone(task);
    job.removeDoneOccurrences();
    job.createDueOccurrences(1_000);
    expect(job.occurrences.size).to.equal(Math.floor(MAX_JOB_TASKS / 30));
  });

  it('stores no occurrences of a job that has ended', () => {
    const job = createJob();
    job.createDueOccurrences(1_000);
    job.phase = 'cancelled';
    job.endedMs = 2_000;
    expect(toStoredProgress(job)).to.deep.equal({
      phase: 'cancelled',
      nextOccurrence: 1,
      occurrences: [],
      endedMs: 2_000,
    });
  });

  it('restores whether it has started, apart from its phase', () => {
    for (const hasStarted of [false, true]) {
      const job = createJob();
      job.createDueOccurrences(2_000);
      job.phase = 'running';
      job.hasStarted = hasStarted;
      const restored = createJob();
      restoreProgress(restored, toStoredProgress(job), 0);
      expect(restored.hasStarted).to.equal(hasStarted);
    }
  });

  it('has started if a row of an earlier version shows a result', () => {
    const steps = [[[0, '1-2']], [[1, '']], [1]];
    for (const tasks of steps) {
      const stored = {
        phase: 'running',
        nextOccurrence: 1,
        occurrences: [{number: 0, steps: [tasks]}],
      };
      const restored = createJob();
      restoreProgress(restored, stored as unknown as StoredProgress, 0);
      expect(restored.hasStarted).to.equal(true);
    }
  });

  it('restores the crashes at the starts of its tasks, and why it failed', () => {
    const job = createJob();
    job.createDueOccurrences(2_000);
    const {tasks} = job.occurrences.get(0)!.steps[0];
    const startCrashes = [
      {workerId: 'worker-1', runNumber: 1, isAttributed: true},
      {workerId: 'worker-2', runNumber: 2, isAttributed: false},
    ];
    tasks[1].startCrashes = startCrashes;
    job.failureReason = 'reason';
    const bytes = encodeRowValue(toStoredProgress(job));
    const restored = createJob();
    const progress = decodeStoredProgress('job-1', bytes)._unsafeUnwrap();
    restoreProgress(restored, progress, 0);
    const restoredTasks = restored.occurrences.get(0)!.steps[0].tasks;
    expect(restoredTasks[0].startCrashes).to.deep.equal([]);
    expect(restoredTasks[1].startCrashes).to.deep.equal(startCrashes);
    expect(restored.failureReason).to.equal('reason');
  });
});
