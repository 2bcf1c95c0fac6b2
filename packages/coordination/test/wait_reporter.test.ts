import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {HybridLogicalClock} from '@mustardlug/telemetry/hybrid_logical_clock';
import {expect} from 'chai';
import {getWaitingSteps} from '../src/placement_pass.js';
import {WaitReporter} from '../src/wait_reporter.js';
import {createTestJob, createTestStep} from './test_runs.js';

function createReporter(stepCount: number) {
  const clock = HybridLogicalClock.create(VirtualClock.create());
  const events = EventRecorder.create({nodeId: 'node-1', clock});
  const explain = () => 'reason';
  const reporter = WaitReporter.create({events, explain});
  const jobs = Array.from({length: stepCount}, () =>
    createTestJob([createTestStep()]),
  );
  const waiting = getWaitingSteps(jobs, () => SAMPLE_QUEUE, 0);
  return {events, reporter, waiting};
}

describe(WaitReporter.name, () => {
  it('reports each step once in five seconds, and at most four at a time', () => {
    const {events, reporter, waiting} = createReporter(6);
    const counts = [0, 2_000, 3_000, 4_000, 5_000, 8_000, 9_000].map(nowMs => {
      reporter.update(waiting, nowMs);
      return events.getEvents().length;
    });
    expect(counts).to.deep.equal([0, 0, 4, 6, 6, 10, 12]);
    const [{requestId, detail}] = events.getEvents();
    expect(requestId).to.equal(waiting[0].job.getId());
    expect(detail).to.equal(
      '0.0: 1 of 1 tasks waiting for 3000 ms, reason; 2 other steps wait for over 3000 ms',
    );
  });

  it('counts a wait anew once a step had no waiting tasks', () => {
    const {reporter, waiting} = createReporter(1);
    for (const nowMs of [0, 11_000]) reporter.update(waiting, nowMs);
    const summary = {oldestWaitMs: 11_000, longWaitCount: 1};
    expect(reporter.getSummary()).to.deep.equal(summary);
    reporter.update([], 12_000);
    for (const nowMs of [13_000, 14_000]) reporter.update(waiting, nowMs);
    expect(reporter.getSummary().oldestWaitMs).to.equal(1_000);
  });
});
