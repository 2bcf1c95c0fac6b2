import {RandomSource} from '@mustardlug/base/random_source';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {createUnavailableError} from '@mustardlug/base/errors';
import {
  LeaseRequest,
  WorkerAddress,
  WorkerError,
  WorkerStatus,
} from '@mustardlug/platform/worker_client';
import {ModelWorkerClient} from '@mustardlug/standins/model_worker_client';
import {WorkerModel} from '@mustardlug/standins/worker_model';
import {expect} from 'chai';
import {err, Result} from 'neverthrow';
import {DEFAULT_LEASE_TIMING, LeaseManager} from '../src/lease_manager.js';

const CAPACITY = {cores: 8, memoryMb: 8_000, accelerators: 0};

/** Default time limit of a call to a worker. */
const TIME_LIMIT_MS = 2_000;

describe('the lease of a sound worker', () => {
  it('is kept if one renewal stays unanswered up to its time limit', async () => {
    const clock = VirtualClock.create();
    const model = WorkerModel.create('worker-1', 'boot-1', CAPACITY, clock);
    const client = ModelWorkerClient.create(
      new Map([['worker-1', model]]),
      clock,
    );
    let isLosing = false;
    const requestLease = client.requestLease.bind(client);
    client.requestLease = async (
      address: WorkerAddress,
      request: LeaseRequest,
    ): Promise<Result<WorkerStatus, WorkerError>> => {
      const outcome = await requestLease(address, request);
      if (!isLosing) return outcome;
      isLosing = false;
      await clock.sleep(TIME_LIMIT_MS);
      return err(createUnavailableError('no response', true));
    };
    const lost: string[] = [];
    const manager = LeaseManager.create({
      scope: 'tasks',
      holderId: 'holder-1',
      clock,
      random: RandomSource.create(1),
      client,
      timing: DEFAULT_LEASE_TIMING,
      listener: {
        onAcquired: () => undefined,
        onRenewed: () => undefined,
        onLost: (_lease, reason) => lost.push(reason),
      },
    });
    manager.setCandidates(['holder-1']);
    manager.setWorkers([{workerId: 'worker-1', host: 'none', port: 1}]);
    await clock.advance(5_000);
    isLosing = true;
    await clock.advance(20_000);
    expect(isLosing).to.equal(false);
    expect(lost).to.deep.equal([]);
  });
});
