import {expect} from 'chai';
import {ProcessFence} from '../src/process_fence.js';

const FIRST_START_MS = 1_000;
const SECOND_START_MS = 2_000;
const THIRD_START_MS = 3_000;

function createFence(lastToken = 10): ProcessFence {
  return ProcessFence.create({
    firstToken: 1,
    lastToken,
    startMs: FIRST_START_MS,
  });
}

/** Creates the fence of a worker whose first process has reported. */
function createReportedFence(lastToken?: number): ProcessFence {
  const fence = createFence(lastToken);
  fence.recordReport(FIRST_START_MS, fence.getToken(), false);
  return fence;
}

describe(ProcessFence.name, () => {
  it('fences calls of earlier terms with the first report', () => {
    const fence = createFence();
    expect(fence.isFenced()).to.equal(false);
    expect(fence.recordReport(FIRST_START_MS, 1, false)).to.equal('fenced');
    expect(fence.isFenced()).to.equal(true);
    expect(fence.getToken()).to.equal(1);
  });

  it('raises no token for a process that registers or reports before any other has reported', () => {
    const fence = createFence();
    expect(fence.recordRegistration(SECOND_START_MS)).to.equal(true);
    expect(fence.recordReport(THIRD_START_MS, 1, true)).to.equal('fenced');
    expect(fence.getToken()).to.equal(1);
    expect(fence.isLatest(THIRD_START_MS)).to.equal(true);
  });

  it('counts a process as fenced only once it has executed a call with its own token', () => {
    const fence = createReportedFence();
    expect(fence.recordReport(SECOND_START_MS, 1, true)).to.equal('unfenced');
    expect(fence.getToken()).to.equal(2);
    expect(fence.isFenced()).to.equal(false);
    // Another call of the former process, executed by the new one.
    expect(fence.recordReport(SECOND_START_MS, 1, false)).to.equal('unfenced');
    expect(fence.recordReport(SECOND_START_MS, 2, false)).to.equal('fenced');
    expect(fence.recordReport(SECOND_START_MS, 2, false)).to.equal('unchanged');
    expect(fence.getToken()).to.equal(2);
  });

  it('fences a process that has registered with its first report', () => {
    const fence = createReportedFence();
    expect(fence.recordRegistration(SECOND_START_MS)).to.equal(true);
    expect(fence.recordRegistration(SECOND_START_MS)).to.equal(false);
    expect(fence.isLatest(FIRST_START_MS)).to.equal(false);
    expect(fence.recordReport(SECOND_START_MS, 2, true)).to.equal('fenced');
  });

  it('keeps a process that answers calls although another one has registered', () => {
    const fence = createReportedFence();
    fence.recordRegistration(SECOND_START_MS);
    expect(fence.recordReport(FIRST_START_MS, 2, false)).to.equal('fenced');
    expect(fence.isLatest(FIRST_START_MS)).to.equal(true);
  });

  it('fences each of several processes', () => {
    const fence = createReportedFence();
    fence.recordRegistration(SECOND_START_MS);
    expect(fence.recordReport(THIRD_START_MS, 2, true)).to.equal('unfenced');
    expect(fence.recordReport(THIRD_START_MS, 3, false)).to.equal('fenced');
  });

  it('does not exceed the last token of the term', () => {
    const fence = createReportedFence(2);
    fence.recordReport(SECOND_START_MS, 1, true);
    expect(fence.hasUsedUpTokens()).to.equal(false);
    fence.recordReport(THIRD_START_MS, 2, true);
    expect(fence.hasUsedUpTokens()).to.equal(true);
    expect(fence.getToken()).to.equal(2);
    expect(fence.isFenced()).to.equal(false);
  });
});
