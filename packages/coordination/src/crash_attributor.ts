/** Decides which of the runs on a lost worker may have crashed it. */

import {JobState, TaskRun} from '@mustardlug/jobs/job_state';
import {AssignedRun, isLoneTrial, isTrial, WorkerLoad} from './worker_load.js';
import {LossInterval} from './worker_session.js';

/** A worker that has stopped responding or was restarted. */
export interface LostWorker {
  readonly workerId: string;
  readonly interval: LossInterval;
  /** Whether the same process may respond again, as nothing but its silence is known. */
  readonly mayRespondAgain: boolean;
  /** Runs that were assigned to it at the loss. */
  readonly load: WorkerLoad;
}

/** A run that had just been started on a lost worker. */
export interface SuspectedRun {
  readonly assigned: AssignedRun;
  /** Whether the start is the likely cause of the loss. */
  readonly isAttributed: boolean;
  /** Why the loss is or is not attributed to the start. */
  readonly reason: string;
}

/** A loss that was recorded. */
interface RecordedLoss {
  readonly workerId: string;
  readonly interval: LossInterval;
  readonly recordedMs: number;
  readonly startActivity: StartActivity;
  /** Jobs of which the worker may have been starting a run. */
  readonly jobs: ReadonlySet<JobState>;
}

/**
 * What a worker was starting when it was lost: nothing, runs that may not have
 * been started, or runs that were.
 */
type StartActivity = 'none' | 'possible' | 'certain';

/**
 * Time around the interval of the first crash of a task in which the loss of a worker that
 * was starting nothing shows that workers fail by themselves.
 */
const UNREST_MS = 2_000;

/**
 * Time around the interval of the crash of a trial in which losses of idle workers are
 * counted. A fraction of the idle workers as below shows that workers fail by themselves.
 */
const TRIAL_UNREST_MS = 500;

/**
 * Time after a loss of a worker that was starting nothing in which its next loss is
 * likely its own failure too, and not that of the tasks which it was starting again.
 */
const REPEATED_LOSS_MS = 10_000;

/**
 * Fraction of the workers, and minimum number of them, above which simultaneous
 * losses are a failure of the fleet.
 */
const FLEET_FAILURE_FRACTION = 0.25;
const MIN_FLEET_FAILURE_LOSSES = 3;

/** Time for which losses are kept, for comparison with those that are noticed later. */
const LOSS_RETENTION_MS = 30_000;

/**
 * Compares the losses of workers. A task that crashes workers is always being
 * started when one is lost. If a worker that was starting nothing is lost at about
 * the same time, or a large part of the fleet, the failure is likely one that
 * they share.
 */
export class CrashAttributor {
  private losses: RecordedLoss[] = [];
  private readonly countedRuns = new WeakSet<TaskRun>();

  private constructor() {}

  /** Creates an attributor that knows no losses. */
  static create(): CrashAttributor {
    return new CrashAttributor();
  }

  /**
   * Records the loss of a worker.
   * @param lost - Worker that was lost.
   * @param silentWorkers - Other workers that do not respond at present.
   * @param respondingCount - Number of workers that respond.
   * @param nowMs - Monotonic time.
   * @returns The runs that may be the cause, each of them once.
   */
  recordLoss(
    lost: LostWorker,
    silentWorkers: readonly LostWorker[],
    respondingCount: number,
    nowMs: number,
  ): SuspectedRun[] {
    this.losses = this.losses.filter(
      loss => nowMs - loss.recordedMs < LOSS_RETENTION_MS,
    );
    const suspects = getSuspects(lost.load).filter(
      ({run}) => !this.countedRuns.has(run),
    );
    for (const {run} of suspects) this.countedRuns.add(run);
    const likely = getLikelySuspects(suspects);
    const others = this.getOtherLosses(lost, silentWorkers, nowMs);
    const hasFailedBefore = this.hasFailedBefore(lost);
    this.losses.push(toRecordedLoss(lost, suspects, nowMs));
    return suspects.map(assigned => {
      const isLikely = likely.includes(assigned);
      const doubt =
        getDoubt(lost, assigned, isLikely) ??
        getRepeatedFailure(assigned, hasFailedBefore) ??
        getSharedFailure(lost, assigned, others, respondingCount);
      return {
        assigned,
        isAttributed: doubt === undefined,
        reason: doubt ?? 'no other failure is known',
      };
    });
  }

  /** Checks whether the worker was lost shortly before, while it was starting nothing. */
  private hasFailedBefore(lost: LostWorker): boolean {
    return this.losses.some(
      loss =>
        loss.workerId === lost.workerId &&
        isIdle(loss) &&
        getGapMs(loss, lost) <= REPEATED_LOSS_MS,
    );
  }

