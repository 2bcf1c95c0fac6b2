import {expect} from 'chai';
import {InterferenceModel, ResponseState} from '../src/interference_model.js';
import {FillerThrottler} from '../src/filler_throttler.js';
import {AssignedRun, WorkerLoad} from '../src/worker_load.js';
import {addTestRun, createTestLoad, SERVING_FIELDS} from './test_runs.js';

const FILLER_CPU = 4_000;

function createFiller(image: string) {
  return {
    isFiller: true,
    isCheckpointing: true,
    image,
    needs: {cpuMillis: FILLER_CPU, memoryMb: 2_000, accelerators: 0},
  };
}

/** Response time of a serving task without interference. */
const UNDISTURBED_MS = 40;

/** Number of consecutive reports with a filler, and then without it. */
const REPORTS_PER_FILLER = 4;

/**
 * Trains a model with fillers of two images that start and end repeatedly. Only
 * `noisy` interferes with the serving tasks.
 * @param repeats - Reports of each measurement, as each run that ends causes one.
 */
function createTrainedModel(repeats = 1): InterferenceModel {
  const model = InterferenceModel.create();
  for (const [image, responseMs] of [
    ['noisy', 70],
    ['quiet', UNDISTURBED_MS],
  ] as const) {
    const load = createTestLoad();
    const servings = ['desk', 'hold'].map(servingImage =>
      addTestRun(load, {...SERVING_FIELDS, image: servingImage}),
    );
    let filler: AssignedRun | undefined;
    for (let report = 0; report < 80; report++) {
      // Measurements lag behind: a report shows the fillers of the previous one.
      const isPresent = filler !== undefined;
      for (const {run} of servings)
        run.usage = isPresent ? responseMs : UNDISTURBED_MS;
      for (let repeat = 0; repeat < repeats; repeat++)
        model.addReport(load, 2_000 + report * 500 + repeat * 20);
      if (report % REPORTS_PER_FILLER !== 0) continue;
      if (filler === undefined) {
        filler = addTestRun(load, createFiller(image));
        model.recordFillerUsage(load, 2_000 + report * 500);
      } else {
        load.removeRun(filler);
        filler = undefined;
      }
    }
  }
  return model;
}

function createServingWorker(image: string): {
  load: WorkerLoad;
  serving: AssignedRun;
} {
  const load = createTestLoad();
  const serving = addTestRun(load, {...SERVING_FIELDS, image});
  serving.run.usage = 40;
  return {load, serving};
}

describe(InterferenceModel.name, () => {
  it('distinguishes interfering images from harmless ones', () => {
    const model = createTrainedModel();
    const {load} = createServingWorker('desk');
    expect(model.predict('quiet', FILLER_CPU, load).isHarmless).to.equal(true);
    const noisy = model.predict('noisy', FILLER_CPU, load);
    expect(noisy.isHarmless).to.equal(false);
    // A rise of the response time from 40 to 70 ms raises the load index from 0.45 to 0.69.
    expect(noisy.addedLoadIndex).to.be.closeTo(0.24, 0.05);
  });

  it('limits the combined effect of fillers that are tolerable individually', () => {
    const model = createTrainedModel();
    const {load} = createServingWorker('desk');
    let added = 0;
    while (model.predict('noisy', 1_000, load).isTolerable && added < 20) {
      addTestRun(load, {
        ...createFiller('noisy'),
        needs: {cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0},
      });
      added++;
    }
    expect(added).to.be.lessThan(8);
    const {intolerance} = model.predict('noisy', 1_000, load);
    expect(intolerance).to.equal('filler-effect');
  });

  it('limits the CPU share of fillers of unknown effect', () => {
    const model = createTrainedModel();
    const {load} = createServingWorker('desk');
    expect(model.predict('new', FILLER_CPU, load).isTolerable).to.equal(true);
    addTestRun(load, createFiller('new'));
    expect(model.predict('new', FILLER_CPU, load).isTolerable).to.equal(false);
    expect(model.predict('new', FILLER_CPU, load).intolerance).to.equal(
      'filler-unknown-share',
    );
  });

  it('examines the fillers of a worker once for all predictions between two changes', () => {
    const model = createTrainedModel();
    const {load, serving} = createServingWorker('desk');
    let readCount = 0;
    const read = load.getFillerRuns.bind(load);
    load.getFillerRuns = () => {
      readCount++;
      return read();
    };
    for (let step = 0; step < 10; step++)
      model.predict('noisy', FILLER_CPU, load);
    expect(readCount).to.equal(1);
    const predictAnew = () => {
      readCount = 0;
      const prediction = model.predict('noisy', FILLER_CPU, load);
      expect(readCount).to.be.at.least(1);
      return prediction.intolerance;
    };
    const filler = addTestRun(load, createFiller('noisy'));
    expect(predictAnew()).to.equal('filler-effect');
    filler.run.cpuLimitPercent = 0;
    model.recordFillerUsage(load, 50_000);
    expect(predictAnew()).to.equal(undefined);
    serving.run.usage = 90;
    model.addReport(load, 50_500);
    expect(predictAnew()).to.equal('filler-effect');
  });

  it('learns as much from one report of a measurement as from ten', () => {
    const [once, tenTimes] = [1, 10].map(repeats =>
      createTrainedModel(repeats).getChanges(),
    );
    expect(tenTimes).to.deep.equal(once);
  });

  it('does not learn from a worker that misses targets without fillers', () => {
    const model = createTrainedModel();
    const {load, serving} = createServingWorker('desk');
    serving.run.usage = 4_000;
    for (let report = 0; report < 4; report++)
      model.addReport(load, 30_000 + report * 500);
    addTestRun(load, createFiller('quiet'), 32_000);
    for (let report = 0; report < 6; report++)
      model.addReport(load, 32_000 + report * 500);
    const {load: other} = createServingWorker('desk');
    expect(model.predict('quiet', FILLER_CPU, other).isHarmless).to.equal(true);
  });

  it('does not attribute a recovering response time to a newly added filler', () => {
    const model = createTrainedModel();
    const {load, serving} = createServingWorker('desk');
    addTestRun(load, createFiller('quiet'), 0);
    serving.run.usage = 2_000;
    for (let report = 0; report < 8; report++) {
      serving.run.previousUsage = serving.run.usage;
      serving.run.usage *= 0.7;
      model.addReport(load, 30_000 + report * 300);
    }
    const {load: other} = createServingWorker('desk');
    expect(model.predict('quiet', FILLER_CPU, other).isHarmless).to.equal(true);
  });

  describe('response state', () => {
    function getState(
      servingImages: readonly string[],
      fillerImages: readonly string[],
      responsesMs: readonly number[],
    ): ResponseState {
      const model = createTrainedModel();
      const load = createTestLoad();
      for (const [index, image] of servingImages.entries()) {
        const serving = addTestRun(load, {...SERVING_FIELDS, image});
        serving.run.usage = responsesMs[index];
      }
      for (const image of fillerImages) addTestRun(load, createFiller(image));
      for (const nowMs of [10_000, 10_500]) model.addReport(load, nowMs);
      return model.getResponseState(load);
    }

    it('is saturated when a task misses its target without fillers', () => {
      expect(getState(['desk'], [], [3_000])).to.equal('saturated');
    });

    it('is saturated when tasks of two images miss their targets beside a harmless filler', () => {
      const state = getState(['desk', 'hold'], ['quiet'], [3_000, 3_000]);
      expect(state).to.equal('saturated');
    });

    it('is unknown when the effect of a filler is unknown', () => {
      expect(getState(['desk'], ['other'], [3_000])).to.equal('unknown');
    });

    it('is unsaturated when one task meets its target', () => {
      const state = getState(['desk', 'hold'], ['quiet'], [3_000, 40]);
      expect(state).to.equal('unsaturated');
    });
  });
});

