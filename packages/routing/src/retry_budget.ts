/** Limits retries to a fraction of the requests, so that they cannot multiply load. */

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request, for example 0.1. */
  readonly ratio: number;
  /** Retries that may be saved up. */
  readonly maxTokens: number;
}

/** Default budget: eight retries for a hundred requests, to stay under 10 % with what is saved up. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  ratio: 0.08,
  maxTokens: 20,
};

/** Token bucket that requests fill and retries empty. */
export class RetryBudget {
  private tokens: number;

  private constructor(private readonly options: RetryBudgetOptions) {
    this.tokens = options.maxTokens;
  }

  /**
   * Creates a full budget.
   * @param options - Ratio and capacity.
   */
  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Counts a first attempt. */
  addRequest(): void {
    const {ratio, maxTokens} = this.options;
    this.tokens = Math.min(maxTokens, this.tokens + ratio);
  }

  /** Takes one retry if the budget allows it. */
  takeRetry(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
