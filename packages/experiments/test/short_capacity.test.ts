import {RandomSource} from '@mustardlug/base/random_source';
import {StepSpec} from '@mustardlug/jobs/job_spec';
import {QueueConfig} from '@mustardlug/jobs/queue_config';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness, JobHarnessOptions} from '../src/job_harness.js';

/** Time in which the first coordinator is elected, loads all state and fences the workers. */
const START_MS = 2_500;

const LOW_QUEUE: QueueConfig = {
  ...SAMPLE_QUEUE,
  name: 'reports',
  pathPrefix: '/reports/',
  priority: 2,
};

const MULTIPLE_OF_USE = 3;

/** Workers of uneven size, 1 to 1.5 times the smallest one. */
const UNEVEN_CPU_MILLIS = [8_000, 10_000, 12_000];

interface PlayedJob {
  readonly jobId: string;
  readonly queue: QueueConfig;
  readonly isLarge: boolean;
  readonly isRefused: boolean;
  readonly sentMs: number;
  readonly objectiveMs: number;
}

function createStep(
  taskCount: number,
  cores: number,
  fields: Partial<StepSpec> = {},
): StepSpec {
  const needs = {cpuMillis: cores * 1_000, memoryMb: 100, accelerators: 0};
  return createSampleStep(taskCount, {needs, ...fields});
}

/** A harness with two queues on one service, and the times at which jobs have ended. */
class ShortDeployment {
  readonly jobs: PlayedJob[] = [];
  readonly endsMs = new Map<string, number>();
  readonly eventCounts = new Map<string, number>();
  readonly harness: JobHarness;

  constructor(options: JobHarnessOptions) {
    this.harness = JobHarness.create({
      cpuMillis: 8_000,
      shortCapacityPolicy: 'delay-cost',
      additionalQueues: [LOW_QUEUE],
      sink: ({name, requestId, detail}) => {
        this.eventCounts.set(name, (this.eventCounts.get(name) ?? 0) + 1);
        if (name !== 'job-ended' || detail !== 'completed') return;
        if (requestId === undefined || this.endsMs.has(requestId)) return;
        this.endsMs.set(requestId, this.harness.clock.getMonotonicMs());
      },
      ...options,
    });
  }

  submit(steps: readonly StepSpec[], queue: QueueConfig, isLarge = false) {
    const sentMs = this.harness.clock.getMonotonicMs();
    let pathMs = 0;
    for (const {estimatedMs} of steps) pathMs += estimatedMs;
    const objectiveMs = pathMs * queue.stretch + queue.targetDurationMs;
    return this.harness
      .submitIfAdmitted(steps, queue)
      .then(({jobId, retryAfterMs}) => {
        const isRefused = retryAfterMs > 0;
        this.jobs.push({
          ...{jobId, queue, isLarge, isRefused, sentMs, objectiveMs},
        });
      });
  }

  /** Gets the fraction of the selected jobs that ended within a multiple of their objective. */
  getFraction(
    select: (job: PlayedJob) => boolean,
    multiple = MULTIPLE_OF_USE,
  ): number {
    const judged = this.jobs.filter(select);
    const served = judged.filter(({jobId, sentMs, objectiveMs}) => {
      const endMs = this.endsMs.get(jobId) ?? Infinity;
      return endMs - sentMs <= objectiveMs * multiple;
    });
    return served.length / judged.length;
  }

  countEvents(name: string): number {
    return this.eventCounts.get(name) ?? 0;
  }
}

/**
 * Plays 40 s of small urgent jobs, and of small and large ones of low priority that need a
 * quarter more than the workers have, which are of uneven size. The coordinator is lost once.
 */
