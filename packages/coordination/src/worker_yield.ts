/**
 * Measures which part of the workers' room serves tasks that are done.
 *
 * The rest is occupied by runs that end otherwise, such as those of workers that
 * crash. Tasks that are done count with their expected duration, so that neither the
 * time until they were started nor the time until their end was noticed matters.
 */

import {Clock} from '@mustardlug/base/clock';
import {getExpectedTaskMs} from './task_order.js';
import {AssignedRun} from './worker_load.js';

/** Time for which ended runs count. */
const WINDOW_MS = 10_000;

/** Lower limit: if few runs have ended, those that were lost may be chance. */
const MIN_FRACTION = 0.2;

/** An ended run. Work is CPU time, in microseconds. */
interface EndedWork {
  readonly endMs: number;
  readonly usefulWork: number;
  readonly lostWork: number;
}

/** Fraction of the occupied room that leads to tasks that are done. */
export class WorkerYield {
  private ended: EndedWork[] = [];

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a measurement without runs.
   * @param clock - Clock of the measurement.
   */
  static create(clock: Clock): WorkerYield {
    return new WorkerYield(clock);
  }

  /**
   * Records the end of a run.
   * @param assigned - Run that has ended or was lost.
   * @param isDone - Whether its task is done.
   */
  recordRunEnd({step, run}: AssignedRun, isDone: boolean): void {
    if (step.spec.isLongRunning) return;
    const endMs = this.clock.getMonotonicMs();
    const cpuMillis = Math.max(1, step.spec.needs.cpuMillis);
    const usefulMs = isDone ? getExpectedTaskMs(step.spec) : 0;
    const lostMs = isDone ? 0 : endMs - run.startedMs;
    this.ended.push({
      endMs,
      usefulWork: cpuMillis * usefulMs,
      lostWork: cpuMillis * lostMs,
    });
  }

  /** Gets the fraction for the runs that have ended lately; 1 if there are none. */
  getFraction(): number {
    const oldestMs = this.clock.getMonotonicMs() - WINDOW_MS;
    this.ended = this.ended.filter(({endMs}) => endMs > oldestMs);
    let usefulWork = 0;
    let lostWork = 0;
    for (const each of this.ended) {
      usefulWork += each.usefulWork;
      lostWork += each.lostWork;
    }
    if (lostWork === 0) return 1;
    return Math.max(MIN_FRACTION, usefulWork / (usefulWork + lostWork));
  }
}
