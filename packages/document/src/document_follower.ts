/** Keeps the environment document of a process up to date. */

import {Clock, Timer} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {DocumentStore, Stage} from './document_store.js';
import {
  EnvironmentDocument,
  parseEnvironmentDocument,
} from './environment_document.js';

/** The document that is active on this node. */
export interface ActiveDocument {
  readonly version: number;
  readonly text: string;
  readonly document: EnvironmentDocument;
}

/** Receives document changes and read failures. */
export interface DocumentListener {
  /** Called when a newer document has become active. */
  onDocumentActivated(current: ActiveDocument): void;
  /** Called when a document could not be read or is not valid. */
  onReadFailed(reason: string): void;
}

/** Options of a follower. */
export interface DocumentFollowerOptions {
  readonly store: DocumentStore;
  readonly stage: Stage;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Mean interval between polls for a newer version. */
  readonly pollMs: number;
  readonly listener: DocumentListener;
}

/** Follows the document of one stage. The active version never decreases. */
export class DocumentFollower {
  private current: ActiveDocument | undefined;
  private timer: Timer | undefined;
  private isStopped = false;

  private constructor(private readonly options: DocumentFollowerOptions) {}

  /**
   * Creates a follower without a document.
   * @param options - Store, stage, timing and listener.
   */
  static create(options: DocumentFollowerOptions): DocumentFollower {
    return new DocumentFollower(options);
  }

  /** Reads the store immediately and then polls it. */
  async start(): Promise<void> {
    await this.refresh();
    this.schedule();
  }

  /** Stops polling. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /** Gets the active document, if any. */
  getCurrent(): ActiveDocument | undefined {
    return this.current;
  }

  /** Gets the active version, or 0 if no document is active. */
  getVersion(): number {
    return this.current?.version ?? 0;
  }

  /**
   * Activates a document from a peer or the store if it is newer than the active one.
   * @param version - Version of the document.
   * @param text - Text of the document.
   * @returns Whether the document was activated.
   */
  applyDocument(version: number, text: string): boolean {
    if (version <= this.getVersion()) return false;
    const parsed = parseEnvironmentDocument(text);
    if (parsed.isErr()) {
      this.options.listener.onReadFailed(parsed.error.message);
      return false;
    }
    this.current = {version, text, document: parsed.value};
    this.options.listener.onDocumentActivated(this.current);
    return true;
  }

  /** Reads the store once and activates the published document if it is newer. */
  async refresh(): Promise<void> {
    const {store, stage, listener} = this.options;
    const published = await store.getPublished(stage);
    if (published.isErr())
      return listener.onReadFailed(published.error.message);
    if (published.value.version <= this.getVersion()) return;
    const text = await store.getText(published.value);
    if (text.isErr()) return listener.onReadFailed(text.error.message);
    this.applyDocument(text.value.version, text.value.text);
  }

  private schedule(): void {
    if (this.isStopped) return;
    const {clock, random, pollMs} = this.options;
    // Random jitter of up to 25 % in both directions.
    const delayMs = pollMs * (0.75 + random.getFloat() / 2);
    this.timer = clock.setTimer(delayMs, () => {
      void this.refresh().then(() => this.schedule());
    });
  }
}
