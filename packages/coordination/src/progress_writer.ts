/**
 * Stores state changes, and defers the actions that depend on them until they are stored.
 *
 * Load pattern: tasks of many jobs are placed at once, and their rows need several
 * commits. The starts of urgent jobs go out with the first one.
 */

import {Clock} from '@mustardlug/base/clock';
import {encodeRowValue} from '@mustardlug/jobs/job_codec';
import {JobState} from '@mustardlug/jobs/job_state';
import {
  MAX_KEY_BYTES,
  RowAddress,
  RowWrite,
} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {CommitLog, CommitOutcome, MAX_COMMIT_ROWS} from './commit_log.js';
import {CommitSizeLimit} from './commit_size_limit.js';
import {InterferenceModel} from './interference_model.js';
import {LeaseBounds} from './lease_bounds.js';
import {OwnDelay} from './own_delay.js';
import {ProgressRows} from './progress_rows.js';
import {RejectedJobs} from './rejected_jobs.js';
import {COORDINATOR_PART, EFFECT_TABLE} from './tables.js';

export interface ProgressWriterOptions {
  readonly clock: Clock;
  readonly events: EventRecorder;
  readonly commitLog: CommitLog;
  readonly interferenceModel: InterferenceModel;
  readonly leaseBounds: LeaseBounds;
  readonly ownDelay: OwnDelay;
  /** Receives the jobs whose progress the store rejects. */
  readonly rejectedJobs: RejectedJobs;
  /** Called when a job was set aside, to withdraw what waits for its progress. */
  readonly onJobRejected: (job: JobState) => void;
}

/** An action that waits until changes are stored. */
interface DeferredAction {
  /** Job whose changes are waited for; all changes if absent. */
  readonly job: JobState | undefined;
  readonly run: () => void;
}

/**
 * What becomes of a change that the store rejects: its job is set aside, it is left
 * out, it is repeated later, or the term ends.
 */
type RejectionPolicy = 'set-aside' | 'omit' | 'repeat' | 'end-term';

/** A row to write or to remove. */
interface PendingChange {
  readonly write?: RowWrite;
  readonly removal?: RowAddress;
  /** Job whose progress the row stores, if any. */
  readonly job?: JobState;
  readonly onRejection: RejectionPolicy;
  readonly onStored?: () => void;
}

/** Changes that are set aside together if the store rejects them. */
type CommitUnit = readonly [PendingChange, ...PendingChange[]];

/** Interval at which the learned effects of fillers are stored for a successor. */
const EFFECTS_INTERVAL_MS = 3_000;

/** Delay before a rejected removal is repeated. */
const REMOVAL_RETRY_MS = 30_000;

/** Interval at which it is checked whether the store accepts commits again. */
const ACCEPTANCE_POLL_MS = 200;

/**
 * Time after which the term ends if the store accepts the heartbeat but no commit, as
 * another node may be served.
 */
const MAX_REJECTED_MS = 3_000;

/**
 * Writes the progress of jobs and learned effects, one commit at a time.
 */
export class ProgressWriter {
  private deferredActions: DeferredAction[] = [];
  private removals: RowAddress[] = [];
  /** Removals that the store rejected, and when they are repeated. */
  private postponedRemovals: {rows: RowAddress[]; dueMs: number} | undefined;
  private readonly sizeLimit = CommitSizeLimit.create();
  private lastEffectsMs = -Infinity;

  /** Jobs that were set aside since the current commit began. */
  private readonly rejectedNow = new Set<JobState>();
  private readonly rows: ProgressRows;

  private constructor(private readonly options: ProgressWriterOptions) {
    const {commitLog} = options;
    this.rows = ProgressRows.create(commitLog.term, commitLog.getMaxRowBytes());
  }

  /**
   * Creates a writer.
   * @param options - Commit log and sources of the stored state.
   */
  static create(options: ProgressWriterOptions): ProgressWriter {
    return new ProgressWriter(options);
  }

  /**
   * Defers an action until all current changes are stored, except those of jobs that
   * are set aside.
   * @param action - Function to call after the commit.
   */
  deferUntilStored(action: () => void): void {
    this.deferredActions.push({job: undefined, run: action});
  }

  /**
   * Defers an action until the current changes of a job are stored. It is dropped if
   * the store rejects them.
   * @param job - Job that has changed.
   * @param action - Function to call after the commit of its row.
   */
  deferUntilJobStored(job: JobState, action: () => void): void {
    this.deferredActions.push({job, run: action});
  }

  /**
   * Adds the removal of a job's progress to the next commit.
   * @param job - Job that is forgotten.
   */
  addRemoval(job: JobState): void {
    this.options.rejectedJobs.remove(job.getId());
    this.addRemovals(this.rows.getAddresses(job));
  }

  /**
   * Adds removals to the next commit.
   * @param rows - Rows of the coordinator's part.
   */
  addRemovals(rows: readonly RowAddress[]): void {
    for (const {table, part, key} of rows)
      this.removals.push({table, part, key});
  }

