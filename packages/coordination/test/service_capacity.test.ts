import {expect} from 'chai';
import {AdmissionWorker, ServiceCapacity} from '../src/service_capacity.js';
import {WorkerLoad} from '../src/worker_load.js';
import {createTestStep} from './test_runs.js';

function createWorker(
  cpuMillis: number,
  labels: readonly string[] = [],
): AdmissionWorker {
  const capacity = {cpuMillis, memoryMb: 64_000, accelerators: 0};
  return {load: WorkerLoad.create(capacity), labels};
}

const SMALL = createWorker(4_000);
const LARGE = createWorker(12_000, ['large']);

function createSpec(cpuMillis: number, requiredLabel?: string) {
  const needs = {cpuMillis, memoryMb: 1, accelerators: 0};
  return createTestStep({needs, requiredLabel});
}

describe(ServiceCapacity.name, () => {
  const capacity = ServiceCapacity.create([SMALL, LARGE]);

  it('counts only the workers that a step fits on', () => {
    const getMs = (cpuMillis: number, label?: string) =>
      capacity.getOccupancy(createSpec(cpuMillis, label), 1_000).getLongestMs();
    expect(getMs(4_000)).to.equal(250);
    expect(getMs(6_000)).to.equal(500);
    expect(getMs(3_000, 'large')).to.equal(250);
  });

  it('looks at the workers one by one only for steps that do not fit on all of them', () => {
    let lookCount = 0;
    const workers = [SMALL, LARGE].map(worker => ({
      ...worker,
      get labels() {
        lookCount++;
        return worker.labels;
      },
    }));
    const counted = ServiceCapacity.create(workers);
    counted.getOccupancy(createSpec(4_000), 1_000);
    expect(counted.canRun(createSpec(4_000))).to.equal(true);
    expect(lookCount).to.equal(0);
    expect(counted.canRun(createSpec(1, 'large'))).to.equal(true);
    expect(lookCount).to.be.greaterThan(0);
  });

  it('can run nothing that needs more than any worker has, and nothing without workers', () => {
    expect(capacity.canRun(createSpec(13_000))).to.equal(false);
    expect(ServiceCapacity.create([]).canRun(createSpec(1))).to.equal(false);
  });
});
