/** Chooses the batch attempts whose end makes room for urgent tasks. */

import {AttemptReport} from '@mustardlug/platform/worker_client';
import {ResourceAmount, WorkerView} from './worker_view.js';

const NOTHING: ResourceAmount = {cores: 0, memoryMb: 0, accelerators: 0};

/** Plans evictions of one round; each urgent task gets room of its own. */
export class EvictionPlanner {
  /** Room that the round's evictions make, by worker. */
  private readonly promisedRoom = new Map<string, ResourceAmount>();

  private constructor() {}

  /** Creates a planner. */
  static create(): EvictionPlanner {
    return new EvictionPlanner();
  }

  /** Begins a new round. */
  startRound(): void {
    this.promisedRoom.clear();
  }

  /**
   * Plans the room for a task on a worker.
   * @param view - Worker in question.
   * @param amount - Size of the task.
   * @param isStopping - Whether an attempt is being stopped already.
   * @returns Attempts to stop, none if enough are stopping, or `undefined` if the task cannot fit.
   */
  planRoom(
    view: WorkerView,
    amount: ResourceAmount,
    isStopping: (taskId: string) => boolean,
  ): AttemptReport[] | undefined {
    const promised = this.promisedRoom.get(view.workerId) ?? NOTHING;
    const needed = addAmounts(amount, promised);
    const victims = getVictims(view, needed, isStopping);
    if (victims !== undefined) this.promisedRoom.set(view.workerId, needed);
    return victims;
  }
}

/** Batch attempts, least progress first, whose end makes a task fit. */
function getVictims(
  view: WorkerView,
  needed: ResourceAmount,
  isStopping: (taskId: string) => boolean,
): AttemptReport[] | undefined {
  const candidates: AttemptReport[] = [];
  let room = view.getFree();
  for (const report of view.reports) {
    if (report.kind !== 'batch' || report.state !== 'running') continue;
    if (isStopping(report.taskId)) room = addAmounts(room, report);
    else candidates.push(report);
  }
  candidates.sort((left, right) => left.progress - right.progress);
  const victims: AttemptReport[] = [];
  while (!isEnough(room, needed)) {
    const victim = candidates.shift();
    if (victim === undefined) return undefined;
    victims.push(victim);
    room = addAmounts(room, victim);
  }
  return victims;
}

function isEnough(room: ResourceAmount, needed: ResourceAmount): boolean {
  return (
    needed.cores <= room.cores &&
    needed.memoryMb <= room.memoryMb &&
    needed.accelerators <= room.accelerators
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
