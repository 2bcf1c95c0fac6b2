import {expect} from 'chai';
import {InterferenceModel} from '../src/interference_model.js';
import {
  assessWorker,
  CandidateWorker,
  WorkerRanking,
} from '../src/worker_ranking.js';
import {WorkerLoad} from '../src/worker_load.js';
import {
  addTaskRun,
  addTestRun,
  createTestJob,
  createTestLoad,
  createTestStep,
  SERVING_FIELDS,
} from './test_runs.js';

function createWorker(
  load: WorkerLoad,
  fields: Partial<CandidateWorker> = {},
): CandidateWorker {
  return {load, rack: 'rack-1', labels: [], acceptsFillers: true, ...fields};
}

function selectWorker(
  fields: Parameters<typeof createTestStep>[0],
  workers: readonly CandidateWorker[],
) {
  const job = createTestJob([createTestStep(fields)]);
  const step = job.occurrences.get(0)!.steps[0];
  const interferenceModel = InterferenceModel.create();
  return WorkerRanking.create({step, interferenceModel}, workers).getBest();
}

function assess(
  fields: Parameters<typeof createTestStep>[0],
  worker: CandidateWorker,
  interferenceModel = InterferenceModel.create(),
) {
  const job = createTestJob([createTestStep(fields)]);
  const step = job.occurrences.get(0)!.steps[0];
  return assessWorker({step, interferenceModel}, worker);
}

describe('assessWorker', () => {
  it('names the first reason that excludes a worker', () => {
    const load = createTestLoad();
    const worker = createWorker(load);
    const needs = {cpuMillis: 1, memoryMb: 1, accelerators: 0};
    for (const [field, shortage] of [
      ['memoryMb', 'memory'],
      ['accelerators', 'accelerators'],
      ['cpuMillis', 'cpu'],
    ]) {
      const excessive = {...needs, [field]: 999_999};
      expect(assess({needs: excessive}, worker)).to.equal(shortage);
    }
    expect(assess({needs}, worker)).to.have.property('score');
    expect(assess({requiredLabel: 'fast'}, worker)).to.equal('label');
    const {step, task} = addTestRun(load, {maxPerWorker: 1});
    const request = {step, interferenceModel: InterferenceModel.create()};
    expect(assessWorker(request, worker)).to.equal('limit-per-worker');
    task.startCrashes = [{workerId: 'w', runNumber: 1, isAttributed: true}];
    expect(assess({needs}, worker)).to.equal('trial');
  });

  it('names why a filler may not be added', () => {
    const createServing = () => {
      const worker = createWorker(createTestLoad());
      addTestRun(worker.load, {...SERVING_FIELDS, image: 'desk'});
      return worker;
    };
    const worker = createServing();
    const model = InterferenceModel.create();
    const assessFiller = (cpuMillis: number, fields = {}) => {
      const needs = {cpuMillis, memoryMb: 1, accelerators: 0};
      const filler = {isFiller: true, image: 'report', needs};
      return assess(filler, {...worker, ...fields}, model);
    };
    expect(assessFiller(31_000)).to.equal('filler-no-reclaimable-cpu');
    expect(assessFiller(6_000)).to.equal('filler-unknown-share');
    const closed = {acceptsFillers: false};
    expect(assessFiller(1_000, closed)).to.equal('filler-hold-off');
    for (const {load} of [0, 1, 2].map(createServing)) {
      addTestRun(load, {isFiller: true, image: 'report'});
      model.recordPlacement('report', load, 0);
    }
    expect(assessFiller(1_000)).to.equal('filler-explored-elsewhere');
  });
});

