import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {createTaskRun} from '@mustardlug/jobs/job_codec';
import {StepSpec} from '@mustardlug/jobs/job_spec';
import {JobState} from '@mustardlug/jobs/job_state';
import {QueueConfig} from '@mustardlug/jobs/queue_config';
import {SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {BatchHeadroom} from '../src/batch_headroom.js';
import {InterferenceModel} from '../src/interference_model.js';
import {
  getWaitingSteps,
  PlacementPass,
  PlacementWorker,
} from '../src/placement_pass.js';
import {PlacementRound} from '../src/placement_round.js';
import {RoomReservations} from '../src/room_reservations.js';
import {getTaskName} from '../src/task_names.js';
import {AssignedRun} from '../src/worker_load.js';
import {WorkerSession} from '../src/worker_session.js';
import {createTestJob, createTestLoad, createTestStep} from './test_runs.js';

const LOW_QUEUE: QueueConfig = {
  ...SAMPLE_QUEUE,
  name: 'reports',
  pathPrefix: '/reports/',
  priority: 2,
};
const QUEUES = [SAMPLE_QUEUE, LOW_QUEUE];

const STEP_MS = 100;
const BATCH_MS = 700;
/** CPU capacities of workers of uneven size, 1 to 1.5 times the smallest one. */
const CAPACITIES = [64_000, 80_000, 96_000];

function createNeeds(cpuMillis: number) {
  return {cpuMillis, memoryMb: 100, accelerators: 0};
}

/** Workers, jobs and time of one service whose tasks are placed by passes. */
class TestFleet {
  readonly headroom = BatchHeadroom.create();
  readonly jobs: JobState[] = [];
  readonly workers: PlacementWorker[] = [];
  private readonly runs = new Set<{
    assigned: AssignedRun;
    worker: PlacementWorker;
  }>();
  private readonly reservations = RoomReservations.create();
  nowMs = 0;

  private constructor(
    workerCount: number,
    private readonly queues: readonly QueueConfig[],
  ) {
    for (let index = 0; index < workerCount; index++) {
      const id = `worker-${index}`;
      const session = {getId: () => id} as WorkerSession;
      const load = createTestLoad(CAPACITIES[index % CAPACITIES.length]);
      this.workers.push({
        session,
        load,
        rack: '',
        labels: [],
        acceptsFillers: true,
      });
    }
  }

  static create(workerCount: number, queues = QUEUES): TestFleet {
    return new TestFleet(workerCount, queues);
  }

  submit(fields: Partial<StepSpec>, queue = SAMPLE_QUEUE): JobState {
    const job = createTestJob([createTestStep(fields)], queue, this.nowMs);
    this.jobs.push(job);
    return job;
  }

  submitLongRunning(taskCount: number, cpuMillis = 13_000): JobState {
    const needs = createNeeds(cpuMillis);
    return this.submit({taskCount, isLongRunning: true, needs});
  }

  submitBatch(taskCount: number, cpuMillis = 8_100): JobState {
    const needs = createNeeds(cpuMillis);
    return this.submit({taskCount, estimatedMs: BATCH_MS, needs});
  }

  /** Ends the batch runs that are over and runs a pass, until a time. */
  runUntil(endMs: number, hasHeadroom = true): void {
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      this.endBatchRuns();
      this.runPass(hasHeadroom);
    }
  }

  getFreeFraction(): number {
    let free = 0;
    let capacity = 0;
    for (const {load} of this.workers) {
      free += load.getFreeCpuMillis();
      capacity += load.getCapacity().cpuMillis;
    }
    return free / capacity;
  }

  private endBatchRuns(): void {
    for (const each of this.runs) {
      const {step, task, run} = each.assigned;
      if (step.spec.isLongRunning) continue;
      if (this.nowMs - run.placedMs < BATCH_MS) continue;
      each.worker.load.removeRun(each.assigned);
      task.runs = [];
      step.markDone(task);
      this.runs.delete(each);
    }
  }

  private runPass(hasHeadroom: boolean): void {
    const {nowMs, headroom, workers, queues} = this;
    const workersByService = new Map([[SAMPLE_QUEUE.serviceName, workers]]);
    const waiting = getWaitingSteps(
      this.jobs,
      job => job.accepted.queue,
      nowMs,
    );
    const pass = PlacementPass.create({
      interferenceModel: InterferenceModel.create(),
      workersByService,
      maxPlacements: Infinity,
      reservations: this.reservations,
      headroom: hasHeadroom ? headroom : undefined,
      round: PlacementRound.create(VirtualClock.create()),
      nowMs,
      preempt: () => undefined,
      place: ({waiting: {job, occurrence, step}, task, worker}) => {
        const run = createTaskRun(worker.session.getId(), 1, 1, nowMs);
        run.isProven = true;
        task.runs.push(run);
        task.hasRun = true;
        const taskName = getTaskName(job, occurrence, step, task);
        const commandResponseMs = undefined;
        const assigned: AssignedRun = {
          ...{job, occurrence, step, task, run, taskName, commandResponseMs},
        };
        worker.load.addRun(assigned);
        this.runs.add({assigned, worker});
        return assigned;
      },
      undo: () => undefined,
    });
    pass.run(waiting, nowMs);
    headroom.recordPass({
      ...{queues, workersByService, waiting, nowMs, wallMs: nowMs},
    });
  }
}

