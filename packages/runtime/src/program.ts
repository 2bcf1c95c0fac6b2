/** Exit statuses, settings files and signal handling, shared by all programs. */

import {dirname, resolve} from 'node:path';
import {Result} from 'neverthrow';
import {z} from 'zod';
import {SystemClock} from '@mustardlug/base/clock';
import {AppError, InvalidInputError} from '@mustardlug/base/errors';
import {readJsonFile} from '@mustardlug/base/json_reader';
import {retryInvalidInput} from './invalid_input_retry.js';
import {Service} from './service.js';
import {TlsSettings} from './tls_files.js';

/** Exit statuses of all programs. */
export const EXIT_STATUS = {
  ok: 0,
  failed: 1,
  invalidInput: 2,
  conflict: 3,
  unavailable: 4,
} as const;

export function getExitStatus(error: AppError): number {
  switch (error.kind) {
    case 'invalid-input':
      return EXIT_STATUS.invalidInput;
    case 'conflict':
      return EXIT_STATUS.conflict;
    case 'unavailable':
      return EXIT_STATUS.unavailable;
    default:
      return EXIT_STATUS.failed;
  }
}

/** Prints an error to standard error and exits with the status for its kind. */
export function exitWithError(program: string, error: AppError): never {
  process.stderr.write(`${program}: ${error.message}\n`);
  process.exit(getExitStatus(error));
}

/** Settings fields that contain file paths. */
interface FileSettings {
  readonly keyFile: string;
  readonly authorityFile?: string | undefined;
  readonly tls?: TlsSettings | undefined;
}

/**
 * Reads a settings file and resolves the relative paths in it against its directory.
 * @param path - Path of the settings file.
 * @param schema - Schema of the settings.
 */
export function readSettings<T extends FileSettings>(
  path: string,
  schema: z.ZodType<T>,
): Result<T, InvalidInputError> {
  const resolveFile = (file: string) => resolve(dirname(path), file);
  return readJsonFile(path, schema).map(settings => ({
    ...settings,
    keyFile: resolveFile(settings.keyFile),
    ...(settings.authorityFile !== undefined && {
      authorityFile: resolveFile(settings.authorityFile),
    }),
    ...(settings.tls !== undefined && {
      tls: {
        certificateFile: resolveFile(settings.tls.certificateFile),
        keyFile: resolveFile(settings.tls.keyFile),
        authorityFile: resolveFile(settings.tls.authorityFile),
      },
    }),
  }));
}

/**
 * Starts a service, which then runs until a signal stops it. Exits if it cannot be started.
 * @param program - Name of the program, for error messages.
 * @param create - Reads the settings and creates the service; called again if they are invalid.
 */
export async function runService(
  program: string,
  create: () => Result<Service, AppError>,
): Promise<void> {
  let earlierError: AppError | undefined;
  const created = await retryInvalidInput(SystemClock.create(), () =>
    create().mapErr(error => (earlierError = error)),
  );
  if (created.isErr()) return exitWithError(program, created.error);
  const service = created.value;
  if (earlierError !== undefined)
    service.recordServiceEvent('settings-read-again', earlierError.message);
  // The entry point of the program handles SIGHUP from its first line on.
  process.on('SIGHUP', () => {
    const detail = 'SIGHUP: no effect, settings are read at the start only';
    service.recordServiceEvent('signal-received', detail);
  });
  // Without a handler, a signal would cut off the requests that the first open listener receives.
  onStopSignal(
    signal => {
      service.recordServiceEvent('signal-received', `${signal}: shutting down`);
      void service.drain().then(() => process.exit(EXIT_STATUS.ok));
    },
    signal => {
      const detail = `${signal}: no effect, already shutting down`;
      service.recordServiceEvent('signal-received', detail);
    },
  );
  const started = await service.start();
  if (started.isErr()) return exitWithError(program, started.error);
}

/**
 * Handles SIGTERM and SIGINT.
 * @param stop - Called on the first of them, of either kind.
 * @param ignore - Called on each later one, which must not cut the shutdown short.
 */
export function onStopSignal(
  stop: (signal: NodeJS.Signals) => void,
  ignore: (signal: NodeJS.Signals) => void = () => undefined,
): void {
  let isStopping = false;
  const handle = (signal: NodeJS.Signals) => {
    if (isStopping) return ignore(signal);
    isStopping = true;
    stop(signal);
  };
  process.on('SIGTERM', handle);
  process.on('SIGINT', handle);
}
