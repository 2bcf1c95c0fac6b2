import {AttemptId} from '@mustardlug/platform/worker_client';
import {expect} from 'chai';
import {
  createDocument,
  createJob,
  createService,
  SchedulerHarness,
} from '../src/scheduler_harness.js';

/** Cores of a worker, and so the most tasks of one core that it runs. */
const WORKER_CORES = 8;
const SEEDS = [1, 2, 3, 4];
/** Maximum staleness of the VM list. */
const VM_LIST_LAG_MS = 5_000;
/** Time for which a release is waited for, far above the sum of all waits of one holder. */
const RELEASE_LIMIT_MS = 180_000;

/** Expects that all tasks of a job are done. */
function expectDone(harness: SchedulerHarness, name: string): void {
  const states = harness
    .getTasks()
    .filter(task => task.name === name)
    .map(task => `${task.taskId} ${task.state} ${task.workerId}`);
  const waiting = states.filter(text => !text.includes(' done '));
  const message = `${name}, seed ${harness.options.seed}`;
  expect(waiting, message).to.deep.equal([]);
  expect(harness.getDuplicateRuns()).to.deep.equal([]);
  expect(harness.getRepeatedStarts()).to.deep.equal([]);
  expect(harness.getViolations()).to.deep.equal([]);
}

