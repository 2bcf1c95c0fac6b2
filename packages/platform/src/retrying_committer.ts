/** Retries transactions and determines their outcome when a response is lost. */

import {err, ok, Result} from 'neverthrow';
import {Clock} from '@mustardlug/base/clock';
import {createConflictError} from '@mustardlug/base/errors';
import {
  CommitError,
  CommitReceipt,
  TableOperation,
  TableService,
} from './table_service.js';

/** Options of a retrying committer. */
export interface RetryingCommitterOptions {
  readonly table: TableService;
  readonly clock: Clock;
  /** Maximum number of attempts before the commit fails as `unavailable`. */
  readonly maxAttempts?: number;
  /** Delay before the second attempt. Doubles with each further attempt. */
  readonly retryDelayMs?: number;
}

const DEFAULT_MAX_ATTEMPTS = 6;
const DEFAULT_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2_000;

/**
 * Commits transactions with retries and resolves unknown outcomes by reading a row.
 *
 * Retrying a transaction is safe because each operation specifies the expected
 * revision. If an attempt without a response took effect, the retry conflicts
 * and the row carries the token of this transaction.
 */
export class RetryingCommitter {
  private constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly maxAttempts: number,
    private readonly retryDelayMs: number,
  ) {}

  /**
   * Creates a committer.
   * @param options - Table, clock and retry limits.
   */
  static create(options: RetryingCommitterOptions): RetryingCommitter {
    return new RetryingCommitter(
      options.table,
      options.clock,
      options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS,
      options.retryDelayMs ?? DEFAULT_RETRY_DELAY_MS,
    );
  }

  /**
   * Commits a transaction that contains at least one put.
   * @param token - Token that all written values carry.
   * @param operations - Changes to apply.
   * @returns `refused` at once if the table rejects the transaction, `unavailable` with `mayHaveTakenEffect` only if the outcome is still unknown after the last attempt.
   */
  async commit(
    token: string,
    operations: readonly TableOperation[],
  ): Promise<Result<CommitReceipt, CommitError>> {
    let delayMs = this.retryDelayMs;
    let isUncertain = false;
    for (let attempt = 1; ; attempt++) {
      const outcome = await this.table.commit(operations);
      if (outcome.isOk()) return outcome;
      if (outcome.error.kind === 'refused') {
        // An earlier attempt without a response may have been applied, or still be.
        if (!isUncertain) return outcome;
      } else if (outcome.error.kind === 'conflict') {
        if (!isUncertain) return outcome;
        const resolved = await this.getCommitReceipt(token, operations);
        if (resolved.isOk() || resolved.error.kind === 'conflict')
          return resolved;
      } else {
        isUncertain ||= outcome.error.mayHaveTakenEffect;
      }
      if (attempt >= this.maxAttempts) {
        return outcome.mapErr(error => markUncertain(error, isUncertain));
      }
      await this.clock.sleep(delayMs);
      delayMs = Math.min(delayMs * 2, MAX_RETRY_DELAY_MS);
    }
  }

  private async getCommitReceipt(
    token: string,
    operations: readonly TableOperation[],
  ): Promise<Result<CommitReceipt, CommitError>> {
    const put = operations.find(operation => operation.kind === 'put');
    if (put === undefined) {
      return err(
        createConflictError(
          'the delete was either applied or in conflict with another write; read the row again',
        ),
      );
    }
    const row = await this.table.getRow(put.key);
    if (row.isErr()) return err(row.error);
    if (row.value?.value.writeToken === token) {
      return ok({revision: row.value.revision});
    }
    const message = `row ${put.key} was written by another process; read it again`;
    return err(createConflictError(message));
  }
}

function markUncertain(error: CommitError, isUncertain: boolean): CommitError {
  if (error.kind === 'unavailable') {
    return {...error, mayHaveTakenEffect: isUncertain};
  }
  return {
    kind: 'unavailable',
    message:
      'the outcome of a write is unknown because its row could not be read back; read the row',
    mayHaveTakenEffect: true,
  };
}
