import {expect} from 'chai';
import * as fc from 'fast-check';
import {MessageCodec} from '../src/message_codec.js';
import {PeerMessage, RequestMessage} from '../src/messages.js';

const requestArbitrary: fc.Arbitrary<RequestMessage> = fc.record({
  type: fc.constant('request' as const),
  id: fc.string(),
  service: fc.string(),
  method: fc.constantFrom('GET', 'POST'),
  path: fc.string(),
  headers: fc.array(fc.string(), {maxLength: 10}),
  bodyBytes: fc.nat({max: 1_000_000}),
  remainingMs: fc.double({noNaN: true, min: 0, max: 1e6}),
  isReadOnly: fc.boolean(),
});

const messageArbitrary: fc.Arbitrary<PeerMessage> = fc.oneof(
  requestArbitrary,
  fc.record({
    type: fc.constant('chunk' as const),
    id: fc.string(),
    side: fc.constantFrom('request' as const, 'response' as const),
    offset: fc.nat(),
    data: fc
      .uint8Array()
      .map(bytes => Buffer.from(bytes) as unknown as Uint8Array),
  }),
  fc.record({type: fc.constant('cancel' as const), id: fc.string()}),
  fc.record({
    type: fc.constant('handover' as const),
    workerIds: fc.array(fc.string(), {maxLength: 5}),
  }),
);

describe('MessageCodec', () => {
  describe('decode', () => {
    it('decodes messages that another codec encoded', () => {
      fc.assert(
        fc.property(fc.array(messageArbitrary), messages => {
          const sender = MessageCodec.create();
          const receiver = MessageCodec.create();
          for (const message of messages) {
            const decoded = receiver.decode(sender.encode(message));
            const found = decoded._unsafeUnwrap();
            if (found.type === 'chunk' && message.type === 'chunk') {
              expect(Buffer.from(found.data)).to.deep.equal(
                Buffer.from(message.data),
              );
              continue;
            }
            expect(found).to.deep.equal(message);
          }
        }),
        {seed: 3},
      );
    });

    it('rejects arbitrary bytes without throwing', () => {
      fc.assert(
        fc.property(fc.uint8Array({maxLength: 200}), bytes => {
          const decoded = MessageCodec.create().decode(bytes);
          expect(decoded.isErr()).to.equal(true);
        }),
        {seed: 4, numRuns: 2_000},
      );
    });

    it('rejects nested values and lengths beyond the message in a short message', () => {
      const frames: Record<string, Buffer> = {
        'nested lists': Buffer.alloc(100_000, 0x91),
        'nested maps': Buffer.alloc(100_000, 0x81),
        'a list of 30 million': Buffer.from([0xdd, 0x01, 0xc9, 0xc3, 0x80]),
        'a map of 4 billion': Buffer.from([0xdf, 0xff, 0xff, 0xff, 0xff]),
        'a text of 4 GB': Buffer.from([0xdb, 0xff, 0xff, 0xff, 0xff]),
      };
      const codec = MessageCodec.create();
      for (const [name, frame] of Object.entries(frames)) {
        const {message} = codec.decode(frame)._unsafeUnwrapErr();
        expect(message.length, name).to.be.below(1_000);
      }
    });

    it('does not throw on corrupted messages', () => {
      fc.assert(
        fc.property(
          messageArbitrary,
          fc.nat(),
          fc.nat({max: 255}),
          (message, position, value) => {
            const bytes = MessageCodec.create().encode(message);
            bytes[position % bytes.length] = value;
            MessageCodec.create().decode(bytes);
          },
        ),
        {seed: 5, numRuns: 2_000},
      );
    });
  });
});
