import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {NodeClock} from '@mustardlug/standins/node_clock';
import {expect} from 'chai';
import {StartWindow} from '../src/start_window.js';

describe(StartWindow.name, () => {
  it('admits fewer start commands while the timers of the process fire late', async () => {
    const virtualClock = VirtualClock.create();
    const clock = NodeClock.create(virtualClock);
    const window = StartWindow.create(clock);
    const initialCount = window.getFreeCount();
    window.start();
    for (let stall = 0; stall < 6; stall++) {
      clock.suspend();
      await virtualClock.advance(400);
      clock.resume();
      await virtualClock.advance(1);
    }
    expect(window.getDelayMs()).to.be.above(150);
    expect(window.getFreeCount()).to.be.below(initialCount / 4);
    await virtualClock.advance(5_000);
    expect(window.getFreeCount()).to.be.at.least(initialCount);
    window.stop();
  });

  it('counts the commands in progress', () => {
    const window = StartWindow.create(VirtualClock.create());
    const initialCount = window.getFreeCount();
    window.addCommand();
    window.addCommand();
    window.removeCommand();
    expect(window.getFreeCount()).to.equal(initialCount - 1);
  });
});
