/** Configuration of job queues and of the services whose workers run the jobs. */

/** Configuration of a job queue. */
export interface QueueConfig {
  readonly name: string;
  /** Host name of the queue's endpoint. */
  readonly host: string;
  /** Path prefix of the queue's endpoint; the longest matching prefix takes precedence. */
  readonly pathPrefix: string;
  /** Service whose workers run the tasks. */
  readonly serviceName: string;
  /** Priority of the queue; 0 is the highest. */
  readonly priority: number;
  /** Number of failures of one task after which its job fails. */
  readonly maxAttempts: number;
  /** Factor by which the target duration of a job may exceed its critical path. */
  readonly stretch: number;
  /** Constant added to the scaled critical path to give the target duration of a job. */
  readonly targetDurationMs: number;
  /** Parameters of the placement advice service; absent if any worker may run the tasks. */
  readonly advice?: PlacementAdviceConfig;
}

/** Latency and validity of responses from the service that selects eligible workers for a step. */
export interface PlacementAdviceConfig {
  readonly decisionMs: number;
  readonly perWorkerMs: number;
  readonly validityMs: number;
}

/** Configuration of a service: a pool of workers that run the same kind of tasks. */
export interface ServiceConfig {
  readonly name: string;
  /** Whether workers reject tasks that exceed their capacity. */
  readonly isCapacityEnforced: boolean;
  /** Whether its machines stay powered off until they are reassigned to another service. */
  readonly isSparePool: boolean;
}

/** Limits on requests from callers. */
export interface RequestLimits {
  readonly maxBodyBytes: number;
}

/** Configuration of a deployment; each change increases the version. */
export interface DeploymentConfig {
  readonly version: number;
  readonly queues: readonly QueueConfig[];
  readonly services: readonly ServiceConfig[];
  readonly limits: RequestLimits;
}

/**
 * Finds the queue that matches the host and the path of a request.
 * @param config - Active configuration.
 * @param host - Host name without port.
 * @param path - Path without query string.
 */
export function findQueue(
  config: DeploymentConfig,
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
