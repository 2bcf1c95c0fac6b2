/** Keeps the newest environment document that this process can know of in force. */

import {Clock, Timer} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {DocumentStore, Stage} from './document_store.js';
import {
  EnvironmentDocument,
  parseEnvironmentDocument,
} from './environment_document.js';

/** A document in force on this node. */
export interface DocumentInForce {
  readonly version: number;
  readonly text: string;
  readonly document: EnvironmentDocument;
}

/** Receives changes. */
export interface DocumentListener {
  /** A newer document is in force. */
  onInForce(current: DocumentInForce): void;
  /** The store could not be read. */
  onReadFailed(reason: string): void;
}

/** Options of a follower. */
export interface DocumentFollowerOptions {
  readonly store: DocumentStore;
  readonly stage: Stage;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Interval of looking for a newer version. */
  readonly pollMs: number;
  readonly listener: DocumentListener;
}

/** Follows the document of one stage; versions only grow. */
export class DocumentFollower {
  private current: DocumentInForce | undefined;
  private timer: Timer | undefined;
  private isStopped = false;

  private constructor(private readonly options: DocumentFollowerOptions) {}

  /**
   * Creates a follower that has no document yet.
   * @param options - Store, stage, timing and listener.
   */
  static create(options: DocumentFollowerOptions): DocumentFollower {
    return new DocumentFollower(options);
  }

  /** Reads the store now and then regularly. */
  async start(): Promise<void> {
    await this.refresh();
    this.schedule();
  }

  /** Stops reading. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /** Gets the document in force, if there is one. */
  getCurrent(): DocumentInForce | undefined {
    return this.current;
  }

  /** Gets the version in force, 0 if there is none. */
  getVersion(): number {
    return this.current?.version ?? 0;
  }

  /**
   * Takes in a document that a peer or the store gave; older ones are dropped.
   * @param version - Version of the document.
   * @param text - Text of the document.
   * @returns Whether it is now in force.
   */
  offerDocument(version: number, text: string): boolean {
    if (version <= this.getVersion()) return false;
    const parsed = parseEnvironmentDocument(text);
    if (parsed.isErr()) {
      this.options.listener.onReadFailed(parsed.error.message);
      return false;
    }
    this.current = {version, text, document: parsed.value};
    this.options.listener.onInForce(this.current);
    return true;
  }

  /** Reads the store once. */
  async refresh(): Promise<void> {
    const {store, stage, listener} = this.options;
    const published = await store.getPublished(stage);
    if (published.isErr())
      return listener.onReadFailed(published.error.message);
    if (published.value.version <= this.getVersion()) return;
    const text = await store.getText(published.value);
    if (text.isErr()) return listener.onReadFailed(text.error.message);
    this.offerDocument(text.value.version, text.value.text);
  }

  private schedule(): void {
    if (this.isStopped) return;
    const {clock, random, pollMs} = this.options;
    const delayMs = pollMs * (0.75 + random.getFloat() / 2);
    this.timer = clock.setTimer(delayMs, () => {
      void this.refresh().then(() => this.schedule());
    });
  }
}
