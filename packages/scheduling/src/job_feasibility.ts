/** Detects tasks that can never run. */

import {TeamDeclaration} from '@mustardlug/document/environment_document';
import {ResourceAmount} from './worker_view.js';

/**
 * Gets the reason why a task can never run; it is stored in the row for operators.
 * @param amount - Declared size of the task.
 * @param workers - Sizes of all workers of the fleet.
 * @param team - Team that the task belongs to.
 * @returns `undefined` if the task can run, or if no workers are known.
 */
export function getInfeasibleReason(
  amount: ResourceAmount,
  workers: readonly ResourceAmount[],
  team: TeamDeclaration | undefined,
): string | undefined {
  if (team === undefined) return 'its team is not declared; declare the team';
  if (amount.cores > team.quotaCores) {
    return `it needs ${amount.cores} cores but team ${team.name} has a quota of ${team.quotaCores}; raise the quota or split the task`;
  }
  if (workers.length === 0) return undefined;
  for (const worker of workers) {
    if (fits(amount, worker)) return undefined;
  }
  return `no worker has ${amount.cores} cores, ${amount.memoryMb} MB and ${amount.accelerators} accelerators together; lower the declared size`;
}

/**
 * Checks whether a task fits on a worker without other tasks.
 * @param amount - Declared size of the task.
 * @param worker - Size of the worker.
 */
export function fits(amount: ResourceAmount, worker: ResourceAmount): boolean {
  return (
    amount.cores <= worker.cores &&
    amount.memoryMb <= worker.memoryMb &&
    amount.accelerators <= worker.accelerators
  );
}