  private getOtherLosses(
    lost: LostWorker,
    silentWorkers: readonly LostWorker[],
    nowMs: number,
  ): RecordedLoss[] {
    // A recorded loss precedes the release of the runs, after which nothing tells what was started.
    const recordedIds = new Set(this.losses.map(loss => loss.workerId));
    const current = silentWorkers
      .filter(({workerId}) => !recordedIds.has(workerId))
      .map(worker => toRecordedLoss(worker, getSuspects(worker.load), nowMs));
    return [...this.losses, ...current].filter(
      ({workerId}) => workerId !== lost.workerId,
    );
  }
}

function toRecordedLoss(
  {workerId, interval}: LostWorker,
  suspects: readonly AssignedRun[],
  recordedMs: number,
): RecordedLoss {
  return {
    workerId,
    interval,
    recordedMs,
    startActivity: getStartActivity(suspects),
    jobs: new Set(suspects.map(({job}) => job)),
  };
}

/** Gets the time that at least passed between two losses: none if both may have been at one moment. */
function getGapMs(
  {interval: first}: RecordedLoss,
  {interval: second}: LostWorker,
): number {
  const isFirstInTerm = Number.isFinite(first.earliestMs);
  const isSecondInTerm = Number.isFinite(second.earliestMs);
  if (!isFirstInTerm && !isSecondInTerm) return 0;
  if (!isFirstInTerm || !isSecondInTerm) return Infinity;
  return Math.max(
    0,
    first.earliestMs - second.latestMs,
    second.earliestMs - first.latestMs,
  );
}

/** Gets the runs that may have been started and are not proven. */
function getSuspects(load: WorkerLoad): AssignedRun[] {
  return [...load.getUnprovenRuns()].filter(
    ({run}) => run.isConfirmed || run.openStarts > 0 || run.isAdopted,
  );
}

function getStartActivity(suspects: readonly AssignedRun[]): StartActivity {
  if (suspects.length === 0) return 'none';
  return suspects.some(hasStartedHere) ? 'certain' : 'possible';
}

/** Checks whether a run was certainly started, or was the only one that could be. */
function hasStartedHere(assigned: AssignedRun): boolean {
  return assigned.run.isConfirmed || isTrial(assigned);
}

/** Gets the runs that were started; if none is known to have been, all of them. */
function getLikelySuspects(suspects: readonly AssignedRun[]): AssignedRun[] {
  const started = suspects.filter(hasStartedHere);
  return started.length > 0 ? started : [...suspects];
}

function isIdle({startActivity}: RecordedLoss): boolean {
  return startActivity === 'none';
}

/** Gets the reason why a run is not the likely cause on its worker, or `undefined` if it is. */
function getDoubt(
  {interval, mayRespondAgain}: LostWorker,
  assigned: AssignedRun,
  isLikely: boolean,
): string | undefined {
  if (mayRespondAgain) return 'the worker is registered and may respond again';
  // Except beside a lone trial, it is not known what an earlier term was starting on the worker.
  if (!Number.isFinite(interval.earliestMs) && !isLoneTrial(assigned))
    return 'the worker was lost before this term';
  if (isLikely) return undefined;
  return 'it is not known to have started, unlike other runs there';
}

/** Gets the failure of the worker itself that is the likely cause, or `undefined` if there is none. */
function getRepeatedFailure(
  assigned: AssignedRun,
  hasFailedBefore: boolean,
): string | undefined {
  if (!hasFailedBefore || isTrial(assigned)) return undefined;
  return 'the worker was lost shortly before, while it was starting nothing';
}

/** Gets the failure that the worker is likely to share with others, or `undefined` if there is none. */
function getSharedFailure(
  lost: LostWorker,
  assigned: AssignedRun,
  others: readonly RecordedLoss[],
  respondingCount: number,
): string | undefined {
  const isOnTrial = isTrial(assigned);
  const windowMs = isOnTrial ? 0 : UNREST_MS;
  const isLossInTerm = Number.isFinite(lost.interval.earliestMs);
  const unexplained = others.find(
    loss =>
      getGapMs(loss, lost) <= windowMs &&
      (isOnTrial && isLossInTerm
        ? isIdle(loss)
        : loss.startActivity !== 'certain'),
  );
  if (unexplained !== undefined)
    return `${unexplained.workerId} was lost at about the same time and is not known to have started anything`;
  const idleCount = others.filter(
    loss => isIdle(loss) && getGapMs(loss, lost) <= TRIAL_UNREST_MS,
  ).length;
  if (idleCount > FLEET_FAILURE_FRACTION * (respondingCount + idleCount))
    return `${idleCount} idle workers were lost at about the same time`;
  // Several tasks of a job may crash workers at the same time.
  const simultaneous = others.filter(
    loss => getGapMs(loss, lost) === 0 && !loss.jobs.has(assigned.job),
  ).length;
  const limit = FLEET_FAILURE_FRACTION * (respondingCount + simultaneous);
  if (simultaneous <= Math.max(MIN_FLEET_FAILURE_LOSSES, limit))
    return undefined;
  return `${simultaneous} other workers were lost at the same time`;
}
