import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  createDefaultRowStoreFaults,
  MemoryRowStore,
} from '@mustardlug/standins/memory_row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {HybridLogicalClock} from '@mustardlug/telemetry/hybrid_logical_clock';
import {expect} from 'chai';
import {MeteredRowStore} from '../src/metered_row_store.js';
import {NodeMetrics} from '../src/node_metrics.js';

describe(NodeMetrics.name, () => {
  it('counts events and forwards them', async () => {
    const metrics = NodeMetrics.create();
    const forwarded: string[] = [];
    const events = EventRecorder.create({
      nodeId: 'node-1',
      clock: HybridLogicalClock.create(VirtualClock.create()),
      sink: metrics.createSink(event => forwarded.push(event.name)),
    });
    events.addEvent('job-accepted');
    events.addEvent('job-accepted');
    expect(forwarded).to.deep.equal(['job-accepted', 'job-accepted']);
    expect(await metrics.getText()).to.contain(
      'mustardlug_events_total{event="job-accepted"} 2',
    );
  });

  it('measures response times by method and status', async () => {
    const metrics = NodeMetrics.create();
    metrics.recordRequest('POST', 503, 20);
    expect(await metrics.getText()).to.contain(
      'mustardlug_request_seconds_count{method="POST",status="503"} 1',
    );
  });
});

describe(MeteredRowStore.name, () => {
  it('measures calls by kind and result', async () => {
    const clock = VirtualClock.create();
    const metrics = NodeMetrics.create();
    const faults = createDefaultRowStoreFaults();
    const client = MemoryRowStore.create(clock).createClient(faults);
    const store = MeteredRowStore.create(client, clock, metrics);
    const range = {table: 't', part: 'p'};
    const calls = [store.getRows(range)];
    await clock.advance(10);
    faults.isRefusing = true;
    calls.push(store.getRows(range));
    await clock.advance(10);
    await Promise.all(calls);
    const text = await metrics.getText();
    const name = 'mustardlug_store_call_seconds_count';
    expect(text).to.contain(`${name}{call="rows",result="ok"} 1`);
    expect(text).to.contain(`${name}{call="rows",result="unavailable"} 1`);
  });
});
