/** Runs serving tasks, urgent jobs and fillers on the real scheduler and simulated workers, in virtual time. */

import {
  STORED_FORMAT_VERSION,
  StoredServingImage,
} from '@mustardlug/coordination/interference_model';
import {getObjectiveDurationMs} from '@mustardlug/coordination/task_order';
import {BaselineLoad} from '@mustardlug/coordination/baseline_load';
import {COORDINATOR_PART, EFFECT_TABLE} from '@mustardlug/coordination/tables';
import {parseTaskName} from '@mustardlug/jobs/task_name';
import {
  ColocationPerformanceModel,
  getResponseMsAtLoad,
} from '@mustardlug/standins/colocation_performance_model';
import {JobWorkerModel} from '@mustardlug/standins/job_worker_model';
import {RunTraits} from '@mustardlug/standins/run_performance_model';
import {
  ColocationLoad,
  getTraits,
  JobArrival,
  JobKind,
  QUEUES,
} from './colocation_load.js';
import {JobHarness} from './job_harness.js';

/** Load pattern or fault of a simulation run. */
export type LoadPattern =
  'steady' | 'burst' | 'slow-workers' | 'lost-workers' | 'takeover';

/** Initial knowledge of the scheduler: none, or the effects of filler images on serving images. */
export type Knowledge = 'none' | 'effects';

/** Parameters of one simulation run. */
export interface ColocationScenario {
  readonly pattern: LoadPattern;
  readonly knowledge: Knowledge;
  readonly seed: number;
  readonly workers: number;
  readonly durationMs: number;
}

/** Results of one simulation run. */
export interface ColocationResult extends ColocationScenario {
  /** Fractions of jobs that ended within their objective, and after it but within three times the objective. */
  readonly urgentInTime: number;
  readonly urgentLate: number;
  readonly fillInTime: number;
  readonly fillLate: number;
  /** Fraction of the expected serving time in which serving tasks ran and met their targets. */
  readonly served: number;
  /** Fraction of the expected serving time in which serving tasks missed their targets only because of fillers. */
  readonly harmed: number;
  readonly violations: number;
}

/** Resources of each worker. */
const CPU_MILLIS = 64_000;
const MEMORY_MB = 256_000;

/** Variance of an effect estimate that has converged. */
const CONVERGED_VARIANCE = 0.01;

/** Time for the initial election. */
const ELECTION_WARM_UP_MS = 3_000;

/** Time after the last arrivals in which remaining jobs may end. */
const SETTLE_MS = 14_000;

/** Interval at which serving tasks are sampled. */
const SAMPLE_INTERVAL_MS = 250;

/** Time after the submission of a serving job in which its tasks are not yet expected to run. */
const SERVING_START_ALLOWANCE_MS = 2_500;

/** Multiple of its objective up to which a job counts as late; a later job counts as neither in time nor late. */
const LATE_OBJECTIVE_FACTOR = 3;

/** Fraction of the run after which the fault starts, and its duration. */
const FAULT_START_SHARE = 0.35;
const FAULT_DURATION_MS = 7_500;

/** Fraction of workers that slow down, and the factor on the duration of their runs. */
const SLOW_WORKER_SHARE = 0.11;
const SLOWDOWN_FACTOR = 6.5;

/** Fraction of workers that crash. */
const LOST_WORKER_SHARE = 0.09;

/** Factor on the arrival rate of filler jobs in the `burst` pattern. */
const BURST_FACTOR = 2.4;

interface SubmittedJob {
  readonly arrival: JobArrival;
  readonly submittedMs: number;
  doneMs: number | undefined;
}

/** Runs one simulation of a colocated load. */
export class ColocationExperiment {
  private readonly load: ColocationLoad;
  private readonly performanceModel: ColocationPerformanceModel;
  private readonly harness: JobHarness;
  private readonly jobs = new Map<string, SubmittedJob>();
  private readonly traits = new Map<string, RunTraits>();
  private expectedServingMs = 0;
  private onTargetServingMs = 0;
  private interferedServingMs = 0;

