import {expect} from 'chai';
import {CoordinatorStatus} from '../src/coordinator_status.js';
import {Election} from '../src/election.js';

function createStatus(
  writtenStoreMs: number,
  holder = 'node-1',
): CoordinatorStatus {
  return {term: 3, holder, writtenStoreMs, queues: {}};
}

describe(Election.name, () => {
  it('is not due before the coordinator status has been read', () => {
    expect(Election.create().isTakeoverDue(99_999)).to.equal(false);
  });

  it('is due immediately when there is no holder', () => {
    const election = Election.create();
    election.recordStatus(undefined);
    expect(election.isTakeoverDue(0)).to.equal(true);
    election.recordStatus(createStatus(1_000, ''));
    expect(election.isTakeoverDue(1_001)).to.equal(true);
  });

  it('is due when the coordinator status is older than its timeout', () => {
    const election = Election.create();
    election.recordStatus(createStatus(1_000));
    expect(election.isTakeoverDue(2_000)).to.equal(false);
    expect(election.isTakeoverDue(2_500)).to.equal(true);
  });

  it('waits longer for a holder that writes its status less often', () => {
    const election = Election.create();
    election.recordStatus({...createStatus(1_000), intervalMs: 900});
    expect(election.isTakeoverDue(3_600)).to.equal(false);
    expect(election.isTakeoverDue(3_800)).to.equal(true);
    election.recordStatus({...createStatus(1_000), intervalMs: 9_000});
    expect(election.isTakeoverDue(5_100)).to.equal(true);
  });

  it('is due earlier on nodes with a shorter round trip to the store', () => {
    const near = Election.create();
    const far = Election.create();
    near.recordRoundTrip(5);
    far.recordRoundTrip(40);
    for (const election of [near, far]) election.recordStatus(createStatus(0));
    expect(near.isTakeoverDue(1_300)).to.equal(true);
    expect(far.isTakeoverDue(1_300)).to.equal(false);
  });

  it('gives the holder time to renew its status after an outage of the store', () => {
    const election = Election.create();
    election.recordStatus(createStatus(1_000));
    election.recordStoreOutage();
    election.recordStoreResponse(6_000, 6_000);
    expect(election.isTakeoverDue(6_000)).to.equal(false);
    for (let nowMs = 6_400; nowMs <= 7_600; nowMs += 400)
      election.recordStoreResponse(nowMs, nowMs);
    expect(election.isTakeoverDue(7_600)).to.equal(true);
  });

  it('replaces a holder that is lost after an outage of the store as soon as any other', () => {
    const election = Election.create();
    election.recordStatus(createStatus(1_000));
    election.recordStoreOutage();
    election.recordStoreResponse(6_000, 6_000);
    election.recordStatus(createStatus(6_200));
    // Nodes of a large deployment look at the status less than once a second.
    election.recordStoreResponse(7_500, 7_500);
    expect(election.isTakeoverDue(7_500)).to.equal(true);
  });

  it('gives the holder time after an outage even if a status from before it arrives late', () => {
    const election = Election.create();
    election.recordStatus(createStatus(1_000));
    election.recordStoreOutage();
    election.recordStatus(createStatus(3_000));
    election.recordStoreResponse(6_000, 6_000);
    expect(election.isTakeoverDue(6_000)).to.equal(false);
  });

  it('is due after an outage of the store when the status was observed for long enough', () => {
    const election = Election.create();
    election.recordStatus(createStatus(1_000));
    election.recordStoreOutage();
    expect(election.isAwaitingHolder()).to.equal(true);
    election.recordStoreResponse(6_000, 6_000);
    expect(election.getTimeUntilDueMs(6_000)).to.equal(1_200);
    election.recordStoreResponse(6_500, 6_500);
    expect(election.getTimeUntilDueMs(6_500)).to.equal(700);
    election.recordStatus(createStatus(6_600));
    expect(election.isAwaitingHolder()).to.equal(false);
    expect(election.getTimeUntilDueMs(6_700)).to.equal(1_100);
  });
});
