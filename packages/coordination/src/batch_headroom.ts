/**
 * Measures how much room the batch work of the highest priority needs, and keeps it free
 * from long-running tasks that have never run.
 *
 * Load pattern: batch jobs of the highest priority arrive in waves and need a few percent of
 * the CPU. Long-running tasks of the same priority keep arriving and take whatever a wave
 * leaves, indefinitely, so that the next wave waits for room until its jobs are late.
 */

import {QueueConfig} from '@mustardlug/jobs/queue_config';
import {BatchDemand} from './batch_demand.js';
import {BatchRoom, KeptRoom} from './batch_room.js';
import {isWaitingTask} from './placement_pass.js';
import {getTopPriorities} from './shortage_tracker.js';
import {getDeadlineStatus, WaitingStep} from './task_order.js';
import {WorkerLoad} from './worker_load.js';

/** A worker that is usable for new runs. */
export interface HeadroomWorker {
  readonly load: WorkerLoad;
}

/** State after a placement pass. */
export interface HeadroomPass {
  readonly queues: readonly QueueConfig[];
  /** Workers that are usable for new runs, by service. */
  readonly workersByService: ReadonlyMap<string, readonly HeadroomWorker[]>;
  /** Steps that had waiting tasks before the pass. */
  readonly waiting: readonly WaitingStep[];
  readonly nowMs: number;
  readonly wallMs: number;
}

/** Whether long-running tasks of a service are held back, and why. */
export interface HeadroomChange {
  readonly isHolding: boolean;
  readonly detail: string;
}

/** Time over which the demand is measured: several waves, which come a few seconds apart. */
const WINDOW_MS = 30_000;

/** Minimum time between two samples, which cost a visit of each worker. */
const SAMPLE_INTERVAL_MS = 200;

/**
 * Maximum part of the workers' CPU that is kept free, besides what batch work uses. Waiting work
 * counts as demand, so that without a limit a backlog would hold back long-running tasks
 * the more the longer it is.
 */
const MAX_KEPT_FRACTION = 0.2;

/** Time without a task that is held back from which long-running tasks count as admitted again. */
const HOLD_END_MS = 2_000;

interface DemandSample {
  readonly atMs: number;
  readonly demand: BatchDemand;
}

/** State of one service. */
interface ServiceState {
  samples: DemandSample[];
  lastHeldMs: number;
  isHolding: boolean;
}

/** Demand of the batch work of one service over the last half minute. */
interface MeasuredDemand extends KeptRoom {
  readonly meanCpuMillis: number;
  readonly peakCpuMillis: number;
}

/** Room that is kept for batch work, by service, for one coordinator term. */
export class BatchHeadroom {
  private readonly services = new Map<string, ServiceState>();

  private constructor() {}

  /** Creates a headroom that has measured no demand and keeps no room. */
  static create(): BatchHeadroom {
    return new BatchHeadroom();
  }

  /**
   * Measures the demand after a placement pass. Only services count whose queues have more
   * than one priority: without an order among queues, none is to be kept from another.
   * @param pass - State after the pass.
   */
  recordPass(pass: HeadroomPass): void {
    const priorities = getTopPriorities(pass.queues);
    for (const serviceName of this.services.keys()) {
      if (!priorities.has(serviceName)) this.services.delete(serviceName);
    }
    for (const [serviceName, priority] of priorities) {
      const state = this.services.get(serviceName) ?? {
        samples: [],
        lastHeldMs: -Infinity,
        isHolding: false,
      };
      this.services.set(serviceName, state);
      this.addSample(state, pass, serviceName, priority);
    }
  }

  /**
   * Creates the room of a service's workers for a placement pass; undefined if none is kept.
   * @param serviceName - Service.
   * @param workers - Workers that are usable for new runs.
   * @param nowMs - Monotonic time.
   */
  createRoom(
    serviceName: string,
    workers: readonly HeadroomWorker[],
    nowMs: number,
  ): BatchRoom | undefined {
    const state = this.services.get(serviceName);
    const kept = state && measureDemand(state, nowMs);
    if (state === undefined || kept === undefined) return undefined;
    const onHeld = () => {
      state.lastHeldMs = nowMs;
    };
    const loads = workers.map(({load}) => load);
    return BatchRoom.create(loads, limitRoom(kept, loads), onHeld);
  }

