/**
 * Weighted fair-share ordering of pending tasks: services first, then urgent
 * tasks, then tasks of the team with the lowest usage relative to its weight.
 * Teams that have reached their quota are skipped.
 */

import {TeamDeclaration} from '@mustardlug/document/environment_document';

/** Task attributes that determine the order. */
export interface PendingTask {
  readonly taskId: string;
  readonly team: string;
  readonly kind: 'service' | 'batch';
  readonly isUrgent: boolean;
  readonly cores: number;
  readonly submittedAtMs: number;
}

interface TeamQueue {
  readonly team: TeamDeclaration;
  readonly tasks: PendingTask[];
  nextIndex: number;
  usedCores: number;
}

/** Queue of the pending tasks of one scheduling round. */
export class FairShareQueue {
  private readonly prioritized: PendingTask[] = [];
  private prioritizedIndex = 0;
  private readonly teams = new Map<string, TeamQueue>();

  private constructor() {}

  /**
   * Creates the queue of a scheduling round.
   * @param teams - Declared teams.
   * @param usedCores - Cores in use, by team.
   * @param pending - Pending tasks in any order.
   */
  static create(
    teams: readonly TeamDeclaration[],
    usedCores: ReadonlyMap<string, number>,
    pending: readonly PendingTask[],
  ): FairShareQueue {
    const queue = new FairShareQueue();
    for (const team of teams) {
      queue.teams.set(team.name, {
        team,
        tasks: [],
        nextIndex: 0,
        usedCores: usedCores.get(team.name) ?? 0,
      });
    }
    for (const task of pending) queue.addTask(task);
    queue.sort();
    return queue;
  }

  /** Removes and returns the next task, or `undefined` if no remaining task may start. */
  removeNext(): PendingTask | undefined {
    const first = this.prioritized[this.prioritizedIndex];
    if (first !== undefined) {
      this.prioritizedIndex++;
      return first;
    }
    const next = this.getNextTeam();
    return next?.tasks[next.nextIndex++];
  }

  /**
   * Adds a placed task to the usage of its team.
   * @param task - Task from `removeNext`.
   */
  recordPlacement(task: PendingTask): void {
    const queue = this.teams.get(task.team);
    if (queue !== undefined) queue.usedCores += task.cores;
  }

  private addTask(task: PendingTask): void {
    if (task.kind === 'service' || task.isUrgent) {
      this.prioritized.push(task);
      return;
    }
    this.teams.get(task.team)?.tasks.push(task);
  }

  private sort(): void {
    this.prioritized.sort((left, right) => {
      if (left.kind !== right.kind) return left.kind === 'service' ? -1 : 1;
      return left.submittedAtMs - right.submittedAtMs;
    });
    for (const queue of this.teams.values()) {
      queue.tasks.sort(
        (left, right) => left.submittedAtMs - right.submittedAtMs,
      );
    }
  }

  private getNextTeam(): TeamQueue | undefined {
    let next: TeamQueue | undefined;
    for (const queue of this.teams.values()) {
      const task = queue.tasks[queue.nextIndex];
      if (task === undefined) continue;
      if (!isWithinQuota(queue, task)) continue;
      if (next === undefined || getShare(queue) < getShare(next)) next = queue;
    }
    return next;
  }
}

/**
 * Checks the quota of a team; a team without running tasks may always start
 * one, even above its quota.
 */
function isWithinQuota(queue: TeamQueue, task: PendingTask): boolean {
  if (queue.usedCores === 0) return true;
  return queue.usedCores + task.cores <= queue.team.quotaCores;
}

function getShare(queue: TeamQueue): number {
  return queue.usedCores / queue.team.weight;
}
