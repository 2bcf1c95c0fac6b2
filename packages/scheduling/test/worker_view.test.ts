import {expect} from 'chai';
import * as fc from 'fast-check';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {WorkerModel} from '@mustardlug/standins/worker_model';
import {PlacedTask, WorkerView} from '../src/worker_view.js';

const CAPACITY = {cores: 8, memoryMb: 4_000, accelerators: 2};

function createView(): WorkerView {
  const clock = VirtualClock.create();
  const model = WorkerModel.create('worker', 'boot-1', CAPACITY, clock);
  const status = model
    .requestLease({scope: 'tasks', holderId: 'holder', ttlMs: 1_000})
    ._unsafeUnwrap();
  const address = {workerId: 'worker', host: 'none', port: 1};
  const lease = WorkerLease.create(address, clock, status);
  return WorkerView.create('rack', 'domain', CAPACITY, lease);
}

const taskArbitrary: fc.Arbitrary<PlacedTask> = fc.record({
  taskId: fc.nat({max: 15}).map(String),
  kind: fc.constantFrom('service' as const, 'batch' as const),
  name: fc.constantFrom('one', 'two'),
  isUrgent: fc.boolean(),
  charged: fc.record({
    cores: fc.integer({min: 1, max: 16}).map(half => half / 2),
    memoryMb: fc.integer({min: 1, max: 2_000}),
    accelerators: fc.nat({max: 2}),
  }),
});

const operationArbitrary = fc.oneof(
  {weight: 3, arbitrary: fc.record({add: taskArbitrary})},
  {weight: 2, arbitrary: fc.record({remove: fc.nat({max: 15}).map(String)})},
);

/** Sums the charged resources independently of the counters in the view. */
function sumCharged(tasks: Iterable<PlacedTask>) {
  const sums = {cores: 0, memoryMb: 0, accelerators: 0};
  for (const {charged} of tasks) {
    sums.cores += charged.cores;
    sums.memoryMb += charged.memoryMb;
    sums.accelerators += charged.accelerators;
  }
  return sums;
}

describe('WorkerView', () => {
  describe('fits', () => {
    it('matches a recount of the placed tasks for random sequences of operations', () => {
      fc.assert(
        fc.property(fc.array(operationArbitrary), operations => {
          const view = createView();
          const expected = new Map<string, PlacedTask>();
          for (const operation of operations) {
            if ('remove' in operation) {
              view.removeTask(operation.remove);
              expected.delete(operation.remove);
              continue;
            }
            const task = operation.add;
            const {charged} = task;
            const sums = sumCharged(expected.values());
            const fits =
              sums.cores + charged.cores <= CAPACITY.cores &&
              sums.memoryMb + charged.memoryMb <= CAPACITY.memoryMb &&
              sums.accelerators + charged.accelerators <= CAPACITY.accelerators;
            expect(view.fits(charged)).to.equal(fits);
            if (!fits) continue;
            view.addTask(task);
            if (!expected.has(task.taskId)) expected.set(task.taskId, task);
          }
          const sums = sumCharged(expected.values());
          const free = view.getFreeResources();
          expect(free.cores).to.equal(CAPACITY.cores - sums.cores);
          expect(free.memoryMb).to.equal(CAPACITY.memoryMb - sums.memoryMb);
          expect(view.getPlacedTaskCount()).to.equal(expected.size);
        }),
        {seed: 11},
      );
    });
  });
});
