/** Headers that are passed on between callers and upstreams. */

/** Headers of a single connection, or set anew on each hop. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
  'x-request-id',
  'x-lease-epoch',
  'x-service',
  'x-mustardlug-outcome',
  'x-mustardlug-worker',
]);

/** Headers as Node.js and undici give them. */
export type RawHeaders = Record<string, string | string[] | undefined>;

/**
 * Gets the headers to pass on, names and values in turn.
 * @param headers - Received headers.
 */
export function filterHeaders(headers: RawHeaders): string[] {
  const list: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_HEADERS.has(name.toLowerCase())) continue;
    const values = Array.isArray(value) ? value : [value];
    for (const item of values) list.push(name, item);
  }
  return list;
}
