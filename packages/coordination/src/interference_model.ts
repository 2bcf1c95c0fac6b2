/**
 * Learns the interference of fillers with serving tasks on the same worker, by
 * image.
 *
 * The load of a serving task is measured by its load index: one minus the ratio
 * of the idle response time to the latest response time. Response times are
 * modeled as those of a queue, so the index corresponds to its utilization, and
 * fillers add to it in proportion to the CPU that they use.
 */

import {decodeRowValue} from '@mustardlug/jobs/job_codec';
import {StoredRow} from '@mustardlug/platform/row_store';
import {z} from 'zod';
import {
  EffectEstimator,
  EffectInput,
  StoredEffects,
} from './effect_estimator.js';
import {FillerUsageAverages} from './filler_usage_averages.js';
import {BaselineLoad, StoredBaselineLoad} from './baseline_load.js';
import {InvalidRowReporter} from './invalid_row_reporter.js';
import {HighPassFilter} from './high_pass_filter.js';
import {ServingLoad} from './serving_load.js';
import {AssignedRun, WorkerLoad} from './worker_load.js';

/** Response time of an idle serving task as a fraction of its target. */
const IDLE_RESPONSE_FRACTION = 0.22;

/**
 * Time constant of the lag between a change on a worker and its measurements,
 * which cover half a second.
 */
const MEASUREMENT_LAG_MS = 250;

/** Time that a measurement covers. */
const MEASUREMENT_MS = 500;

/**
 * Minimum time between two reports of a worker from which effects are learned: half
 * of what a measurement covers. Each run that ends causes a report, so that reports
 * closer together repeat the same measurements.
 */
const MIN_LEARNING_INTERVAL_MS = 250;

/** Age of a serving task from which its start-up no longer affects its response time. */
const WARM_UP_MS = 1_500;

/**
 * Load index of serving tasks up to which fillers are placed. Leaves headroom for
 * fluctuations of the tasks' own load.
 */
export const MAX_PLANNED_LOAD_INDEX = 0.66;

/**
 * Time for which the load of serving tasks is looked ahead when a filler is placed: most
 * of the run of a usual filler. Later rises are met by CPU limits.
 */
const PLACEMENT_HORIZON_MS = 1_500;

/**
 * Time for which it is looked ahead when CPU limits are set: what a report is old, and
 * the time until the next limit takes effect.
 */
const LIMIT_HORIZON_MS = 1_000;

/** Weight of a report in the fraction of those whose step has a forecast. */
const FORECAST_WEIGHT = 0.02;

/** Fraction of reports with a forecast from which the tasks of an image are compared. */
const MIN_FORECAST_FRACTION = 0.7;

/** CPU share of a worker's fillers below which they cannot cause a missed target. */
export const NEGLIGIBLE_FILLER_SHARE = 0.02;

/**
 * Time for which reports of a worker are not used for learning after one that
 * showed saturation for other reasons than fillers.
 */
const LEARNING_PAUSE_MS = 5_000;

/** Maximum number of workers that explore the same unknown pair of images concurrently. */
const MAX_EXPLORATION_WORKERS = 3;

/**
 * Effect of a filler image from which it counts as harmful to a serving image. The
 * effect is that of fillers which use all CPU of a worker.
 */
const MIN_HARMFUL_EFFECT = 0.15;

/**
 * The same where tasks are compared with others of their step. A filler that uses a
 * tenth of the worker adds a quarter of what is left between the planned index and a missed target.
 */
const MIN_COMPARED_HARMFUL_EFFECT = 0.3;

/** Maximum total CPU share of a worker for fillers whose effect is unknown. */
const MAX_UNKNOWN_SHARE = 0.15;

/** Load index above which response times only show that the load is too high, not by how much. */
const SATURATED_LOAD_INDEX = 0.9;

/** Learned state of one serving image. */
interface ServingImageModel {
  readonly effects: EffectEstimator;
  readonly baselineLoad: BaselineLoad;
  /** Fraction of the recent reports on tasks whose step has a forecast. */
  forecastFraction: number;
}

/** Fillers that a worker has listed, and the time since which it has listed just these. */
interface ReportedFillers {
  readonly runs: ReadonlySet<AssignedRun>;
  readonly sinceMs: number;
}

