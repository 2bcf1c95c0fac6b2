/** Structured logging: one JSON object per line. */

import winston from 'winston';
import {EventSink, RecordedEvent} from './event_recorder.js';

/** Minimum severity of the events that are written; `silent` disables the log. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug' | 'silent';

export type LogStream = 'stdout' | 'stderr';

const ALL_LEVELS = ['error', 'warn', 'info', 'debug'];

/**
 * Creates a sink that writes events as JSON lines.
 * @param level - Minimum severity to write.
 * @param stream - Output stream.
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
    // Checked first because winston formats an event before it discards it by level.
    if (!logger.isLevelEnabled(event.level)) return;
    const {level: eventLevel, ...fields} = event;
    logger.log({level: eventLevel, message: event.name, ...fields});
  };
}
