/** Runs asynchronous jobs one after the other. */

/** Queue of asynchronous jobs of which one runs at a time. */
export class SerialQueue {
  private tail: Promise<unknown> = Promise.resolve();

  private constructor() {}

  /** Creates an empty queue. */
  static create(): SerialQueue {
    return new SerialQueue();
  }

  /**
   * Adds a job and resolves with its result.
   * @param job - Job to run after all earlier ones.
   */
  add<T>(job: () => Promise<T>): Promise<T> {
    const result = this.tail.then(job);
    this.tail = result.catch(() => undefined);
    return result;
  }
}
