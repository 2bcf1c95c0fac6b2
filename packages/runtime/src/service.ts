/** A process that serves until it is told to stop. */

import {AppError} from '@mustardlug/base/errors';
import {Result} from 'neverthrow';

/** Events of the life cycle of all services; the event catalogue has them under these names. */
export type ServiceEvent = 'signal-received' | 'settings-read-again';

export abstract class Service {
  /** Opens the listeners and begins to serve. */
  abstract start(): Promise<Result<void, AppError>>;

  /** Shuts down gracefully, also during `start`. Repeated calls return the same promise. */
  abstract drain(): Promise<void>;

  /**
   * Records an event in the log.
   * @param name - Name of the event.
   * @param detail - Text for operators.
   */
  abstract recordServiceEvent(name: ServiceEvent, detail: string): void;
}
