import {StepSpec} from '@mustardlug/jobs/job_spec';
import {expect} from 'chai';
import {InterferenceModel} from '../src/interference_model.js';
import {CandidateWorker} from '../src/worker_ranking.js';
import {ServingRelocator} from '../src/serving_relocator.js';
import {AssignedRun, WorkerLoad} from '../src/worker_load.js';
import {addTestRun, createTestLoad, SERVING_FIELDS} from './test_runs.js';

/** Response time of 20 times the target. */
const SATURATED_MS = 2_000;

function createWorker(load = createTestLoad()): CandidateWorker {
  return {load, rack: 'r1', labels: [], acceptsFillers: true};
}

interface Fixture {
  readonly load: WorkerLoad;
  readonly serving: AssignedRun;
  /** Reports a response time and returns the run to relocate, if any. */
  readonly report: (
    responseMs: number,
    nowMs: number,
    others?: readonly CandidateWorker[],
  ) => AssignedRun | undefined;
}

function createFixture(fields: Partial<StepSpec> = {}): Fixture {
  const model = InterferenceModel.create();
  const relocator = ServingRelocator.create(model);
  const load = createTestLoad();
  const serving = addTestRun(load, {
    ...SERVING_FIELDS,
    image: 'desk',
    ...fields,
  });
  const report: Fixture['report'] = (responseMs, nowMs, others) => {
    serving.run.usage = responseMs;
    model.addReport(load, nowMs);
    return relocator.findRunToMove(load, others ?? [createWorker()], nowMs);
  };
  return {load, serving, report};
}

describe(ServingRelocator.name, () => {
  it('relocates a task whose response time stays saturated without fillers', () => {
    const {report, serving} = createFixture();
    expect(report(SATURATED_MS, 10_000)).to.equal(undefined);
    expect(report(SATURATED_MS, 10_800)).to.equal(serving);
  });

  it('does not relocate a task that recovers in between', () => {
    const {report} = createFixture();
    report(SATURATED_MS, 10_000);
    report(40, 10_500);
    expect(report(SATURATED_MS, 10_800)).to.equal(undefined);
  });

  it('does not relocate a task for which no other worker has room', () => {
    const {report} = createFixture();
    const full = createTestLoad();
    addTestRun(full, {
      needs: {cpuMillis: 30_000, memoryMb: 1_000, accelerators: 0},
    });
    report(SATURATED_MS, 10_000, [createWorker(full)]);
    const found = report(SATURATED_MS, 10_800, [createWorker(full)]);
    expect(found).to.equal(undefined);
  });

  it('respects the limit on unavailable tasks of a step', () => {
    const {report} = createFixture({maxUnavailable: 1, taskCount: 2});
    // The second task of the step has no run, so it counts as unavailable.
    report(SATURATED_MS, 10_000);
    expect(report(SATURATED_MS, 10_800)).to.equal(undefined);
  });

  it('does not relocate a task that was placed recently', () => {
    const {report, serving} = createFixture();
    report(SATURATED_MS, 2_000);
    expect(report(SATURATED_MS, 2_800)).to.equal(undefined);
    report(SATURATED_MS, 9_500);
    expect(report(SATURATED_MS, 10_500)).to.equal(serving);
  });

  it('relocates one task at a time', () => {
    const {load, report, serving} = createFixture();
    const second = addTestRun(load, {...SERVING_FIELDS, image: 'desk'});
    second.run.usage = SATURATED_MS;
    report(SATURATED_MS, 10_000);
    expect(report(SATURATED_MS, 10_800)).to.equal(serving);
    serving.run.isStopping = true;
    expect(report(SATURATED_MS, 10_900)).to.equal(undefined);
  });

  it('does not relocate a task while the effect of a filler is unknown', () => {
    const {load, report} = createFixture();
    addTestRun(load, {
      isFiller: true,
      image: 'sheet',
      needs: {cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0},
    });
    for (const nowMs of [10_000, 10_800, 11_600])
      expect(report(SATURATED_MS, nowMs)).to.equal(undefined);
  });
});
