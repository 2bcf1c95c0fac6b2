/**
 * Selects batch runs of lower priority to stop for urgent tasks.
 *
 * Load pattern: batch work of lower priority has taken the room that urgent jobs need, and ends
 * later than they can wait. It resumes from its checkpoint; the urgent jobs cannot make up for the
 * wait.
 */

import {
  compareByDelayCost,
  isPreemptionCheaper,
  Outlook,
} from '@mustardlug/base/delay_cost';
import {ResourceRequirements} from '@mustardlug/jobs/job_spec';
import {getRemainingMs} from './drain_planner.js';
import {isWaitingTask, PlacementWorker} from './placement_pass.js';
import {canEverRun} from './service_capacity.js';
import {createWaitingStep, getOutlook, WaitingStep} from './task_order.js';
import {AssignedRun} from './worker_load.js';

/** A run to stop, and the step that needs its room. */
export interface UrgentPreemption {
  readonly worker: PlacementWorker;
  readonly assigned: AssignedRun;
  readonly waiting: WaitingStep;
}

/** Urgent steps and the workers that may run them. */
export interface UrgentPreemptionInputs {
  /** Urgent steps with waiting tasks, in the order of placement. */
  readonly waiting: readonly WaitingStep[];
  /** Workers that are usable for new runs and kept for no other tasks, by service. */
  readonly workersByService: ReadonlyMap<string, readonly PlacementWorker[]>;
  readonly nowMs: number;
  readonly wallMs: number;
}

/** Remaining time under which a run is not stopped, as it makes room as soon as a stop does. */
const NEAR_END_MS = 500;

/** Time that a stop and the start in its place take; an urgent job that can wait less gains nothing. */
const EXCHANGE_MS = 200;

/** Maximum number of runs that are stopped at a time. The next pass follows within 250 ms. */
const MAX_PREEMPTIONS = 16;

/** Maximum number of steps that are examined at a time, as each costs a visit of all runs. */
const MAX_EXAMINED_STEPS = 4;

/** What a worker can offer to the tasks of one step. */
interface WorkerPlan {
  readonly worker: PlacementWorker;
  /** Runs that are stopped to make room for one further task, those that lose least first. */
  readonly victims: readonly AssignedRun[];
}

/**
 * Selects the runs to stop. A job counts as one that would miss its objective if fewer tasks
 * find room by the ends of runs, within the time that it can wait, than wait.
 * @param inputs - Urgent steps and workers.
 */
export function selectPreemptions(
  inputs: UrgentPreemptionInputs,
): UrgentPreemption[] {
  const {waiting, workersByService, wallMs} = inputs;
  const selected: UrgentPreemption[] = [];
  const usedWorkers = new Set<PlacementWorker>();
  let examinedCount = 0;
  for (const each of waiting) {
    if (selected.length >= MAX_PREEMPTIONS) break;
    const outlook = getOutlook(each, wallMs);
    if (outlook.slackMs < EXCHANGE_MS || !canBePreemptedFor(each)) continue;
    const workers = workersByService.get(each.queue.serviceName) ?? [];
    if (++examinedCount > MAX_EXAMINED_STEPS) break;
    const {priority} = each.queue;
    if (!workers.some(({load}) => load.hasBatchBelow(priority))) continue;
    const available = workers.filter(worker => !usedWorkers.has(worker));
    let missing =
      each.step.tasks.filter(isWaitingTask).length -
      countNaturalRoom(each, available, outlook.slackMs, inputs.nowMs);
    if (missing <= 0) continue;
    for (const {worker, victims} of planWorkers(each, available, inputs)) {
      if (missing <= 0 || selected.length >= MAX_PREEMPTIONS) break;
      for (const assigned of victims)
        selected.push({worker, assigned, waiting: each});
      usedWorkers.add(worker);
      missing--;
    }
  }
  return selected;
}

/** Gangs need room on several workers at once, and the limit per worker needs more than room. */
function canBePreemptedFor({step}: WaitingStep): boolean {
  const {isGang, maxPerWorker, needs} = step.spec;
  return !isGang && maxPerWorker === 0 && needs.cpuMillis > 0;
}