function countRuns(job: JobState): number {
  const [step] = job.occurrences.get(0)!.steps;
  return step.tasks.filter(task => task.runs.length > 0).length;
}

function isDone(job: JobState): boolean {
  return job.occurrences.get(0)?.steps.every(step => step.isDone()) ?? true;
}

/**
 * Plays waves of urgent batch jobs, 10 tasks each, between long-running jobs that arrive until
 * they hold all the room that they get. Returns the fraction of batch jobs of the second
 * half that met their objective of 1.5 x critical path + 400 ms.
 */
function playWaves(hasHeadroom: boolean): number {
  const fleet = TestFleet.create(30);
  const waves: Array<{job: JobState; endMs: number}> = [];
  for (let second = 0; second < 60; second++) {
    const endMs = fleet.nowMs + 1.5 * BATCH_MS + 400;
    if (second % 2 === 0) {
      for (let index = 0; index < 4; index++)
        waves.push({job: fleet.submitBatch(10), endMs});
    }
    if (second < 30) fleet.submitLongRunning(8);
    for (let part = 1; part <= 10; part++) {
      fleet.runUntil(second * 1_000 + part * 100, hasHeadroom);
      for (const wave of waves) {
        if (!isDone(wave.job) && fleet.nowMs > wave.endMs) wave.endMs = -1;
      }
    }
  }
  const judged = waves.slice(waves.length / 2);
  return judged.filter(({endMs}) => endMs > 0).length / judged.length;
}

