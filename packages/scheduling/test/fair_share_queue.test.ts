import {expect} from 'chai';
import * as fc from 'fast-check';
import {FairShareQueue, PendingTask} from '../src/fair_share_queue.js';

const TEAMS = [
  {name: 'large', weight: 2, quotaCores: 100},
  {name: 'small', weight: 1, quotaCores: 100},
  {name: 'capped', weight: 5, quotaCores: 3},
];

function createTask(
  index: number,
  team: string,
  overrides: Partial<PendingTask> = {},
): PendingTask {
  return {
    taskId: `task-${index}`,
    team,
    kind: 'batch',
    isUrgent: false,
    cores: 1,
    submittedAtMs: index,
    ...overrides,
  };
}

function placeAll(pending: readonly PendingTask[]): PendingTask[] {
  const queue = FairShareQueue.create(TEAMS, new Map(), pending);
  const order: PendingTask[] = [];
  for (;;) {
    const next = queue.removeNext();
    if (next === undefined) return order;
    order.push(next);
    queue.recordPlacement(next);
  }
}

describe('FairShareQueue', () => {
  describe('removeNext', () => {
    it('divides capacity between teams by weight', () => {
      const pending = Array.from({length: 60}, (_, index) =>
        createTask(index, index % 2 === 0 ? 'large' : 'small'),
      );
      const first = placeAll(pending).slice(0, 30);
      const large = first.filter(task => task.team === 'large').length;
      expect(large).to.equal(20);
    });

    it('does not start tasks beyond the quota of a team', () => {
      const pending = Array.from({length: 10}, (_, index) =>
        createTask(index, 'capped'),
      );
      expect(placeAll(pending)).to.have.length(3);
    });

    it('allows a team without running tasks to start one task above its quota', () => {
      const pending = [createTask(0, 'capped', {cores: 4})];
      expect(placeAll(pending)).to.have.length(1);
    });

    it('returns services first, then urgent tasks, then other tasks', () => {
      const order = placeAll([
        createTask(0, 'small'),
        createTask(1, 'small', {isUrgent: true}),
        createTask(2, 'small', {kind: 'service'}),
      ]);
      const ids = order.map(task => task.taskId);
      expect(ids).to.deep.equal(['task-2', 'task-1', 'task-0']);
    });

    it('exceeds a quota only for a single oversized task, for random inputs', () => {
      const taskArbitrary = fc.record({
        team: fc.constantFrom('large', 'small', 'capped'),
        cores: fc.integer({min: 1, max: 4}),
      });
      fc.assert(
        fc.property(fc.array(taskArbitrary), tasks => {
          const placed = placeAll(
            tasks.map(({team, cores}, index) =>
              createTask(index, team, {cores}),
            ),
          );
          for (const {name, quotaCores} of TEAMS) {
            const own = placed.filter(task => task.team === name);
            let cores = 0;
            for (const task of own) cores += task.cores;
            const isWithin = cores <= quotaCores || own.length === 1;
            expect(isWithin).to.equal(true);
          }
        }),
        {seed: 12},
      );
    });
  });
});
