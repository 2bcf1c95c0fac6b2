import {createTaskRun} from '@mustardlug/jobs/job_codec';
import {JobState} from '@mustardlug/jobs/job_state';
import {SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {WaitingStepCache} from '../src/waiting_step_cache.js';
import {createTestJob, createTestStep} from './test_runs.js';

const WALL_MS = 1_000;

describe(WaitingStepCache.name, () => {
  let queue = SAMPLE_QUEUE;
  let version = 1;
  let searches: JobState[] = [];
  let cache: WaitingStepCache;

  beforeEach(() => {
    queue = SAMPLE_QUEUE;
    version = 1;
    searches = [];
    cache = WaitingStepCache.create({
      getQueue: job => {
        searches.push(job);
        return queue;
      },
      getConfigVersion: () => version,
    });
  });

  it('searches only the jobs that have changed', () => {
    const jobs = Array.from({length: 500}, () =>
      createTestJob([createTestStep({taskCount: 2})]),
    );
    const first = cache.getSteps(jobs, WALL_MS);
    expect(first).to.have.length(500);
    searches = [];
    expect(cache.getSteps(jobs, WALL_MS)).to.deep.equal(first);
    expect(searches).to.deep.equal([]);
    const [placed, started] = jobs;
    for (const task of placed.occurrences.get(0)!.steps[0].tasks)
      task.runs.push(createTaskRun('worker-1', 1, 1, 0));
    cache.invalidate(placed);
    cache.invalidate(started);
    const waiting = cache.getSteps(jobs, WALL_MS);
    expect(searches).to.deep.equal([started]);
    expect(waiting.map(({job}) => job)).to.deep.equal(jobs.slice(1));
  });

  it('finds occurrences when they become due', () => {
    const schedule = {repetitions: 2, firstRunMs: WALL_MS, intervalMs: 500};
    const steps = [createTestStep({})];
    const job = createTestJob(steps, SAMPLE_QUEUE, 0, schedule);
    const count = (ms: number) => cache.getSteps([job], ms).length;
    const counts = [WALL_MS - 1, WALL_MS, WALL_MS + 499, WALL_MS + 500];
    expect(counts.map(count)).to.deep.equal([0, 1, 1, 2]);
  });

  it('applies another version of the configuration', () => {
    const job = createTestJob([createTestStep({})]);
    cache.getSteps([job], WALL_MS);
    queue = {...SAMPLE_QUEUE, priority: 7};
    version++;
    const [step] = cache.getSteps([job], WALL_MS);
    expect(step.queue.priority).to.equal(7);
  });
});
