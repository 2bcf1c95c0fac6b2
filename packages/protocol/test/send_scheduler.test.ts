import {expect} from 'chai';
import * as fc from 'fast-check';
import {BodyAssembler} from '../src/body_assembler.js';
import {ChunkMessage, PeerMessage} from '../src/messages.js';
import {
  CHUNK_BYTES,
  CREDIT_WINDOW_BYTES,
  SendScheduler,
} from '../src/send_scheduler.js';

function getChunks(messages: readonly PeerMessage[]): ChunkMessage[] {
  return messages.filter(message => message.type === 'chunk');
}

describe('SendScheduler', () => {
  describe('addBody', () => {
    it('keeps the bytes in flight within the credit window', () => {
      const sent: PeerMessage[] = [];
      const scheduler = SendScheduler.create(message => sent.push(message));
      scheduler.addBody('a', 'request', new Uint8Array(1_000_000), 'bulk');
      let bytes = 0;
      for (const chunk of getChunks(sent)) bytes += chunk.data.length;
      expect(bytes).to.equal(CREDIT_WINDOW_BYTES);
    });

    it('sends an urgent body before the rest of a bulk body', () => {
      const sent: PeerMessage[] = [];
      const scheduler = SendScheduler.create(message => sent.push(message));
      scheduler.addBody('report', 'request', new Uint8Array(1_000_000), 'bulk');
      scheduler.addBody('booking', 'request', new Uint8Array(100), 'urgent');
      sent.length = 0;
      scheduler.addCredit(CHUNK_BYTES);
      expect(getChunks(sent)[0].id).to.equal('booking');
    });

    it('delivers every body completely for any sequence of credits', () => {
      const sizes = fc.array(fc.nat({max: 300_000}), {
        minLength: 1,
        maxLength: 6,
      });
      fc.assert(
        fc.property(
          sizes,
          fc.array(fc.nat({max: 60_000})),
          (bodies, credits) => {
            const assembler = BodyAssembler.create<{
              id: string;
              bodyBytes: number;
            }>();
            const receivedBodies = new Map<string, Buffer>();
            const scheduler = SendScheduler.create(message => {
              if (message.type !== 'chunk') return;
              const done = assembler.addChunk(message)._unsafeUnwrap();
              if (done !== undefined)
                receivedBodies.set(done.head.id, done.body);
            });
            bodies.forEach((size, index) => {
              const id = `body-${index}`;
              const head = {id, bodyBytes: size};
              const empty = assembler.addHead(head);
              if (empty !== undefined) receivedBodies.set(id, empty.body);
              const priority = index % 2 === 0 ? 'urgent' : 'bulk';
              scheduler.addBody(
                id,
                'request',
                Buffer.alloc(size, index),
                priority,
              );
            });
            for (const credit of credits) scheduler.addCredit(credit);
            for (let step = 0; step < 50; step++) {
              scheduler.addCredit(CREDIT_WINDOW_BYTES);
            }
            bodies.forEach((size, index) => {
              const body = receivedBodies.get(`body-${index}`);
              expect(body?.equals(Buffer.alloc(size, index))).to.equal(true);
            });
          },
        ),
        {seed: 6, numRuns: 50},
      );
    });
  });
});
