import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {expect} from 'chai';
import {ReturnSchedule} from '../src/return_schedule.js';

const LOAD = {waitingJobs: 10, retryAfterMs: 2_000, startsPerSecond: 8};

/** Upper limit of the delays. */
const MAX_DELAY_MS = 30_000;

describe(ReturnSchedule.name, () => {
  it('gives callers times that follow each other at half the share of a node in the starts', () => {
    const clock = VirtualClock.create();
    const schedule = ReturnSchedule.create({clock, getNodeCount: () => 2});
    const delays = [1, 2, 3].map(() =>
      schedule.assignRetryAfterMs('bookings', LOAD),
    );
    expect(delays).to.deep.equal([2_000, 2_500, 3_000]);
    expect(schedule.assignRetryAfterMs('reports', LOAD)).to.equal(2_000);
  });

  it('limits the delays, and begins anew when they have passed', async () => {
    const clock = VirtualClock.create();
    const schedule = ReturnSchedule.create({clock, getNodeCount: () => 100});
    for (let caller = 0; caller < 10; caller++) {
      const delayMs = schedule.assignRetryAfterMs('bookings', LOAD);
      expect(delayMs).to.be.at.most(MAX_DELAY_MS);
    }
    await clock.advance(2 * MAX_DELAY_MS);
    expect(schedule.assignRetryAfterMs('bookings', LOAD)).to.equal(2_000);
  });

  it('lets callers of jobs above the limit return by their work, and those of other jobs independently', () => {
    const clock = VirtualClock.create();
    const schedule = ReturnSchedule.create({clock, getNodeCount: () => 2});
    const load = {
      ...LOAD,
      ...{retryAfterMs: 0, maxJobWork: 1_000, jobRetryAfterMs: 3_000},
    };
    const delays = [1_500, 2_000, 100_000].map(work =>
      schedule.assignJobRetryAfterMs('bookings', load, work),
    );
    expect(delays).to.deep.equal([3_000, 4_000, 6_000]);
    expect(schedule.assignRetryAfterMs('bookings', LOAD)).to.equal(2_000);
  });
});