  /** Runs the deferred actions. Must be called only when all changes are stored. */
  runDeferredActions(): void {
    this.runActions(this.takeDeferredActions());
  }

  private runActions(actions: readonly DeferredAction[]): void {
    const startMs = this.options.clock.getMonotonicMs();
    for (const {run} of actions) run();
    this.options.ownDelay.recordSince('actions', startMs);
  }

  /**
   * Stores the progress of jobs, the changed bounds of leases, and the learned
   * effects when due. Runs the actions that were deferred before the call as soon as
   * what they wait for is stored. Jobs whose progress the store rejects are set aside,
   * and stored again when due.
   * @param jobs - Jobs that changed, in the order in which they are stored.
   * @returns `rejected` if the store accepts no commit of the term.
   */
  async commit(jobs: readonly JobState[]): Promise<CommitOutcome> {
    const {clock, ownDelay, rejectedJobs} = this.options;
    this.rejectedNow.clear();
    const accepted = jobs.filter(job => !rejectedJobs.has(job.getId()));
    const encodingMs = clock.getMonotonicMs();
    const changes = this.createProgressChanges(accepted);
    const retriedJobs = rejectedJobs.getDueJobs();
    const retries = retriedJobs.map(job => this.createProgressChanges([job]));
    ownDelay.recordSince('rows', encodingMs);
    changes.push(...this.takeOtherChanges());
    const actions = this.groupDeferredActions();
    // The rows of each retry are committed apart, as they are likely to be rejected again.
    for (const list of [changes, ...retries]) {
      const outcome = await this.commitList(list, actions);
      if (outcome !== 'committed') return outcome;
    }
    for (const job of retriedJobs) {
      if (!this.rejectedNow.has(job)) rejectedJobs.remove(job.getId());
    }
    for (const [job, waiting] of actions) {
      if (job === undefined || !rejectedJobs.has(job.getId()))
        this.runActions(waiting);
    }
    return 'committed';
  }

  private async commitList(
    changes: PendingChange[],
    actions: Map<JobState | undefined, DeferredAction[]>,
  ): Promise<CommitOutcome> {
    while (changes.length > 0) {
      const chunk = this.takeChunk(changes);
      const outcome = await this.commitUnits(groupByJob(chunk));
      if (outcome !== 'committed') return outcome;
      const unfinishedJob = changes.at(0)?.job;
      for (const job of new Set(chunk.map(each => each.job))) {
        if (job === undefined) continue;
        if (this.rejectedNow.has(job)) {
          // Rows that follow in the order of the job's rows must not be stored before these.
          removeWhere(changes, each => each.job === job);
          actions.delete(job);
        } else if (job !== unfinishedJob) {
          this.runActions(actions.get(job) ?? []);
          actions.delete(job);
        }
      }
    }
    return 'committed';
  }

  /** Commits units together, or divided if the store rejects some of them. */
  private async commitUnits(
    units: readonly CommitUnit[],
  ): Promise<CommitOutcome> {
    const outcome = await this.send(units);
    if (outcome !== 'rejected') return outcome;
    const acceptance = await this.waitForAcceptance();
    if (acceptance !== 'committed') return acceptance;
    return this.divide(units);
  }

  /** Commits the halves of units that were rejected together, until the rejected ones are found. */
  private async divide(units: readonly CommitUnit[]): Promise<CommitOutcome> {
    if (units.length === 1) return this.handleRejection(units[0]);
    const middle = units.length >> 1;
    for (const half of [units.slice(0, middle), units.slice(middle)]) {
      let outcome = await this.send(half);
      if (outcome === 'rejected') outcome = await this.divide(half);
      if (outcome !== 'committed') return outcome;
    }
    return 'committed';
  }

  private handleRejection([change]: CommitUnit): CommitOutcome {
    const {clock, events, rejectedJobs, onJobRejected} = this.options;
    const {job, onRejection} = change;
    if (job !== undefined) {
      this.rejectedNow.add(job);
      rejectedJobs.add(job);
      onJobRejected(job);
      return 'committed';
    }
    const address = change.write ?? change.removal;
    events.addEvent('row-rejected', {
      detail: `${address?.table} ${address?.key}`,
    });
    if (onRejection === 'repeat' && change.removal !== undefined) {
      this.postponedRemovals ??= {
        rows: [],
        dueMs: clock.getMonotonicMs() + REMOVAL_RETRY_MS,
      };
      this.postponedRemovals.rows.push(change.removal);
    }
    return onRejection === 'end-term' ? 'rejected' : 'committed';
  }

  /**
   * Waits until the store accepts a commit without rows, so that a rejection of others is
   * due to their rows.
   * @returns `rejected` if it accepts the heartbeat and no commit.
   */
  private async waitForAcceptance(): Promise<CommitOutcome> {
    const {clock, commitLog, events} = this.options;
    const startMs = clock.getMonotonicMs();
    let isReported = false;
    for (;;) {
      const outcome = await commitLog.commit({writes: [], removals: []});
      if (outcome !== 'rejected') return outcome;
      if (!isReported) events.addEvent('commits-rejected');
      isReported = true;
      const isTermConfirmed = commitLog.getLastConfirmedSendMs() > startMs;
      const elapsedMs = clock.getMonotonicMs() - startMs;
      if (isTermConfirmed && elapsedMs >= MAX_REJECTED_MS) return 'rejected';
      await clock.sleep(ACCEPTANCE_POLL_MS);
    }
  }