/** Stored form of the learned state of one serving image. */
export interface StoredServingImage {
  readonly form: typeof STORED_FORMAT_VERSION;
  readonly effects: StoredEffects;
  readonly ownLoad: StoredBaselineLoad;
}

/** Format version of the stored rows; rows of another version are ignored and relearned. */
export const STORED_FORMAT_VERSION = 2;

const storedSchema = z.union([
  z.object({
    form: z.literal(STORED_FORMAT_VERSION),
    effects: z
      .object({
        names: z.array(z.string()),
        effects: z.array(z.number()),
        covariance: z.array(z.array(z.number())),
      })
      .refine(isSquare, 'expected as many effects and variances as names'),
    ownLoad: z.object({mean: z.number()}),
  }),
  z
    .object({form: z.number().optional()})
    .refine(({form}) => form !== STORED_FORMAT_VERSION, 'expected its effects')
    .transform(() => ({form: undefined})),
]);

/** Why a filler may not be added to a worker. */
export type FillerIntolerance =
  'filler-unknown-share' | 'filler-explored-elsewhere' | 'filler-effect';

/** Predicted effect of a filler on the serving tasks of a worker. */
export interface InterferencePrediction {
  /** Largest predicted increase of a serving task's load index. */
  readonly addedLoadIndex: number;
  /** Whether all serving tasks are expected to meet their targets. */
  readonly isTolerable: boolean;
  /** Why serving tasks may miss their targets; `undefined` if all are expected to meet them. */
  readonly intolerance: FillerIntolerance | undefined;
  /** Whether the filler is known not to interfere with any of them. */
  readonly isHarmless: boolean;
}

/**
 * State of a worker derived from the response times of its serving tasks.
 * `unsaturated`: at least one task is not saturated. `saturated`: all tasks are
 * saturated and their fillers do not explain it. `unknown`: there are no
 * measurements, or fillers may be the cause.
 */
export type ResponseState = 'unknown' | 'unsaturated' | 'saturated';

/** What the model knows of a serving image on a worker. */
interface ServingFigures {
  readonly effects: EffectEstimator;
  /** Expected load index with the worker's fillers, or the measured one if that is higher. */
  readonly loadIndex: number;
}

/** What predictions for a worker are made from, until its runs or what was learned change. */
interface WorkerFigures {
  readonly loadRevision: number;
  readonly modelRevision: number;
  readonly fillers: readonly EffectInput[];
  /** By serving image. */
  readonly servings: ReadonlyMap<string, ServingFigures>;
}

/** Model of the effects of filler images on serving images. */
export class InterferenceModel {
  private readonly servingImageModels = new Map<string, ServingImageModel>();
  private readonly servingLoad = ServingLoad.create();
  private readonly reportedFillers = new WeakMap<WorkerLoad, ReportedFillers>();
  private readonly filters = new WeakMap<AssignedRun, HighPassFilter>();
  private readonly changedImages = new Set<string>();
  private readonly learningPausedUntilMs = new WeakMap<WorkerLoad, number>();
  /** Time of the last report that was learned from. */
  private readonly lastLearningMs = new WeakMap<WorkerLoad, number>();
  private readonly responseStates = new WeakMap<WorkerLoad, ResponseState>();
  /** Workers that explore an unknown pair of images, by pair. */
  private readonly explorationWorkers = new Map<string, Set<WorkerLoad>>();
  private readonly usageAverages = new WeakMap<
    WorkerLoad,
    FillerUsageAverages
  >();
  /** A placement pass makes predictions for each worker many times. */
  private readonly workerFigures = new WeakMap<WorkerLoad, WorkerFigures>();
  /** Number of changes of what was learned. */
  private revision = 0;

  private constructor() {}

  /** Creates a model that expects no interference. */
  static create(): InterferenceModel {
    return new InterferenceModel();
  }

