/** Observes all workers and records violations of the scheduling guarantees. */

import {Clock} from '@mustardlug/base/clock';
import {
  JobSpec,
  ResourceRequirements,
  StepSpec,
} from '@mustardlug/jobs/job_spec';
import {parseTaskName, TaskName} from '@mustardlug/jobs/task_name';
import {
  EndedRun,
  RunOutcome,
  WorkerRecord,
} from '@mustardlug/platform/job_worker_client';
import {RunObserver} from '@mustardlug/standins/job_worker_model';

/** Observed history of a task. */
interface TaskHistory {
  readonly runningWorkers: Set<string>;
  isDone: boolean;
  /** Time at which a successful end was first acknowledged. */
  doneAcknowledgedMs: number | undefined;
  acknowledgedFailures: number;
  /** Numbers of the failed runs, including those whose end is not acknowledged yet. */
  readonly failedRuns: Set<number>;
  starts: number;
  /** Number of crashes of a worker on which the task was running. */
  workerCrashes: number;
  /** Starts after `MAX_WORKER_CRASHES` crashes, except by late commands. */
  startsAfterCrashes: number;
  /** Starts after each successful end that is not acknowledged yet. */
  readonly unacknowledgedEnds: UnacknowledgedEnd[];
}

/** A successful end that a worker lists until it is acknowledged. */
interface UnacknowledgedEnd {
  readonly workerId: string;
  readonly runNumber: number;
  /** Runs of the task that were started later. */
  readonly laterStarts: string[];
}

/** A run that is active on a worker. */
interface ObservedRun {
  readonly name: TaskName;
  readonly step: StepSpec;
}

/** A capacity of a worker process. */
interface KnownCapacity {
  readonly capacity: ResourceRequirements;
  /** Monotonic time at which another capacity replaced it; infinite for the current one. */
  replacedMs: number;
}

/** A job that a caller submitted. */
interface SubmittedJob {
  readonly spec: JobSpec;
  readonly maxAttempts: number;
  cancelledMs: number | undefined;
}

/** Time after an acknowledged cancellation in which tasks of the job may still start. */
const CANCELLATION_BOUND_MS = 3_000;

/** Time after an acknowledged successful end in which copies of the task may still start. */
const COPY_BOUND_MS = 1_000;

/** Number of crashes of its workers after which a task may be started only a few times more. */
const MAX_WORKER_CRASHES = 3;

/** Number of starts of a task after `MAX_WORKER_CRASHES` crashes that breaks the guarantee. */
const FORBIDDEN_STARTS_AFTER_CRASHES = 3;

/** Number of crashes of its workers after which a task may be given up. */
const MIN_WORKER_CRASHES_TO_FAIL = 2;

/**
 * Time for which a capacity that was replaced may still be used: contact time and
 * one heartbeat.
 */
const CAPACITY_BOUND_MS = 4_500;

/** Checks the runs on workers against the guarantees given to callers. */
export class InvariantChecker implements RunObserver {
  /** Violations, in order of occurrence. */
  readonly violations: string[] = [];
  /**
   * Time for which a capacity that was replaced may still be used; a test may
   * set a stricter bound.
   */
  capacityBoundMs = CAPACITY_BOUND_MS;
  private lapsedRunCount = 0;
  /** Monotonic time from which no task may start, by evacuated failure domain. */
  private readonly evacuations = new Map<string, number>();
  private readonly tasks = new Map<string, TaskHistory>();
  private readonly jobs = new Map<string, SubmittedJob>();
  /** Current processes of the workers, by worker ID. */
  private readonly workers = new Map<string, WorkerRecord>();
  /** Capacities of the current processes, oldest first, by worker ID. */
  private readonly capacities = new Map<string, KnownCapacity[]>();
  /** Active runs by worker ID and task name. */
  private readonly activeRuns = new Map<string, Map<string, ObservedRun>>();

  private constructor(
    private readonly clock: Clock,
    private readonly isCrashingTask: (taskName: string) => boolean,
  ) {}

  /**
   * Creates a checker without jobs.
   * @param clock - Clock for time bounds.
   * @param isCrashingTask - Checks whether a task crashes the workers that start it.
   */
  static create(
    clock: Clock,
    isCrashingTask: (taskName: string) => boolean = () => false,
  ): InvariantChecker {
    return new InvariantChecker(clock, isCrashingTask);
  }

  /**
   * Registers a job that a caller submits.
   * @param jobId - Identifier of the job.
   * @param spec - Specification of the job.
   * @param maxAttempts - Number of failures of a task after which the job fails.
   */
  addJob(jobId: string, spec: JobSpec, maxAttempts: number): void {
    this.jobs.set(jobId, {spec, maxAttempts, cancelledMs: undefined});
  }

