/** Settings that limit what clients of an entry can hold. docs/OPERATIONS.md gives the derivation of each default. */

import {z} from 'zod';

const limit = z.number().int().positive();

/** Schema of the field `callerLimits`. */
export const callerLimitsSchema = z.strictObject({
  /** Bytes that connections, requests and unsent responses on the caller port hold at most. */
  maxHeldBytes: limit.default(117_440_512),
  /** Bytes of upstream responses that are being received at once. */
  maxResponseBytes: limit.min(16_777_216).default(50_331_648),
  /** Bytes of requests that other entries have forwarded and that are in progress. */
  maxForwardedBytes: limit.min(16_777_216).default(67_108_864),
  maxConnections: limit.default(1_500),
  /** Connections to the port for peers and operators, apart from those of peers. */
  maxInnerConnections: limit.default(128),
  maxHeaderCount: limit.max(128).default(100),
  /** Requests of one connection without a complete response. */
  maxRequestsInProgress: limit.default(32),
  headersTimeoutMs: limit.default(10_000),
  requestTimeoutMs: limit.default(120_000),
  /** Rate below which a body or the reading of a response counts as stalled. */
  minBytesPerSecond: limit.default(1_024),
  /** Time for which a body or a response may be slower than that. */
  progressGraceMs: limit.default(5_000),
});

/** Validated limits. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
