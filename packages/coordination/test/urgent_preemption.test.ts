import {StepSpec} from '@mustardlug/jobs/job_spec';
import {SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {PlacementWorker} from '../src/placement_pass.js';
import {createWaitingStep, WaitingStep} from '../src/task_order.js';
import {selectPreemptions} from '../src/urgent_preemption.js';
import {WorkerSession} from '../src/worker_session.js';
import {
  addTaskRun,
  createTestJob,
  createTestLoad,
  createTestStep,
} from './test_runs.js';

const NEEDS = {cpuMillis: 4_000, memoryMb: 1_000, accelerators: 0};
const LOW: Partial<StepSpec> = {
  isCheckpointing: true,
  estimatedMs: 10_000,
  needs: NEEDS,
};

/** Creates workers that are full with two runs of a lower priority each. */
function createFullWorkers(
  count: number,
  fields: Partial<StepSpec> = {},
  priority = 2,
): PlacementWorker[] {
  return Array.from({length: count}, (_, index) => {
    const session = {getId: () => `worker-${index}`} as WorkerSession;
    const load = createTestLoad(8_000);
    for (let run = 0; run < 2; run++) {
      const spec = createTestStep({...LOW, ...fields});
      const job = createTestJob([spec], {...SAMPLE_QUEUE, priority});
      addTaskRun(load, job, 0, 0, `worker-${index}`);
    }
    return {session, load, rack: '', labels: [], acceptsFillers: true};
  });
}

function createUrgent(taskCount: number, acceptedMs = 0): WaitingStep {
  const spec = createTestStep({taskCount, needs: NEEDS, estimatedMs: 1_000});
  const job = createTestJob([spec], SAMPLE_QUEUE, acceptedMs);
  const [step] = job.occurrences.get(0)!.steps;
  return createWaitingStep(job, 0, step, SAMPLE_QUEUE);
}

function select(
  workers: readonly PlacementWorker[],
  waiting: readonly WaitingStep[],
  nowMs = 100,
) {
  return selectPreemptions({
    waiting,
    workersByService: new Map([[SAMPLE_QUEUE.serviceName, workers]]),
    ...{nowMs, wallMs: nowMs},
  });
}

describe('selectPreemptions', () => {
  it('stops as many runs as an urgent job needs, on different workers', () => {
    const selected = select(createFullWorkers(5), [createUrgent(3)]);
    expect(selected).to.have.length(3);
    expect(new Set(selected.map(({worker}) => worker)).size).to.equal(3);
  });

  it('stops the run of the lowest priority on a worker, whose caller loses least', () => {
    const [worker] = createFullWorkers(1, {}, 1);
    for (const assigned of [...worker.load.getRuns()].slice(1))
      worker.load.removeRun(assigned);
    const [other] = createFullWorkers(1);
    const [lower] = other.load.getRuns();
    worker.load.addRun(lower);
    const [selected] = select([worker], [createUrgent(1)]);
    expect(selected.assigned.job.accepted.queue.priority).to.equal(2);
  });

  it('does not stop more while those that are stopped have not ended', () => {
    const workers = createFullWorkers(5);
    const urgent = createUrgent(3);
    for (const {assigned} of select(workers, [urgent]))
      assigned.run.isStopping = true;
    expect(select(workers, [urgent])).to.have.length(0);
  });

  for (const [kind, fields, priority] of [
    ['without checkpoints', {isCheckpointing: false}, 2],
    ['of gangs', {isGang: true}, 2],
    ['of long-running tasks', {isLongRunning: true}, 2],
    ['near their end', {estimatedMs: 500}, 2],
    ['of the same priority', {}, 0],
  ] as const)
    it(`does not stop runs ${kind}`, () => {
      const workers = createFullWorkers(5, fields, priority);
      expect(select(workers, [createUrgent(3)])).to.have.length(0);
    });

  it('stops nothing while runs end in time by themselves, or after the objective was missed', () => {
    const ending = createFullWorkers(5, {estimatedMs: 700});
    expect(select(ending, [createUrgent(3)])).to.have.length(0);
    expect(select(createFullWorkers(5), [createUrgent(3)], 950)).to.have.length(
      0,
    );
  });

  it('stops a bounded number of runs at a time', () => {
    const urgent = Array.from({length: 30}, () => createUrgent(10));
    expect(select(createFullWorkers(100), urgent).length).to.be.within(1, 16);
  });
});
