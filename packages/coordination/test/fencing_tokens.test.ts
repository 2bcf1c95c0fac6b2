import {expect} from 'chai';
import {FencingTokens} from '../src/fencing_tokens.js';

describe(FencingTokens.name, () => {
  it('begins a session above the calls of the ended session with the same worker', () => {
    const tokens = FencingTokens.create(11, 20);
    expect(tokens.getFirstToken('worker-0')).to.equal(11);
    tokens.recordEnd('worker-0', 13);
    expect(tokens.getFirstToken('worker-0')).to.equal(14);
    expect(tokens.getFirstToken('worker-1')).to.equal(11);
  });

  it('stays above the calls of ended sessions once it forgets their workers', () => {
    const tokens = FencingTokens.create(1, 1_000);
    tokens.recordEnd('worker-0', 40);
    for (let index = 1; index <= 10_000; index++)
      tokens.recordEnd(`worker-${index}`, 2);
    expect(tokens.getFirstToken('worker-0')).to.equal(41);
    expect(tokens.getFirstToken('worker-new')).to.equal(41);
  });

  it('does not exceed the last token of the term', () => {
    const tokens = FencingTokens.create(1, 5);
    tokens.recordEnd('worker-0', 5);
    expect(tokens.getFirstToken('worker-0')).to.equal(5);
  });
});
