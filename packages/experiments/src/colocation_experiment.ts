/** Plays a colocated load against the real scheduler and worker models, in virtual time. */

import {
  STORED_FORM,
  StoredServingImage,
} from '@mustardlug/coordination/interference_model';
import {getObjectiveMs} from '@mustardlug/coordination/task_order';
import {BaselineLoad} from '@mustardlug/coordination/baseline_load';
import {COORDINATOR_PART, EFFECT_TABLE} from '@mustardlug/coordination/tables';
import {parseTaskName} from '@mustardlug/jobs/task_name';
import {
  ColocationPhysics,
  getResponseMs,
} from '@mustardlug/standins/colocation_physics';
import {JobWorkerModel} from '@mustardlug/standins/job_worker_model';
import {RunTraits} from '@mustardlug/standins/run_physics';
import {
  Arrival,
  ColocationLoad,
  getTraits,
  JobKind,
  QUEUES,
} from './colocation_load.js';
import {JobHarness} from './job_harness.js';

/** What happens besides the load. */
export type LoadPattern =
  'steady' | 'burst' | 'slow-workers' | 'lost-workers' | 'takeover';

/** What the scheduler knows at the start: nothing, or what images do to each other. */
export type Knowledge = 'none' | 'effects';

/** One play. */
export interface ColocationCell {
  readonly pattern: LoadPattern;
  readonly knowledge: Knowledge;
  readonly seed: number;
  readonly workers: number;
  readonly durationMs: number;
}

/** Figures of one play. */
export interface ColocationFigures extends ColocationCell {
  /** Shares of the jobs that were done within their objective, and within three times it. */
  readonly urgentInTime: number;
  readonly urgentLate: number;
  readonly fillInTime: number;
  readonly fillLate: number;
  /** Share of their time in which serving tasks ran and kept their targets. */
  readonly served: number;
  /** Share of their time in which fillers made serving tasks miss their targets. */
  readonly harmed: number;
  readonly violations: number;
}

/** Processors of each worker. */
const CPU_MILLIS = 64_000;
const MEMORY_MB = 256_000;

/** Variance of an effect that needs no more learning. */
const CERTAIN_VARIANCE = 0.01;

/** Time for the nodes to elect a coordinator. */
const LEAD_MS = 3_000;

/** Time after the last arrival in which work may still end. */
const FINISH_MS = 14_000;

/** Interval at which serving tasks are looked at. */
const SAMPLE_MS = 250;

/** Time in which a new serving task is not expected to run. */
const SERVING_START_MS = 2_500;

/** Callers' patience, as a multiple of the objective. */
const LATE_FACTOR = 3;

/** Trouble on workers begins after this share of the play and lasts for a time. */
const TROUBLE_SHARE = 0.35;
const TROUBLE_MS = 7_500;
const SLOW_SHARE = 0.11;
const SLOWNESS = 6.5;
const LOST_SHARE = 0.09;
const BURST_FACTOR = 2.4;

interface PlayedJob {
  readonly arrival: Arrival;
  readonly postedMs: number;
  doneMs: number | undefined;
}

/** One play of one load. */
export class ColocationExperiment {
  private readonly load: ColocationLoad;
  private readonly physics: ColocationPhysics;
  private readonly harness: JobHarness;
  private readonly jobs = new Map<string, PlayedJob>();
  private readonly traits = new Map<string, RunTraits>();
  private owedMs = 0;
  private servedMs = 0;
  private harmedMs = 0;

  private constructor(private readonly cell: ColocationCell) {
    this.load = ColocationLoad.create({
      seed: cell.seed,
      workers: cell.workers,
      cpuMillis: CPU_MILLIS,
      durationMs: cell.durationMs,
      burst: cell.pattern === 'burst' ? BURST_FACTOR : 1,
    });
    this.physics = ColocationPhysics.create({
      getTraits: taskName => this.getTraits(taskName),
      getEffect: (serving, filler) => this.load.getEffect(serving, filler),
    });
    this.harness = JobHarness.create({
      workers: cell.workers,
      cpuMillis: CPU_MILLIS,
      memoryMb: MEMORY_MB,
      moreQueues: Object.values(QUEUES),
      physics: this.physics,
      getTaskMs: taskName => this.getTaskMs(taskName),
      sink: ({name, requestId, detail}) => {
        if (name === 'job-ended' && detail === 'completed')
          this.noteDone(requestId ?? '');
      },
    });
    if (cell.knowledge === 'effects') this.storeEffects();
  }

  /**
   * Creates a play.
   * @param cell - Pattern, seed and size.
   */
  static create(cell: ColocationCell): ColocationExperiment {
    return new ColocationExperiment(cell);
  }

  /** Plays to the end. */
  async run(): Promise<ColocationFigures> {
    const {harness, cell} = this;
    await harness.advance(LEAD_MS);
    this.scheduleTrouble();
    const startMs = harness.clock.getMonotonicMs();
    for (const arrival of this.load.getArrivals()) {
      harness.clock.setTimer(arrival.atMs, () => this.post(arrival));
    }
    const endMs = startMs + cell.durationMs + FINISH_MS;
    while (harness.clock.getMonotonicMs() < endMs) {
      await harness.advance(SAMPLE_MS);
      this.sampleServing();
    }
    return this.getFigures();
  }

