/** Reads the certificate, key and CA files for TLS. */

import {createPrivateKey, X509Certificate} from 'node:crypto';
import {err, ok, Result} from 'neverthrow';
import {
  createInvalidInputError,
  InvalidInputError,
} from '@mustardlug/base/errors';
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
 * Reads the TLS files. A server that starts with an empty certificate refuses all handshakes,
 * so that the contents are checked as well.
 * @param settings - Paths of the files, or `undefined` for plain TCP.
 */
export function readTlsFiles(
  settings: TlsSettings | undefined,
): Result<TlsMaterial | undefined, InvalidInputError> {
  if (settings === undefined) return ok(undefined);
  const {certificateFile, keyFile, authorityFile} = settings;
  return readTextFile(certificateFile).andThen(cert =>
    readTextFile(keyFile).andThen(key =>
      readTextFile(authorityFile).andThen(ca =>
        checkTlsMaterial(settings, {cert, key, ca}),
      ),
    ),
  );
}

function checkTlsMaterial(
  {certificateFile, keyFile, authorityFile}: TlsSettings,
  material: TlsMaterial,
): Result<TlsMaterial, InvalidInputError> {
  const {cert, key, ca} = material;
  const parsed = Result.combine([
    parsePem(certificateFile, 'a certificate', () => new X509Certificate(cert)),
    parsePem(keyFile, 'a private key', () => createPrivateKey(key)),
    parsePem(authorityFile, 'a certificate', () => new X509Certificate(ca)),
  ]);
  return parsed.andThen(([certificate, privateKey]) => {
    if (certificate.checkPrivateKey(privateKey)) return ok(material);
    const expected = `expected the private key of ${certificateFile}`;
    return err(createPemError(keyFile, expected));
  });
}

function parsePem<T>(
  path: string,
  content: string,
  parse: () => T,
): Result<T, InvalidInputError> {
  try {
    return ok(parse());
  } catch (error) {
    const {message} = error as Error;
    return err(createPemError(path, `expected ${content} (${message})`));
  }
}

function createPemError(path: string, expected: string): InvalidInputError {
  const remedy = 'write the complete PEM text into the file';
  return createInvalidInputError(path, [
    {path: '(whole file)', expected, remedy},
  ]);
}