  /**
   * Restores the state that an earlier coordinator learned.
   * @param rows - Rows of the effects table, keyed by serving image.
   * @param invalidRows - Receives the rows that cannot be read; their images are
   *     learned again.
   */
  restore(rows: readonly StoredRow[], invalidRows: InvalidRowReporter): void {
    for (const row of rows) {
      const {key, value} = row;
      const stored = decodeRowValue(`effects of ${key}`, storedSchema, value);
      if (stored.isErr()) {
        invalidRows.report(row, stored.error);
        continue;
      }
      if (stored.value.form !== STORED_FORMAT_VERSION) continue;
      const {effects, ownLoad} = stored.value;
      this.servingImageModels.set(key, {
        effects: EffectEstimator.restore(effects),
        baselineLoad: BaselineLoad.restore(ownLoad),
        forecastFraction: 0,
      });
      this.revision++;
    }
  }

  /** Gets the states that changed since the last call, by serving image. */
  getChanges(): Array<{image: string; stored: StoredServingImage}> {
    const changes: Array<{image: string; stored: StoredServingImage}> = [];
    for (const image of this.changedImages) {
      const {effects, baselineLoad} = this.getServingImageModel(image);
      changes.push({
        image,
        stored: {
          form: STORED_FORMAT_VERSION,
          effects: effects.getStored(),
          ownLoad: baselineLoad.getStored(),
        },
      });
    }
    this.changedImages.clear();
    return changes;
  }

  /**
   * Updates the model from a worker's report.
   * @param load - Runs with their latest measurements.
   * @param nowMs - Monotonic time of the report.
   */
  addReport(load: WorkerLoad, nowMs: number): void {
    this.workerFigures.delete(load);
    if (load.getServingRuns().size === 0) {
      this.responseStates.delete(load);
      return;
    }
    const elapsedMs = nowMs - (this.lastLearningMs.get(load) ?? -Infinity);
    if (elapsedMs < MIN_LEARNING_INTERVAL_MS) return;
    this.lastLearningMs.set(load, nowMs);
    this.recordFillerUsage(load, nowMs);
    const fillers = this.getUsageAverages(load).getAverages();
    const state = this.classifyResponses(load, fillers, nowMs);
    this.responseStates.set(load, state);
    if (state === 'saturated')
      this.learningPausedUntilMs.set(load, nowMs + LEARNING_PAUSE_MS);
    if (nowMs < (this.learningPausedUntilMs.get(load) ?? -Infinity)) return;
    const usedShares = this.getUsedShares(load, nowMs);
    for (const serving of load.getServingRuns()) {
      if (!hasResponseTarget(serving) || serving.run.usage <= 0) continue;
      if (nowMs - serving.run.placedMs < WARM_UP_MS) continue;
      this.learn(serving, fillers, usedShares, nowMs);
    }
  }

  /**
   * Gets the CPU shares that fillers have used, as reported for the same half second as
   * the response times; `undefined` if fillers have started or ended meanwhile.
   */
  private getUsedShares(
    load: WorkerLoad,
    nowMs: number,
  ): EffectInput[] | undefined {
    const runs = load.getFillerRuns();
    const previous = this.reportedFillers.get(load);
    const isSame =
      previous?.runs.size === runs.size &&
      [...runs].every(each => previous.runs.has(each));
    if (!isSame) {
      this.reportedFillers.set(load, {runs: new Set(runs), sinceMs: nowMs});
      return undefined;
    }
    if (nowMs - previous.sinceMs < MEASUREMENT_MS) return undefined;
    const capacity = load.getCapacity().cpuMillis;
    return [...runs].map(filler => ({
      name: getImage(filler),
      amount: filler.run.usage / capacity,
    }));
  }

  /**
   * Gets the state derived from a worker's latest report.
   * @param load - Runs of the worker.
   */
  getResponseState(load: WorkerLoad): ResponseState {
    return this.responseStates.get(load) ?? 'unknown';
  }

