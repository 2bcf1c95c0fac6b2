import {expect} from 'chai';
import {RandomSource} from '@mustardlug/base/random_source';
import {chooseHolder, Distance, HolderCandidate} from '../src/holder_router.js';

function createCandidate(
  nodeId: string,
  distance: Distance,
  inProgress: number,
): HolderCandidate {
  const load = {service: 'desk', slots: 8, inProgress, queued: 0};
  return {nodeId, distance, load, requestsSinceReport: 0};
}

describe('holder_router', () => {
  describe('chooseHolder', () => {
    function checkChoice(
      candidates: readonly HolderCandidate[],
      expected: string | undefined,
    ): void {
      for (let seed = 0; seed < 20; seed++) {
        const chosen = chooseHolder(candidates, RandomSource.create(seed));
        expect(chosen?.nodeId).to.equal(expected);
      }
    }

    it('prefers holders in the same failure domain', () =>
      checkChoice(
        [
          createCandidate('far', 'other-region', 0),
          createCandidate('near', 'same-domain', 7),
        ],
        'near',
      ));

    it('spills over to another domain when the local holder is at capacity', () =>
      checkChoice(
        [
          createCandidate('region', 'same-region', 3),
          createCandidate('near', 'same-domain', 8),
        ],
        'region',
      ));

    it('chooses the least loaded holder when all are at capacity', () =>
      checkChoice(
        [
          createCandidate('far', 'other-region', 9),
          createCandidate('near', 'same-domain', 12),
        ],
        'far',
      ));

    it('returns undefined without candidates', () =>
      checkChoice([], undefined));
  });
});
