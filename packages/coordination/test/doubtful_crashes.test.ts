import {expect} from 'chai';
import {DoubtfulCrashes} from '../src/doubtful_crashes.js';
import {addTestRun, createTestLoad} from './test_runs.js';

describe(DoubtfulCrashes.name, () => {
  const assigned = addTestRun(createTestLoad(), {});
  const suspected = [{assigned, isAttributed: false, reason: ''}];

  function createSession(startMs: number) {
    return {
      startMs,
      getProcessStartMs() {
        return this.startMs;
      },
    };
  }

  it('are refuted once by a response of the same process', () => {
    const crashes = DoubtfulCrashes.create();
    const session = createSession(1);
    crashes.add(session, suspected);
    expect(crashes.takeRefuted(session)).to.deep.equal([assigned]);
    expect(crashes.takeRefuted(session)).to.deep.equal([]);
  });

  it('stand if another process responds', () => {
    const crashes = DoubtfulCrashes.create();
    const session = createSession(1);
    crashes.add(session, suspected);
    session.startMs = 2;
    expect(crashes.takeRefuted(session)).to.deep.equal([]);
    session.startMs = 1;
    expect(crashes.takeRefuted(session)).to.deep.equal([]);
  });
});
