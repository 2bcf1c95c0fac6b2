/** Failure domains that operators have taken out of service, as last read from the row store. */

import {AppError} from '@mustardlug/base/errors';
import {RowChanges, StoredRow} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {Result} from 'neverthrow';

/**
 * Decodes the key of a row into the failure domain to evacuate; `undefined` for rows
 * about other things.
 */
export type EvacuationDecoder = (
  key: string,
) => Result<string | undefined, AppError>;

/** Which workers an evacuation concerns, and whether that is known. */
export type EvacuationState = Pick<Evacuations, 'isEvacuated' | 'isCurrent'>;

/** Called when domains were added or removed, with those that were added. */
export type EvacuationListener = (addedDomains: readonly string[]) => void;

export interface EvacuationsOptions {
  readonly events: EventRecorder;
  readonly decode: EvacuationDecoder;
  /**
   * Time after the acknowledgement of a row from which no task may start in its domain;
   * undefined if rows are ignored.
   */
  readonly evacuationMs: number | undefined;
  /** Gets the maximum age of the rows; infinite before they were read. */
  readonly getMaxAgeMs: () => number;
}

/**
 * Time after the decision to send a start command from which it must not be sent any more,
 * as it waited for a connection or the process was suspended. Well above the time to open a
 * connection, 500 ms at most.
 */
export const MAX_START_QUEUE_MS = 1_000;

/** Maximum time from the moment at which a start command is sent to its arrival at a worker. */
const MAX_START_TRANSFER_MS = 500;

/** Time between the decision to send a start command and its arrival at the worker. */
const START_MARGIN_MS = MAX_START_QUEUE_MS + MAX_START_TRANSFER_MS;

/** Number of invalid keys that are remembered as reported; beyond it, keys may be reported again. */
const MAX_REPORTED_KEYS = 1_000;

/** Set of evacuated failure domains. Without a bound for the evacuation it stays empty. */
export class Evacuations {
  private domains: ReadonlySet<string> = new Set();
  private readonly invalidKeys = new Set<string>();
  private listener: EvacuationListener | undefined;
  /** Whether the rows were reported as too old. */
  private isReportedAsUnknown = false;

  private constructor(private readonly options: EvacuationsOptions) {}

  /**
   * Creates the set without domains.
   * @param options - Decoder, bound and age of the rows.
   */
  static create(options: EvacuationsOptions): Evacuations {
    return new Evacuations(options);
  }

  /**
   * Replaces the whole set.
   * @param rows - All rows.
   */
  applySnapshot(rows: readonly Pick<StoredRow, 'key'>[]): void {
    this.replaceDomains(new Set(this.decodeRows(rows)));
  }

  /**
   * Adds and removes domains. A row that was removed and written again is among the
   * changed ones only.
   * @param changes - Changed and removed rows.
   */
  applyChanges({rows, removed}: Pick<RowChanges, 'rows' | 'removed'>): void {
    const domains = new Set(this.domains);
    for (const {key} of removed) {
      const domain = this.options.decode(key).unwrapOr(undefined);
      if (domain !== undefined) domains.delete(domain);
    }
    for (const domain of this.decodeRows(rows)) domains.add(domain);
    this.replaceDomains(domains);
  }

  /**
   * Checks whether no task may start in a failure domain.
   * @param domain - Name of the domain.
   */
  isEvacuated(domain: string): boolean {
    return this.domains.has(domain);
  }

  /** Gets the evacuated domains. */
  getDomains(): string[] {
    return [...this.domains];
  }

  /**
   * Checks whether the rows are recent enough to start tasks: a row that is not known yet
   * was acknowledged so late that a start command sent now arrives within the bound.
   */
  isCurrent(): boolean {
    const {evacuationMs, getMaxAgeMs} = this.options;
    if (evacuationMs === undefined) return true;
    return getMaxAgeMs() < this.getAgeLimitMs();
  }

  /** Gets the age of the rows from which no tasks are started; infinite if rows are ignored. */
  getAgeLimitMs(): number {
    const {evacuationMs = Infinity} = this.options;
    return evacuationMs - START_MARGIN_MS;
  }

  /**
   * Sets what is called when the set changes; at most one.
   * @param listener - Listener, or `undefined` for none.
   */
  setListener(listener: EvacuationListener | undefined): void {
    this.listener = listener;
  }

  /** Reports that the rows have become too old to start tasks, or are recent again. */
  reportAge(): void {
    const isUnknown = !this.isCurrent();
    if (isUnknown === this.isReportedAsUnknown) return;
    this.isReportedAsUnknown = isUnknown;
    const {events, getMaxAgeMs} = this.options;
    const detail = `rows of ${Math.round(getMaxAgeMs())} ms ago`;
    if (isUnknown) events.addEvent('evacuations-unknown', {detail});
    else events.addEvent('evacuations-known', {detail});
  }

  private decodeRows(rows: readonly Pick<StoredRow, 'key'>[]): string[] {
    const domains: string[] = [];
    for (const {key} of rows) {
      const decoded = this.options.decode(key);
      if (decoded.isErr()) this.reportInvalidKey(key, decoded.error);
      else if (decoded.value !== undefined) domains.push(decoded.value);
    }
    return domains;
  }

  private reportInvalidKey(key: string, {message}: AppError): void {
    if (this.options.evacuationMs === undefined) return;
    if (this.invalidKeys.has(key)) return;
    if (this.invalidKeys.size >= MAX_REPORTED_KEYS) this.invalidKeys.clear();
    this.invalidKeys.add(key);
    this.options.events.addEvent('evacuation-invalid', {detail: message});
  }

  private replaceDomains(domains: ReadonlySet<string>): void {
    const {events, evacuationMs} = this.options;
    if (evacuationMs === undefined) return;
    const added = [...domains].filter(each => !this.domains.has(each));
    const removed = [...this.domains].filter(each => !domains.has(each));
    this.domains = domains;
    for (const domain of added)
      events.addEvent('evacuation-in-force', {detail: domain});
    for (const domain of removed)
      events.addEvent('evacuation-ended', {detail: domain});
    if (this.isReportedAsUnknown) this.reportAge();
    if (added.length > 0 || removed.length > 0) this.listener?.(added);
  }
}
