/** Operator calls to the entry and scheduler processes. */

import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {
  AppError,
  createUnauthorizedError,
  createUnavailableError,
} from '@mustardlug/base/errors';
import {JsonClient} from '@mustardlug/platform/json_client';
import {PeerKey} from '@mustardlug/protocol/peer_key';
import {RecordedEvent} from '@mustardlug/telemetry/event_recorder';

const HTTP_UNAUTHORIZED = 401;
const FIRST_ERROR_STATUS = 400;

const statusSchema = z.looseObject({
  nodeId: z.string(),
  role: z.enum(['entry', 'scheduler']),
  region: z.string(),
  failureDomain: z.string(),
  documentVersion: z.number(),
  isReady: z.boolean(),
  degraded: z.array(z.string()),
  leases: z.array(z.object({workerId: z.string(), epoch: z.number()})),
});

/** Status of one process. */
export type NodeStatus = z.infer<typeof statusSchema>;

/** A process and what it answered. */
export interface NodeAnswer<T> {
  readonly url: string;
  readonly answer: Result<T, AppError>;
}

/** Client of all processes that the settings name. */
export class NodeClient {
  private constructor(
    private readonly client: JsonClient,
    private readonly key: PeerKey,
    private readonly urls: readonly string[],
  ) {}

  /**
   * Creates a client.
   * @param client - JSON client to use.
   * @param key - Key for operator calls.
   * @param urls - Operator addresses.
   */
  static create(
    client: JsonClient,
    key: PeerKey,
    urls: readonly string[],
  ): NodeClient {
    return new NodeClient(client, key, urls);
  }

  /** Gets the status of every process. */
  getStatuses(): Promise<Array<NodeAnswer<NodeStatus>>> {
    return this.callAll(async url => {
      const body = await this.call('GET', `${url}/operator/status`);
      return body.andThen(value => parseStatus(url, value));
    });
  }

  /** Gets the kept events of every process. */
  getEvents(): Promise<Array<NodeAnswer<RecordedEvent[]>>> {
    return this.callAll(async url => {
      const body = await this.call('GET', `${url}/operator/events`);
      return body.map(value => value as RecordedEvent[]);
    });
  }

  /**
   * Begins a planned stop of the processes of a node.
   * @param nodeId - Id of the node.
   * @returns Addresses of the processes that stop.
   */
  async drain(nodeId: string): Promise<Result<string[], AppError>> {
    const drained: string[] = [];
    for (const {url, answer} of await this.getStatuses()) {
      if (answer.isErr() || answer.value.nodeId !== nodeId) continue;
      const accepted = await this.call('POST', `${url}/operator/drain`);
      if (accepted.isErr()) return err(accepted.error);
      drained.push(url);
    }
    return ok(drained);
  }

  private async callAll<T>(
    action: (url: string) => Promise<Result<T, AppError>>,
  ): Promise<Array<NodeAnswer<T>>> {
    const calls = this.urls.map(async url => ({
      url,
      answer: await action(url),
    }));
    return Promise.all(calls);
  }

  private async call(
    method: 'GET' | 'POST',
    url: string,
  ): Promise<Result<unknown, AppError>> {
    const answer = await this.client.call({
      method,
      url,
      headers: {authorization: this.key.getHeader()},
    });
    if (answer.isErr()) return err(answer.error);
    const {status, body} = answer.value;
    if (status === HTTP_UNAUTHORIZED) {
      const message = `${url} refused the key; name the key file of this environment in the settings`;
      return err(createUnauthorizedError(message));
    }
    if (status >= FIRST_ERROR_STATUS) {
      const message = `${url} answered ${status}; check that it is a mustardlug process of this version`;
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
  const message = `${url} gave an unexpected status; check its version`;
  return err(createUnavailableError(message, false));
}
