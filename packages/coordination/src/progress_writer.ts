/** Stores state changes, and defers the actions that depend on them until they are stored. */

import {Clock} from '@mustardlug/base/clock';
import {encodeRowValue, toStoredProgress} from '@mustardlug/jobs/job_codec';
import {JobState} from '@mustardlug/jobs/job_state';
import {RowAddress, RowWrite} from '@mustardlug/platform/row_store';
import {CoordinatorStatus, QueueLoad} from './coordinator_status.js';
import {CommitLog, CommitOutcome, MAX_COMMIT_ROWS} from './commit_log.js';
import {InterferenceModel} from './interference_model.js';
import {
  COORDINATOR_STATUS_TABLE,
  COORDINATOR_PART,
  EFFECT_TABLE,
  PROGRESS_TABLE,
  SINGLE_ROW_KEY,
} from './tables.js';

export interface ProgressWriterOptions {
  readonly clock: Clock;
  readonly commitLog: CommitLog;
  readonly nodeId: string;
  readonly interferenceModel: InterferenceModel;
  /** Returns the load by name of the queue, or `undefined` while accepted jobs may be unknown. */
  readonly getQueueLoads: () => Record<string, QueueLoad> | undefined;
}

/** Interval of the coordinator status; a quarter of the age at which its holder counts as lost. */
const STATUS_INTERVAL_MS = 300;

/** Interval at which the learned effects of fillers are stored for a successor. */
const EFFECTS_INTERVAL_MS = 3_000;

/**
 * Writes the progress of jobs, the coordinator status and learned effects, one
 * commit at a time.
 */
export class ProgressWriter {
  private deferredActions: Array<() => void> = [];
  private removals: RowAddress[] = [];
  private lastStatusMs = -Infinity;
  private lastEffectsMs = -Infinity;

  private constructor(private readonly options: ProgressWriterOptions) {}

  /**
   * Creates a writer.
   * @param options - Commit log and sources of the stored state.
   */
  static create(options: ProgressWriterOptions): ProgressWriter {
    return new ProgressWriter(options);
  }

  /**
   * Defers an action until all current changes are stored.
   * @param action - Function to call after the commit.
   */
  deferUntilStored(action: () => void): void {
    this.deferredActions.push(action);
  }

  /**
   * Adds the removal of a job's progress to the next commit.
   * @param jobId - Identifier of the job.
   */
  addRemoval(jobId: string): void {
    this.removals.push({
      table: PROGRESS_TABLE,
      part: COORDINATOR_PART,
      key: jobId,
    });
  }

  /** Runs the deferred actions. Must be called only when all changes are stored. */
  runDeferredActions(): void {
    for (const action of this.takeDeferredActions()) action();
  }

  /**
   * Stores the progress of jobs, and the coordinator status and learned effects
   * when due. Then runs the actions that were deferred before the call.
   * @param jobs - Jobs that changed.
   */
  async commit(jobs: readonly JobState[]): Promise<CommitOutcome> {
    const writes = this.createProgressWrites(jobs);
    writes.push(
      ...this.createDueStatusWrites(),
      ...this.createDueEffectWrites(),
    );
    const actions = this.takeDeferredActions();
    const removals = this.removals;
    this.removals = [];
    while (writes.length + removals.length > 0) {
      const chunk = writes.splice(0, MAX_COMMIT_ROWS);
      const outcome = await this.options.commitLog.commit({
        writes: chunk,
        removals: removals.splice(0, MAX_COMMIT_ROWS - chunk.length),
      });
      if (outcome === 'superseded') return outcome;
    }
    for (const action of actions) action();
    return 'committed';
  }

  /**
   * Stores the coordinator status at once.
   * @param holder - Identifier of the coordinating node; empty to hand the role over.
   * @param maxAttempts - Attempts after which the commit counts as superseded.
   */
  commitStatus(holder: string, maxAttempts: number): Promise<CommitOutcome> {
    const writes = [this.createStatusWrite(holder)];
    return this.options.commitLog.commit({writes, removals: []}, maxAttempts);
  }

  private takeDeferredActions(): Array<() => void> {
    const actions = this.deferredActions;
    this.deferredActions = [];
    return actions;
  }

  private createProgressWrites(jobs: readonly JobState[]): RowWrite[] {
    return jobs.map(job => {
      if (job.phase === 'pending' && job.hasRuns()) job.phase = 'running';
      return {
        table: PROGRESS_TABLE,
        part: COORDINATOR_PART,
        key: job.getId(),
        value: encodeRowValue(toStoredProgress(job)),
      };
    });
  }

  private createDueStatusWrites(): RowWrite[] {
    const nowMs = this.options.clock.getMonotonicMs();
    if (nowMs - this.lastStatusMs < STATUS_INTERVAL_MS) return [];
    return [this.createStatusWrite(this.options.nodeId)];
  }

  private createStatusWrite(holder: string): RowWrite {
    const {commitLog, clock, getQueueLoads} = this.options;
    this.lastStatusMs = clock.getMonotonicMs();
    const status: CoordinatorStatus = {
      term: commitLog.term,
      holder,
      writtenStoreMs: commitLog.getStoreMs(),
      queues: getQueueLoads(),
    };
    return {
      table: COORDINATOR_STATUS_TABLE,
      part: COORDINATOR_PART,
      key: SINGLE_ROW_KEY,
      value: encodeRowValue(status),
    };
  }

  private createDueEffectWrites(): RowWrite[] {
    const nowMs = this.options.clock.getMonotonicMs();
    if (nowMs - this.lastEffectsMs < EFFECTS_INTERVAL_MS) return [];
    this.lastEffectsMs = nowMs;
    return this.options.interferenceModel
      .getChanges()
      .map(({image, stored}) => ({
        table: EFFECT_TABLE,
        part: COORDINATOR_PART,
        key: image,
        value: encodeRowValue(stored),
      }));
  }
}
