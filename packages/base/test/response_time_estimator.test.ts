import {expect} from 'chai';
import {ResponseTimeEstimator} from '../src/response_time_estimator.js';

const MINIMUM_MS = 300;

describe(ResponseTimeEstimator.name, () => {
  it('keeps the minimum while responses are fast', () => {
    const estimator = ResponseTimeEstimator.create();
    for (let call = 0; call < 1_000; call++) estimator.record(5 + (call % 40));
    expect(estimator.getLimitMs(MINIMUM_MS)).to.equal(MINIMUM_MS);
  });

  it('follows the response times of a link that becomes congested', () => {
    const estimator = ResponseTimeEstimator.create();
    let lateCount = 0;
    for (let call = 0; call < 1_000; call++) {
      const responseMs = Math.min(20 + call, 900);
      if (responseMs > estimator.getLimitMs(MINIMUM_MS)) lateCount++;
      estimator.record(responseMs);
    }
    expect(lateCount).to.equal(0);
  });

  it('follows response times that exceed the limit at once', () => {
    const estimator = ResponseTimeEstimator.create();
    for (let call = 0; call < 1_000; call++) estimator.record(20);
    let limitMs = MINIMUM_MS;
    for (let call = 0; call < 100; call++) {
      limitMs = estimator.getLimitMs(MINIMUM_MS);
      estimator.record(Math.min(limitMs, 700));
    }
    expect(limitMs).to.be.at.least(700);
  });

  it('is bounded, and returns to the minimum', () => {
    const estimator = ResponseTimeEstimator.create();
    for (let call = 0; call < 100; call++) estimator.record(30_000);
    expect(estimator.getLimitMs(MINIMUM_MS)).to.equal(2_000);
    for (let call = 0; call < 1_000; call++) estimator.record(20);
    expect(estimator.getLimitMs(MINIMUM_MS)).to.equal(MINIMUM_MS);
  });
});