describe(FillerThrottler.name, () => {
  it('evicts only the filler that is known to interfere', () => {
    const model = createTrainedModel();
    const {load, serving} = createServingWorker('desk');
    const noisy = addTestRun(load, createFiller('noisy'));
    addTestRun(load, createFiller('quiet'));
    serving.run.usage = 150;
    const actions = FillerThrottler.create(model).decide(load, 50_000);
    expect(actions).to.deep.equal([{kind: 'evict', assigned: noisy}]);
  });

  it('throttles all fillers when none is known to interfere', () => {
    const {load, serving} = createServingWorker('desk');
    addTestRun(load, createFiller('one'));
    addTestRun(load, createFiller('two'));
    serving.run.usage = 150;
    const throttler = FillerThrottler.create(InterferenceModel.create());
    const actions = throttler.decide(load, 50_000);
    expect(actions.map(action => action.kind)).to.deep.equal([
      'limit',
      'limit',
    ]);
    expect(throttler.canAddFillers(50_100)).to.equal(false);
  });

  it('pauses all fillers when a target is missed persistently', () => {
    const {load, serving} = createServingWorker('desk');
    const fillers = ['one', 'two'].map(image =>
      addTestRun(load, createFiller(image)),
    );
    const throttler = FillerThrottler.create(InterferenceModel.create());
    for (let nowMs = 50_000; nowMs <= 53_000; nowMs += 200) {
      serving.run.previousUsage = serving.run.usage;
      serving.run.usage += 60;
      for (const action of throttler.decide(load, nowMs)) {
        if (action.kind === 'limit')
          action.assigned.run.cpuLimitPercent = action.cpuLimitPercent;
      }
    }
    expect(fillers.map(each => each.run.cpuLimitPercent)).to.deep.equal([0, 0]);
  });

  it('raises the CPU limit of fillers again once the target is met', () => {
    const {load, serving} = createServingWorker('desk');
    const filler = addTestRun(load, createFiller('one'));
    const throttler = FillerThrottler.create(InterferenceModel.create());
    serving.run.usage = 150;
    let nowMs = 50_000;
    for (let report = 0; report < 20; report++) {
      for (const action of throttler.decide(load, nowMs)) {
        if (action.kind === 'limit')
          action.assigned.run.cpuLimitPercent = action.cpuLimitPercent;
      }
      serving.run.usage = 40;
      nowMs += 300;
    }
    expect(filler.run.cpuLimitPercent).to.equal(100);
    expect(throttler.canAddFillers(nowMs)).to.equal(true);
  });
});
