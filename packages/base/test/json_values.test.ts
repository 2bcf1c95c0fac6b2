import {expect} from 'chai';
import {hasMoreJsonValues} from '../src/json_values.js';

/** Counts the values of parsed JSON. */
function countValues(value: unknown): number {
  if (typeof value !== 'object' || value === null) return 1;
  let count = 1;
  for (const part of Object.values(value)) count += countValues(part);
  return count;
}

describe('hasMoreJsonValues', () => {
  // Guards against bodies of legal size whose parsed values exceed the memory.
  for (const value of ['{}', '[]', '0', '"a"', '"\\\\"', '"[,\\",["']) {
    it(`finds very many values ${value}`, () => {
      const list = `[${Array<string>(1_000).fill(value).join(',')}]`;
      expect(countValues(JSON.parse(list))).to.equal(1_001);
      expect(hasMoreJsonValues(list, 900)).to.equal(true);
    });
  }

  it('does not count what is inside of strings', () => {
    const text = JSON.stringify({a: '[,{"\\'.repeat(1_000), b: [1, 2]});
    expect(hasMoreJsonValues(text, 10)).to.equal(false);
  });

  // Guards against rejecting texts with as many values as the limit allows.
  it('accepts as many scalar values as the limit', () => {
    const text = JSON.stringify({a: Array(500).fill(12_345)}, undefined, 4);
    expect(hasMoreJsonValues(text, 503)).to.equal(false);
    expect(hasMoreJsonValues(text, 500)).to.equal(true);
  });

  // Guards against a scan that takes quadratic time for strings of backslashes.
  it('scans a long string of escaped quotes and one without an end', () => {
    expect(hasMoreJsonValues(`"${'\\"'.repeat(100_000)}"`, 10)).to.equal(false);
    expect(hasMoreJsonValues(`"${'\\'.repeat(100_000)}`, 10)).to.equal(false);
    expect(hasMoreJsonValues(`"${'\\\\'.repeat(50_000)}"`, 10)).to.equal(false);
  });
});
