/** Repeats reading files that another program may be rewriting. */

import {Clock} from '@mustardlug/base/clock';
import {AppError} from '@mustardlug/base/errors';
import {Result} from 'neverthrow';

/**
 * Time for which invalid files are read again. A file that is rewritten in place is empty or
 * incomplete for milliseconds, or longer if its writer has a part of a core. Operators still
 * see the error of a file that stays invalid within seconds.
 */
export const INVALID_INPUT_TIMEOUT_MS = 2_000;

const READ_INTERVAL_MS = 20;

/**
 * Calls a function again while it returns `invalid-input`, for a limited time.
 * @param clock - Clock for the time limit.
 * @param read - Reads files and returns what they contain.
 * @returns The first other result, or the last `invalid-input`.
 */
export async function retryInvalidInput<T>(
  clock: Clock,
  read: () => Result<T, AppError>,
): Promise<Result<T, AppError>> {
  const startMs = clock.getMonotonicMs();
  for (;;) {
    const result = read();
    if (result.isOk() || result.error.kind !== 'invalid-input') return result;
    const elapsedMs = clock.getMonotonicMs() - startMs;
    if (elapsedMs >= INVALID_INPUT_TIMEOUT_MS) return result;
    await clock.sleep(READ_INTERVAL_MS);
  }
}
