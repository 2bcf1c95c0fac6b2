import {StepSpec} from '@mustardlug/jobs/job_spec';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

/** ID of the first job of a harness. */
const FIRST_JOB_ID = '0000000000000001';

/** Time after its start at which the first job crashes its worker. */
const CRASH_DELAY_MS = 10;

/** Time by which a crash is noticed, as the lease has expired. */
const LOSS_MS = 5_500;

/** Time in which a waiting task has to run while there is room for it. */
const MAX_WAIT_MS = 3_000;

const LOAD_INTERVAL_MS = 100;

/** Fillers that spread over all workers, and end before their runs are proven. */
const SHORT_STEP = createSampleStep(12, {
  estimatedMs: 300,
  isFiller: true,
  image: 'short',
  needs: {cpuMillis: 400, memoryMb: 100, accelerators: 0},
});

/** Time for which other fillers take all CPU. */
const BACKLOG_MS = 60_000;

/** Time after which a filler job of one task of a second earns nothing: three times its objective. */
const OVERDUE_MS =
  3 * (1_000 * SAMPLE_QUEUE.stretch + SAMPLE_QUEUE.targetDurationMs);

const WAVE_WORKERS = 8;

const LARGE_WAVE_WORKERS = 20;

/** Tasks of the sample step for which a worker has room. */
const PLACES_PER_WORKER = 4;

const WAVE_COUNT = 10;

/** Tasks of lost workers have just been started again when the next wave comes. */
const WAVE_INTERVAL_MS = 6_100;

const WAVE_LOAD_INTERVAL_MS = 150;

/** Crashes half of the workers, others than in the wave before. */
function crashHalf(harness: JobHarness, wave: number): void {
  const upIds = [...harness.workers.keys()].filter(workerId =>
    harness.workers.get(workerId)?.isUp(),
  );
  const count = WAVE_WORKERS / 2;
  const crashedIds = Array.from(
    {length: count},
    (_, index) => upIds[(wave * count + index) % upIds.length],
  );
  harness.crashWorkers(crashedIds, {delayMs: 3_000, workerId: 'new'});
}

/** Gets the job of each run in progress. */
function getRunningJobs(harness: JobHarness): string[] {
  const jobIds: string[] = [];
  for (const worker of harness.workers.values()) {
    for (const {taskName} of worker.getRuns())
      jobIds.push(taskName.split('.')[0]);
  }
  return jobIds;
}

/**
 * Advances time until all jobs have ended.
 * @returns The longest time for which a job had no run while less than half of the
 *     places were in use.
 */
async function getMaxIdleMs(
  harness: JobHarness,
  jobIds: readonly string[],
  endedJobIds: ReadonlySet<string>,
): Promise<number> {
  const waits = new Map<string, number>();
  const placeCount = PLACES_PER_WORKER * harness.workers.size;
  let maxWaitMs = 0;
  while (endedJobIds.size < jobIds.length) {
    await harness.advance(LOAD_INTERVAL_MS);
    const running = getRunningJobs(harness);
    if (running.length >= placeCount / 2) waits.clear();
    for (const jobId of jobIds) {
      const isIdle = !endedJobIds.has(jobId) && !running.includes(jobId);
      const waitMs = (waits.get(jobId) ?? 0) + LOAD_INTERVAL_MS;
      waits.set(jobId, isIdle ? waitMs : 0);
      if (isIdle) maxWaitMs = Math.max(maxWaitMs, waitMs);
    }
  }
  return maxWaitMs;
}

/** Creates fillers of which each takes all CPU of a worker. */
function createFillerStep(taskCount: number, estimatedMs: number): StepSpec {
  return createSampleStep(taskCount, {
    estimatedMs,
    isFiller: true,
    image: 'wide',
    needs: {cpuMillis: 8_000, memoryMb: 100, accelerators: 0},
  });
}

