import {RandomSource} from '@mustardlug/base/random_source';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {ModelWorkerClient} from '@mustardlug/standins/model_worker_client';
import {WorkerModel} from '@mustardlug/standins/worker_model';
import {expect} from 'chai';
import {DEFAULT_LEASE_TIMING, LeaseManager} from '../src/lease_manager.js';

const CAPACITY = {cores: 8, memoryMb: 8_000, accelerators: 0};

/** Returns the workers whose leases a manager acquires when a given worker responds at its address. */
async function acquireFrom(respondingWorkerId: string): Promise<string[]> {
  const clock = VirtualClock.create();
  const model = WorkerModel.create(
    respondingWorkerId,
    'boot-1',
    CAPACITY,
    clock,
  );
  const acquired: string[] = [];
  const manager = LeaseManager.create({
    scope: 'tasks',
    holderId: 'holder-1',
    clock,
    random: RandomSource.create(1),
    client: ModelWorkerClient.create(new Map([['worker-1', model]]), clock),
    timing: DEFAULT_LEASE_TIMING,
    listener: {
      onAcquired: lease => acquired.push(lease.address.workerId),
      onRenewed: () => undefined,
      onLost: () => undefined,
    },
  });
  manager.setCandidates(['holder-1']);
  manager.setWorkers([{workerId: 'worker-1', host: 'none', port: 1}]);
  await clock.advance(10_000);
  expect(manager.getValidLeases()).to.have.length(acquired.length);
  return acquired;
}

describe(LeaseManager.name, () => {
  it('acquires the lease of a worker', async () => {
    expect(await acquireFrom('worker-1')).to.deep.equal(['worker-1']);
  });

  it('acquires no lease from another worker that has the address', async () => {
    expect(await acquireFrom('worker-2')).to.deep.equal([]);
  });
});
