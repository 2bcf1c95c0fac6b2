/** A pair of links in virtual time that can be cut or go silent. */

import {Clock} from '@mustardlug/base/clock';
import {InnerMessage} from '@mustardlug/protocol/messages';
import {LinkListener, MessageLink} from '@mustardlug/protocol/message_link';

/** Called for each message as it arrives. */
export type DeliveryObserver = (message: InnerMessage) => void;

/** One end of a pair. */
export class MemoryLink extends MessageLink {
  private listener: LinkListener | undefined;
  private isClosed = false;
  /** Messages to the other end vanish. */
  isSilent = false;
  private peer!: MemoryLink;

  private constructor(
    private readonly clock: Clock,
    private readonly delayMs: number,
    private readonly onDelivery: DeliveryObserver,
  ) {
    super();
  }

  /** Creates two connected ends, each with the clock of its process. */
  static createPair(
    left: Clock,
    right: Clock,
    delayMs: number,
    onDelivery: DeliveryObserver,
  ): [MemoryLink, MemoryLink] {
    const near = new MemoryLink(left, delayMs, onDelivery);
    const far = new MemoryLink(right, delayMs, onDelivery);
    near.peer = far;
    far.peer = near;
    return [near, far];
  }

  override setListener(listener: LinkListener): void {
    this.listener = listener;
  }

  override send(message: InnerMessage): void {
    if (this.isClosed || this.isSilent) return;
    const {peer} = this;
    peer.clock.setTimer(this.delayMs, () => peer.deliver(message));
  }

  override close(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    const {peer} = this;
    if (this.isSilent) return;
    peer.clock.setTimer(this.delayMs, () => peer.finish(reason));
  }

  /** Breaks the connection for both ends at once. */
  cut(): void {
    this.finish('connection reset');
    this.peer.finish('connection reset');
  }

  /** Makes both directions silent for good. */
  silence(): void {
    this.isSilent = true;
    this.peer.isSilent = true;
  }

  private deliver(message: InnerMessage): void {
    if (this.isClosed) return;
    this.onDelivery(message);
    this.listener?.onMessage(message);
  }

  private finish(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.listener?.onClose(reason);
  }
}
