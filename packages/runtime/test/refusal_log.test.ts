import {expect} from 'chai';
import {RefusalLog} from '../src/refusal_log.js';

describe(RefusalLog.name, () => {
  // Guards against a log that grows with the number of refused clients.
  it('gives one line for each reason and second, of bounded length', () => {
    const log = RefusalLog.create();
    const lines: string[] = [];
    for (let nowMs = 0; nowMs < 5_000; nowMs++) {
      for (const reason of ['memory', 'slow']) {
        const line = log.add(reason, 'x'.repeat(10_000), nowMs);
        if (line !== undefined) lines.push(line);
      }
    }
    expect(lines.length).to.equal(10);
    for (const line of lines) expect(line.length).to.be.below(250);
    expect(lines[2]).to.match(/^memory, 1000 since the last line: x/);
  });
});
