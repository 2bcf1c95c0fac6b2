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

    it('removes requests that can hardly be answered in time after all others', () => {
      const clock = VirtualClock.create();
      const queue = AdmissionQueue.create<QueuedRequest>(clock);
      const nowMs = clock.getMonotonicMs();
      const remaining = [10, 60, 300];
      for (const [sequence, remainingMs] of remaining.entries()) {
        const deadlineMs = nowMs + remainingMs;
        queue.addRequest({id: String(remainingMs), deadlineMs, sequence});
      }
      expect(queue.getFirst(LATENCY_MS)?.id).to.equal('60');
      expect(queue.getSize()).to.equal(3);
      const order = remaining.map(() => queue.removeFirst(LATENCY_MS)?.id);
      expect(order).to.deep.equal(['60', '300', '10']);
    });

    /** Plays a burst, and counts the requests that get the only slot while they can be answered in time. */
    async function playBurst(typicalLatencyMs: number): Promise<number> {
      const clock = VirtualClock.create();
      const queue = AdmissionQueue.create<QueuedRequest>(clock);
      let count = 0;
      // Twice as many requests arrive as are answered.
      for (let turn = 0; turn < 40; turn++) {
        const nowMs = clock.getMonotonicMs();
        for (let arrival = 0; arrival < 2; arrival++) {
          const sequence = 2 * turn + arrival;
          const deadlineMs = nowMs + 5.3 * LATENCY_MS;
          queue.addRequest({id: String(sequence), deadlineMs, sequence});
        }
        const next = queue.removeFirst(typicalLatencyMs);
        if (next !== undefined && next.deadlineMs >= nowMs + LATENCY_MS / 2)
          count++;
        await clock.advance(LATENCY_MS);
      }
      return count;
    }

    it('serves more requests in time when more were admitted than can be answered', async () => {
      const byDeadline = await playBurst(0);
      expect(await playBurst(LATENCY_MS)).to.be.above(byDeadline * 1.5);
    });
  });
});
