/** A connection that carries messages between two entry processes. */

import {PeerMessage} from './messages.js';

/** Receives the messages and the end of a link. */
export interface LinkListener {
  /** Called for each received message. */
  onMessage(message: PeerMessage): void;
  /** Called when the link has closed. No message follows. */
  onClose(reason: string): void;
}

/** An open connection with ordered delivery and without acknowledgements. */
export abstract class MessageLink {
  /**
   * Sets the listener, replacing the previous one.
   * @param listener - Listener to call.
   */
  abstract setListener(listener: LinkListener): void;

  /**
   * Sends a message. Drops it if the link is closed.
   * @param message - Message to send.
   */
  abstract send(message: PeerMessage): void;

  /**
   * Closes the link without waiting for pending data.
   * @param reason - Reason for the log.
   */
  abstract close(reason: string): void;
}