  /**
   * Gets the services that have begun or ceased to hold back long-running tasks since the
   * last call.
   * @param workersByService - Workers that are usable for new runs.
   * @param nowMs - Monotonic time.
   */
  takeChanges(
    workersByService: ReadonlyMap<string, readonly HeadroomWorker[]>,
    nowMs: number,
  ): HeadroomChange[] {
    const changes: HeadroomChange[] = [];
    for (const [serviceName, state] of this.services) {
      const isHolding = nowMs - state.lastHeldMs < HOLD_END_MS;
      if (isHolding === state.isHolding) continue;
      state.isHolding = isHolding;
      const workers = workersByService.get(serviceName) ?? [];
      const demand = measureDemand(state, nowMs);
      const room = this.createRoom(serviceName, workers, nowMs);
      const detail = [
        serviceName,
        formatDemand(demand),
        room?.describe() ?? 'no room kept',
      ].join(', ');
      changes.push({isHolding, detail});
    }
    return changes;
  }

  /** Gets the number of services of which long-running tasks are held back. */
  getHoldingCount(): number {
    let count = 0;
    for (const {isHolding} of this.services.values())
      count += Number(isHolding);
    return count;
  }

  private addSample(
    state: ServiceState,
    pass: HeadroomPass,
    serviceName: string,
    priority: number,
  ): void {
    const {workersByService, waiting, nowMs, wallMs} = pass;
    const lastMs = state.samples.at(-1)?.atMs ?? -Infinity;
    if (nowMs - lastMs < SAMPLE_INTERVAL_MS) return;
    const demand = BatchDemand.create();
    for (const {load} of workersByService.get(serviceName) ?? []) {
      const used = load.getBatchDemand(priority);
      if (used !== undefined) demand.add(used);
    }
    for (const each of waiting) {
      if (each.queue.serviceName !== serviceName) continue;
      if (each.queue.priority > priority) continue;
      const {spec, tasks} = each.step;
      if (spec.isLongRunning || spec.isFiller) continue;
      // Nobody needs room for work that is of no use any more.
      if (getDeadlineStatus(each, wallMs) === 'expired') continue;
      demand.addTasks(spec.needs, tasks.filter(isWaitingTask).length);
    }
    state.samples.push({atMs: nowMs, demand});
    const oldestMs = nowMs - WINDOW_MS;
    if (state.samples[0].atMs < oldestMs)
      state.samples = state.samples.filter(({atMs}) => atMs >= oldestMs);
  }
}

function measureDemand(
  {samples}: ServiceState,
  nowMs: number,
): MeasuredDemand | undefined {
  const total = BatchDemand.create();
  let peakCpuMillis = 0;
  let count = 0;
  for (const {atMs, demand} of samples) {
    if (nowMs - atMs > WINDOW_MS) continue;
    count++;
    total.add(demand);
    peakCpuMillis = Math.max(peakCpuMillis, demand.getCpuMillis());
  }
  const taskNeeds = total.getTaskNeeds();
  if (taskNeeds === undefined) return undefined;
  const meanCpuMillis = total.getCpuMillis() / count;
  return {
    taskNeeds,
    meanCpuMillis,
    peakCpuMillis,
    meanTasks: meanCpuMillis / taskNeeds.cpuMillis,
    peakTasks: peakCpuMillis / taskNeeds.cpuMillis,
  };
}

function limitRoom(kept: KeptRoom, loads: readonly WorkerLoad[]): KeptRoom {
  let capacity = 0;
  for (const load of loads) capacity += load.getCapacity().cpuMillis;
  const maxTasks = (capacity * MAX_KEPT_FRACTION) / kept.taskNeeds.cpuMillis;
  return {
    taskNeeds: kept.taskNeeds,
    meanTasks: Math.min(maxTasks, kept.meanTasks),
    peakTasks: Math.min(maxTasks, kept.peakTasks),
  };
}

function formatDemand(demand: MeasuredDemand | undefined): string {
  if (demand === undefined) return 'no batch work lately';
  const {meanCpuMillis, peakCpuMillis, taskNeeds} = demand;
  const [mean, peak, size] = [
    meanCpuMillis,
    peakCpuMillis,
    taskNeeds.cpuMillis,
  ].map(cpuMillis => (cpuMillis / 1_000).toFixed(1));
  return `batch work needs ${mean} cores, ${peak} at most, in tasks of ${size}`;
}
