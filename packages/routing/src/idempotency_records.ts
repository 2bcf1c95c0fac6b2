/** Records of keyed requests: the first to claim a key may run, all others may not. */

import {createHash} from 'node:crypto';
import {Clock} from '@mustardlug/base/clock';
import {
  GroupCommitter,
  WriteOutcome,
} from '@mustardlug/platform/group_committer';
import {TokenSource} from '@mustardlug/platform/row_token';
import {
  ABSENT_REVISION,
  StoredValue,
  TableRow,
  TableService,
} from '@mustardlug/platform/table_service';

/** State of a key. */
interface IdempotencyRecord extends StoredValue {
  /** `released`: the claimed request provably did not run, so the key is free again. */
  readonly state: 'claimed' | 'released' | 'answered';
  readonly status?: number;
  /** Base64 of a small body. */
  readonly body?: string;
  readonly contentType?: string;
}

/** A claim that this process owns. */
export interface KeyClaim {
  readonly rowKey: string;
  readonly revision: number;
}

/** An answer that was recorded for a key. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Outcome of a claim. */
export type ClaimResult =
  | {readonly kind: 'claimed'; readonly claim: KeyClaim}
  | {readonly kind: 'answered'; readonly answer: RecordedAnswer}
  /** Another request with this key runs or has run without a recorded answer. */
  | {readonly kind: 'taken'}
  | {readonly kind: 'unavailable'; readonly reason: string};

/** Options of the records. */
export interface IdempotencyRecordsOptions {
  readonly table: TableService;
  readonly committer: GroupCommitter;
  readonly clock: Clock;
  readonly tokens: TokenSource;
}

const MAX_RECORDED_BODY_BYTES = 4096;
const FIRST_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 10_000;
/** Together with the delays, long enough for an outage of an hour. */
const MAX_WRITE_ATTEMPTS = 400;
/** Bounds the memory that records of ended requests take during an outage. */
const MAX_RETRYING_WRITES = 5_000;

/** Idempotency records in the platform's table, written in groups. */
export class IdempotencyRecords {
  private retrying = 0;

  private constructor(private readonly options: IdempotencyRecordsOptions) {}

  /**
   * Creates the records of one process.
   * @param options - Table, committer, tokens and clock.
   */
  static create(options: IdempotencyRecordsOptions): IdempotencyRecords {
    return new IdempotencyRecords(options);
  }

  /**
   * Claims a key.
   * @param service - Name of the service.
   * @param key - Key that the caller gave.
   */
  async claim(service: string, key: string): Promise<ClaimResult> {
    const {committer} = this.options;
    if (committer.isDown()) {
      return {kind: 'unavailable', reason: 'the table service is down'};
    }
    const rowKey = getRowKey(service, key);
    const first = await this.write(rowKey, ABSENT_REVISION, {state: 'claimed'});
    if (first.kind === 'written') return toClaimed(rowKey, first.revision);
    if (first.kind === 'unavailable') return first;
    const row = await this.options.table.getRow(rowKey);
    if (row.isErr()) return {kind: 'unavailable', reason: row.error.message};
    const record = row.value as TableRow<IdempotencyRecord> | undefined;
    if (record === undefined) return {kind: 'taken'};
    return this.claimExisting(record);
  }

  /**
   * Frees a key whose request provably did not run.
   * @param claim - Claim to free.
   */
  async release(claim: KeyClaim): Promise<void> {
    await this.writeEventually(claim, {state: 'released'});
  }

  /**
   * Records the answer for repeats of the request.
   * @param claim - Claim of the request.
   * @param answer - Answer to record; large bodies are not kept.
   */
  async addAnswer(claim: KeyClaim, answer: RecordedAnswer): Promise<void> {
    if (answer.body.length > MAX_RECORDED_BODY_BYTES) return;
    await this.writeEventually(claim, {
      state: 'answered',
      status: answer.status,
      contentType: answer.contentType,
      body: Buffer.from(answer.body).toString('base64'),
    });
  }

  /** Repeats a write through an outage, so that later repeats of the request get their answer. */
  private async writeEventually(
    claim: KeyClaim,
    record: Omit<IdempotencyRecord, 'writeToken'>,
  ): Promise<void> {
    if (this.retrying >= MAX_RETRYING_WRITES) return;
    this.retrying++;
    let delayMs = FIRST_RETRY_DELAY_MS;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      const outcome = await this.write(claim.rowKey, claim.revision, record);
      if (outcome.kind !== 'unavailable') break;
      await this.options.clock.sleep(delayMs);
      delayMs = Math.min(delayMs * 2, MAX_RETRY_DELAY_MS);
    }
    this.retrying--;
  }

  private async claimExisting(
    row: TableRow<IdempotencyRecord>,
  ): Promise<ClaimResult> {
    const {state} = row.value;
    if (state === 'answered') {
      return {kind: 'answered', answer: toAnswer(row.value)};
    }
    if (state === 'claimed') return {kind: 'taken'};
    const again = await this.write(row.key, row.revision, {state: 'claimed'});
    if (again.kind === 'written') return toClaimed(row.key, again.revision);
    if (again.kind === 'unavailable') return again;
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

function toClaimed(rowKey: string, revision: number): ClaimResult {
  return {kind: 'claimed', claim: {rowKey, revision}};
}

function toAnswer(record: IdempotencyRecord): RecordedAnswer {
  return {
    status: record.status ?? 200,
    contentType: record.contentType ?? 'application/octet-stream',
    body: Buffer.from(record.body ?? '', 'base64'),
  };
}
