/** Clock of one simulated process, which can be suspended or killed. */

import {Clock, Timer} from '@mustardlug/base/clock';

interface DeferrableTimer {
  readonly callback: () => void;
  isCancelled: boolean;
}

/**
 * Clock whose timers are deferred while its process is suspended and discarded
 * when it is killed.
 */
export class NodeClock extends Clock {
  private state: 'running' | 'suspended' | 'killed' = 'running';
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
    return this.base.getWallMs();
  }

  override getMonotonicMs(): number {
    return this.base.getMonotonicMs();
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    const timer: DeferrableTimer = {callback, isCancelled: false};
    this.base.setTimer(delayMs, () => this.handleTimer(timer));
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
    for (const timer of this.deferredTimers.splice(0))
      this.base.setTimer(0, () => this.handleTimer(timer));
  }

  /** Kills the process; none of its timers fires any more. */
  kill(): void {
    this.state = 'killed';
    this.deferredTimers.length = 0;
  }

  /** Checks whether the process is neither suspended nor killed. */
  isRunning(): boolean {
    return this.state === 'running';
  }

  private handleTimer(timer: DeferrableTimer): void {
    if (timer.isCancelled || this.state === 'killed') return;
    if (this.state === 'suspended') {
      this.deferredTimers.push(timer);
      return;
    }
    timer.callback();
  }
}
