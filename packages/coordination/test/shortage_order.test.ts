import {StepSpec} from '@mustardlug/jobs/job_spec';
import {JobState} from '@mustardlug/jobs/job_state';
import {QueueConfig} from '@mustardlug/jobs/queue_config';
import {SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {RandomSource} from '@mustardlug/base/random_source';
import {expect} from 'chai';
import {ShortageTracker} from '../src/shortage_tracker.js';
import {
  createWaitingStep,
  Shortage,
  sortWaitingSteps,
  WaitingStep,
} from '../src/task_order.js';
import {createTestJob, createTestStep} from './test_runs.js';

const LOW_QUEUE: QueueConfig = {
  ...SAMPLE_QUEUE,
  name: 'reports',
  priority: 2,
};
const SHORT: Shortage = {services: new Set([SAMPLE_QUEUE.serviceName])};
const STEP_MS = 50;

interface PlayedJob {
  readonly job: JobState;
  readonly isLarge: boolean;
  readonly queue: QueueConfig;
  endMs?: number;
}

function toWaiting({job, queue}: PlayedJob): WaitingStep | undefined {
  const occurrence = job.occurrences.get(0);
  const [step] = occurrence?.getEligibleSteps() ?? [];
  return step && createWaitingStep(job, 0, step, queue);
}

function getLateLimitMs({job}: PlayedJob): number {
  const {steps} = job.accepted.spec;
  let pathMs = 0;
  for (const {estimatedMs} of steps) pathMs += estimatedMs;
  return job.getDueMs(0) + 3 * (1.5 * pathMs + 400);
}

/**
 * Plays jobs on a pool of cores whose tasks are placed in the order of `sortWaitingSteps`. The
 * real durations are between half and twice the estimates.
 */
class PlayedPool {
  readonly jobs: PlayedJob[] = [];
  private readonly random = RandomSource.create(7);
  private readonly ends: Array<{
    atMs: number;
    cores: number;
    finish: () => void;
  }> = [];
  private freeCores: number;
  private nowMs = 0;

  constructor(
    cores: number,
    private readonly shortage: Shortage | undefined,
  ) {
    this.freeCores = cores;
  }

  submit(fields: Partial<StepSpec>, stepCount: number, queue: QueueConfig) {
    const steps = Array.from({length: stepCount}, (_, index) =>
      createTestStep({...fields, dependsOn: index === 0 ? [] : [index - 1]}),
    );
    const job = createTestJob(steps, queue, this.nowMs);
    const isLarge = (fields.taskCount ?? 1) >= 20;
    this.jobs.push({job, queue, isLarge});
  }

  removeCores(cores: number): void {
    this.freeCores -= cores;
  }

  advance(): void {
    this.nowMs += STEP_MS;
    const due = this.ends.filter(({atMs}) => atMs <= this.nowMs);
    for (const each of due) {
      this.ends.splice(this.ends.indexOf(each), 1);
      this.freeCores += each.cores;
      each.finish();
    }
    const waiting = this.jobs
      .filter(({endMs}) => endMs === undefined)
      .map(toWaiting)
      .filter(step => step !== undefined);
    for (const each of sortWaitingSteps(waiting, this.nowMs, this.shortage))
      this.place(each);
  }

  /** Gets the fraction of the selected jobs that ended within their late limit. */
  getUsefulFraction(select: (job: PlayedJob) => boolean): number {
    const judged = this.jobs.filter(select);
    const useful = judged.filter(
      each => each.endMs !== undefined && each.endMs <= getLateLimitMs(each),
    );
    return useful.length / judged.length;
  }

  private place({job, step}: WaitingStep): void {
    const cores = step.spec.needs.cpuMillis / 1_000;
    for (const task of step.tasks) {
      if (task.isDone || task.hasRun || this.freeCores < cores) continue;
      this.freeCores -= cores;
      task.hasRun = true;
      job.phase = 'running';
      const factor = 2 ** (2 * this.random.getFloat() - 1);
      const atMs = this.nowMs + step.spec.estimatedMs * factor;
      const finish = () => {
        step.markDone(task);
        if (!job.occurrences.get(0)?.isDone()) return;
        const played = this.jobs.find(each => each.job === job);
        if (played !== undefined) played.endMs = this.nowMs;
      };
      this.ends.push({atMs, cores, finish});
    }
  }
}

function createNeeds(cores: number) {
  return {cpuMillis: cores * 1_000, memoryMb: 1, accelerators: 0};
}

/** Plays a burst of large low-priority jobs, small ones of the same queue and urgent ones beside it. */
function playBurst(shortage: Shortage | undefined): PlayedPool {
  const pool = new PlayedPool(560, shortage);
  const large = {taskCount: 20, needs: createNeeds(7), estimatedMs: 1_900};
  const small = {taskCount: 4, needs: createNeeds(4), estimatedMs: 800};
  for (let step = 0; step < 800; step++) {
    if (step % 20 === 0) pool.submit(small, 1, SAMPLE_QUEUE);
    if (step % 3 === 0) pool.submit(small, 1, LOW_QUEUE);
    const isBurst = step % 600 < 450;
    if (step % (isBurst ? 12 : 80) === 0) pool.submit(large, 2, LOW_QUEUE);
    pool.advance();
  }
  for (let step = 0; step < 400; step++) pool.advance();
  return pool;
}

describe('order of placement while capacity is short', () => {
  it('makes fewer jobs useless in a burst of large ones, and urgent ones none, with estimates off by two', () => {
    const before = playBurst(undefined);
    const after = playBurst(SHORT);
    const all = () => true;
    expect(after.getUsefulFraction(all)).to.be.above(
      before.getUsefulFraction(all) + 0.03,
    );
    const isLarge = (each: PlayedJob) => each.isLarge;
    expect(after.getUsefulFraction(isLarge)).to.be.above(
      before.getUsefulFraction(isLarge) + 0.2,
    );
    expect(
      after.getUsefulFraction(({queue}) => queue === SAMPLE_QUEUE),
    ).to.equal(1);
  });

  it('serves the large jobs at least half as often as the queue', () => {
    const pool = playBurst(SHORT);
    const isLow = ({queue}: PlayedJob) => queue === LOW_QUEUE;
    const large = pool.getUsefulFraction(each => isLow(each) && each.isLarge);
    expect(large).to.be.above(pool.getUsefulFraction(isLow) / 2);
  });

  it('works off the backlog after the loss of a third of the capacity without making all jobs useless', () => {
    const results = [undefined, SHORT].map(shortage => {
      const pool = new PlayedPool(480, shortage);
      const job = {taskCount: 6, needs: createNeeds(5), estimatedMs: 1_000};
      for (let step = 0; step < 800; step++) {
        if (step === 200) pool.removeCores(160);
        const taskCount = step % 40 === 0 ? 20 : 6;
        if (step % 2 === 0) pool.submit({...job, taskCount}, 1, LOW_QUEUE);
        pool.advance();
      }
      for (let step = 0; step < 200; step++) pool.advance();
      return pool.getUsefulFraction(() => true);
    });
    expect(results[1]).to.be.above(results[0]);
  });

  it('leaves the order of services that are not short as it was', () => {
    const jobs = [1, 2, 3].map(number => {
      const queue = {...SAMPLE_QUEUE, serviceName: `service-${number % 2}`};
      const spec = createTestStep({taskCount: number});
      const job = createTestJob([spec], queue, number);
      return createWaitingStep(job, 0, job.occurrences.get(0)!.steps[0], queue);
    });
    const shortage = {services: new Set(['other'])};
    expect(sortWaitingSteps(jobs, 100, shortage)).to.deep.equal(
      sortWaitingSteps(jobs, 100),
    );
  });
});

describe(ShortageTracker.name, () => {
  it('counts a service as short for a second, and none whose queues have one priority', () => {
    const tracker = ShortageTracker.create();
    const {serviceName} = SAMPLE_QUEUE;
    tracker.recordPass([serviceName, 'other'], [SAMPLE_QUEUE, LOW_QUEUE], 0);
    expect([...tracker.getShortServices(900)]).to.deep.equal([serviceName]);
    expect(tracker.getShortServices(1_000).size).to.equal(0);
    tracker.recordPass([serviceName], [SAMPLE_QUEUE], 2_000);
    expect(tracker.getShortServices(2_000).size).to.equal(0);
  });
});
