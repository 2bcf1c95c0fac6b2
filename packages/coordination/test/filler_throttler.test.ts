import {expect} from 'chai';
import {FillerAction, FillerThrottler} from '../src/filler_throttler.js';
import {InterferenceModel} from '../src/interference_model.js';
import {AssignedRun, WorkerLoad} from '../src/worker_load.js';
import {addTestRun, createTestLoad, SERVING_FIELDS} from './test_runs.js';

/** Response times that meet the target of 100 ms with a margin, barely, and not at all. */
const RESPONSE_MS = {recovered: 40, slow: 80, missed: 150} as const;

/** Time after which the throttler may adjust the limit again. */
const ADJUSTMENT_MS = 1_000;

/** A worker with a filler, and a throttler that applies its own CPU limits. */
class ThrottlerFixture {
  readonly load = createTestLoad();
  readonly filler: AssignedRun;
  /** Number of predictions of what the serving tasks tolerate. */
  predictionCount = 0;
  private readonly throttler: FillerThrottler;
  private serving: AssignedRun | undefined;
  private nowMs = 50_000;

  private constructor(isAdopted: boolean) {
    this.filler = addFiller(this.load, isAdopted);
    const model = InterferenceModel.create();
    const predict = model.getTolerableShare.bind(model);
    model.getTolerableShare = (...args) => {
      this.predictionCount++;
      return predict(...args);
    };
    this.throttler = FillerThrottler.create(model);
  }

  static create({isAdopted}: {isAdopted: boolean}): ThrottlerFixture {
    return new ThrottlerFixture(isAdopted);
  }

  /**
   * Applies a report.
   * @param responseMs - Response time of a serving task; without one if absent.
   * @returns CPU limits that were set.
   */
  report(responseMs?: number): number[] {
    if (responseMs !== undefined) {
      this.serving ??= addTestRun(this.load, SERVING_FIELDS);
      this.serving.run.previousUsage = this.serving.run.usage;
      this.serving.run.usage = responseMs;
    }
    this.nowMs += ADJUSTMENT_MS;
    return this.throttler.decide(this.load, this.nowMs).flatMap(applyLimit);
  }
}

function applyLimit(action: FillerAction): number[] {
  if (action.kind !== 'limit') return [];
  action.assigned.run.cpuLimitPercent = action.cpuLimitPercent;
  return [action.cpuLimitPercent];
}

function addFiller(load: WorkerLoad, isAdopted: boolean): AssignedRun {
  const placed = addTestRun(load, {isFiller: true});
  load.removeRun(placed);
  const filler = {...placed, run: {...placed.run, isAdopted}};
  load.addRun(filler);
  return filler;
}

describe(FillerThrottler.name, () => {
  it('sets the unknown CPU limit of an adopted filler once', () => {
    const fixture = ThrottlerFixture.create({isAdopted: true});
    expect(fixture.report()).to.deep.equal([100]);
    expect(fixture.report()).to.be.empty;
  });

  it('does not set the CPU limit of a filler that it placed and has not throttled', () => {
    const fixture = ThrottlerFixture.create({isAdopted: false});
    expect(fixture.report()).to.be.empty;
    expect(fixture.report(RESPONSE_MS.recovered)).to.be.empty;
  });

  it('does not raise the CPU limit of an adopted filler until the target is met with a margin', () => {
    const fixture = ThrottlerFixture.create({isAdopted: true});
    expect(fixture.report(RESPONSE_MS.slow)).to.be.empty;
    expect(fixture.report(RESPONSE_MS.recovered)).to.deep.equal([100]);
    expect(fixture.report(RESPONSE_MS.recovered)).to.be.empty;
  });

  it('throttles an adopted filler while the target is missed', () => {
    const fixture = ThrottlerFixture.create({isAdopted: true});
    expect(fixture.report(RESPONSE_MS.missed)).to.deep.equal([40]);
    expect(fixture.report(RESPONSE_MS.slow)).to.be.empty;
    expect(fixture.report(RESPONSE_MS.recovered)).to.deep.equal([90]);
    expect(fixture.report(RESPONSE_MS.recovered)).to.deep.equal([100]);
    expect(fixture.report(RESPONSE_MS.recovered)).to.be.empty;
  });

  it('predicts nothing for a filler whose CPU limit cannot rise', () => {
    const fixture = ThrottlerFixture.create({isAdopted: false});
    fixture.report();
    fixture.report(RESPONSE_MS.recovered);
    expect(fixture.predictionCount).to.equal(0);
    fixture.report(RESPONSE_MS.missed);
    fixture.report(RESPONSE_MS.recovered);
    expect(fixture.predictionCount).to.equal(1);
  });

  it('sets the CPU limit again for a filler that another worker process runs', () => {
    const fixture = ThrottlerFixture.create({isAdopted: false});
    for (let report = 0; report < 4; report++)
      fixture.report(RESPONSE_MS.missed);
    expect(fixture.filler.run.cpuLimitPercent).to.equal(0);
    expect(fixture.report(RESPONSE_MS.missed)).to.be.empty;
    fixture.filler.run.workerStartMs++;
    expect(fixture.report(RESPONSE_MS.missed)).to.deep.equal([0]);
    expect(fixture.report(RESPONSE_MS.missed)).to.be.empty;
  });
});
