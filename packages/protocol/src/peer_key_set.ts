/** Shared keys that authenticate peer connections and operator calls. */

import {createHash, timingSafeEqual} from 'node:crypto';
import {readTextFile} from '@mustardlug/base/json_reader';
import {err, ok, Result} from 'neverthrow';
import {
  createInvalidInputError,
  InvalidInputError,
} from '@mustardlug/base/errors';

const MIN_KEY_LENGTH = 16;
const BEARER_PREFIX = 'Bearer ';

/** Set of accepted keys. The first one is sent. */
export class PeerKeySet {
  private constructor(private readonly keys: readonly string[]) {}

  /**
   * Creates a key set.
   * @param keys - Accepted keys, starting with the one to send.
   */
  static create(keys: readonly string[]): PeerKeySet {
    return new PeerKeySet(keys);
  }

  /**
   * Reads keys from a file with one key per line. The first is sent, all are accepted.
   * @param path - Path of the file.
   */
  static read(path: string): Result<PeerKeySet, InvalidInputError> {
    return readTextFile(path).andThen(text => {
      const keys = text
        .split('\n')
        .map(line => line.trim())
        .filter(line => line !== '');
      const isUsable =
        keys.length > 0 && keys.every(key => key.length >= MIN_KEY_LENGTH);
      if (isUsable) return ok(new PeerKeySet(keys));
      const problem = {
        path: '(whole file)',
        expected: `expected one key per line, each of at least ${MIN_KEY_LENGTH} characters`,
        remedy: 'write a longer random key into the file',
      };
      return err(createInvalidInputError(path, [problem]));
    });
  }

  /** Gets the authorization header value to send. */
  getAuthorizationHeader(): string {
    return BEARER_PREFIX + this.keys[0];
  }

  /**
   * Checks a received authorization header in constant time.
   * @param header - Value of the header, if any.
   */
  isAccepted(header: string | undefined): boolean {
    if (header === undefined || !header.startsWith(BEARER_PREFIX)) return false;
    const received = getHash(header.slice(BEARER_PREFIX.length));
    let isFound = false;
    for (const key of this.keys) {
      if (timingSafeEqual(received, getHash(key))) isFound = true;
    }
    return isFound;
  }
}

function getHash(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
