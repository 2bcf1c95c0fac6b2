/** Clients of the platform services, shared by all programs. */

import {Clock} from '@mustardlug/base/clock';
import {DocumentStore} from '@mustardlug/document/document_store';
import {EvacuationStore} from '@mustardlug/document/evacuation_store';
import {GroupCommitter} from '@mustardlug/platform/group_committer';
import {
  HttpObjectStore,
  HttpTableService,
  HttpVmList,
} from '@mustardlug/platform/http_platform';
import {HttpWorkerClient} from '@mustardlug/platform/http_worker_client';
import {JsonClient} from '@mustardlug/platform/json_client';
import {
  RandomTokenSource,
  TokenSource,
} from '@mustardlug/platform/token_source';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {TableService} from '@mustardlug/platform/table_service';
import {VmList} from '@mustardlug/platform/vm_list';
import {WorkerClient} from '@mustardlug/platform/worker_client';

export interface PlatformClientsOptions {
  readonly platformUrl: string;
  /** Failure domain of the process; empty for operator tools. */
  readonly failureDomain: string;
  /** Timeout of one call. */
  readonly timeoutMs: number;
  /** CA certificate of HTTPS services, in PEM format. */
  readonly caCertificate?: string | undefined;
  readonly clock: Clock;
}

/** Clients of the table service, object store, VM list and workers over one connection pool. */
export class PlatformClients {
  readonly jsonClient: JsonClient;
  readonly table: TableService;
  readonly retryingCommitter: RetryingCommitter;
  readonly tokens: TokenSource = RandomTokenSource.create();
  readonly documents: DocumentStore;
  readonly evacuations: EvacuationStore;
  readonly vmList: VmList;
  readonly workerClient: WorkerClient;

  private constructor(
    private readonly clock: Clock,
    options: PlatformClientsOptions,
  ) {
    const {platformUrl, failureDomain, timeoutMs, caCertificate} = options;
    const address = {baseUrl: platformUrl, failureDomain};
    this.jsonClient = JsonClient.create(timeoutMs, caCertificate);
    this.table = HttpTableService.create(this.jsonClient, address);
    this.retryingCommitter = RetryingCommitter.create({
      table: this.table,
      clock,
    });
    this.documents = DocumentStore.create({
      table: this.table,
      retryingCommitter: this.retryingCommitter,
      objects: HttpObjectStore.create(this.jsonClient, address),
      tokens: this.tokens,
    });
    this.evacuations = EvacuationStore.create({
      table: this.table,
      retryingCommitter: this.retryingCommitter,
      tokens: this.tokens,
    });
    this.vmList = HttpVmList.create(this.jsonClient, address);
    this.workerClient = HttpWorkerClient.create(this.jsonClient);
  }

  /** Creates the clients; connections are opened on demand. */
  static create(options: PlatformClientsOptions): PlatformClients {
    return new PlatformClients(options.clock, options);
  }

  /**
   * Creates a committer that groups writes into transactions.
   * @param commitIntervalMs - Minimum time between two transactions.
   */
  createCommitter(commitIntervalMs: number): GroupCommitter {
    const {table, retryingCommitter, clock} = this;
    return GroupCommitter.create({
      table,
      retryingCommitter,
      clock,
      commitIntervalMs,
    });
  }
}
