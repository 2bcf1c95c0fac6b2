/** Enforces the limits of a listener on its connections, requests and bodies. */

import {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';
import {Socket} from 'node:net';
import {Clock, Timer} from '@mustardlug/base/clock';
import {BLOCK_BYTES, BlockPool, BodyCollector} from './body_collector.js';
import {
  ListenerLimits,
  RefusalListener,
  RefusalReason,
} from './listener_limits.js';
import {YoungGarbageCollector} from './young_garbage.js';
import {BudgetShare, ClientPhase, RequestBudget} from './request_budget.js';

export interface ConnectionGuardOptions {
  readonly clock: Clock;
  readonly limits: ListenerLimits;
  readonly getMaxBodyBytes: (incoming: IncomingMessage) => number;
  readonly usesBody: (incoming: IncomingMessage) => boolean;
  readonly readsBodyAtOnce: boolean;
  readonly acceptsUpgrades: boolean;
  /** Header fields of refusals, beyond those of HTTP. */
  readonly refusalHeaders: Readonly<Record<string, string>>;
  readonly onRefusal: RefusalListener;
}

/** Request whose body has been read; the HTTP adapter takes the body from this field. */
type BufferedIncoming = IncomingMessage & {rawBody?: Buffer};

/** Connection of one client. */
interface Connection {
  readonly socket: Socket;
  readonly share: BudgetShare;
  /** Responses that are not completely sent, oldest first. */
  readonly responses: Set<ServerResponse>;
  /** Body of the last request while it is incomplete. */
  collector: BodyCollector | undefined;
  /** Bytes received or sent at the start of the present phase. */
  phaseStartBytes: number;
  /** Bytes reserved for responses that the client has not read. */
  unsentBytes: number;
  /** Turn of the event loop in which the last request arrived, and the requests in it. */
  turn: number;
  requestsInTurn: number;
}

/** Memory that a connection takes without a request: the socket, its parser and their handles. */
const CONNECTION_BYTES = 8_192;

/**
 * Memory that a request takes without its fields and body, with its handler and the call
 * to the store that it may wait for.
 */
const REQUEST_BYTES = 12_288;

/** Memory that the name or the value of a header field takes beyond its characters. */
const HEADER_STRING_BYTES = 64;

/**
 * Bytes reserved for each byte of a body that is handed to the routes: the body, its
 * text, and the values parsed from it.
 */
const PARSED_BYTES_PER_BODY_BYTE = 3;

/** Time and bytes for which a refused connection stays open, so that the client reads the refusal before a reset. */
const LINGER_MS = 200;
const LINGER_BYTES = 65_536;

/** Garbage of bodies may take this fraction of the bytes held before it is collected. */
const COLLECTIONS_PER_BUDGET = 8;

/**
 * Pieces that are smaller than this cost more by their number than by their bytes: 2 to 4 us
 * each. Without a bound on them, chunks of a few bytes delay all timers for seconds.
 */
const SMALL_PIECE_BYTES = 256;
const MAX_SMALL_PIECES_PER_WINDOW = 16_384;
const SMALL_PIECE_WINDOW_MS = 1_000;

/** Memory that a piece of a body takes beyond its bytes. */
const PIECE_BYTES = 200;

const SWEEP_INTERVAL_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Connections above the limit that the system may hand over before they are refused. */
const CONNECTION_MARGIN = 16;

const REASON_PHRASES: Readonly<Record<number, string>> = {
  413: 'Content Too Large',
  431: 'Request Header Fields Too Large',
  503: 'Service Unavailable',
};

/** Connections of one listener. */
export class ConnectionGuard {
  private readonly budget: RequestBudget;
  private readonly pool = BlockPool.create();
  private readonly garbage: YoungGarbageCollector;
  private readonly connections = new Map<Socket, Connection>();
  private sweepTimer: Timer | undefined;
  /** Number of the turn of the event loop, counted over turns with requests. */
  private turn = 1;
  private isTurnCounted = false;
  private turnStartMs = 0;
  /** Small pieces of bodies in this turn, on all connections. */
  private smallPieces = 0;
  /** Monotonic time since which the small pieces are counted. */
  private smallPiecesSinceMs = -Infinity;

  private constructor(private readonly options: ConnectionGuardOptions) {
    const {maxHeldBytes, maxConnections} = options.limits;
    this.budget = RequestBudget.create({
      maxBytes: maxHeldBytes,
      maxClients: maxConnections,
    });
    this.garbage = YoungGarbageCollector.create(
      maxHeldBytes / COLLECTIONS_PER_BUDGET,
    );
  }

  /**
   * Creates a guard; `watch` attaches it to a server.
   * @param options - Limits and observers.
   */
  static create(options: ConnectionGuardOptions): ConnectionGuard {
    return new ConnectionGuard(options);
  }

  /**
   * Observes the connections of a server.
   * @param server - Server that is about to listen.
   * @param isEncrypted - Whether requests arrive on connections of TLS.
   */
  watch(server: Server, isEncrypted: boolean): void {
    const {maxConnections, maxHeaderCount} = this.options.limits;
    // The server drops the fields above this number, so that one more shows the excess.
    server.maxHeadersCount = maxHeaderCount + 1;
    server.maxConnections = maxConnections + CONNECTION_MARGIN;
    server.on('drop', () => this.report('connections', 'at the system'));
    server.on(isEncrypted ? 'secureConnection' : 'connection', socket =>
      this.admit(socket as Socket),
    );
    if (this.options.acceptsUpgrades)
      server.on('upgrade', ({socket}: IncomingMessage) => this.forget(socket));
    server.on('close', () => this.sweepTimer?.cancel());
    this.scheduleSweep();
  }

  /**
   * Wraps a request handler, which is called once the body of a request is complete.
   * @param handle - Handler of requests.
   */
  wrap(handle: RequestListener): RequestListener {
    return (incoming, outgoing) => {
      const connection = this.connections.get(incoming.socket);
      // Requests may follow in the bytes that were read before the connection was closed.
      if (connection === undefined || !isUsable(connection)) {
        cutOff(incoming.socket);
        return;
      }
      this.receive(connection, incoming, outgoing, handle);
    };
  }

  private admit(socket: Socket): void {
    const share = this.budget.open(CONNECTION_BYTES, this.getNowMs(), () => {
      this.report('overdue', `${share?.phase} for over a second`);
      socket.destroy();
    });
    if (share === undefined) {
      this.report('connections', 'all connections are in use');
      const reason = 'this node has too many connections; try again';
      socket.end(this.renderRefusal(503, reason));
      socket.destroySoon();
      return;
    }
    this.connections.set(socket, {
      socket,
      share,
      responses: new Set(),
      collector: undefined,
      phaseStartBytes: 0,
      unsentBytes: 0,
      turn: 0,
      requestsInTurn: 0,
    });
    socket.once('close', () => this.handleClose(socket));
  }

  /** Releases what a connection holds, as it is closed or belongs to another protocol now. */
  private forget(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    this.connections.delete(socket);
    this.budget.close(connection.share);
  }

  /**
   * Releases a closed connection. A handler in progress keeps its request, which would
   * keep all pipelined requests that were read with it through the server's listeners.
   */
  private handleClose(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    this.forget(socket);
    connection.collector?.discard();
    for (const response of connection.responses)
      response.removeAllListeners('finish');
    socket.removeAllListeners();
    socket.on('error', () => undefined);
  }

  private receive(
    connection: Connection,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    handle: RequestListener,
  ): void {
    const {limits, getMaxBodyBytes} = this.options;
    const {share, responses} = connection;
    const {rawHeaders, headers} = incoming;
    const heldBytes = getHeldBytes(incoming);
    const maxBodyBytes = getMaxBodyBytes(incoming);
    const declaredBytes = Number(headers['content-length'] ?? 0);
    const refuse = (status: number, cause: RefusalReason, reason: string) =>
      this.refuse(connection, incoming, status, cause, reason);
    const pendingCount = Math.max(
      responses.size,
      this.countInTurn(connection) - 1,
    );
    if (pendingCount >= limits.maxRequestsInProgress) {
      this.report('pipelining', `${pendingCount} requests before`);
      cutOff(connection.socket);
      return;
    }
    if (rawHeaders.length / 2 > limits.maxHeaderCount) {
      const reason = `the request has over ${limits.maxHeaderCount} header fields; send fewer`;
      refuse(431, 'header-count', reason);
      return;
    }
    if (declaredBytes > maxBodyBytes) {
      refuse(413, 'body-size', renderBodyReason(maxBodyBytes));
      return;
    }
    if (
      !this.reserveUnsent(connection) ||
      !this.budget.reserve(share, heldBytes, this.getNowMs())
    ) {
      refuse(503, 'memory', MEMORY_REASON);
      return;
    }
    responses.add(outgoing);
    this.limitResponse(connection, outgoing);
    outgoing.once('close', () => {
      responses.delete(outgoing);
      this.updatePhase(connection);
    });
    if (declaredBytes > 0 || headers['transfer-encoding'] !== undefined) {
      this.readBody(connection, incoming, heldBytes, () =>
        handle(incoming, outgoing),
      );
    } else {
      // All pipelined requests of one read are known only after it. None of them is
      // handled if they are too many.
      process.nextTick(() => {
        if (isUsable(connection))
          this.dispatch(connection, heldBytes, () =>
            handle(incoming, outgoing),
          );
      });
    }
    this.updatePhase(connection);
  }

  /**
   * Counts the requests of a connection in this turn of the event loop. Without a bound on
   * them, the handlers of one crowd would delay all timers of the process.
   */
  private countInTurn(connection: Connection): number {
    this.startTurn();
    if (connection.turn !== this.turn) {
      connection.turn = this.turn;
      connection.requestsInTurn = 0;
    }
    return ++connection.requestsInTurn;
  }

  private startTurn(): void {
    if (this.isTurnCounted) return;
    this.isTurnCounted = true;
    this.turnStartMs = this.options.clock.getMonotonicMs();
    setImmediate(() => {
      this.turn++;
      this.isTurnCounted = false;
    });
  }

  /** Counts a small piece of a body, and checks whether there are too many. */
  private hasManySmallPieces(): boolean {
    const nowMs = this.options.clock.getMonotonicMs();
    if (nowMs - this.smallPiecesSinceMs >= SMALL_PIECE_WINDOW_MS) {
      this.smallPiecesSinceMs = nowMs;
      this.smallPieces = 0;
    }
    return ++this.smallPieces > MAX_SMALL_PIECES_PER_WINDOW;
  }

  /** Gets the time of the present turn of the event loop, which is read once. */
  private getNowMs(): number {
    this.startTurn();
    return this.turnStartMs;
  }

  /**
   * Reserves what the client has not read of the responses of its connection. It grows only
   * with requests and large responses, so that it is looked at when one arrives or is queued.
   * @param addedBytes - Bytes that are about to be queued.
   */
  private reserveUnsent(connection: Connection, addedBytes = 0): boolean {
    const {socket, responses, share, unsentBytes} = connection;
    if (responses.size === 0 && unsentBytes === 0) return true;
    let bytes = socket.writableLength + addedBytes;
    for (const response of responses) bytes += response.writableLength;
    const growthBytes = bytes - unsentBytes;
    if (growthBytes > 0) {
      if (!this.budget.reserve(share, growthBytes, this.getNowMs()))
        return false;
    } else {
      this.budget.release(share, -growthBytes);
    }
    connection.unsentBytes = bytes;
    return true;
  }

  /** Reads a body, and calls the handler at its end. */
  private readBody(
    connection: Connection,
    incoming: BufferedIncoming,
    headBytes: number,
    handle: () => unknown,
  ): void {
    const {usesBody, readsBodyAtOnce, getMaxBodyBytes} = this.options;
    const {share} = connection;
    const maxBodyBytes = getMaxBodyBytes(incoming);
    const declaredBytes = Number(incoming.headers['content-length'] ?? NaN);
    // Small bodies cost less than to find out whether they are used.
    const isSmall = declaredBytes <= BLOCK_BYTES;
    const isDiscarded = !isSmall && !usesBody(incoming);
    const collector = BodyCollector.create(this.pool);
    connection.collector = collector;
    let wholeBody: Buffer | undefined;
    let receivedBytes = 0;
    let heldBytes = headBytes;
    let isRefused = false;
    const reserve = (bytes: number) => {
      if (!this.budget.reserve(share, bytes, this.getNowMs())) return false;
      heldBytes += bytes;
      return true;
    };
    const refuse = (status: number, cause: RefusalReason, reason: string) => {
      isRefused = true;
      collector.discard();
      this.refuse(connection, incoming, status, cause, reason);
    };
    incoming.on('data', (piece: Buffer) => {
      if (isRefused || !isUsable(connection)) return;
      receivedBytes += piece.length;
      this.garbage.add(piece.length + PIECE_BYTES);
      if (receivedBytes > maxBodyBytes) {
        refuse(413, 'body-size', renderBodyReason(maxBodyBytes));
        return;
      }
      if (piece.length < SMALL_PIECE_BYTES && this.hasManySmallPieces()) {
        isRefused = true;
        collector.discard();
        this.report('small-pieces', 'connections are closed');
        // Reading the rest to send a response would cost as much as the body.
        cutOff(connection.socket);
        return;
      }
      if (isDiscarded) return;
      const isWhole = piece.length === declaredBytes;
      const growthBytes = isWhole
        ? piece.length
        : collector.getGrowthBytes(piece.length);
      if (!reserve(growthBytes)) {
        refuse(503, 'memory', MEMORY_REASON);
        return;
      }
      if (isWhole) wholeBody = piece;
      else collector.append(piece);
    });
    incoming.once('end', () => {
      if (isRefused || !isUsable(connection)) return;
      const parsedBytes = isDiscarded
        ? 0
        : receivedBytes * PARSED_BYTES_PER_BODY_BYTE;
      const extraBytes = headBytes + parsedBytes - heldBytes;
      if (extraBytes > 0 && !reserve(extraBytes)) {
        refuse(503, 'memory', MEMORY_REASON);
        return;
      }
      connection.collector = undefined;
      this.updatePhase(connection);
      if (wholeBody === undefined && readsBodyAtOnce) {
        incoming.rawBody = collector.viewBody();
        this.dispatch(connection, heldBytes, handle);
        // Without the field, a later attempt to read the body fails.
        delete incoming.rawBody;
        collector.discard();
        return;
      }
      if (wholeBody === undefined) this.garbage.add(receivedBytes);
      incoming.rawBody = wholeBody ?? collector.takeBody();
      this.dispatch(connection, heldBytes, handle);
    });
  }

  /**
   * Calls a handler. What its request holds is reserved until the handler has ended, even
   * if the connection is closed before; otherwise clients that come and go would leave
   * any number of handlers behind.
   */
  private dispatch(
    {share}: Connection,
    heldBytes: number,
    handle: () => unknown,
  ): void {
    const isDetached = this.budget.detach(share, heldBytes);
    const release = () => {
      if (isDetached) this.budget.releaseDetached(heldBytes);
    };
    // The handlers of the HTTP adapter return a promise, although their type does not say so.
    const result = handle();
    if (result instanceof Promise) result.then(release, release);
    else release();
  }

  /**
   * Refuses a request that no handler has seen, and closes its connection. With earlier
   * requests in progress, whose responses would have to come first, there is no response.
   */
  private refuse(
    connection: Connection,
    incoming: IncomingMessage,
    status: number,
    cause: RefusalReason,
    reason: string,
  ): void {
    const {clock} = this.options;
    const {socket, share, responses} = connection;
    this.report(cause, reason);
    this.garbage.add(getHeldBytes(incoming));
    const isOnlyRequest =
      responses.size === 0 ||
      (responses.size === 1 && connection.collector !== undefined);
    this.budget.setPhase(share, 'closing', this.getNowMs());
    if (!isOnlyRequest) {
      socket.destroy();
      return;
    }
    let lingerBytes = 0;
    incoming.on('data', (piece: Buffer) => {
      lingerBytes += piece.length;
      this.garbage.add(piece.length + PIECE_BYTES);
      if (lingerBytes > LINGER_BYTES) socket.destroy();
    });
    incoming.once('end', () => socket.destroySoon());
    const timer = clock.setTimer(LINGER_MS, () => socket.destroy());
    socket.once('close', () => timer.cancel());
    socket.end(this.renderRefusal(status, reason));
  }

  /**
   * Reserves the bytes of a large response before they are queued on the connection. The
   * connection is closed if there is no room: the client does not learn the outcome.
   */
  private limitResponse(
    connection: Connection,
    outgoing: ServerResponse,
  ): void {
    const {socket} = connection;
    const fits = (chunk: unknown) => {
      const bytes = getChunkBytes(chunk);
      // Smaller responses are counted when the next request arrives.
      if (bytes < BLOCK_BYTES) return true;
      if (this.reserveUnsent(connection, bytes)) return true;
      if (!socket.destroyed) this.report('memory', 'unsent responses');
      socket.destroy();
      return false;
    };
    const write = outgoing.write.bind(outgoing) as (
      ...args: unknown[]
    ) => boolean;
    const end = outgoing.end.bind(outgoing) as (
      ...args: unknown[]
    ) => ServerResponse;
    outgoing.write = (...args: unknown[]) => fits(args[0]) && write(...args);
    outgoing.end = (...args: unknown[]) =>
      fits(args[0]) ? end(...args) : outgoing;
    outgoing.once('close', () => this.reserveUnsent(connection));
  }

  private updatePhase(connection: Connection): void {
    const {share, responses, socket} = connection;
    if (!isUsable(connection)) return;
    let phase: ClientPhase = 'idle';
    if (connection.collector !== undefined) phase = 'receiving';
    else if (responses.size > 0)
      phase = isSending(responses) ? 'sending' : 'working';
    if (phase === share.phase) return;
    const bytes = phase === 'sending' ? getSentBytes(socket) : socket.bytesRead;
    connection.phaseStartBytes = bytes;
    this.budget.setPhase(share, phase, this.getNowMs());
  }

  private scheduleSweep(): void {
    this.sweepTimer = this.options.clock.setTimer(SWEEP_INTERVAL_MS, () => {
      this.sweep();
      this.scheduleSweep();
    });
  }

  /** Closes connections on which a body or a response makes too little progress. */
  private sweep(): void {
    const {clock, limits} = this.options;
    const nowMs = clock.getMonotonicMs();
    for (const connection of this.connections.values()) {
      const {share, responses, socket} = connection;
      if (responses.size > 0) this.updatePhase(connection);
      this.reserveUnsent(connection);
      if (share.phase !== 'receiving' && share.phase !== 'sending') continue;
      const durationMs = nowMs - share.phaseStartMs;
      if (durationMs <= limits.progressGraceMs) continue;
      const bytes =
        share.phase === 'sending' ? getSentBytes(socket) : socket.bytesRead;
      const rate =
        ((bytes - connection.phaseStartBytes) * MS_PER_SECOND) / durationMs;
      if (rate >= limits.minBytesPerSecond) continue;
      this.report('slow', `${share.phase} at ${Math.round(rate)} bytes/s`);
      socket.destroy();
    }
  }

  /** Renders a whole response that ends its connection. */
  private renderRefusal(status: number, reason: string): string {
    const body = JSON.stringify({error: {reason}});
    const fields = [
      'connection: close',
      'content-type: application/json',
      `content-length: ${Buffer.byteLength(body)}`,
      ...(status === 503 ? ['retry-after: 1'] : []),
      ...Object.entries(this.options.refusalHeaders).map(
        ([name, value]) => `${name}: ${value}`,
      ),
    ];
    const statusLine = `HTTP/1.1 ${status} ${REASON_PHRASES[status]}`;
    return `${[statusLine, ...fields].join('\r\n')}\r\n\r\n${body}`;
  }

  private report(reason: RefusalReason, detail: string): void {
    this.options.onRefusal(reason, detail);
  }
}

const MEMORY_REASON = 'this node holds too many requests; try again';

/** Checks whether requests of a connection are still served. */
function isUsable({share, socket}: Connection): boolean {
  return share.isOpen && share.phase !== 'closing' && !socket.destroyed;
}

/** Checks whether the oldest response is complete and waits for the client to read it. */
function isSending(responses: ReadonlySet<ServerResponse>): boolean {
  const [oldest] = responses;
  return oldest.writableEnded;
}

/** Result of the parser's callback after which it reads no further. */
const STOP_PARSING = 2;

/**
 * Closes a connection and stops the parser in the bytes that it is reading. One read of
 * 64 KB has up to 2,500 requests, which the server would keep until the end of this turn of
 * the event loop: 80 connections took 128 MB. The parser's callback is not documented;
 * without it, only the connection is closed.
 */
function cutOff(socket: Socket): void {
  const {parser} = socket as {parser?: {onIncoming?: () => number} | null};
  if (parser?.onIncoming) parser.onIncoming = () => STOP_PARSING;
  socket.destroy();
}

/** Gets the memory that a request takes without its body. */
function getHeldBytes({rawHeaders}: IncomingMessage): number {
  return REQUEST_BYTES + rawHeaders.length * HEADER_STRING_BYTES;
}

function getSentBytes(socket: Socket): number {
  return socket.bytesWritten - socket.writableLength;
}

function renderBodyReason(maxBodyBytes: number): string {
  return `the body exceeds ${maxBodyBytes} bytes; shorten it`;
}

function getChunkBytes(chunk: unknown): number {
  if (typeof chunk === 'string') return Buffer.byteLength(chunk);
  return chunk instanceof Uint8Array ? chunk.length : 0;
}
