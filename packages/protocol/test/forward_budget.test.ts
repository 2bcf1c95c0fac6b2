import {expect} from 'chai';
import {ForwardBudget} from '../src/forward_budget.js';

describe('ForwardBudget', () => {
  it('reserves no more than its bytes, and returns them once', () => {
    const budget = ForwardBudget.create(100);
    const release = budget.reserve(60);
    expect(budget.reserve(60)).to.equal(undefined);
    release?.();
    release?.();
    expect(budget.getReservedBytes()).to.equal(0);
    expect(budget.reserve(100)).to.not.equal(undefined);
  });
});
