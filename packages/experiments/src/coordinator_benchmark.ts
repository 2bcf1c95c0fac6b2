/** Measures the processor time of a coordinator by activity, on simulated workers in virtual time. */

import {Session} from 'node:inspector/promises';
import type {Profiler} from 'node:inspector';
import {ProgressWriter} from '@mustardlug/coordination/progress_writer';
import {PlacementPass} from '@mustardlug/coordination/placement_pass';
import {WorkerSupervisor} from '@mustardlug/coordination/worker_supervisor';
import {StepSpec} from '@mustardlug/jobs/job_spec';
import {ColocationPerformanceModel} from '@mustardlug/standins/colocation_performance_model';
import {RunTraits} from '@mustardlug/standins/run_performance_model';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {EventName} from '@mustardlug/telemetry/event_catalogue';
import {createLogSink} from '@mustardlug/telemetry/logger';
import {JobHarness} from './job_harness.js';

/** A fleet and the jobs that it gets. */
interface Workload {
  readonly name: string;
  readonly workers: number;
  /** Jobs that are submitted before the measurement. */
  readonly backlogJobs: number;
  readonly jobsPerSecond: number;
  readonly durationMs: number;
}

/** Processor time of one activity. */
export interface ActivityCost {
  readonly workload: string;
  readonly activity: string;
  readonly count: number;
  readonly totalMs: number;
  readonly usPerUnit: number;
  /** Share of the processor time of all activities of the coordinator. */
  readonly share: number;
}

const WORKLOADS: readonly Workload[] = [
  {
    name: 'backlog',
    workers: 33,
    backlogJobs: 500,
    jobsPerSecond: 0,
    durationMs: 10_000,
  },
  {
    name: 'many starts',
    workers: 378,
    backlogJobs: 0,
    jobsPerSecond: 24,
    durationMs: 10_000,
  },
];

const WORKER_CPU_MILLIS = 37_000;

/** Time in which the coordinator is elected and the serving tasks start. */
const START_MS = 5_000;

/** Number of different images of serving tasks, and of fillers. */
const SERVING_IMAGES = 6;
const FILLER_IMAGES = 7;

const SERVING_TARGET_MS = 100;

const SAMPLING_INTERVAL_US = 200;

const PLAIN_TRAITS: RunTraits = {
  kind: 'plain',
  image: '',
  cpuMillis: 2_000,
  targetMs: 0,
  phase: 0,
};

/** Functions whose calls, with all that they call, are one activity; an inner one counts for itself. */
const ACTIVITIES: ReadonlyMap<string, string> = new Map([
  ['placeWaitingTasks', 'pass'],
  ['getWaitingSteps', 'waiting steps'],
  ['logLoad', 'load log'],
  ['reportWaits', 'wait reports'],
  ['applyReport', 'reports'],
  ['learn', 'learning'],
  ['decide', 'CPU limits'],
  ['createProgressChanges', 'rows'],
  ['addEvent', 'events'],
  ['startRun', 'start commands'],
]);

/** What one unit of an activity is; a pass otherwise. */
const UNITS: Readonly<Record<string, string>> = {
  reports: 'reports',
  learning: 'reports',
  'CPU limits': 'reports',
  rows: 'rows',
  events: 'events',
  'start commands': 'starts',
};

/** Measures the processor time of a coordinator for each workload. */
export async function measureCoordinator(): Promise<ActivityCost[]> {
  const results: ActivityCost[] = [];
  for (const workload of WORKLOADS)
    results.push(...(await measureWorkload(workload)));
  return results;
}

async function measureWorkload(workload: Workload): Promise<ActivityCost[]> {
  const counts = new Map<string, number>();
  const count = (unit: string, added = 1) =>
    counts.set(unit, (counts.get(unit) ?? 0) + added);
  const log = createLogSink('info', 'stderr');
  const traits = new Map<string, RunTraits>();
  const performanceModel = ColocationPerformanceModel.create({
    getTraits: taskName => traits.get(taskName.split('.')[0]) ?? PLAIN_TRAITS,
    getEffect: () => 0.2,
  });
  const harness = JobHarness.create({
    nodes: 1,
    performanceModel,
    workers: workload.workers,
    cpuMillis: WORKER_CPU_MILLIS,
    sink: event => {
      count('events');
      const unit = getUnit(event.name);
      if (unit !== undefined) count(unit);
      log(event);
    },
  });
  const restore = [
    countCalls(PlacementPass.prototype, 'run', () => count('passes')),
    countCalls(ProgressWriter.prototype, 'commit', jobs =>
      count('rows', (jobs as unknown[]).length),
    ),
    countCalls(WorkerSupervisor.prototype, 'applyReport', () =>
      count('reports'),
    ),
  ];
  await harness.advance(START_MS);
  for (let index = 0; index < workload.workers; index++)
    submitStep(harness, traits, createServingStep(index), 1, 0);
  await harness.advance(START_MS);
  for (let index = 0; index < workload.backlogJobs; index++)
    submitJob(harness, traits, index);
  counts.clear();
  const session = new Session();
  session.connect();
  await session.post('Profiler.enable');
  await session.post('Profiler.setSamplingInterval', {
    interval: SAMPLING_INTERVAL_US,
  });
  await session.post('Profiler.start');
  const startUsage = process.cpuUsage();
  const intervalMs = 1_000 / Math.max(workload.jobsPerSecond, 1);
  for (let ms = 0, job = 0; ms < workload.durationMs; ms += intervalMs, job++) {
    if (workload.jobsPerSecond > 0) submitJob(harness, traits, job);
    await harness.advance(intervalMs);
  }
  const {user, system} = process.cpuUsage(startUsage);
  const {profile} = await session.post('Profiler.stop');
  // Samples count the time that other processes take on a busy machine.
  const profileUs = profile.endTime - profile.startTime;
  const processorShare = Math.min(1, (user + system) / profileUs);
  session.disconnect();
  for (const each of restore) each();
  return summarize(workload.name, profile, processorShare, counts);
}

