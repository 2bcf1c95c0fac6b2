import {expect} from 'chai';
import {
  createDocument,
  createJob,
  createService,
  SchedulerHarness,
} from '../src/scheduler_harness.js';

describe('TaskScheduler', () => {
  describe('start', () => {
    it('runs services and finishes batch tasks', async () => {
      const harness = SchedulerHarness.create({
        seed: 1,
        schedulers: 2,
        workers: 4,
        document: createDocument({
          services: [createService(4)],
          batchJobs: [createJob(60)],
        }),
      });
      await harness.clock.advance(40_000);
      expect(harness.countTasks('done')).to.equal(60);
      expect(harness.countTasks('bound')).to.equal(4);
      expect(harness.getViolations()).to.deep.equal([]);
      expect(harness.getRepeatedStarts()).to.deep.equal([]);
    });
  });
});
