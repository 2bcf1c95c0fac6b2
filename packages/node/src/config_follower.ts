/** Follows the configuration of the deployment in the row store. */

import {Clock} from '@mustardlug/base/clock';
import {AppError} from '@mustardlug/base/errors';
import {TableFollower} from '@mustardlug/coordination/table_follower';
import {DeploymentConfig} from '@mustardlug/jobs/queue_config';
import {RowStore, StoredRow} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {Result} from 'neverthrow';

/** Decodes a stored configuration. */
export type ConfigDecoder = (
  value: Buffer,
) => Result<DeploymentConfig, AppError>;

/** Options of `ConfigWatch`. */
export interface ConfigFollowerOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly events: EventRecorder;
  /** Table and key of the configuration row, which is in the partition named by the empty string. */
  readonly table: string;
  readonly key: string;
  readonly decode: ConfigDecoder;
}

/** Long-poll timeout of the change feed; bounds the time to detect an unresponsive connection. */
const FEED_WAIT_MS = 1_000;

/** Follows the configuration row; ignores versions that are not newer than the current one. */
export class ConfigFollower {
  private config: DeploymentConfig | undefined;
  private readonly follower: TableFollower;

  private constructor(private readonly options: ConfigFollowerOptions) {
    const {store, clock, events, table} = options;
    this.follower = TableFollower.create({
      store,
      clock,
      events,
      table,
      part: '',
      waitMs: FEED_WAIT_MS,
      listener: {
        onSnapshot: rows => this.applyRows(rows),
        onChanges: changes => this.applyRows(changes.rows),
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

  /** Follows the configuration until `stop` is called. */
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