  /**
   * Derives the state of a worker. Without fillers, a worker is saturated if all
   * its serving tasks are. With fillers, the saturated tasks must also be of
   * several images, and their fillers must neither be of unknown effect nor be
   * expected to cause missed targets.
   */
  private classifyResponses(
    load: WorkerLoad,
    fillers: readonly EffectInput[],
    nowMs: number,
  ): ResponseState {
    const images = new Set<string>();
    let canBeDueToFillers = false;
    for (const serving of load.getServingRuns()) {
      const {run} = serving;
      if (!hasResponseTarget(serving) || run.isStopping || run.usage <= 0)
        continue;
      if (nowMs - run.placedMs < WARM_UP_MS) continue;
      if (getLoadIndex(serving) <= SATURATED_LOAD_INDEX) return 'unsaturated';
      const image = getImage(serving);
      images.add(image);
      if (getUnknownShare(this.getEffects(image), fillers) > 0)
        canBeDueToFillers = true;
      if (this.predictLoadIndex(image, fillers) > MAX_PLANNED_LOAD_INDEX)
        canBeDueToFillers = true;
    }
    if (images.size === 0) return 'unknown';
    let fillerShare = 0;
    for (const {amount} of fillers) fillerShare += amount;
    if (fillerShare < NEGLIGIBLE_FILLER_SHARE) return 'saturated';
    return images.size > 1 && !canBeDueToFillers ? 'saturated' : 'unknown';
  }

  private learn(
    serving: AssignedRun,
    fillers: readonly EffectInput[],
    usedShares: readonly EffectInput[] | undefined,
    nowMs: number,
  ): void {
    const image = getImage(serving);
    const model = this.getServingImageModel(image);
    const {effects} = model;
    const loadIndex = getLoadIndex(serving);
    const isSaturated = loadIndex >= SATURATED_LOAD_INDEX;
    const ownIndex = this.servingLoad.getForecast(serving.step, 0);
    const hasForecast = Number(ownIndex !== undefined);
    model.forecastFraction +=
      FORECAST_WEIGHT * (hasForecast - model.forecastFraction);
    if (isCompared(model)) {
      this.changedImages.add(image);
      this.revision++;
      if (ownIndex !== undefined && usedShares !== undefined && !isSaturated)
        effects.addSample(usedShares, loadIndex - ownIndex);
      if (!isSaturated) this.addOwnLoad(serving, fillers, nowMs);
      return;
    }
    // Above saturation the response time only shows that the load is too high.
    const value = isSaturated
      ? Math.max(loadIndex, this.predictLoadIndex(image, fillers))
      : loadIndex;
    const sample = this.getFilter(serving).filter(fillers, value, nowMs);
    if (sample !== undefined) effects.addSample(sample.inputs, sample.value);
    if (!isSaturated) this.addOwnLoad(serving, fillers, nowMs);
    this.changedImages.add(image);
    this.revision++;
  }

  /** Records the load that the users of a serving task cause. */
  private addOwnLoad(
    serving: AssignedRun,
    fillers: readonly EffectInput[],
    nowMs: number,
  ): void {
    const {effects, baselineLoad} = this.getServingImageModel(
      getImage(serving),
    );
    const fillerEffect = effects.getCombinedEffect(fillers);
    const loadIndex = getLoadIndex(serving) - fillerEffect;
    baselineLoad.addSample(loadIndex);
    this.servingLoad.addSample({
      step: serving.step,
      taskIndex: serving.task.index,
      loadIndex,
      fillerEffect,
      timeMs: nowMs,
    });
  }

  private getFilter(serving: AssignedRun): HighPassFilter {
    let filter = this.filters.get(serving);
    if (filter === undefined) {
      filter = HighPassFilter.create();
      this.filters.set(serving, filter);
    }
    return filter;
  }

  private getUsageAverages(load: WorkerLoad): FillerUsageAverages {
    let averages = this.usageAverages.get(load);
    if (averages === undefined) {
      averages = FillerUsageAverages.create(MEASUREMENT_LAG_MS);
      this.usageAverages.set(load, averages);
    }
    return averages;
  }

