/**
 * Limits the start commands in progress while this process falls behind.
 *
 * Load pattern: many steps become eligible at once on a VM that is short of
 * processor time. Commands that are sent all at once wait for each other, time out
 * although they are executed, and are repeated, so that the process falls behind
 * further. Tasks that are held back wait in the order of their priority instead.
 *
 * Timers are late whatever keeps the process busy. Holding starts back does not help
 * if they are not the cause: the work that waits grows, and with it its cost, so that
 * the process falls behind further. One command for each worker that can take it is
 * therefore admitted however late timers are, and fewer only while workers respond
 * late. The time for which a response waits for this process is no part of its
 * response time. A command whose response is overdue, measured by the others, is not
 * in progress any more: it takes no processor time.
 */

import {Clock} from '@mustardlug/base/clock';
import {EventLoopDelay} from '@mustardlug/base/event_loop_delay';
import {ResponseTimeEstimator} from '@mustardlug/base/response_time_estimator';

/** Delay of a timer above which the process counts as falling behind. */
const MAX_DELAY_MS = 150;

/** Delay of a timer below which the process counts as keeping up. */
const LOW_DELAY_MS = 50;

const INITIAL_LIMIT = 256;

const MIN_LIMIT = 8;

const MAX_LIMIT = 2_048;

const DECREASE_FACTOR = 0.7;

const INCREASE_FACTOR = 1.1;

/** Response time of a command that counts as late: the time limit of a command without congestion. */
const LATE_RESPONSE_MS = 300;

/** Factor by which a late response lowers the number of commands that are always admitted. */
const LATE_DECREASE_FACTOR = 0.9;

/** Time without a response for which a command always counts as in progress. */
const MIN_PROGRESS_MS = 100;

/** A start command in progress. */
export interface OpenCommand {
  readonly sentMs: number;
}

/** Tracks start commands in progress, and limits them by the delay of this process's timers. */
export class StartWindow {
  /** Delay with which this process notices responses. */
  readonly eventLoopDelay: EventLoopDelay;
  /** Commands without a response, the oldest first; those that are overdue are removed. */
  private readonly openCommands = new Set<OpenCommand>();
  private readonly responseTimes = ResponseTimeEstimator.create();
  private limit = INITIAL_LIMIT;
  private usableWorkerCount = 0;
  /** Number of commands that are answered in time, if late responses have told. */
  private promptLimit = Infinity;

  private constructor(private readonly clock: Clock) {
    this.eventLoopDelay = EventLoopDelay.create(clock);
  }

  /**
   * Creates a window that does not measure delays yet.
   * @param clock - Clock of the process, whose timers fire late while it is busy.
   */
  static create(clock: Clock): StartWindow {
    return new StartWindow(clock);
  }

  /** Measures the delay of timers until `stop` is called. */
  start(): void {
    this.eventLoopDelay.start(delayMs => this.recordDelay(delayMs));
  }

  stop(): void {
    this.eventLoopDelay.stop();
  }

  /** Gets how late the last timer fired, in milliseconds. */
  getDelayMs(): number {
    return this.eventLoopDelay.getLastDelayMs();
  }

  /** Gets the number of start commands that may be in progress. */
  getLimit(): number {
    return Math.max(this.limit, this.getMinLimit());
  }

  /** Gets the number of start commands in progress. */
  getCommandCount(): number {
    const progressMs = this.responseTimes.getLimitMs(MIN_PROGRESS_MS);
    const oldestMs = this.eventLoopDelay.getObservedMs() - progressMs;
    for (const command of this.openCommands) {
      if (command.sentMs >= oldestMs) break;
      this.openCommands.delete(command);
    }
    return this.openCommands.size;
  }

  /** Gets the number of start commands that may be added to those in progress. */
  getFreeCount(): number {
    return Math.max(0, Math.floor(this.getLimit()) - this.getCommandCount());
  }

  /** Records that a start command is sent. */
  addCommand(): OpenCommand {
    const command = {sentMs: this.clock.getMonotonicMs()};
    this.openCommands.add(command);
    return command;
  }

  /**
   * Records that a start command was answered or has timed out.
   * @param command - Command.
   * @param elapsedMs - Time until the response was noticed; undefined if there was
   *     none, as from a worker that has crashed.
   */
  removeCommand(command: OpenCommand, elapsedMs?: number): void {
    this.openCommands.delete(command);
    if (elapsedMs === undefined) return;
    const {eventLoopDelay} = this;
    const responseMs =
      elapsedMs - eventLoopDelay.getUnobservedMs(command.sentMs);
    this.responseTimes.record(responseMs);
    if (responseMs <= LATE_RESPONSE_MS) {
      this.promptLimit++;
      return;
    }
    const minLimit = this.getMinLimit();
    this.promptLimit = Math.max(MIN_LIMIT, minLimit * LATE_DECREASE_FACTOR);
  }

  /**
   * Sets the number of workers that can be sent start commands.
   * @param count - Number of workers.
   */
  setUsableWorkerCount(count: number): void {
    this.usableWorkerCount = count;
  }

  /** Gets the number of commands that are admitted however late timers are. */
  private getMinLimit(): number {
    return Math.max(
      MIN_LIMIT,
      Math.min(this.promptLimit, this.usableWorkerCount),
    );
  }

  private recordDelay(delayMs: number): void {
    if (delayMs > MAX_DELAY_MS)
      this.limit = Math.max(MIN_LIMIT, this.limit * DECREASE_FACTOR);
    else if (delayMs < LOW_DELAY_MS)
      this.limit = Math.min(MAX_LIMIT, this.limit * INCREASE_FACTOR);
  }
}
