/** Structured logs: one JSON object a line. */

import winston from 'winston';
import {EventSink, RecordedEvent} from './event_recorder.js';

/** Least severe level that is written. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug' | 'silent';

/** Stream that receives the log. */
export type LogStream = 'stdout' | 'stderr';

const ALL_LEVELS = ['error', 'warn', 'info', 'debug'];

/**
 * Creates a sink that writes events as JSON lines.
 * @param level - Least severe level to write.
 * @param stream - Stream to write to.
 */
export function createLogSink(
  level: LogLevel,
  stream: LogStream = 'stderr',
): EventSink {
  if (level === 'silent') return () => undefined;
  const logger = winston.createLogger({
    level,
    format: winston.format.json(),
    transports: [
      new winston.transports.Console({
        stderrLevels: stream === 'stderr' ? ALL_LEVELS : [],
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
