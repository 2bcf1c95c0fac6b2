/** Writes usage rows: one for each worker, boot and interval. */

import {z} from 'zod';
import {Clock} from '@mustardlug/base/clock';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {GroupCommitter} from '@mustardlug/platform/group_committer';
import {TokenSource} from '@mustardlug/platform/row_token';
import {ABSENT_REVISION, StoredValue} from '@mustardlug/platform/table_service';
import {ownerUsageSchema} from '@mustardlug/platform/worker_client';
import {USAGE_PREFIX} from './task_record.js';

/** Schema of a usage row. All amounts are cumulative since the worker's boot. */
export const usageRecordSchema = z.object({
  writeToken: z.string(),
  workerId: z.string(),
  bootId: z.string(),
  intervalStartMs: z.number(),
  uptimeMs: z.number(),
  cores: z.number(),
  usage: z.array(ownerUsageSchema),
});

/** Cumulative usage of one worker at one time. */
export type UsageRecord = z.infer<typeof usageRecordSchema> & StoredValue;

/** Options of a recorder. */
export interface UsageRecorderOptions {
  readonly clock: Clock;
  readonly committer: GroupCommitter;
  readonly tokens: TokenSource;
  readonly intervalMs: number;
}

/** Digits of an interval's start, so that keys sort by time. */
const TIME_DIGITS = 15;

/** Records the usage that renewals of the `tasks` lease report. */
export class UsageRecorder {
  private readonly lastIntervalMs = new Map<string, number>();

  private constructor(private readonly options: UsageRecorderOptions) {}

  /**
   * Creates a recorder.
   * @param options - Clock, committer and interval.
   */
  static create(options: UsageRecorderOptions): UsageRecorder {
    return new UsageRecorder(options);
  }

  /**
   * Checks whether the current interval of a worker still lacks its row.
   * @param workerId - Id of the worker.
   */
  isDue(workerId: string): boolean {
    return this.lastIntervalMs.get(workerId) !== this.getIntervalStartMs();
  }

  /**
   * Writes the row of the current interval, if this process has not tried yet.
   *
   * The row must not exist, so that it is written once whoever holds the lease.
   * @param lease - Lease that was granted or renewed just now.
   */
  async addReport(lease: WorkerLease): Promise<void> {
    const {committer, tokens} = this.options;
    const {workerId, bootId, uptimeMs, cores, usage} = lease.getStatus();
    if (usage === undefined || !this.isDue(workerId)) return;
    const intervalStartMs = this.getIntervalStartMs();
    this.lastIntervalMs.set(workerId, intervalStartMs);
    const value: UsageRecord = {
      writeToken: tokens.getNext(),
      workerId,
      bootId,
      intervalStartMs,
      uptimeMs,
      cores,
      usage,
    };
    const time = String(intervalStartMs).padStart(TIME_DIGITS, '0');
    const key = `${USAGE_PREFIX}${workerId}/${bootId}/${time}`;
    const outcome = await committer.write([
      {kind: 'put', key, value, expectedRevision: ABSENT_REVISION},
    ]);
    // The same interval is tried again with the next renewal.
    if (outcome.kind === 'unavailable') this.lastIntervalMs.delete(workerId);
  }

  private getIntervalStartMs(): number {
    const {clock, intervalMs} = this.options;
    const nowMs = clock.getWallMs();
    return nowMs - (nowMs % intervalMs);
  }
}
