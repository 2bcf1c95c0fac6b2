/** The clock of one process among several in virtual time; the process can be frozen or killed. */

import {Clock, Timer} from '@mustardlug/base/clock';

interface HeldTimer {
  readonly callback: () => void;
  isCancelled: boolean;
}

/** Clock whose timers are held back while its process is frozen and dropped when it is killed. */
export class NodeClock extends Clock {
  private state: 'running' | 'frozen' | 'killed' = 'running';
  private readonly held: HeldTimer[] = [];

  private constructor(private readonly base: Clock) {
    super();
  }

  /**
   * Creates the clock of a running process.
   * @param base - Clock that all processes share.
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
    const timer: HeldTimer = {callback, isCancelled: false};
    this.base.setTimer(delayMs, () => this.fire(timer));
    return {
      cancel: () => {
        timer.isCancelled = true;
      },
    };
  }

  /** Stops the process until `thaw`. */
  freeze(): void {
    if (this.state === 'running') this.state = 'frozen';
  }

  /** Lets the process go on; timers that fell due meanwhile fire in order. */
  thaw(): void {
    if (this.state !== 'frozen') return;
    this.state = 'running';
    for (const timer of this.held.splice(0))
      this.base.setTimer(0, () => this.fire(timer));
  }

  /** Ends the process. */
  kill(): void {
    this.state = 'killed';
    this.held.length = 0;
  }

  /** Checks whether the process is neither frozen nor killed. */
  isRunning(): boolean {
    return this.state === 'running';
  }

  private fire(timer: HeldTimer): void {
    if (timer.isCancelled || this.state === 'killed') return;
    if (this.state === 'frozen') {
      this.held.push(timer);
      return;
    }
    timer.callback();
  }
}
