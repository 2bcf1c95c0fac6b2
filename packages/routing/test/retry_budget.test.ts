import {expect} from 'chai';
import * as fc from 'fast-check';
import {DEFAULT_RETRY_BUDGET, RetryBudget} from '../src/retry_budget.js';

describe('RetryBudget', () => {
  it('never allows more retries than its ratio plus the bucket capacity', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), {maxLength: 500}), retryRequests => {
        const budget = RetryBudget.create(DEFAULT_RETRY_BUDGET);
        let retries = 0;
        for (const [index, isRetryRequested] of retryRequests.entries()) {
          budget.addRequest();
          if (isRetryRequested && budget.takeRetry()) retries++;
          const {ratio, maxTokens} = DEFAULT_RETRY_BUDGET;
          expect(retries).to.be.at.most(maxTokens + ratio * (index + 1));
        }
      }),
      {seed: 10},
    );
  });
});
