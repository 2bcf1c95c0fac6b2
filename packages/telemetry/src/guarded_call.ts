/** Boundary at which an unexpected error of one input is recorded instead of ending the process. */

import {truncateMessage} from '@mustardlug/base/errors';
import {EventRecorder} from './event_recorder.js';

/**
 * Calls a function and records an error that it throws.
 * @param events - Recorder of the process.
 * @param subject - What is being handled, for the event.
 * @param call - Function to call.
 * @returns Whether it returned without an error.
 */
export function runGuarded(
  events: EventRecorder,
  subject: string,
  call: () => void,
): boolean {
  try {
    call();
    return true;
  } catch (error) {
    recordInternalError(events, subject, error);
    return false;
  }
}

/**
 * Records an unexpected error.
 * @param events - Recorder of the process.
 * @param subject - What was being handled.
 * @param error - Thrown value.
 */
export function recordInternalError(
  events: EventRecorder,
  subject: string,
  error: unknown,
): void {
  const text = error instanceof Error ? (error.stack ?? error.message) : error;
  const detail = truncateMessage(`handling ${subject} failed: ${String(text)}`);
  events.addEvent('internal-error', {detail});
}
