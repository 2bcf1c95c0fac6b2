/** Decides which of the runs on a lost worker may have crashed it. */

import {TaskRun} from '@mustardlug/jobs/job_state';
import {AssignedRun, isTrial, WorkerLoad} from './worker_load.js';

/** A worker that has stopped responding or was restarted. */
export interface LostWorker {
  readonly workerId: string;
  /** Monotonic time of its last response before the loss; negative infinity if there was none in this term. */
  readonly lastResponseMs: number;
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
  readonly lastResponseMs: number;
  readonly recordedMs: number;
  readonly startActivity: StartActivity;
}

/**
 * What a worker was starting when it was lost: nothing, runs that may not have
 * been started, or runs that were.
 */
type StartActivity = 'none' | 'possible' | 'certain';

/**
 * Maximum difference between the last responses of workers that were lost at
 * the same time. Covers the interval of the reports.
 */
const SIMULTANEOUS_LOSS_MS = 600;

/** Time for which losses are kept, for comparison with those that are noticed later. */
const LOSS_RETENTION_MS = 30_000;

/**
 * Compares the losses of workers. A task that crashes workers is always being
 * started when one is lost; if a worker that was starting nothing is lost at the
 * same time, the failure is likely one that they share.
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
   * @param nowMs - Monotonic time.
   * @returns The runs that may be the cause, each of them once.
   */
  recordLoss(
    lost: LostWorker,
    silentWorkers: readonly LostWorker[],
    nowMs: number,
  ): SuspectedRun[] {
    const {workerId, lastResponseMs, load} = lost;
    this.losses = this.losses.filter(
      loss => nowMs - loss.recordedMs < LOSS_RETENTION_MS,
    );
    const suspects = getSuspects(load).filter(
      ({run}) => !this.countedRuns.has(run),
    );
    for (const {run} of suspects) this.countedRuns.add(run);
    const likely = getLikelySuspects(suspects);
    const simultaneous = this.findSimultaneousLosses(
      lost,
      silentWorkers,
      nowMs,
    );
    this.losses.push({
      workerId,
      lastResponseMs,
      recordedMs: nowMs,
      startActivity: getStartActivity(suspects),
    });
    return suspects.map(assigned => {
      const isLikely = likely.includes(assigned);
      const doubt = getDoubt(lost, assigned, isLikely, simultaneous);
      return {
        assigned,
        isAttributed: doubt === undefined,
        reason: doubt ?? 'no other failure is known',
      };
    });
  }

  private findSimultaneousLosses(
    lost: LostWorker,
    silentWorkers: readonly LostWorker[],
    nowMs: number,
  ): RecordedLoss[] {
    const current = silentWorkers.map<RecordedLoss>(worker => ({
      workerId: worker.workerId,
      lastResponseMs: worker.lastResponseMs,
      recordedMs: nowMs,
      startActivity: getStartActivity(getSuspects(worker.load)),
    }));
    // A recorded loss precedes the release of the runs, after which nothing tells what was started.
    const recordedIds = new Set(this.losses.map(loss => loss.workerId));
    const unrecorded = current.filter(loss => !recordedIds.has(loss.workerId));
    return [...this.losses, ...unrecorded].filter(
      loss => loss.workerId !== lost.workerId && isSimultaneous(loss, lost),
    );
  }
}

function isSimultaneous(
  {lastResponseMs}: RecordedLoss,
  other: LostWorker,
): boolean {
  // Workers that were lost before this term have the same, infinite time.
  if (lastResponseMs === other.lastResponseMs) return true;
  return (
    Math.abs(lastResponseMs - other.lastResponseMs) <= SIMULTANEOUS_LOSS_MS
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

/** Gets the reason why a loss is not attributed to a start, or `undefined` if it is. */
function getDoubt(
  {lastResponseMs}: LostWorker,
  assigned: AssignedRun,
  isLikely: boolean,
  simultaneousLosses: readonly RecordedLoss[],
): string | undefined {
  const isOnTrial = isTrial(assigned);
  // Except beside a trial, it is not known what an earlier term was starting on the worker.
  if (!Number.isFinite(lastResponseMs) && !isOnTrial)
    return 'the worker was lost before this term';
  if (!isLikely)
    return 'it is not known to have started, unlike other runs there';
  const shared = simultaneousLosses.find(({startActivity}) =>
    isOnTrial ? startActivity === 'none' : startActivity !== 'certain',
  );
  if (shared === undefined) return undefined;
  return `${shared.workerId} was lost at the same time and is not known to have started anything`;
}
