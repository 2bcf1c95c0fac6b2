/** HTTP clients of the table service, object store and VM list of the platform. */

import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {
  createConflictError,
  createNotFoundError,
  createRefusedError,
  createUnavailableError,
  UnavailableError,
} from '@mustardlug/base/errors';
import {JsonClient, JsonResponse} from './json_client.js';
import {ObjectReadError, ObjectStore} from './object_store.js';
import {
  ChangeQuery,
  CommitError,
  CommitReceipt,
  RowPage,
  RowQuery,
  TableOperation,
  TableRow,
  TableService,
} from './table_service.js';
import {VmList, VmSnapshot, vmSnapshotSchema} from './vm_list.js';

const HTTP_OK = 200;
const HTTP_NOT_MODIFIED = 304;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;

/** Statuses of a service that asks for patience. */
const BUSY_STATUSES: readonly number[] = [408, 429];

/** Range of the statuses of requests that were not executed. */
const [MIN_CLIENT_ERROR, MAX_CLIENT_ERROR] = [400, 499];

const rowSchema = z.object({
  key: z.string(),
  value: z.looseObject({writeToken: z.string()}),
  revision: z.number().int(),
});

const pageSchema = z.object({
  rows: z.array(rowSchema),
  revision: z.number().int(),
  hasMore: z.boolean(),
});

const receiptSchema = z.object({revision: z.number().int()});
const objectSchema = z.object({text: z.string()});

/** Address of the platform services and location of the caller. */
export interface PlatformAddress {
  /** Base address, for example `http://127.0.0.1:7000`. */
  readonly baseUrl: string;
  /** Failure domain of the caller. */
  readonly failureDomain: string;
}

function isRejection(status: number): boolean {
  if (BUSY_STATUSES.includes(status)) return false;
  return status >= MIN_CLIENT_ERROR && status <= MAX_CLIENT_ERROR;
}

function parseResponse<T>(
  schema: z.ZodType<T>,
  response: JsonResponse,
): Result<T, UnavailableError> {
  const parsed = schema.safeParse(response.body);
  if (response.status === HTTP_OK && parsed.success) return ok(parsed.data);
  const message = `unexpected response from the platform (status ${response.status}); check its version`;
  return err(createUnavailableError(message, true));
}

/** Table service over HTTP. */
export class HttpTableService extends TableService {
  private constructor(
    private readonly client: JsonClient,
    private readonly address: PlatformAddress,
  ) {
    super();
  }

  /**
   * Creates a client.
   * @param client - JSON client to use.
   * @param address - Address of the platform.
   */
  static create(
    client: JsonClient,
    address: PlatformAddress,
  ): HttpTableService {
    return new HttpTableService(client, address);
  }

  override async commit(
    operations: readonly TableOperation[],
  ): Promise<Result<CommitReceipt, CommitError>> {
    const response = await this.client.call({
      method: 'POST',
      url: `${this.address.baseUrl}/v1/transactions`,
      body: {operations},
    });
    if (response.isErr()) return err(response.error);
    if (response.value.status === HTTP_CONFLICT) {
      const message =
        'the revision of a row differs from the expected one; read the row again';
      return err(createConflictError(message));
    }
    const {status} = response.value;
    if (isRejection(status)) {
      const message = `the table service rejected a transaction with status ${status}; it may do so again`;
      return err(createRefusedError(message));
    }
    return parseResponse(receiptSchema, response.value);
  }

  override async getRow(
    key: string,
  ): Promise<Result<TableRow | undefined, UnavailableError>> {
    const response = await this.client.call({
      method: 'GET',
      url: `${this.address.baseUrl}/v1/row?key=${encodeURIComponent(key)}`,
    });
    if (response.isErr()) return err(response.error);
    if (response.value.status === HTTP_NOT_FOUND) return ok(undefined);
    return parseResponse(rowSchema, response.value);
  }

  override getRows(
    query: RowQuery,
  ): Promise<Result<RowPage, UnavailableError>> {
    return this.getPage('rows', {
      prefix: query.prefix,
      afterKey: query.afterKey ?? '',
      limit: String(query.limit),
    });
  }

  override getChanges(
    query: ChangeQuery,
  ): Promise<Result<RowPage, UnavailableError>> {
    return this.getPage('changes', {
      prefix: query.prefix,
      sinceRevision: String(query.sinceRevision),
      limit: String(query.limit),
    });
  }

  private async getPage(
    resource: 'rows' | 'changes',
    parameters: Record<string, string>,
  ): Promise<Result<RowPage, UnavailableError>> {
    const search = new URLSearchParams(parameters);
    const response = await this.client.call({
      method: 'GET',
      url: `${this.address.baseUrl}/v1/${resource}?${search}`,
    });
    return response.andThen(value => parseResponse(pageSchema, value));
  }
}

/** Object store over HTTP. */
export class HttpObjectStore extends ObjectStore {
  private constructor(
    private readonly client: JsonClient,
    private readonly address: PlatformAddress,
  ) {
    super();
  }

  /**
   * Creates a client.
   * @param client - JSON client to use.
   * @param address - Address of the platform.
   */
  static create(client: JsonClient, address: PlatformAddress): HttpObjectStore {
    return new HttpObjectStore(client, address);
  }

  override async putObject(
    name: string,
    text: string,
  ): Promise<Result<void, UnavailableError>> {
    const response = await this.client.call({
      method: 'PUT',
      url: this.getUrl(name),
      body: {text},
    });
    return response.map(() => undefined);
  }

  override async getObject(
    name: string,
  ): Promise<Result<string, ObjectReadError>> {
    const response = await this.client.call({
      method: 'GET',
      url: this.getUrl(name),
    });
    if (response.isErr()) return err(response.error);
    if (response.value.status === HTTP_NOT_FOUND) {
      return err(createNotFoundError(`object ${name} does not exist`));
    }
    return parseResponse(objectSchema, response.value).map(body => body.text);
  }

  private getUrl(name: string): string {
    return `${this.address.baseUrl}/v1/object?name=${encodeURIComponent(name)}`;
  }
}

/** VM list over HTTP. */
export class HttpVmList extends VmList {
  private constructor(
    private readonly client: JsonClient,
    private readonly address: PlatformAddress,
  ) {
    super();
  }

  /**
   * Creates a client.
   * @param client - JSON client to use.
   * @param address - Address of the platform.
   */
  static create(client: JsonClient, address: PlatformAddress): HttpVmList {
    return new HttpVmList(client, address);
  }

  override async getSnapshot(
    sinceVersion = 0,
  ): Promise<Result<VmSnapshot | undefined, UnavailableError>> {
    const search = new URLSearchParams({
      from: this.address.failureDomain,
      since: String(sinceVersion),
    });
    const response = await this.client.call({
      method: 'GET',
      url: `${this.address.baseUrl}/v1/vms?${search}`,
    });
    if (response.isErr()) return err(response.error);
    if (response.value.status === HTTP_NOT_MODIFIED) return ok(undefined);
    return parseResponse(vmSnapshotSchema, response.value);
  }
}
