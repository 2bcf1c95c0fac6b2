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

  it('drops a lease that the next boot of a worker renews under an equal epoch', async () => {
    const clock = VirtualClock.create();
    const boots = ['boot-1', 'boot-2'].map(bootId =>
      WorkerModel.create('worker-1', bootId, CAPACITY, clock),
    );
    const [former, next] = boots;
    const models = new Map([['worker-1', former]]);
    const client = ModelWorkerClient.create(models, clock);
    const requestLease = client.requestLease.bind(client);
    // Agents of earlier versions ignore the boot that a call names.
    client.requestLease = (address, request) =>
      requestLease(address, {...request, bootId: undefined});
    const leasedBoots: string[] = [];
    const manager = LeaseManager.create({
      scope: 'tasks',
      holderId: 'holder-1',
      clock,
      random: RandomSource.create(1),
      client,
      timing: DEFAULT_LEASE_TIMING,
      listener: {
        onAcquired: lease => leasedBoots.push(lease.getStatus().bootId),
        onRenewed: lease =>
          expect(lease.getStatus().bootId).to.equal(leasedBoots.at(-1)),
        onLost: () => leasedBoots.push('lost'),
      },
    });
    manager.setCandidates(['holder-1']);
    manager.setWorkers([{workerId: 'worker-1', host: 'none', port: 1}]);
    await clock.advance(1_000);
    models.set('worker-1', next);
    // The next boot executes the first request of the lease, which was late.
    next.requestLease({scope: 'tasks', holderId: 'holder-1', ttlMs: 4_000});
    await clock.advance(10_000);
    expect(leasedBoots).to.deep.equal(['boot-1', 'lost', 'boot-2']);
  });

  it('acquires no lease from another worker that has the address', async () => {
    expect(await acquireFrom('worker-2')).to.deep.equal([]);
  });
});