/** Counts the tasks of a step that find room when runs end by themselves. */
function countNaturalRoom(
  {step}: WaitingStep,
  workers: readonly PlacementWorker[],
  withinMs: number,
  nowMs: number,
): number {
  const {needs} = step.spec;
  let count = 0;
  for (const worker of workers) {
    if (!canEverRun(step.spec, worker)) continue;
    const free = getFree(worker);
    for (const assigned of worker.load.getRuns()) {
      if (endsWithin(assigned, withinMs, nowMs)) addNeeds(free, assigned);
    }
    count += Math.max(0, Math.floor(free.cpuMillis / needs.cpuMillis));
  }
  return count;
}

/** Plans the room for one task on each worker that has runs to stop, the fewest runs first. */
function planWorkers(
  waiting: WaitingStep,
  workers: readonly PlacementWorker[],
  {nowMs, wallMs}: UrgentPreemptionInputs,
): WorkerPlan[] {
  const urgent = getOutlook(waiting, wallMs);
  const plans: WorkerPlan[] = [];
  for (const worker of workers) {
    if (!worker.load.hasBatchBelow(waiting.queue.priority)) continue;
    if (!canEverRun(waiting.step.spec, worker)) continue;
    const victims = selectVictims(waiting, urgent, worker, nowMs, wallMs);
    if (victims !== undefined) plans.push({worker, victims});
  }
  return plans.sort(
    (left, right) => left.victims.length - right.victims.length,
  );
}

function selectVictims(
  {step}: WaitingStep,
  urgent: Outlook,
  worker: PlacementWorker,
  nowMs: number,
  wallMs: number,
): AssignedRun[] | undefined {
  const {needs} = step.spec;
  const free = getFree(worker);
  const candidates: Array<{assigned: AssignedRun; outlook: Outlook}> = [];
  for (const assigned of worker.load.getRuns()) {
    if (endsWithin(assigned, 0, nowMs)) addNeeds(free, assigned);
    if (!canPreempt(assigned, urgent, nowMs)) continue;
    const {job, occurrence, step: runStep} = assigned;
    const stopped = createWaitingStep(
      job,
      occurrence,
      runStep,
      job.accepted.queue,
    );
    candidates.push({assigned, outlook: getOutlook(stopped, wallMs)});
  }
  if (hasRoom(free, needs)) return undefined;
  candidates.sort((left, right) =>
    compareByDelayCost(right.outlook, left.outlook),
  );
  const victims: AssignedRun[] = [];
  for (const {assigned} of candidates) {
    if (hasRoom(free, needs)) break;
    addNeeds(free, assigned);
    victims.push(assigned);
  }
  return hasRoom(free, needs) ? victims : undefined;
}

function canPreempt(
  assigned: AssignedRun,
  urgent: Outlook,
  nowMs: number,
): boolean {
  const {job, run, step} = assigned;
  const {isCheckpointing, isGang, isLongRunning, isFiller} = step.spec;
  if (run.isStopping || !run.isConfirmed) return false;
  // The CPU of a filler does not count, so that stopping it makes no room.
  if (!isCheckpointing || isGang || isLongRunning || isFiller) return false;
  // A run that is overdue may hang; its end is not near.
  const remainingMs = Math.abs(getRemainingMs(assigned, nowMs));
  if (remainingMs < NEAR_END_MS) return false;
  const {priority} = job.accepted.queue;
  return isPreemptionCheaper({priority}, urgent, urgent.slackMs + 1);
}

function endsWithin(
  assigned: AssignedRun,
  withinMs: number,
  nowMs: number,
): boolean {
  const {run, step} = assigned;
  if (run.isStopping) return true;
  if (step.spec.isLongRunning || step.spec.isFiller) return false;
  const remainingMs = getRemainingMs(assigned, nowMs);
  return remainingMs >= 0 && remainingMs <= withinMs;
}

type FreeRoom = {-readonly [K in keyof ResourceRequirements]: number};

function getFree({load}: PlacementWorker): FreeRoom {
  return {
    cpuMillis: load.getFreeCpuMillis(),
    memoryMb: load.getFreeMemoryMb(),
    accelerators: load.getFreeAccelerators(),
  };
}

function addNeeds(free: FreeRoom, {step}: AssignedRun): void {
  const {needs, isFiller} = step.spec;
  if (!isFiller) free.cpuMillis += needs.cpuMillis;
  free.memoryMb += needs.memoryMb;
  free.accelerators += needs.accelerators;
}

function hasRoom(free: FreeRoom, needs: ResourceRequirements): boolean {
  return (
    free.cpuMillis >= needs.cpuMillis &&
    free.memoryMb >= needs.memoryMb &&
    free.accelerators >= needs.accelerators
  );
}
