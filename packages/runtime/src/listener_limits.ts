/** Limits of an HTTP listener against clients that exceed what the process can hold. */

/** Reason for which a listener refuses a request or closes a connection. */
export type RefusalReason =
  | 'body-size'
  | 'connections'
  | 'header-count'
  | 'memory'
  | 'overdue'
  | 'pipelining'
  | 'slow'
  | 'small-pieces';

/**
 * Called for each refusal.
 * @param reason - Why the client was refused.
 * @param detail - What was exceeded, in a few words.
 */
export type RefusalListener = (reason: RefusalReason, detail: string) => void;

export interface ListenerLimits {
  /** Maximum number of connections. */
  readonly maxConnections: number;
  /** Maximum sum of the bytes that connections, requests and bodies hold. */
  readonly maxHeldBytes: number;
  /** Maximum size of a request's body. */
  readonly maxBodyBytes: number;
  /** Maximum size of a request's head. */
  readonly maxHeaderBytes: number;
  /** Maximum number of header fields of a request. */
  readonly maxHeaderCount: number;
  /** Time limit for receiving the head of a request. */
  readonly headersTimeoutMs: number;
  /** Time limit for receiving a request. */
  readonly requestTimeoutMs: number;
  /** Time for which a connection without requests is kept open. */
  readonly keepAliveTimeoutMs: number;
  /** Maximum number of requests of one connection without a complete response. */
  readonly maxRequestsInProgress: number;
  /** Minimum rate at which a body is sent and a response is read, after the grace period. */
  readonly minBytesPerSecond: number;
  /** Time for which a body or a response may be slower than the minimum rate. */
  readonly progressGraceMs: number;
}

/**
 * Defaults of a VM of the smallest size; docs/OPERATIONS.md gives their derivation.
 * `maxHeldBytes` and `maxConnections` are those of 160 MB and 4,100 descriptors.
 */
export const DEFAULT_LISTENER_LIMITS: ListenerLimits = {
  maxConnections: 1_300,
  maxHeldBytes: 20_971_520,
  maxBodyBytes: 262_144,
  maxHeaderBytes: 16_384,
  maxHeaderCount: 100,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  keepAliveTimeoutMs: 30_000,
  maxRequestsInProgress: 32,
  minBytesPerSecond: 1_024,
  progressGraceMs: 5_000,
};

/** Descriptors that are reserved for files of the process. */
const FILE_DESCRIPTORS = 200;

/**
 * Share of the other descriptors that clients may take. The rest is for the store and the
 * workers: 6 connections to each of 342 workers and 15 to the store are 2,067 of 3,900.
 */
const CLIENT_DESCRIPTOR_SHARE = 1 / 3;

/** Share of a VM's memory that the requests of clients may hold; the idle program takes up to 97 of 160 MB. */
const HELD_MEMORY_SHARE = 1 / 8;

const BYTES_PER_MB = 1_048_576;

/**
 * Gets the number of connections that clients may open.
 * @param fileDescriptors - Number of descriptors that the process may open.
 */
export function getMaxConnections(fileDescriptors: number): number {
  const free = Math.max(1, fileDescriptors - FILE_DESCRIPTORS);
  return Math.ceil(free * CLIENT_DESCRIPTOR_SHARE);
}

/**
 * Gets the bytes that the requests of clients may hold.
 * @param memoryMb - Memory of the VM.
 */
export function getMaxHeldBytes(memoryMb: number): number {
  return Math.round(memoryMb * HELD_MEMORY_SHARE * BYTES_PER_MB);
}
