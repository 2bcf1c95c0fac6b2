import {expect} from 'chai';
import * as fc from 'fast-check';
import {PriorityQueue} from '../src/priority_queue.js';

describe('PriorityQueue', () => {
  it('matches a sorted-array reference model', () => {
    const operation = fc.oneof(
      fc.record({kind: fc.constant('add'), value: fc.integer({max: 50})}),
      fc.record({kind: fc.constant('first'), value: fc.constant(0)}),
      fc.record({kind: fc.constant('remove'), value: fc.integer({max: 50})}),
    );
    fc.assert(
      fc.property(fc.array(operation), operations => {
        const queue = PriorityQueue.create<number>((l, r) => l - r);
        const model: number[] = [];
        for (const {kind, value} of operations) {
          if (kind === 'add') {
            queue.addItem(value);
            model.push(value);
          } else if (kind === 'first') {
            model.sort((left, right) => left - right);
            expect(queue.removeFirst()).to.equal(model.shift());
          } else {
            const index = model.indexOf(value);
            expect(queue.removeItem(value)).to.equal(index >= 0);
            if (index >= 0) model.splice(index, 1);
          }
          expect(queue.getSize()).to.equal(model.length);
        }
      }),
      {seed: 1},
    );
  });
});
