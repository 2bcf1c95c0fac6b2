/** The fencing tokens of a term, which rise with each process and each session of a worker. */

/** Number of workers without a session whose last token is known. */
const MAX_KNOWN_WORKERS = 10_000;

/** Chooses the token with which the session of a worker begins. */
export class FencingTokens {
  /** Last token of the ended session of a worker, by worker ID. */
  private readonly lastTokens = new Map<string, number>();

  private constructor(
    private firstToken: number,
    readonly lastToken: number,
  ) {}

  /**
   * Creates the tokens of a term.
   * @param firstToken - Lowest token, above all those of earlier terms.
   * @param lastToken - Highest token.
   */
  static create(firstToken: number, lastToken: number): FencingTokens {
    return new FencingTokens(firstToken, lastToken);
  }

  /**
   * Gets the first token of a new session with a worker, above those of ended ones.
   * @param workerId - Identifier of the worker.
   */
  getFirstToken(workerId: string): number {
    const endedToken = this.lastTokens.get(workerId);
    const token = endedToken === undefined ? this.firstToken : endedToken + 1;
    return Math.min(token, this.lastToken);
  }

  /**
   * Records that the session with a worker has ended.
   * @param workerId - Identifier of the worker.
   * @param token - Last token of its calls.
   */
  recordEnd(workerId: string, token: number): void {
    this.lastTokens.set(workerId, token);
    if (this.lastTokens.size <= MAX_KNOWN_WORKERS) return;
    this.firstToken = Math.max(...this.lastTokens.values()) + 1;
    this.lastTokens.clear();
  }
}
