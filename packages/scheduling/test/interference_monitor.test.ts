import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {WorkerModel} from '@mustardlug/standins/worker_model';
import {expect} from 'chai';
import {InterferenceMonitor} from '../src/interference_monitor.js';

const CAPACITY = {cores: 8, memoryMb: 4_000, accelerators: 0};

describe(InterferenceMonitor.name, () => {
  it('forgets workers that were removed', () => {
    const clock = VirtualClock.create();
    const monitor = InterferenceMonitor.create(clock);
    for (let index = 0; index < 100; index++) {
      const workerId = `worker-${index}`;
      const worker = WorkerModel.create(workerId, 'boot', CAPACITY, clock);
      const status = worker
        .requestLease({scope: 'tasks', holderId: 'holder', ttlMs: 1_000})
        ._unsafeUnwrap();
      worker.destroy();
      monitor.addStatus(status);
      monitor.removeWorker(workerId);
    }
    expect(monitor.getWorkerCount()).to.equal(0);
  });
});
