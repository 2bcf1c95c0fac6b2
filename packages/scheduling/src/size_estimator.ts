/** Learns the real size of jobs; a job seen to be larger than declared is charged as larger. */

import {AttemptReport} from '@mustardlug/platform/worker_client';
import {ResourceAmount} from './worker_view.js';

/** Largest observed use of the tasks of a job. */
export interface ObservedPeak {
  readonly cores: number;
  readonly memoryMb: number;
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
   * Takes in what another scheduler observed.
   * @param name - Name of the job or service.
   * @param peak - Its observation.
   */
  addPeak(name: string, peak: ObservedPeak): void {
    const known = this.peaks.get(name);
    this.peaks.set(name, {
      cores: Math.max(peak.cores, known?.cores ?? 0),
      memoryMb: Math.max(peak.memoryMb, known?.memoryMb ?? 0),
    });
  }

  /**
   * Gets the observed peak of a job, if its tasks were observed.
   * @param name - Name of the job or service.
   */
  getPeak(name: string): ObservedPeak | undefined {
    return this.peaks.get(name);
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
    if (peak === undefined) {
      const {cores, memoryMb, accelerators} = declared;
      return {cores, memoryMb, accelerators};
    }
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
