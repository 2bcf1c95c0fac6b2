/** Records numbered events: a bounded ring for the time line, and the log. */

import {
  EVENT_CATALOGUE,
  EventDefinition,
  EventLevel,
  EventName,
} from './event_catalogue.js';
import {HybridLogicalClock, HybridTimestamp} from './hybrid_logical_clock.js';

/** What an event is about; each field is a filter of the time line. */
export interface EventSubject {
  readonly requestId?: string;
  readonly taskId?: string;
  readonly workerId?: string;
  readonly peerId?: string;
  readonly serviceName?: string;
  /** Further detail for people. */
  readonly detail?: string;
}

/** One recorded event. */
export interface RecordedEvent extends EventSubject {
  readonly number: number;
  readonly name: EventName;
  readonly level: EventLevel;
  readonly nodeId: string;
  readonly at: HybridTimestamp;
}

/** Receives each event as it is recorded. */
export type EventSink = (event: RecordedEvent) => void;

/** Options of an event recorder. */
export interface EventRecorderOptions {
  readonly nodeId: string;
  readonly clock: HybridLogicalClock;
  /** Events kept in memory. */
  readonly capacity?: number;
  /** Receiver of each event, usually the log. */
  readonly sink?: EventSink;
}

const DEFAULT_CAPACITY = 4096;

/** Bounded ring of the latest events of one process. */
export class EventRecorder {
  private readonly ring: RecordedEvent[] = [];
  private nextIndex = 0;
  private readonly capacity: number;

  private constructor(private readonly options: EventRecorderOptions) {
    this.capacity = options.capacity ?? DEFAULT_CAPACITY;
  }

  /**
   * Creates a recorder.
   * @param options - Node, clock, capacity and sink.
   */
  static create(options: EventRecorderOptions): EventRecorder {
    return new EventRecorder(options);
  }

  /**
   * Records an event.
   * @param name - Name from the catalogue.
   * @param subject - What the event is about.
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

  /** Gets the kept events, oldest first. */
  getEvents(): RecordedEvent[] {
    const older = this.ring.slice(this.nextIndex);
    const newer = this.ring.slice(0, this.nextIndex);
    if (this.ring.length < this.capacity) return newer;
    return [...older, ...newer];
  }
}
