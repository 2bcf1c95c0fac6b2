/** Idempotency records: only the request that claims a key first may run. */

import {createHash} from 'node:crypto';
import {Clock} from '@mustardlug/base/clock';
import {
  GroupCommitter,
  WriteOutcome,
} from '@mustardlug/platform/group_committer';
import {TokenSource} from '@mustardlug/platform/token_source';
import {
  ABSENT_REVISION,
  StoredValue,
  TableRow,
  TableService,
} from '@mustardlug/platform/table_service';

/** Row stored for an idempotency key. */
interface IdempotencyRecord extends StoredValue {
  /** `released`: the request that held the claim did not run, so the key can be claimed again. */
  readonly state: 'claimed' | 'released' | 'answered';
  readonly status?: number;
  /** Base64; bodies above `MAX_RECORDED_BODY_BYTES` are not recorded. */
  readonly body?: string;
  readonly contentType?: string;
}

/** Claim of a key, held by this process. */
export interface KeyClaim {
  readonly rowKey: string;
  readonly revision: number;
}

/** Answer recorded for a key. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Outcome of an attempt to claim a key. */
export type ClaimResult =
  | {readonly kind: 'claimed'; readonly claim: KeyClaim}
  | {readonly kind: 'answered'; readonly answer: RecordedAnswer}
  /** Another request with this key is in progress, or has ended without a recorded answer. */
  | {readonly kind: 'taken'}
  | {readonly kind: 'unavailable'; readonly reason: string};

export interface IdempotencyRecordsOptions {
  readonly table: TableService;
  readonly committer: GroupCommitter;
  readonly clock: Clock;
  readonly tokens: TokenSource;
}

const MAX_RECORDED_BODY_BYTES = 4096;
const INITIAL_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 10_000;
/** With the back-off delays, covers an outage of one hour. */
const MAX_WRITE_ATTEMPTS = 400;
/** Bounds the memory used by records that wait to be written during an outage. */
const MAX_PENDING_WRITES = 5_000;

/** Reads and writes idempotency records in the platform's table, using group commit. */
export class IdempotencyRecords {
  private pendingWrites = 0;

  private constructor(private readonly options: IdempotencyRecordsOptions) {}

  static create(options: IdempotencyRecordsOptions): IdempotencyRecords {
    return new IdempotencyRecords(options);
  }

  /**
   * Claims a key for a request.
   * @param service - Name of the service; keys are scoped to it.
   * @param key - Idempotency key from the caller.
   */
  async claim(service: string, key: string): Promise<ClaimResult> {
    const {committer} = this.options;
    if (committer.isUnavailable()) {
      return {kind: 'unavailable', reason: 'the table service is down'};
    }
    const rowKey = getRowKey(service, key);
    const inserted = await this.write(rowKey, ABSENT_REVISION, {
      state: 'claimed',
    });
    if (inserted.kind === 'written')
      return createClaimedResult(rowKey, inserted.revision);
    if (inserted.kind === 'unavailable') return inserted;
    const row = await this.options.table.getRow(rowKey);
    if (row.isErr()) return {kind: 'unavailable', reason: row.error.message};
    const record = row.value as TableRow<IdempotencyRecord> | undefined;
    if (record === undefined) return {kind: 'taken'};
    return this.resolveExistingRecord(record);
  }

  /**
   * Releases the claim of a request that did not run.
   * @param claim - Claim to release.
   */
  async release(claim: KeyClaim): Promise<void> {
    await this.writeWithRetries(claim, {state: 'released'});
  }

  /**
   * Records an answer, which is returned to later requests with the same key.
   * @param claim - Claim of the request.
   * @param answer - Answer to record; skipped if its body exceeds `MAX_RECORDED_BODY_BYTES`.
   */
  async recordAnswer(claim: KeyClaim, answer: RecordedAnswer): Promise<void> {
    if (answer.body.length > MAX_RECORDED_BODY_BYTES) return;
    await this.writeWithRetries(claim, {
      state: 'answered',
      status: answer.status,
      contentType: answer.contentType,
      body: Buffer.from(answer.body).toString('base64'),
    });
  }

  /**
   * Retries a write with exponential back-off while the table is unavailable, so
   * that later requests with the key get the recorded answer. Skips the write if
   * `MAX_PENDING_WRITES` are already pending.
   */
  private async writeWithRetries(
    claim: KeyClaim,
    record: Omit<IdempotencyRecord, 'writeToken'>,
  ): Promise<void> {
    if (this.pendingWrites >= MAX_PENDING_WRITES) return;
    this.pendingWrites++;
    let delayMs = INITIAL_RETRY_DELAY_MS;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      const outcome = await this.write(claim.rowKey, claim.revision, record);
      if (outcome.kind !== 'unavailable') break;
      await this.options.clock.sleep(delayMs);
      delayMs = Math.min(delayMs * 2, MAX_RETRY_DELAY_MS);
    }
    this.pendingWrites--;
  }

  private async resolveExistingRecord(
    row: TableRow<IdempotencyRecord>,
  ): Promise<ClaimResult> {
    const {state} = row.value;
    if (state === 'answered') {
      return {kind: 'answered', answer: decodeAnswer(row.value)};
    }
    if (state === 'claimed') return {kind: 'taken'};
    const reclaimed = await this.write(row.key, row.revision, {
      state: 'claimed',
    });
    if (reclaimed.kind === 'written')
      return createClaimedResult(row.key, reclaimed.revision);
    if (reclaimed.kind === 'unavailable') return reclaimed;
    return {kind: 'taken'};
  }

  private write(
    rowKey: string,
    expectedRevision: number,
    record: Omit<IdempotencyRecord, 'writeToken'>,
  ): Promise<WriteOutcome> {
    const value: IdempotencyRecord = {
      ...record,
      writeToken: this.options.tokens.getNext(),
    };
    return this.options.committer.write([
      {kind: 'put', key: rowKey, value, expectedRevision},
    ]);
  }
}

function getRowKey(service: string, key: string): string {
  const digest = createHash('sha256').update(key).digest('hex');
  return `idempotency/${service}/${digest}`;
}

function createClaimedResult(rowKey: string, revision: number): ClaimResult {
  return {kind: 'claimed', claim: {rowKey, revision}};
}

function decodeAnswer(record: IdempotencyRecord): RecordedAnswer {
  return {
    status: record.status ?? 200,
    contentType: record.contentType ?? 'application/octet-stream',
    body: Buffer.from(record.body ?? '', 'base64'),
  };
}