  /**
   * Predicts the effect of a filler on the serving tasks of a worker.
   * @param image - Image of the filler.
   * @param cpuMillis - CPU that it will use, in thousandths of a core.
   * @param load - Runs of the worker.
   */
  predict(
    image: string,
    cpuMillis: number,
    load: WorkerLoad,
  ): InterferencePrediction {
    const share = cpuMillis / load.getCapacity().cpuMillis;
    const {fillers, servings} = this.getWorkerFigures(load);
    let addedLoadIndex = 0;
    let intolerance: FillerIntolerance | undefined;
    let isHarmless = true;
    for (const [servingImage, {effects, loadIndex}] of servings) {
      if (!effects.isKnown(image)) {
        isHarmless = false;
        const unknownShare = getUnknownShare(effects, fillers) + share;
        if (unknownShare > MAX_UNKNOWN_SHARE)
          intolerance ??= 'filler-unknown-share';
        if (!this.canExplore(servingImage, image, load))
          intolerance ??= 'filler-explored-elsewhere';
        continue;
      }
      const effect = effects.getEffect(image);
      const added = effect * share;
      addedLoadIndex = Math.max(addedLoadIndex, added);
      if (effect < this.getMinHarmfulEffect(servingImage)) continue;
      isHarmless = false;
      if (loadIndex + added > MAX_PLANNED_LOAD_INDEX)
        intolerance ??= 'filler-effect';
    }
    const isTolerable = intolerance === undefined;
    return {addedLoadIndex, isTolerable, intolerance, isHarmless};
  }

  private getWorkerFigures(load: WorkerLoad): WorkerFigures {
    const known = this.workerFigures.get(load);
    const isCurrent =
      known?.loadRevision === load.getRevision() &&
      known.modelRevision === this.revision;
    if (isCurrent) return known;
    const fillers = getFillerShares(load);
    const servings = new Map<string, ServingFigures>();
    for (const [image, measuredIndex] of getMaxLoadIndexes(load)) {
      const effects = this.getEffects(image);
      const expected =
        this.getOwnLoadIndex(image, load, PLACEMENT_HORIZON_MS) +
        effects.getCombinedEffect(fillers);
      servings.set(image, {
        effects,
        loadIndex: Math.max(expected, measuredIndex),
      });
    }
    const figures = {
      loadRevision: load.getRevision(),
      modelRevision: this.revision,
      fillers,
      servings,
    };
    this.workerFigures.set(load, figures);
    return figures;
  }

  /**
   * Gets the CPU share of a worker that a filler may use while all serving tasks
   * are expected to meet their targets. Fillers of unknown effect may use a small
   * total share.
   * @param image - Image of the filler.
   * @param load - Runs of the worker.
   * @param running - Run of the filler, if it is already on the worker.
   */
  getTolerableShare(
    image: string,
    load: WorkerLoad,
    running?: AssignedRun,
  ): number {
    const excluded = running === undefined ? NO_RUNS : new Set([running]);
    const fillers = getFillerShares(load, excluded);
    const measuredFillers = this.getUsageAverages(load).getAverages();
    let share = 1;
    for (const [servingImage, measuredIndex] of getMaxLoadIndexes(load)) {
      const estimator = this.getEffects(servingImage);
      if (!estimator.isKnown(image)) {
        if (!running && !this.canExplore(servingImage, image, load)) return 0;
        const unknownShare = getUnknownShare(estimator, fillers);
        share = Math.min(share, MAX_UNKNOWN_SHARE - unknownShare);
        continue;
      }
      const effect = estimator.getEffect(image);
      if (effect < this.getMinHarmfulEffect(servingImage)) continue;
      // The measured index still lacks the fillers that were added or raised just now.
      const ownIndex = Math.max(
        this.getOwnLoadIndex(servingImage, load, LIMIT_HORIZON_MS),
        measuredIndex - estimator.getCombinedEffect(measuredFillers),
      );
      const currentIndex = ownIndex + estimator.getCombinedEffect(fillers);
      share = Math.min(share, (MAX_PLANNED_LOAD_INDEX - currentIndex) / effect);
    }
    return Math.max(0, share);
  }

  /**
   * Checks whether a filler image is known not to interfere with the serving tasks of a worker.
   * @param image - Image of the filler.
   * @param load - Runs of the worker.
   */
  isHarmlessOn(image: string, load: WorkerLoad): boolean {
    for (const servingImage of load.getServingImages()) {
      const estimator = this.getEffects(servingImage);
      if (!estimator.isKnown(image)) return false;
      const effect = estimator.getEffect(image);
      if (effect >= this.getMinHarmfulEffect(servingImage)) return false;
    }
    return true;
  }

