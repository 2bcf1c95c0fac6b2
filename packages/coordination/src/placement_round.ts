/**
 * Divides the placement of waiting tasks into passes of bounded duration.
 *
 * Load pattern: many steps wait for room, most of which no worker can take. A single pass over all
 * of them would keep reports, renewals and commands waiting, and steps that become
 * eligible meanwhile.
 */

import {Clock} from '@mustardlug/base/clock';
import {StepState} from '@mustardlug/jobs/job_state';

/** Time after which a pass leaves the steps that it has not tried to the next one. */
const MAX_PASS_MS = 10;

/**
 * Time in which a pass tries steps again that an earlier pass of the round has tried. The
 * rest is for those that have not been tried, so that the round ends.
 */
const MAX_RETRY_MS = MAX_PASS_MS / 2;

/** How a step is tried: in its order, or before others as it has been without a run for too long. */
type TryKind = 'in-order' | 'neglected';

/**
 * What the passes of a round have tried. A round ends with the pass that reaches the
 * last waiting step; until then, steps that are expensive to try are tried once.
 */
export class PlacementRound {
  private readonly triedSteps: Record<TryKind, Set<StepState>> = {
    'in-order': new Set(),
    neglected: new Set(),
  };
  private passStartMs = -Infinity;
  private hasTried = false;

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a round in which nothing has been tried.
   * @param clock - Clock of the coordinator.
   */
  static create(clock: Clock): PlacementRound {
    return new PlacementRound(clock);
  }

  /** Begins a pass, which continues the round unless `end` was called. */
  beginPass(): void {
    this.passStartMs = this.clock.getMonotonicMs();
    this.hasTried = false;
  }

  /** Ends the round, so that the next pass tries all steps again. */
  end(): void {
    for (const steps of Object.values(this.triedSteps)) steps.clear();
  }

  /** Checks whether the pass still has time for steps that were tried before. */
  canRetry(): boolean {
    return this.clock.getMonotonicMs() - this.passStartMs <= MAX_RETRY_MS;
  }

  /** Checks whether the pass has taken its time. Each pass tries one further step at least. */
  isPassOver(): boolean {
    if (!this.hasTried) return false;
    return this.clock.getMonotonicMs() - this.passStartMs > MAX_PASS_MS;
  }

  /**
   * Checks whether an earlier pass of the round has tried a step.
   * @param step - Step with waiting tasks.
   * @param kind - How it is tried.
   */
  isTried(step: StepState, kind: TryKind): boolean {
    return this.triedSteps[kind].has(step);
  }

  /**
   * Records that a step is tried.
   * @param step - Step with waiting tasks.
   * @param kind - How it is tried.
   */
  recordTried(step: StepState, kind: TryKind): void {
    if (this.isTried(step, kind)) return;
    this.hasTried = true;
    this.triedSteps[kind].add(step);
  }
}
