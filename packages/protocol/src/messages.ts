/** Messages of the inner protocol between entry processes. */

import {z} from 'zod';

/** Version that both ends of a link must share. */
export const PROTOCOL_VERSION = 1;

/** Largest request or response body, in bytes. */
export const MAX_BODY_BYTES = 16 * 1024 * 1024;

const MAX_HEADER_FIELDS = 256;
const MAX_TEXT_LENGTH = 16_384;

const text = z.string().max(MAX_TEXT_LENGTH);
const count = z.number().int().nonnegative();
/** Names and values in turn. */
const headerList = z.array(text).max(MAX_HEADER_FIELDS);

/** `ran`: answered by an upstream. `not-run`: provably not run. `unknown`: neither is certain. */
export const outcomeSchema = z.enum(['ran', 'not-run', 'unknown']);

const helloSchema = z.object({
  type: z.literal('hello'),
  protocolVersion: z.number().int(),
  nodeId: text,
  /** Differs with each start of the process. */
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
  /** Highest sequence received from the other end. */
  seenSequence: count,
  isLeaving: z.boolean(),
  documentVersion: count,
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
  /** Time left until the caller's deadline, in milliseconds. */
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
  /** Time after which the caller may try again, in milliseconds; 0 if not given. */
  retryAfterMs: z.number().nonnegative(),
  workerId: text,
  /** Load of the holder for this service, measured when it answered. */
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
const askSchema = z.object({type: z.literal('ask'), id: text});
const toldSchema = z.object({
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
  /** Workers whose leases the sender has just handed back. */
  workerIds: z.array(text).max(1024),
});

/** Schema of every message. */
export const messageSchema = z.discriminatedUnion('type', [
  helloSchema,
  heartbeatSchema,
  requestSchema,
  responseSchema,
  chunkSchema,
  creditSchema,
  cancelSchema,
  askSchema,
  toldSchema,
  documentSchema,
  handoverSchema,
]);

/** Whether a request ran. */
export type Outcome = z.infer<typeof outcomeSchema>;
/** First message on a link. */
export type HelloMessage = z.infer<typeof helloSchema>;
/** Load of one service at a holder. */
export type ServiceLoad = z.infer<typeof serviceLoadSchema>;
/** Periodic sign of life. */
export type HeartbeatMessage = z.infer<typeof heartbeatSchema>;
/** Head of a forwarded request; chunks follow. */
export type RequestMessage = z.infer<typeof requestSchema>;
/** Head of an answer; chunks follow. */
export type ResponseMessage = z.infer<typeof responseSchema>;
/** Part of a body. */
export type ChunkMessage = z.infer<typeof chunkSchema>;
/** Answer to `ask`. */
export type ToldMessage = z.infer<typeof toldSchema>;
/** An environment document that the receiver may lack. */
export type DocumentMessage = z.infer<typeof documentSchema>;
/** Leases that are free again. */
export type HandoverMessage = z.infer<typeof handoverSchema>;
/** Any message. */
export type InnerMessage = z.infer<typeof messageSchema>;
