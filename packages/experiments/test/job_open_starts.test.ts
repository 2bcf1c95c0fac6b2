import {expect} from 'chai';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {
  HarnessNode,
  JobHarness,
  JobHarnessOptions,
} from '../src/job_harness.js';

const START_MS = 2_500;
const UPTIME_MS = 20_000;
const SETTLE_MS = 25_000;

async function createHarness(
  options: JobHarnessOptions = {},
): Promise<JobHarness> {
  const harness = JobHarness.create(options);
  await harness.advance(START_MS);
  return harness;
}

function findStart(harness: JobHarness, taskName: string): string | undefined {
  for (const {events} of harness.nodes) {
    for (const event of events.getEvents()) {
      if (event.name === 'run-started' && event.taskId === taskName)
        return event.workerId;
    }
  }
  return undefined;
}

async function submitAndSendStart(
  harness: JobHarness,
  fields: Parameters<typeof createSampleStep>[1],
): Promise<{jobId: string; workerId: string}> {
  const {jobId} = await harness.submit([createSampleStep(1, fields)]);
  for (let waitedMs = 0; waitedMs < 1_000; waitedMs++) {
    const workerId = findStart(harness, `${jobId}.0.0.0`);
    if (workerId !== undefined) return {jobId, workerId};
    await harness.advance(1);
  }
  throw new Error('not placed');
}

function getCoordinator(harness: JobHarness): HarnessNode {
  const node = harness.getCoordinator();
  if (node === undefined) throw new Error('no coordinator');
  return node;
}

function countRuns(harness: JobHarness): number {
  let count = 0;
  for (const worker of harness.workers.values()) count += worker.getRunCount();
  return count;
}

describe('runs of cancelled jobs', () => {
  it('stops a run that a worker starts late, after its job was cancelled', async () => {
    const harness = await createHarness();
    await harness.advance(UPTIME_MS);
    for (const {linkFaults} of harness.nodes)
      Object.assign(linkFaults, {
        applyNextLate: 1,
        lateMs: 8_000,
        reachesNextProcess: true,
      });
    const {jobId, workerId} = await submitAndSendStart(harness, {
      isLongRunning: true,
    });
    await harness.advance(10);
    harness.restartWorker(workerId, {delayMs: 7_000});
    await harness.advance(6_500);
    await harness.cancel(jobId);
    await harness.advance(SETTLE_MS);
    expect(countRuns(harness)).to.equal(0);
  });

  it('stops the runs of a cancelled job although its coordinator is lost before they were stopped', async () => {
    const harness = await createHarness();
    const {jobId} = await submitAndSendStart(harness, {isLongRunning: true});
    await harness.advance(1_000);
    expect(countRuns(harness)).to.equal(1);
    const coordinator = getCoordinator(harness);
    coordinator.linkFaults.isPartitioned = true;
    await harness.cancel(jobId);
    await harness.advance(200);
    void coordinator.role.stop();
    await harness.advance(SETTLE_MS);
    expect(getCoordinator(harness)).not.to.equal(coordinator);
    expect(countRuns(harness)).to.equal(0);
  });
});

describe('open start commands of released runs', () => {
  it('does not run a task twice if a late start counts its lease from its arrival, after a cut', async () => {
    const harness = await createHarness();
    for (const {linkFaults} of harness.nodes)
      Object.assign(linkFaults, {
        applyNextLate: 1,
        lateMs: 8_000,
        shiftsLateLeases: true,
      });
    const {workerId} = await submitAndSendStart(harness, {
      estimatedMs: 6_000,
    });
    await harness.advance(10);
    for (const {linkFaults} of harness.nodes)
      linkFaults.unreachableWorkers.add(workerId);
    await harness.advance(6_500);
    for (const {linkFaults} of harness.nodes)
      linkFaults.unreachableWorkers.delete(workerId);
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });

  it('does not run a task twice if a worker restarts after it has excluded the run', async () => {
    const harness = await createHarness();
    await harness.advance(UPTIME_MS);
    for (const {linkFaults} of harness.nodes)
      Object.assign(linkFaults, {
        applyNextLate: 1,
        lateMs: 3_000,
        reachesNextProcess: true,
      });
    const {workerId} = await submitAndSendStart(harness, {
      estimatedMs: 6_000,
    });
    await harness.advance(100);
    const worker = harness.workers.get(workerId)!;
    worker.behavior.startRefusal = 'unhealthy';
    harness.unregister(workerId);
    await harness.advance(1_200);
    worker.behavior.startRefusal = undefined;
    harness.restartWorker(workerId, {delayMs: 300});
    await harness.advance(SETTLE_MS);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
