import {StepSpec} from '@mustardlug/jobs/job_spec';
import {SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {PlacementWorker} from '../src/placement_pass.js';
import {RoomRequest, RoomReservations} from '../src/room_reservations.js';
import {createWaitingStep} from '../src/task_order.js';
import {WorkerSession} from '../src/worker_session.js';
import {
  addTestRun,
  createTestJob,
  createTestLoad,
  createTestStep,
} from './test_runs.js';

const CORES = 8;

/** Wait after which a long-running task that has no room may be counted as lost. */
const LIMIT_MS = 3_000;

function createNeeds(cores: number) {
  return {cpuMillis: 1_000 * cores, memoryMb: 1_000, accelerators: 0};
}

/** Creates a worker that is full of batch runs of one core each. */
function createFullWorker(
  workerId: string,
  batch: Partial<StepSpec> = {},
): PlacementWorker {
  const session = {getId: () => workerId} as WorkerSession;
  const load = createTestLoad(1_000 * CORES);
  for (let index = 0; index < CORES; index++)
    addTestRun(load, {needs: createNeeds(1), ...batch}, 0, workerId);
  return {session, load, rack: '', labels: [], acceptsFillers: true};
}

function createRequests(
  workers: readonly PlacementWorker[],
  taskCount: number,
  fields: Partial<StepSpec> = {},
): RoomRequest[] {
  const spec = createTestStep({
    taskCount,
    isLongRunning: true,
    needs: createNeeds(3),
    ...fields,
  });
  const job = createTestJob([spec]);
  const step = job.occurrences.get(0)!.steps[0];
  const waiting = createWaitingStep(job, 0, step, SAMPLE_QUEUE);
  return step.tasks.map(task => ({waiting, task, workers}));
}

describe(RoomReservations.name, () => {
  it('reserves at most one worker for each task, and releases it with the request', () => {
    const workers = ['1', '2', '3', '4'].map(id => createFullWorker(id));
    const reservations = RoomReservations.create();
    reservations.update(createRequests(workers, 2), 0);
    expect(reservations.getCount()).to.be.within(1, 2);
    reservations.update([], 0);
    expect(reservations.getCount()).to.equal(0);
  });

  it('reserves more than one worker for tasks that do not fit beside each other', () => {
    const workers = ['1', '2', '3', '4'].map(id => createFullWorker(id));
    const reservations = RoomReservations.create();
    reservations.update(createRequests(workers, 5), 0);
    expect(reservations.getCount()).to.be.within(3, 4);
  });

  it('keeps a worker although another one has the same room', () => {
    const workers = ['1', '2'].map(id => createFullWorker(id));
    const requests = createRequests(workers, 1);
    const reservations = RoomReservations.create();
    reservations.update(requests, 0);
    const reserved = workers.find(each => reservations.isReserved(each))!;
    const reversed = [...workers].reverse();
    reservations.update(
      requests.map(each => ({...each, workers: reversed})),
      100,
    );
    expect(reservations.isReserved(reserved)).to.equal(true);
  });

  for (const [constraint, fields] of [
    ['the label', {requiredLabel: 'fast'}],
    ['the capacity', {needs: createNeeds(CORES + 1)}],
  ] as const)
    it(`reserves no worker without ${constraint}`, () => {
      const reservations = RoomReservations.create();
      const requests = createRequests([createFullWorker('1')], 1, fields);
      expect(reservations.update(requests, 0)).to.deep.equal([]);
      expect(reservations.update(requests, LIMIT_MS)).to.deep.equal([]);
      expect(reservations.getCount()).to.equal(0);
    });

  it('stops only as many batch runs as a task needs, and no gang or long-running task', () => {
    const full = createFullWorker('1');
    const gang = createFullWorker('2', {isGang: true, estimatedMs: 60_000});
    const serving = createFullWorker('3', {isLongRunning: true});
    const requests = createRequests([serving, gang, full], 1);
    const reservations = RoomReservations.create();
    expect(reservations.update(requests, 0)).to.deep.equal([]);
    const stopped = reservations.update(requests, LIMIT_MS);
    const workerIds = stopped.map(({worker}) => worker.session.getId());
    expect(workerIds).to.deep.equal(['1', '1', '1']);
  });

  it('stops runs of a lower priority or with checkpoints before others', () => {
    const waits = [{}, {isCheckpointing: true}].map(batch => {
      const requests = createRequests([createFullWorker('1', batch)], 1);
      const reservations = RoomReservations.create();
      for (let ms = 0; ms < LIMIT_MS; ms += 100) {
        if (reservations.update(requests, ms).length > 0) return ms;
      }
      return Infinity;
    });
    expect(waits[1]).to.be.below(waits[0]);
    expect(waits[0]).to.be.below(LIMIT_MS);
  });

  it('stops no run beside one that cannot be stopped and that the task needs to end', () => {
    const worker = createFullWorker('1', {estimatedMs: 20_000});
    const [first, ...others] = [...worker.load.getRuns()];
    for (const assigned of [first, ...others.slice(0, 3)])
      worker.load.removeRun(assigned);
    const needs = createNeeds(4);
    const gang = {isGang: true, estimatedMs: 60_000, needs};
    addTestRun(worker.load, gang, 0, '1');
    const requests = createRequests([worker], 1, {needs: createNeeds(6)});
    const reservations = RoomReservations.create();
    reservations.update(requests, 0);
    expect(reservations.update(requests, LIMIT_MS)).to.deep.equal([]);
  });
});
