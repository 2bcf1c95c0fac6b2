/** Messages of the peer protocol between entry processes. */

import {z} from 'zod';

/** Protocol version, which must be the same at both ends of a link. */
export const PROTOCOL_VERSION = 1;

/** Largest request or response body, in bytes. */
export const MAX_BODY_BYTES = 16 * 1024 * 1024;

const MAX_HEADER_FIELDS = 256;
const MAX_TEXT_LENGTH = 16_384;

const text = z.string().max(MAX_TEXT_LENGTH);
const count = z.number().int().nonnegative();
/** Alternating header names and values. */
const headerList = z.array(text).max(MAX_HEADER_FIELDS);

/**
 * `ran`: an upstream responded. `not-run`: the request has certainly not run.
 * `unknown`: the request may or may not have run.
 */
export const outcomeSchema = z.enum(['ran', 'not-run', 'unknown']);

const helloSchema = z.object({
  type: z.literal('hello'),
  protocolVersion: z.number().int(),
  nodeId: text,
  /** Unique for each start of the process. */
  incarnation: text,
  region: text,
  failureDomain: text,
});

const serviceLoadSchema = z.object({
  service: text,
  slots: count,
  inProgress: count,
  queued: count,
});

const heartbeatSchema = z.object({
  type: z.literal('heartbeat'),
  sequence: count,
  /** Last sequence received from the other end. */
  seenSequence: count,
  isLeaving: z.boolean(),
  documentVersion: count,
  /** Reading of the sender's hybrid logical clock, with `counter`. */
  wallMs: z.number(),
  counter: count,
  loads: z.array(serviceLoadSchema).max(256),
});

const requestSchema = z.object({
  type: z.literal('request'),
  id: text,
  service: text,
  method: text,
  path: text,
  headers: headerList,
  bodyBytes: count.max(MAX_BODY_BYTES),
  /** Remaining time until the caller's deadline, in milliseconds. */
  remainingMs: z.number(),
  isReadOnly: z.boolean(),
});

const responseSchema = z.object({
  type: z.literal('response'),
  id: text,
  outcome: outcomeSchema,
  status: z.number().int().min(100).max(599),
  headers: headerList,
  bodyBytes: count.max(MAX_BODY_BYTES),
  /** Reason of an outcome other than `ran`. */
  reason: text,
  /** Delay after which the caller may retry, in milliseconds; 0 if unspecified. */
  retryAfterMs: z.number().nonnegative(),
  workerId: text,
  /** Load of the service at the lease holder when it responded. */
  slots: count,
  inProgress: count,
  queued: count,
});

const chunkSchema = z.object({
  type: z.literal('chunk'),
  id: text,
  side: z.enum(['request', 'response']),
  offset: count,
  data: z.custom<Uint8Array>(value => value instanceof Uint8Array),
});

const creditSchema = z.object({type: z.literal('credit'), bytes: count});
const cancelSchema = z.object({type: z.literal('cancel'), id: text});
const statusQuerySchema = z.object({type: z.literal('ask'), id: text});
const requestStatusSchema = z.object({
  type: z.literal('told'),
  id: text,
  state: z.enum(['in-progress', 'not-run', 'unknown']),
});
const documentSchema = z.object({
  type: z.literal('document'),
  version: count,
  text: z.string().max(MAX_BODY_BYTES),
});

const handoverSchema = z.object({
  type: z.literal('handover'),
  /** Workers whose leases the sender has released. */
  workerIds: z.array(text).max(1024),
});

/** Schema of all messages. */
export const messageSchema = z.discriminatedUnion('type', [
  helloSchema,
  heartbeatSchema,
  requestSchema,
  responseSchema,
  chunkSchema,
  creditSchema,
  cancelSchema,
  statusQuerySchema,
  requestStatusSchema,
  documentSchema,
  handoverSchema,
]);

/** Whether a request has run. */
export type Outcome = z.infer<typeof outcomeSchema>;
/** First message on a link. */
export type HelloMessage = z.infer<typeof helloSchema>;
/** Load of one service at a lease holder. */
export type ServiceLoad = z.infer<typeof serviceLoadSchema>;
/** Periodic message that shows that the peer is alive and carries its load. */
export type HeartbeatMessage = z.infer<typeof heartbeatSchema>;
/** Head of a forwarded request; chunks follow. */
export type RequestMessage = z.infer<typeof requestSchema>;
/** Head of a response; chunks follow. */
export type ResponseMessage = z.infer<typeof responseSchema>;
/** Part of a body. */
export type ChunkMessage = z.infer<typeof chunkSchema>;
/** Reply to an `ask` message. */
export type RequestStatusMessage = z.infer<typeof requestStatusSchema>;
/** An environment document, sent to peers that may have an older version. */
export type DocumentMessage = z.infer<typeof documentSchema>;
/** Notice that leases were released and can be acquired. */
export type HandoverMessage = z.infer<typeof handoverSchema>;
/** Any message. */
export type PeerMessage = z.infer<typeof messageSchema>;
