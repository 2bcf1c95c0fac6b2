import {expect} from 'chai';
import {renderPath} from '../src/configuration_format.js';
import {getDifferences} from '../src/value_differences.js';

function getPaths(before: unknown, after: unknown): string[] {
  return getDifferences(before, after).map(({path}) =>
    renderPath(path, field => field),
  );
}

describe('getDifferences', () => {
  it('finds none in equal values', () => {
    const value = {a: [1, {b: null}], c: 'd'};
    expect(getDifferences(value, structuredClone(value))).to.deep.equal([]);
  });

  it('matches named elements, so that a moved one does not differ', () => {
    const first = {name: 'one', limit: 1};
    const second = {name: 'two', limit: 2};
    expect(getPaths({s: [first, second]}, {s: [second, first]})).to.deep.equal(
      [],
    );
    const changed = {...second, limit: 3};
    const added = {name: 'three', limit: 4};
    expect(
      getDifferences({s: [first, second]}, {s: [changed, added]}),
    ).to.deep.equal([
      {path: ['s', {name: 'one'}], before: first, after: undefined},
      {path: ['s', {name: 'two'}, 'limit'], before: 2, after: 3},
      {path: ['s', {name: 'three'}], before: undefined, after: added},
    ]);
  });

  it('matches elements by index if a name occurs twice, so that none is left out', () => {
    const one = {name: 'one', limit: 1};
    expect(getPaths([one, one], [one, {...one, limit: 2}])).to.deep.equal([
      '1.limit',
    ]);
  });

  it('reports values of different kinds, and null, as a whole', () => {
    expect(getPaths({a: [1]}, {a: {b: 1}})).to.deep.equal(['a']);
    expect(getPaths({a: null}, {a: {}})).to.deep.equal(['a']);
    expect(getPaths([1], [1, 2])).to.deep.equal(['1']);
  });
});
