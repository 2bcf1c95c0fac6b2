/** Rows of the table service that take failure domains out of service. */

import {err, ok, Result} from 'neverthrow';
import {AppError, createConflictError} from '@mustardlug/base/errors';
import {TokenSource} from '@mustardlug/platform/token_source';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {
  ABSENT_REVISION,
  getAllRows,
  StoredValue,
  TableOperation,
  TableService,
} from '@mustardlug/platform/table_service';

/** Options of an evacuation store. */
export interface EvacuationStoreOptions {
  readonly table: TableService;
  readonly retryingCommitter: RetryingCommitter;
  readonly tokens: TokenSource;
}

/** Whether a call wrote the row, or found the requested state. */
export type EvacuationOutcome = 'changed' | 'unchanged';

const EVACUATION_PREFIX = 'evacuation/';
/**
 * Row that every command also writes, even if it finds the requested state. Without it,
 * a delayed duplicate of a put that expects an absent row would take effect after the row
 * was removed again, and a delayed write of a command that gave up would undo what a later
 * command has confirmed.
 */
const GUARD_KEY = 'evacuations';
/** Changes of other domains also write the guard row, so that a change may conflict with several of them. */
const MAX_WRITE_ATTEMPTS = 5;

/** Adds, removes and reads the rows of evacuated failure domains. */
export class EvacuationStore {
  private constructor(private readonly options: EvacuationStoreOptions) {}

  /**
   * Creates a store.
   * @param options - Table, committer and tokens.
   */
  static create(options: EvacuationStoreOptions): EvacuationStore {
    return new EvacuationStore(options);
  }

  /** Gets the evacuated failure domains, sorted. */
  async getDomains(): Promise<Result<string[], AppError>> {
    const rows = await getAllRows(this.options.table, EVACUATION_PREFIX);
    return rows.map(list =>
      list.map(row => row.key.slice(EVACUATION_PREFIX.length)).sort(),
    );
  }

  /**
   * Adds the row of a failure domain. Repeating the call is safe.
   * @param domain - Name of the domain.
   */
  async evacuate(domain: string): Promise<Result<EvacuationOutcome, AppError>> {
    for (let attempt = 1; attempt <= MAX_WRITE_ATTEMPTS; attempt++) {
      const revisions = await this.getRevisions(domain);
      if (revisions.isErr()) return err(revisions.error);
      const {row, guard} = revisions.value;
      const isChange = row === ABSENT_REVISION;
      const value: StoredValue = {writeToken: this.options.tokens.getNext()};
      const put: TableOperation = {
        kind: 'put',
        key: getKey(domain),
        value,
        expectedRevision: ABSENT_REVISION,
      };
      const written = await this.commit(value, guard, isChange ? [put] : []);
      if (written.isOk()) return ok(isChange ? 'changed' : 'unchanged');
      if (written.error.kind !== 'conflict') return err(written.error);
    }
    return err(createRaceError());
  }

  /**
   * Removes the row of a failure domain. Repeating the call is safe.
   * @param domain - Name of the domain.
   * @returns `conflict` if another operator restored the domain and evacuated it again meanwhile.
   */
  async restore(domain: string): Promise<Result<EvacuationOutcome, AppError>> {
    let firstRevision: number | undefined;
    for (let attempt = 1; attempt <= MAX_WRITE_ATTEMPTS; attempt++) {
      const revisions = await this.getRevisions(domain);
      if (revisions.isErr()) return err(revisions.error);
      const {row, guard} = revisions.value;
      const isChange = row !== ABSENT_REVISION;
      if (isChange) firstRevision ??= row;
      if (isChange && row !== firstRevision) {
        const message = `another operator evacuated ${domain} again; check the reason and restore it again if it is to serve`;
        return err(createConflictError(message));
      }
      const value: StoredValue = {writeToken: this.options.tokens.getNext()};
      const removal: TableOperation = {
        kind: 'delete',
        key: getKey(domain),
        expectedRevision: row,
      };
      const written = await this.commit(
        value,
        guard,
        isChange ? [removal] : [],
      );
      if (written.isOk()) return ok(isChange ? 'changed' : 'unchanged');
      if (written.error.kind !== 'conflict') return err(written.error);
    }
    return err(createRaceError());
  }

  /** The guard row is read first: a change in between then conflicts. */
  private async getRevisions(
    domain: string,
  ): Promise<Result<Revisions, AppError>> {
    const {table} = this.options;
    const guard = await table.getRow(GUARD_KEY);
    if (guard.isErr()) return err(guard.error);
    const row = await table.getRow(getKey(domain));
    return row.map(value => ({
      guard: guard.value?.revision ?? ABSENT_REVISION,
      row: value?.revision ?? ABSENT_REVISION,
    }));
  }

  /** Writes the guard row also if nothing else changes, so that delayed writes of commands that gave up conflict. */
  private commit(
    value: StoredValue,
    guardRevision: number,
    operations: readonly TableOperation[],
  ) {
    // The guard comes first: its token shows the outcome after a lost response.
    return this.options.retryingCommitter.commit(value.writeToken, [
      {kind: 'put', key: GUARD_KEY, value, expectedRevision: guardRevision},
      ...operations,
    ]);
  }
}

/** Revisions of the rows that a change depends on. */
interface Revisions {
  readonly guard: number;
  readonly row: number;
}

function getKey(domain: string): string {
  return EVACUATION_PREFIX + domain;
}

function createRaceError(): AppError {
  return createConflictError(
    'other operators evacuated or restored failure domains at the same time; check "mustardlugctl status" and repeat the command',
  );
}
