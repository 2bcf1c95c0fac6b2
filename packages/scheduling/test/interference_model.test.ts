import {expect} from 'chai';
import {RandomSource} from '@mustardlug/base/random_source';
import {InterferenceModel} from '../src/interference_model.js';
import {PlacementHistory} from '../src/placement_history.js';

const NOISY = 0.06;
const QUIET = 0.002;
const NOISE = 0.05;
const SAMPLES = 800;

describe('InterferenceModel', () => {
  describe('addSample', () => {
    it('tells a noisy job from a quiet one that often runs beside it', () => {
      const random = RandomSource.create(13);
      const model = InterferenceModel.create();
      for (let index = 0; index < SAMPLES; index++) {
        const noisyCores = random.getIndex(4) * 4;
        const quietCores = random.getIndex(6) * 2;
        const error = (random.getFloat() - 0.5) * NOISE;
        model.addSample({
          serviceName: 'desk',
          slowdown: 1 + noisyCores * NOISY + quietCores * QUIET + error,
          neighbors: [
            {name: 'noisy', cores: noisyCores},
            {name: 'quiet', cores: quietCores},
          ],
        });
      }
      expect(model.getEffect('desk', 'noisy')).to.be.closeTo(NOISY, 0.012);
      expect(model.getEffect('desk', 'quiet')).to.be.below(0.012);
    });

    it('stays near none while there is one sample', () => {
      const model = InterferenceModel.create();
      const neighbors = [{name: 'noisy', cores: 1}];
      model.addSample({serviceName: 'desk', slowdown: 2, neighbors});
      expect(model.getEffect('desk', 'noisy')).to.be.below(0.1);
    });
  });
});

describe('PlacementHistory', () => {
  describe('getStateAt', () => {
    it('gives the neighbors at the time of a lagging measurement', () => {
      const history = PlacementHistory.create();
      history.addState(100, [{name: 'first', cores: 1}]);
      history.addState(200, [{name: 'second', cores: 1}]);
      expect(history.getStateAt(99)).to.equal(undefined);
      expect(history.getStateAt(150)?.[0].name).to.equal('first');
      expect(history.getStateAt(200)?.[0].name).to.equal('second');
    });
  });
});
