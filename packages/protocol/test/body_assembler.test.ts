import {expect} from 'chai';
import {BodyAssembler} from '../src/body_assembler.js';

const HEAD = {id: 'a', bodyBytes: 4};

describe('BodyAssembler', () => {
  describe('addChunk', () => {
    function doTest(offsets: readonly number[], isRefused: boolean): void {
      const assembler = BodyAssembler.create<typeof HEAD>();
      assembler.addHead(HEAD);
      const results = offsets.map(offset =>
        assembler.addChunk({
          type: 'chunk',
          id: 'a',
          side: 'request',
          offset,
          data: Buffer.from('xy'),
        }),
      );
      expect(results.some(result => result.isErr())).to.equal(isRefused);
    }

    it('accepts chunks in order', () => doTest([0, 2], false));
    it('rejects a chunk out of order', () => doTest([2, 0], true));
    it('rejects a repeated chunk', () => doTest([0, 0], true));
    it('rejects a chunk beyond the announced size', () => doTest([0, 3], true));

    it('drops chunks of a cancelled request', () => {
      const assembler = BodyAssembler.create<typeof HEAD>();
      assembler.addHead(HEAD);
      assembler.removePartialBody('a');
      const late = assembler.addChunk({
        type: 'chunk',
        id: 'a',
        side: 'request',
        offset: 0,
        data: Buffer.from('wxyz'),
      });
      expect(late._unsafeUnwrap()).to.equal(undefined);
    });
  });
});
