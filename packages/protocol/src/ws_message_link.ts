/** WebSocket implementation of the message link. */

import {WebSocket} from 'ws';
import {MessageCodec} from './message_codec.js';
import {PeerMessage} from './messages.js';
import {LinkListener, MessageLink} from './message_link.js';

/** Traffic counters of a link, in bytes of WebSocket payload. */
export interface LinkTraffic {
  sentBytes: number;
  receivedBytes: number;
}

/** Message link over an open WebSocket. */
export class WsMessageLink extends MessageLink {
  private readonly codec = MessageCodec.create();
  private listener: LinkListener | undefined;
  /** Messages received before a listener was set. */
  private readonly unreadMessages: PeerMessage[] = [];
  private isClosed = false;

  private constructor(
    private readonly socket: WebSocket,
    private readonly traffic: LinkTraffic,
  ) {
    super();
  }

  /**
   * Creates a link over an open socket.
   * @param socket - Open WebSocket.
   * @param traffic - Counters to increment.
   */
  static create(socket: WebSocket, traffic: LinkTraffic): WsMessageLink {
    const link = new WsMessageLink(socket, traffic);
    socket.on('message', data => link.handleData(data as Buffer));
    socket.on('error', error => link.handleClosed(error.message));
    socket.on('close', () => link.handleClosed('closed by the peer'));
    return link;
  }

  override setListener(listener: LinkListener): void {
    this.listener = listener;
    for (const message of this.unreadMessages.splice(0))
      listener.onMessage(message);
    if (this.isClosed) listener.onClose('closed before a listener was set');
  }

  override send(message: PeerMessage): void {
    if (this.isClosed || this.socket.readyState !== WebSocket.OPEN) return;
    const bytes = this.codec.encode(message);
    this.traffic.sentBytes += bytes.length;
    this.socket.send(bytes);
  }

  override close(reason: string): void {
    this.handleClosed(reason);
    this.socket.terminate();
  }

  private handleData(data: Buffer): void {
    if (this.isClosed) return;
    this.traffic.receivedBytes += data.length;
    const decoded = this.codec.decode(data);
    if (decoded.isErr()) {
      this.close(decoded.error.message);
      return;
    }
    if (this.listener === undefined) this.unreadMessages.push(decoded.value);
    else this.listener.onMessage(decoded.value);
  }

  private handleClosed(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.listener?.onClose(reason);
  }
}
