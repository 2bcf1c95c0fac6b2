import {expect} from 'chai';
import {LeaseEnd} from '../src/lease_end.js';

describe('LeaseEnd', () => {
  it('is that of earlier terms, or an earlier stored bound', () => {
    const declared = LeaseEnd.create(9_000);
    expect(declared.endMs).to.equal(9_000);
    expect(declared.source).to.equal('earlier-terms');
    expect(LeaseEnd.create(9_000, 9_500)).to.deep.equal(declared);
    const bounded = LeaseEnd.create(9_000, 8_000);
    expect(bounded.endMs).to.equal(8_000);
    expect(bounded.source).to.equal('stored-bound');
  });

  it('is the latest extension or the earliest limit, with its source', () => {
    const declared = LeaseEnd.create(9_000);
    expect(declared.extend(8_000, 'grant')).to.equal(declared);
    expect(declared.limit(9_500, 'first-response')).to.equal(declared);
    const limited = declared.limit(5_000, 'first-response');
    expect(limited.endMs).to.equal(5_000);
    expect(limited.source).to.equal('first-response');
    const extended = limited.extend(10_000, 'other-process');
    expect(extended.endMs).to.equal(10_000);
    expect(extended.source).to.equal('other-process');
  });

  it('keeps when leases would have expired without limits', () => {
    const limited = LeaseEnd.create(9_000).limit(5_000, 'first-response');
    expect(limited.unlimitedEndMs).to.equal(9_000);
    expect(limited.extend(6_000, 'grant').unlimitedEndMs).to.equal(9_000);
    expect(limited.extend(9_500, 'grant').unlimitedEndMs).to.equal(9_500);
  });
});
