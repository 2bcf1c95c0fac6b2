/** Requests, as pieces to write, that clients stop short of completing or send without reading responses. */

const CHUNK_END = '\r\n';

/** Creates the head of a request with a body whose length is declared. */
export function createDeclaredHead(path: string, bodyBytes: number): Buffer {
  return Buffer.from(
    `POST ${path} HTTP/1.1\r\nhost: entry\r\ncontent-length: ${bodyBytes}\r\n\r\n`,
  );
}

/** Creates the head of a request with a chunked body. */
export function createChunkedHead(path: string): Buffer {
  return Buffer.from(
    `POST ${path} HTTP/1.1\r\nhost: entry\r\ntransfer-encoding: chunked\r\n\r\n`,
  );
}

/** Creates pieces that follow a head: `count` times the same one. */
export function* createBody(
  head: Buffer,
  piece: Buffer,
  count: number,
): Iterable<Buffer> {
  yield head;
  for (let index = 0; index < count; index++) yield piece;
}

/** Creates chunks of a chunked body, without the last chunk. */
export function createChunks(chunkBytes: number, count: number): Buffer {
  const size = chunkBytes.toString(16);
  const chunk = `${size}\r\n${'x'.repeat(chunkBytes)}${CHUNK_END}`;
  return Buffer.from(chunk.repeat(count));
}

/** Creates a head with as many two-character fields as fit into `headerBytes`. */
export function createFieldsHead(start: string, headerBytes: number): Buffer {
  const digits = 36;
  let head = start;
  for (let index = 0; ; index++) {
    const name = index.toString(digits);
    const field = `${name}:${name}\r\n`;
    if (head.length + field.length > headerBytes) break;
    head += field;
  }
  return Buffer.from(`${head}\r\n`);
}