  /**
   * Records that a cancellation was acknowledged.
   * @param jobId - Identifier of the job.
   */
  recordCancellation(jobId: string): void {
    const job = this.jobs.get(jobId);
    if (job !== undefined) job.cancelledMs ??= this.clock.getMonotonicMs();
  }

  /**
   * Records that the evacuation of a failure domain was requested, unless it is evacuated.
   * @param domain - Name of the domain.
   * @param boundMs - Time from which no start command may be sent to its workers.
   */
  recordEvacuation(domain: string, boundMs: number): void {
    if (this.evacuations.has(domain)) return;
    this.evacuations.set(domain, this.clock.getMonotonicMs() + boundMs);
  }

  /**
   * Records that the evacuation of a failure domain has ended.
   * @param domain - Name of the domain.
   */
  recordEvacuationEnd(domain: string): void {
    this.evacuations.delete(domain);
  }

  /**
   * Checks a phase that was reported to a caller.
   * @param jobId - Identifier of the job.
   * @param phase - Reported phase.
   */
  checkPhase(jobId: string, phase: string): void {
    if (phase === 'completed' && !this.isAllDone(jobId))
      this.addViolation(
        `${jobId} reported as completed before all tasks were done`,
      );
    if (phase === 'failed' && !this.mayFail(jobId))
      this.addViolation(
        `${jobId} reported as failed without failures or crashes of its own`,
      );
  }

  /** Gets the total number of started runs. */
  getStartCount(): number {
    let count = 0;
    for (const task of this.tasks.values()) count += task.starts;
    return count;
  }

  /** Gets the number of runs that ended because their worker's lease expired. */
  getLapsedRunCount(): number {
    return this.lapsedRunCount;
  }

  onWorkerStarted(record: WorkerRecord): void {
    this.workers.set(record.workerId, record);
    const {capacity} = record;
    this.capacities.set(record.workerId, [{capacity, replacedMs: Infinity}]);
    for (const {unacknowledgedEnds} of this.tasks.values())
      removeEnds(unacknowledgedEnds, end => end.workerId === record.workerId);
  }

  onCapacityChanged({workerId, capacity}: WorkerRecord): void {
    const capacities = this.capacities.get(workerId) ?? [];
    const previous = capacities.at(-1);
    if (previous !== undefined)
      previous.replacedMs = this.clock.getMonotonicMs();
    capacities.push({capacity, replacedMs: Infinity});
  }

  onRunStarted(
    workerId: string,
    taskName: string,
    runNumber: number,
    delayMs: number,
  ): void {
    const task = this.getTask(taskName);
    const name = parseTaskName(taskName);
    const job = name && this.jobs.get(name.jobId);
    const label = `${taskName} run ${runNumber} on ${workerId}`;
    task.starts++;
    if (name === undefined || job === undefined) {
      this.addViolation(`${label}: job was never submitted`);
      return;
    }
    const step = job.spec.steps[name.stepIndex];
    if (step.isSpeculative) this.checkCopy(label, task, delayMs);
    else this.checkSingleRun(label, task);
    this.checkDependencies(label, name, job.spec);
    if (!step.isLongRunning && task.acknowledgedFailures >= job.maxAttempts)
      this.addViolation(
        `${label}: already failed ${task.acknowledgedFailures} times`,
      );
    this.checkCrashes(label, taskName, delayMs);
    // A worker may execute a start command late that was sent in time.
    const sinceCancelMs =
      this.clock.getMonotonicMs() - delayMs - (job.cancelledMs ?? Infinity);
    if (sinceCancelMs > CANCELLATION_BOUND_MS)
      this.addViolation(
        `${label}: job was cancelled ${sinceCancelMs} ms earlier`,
      );
    task.runningWorkers.add(workerId);
    this.getActiveRuns(workerId).set(taskName, {name, step});
    this.checkWorkerLimit(label, workerId, {name, step});
    const worker = this.workers.get(workerId);
    if (worker === undefined) return;
    this.checkLabel(label, worker, step);
    this.checkEvacuation(label, worker, delayMs);
    this.checkCapacity(label, workerId, delayMs);
  }

  onRunEnded(
    workerId: string,
    taskName: string,
    runNumber: number,
    outcome: RunOutcome | 'crashed',
  ): void {
    const task = this.getTask(taskName);
    task.runningWorkers.delete(workerId);
    this.activeRuns.get(workerId)?.delete(taskName);
    if (outcome === 'crashed') task.workerCrashes++;
    if (outcome === 'lapsed') this.lapsedRunCount++;
    if (outcome === 'failed') task.failedRuns.add(runNumber);
    if (outcome !== 'done') return;
    task.isDone = true;
    task.unacknowledgedEnds.push({workerId, runNumber, laterStarts: []});
  }

