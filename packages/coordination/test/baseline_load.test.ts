import {expect} from 'chai';
import {BaselineLoad} from '../src/baseline_load.js';

describe(BaselineLoad.name, () => {
  it('converges to the mean of an oscillating load', () => {
    const load = BaselineLoad.create();
    for (let sample = 0; sample < 2_000; sample++)
      load.addSample(0.5 + 0.3 * Math.sin(sample * 0.7));
    expect(load.getMean()).to.be.closeTo(0.5, 0.02);
  });

  it('restores its state from the stored form', () => {
    const load = BaselineLoad.create();
    for (let sample = 0; sample < 50; sample++) load.addSample(0.7);
    const copy = BaselineLoad.restore(load.getStored());
    expect(copy.getMean()).to.equal(load.getMean());
  });
});
