import {WorkerModel} from '@mustardlug/standins/worker_model';
import {expect} from 'chai';
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
});
