/**
 * Learns the actual resource use of jobs; a job that uses more than it
 * declares is charged for its observed peak.
 */

import {AttemptReport} from '@mustardlug/platform/worker_client';
import {ResourceAmount} from './worker_view.js';

/** Largest observed resource use of a single task of a job. */
export interface ObservedPeak {
  readonly cores: number;
  readonly memoryMb: number;
}

/** Factor by which a peak decays with each lower observation. */
const PEAK_DECAY = 0.999;

/** Tracks the observed peaks of jobs and services by name. */
export class SizeEstimator {
  private readonly peaks = new Map<string, ObservedPeak>();

  private constructor() {}

  static create(): SizeEstimator {
    return new SizeEstimator();
  }

  /**
   * Updates the peak from the report of a running attempt.
   * @param report - Report of a worker.
   */
  addReport(report: AttemptReport): void {
    const peak = this.peaks.get(report.name);
    this.peaks.set(report.name, {
      cores: Math.max(report.usedCores, (peak?.cores ?? 0) * PEAK_DECAY),
      memoryMb: Math.max(
        report.usedMemoryMb,
        (peak?.memoryMb ?? 0) * PEAK_DECAY,
      ),
    });
  }

  /**
   * Merges a peak observed by another scheduler.
   * @param name - Name of the job or service.
   * @param peak - Observed peak.
   */
  addPeak(name: string, peak: ObservedPeak): void {
    const existing = this.peaks.get(name);
    this.peaks.set(name, {
      cores: Math.max(peak.cores, existing?.cores ?? 0),
      memoryMb: Math.max(peak.memoryMb, existing?.memoryMb ?? 0),
    });
  }

  /**
   * Gets the observed peak of a job, or `undefined` if none of its tasks has been observed.
   * @param name - Name of the job or service.
   */
  getPeak(name: string): ObservedPeak | undefined {
    return this.peaks.get(name);
  }

  /**
   * Gets the size to charge: the larger of the declared size and the observed peak, per resource.
   * @param name - Name of the job or service.
   * @param declared - Declared size.
   * @param limit - Largest size that a worker can provide; caps the observed peak.
   */
  getChargedSize(
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
