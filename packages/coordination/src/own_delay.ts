/**
 * Account of the delay that the coordinator's own process adds, apart from what is
 * measured about workers and callers. It is for operators: no decision may follow from it.
 */

import {Clock, Timer} from '@mustardlug/base/clock';
import {DurationHistogram} from '@mustardlug/telemetry/duration_histogram';

/** What a duration is of. */
export type DelayKind =
  /** How late a timer of the process fires. */
  | 'timer'
  /** Placement pass over all waiting steps. */
  | 'pass'
  /** Pass over urgent steps alone. */
  | 'urgent-pass'
  /** Handling of a worker's report. */
  | 'report'
  /** Encoding of the rows of a commit. */
  | 'rows'
  /** Actions that waited for a commit: sending start commands, and acknowledging ends. */
  | 'actions'
  /** Transaction of the progress of jobs, with its retries. */
  | 'commit'
  /** From the moment at which a task could be placed until it is, without fillers. */
  | 'placed'
  /** The same of fillers, which wait for workers that they do not disturb. */
  | 'filler-placed'
  /** From the placement of a task until its row is stored. */
  | 'stored'
  /** From then on until the first start command is sent. */
  | 'sent'
  /** From a start command to its response, which includes the worker and the network. */
  | 'answered'
  /** From the report of an ended run until it is stored, so that the worker may discard it. */
  | 'end-stored';

/** Unit of work whose number determines how long the process is busy. */
export type WorkKind =
  'waiting-step' | 'ranked-worker' | 'stored-row' | 'report' | 'start-command';

/** Receives each piece of work when it is done, within the work itself. */
export type WorkListener = (kind: WorkKind, count: number) => void;

const DELAY_KINDS: readonly DelayKind[] = [
  'timer',
  'pass',
  'urgent-pass',
  'report',
  'rows',
  'actions',
  'commit',
  'placed',
  'filler-placed',
  'stored',
  'sent',
  'answered',
  'end-stored',
];

/** Kinds during which the process does nothing else. */
const BUSY_KINDS: readonly DelayKind[] = [
  'pass',
  'urgent-pass',
  'report',
  'rows',
  'actions',
];

/** Interval at which the delay of timers is measured. */
const TIMER_INTERVAL_MS = 50;

/** Delays and work of one coordinator term. */
export class OwnDelay {
  private readonly histograms = new Map<string, DurationHistogram>();
  private readonly intervalWork: Record<WorkKind, number> = {
    'waiting-step': 0,
    'ranked-worker': 0,
    'stored-row': 0,
    report: 0,
    'start-command': 0,
  };
  /** Times from the moment at which a task could be placed to its start command, by priority. */
  private readonly startDelays = new Map<number, DurationHistogram>();
  private timer: Timer | undefined;
  private isStopped = false;

  private constructor(
    private readonly clock: Clock,
    private readonly onWork: WorkListener | undefined,
  ) {
    for (const kind of DELAY_KINDS)
      this.histograms.set(kind, DurationHistogram.create());
  }

  /**
   * Creates an account without delays.
   * @param clock - Clock of the process.
   * @param onWork - Receives the work; nothing by default.
   */
  static create(clock: Clock, onWork?: WorkListener): OwnDelay {
    return new OwnDelay(clock, onWork);
  }

  /** Measures the delay of timers until `stop` is called. */
  start(): void {
    if (this.isStopped) return;
    const dueMs = this.clock.getMonotonicMs() + TIMER_INTERVAL_MS;
    this.timer = this.clock.setTimer(TIMER_INTERVAL_MS, () => {
      this.record('timer', this.clock.getMonotonicMs() - dueMs);
      this.start();
    });
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /**
   * Records a duration.
   * @param kind - What it is of.
   * @param durationMs - Duration in milliseconds.
   */
  record(kind: DelayKind, durationMs: number): void {
    this.histograms.get(kind)?.record(durationMs);
  }

  /**
   * Records a duration that ends now.
   * @param kind - What it is of.
   * @param sinceMs - Monotonic time of its start.
   */
  recordSince(kind: DelayKind, sinceMs: number): void {
    this.record(kind, this.clock.getMonotonicMs() - sinceMs);
  }

  /**
   * Records that the first start command of a run is sent now.
   * @param priority - Priority of the task's queue.
   * @param placeableMs - Monotonic time at which the task could be placed.
   */
  recordStart(priority: number, placeableMs: number): void {
    let delays = this.startDelays.get(priority);
    if (delays === undefined) {
      delays = DurationHistogram.create();
      this.startDelays.set(priority, delays);
      this.histograms.set(`start-${priority}`, delays);
    }
    delays.record(this.clock.getMonotonicMs() - placeableMs);
  }

  /**
   * Counts work.
   * @param kind - Unit of the work.
   * @param count - Number of units.
   */
  addWork(kind: WorkKind, count = 1): void {
    this.intervalWork[kind] += count;
    this.onWork?.(kind, count);
  }

  /** Gets the delays of the term by kind, and by priority `start-PRIORITY`. */
  getHistograms(): ReadonlyMap<string, DurationHistogram> {
    return this.histograms;
  }

  /** Formats the delays and the work since the previous call. */
  takeReport(): string {
    const delays: string[] = [];
    const busy = BUSY_KINDS.map(
      kind =>
        `${kind} ${Math.round(this.histograms.get(kind)?.getIntervalSumMs() ?? 0)}`,
    );
    for (const [kind, histogram] of this.histograms) {
      const count = histogram.getIntervalCount();
      if (count === 0) continue;
      const p50Ms = formatMs(histogram.getIntervalPercentileMs(0.5));
      const p95Ms = formatMs(histogram.getIntervalPercentileMs(0.95));
      delays.push(`${kind} ${p50Ms}/${p95Ms} (${count})`);
      histogram.startInterval();
    }
    const work = Object.entries(this.intervalWork).map(
      ([kind, count]) => `${kind} ${count}`,
    );
    for (const kind of Object.keys(this.intervalWork) as WorkKind[])
      this.intervalWork[kind] = 0;
    const formattedDelays = delays.length === 0 ? 'none' : delays.join(' ');
    return `own delay p50/p95 ms (count): ${formattedDelays}; busy ms: ${busy.join(' ')}; work: ${work.join(' ')}`;
  }
}

/** Formats a duration; a tenth of a millisecond counts below ten. */
function formatMs(durationMs: number): string {
  return durationMs.toFixed(durationMs < 10 ? 1 : 0);
}
