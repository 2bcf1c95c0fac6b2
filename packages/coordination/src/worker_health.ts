/**
 * Detects workers on which runs fail, hang or take longer than on the rest of
 * the fleet, and quarantines them.
 */

import {RunOutcome} from '@mustardlug/platform/job_worker_client';
import {ResponseState} from './interference_model.js';
import {DurationModel} from './duration_model.js';
import {AssignedRun, WorkerLoad} from './worker_load.js';

export interface WorkerHealthOptions {
  readonly durationModel: DurationModel;
}

/** Observations of one worker and its quarantine state. All times are monotonic. */
interface HealthRecord {
  /** Time of the last report; negative infinity before the first one. */
  lastReportMs: number;
  /** Jobs with failed runs since the last successful run. */
  readonly failedJobs: Set<string>;
  /** Recent slowdowns of ended runs. */
  slowdowns: TimedSlowdown[];
  quarantineEndMs: number;
  /** Duration of the current quarantine, without prolongations for saturation. */
  quarantineMs: number;
  /** Monotonic time until which the result of a probe is awaited, and no other probe is placed. */
  probeDeadlineMs: number;
  isQuarantined: boolean;
  cause: QuarantineCause;
}

/**
 * Evidence that led to a quarantine: the worker's runs, or the response times
 * of its serving tasks.
 */
type QuarantineCause = 'runs' | 'responses';

/** Ratio of the actual to the expected duration of a task of a job. */
interface Slowdown {
  readonly jobId: string;
  readonly slowdown: number;
}

interface TimedSlowdown extends Slowdown {
  /** Monotonic time at which the end of the run was recorded. */
  readonly recordedMs: number;
}

/** Change of a worker's quarantine state. */
export type HealthChange = 'quarantined' | 'restored' | 'unchanged';

/** Number of jobs with consecutive failures on a worker before it is quarantined. */
const MIN_FAILED_JOBS = 2;

/**
 * Median slowdown, relative to the durations learned from the fleet, beyond
 * which a worker is quarantined.
 */
const SLOWDOWN_THRESHOLD = 1.9;

/** Median slowdown beyond which the runs of a single job suffice for a quarantine. */
const SINGLE_JOB_SLOWDOWN_THRESHOLD = 5;

/**
 * Jobs that must be observed for the lower threshold, as the estimate of a
 * single job may be wrong.
 */
const MIN_OBSERVED_JOBS = 2;

/** Age beyond which the slowdown of an ended run is discarded. */
const SLOWDOWN_WINDOW_MS = 4_000;

/** Initial duration of a quarantine. Doubles with each failed probe, up to the maximum. */
const INITIAL_QUARANTINE_MS = 2_000;
const MAX_QUARANTINE_MS = 16_000;

/** Duration of a quarantine after the latest report with saturated response times. */
const SATURATION_QUARANTINE_MS = 1_000;

/**
 * Time that a run loses when it moves to another worker: stop, start and
 * restore of the checkpoint.
 */
const RESTART_OVERHEAD_MS = 700;

/** Maximum time to wait for the result of a probe. */
const PROBE_TIMEOUT_MS = 4_000;

/**
 * Maximum fraction of the fleet in quarantine. Beyond it the cause is more
 * likely the work than the workers.
 */
const MAX_QUARANTINED_FRACTION = 0.2;

/**
 * Time after its last report from which a worker no longer counts as a part of the
 * fleet. By then its leases have expired.
 */
const FLEET_MEMBERSHIP_MS = 6_000;

/** Age from which the progress of a run is a reliable measure of its speed. */
const MIN_RUN_AGE_MS = 600;

/**
 * Usual maximum time between two reports. A run whose end is reported later may
 * have ended long before, as reports can be lost.
 */
const MAX_REPORT_INTERVAL_MS = 1_000;

/**
 * Tracks the health of all workers. Quarantined workers get no new runs, except
 * for single probes.
 */
export class WorkerHealth {
  private readonly records = new Map<string, HealthRecord>();

  private constructor(private readonly options: WorkerHealthOptions) {}

  /**
   * Creates a tracker that considers all workers healthy.
   * @param options - Model of task durations.
   */
  static create(options: WorkerHealthOptions): WorkerHealth {
    return new WorkerHealth(options);
  }

  /**
   * Checks whether a worker may get new runs.
   * @param workerId - Identifier of the worker.
   * @param nowMs - Monotonic time.
   */
  isUsable(workerId: string, nowMs: number): boolean {
    const record = this.records.get(workerId);
    if (record === undefined || !record.isQuarantined) return true;
    return nowMs >= record.quarantineEndMs && nowMs >= record.probeDeadlineMs;
  }

  /**
   * Checks whether a worker is quarantined.
   * @param workerId - Identifier of the worker.
   */
  isQuarantined(workerId: string): boolean {
    return this.records.get(workerId)?.isQuarantined ?? false;
  }