  onEndAcknowledged(
    workerId: string,
    {taskName, runNumber, outcome}: EndedRun,
    hasLeaseExpired: boolean,
  ): void {
    const task = this.getTask(taskName);
    if (outcome === 'failed') task.acknowledgedFailures++;
    if (outcome !== 'done') return;
    task.doneAcknowledgedMs ??= this.clock.getMonotonicMs();
    const ends = removeEnds(
      task.unacknowledgedEnds,
      end => end.workerId === workerId && end.runNumber === runNumber,
    );
    // A worker whose lease expired may be given up with the ends that it lists.
    if (hasLeaseExpired) return;
    for (const {laterStarts} of ends) {
      for (const label of laterStarts)
        this.addViolation(`${label}: run ${runNumber} on ${workerId} was done`);
    }
  }

  private checkSingleRun(label: string, task: TaskHistory): void {
    if (task.runningWorkers.size > 0)
      this.addViolation(
        `${label}: already running on ${[...task.runningWorkers].join(', ')}`,
      );
    if (task.doneAcknowledgedMs !== undefined)
      this.addViolation(`${label}: already acknowledged as done`);
    for (const {laterStarts} of task.unacknowledgedEnds)
      laterStarts.push(label);
  }

  /** Copies may overlap, but must not be started long after one was acknowledged as done. */
  private checkCopy(label: string, task: TaskHistory, delayMs: number): void {
    const sinceDoneMs =
      this.clock.getMonotonicMs() -
      delayMs -
      (task.doneAcknowledgedMs ?? Infinity);
    if (sinceDoneMs > COPY_BOUND_MS)
      this.addViolation(
        `${label}: acknowledged as done ${sinceDoneMs} ms earlier`,
      );
  }

  private checkCrashes(label: string, taskName: string, delayMs: number): void {
    const task = this.getTask(taskName);
    if (!this.isCrashingTask(taskName) || delayMs > 0) return;
    if (task.workerCrashes < MAX_WORKER_CRASHES) return;
    task.startsAfterCrashes++;
    if (task.startsAfterCrashes >= FORBIDDEN_STARTS_AFTER_CRASHES)
      this.addViolation(
        `${label}: start ${task.startsAfterCrashes} after crashes of ${MAX_WORKER_CRASHES} workers, ${task.workerCrashes} by now`,
      );
  }

  private checkWorkerLimit(
    label: string,
    workerId: string,
    {name, step}: ObservedRun,
  ): void {
    if (step.maxPerWorker === 0) return;
    let runCount = 0;
    for (const run of this.getActiveRuns(workerId).values()) {
      if (isSameStep(run.name, name)) runCount++;
    }
    if (runCount > step.maxPerWorker)
      this.addViolation(
        `${label}: ${runCount} runs of the step, at most ${step.maxPerWorker} allowed`,
      );
  }

  private checkLabel(
    label: string,
    {labels}: WorkerRecord,
    {requiredLabel}: StepSpec,
  ): void {
    if (requiredLabel === undefined || labels.includes(requiredLabel)) return;
    this.addViolation(`${label}: the worker lacks label ${requiredLabel}`);
  }

  /** A command that was sent before the bound may be executed late. */
  private checkEvacuation(
    label: string,
    {failureDomain}: WorkerRecord,
    delayMs: number,
  ): void {
    const boundMs = this.evacuations.get(failureDomain) ?? Infinity;
    const sentMs = this.clock.getMonotonicMs() - delayMs;
    if (sentMs <= boundMs) return;
    this.addViolation(
      `${label}: ${failureDomain} was evacuated, ${Math.round(sentMs - boundMs)} ms after the bound`,
    );
  }

  /** A command that was sent in time may rest on a capacity that was replaced. */
  private checkCapacity(
    label: string,
    workerId: string,
    delayMs: number,
  ): void {
    const needs = getTotalNeeds(this.getActiveRuns(workerId).values());
    const sinceMs =
      this.clock.getMonotonicMs() - delayMs - this.capacityBoundMs;
    const valid = (this.capacities.get(workerId) ?? []).filter(
      ({replacedMs}) => replacedMs >= sinceMs,
    );
    if (valid.some(({capacity}) => isWithin(needs, capacity))) return;
    const capacities = valid.map(({capacity}) => formatNeeds(capacity));
    this.addViolation(
      `${label}: needs of ${formatNeeds(needs)} exceed ${capacities.join(' and ')}`,
    );
  }

  private getActiveRuns(workerId: string): Map<string, ObservedRun> {
    let runs = this.activeRuns.get(workerId);
    if (runs === undefined) {
      runs = new Map();
      this.activeRuns.set(workerId, runs);
    }
    return runs;
  }

