import {expect} from 'chai';
import {
  InterferenceAction,
  InterferenceController,
  NeighborAttempt,
} from '../src/interference_controller.js';

const LATENCY_FIRST = {
  tailLatencyWeight: 3,
  evictionWeight: 1,
  throughputWeight: 1,
};
const BATCH_FIRST = {
  tailLatencyWeight: 1,
  evictionWeight: 3,
  throughputWeight: 2,
};

function createNeighbor(cpuShare: number, effect = 0.2): NeighborAttempt {
  return {
    taskId: 'noisy',
    attempt: 1,
    cpuShare,
    slowdownContribution: effect,
    progress: 0.5,
  };
}

function getAction(
  controller: InterferenceController,
  slowdown: number,
  nowMs: number,
  cpuShare: number,
  measuredAtMs = nowMs,
): InterferenceAction {
  return controller.getAction({
    workerId: 'worker',
    slowdown,
    measuredAtMs,
    nowMs,
    neighbors: [createNeighbor(cpuShare)],
  });
}

describe('InterferenceController', () => {
  describe('getAction', () => {
    it('throttles repeatedly and evicts once the minimum CPU share is reached', () => {
      const controller = InterferenceController.create(LATENCY_FIRST);
      const kinds = [1, 0.5, 0.25].map(
        (share, index) => getAction(controller, 2, index * 10_000, share).kind,
      );
      expect(kinds).to.deep.equal(['throttle', 'throttle', 'evict']);
    });

    it('takes no further action until a measurement can reflect the previous one', () => {
      const controller = InterferenceController.create(LATENCY_FIRST);
      expect(getAction(controller, 2, 1_000, 1).kind).to.equal('throttle');
      expect(getAction(controller, 2, 5_000, 0.5, 900).kind).to.equal('none');
    });

    it('does not restore a CPU share if the predicted slowdown exceeds the limit', () => {
      const controller = InterferenceController.create(LATENCY_FIRST);
      getAction(controller, 2, 0, 1);
      getAction(controller, 1, 1_000, 0.5);
      expect(getAction(controller, 1, 20_000, 0.5).kind).to.equal('none');
    });

    it('restores the CPU share after the delay if the predicted slowdown is within the limit', () => {
      const controller = InterferenceController.create(BATCH_FIRST);
      getAction(controller, 3, 0, 1);
      getAction(controller, 1, 1_000, 0.5);
      expect(getAction(controller, 1, 5_000, 0.5).kind).to.equal('none');
      expect(getAction(controller, 1, 20_000, 0.5).kind).to.equal('throttle');
    });

    it('derives the slowdown limit from the objective weights', () => {
      const latencyFirst = InterferenceController.create(LATENCY_FIRST);
      const batchFirst = InterferenceController.create(BATCH_FIRST);
      expect(getAction(latencyFirst, 1.2, 0, 1).kind).to.equal('throttle');
      expect(getAction(batchFirst, 1.2, 0, 1).kind).to.equal('none');
    });
  });
});
