/** A connection that carries messages between two entry processes. */

import {InnerMessage} from './messages.js';

/** Receives what happens on a link. */
export interface LinkListener {
  /** A whole message arrived. */
  onMessage(message: InnerMessage): void;
  /** The link closed; nothing more arrives. */
  onClose(reason: string): void;
}

/** An open, ordered, unacknowledged connection. */
export abstract class MessageLink {
  /**
   * Sets the receiver of messages.
   * @param listener - Receiver; replaces an earlier one.
   */
  abstract setListener(listener: LinkListener): void;

  /**
   * Sends a message, or drops it when the link is closed.
   * @param message - Message to send.
   */
  abstract send(message: InnerMessage): void;

  /**
   * Closes the link at once.
   * @param reason - Reason for the log.
   */
  abstract close(reason: string): void;
}