describe('accepted work', () => {
  it('runs elsewhere if the worker that it was bound to in advance is full of services', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 1,
        workers: 3,
        document: createDocument({
          services: [createService(1, {resources: {cores: 7, memoryMb: 100}})],
        }),
      });
      await harness.clock.advance(10_000);
      harness.submitJob(createJob(12, {resources: {cores: 4, memoryMb: 100}}));
      await harness.clock.advance(60_000);
      expectDone(harness, 'reports');
    }
  });

  it('runs elsewhere if the worker that it was bound to in advance stays busy', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 1 + (seed % 2),
        workers: 2,
        document: createDocument({}),
      });
      await harness.clock.advance(10_000);
      harness.submitJob(
        createJob(1, {
          name: 'long',
          resources: {cores: 8, memoryMb: 100},
          expectedRunMs: 3_600_000,
        }),
      );
      await harness.clock.advance(2_000);
      harness.submitJob(createJob(12, {resources: {cores: 4, memoryMb: 100}}));
      await harness.clock.advance(120_000);
      expectDone(harness, 'reports');
    }
  });

  it('starts from the backlog although a replica finds no worker', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 1,
        workers: 2,
        document: createDocument({services: [createService(3)]}),
      });
      await harness.clock.advance(10_000);
      harness.submitJob(createJob(24, {resources: {cores: 2, memoryMb: 100}}));
      await harness.clock.advance(120_000);
      expectDone(harness, 'reports');
    }
  });

  it('is tried again beside a service on every worker that it was once seen to slow down', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 1,
        workers: 4,
        document: createDocument({services: [createService(4)]}),
      });
      let effect = 1;
      for (const model of harness.models.values()) {
        model.behavior.getInterference = () => effect;
      }
      await harness.clock.advance(10_000);
      harness.submitJob(createJob(8, {expectedRunMs: 20_000}));
      await harness.clock.advance(60_000);
      effect = 0;
      await harness.clock.advance(300_000);
      expectDone(harness, 'reports');
    }
  });

  it('runs at full speed again once the service that it slowed down is calm', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 1,
        workers: 1,
        document: createDocument({services: [createService(1)]}),
      });
      let effect = 0.15;
      for (const model of harness.models.values()) {
        model.behavior.getInterference = () => effect;
      }
      await harness.clock.advance(10_000);
      const resources = {cores: 4, memoryMb: 100};
      harness.submitJob(createJob(1, {resources, expectedRunMs: 120_000}));
      await harness.clock.advance(10_000);
      const throttled = harness.events.some(
        ({name}) => name === 'task-throttled',
      );
      expect(throttled, `seed ${seed}`).to.equal(true);
      effect = 0;
      // At half of its share it would run until 220 s.
      await harness.clock.advance(150_000);
      expectDone(harness, 'reports');
    }
  });

  it('returns to the worker that it crashed if no other one has the resources', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 1,
        workers: 4,
        document: createDocument({}),
      });
      harness.addWorker('big', 'rack-0', {
        cores: 8,
        memoryMb: 8_000,
        accelerators: 1,
      });
      await harness.clock.advance(10_000);
      harness.crashDelayMsByName.set('learning', 10);
      harness.submitJob(
        createJob(1, {
          name: 'learning',
          resources: {cores: 1, memoryMb: 100, accelerators: 1},
        }),
      );
      await harness.clock.advance(1_000);
      harness.crashDelayMsByName.clear();
      await harness.clock.advance(120_000);
      expect(harness.crashes).to.have.lengthOf(1);
      expectDone(harness, 'learning');
    }
  });

  it('is released from a removed worker although schedulers restart all the time', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 2,
        workers: 3,
        document: createDocument({}),
      });
      await harness.clock.advance(10_000);
      harness.submitJob(createJob(24, {expectedRunMs: 30_000}));
      await harness.clock.advance(5_000);
      harness.removeWorker('worker-1');
      for (let ms = 0; ms < RELEASE_LIMIT_MS; ms += 20_000) {
        await harness.clock.advance(20_000);
        const live = harness.nodes.filter(({isDead}) => !isDead);
        for (const node of live) {
          harness.killNode(node);
          harness.addNode();
        }
      }
      expectDone(harness, 'reports');
    }
  });

  it('starts although many older jobs find no worker', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 1,
        workers: 2,
        document: createDocument({
          services: [createService(2, {resources: {cores: 2, memoryMb: 100}})],
        }),
      });
      await harness.clock.advance(10_000);
      for (let job = 0; job < 60; job++) {
        harness.submitJob(
          createJob(1, {
            name: `large-${job}`,
            resources: {cores: 8, memoryMb: 100},
          }),
        );
      }
      await harness.clock.advance(1_000);
      harness.submitJob(createJob(4));
      await harness.clock.advance(60_000);
      expectDone(harness, 'reports');
    }
  });

  it('starts although its preferred scheduler is dead and others always have work', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 2,
        workers: 4,
        document: createDocument({}),
      });
      await harness.clock.advance(10_000);
      const [, dead] = harness.nodes;
      dead.clock.kill();
      dead.scheduler.stop();
      for (const vm of harness.vms)
        dead.workerClient.faults.unreachableWorkers.add(vm.id);
      harness.submitJob(createJob(200, {name: 'earlier'}));
      await harness.clock.advance(2_000);
      harness.submitJob(createJob(40));
      for (let batch = 0; batch < 30; batch++) {
        harness.submitJob(createJob(200, {name: `later-${batch}`}));
        await harness.clock.advance(10_000);
      }
      expectDone(harness, 'reports');
    }
  });

  it('is charged no more than the room that services leave', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 1,
        workers: 3,
        document: createDocument({services: [createService(3)]}),
      });
      for (const model of harness.models.values())
        model.behavior.usedCoresFactor = 4;
      await harness.clock.advance(10_000);
      harness.submitJob(createJob(12, {resources: {cores: 2, memoryMb: 100}}));
      await harness.clock.advance(120_000);
      expectDone(harness, 'reports');
    }
  });

  it('is not evicted for urgent tasks that no worker may run', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 1,
        workers: 2,
        document: createDocument({services: [createService(2)]}),
      });
      for (const model of harness.models.values()) {
        model.behavior.getInterference = name => (name === 'urgent' ? 1 : 0);
      }
      await harness.clock.advance(10_000);
      harness.submitJob(
        createJob(4, {
          name: 'urgent',
          isUrgent: true,
          expectedRunMs: 600_000,
          resources: {cores: 6, memoryMb: 100},
        }),
      );
      await harness.clock.advance(60_000);
      const isUrgent = ({taskId}: AttemptId) => taskId.includes('.urgent.');
      harness.submitJob(createJob(12, {expectedRunMs: 20_000}));
      await harness.clock.advance(120_000);
      expectDone(harness, 'reports');
      let evictions = 0;
      for (const task of harness.getTasks()) {
        if (task.name === 'reports') evictions += task.evictions;
      }
      const started = [...harness.models.values()].flatMap(
        model => model.startedAttempts,
      );
      const limit = started.filter(isUrgent).length * WORKER_CORES;
      expect(evictions, `seed ${seed}`).to.be.at.most(limit);
    }
  });

  it('of a large task starts although small tasks keep arriving', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 1,
        workers: 2,
        document: createDocument({}),
      });
      await harness.clock.advance(10_000);
      for (let job = 0; job < 40; job++) {
        harness.submitJob(
          createJob(1, {
            name: `earlier-${job}`,
            expectedRunMs: 3_000 + 97 * job,
          }),
        );
      }
      await harness.clock.advance(2_000);
      harness.submitJob(
        createJob(1, {name: 'large', resources: {cores: 8, memoryMb: 100}}),
      );
      for (let job = 0; job < 800; job++) {
        harness.submitJob(
          createJob(1, {
            name: `later-${job}`,
            expectedRunMs: 3_000 + 97 * (job % 40),
          }),
        );
        await harness.clock.advance(240);
      }
      expectDone(harness, 'large');
    }
  });

  it('of a suspected task is released although its worker crashes again and again', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 1,
        workers: 4,
        document: createDocument({}),
      });
      await harness.clock.advance(10_000);
      harness.crashDelayMsByName.set('reports', 10);
      harness.submitJob(createJob(1));
      let worker: string | undefined;
      for (let ms = 0; ms < 60_000 && harness.crashes.length < 2; ms += 10) {
        await harness.clock.advance(10);
        worker = harness.crashes[1]?.workerId;
      }
      harness.crashDelayMsByName.clear();
      for (let ms = 0; ms < 120_000; ms += 9_000) {
        await harness.clock.advance(9_000);
        harness.crashWorker(worker ?? 'none');
      }
      expectDone(harness, 'reports');
    }
  });

  it('of a worker off the list does not run twice beside stale, paused and restarting schedulers', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 3,
        workers: 3,
        document: createDocument({}),
      });
      await harness.clock.advance(10_000);
      harness.submitJob(createJob(24, {expectedRunMs: 300_000}));
      await harness.clock.advance(5_000);
      const stale = harness.vms;
      const [restarting, paused, behind] = harness.nodes;
      for (const node of [restarting, paused])
        node.workerClient.faults.unreachableWorkers.add('worker-1');
      paused.clock.suspend();
      harness.unlistWorker('worker-1');
      const schedulers = harness.nodes.map(({id}) => id);
      behind.scheduler.setVms(stale, schedulers);
      behind.leases.setWorkers(
        stale.map(({id, host, port}) => ({workerId: id, host, port})),
      );
      let node = restarting;
      for (let ms = 0; ms < RELEASE_LIMIT_MS; ms += 1_000) {
        await harness.clock.advance(1_000);
        expect(harness.getDuplicateRuns(), `${ms} ms`).to.deep.equal([]);
        if (ms === 4_000) harness.publishMembership();
        if (ms === 40_000) paused.clock.resume();
        if (ms > 4_000 && ms % 7_000 === 0) {
          harness.killNode(node);
          node = harness.addNode();
        }
      }
      const bound = harness
        .getTasks()
        .filter(
          ({state, workerId}) => state === 'bound' && workerId === 'worker-1',
        );
      expect(bound).to.deep.equal([]);
      expect(harness.getRepeatedStarts()).to.deep.equal([]);
    }
  });

  it('of a worker off the list does not run twice when the holder of its lease reads the list last', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 2,
        workers: 3,
        document: createDocument({}),
      });
      await harness.clock.advance(10_000);
      harness.submitJob(createJob(6, {expectedRunMs: 300_000}));
      await harness.clock.advance(5_000);
      const stale = harness.vms;
      const [worker] = [...harness.models.values()].filter(
        model => model.getRunningAttempts().length > 0,
      );
      const {workerId: gone} = worker;
      const behind = harness.nodes.find(
        ({leases}) => leases.getLease(gone) !== undefined,
      )!;
      harness.unlistWorker(gone);
      behind.scheduler.setVms(
        stale,
        harness.nodes.map(({id}) => id),
      );
      behind.leases.setWorkers(
        stale.map(({id, host, port}) => ({workerId: id, host, port})),
      );
      for (let ms = 0; ms < RELEASE_LIMIT_MS; ms += 100) {
        await harness.clock.advance(100);
        expect(harness.getDuplicateRuns(), `${ms} ms`).to.deep.equal([]);
        if (ms === VM_LIST_LAG_MS) harness.publishMembership();
      }
      const bound = harness
        .getTasks()
        .filter(({state, workerId}) => state === 'bound' && workerId === gone);
      expect(bound).to.deep.equal([]);
    }
  });

  it('of another domain is taken over although an own task fits on no worker of the domain', async () => {
    for (const seed of SEEDS) {
      const harness = SchedulerHarness.create({
        seed,
        schedulers: 1,
        workers: 2,
        document: createDocument({}),
      });
      harness.vms.push({
        ...harness.vms[0],
        id: 'remote',
        failureDomain: 'domain-b',
        accelerators: 1,
      });
      harness.publishMembership();
      await harness.clock.advance(10_000);
      const resources = {cores: 1, memoryMb: 100, accelerators: 1};
      harness.submitJob(createJob(1, {name: 'learning', resources}));
      await harness.clock.advance(1_000);
      harness.submitJob(createJob(4), 'domain-b');
      await harness.clock.advance(60_000);
      expectDone(harness, 'reports');
    }
  });
});
