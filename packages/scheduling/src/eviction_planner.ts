/** Chooses batch attempts to evict in favor of urgent tasks. */

import {AttemptId, AttemptReport} from '@mustardlug/platform/worker_client';
import {ResourceAmount, WorkerView} from './worker_view.js';

const NO_RESOURCES: ResourceAmount = {cores: 0, memoryMb: 0, accelerators: 0};

/**
 * Plans the evictions of a scheduling round; resources freed for one urgent
 * task are not counted for another.
 */
export class EvictionPlanner {
  /** Resources needed by the urgent tasks planned in this round, by worker id. */
  private readonly reservedByWorker = new Map<string, ResourceAmount>();

  private constructor() {}

  static create(): EvictionPlanner {
    return new EvictionPlanner();
  }

  /** Starts a new scheduling round and clears its reservations. */
  startRound(): void {
    this.reservedByWorker.clear();
  }

  /**
   * Checks whether resources of a worker are being freed for an urgent task,
   * as of the latest round.
   * @param view - Worker to check.
   */
  isPlanned({workerId}: WorkerView): boolean {
    return this.reservedByWorker.has(workerId);
  }

  /**
   * Plans the evictions that let a task fit on a worker.
   * @param view - Worker on which to evict.
   * @param amount - Resources that the task needs.
   * @param isStopping - Whether an attempt is already being stopped.
   * @returns Attempts to stop, empty if the attempts already stopping free enough, or `undefined` if the task cannot fit.
   */
  planEvictions(
    view: WorkerView,
    amount: ResourceAmount,
    isStopping: (attempt: AttemptId) => boolean,
  ): AttemptReport[] | undefined {
    const reserved = this.reservedByWorker.get(view.workerId) ?? NO_RESOURCES;
    const needed = addAmounts(amount, reserved);
    const victims = getVictims(view, needed, isStopping);
    if (victims !== undefined) this.reservedByWorker.set(view.workerId, needed);
    return victims;
  }
}

/**
 * Gets the batch attempts to evict, least progress first, until the needed
 * resources are available.
 */
function getVictims(
  view: WorkerView,
  needed: ResourceAmount,
  isStopping: (attempt: AttemptId) => boolean,
): AttemptReport[] | undefined {
  const candidates: AttemptReport[] = [];
  let available = view.getFreeResources();
  for (const report of view.attemptReports) {
    if (report.kind !== 'batch' || report.state !== 'running') continue;
    if (isStopping(report)) available = addAmounts(available, report);
    else candidates.push(report);
  }
  candidates.sort((left, right) => left.progress - right.progress);
  const victims: AttemptReport[] = [];
  while (!isSufficient(available, needed)) {
    const victim = candidates.shift();
    if (victim === undefined) return undefined;
    victims.push(victim);
    available = addAmounts(available, victim);
  }
  return victims;
}

function isSufficient(
  available: ResourceAmount,
  needed: ResourceAmount,
): boolean {
  return (
    needed.cores <= available.cores &&
    needed.memoryMb <= available.memoryMb &&
    needed.accelerators <= available.accelerators
  );
}

function addAmounts(
  left: ResourceAmount,
  right: ResourceAmount,
): ResourceAmount {
  return {
    cores: left.cores + right.cores,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators,
  };
}
