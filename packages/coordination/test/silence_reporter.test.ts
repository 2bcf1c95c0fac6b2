import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {HybridLogicalClock} from '@mustardlug/telemetry/hybrid_logical_clock';
import {expect} from 'chai';
import {SilenceReporter} from '../src/silence_reporter.js';
import {addTestRun, createTestLoad} from './test_runs.js';

describe(SilenceReporter.name, () => {
  it('reports each silence of a worker with runs once', () => {
    const clock = VirtualClock.create();
    const hybridClock = HybridLogicalClock.create(clock);
    const events = EventRecorder.create({nodeId: 'n', clock: hybridClock});
    const reporter = SilenceReporter.create(clock, events);
    const load = createTestLoad();
    const getCountAt = (responseAgeMs: number) => {
      const session = {
        getId: () => 'worker-1',
        getLeaseEndMs: () => clock.getMonotonicMs() + 3_950,
        getResponseAgeMs: () => responseAgeMs,
        isSilent: () => responseAgeMs >= 1_500,
        load,
      };
      reporter.update([session]);
      return events.getEvents().length;
    };
    expect(getCountAt(1_500)).to.equal(0);
    addTestRun(load, {});
    expect([1_600, 1_700, 0, 1_500].map(getCountAt)).to.eql([1, 1, 1, 2]);
    expect(events.getEvents()[0].detail).to.equal(
      '1 runs, last response 1600 ms ago, given up in 3950 ms unless it responds',
    );
  });
});
