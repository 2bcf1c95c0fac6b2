import {expect} from 'chai';
import * as fc from 'fast-check';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  compareTimestamps,
  HybridLogicalClock,
} from '../src/hybrid_logical_clock.js';

describe('HybridLogicalClock', () => {
  it('orders each receipt after its sending despite wall clock skew', () => {
    const step = fc.record({
      from: fc.integer({min: 0, max: 2}),
      to: fc.integer({min: 0, max: 2}),
    });
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 0, max: 10_000}), {
          minLength: 3,
          maxLength: 3,
        }),
        fc.array(step),
        (offsets, steps) => {
          const clocks = offsets.map(offset =>
            HybridLogicalClock.create(VirtualClock.create(1_000_000 + offset)),
          );
          for (const {from, to} of steps) {
            const sent = clocks[from].getNext();
            clocks[to].mergeTimestamp(sent);
            const received = clocks[to].getNext();
            expect(compareTimestamps(sent, received)).to.be.below(0);
          }
        },
      ),
      {seed: 2},
    );
  });
});