  /**
   * Records the placement of a filler. The worker counts against the limit on
   * exploration workers for each unknown pair of images.
   * @param image - Image of the filler.
   * @param load - Runs of the worker that it was placed on.
   * @param nowMs - Monotonic time.
   */
  recordPlacement(image: string, load: WorkerLoad, nowMs: number): void {
    this.recordFillerUsage(load, nowMs);
    for (const servingImage of load.getServingImages()) {
      if (this.getEffects(servingImage).isKnown(image)) continue;
      this.getExplorationWorkers(servingImage, image).add(load);
    }
  }

  /**
   * Records the current CPU shares of a worker's fillers. Must be called when
   * fillers are added or their CPU limits change between two reports.
   * @param load - Runs of the worker.
   * @param nowMs - Monotonic time.
   */
  recordFillerUsage(load: WorkerLoad, nowMs: number): void {
    this.workerFigures.delete(load);
    this.getUsageAverages(load).advance(getFillerShares(load), nowMs);
  }

  private canExplore(
    servingImage: string,
    image: string,
    load: WorkerLoad,
  ): boolean {
    const workers = this.getExplorationWorkers(servingImage, image);
    if (workers.has(load)) return true;
    for (const each of workers) {
      if (!hasFillerWithImage(each, image)) workers.delete(each);
    }
    return workers.size < MAX_EXPLORATION_WORKERS;
  }

  private getExplorationWorkers(
    servingImage: string,
    image: string,
  ): Set<WorkerLoad> {
    const key = `${servingImage} ${image}`;
    let workers = this.explorationWorkers.get(key);
    if (workers === undefined) {
      workers = new Set();
      this.explorationWorkers.set(key, workers);
    }
    return workers;
  }

  /**
   * Checks whether a filler is known to interfere with a serving task.
   * @param filler - Run of a filler.
   * @param serving - Run of a serving task.
   */
  isHarmfulPair(filler: AssignedRun, serving: AssignedRun): boolean {
    const servingImage = getImage(serving);
    const effect = this.getEffects(servingImage).getEffect(getImage(filler));
    return effect >= this.getMinHarmfulEffect(servingImage);
  }

  /**
   * Predicts the load index of a serving task from its baseline and the fillers.
   * @param serving - Run of a serving task.
   * @param load - Runs of its worker.
   * @param excluded - Fillers to exclude.
   */
  predictServingLoadIndex(
    serving: AssignedRun,
    load: WorkerLoad,
    excluded: ReadonlySet<AssignedRun>,
  ): number {
    const fillers = getFillerShares(load, excluded);
    const image = getImage(serving);
    const forecast = isCompared(this.getServingImageModel(image))
      ? this.servingLoad.getForecast(serving.step, LIMIT_HORIZON_MS)
      : undefined;
    const ownIndex = forecast ?? this.getBaselineMean(image);
    return ownIndex + this.getEffects(image).getCombinedEffect(fillers);
  }

  /**
   * Gets how much a running filler adds to the load index of a serving task.
   * @param filler - Run of a filler.
   * @param serving - Run of a serving task on the same worker.
   * @param load - Runs of the worker.
   */
  getAddedLoadIndex(
    filler: AssignedRun,
    serving: AssignedRun,
    load: WorkerLoad,
  ): number {
    const share =
      filler.step.spec.needs.cpuMillis / load.getCapacity().cpuMillis;
    const estimator = this.getEffects(getImage(serving));
    return estimator.getEffect(getImage(filler)) * share;
  }

  private getMinHarmfulEffect(servingImage: string): number {
    return isCompared(this.getServingImageModel(servingImage))
      ? MIN_COMPARED_HARMFUL_EFFECT
      : MIN_HARMFUL_EFFECT;
  }

  private getEffects(image: string): EffectEstimator {
    return this.getServingImageModel(image).effects;
  }

  /** Predicts the load index of a serving image on a worker with the given fillers. */
  private predictLoadIndex(
    image: string,
    fillers: readonly EffectInput[],
  ): number {
    const {effects, baselineLoad} = this.getServingImageModel(image);
    return baselineLoad.getMean() + effects.getCombinedEffect(fillers);
  }

