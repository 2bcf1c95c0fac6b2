/** Generates a reproducible load of serving jobs, urgent jobs and filler jobs. */

import {RandomSource} from '@mustardlug/base/random_source';
import {StepSpec} from '@mustardlug/jobs/job_spec';
import {QueueConfig} from '@mustardlug/jobs/queue_config';
import {createSampleStep, SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {RunTraits} from '@mustardlug/standins/run_performance_model';

/** Kind of a job. */
export type JobKind = 'urgent' | 'filler' | 'serving';

/** A job with its arrival time. */
export interface JobArrival {
  readonly atMs: number;
  readonly kind: JobKind;
  readonly steps: readonly StepSpec[];
  /** Task durations at full speed, by step and task; infinite for serving tasks. */
  readonly taskMs: ReadonlyArray<readonly number[]>;
  /** Phase of the job's periodic load, 0 to 1. */
  readonly phase: number;
}

/** Options of a load. */
export interface ColocationLoadOptions {
  readonly seed: number;
  readonly workers: number;
  readonly cpuMillis: number;
  readonly durationMs: number;
  /** Factor on the arrival rate of filler jobs in the middle third of the run. */
  readonly burstFactor: number;
}

/** Queues by kind of job. */
export const QUEUES: Record<JobKind, QueueConfig> = {
  urgent: {...SAMPLE_QUEUE, name: 'urgent', pathPrefix: '/urgent/'},
  filler: {
    ...SAMPLE_QUEUE,
    name: 'filler',
    pathPrefix: '/filler/',
    priority: 2,
    stretch: 2,
    targetDurationMs: 1_000,
    maxAttempts: 2,
  },
  serving: {
    ...SAMPLE_QUEUE,
    name: 'serving',
    pathPrefix: '/serving/',
    stretch: 2.2,
    targetDurationMs: 2_500,
  },
};

/** Kinds of runs in the performance model, by kind of job. */
const RUN_KINDS: Record<JobKind, RunTraits['kind']> = {
  urgent: 'plain',
  filler: 'filler',
  serving: 'serving',
};

/** Target response time of serving tasks. */
const SERVING_TARGET_MS = 45;

const SERVING_IMAGE_COUNT = 5;
const FILLER_IMAGE_COUNT = 9;

/**
 * Fraction of image pairs with a strong effect, and the mean load that a filler adds to a
 * serving task if it uses all CPU of the worker, for strong and weak pairs.
 */
const STRONG_EFFECT_SHARE = 0.4;
const STRONG_EFFECT = 1.5;
const WEAK_EFFECT = 0.15;

/** Fraction of the fleet's CPU that serving tasks declare, and the fractions that urgent and filler jobs use. */
const SERVING_SHARE = 0.84;
const URGENT_SHARE = 0.045;
const FILLER_SHARE = 0.36;

/** Mean CPU of a task as a fraction of a worker's CPU. */
const SERVING_TASK_SHARE = 0.2;
const URGENT_TASK_SHARE = 0.1;
const FILLER_TASK_SHARE = 0.11;

const URGENT_TASK_MS = 640;
const FILLER_TASK_MS = 1_700;

/** Standard deviations of the logarithms of log-normal quantities. */
const SIZE_SIGMA = 0.35;
const TASK_COUNT_SIGMA = 0.6;
const STEP_DURATION_SIGMA = 0.45;
const ESTIMATE_ERROR_SIGMA = 0.4;
const TASK_DURATION_SIGMA = 0.2;

/** Fraction of serving steps whose tasks must run on different workers. */
const ANTI_AFFINITY_SHARE = 0.5;

/** Generates the arrivals and the interference effects of a load. */
export class ColocationLoad {
  private readonly random: RandomSource;
  private readonly effects = new Map<string, number>();

  private constructor(private readonly options: ColocationLoadOptions) {
    this.random = RandomSource.create(options.seed);
    for (const serving of this.getServingImages()) {
      for (const filler of this.getFillerImages()) {
        const isStrongEffect = this.random.getFloat() < STRONG_EFFECT_SHARE;
        const factor = this.drawLogNormal(1, SIZE_SIGMA);
        const effect = (isStrongEffect ? STRONG_EFFECT : WEAK_EFFECT) * factor;
        this.effects.set(`${serving} ${filler}`, effect);
      }
    }
  }

  /**
   * Creates a generator.
   * @param options - Seed, fleet size, duration and burst.
   */
  static create(options: ColocationLoadOptions): ColocationLoad {
    return new ColocationLoad(options);
  }

  /** Gets the names of the serving images. */
  getServingImages(): string[] {
    return getImageNames('s', SERVING_IMAGE_COUNT);
  }

  /** Gets the names of the filler images. */
  getFillerImages(): string[] {
    return getImageNames('f', FILLER_IMAGE_COUNT);
  }

  /**
   * Gets the load that a filler image adds to a serving image if it uses all CPU of the worker.
   * @param servingImage - Image of the serving task.
   * @param fillerImage - Image of the filler.
   */
  getEffect(servingImage: string, fillerImage: string): number {
    return this.effects.get(`${servingImage} ${fillerImage}`) ?? 0;
  }

  /** Generates all arrivals, ordered by time. */
  getArrivals(): JobArrival[] {
    const {workers, cpuMillis, durationMs, burstFactor} = this.options;
    const fleetMillis = workers * cpuMillis;
    const arrivals: JobArrival[] = [];
    let servingMillis = 0;
    while (servingMillis < SERVING_SHARE * fleetMillis) {
      const arrival = this.createServingArrival(this.random.getFloat() * 2_000);
      const {taskCount, needs} = arrival.steps[0];
      servingMillis += taskCount * needs.cpuMillis;
      arrivals.push(arrival);
    }
    for (const kind of ['urgent', 'filler'] as const) {
      const share = kind === 'urgent' ? URGENT_SHARE : FILLER_SHARE;
      // CPU time of the arriving jobs per unit of time, in thousandths of a core.
      const offeredCpuMillis = share * fleetMillis;
      let atMs = 3_000;
      while (atMs < durationMs) {
        const arrival = this.createBatchArrival(kind, atMs);
        arrivals.push(arrival);
        const isInBurst = atMs > durationMs / 3 && atMs < (durationMs * 2) / 3;
        const factor = kind === 'filler' && isInBurst ? burstFactor : 1;
        const meanMs = this.getMeanJobWork(kind) / offeredCpuMillis / factor;
        atMs += this.random.getExponential(meanMs);
      }
    }
    return arrivals.sort((left, right) => left.atMs - right.atMs);
  }

  /** Gets the mean CPU time of a job: the product of mean steps, tasks per step, task duration and CPU per task. */
  private getMeanJobWork(kind: 'urgent' | 'filler'): number {
    const {cpuMillis} = this.options;
    if (kind === 'urgent')
      return 1.6 * 6 * URGENT_TASK_MS * URGENT_TASK_SHARE * cpuMillis;
    return 2 * 8 * FILLER_TASK_MS * FILLER_TASK_SHARE * cpuMillis;
  }

  private createServingArrival(atMs: number): JobArrival {
    const image = `s${this.random.getIndex(SERVING_IMAGE_COUNT)}`;
    const hasAntiAffinity = this.random.getFloat() < ANTI_AFFINITY_SHARE;
    const taskCount = this.drawTaskCount(6, 12);
    const step = createSampleStep(taskCount, {
      isLongRunning: true,
      image,
      targetResponseMs: SERVING_TARGET_MS,
      needs: this.drawNeeds(SERVING_TASK_SHARE),
      estimatedMs: 0,
      maxPerWorker: hasAntiAffinity ? 1 : 0,
    });
    const taskMs = [new Array<number>(taskCount).fill(Infinity)];
    const phase = this.random.getFloat();
    return {atMs, kind: 'serving', steps: [step], taskMs, phase};
  }

  private createBatchArrival(
    kind: 'urgent' | 'filler',
    atMs: number,
  ): JobArrival {
    const isFiller = kind === 'filler';
    const stepCount = isFiller
      ? 1 + this.random.getIndex(3)
      : 1 + (this.random.getFloat() < 0.6 ? 1 : 0);
    const image = isFiller
      ? `f${this.random.getIndex(FILLER_IMAGE_COUNT)}`
      : undefined;
    const estimateFactor = this.drawLogNormal(1, ESTIMATE_ERROR_SIGMA);
    const steps: StepSpec[] = [];
    const taskMs: number[][] = [];
    for (let index = 0; index < stepCount; index++) {
      const meanMs = this.drawLogNormal(
        isFiller ? FILLER_TASK_MS : URGENT_TASK_MS,
        STEP_DURATION_SIGMA,
      );
      const taskCount = isFiller
        ? this.drawTaskCount(8, 32)
        : this.drawTaskCount(6, 36);
      const durations: number[] = [];
      for (let task = 0; task < taskCount; task++)
        durations.push(this.drawLogNormal(meanMs, TASK_DURATION_SIGMA));
      taskMs.push(durations);
      steps.push(
        createSampleStep(taskCount, {
          needs: this.drawNeeds(
            isFiller ? FILLER_TASK_SHARE : URGENT_TASK_SHARE,
          ),
          estimatedMs: Math.round(meanMs * estimateFactor),
          dependsOn: index === 0 ? [] : [index - 1],
          isFiller,
          isCheckpointing: isFiller,
          image,
        }),
      );
    }
    return {atMs, kind, steps, taskMs, phase: 0};
  }

  private drawNeeds(share: number) {
    const {cpuMillis} = this.options;
    const drawnCpuMillis = this.drawLogNormal(share, SIZE_SIGMA) * cpuMillis;
    const cpu = Math.min(cpuMillis / 3, drawnCpuMillis);
    return {
      cpuMillis: Math.round(cpu),
      memoryMb: Math.round(cpu * 1.9),
      accelerators: 0,
    };
  }

  private drawTaskCount(mean: number, max: number): number {
    const taskCount = Math.round(this.drawLogNormal(mean, TASK_COUNT_SIGMA));
    return Math.max(1, Math.min(max, taskCount));
  }

  /** Draws from a log-normal distribution with a given mean. */
  private drawLogNormal(mean: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.getFloat()));
    const normal = radius * Math.cos(2 * Math.PI * this.random.getFloat());
    return mean * Math.exp(sigma * normal - (sigma * sigma) / 2);
  }
}

/**
 * Gets the properties of a task that the performance model uses.
 * @param arrival - Job of the task.
 * @param stepIndex - Step of the task.
 */
export function getTraits(arrival: JobArrival, stepIndex: number): RunTraits {
  const step = arrival.steps[stepIndex];
  return {
    kind: RUN_KINDS[arrival.kind],
    image: step.image ?? '',
    cpuMillis: step.needs.cpuMillis,
    targetMs: step.targetResponseMs,
    phase: arrival.phase,
  };
}

function getImageNames(prefix: string, count: number): string[] {
  const images: string[] = [];
  for (let image = 0; image < count; image++) images.push(`${prefix}${image}`);
  return images;
}
