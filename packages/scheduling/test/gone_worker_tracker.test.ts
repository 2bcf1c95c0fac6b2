import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {expect} from 'chai';
import {DEFAULT_LEASE_TIMING} from '@mustardlug/membership/lease_manager';
import {TASK_LEASE_MS} from '@mustardlug/platform/worker_client';
import {GoneWorkerTracker} from '../src/gone_worker_tracker.js';

const LIST_LAG_MS = 5_000;
/** Time limit of a renewal that is on its way, and interval at which a worker checks its lease. */
const RENEWAL_MARGIN_MS = 2_000 + 1_000;

const CONFIRMATION_MS =
  LIST_LAG_MS + RENEWAL_MARGIN_MS + DEFAULT_LEASE_TIMING.ttlMs + TASK_LEASE_MS;
const CHECK_INTERVAL_MS = 1_000;

describe(GoneWorkerTracker.name, () => {
  let clock: VirtualClock;
  let tracker: GoneWorkerTracker;

  beforeEach(() => {
    clock = VirtualClock.create();
    tracker = GoneWorkerTracker.create(clock, LIST_LAG_MS);
  });

  /** Checks a worker for a time, and returns whether it counts as gone at the end. */
  async function checkFor(
    durationMs: number,
    {isBound = true, isListed = false, bootKey = 'w'} = {},
  ): Promise<boolean> {
    let gone: string[] = [];
    for (let ms = 0; ms < durationMs; ms += CHECK_INTERVAL_MS) {
      await clock.advance(CHECK_INTERVAL_MS);
      tracker.recordListRead();
      gone = tracker.getGoneWorkers(isBound ? [bootKey] : [], () => isListed);
    }
    return gone.length > 0;
  }

  it('confirms a worker that was missing all the time', async () => {
    expect(await checkFor(CONFIRMATION_MS)).to.equal(false);
    expect(await checkFor(CHECK_INTERVAL_MS)).to.equal(true);
  });

  it('starts anew when a worker is listed again', async () => {
    await checkFor(CONFIRMATION_MS);
    await checkFor(CHECK_INTERVAL_MS, {isListed: true});
    expect(await checkFor(CONFIRMATION_MS)).to.equal(false);
  });

  it('starts anew when a worker without tasks is listed again', async () => {
    await checkFor(CHECK_INTERVAL_MS);
    await checkFor(CONFIRMATION_MS, {isBound: false, isListed: true});
    expect(await checkFor(CHECK_INTERVAL_MS)).to.equal(false);
  });

  it('confirms a worker although the list cannot be read again and again', async () => {
    const outageMs = 10_000;
    let isGone = false;
    for (let ms = 0; ms < 2 * CONFIRMATION_MS; ms += 2 * outageMs) {
      isGone ||= await checkFor(outageMs);
      await clock.advance(outageMs);
      expect(tracker.getGoneWorkers(['w'], () => false)).to.deep.equal([]);
    }
    expect(isGone).to.equal(true);
  });

  it('counts from the first task that is bound to a new boot of a gone worker', async () => {
    await checkFor(CONFIRMATION_MS - CHECK_INTERVAL_MS);
    const bootKey = 'w/2';
    expect(await checkFor(CONFIRMATION_MS, {bootKey})).to.equal(false);
    expect(await checkFor(CHECK_INTERVAL_MS, {bootKey})).to.equal(true);
  });
});
