/** Records numbered events in a ring buffer for the timeline and forwards them to the log. */

import {
  EVENT_CATALOGUE,
  EventDefinition,
  EventLevel,
  EventName,
} from './event_catalogue.js';
import {HybridLogicalClock, HybridTimestamp} from './hybrid_logical_clock.js';

/** Entities that an event refers to; the timeline can be filtered by id. */
export interface EventSubject {
  readonly requestId?: string;
  readonly taskId?: string;
  readonly workerId?: string;
  readonly peerId?: string;
  readonly serviceName?: string;
  /** Free-form text for operators. */
  readonly detail?: string;
}

export interface RecordedEvent extends EventSubject {
  readonly number: number;
  readonly name: EventName;
  readonly level: EventLevel;
  readonly nodeId: string;
  readonly at: HybridTimestamp;
}

/** Receives each event synchronously when it is recorded. */
export type EventSink = (event: RecordedEvent) => void;

export interface EventRecorderOptions {
  readonly nodeId: string;
  readonly clock: HybridLogicalClock;
  /** Maximum number of events kept in memory; 4,096 by default. */
  readonly capacity?: number;
  /** Receiver of each event, usually the log. */
  readonly sink?: EventSink;
}

const DEFAULT_CAPACITY = 4096;

/** Ring buffer of the latest events of one process. */
export class EventRecorder {
  private readonly ring: RecordedEvent[] = [];
  private nextIndex = 0;
  private readonly capacity: number;

  private constructor(private readonly options: EventRecorderOptions) {
    this.capacity = options.capacity ?? DEFAULT_CAPACITY;
  }

  static create(options: EventRecorderOptions): EventRecorder {
    return new EventRecorder(options);
  }

  /**
   * Records an event with the next timestamp of the hybrid logical clock.
   * @param name - Name from the catalogue.
   * @param subject - Entities that the event refers to.
   */
  addEvent(name: EventName, subject: EventSubject = {}): void {
    const definition: EventDefinition = EVENT_CATALOGUE[name];
    const event: RecordedEvent = {
      number: definition.number,
      name,
      level: definition.level,
      nodeId: this.options.nodeId,
      at: this.options.clock.getNext(),
      ...subject,
    };
    this.ring[this.nextIndex] = event;
    this.nextIndex = (this.nextIndex + 1) % this.capacity;
    this.options.sink?.(event);
  }

  /** Gets the buffered events, oldest first. */
  getEvents(): RecordedEvent[] {
    const older = this.ring.slice(this.nextIndex);
    const newer = this.ring.slice(0, this.nextIndex);
    if (this.ring.length < this.capacity) return newer;
    return [...older, ...newer];
  }
}