describe(BatchHeadroom.name, () => {
  it('keeps room for waves of urgent batch jobs, which long-running tasks would hold for good', () => {
    expect(playWaves(false), 'without headroom').to.be.below(0.5);
    expect(playWaves(true)).to.be.above(0.9);
  });

  it('gives long-running tasks all room but that for the batch work, and all of it without batch work', () => {
    const fleet = TestFleet.create(30);
    for (let second = 0; second < 40; second++) {
      fleet.submitLongRunning(10, 8_000);
      if (second % 2 === 0) fleet.submitBatch(10);
      fleet.runUntil(fleet.nowMs + 1_000);
    }
    fleet.runUntil(fleet.nowMs + 1_000);
    // A wave needs 81 of 2,400 cores.
    expect(fleet.getFreeFraction()).to.be.within(0.03, 0.07);
    fleet.runUntil(fleet.nowMs + 31_000);
    expect(fleet.getFreeFraction()).to.be.below(0.01);
  });

  it('counts no gaps that are smaller than a batch task', () => {
    const fleet = TestFleet.create(30);
    fleet.submitBatch(14, 30_000);
    fleet.runUntil(1_000);
    // Leaves 20 cores on each worker: a quarter of the capacity, but room for no batch task.
    const size = (index: number) => CAPACITIES[index % 3] - 20_000;
    const jobs = fleet.workers.map((_, index) =>
      fleet.submitLongRunning(1, size(index)),
    );
    fleet.runUntil(3_000);
    const runCount = jobs.filter(job => countRuns(job) === 1).length;
    expect(runCount).to.be.within(10, 28);
    fleet.submitBatch(14, 30_000);
    fleet.runUntil(3_300);
    expect(isDone(fleet.jobs.at(-1)!)).to.equal(false);
    expect(countRuns(fleet.jobs.at(-1)!)).to.equal(14);
  });

  it('does not hold back interrupted tasks, or jobs while half of the capacity is free', () => {
    const fleet = TestFleet.create(6);
    // No more than one such batch task fits on a worker, so that the gaps count little.
    fleet.submitBatch(6, 60_000);
    fleet.runUntil(1_000);
    const early = fleet.submitLongRunning(12);
    fleet.runUntil(1_500);
    expect(countRuns(early), 'less than half in use').to.equal(12);
    fleet.submitBatch(2, 30_000);
    const late = fleet.submitLongRunning(20);
    fleet.runUntil(2_500);
    expect(countRuns(late)).to.be.below(20);
    for (const task of late.occurrences.get(0)!.steps[0].tasks)
      task.hasRun = true;
    fleet.runUntil(2_600);
    expect(countRuns(late), 'interrupted').to.equal(20);
  });

  it('starts one task of a job that was held back for a minute, and no further one, if room for the average is left', () => {
    const fleet = TestFleet.create(3);
    fleet.submitLongRunning(15);
    // Room for 4 batch tasks is left, and 2.2 of them run on average.
    let late: JobState | undefined;
    while (fleet.nowMs < 75_000) {
      fleet.submitBatch(4);
      if (fleet.nowMs === 5_200) late = fleet.submitLongRunning(5);
      fleet.runUntil(fleet.nowMs + 1_300);
      if (late === undefined) continue;
      const isOver = fleet.nowMs >= 5_200 + 60_000;
      expect(countRuns(late), `${fleet.nowMs} ms`).to.equal(isOver ? 1 : 0);
    }
  });

  it('never starts tasks that would leave less than the average demand', () => {
    const fleet = TestFleet.create(3);
    fleet.submitLongRunning(15);
    let late: JobState | undefined;
    while (fleet.nowMs < 120_000) {
      fleet.submitBatch(4);
      if (fleet.nowMs === 6_000) late = fleet.submitLongRunning(5);
      fleet.runUntil(fleet.nowMs + 1_000);
    }
    expect(countRuns(late!)).to.equal(0);
  });

  it('keeps no room on a service whose queues all have one priority', () => {
    const fleet = TestFleet.create(3, [SAMPLE_QUEUE]);
    fleet.submitBatch(4);
    fleet.runUntil(1_000);
    const job = fleet.submitLongRunning(17);
    fleet.runUntil(1_200);
    expect(countRuns(job)).to.equal(17);
  });

  it('reports once that tasks are held back, and once that they are not any more', () => {
    const fleet = TestFleet.create(3);
    fleet.submitBatch(6);
    fleet.runUntil(1_000);
    fleet.submitLongRunning(18);
    const workers = new Map([[SAMPLE_QUEUE.serviceName, fleet.workers]]);
    const changes: boolean[] = [];
    for (let second = 0; second < 40; second++) {
      fleet.runUntil(fleet.nowMs + 1_000);
      for (const change of fleet.headroom.takeChanges(workers, fleet.nowMs)) {
        changes.push(change.isHolding);
        expect(change.detail).to.include(SAMPLE_QUEUE.serviceName);
      }
    }
    expect(changes).to.deep.equal([true, false]);
  });
});
