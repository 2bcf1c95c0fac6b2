/** Crashes that are presumed because a worker is silent, until it responds again. */

import {SuspectedRun} from './crash_attributor.js';
import {AssignedRun} from './worker_load.js';
import {WorkerSession} from './worker_session.js';

/** What the presumption needs of a session. */
type ProcessSession = Pick<WorkerSession, 'getProcessStartMs'>;

/** Presumed crashes of one worker process. */
interface SilentProcess {
  readonly startMs: number;
  readonly runs: AssignedRun[];
}

/**
 * A silent worker whose lease has expired may have crashed, or its responses may
 * have been lost. The next response tells, by the process that it comes from.
 */
export class DoubtfulCrashes {
  private readonly processes = new WeakMap<ProcessSession, SilentProcess>();

  private constructor() {}

  /** Creates a record without crashes. */
  static create(): DoubtfulCrashes {
    return new DoubtfulCrashes();
  }

  /**
   * Adds the crashes that are presumed because a worker is silent.
   * @param session - Session of the worker.
   * @param suspected - Runs that had just been started there.
   */
  add(session: ProcessSession, suspected: readonly SuspectedRun[]): void {
    if (suspected.length === 0) return;
    const startMs = session.getProcessStartMs();
    const known = this.processes.get(session);
    const runs = known?.startMs === startMs ? known.runs : [];
    runs.push(...suspected.map(({assigned}) => assigned));
    this.processes.set(session, {startMs, runs});
  }

  /**
   * Removes the crashes of a worker that has responded.
   * @param session - Session of the worker.
   * @returns The runs that did not crash it, as the same process has responded.
   */
  takeRefuted(session: ProcessSession): readonly AssignedRun[] {
    const known = this.processes.get(session);
    if (known === undefined) return [];
    this.processes.delete(session);
    return known.startMs === session.getProcessStartMs() ? known.runs : [];
  }
}
