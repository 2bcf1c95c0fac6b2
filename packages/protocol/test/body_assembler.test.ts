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

    it('takes chunks in order', () => doTest([0, 2], false));
    it('refuses a chunk out of order', () => doTest([2, 0], true));
    it('refuses a chunk twice', () => doTest([0, 0], true));
    it('refuses a chunk beyond the end', () => doTest([0, 3], true));

    it('drops late chunks of an ended request', () => {
      const assembler = BodyAssembler.create<typeof HEAD>();
      assembler.addHead(HEAD);
      assembler.removePartial('a');
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
