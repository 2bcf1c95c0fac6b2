/** In-memory object store. */

import {err, ok, Result} from 'neverthrow';
import {
  createNotFoundError,
  createUnavailableError,
  UnavailableError,
} from '@mustardlug/base/errors';
import {ObjectReadError, ObjectStore} from '@mustardlug/platform/object_store';

/** Object store that keeps its objects in memory. */
export class MemoryObjectStore extends ObjectStore {
  /** Whether all calls fail; may be changed at any time. */
  isOutage = false;
  private readonly objects = new Map<string, string>();

  private constructor() {
    super();
  }

  static create(): MemoryObjectStore {
    return new MemoryObjectStore();
  }

  override async putObject(
    name: string,
    text: string,
  ): Promise<Result<void, UnavailableError>> {
    if (this.isOutage) return err(createOutageError());
    this.objects.set(name, text);
    return ok(undefined);
  }

  override async getObject(
    name: string,
  ): Promise<Result<string, ObjectReadError>> {
    if (this.isOutage) return err(createOutageError());
    const text = this.objects.get(name);
    if (text !== undefined) return ok(text);
    return err(createNotFoundError(`object ${name} does not exist`));
  }
}

function createOutageError(): UnavailableError {
  return createUnavailableError('the object store did not answer', true);
}
