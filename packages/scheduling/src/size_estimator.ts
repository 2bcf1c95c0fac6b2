/** Learns the real size of jobs; a job seen to be larger than declared is charged as larger. */

import {AttemptReport} from '@mustardlug/platform/worker_client';
import {ResourceAmount} from './worker_view.js';

interface ObservedPeak {
  cores: number;
  memoryMb: number;
}

/** Weight with which an old peak fades when new observations are lower. */
const FADE = 0.999;

/** Observed peaks by job name. */
export class SizeEstimator {
  private readonly peaks = new Map<string, ObservedPeak>();

  private constructor() {}

  /** Creates an estimator without observations. */
  static create(): SizeEstimator {
    return new SizeEstimator();
  }

  /**
   * Takes in a report of a running attempt.
   * @param report - Report of a worker.
   */
  addReport(report: AttemptReport): void {
    const peak = this.peaks.get(report.name);
    this.peaks.set(report.name, {
      cores: Math.max(report.usedCores, (peak?.cores ?? 0) * FADE),
      memoryMb: Math.max(report.usedMemoryMb, (peak?.memoryMb ?? 0) * FADE),
    });
  }

  /**
   * Gets the size to charge: the declared one, or the observed peak where that is larger.
   * @param name - Name of the job or service.
   * @param declared - Declared size.
   * @param limit - Size of the largest worker; no more can be used.
   */
  getCharged(
    name: string,
    declared: ResourceAmount,
    limit: ResourceAmount,
  ): ResourceAmount {
    const peak = this.peaks.get(name);
    if (peak === undefined) return declared;
    return {
      cores: Math.max(declared.cores, Math.min(peak.cores, limit.cores)),
      memoryMb: Math.max(
        declared.memoryMb,
        Math.min(peak.memoryMb, limit.memoryMb),
      ),
      accelerators: declared.accelerators,
    };
  }
}
