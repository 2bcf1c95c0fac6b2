/** Memory and descriptors of a process, from /proc. */

import {readdirSync, readFileSync} from 'node:fs';
import {Clock, Timer} from '@mustardlug/base/clock';

const SAMPLE_INTERVAL_MS = 50;
const KB_PER_MB = 1_024;

/** Greatest observed usage of a process. */
export interface PeakUsage {
  readonly residentMb: number;
  readonly descriptors: number;
}

/** Samples the usage of a process until it is stopped. */
export class ProcessUsage {
  private peakResidentMb = 0;
  private peakDescriptors = 0;
  private timer: Timer | undefined;

  private constructor(
    private readonly pid: number,
    private readonly clock: Clock,
  ) {}

  /** Starts to sample a running process. */
  static start(pid: number, clock: Clock): ProcessUsage {
    const usage = new ProcessUsage(pid, clock);
    usage.schedule();
    return usage;
  }

  /** Takes a last sample and gets the peaks. VmHWM is the kernel's peak since the process started. */
  stop(): PeakUsage {
    this.timer?.cancel();
    this.sample();
    return {
      residentMb: Math.round(this.peakResidentMb),
      descriptors: this.peakDescriptors,
    };
  }

  private schedule(): void {
    this.timer = this.clock.setTimer(SAMPLE_INTERVAL_MS, () => {
      this.sample();
      this.schedule();
    });
  }

  private sample(): void {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      const descriptors = readdirSync(`/proc/${this.pid}/fd`).length;
      this.peakDescriptors = Math.max(this.peakDescriptors, descriptors);
      for (const field of ['VmRSS', 'VmHWM']) {
        const match = new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(status);
        const residentMb = Number(match?.[1] ?? 0) / KB_PER_MB;
        this.peakResidentMb = Math.max(this.peakResidentMb, residentMb);
      }
    } catch {
      // The process has ended, which the test checks by its exit status.
    }
  }
}
