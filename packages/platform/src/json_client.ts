/** HTTP client for JSON services, shared by the platform clients. */

import {err, ok, Result} from 'neverthrow';
import {Agent, Dispatcher} from 'undici';
import {
  createUnavailableError,
  UnavailableError,
} from '@mustardlug/base/errors';
import {createTimeoutSignal} from '@mustardlug/base/timeout_signal';

/** Response of an HTTP service. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/** An HTTP request with a JSON body. */
export interface JsonCall {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
}

/** Counters of sent and received body bytes. */
export interface ByteCounts {
  sentBytes: number;
  receivedBytes: number;
}

const KEEP_ALIVE_MS = 10_000;
const CONNECTIONS_PER_ORIGIN = 4;
const MIN_SERVER_ERROR_STATUS = 500;

/** Calls JSON services. Every failure to receive a complete response is reported as `unavailable`. */
export class JsonClient {
  /** Body bytes of all calls. */
  readonly byteCounts: ByteCounts = {sentBytes: 0, receivedBytes: 0};

  private constructor(
    private readonly timeoutMs: number,
    private readonly dispatcher: Dispatcher,
  ) {}

  /**
   * Creates a client.
   * @param timeoutMs - Timeout of a call.
   * @param authority - Certificate authority of HTTPS services, in PEM format.
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
   * Makes a call. A response with a status of 500 or higher is reported as `unavailable`.
   * @param call - Method, URL and body.
   */
  async call(call: JsonCall): Promise<Result<JsonResponse, UnavailableError>> {
    const mayTakeEffect = call.method !== 'GET';
    try {
      const body = call.body === undefined ? null : JSON.stringify(call.body);
      const response = await this.dispatcher.request({
        ...splitUrl(call.url),
        method: call.method,
        body,
        headers: {'content-type': 'application/json', ...call.headers},
        signal: createTimeoutSignal(this.timeoutMs),
      });
      const text = await response.body.text();
      this.byteCounts.sentBytes += body?.length ?? 0;
      this.byteCounts.receivedBytes += text.length;
      if (response.statusCode >= MIN_SERVER_ERROR_STATUS) {
        const message = `${call.url} responded with status ${response.statusCode}; check the service`;
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

function splitUrl(url: string): {origin: string; path: string} {
  const parsed = new URL(url);
  return {origin: parsed.origin, path: parsed.pathname + parsed.search};
}