  private constructor(private readonly scenario: ColocationScenario) {
    this.load = ColocationLoad.create({
      seed: scenario.seed,
      workers: scenario.workers,
      cpuMillis: CPU_MILLIS,
      durationMs: scenario.durationMs,
      burstFactor: scenario.pattern === 'burst' ? BURST_FACTOR : 1,
    });
    this.performanceModel = ColocationPerformanceModel.create({
      getTraits: taskName => this.getTraits(taskName),
      getEffect: (serving, filler) => this.load.getEffect(serving, filler),
    });
    this.harness = JobHarness.create({
      workers: scenario.workers,
      cpuMillis: CPU_MILLIS,
      memoryMb: MEMORY_MB,
      additionalQueues: Object.values(QUEUES),
      performanceModel: this.performanceModel,
      getTaskMs: taskName => this.getTaskMs(taskName),
      sink: ({name, requestId, detail}) => {
        if (name === 'job-ended' && detail === 'completed')
          this.recordCompletion(requestId ?? '');
      },
    });
    if (scenario.knowledge === 'effects') this.storeKnownEffects();
  }

  /**
   * Creates a simulation run.
   * @param scenario - Pattern, knowledge, seed and sizes.
   */
  static create(scenario: ColocationScenario): ColocationExperiment {
    return new ColocationExperiment(scenario);
  }

  /** Runs the simulation to its end. */
  async run(): Promise<ColocationResult> {
    const {harness, scenario} = this;
    await harness.advance(ELECTION_WARM_UP_MS);
    this.scheduleFault();
    const startMs = harness.clock.getMonotonicMs();
    for (const arrival of this.load.getArrivals()) {
      harness.clock.setTimer(arrival.atMs, () => this.submit(arrival));
    }
    const endMs = startMs + scenario.durationMs + SETTLE_MS;
    while (harness.clock.getMonotonicMs() < endMs) {
      await harness.advance(SAMPLE_INTERVAL_MS);
      this.sampleServing();
    }
    return this.getResult();
  }

  /** Stores the actual effects in the table from which a new coordinator reads those learned by its predecessor. */
  private storeKnownEffects(): void {
    const fillers = this.load.getFillerImages();
    for (const serving of this.load.getServingImages()) {
      const stored: StoredServingImage = {
        form: STORED_FORMAT_VERSION,
        effects: {
          names: fillers,
          effects: fillers.map(filler => this.load.getEffect(serving, filler)),
          covariance: fillers.map((_row, row) =>
            fillers.map((_column, column) =>
              row === column ? CONVERGED_VARIANCE : 0,
            ),
          ),
        },
        ownLoad: BaselineLoad.create().getStored(),
      };
      this.harness.store.put(
        {table: EFFECT_TABLE, part: COORDINATOR_PART, key: serving},
        stored,
      );
    }
  }

  private submit(arrival: JobArrival): void {
    const jobId = this.harness.submitWithoutWaiting(
      arrival.steps,
      QUEUES[arrival.kind],
    );
    const submittedMs = this.harness.clock.getMonotonicMs();
    this.jobs.set(jobId, {arrival, submittedMs, doneMs: undefined});
  }

  private recordCompletion(jobId: string): void {
    const job = this.jobs.get(jobId);
    if (job !== undefined) job.doneMs ??= this.harness.clock.getMonotonicMs();
  }

  private scheduleFault(): void {
    const {clock} = this.harness;
    const atMs = this.scenario.durationMs * FAULT_START_SHARE;
    clock.setTimer(atMs, () => this.injectFault());
    clock.setTimer(atMs + FAULT_DURATION_MS, () => this.clearFault());
  }

  private injectFault(): void {
    const {pattern} = this.scenario;
    if (pattern === 'slow-workers') this.setSlowdown(SLOWDOWN_FACTOR);
    if (pattern === 'lost-workers') {
      for (const model of this.getFirstWorkers(LOST_WORKER_SHARE))
        model.crash();
    }
    if (pattern !== 'takeover') return;
    const coordinator = this.harness.getCoordinator();
    if (coordinator !== undefined) this.harness.killNode(coordinator);
  }

  private clearFault(): void {
    const {pattern} = this.scenario;
    if (pattern === 'slow-workers') this.setSlowdown(1);
    if (pattern !== 'lost-workers') return;
    for (const model of this.getFirstWorkers(LOST_WORKER_SHARE))
      model.restart();
  }

  private setSlowdown(factor: number): void {
    for (const model of this.getFirstWorkers(SLOW_WORKER_SHARE))
      model.behavior.slowness = factor;
  }

