/** Reports how long the runs of workers that stopped responding are waited for. */

import {Clock} from '@mustardlug/base/clock';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {WorkerSession} from './worker_session.js';

/** Part of a session that tells how long its runs are waited for. */
export type SilentSession = Pick<
  WorkerSession,
  'getId' | 'getLeaseEndMs' | 'getResponseAgeMs' | 'isSilent' | 'load'
>;

/** Time without a response in this term after which a wait is reported. */
const REPORT_DELAY_MS = 1_500;

/** A silence that has not ended. */
interface Silence {
  readonly noticedMs: number;
  isReported: boolean;
}

/** Records one event for each silence of a worker with runs. */
export class SilenceReporter {
  /** Workers that are silent, with the monotonic time at which this was noticed. */
  private silences = new Map<string, Silence>();

  private constructor(
    private readonly clock: Clock,
    private readonly events: EventRecorder,
  ) {}

  /**
   * Creates a reporter that knows of no silence.
   * @param clock - Clock of the sessions.
   * @param events - Receiver of the events.
   */
  static create(clock: Clock, events: EventRecorder): SilenceReporter {
    return new SilenceReporter(clock, events);
  }

  /**
   * Reports the silences that are new.
   * @param sessions - All workers.
   */
  update(sessions: readonly SilentSession[]): void {
    const noticedMs = this.clock.getMonotonicMs();
    const silences = new Map<string, Silence>();
    for (const session of sessions) {
      if (!session.isSilent()) continue;
      const workerId = session.getId();
      const silence = this.silences.get(workerId) ?? {
        noticedMs,
        isReported: false,
      };
      silences.set(workerId, silence);
      this.reportSilence(session, silence);
    }
    this.silences = silences;
  }

  private reportSilence(session: SilentSession, silence: Silence): void {
    const nowMs = this.clock.getMonotonicMs();
    const workerId = session.getId();
    const responseAgeMs = session.getResponseAgeMs();
    const runCount = session.load.getRunCount();
    if (silence.isReported || runCount === 0) return;
    // Before the first response in a term, its renewals may still be in progress.
    const hasResponded = Number.isFinite(responseAgeMs);
    if (!hasResponded && nowMs - silence.noticedMs < REPORT_DELAY_MS) return;
    silence.isReported = true;
    const remainingMs = Math.max(0, session.getLeaseEndMs() - nowMs);
    const response = hasResponded
      ? `last response ${responseAgeMs} ms ago`
      : 'no response in this term';
    this.events.addEvent('runs-awaited', {
      workerId,
      detail: `${runCount} runs, ${response}, given up in ${Math.round(remainingMs)} ms unless it responds`,
    });
  }
}
