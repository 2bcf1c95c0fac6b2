/** The environment document as a kind of configuration that `check` supports. */

import {err, ok, Result} from 'neverthrow';
import {
  ConfigurationFormat,
  Finding,
} from '@mustardlug/base/configuration_format';
import {AppError} from '@mustardlug/base/errors';
import {DocumentStore} from '@mustardlug/document/document_store';
import {
  EnvironmentDocument,
  parseEnvironmentDocument,
} from '@mustardlug/document/environment_document';
import {Vm, VmList} from '@mustardlug/platform/vm_list';
import {checkDocument} from './document_checker.js';

/** Document in force in production, and the VM list. */
export interface DocumentState {
  readonly inForce: EnvironmentDocument | undefined;
  readonly vms: readonly Vm[];
}

/** Gets the clients for the state of the deployment. */
export type DocumentSources = () => Result<
  {readonly documents: DocumentStore; readonly vmList: VmList},
  AppError
>;

export class DocumentFormat extends ConfigurationFormat<
  EnvironmentDocument,
  DocumentState
> {
  override readonly title = 'environment document';

  private constructor(private readonly getSources: DocumentSources) {
    super();
  }

  /**
   * Creates the format.
   * @param getSources - Gets the clients; called only if the state is read.
   */
  static create(getSources: DocumentSources): DocumentFormat {
    return new DocumentFormat(getSources);
  }

  override decode(bytes: Buffer): Result<EnvironmentDocument, AppError> {
    return parseEnvironmentDocument(bytes.toString());
  }

  override check(
    document: EnvironmentDocument,
    state: DocumentState | undefined,
  ): Finding[] {
    return checkDocument(document, state?.vms);
  }

  override async readState(): Promise<Result<DocumentState, AppError>> {
    const sources = this.getSources();
    if (sources.isErr()) return err(sources.error);
    const {documents, vmList} = sources.value;
    const snapshot = await vmList.getSnapshot();
    if (snapshot.isErr()) return err(snapshot.error);
    const vms = snapshot.value?.vms ?? [];
    const published = await documents.getPublished('production');
    if (published.isErr()) return err(published.error);
    if (published.value.version === 0) return ok({inForce: undefined, vms});
    const text = await documents.getText(published.value);
    return text
      .andThen(({text: content}) => parseEnvironmentDocument(content))
      .map(inForce => ({inForce, vms}));
  }

  override getInForce(state: DocumentState): EnvironmentDocument | undefined {
    return state.inForce;
  }
}