describe(WorkerRanking.name, () => {
  it('never exceeds the CPU, memory or accelerators of a worker', () => {
    const full = createWorker(createTestLoad(1_000));
    expect(selectWorker({}, [full])).to.equal(undefined);
    const memory = {cpuMillis: 1, memoryMb: 999_999, accelerators: 0};
    expect(
      selectWorker({needs: memory}, [createWorker(createTestLoad())]),
    ).to.equal(undefined);
    const accelerators = {cpuMillis: 1, memoryMb: 1, accelerators: 1};
    expect(
      selectWorker({needs: accelerators}, [createWorker(createTestLoad())]),
    ).to.equal(undefined);
  });

  it('looks for trials only on workers with room', () => {
    const loads = [createTestLoad(1), createTestLoad()];
    const looks: WorkerLoad[] = [];
    for (const load of loads)
      load.canStartBeside = () => {
        looks.push(load);
        return true;
      };
    const workers = loads.map(load => createWorker(load));
    expect(selectWorker({}, workers)).to.equal(workers[1]);
    expect(looks).to.deep.equal([loads[1]]);
  });

  it('looks for trials only on workers with CPU for a filler', () => {
    const loads = [createTestLoad(), createTestLoad()];
    addTestRun(loads[0], {
      isFiller: true,
      needs: {cpuMillis: 32_000, memoryMb: 1, accelerators: 0},
    });
    const looks: WorkerLoad[] = [];
    for (const load of loads)
      load.canStartBeside = () => {
        looks.push(load);
        return true;
      };
    const workers = loads.map(load => createWorker(load));
    expect(selectWorker({isFiller: true}, workers)).to.equal(workers[1]);
    expect(looks).to.deep.equal([loads[1]]);
  });

  it('selects only workers with the required label', () => {
    const plain = createWorker(createTestLoad());
    const labelled = createWorker(createTestLoad(), {labels: ['fast']});
    expect(selectWorker({requiredLabel: 'fast'}, [plain, labelled])).to.equal(
      labelled,
    );
    expect(selectWorker({requiredLabel: 'none'}, [plain, labelled])).to.equal(
      undefined,
    );
  });

  it('counts only the runs of the same step and occurrence against its limit', () => {
    const schedule = {repetitions: 2, firstRunMs: 0, intervalMs: 0};
    const limited = createTestStep({taskCount: 3, maxPerWorker: 1});
    const job = createTestJob([limited, limited], undefined, 0, schedule);
    const load = createTestLoad();
    const first = addTaskRun(load, job, 0);
    const rank = (occurrence: number, stepIndex: number) => {
      const step = job.occurrences.get(occurrence)!.steps[stepIndex];
      const interferenceModel = InterferenceModel.create();
      const request = {step, interferenceModel};
      return WorkerRanking.create(request, [createWorker(load)]).getBest();
    };
    expect(rank(0, 0)).to.equal(undefined);
    expect(rank(0, 1)).not.to.equal(undefined);
    expect(rank(1, 0)).not.to.equal(undefined);
    first.run.isStopping = true;
    first.step.markDone(first.task);
    expect(rank(0, 0)).to.equal(undefined);
    load.removeRun(first);
    expect(rank(0, 0)).not.to.equal(undefined);
  });

  it('prefers workers on the rack of the data', () => {
    const near = createWorker(createTestLoad(16_000), {rack: 'rack-2'});
    const far = createWorker(createTestLoad(8_000));
    expect(selectWorker({dataRack: 'rack-2'}, [far, near])).to.equal(near);
  });

  it('avoids workers that may hold a long lease for serving tasks, if others have room', () => {
    const long = createWorker(createTestLoad(), {mayHoldLongLease: true});
    const other = createWorker(createTestLoad());
    addTestRun(other.load, {...SERVING_FIELDS, image: 'other'});
    expect(selectWorker(SERVING_FIELDS, [long, other])).to.equal(other);
    expect(selectWorker(SERVING_FIELDS, [long])).to.equal(long);
    expect(selectWorker({}, [long])).to.equal(long);
  });

  it('groups serving tasks of one image on the same worker', () => {
    const same = createWorker(createTestLoad());
    addTestRun(same.load, {...SERVING_FIELDS, image: 'desk'});
    const other = createWorker(createTestLoad(20_000));
    addTestRun(other.load, {...SERVING_FIELDS, image: 'kiln'});
    const empty = createWorker(createTestLoad());
    const serving = {...SERVING_FIELDS, image: 'desk'};
    expect(selectWorker(serving, [other, empty, same])).to.equal(same);
    expect(selectWorker(serving, [other, empty])).to.equal(empty);
  });

  it('excludes workers that accept no fillers while a serving task runs there', () => {
    const closed = createWorker(createTestLoad(), {acceptsFillers: false});
    addTestRun(closed.load, {...SERVING_FIELDS, image: 'desk'});
    const filler = {isFiller: true, image: 'report'};
    expect(selectWorker(filler, [closed])).to.equal(undefined);
  });

  it('places fillers only in CPU that other tasks leave unused', () => {
    const load = createTestLoad(8_000);
    addTestRun(load, {needs: {cpuMillis: 7_000, memoryMb: 1, accelerators: 0}});
    const filler = {isFiller: true, image: 'report'};
    expect(selectWorker(filler, [createWorker(load)])).to.equal(undefined);
  });
});