describe('a suspected task', () => {
  it('is tried while every worker keeps starting short tasks', async () => {
    let isCrashing = true;
    const harness = JobHarness.create({
      workers: 8,
      getCrashDelayMs: taskName =>
        isCrashing && taskName.startsWith(FIRST_JOB_ID)
          ? CRASH_DELAY_MS
          : undefined,
    });
    await harness.advance(START_MS);
    const {jobId} = await harness.submit([createSampleStep(1)]);
    const settledMs = harness.clock.getMonotonicMs() + LOSS_MS + MAX_WAIT_MS;
    while (harness.clock.getMonotonicMs() < settledMs) {
      harness.submitWithoutWaiting([SHORT_STEP], SAMPLE_QUEUE);
      await harness.advance(LOAD_INTERVAL_MS);
      isCrashing = false;
    }
    expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('of a filler job without any run is tried once it is overdue although other fillers take all CPU', async () => {
    let isCrashing = true;
    const harness = JobHarness.create({
      workers: 8,
      getCrashDelayMs: taskName =>
        isCrashing && taskName.startsWith(FIRST_JOB_ID)
          ? CRASH_DELAY_MS
          : undefined,
    });
    const {clock} = harness;
    await harness.advance(START_MS);
    const {jobId} = await harness.submit([createFillerStep(1, 1_000)]);
    await harness.advance(LOSS_MS - LOAD_INTERVAL_MS);
    isCrashing = false;
    await harness.submit([createFillerStep(8, BACKLOG_MS)]);
    const overdueMs = clock.getMonotonicMs() + OVERDUE_MS;
    while (clock.getMonotonicMs() < overdueMs + MAX_WAIT_MS)
      await harness.advance(LOAD_INTERVAL_MS);
    expect(await harness.getPhase(jobId)).to.equal('completed');
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('does not wait for its trial with many others while half of the room is free', async () => {
    const endedJobIds = new Set<string>();
    const harness = JobHarness.create({
      workers: WAVE_WORKERS,
      sink: ({name, requestId}) => {
        if (name === 'job-ended') endedJobIds.add(requestId ?? '');
      },
    });
    const {clock} = harness;
    const jobIds: string[] = [];
    await harness.advance(START_MS);
    for (let wave = 0; wave < WAVE_COUNT; wave++) {
      const waveMs = clock.getMonotonicMs() + WAVE_INTERVAL_MS;
      while (clock.getMonotonicMs() < waveMs) {
        const steps = [createSampleStep(2, {estimatedMs: 1_500})];
        jobIds.push(harness.submitWithoutWaiting(steps, SAMPLE_QUEUE));
        const remainingMs = waveMs - clock.getMonotonicMs();
        await harness.advance(Math.min(WAVE_LOAD_INTERVAL_MS, remainingMs));
      }
      crashHalf(harness, wave);
    }
    await harness.advance(LOSS_MS);
    const maxWaitMs = await getMaxIdleMs(harness, jobIds, endedJobIds);
    expect(maxWaitMs).to.be.at.most(MAX_WAIT_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('does not wait for its trial behind others whose starts were followed by waves of crashes', async () => {
    const endedJobIds = new Set<string>();
    const harness = JobHarness.create({
      workers: LARGE_WAVE_WORKERS,
      sink: ({name, requestId}) => {
        if (name === 'job-ended') endedJobIds.add(requestId ?? '');
      },
    });
    await harness.advance(START_MS);
    const jobIds = Array.from({length: LARGE_WAVE_WORKERS}, () =>
      harness.submitWithoutWaiting(
        [createSampleStep(1, {estimatedMs: 10_000})],
        SAMPLE_QUEUE,
      ),
    );
    for (let wave = 0; wave < 2; wave++) {
      while (getRunningJobs(harness).length < jobIds.length)
        await harness.advance(CRASH_DELAY_MS);
      await harness.advance(CRASH_DELAY_MS);
      const workers = [...harness.workers].sort(
        ([, left], [, right]) => right.getRunCount() - left.getRunCount(),
      );
      harness.crashWorkers(
        workers.slice(0, LARGE_WAVE_WORKERS / 2).map(([workerId]) => workerId),
        {delayMs: 3_000, workerId: 'new'},
      );
    }
    await harness.advance(LOSS_MS);
    const maxWaitMs = await getMaxIdleMs(harness, jobIds, endedJobIds);
    expect(maxWaitMs).to.be.at.most(MAX_WAIT_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
