/**
 * Tracks which services are short of room for batch work.
 *
 * Load pattern: more batch work arrives than the workers have room for, in bursts of seconds.
 * Single passes in between may place all that waits.
 */

import {QueueConfig} from '@mustardlug/jobs/queue_config';

/** Time after the last step without room for which a service counts as short. */
const HOLD_MS = 1_000;

/** Services that are short of room, for one coordinator term. */
export class ShortageTracker {
  private readonly lastShortMs = new Map<string, number>();
  /** Services whose queues have more than one priority. */
  private prioritizedServices: ReadonlySet<string> = new Set();

  private constructor() {}

  /** Creates a tracker for which no service is short. */
  static create(): ShortageTracker {
    return new ShortageTracker();
  }

  /**
   * Records a placement pass.
   * @param shortServices - Services with batch steps that found no room.
   * @param queues - Configured queues.
   * @param nowMs - Monotonic time.
   */
  recordPass(
    shortServices: Iterable<string>,
    queues: readonly QueueConfig[],
    nowMs: number,
  ): void {
    for (const serviceName of shortServices)
      this.lastShortMs.set(serviceName, nowMs);
    this.prioritizedServices = new Set(getTopPriorities(queues).keys());
  }

  /**
   * Gets the services that are short of room, of those whose queues have more than one priority.
   * @param nowMs - Monotonic time.
   */
  getShortServices(nowMs: number): Set<string> {
    const services = new Set<string>();
    for (const [serviceName, lastMs] of this.lastShortMs) {
      if (nowMs - lastMs >= HOLD_MS) this.lastShortMs.delete(serviceName);
      else if (this.prioritizedServices.has(serviceName))
        services.add(serviceName);
    }
    return services;
  }
}

/**
 * Gets the highest priority of each service whose queues have more than one.
 * @param queues - Configured queues.
 */
export function getTopPriorities(
  queues: readonly QueueConfig[],
): Map<string, number> {
  const byService = new Map<string, Set<number>>();
  for (const {serviceName, priority} of queues) {
    const priorities = byService.get(serviceName) ?? new Set<number>();
    byService.set(serviceName, priorities.add(priority));
  }
  const top = new Map<string, number>();
  for (const [serviceName, priorities] of byService) {
    if (priorities.size > 1) top.set(serviceName, Math.min(...priorities));
  }
  return top;
}
