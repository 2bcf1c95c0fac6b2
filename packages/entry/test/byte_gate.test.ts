import {expect} from 'chai';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {ByteGate} from '../src/byte_gate.js';

describe('ByteGate', () => {
  it('grants no more than its bytes, and the rest in order as they are returned', async () => {
    const gate = ByteGate.create(100, VirtualClock.create());
    const order: string[] = [];
    expect(await gate.enter(60, 1_000)).to.equal(true);
    const large = gate.enter(60, 1_000).then(() => order.push('large'));
    // A small receiver does not overtake, or large ones would wait without end.
    const small = gate.enter(10, 1_000).then(() => order.push('small'));
    await Promise.resolve();
    expect(order).to.deep.equal([]);
    gate.leave(60);
    await Promise.all([large, small]);
    expect(order).to.deep.equal(['large', 'small']);
    expect(gate.getUsedBytes()).to.equal(70);
  });

  it('gives up after the time limit and lets the next one in', async () => {
    const clock = VirtualClock.create();
    const gate = ByteGate.create(100, clock);
    await gate.enter(60, 1_000);
    const large = gate.enter(60, 500);
    const small = gate.enter(40, 1_000);
    await clock.advance(500);
    expect(await large).to.equal(false);
    expect(await small).to.equal(true);
    expect(gate.getUsedBytes()).to.equal(100);
  });

  it('admits alone what is larger than the gate', async () => {
    const gate = ByteGate.create(100, VirtualClock.create());
    expect(await gate.enter(500, 1_000)).to.equal(true);
    gate.leave(500);
    expect(gate.getUsedBytes()).to.equal(0);
  });
});