  private checkDependencies(
    label: string,
    name: TaskName,
    spec: JobSpec,
  ): void {
    const step = spec.steps[name.stepIndex];
    for (const dependency of step.dependsOn) {
      if (this.isStepDone(name, dependency, spec.steps[dependency])) continue;
      this.addViolation(`${label}: step ${dependency} is not done`);
    }
  }

  /** Checks whether a task of a job has failed or crashed its workers often enough to fail the job. */
  private mayFail(jobId: string): boolean {
    const job = this.jobs.get(jobId);
    if (job === undefined) return false;
    const gangFailedRuns = new Map<string, Set<number>>();
    for (const [taskName, task] of this.tasks) {
      const name = parseTaskName(taskName);
      if (name?.jobId !== jobId) continue;
      if (
        this.isCrashingTask(taskName) &&
        task.workerCrashes >= MIN_WORKER_CRASHES_TO_FAIL
      )
        return true;
      const {isGang, isLongRunning} = job.spec.steps[name.stepIndex];
      if (isLongRunning) continue;
      const stepName = `${name.occurrence}.${name.stepIndex}`;
      // The members of a gang share their runs, each of which fails once.
      const otherRuns = isGang ? (gangFailedRuns.get(stepName) ?? []) : [];
      const failedRuns = new Set([...task.failedRuns, ...otherRuns]);
      gangFailedRuns.set(stepName, failedRuns);
      if (failedRuns.size >= job.maxAttempts) return true;
    }
    return false;
  }

  private isAllDone(jobId: string): boolean {
    const steps = this.jobs.get(jobId)?.spec.steps ?? [];
    return steps.every((step, stepIndex) =>
      this.isStepDone(
        {jobId, occurrence: 0, stepIndex, taskIndex: 0},
        stepIndex,
        step,
      ),
    );
  }

  private isStepDone(
    {jobId, occurrence}: TaskName,
    stepIndex: number,
    {taskCount, isGang}: StepSpec,
  ): boolean {
    let doneCount = 0;
    for (let task = 0; task < taskCount; task++) {
      const name = `${jobId}.${occurrence}.${stepIndex}.${task}`;
      if (this.getTask(name).isDone) doneCount++;
    }
    // The successful end of one member of a gang represents all of them.
    return isGang ? doneCount > 0 : doneCount === taskCount;
  }

  private getTask(taskName: string): TaskHistory {
    let task = this.tasks.get(taskName);
    if (task === undefined) {
      task = {
        runningWorkers: new Set(),
        isDone: false,
        doneAcknowledgedMs: undefined,
        acknowledgedFailures: 0,
        failedRuns: new Set(),
        starts: 0,
        workerCrashes: 0,
        startsAfterCrashes: 0,
        unacknowledgedEnds: [],
      };
      this.tasks.set(taskName, task);
    }
    return task;
  }

  private addViolation(violation: string): void {
    this.violations.push(
      `${Math.round(this.clock.getMonotonicMs())}: ${violation}`,
    );
  }
}

/** Removes and returns the ends that match. */
function removeEnds(
  ends: UnacknowledgedEnd[],
  isMatch: (end: UnacknowledgedEnd) => boolean,
): UnacknowledgedEnd[] {
  const removed = ends.filter(isMatch);
  const kept = ends.filter(end => !isMatch(end));
  ends.splice(0, ends.length, ...kept);
  return removed;
}

function isSameStep(left: TaskName, right: TaskName): boolean {
  return (
    left.jobId === right.jobId &&
    left.occurrence === right.occurrence &&
    left.stepIndex === right.stepIndex
  );
}

/** Adds up the declared needs. Fillers use CPU that other tasks leave unused. */
function getTotalNeeds(runs: Iterable<ObservedRun>): ResourceRequirements {
  let cpuMillis = 0;
  let memoryMb = 0;
  let accelerators = 0;
  for (const {step} of runs) {
    if (!step.isFiller) cpuMillis += step.needs.cpuMillis;
    memoryMb += step.needs.memoryMb;
    accelerators += step.needs.accelerators;
  }
  return {cpuMillis, memoryMb, accelerators};
}

function isWithin(
  needs: ResourceRequirements,
  capacity: ResourceRequirements,
): boolean {
  return (
    needs.cpuMillis <= capacity.cpuMillis &&
    needs.memoryMb <= capacity.memoryMb &&
    needs.accelerators <= capacity.accelerators
  );
}

function formatNeeds(needs: ResourceRequirements): string {
  return `${needs.cpuMillis} CPU, ${needs.memoryMb} MB, ${needs.accelerators} accelerators`;
}
