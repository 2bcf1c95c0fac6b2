import {expect} from 'chai';
import {
  BatchNeighbor,
  DisturbanceAction,
  DisturbanceController,
} from '../src/disturbance_controller.js';

const RED_CLAY = {tailLatencyWeight: 3, evictionWeight: 1, throughputWeight: 1};
const KAVANGO = {tailLatencyWeight: 1, evictionWeight: 3, throughputWeight: 2};

function createNeighbor(cpuShare: number, effect = 0.2): BatchNeighbor {
  return {taskId: 'noisy', attempt: 1, cpuShare, effect, progress: 0.5};
}

function decide(
  controller: DisturbanceController,
  slowdown: number,
  atMs: number,
  cpuShare: number,
  measuredAtMs = atMs,
): DisturbanceAction {
  return controller.getAction({
    workerId: 'worker',
    slowdown,
    measuredAtMs,
    nowMs: atMs,
    neighbors: [createNeighbor(cpuShare)],
  });
}

describe('DisturbanceController', () => {
  describe('getAction', () => {
    it('throttles first and evicts only what cannot be throttled more', () => {
      const controller = DisturbanceController.create(RED_CLAY);
      const kinds = [1, 0.5, 0.25].map(
        (share, index) => decide(controller, 2, index * 10_000, share).kind,
      );
      expect(kinds).to.deep.equal(['throttle', 'throttle', 'evict']);
    });

    it('takes no second action before the first can have shown', () => {
      const controller = DisturbanceController.create(RED_CLAY);
      expect(decide(controller, 2, 1_000, 1).kind).to.equal('throttle');
      expect(decide(controller, 2, 5_000, 0.5, 900).kind).to.equal('none');
    });

    it('does not restore what would have to be throttled again', () => {
      const controller = DisturbanceController.create(RED_CLAY);
      decide(controller, 2, 0, 1);
      decide(controller, 1, 1_000, 0.5);
      expect(decide(controller, 1, 20_000, 0.5).kind).to.equal('none');
    });

    it('restores after a calm time when there is room for it', () => {
      const controller = DisturbanceController.create(KAVANGO);
      decide(controller, 3, 0, 1);
      decide(controller, 1, 1_000, 0.5);
      expect(decide(controller, 1, 5_000, 0.5).kind).to.equal('none');
      expect(decide(controller, 1, 20_000, 0.5).kind).to.equal('throttle');
    });

    it('decides by the weights of the objective', () => {
      const redClay = DisturbanceController.create(RED_CLAY);
      const kavango = DisturbanceController.create(KAVANGO);
      expect(decide(redClay, 1.2, 0, 1).kind).to.equal('throttle');
      expect(decide(kavango, 1.2, 0, 1).kind).to.equal('none');
    });
  });
});
