/** Queues that accept jobs, and the services whose workers run them. */

/** A queue of jobs, as operators configured it. */
export interface QueueConfig {
  readonly name: string;
  /** Host name under which callers reach the queue. */
  readonly host: string;
  /** Path under which callers reach the queue; the longest matching one wins. */
  readonly pathPrefix: string;
  /** Service whose workers run the tasks. */
  readonly serviceName: string;
  /** 0 comes first. */
  readonly priority: number;
  /** Failures of one task after which its job has failed. */
  readonly maxAttempts: number;
  /** Factor on the longest chain of work that a job may take. */
  readonly stretch: number;
  /** Time that a job may take beyond the stretched chain. */
  readonly targetDurationMs: number;
  /** Cost of asking which workers may run a step; absent when any worker may. */
  readonly advice?: AdviceConfig;
}

/** Terms of the service that says which workers may run a step. */
export interface AdviceConfig {
  readonly decisionMs: number;
  readonly perWorkerMs: number;
  readonly validityMs: number;
}

/** Workers that run the same kind of tasks. */
export interface ServiceConfig {
  readonly name: string;
  /** Whether workers refuse what does not fit. */
  readonly isCapacityEnforced: boolean;
  /** Whether its machines are switched off until they are moved elsewhere. */
  readonly isSparePool: boolean;
}

/** Limits on callers' requests. */
export interface RequestLimits {
  readonly maxBodyBytes: number;
}

/** Configuration of a whole deployment; versions only grow. */
export interface FleetConfig {
  readonly version: number;
  readonly queues: readonly QueueConfig[];
  readonly services: readonly ServiceConfig[];
  readonly limits: RequestLimits;
}

/**
 * Finds the queue that a request addresses.
 * @param config - Configuration in force.
 * @param host - Host name without a port.
 * @param path - Path without a query.
 */
export function findQueue(
  config: FleetConfig,
  host: string,
  path: string,
): QueueConfig | undefined {
  let best: QueueConfig | undefined;
  for (const queue of config.queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
    if (best === undefined || queue.pathPrefix.length > best.pathPrefix.length)
      best = queue;
  }
  return best;
}
