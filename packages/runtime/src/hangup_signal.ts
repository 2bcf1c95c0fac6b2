/**
 * Handling of SIGHUP. This module imports nothing, as programs call it before they load
 * anything else.
 */

/** Keeps SIGHUP from ending the process, which is its default effect. */
export function ignoreHangups(): void {
  process.on('SIGHUP', () => undefined);
}
