/** A message link over a WebSocket. */

import {WebSocket} from 'ws';
import {MessageCodec} from './message_codec.js';
import {InnerMessage} from './messages.js';
import {LinkListener, MessageLink} from './message_link.js';

/** Counts of a link's traffic, in bytes of WebSocket payload. */
export interface LinkTraffic {
  sentBytes: number;
  receivedBytes: number;
}

/** Message link over an open WebSocket. */
export class WsMessageLink extends MessageLink {
  private readonly codec = MessageCodec.create();
  private listener: LinkListener | undefined;
  private readonly early: InnerMessage[] = [];
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
   * @param traffic - Counters to add to.
   */
  static create(socket: WebSocket, traffic: LinkTraffic): WsMessageLink {
    const link = new WsMessageLink(socket, traffic);
    socket.on('message', data => link.handleData(data as Buffer));
    socket.on('error', error => link.finish(error.message));
    socket.on('close', () => link.finish('closed by the other end'));
    return link;
  }

  override setListener(listener: LinkListener): void {
    this.listener = listener;
    for (const message of this.early.splice(0)) listener.onMessage(message);
    if (this.isClosed) listener.onClose('closed before it was used');
  }

  override send(message: InnerMessage): void {
    if (this.isClosed || this.socket.readyState !== WebSocket.OPEN) return;
    const bytes = this.codec.encode(message);
    this.traffic.sentBytes += bytes.length;
    this.socket.send(bytes);
  }

  override close(reason: string): void {
    this.finish(reason);
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
    if (this.listener === undefined) this.early.push(decoded.value);
    else this.listener.onMessage(decoded.value);
  }

  private finish(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.listener?.onClose(reason);
  }
}
