import {expect} from 'chai';
import {ServingLoad} from '../src/serving_load.js';
import {createTestJob, createTestStep} from './test_runs.js';

const TASK_COUNT = 12;
const REPORT_INTERVAL_MS = 1_000;

/** Load of users that rises and falls within 10 s, as of a serving job at any time. */
function getUserLoad(timeMs: number): number {
  return 0.45 + 0.25 * Math.sin((2 * Math.PI * timeMs) / 10_000);
}

/** Creates the load of a step whose tasks report in turn, with an error in each report. */
function createObservedLoad(endMs: number, taskCount = TASK_COUNT) {
  const servingLoad = ServingLoad.create();
  const job = createTestJob([createTestStep({taskCount})]);
  const step = job.occurrences.get(0)!.steps[0];
  const pauseMs = REPORT_INTERVAL_MS / taskCount;
  let taskIndex = 0;
  for (let timeMs = 0; timeMs <= endMs; timeMs += pauseMs) {
    const error = 0.04 * Math.sin(timeMs * 12.9898);
    const loadIndex = getUserLoad(timeMs) + error;
    taskIndex = (taskIndex + 1) % taskCount;
    servingLoad.addSample({
      step,
      taskIndex,
      loadIndex,
      fillerEffect: 0,
      timeMs,
    });
  }
  return {servingLoad, step};
}

describe(ServingLoad.name, () => {
  // Guards against taking the mean of an image for the load of all of its tasks.
  it('follows the load of a step', () => {
    for (const endMs of [18_000, 22_500, 25_000, 27_500, 30_000]) {
      const {servingLoad, step} = createObservedLoad(endMs);
      const forecast = servingLoad.getForecast(step, 0);
      expect(forecast).to.be.closeTo(getUserLoad(endMs), 0.08);
    }
  });

  // Guards against fillers that are placed just before the load rises.
  it('looks ahead while the load rises', () => {
    const {servingLoad, step} = createObservedLoad(29_500);
    const forecast = servingLoad.getForecast(step, 1_500);
    expect(forecast).to.be.closeTo(getUserLoad(31_000), 0.08);
  });

  it('expects no less than the present load while it falls', () => {
    const {servingLoad, step} = createObservedLoad(34_000);
    const forecast = servingLoad.getForecast(step, 1_500);
    expect(forecast).to.be.closeTo(getUserLoad(34_000), 0.08);
  });

  it('expects no more than the highest load of late', () => {
    const {servingLoad, step} = createObservedLoad(31_000);
    const forecast = servingLoad.getForecast(step, 60_000);
    expect(forecast).to.be.lessThan(getUserLoad(2_500) + 0.08);
  });

  // Guards against forecasts from single response times, which are too coarse.
  it('knows nothing of a step of few tasks', () => {
    const {servingLoad, step} = createObservedLoad(20_000, 6);
    expect(servingLoad.getForecast(step, 0)).to.equal(undefined);
  });

  it('forgets a step whose tasks report no more', () => {
    const {servingLoad, step} = createObservedLoad(20_000);
    const other = createTestJob([createTestStep()]).occurrences.get(0)!
      .steps[0];
    servingLoad.addSample({
      step: other,
      taskIndex: 0,
      loadIndex: 0.4,
      fillerEffect: 0,
      timeMs: 23_000,
    });
    expect(servingLoad.getForecast(step, 0)).to.equal(undefined);
  });
});
