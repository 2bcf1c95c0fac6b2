/** Compares scored placement with first fit without throttling, in virtual time. */

import {
  EnvironmentDocument,
  environmentDocumentSchema,
  Objective,
} from '@mustardlug/document/environment_document';
import {FirstFitPlacement} from '@mustardlug/scheduling/placement_policy';
import {TaskRecord} from '@mustardlug/scheduling/task_record';
import {SchedulerHarness} from './scheduler_harness.js';

/** Placement policy under test. */
export type PlacementVariant = 'mustardlug' | 'first-fit';

/** Name of a set of objective weights. */
export type ObjectiveName = 'red-clay' | 'kavango';

/** Parameters of one simulation run. */
export interface PlacementScenario {
  readonly variant: PlacementVariant;
  readonly objective: ObjectiveName;
  readonly seed: number;
  readonly durationMs: number;
}

/** Results of one simulation run. */
export interface PlacementResult extends PlacementScenario {
  /** Mean and 99th percentile of the slowdown of services, sampled every second on each worker with a replica. */
  readonly meanSlowdown: number;
  readonly p99Slowdown: number;
  readonly batchDone: number;
  readonly evictions: number;
  readonly throttles: number;
  /** Longest time from the submission of an urgent task to its start. */
  readonly urgentWorstMs: number;
  readonly violations: number;
}

const OBJECTIVES: Record<ObjectiveName, Objective> = {
  'red-clay': {tailLatencyWeight: 3, evictionWeight: 1, throughputWeight: 1},
  kavango: {tailLatencyWeight: 1, evictionWeight: 3, throughputWeight: 2},
};
const WORKERS = 33;
const SCHEDULERS = 3;
const WORKER_SIZE = {cores: 32, memoryMb: 125_000, accelerators: 0};
const SAMPLE_INTERVAL_MS = 1_000;
const WARM_UP_MS = 10_000;
/** Slowdown of a service per core of a colocated job, for noisy and for quiet jobs. */
const NOISY_SLOWDOWN_PER_CORE = 0.06;
const QUIET_SLOWDOWN_PER_CORE = 0.002;
const URGENT_TASKS = 20;

/**
 * Runs one simulation.
 * @param scenario - Policy, objective, seed and duration.
 */
export async function runPlacementScenario(
  scenario: PlacementScenario,
): Promise<PlacementResult> {
  const isFirstFit = scenario.variant === 'first-fit';
  const harness = SchedulerHarness.create({
    seed: scenario.seed,
    schedulers: SCHEDULERS,
    workers: WORKERS,
    size: WORKER_SIZE,
    document: createDocument(OBJECTIVES[scenario.objective]),
    ...(isFirstFit && {
      placement: FirstFitPlacement.create(),
      isInterferenceControlEnabled: false,
    }),
  });
  for (const model of harness.models.values()) {
    model.behavior.getInterference = name =>
      name.startsWith('noisy')
        ? NOISY_SLOWDOWN_PER_CORE
        : QUIET_SLOWDOWN_PER_CORE;
  }
  await harness.clock.advance(WARM_UP_MS);
  const slowdowns: number[] = [];
  harness.clock.setTimer(scenario.durationMs / 2, () => {
    harness.submitJob(
      createJob('urgent-holds', URGENT_TASKS, 2, 3_000, {isUrgent: true}),
    );
  });
  for (
    let elapsed = 0;
    elapsed < scenario.durationMs;
    elapsed += SAMPLE_INTERVAL_MS
  ) {
    await harness.clock.advance(SAMPLE_INTERVAL_MS);
    for (const model of harness.models.values()) {
      if (hasService(model.getRunningAttempts())) {
        slowdowns.push(model.getServiceSlowdown());
      }
    }
  }
  return createResult(scenario, harness, slowdowns);
}

function createResult(
  scenario: PlacementScenario,
  harness: SchedulerHarness,
  slowdowns: number[],
): PlacementResult {
  slowdowns.sort((left, right) => left - right);
  let sum = 0;
  for (const slowdown of slowdowns) sum += slowdown;
  const tasks = harness.getTasks().filter(task => task.kind === 'batch');
  let evictions = 0;
  for (const task of tasks) evictions += task.evictions;
  const throttles = harness.events.filter(
    event => event.name === 'task-throttled',
  );
  return {
    ...scenario,
    meanSlowdown: sum / slowdowns.length,
    p99Slowdown: slowdowns[Math.floor(slowdowns.length * 0.99)],
    batchDone: tasks.filter(task => task.state === 'done').length,
    evictions,
    throttles: throttles.length,
    urgentWorstMs: getMaxUrgentStartMs(harness, tasks),
    violations: harness.getViolations().length,
  };
}

function hasService(attempts: ReadonlyArray<{taskId: string}>): boolean {
  return attempts.some(({taskId}) => taskId.startsWith('service.'));
}

function getMaxUrgentStartMs(
  harness: SchedulerHarness,
  tasks: readonly TaskRecord[],
): number {
  let maxMs = 0;
  for (const task of tasks) {
    if (!task.isUrgent) continue;
    const start = harness.events.find(
      event => event.name === 'task-started' && event.taskId === task.taskId,
    );
    const startMs = start?.atMs ?? Infinity;
    maxMs = Math.max(maxMs, startMs - task.submittedAtMs);
  }
  return maxMs;
}

function createDocument(objective: Objective): EnvironmentDocument {
  return environmentDocumentSchema.parse({
    environment: 'experiment',
    objective,
    teams: [
      {name: 'desk', quotaCores: 2_000},
      {name: 'batch', quotaCores: 2_000},
    ],
    services: [
      {
        name: 'class-desk',
        team: 'desk',
        replicas: 20,
        resources: {cores: 8, memoryMb: 24_000},
      },
    ],
    batchJobs: [
      createJob('quiet-report', 900, 2, 20_000),
      createJob('noisy-export', 500, 4, 25_000),
    ],
  });
}

function createJob(
  name: string,
  tasks: number,
  cores: number,
  expectedRunMs: number,
  overrides: object = {},
) {
  return {
    name,
    team: 'batch',
    tasks,
    resources: {cores, memoryMb: 2_000},
    expectedRunMs,
    ...overrides,
  };
}