  /** Gets the highest load index that the tasks of an image on a worker are expected to have without fillers. */
  private getOwnLoadIndex(
    image: string,
    load: WorkerLoad,
    horizonMs: number,
  ): number {
    if (!isCompared(this.getServingImageModel(image)))
      return this.getBaselineMean(image);
    let ownIndex: number | undefined;
    for (const serving of load.getServingRuns()) {
      if (getImage(serving) !== image || !hasResponseTarget(serving)) continue;
      const forecast = this.servingLoad.getForecast(serving.step, horizonMs);
      const expected = forecast ?? this.getBaselineMean(image);
      ownIndex = Math.max(ownIndex ?? expected, expected);
    }
    return ownIndex ?? this.getBaselineMean(image);
  }

  private getBaselineMean(image: string): number {
    return this.getServingImageModel(image).baselineLoad.getMean();
  }

  private getServingImageModel(image: string): ServingImageModel {
    let model = this.servingImageModels.get(image);
    if (model === undefined) {
      model = {
        effects: EffectEstimator.create(),
        baselineLoad: BaselineLoad.create(),
        forecastFraction: 0,
      };
      this.servingImageModels.set(image, model);
    }
    return model;
  }
}

/**
 * Checks whether a run is a long-running task with a response time target.
 * @param assigned - Run to check.
 */
export function hasResponseTarget(assigned: AssignedRun): boolean {
  const {isLongRunning, targetResponseMs} = assigned.step.spec;
  return isLongRunning && targetResponseMs > 0;
}

/**
 * Gets the load index of a serving task from its latest response time.
 * @param serving - Run of a serving task.
 */
export function getLoadIndex(serving: AssignedRun): number {
  const {targetResponseMs} = serving.step.spec;
  const idleMs = targetResponseMs * IDLE_RESPONSE_FRACTION;
  const responseMs = Math.max(idleMs, serving.run.usage);
  return 1 - idleMs / responseMs;
}

function getImage(assigned: AssignedRun): string {
  return assigned.step.spec.image ?? '';
}

function hasFillerWithImage(load: WorkerLoad, image: string): boolean {
  for (const filler of load.getFillerRuns()) {
    if (getImage(filler) === image) return true;
  }
  return false;
}

function getUnknownShare(
  estimator: EffectEstimator,
  fillers: readonly EffectInput[],
): number {
  let share = 0;
  for (const {name, amount} of fillers) {
    if (!estimator.isKnown(name)) share += amount;
  }
  return share;
}

/** Gets the shares of the worker's CPU that fillers may use under their CPU limits, by image. */
function getFillerShares(
  load: WorkerLoad,
  excluded: ReadonlySet<AssignedRun> = NO_RUNS,
): EffectInput[] {
  const shares = new Map<string, number>();
  for (const filler of load.getFillerRuns()) {
    if (excluded.has(filler)) continue;
    const image = getImage(filler);
    const share = getShare(filler, load);
    shares.set(image, (shares.get(image) ?? 0) + share);
  }
  return [...shares].map(([name, amount]) => ({name, amount}));
}

/** Gets the share of the worker's CPU that a filler may use under its CPU limit. */
function getShare({step, run}: AssignedRun, load: WorkerLoad): number {
  const limitMillis = (step.spec.needs.cpuMillis * run.cpuLimitPercent) / 100;
  return limitMillis / load.getCapacity().cpuMillis;
}

/**
 * Checks whether the tasks of an image are compared with others of their step. Where only
 * few have a forecast, learning from these alone would take too long.
 */
function isCompared({forecastFraction}: ServingImageModel): boolean {
  return forecastFraction >= MIN_FORECAST_FRACTION;
}

const NO_RUNS: ReadonlySet<AssignedRun> = new Set();

/** Gets the highest measured load index of the serving tasks, by image. */
function getMaxLoadIndexes(load: WorkerLoad): Map<string, number> {
  const indexes = new Map<string, number>();
  for (const serving of load.getServingRuns()) {
    if (!hasResponseTarget(serving)) continue;
    const image = getImage(serving);
    const maximum = indexes.get(image) ?? 0;
    indexes.set(image, Math.max(maximum, getLoadIndex(serving)));
  }
  return indexes;
}

function isSquare({names, effects, covariance}: StoredEffects): boolean {
  const size = names.length;
  if (new Set(names).size !== size || effects.length !== size) return false;
  if (covariance.length !== size) return false;
  return covariance.every(row => row.length === size);
}