  private async send(units: readonly CommitUnit[]): Promise<CommitOutcome> {
    const {clock, commitLog, ownDelay} = this.options;
    const writes: RowWrite[] = [];
    const removals: RowAddress[] = [];
    let sizeBytes = 0;
    for (const {write, removal} of units.flat()) {
      if (write !== undefined) writes.push(write);
      if (removal !== undefined) removals.push(removal);
      sizeBytes += write?.value.length ?? 0;
    }
    const sentMs = clock.getMonotonicMs();
    const outcome = await commitLog.commit({writes, removals});
    const durationMs = clock.getMonotonicMs() - sentMs;
    this.sizeLimit.recordCommit(sizeBytes, durationMs);
    ownDelay.record('commit', durationMs);
    if (outcome === 'committed') {
      for (const {onStored} of units.flat()) onStored?.();
    }
    return outcome;
  }

  /** Removes the changes of the next commit from a list, one at least if there are any. */
  private takeChunk(changes: PendingChange[]): PendingChange[] {
    const maxBytes = this.sizeLimit.getMaxBytes();
    let count = 0;
    let sizeBytes = 0;
    for (const {write} of changes) {
      sizeBytes += write?.value.length ?? 0;
      if (count > 0 && sizeBytes > maxBytes) break;
      if (count >= MAX_COMMIT_ROWS) break;
      count++;
    }
    return changes.splice(0, count);
  }

  private takeDeferredActions(): DeferredAction[] {
    const actions = this.deferredActions;
    this.deferredActions = [];
    return actions;
  }

  private groupDeferredActions(): Map<JobState | undefined, DeferredAction[]> {
    const actionsByJob = new Map<JobState | undefined, DeferredAction[]>();
    for (const action of this.takeDeferredActions()) {
      const actions = actionsByJob.get(action.job) ?? [];
      actions.push(action);
      actionsByJob.set(action.job, actions);
    }
    return actionsByJob;
  }

  private createProgressChanges(jobs: readonly JobState[]): PendingChange[] {
    this.options.ownDelay.addWork('stored-row', jobs.length);
    return jobs.flatMap(job => {
      if (job.phase === 'pending' && job.hasRuns()) job.phase = 'running';
      return this.rows.createChanges(job).map<PendingChange>(change => ({
        ...change,
        job,
        onRejection: 'set-aside',
      }));
    });
  }

  private takeOtherChanges(): PendingChange[] {
    const bounds = this.options.leaseBounds.takeChanges();
    // A successor waits longer without a bound, and learns effects again.
    const changes: PendingChange[] = [
      ...this.createDueEffectWrites(),
      ...bounds.writes,
    ].map(write => ({write, onRejection: 'omit'}));
    // Leases are granted again as soon as a bound is removed.
    for (const removal of bounds.removals)
      changes.push({removal, onRejection: 'end-term'});
    for (const removal of this.takeRemovals())
      changes.push({removal, onRejection: 'repeat'});
    return changes;
  }

  private takeRemovals(): RowAddress[] {
    const removals = this.removals;
    this.removals = [];
    const postponed = this.postponedRemovals;
    if (postponed === undefined) return removals;
    if (postponed.dueMs > this.options.clock.getMonotonicMs()) return removals;
    this.postponedRemovals = undefined;
    return [...removals, ...postponed.rows];
  }

  private createDueEffectWrites(): RowWrite[] {
    const nowMs = this.options.clock.getMonotonicMs();
    if (nowMs - this.lastEffectsMs < EFFECTS_INTERVAL_MS) return [];
    this.lastEffectsMs = nowMs;
    return (
      this.options.interferenceModel
        .getChanges()
        // The effects of an image whose name exceeds a key are learned again.
        .filter(({image}) => Buffer.byteLength(image) <= MAX_KEY_BYTES)
        .map(({image, stored}) => ({
          table: EFFECT_TABLE,
          part: COORDINATOR_PART,
          key: image,
          value: encodeRowValue(stored),
        }))
    );
  }
}

/** Groups consecutive changes of the same job; each other change is a group of its own. */
function groupByJob(changes: readonly PendingChange[]): CommitUnit[] {
  const groups: Array<[PendingChange, ...PendingChange[]]> = [];
  for (const change of changes) {
    const last = groups.at(-1);
    if (change.job !== undefined && last?.[0].job === change.job)
      last.push(change);
    else groups.push([change]);
  }
  return groups;
}

function removeWhere<T>(list: T[], isRemoved: (element: T) => boolean): void {
  const kept = list.filter(element => !isRemoved(element));
  list.splice(0, list.length, ...kept);
}