  private getFirstWorkers(share: number): JobWorkerModel[] {
    const models = [...this.harness.workers.values()];
    return models.slice(0, Math.ceil(share * models.length));
  }

  /** Samples the response times of all serving tasks that are expected to run. */
  private sampleServing(): void {
    const nowMs = this.harness.clock.getMonotonicMs();
    for (const {arrival, submittedMs} of this.jobs.values()) {
      if (arrival.kind !== 'serving') continue;
      if (nowMs - submittedMs < SERVING_START_ALLOWANCE_MS) continue;
      this.expectedServingMs += arrival.steps[0].taskCount * SAMPLE_INTERVAL_MS;
    }
    for (const model of this.harness.workers.values()) {
      const worker = {
        cpuMillis: CPU_MILLIS,
        slowness: model.behavior.slowness,
      };
      for (const run of model.getRuns()) {
        const {kind, targetMs} = this.getTraits(run.taskName);
        if (kind !== 'serving') continue;
        const {submittedMs} = this.findTask(run.taskName);
        if (nowMs - submittedMs < SERVING_START_ALLOWANCE_MS) continue;
        const ownLoad = this.performanceModel.getOwnLoad(run, worker, nowMs);
        const interference = this.performanceModel.getInterferenceLoad(
          run,
          model.getRuns(),
          worker,
          nowMs,
        );
        if (getResponseMsAtLoad(targetMs, ownLoad + interference) <= targetMs)
          this.onTargetServingMs += SAMPLE_INTERVAL_MS;
        else if (getResponseMsAtLoad(targetMs, ownLoad) <= targetMs)
          this.interferedServingMs += SAMPLE_INTERVAL_MS;
      }
    }
  }

  private getResult(): ColocationResult {
    const urgent = this.getCompletionShares('urgent');
    const filler = this.getCompletionShares('filler');
    return {
      ...this.scenario,
      urgentInTime: urgent.inTime,
      urgentLate: urgent.late,
      fillInTime: filler.inTime,
      fillLate: filler.late,
      served: this.onTargetServingMs / this.expectedServingMs,
      harmed: this.interferedServingMs / this.expectedServingMs,
      violations: this.harness.checker.violations.length,
    };
  }

  private getCompletionShares(kind: JobKind): {inTime: number; late: number} {
    let count = 0;
    let inTime = 0;
    let late = 0;
    for (const {arrival, submittedMs, doneMs} of this.jobs.values()) {
      if (arrival.kind !== kind) continue;
      count++;
      if (doneMs === undefined) continue;
      const objectiveMs = getActualObjectiveMs(arrival);
      if (doneMs - submittedMs <= objectiveMs) inTime++;
      else if (doneMs - submittedMs <= LATE_OBJECTIVE_FACTOR * objectiveMs)
        late++;
    }
    return {inTime: inTime / count, late: late / count};
  }

  /** Gets the properties of a task; cached because the performance model requests them repeatedly. */
  private getTraits(taskName: string): RunTraits {
    let traits = this.traits.get(taskName);
    if (traits === undefined) {
      const {arrival, stepIndex} = this.findTask(taskName);
      traits = getTraits(arrival, stepIndex);
      this.traits.set(taskName, traits);
    }
    return traits;
  }

  private getTaskMs(taskName: string): number {
    const {arrival, stepIndex, taskIndex} = this.findTask(taskName);
    return arrival.taskMs[stepIndex][taskIndex];
  }

  private findTask(taskName: string) {
    const name = parseTaskName(taskName);
    const job = this.jobs.get(name?.jobId ?? '');
    if (name === undefined || job === undefined)
      throw new Error(`unknown task ${taskName}`);
    const {stepIndex, taskIndex} = name;
    return {...job, stepIndex, taskIndex};
  }
}

/** Gets the objective by actual task durations, because callers' estimates are inaccurate. */
function getActualObjectiveMs({steps, taskMs, kind}: JobArrival): number {
  const actualSteps = steps.map((step, index) => ({
    ...step,
    estimatedMs: Math.max(...taskMs[index]),
  }));
  return getObjectiveDurationMs(
    {specification: '', steps: actualSteps},
    QUEUES[kind],
  );
}
