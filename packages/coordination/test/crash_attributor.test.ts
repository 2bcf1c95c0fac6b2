import {expect} from 'chai';
import {CrashAttributor, LostWorker} from '../src/crash_attributor.js';
import {AssignedRun, WorkerLoad} from '../src/worker_load.js';
import {addTestRun, addTestRuns, createTestLoad} from './test_runs.js';

const LOST_MS = 10_000;

/** Number of workers that respond. */
const RESPONDING_COUNT = 12;

/** Time at which a lease has expired that was granted at `LOST_MS`. */
const NOTICED_MS = LOST_MS + 5_450;

/** Time for which a worker waits for a run to end before it responds to a renewal. */
const POLL_MS = 500;

/**
 * Creates a lost worker.
 * @param lastResponseMs - Time at which its last response was read.
 * @param readDelayMs - Time for which the response waited until this process read it.
 */
function createLost(
  workerId: string,
  load: WorkerLoad,
  lastResponseMs = LOST_MS,
  readDelayMs = 0,
): LostWorker {
  const interval = {
    earliestMs: lastResponseMs - readDelayMs - POLL_MS,
    latestMs: lastResponseMs + POLL_MS,
  };
  return {workerId, load, interval, mayRespondAgain: false};
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
  assigned.task.startCrashes = [
    {workerId: 'worker-9', runNumber: 1, isAttributed: true},
  ];
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
      .recordLoss(lost, silentWorkers, RESPONDING_COUNT, NOTICED_MS)
      .map(({assigned, isAttributed}) => ({assigned, isAttributed}));
  }

  it('attributes a crash to the run that had just been started', () => {
    addProvenRun(load);
    const assigned = addTestRun(load, {});
    expect(recordLoss(createLost('worker-1', load))).to.deep.equal([
      {assigned, isAttributed: true},
    ]);
  });

  it('does not attribute the loss of a worker that may respond again', () => {
    const assigned = addTestRun(load, {});
    const lost = {...createLost('worker-1', load), mayRespondAgain: true};
    expect(recordLoss(lost)).to.deep.equal([{assigned, isAttributed: false}]);
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

  // A worker that went down and up twice had all that it started again tried alone.
  it('does not attribute the loss of a worker that was lost shortly before while it was starting nothing', () => {
    const provenLoad = createTestLoad();
    addProvenRun(provenLoad);
    recordLoss(createLost('worker-1', provenLoad));
    const assigned = addTestRun(load, {});
    const trial = addTrialRun(load);
    expect(
      recordLoss(createLost('worker-1', load, LOST_MS + 9_000)),
    ).to.deep.equal([
      {assigned, isAttributed: false},
      {assigned: trial, isAttributed: true},
    ]);
    const laterLoad = createTestLoad();
    const later = addTestRun(laterLoad, {});
    expect(
      recordLoss(createLost('worker-1', laterLoad, LOST_MS + 20_001)),
    ).to.deep.equal([{assigned: later, isAttributed: true}]);
  });

  it('attributes the loss of a worker that was lost shortly before while it was starting a run', () => {
    addTestRun(load, {});
    recordLoss(createLost('worker-1', load));
    const nextLoad = createTestLoad();
    const assigned = addTestRun(nextLoad, {});
    expect(
      recordLoss(createLost('worker-1', nextLoad, LOST_MS + 2_000)),
    ).to.deep.equal([{assigned, isAttributed: true}]);
  });

  it('attributes a crash beside losses at other times and losses of starting workers', () => {
    const assigned = addTestRun(load, {});
    const otherLoad = createTestLoad();
    addTestRun(otherLoad, {});
    const silentWorkers = [
      createLost('worker-2', createTestLoad(), LOST_MS - 3_500),
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
          RESPONDING_COUNT,
          NOTICED_MS,
        )
        .map(({isAttributed}) => isAttributed),
    ).to.deep.equal([true]);
    expect(trial.run.isProven).to.equal(false);
  });

  it('does not attribute the first crash of a task while idle workers are being lost', () => {
    const first = addTestRun(load, {});
    const idle = createLost('worker-2', createTestLoad(), LOST_MS - 2_000);
    expect(recordLoss(createLost('worker-1', load), [idle])).to.deep.equal([
      {assigned: first, isAttributed: false},
    ]);
    const otherLoad = createTestLoad();
    const trial = addTrialRun(otherLoad);
    expect(recordLoss(createLost('worker-3', otherLoad), [idle])).to.deep.equal(
      [{assigned: trial, isAttributed: true}],
    );
  });

  it('does not attribute a crash with which a quarter of the workers were lost, except beside runs of the job', () => {
    const assigned = addTestRun(load, {});
    const silentWorkers = Array.from({length: 6}, (_, index) => {
      const silentLoad = createTestLoad();
      addTestRun(silentLoad, {});
      return createLost(`worker-1${index}`, silentLoad);
    });
    expect(
      recordLoss(createLost('worker-1', load), silentWorkers),
    ).to.deep.equal([{assigned, isAttributed: false}]);
    const [first, ...runs] = addTestRuns(createTestLoad(), 7);
    const ownLoads = [first, ...runs].map(run => {
      const ownLoad = createTestLoad();
      ownLoad.addRun(run);
      return ownLoad;
    });
    const siblings = ownLoads.map((ownLoad, index) =>
      createLost(`worker-2${index}`, ownLoad, 2 * LOST_MS),
    );
    expect(recordLoss(siblings[0], siblings.slice(1))).to.deep.equal([
      {assigned: first, isAttributed: true},
    ]);
  });

  it('does not attribute a crash with which a quarter of the workers were lost that had last responded up to 1.4 s earlier', () => {
    const assigned = addTestRun(load, {});
    const silentWorkers = Array.from({length: 6}, (_, index) => {
      const silentLoad = createTestLoad();
      addTestRun(silentLoad, {});
      const lastResponseMs = LOST_MS - 1_400 + 100 * index;
      return createLost(`worker-1${index}`, silentLoad, lastResponseMs);
    });
    const lost = createLost('worker-1', load, LOST_MS, 1_400);
    expect(recordLoss(lost, silentWorkers)).to.deep.equal([
      {assigned, isAttributed: false},
    ]);
    const other = addTestRun(createTestLoad(), {});
    const otherLoad = createTestLoad();
    otherLoad.addRun(other);
    const lostLater = createLost('worker-2', otherLoad, LOST_MS + 1_400);
    expect(recordLoss(lostLater, silentWorkers)).to.deep.equal([
      {assigned: other, isAttributed: true},
    ]);
  });
});
