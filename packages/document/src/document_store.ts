/** Publishes environment documents to the trial stage and promotes them unchanged to production. */

import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {
  AppError,
  createConflictError,
  createNotFoundError,
  createRefusedError,
  createUnavailableError,
} from '@mustardlug/base/errors';
import {ObjectStore} from '@mustardlug/platform/object_store';
import {TokenSource} from '@mustardlug/platform/token_source';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {
  ABSENT_REVISION,
  TableOperation,
  TableService,
} from '@mustardlug/platform/table_service';
import {
  getDocumentDigest,
  parseEnvironmentDocument,
} from './environment_document.js';

/** Deployment stage of a document. */
export type Stage = 'trial' | 'production';

const publishedSchema = z.object({
  version: z.number().int().positive(),
  digest: z.string(),
});

/** The document version that is published to a stage. */
export interface PublishedDocument {
  readonly version: number;
  readonly digest: string;
  /** Revision of its row; 0 if nothing has been published. */
  readonly revision: number;
}

/** A published document with its text. */
export interface PublishedText extends PublishedDocument {
  readonly text: string;
}

/** Options of a document store. */
export interface DocumentStoreOptions {
  readonly table: TableService;
  readonly retryingCommitter: RetryingCommitter;
  readonly objects: ObjectStore;
  readonly tokens: TokenSource;
}

const UNPUBLISHED_DOCUMENT: PublishedDocument = {
  version: 0,
  digest: '',
  revision: ABSENT_REVISION,
};

/** Stores document texts in the object store and the published versions in the table service. */
export class DocumentStore {
  private constructor(private readonly options: DocumentStoreOptions) {}

  /**
   * Creates a store.
   * @param options - Table, object store and tokens.
   */
  static create(options: DocumentStoreOptions): DocumentStore {
    return new DocumentStore(options);
  }

  /**
   * Gets the version that is published to a stage.
   * @param stage - Stage to read.
   */
  async getPublished(
    stage: Stage,
  ): Promise<Result<PublishedDocument, AppError>> {
    const row = await this.options.table.getRow(getStageKey(stage));
    if (row.isErr()) return err(row.error);
    if (row.value === undefined) return ok(UNPUBLISHED_DOCUMENT);
    const parsed = publishedSchema.safeParse(row.value.value);
    if (parsed.success)
      return ok({...parsed.data, revision: row.value.revision});
    const message = `row ${getStageKey(stage)} is malformed; publish the document again`;
    return err(createUnavailableError(message, false));
  }

  /**
   * Gets the text of a published document and verifies its digest.
   * @param published - Version from `getPublished`.
   */
  async getText(
    published: PublishedDocument,
  ): Promise<Result<PublishedText, AppError>> {
    const text = await this.options.objects.getObject(
      getObjectName(published.digest),
    );
    if (text.isErr()) return err(text.error);
    if (getDocumentDigest(text.value) === published.digest) {
      return ok({...published, text: text.value});
    }
    const message = `the stored document does not match digest ${published.digest}; publish it again`;
    return err(createUnavailableError(message, false));
  }

  /**
   * Publishes a document to the trial stage and records its digest, which allows its promotion.
   * @param text - Exact text of the document.
   */
  async publishTrial(
    text: string,
  ): Promise<Result<PublishedDocument, AppError>> {
    const checked = parseEnvironmentDocument(text);
    if (checked.isErr()) return err(checked.error);
    const digest = getDocumentDigest(text);
    const stored = await this.options.objects.putObject(
      getObjectName(digest),
      text,
    );
    if (stored.isErr()) return err(stored.error);
    return this.publish('trial', digest);
  }

  /**
   * Publishes a document to the production stage if it has been published to trial before.
   * @param digest - Digest of the exact text.
   */
  async promote(digest: string): Promise<Result<PublishedDocument, AppError>> {
    const accepted = await this.options.table.getRow(getTrialKey(digest));
    if (accepted.isErr()) return err(accepted.error);
    if (accepted.value === undefined) {
      const message = `the document with digest ${digest} has not been published to trial; run "mustardlugctl trial" with its file first`;
      return err(createRefusedError(message));
    }
    return this.publish('production', digest);
  }

  private async publish(
    stage: Stage,
    digest: string,
  ): Promise<Result<PublishedDocument, AppError>> {
    const current = await this.getPublished(stage);
    if (current.isErr()) return err(current.error);
    const version = current.value.version + 1;
    const writeToken = this.options.tokens.getNext();
    const operations: TableOperation[] = [
      {
        kind: 'put',
        key: getStageKey(stage),
        value: {writeToken, version, digest} as PublishedValue,
        expectedRevision: current.value.revision,
      },
    ];
    if (stage === 'trial') {
      const trialOperation = await this.createTrialOperation(
        digest,
        writeToken,
      );
      if (trialOperation.isErr()) return err(trialOperation.error);
      operations.push(trialOperation.value);
    }
    const receipt = await this.options.retryingCommitter.commit(
      writeToken,
      operations,
    );
    if (receipt.isOk()) {
      return ok({version, digest, revision: receipt.value.revision});
    }
    if (receipt.error.kind !== 'conflict') return err(receipt.error);
    return err(await this.createPublishConflictError(stage));
  }

  private async createTrialOperation(
    digest: string,
    writeToken: string,
  ): Promise<Result<TableOperation, AppError>> {
    const key = getTrialKey(digest);
    const row = await this.options.table.getRow(key);
    if (row.isErr()) return err(row.error);
    return ok({
      kind: 'put',
      key,
      value: {writeToken},
      expectedRevision: row.value?.revision ?? ABSENT_REVISION,
    });
  }

  private async createPublishConflictError(stage: Stage): Promise<AppError> {
    const current = await this.getPublished(stage);
    if (current.isErr()) return current.error;
    const {version, digest} = current.value;
    return createConflictError(
      `another operator published version ${version} (digest ${digest}) to ${stage} first; review it and publish again to replace it`,
    );
  }
}

/** Stored value of the row of a stage. */
interface PublishedValue {
  readonly writeToken: string;
  readonly version: number;
  readonly digest: string;
}

/**
 * Creates the error for a stage without a document.
 * @param stage - Stage that was read.
 */
export function createNoDocumentError(stage: Stage): AppError {
  return createNotFoundError(
    `no document is published to ${stage}; use "mustardlugctl trial" and "promote"`,
  );
}

function getStageKey(stage: Stage): string {
  return `document/${stage}`;
}

function getTrialKey(digest: string): string {
  return `trial/${digest}`;
}

function getObjectName(digest: string): string {
  return `document-${digest}`;
}
