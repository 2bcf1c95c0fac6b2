export interface RetryBudgetOptions {
  /** Tokens added per request, for example 0.1; one retry costs one token. */
  readonly ratio: number;
  /** Capacity of the token bucket. */
  readonly maxTokens: number;
}

/** Eight retries per 100 requests; stays below 10 % together with the tokens accumulated in the bucket. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  ratio: 0.08,
  maxTokens: 20,
};

/**
 * Limits retries to a fraction of the requests, so that retries cannot amplify
 * an overload. Requests refill its token bucket, and each retry takes a token.
 */
export class RetryBudget {
  private tokens: number;

  private constructor(private readonly options: RetryBudgetOptions) {
    this.tokens = options.maxTokens;
  }

  /** Creates a budget whose token bucket is full. */
  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Adds tokens for the first attempt of a request. */
  addRequest(): void {
    const {ratio, maxTokens} = this.options;
    this.tokens = Math.min(maxTokens, this.tokens + ratio);
  }

  /** Takes the token for one retry; returns false if none is available. */
  takeRetry(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
