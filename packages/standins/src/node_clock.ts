/** Clock of one simulated process, which can be suspended or killed. */

import {Clock, Timer} from '@mustardlug/base/clock';

interface DeferrableTimer {
  readonly callback: () => void;
  isCancelled: boolean;
}

/**
 * Clock whose timers are deferred while its process is suspended or busy and discarded
 * when it is killed.
 */
export class NodeClock extends Clock {
  private state: 'running' | 'suspended' | 'killed' = 'running';
  /** Time of the base clock at which the process has done the work that it has spent time on. */
  private busyUntilMs = -Infinity;
  private readonly deferredTimers: DeferrableTimer[] = [];

  private constructor(private readonly base: Clock) {
    super();
  }

  /**
   * Creates the clock of a running process.
   * @param base - Clock shared by all processes.
   */
  static create(base: Clock): NodeClock {
    return new NodeClock(base);
  }

  override getWallMs(): number {
    return this.base.getWallMs() + this.getBusyMs();
  }

  override getMonotonicMs(): number {
    return this.base.getMonotonicMs() + this.getBusyMs();
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    const timer: DeferrableTimer = {callback, isCancelled: false};
    const baseDelayMs = this.getBusyMs() + Math.max(0, delayMs);
    this.base.setTimer(baseDelayMs, () => this.handleTimer(timer));
    return {
      cancel: () => {
        timer.isCancelled = true;
      },
    };
  }

  /** Suspends the process; its timers are deferred until it is resumed. */
  suspend(): void {
    if (this.state === 'running') this.state = 'suspended';
  }

  /** Resumes the process; timers that expired while it was suspended fire in order. */
  resume(): void {
    if (this.state !== 'suspended') return;
    this.state = 'running';
    this.fireDeferredTimers();
  }

  /**
   * Spends time on synchronous work of the process: its clock shows the time at once,
   * and its timers are deferred until it has passed.
   * @param durationMs - Duration of the work.
   */
  spend(durationMs: number): void {
    if (durationMs <= 0) return;
    const wasBusy = this.isBusy();
    this.busyUntilMs = this.getMonotonicMs() + durationMs;
    if (!wasBusy) this.scheduleBusyEnd();
  }

  /** Kills the process; none of its timers fires any more. */
  kill(): void {
    this.state = 'killed';
    this.deferredTimers.length = 0;
  }

  /** Checks whether the process is neither suspended, busy nor killed. */
  isRunning(): boolean {
    return this.state === 'running' && !this.isBusy();
  }

  private isBusy(): boolean {
    return this.getBusyMs() > 0;
  }

  /** Gets the time for which the process is still busy. */
  private getBusyMs(): number {
    return Math.max(0, this.busyUntilMs - this.base.getMonotonicMs());
  }

  private scheduleBusyEnd(): void {
    this.base.setTimer(this.getBusyMs(), () => {
      if (this.isBusy()) this.scheduleBusyEnd();
      else this.fireDeferredTimers();
    });
  }

  private fireDeferredTimers(): void {
    if (!this.isRunning()) return;
    for (const timer of this.deferredTimers.splice(0))
      this.base.setTimer(0, () => this.handleTimer(timer));
  }

  private handleTimer(timer: DeferrableTimer): void {
    if (timer.isCancelled || this.state === 'killed') return;
    if (!this.isRunning()) {
      this.deferredTimers.push(timer);
      return;
    }
    timer.callback();
  }
}
