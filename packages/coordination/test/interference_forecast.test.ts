/**
 * Replays a serving job whose users' load rises and falls within 10 s, beside fillers of
 * which some interfere, on workers that report once a second.
 */

import {expect} from 'chai';
import {InterferenceModel} from '../src/interference_model.js';
import {AssignedRun, WorkerLoad} from '../src/worker_load.js';
import {
  addTaskRun,
  addTestRun,
  createTestJob,
  createTestLoad,
  createTestStep,
  SERVING_FIELDS,
} from './test_runs.js';

const WORKER_COUNT = 14;
const WORKER_CPU = 32_000;
const FILLER_CPU = 4_000;
const TARGET_MS = 100;
const IDLE_MS = 22;
const PERIOD_MS = 10_000;

/** Time after which a filler ends and another begins. */
const FILLER_MS = 4_000;

/** Effect of fillers that use all CPU of a worker on the load index of the serving tasks. */
const EFFECTS: Readonly<Record<string, number>> = {noisy: 2, quiet: 0};

function getUserLoad(timeMs: number): number {
  return 0.45 + 0.25 * Math.sin((2 * Math.PI * timeMs) / PERIOD_MS);
}

interface ReplayedWorker {
  readonly load: WorkerLoad;
  readonly serving: AssignedRun;
  filler: AssignedRun | undefined;
}

/** A serving job with one task on each worker. Every other worker has fillers, of both images in turn. */
class Replay {
  readonly model = InterferenceModel.create();
  readonly workers: ReplayedWorker[] = [];
  private timeMs = 0;
  private reportCount = 0;

  constructor() {
    const fields = {...SERVING_FIELDS, image: 'desk', taskCount: WORKER_COUNT};
    const job = createTestJob([createTestStep(fields)]);
    for (let index = 0; index < WORKER_COUNT; index++) {
      const load = createTestLoad(WORKER_CPU);
      const serving = addTaskRun(load, job, index, -10_000);
      this.workers.push({load, serving, filler: undefined});
    }
  }

  runUntil(endMs: number): void {
    const pauseMs = 1_000 / WORKER_COUNT;
    for (; this.timeMs < endMs; this.timeMs += pauseMs)
      this.report(this.reportCount++);
  }

  private report(reportIndex: number): void {
    const workerIndex = reportIndex % WORKER_COUNT;
    const worker = this.workers[workerIndex];
    const {load, serving} = worker;
    const image = worker.filler?.step.spec.image ?? '';
    const share = worker.filler === undefined ? 0 : FILLER_CPU / WORKER_CPU;
    const error = 0.03 * Math.sin(reportIndex * 12.9898);
    const index =
      getUserLoad(this.timeMs) + (EFFECTS[image] ?? 0) * share + error;
    serving.run.usage = Math.round(IDLE_MS / (1 - Math.min(0.95, index)));
    if (worker.filler !== undefined) worker.filler.run.usage = FILLER_CPU;
    this.model.addReport(load, this.timeMs);
    if (workerIndex % 2 === 0) this.replaceFiller(worker);
  }

  private replaceFiller(worker: ReplayedWorker): void {
    const {filler, load} = worker;
    if (filler === undefined) this.addFiller(worker, 'noisy');
    else if (this.timeMs - filler.run.placedMs >= FILLER_MS) {
      load.removeRun(filler);
      const isNoisy = filler.step.spec.image === 'noisy';
      this.addFiller(worker, isNoisy ? 'quiet' : 'noisy');
    }
  }

  private addFiller(worker: ReplayedWorker, image: string): void {
    const needs = {cpuMillis: FILLER_CPU, memoryMb: 2_000, accelerators: 0};
    const fields = {isFiller: true, image, needs};
    worker.filler = addTestRun(worker.load, fields, this.timeMs);
    this.model.recordPlacement(image, worker.load, this.timeMs);
  }
}

describe('interference with serving tasks whose load rises and falls', () => {
  // Guards against estimates that are attenuated by the fluctuation of the users' load.
  it('learns the effects of fillers beside it', () => {
    const replay = new Replay();
    replay.runUntil(40_000);
    const {load} = replay.workers[1];
    const share = FILLER_CPU / WORKER_CPU;
    const {addedLoadIndex} = replay.model.predict('noisy', FILLER_CPU, load);
    expect(addedLoadIndex / share).to.be.within(1.5, 2.5);
    const quiet = replay.model.predict('quiet', FILLER_CPU, load);
    expect(quiet.isHarmless).to.equal(true);
  });

  // Guards against fillers that are placed while the load is low and make the tasks miss
  // their targets a second later.
  it('tolerates an interfering filler only while the load is low for some time', () => {
    const replay = new Replay();
    const tolerated: number[] = [];
    for (let timeMs = 30_000; timeMs < 50_000; timeMs += 500) {
      replay.runUntil(timeMs);
      const {load, serving} = replay.workers[1];
      const {isTolerable} = replay.model.predict('noisy', FILLER_CPU, load);
      expect(serving.run.usage).to.be.lessThan(TARGET_MS);
      if (isTolerable) tolerated.push(timeMs);
    }
    expect(tolerated).to.not.deep.equal([]);
    const effect = (EFFECTS.noisy * FILLER_CPU) / WORKER_CPU;
    const missIndex = 1 - IDLE_MS / TARGET_MS;
    for (const timeMs of tolerated) {
      for (const laterMs of [0, 500, 1_000])
        expect(getUserLoad(timeMs + laterMs) + effect).to.be.below(missIndex);
    }
  });
});
