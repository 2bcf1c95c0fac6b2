/** Merges the events of several processes into one time line. */

import {RecordedEvent} from './event_recorder.js';
import {compareTimestamps} from './hybrid_logical_clock.js';

/** Fields that an event must match; absent fields match everything. */
export interface TimelineFilter {
  readonly requestId?: string;
  readonly taskId?: string;
  readonly workerId?: string;
  readonly nodeId?: string;
}

/**
 * Merges events in the order of their hybrid timestamps.
 * @param sources - Events of each process.
 * @param filter - Fields to match.
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
    const wanted = filter[key];
    if (wanted !== undefined && event[key] !== wanted) return false;
  }
  return true;
}
