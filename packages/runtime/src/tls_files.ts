/** Reads the certificate, key and CA files for TLS. */

import {ok, Result} from 'neverthrow';
import {InvalidInputError} from '@mustardlug/base/errors';
import {readTextFile} from '@mustardlug/base/json_reader';
import {z} from 'zod';

/** Schema of the TLS settings. */
export const tlsSettingsSchema = z.strictObject({
  certificateFile: z.string(),
  keyFile: z.string(),
  /** CA certificate against which peer certificates are verified. */
  authorityFile: z.string(),
});

/** Paths of the TLS files. */
export type TlsSettings = z.infer<typeof tlsSettingsSchema>;

/** Contents of the TLS files, under the option names of `node:tls`. */
export interface TlsMaterial {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/**
 * Reads the TLS files.
 * @param settings - Paths of the files, or `undefined` for plain TCP.
 */
export function readTlsFiles(
  settings: TlsSettings | undefined,
): Result<TlsMaterial | undefined, InvalidInputError> {
  if (settings === undefined) return ok(undefined);
  return readTextFile(settings.certificateFile).andThen(cert =>
    readTextFile(settings.keyFile).andThen(key =>
      readTextFile(settings.authorityFile).map(ca => ({cert, key, ca})),
    ),
  );
}
