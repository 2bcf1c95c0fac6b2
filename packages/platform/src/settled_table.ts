/** Transactions whose outcome is known even when an answer is lost. */

import {err, ok, Result} from 'neverthrow';
import {Clock} from '@mustardlug/base/clock';
import {createConflictError} from '@mustardlug/base/errors';
import {
  CommitError,
  CommitReceipt,
  TableOperation,
  TableService,
} from './table_service.js';

/** Options of a settled table. */
export interface SettledTableOptions {
  readonly table: TableService;
  readonly clock: Clock;
  /** Attempts before the outcome is reported as unavailable. */
  readonly maxTries?: number;
  /** Delay before the second attempt; doubles with each further one. */
  readonly retryDelayMs?: number;
}

const DEFAULT_MAX_TRIES = 6;
const DEFAULT_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2_000;

/**
 * Commits transactions, and settles lost answers by reading a row back.
 *
 * Repeating a transaction is safe because each operation names the revision it
 * expects: if the lost one did take effect, the repeat conflicts and the row
 * shows this transaction's token.
 */
export class SettledTable {
  private constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly maxTries: number,
    private readonly retryDelayMs: number,
  ) {}

  /**
   * Creates a settled table.
   * @param options - Table, clock and retry limits.
   */
  static create(options: SettledTableOptions): SettledTable {
    return new SettledTable(
      options.table,
      options.clock,
      options.maxTries ?? DEFAULT_MAX_TRIES,
      options.retryDelayMs ?? DEFAULT_RETRY_DELAY_MS,
    );
  }

  /**
   * Commits a transaction of which at least one operation is a put.
   * @param token - Token that all written values carry.
   * @param operations - Changes to apply.
   * @returns `unavailable` with `mayHaveTakenEffect` only if it could not be settled in time.
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
      if (outcome.error.kind === 'conflict') {
        if (!isUncertain) return outcome;
        const settled = await this.getOwnCommit(token, operations);
        if (settled.isOk() || settled.error.kind === 'conflict') return settled;
      } else {
        isUncertain ||= outcome.error.mayHaveTakenEffect;
      }
      if (attempt >= this.maxTries) {
        return outcome.mapErr(error => markUncertain(error, isUncertain));
      }
      await this.clock.sleep(delayMs);
      delayMs = Math.min(delayMs * 2, MAX_RETRY_DELAY_MS);
    }
  }

  private async getOwnCommit(
    token: string,
    operations: readonly TableOperation[],
  ): Promise<Result<CommitReceipt, CommitError>> {
    const put = operations.find(operation => operation.kind === 'put');
    if (put === undefined) {
      return err(createConflictError('a delete was applied or lost a race'));
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
    message: 'the outcome of a write could not be read back; read the row',
    mayHaveTakenEffect: true,
  };
}
