/** Encodes peer messages with MessagePack, using record structures that are predefined at both ends. */

import {Packr} from 'msgpackr';
import {err, ok, Result} from 'neverthrow';
import {
  createRefusedError,
  RefusedError,
  truncateMessage,
} from '@mustardlug/base/errors';
import {PeerMessage, messageSchema} from './messages.js';

/** Field order of the predefined records. A change requires a new `PROTOCOL_VERSION`. */
const SHARED_RECORD_STRUCTURES: readonly string[][] = [
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

/** Maximum length of the cause in an error message; it may quote a field of the message. */
const MAX_CAUSE_LENGTH = 500;

/** Encodes and decodes the messages of one link. */
export class MessageCodec {
  private constructor(private readonly packr: Packr) {}

  /** Creates a codec with the predefined record structures. */
  static create(): MessageCodec {
    const structures = SHARED_RECORD_STRUCTURES.map(fields => [...fields]);
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
  encode(message: PeerMessage): Buffer {
    return this.packr.pack(message);
  }

  /**
   * Decodes and validates a message.
   * @param bytes - Received bytes.
   * @returns `refused` when the bytes are not a valid message.
   */
  decode(bytes: Uint8Array): Result<PeerMessage, RefusedError> {
    try {
      const parsed = messageSchema.safeParse(this.packr.unpack(bytes));
      if (parsed.success) return ok(parsed.data);
      const issue = parsed.error.issues[0];
      const path = issue.path.map(String).join('.');
      return err(createMalformedMessageError(`${path}: ${issue.message}`));
    } catch (error) {
      return err(createMalformedMessageError((error as Error).message));
    }
  }
}

function createMalformedMessageError(cause: string): RefusedError {
  const text = truncateMessage(cause, MAX_CAUSE_LENGTH);
  return createRefusedError(
    `malformed peer message (${text}); run the same version on all entry VMs`,
  );
}
