/** In-memory message links in virtual time, with connection resets and message loss. */

import {Clock} from '@mustardlug/base/clock';
import {PeerMessage} from '@mustardlug/protocol/messages';
import {LinkListener, MessageLink} from '@mustardlug/protocol/message_link';

/** Called for each message as it arrives. */
export type DeliveryObserver = (message: PeerMessage) => void;

/** One endpoint of an in-memory connection. */
export class MemoryLink extends MessageLink {
  private listener: LinkListener | undefined;
  private isClosed = false;
  /** Whether messages to the peer are dropped without an error. */
  isSilent = false;
  private peer!: MemoryLink;

  private constructor(
    private readonly clock: Clock,
    private readonly delayMs: number,
    private readonly onDelivery: DeliveryObserver,
  ) {
    super();
  }

  /** Creates two connected endpoints, each with the clock of its process. */
  static createPair(
    left: Clock,
    right: Clock,
    delayMs: number,
    onDelivery: DeliveryObserver,
  ): [MemoryLink, MemoryLink] {
    const leftLink = new MemoryLink(left, delayMs, onDelivery);
    const rightLink = new MemoryLink(right, delayMs, onDelivery);
    leftLink.peer = rightLink;
    rightLink.peer = leftLink;
    return [leftLink, rightLink];
  }

  override setListener(listener: LinkListener): void {
    this.listener = listener;
  }

  override send(message: PeerMessage): void {
    if (this.isClosed || this.isSilent) return;
    const {peer} = this;
    peer.clock.setTimer(this.delayMs, () => peer.deliver(message));
  }

  override close(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    const {peer} = this;
    if (this.isSilent) return;
    peer.clock.setTimer(this.delayMs, () => peer.notifyClosed(reason));
  }

  /** Resets the connection at both endpoints immediately. */
  reset(): void {
    this.notifyClosed('connection reset');
    this.peer.notifyClosed('connection reset');
  }

  /** Drops all further messages in both directions without closing the connection. */
  silence(): void {
    this.isSilent = true;
    this.peer.isSilent = true;
  }

  private deliver(message: PeerMessage): void {
    if (this.isClosed) return;
    this.onDelivery(message);
    this.listener?.onMessage(message);
  }

  private notifyClosed(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.listener?.onClose(reason);
  }
}
