/** Connections to the other entry processes. */

import {IncomingMessage, Server} from 'node:http';
import {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {WebSocket, WebSocketServer} from 'ws';
import {Clock, Timer} from '@mustardlug/base/clock';
import {HelloMessage, PROTOCOL_VERSION} from '@mustardlug/protocol/messages';
import {MessageLink} from '@mustardlug/protocol/message_link';
import {PeerChannel, PeerHandler} from '@mustardlug/protocol/peer_channel';
import {PeerKeySet} from '@mustardlug/protocol/peer_key_set';
import {ForwardBudget} from '@mustardlug/protocol/forward_budget';
import {LinkTraffic, WsMessageLink} from '@mustardlug/protocol/ws_message_link';
import {TlsMaterial} from '@mustardlug/runtime/tls_files';

/** Address of another entry process. */
export interface PeerAddress {
  readonly nodeId: string;
  readonly region: string;
  readonly host: string;
  readonly port: number;
}

export interface PeerNetworkOptions {
  readonly self: HelloMessage;
  readonly clock: Clock;
  readonly key: PeerKeySet;
  readonly handler: PeerHandler;
  readonly heartbeatMs: number;
  readonly silenceMs: number;
  readonly compressBetweenRegions: boolean;
  readonly tls: TlsMaterial | undefined;
  /** Budget for the bodies of requests that peers forward. */
  readonly forwardBudget: ForwardBudget;
  /** Called for each forwarded request that was refused for want of memory. */
  readonly onRequestRefused: (peer: HelloMessage, id: string) => void;
  /** Called for each connection with a missing or invalid key, which is rejected. */
  readonly onKeyRefused: (remoteAddress: string) => void;
}

/** State of the outgoing connection to a peer, which is reopened until the dialer is stopped. */
interface Dialer {
  readonly address: PeerAddress;
  timer: Timer | undefined;
  /** Delay before the next attempt; doubles with each attempt that yields no link. */
  delayMs: number;
  isStopped: boolean;
}

const MIN_RECONNECT_DELAY_MS = 200;
const MAX_RECONNECT_DELAY_MS = 2_000;
const HANDSHAKE_TIMEOUT_MS = 2_000;
const COMPRESSION_THRESHOLD_BYTES = 1_024;
const MAX_MESSAGE_BYTES = 17 * 1024 * 1024;
const UNAUTHORIZED_RESPONSE =
  'HTTP/1.1 401 Unauthorized\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';

/**
 * Maintains one channel per peer. Of each pair of nodes the one with the smaller id
 * dials, so that a pair does not connect twice.
 */
export class PeerNetwork {
  /** Bytes sent and received over all links. */
  readonly traffic: LinkTraffic = {sentBytes: 0, receivedBytes: 0};
  private readonly channels = new Map<string, PeerChannel>();
  private readonly dialers = new Map<string, Dialer>();
  private readonly server: WebSocketServer;
  private isClosed = false;

  private constructor(private readonly options: PeerNetworkOptions) {
    this.server = new WebSocketServer({
      noServer: true,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: options.compressBetweenRegions
        ? {threshold: COMPRESSION_THRESHOLD_BYTES}
        : false,
    });
  }

  /**
   * Creates a network without peers.
   * @param options - Own hello message, key, timing and handler.
   */
  static create(options: PeerNetworkOptions): PeerNetwork {
    return new PeerNetwork(options);
  }

  /**
   * Accepts peer connections on an HTTP server.
   * @param server - Server whose upgrade requests to handle.
   */
  listen(server: Server): void {
    server.on('upgrade', (request, socket, head) =>
      this.handleUpgrade(request, socket, head),
    );
  }

  /**
   * Replaces the list of peers, and starts and stops dialers accordingly.
   * @param addresses - Addresses of all other entries.
   */
  setPeers(addresses: readonly PeerAddress[]): void {
    const peersById = new Map(addresses.map(peer => [peer.nodeId, peer]));
    for (const [nodeId, dialer] of this.dialers) {
      const address = peersById.get(nodeId);
      const isUnchanged =
        address?.host === dialer.address.host &&
        address.port === dialer.address.port;
      if (!isUnchanged) this.stopDialer(nodeId, dialer);
    }
    this.removeStaleChannels(peersById);
    for (const address of addresses) {
      const isDialedLocally = this.options.self.nodeId < address.nodeId;
      if (isDialedLocally && !this.dialers.has(address.nodeId))
        this.addDialer(address);
    }
  }

  /** Gets all channels, including those without a link. */
  getChannels(): PeerChannel[] {
    return [...this.channels.values()];
  }

  /**
   * Gets the channel to a peer.
   * @param nodeId - Id of the peer.
   */
  getChannel(nodeId: string): PeerChannel | undefined {
    return this.channels.get(nodeId);
  }

  close(): void {
    this.isClosed = true;
    for (const [nodeId, dialer] of this.dialers)
      this.stopDialer(nodeId, dialer);
    for (const channel of this.channels.values())
      channel.close('the process is shutting down');
    this.server.close();
  }

  /**
   * Removes the channels of peers that are no longer listed, once their link
   * and all open requests have ended.
   */
  private removeStaleChannels(
    peersById: ReadonlyMap<string, PeerAddress>,
  ): void {
    for (const [nodeId, channel] of this.channels) {
      const isStale = !peersById.has(nodeId) && !channel.isLinked();
      if (isStale && channel.getPendingRequestCount() === 0)
        this.channels.delete(nodeId);
    }
  }

  private addDialer(address: PeerAddress): void {
    const dialer: Dialer = {
      address,
      timer: undefined,
      delayMs: MIN_RECONNECT_DELAY_MS,
      isStopped: false,
    };
    this.dialers.set(address.nodeId, dialer);
    this.dial(dialer);
  }

  private stopDialer(nodeId: string, dialer: Dialer): void {
    dialer.isStopped = true;
    dialer.timer?.cancel();
    this.dialers.delete(nodeId);
  }

  private dial(dialer: Dialer): void {
    if (dialer.isStopped || this.isClosed) return;
    const socket = this.openSocket(dialer.address);
    let isLinked = false;
    socket.on('error', () => undefined);
    socket.on('open', () => socket.once('message', () => (isLinked = true)));
    socket.on('open', () => this.performHandshake(socket, true));
    socket.on('close', () => {
      if (isLinked) dialer.delayMs = MIN_RECONNECT_DELAY_MS;
      this.scheduleReconnect(dialer);
    });
  }

  private scheduleReconnect(dialer: Dialer): void {
    if (dialer.isStopped || this.isClosed) return;
    dialer.timer = this.options.clock.setTimer(dialer.delayMs, () =>
      this.dial(dialer),
    );
    dialer.delayMs = Math.min(dialer.delayMs * 2, MAX_RECONNECT_DELAY_MS);
  }

  private openSocket(address: PeerAddress): WebSocket {
    const {tls, key, self} = this.options;
    const scheme = tls === undefined ? 'ws' : 'wss';
    const isOtherRegion = address.region !== self.region;
    const isCompressed = this.options.compressBetweenRegions && isOtherRegion;
    return new WebSocket(`${scheme}://${address.host}:${address.port}/inner`, {
      headers: {authorization: key.getAuthorizationHeader()},
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: isCompressed
        ? {threshold: COMPRESSION_THRESHOLD_BYTES}
        : false,
      ...tls,
    });
  }

  private handleUpgrade(
    request: IncomingMessage,
    socket: Duplex,
    head: Buffer,
  ): void {
    socket.on('error', () => undefined);
    if (!this.options.key.isAccepted(request.headers.authorization)) {
      this.options.onKeyRefused(request.socket.remoteAddress ?? 'unknown');
      // Closed at once: time limits of the server do not apply to upgraded connections.
      socket.end(UNAUTHORIZED_RESPONSE);
      (socket as Socket).destroySoon();
      return;
    }
    this.server.handleUpgrade(request, socket, head, webSocket =>
      this.performHandshake(webSocket, false),
    );
  }

  /** Exchanges hello messages, then attaches the link to the peer's channel. */
  private performHandshake(socket: WebSocket, isDialer: boolean): void {
    const link = WsMessageLink.create(socket, this.traffic);
    const timeout = this.options.clock.setTimer(HANDSHAKE_TIMEOUT_MS, () =>
      link.close('no hello message before the handshake time-out'),
    );
    if (isDialer) link.send(this.options.self);
    link.setListener({
      onMessage: message => {
        timeout.cancel();
        if (message.type !== 'hello' || !isCompatible(message)) {
          link.close(
            'the first message was not a hello message of a compatible protocol version',
          );
          return;
        }
        if (!isDialer) link.send(this.options.self);
        this.attachLink(message, link);
      },
      onClose: () => timeout.cancel(),
    });
  }

  /**
   * Attaches a link to the channel of the peer, or to a new one if the peer has
   * restarted.
   */
  private attachLink(peer: HelloMessage, link: MessageLink): void {
    if (this.isClosed) return link.close('the process is shutting down');
    const existing = this.channels.get(peer.nodeId);
    if (existing?.getPeer().incarnation === peer.incarnation) {
      return existing.attachLink(link);
    }
    existing?.retire();
    const {clock, handler, heartbeatMs, silenceMs} = this.options;
    const {forwardBudget, onRequestRefused} = this.options;
    const channel = PeerChannel.create({
      peer,
      clock,
      handler,
      heartbeatMs,
      silenceMs,
      forwardBudget,
      onRequestRefused,
    });
    this.channels.set(peer.nodeId, channel);
    channel.attachLink(link);
  }
}

function isCompatible(hello: HelloMessage): boolean {
  return hello.protocolVersion === PROTOCOL_VERSION;
}
