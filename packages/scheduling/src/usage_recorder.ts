/** Writes usage rows: one per worker, boot and interval. */

import {z} from 'zod';
import {Clock} from '@mustardlug/base/clock';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {GroupCommitter} from '@mustardlug/platform/group_committer';
import {TokenSource} from '@mustardlug/platform/token_source';
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

/** Cumulative usage of a worker at a point in time. */
export type UsageRecord = z.infer<typeof usageRecordSchema> & StoredValue;

export interface UsageRecorderOptions {
  readonly clock: Clock;
  readonly committer: GroupCommitter;
  readonly tokens: TokenSource;
  readonly intervalMs: number;
}

/** Width of the zero-padded interval start in row keys, so that keys sort by time. */
const TIME_DIGITS = 15;

/** Records the usage reported with renewals of the `tasks` lease. */
export class UsageRecorder {
  private readonly lastIntervalStartMs = new Map<string, number>();

  private constructor(private readonly options: UsageRecorderOptions) {}

  static create(options: UsageRecorderOptions): UsageRecorder {
    return new UsageRecorder(options);
  }

  /**
   * Checks whether this process has yet to write the row of a worker for the current interval.
   * @param workerId - Id of the worker.
   */
  isDue(workerId: string): boolean {
    return this.lastIntervalStartMs.get(workerId) !== this.getIntervalStartMs();
  }

  /**
   * Writes the row of the current interval, unless this process has already attempted it.
   *
   * The write requires that the row does not exist, so that each row is written
   * only once even if the lease changes hands within the interval.
   * @param lease - Lease that was just granted or renewed.
   */
  async recordUsage(lease: WorkerLease): Promise<void> {
    const {committer, tokens} = this.options;
    const {workerId, bootId, uptimeMs, cores, usage} = lease.getStatus();
    if (usage === undefined || !this.isDue(workerId)) return;
    const intervalStartMs = this.getIntervalStartMs();
    this.lastIntervalStartMs.set(workerId, intervalStartMs);
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
    // The next renewal retries the same interval.
    if (outcome.kind === 'unavailable')
      this.lastIntervalStartMs.delete(workerId);
  }

  private getIntervalStartMs(): number {
    const {clock, intervalMs} = this.options;
    const nowMs = clock.getWallMs();
    return nowMs - (nowMs % intervalMs);
  }
}
