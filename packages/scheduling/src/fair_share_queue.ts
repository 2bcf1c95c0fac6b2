/**
 * Order in which pending tasks are considered: services, then urgent work,
 * then the team that uses the smallest share of its weight. Teams at their
 * quota wait.
 */

import {TeamDeclaration} from '@mustardlug/document/environment_document';

/** A pending task as the queue sees it. */
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

/** One round of decisions over the pending tasks. */
export class FairShareQueue {
  private readonly first: PendingTask[] = [];
  private firstIndex = 0;
  private readonly teams = new Map<string, TeamQueue>();

  private constructor() {}

  /**
   * Creates the queue for one round.
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

  /** Removes and returns the next task, or `undefined` when none may start. */
  removeNext(): PendingTask | undefined {
    const first = this.first[this.firstIndex];
    if (first !== undefined) {
      this.firstIndex++;
      return first;
    }
    const next = this.getNextTeam();
    return next?.tasks[next.nextIndex++];
  }

  /**
   * Counts a task that was placed.
   * @param task - Task from `removeNext`.
   */
  notePlaced(task: PendingTask): void {
    const queue = this.teams.get(task.team);
    if (queue !== undefined) queue.usedCores += task.cores;
  }

  private addTask(task: PendingTask): void {
    if (task.kind === 'service' || task.isUrgent) {
      this.first.push(task);
      return;
    }
    this.teams.get(task.team)?.tasks.push(task);
  }

  private sort(): void {
    this.first.sort((left, right) => {
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

/** A team that runs nothing may always start one task. */
function isWithinQuota(queue: TeamQueue, task: PendingTask): boolean {
  if (queue.usedCores === 0) return true;
  return queue.usedCores + task.cores <= queue.team.quotaCores;
}

function getShare(queue: TeamQueue): number {
  return queue.usedCores / queue.team.weight;
}
