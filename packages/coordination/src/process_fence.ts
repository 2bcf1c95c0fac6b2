/**
 * Fencing of the processes of one worker. A process starts without a fencing token, and
 * would execute calls that were meant for a former process under the same ID. Each
 * process therefore gets a token above that of all calls to former ones.
 */

export interface ProcessFenceOptions {
  /** Token for the first process. */
  readonly firstToken: number;
  /** Highest token of the term. */
  readonly lastToken: number;
  /** Start time of the registered process. */
  readonly startMs: number;
}

/**
 * What a report tells of calls to former processes:
 * - `unchanged`: the process rejected them before
 * - `fenced`: the process rejects them since it executed the call of the report
 * - `unfenced`: the process may have executed them, and may still do so
 */
export type FenceReport = 'unchanged' | 'fenced' | 'unfenced';

/** Chooses the fencing token of the calls to one worker, and knows whether its process has seen it. */
export class ProcessFence {
  private token: number;
  /** Latest process by its report or its registration; undefined if neither tells its start time. */
  private latestStartMs: number | undefined;
  /** Whether the worker has reported in this term. Before, it is only asked for reports. */
  private hasReported = false;
  private isProcessFenced = false;
  private areTokensUsedUp = false;

  private constructor(private readonly options: ProcessFenceOptions) {
    this.token = options.firstToken;
    this.latestStartMs = options.startMs;
  }

  /**
   * Creates the fence of a worker that has not reported in this term.
   * @param options - Tokens of the term and the registered process.
   */
  static create(options: ProcessFenceOptions): ProcessFence {
    return new ProcessFence(options);
  }

  /** Gets the token that calls must carry. */
  getToken(): number {
    return this.token;
  }

  /** Checks whether the process that reported last rejects all calls to former ones. */
  isFenced(): boolean {
    return this.isProcessFenced;
  }

  /** Checks whether a process needs a token above the highest one of the term. */
  hasUsedUpTokens(): boolean {
    return this.areTokensUsedUp;
  }

  /**
   * Checks whether no later process is known.
   * @param startMs - Start time of a process.
   */
  isLatest(startMs: number): boolean {
    return startMs === this.latestStartMs;
  }

  /**
   * Records a registration.
   * @param startMs - Start time of the process that registered.
   * @returns Whether it is another process than the latest one.
   */
  recordRegistration(startMs: number): boolean {
    if (this.isLatest(startMs)) return false;
    this.recordProcess(startMs);
    return true;
  }

  /** Records that another process has executed a call, which has not reported. */
  recordUnknownProcess(): void {
    this.recordProcess(undefined);
  }

  /**
   * Records a report.
   * @param startMs - Start time of the process that reported.
   * @param token - Token of the call that it responded to.
   * @param isOtherProcess - Whether another process has reported before.
   */
  recordReport(
    startMs: number,
    token: number,
    isOtherProcess: boolean,
  ): FenceReport {
    if (isOtherProcess && !this.isLatest(startMs)) this.recordProcess(startMs);
    this.hasReported = true;
    if (token === this.token && !this.areTokensUsedUp) {
      this.latestStartMs = startMs;
      if (this.isProcessFenced) return 'unchanged';
      this.isProcessFenced = true;
      return 'fenced';
    }
    return this.isProcessFenced ? 'unchanged' : 'unfenced';
  }

  private recordProcess(startMs: number | undefined): void {
    this.latestStartMs = startMs;
    if (!this.hasReported) return;
    this.isProcessFenced = false;
    if (this.token === this.options.lastToken) this.areTokensUsedUp = true;
    else this.token++;
  }
}
