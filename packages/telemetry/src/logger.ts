/** Structured logs: one JSON object a line. */

import winston from 'winston';
import {EventSink, RecordedEvent} from './event_recorder.js';

/** Least severe level that is written. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug' | 'silent';

/**
 * Creates a sink that writes events as JSON lines to standard error.
 * @param level - Least severe level to write.
 */
export function createLogSink(level: LogLevel): EventSink {
  if (level === 'silent') return () => undefined;
  const logger = winston.createLogger({
    level,
    format: winston.format.json(),
    transports: [
      new winston.transports.Console({
        stderrLevels: ['error', 'warn', 'info', 'debug'],
      }),
    ],
  });
  return (event: RecordedEvent) => {
    // The logger would format the event before it drops it.
    if (!logger.isLevelEnabled(event.level)) return;
    const {level: eventLevel, ...fields} = event;
    logger.log({level: eventLevel, message: event.name, ...fields});
  };
}
