/** Interface of the object store of the platform. */

import {Result} from 'neverthrow';
import {NotFoundError, UnavailableError} from '@mustardlug/base/errors';

/** Errors of a read. */
export type ObjectReadError = NotFoundError | UnavailableError;

/** Client of the object store. */
export abstract class ObjectStore {
  /**
   * Stores an object.
   * @param name - Name of the object.
   * @param text - Content.
   */
  abstract putObject(
    name: string,
    text: string,
  ): Promise<Result<void, UnavailableError>>;

  /**
   * Gets an object.
   * @param name - Name of the object.
   */
  abstract getObject(name: string): Promise<Result<string, ObjectReadError>>;
}
