import {expect} from 'chai';
import {RunNumbers} from '../src/run_numbers.js';
import {createTestJob, createTestStep} from './test_runs.js';

function createStep(isGang: boolean) {
  const job = createTestJob([{...createTestStep(), isGang}]);
  job.createDueOccurrences(job.accepted.acceptedMs);
  const [occurrence] = job.occurrences.values();
  return occurrence.steps[0];
}

describe(RunNumbers.name, () => {
  it('numbers the runs of each task above those of earlier terms', () => {
    const numbers = RunNumbers.create(3);
    const step = createStep(false);
    expect(numbers.allocate(step, 'a')).to.equal(2_000_001);
    expect(numbers.allocate(step, 'a')).to.equal(2_000_002);
    expect(numbers.allocate(step, 'b')).to.equal(2_000_001);
    numbers.release(step, 'a');
    expect(numbers.allocate(step, 'a')).to.equal(2_000_002);
  });

  it('numbers the runs of a gang together', () => {
    const numbers = RunNumbers.create(1);
    const step = createStep(true);
    expect(numbers.allocate(step, 'a')).to.equal(1);
    expect(numbers.allocate(step, 'b')).to.equal(2);
    expect(numbers.allocate(createStep(true), 'a')).to.equal(1);
  });
});