  /**
   * Forgets the observations of a worker.
   * @param workerId - Identifier of the worker.
   */
  forgetWorker(workerId: string): void {
    this.records.delete(workerId);
  }

  /**
   * Records that a run was placed. On a quarantined worker the run is a probe.
   * @param workerId - Identifier of the worker.
   * @param nowMs - Monotonic time.
   */
  recordPlacement(workerId: string, nowMs: number): void {
    const record = this.records.get(workerId);
    if (record?.isQuarantined)
      record.probeDeadlineMs = nowMs + PROBE_TIMEOUT_MS;
  }

  /**
   * Records the end of a run.
   * @param assigned - Run that ended.
   * @param end - How it ended.
   * @param nowMs - Monotonic time.
   */
  recordRunEnd(
    assigned: AssignedRun,
    end: RunOutcome,
    nowMs: number,
  ): HealthChange {
    const record = this.getRecord(assigned.run.workerId);
    if (end === 'failed') return this.recordFailure(record, assigned, nowMs);
    if (end !== 'done') return 'unchanged';
    record.failedJobs.clear();
    if (assigned.run.isAdopted) return 'unchanged';
    const slowdown = this.getEndedSlowdown(assigned, nowMs);
    const jobId = assigned.job.getId();
    record.slowdowns.push({recordedMs: nowMs, jobId, slowdown});
    const {queue} = assigned.job.accepted;
    if (!record.isQuarantined) {
      const durationMs = getEndMs(assigned, nowMs) - assigned.run.startedMs;
      this.options.durationModel.addDuration(
        queue.name,
        assigned.step,
        durationMs,
      );
      return 'unchanged';
    }
    if (slowdown > SLOWDOWN_THRESHOLD) return 'unchanged';
    return this.endQuarantine(record);
  }

  /**
   * Evaluates a worker by the progress of its runs and by its response times.
   * @param load - Runs of the worker.
   * @param workerId - Identifier of the worker.
   * @param nowMs - Monotonic time.
   * @param responseState - State of its response times.
   */
  evaluate(
    load: WorkerLoad,
    workerId: string,
    nowMs: number,
    responseState: ResponseState = 'unknown',
  ): HealthChange {
    const record = this.getRecord(workerId);
    record.lastReportMs = nowMs;
    if (responseState === 'saturated')
      return this.handleSaturation(record, nowMs);
    const isRecovered =
      record.isQuarantined &&
      record.cause === 'responses' &&
      responseState === 'unsaturated' &&
      nowMs >= record.quarantineEndMs;
    if (isRecovered) return this.endQuarantine(record);
    record.slowdowns = record.slowdowns.filter(
      ({recordedMs}) => nowMs - recordedMs < SLOWDOWN_WINDOW_MS,
    );
    if (!isSlow(this.getSlowdowns(record, load, nowMs))) return 'unchanged';
    if (record.isQuarantined) {
      if (nowMs >= record.quarantineEndMs) this.extendQuarantine(record, nowMs);
      return 'unchanged';
    }
    return this.quarantine(record, 'runs', nowMs);
  }

  /**
   * Quarantines a worker, or prolongs its quarantine. No probe is needed: the
   * response times show when the worker has recovered.
   */
  private handleSaturation(record: HealthRecord, nowMs: number): HealthChange {
    const untilMs = nowMs + SATURATION_QUARANTINE_MS;
    if (record.isQuarantined) {
      record.quarantineEndMs = Math.max(record.quarantineEndMs, untilMs);
      return 'unchanged';
    }
    const change = this.quarantine(record, 'responses', nowMs);
    if (change === 'quarantined') record.quarantineEndMs = untilMs;
    return change;
  }

  /**
   * Finds the runs that would end sooner if they were moved to another worker.
   * @param load - Runs of a quarantined worker.
   * @param nowMs - Monotonic time.
   */
  findStragglers(load: WorkerLoad, nowMs: number): AssignedRun[] {
    const stragglers: AssignedRun[] = [];
    for (const assigned of load.getRuns()) {
      if (this.isStraggler(assigned, nowMs)) stragglers.push(assigned);
    }
    return stragglers;
  }

  private isStraggler(assigned: AssignedRun, nowMs: number): boolean {
    const totalMs = getProjectedMs(assigned, nowMs);
    if (totalMs === undefined) return false;
    const expectedMs = this.getExpectedMs(assigned);
    if (totalMs < SLOWDOWN_THRESHOLD * expectedMs) return false;
    const remainingMs = totalMs - (nowMs - assigned.run.startedMs);
    return remainingMs > expectedMs + RESTART_OVERHEAD_MS;
  }

