/** An object store in memory. */

import {err, ok, Result} from 'neverthrow';
import {
  createNotFoundError,
  createUnavailableError,
  UnavailableError,
} from '@mustardlug/base/errors';
import {ObjectReadError, ObjectStore} from '@mustardlug/platform/object_store';

/** Objects in memory. */
export class MemoryObjectStore extends ObjectStore {
  /** Whether all calls fail. */
  isOutage = false;
  private readonly objects = new Map<string, string>();

  private constructor() {
    super();
  }

  /** Creates an empty store. */
  static create(): MemoryObjectStore {
    return new MemoryObjectStore();
  }

  override async putObject(
    name: string,
    text: string,
  ): Promise<Result<void, UnavailableError>> {
    if (this.isOutage) return err(createOutage());
    this.objects.set(name, text);
    return ok(undefined);
  }

  override async getObject(
    name: string,
  ): Promise<Result<string, ObjectReadError>> {
    if (this.isOutage) return err(createOutage());
    const text = this.objects.get(name);
    if (text !== undefined) return ok(text);
    return err(createNotFoundError(`object ${name} does not exist`));
  }
}

function createOutage(): UnavailableError {
  return createUnavailableError('the object store did not answer', true);
}
