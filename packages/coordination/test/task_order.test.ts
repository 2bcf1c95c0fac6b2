import {expect} from 'chai';
import {
  createWaitingStep,
  getChainMs,
  getObjectiveMs,
  sortWaitingSteps,
} from '../src/task_order.js';
import {SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {createTestJob, createTestStep} from './test_runs.js';

function createWaiting(
  fields: {acceptedMs?: number; priority?: number; isBegun?: boolean} = {},
  steps = [createTestStep()],
) {
  const queue = {...SAMPLE_QUEUE, priority: fields.priority ?? 0};
  const job = createTestJob(steps, queue, fields.acceptedMs ?? 0);
  if (fields.isBegun) job.phase = 'running';
  const step = job.occurrences.get(0)!.steps[0];
  return createWaitingStep(job, 0, step, queue);
}

describe('getChainMs', () => {
  it('follows the longest chain of dependencies', () => {
    const steps = [
      createTestStep({estimatedMs: 500}),
      createTestStep({estimatedMs: 2_000}),
      createTestStep({estimatedMs: 700, dependsOn: [0, 1]}),
    ];
    expect(getChainMs({specification: '', steps})).to.equal(2_700);
    const spec = {specification: '', steps};
    expect(getObjectiveMs(spec, SAMPLE_QUEUE)).to.equal(2_700 * 1.5 + 400);
  });
});

describe('sortWaitingSteps', () => {
  it('puts the more urgent queue first', () => {
    const low = createWaiting({priority: 2, isBegun: true});
    const high = createWaiting({priority: 0});
    expect(sortWaitingSteps([low, high], 100)).to.deep.equal([high, low]);
  });

  it('puts work that can still be in time before late work', () => {
    const late = createWaiting({acceptedMs: 0, isBegun: true});
    const fresh = createWaiting({acceptedMs: 1_900});
    expect(sortWaitingSteps([late, fresh], 2_000)).to.deep.equal([fresh, late]);
  });

  it('goes on with what has begun before it begins something new', () => {
    const waiting = createWaiting({acceptedMs: 0});
    const begun = createWaiting({acceptedMs: 50, isBegun: true});
    expect(sortWaitingSteps([waiting, begun], 100)).to.deep.equal([
      begun,
      waiting,
    ]);
  });

  it('puts short tasks before long-running ones of the same priority', () => {
    const serving = createWaiting({isBegun: true}, [
      createTestStep({isLongRunning: true}),
    ]);
    const short = createWaiting();
    expect(sortWaitingSteps([serving, short], 0)).to.deep.equal([
      short,
      serving,
    ]);
  });
});
