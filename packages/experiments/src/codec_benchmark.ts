/** Measures the encoded sizes of typical messages as JSON and MessagePack, with and without msgpackr's record structures and compression. */

import {deflateRawSync} from 'node:zlib';
import {Packr} from 'msgpackr';
import {RandomSource} from '@mustardlug/base/random_source';
import {MessageCodec} from '@mustardlug/protocol/message_codec';
import {PeerMessage} from '@mustardlug/protocol/messages';

/** Encoded sizes of one kind of message. */
export interface CodecResult {
  readonly name: string;
  readonly jsonBytes: number;
  readonly messagePackBytes: number;
  readonly messagePackRecordBytes: number;
  readonly deflatedBytes: number;
  /** Mean time to encode and decode with record structures, in microseconds. */
  readonly roundTripUs: number;
}

const ITERATIONS = 20_000;
const NANOSECONDS_PER_US = 1_000;
const REQUEST_BODY_BYTES = 900;
const LARGE_BODY_BYTES = 16_384;

/** Measures each kind of message. */
export function measureCodec(): CodecResult[] {
  return createMessages().map(([name, message]) =>
    measureMessage(name, message),
  );
}

function measureMessage(name: string, message: PeerMessage): CodecResult {
  const sender = MessageCodec.create();
  const receiver = MessageCodec.create();
  const encoded = sender.encode(message);
  const start = process.hrtime.bigint();
  for (let iteration = 0; iteration < ITERATIONS; iteration++) {
    receiver.decode(sender.encode(message));
  }
  const elapsed = Number(process.hrtime.bigint() - start);
  return {
    name,
    jsonBytes: getJsonBytes(message),
    messagePackBytes: new Packr({useRecords: false}).pack(message).length,
    messagePackRecordBytes: encoded.length,
    deflatedBytes: deflateRawSync(encoded).length,
    roundTripUs: elapsed / ITERATIONS / NANOSECONDS_PER_US,
  };
}

/** Gets the size as JSON, which carries binary data as base64. */
function getJsonBytes(message: PeerMessage): number {
  if (message.type !== 'chunk') return JSON.stringify(message).length;
  const data = Buffer.from(message.data).toString('base64');
  return JSON.stringify({...message, data}).length;
}

function createMessages(): Array<[string, PeerMessage]> {
  const id = 'entry-piedmont-a-1/3f9c2b1a/184467.1';
  const load = {slots: 29, inProgress: 17, queued: 0};
  return [
    [
      'request head',
      {
        type: 'request',
        id,
        service: 'class-desk',
        method: 'POST',
        path: '/bookings?class=wheel-basics',
        headers: [
          'content-type',
          'application/json',
          'accept',
          '*/*',
          'user-agent',
          'studio-desk/4.2',
          'x-studio',
          'asheville-17',
        ],
        bodyBytes: REQUEST_BODY_BYTES,
        remainingMs: 4_912.5,
        isReadOnly: false,
      },
    ],
    [
      'response head',
      {
        type: 'response',
        id,
        outcome: 'ran',
        status: 200,
        headers: ['content-type', 'application/json'],
        bodyBytes: REQUEST_BODY_BYTES,
        reason: '',
        retryAfterMs: 0,
        workerId: 'worker-piedmont-a-4',
        ...load,
      },
    ],
    [
      'heartbeat, 2 services',
      {
        type: 'heartbeat',
        sequence: 4_711,
        seenSequence: 4_702,
        isLeaving: false,
        documentVersion: 118,
        wallMs: 1_796_338_912_345,
        counter: 3,
        loads: [
          {service: 'class-desk', ...load},
          {service: 'kiln-desk', ...load},
        ],
      },
    ],
    [
      'chunk of a small JSON body',
      createChunk(id, createJsonBody(REQUEST_BODY_BYTES)),
    ],
    [
      'chunk of a large JSON body',
      createChunk(id, createJsonBody(LARGE_BODY_BYTES)),
    ],
  ];
}

function createChunk(id: string, data: Buffer): PeerMessage {
  return {type: 'chunk', id, side: 'request', offset: 0, data};
}

function createJsonBody(bytes: number): Buffer {
  const random = RandomSource.create(1);
  let text = '[';
  while (text.length < bytes) {
    const seat = random.getIndex(12);
    const price = random.getIndex(9_000);
    text += `{"studio":"asheville","class":"wheel","seat":${seat},"price":${price}},`;
  }
  return Buffer.from(text.slice(0, bytes));
}
