import {expect} from 'chai';
import {CommitSizeLimit} from '../src/commit_size_limit.js';

describe(CommitSizeLimit.name, () => {
  it('lowers the limit until commits over a slow link are short', () => {
    const bytesPerMs = 20;
    const limit = CommitSizeLimit.create();
    for (let commit = 0; commit < 10; commit++) {
      const sizeBytes = limit.getMaxBytes();
      limit.recordCommit(sizeBytes, sizeBytes / bytesPerMs);
    }
    expect(limit.getMaxBytes() / bytesPerMs).to.be.at.most(350);
  });

  it('raises the limit on a fast link, but not for small commits', () => {
    const limit = CommitSizeLimit.create();
    const initialBytes = limit.getMaxBytes();
    for (let commit = 0; commit < 10; commit++) limit.recordCommit(100, 20);
    expect(limit.getMaxBytes()).to.equal(initialBytes);
    for (let commit = 0; commit < 10; commit++)
      limit.recordCommit(limit.getMaxBytes(), 20);
    expect(limit.getMaxBytes()).to.be.above(initialBytes);
  });
});
