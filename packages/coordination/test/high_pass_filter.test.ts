import {expect} from 'chai';
import {EffectEstimator} from '../src/effect_estimator.js';
import {HighPassFilter} from '../src/high_pass_filter.js';

const REPORT_MS = 500;
const OSCILLATION_PERIOD_MS = 14_000;

describe(HighPassFilter.name, () => {
  it('returns no result for the first sample', () => {
    const filter = HighPassFilter.create();
    expect(filter.filter([], 0.4, 0)).to.equal(undefined);
  });

  it('removes a constant value', () => {
    const filter = HighPassFilter.create();
    let value = 1;
    for (let nowMs = 0; nowMs < 20_000; nowMs += REPORT_MS)
      value = filter.filter([], 0.7, nowMs)?.value ?? 1;
    expect(value).to.be.closeTo(0, 0.001);
  });

  it('preserves effects that are smaller than a slow oscillation', () => {
    const filter = HighPassFilter.create();
    const estimator = EffectEstimator.create();
    for (let report = 0; report < 400; report++) {
      const nowMs = report * REPORT_MS;
      const oscillation =
        0.2 * Math.sin((2 * Math.PI * nowMs) / OSCILLATION_PERIOD_MS);
      const amount = report % 6 < 3 ? 0.1 : 0;
      const inputs = [{name: 'sheet', amount}];
      const sample = filter.filter(
        inputs,
        0.4 + oscillation + 0.5 * amount,
        nowMs,
      );
      if (sample === undefined) continue;
      estimator.addSample(sample.inputs, sample.value);
    }
    expect(estimator.getEffect('sheet')).to.be.closeTo(0.5, 0.1);
  });
});