function getUnit(name: EventName): string | undefined {
  if (name === 'run-started') return 'starts';
  return name === 'run-paced' ? 'CPU limits' : undefined;
}

/** Calls a function before each call of a method, until the returned function is called. */
function countCalls<T extends object>(
  prototype: T,
  method: keyof T & string,
  onCall: (...args: unknown[]) => void,
): () => void {
  const original = prototype[method] as (...args: unknown[]) => unknown;
  const replaced = function (this: T, ...args: unknown[]) {
    onCall(...args);
    return original.apply(this, args);
  };
  Object.assign(prototype, {[method]: replaced});
  return () => Object.assign(prototype, {[method]: original});
}

function createServingStep(index: number): StepSpec {
  return createSampleStep(2, {
    isLongRunning: true,
    targetResponseMs: SERVING_TARGET_MS,
    image: `serving-${index % SERVING_IMAGES}`,
    needs: {cpuMillis: 4_000, memoryMb: 2_000, accelerators: 0},
  });
}

function submitJob(
  harness: JobHarness,
  traits: Map<string, RunTraits>,
  index: number,
): void {
  const isFiller = index % 3 === 2;
  const step = createSampleStep(12, {
    isFiller,
    image: isFiller ? `filler-${index % FILLER_IMAGES}` : undefined,
    isSameRackPreferred: index % 5 === 0,
    estimatedMs: 600 + (index % 8) * 100,
  });
  submitStep(harness, traits, step, 3, index % 3);
}

/** Submits a job of equal steps, each of which depends on the one before. */
function submitStep(
  harness: JobHarness,
  traits: Map<string, RunTraits>,
  step: StepSpec,
  stepCount: number,
  priority: number,
): void {
  const steps = Array.from({length: stepCount}, (_, index) => ({
    ...step,
    dependsOn: index === 0 ? [] : [index - 1],
  }));
  const queue = {...SAMPLE_QUEUE, priority};
  const jobId = harness.submitWithoutWaiting(steps, queue);
  const {image = '', isFiller, isLongRunning, needs} = step;
  if (!isFiller && !isLongRunning) return;
  traits.set(jobId, {
    kind: isFiller ? 'filler' : 'serving',
    image,
    cpuMillis: needs.cpuMillis,
    targetMs: step.targetResponseMs,
    phase: 0,
  });
}

function summarize(
  workload: string,
  profile: Profiler.Profile,
  processorShare: number,
  counts: ReadonlyMap<string, number>,
): ActivityCost[] {
  const totals = getActivityTotals(profile, processorShare);
  let sumMs = 0;
  for (const totalMs of totals.values()) sumMs += totalMs;
  const costs: ActivityCost[] = [];
  for (const [activity, totalMs] of totals) {
    const count = counts.get(UNITS[activity] ?? 'passes') ?? 0;
    const usPerUnit = (totalMs * 1_000) / Math.max(1, count);
    const share = totalMs / sumMs;
    costs.push({workload, activity, count, totalMs, usPerUnit, share});
  }
  const starts = counts.get('starts') ?? 0;
  costs.push({
    workload,
    activity: 'all, by start',
    count: starts,
    totalMs: sumMs,
    usPerUnit: (sumMs * 1_000) / Math.max(1, starts),
    share: 1,
  });
  return costs.sort((left, right) => right.totalMs - left.totalMs);
}

/** Gets the time of each activity in milliseconds, without that of the activities within it. */
function getActivityTotals(
  profile: Profiler.Profile,
  processorShare: number,
): Map<string, number> {
  const activityByNode = new Map<number, string>();
  const assign = (
    node: Profiler.ProfileNode,
    outer: string | undefined,
    nodes: ReadonlyMap<number, Profiler.ProfileNode>,
  ): void => {
    const {functionName, url} = node.callFrame;
    // What the stand-ins of the platform do is no cost of the coordinator.
    const activity = url.includes('/standins/')
      ? undefined
      : (ACTIVITIES.get(functionName) ?? outer);
    if (activity !== undefined) activityByNode.set(node.id, activity);
    for (const id of node.children ?? []) {
      const child = nodes.get(id);
      if (child !== undefined) assign(child, activity, nodes);
    }
  };
  const nodes = new Map(profile.nodes.map(node => [node.id, node]));
  assign(profile.nodes[0], undefined, nodes);
  const totals = new Map<string, number>();
  for (const [index, nodeId] of (profile.samples ?? []).entries()) {
    const activity = activityByNode.get(nodeId);
    if (activity === undefined) continue;
    const ms = ((profile.timeDeltas?.[index] ?? 0) / 1_000) * processorShare;
    totals.set(activity, (totals.get(activity) ?? 0) + ms);
  }
  return totals;
}
