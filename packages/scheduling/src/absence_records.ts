/**
 * Stores for how long the boots of workers have been missing from the VM list,
 * so that the next scheduler counts on instead of starting anew.
 *
 * A row holds a duration, not a time, as the clocks of schedulers differ. Each
 * duration was measured by one monotonic clock after the one that it continues,
 * so it is a lower bound of the real time.
 */

import {z} from 'zod';
import {GroupCommitter} from '@mustardlug/platform/group_committer';
import {
  ABSENT_REVISION,
  getAllRows,
  StoredValue,
  TableService,
} from '@mustardlug/platform/table_service';
import {TokenSource} from '@mustardlug/platform/token_source';
import {GoneWorkerTracker} from './gone_worker_tracker.js';

const absenceSchema = z.object({
  writeToken: z.string(),
  /** Time for which schedulers have seen the boot missing. */
  absentMs: z.number().nonnegative(),
});

type AbsenceRecord = z.infer<typeof absenceSchema> & StoredValue;

export interface AbsenceRecordsOptions {
  readonly failureDomain: string;
  readonly table: TableService;
  readonly committer: GroupCommitter;
  readonly tokens: TokenSource;
}

/** Interval at which a longer absence is stored; a restart loses at most this much of it. */
export const ABSENCE_STORE_INTERVAL_MS = 1_000;

/** Absences of one failure domain in the table. */
export class AbsenceRecords {
  private constructor(
    private readonly options: AbsenceRecordsOptions,
    private readonly tracker: GoneWorkerTracker,
  ) {}

  /**
   * Creates the records of a domain.
   * @param options - Domain and table.
   * @param tracker - Tracker that continues stored absences.
   */
  static create(
    options: AbsenceRecordsOptions,
    tracker: GoneWorkerTracker,
  ): AbsenceRecords {
    return new AbsenceRecords(options, tracker);
  }

  /** Continues absences that other schedulers have stored, and stores longer ones. */
  async exchange(): Promise<void> {
    const exchanges: Array<Promise<void>> = [];
    for (const bootKey of this.tracker.getMissingBoots()) {
      exchanges.push(this.exchangeBoot(bootKey));
    }
    await Promise.all(exchanges);
  }

  /**
   * Deletes the records that are not needed any more.
   * @param isNeeded - Whether tasks are bound to a boot that is missing.
   */
  async purge(isNeeded: (bootKey: string) => boolean): Promise<void> {
    const {table} = this.options;
    const rows = await getAllRows(table, this.getPrefix());
    if (rows.isErr()) return;
    for (const {key, revision} of rows.value) {
      if (isNeeded(key.slice(this.getPrefix().length))) continue;
      // If the row has changed or the table fails, the next purge tries again.
      await table.commit([{kind: 'delete', key, expectedRevision: revision}]);
    }
  }

  private async exchangeBoot(bootKey: string): Promise<void> {
    const {table, committer, tokens} = this.options;
    const key = this.getPrefix() + bootKey;
    const row = await table.getRow(key);
    if (row.isErr()) return;
    const stored = absenceSchema.safeParse(row.value?.value);
    const storedMs = stored.success ? stored.data.absentMs : -Infinity;
    this.tracker.continueAbsence(bootKey, storedMs);
    const absentMs = this.tracker.getAbsentMs(bootKey);
    if (absentMs === undefined) return;
    if (absentMs < storedMs + ABSENCE_STORE_INTERVAL_MS) return;
    const value: AbsenceRecord = {writeToken: tokens.getNext(), absentMs};
    const expectedRevision = row.value?.revision ?? ABSENT_REVISION;
    // After a conflict the next exchange reads what another scheduler has stored.
    await committer.write([{kind: 'put', key, value, expectedRevision}]);
  }

  private getPrefix(): string {
    return `absence/${this.options.failureDomain}/`;
  }
}
