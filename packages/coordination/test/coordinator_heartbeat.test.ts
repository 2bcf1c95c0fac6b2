import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  createDefaultRowStoreFaults,
  MemoryRowStore,
} from '@mustardlug/standins/memory_row_store';
import {expect} from 'chai';
import {CommitLog} from '../src/commit_log.js';
import {CoordinatorHeartbeat} from '../src/coordinator_heartbeat.js';
import {LeaseLimit} from '../src/lease_limit.js';

describe(CoordinatorHeartbeat.name, () => {
  async function runThroughOutage(fault: 'isRefusing' | 'isSilent') {
    const clock = VirtualClock.create();
    const faults = createDefaultRowStoreFaults();
    const store = MemoryRowStore.create(clock).createClient(faults);
    const pending = CommitLog.readTerm(store);
    await clock.advance(100);
    const snapshot = (await pending)._unsafeUnwrap();
    const commitLog = CommitLog.create(
      {store, clock, holder: 'node-1'},
      snapshot,
    );
    const heartbeat = CoordinatorHeartbeat.create({
      store,
      clock,
      commitLog,
      leaseLimit: LeaseLimit.create(clock, commitLog),
      nodeId: 'node-1',
      getQueueLoads: () => undefined,
      isRestoring: () => false,
      onSuperseded: () => undefined,
    });
    void heartbeat.run(0);
    await clock.advance(1_000);
    faults[fault] = true;
    await clock.advance(2_600);
    faults[fault] = false;
    await clock.advance(1_500);
    const {intervalMs = 0} = heartbeat.createStatus('node-1');
    heartbeat.stop();
    return intervalMs;
  }

  it('does not take a refusing store for a slow holder', async () => {
    expect(await runThroughOutage('isRefusing')).to.be.below(400);
  });

  it('takes a silent store for a holder that is as slow as its calls', async () => {
    expect(await runThroughOutage('isSilent')).to.be.below(800);
  });
});
