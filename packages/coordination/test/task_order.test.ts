import {expect} from 'chai';
import {
  createWaitingStep,
  getCriticalPathMs,
  getObjectiveDurationMs,
  sortWaitingSteps,
} from '../src/task_order.js';
import {SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {createTestJob, createTestStep} from './test_runs.js';

function createWaiting(
  fields: {acceptedMs?: number; priority?: number; isStarted?: boolean} = {},
  steps = [createTestStep()],
) {
  const queue = {...SAMPLE_QUEUE, priority: fields.priority ?? 0};
  const job = createTestJob(steps, queue, fields.acceptedMs ?? 0);
  if (fields.isStarted) job.phase = 'running';
  const step = job.occurrences.get(0)!.steps[0];
  return createWaitingStep(job, 0, step, queue);
}

describe('getCriticalPathMs', () => {
  it('follows the longest chain of dependencies', () => {
    const steps = [
      createTestStep({estimatedMs: 500}),
      createTestStep({estimatedMs: 2_000}),
      createTestStep({estimatedMs: 700, dependsOn: [0, 1]}),
    ];
    expect(getCriticalPathMs({specification: '', steps})).to.equal(2_700);
    const spec = {specification: '', steps};
    expect(getObjectiveDurationMs(spec, SAMPLE_QUEUE)).to.equal(
      2_700 * 1.5 + 400,
    );
  });
});

describe('sortWaitingSteps', () => {
  it('sorts by queue priority first', () => {
    const low = createWaiting({priority: 2, isStarted: true});
    const high = createWaiting({priority: 0});
    expect(sortWaitingSteps([low, high], 100)).to.deep.equal([high, low]);
  });

  it('sorts steps that can meet their objective before late ones', () => {
    const late = createWaiting({acceptedMs: 0, isStarted: true});
    const fresh = createWaiting({acceptedMs: 1_900});
    expect(sortWaitingSteps([late, fresh], 2_000)).to.deep.equal([fresh, late]);
  });

  it('sorts steps of running jobs before steps of jobs that have not started', () => {
    const waiting = createWaiting({acceptedMs: 0});
    const started = createWaiting({acceptedMs: 50, isStarted: true});
    expect(sortWaitingSteps([waiting, started], 100)).to.deep.equal([
      started,
      waiting,
    ]);
  });

  it('sorts batch steps before long-running ones of the same priority', () => {
    const serving = createWaiting({isStarted: true}, [
      createTestStep({isLongRunning: true}),
    ]);
    const short = createWaiting();
    expect(sortWaitingSteps([serving, short], 0)).to.deep.equal([
      short,
      serving,
    ]);
  });
});
