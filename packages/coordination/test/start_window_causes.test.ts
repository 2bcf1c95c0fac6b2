import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {NodeClock} from '@mustardlug/standins/node_clock';
import {expect} from 'chai';
import {StartWindow} from '../src/start_window.js';

const WORKERS = 40;

/** Response time within the time limit of a command. */
const PROMPT_MS = 150;

/** Response time beyond which a command has timed out on a client without congestion. */
const LATE_MS = 400;

/** Blocks the process again and again, as work does that has nothing to do with starts. */
async function blockProcess(
  window: StartWindow,
  virtualClock: VirtualClock,
  clock: NodeClock,
  sendCommands: () => void,
  sendBefore: () => void = () => undefined,
): Promise<void> {
  window.start();
  for (let stall = 0; stall < 30; stall++) {
    sendBefore();
    clock.suspend();
    await virtualClock.advance(400);
    sendCommands();
    clock.resume();
    await virtualClock.advance(1);
  }
}

/** Sends commands that are answered after given times; without one, a command gets no response. */
function sendCommands(
  window: StartWindow,
  responsesMs: ReadonlyArray<number | undefined>,
): void {
  for (const responseMs of responsesMs) {
    window.removeCommand(window.addCommand(), responseMs);
  }
}

function createWindow() {
  const virtualClock = VirtualClock.create();
  const clock = NodeClock.create(virtualClock);
  const window = StartWindow.create(clock);
  window.setUsableWorkerCount(WORKERS);
  const block = (responsesMs: ReadonlyArray<number | undefined>) =>
    blockProcess(window, virtualClock, clock, () =>
      sendCommands(window, responsesMs),
    );
  return {window, virtualClock, block};
}

describe(`the causes of late timers that ${StartWindow.name} tells apart`, () => {
  it('leaves a start command for each usable worker if few commands are sent', async () => {
    const {window, block} = createWindow();
    await block([PROMPT_MS, PROMPT_MS]);
    expect(window.getDelayMs()).to.be.above(150);
    expect(window.getFreeCount()).to.equal(WORKERS);
    window.stop();
  });

  it('admits more with each prompt response after none was sent', async () => {
    const {window, block} = createWindow();
    await block([]);
    for (let round = 0; round < 3; round++) {
      const count = window.getFreeCount();
      sendCommands(window, new Array<number>(count).fill(PROMPT_MS));
    }
    expect(window.getFreeCount()).to.equal(WORKERS);
    window.setUsableWorkerCount(WORKERS / 2);
    expect(window.getFreeCount()).to.equal(WORKERS / 2);
    window.stop();
  });

  it('admits fewer than that while most commands are answered late', async () => {
    const {window, virtualClock, block} = createWindow();
    await block([LATE_MS, LATE_MS, PROMPT_MS]);
    expect(window.getFreeCount()).to.be.below(WORKERS / 2);
    sendCommands(window, new Array<number>(WORKERS).fill(PROMPT_MS));
    expect(window.getFreeCount()).to.equal(WORKERS);
    await virtualClock.advance(5_000);
    expect(window.getFreeCount()).to.be.above(WORKERS);
    window.stop();
  });

  it('does not count commands to workers that have crashed', async () => {
    const {window, block} = createWindow();
    await block([undefined, undefined, undefined, PROMPT_MS, PROMPT_MS]);
    expect(window.getFreeCount()).to.equal(WORKERS);
    window.stop();
  });

  it('leaves a start command for each usable worker if workers respond at once to a blocked process', async () => {
    const virtualClock = VirtualClock.create();
    const clock = NodeClock.create(virtualClock);
    const window = StartWindow.create(clock);
    window.setUsableWorkerCount(WORKERS);
    const sendOne = () => {
      const command = window.addCommand();
      clock.setTimer(5, () =>
        window.removeCommand(command, clock.getMonotonicMs() - command.sentMs),
      );
    };
    await blockProcess(window, virtualClock, clock, () => undefined, sendOne);
    expect(window.getLimit()).to.be.at.least(WORKERS);
    window.stop();
  });
});
