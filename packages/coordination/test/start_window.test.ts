import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {NodeClock} from '@mustardlug/standins/node_clock';
import {expect} from 'chai';
import {StartWindow} from '../src/start_window.js';

/** Usual response time of a start command. */
const PROMPT_MS = 10;

/** Time after which a response that usually takes `PROMPT_MS` is overdue. */
const OVERDUE_MS = 200;

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

  it('counts no command whose response is overdue beside prompt ones', async () => {
    const clock = VirtualClock.create();
    const window = StartWindow.create(clock);
    for (let command = 0; command < 20; command++) {
      window.addCommand();
      window.removeCommand(window.addCommand(), PROMPT_MS);
    }
    expect(window.getCommandCount()).to.equal(20);
    await clock.advance(OVERDUE_MS);
    expect(window.getCommandCount()).to.equal(0);
  });

  it('counts a command as long as responses take', async () => {
    const clock = VirtualClock.create();
    const window = StartWindow.create(clock);
    for (let command = 0; command < 20; command++)
      window.removeCommand(window.addCommand(), 2 * OVERDUE_MS);
    window.addCommand();
    await clock.advance(OVERDUE_MS);
    expect(window.getCommandCount()).to.equal(1);
  });

  it('counts the commands in progress', () => {
    const window = StartWindow.create(VirtualClock.create());
    const initialCount = window.getFreeCount();
    window.addCommand();
    window.removeCommand(window.addCommand());
    expect(window.getFreeCount()).to.equal(initialCount - 1);
  });
});
