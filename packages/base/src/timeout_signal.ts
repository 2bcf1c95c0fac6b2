/**
 * Creates a signal that aborts a call after a timeout.
 *
 * After a pause of this process, timers run before the responses that arrived meanwhile are
 * read. The signal aborts only after the event loop has read them.
 * @param timeoutMs - Time until the signal aborts.
 */
export function createTimeoutSignal(timeoutMs: number): AbortSignal {
  const controller = new AbortController();
  const abort = () =>
    controller.abort(
      new DOMException(`no response within ${timeoutMs} ms`, 'TimeoutError'),
    );
  setTimeout(() => setImmediate(abort).unref(), timeoutMs).unref();
  return controller.signal;
}
