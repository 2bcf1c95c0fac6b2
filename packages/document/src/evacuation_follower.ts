/** Keeps the evacuated failure domains of a process up to date. */

import {Clock, Timer} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {EvacuationStore} from './evacuation_store.js';

/** Evacuated domains as read last, and how they differ from the read before. */
export interface EvacuationChange {
  /** Evacuated domains, sorted. */
  readonly domains: readonly string[];
  readonly evacuated: readonly string[];
  readonly restored: readonly string[];
}

/** Receives changes of the evacuated domains, and failures to read them. */
export interface EvacuationListener {
  /** Called after the first read, and when the evacuated domains have changed. */
  onEvacuationsRead(change: EvacuationChange): void;
  /** Called at the first failure of a series. */
  onReadFailed(reason: string): void;
  /** Called at the first success after a failure. */
  onReadRecovered(): void;
}

/** Options of a follower. */
export interface EvacuationFollowerOptions {
  readonly store: EvacuationStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Mean interval between reads. */
  readonly pollMs: number;
  readonly listener: EvacuationListener;
}

/**
 * Delay of the read after a failed one. An operator may expect the effect 5 s
 * after the command: at most 1.25 poll intervals of 2 s, one read that fails
 * after its time limit of 2 s, and this delay.
 */
const FAILED_READ_DELAY_MS = 250;

/** Follows the rows of evacuated domains. Keeps the last known ones while the table does not respond. */
export class EvacuationFollower {
  private domains: readonly string[] | undefined;
  private timer: Timer | undefined;
  private hasFailed = false;
  private isStopped = false;

  private constructor(private readonly options: EvacuationFollowerOptions) {}

  /**
   * Creates a follower that knows no evacuations.
   * @param options - Store, timing and listener.
   */
  static create(options: EvacuationFollowerOptions): EvacuationFollower {
    return new EvacuationFollower(options);
  }

  /** Reads the rows immediately and then polls them. */
  async start(): Promise<void> {
    await this.refresh();
    this.schedule();
  }

  /** Stops polling. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /** Checks whether the rows have been read at least once. */
  isKnown(): boolean {
    return this.domains !== undefined;
  }

  /** Gets the evacuated domains as read last, sorted; empty before the first read. */
  getDomains(): readonly string[] {
    return this.domains ?? [];
  }

  /** Reads the rows once. */
  async refresh(): Promise<void> {
    const {store, listener} = this.options;
    const read = await store.getDomains();
    if (this.isStopped) return;
    if (read.isErr()) {
      if (!this.hasFailed) listener.onReadFailed(read.error.message);
      this.hasFailed = true;
      return;
    }
    if (this.hasFailed) listener.onReadRecovered();
    this.hasFailed = false;
    this.applyDomains(read.value);
  }

  private applyDomains(domains: readonly string[]): void {
    const previous = this.getDomains();
    const evacuated = domains.filter(domain => !previous.includes(domain));
    const restored = previous.filter(domain => !domains.includes(domain));
    const isFirst = !this.isKnown();
    this.domains = domains;
    if (!isFirst && evacuated.length + restored.length === 0) return;
    this.options.listener.onEvacuationsRead({domains, evacuated, restored});
  }

  private schedule(): void {
    if (this.isStopped) return;
    const {clock, random, pollMs} = this.options;
    // Random jitter of up to 25 % in both directions.
    const delayMs = this.hasFailed
      ? FAILED_READ_DELAY_MS
      : pollMs * (0.75 + random.getFloat() / 2);
    this.timer = clock.setTimer(delayMs, () => {
      void this.refresh().then(() => this.schedule());
    });
  }
}
