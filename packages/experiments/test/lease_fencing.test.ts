import {VirtualClock} from '@mustardlug/base/virtual_clock';
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

/** Wall time at which the workers of a harness boot first. */
const FIRST_BOOT_WALL_MS = VirtualClock.create().getWallMs();

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
  workerClient.runCommands = async (address, token, commands) => {
    const model = harness.models.get(address.workerId);
    const hasStart = commands.some(({kind}) => kind === 'start');
    if (!hasStart || model === undefined || execute !== undefined)
      return runCommands(address, token, commands);
    execute = () => {
      harness.models.get(address.workerId)?.runCommands(token, commands);
    };
    onHeld(model);
    return err(createUnavailableError('the response was lost', true));
  };
  return () => execute?.();
}

describe('a start command for an earlier boot of a worker', () => {
  /** Executes a start command on the next boot of its worker, while the task runs on another worker. */
  async function executeOnNextBoot(getWallMs: (nowMs: number) => number) {
    const harness = createHarness(1, 2);
    let worker: WorkerModel | undefined;
    const executeLate = holdNextStart(harness, harness.nodes[0], model => {
      worker = model;
      model.behavior.isLeaving = true;
    });
    await harness.clock.advance(15_000);
    expect(harness.countTasks('bound')).to.equal(1);
    worker!.destroy();
    const nowMs = harness.clock.getWallMs();
    harness.wallOffsetsMs.set(worker!.workerId, getWallMs(nowMs) - nowMs);
    harness.addWorker(worker!.workerId, 'rack-0');
    await harness.clock.advance(5_000);
    executeLate();
    expect(harness.getDuplicateRuns()).to.deep.equal([]);
    await harness.clock.advance(60_000);
    expect(harness.countTasks('done')).to.equal(1);
  }

  it('has no effect on the next boot', () => executeOnNextBoot(nowMs => nowMs));

  it('has no effect on the next boot if the wall clock starts anew, so that epochs are equal', () =>
    executeOnNextBoot(() => FIRST_BOOT_WALL_MS));
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
