/** Reads the files for TLS. */

import {ok, Result} from 'neverthrow';
import {InvalidInputError} from '@mustardlug/base/errors';
import {readTextFile} from '@mustardlug/base/settings_reader';
import {z} from 'zod';

/** Schema of the files for TLS. */
export const tlsSettingsSchema = z.strictObject({
  certificateFile: z.string(),
  keyFile: z.string(),
  /** Certificate authority that peers' certificates must come from. */
  authorityFile: z.string(),
});

/** Files for TLS. */
export type TlsSettings = z.infer<typeof tlsSettingsSchema>;

/** Contents of the TLS files, as Node.js expects them. */
export interface TlsMaterial {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/**
 * Reads certificate, key and authority.
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
