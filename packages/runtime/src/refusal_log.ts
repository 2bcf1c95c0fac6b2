/**
 * Bounds the log lines about refused clients to one for each reason and second. Under a
 * crowd that is refused thousands of times a second, the log would cost more than the refusals.
 */

import {truncateMessage} from '@mustardlug/base/errors';

/** Refusals of one reason. */
interface ReasonState {
  lastLineMs: number;
  /** Refusals since the last line. */
  count: number;
}

const LINE_INTERVAL_MS = 1_000;

/** Maximum length of the detail of a refusal, in characters. */
const MAX_DETAIL_LENGTH = 120;

/** Refusals of one listener since the last line about each reason. */
export class RefusalLog {
  private readonly reasons = new Map<string, ReasonState>();

  private constructor() {}

  static create(): RefusalLog {
    return new RefusalLog();
  }

  /**
   * Counts a refusal.
   * @param reason - Name of the reason, of which there are few.
   * @param detail - Description of this refusal.
   * @param nowMs - Monotonic time.
   * @returns Text of the line to log; undefined if none is due.
   */
  add(reason: string, detail: string, nowMs: number): string | undefined {
    let state = this.reasons.get(reason);
    if (state === undefined) {
      state = {lastLineMs: -Infinity, count: 0};
      this.reasons.set(reason, state);
    }
    state.count++;
    if (nowMs - state.lastLineMs < LINE_INTERVAL_MS) return undefined;
    const text = `${reason}, ${state.count} since the last line: ${truncateMessage(detail, MAX_DETAIL_LENGTH)}`;
    state.lastLineMs = nowMs;
    state.count = 0;
    return text;
  }
}
