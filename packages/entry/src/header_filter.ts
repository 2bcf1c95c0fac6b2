/** Filters the headers that are forwarded between callers and upstreams. */

/** Hop-by-hop headers, and headers that each hop sets itself. */
const NON_FORWARDED_HEADERS: ReadonlySet<string> = new Set([
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
  'x-lease-boot',
  'x-lease-epoch',
  'x-service',
  'x-mustardlug-outcome',
  'x-mustardlug-worker',
]);

/** Headers in the form of Node.js and undici. */
export type RawHeaders = Record<string, string | string[] | undefined>;

/**
 * Gets the headers to forward, as alternating names and values.
 * @param headers - Received headers.
 */
export function filterHeaders(headers: RawHeaders): string[] {
  const forwarded: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || NON_FORWARDED_HEADERS.has(name.toLowerCase()))
      continue;
    const values = Array.isArray(value) ? value : [value];
    for (const item of values) forwarded.push(name, item);
  }
  return forwarded;
}
