import {expect} from 'chai';
import * as fc from 'fast-check';
import {
  ENDED_TASK_RETENTION_MS,
  JobSummary,
  SUMMARY_PREFIX,
} from '@mustardlug/scheduling/task_purger';
import {
  createUsageReport,
  OwnerUsage,
} from '@mustardlug/scheduling/usage_report';
import {UsageRecord} from '@mustardlug/scheduling/usage_recorder';
import {
  createDocument,
  createJob,
  createService,
  SchedulerHarness,
} from '../src/scheduler_harness.js';

const HOUR_MS = 3_600_000;

function expectInvariantsHold(harness: SchedulerHarness): void {
  expect(harness.getViolations()).to.deep.equal([]);
  expect(harness.getDuplicateRuns()).to.deep.equal([]);
  expect(harness.getRepeatedStarts()).to.deep.equal([]);
  expect(harness.getRepeatedResumes()).to.deep.equal([]);
}

describe('batch work', () => {
  it('starts attempts that were bound in advance during a one-hour table outage', async () => {
    const harness = SchedulerHarness.create({
      seed: 31,
      schedulers: 2,
      workers: 3,
      document: createDocument({
        batchJobs: [createJob(100, {expectedRunMs: 60_000})],
      }),
    });
    await harness.clock.advance(20_000);
    const before = harness.getRepeatedStarts().length + countStarts(harness);
    harness.table.faults.isOutage = true;
    await harness.clock.advance(HOUR_MS);
    const during = countStarts(harness) - before;
    expect(during, 'starts during the outage').to.be.greaterThan(0);
    expectInvariantsHold(harness);
    harness.table.faults.isOutage = false;
    await harness.clock.advance(600_000);
    expect(harness.countTasks('done')).to.equal(100);
    expectInvariantsHold(harness);
  });

  it('reports infeasible jobs with a reason and runs the others', async () => {
    const harness = SchedulerHarness.create({
      seed: 32,
      schedulers: 2,
      workers: 2,
      document: createDocument({
        batchJobs: [
          createJob(3, {
            name: 'too-large',
            resources: {cores: 9, memoryMb: 10},
          }),
          createJob(20),
        ],
      }),
    });
    await harness.clock.advance(60_000);
    expect(harness.countTasks('infeasible')).to.equal(3);
    expect(harness.countTasks('done')).to.equal(20);
    const [record] = harness
      .getTasks()
      .filter(task => task.state === 'infeasible');
    expect(record.reason).to.match(/no worker has 9 cores/);
  });

  it('quarantines a worker on which all attempts fail and finishes on the others', async () => {
    const harness = SchedulerHarness.create({
      seed: 33,
      schedulers: 1,
      workers: 6,
      document: createDocument({
        batchJobs: [createJob(150, {expectedRunMs: 1_000, maxAttempts: 4})],
      }),
    });
    const faultyWorker = harness.models.get('worker-2');
    if (faultyWorker !== undefined) faultyWorker.behavior.failsAll = true;
    await harness.clock.advance(120_000);
    expect(harness.countTasks('done')).to.equal(150);
    const names = harness.events.map(event => event.name);
    expect(names).to.include('worker-set-aside');
    expect(faultyWorker?.startedAttempts.length).to.be.below(60);
  });

  it('fails a job that fails on every worker', async () => {
    const harness = SchedulerHarness.create({
      seed: 34,
      schedulers: 1,
      workers: 5,
      document: createDocument({
        batchJobs: [createJob(10, {maxAttempts: 2})],
      }),
    });
    for (const model of harness.models.values()) model.behavior.failsAll = true;
    await harness.clock.advance(60_000);
    expect(harness.countTasks('failed')).to.equal(10);
  });

  it('cancels 1,000 tasks with few transactions', async () => {
    const harness = SchedulerHarness.create({
      seed: 35,
      schedulers: 2,
      workers: 2,
      document: createDocument({
        batchJobs: [createJob(1_000, {expectedRunMs: 600_000})],
      }),
    });
    await harness.clock.advance(15_000);
    const before = harness.table.counts.transactions;
    void harness.table.commit([
      {
        kind: 'put',
        key: 'cancel/reports',
        value: {writeToken: 'operator'},
        expectedRevision: 0,
      },
    ]);
    await harness.clock.advance(15_000);
    expect(harness.countTasks('cancelled')).to.equal(1_000);
    expect(harness.table.counts.transactions - before).to.be.below(60);
    for (const model of harness.models.values()) {
      expect(model.getRunningAttempts()).to.deep.equal([]);
    }
  });

  it('counts each ended task once in the job summary, despite kills and lost responses', async () => {
    const harness = SchedulerHarness.create({
      seed: 40,
      schedulers: 3,
      workers: 4,
      document: createDocument({
        services: [createService(2)],
        batchJobs: [createJob(300, {expectedRunMs: 2_000})],
      }),
    });
    await harness.clock.advance(ENDED_TASK_RETENTION_MS);
    harness.table.faults.loseNextAnswers = 2;
    await harness.clock.advance(5_000);
    harness.killNode(harness.nodes[0]);
    harness.addNode();
    harness.table.faults.applyNextLate = 1;
    await harness.clock.advance(ENDED_TASK_RETENTION_MS);
    const [summary] = harness.table
      .getRowsByPrefix(SUMMARY_PREFIX)
      .map(row => row.value as JobSummary);
    expect(summary.done).to.equal(300);
    expect(harness.getTasks().map(task => task.kind)).to.deep.equal([
      'service',
      'service',
    ]);
    expectInvariantsHold(harness);
  });

  it('places tasks by their measured usage when it exceeds their declaration', async () => {
    const factor = 2;
    const harness = SchedulerHarness.create({
      seed: 41,
      schedulers: 2,
      workers: 3,
      document: createDocument({
        batchJobs: [createJob(200, {expectedRunMs: 4_000})],
      }),
    });
    for (const model of harness.models.values()) {
      model.behavior.usedCoresFactor = factor;
    }
    // Usage is measured on the first tasks and applies once they have ended.
    await harness.clock.advance(15_000);
    for (let count = 0; count < 100; count++) {
      await harness.clock.advance(200);
      for (const model of harness.models.values()) {
        const usedCores = model.getRunningAttempts().length * factor;
        expect(usedCores).to.be.at.most(model.capacity.cores);
      }
    }
  });

  it('spreads the replicas of a service evenly over racks', async () => {
    const harness = SchedulerHarness.create({
      seed: 36,
      schedulers: 1,
      workers: 9,
      document: createDocument({services: [createService(6)]}),
    });
    await harness.clock.advance(20_000);
    const racks = new Map<string, number>();
    for (const vm of harness.vms) {
      const running = harness.models.get(vm.id)?.getRunningAttempts().length;
      racks.set(vm.rack, (racks.get(vm.rack) ?? 0) + (running ?? 0));
    }
    expect([...racks.values()]).to.deep.equal([2, 2, 2]);
  });

  it('starts urgent tasks within 1.4 s on full workers', async () => {
    const harness = SchedulerHarness.create({
      seed: 37,
      schedulers: 2,
      workers: 4,
      document: createDocument({
        batchJobs: [createJob(200, {expectedRunMs: 300_000})],
      }),
    });
    await harness.clock.advance(20_000);
    const submittedMs = harness.submitJob(
      createJob(8, {name: 'urgent', isUrgent: true, expectedRunMs: 1_000}),
    );
    await harness.clock.advance(20_000);
    const starts = harness.events.filter(
      event =>
        event.name === 'task-started' && event.taskId?.includes('urgent'),
    );
    const firstStarts = new Map<string, number>();
    for (const {taskId, atMs} of starts) {
      if (taskId !== undefined && !firstStarts.has(taskId)) {
        firstStarts.set(taskId, atMs);
      }
    }
    expect(firstStarts.size).to.equal(8);
    for (const atMs of firstStarts.values()) {
      expect(atMs - submittedMs).to.be.at.most(1_400);
    }
    expectInvariantsHold(harness);
  });

  it('maintains the invariants under random sequences of faults', async () => {
    const action = fc.constantFrom(
      'kill',
      'suspend',
      'outage',
      'lose-response',
      'late-write',
      'partition-worker',
      'leave',
      'reboot',
      'wait',
    );
    await fc.assert(
      fc.asyncProperty(
        fc.array(action, {maxLength: 12}),
        fc.nat({max: 1_000}),
        async (actions, seed) => {
          const harness = SchedulerHarness.create({
            seed,
            schedulers: 2,
            workers: 4,
            document: createDocument({
              services: [createService(2)],
              batchJobs: [createJob(30)],
            }),
          });
          const duplicateRuns: string[] = [];
          for (const action of actions) {
            performAction(harness, action);
            for (let count = 0; count < 20; count++) {
              await harness.clock.advance(200);
              duplicateRuns.push(...harness.getDuplicateRuns());
            }
          }
          clearFaults(harness);
          await harness.clock.advance(200_000);
          expect(duplicateRuns).to.deep.equal([]);
          expectInvariantsHold(harness);
          expect(harness.countTasks('done')).to.equal(30);
          expect(harness.countRunningServices()).to.equal(2);
        },
      ),
      {seed: 38, numRuns: 40},
    );
  });

  it('reports usage that matches the work of the workers, despite kills and lost responses', async () => {
    const harness = SchedulerHarness.create({
      seed: 39,
      schedulers: 2,
      workers: 4,
      usageIntervalMs: 10_000,
      document: createDocument({
        services: [createService(2)],
        batchJobs: [createJob(60)],
      }),
    });
    await harness.clock.advance(12_000);
    harness.killNode(harness.nodes[0]);
    harness.addNode();
    harness.table.faults.loseNextAnswers = 3;
    await harness.clock.advance(25_000);
    harness.table.faults.isOutage = true;
    await harness.clock.advance(35_000);
    harness.table.faults.isOutage = false;
    await harness.clock.advance(60_000);
    const rows = harness.table
      .getRowsByPrefix('usage/')
      .map(row => row.value as UsageRecord);
    const report = createUsageReport(rows, 10_000);
    const batch = report.owners.find(owner => owner.kind === 'batch');
    expect(getCoreMs(batch)).to.be.closeTo(60 * 5_000, 1);
    expect(
      report.gaps.length,
      'usage gaps during the outage',
    ).to.be.greaterThan(0);
    const used = report.owners.reduce((sum, owner) => sum + owner.coreMs, 0);
    expect(used + report.idleCoreMs).to.be.closeTo(report.totalCoreMs, 1);
  });
});

