import {expect} from 'chai';
import {OutlierTracker} from '../src/outlier_tracker.js';
import {VirtualClock} from '../src/virtual_clock.js';

const MEMBERS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j'];
const FAILURES = 10;

function createTracker(clock = VirtualClock.create()) {
  const tracker = OutlierTracker.create({clock, maxQuarantinedFraction: 0.3});
  for (const member of MEMBERS) tracker.addMember(member);
  return tracker;
}

function recordFailures(
  tracker: OutlierTracker,
  members: readonly string[],
): void {
  for (let count = 0; count < FAILURES; count++) {
    for (const member of members) tracker.recordResult(member, true);
  }
}

describe('OutlierTracker', () => {
  describe('recordResult', () => {
    function doTest(
      failing: readonly string[],
      quarantinedCount: number,
    ): void {
      const tracker = createTracker();
      recordFailures(tracker, failing);
      const quarantined = MEMBERS.filter(member =>
        tracker.isQuarantined(member),
      );
      expect(quarantined).to.have.length(quarantinedCount);
    }

    it('quarantines a single failing member', () => doTest(['a'], 1));
    it('quarantines no more than the maximum fraction of the members', () =>
      doTest(['a', 'b', 'c', 'd'], 3));
    it('quarantines no member when most members fail', () =>
      doTest(MEMBERS, 0));
  });

  describe('isUsable', () => {
    it('allows one probe and restores the member when the probe succeeds', async () => {
      const clock = VirtualClock.create();
      const tracker = createTracker(clock);
      recordFailures(tracker, ['a']);
      expect(tracker.isUsable('a')).to.equal(false);
      await clock.advance(1_000);
      expect(tracker.isUsable('a')).to.equal(true);
      tracker.recordDispatch('a');
      expect(tracker.isUsable('a')).to.equal(false);
      expect(tracker.recordResult('a', false)).to.equal('restored');
      expect(tracker.isUsable('a')).to.equal(true);
    });

    it('doubles the probe delay after a failed probe', async () => {
      const clock = VirtualClock.create();
      const tracker = createTracker(clock);
      recordFailures(tracker, ['a']);
      await clock.advance(1_000);
      tracker.recordDispatch('a');
      tracker.recordResult('a', true);
      await clock.advance(1_500);
      expect(tracker.isUsable('a')).to.equal(false);
      await clock.advance(500);
      expect(tracker.isUsable('a')).to.equal(true);
    });

    it('allows another probe when the first one reports no result in time', async () => {
      const clock = VirtualClock.create();
      const tracker = createTracker(clock);
      recordFailures(tracker, ['a']);
      await clock.advance(1_000);
      tracker.recordDispatch('a');
      await clock.advance(59_000);
      expect(tracker.isUsable('a')).to.equal(false);
      await clock.advance(1_000);
      expect(tracker.isUsable('a')).to.equal(true);
    });
  });
});
