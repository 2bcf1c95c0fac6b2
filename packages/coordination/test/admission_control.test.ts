import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {StepSpec} from '@mustardlug/jobs/job_spec';
import {QueueConfig} from '@mustardlug/jobs/queue_config';
import {SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {AdmissionControl} from '../src/admission_control.js';
import {AdmissionWorker} from '../src/service_capacity.js';
import {createWaitingStep, WaitingStep} from '../src/task_order.js';
import {WorkerLoad} from '../src/worker_load.js';
import {
  addTestRun,
  createTestJob,
  createTestLoad,
  createTestStep,
} from './test_runs.js';

const TASK_MS = 1_000;

/** Time that a job of one task can wait without missing its objective. */
const SLACK_MS =
  TASK_MS * (SAMPLE_QUEUE.stretch - 1) + SAMPLE_QUEUE.targetDurationMs;

const {name: QUEUE_NAME} = SAMPLE_QUEUE;

function createWaiting(
  acceptedMs: number,
  noticedMs: number,
  {
    isLongRunning = false,
    queue = SAMPLE_QUEUE,
    fields = {} as Partial<StepSpec>,
  } = {},
): WaitingStep {
  const job = createTestJob(
    [createTestStep({estimatedMs: TASK_MS, isLongRunning, ...fields})],
    queue,
    acceptedMs,
  );
  job.noticedMs = noticedMs;
  const step = job.occurrences.get(0)!.steps[0];
  return createWaitingStep(job, 0, step, queue);
}

function createWorkers(cpuMillis: number) {
  const load = createTestLoad(cpuMillis);
  const worker = {load, labels: [], acceptsFillers: true};
  return new Map([[SAMPLE_QUEUE.serviceName, [worker]]]);
}

/** Runs passes for three seconds, each of which places one job that has waited, and leaves others waiting. */
async function runPasses(
  waitMs: number,
  getWaiting: (wallMs: number) => WaitingStep[],
  {
    clockErrorMs = 0,
    isPlacing = true,
    isLimited = false,
    workers = createWorkers(1_000) as Map<string, AdmissionWorker[]>,
    evacuatedServices = new Set<string>(),
  } = {},
) {
  const clock = VirtualClock.create();
  const control = AdmissionControl.create(clock);
  for (let pass = 0; pass < 30; pass++) {
    await clock.advance(100);
    const wallMs = clock.getWallMs() + clockErrorMs;
    const noticedMs = clock.getMonotonicMs() - waitMs;
    const waiting = createWaiting(clock.getWallMs() - waitMs, noticedMs);
    const placed = {waiting, workerIds: ['worker-1'], waitingCount: 0};
    control.recordPass({
      waiting: getWaiting(wallMs),
      workersByService: workers,
      evacuatedServices,
      placedSteps: isPlacing ? [placed] : [],
      isLimited,
    });
    control.update(wallMs);
  }
  return {clock, control};
}

function createMany(
  count: number,
  options: {
    isLongRunning?: boolean;
    queue?: QueueConfig;
    fields?: Partial<StepSpec>;
  } = {},
) {
  return (wallMs: number) =>
    Array.from({length: count}, () => createWaiting(wallMs, 0, options));
}

describe(AdmissionControl.name, () => {
  it('refuses jobs while the waiting ones take longer than they can wait', async () => {
    const {control} = await runPasses(SLACK_MS, createMany(30));
    const refusal = control.getRefusals().get(QUEUE_NAME);
    expect(refusal?.startsPerSecond).to.equal(10);
    expect(refusal?.retryAfterMs).to.be.greaterThan(SLACK_MS);
  });

  it('accepts jobs while the waiting ones can be placed in time', async () => {
    const {control} = await runPasses(SLACK_MS, createMany(3));
    expect(control.getRefusals().size).to.equal(0);
  });

  it('refuses jobs while some wait and all workers of the service are evacuated', async () => {
    // Guards against jobs that are accepted although nothing can start.
    const {serviceName} = SAMPLE_QUEUE;
    for (const [evacuated, count, isRefusing] of [
      [serviceName, 1, true],
      [serviceName, 0, false],
      ['other-service', 1, false],
    ] as const) {
      const {control} = await runPasses(0, createMany(count), {
        isPlacing: false,
        workers: new Map<string, AdmissionWorker[]>(),
        evacuatedServices: new Set([evacuated]),
      });
      const refusal = control.getRefusals().get(QUEUE_NAME);
      expect(refusal !== undefined).to.equal(isRefusing);
      if (isRefusing) expect(refusal?.retryAfterMs).to.equal(10_000);
    }
  });

  it('accepts jobs while workers have room for the waiting ones, however slowly these are started', async () => {
    const {control} = await runPasses(SLACK_MS, createMany(30), {
      workers: createWorkers(400_000),
    });
    expect(control.getRefusals().size).to.equal(0);
  });

  for (const [resource, needs] of [
    ['memory', {cpuMillis: 1_000, memoryMb: 128_000, accelerators: 0}],
    ['accelerators', {cpuMillis: 1_000, memoryMb: 1, accelerators: 1}],
  ] as const) {
    it(`refuses jobs while the waiting ones take longer than they can wait for ${resource}`, async () => {
      // One task fits at a time, on a worker with 400 cores.
      const load = WorkerLoad.create({
        cpuMillis: 400_000,
        memoryMb: 128_000,
        accelerators: 1,
      });
      const worker = {load, labels: [], acceptsFillers: true};
      const workers = new Map([[SAMPLE_QUEUE.serviceName, [worker]]]);
      const {control} = await runPasses(
        SLACK_MS,
        createMany(300, {fields: {needs}}),
        {workers},
      );
      expect(control.getRefusals().has(QUEUE_NAME)).to.equal(true);
    });
  }

  it('refuses jobs while the waiting ones take longer than they can wait for the workers with their label', async () => {
    const labels = ['accelerated'];
    const plain = {load: createTestLoad(4_000_000), labels: []};
    const labelled = {load: createTestLoad(8_000), labels};
    const workers = new Map([
      [
        SAMPLE_QUEUE.serviceName,
        [plain, labelled].map(worker => ({...worker, acceptsFillers: true})),
      ],
    ]);
    const {control} = await runPasses(
      SLACK_MS,
      createMany(300, {fields: {requiredLabel: 'accelerated'}}),
      {workers},
    );
    expect(control.getRefusals().has(QUEUE_NAME)).to.equal(true);
  });

  it('refuses jobs while work of a higher priority takes longer than they can wait', async () => {
    const urgent = {...SAMPLE_QUEUE, name: 'urgent', priority: -1};
    const {control} = await runPasses(
      SLACK_MS,
      wallMs => [
        ...createMany(30, {queue: urgent})(wallMs),
        ...createMany(30)(wallMs),
      ],
      {workers: createWorkers(20_000)},
    );
    expect(control.getRefusals().has(QUEUE_NAME)).to.equal(true);
  });

  it('accepts jobs while others are placed at once, whatever waits beside them', async () => {
    const {control} = await runPasses(0, createMany(30));
    expect(control.getRefusals().size).to.equal(0);
  });

  it('accepts jobs that are placed at once although the wall clocks of the nodes differ', async () => {
    const {control} = await runPasses(0, createMany(30), {
      clockErrorMs: 10_000,
    });
    expect(control.getRefusals().size).to.equal(0);
  });

  it('accepts jobs while none are placed, as it is not known why others wait', async () => {
    const {control} = await runPasses(0, createMany(30), {isPlacing: false});
    expect(control.getRefusals().size).to.equal(0);
  });

  it('counts no long-running work', async () => {
    const {control} = await runPasses(
      SLACK_MS,
      createMany(30, {isLongRunning: true}),
    );
    expect(control.getRefusals().size).to.equal(0);
  });

  describe('with expired work', () => {
    const createExpired = (count: number) => (wallMs: number) =>
      createMany(count)(wallMs - 60_000);

    it('refuses jobs while it takes longer to place than callers wait for it', async () => {
      // One task is placed each 100 ms.
      const {control} = await runPasses(0, createExpired(150), {
        workers: createWorkers(8_000),
      });
      expect(control.getRefusals().size).to.equal(1);
    });

    it('accepts jobs while it can be placed before', async () => {
      const {control} = await runPasses(SLACK_MS, createExpired(50), {
        workers: createWorkers(8_000),
      });
      expect(control.getRefusals().size).to.equal(0);
    });

    it('accepts jobs while all workers together would need little time for it', async () => {
      const {control} = await runPasses(0, createExpired(150), {
        workers: createWorkers(400_000),
      });
      expect(control.getRefusals().size).to.equal(0);
    });

    it('does not count what no worker can run', async () => {
      const {control} = await runPasses(0, createExpired(150), {
        workers: createWorkers(1_000),
      });
      expect(control.getRefusals().size).to.equal(0);
    });
  });

  describe('with late work that workers have room for', () => {
    const fields = {estimatedMs: 10_000};
    const createLate = (count: number) => (wallMs: number) =>
      createMany(count, {fields})(wallMs - 200_000);
    const workers = createWorkers(400_000);

    it('accepts jobs while it is started slowly, as few jobs arrived before', async () => {
      const {control} = await runPasses(0, createLate(150), {workers});
      expect(control.getRefusals().size).to.equal(0);
    });

    it('refuses jobs while the coordinator cannot start it in time, and tells so', async () => {
      const {control} = await runPasses(0, createLate(150), {
        workers,
        isLimited: true,
      });
      expect(control.getMaxStartsPerSecond()).to.be.closeTo(10, 1e-6);
      expect(control.getRefusals().get(QUEUE_NAME)?.limit).to.equal(
        'coordinator',
      );
    });

    it('accepts jobs while the coordinator can start it in time', async () => {
      const {control} = await runPasses(0, createLate(90), {
        workers,
        isLimited: true,
      });
      expect(control.getRefusals().size).to.equal(0);
    });
  });

  it('counts runs that were lost with their workers as room that is missing', async () => {
    // 8 s of work for the workers, if all of it led to tasks that are done.
    const {clock, control} = await runPasses(0, createMany(0));
    const workers = createWorkers(400_000);
    const needs = {cpuMillis: 2_000, memoryMb: 1, accelerators: 0};
    const waiting = createMany(1_600, {fields: {estimatedMs: 1_200, needs}})(
      clock.getWallMs() - 60_000,
    );
    const placed = {waiting: waiting[0], workerIds: ['1'], waitingCount: 0};
    const recordPass = () =>
      control.recordPass({
        waiting,
        workersByService: workers,
        placedSteps: [placed],
        isLimited: false,
      });
    recordPass();
    expect(control.update(clock.getWallMs()).size).to.equal(0);
    const load = createTestLoad(400_000);
    const nowMs = clock.getMonotonicMs();
    control.recordRunEnd(addTestRun(load, {}, nowMs), true);
    control.recordRunEnd(addTestRun(load, {}, nowMs - TASK_MS), false);
    recordPass();
    const refusal = control.update(clock.getWallMs()).get(QUEUE_NAME);
    expect(refusal?.limit).to.equal('workers');
  });

  it('accepts jobs again once nothing waits', async () => {
    const {clock, control} = await runPasses(SLACK_MS, createMany(30));
    expect(control.getRefusals().size).to.equal(1);
    control.recordPass({
      waiting: [],
      workersByService: new Map(),
      placedSteps: [],
      isLimited: false,
    });
    expect(control.update(clock.getWallMs()).size).to.equal(0);
  });
});