function getCoreMs(owner: OwnerUsage | undefined): number {
  return owner?.coreMs ?? 0;
}

function countStarts(harness: SchedulerHarness): number {
  let starts = 0;
  for (const model of harness.models.values()) {
    starts += model.startedAttempts.length;
  }
  return starts;
}

function performAction(harness: SchedulerHarness, action: string): void {
  const live = harness.nodes.filter(node => !node.isDead);
  const [node] = live;
  const {faults} = harness.table;
  const leaving = harness.models.get('worker-0');
  switch (action) {
    case 'kill':
      harness.killNode(node);
      harness.addNode();
      return;
    case 'suspend':
      node.clock.suspend();
      harness.clock.setTimer(12_000, () => node.clock.resume());
      return;
    case 'outage':
      faults.isOutage = true;
      harness.clock.setTimer(9_000, () => {
        faults.isOutage = false;
      });
      return;
    case 'lose-response':
      faults.loseNextAnswers++;
      return;
    case 'late-write':
      faults.applyNextLate++;
      return;
    case 'partition-worker':
      node.workerClient.faults.unreachableWorkers.add('worker-1');
      return;
    case 'leave':
      if (leaving !== undefined) leaving.behavior.isLeaving = true;
      return;
    case 'reboot':
      harness.models.get('worker-2')?.destroy();
      harness.addWorker('worker-2', 'rack-2');
      return;
  }
}

function clearFaults(harness: SchedulerHarness): void {
  harness.table.faults.isOutage = false;
  for (const node of harness.nodes) {
    if (!node.isDead) node.workerClient.faults.unreachableWorkers.clear();
  }
  for (const model of harness.models.values()) {
    model.behavior.isLeaving = false;
  }
}
