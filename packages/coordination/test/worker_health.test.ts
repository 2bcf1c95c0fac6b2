import {expect} from 'chai';
import {ResponseState} from '../src/interference_model.js';
import {DurationModel} from '../src/duration_model.js';
import {WorkerHealth} from '../src/worker_health.js';
import {addTestRun, addTestRuns, createTestLoad} from './test_runs.js';

function createHealth(): WorkerHealth {
  const health = WorkerHealth.create({durationModel: DurationModel.create()});
  // Ten healthy workers, of which at most a fifth may be quarantined.
  for (let worker = 0; worker < 10; worker++)
    health.evaluate(createTestLoad(), `worker-${worker}`, 0);
  return health;
}

/** Lets runs of two jobs fail on each of ten workers, and counts those that are quarantined. */
function countQuarantined(health: WorkerHealth, nowMs: number): number {
  const workerIds = Array.from({length: 10}, (_, index) => `worker-${index}`);
  for (const workerId of workerIds)
    health.evaluate(createTestLoad(), workerId, nowMs);
  let quarantinedCount = 0;
  for (const workerId of workerIds) {
    const load = createTestLoad();
    for (let failure = 0; failure < 2; failure++) {
      const run = addTestRun(load, {}, nowMs, workerId);
      if (health.recordRunEnd(run, 'failed', nowMs) === 'quarantined')
        quarantinedCount++;
    }
  }
  return quarantinedCount;
}

describe(WorkerHealth.name, () => {
  it('quarantines a worker after consecutive failures of two jobs', () => {
    const health = createHealth();
    const load = createTestLoad();
    const first = addTestRun(load, {});
    const second = addTestRun(load, {});
    expect(health.recordRunEnd(first, 'failed', 100)).to.equal('unchanged');
    expect(health.recordRunEnd(second, 'failed', 150)).to.equal('quarantined');
    expect(health.isUsable('worker-1', 200)).to.equal(false);
  });

  it('does not quarantine a worker for repeated failures of a single job', () => {
    const health = createHealth();
    const failingRun = addTestRun(createTestLoad(), {});
    for (let failure = 0; failure < 5; failure++)
      expect(health.recordRunEnd(failingRun, 'failed', failure)).to.equal(
        'unchanged',
      );
  });

  it('allows a single probe and restores the worker when it succeeds', () => {
    const health = createHealth();
    const load = createTestLoad();
    for (const run of [addTestRun(load, {}), addTestRun(load, {})])
      health.recordRunEnd(run, 'failed', 100);
    expect(health.isUsable('worker-1', 2_200)).to.equal(true);
    const probe = addTestRun(load, {}, 2_200);
    health.recordPlacement('worker-1', 2_200);
    expect(health.isUsable('worker-1', 2_300)).to.equal(false);
    expect(health.recordRunEnd(probe, 'done', 3_200)).to.equal('restored');
    expect(health.isUsable('worker-1', 3_300)).to.equal(true);
  });

  it('quarantines a worker with stalled runs and finds the stragglers', () => {
    const health = createHealth();
    const load = createTestLoad();
    const runs = [addTestRun(load, {}), addTestRun(load, {})];
    for (const {run} of runs) {
      run.progressPercent = 10;
      run.progressAgeMs = 1_500;
    }
    expect(health.evaluate(load, 'worker-1', 1_500)).to.equal('quarantined');
    expect(health.findStragglers(load, 1_500)).to.deep.equal(runs);
  });

  it('does not quarantine a worker that is as fast as expected', () => {
    const health = createHealth();
    const load = createTestLoad();
    const {run} = addTestRun(load, {});
    run.progressPercent = 80;
    run.progressAgeMs = 900;
    expect(health.evaluate(load, 'worker-1', 900)).to.equal('unchanged');
  });

  it('does not learn durations from runs that an earlier coordinator placed', () => {
    const durationModel = DurationModel.create();
    const health = WorkerHealth.create({durationModel});
    const load = createTestLoad();
    const placed = addTestRun(load, {}, 1_000);
    const adopted = {...placed, run: {...placed.run, isAdopted: true}};
    health.recordRunEnd(adopted, 'done', 1_040);
    const {queue} = adopted.job.accepted;
    expect(durationModel.getExpectedMs(queue.name, adopted.step)).to.equal(
      1_000,
    );
  });

  it('does not quarantine a worker for one job whose estimate is too low', () => {
    const health = createHealth();
    const load = createTestLoad();
    const runs = addTestRuns(load, 2);
    for (const {run} of runs) {
      run.progressPercent = 35;
      run.progressAgeMs = 1_000;
    }
    expect(health.evaluate(load, 'worker-1', 1_000)).to.equal('unchanged');
  });

  it('quarantines a worker while all its response times are saturated', () => {
    const health = createHealth();
    const load = createTestLoad();
    const evaluate = (nowMs: number, responses: ResponseState) =>
      health.evaluate(load, 'worker-1', nowMs, responses);
    expect(evaluate(1_000, 'saturated')).to.equal('quarantined');
    expect(evaluate(1_500, 'saturated')).to.equal('unchanged');
    expect(evaluate(2_000, 'unsaturated')).to.equal('unchanged');
    expect(health.isUsable('worker-1', 2_000)).to.equal(false);
    expect(evaluate(2_600, 'unsaturated')).to.equal('restored');
  });

  it('finds stalled fillers of a quarantined worker as stragglers', () => {
    const health = createHealth();
    const load = createTestLoad();
    const filler = addTestRun(load, {isFiller: true, isCheckpointing: true});
    filler.run.progressPercent = 5;
    filler.run.progressAgeMs = 2_500;
    health.evaluate(load, 'worker-1', 2_500, 'saturated');
    expect(health.findStragglers(load, 2_500)).to.deep.equal([filler]);
  });

  it('quarantines at most a fifth of the workers that are left of a larger fleet', () => {
    const health = createHealth();
    for (let worker = 0; worker < 40; worker++)
      health.evaluate(createTestLoad(), `gone-${worker}`, 0);
    expect(countQuarantined(health, 60_000)).to.equal(2);
  });

  it('quarantines a fifth of the fleet although quarantined workers have gone', () => {
    const health = createHealth();
    for (const workerId of ['gone-1', 'gone-2'])
      health.evaluate(createTestLoad(), workerId, 0, 'saturated');
    expect(countQuarantined(health, 60_000)).to.equal(2);
  });

  it('quarantines at most a fifth of the fleet', () => {
    const health = createHealth();
    let quarantinedCount = 0;
    for (let worker = 0; worker < 10; worker++) {
      const load = createTestLoad();
      for (let failure = 0; failure < 2; failure++) {
        const run = addTestRun(load, {}, 0, `worker-${worker}`);
        if (health.recordRunEnd(run, 'failed', 100) === 'quarantined')
          quarantinedCount++;
      }
    }
    expect(quarantinedCount).to.equal(2);
  });
});
