/** What the coordinator tells all nodes. */

/** Load of one queue. */
export interface QueueLoad {
  /** Accepted jobs of which no task has started. */
  readonly waitingJobs: number;
  /** Time after which a refused caller may expect to be accepted; 0 while jobs are accepted. */
  readonly retryAfterMs: number;
}

/** The coordinator's notice to all nodes. */
export interface Board {
  readonly term: number;
  /** Node that coordinates; empty after a planned hand-over. */
  readonly holder: string;
  /** Time of the store when the notice was written, in milliseconds. */
  readonly writtenStoreMs: number;
  /** Load by the name of the queue; absent until the holder has read all jobs. */
  readonly queues?: Readonly<Record<string, QueueLoad>>;
}
