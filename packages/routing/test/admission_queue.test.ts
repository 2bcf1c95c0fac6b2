import {expect} from 'chai';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {AdmissionQueue, QueuedRequest} from '../src/admission_queue.js';

const LATENCY_MS = 100;

describe('AdmissionQueue', () => {
  describe('getAdmission', () => {
    function checkAdmission(
      queued: number,
      remainingMs: number,
      slots: number,
      expected: 'admitted' | 'refused',
    ): void {
      const clock = VirtualClock.create();
      const queue = AdmissionQueue.create<QueuedRequest>(clock);
      for (let index = 0; index < queued; index++) {
        const id = String(index);
        queue.addRequest({id, deadlineMs: index, sequence: index});
      }
      const admission = queue.getAdmission(
        clock.getMonotonicMs() + remainingMs,
        {slots, inProgress: slots, typicalLatencyMs: LATENCY_MS},
      );
      expect(admission.kind).to.equal(expected);
      if (admission.kind === 'refused') {
        expect(admission.retryAfterMs).to.be.greaterThan(0);
      }
    }

    it('admits into a short queue', () =>
      checkAdmission(0, 1_000, 8, 'admitted'));
    it('refuses a request that cannot meet its deadline', () =>
      checkAdmission(7, 200, 8, 'refused'));
    it('refuses when the estimated wait exceeds one typical latency', () =>
      checkAdmission(20, 10_000, 8, 'refused'));
    it('refuses when there are no slots', () =>
      checkAdmission(0, 1_000, 0, 'refused'));
  });

  describe('removeFirst', () => {
    it('removes the earliest deadline first', () => {
      const queue = AdmissionQueue.create<QueuedRequest>(VirtualClock.create());
      for (const deadlineMs of [30, 10, 20]) {
        queue.addRequest({id: String(deadlineMs), deadlineMs, sequence: 0});
      }
      const order = [1, 2, 3].map(() => queue.removeFirst()?.deadlineMs);
      expect(order).to.deep.equal([10, 20, 30]);
    });
  });
});
