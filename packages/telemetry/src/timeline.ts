/** Merges the events of several processes into one timeline. */

import {RecordedEvent} from './event_recorder.js';
import {compareTimestamps} from './hybrid_logical_clock.js';

/** Field values that an event must match; fields that are not set match every event. */
export interface TimelineFilter {
  readonly requestId?: string;
  readonly taskId?: string;
  readonly workerId?: string;
  readonly nodeId?: string;
}

/**
 * Merges events and sorts them by hybrid timestamp, then by node id.
 * @param sources - Events of each process.
 * @param filter - Events to include; all by default.
 */
export function mergeTimeline(
  sources: ReadonlyArray<readonly RecordedEvent[]>,
  filter: TimelineFilter = {},
): RecordedEvent[] {
  const matching = sources
    .flat()
    .filter(event => isMatchingEvent(event, filter));
  return matching.sort(compareEvents);
}

function compareEvents(left: RecordedEvent, right: RecordedEvent): number {
  const byTime = compareTimestamps(left.at, right.at);
  if (byTime !== 0) return byTime;
  return left.nodeId.localeCompare(right.nodeId);
}

function isMatchingEvent(
  event: RecordedEvent,
  filter: TimelineFilter,
): boolean {
  const keys = ['requestId', 'taskId', 'workerId', 'nodeId'] as const;
  for (const key of keys) {
    const expected = filter[key];
    if (expected !== undefined && event[key] !== expected) return false;
  }
  return true;
}
