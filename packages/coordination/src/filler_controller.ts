/**
 * Limits the interference of fillers with serving tasks on all workers. Fillers
 * are tasks that run in capacity that other tasks leave unused.
 */

import {Clock} from '@mustardlug/base/clock';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {InterferenceModel} from './interference_model.js';
import {FillerThrottler} from './filler_throttler.js';
import {WorkerSession} from './worker_session.js';

export interface FillerControllerOptions {
  readonly clock: Clock;
  readonly events: EventRecorder;
}

/** Updates the interference model from worker reports and throttles the fillers of each worker. */
export class FillerController {
  /** Interference between filler images and serving images, learned from all workers. */
  readonly interferenceModel = InterferenceModel.create();
  private readonly throttlers = new Map<string, FillerThrottler>();

  private constructor(private readonly options: FillerControllerOptions) {}

  /**
   * Creates a controller with an empty interference model.
   * @param options - Clock and event recorder.
   */
  static create(options: FillerControllerOptions): FillerController {
    return new FillerController(options);
  }

  /**
   * Checks whether fillers that may interfere with serving tasks can be added to a worker.
   * @param workerId - Identifier of the worker.
   * @param nowMs - Monotonic time.
   */
  canAddFillers(workerId: string, nowMs: number): boolean {
    return this.getThrottler(workerId).canAddFillers(nowMs);
  }

  /**
   * Forgets the CPU limits that were tried on a worker.
   * @param workerId - Identifier of the worker.
   */
  forgetWorker(workerId: string): void {
    this.throttlers.delete(workerId);
  }

  /**
   * Updates the model from a worker's latest report, and throttles or evicts its
   * fillers where they interfere.
   * @param session - Worker that reported.
   */
  applyReport(session: WorkerSession): void {
    const nowMs = this.options.clock.getMonotonicMs();
    this.interferenceModel.addReport(session.load, nowMs);
    const throttler = this.getThrottler(session.getId());
    const actions = throttler.decide(session.load, nowMs);
    if (actions.length === 0) return;
    for (const action of actions) {
      const {assigned} = action;
      const isCpuLimit = action.kind === 'limit';
      this.options.events.addEvent('run-paced', {
        requestId: assigned.job.getId(),
        taskId: assigned.taskName,
        workerId: session.getId(),
        detail: isCpuLimit ? `${action.cpuLimitPercent} %` : 'evicted',
      });
      if (isCpuLimit)
        void session.setRunCpuLimit(assigned, action.cpuLimitPercent);
      else void session.stopRun(assigned);
    }
    this.interferenceModel.recordFillerUsage(session.load, nowMs);
  }

  private getThrottler(workerId: string): FillerThrottler {
    let throttler = this.throttlers.get(workerId);
    if (throttler === undefined) {
      throttler = FillerThrottler.create(this.interferenceModel);
      this.throttlers.set(workerId, throttler);
    }
    return throttler;
  }
}
