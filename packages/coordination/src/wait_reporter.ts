/** Reports the steps whose tasks have been waiting for long. */

import {StepState} from '@mustardlug/jobs/job_state';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {isWaitingTask} from './placement_pass.js';
import {WaitingStep} from './task_order.js';

/** Options of `WaitReporter`. */
export interface WaitReporterOptions {
  readonly events: EventRecorder;
  /** Describes why the tasks of a step are waiting. Called only for steps that are reported. */
  readonly explain: (waiting: WaitingStep) => string;
}

/** How long steps have had waiting tasks in this term. */
export interface WaitSummary {
  readonly oldestWaitMs: number;
  /** Number of steps above `LONG_WAIT_MS`. */
  readonly longWaitCount: number;
}

/** Interval of the updates. */
const UPDATE_INTERVAL_MS = 1_000;

/** Wait from which a step is reported. */
const MIN_REPORTED_WAIT_MS = 3_000;

/** Minimum time between two reports of a step. */
const REPORT_INTERVAL_MS = 5_000;

/** Maximum number of steps reported in one update. */
const MAX_REPORTED_STEPS = 4;

/** Wait above which a step counts as waiting for long. */
const LONG_WAIT_MS = 10_000;

interface StepWait {
  /** Monotonic time since which the step has had waiting tasks without interruption. */
  readonly sinceMs: number;
  lastReportMs: number;
}

/** Tracks since when steps have had waiting tasks, and reports the oldest ones. */
export class WaitReporter {
  private waits = new Map<StepState, StepWait>();
  private lastUpdateMs = -Infinity;
  private summary: WaitSummary = {oldestWaitMs: 0, longWaitCount: 0};

  private constructor(private readonly options: WaitReporterOptions) {}

  /**
   * Creates a reporter that knows of no waiting steps.
   * @param options - Events and explanation.
   */
  static create(options: WaitReporterOptions): WaitReporter {
    return new WaitReporter(options);
  }

  /**
   * Checks whether the next update is due.
   * @param nowMs - Monotonic time.
   */
  isDue(nowMs: number): boolean {
    return nowMs - this.lastUpdateMs >= UPDATE_INTERVAL_MS;
  }

  /** Gets how long steps had been waiting at the last update. */
  getSummary(): WaitSummary {
    return this.summary;
  }

  /**
   * Replaces the waiting steps, and reports the oldest of them that are due.
   * @param waiting - All steps with waiting tasks.
   * @param nowMs - Monotonic time.
   */
  update(waiting: readonly WaitingStep[], nowMs: number): void {
    this.lastUpdateMs = nowMs;
    const waits = new Map<StepState, StepWait>();
    const delayed: Array<{waiting: WaitingStep; wait: StepWait}> = [];
    let oldestWaitMs = 0;
    let longWaitCount = 0;
    for (const each of waiting) {
      const wait = this.waits.get(each.step) ?? {
        sinceMs: nowMs,
        lastReportMs: -Infinity,
      };
      waits.set(each.step, wait);
      const waitMs = nowMs - wait.sinceMs;
      oldestWaitMs = Math.max(oldestWaitMs, waitMs);
      if (waitMs > LONG_WAIT_MS) longWaitCount++;
      if (waitMs >= MIN_REPORTED_WAIT_MS) delayed.push({waiting: each, wait});
    }
    this.waits = waits;
    this.summary = {oldestWaitMs, longWaitCount};
    const due = delayed
      .filter(({wait}) => nowMs - wait.lastReportMs >= REPORT_INTERVAL_MS)
      .sort((left, right) => left.wait.sinceMs - right.wait.sinceMs)
      .slice(0, MAX_REPORTED_STEPS);
    for (const each of due) {
      each.wait.lastReportMs = nowMs;
      const waitMs = Math.round(nowMs - each.wait.sinceMs);
      this.report(each.waiting, waitMs, delayed.length - due.length);
    }
  }

  private report(waiting: WaitingStep, waitMs: number, otherCount: number) {
    const {job, occurrence, step} = waiting;
    const count = step.tasks.filter(isWaitingTask).length;
    this.options.events.addEvent('step-waiting', {
      requestId: job.getId(),
      detail: `${occurrence}.${step.index}: ${count} of ${step.tasks.length} tasks waiting for ${waitMs} ms, ${this.options.explain(waiting)}; ${otherCount} other steps wait for over ${MIN_REPORTED_WAIT_MS} ms`,
    });
  }
}
