/** Connections to all other entry processes. */

import {IncomingMessage, Server} from 'node:http';
import {Duplex} from 'node:stream';
import {WebSocket, WebSocketServer} from 'ws';
import {Clock, Timer} from '@mustardlug/base/clock';
import {HelloMessage, PROTOCOL_VERSION} from '@mustardlug/protocol/messages';
import {MessageLink} from '@mustardlug/protocol/message_link';
import {PeerChannel, PeerHandler} from '@mustardlug/protocol/peer_channel';
import {PeerKey} from '@mustardlug/protocol/peer_key';
import {LinkTraffic, WsMessageLink} from '@mustardlug/protocol/ws_message_link';
import {TlsMaterial} from '@mustardlug/runtime/tls_files';

/** Address of another entry process. */
export interface PeerAddress {
  readonly nodeId: string;
  readonly region: string;
  readonly host: string;
  readonly port: number;
}

/** Options of the network. */
export interface PeerNetworkOptions {
  readonly self: HelloMessage;
  readonly clock: Clock;
  readonly key: PeerKey;
  readonly handler: PeerHandler;
  readonly heartbeatMs: number;
  readonly silenceMs: number;
  readonly compressBetweenRegions: boolean;
  readonly tls: TlsMaterial | undefined;
  /** Called when a connection with a wrong key was refused. */
  readonly onKeyRefused: (remoteAddress: string) => void;
}

interface Dialer {
  readonly address: PeerAddress;
  timer: Timer | undefined;
  delayMs: number;
  isStopped: boolean;
}

const FIRST_REDIAL_MS = 200;
const MAX_REDIAL_MS = 2_000;
const HANDSHAKE_TIMEOUT_MS = 2_000;
const COMPRESSION_THRESHOLD_BYTES = 1_024;
const MAX_MESSAGE_BYTES = 17 * 1024 * 1024;
const UNAUTHORIZED_ANSWER =
  'HTTP/1.1 401 Unauthorized\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';

/** Dials peers with a greater id, accepts the others, and keeps one channel a peer. */
export class PeerNetwork {
  /** Bytes of inner messages. */
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
   * @param options - Own introduction, key, timing and handler.
   */
  static create(options: PeerNetworkOptions): PeerNetwork {
    return new PeerNetwork(options);
  }

  /**
   * Accepts inner connections on an HTTP server.
   * @param server - Server to add to.
   */
  listen(server: Server): void {
    server.on('upgrade', (request, socket, head) =>
      this.handleUpgrade(request, socket, head),
    );
  }

  /**
   * Sets the peers to connect to.
   * @param addresses - Addresses of all other entries.
   */
  setPeers(addresses: readonly PeerAddress[]): void {
    const wanted = new Map(addresses.map(peer => [peer.nodeId, peer]));
    for (const [nodeId, dialer] of this.dialers) {
      const address = wanted.get(nodeId);
      const isSame =
        address?.host === dialer.address.host &&
        address.port === dialer.address.port;
      if (!isSame) this.stopDialer(nodeId, dialer);
    }
    this.removeGoneChannels(wanted);
    for (const address of addresses) {
      const isOurs = this.options.self.nodeId < address.nodeId;
      if (isOurs && !this.dialers.has(address.nodeId)) this.addDialer(address);
    }
  }

  /** Gets all channels, linked or not. */
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

  /** Closes all connections. */
  close(): void {
    this.isClosed = true;
    for (const [nodeId, dialer] of this.dialers)
      this.stopDialer(nodeId, dialer);
    for (const channel of this.channels.values()) channel.close('planned stop');
    this.server.close();
  }

  private removeGoneChannels(wanted: ReadonlyMap<string, PeerAddress>): void {
    for (const [nodeId, channel] of this.channels) {
      const isGone = !wanted.has(nodeId) && !channel.isLinked();
      if (isGone && channel.getOpenCount() === 0) this.channels.delete(nodeId);
    }
  }

  private addDialer(address: PeerAddress): void {
    const dialer: Dialer = {
      address,
      timer: undefined,
      delayMs: FIRST_REDIAL_MS,
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
    socket.on('open', () => this.introduce(socket, true));
    socket.on('close', () => {
      if (isLinked) dialer.delayMs = FIRST_REDIAL_MS;
      this.scheduleDial(dialer);
    });
  }

  private scheduleDial(dialer: Dialer): void {
    if (dialer.isStopped || this.isClosed) return;
    dialer.timer = this.options.clock.setTimer(dialer.delayMs, () =>
      this.dial(dialer),
    );
    dialer.delayMs = Math.min(dialer.delayMs * 2, MAX_REDIAL_MS);
  }

  private openSocket(address: PeerAddress): WebSocket {
    const {tls, key, self} = this.options;
    const scheme = tls === undefined ? 'ws' : 'wss';
    const isFar = address.region !== self.region;
    const compresses = this.options.compressBetweenRegions && isFar;
    return new WebSocket(`${scheme}://${address.host}:${address.port}/inner`, {
      headers: {authorization: key.getHeader()},
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: compresses
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
      socket.end(UNAUTHORIZED_ANSWER);
      return;
    }
    this.server.handleUpgrade(request, socket, head, webSocket =>
      this.introduce(webSocket, false),
    );
  }

  /** Exchanges introductions, then hands the link to the peer's channel. */
  private introduce(socket: WebSocket, isDialer: boolean): void {
    const link = WsMessageLink.create(socket, this.traffic);
    const timeout = this.options.clock.setTimer(HANDSHAKE_TIMEOUT_MS, () =>
      link.close('no introduction in time'),
    );
    if (isDialer) link.send(this.options.self);
    link.setListener({
      onMessage: message => {
        timeout.cancel();
        if (message.type !== 'hello' || !isCompatible(message)) {
          link.close('the first message was no compatible introduction');
          return;
        }
        if (!isDialer) link.send(this.options.self);
        this.attach(message, link);
      },
      onClose: () => timeout.cancel(),
    });
  }

  private attach(peer: HelloMessage, link: MessageLink): void {
    if (this.isClosed) return link.close('planned stop');
    const known = this.channels.get(peer.nodeId);
    if (known?.getPeer().incarnation === peer.incarnation) {
      return known.attachLink(link);
    }
    known?.retire();
    const {clock, handler, heartbeatMs, silenceMs} = this.options;
    const channel = PeerChannel.create({
      peer,
      clock,
      handler,
      heartbeatMs,
      silenceMs,
    });
    this.channels.set(peer.nodeId, channel);
    channel.attachLink(link);
  }
}

function isCompatible(hello: HelloMessage): boolean {
  return hello.protocolVersion === PROTOCOL_VERSION;
}
