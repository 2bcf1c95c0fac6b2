import {expect} from 'chai';
import {RandomSource} from '@mustardlug/base/random_source';
import {chooseHolder, Distance, HolderCandidate} from '../src/holder_router.js';

function createCandidate(
  nodeId: string,
  distance: Distance,
  inProgress: number,
): HolderCandidate {
  const load = {service: 'desk', slots: 8, inProgress, queued: 0};
  return {nodeId, distance, load, sentSince: 0};
}

describe('holder_router', () => {
  describe('chooseHolder', () => {
    function doTest(
      candidates: readonly HolderCandidate[],
      expected: string | undefined,
    ): void {
      for (let seed = 0; seed < 20; seed++) {
        const chosen = chooseHolder(candidates, RandomSource.create(seed));
        expect(chosen?.nodeId).to.equal(expected);
      }
    }

    it('prefers the own failure domain', () =>
      doTest(
        [
          createCandidate('far', 'other-region', 0),
          createCandidate('near', 'same-domain', 7),
        ],
        'near',
      ));

    it('goes to another domain when the near one is full', () =>
      doTest(
        [
          createCandidate('region', 'same-region', 3),
          createCandidate('near', 'same-domain', 8),
        ],
        'region',
      ));

    it('takes the least loaded when all are full', () =>
      doTest(
        [
          createCandidate('far', 'other-region', 9),
          createCandidate('near', 'same-domain', 12),
        ],
        'far',
      ));

    it('finds no holder among none', () => doTest([], undefined));
  });
});
