import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  createTaskRun,
  encodeRowValue,
  StoredJob,
  toStoredProgress,
} from '@mustardlug/jobs/job_codec';
import {StepSpec} from '@mustardlug/jobs/job_spec';
import {
  JobState,
  MAX_CHECKPOINT_BYTES,
  StepState,
} from '@mustardlug/jobs/job_state';
import {DeploymentConfig, QueueConfig} from '@mustardlug/jobs/queue_config';
import {EndedRun} from '@mustardlug/platform/job_worker_client';
import {SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {HybridLogicalClock} from '@mustardlug/telemetry/hybrid_logical_clock';
import {expect} from 'chai';
import {InvalidRowReporter} from '../src/invalid_row_reporter.js';
import {JobTracker} from '../src/job_tracker.js';
import {createTestEvents} from './test_events.js';
import {getTaskName} from '../src/task_names.js';
import {RejectedJobs} from '../src/rejected_jobs.js';
import {AssignedRun} from '../src/worker_load.js';
import {createTestStep} from './test_runs.js';

const JOB_ID = '00000000000000aa';

/** A tracker, and the names of the tasks whose runs it stopped. */
interface TrackerFixture {
  readonly tracker: JobTracker;
  readonly stoppedTasks: string[];
  /** Tasks that ended with a checkpoint that was too large to be kept. */
  readonly omittedTasks: string[];
}

function createTracker(config?: DeploymentConfig): TrackerFixture {
  const clock = VirtualClock.create();
  const stoppedTasks: string[] = [];
  const omittedTasks: string[] = [];
  const tracker = JobTracker.create({
    clock,
    events: EventRecorder.create({
      nodeId: 'node-1',
      clock: HybridLogicalClock.create(clock),
      capacity: 16,
    }),
    getConfig: () => config,
    stopTaskRuns: taskName => void stoppedTasks.push(taskName),
    onCheckpointOmitted: ({taskName}) => void omittedTasks.push(taskName),
    invalidRows: InvalidRowReporter.create(createTestEvents(clock)),
    rejectedJobs: RejectedJobs.create(clock, createTestEvents(clock)),
  });
  return {tracker, stoppedTasks, omittedTasks};
}

function createJobRow(steps: readonly StepSpec[], queue = SAMPLE_QUEUE) {
  const spec = {specification: '', steps};
  const stored: StoredJob = {
    kind: 'accepted',
    job: {spec, queue, acceptedMs: 0},
  };
  return {
    table: 'jobs',
    part: '',
    key: JOB_ID,
    value: encodeRowValue(stored),
    version: 1,
  };
}

function getOnlyJob(tracker: JobTracker): JobState | undefined {
  return [...tracker.getActiveJobs()].at(0);
}

/** Accepts a job and returns its first step. */
function acceptJob(
  {tracker}: TrackerFixture,
  steps: readonly StepSpec[],
): StepState {
  tracker.applyRows([createJobRow(steps)]);
  const job = getOnlyJob(tracker)!;
  job.createDueOccurrences(0);
  return job.occurrences.get(0)!.steps[0];
}

function placeRun(
  {tracker}: TrackerFixture,
  step: StepState,
  taskIndex: number,
  runNumber = 2,
): AssignedRun {
  const job = getOnlyJob(tracker)!;
  const task = step.tasks[taskIndex];
  const run = createTaskRun('worker-1', 1, runNumber, 0);
  task.runs.push(run);
  const taskName = getTaskName(job, 0, step, task);
  return {
    job,
    occurrence: 0,
    step,
    task,
    run,
    taskName,
    commandResponseMs: undefined,
  };
}

function createEnd(taskName: string, runNumber: number): EndedRun {
  return {sequence: 1, taskName, runNumber, outcome: 'done', checkpoint: ''};
}

/** Restores the stored state in a new tracker, as the next coordinator does. */
function takeOver(
  job: JobState,
  steps: readonly StepSpec[],
): TrackerFixture & {readonly job: JobState | undefined} {
  const fixture = createTracker();
  const progressRow = {
    table: 'progress',
    part: '',
    key: JOB_ID,
    value: encodeRowValue(toStoredProgress(job)),
    version: 2,
  };
  const progress = {rows: [progressRow], parts: []};
  fixture.tracker.restore([createJobRow(steps)], progress, 0);
  return {...fixture, job: getOnlyJob(fixture.tracker)};
}

describe(JobTracker.name, () => {
  it('records the end of a run whose checkpoint is too large, and keeps the previous checkpoint', () => {
    const fixture = createTracker();
    const step = acceptJob(fixture, [createTestStep({taskCount: 2})]);
    const [task, other] = step.tasks;
    const end = (taskIndex: number, runNumber: number, checkpoint: string) => {
      const assigned = placeRun(fixture, step, taskIndex, runNumber);
      const ended = createEnd(assigned.taskName, runNumber);
      const outcome = taskIndex === 0 ? 'stopped' : 'done';
      fixture.tracker.recordRunEnd(assigned, {...ended, outcome, checkpoint});
    };
    end(0, 1, 'kept');
    end(0, 2, 'x'.repeat(MAX_CHECKPOINT_BYTES));
    expect(task).to.deep.include({checkpoint: 'kept', runs: []});
    end(1, 3, 'x'.repeat(10 * MAX_CHECKPOINT_BYTES));
    expect(other.isDone).to.equal(true);
    expect(fixture.omittedTasks).to.deep.equal([
      `${JOB_ID}.0.0.0`,
      `${JOB_ID}.0.0.1`,
    ]);
  });

  it('accepts the other jobs of a batch if one row fails unexpectedly', () => {
    const {tracker} = createTracker();
    const row = createJobRow([createTestStep()]);
    const failing = {
      ...row,
      key: 'failing',
      get value(): Buffer {
        throw new Error('injected');
      },
    };
    tracker.applyRows([failing, row]);
    expect(getOnlyJob(tracker)?.getId()).to.equal(JOB_ID);
  });

  it('keeps the run of a task that an earlier run completed, across a takeover', () => {
    const steps = [createTestStep({taskCount: 2, maxPerWorker: 1})];
    const fixture = createTracker();
    const step = acceptJob(fixture, steps);
    const {job, taskName} = placeRun(fixture, step, 0);
    fixture.tracker.recordUnassignedRunEnd(createEnd(taskName, 1));
    expect(fixture.stoppedTasks).to.deep.equal([taskName]);
    const restored = takeOver(job, steps).job?.occurrences.get(0)?.steps[0];
    expect(restored?.tasks[0]).to.include({isDone: true});
    expect(restored?.tasks[0].runs).to.have.length(1);
  });

  it('keeps a completed job active across a takeover until its last run ends', () => {
    const steps = [createTestStep()];
    const fixture = createTracker();
    const step = acceptJob(fixture, steps);
    const {job, taskName} = placeRun(fixture, step, 0);
    fixture.tracker.recordUnassignedRunEnd(createEnd(taskName, 1));
    expect(job.phase).to.equal('completed');
    const successor = takeOver(job, steps);
    expect(successor.job?.hasRuns()).to.equal(true);
    const restoredStep = successor.job!.occurrences.get(0)!.steps[0];
    const [task] = restoredStep.tasks;
    const [run] = task.runs;
    successor.tracker.releaseRun({
      job: successor.job!,
      occurrence: 0,
      step: restoredStep,
      task,
      run,
      taskName,
      commandResponseMs: undefined,
    });
    expect(getOnlyJob(successor.tracker)).to.equal(undefined);
  });

  it('keeps the runs of a cancelled job across a takeover', () => {
    const steps = [createTestStep({taskCount: 2})];
    const fixture = createTracker();
    const step = acceptJob(fixture, steps);
    const {job} = placeRun(fixture, step, 1);
    const cancelRow = {...createJobRow(steps), key: `${JOB_ID}.cancel`};
    fixture.tracker.applyRows([cancelRow]);
    expect(job.phase).to.equal('cancelled');
    expect(takeOver(job, steps).job?.hasRuns()).to.equal(true);
  });

  for (const [name, queues, expected] of [
    ['no configuration', undefined, 'first'],
    ['a configuration without the queue', [{name: 'other'}], 'first'],
    ['another service of the queue', [{serviceName: 'second'}], 'second'],
    [
      'another queue for its endpoint',
      [{name: 'other', serviceName: 'second'}],
      'first',
    ],
  ] as Array<[string, Array<Partial<QueueConfig>> | undefined, string]>)
    it(`runs a job on the service of its queue with ${name}`, () => {
      const accepted = {...SAMPLE_QUEUE, serviceName: 'first'};
      const config = queues && {
        version: 2,
        queues: queues.map(fields => ({...accepted, ...fields})),
        services: [],
        limits: {maxBodyBytes: 1},
      };
      const {tracker} = createTracker(config);
      tracker.applyRows([createJobRow([createTestStep()], accepted)]);
      const queue = tracker.getQueue(getOnlyJob(tracker)!);
      expect(queue.serviceName).to.equal(expected);
    });

  describe('crashes at the start of a task', () => {
    let fixture: TrackerFixture;
    let step: StepState;
    let nextRunNumber = 1;

    beforeEach(() => {
      fixture = createTracker();
      step = acceptJob(fixture, [createTestStep({taskCount: 2})]);
    });

    /** Records attributed crashes of different workers. */
    function recordCrashes(count: number): AssignedRun {
      const assigned = placeRun(fixture, step, 0);
      for (let index = 0; index < count; index++) {
        const runNumber = nextRunNumber++;
        const run = {...assigned.run, runNumber, workerId: `worker-${index}`};
        fixture.tracker.recordStartCrash({
          assigned: {...assigned, run},
          isAttributed: true,
          reason: '',
        });
      }
      return assigned;
    }

    it('fail the job after three workers, with a reason that names them', () => {
      const {job, taskName} = recordCrashes(3);
      expect(job.phase).to.equal('failed');
      expect(job.failureReason).to.equal(
        `task ${taskName} crashed 3 workers that started it: worker-0, worker-1, worker-2`,
      );
    });

    it('do not fail the job if they are all of one worker, until there are five', () => {
      const {job} = recordCrashes(1);
      for (let count = 2; count <= 4; count++) recordCrashes(1);
      expect(job.phase).to.equal('pending');
      recordCrashes(1);
      expect(job.phase).to.equal('failed');
    });

    it('count once for each run, also across a takeover', () => {
      const assigned = placeRun(fixture, step, 0);
      const suspected = {assigned, isAttributed: true, reason: ''};
      fixture.tracker.recordStartCrash(suspected);
      fixture.tracker.recordStartCrash(suspected);
      expect(assigned.task.startCrashes).to.have.length(1);
    });

    it('can be withdrawn one by one', () => {
      const assigned = placeRun(fixture, step, 0);
      const other = {...assigned, run: {...assigned.run, runNumber: 77}};
      for (const each of [assigned, other])
        fixture.tracker.recordStartCrash({
          assigned: each,
          isAttributed: true,
          reason: '',
        });
      fixture.tracker.withdrawStartCrash(assigned);
      const numbers = assigned.task.startCrashes.map(crash => crash.runNumber);
      expect(numbers).to.deep.equal([77]);
    });

    it('are cleared by a run that is proven', () => {
      const assigned = recordCrashes(2);
      fixture.tracker.recordRunProven(assigned);
      expect(recordCrashes(2).job.phase).to.equal('pending');
    });

    it('are cleared by a run that fails by itself', () => {
      const assigned = recordCrashes(2);
      const {taskName, run} = assigned;
      const end = createEnd(taskName, run.runNumber);
      fixture.tracker.recordRunEnd(assigned, {...end, outcome: 'failed'});
      expect(recordCrashes(2).job.phase).to.equal('pending');
    });

    it('are cleared by a lapsed run that a worker lists after it was given up', () => {
      const {taskName} = recordCrashes(2);
      const end = createEnd(taskName, 1);
      fixture.tracker.recordUnassignedRunEnd({...end, outcome: 'lapsed'});
      expect(recordCrashes(2).job.phase).to.equal('pending');
    });
  });

  describe('failures of the members of a gang', () => {
    const steps = [createTestStep({taskCount: 3, isGang: true})];
    let fixture: TrackerFixture;
    let step: StepState;

    beforeEach(() => {
      fixture = createTracker();
      step = acceptJob(fixture, steps);
    });

    /** Records that members failed in one run. */
    function failMembers(
      {tracker}: TrackerFixture,
      members: readonly AssignedRun[],
    ): void {
      for (const assigned of members) {
        const {taskName, run} = assigned;
        const end = createEnd(taskName, run.runNumber);
        tracker.recordRunEnd(assigned, {...end, outcome: 'failed'});
      }
    }

    function placeGang(runNumber: number): AssignedRun[] {
      return step.tasks.map(({index}) =>
        placeRun(fixture, step, index, runNumber),
      );
    }

    it('count once for each run, and fail the job with the last attempt', () => {
      const job = getOnlyJob(fixture.tracker)!;
      failMembers(fixture, placeGang(1));
      failMembers(fixture, placeGang(2));
      expect(job.isEnded()).to.equal(false);
      failMembers(fixture, placeGang(3));
      expect(job.phase).to.equal('failed');
      expect(job.failureReason).to.equal('the gang of step 0 failed 3 times');
    });

    it('count once for a run that fails before and after a takeover', () => {
      failMembers(fixture, placeGang(1));
      const [first, ...others] = placeGang(2);
      failMembers(fixture, [first]);
      const successor = takeOver(first.job, steps);
      const restoredStep = successor.job!.occurrences.get(0)!.steps[0];
      const restored = others.map(assigned => {
        const task = restoredStep.tasks[assigned.task.index];
        const run = task.runs.at(-1)!;
        return {
          ...assigned,
          job: successor.job!,
          step: restoredStep,
          task,
          run,
        };
      });
      failMembers(successor, restored);
      expect(successor.job!.isEnded()).to.equal(false);
      expect(restoredStep.getFailureCount(restoredStep.tasks[0])).to.equal(2);
    });

    it('of rows of earlier versions count as often as one member failed', () => {
      for (const task of step.tasks) task.failures = 2;
      const restored = takeOver(getOnlyJob(fixture.tracker)!, steps).job!;
      const [restoredStep] = restored.occurrences.get(0)!.steps;
      expect(restoredStep.getFailureCount(restoredStep.tasks[0])).to.equal(2);
    });
  });
});
