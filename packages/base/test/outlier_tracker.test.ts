import {expect} from 'chai';
import {OutlierTracker} from '../src/outlier_tracker.js';
import {VirtualClock} from '../src/virtual_clock.js';

const MEMBERS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j'];
const FAILURES = 10;

function createTracker(clock = VirtualClock.create()) {
  const tracker = OutlierTracker.create({clock, maxAsideFraction: 0.3});
  for (const member of MEMBERS) tracker.addMember(member);
  return tracker;
}

function fail(tracker: OutlierTracker, members: readonly string[]): void {
  for (let count = 0; count < FAILURES; count++) {
    for (const member of members) tracker.noteResult(member, true);
  }
}

describe('OutlierTracker', () => {
  describe('noteResult', () => {
    function doTest(failing: readonly string[], asideCount: number): void {
      const tracker = createTracker();
      fail(tracker, failing);
      const aside = MEMBERS.filter(member => tracker.isAside(member));
      expect(aside).to.have.length(asideCount);
    }

    it('sets one bad member aside', () => doTest(['a'], 1));
    it('sets no more aside than its bound', () =>
      doTest(['a', 'b', 'c', 'd'], 3));
    it('blames the work when most members fail', () => doTest(MEMBERS, 0));
  });

  describe('isUsable', () => {
    it('allows one probe, and restores the member when it goes well', async () => {
      const clock = VirtualClock.create();
      const tracker = createTracker(clock);
      fail(tracker, ['a']);
      expect(tracker.isUsable('a')).to.equal(false);
      await clock.advance(1_000);
      expect(tracker.isUsable('a')).to.equal(true);
      tracker.noteDispatch('a');
      expect(tracker.isUsable('a')).to.equal(false);
      expect(tracker.noteResult('a', false)).to.equal('restored');
      expect(tracker.isUsable('a')).to.equal(true);
    });

    it('waits longer after a probe that failed', async () => {
      const clock = VirtualClock.create();
      const tracker = createTracker(clock);
      fail(tracker, ['a']);
      await clock.advance(1_000);
      tracker.noteDispatch('a');
      tracker.noteResult('a', true);
      await clock.advance(1_500);
      expect(tracker.isUsable('a')).to.equal(false);
      await clock.advance(500);
      expect(tracker.isUsable('a')).to.equal(true);
    });

    it('allows another probe when the first one never reports', async () => {
      const clock = VirtualClock.create();
      const tracker = createTracker(clock);
      fail(tracker, ['a']);
      await clock.advance(1_000);
      tracker.noteDispatch('a');
      await clock.advance(59_000);
      expect(tracker.isUsable('a')).to.equal(false);
      await clock.advance(1_000);
      expect(tracker.isUsable('a')).to.equal(true);
    });
  });
});
