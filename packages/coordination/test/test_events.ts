/** Event recorders for tests. */

import {Clock} from '@mustardlug/base/clock';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {HybridLogicalClock} from '@mustardlug/telemetry/hybrid_logical_clock';

/**
 * Creates a recorder.
 * @param clock - Clock of the node.
 */
export function createTestEvents(clock: Clock): EventRecorder {
  return EventRecorder.create({
    nodeId: 'node-1',
    clock: HybridLogicalClock.create(clock),
    capacity: 16,
  });
}
