import {expect} from 'chai';
import * as fc from 'fast-check';
import {
  compareByDelayCost,
  getDelayCost,
  getReturnWeight,
  getUrgency,
  isPreemptionCheaper,
  isRefusalCheaper,
  Outlook,
} from '../src/delay_cost.js';

function createOutlook(fields: Partial<Outlook> = {}): Outlook {
  return {
    priority: 1,
    slackMs: 1_000,
    lateSlackMs: 5_000,
    remainingWork: 1_000,
    ...fields,
  };
}

const outlooks = fc.record({
  priority: fc.integer({min: 0, max: 2}),
  slackMs: fc.integer({min: -10_000, max: 10_000}),
  lateSlackMs: fc.integer({min: -10_000, max: 30_000}),
  remainingWork: fc.integer({min: 1, max: 1e9}),
});

describe('delay_cost', () => {
  it('gives an order that does not depend on the order of comparison', () => {
    fc.assert(
      fc.property(outlooks, outlooks, outlooks, (a, b, c) => {
        const [ab, bc, ac] = [
          compareByDelayCost(a, b),
          compareByDelayCost(b, c),
          compareByDelayCost(a, c),
        ];
        expect(Math.sign(ab)).to.equal(-Math.sign(compareByDelayCost(b, a)));
        if (ab < 0 && bc < 0) expect(ac).to.be.below(0);
      }),
      {seed: 1},
    );
  });

  it('never lets work of a lower priority come before, be it expired or not', () => {
    const expired = createOutlook({priority: 0, slackMs: -9, lateSlackMs: -1});
    expect(compareByDelayCost(expired, createOutlook())).to.be.below(0);
  });

  it('raises late work until it has expired, above new work of its size', () => {
    const large = createOutlook({remainingWork: 16_000, slackMs: -1_000});
    const waited = {...large, slackMs: -4_500, lateSlackMs: 500};
    const fresh = createOutlook({
      ...{slackMs: 5_000, lateSlackMs: 20_000},
      remainingWork: 16_000,
    });
    expect(getUrgency(waited)).to.be.above(getUrgency(large));
    expect(getUrgency(waited)).to.be.above(getUrgency(fresh));
    expect(getUrgency({...waited, lateSlackMs: -1})).to.equal(0);
  });

  it('refuses exactly the work that a delay makes useless, which others would wait for', () => {
    const outlook = createOutlook();
    expect(isRefusalCheaper(outlook, 900)).to.equal(false);
    expect(isRefusalCheaper(outlook, 4_900)).to.equal(false);
    expect(isRefusalCheaper(outlook, 5_100)).to.equal(true);
    expect(getDelayCost(outlook, 4_900)).to.be.above(0);
  });

  it('preempts only work of lower priority, and only if that avoids a miss', () => {
    const urgent = createOutlook({priority: 0});
    expect(isPreemptionCheaper({priority: 0}, urgent, 2_000)).to.equal(false);
    expect(isPreemptionCheaper({priority: 1}, urgent, 2_000)).to.equal(true);
    expect(isPreemptionCheaper({priority: 1}, urgent, 500)).to.equal(false);
  });

  it('lets callers of larger jobs return later, up to a limit', () => {
    expect(getReturnWeight(500, 1_000)).to.equal(1);
    expect(getReturnWeight(2_000, 1_000)).to.equal(2);
    expect(getReturnWeight(1e9, 1_000)).to.equal(4);
  });
});
