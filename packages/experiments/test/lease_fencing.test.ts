import {createUnavailableError} from '@mustardlug/base/errors';
import {WorkerModel} from '@mustardlug/standins/worker_model';
import {expect} from 'chai';
import {err} from 'neverthrow';
import {
  createDocument,
  createJob,
  SchedulerHarness,
  SchedulerNode,
} from '../src/scheduler_harness.js';

const SEED = 7;

function createHarness(schedulers: number, workers: number): SchedulerHarness {
  return SchedulerHarness.create({
    seed: SEED,
    schedulers,
    workers,
    document: createDocument({
      batchJobs: [createJob(1, {expectedRunMs: 30_000})],
    }),
  });
}

/**
 * Loses the next start command, and executes it when the returned function is called.
 * @returns Function that executes the command on the current model of the worker.
 */
function holdNextStart(
  harness: SchedulerHarness,
  {workerClient}: SchedulerNode,
  onHeld: (model: WorkerModel) => void,
): () => void {
  const runCommands = workerClient.runCommands.bind(workerClient);
  let execute: (() => void) | undefined;
  workerClient.runCommands = async (address, epoch, commands) => {
    const model = harness.models.get(address.workerId);
    const hasStart = commands.some(({kind}) => kind === 'start');
    if (!hasStart || model === undefined || execute !== undefined)
      return runCommands(address, epoch, commands);
    execute = () => {
      harness.models.get(address.workerId)?.runCommands(epoch, commands);
    };
    onHeld(model);
    return err(createUnavailableError('the response was lost', true));
  };
  return () => execute?.();
}

describe('a start command for an earlier boot of a worker', () => {
  it('has no effect on the next boot', async () => {
    const harness = createHarness(1, 2);
    let worker: WorkerModel | undefined;
    const executeLate = holdNextStart(harness, harness.nodes[0], model => {
      worker = model;
      model.behavior.isLeaving = true;
    });
    await harness.clock.advance(15_000);
    expect(harness.countTasks('bound')).to.equal(1);
    worker!.destroy();
    harness.addWorker(worker!.workerId, 'rack-0');
    await harness.clock.advance(5_000);
    executeLate();
    expect(harness.getDuplicateRuns()).to.deep.equal([]);
    await harness.clock.advance(60_000);
    expect(harness.countTasks('done')).to.equal(1);
  });
});

describe('a scheduler that takes a lease over', () => {
  it('stops no attempt before it has read the rows', async () => {
    const harness = createHarness(2, 1);
    const {faults} = harness.table;
    let isKilled = false;
    harness.setStepHook((step, node) => {
      if (step === 'bind-executed') faults.isOutage = true;
      if (step !== 'start-executed' || isKilled) return;
      isKilled = true;
      harness.killNode(node);
    });
    await harness.clock.advance(20_000);
    expect(isKilled).to.equal(true);
    harness.setStepHook(undefined);
    faults.isOutage = false;
    await harness.clock.advance(80_000);
    const [task] = harness.getTasks();
    expect(task).to.include({state: 'done', attempt: 1, evictions: 0});
  });
});