  /** Leaves the true effects where a coordinator looks for what an earlier one learned. */
  private storeEffects(): void {
    const fillers = this.load.getFillerImages();
    for (const serving of this.load.getServingImages()) {
      const stored: StoredServingImage = {
        form: STORED_FORM,
        effects: {
          names: fillers,
          effects: fillers.map(filler => this.load.getEffect(serving, filler)),
          covariance: fillers.map((_row, row) =>
            fillers.map((_cell, cell) => (row === cell ? CERTAIN_VARIANCE : 0)),
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

  private post(arrival: Arrival): void {
    const jobId = this.harness.post(arrival.steps, QUEUES[arrival.kind]);
    const postedMs = this.harness.clock.getMonotonicMs();
    this.jobs.set(jobId, {arrival, postedMs, doneMs: undefined});
  }

  private noteDone(jobId: string): void {
    const job = this.jobs.get(jobId);
    if (job !== undefined) job.doneMs ??= this.harness.clock.getMonotonicMs();
  }

  private scheduleTrouble(): void {
    const {clock} = this.harness;
    const atMs = this.cell.durationMs * TROUBLE_SHARE;
    clock.setTimer(atMs, () => this.beginTrouble());
    clock.setTimer(atMs + TROUBLE_MS, () => this.endTrouble());
  }

  private beginTrouble(): void {
    const {pattern} = this.cell;
    if (pattern === 'slow-workers') this.setSlowness(SLOWNESS);
    if (pattern === 'lost-workers') {
      for (const model of this.getFirstWorkers(LOST_SHARE)) model.crash();
    }
    if (pattern !== 'takeover') return;
    const coordinator = this.harness.getCoordinator();
    if (coordinator !== undefined) this.harness.kill(coordinator);
  }

  private endTrouble(): void {
    const {pattern} = this.cell;
    if (pattern === 'slow-workers') this.setSlowness(1);
    if (pattern !== 'lost-workers') return;
    for (const model of this.getFirstWorkers(LOST_SHARE)) model.restart();
  }

  private setSlowness(slowness: number): void {
    for (const model of this.getFirstWorkers(SLOW_SHARE))
      model.behavior.slowness = slowness;
  }

  private getFirstWorkers(share: number): JobWorkerModel[] {
    const models = [...this.harness.workers.values()];
    return models.slice(0, Math.ceil(share * models.length));
  }

  /** Looks at all serving tasks that should be at work. */
  private sampleServing(): void {
    const nowMs = this.harness.clock.getMonotonicMs();
    for (const {arrival, postedMs} of this.jobs.values()) {
      if (arrival.kind !== 'serve') continue;
      if (nowMs - postedMs < SERVING_START_MS) continue;
      this.owedMs += arrival.steps[0].taskCount * SAMPLE_MS;
    }
    for (const model of this.harness.workers.values()) {
      const worker = {
        cpuMillis: CPU_MILLIS,
        slowness: model.behavior.slowness,
      };
      for (const run of model.getRuns()) {
        const {kind, targetMs} = this.getTraits(run.taskName);
        if (kind !== 'serving') continue;
        const {postedMs} = this.find(run.taskName);
        if (nowMs - postedMs < SERVING_START_MS) continue;
        const own = this.physics.getOwnLoad(run, worker, nowMs);
        const added = this.physics.getDisturbance(
          run,
          model.getRuns(),
          worker,
          nowMs,
        );
        if (getResponseMs(targetMs, own + added) <= targetMs)
          this.servedMs += SAMPLE_MS;
        else if (getResponseMs(targetMs, own) <= targetMs)
          this.harmedMs += SAMPLE_MS;
      }
    }
  }

  private getFigures(): ColocationFigures {
    const urgent = this.getJobFigures('urgent');
    const fill = this.getJobFigures('fill');
    return {
      ...this.cell,
      urgentInTime: urgent.inTime,
      urgentLate: urgent.late,
      fillInTime: fill.inTime,
      fillLate: fill.late,
      served: this.servedMs / this.owedMs,
      harmed: this.harmedMs / this.owedMs,
      violations: this.harness.checker.violations.length,
    };
  }

  private getJobFigures(kind: JobKind): {inTime: number; late: number} {
    let count = 0;
    let inTime = 0;
    let late = 0;
    for (const {arrival, postedMs, doneMs} of this.jobs.values()) {
      if (arrival.kind !== kind) continue;
      count++;
      if (doneMs === undefined) continue;
      const objectiveMs = getTrueObjectiveMs(arrival);
      if (doneMs - postedMs <= objectiveMs) inTime++;
      else if (doneMs - postedMs <= LATE_FACTOR * objectiveMs) late++;
    }
    return {inTime: inTime / count, late: late / count};
  }

  /** Looked up many times for each run, so that it is kept. */
  private getTraits(taskName: string): RunTraits {
    let traits = this.traits.get(taskName);
    if (traits === undefined) {
      const {arrival, stepIndex} = this.find(taskName);
      traits = getTraits(arrival, stepIndex);
      this.traits.set(taskName, traits);
    }
    return traits;
  }

  private getTaskMs(taskName: string): number {
    const {arrival, stepIndex, taskIndex} = this.find(taskName);
    return arrival.taskMs[stepIndex][taskIndex];
  }

  private find(taskName: string) {
    const name = parseTaskName(taskName);
    const job = this.jobs.get(name?.jobId ?? '');
    if (name === undefined || job === undefined)
      throw new Error(`no task ${taskName}`);
    const {stepIndex, taskIndex} = name;
    return {...job, stepIndex, taskIndex};
  }
}

/** The objective rests on the real durations, which callers' estimates miss. */
function getTrueObjectiveMs({steps, taskMs, kind}: Arrival): number {
  const trueSteps = steps.map((step, index) => ({
    ...step,
    estimatedMs: Math.max(...taskMs[index]),
  }));
  return getObjectiveMs({specification: '', steps: trueSteps}, QUEUES[kind]);
}
