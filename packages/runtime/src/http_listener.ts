/** HTTP servers with size and time limits and graceful shutdown. */

import {
  createServer,
  IncomingMessage,
  RequestListener,
  Server as HttpServer,
} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {AddressInfo} from 'node:net';
import {serve} from '@hono/node-server';
import {Clock, SystemClock} from '@mustardlug/base/clock';
import {Hono} from 'hono';
import {err, ok, Result} from 'neverthrow';
import {
  createUnavailableError,
  UnavailableError,
} from '@mustardlug/base/errors';
import {ConnectionGuard} from './connection_guard.js';
import {
  DEFAULT_LISTENER_LIMITS,
  ListenerLimits,
  RefusalListener,
} from './listener_limits.js';
import {TlsMaterial} from './tls_files.js';

export interface ListenAddress {
  readonly host: string;
  /** 0 lets the operating system choose a free port. */
  readonly port: number;
}

/** Options of a listener. */
export interface ListenOptions {
  /** Certificate, key and CA for HTTPS; plain HTTP if absent. */
  readonly tls?: TlsMaterial | undefined;
  /** Limits that differ from the defaults; without this field, only sizes and times of heads are limited. */
  readonly limits?: Partial<ListenerLimits> | undefined;
  /** Gets the present limit of bodies, if it may change; the fixed one applies if absent. */
  readonly getMaxBodyBytes?: (incoming: IncomingMessage) => number;
  /** Checks whether the body of a request is used. Other bodies are discarded while they arrive. */
  readonly usesBody?: (incoming: IncomingMessage) => boolean;
  /**
   * Whether routes read a body as text before they wait for anything. Its memory is used
   * again at once then, and a body that is read later fails.
   */
  readonly readsBodyAtOnce?: boolean;
  /** Whether connections may be upgraded to other protocols, which are then not limited any more. */
  readonly acceptsUpgrades?: boolean;
  /** Header fields of refusals by the limits, which no route has seen. */
  readonly refusalHeaders?: Readonly<Record<string, string>>;
  readonly onRefusal?: RefusalListener;
  readonly clock?: Clock;
}

/** Time limit for a request on listeners without limits. */
const UNLIMITED_REQUEST_TIMEOUT_MS = 120_000;

/** Interval at which Node.js looks for heads and requests that exceed their time. */
const CHECK_INTERVAL_MS = 1_000;

/** A listening HTTP server. */
export class HttpListener {
  private constructor(private readonly server: HttpServer) {}

  /**
   * Starts a server and resolves once it is listening.
   * @param app - Routes to serve.
   * @param address - Address to bind to.
   * @param options - Encryption and limits.
   */
  static listen(
    app: Hono,
    address: ListenAddress,
    options: ListenOptions = {},
  ): Promise<Result<HttpListener, UnavailableError>> {
    const {tls, clock = SystemClock.create()} = options;
    const limits = {...DEFAULT_LISTENER_LIMITS, ...options.limits};
    const guard =
      options.limits === undefined
        ? undefined
        : ConnectionGuard.create({
            clock,
            limits,
            getMaxBodyBytes:
              options.getMaxBodyBytes ?? (() => limits.maxBodyBytes),
            usesBody: options.usesBody ?? (() => true),
            readsBodyAtOnce: options.readsBodyAtOnce ?? false,
            acceptsUpgrades: options.acceptsUpgrades ?? false,
            refusalHeaders: options.refusalHeaders ?? {},
            onRefusal: options.onRefusal ?? (() => undefined),
          });
    const createGuardedServer = (
      serverOptions: object,
      handle: RequestListener,
    ) => {
      const listener = guard?.wrap(handle) ?? handle;
      const server =
        tls === undefined
          ? createServer(serverOptions, listener)
          : createTlsServer(serverOptions, listener);
      guard?.watch(server, tls !== undefined);
      return server;
    };
    return new Promise(resolve => {
      const server = serve({
        fetch: app.fetch,
        hostname: address.host,
        port: address.port,
        createServer: createGuardedServer as typeof createServer,
        serverOptions: {
          ...tls,
          maxHeaderSize: limits.maxHeaderBytes,
          headersTimeout: limits.headersTimeoutMs,
          keepAliveTimeout: limits.keepAliveTimeoutMs,
          ...(guard === undefined
            ? {requestTimeout: UNLIMITED_REQUEST_TIMEOUT_MS}
            : {
                requestTimeout: limits.requestTimeoutMs,
                handshakeTimeout: limits.headersTimeoutMs,
                connectionsCheckingInterval: CHECK_INTERVAL_MS,
              }),
        },
      }) as HttpServer;
      server.once('listening', () => resolve(ok(new HttpListener(server))));
      server.once('error', error => {
        const message = `cannot listen on ${address.host}:${address.port} (${error.message}); choose a free port in the settings`;
        resolve(err(createUnavailableError(message, false)));
      });
    });
  }

  /** Gets the underlying server, to handle upgrade requests. */
  getServer(): HttpServer {
    return this.server;
  }

  /** Gets the bound port; differs from the requested one if that was 0. */
  getPort(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops accepting connections, closes idle ones and waits for requests in progress. */
  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Stops accepting connections and closes all open ones, even with requests in progress. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
