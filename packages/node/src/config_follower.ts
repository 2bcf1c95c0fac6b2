/** Follows what operators write to the row store: the configuration, and evacuations of failure domains. */

import {Clock} from '@mustardlug/base/clock';
import {AppError} from '@mustardlug/base/errors';
import {
  EvacuationDecoder,
  Evacuations,
} from '@mustardlug/coordination/evacuations';
import {TableFollower} from '@mustardlug/coordination/table_follower';
import {DeploymentConfig} from '@mustardlug/jobs/queue_config';
import {RowStore, StoredRow} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {Result} from 'neverthrow';

/** Decodes a stored configuration. */
export type ConfigDecoder = (
  value: Buffer,
) => Result<DeploymentConfig, AppError>;

/** Options of `ConfigFollower`. */
export interface ConfigFollowerOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly events: EventRecorder;
  /** Table and key of the configuration row, which is in the partition named by the empty string. */
  readonly table: string;
  readonly key: string;
  readonly decode: ConfigDecoder;
  readonly decodeEvacuation: EvacuationDecoder;
  /**
   * Time after the acknowledgement of the row of an evacuation from which no task may
   * start in its domain; undefined if such rows are ignored.
   */
  readonly evacuationMs: number | undefined;
}

/** Long-poll timeout of the change feed; bounds the time to detect an unresponsive connection. */
const FEED_WAIT_MS = 1_000;

/**
 * Maximum of this timeout, as a fraction of the age of the rows from which no tasks are
 * started. A quiet feed makes the rows twice as old as the timeout, plus response times.
 */
const MAX_FEED_WAIT_FRACTION = 1 / 3;

/**
 * Follows the configuration row, of which it ignores versions that are not newer than the
 * current one, and the evacuations in the same part of the table.
 */
export class ConfigFollower {
  private config: DeploymentConfig | undefined;
  private readonly follower: TableFollower;
  private readonly evacuations: Evacuations;

  private constructor(private readonly options: ConfigFollowerOptions) {
    const {store, clock, events, table} = options;
    this.evacuations = Evacuations.create({
      events,
      decode: options.decodeEvacuation,
      evacuationMs: options.evacuationMs,
      getMaxAgeMs: () => this.follower.getMaxAgeMs(),
    });
    this.follower = TableFollower.create({
      store,
      clock,
      events,
      table,
      part: '',
      waitMs: getFeedWaitMs(this.evacuations.getAgeLimitMs()),
      // One lost call and a full wait after it would make the rows too old for starts.
      retryWaitMs: options.evacuationMs === undefined ? undefined : 0,
      listener: {
        onSnapshot: rows => {
          this.evacuations.applySnapshot(rows);
          this.applyRows(rows);
        },
        onChanges: changes => {
          this.evacuations.applyChanges(changes);
          this.applyRows(changes.rows);
        },
        onStoreLost: reason =>
          events.addEvent('store-lost', {detail: `${table}: ${reason}`}),
        onStoreRegained: () =>
          events.addEvent('store-regained', {detail: table}),
      },
    });
  }

  /**
   * Creates a follower; `run` starts it.
   * @param options - Store, address of the row and decoder.
   */
  static create(options: ConfigFollowerOptions): ConfigFollower {
    return new ConfigFollower(options);
  }

  /** Gets the active configuration, or `undefined` if none has been received. */
  getConfig(): DeploymentConfig | undefined {
    return this.config;
  }

  /** Gets the evacuated failure domains. */
  getEvacuations(): Evacuations {
    return this.evacuations;
  }

  /** Follows the rows until `stop` is called. */
  run(): Promise<void> {
    return this.follower.run();
  }

  stop(): void {
    this.follower.stop();
  }

  private applyRows(rows: readonly StoredRow[]): void {
    for (const row of rows) {
      if (row.key === this.options.key) this.applyIfNewer(row.value);
    }
  }

  private applyIfNewer(value: Buffer): void {
    const decoded = this.options.decode(value);
    if (decoded.isErr()) {
      this.options.events.addEvent('config-invalid', {
        detail: decoded.error.message,
      });
      return;
    }
    const {version} = decoded.value;
    if (this.config !== undefined && version <= this.config.version) return;
    this.config = decoded.value;
    this.options.events.addEvent('config-in-force', {
      detail: `version ${version}, ${decoded.value.queues.length} queues`,
    });
  }
}

/**
 * Gets the timeout of the change feed, in whole milliseconds, as a store may reject others.
 * @param ageLimitMs - Age of the rows from which no tasks are started.
 */
function getFeedWaitMs(ageLimitMs: number): number {
  return Math.floor(
    Math.min(FEED_WAIT_MS, MAX_FEED_WAIT_FRACTION * ageLimitMs),
  );
}
