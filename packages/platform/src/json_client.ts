/** JSON over HTTP with a time limit, shared by the platform clients. */

import {err, ok, Result} from 'neverthrow';
import {Agent, Dispatcher} from 'undici';
import {
  createUnavailableError,
  UnavailableError,
} from '@mustardlug/base/errors';

/** Answer of an HTTP service. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** One call. */
export interface JsonCall {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
}

/** Counts of the bytes that calls sent and received, without transport headers. */
export interface ByteCounts {
  sentBytes: number;
  receivedBytes: number;
}

const KEEP_ALIVE_MS = 10_000;
const CONNECTIONS_PER_ORIGIN = 4;
const FIRST_SERVER_ERROR = 500;

/** Calls JSON services; every failure to get a whole answer is `unavailable`. */
export class JsonClient {
  /** Bytes sent and received in bodies. */
  readonly byteCounts: ByteCounts = {sentBytes: 0, receivedBytes: 0};

  private constructor(
    private readonly timeoutMs: number,
    private readonly dispatcher: Dispatcher,
  ) {}

  /**
   * Creates a client.
   * @param timeoutMs - Time limit of one call.
   * @param authority - Certificate authority of HTTPS services, in PEM.
   */
  static create(timeoutMs: number, authority?: string): JsonClient {
    const agent = new Agent({
      connections: CONNECTIONS_PER_ORIGIN,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: {timeout: timeoutMs, ...(authority && {ca: authority})},
    });
    return new JsonClient(timeoutMs, agent);
  }

  /**
   * Makes a call. An answer with a status of 500 or more counts as unavailable.
   * @param call - Method, address and body.
   */
  async call(call: JsonCall): Promise<Result<JsonAnswer, UnavailableError>> {
    const mayTakeEffect = call.method !== 'GET';
    try {
      const body = call.body === undefined ? null : JSON.stringify(call.body);
      const response = await this.dispatcher.request({
        ...getTarget(call.url),
        method: call.method,
        body,
        headers: {'content-type': 'application/json', ...call.headers},
        signal: AbortSignal.timeout(this.timeoutMs),
      });
      const text = await response.body.text();
      this.byteCounts.sentBytes += body?.length ?? 0;
      this.byteCounts.receivedBytes += text.length;
      if (response.statusCode >= FIRST_SERVER_ERROR) {
        const message = `${call.url} answered ${response.statusCode}; check the service`;
        return err(createUnavailableError(message, mayTakeEffect));
      }
      const parsed = text === '' ? undefined : JSON.parse(text);
      return ok({status: response.statusCode, body: parsed});
    } catch (error) {
      const cause = (error as Error).message;
      const message = `${call.url} did not answer (${cause}); check that it runs and can be reached`;
      return err(createUnavailableError(message, mayTakeEffect));
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.dispatcher.destroy();
  }
}

function getTarget(url: string): {origin: string; path: string} {
  const parsed = new URL(url);
  return {origin: parsed.origin, path: parsed.pathname + parsed.search};
}
