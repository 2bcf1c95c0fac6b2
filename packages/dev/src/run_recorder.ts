/** Counts how often each request ran on the simulated upstreams. */

/** Run counts by the request ID that the load generator assigns. */
export class RunRecorder {
  private readonly runs = new Map<string, number>();

  private constructor() {}

  static create(): RunRecorder {
    return new RunRecorder();
  }

  /**
   * Records that a request ran.
   * @param runId - ID of the request.
   */
  recordRun(runId: string): void {
    this.runs.set(runId, (this.runs.get(runId) ?? 0) + 1);
  }

  /** Gets the number of distinct requests that ran. */
  getDistinctRunCount(): number {
    return this.runs.size;
  }

  /** Gets the IDs of the requests that ran more than once. */
  getRepeatedRunIds(): string[] {
    const repeated: string[] = [];
    for (const [runId, count] of this.runs) {
      if (count > 1) repeated.push(runId);
    }
    return repeated;
  }
}
