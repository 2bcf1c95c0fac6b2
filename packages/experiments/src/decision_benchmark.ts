/** Measures the latency of placement decisions by fleet size, in real time. */

import {build, Histogram} from 'hdr-histogram-js';
import {RandomSource} from '@mustardlug/base/random_source';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {InterferenceModel} from '@mustardlug/scheduling/interference_model';
import {
  FirstFitPlacement,
  PlacementPolicy,
  PlacementRequest,
} from '@mustardlug/scheduling/placement_policy';
import {ScoredPlacement} from '@mustardlug/scheduling/scored_placement';
import {WorkerView} from '@mustardlug/scheduling/worker_view';
import {WorkerModel} from '@mustardlug/standins/worker_model';

/** Measurement for one fleet size. */
export interface DecisionResult {
  readonly policy: string;
  readonly workers: number;
  readonly tasks: number;
  readonly p50Us: number;
  readonly p99Us: number;
  readonly maxUs: number;
}

const DECISIONS = 20_000;
const WARM_UP_DECISIONS = 5_000;
const NANOSECONDS_PER_US = 1_000;
const BATCH_JOB_COUNT = 40;
/** One decision in this many places a service replica, which evaluates all workers. */
const SERVICE_DECISION_INTERVAL = 20;
const REMOVALS_PER_DECISION = 1;

/**
 * Measures decisions on a fleet that stays almost fully allocated.
 * @param workers - Number of workers.
 * @param tasks - Number of running tasks.
 * @param policyName - Policy to measure.
 */
export function measureDecisions(
  workers: number,
  tasks: number,
  policyName: 'mustardlug' | 'first-fit',
): DecisionResult {
  const random = RandomSource.create(workers);
  const views = createViews(workers);
  const policy = createPolicy(policyName, random);
  for (let index = 0; index < tasks; index++) {
    const request = createRequest(index, random, false);
    policy.chooseWorker(request, views)?.addTask({...request, isUrgent: false});
  }
  const histogram = build({numberOfSignificantValueDigits: 3});
  for (let index = 0; index < DECISIONS + WARM_UP_DECISIONS; index++) {
    for (let removal = 0; removal < REMOVALS_PER_DECISION; removal++) {
      removeRandomTask(views, random);
    }
    const isService = index % SERVICE_DECISION_INTERVAL === 0;
    const request = createRequest(tasks + index, random, isService);
    const isMeasured = index >= WARM_UP_DECISIONS;
    measureDecision(policy, request, views, isMeasured ? histogram : undefined);
  }
  const percentile = (value: number) =>
    histogram.getValueAtPercentile(value) / NANOSECONDS_PER_US;
  return {
    policy: policyName,
    workers,
    tasks,
    p50Us: percentile(50),
    p99Us: percentile(99),
    maxUs: histogram.maxValue / NANOSECONDS_PER_US,
  };
}

function measureDecision(
  policy: PlacementPolicy,
  request: PlacementRequest,
  views: readonly WorkerView[],
  histogram: Histogram | undefined,
): void {
  const start = process.hrtime.bigint();
  const view = policy.chooseWorker(request, views);
  const elapsed = Number(process.hrtime.bigint() - start);
  histogram?.recordValue(Math.max(1, elapsed));
  view?.addTask({...request, isUrgent: false});
}

function createPolicy(
  name: 'mustardlug' | 'first-fit',
  random: RandomSource,
): PlacementPolicy {
  if (name === 'first-fit') return FirstFitPlacement.create();
  const model = InterferenceModel.create();
  for (let index = 0; index < BATCH_JOB_COUNT; index++) {
    const neighbors = [{name: `batch-${index}`, cores: 2}];
    model.addSample({serviceName: 'desk', slowdown: 1.02, neighbors});
  }
  return ScoredPlacement.create({
    objective: {tailLatencyWeight: 2, evictionWeight: 1, throughputWeight: 1},
    model,
    random,
    slowdownLimit: 1.3,
  });
}

function createViews(workers: number): WorkerView[] {
  const clock = VirtualClock.create();
  const views: WorkerView[] = [];
  for (let index = 0; index < workers; index++) {
    const size = {
      cores: 32,
      memoryMb: 125_000,
      accelerators: index % 3 === 0 ? 6 : 0,
    };
    const id = `worker-${index}`;
    const model = WorkerModel.create(id, 'boot-1', size, clock);
    const status = model
      .requestLease({scope: 'tasks', holderId: 'benchmark', ttlMs: 1_000})
      ._unsafeUnwrap();
    const address = {workerId: id, host: 'none', port: 1};
    const lease = WorkerLease.create(address, clock, status);
    const rack = `rack-${Math.floor(index / 8)}`;
    views.push(WorkerView.create(rack, 'domain-a', size, lease));
  }
  return views;
}

function createRequest(
  index: number,
  random: RandomSource,
  isService: boolean,
): PlacementRequest {
  const name = isService ? 'desk' : `batch-${random.getIndex(BATCH_JOB_COUNT)}`;
  const cores = isService ? 4 : 0.5 + random.getIndex(4) / 2;
  const accelerators = !isService && index % 12 === 0 ? 1 : 0;
  return {
    taskId: `task-${index}`,
    kind: isService ? 'service' : 'batch',
    name,
    charged: {cores, memoryMb: 2_000, accelerators},
  };
}

function removeRandomTask(
  views: readonly WorkerView[],
  random: RandomSource,
): void {
  const view = views[random.getIndex(views.length)];
  for (const task of view.getPlacedTasks()) {
    view.removeTask(task.taskId);
    return;
  }
}
