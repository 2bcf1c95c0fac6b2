import {expect} from 'chai';
import {CrashAttributor, LostWorker} from '../src/crash_attributor.js';
import {AssignedRun, WorkerLoad} from '../src/worker_load.js';
import {addTestRun, createTestLoad} from './test_runs.js';

const LOST_MS = 10_000;

/** Time at which a lease has expired that was granted at `LOST_MS`. */
const NOTICED_MS = LOST_MS + 5_450;

function createLost(
  workerId: string,
  load: WorkerLoad,
  lastResponseMs = LOST_MS,
): LostWorker {
  return {workerId, load, lastResponseMs};
}

function addProvenRun(load: WorkerLoad): AssignedRun {
  const assigned = addTestRun(load, {});
  load.markProven(assigned);
  return assigned;
}

function addOpenRun(load: WorkerLoad): AssignedRun {
  const assigned = addTestRun(load, {});
  assigned.run.isConfirmed = false;
  assigned.run.openStarts = 1;
  return assigned;
}

function addTrialRun(load: WorkerLoad): AssignedRun {
  const assigned = addTestRun(load, {});
  assigned.task.startCrashes = [{workerId: 'worker-9', isAttributed: true}];
  return assigned;
}

describe('CrashAttributor', () => {
  let attributor: CrashAttributor;
  let load: WorkerLoad;

  beforeEach(() => {
    attributor = CrashAttributor.create();
    load = createTestLoad();
  });

  function recordLoss(lost: LostWorker, silentWorkers: LostWorker[] = []) {
    return attributor
      .recordLoss(lost, silentWorkers, NOTICED_MS)
      .map(({assigned, isAttributed}) => ({assigned, isAttributed}));
  }

  it('attributes a crash to the run that had just been started', () => {
    addProvenRun(load);
    const assigned = addTestRun(load, {});
    expect(recordLoss(createLost('worker-1', load))).to.deep.equal([
      {assigned, isAttributed: true},
    ]);
  });

  it('suspects nothing on a worker whose runs are all proven', () => {
    addProvenRun(load);
    expect(recordLoss(createLost('worker-1', load))).to.deep.equal([]);
  });

  it('does not suspect a run whose start was never sent', () => {
    addTestRun(load, {}).run.isConfirmed = false;
    expect(recordLoss(createLost('worker-1', load))).to.deep.equal([]);
  });

  it('counts each run once', () => {
    addTestRun(load, {});
    recordLoss(createLost('worker-1', load));
    expect(recordLoss(createLost('worker-1', load))).to.deep.equal([]);
  });

  it('attributes a crash to a start without a response only if no other run had started', () => {
    const open = addOpenRun(load);
    expect(recordLoss(createLost('worker-1', load))).to.deep.equal([
      {assigned: open, isAttributed: true},
    ]);
    const otherLoad = createTestLoad();
    const otherOpen = addOpenRun(otherLoad);
    const started = addTestRun(otherLoad, {});
    expect(
      recordLoss(createLost('worker-2', otherLoad, 2 * LOST_MS)),
    ).to.deep.equal([
      {assigned: otherOpen, isAttributed: false},
      {assigned: started, isAttributed: true},
    ]);
  });

  it('does not attribute a crash at the time of which an idle worker was lost', () => {
    const assigned = addTestRun(load, {});
    const idle = createLost('worker-2', createTestLoad(), LOST_MS + 500);
    expect(recordLoss(createLost('worker-1', load), [idle])).to.deep.equal([
      {assigned, isAttributed: false},
    ]);
  });

  it('remembers an idle worker whose loss was recorded before', () => {
    const assigned = addTestRun(load, {});
    recordLoss(createLost('worker-2', createTestLoad(), LOST_MS - 500));
    expect(recordLoss(createLost('worker-1', load))).to.deep.equal([
      {assigned, isAttributed: false},
    ]);
  });

  it('attributes a crash beside losses at other times and losses of starting workers', () => {
    const assigned = addTestRun(load, {});
    const otherLoad = createTestLoad();
    addTestRun(otherLoad, {});
    const silentWorkers = [
      createLost('worker-2', createTestLoad(), LOST_MS - 2_000),
      createLost('worker-3', otherLoad),
    ];
    expect(
      recordLoss(createLost('worker-1', load), silentWorkers),
    ).to.deep.equal([{assigned, isAttributed: true}]);
  });

  it('attributes the crash of a trial beside a worker that may have been starting something', () => {
    const assigned = addTrialRun(load);
    const otherLoad = createTestLoad();
    addOpenRun(otherLoad);
    const other = createLost('worker-2', otherLoad);
    expect(recordLoss(createLost('worker-1', load), [other])).to.deep.equal([
      {assigned, isAttributed: true},
    ]);
  });

  it('attributes a loss of an earlier term to a trial only', () => {
    const restored = addTestRun(load, {});
    restored.run.isConfirmed = false;
    const adopted = {...restored.run, isAdopted: true};
    load.removeRun(restored);
    const assigned = {...restored, run: adopted};
    load.addRun(assigned);
    expect(recordLoss(createLost('worker-1', load, -Infinity))).to.deep.equal([
      {assigned, isAttributed: false},
    ]);
    const otherLoad = createTestLoad();
    const trial = addTrialRun(otherLoad);
    const other = CrashAttributor.create();
    expect(
      other
        .recordLoss(
          createLost('worker-2', otherLoad, -Infinity),
          [],
          NOTICED_MS,
        )
        .map(({isAttributed}) => isAttributed),
    ).to.deep.equal([true]);
    expect(trial.run.isProven).to.equal(false);
  });
});
