/** Encodes messages with MessagePack and record shapes that both ends know. */

import {Packr} from 'msgpackr';
import {err, ok, Result} from 'neverthrow';
import {createRefusedError, RefusedError} from '@mustardlug/base/errors';
import {InnerMessage, messageSchema} from './messages.js';

/** Field order of the shared records; changing it changes the protocol version. */
const SHARED_RECORDS: readonly string[][] = [
  [
    'type',
    'protocolVersion',
    'nodeId',
    'incarnation',
    'region',
    'failureDomain',
  ],
  [
    'type',
    'sequence',
    'seenSequence',
    'isLeaving',
    'documentVersion',
    'wallMs',
    'counter',
    'loads',
  ],
  ['service', 'slots', 'inProgress', 'queued'],
  [
    'type',
    'id',
    'service',
    'method',
    'path',
    'headers',
    'bodyBytes',
    'remainingMs',
    'isReadOnly',
  ],
  [
    'type',
    'id',
    'outcome',
    'status',
    'headers',
    'bodyBytes',
    'reason',
    'retryAfterMs',
    'workerId',
    'slots',
    'inProgress',
    'queued',
  ],
  ['type', 'id', 'side', 'offset', 'data'],
  ['type', 'bytes'],
  ['type', 'id'],
  ['type', 'id', 'state'],
  ['type', 'version', 'text'],
  ['type', 'workerIds'],
];

/** Encodes and decodes the messages of one link. */
export class MessageCodec {
  private constructor(private readonly packr: Packr) {}

  /** Creates a codec whose records are shared by construction. */
  static create(): MessageCodec {
    const structures = SHARED_RECORDS.map(fields => [...fields]);
    const packr = new Packr({
      structures,
      maxSharedStructures: structures.length,
      useRecords: true,
    } as ConstructorParameters<typeof Packr>[0]);
    return new MessageCodec(packr);
  }

  /**
   * Encodes a message.
   * @param message - Message to encode.
   */
  encode(message: InnerMessage): Buffer {
    return this.packr.pack(message);
  }

  /**
   * Decodes and checks a message.
   * @param bytes - Received bytes.
   * @returns `refused` when the bytes are no valid message.
   */
  decode(bytes: Uint8Array): Result<InnerMessage, RefusedError> {
    try {
      const parsed = messageSchema.safeParse(this.packr.unpack(bytes));
      if (parsed.success) return ok(parsed.data);
      const issue = parsed.error.issues[0];
      const path = issue.path.map(String).join('.');
      return err(refuse(`${path}: ${issue.message}`));
    } catch (error) {
      return err(refuse((error as Error).message));
    }
  }
}

function refuse(cause: string): RefusedError {
  return createRefusedError(
    `malformed inner message (${cause}); run the same version on all entry VMs`,
  );
}