  private getSlowdowns(
    record: HealthRecord,
    load: WorkerLoad,
    nowMs: number,
  ): Slowdown[] {
    const observed: Slowdown[] = [...record.slowdowns];
    for (const assigned of load.getRuns()) {
      const slowdown = this.getRunningSlowdown(assigned, nowMs);
      if (slowdown === undefined) continue;
      observed.push({jobId: assigned.job.getId(), slowdown});
    }
    return observed;
  }

  private recordFailure(
    record: HealthRecord,
    assigned: AssignedRun,
    nowMs: number,
  ): HealthChange {
    record.failedJobs.add(assigned.job.getId());
    if (record.isQuarantined) {
      this.extendQuarantine(record, nowMs);
      return 'unchanged';
    }
    if (record.failedJobs.size < MIN_FAILED_JOBS) return 'unchanged';
    return this.quarantine(record, 'runs', nowMs);
  }

  private quarantine(
    record: HealthRecord,
    cause: QuarantineCause,
    nowMs: number,
  ): HealthChange {
    let fleetSize = 0;
    let quarantinedCount = 1;
    for (const {lastReportMs, isQuarantined} of this.records.values()) {
      if (nowMs - lastReportMs >= FLEET_MEMBERSHIP_MS) continue;
      fleetSize++;
      if (isQuarantined) quarantinedCount++;
    }
    const limit = Math.max(1, MAX_QUARANTINED_FRACTION * fleetSize);
    if (quarantinedCount > limit) return 'unchanged';
    record.isQuarantined = true;
    record.cause = cause;
    record.quarantineMs = INITIAL_QUARANTINE_MS;
    record.quarantineEndMs = nowMs + record.quarantineMs;
    record.probeDeadlineMs = -Infinity;
    return 'quarantined';
  }

  private extendQuarantine(record: HealthRecord, nowMs: number): void {
    record.quarantineMs = Math.min(record.quarantineMs * 2, MAX_QUARANTINE_MS);
    record.quarantineEndMs = nowMs + record.quarantineMs;
    record.probeDeadlineMs = -Infinity;
  }

  private endQuarantine(record: HealthRecord): HealthChange {
    record.isQuarantined = false;
    record.slowdowns = [];
    record.failedJobs.clear();
    return 'restored';
  }

  private getEndedSlowdown(assigned: AssignedRun, nowMs: number): number {
    const durationMs = getEndMs(assigned, nowMs) - assigned.run.startedMs;
    return durationMs / this.getExpectedMs(assigned);
  }

  /**
   * Gets the slowdown of a run, or `undefined` if the run is no measure of the
   * worker's speed: fillers depend on the capacity that other runs leave, and
   * long-running tasks do not end.
   */
  private getRunningSlowdown(
    assigned: AssignedRun,
    nowMs: number,
  ): number | undefined {
    if (assigned.step.spec.isFiller) return undefined;
    const totalMs = getProjectedMs(assigned, nowMs);
    if (totalMs === undefined) return undefined;
    return totalMs / this.getExpectedMs(assigned);
  }

  private getExpectedMs(assigned: AssignedRun): number {
    const {job, step} = assigned;
    const {name} = job.accepted.queue;
    return this.options.durationModel.getExpectedMs(name, step);
  }

  private getRecord(workerId: string): HealthRecord {
    let record = this.records.get(workerId);
    if (record === undefined) {
      record = {
        lastReportMs: -Infinity,
        failedJobs: new Set(),
        slowdowns: [],
        quarantineEndMs: -Infinity,
        quarantineMs: INITIAL_QUARANTINE_MS,
        probeDeadlineMs: -Infinity,
        isQuarantined: false,
        cause: 'runs',
      };
      this.records.set(workerId, record);
    }
    return record;
  }
}

/** Projects the total duration of a run, or `undefined` if there is no basis for it. */
function getProjectedMs(
  {step, run}: AssignedRun,
  nowMs: number,
): number | undefined {
  if (step.spec.isLongRunning || run.isAdopted) return undefined;
  if (!run.isConfirmed || run.isStopping) return undefined;
  const elapsedMs = nowMs - run.startedMs;
  if (elapsedMs < MIN_RUN_AGE_MS) return undefined;
  const percent = Math.max(1, run.progressPercent);
  return Math.max((100 * run.progressAgeMs) / percent, elapsedMs);
}

/** Gets the time at which a run ended, as far as reports of the worker tell. */
function getEndMs({run}: AssignedRun, nowMs: number): number {
  const listedMs = run.startedMs + run.progressAgeMs;
  return Math.min(nowMs, listedMs + MAX_REPORT_INTERVAL_MS);
}

function isSlow(observed: readonly Slowdown[]): boolean {
  const median = getMedian(observed.map(({slowdown}) => slowdown));
  const jobs = new Set(observed.map(({jobId}) => jobId));
  if (jobs.size < MIN_OBSERVED_JOBS)
    return median > SINGLE_JOB_SLOWDOWN_THRESHOLD;
  return median > SLOWDOWN_THRESHOLD;
}

function getMedian(values: readonly number[]): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
