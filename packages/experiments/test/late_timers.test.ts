import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

const WORKERS = 40;

/** Tasks that a worker has room for. */
const TASKS_PER_WORKER = 4;

/** How long the coordinator is busy with other work at a time, and how often. */
const BUSY_MS = 240;
const BUSY_INTERVAL_MS = 250;

/** Time after which the workers should be in use. */
const DURATION_MS = 10_000;

/** Work that waits: more than the workers can do in the time. */
const JOBS = 30;
const TASKS_PER_JOB = 400;

/** Part of the capacity of which users expect that it is used while work waits. */
const MIN_USED_FRACTION = 0.5;

describe('a coordinator that is busy with other work than starts', () => {
  it('keeps the workers in use while a backlog waits', async () => {
    const harness = JobHarness.create({workers: WORKERS, nodes: 1});
    await harness.advance(START_MS);
    const [node] = harness.nodes;
    for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += BUSY_INTERVAL_MS) {
      harness.freezeNode(node, BUSY_MS);
      await harness.advance(BUSY_INTERVAL_MS);
    }
    for (let job = 0; job < JOBS; job++)
      harness.submitWithoutWaiting(
        [createSampleStep(TASKS_PER_JOB)],
        SAMPLE_QUEUE,
      );
    let usedSum = 0;
    let count = 0;
    for (
      let elapsedMs = 0;
      elapsedMs < DURATION_MS;
      elapsedMs += BUSY_INTERVAL_MS
    ) {
      harness.freezeNode(node, BUSY_MS);
      await harness.advance(BUSY_INTERVAL_MS);
      if (elapsedMs < DURATION_MS / 2) continue;
      for (const worker of harness.workers.values())
        usedSum += worker.getRunCount() / (WORKERS * TASKS_PER_WORKER);
      count++;
    }
    expect(usedSum / count).to.be.at.least(MIN_USED_FRACTION);
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