async function playOverload(): Promise<ShortDeployment> {
  const random = RandomSource.create(5);
  const deployment = new ShortDeployment({
    workers: 10,
    // Real durations are between half and twice the estimates.
    getTaskMs: () => 800 * 2 ** (2 * random.getFloat() - 1),
  });
  const {harness} = deployment;
  for (let index = 0; index < 10; index++) {
    const cpuMillis = UNEVEN_CPU_MILLIS[index % UNEVEN_CPU_MILLIS.length];
    const capacity = {cpuMillis, memoryMb: 64_000, accelerators: 0};
    harness.resizeWorker(`worker-${index}`, capacity);
  }
  await harness.advance(START_MS);
  for (let step = 0; step < 400; step++) {
    if (step === 150) harness.killNode(harness.getCoordinator()!);
    if (step % 20 === 0)
      void deployment.submit([createStep(4, 2)], SAMPLE_QUEUE);
    if (step % 2 === 0) void deployment.submit([createStep(2, 2)], LOW_QUEUE);
    if (step % 7 === 0)
      void deployment.submit([createStep(20, 4)], LOW_QUEUE, true);
    await harness.advance(100);
  }
  await harness.advance(30_000);
  return deployment;
}

describe('two queues that are short of capacity', () => {
  it('serve urgent jobs in time, refuse large ones that would be late, and lose none that they accept, over a takeover', async () => {
    const deployment = await playOverload();
    const {harness} = deployment;
    expect(harness.checker.violations).to.deep.equal([]);
    for (const {jobId, isRefused} of deployment.jobs) {
      if (!isRefused)
        expect(await harness.getPhase(jobId)).to.equal('completed');
    }
    const isUrgent = ({queue}: PlayedJob) => queue === SAMPLE_QUEUE;
    const isLow = ({queue}: PlayedJob) => queue === LOW_QUEUE;
    const isLarge = (job: PlayedJob) => job.isLarge;
    const low = deployment.getFraction(isLow);
    // Tasks may take twice their estimates, so that a job can miss its objective without any wait.
    expect(deployment.getFraction(isUrgent, 1.25)).to.be.above(0.95);
    // Without the limits and by deadline alone: 0.81, 0.17 and 0.81.
    expect(low).to.be.above(0.88);
    expect(deployment.getFraction(isLarge)).to.be.above(low / 2);
    const isAcceptedLow = (job: PlayedJob) => isLow(job) && !job.isRefused;
    expect(deployment.getFraction(isAcceptedLow)).to.be.above(0.9);
    expect(deployment.countEvents('job-limit-changed')).to.be.above(0);
  });

  it('stop low-priority runs with a checkpoint for an urgent job, which end later', async () => {
    const deployment = new ShortDeployment({workers: 4});
    const {harness} = deployment;
    await harness.advance(START_MS);
    const long = {isCheckpointing: true, estimatedMs: 20_000};
    for (let job = 0; job < 6; job++)
      void deployment.submit([createStep(8, 2, long)], LOW_QUEUE);
    await harness.advance(4_000);
    for (let job = 0; job < 3; job++) {
      void deployment.submit([createStep(4, 2)], SAMPLE_QUEUE);
      await harness.advance(4_000);
    }
    expect(deployment.countEvents('run-preempted')).to.be.within(1, 16);
    const isUrgent = ({queue}: PlayedJob) => queue === SAMPLE_QUEUE;
    expect(deployment.getFraction(isUrgent, 1)).to.equal(1);
    await harness.advance(120_000);
    expect(deployment.endsMs.size).to.equal(deployment.jobs.length);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('keep room for waves of urgent jobs from long-running tasks that arrive', async () => {
    const deployment = new ShortDeployment({workers: 12});
    const {harness} = deployment;
    await harness.advance(START_MS);
    const serving = {isLongRunning: true};
    for (let wave = 0; wave < 20; wave++) {
      void deployment.submit([createStep(8, 2)], SAMPLE_QUEUE);
      for (let part = 0; part < 4; part++) {
        if (wave < 14)
          harness.submitWithoutWaiting(
            [createStep(1, 2, serving)],
            SAMPLE_QUEUE,
          );
        await harness.advance(500);
      }
    }
    const isLate = ({sentMs}: PlayedJob) => sentMs > START_MS + 20_000;
    // Without the room that is kept: 0.55.
    expect(deployment.getFraction(isLate, 1)).to.be.above(0.9);
    expect(deployment.countEvents('long-running-held')).to.be.above(0);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
