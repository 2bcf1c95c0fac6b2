import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {RecordedEvent} from '@mustardlug/telemetry/event_recorder';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';
import {NodeFailure, measureRecovery} from '../src/recovery_experiment.js';

/** Number of seeds in CI; `mustardlug-experiment recovery` runs 200. */
const SEED_COUNT = 20;

/** Guaranteed maximum time from the loss of the coordinator to the next start of a task. */
const MAX_FAILOVER_MS = 2_500;

/** Maximum time from the restart of all nodes to the first start of a task. */
const MAX_RESTART_MS = 3_000;

/** Maximum number of tasks that fail on a worker before it is quarantined. */
const MAX_FAILED_TASKS = 3;

describe('recovery time', () => {
  async function expectFirstStartWithin(
    failure: NodeFailure,
    maxMs: number,
  ): Promise<void> {
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      const result = await measureRecovery(failure, seed);
      expect(result.firstStartMs, `seed ${seed}`).to.be.lessThan(maxMs);
      expect(result.violations, `seed ${seed}`).to.equal(0);
    }
  }

  it('is bounded after the loss of the coordinator', () =>
    expectFirstStartWithin('coordinator', MAX_FAILOVER_MS));

  it('is bounded after the loss of all nodes', () =>
    expectFirstStartWithin('all-nodes', MAX_RESTART_MS));
});

describe('a faulty worker', () => {
  const TASK_MS = 800;
  const JOB_INTERVAL_MS = 100;
  const JOB_COUNT = 60;

  /** Submits small jobs while one worker is faulty, and returns the recorded events. */
  async function runWithFaultyWorker(
    injectFault: (harness: JobHarness, workerId: string) => void,
  ): Promise<{events: RecordedEvent[]; workerId: string}> {
    const events: RecordedEvent[] = [];
    const harness = JobHarness.create({
      workers: 8,
      sink: event => events.push(event),
    });
    // Placement fills this worker first.
    const workerId = 'worker-7';
    await harness.advance(3_000);
    injectFault(harness, workerId);
    for (let job = 0; job < JOB_COUNT; job++) {
      harness.submitWithoutWaiting(
        [createSampleStep(2, {estimatedMs: TASK_MS})],
        SAMPLE_QUEUE,
      );
      await harness.advance(JOB_INTERVAL_MS);
    }
    return {events, workerId};
  }

  it('is quarantined after few failed tasks', async () => {
    const {events, workerId} = await runWithFaultyWorker((harness, id) => {
      harness.workers.get(id)!.behavior.failsAll = true;
    });
    const workerEvents = events.filter(event => event.workerId === workerId);
    const quarantineIndex = workerEvents.findIndex(
      ({name}) => name === 'worker-set-aside',
    );
    expect(quarantineIndex).to.be.greaterThan(-1);
    const failed = workerEvents
      .slice(0, quarantineIndex)
      .filter(({name}) => name === 'run-ended');
    expect(failed.length).to.be.at.most(MAX_FAILED_TASKS);
  });

  it('is quarantined soon when its tasks hang', async () => {
    const {events, workerId} = await runWithFaultyWorker((harness, id) => {
      harness.workers.get(id)!.behavior.hangs = true;
    });
    const placement = events.find(
      ({name, detail}) => name === 'step-placed' && detail?.includes(workerId),
    );
    const quarantine = events.find(
      event => event.name === 'worker-set-aside' && event.workerId === workerId,
    );
    expect(quarantine).to.not.equal(undefined);
    const elapsedMs = quarantine!.at.wallMs - placement!.at.wallMs;
    expect(elapsedMs).to.be.at.most(2 * TASK_MS);
  });
});
