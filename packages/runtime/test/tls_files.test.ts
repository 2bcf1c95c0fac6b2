import {generateKeyPairSync} from 'node:crypto';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {expect} from 'chai';
import {readTlsFiles} from '../src/tls_files.js';

/** Self-signed certificate of another test, with its key. */
const EXAMPLE = resolve(import.meta.dirname, '../../../dev/test/tls');

describe(readTlsFiles.name, () => {
  let folder: string;
  let certificateFile: string;
  let keyFile: string;
  const certificate = readFileSync(join(EXAMPLE, 'certificate.pem'), 'utf8');
  const key = readFileSync(join(EXAMPLE, 'key.pem'), 'utf8');

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'mustardlug-tls-'));
    certificateFile = join(folder, 'certificate.pem');
    keyFile = join(folder, 'key.pem');
    writeFileSync(certificateFile, certificate);
    writeFileSync(keyFile, key);
  });

  afterEach(() => rmSync(folder, {recursive: true}));

  const read = () =>
    readTlsFiles({certificateFile, keyFile, authorityFile: certificateFile});

  const expectError = (path: string) => {
    const error = read()._unsafeUnwrapErr();
    expect(error.kind).to.equal('invalid-input');
    expect(error.message).to.include(`${path} is not valid`);
  };

  it('returns the contents of valid files', () => {
    expect(read()._unsafeUnwrap()).to.deep.equal({
      cert: certificate,
      key,
      ca: certificate,
    });
  });

  // A process that started while the file was rewritten refused all handshakes until its next start.
  it('rejects an empty certificate', () => {
    writeFileSync(certificateFile, '');
    expectError(certificateFile);
  });

  // A process that started while a file was rewritten ended with the stack of an exception.
  it('rejects an incomplete certificate and an incomplete key', () => {
    writeFileSync(certificateFile, certificate.slice(0, 300));
    expectError(certificateFile);
    writeFileSync(certificateFile, certificate);
    writeFileSync(keyFile, key.slice(0, key.length / 2));
    expectError(keyFile);
  });

  // Guards against a process that starts between the writes of a certificate and its key.
  it('rejects the key of another certificate', () => {
    const {privateKey} = generateKeyPairSync('ec', {namedCurve: 'P-256'});
    writeFileSync(
      keyFile,
      privateKey.export({type: 'pkcs8', format: 'pem'}) as string,
    );
    expectError(keyFile);
  });
});
