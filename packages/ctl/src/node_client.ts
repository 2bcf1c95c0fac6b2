/** Client of the operator API of the entry and scheduler processes. */

import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {
  AppError,
  createUnauthorizedError,
  createUnavailableError,
} from '@mustardlug/base/errors';
import {JsonClient} from '@mustardlug/platform/json_client';
import {PeerKeySet} from '@mustardlug/protocol/peer_key_set';
import {RecordedEvent} from '@mustardlug/telemetry/event_recorder';

const HTTP_UNAUTHORIZED = 401;
const MIN_ERROR_STATUS = 400;

const statusSchema = z.looseObject({
  nodeId: z.string(),
  role: z.enum(['entry', 'scheduler']),
  region: z.string(),
  failureDomain: z.string(),
  documentVersion: z.number(),
  isReady: z.boolean(),
  degraded: z.array(z.string()),
  /** Absent in the status of earlier versions. */
  evacuatedDomains: z.array(z.string()).optional(),
  leases: z.array(z.object({workerId: z.string(), epoch: z.number()})),
});

/** Status as reported by one process. */
export type NodeStatus = z.infer<typeof statusSchema>;

/** Response of one process, or the error of the call. */
export interface NodeResult<T> {
  readonly url: string;
  readonly result: Result<T, AppError>;
}

/** Calls the operator API of all processes that the settings list. */
export class NodeClient {
  private constructor(
    private readonly client: JsonClient,
    private readonly key: PeerKeySet,
    private readonly urls: readonly string[],
  ) {}

  /**
   * Creates a client.
   * @param client - HTTP client for JSON bodies.
   * @param key - Key that authorizes operator requests.
   * @param urls - Base URLs of the operator API.
   */
  static create(
    client: JsonClient,
    key: PeerKeySet,
    urls: readonly string[],
  ): NodeClient {
    return new NodeClient(client, key, urls);
  }

  /** Gets the status of every process. */
  getStatuses(): Promise<Array<NodeResult<NodeStatus>>> {
    return this.callAll(async url => {
      const body = await this.call('GET', `${url}/operator/status`);
      return body.andThen(value => parseStatus(url, value));
    });
  }

  /** Gets the buffered events of every process. */
  getEvents(): Promise<Array<NodeResult<RecordedEvent[]>>> {
    return this.callAll(async url => {
      const body = await this.call('GET', `${url}/operator/events`);
      return body.map(value => value as RecordedEvent[]);
    });
  }

  /**
   * Starts a graceful shutdown of all processes of a node.
   * @returns Base URLs of the processes that accepted the request.
   */
  async drain(nodeId: string): Promise<Result<string[], AppError>> {
    const acceptedUrls: string[] = [];
    for (const {url, result} of await this.getStatuses()) {
      if (result.isErr() || result.value.nodeId !== nodeId) continue;
      const accepted = await this.call('POST', `${url}/operator/drain`);
      if (accepted.isErr()) return err(accepted.error);
      acceptedUrls.push(url);
    }
    return ok(acceptedUrls);
  }

  private async callAll<T>(
    action: (url: string) => Promise<Result<T, AppError>>,
  ): Promise<Array<NodeResult<T>>> {
    const calls = this.urls.map(async url => ({
      url,
      result: await action(url),
    }));
    return Promise.all(calls);
  }

  private async call(
    method: 'GET' | 'POST',
    url: string,
  ): Promise<Result<unknown, AppError>> {
    const response = await this.client.call({
      method,
      url,
      headers: {authorization: this.key.getAuthorizationHeader()},
    });
    if (response.isErr()) return err(response.error);
    const {status, body} = response.value;
    if (status === HTTP_UNAUTHORIZED) {
      const message = `${url} refused the key; set "keyFile" in the settings to the key file of this environment`;
      return err(createUnauthorizedError(message));
    }
    if (status >= MIN_ERROR_STATUS) {
      const message = `${url} responded with status ${status}; check that it is a mustardlug process of this version`;
      return err(createUnavailableError(message, false));
    }
    return ok(body);
  }
}

function parseStatus(
  url: string,
  value: unknown,
): Result<NodeStatus, AppError> {
  const parsed = statusSchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const message = `${url} returned a status document with unexpected fields; check its version`;
  return err(createUnavailableError(message, false));
}
