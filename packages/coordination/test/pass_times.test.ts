import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {expect} from 'chai';
import {PassTimes} from '../src/pass_times.js';

/** Clock that passes move, as a busy process does. */
function createClock() {
  let nowMs = 1_000;
  const clock = VirtualClock.create();
  clock.getMonotonicMs = () => nowMs;
  return {clock, advance: (ms: number) => (nowMs += ms)};
}

describe(PassTimes.name, () => {
  it('gives the last pass, all passes and their share since the last question', () => {
    const {clock, advance} = createClock();
    const times = PassTimes.create(clock);
    expect(times.takeShare()).to.equal(0);
    times.measure(() => advance(30));
    advance(50);
    times.measure(() => advance(20));
    expect(times.getLastMs()).to.equal(20);
    expect(times.getTotalMs()).to.equal(50);
    expect(times.takeShare()).to.equal(0.5);
    advance(100);
    expect(times.takeShare()).to.equal(0);
  });
});
