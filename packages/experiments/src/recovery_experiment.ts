/** Measures recovery times after node failures, in virtual time. */

import {RandomSource} from '@mustardlug/base/random_source';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {JobHarness} from './job_harness.js';

/** Nodes that fail. */
export type NodeFailure = 'coordinator' | 'all-nodes';

/** Results of one simulation run. */
export interface RecoveryResult {
  /** Time from the failure, or from the restart of all nodes, to the next task start. */
  readonly firstStartMs: number;
  /** Time until a node is coordinator again. */
  readonly failoverMs: number;
  readonly violations: number;
}

const NODES = 4;
const WORKERS = 8;

/** Time for the initial election. */
const ELECTION_WARM_UP_MS = 3_000;

/** Bounds of the submission interval of small jobs; short enough that there is always a task to start. */
const MIN_JOB_INTERVAL_MS = 20;
const MAX_JOB_INTERVAL_MS = 400;

/** Time after which a recovery is considered failed. */
const RECOVERY_TIMEOUT_MS = 30_000;

/** Resolution of the measured times. */
const SAMPLE_INTERVAL_MS = 10;

/** Maximum time for which all nodes are down; leases may expire meanwhile. */
const MAX_OUTAGE_MS = 8_000;

/**
 * Simulates one failure.
 * @param failure - Nodes that fail.
 * @param seed - Seed of the submission interval, the time of the failure and the outage.
 */
export async function measureRecovery(
  failure: NodeFailure,
  seed: number,
): Promise<RecoveryResult> {
  const random = RandomSource.create(seed);
  const harness = JobHarness.create({nodes: NODES, workers: WORKERS});
  await harness.advance(ELECTION_WARM_UP_MS);
  const endMs =
    harness.clock.getMonotonicMs() + RECOVERY_TIMEOUT_MS + ELECTION_WARM_UP_MS;
  const intervalRangeMs = MAX_JOB_INTERVAL_MS - MIN_JOB_INTERVAL_MS;
  const intervalMs = MIN_JOB_INTERVAL_MS + intervalRangeMs * random.getFloat();
  submitJobsPeriodically(harness, intervalMs, endMs);
  await harness.advance(ELECTION_WARM_UP_MS * random.getFloat());
  await injectFailure(harness, failure, MAX_OUTAGE_MS * random.getFloat());
  const failureMs = harness.clock.getMonotonicMs();
  const startsBefore = harness.checker.getStartCount();
  let failoverMs = Infinity;
  while (harness.clock.getMonotonicMs() - failureMs < RECOVERY_TIMEOUT_MS) {
    await harness.advance(SAMPLE_INTERVAL_MS);
    const elapsedMs = harness.clock.getMonotonicMs() - failureMs;
    if (harness.getCoordinator() !== undefined)
      failoverMs = Math.min(failoverMs, elapsedMs);
    if (harness.checker.getStartCount() === startsBefore) continue;
    const violations = harness.checker.violations.length;
    return {firstStartMs: elapsedMs, failoverMs, violations};
  }
  const violations = harness.checker.violations.length;
  return {firstStartMs: Infinity, failoverMs, violations};
}

function submitJobsPeriodically(
  harness: JobHarness,
  intervalMs: number,
  endMs: number,
): void {
  if (harness.clock.getMonotonicMs() >= endMs) return;
  if (harness.nodes.length > 0)
    harness.submitWithoutWaiting(
      [createSampleStep(1, {estimatedMs: 300})],
      SAMPLE_QUEUE,
    );
  harness.clock.setTimer(intervalMs, () =>
    submitJobsPeriodically(harness, intervalMs, endMs),
  );
}

async function injectFailure(
  harness: JobHarness,
  failure: NodeFailure,
  outageMs: number,
): Promise<void> {
  if (failure === 'coordinator') {
    const coordinator = harness.getCoordinator();
    if (coordinator !== undefined) harness.killNode(coordinator);
    return;
  }
  for (const node of [...harness.nodes]) harness.killNode(node);
  await harness.advance(outageMs);
  for (let index = 0; index < NODES; index++)
    harness.addNode(`restarted-${index}`);
}
