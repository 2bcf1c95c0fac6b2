/** Counts how often each request ran on any stand-in upstream. */

/** Runs by the id that the load tool gives. */
export class RunRecorder {
  private readonly runs = new Map<string, number>();

  private constructor() {}

  /** Creates an empty recorder. */
  static create(): RunRecorder {
    return new RunRecorder();
  }

  /**
   * Adds a run.
   * @param runId - Id of the request.
   */
  addRun(runId: string): void {
    this.runs.set(runId, (this.runs.get(runId) ?? 0) + 1);
  }

  /** Gets the number of requests that ran. */
  getRunCount(): number {
    return this.runs.size;
  }

  /** Gets the ids of the requests that ran more than once. */
  getRepeated(): string[] {
    const repeated: string[] = [];
    for (const [runId, count] of this.runs) {
      if (count > 1) repeated.push(runId);
    }
    return repeated;
  }
}
