import {expect} from 'chai';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {HarnessNode, JobHarness} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

/** Time within which a submitted task is running. */
const PLACEMENT_MS = 1_000;

/** Time in which a coordinator notices and records that a worker does not respond. */
const NOTICE_MS = 3_000;

/** Time between two takeovers: less than a coordinator waits for the leases of earlier ones. */
const TAKEOVER_INTERVAL_MS = 6_000;

/**
 * Time from the loss of a worker until its task runs elsewhere: the time for
 * which an isolated coordinator goes on, the lease of the worker, and twice the
 * time for a takeover.
 */
const MAX_RELEASE_MS = 16_000;

/** Interval at which a task is looked for. */
const POLL_MS = 50;

/** Duration of the tasks, which exceeds all waits. */
const TASK_MS = 120_000;

/** Way in which the coordinator role passes on. */
type TakeoverKind = 'killed' | 'handed over';

interface LossOptions {
  /** Time from the loss of the worker to the first takeover. */
  readonly firstTakeoverMs: number;
  readonly isUnregistered: boolean;
  readonly takeover: TakeoverKind;
}

function findWorker(harness: JobHarness): string | undefined {
  for (const [workerId, worker] of harness.workers) {
    if (worker.isUp() && worker.getRunCount() > 0) return workerId;
  }
  return undefined;
}

function endTerm(
  harness: JobHarness,
  coordinator: HarnessNode,
  takeover: TakeoverKind,
): void {
  if (takeover === 'killed') harness.killNode(coordinator);
  else void coordinator.role.stop();
}

/** Gets the time from the loss of a task's worker until the task runs elsewhere. */
async function measureRelease({
  firstTakeoverMs,
  isUnregistered,
  takeover,
}: LossOptions): Promise<{harness: JobHarness; releaseMs: number}> {
  const harness = JobHarness.create({nodes: 9});
  await harness.advance(START_MS);
  await harness.submit([createSampleStep(1, {estimatedMs: TASK_MS})]);
  await harness.advance(PLACEMENT_MS);
  const workerId = findWorker(harness);
  if (workerId === undefined) throw new Error('the task is not running');
  const lostMs = harness.clock.getMonotonicMs();
  harness.workers.get(workerId)?.crash();
  if (isUnregistered) harness.unregister(workerId);
  let takeoverMs = lostMs + firstTakeoverMs;
  for (;;) {
    await harness.advance(POLL_MS);
    const nowMs = harness.clock.getMonotonicMs();
    const releaseMs = nowMs - lostMs;
    const isReleased = findWorker(harness) !== undefined;
    if (isReleased || releaseMs > MAX_RELEASE_MS) return {harness, releaseMs};
    const coordinator = harness.getCoordinator();
    if (nowMs < takeoverMs || coordinator === undefined) continue;
    endTerm(harness, coordinator, takeover);
    takeoverMs = nowMs + TAKEOVER_INTERVAL_MS;
  }
}

describe('takeovers in series', () => {
  for (const takeover of ['killed', 'handed over'] as const) {
    for (const isUnregistered of [false, true]) {
      for (const firstTakeoverMs of [0, NOTICE_MS]) {
        const worker = isUnregistered ? 'an unregistered' : 'a registered';
        it(`do not put off the release of ${worker} lost worker's run, coordinators ${takeover} from ${firstTakeoverMs} ms after the loss`, async () => {
          const {harness, releaseMs} = await measureRelease({
            firstTakeoverMs,
            isUnregistered,
            takeover,
          });
          expect(releaseMs).to.be.at.most(MAX_RELEASE_MS);
          expect(harness.checker.violations).to.deep.equal([]);
        });
      }
    }
  }
});
