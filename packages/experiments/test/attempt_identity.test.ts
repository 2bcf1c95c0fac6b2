import {createUnavailableError} from '@mustardlug/base/errors';
import {WorkerModel} from '@mustardlug/standins/worker_model';
import {expect} from 'chai';
import {err} from 'neverthrow';
import {
  createDocument,
  createJob,
  SchedulerHarness,
} from '../src/scheduler_harness.js';

/** Time in which a task is bound and started. */
const START_MS = 8_000;

/** Time in which the scheduler renews each lease at least once. */
const RENEWAL_MS = 2_000;

/** Time in which a task is bound to another worker and ends there. */
const RESTART_MS = 60_000;

/** Delay of a start command; longer than a task waits for the next renewal of the lease. */
const LATE_MS = 6_000;

const CHECK_INTERVAL_MS = 100;

function createHarness(): SchedulerHarness {
  return SchedulerHarness.create({
    seed: 5,
    schedulers: 1,
    workers: 2,
    document: createDocument({
      batchJobs: [createJob(1, {expectedRunMs: 20_000})],
    }),
  });
}

function getRunningWorker(harness: SchedulerHarness): WorkerModel {
  const models = [...harness.models.values()];
  return models.find(model => model.getRunningAttempts().length > 0)!;
}

/**
 * Delays the execution of the next start command, which gets no response.
 * @returns Workers to which the command was sent.
 */
function delayNextStart(harness: SchedulerHarness): WorkerModel[] {
  const [{workerClient}] = harness.nodes;
  const runCommands = workerClient.runCommands.bind(workerClient);
  const lateWorkers: WorkerModel[] = [];
  workerClient.runCommands = async (address, token, commands) => {
    const model = harness.models.get(address.workerId);
    const hasStart = commands.some(({kind}) => kind === 'start');
    if (!hasStart || model === undefined || lateWorkers.length > 0)
      return runCommands(address, token, commands);
    lateWorkers.push(model);
    harness.clock.setTimer(LATE_MS, () => {
      model.runCommands(token, commands);
    });
    return err(createUnavailableError('the response was lost', true));
  };
  return lateWorkers;
}

describe('the attempts of a task', () => {
  it('are not stopped because an earlier attempt was to be stopped', async () => {
    const harness = createHarness();
    await harness.clock.advance(START_MS);
    const worker = getRunningWorker(harness);
    worker.behavior.checkpointDurationMs = RESTART_MS;
    worker.behavior.isLeaving = true;
    await harness.clock.advance(RENEWAL_MS);
    worker.destroy();
    harness.addWorker(worker.workerId, 'rack-0');
    await harness.clock.advance(RESTART_MS);
    const [task] = harness.getTasks();
    expect(task).to.include({state: 'done', attempt: 2, evictions: 0});
  });

  it('never run at the same time when a worker executes a start late and leaves', async () => {
    const harness = createHarness();
    const lateWorkers = delayNextStart(harness);
    const duplicates: string[] = [];
    for (let ms = 0; ms < RESTART_MS; ms += CHECK_INTERVAL_MS) {
      await harness.clock.advance(CHECK_INTERVAL_MS);
      for (const worker of lateWorkers) worker.behavior.isLeaving = true;
      duplicates.push(...harness.getDuplicateRuns());
    }
    expect(lateWorkers).to.have.length(1);
    expect(duplicates).to.deep.equal([]);
    expect(harness.countTasks('done')).to.equal(1);
  });
});
