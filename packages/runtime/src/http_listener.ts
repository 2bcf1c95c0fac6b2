/** HTTP servers with size and time limits and graceful shutdown. */

import {createServer, Server as HttpServer} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {AddressInfo} from 'node:net';
import {serve} from '@hono/node-server';
import {Hono} from 'hono';
import {err, ok, Result} from 'neverthrow';
import {
  createUnavailableError,
  UnavailableError,
} from '@mustardlug/base/errors';
import {TlsMaterial} from './tls_files.js';

export interface ListenAddress {
  readonly host: string;
  /** 0 lets the operating system choose a free port. */
  readonly port: number;
}

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 120_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** A listening HTTP server. */
export class HttpListener {
  private constructor(private readonly server: HttpServer) {}

  /**
   * Starts a server and resolves once it is listening.
   * @param app - Routes to serve.
   * @param address - Address to bind to.
   * @param tls - Certificate, key and CA for HTTPS, or `undefined` for plain HTTP.
   */
  static listen(
    app: Hono,
    address: ListenAddress,
    tls?: TlsMaterial,
  ): Promise<Result<HttpListener, UnavailableError>> {
    return new Promise(resolve => {
      const server = serve({
        fetch: app.fetch,
        hostname: address.host,
        port: address.port,
        createServer: tls === undefined ? createServer : createTlsServer,
        serverOptions: {
          ...tls,
          maxHeaderSize: MAX_HEADER_BYTES,
          headersTimeout: HEADERS_TIMEOUT_MS,
          requestTimeout: REQUEST_TIMEOUT_MS,
          keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
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
