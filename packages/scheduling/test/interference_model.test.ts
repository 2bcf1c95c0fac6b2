import {expect} from 'chai';
import {RandomSource} from '@mustardlug/base/random_source';
import {InterferenceModel} from '../src/interference_model.js';
import {PlacementHistory} from '../src/placement_history.js';

const NOISY_EFFECT = 0.06;
const QUIET_EFFECT = 0.002;
const MEASUREMENT_NOISE = 0.05;
const SAMPLE_COUNT = 800;

describe('InterferenceModel', () => {
  describe('addSample', () => {
    it('distinguishes a disruptive job from a harmless job that often runs with it', () => {
      const random = RandomSource.create(13);
      const model = InterferenceModel.create();
      for (let index = 0; index < SAMPLE_COUNT; index++) {
        const noisyCores = random.getIndex(4) * 4;
        const quietCores = random.getIndex(6) * 2;
        const error = (random.getFloat() - 0.5) * MEASUREMENT_NOISE;
        model.addSample({
          serviceName: 'desk',
          slowdown:
            1 + noisyCores * NOISY_EFFECT + quietCores * QUIET_EFFECT + error,
          neighbors: [
            {name: 'noisy', cores: noisyCores},
            {name: 'quiet', cores: quietCores},
          ],
        });
      }
      expect(model.getEffect('desk', 'noisy')).to.be.closeTo(
        NOISY_EFFECT,
        0.012,
      );
      expect(model.getEffect('desk', 'quiet')).to.be.below(0.012);
    });

    it('keeps the effect near zero after a single sample', () => {
      const model = InterferenceModel.create();
      const neighbors = [{name: 'noisy', cores: 1}];
      model.addSample({serviceName: 'desk', slowdown: 2, neighbors});
      expect(model.getEffect('desk', 'noisy')).to.be.below(0.1);
    });
  });
});

describe('PlacementHistory', () => {
  describe('getNeighborsAt', () => {
    it('returns the neighbors at the time of a delayed measurement', () => {
      const history = PlacementHistory.create();
      history.addSnapshot(100, [{name: 'first', cores: 1}]);
      history.addSnapshot(200, [{name: 'second', cores: 1}]);
      expect(history.getNeighborsAt(99)).to.equal(undefined);
      expect(history.getNeighborsAt(150)?.[0].name).to.equal('first');
      expect(history.getNeighborsAt(200)?.[0].name).to.equal('second');
    });
  });
});
