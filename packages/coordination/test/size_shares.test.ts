import {JobState} from '@mustardlug/jobs/job_state';
import {SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {SizeShares} from '../src/size_shares.js';
import {createWaitingStep, WaitingStep} from '../src/task_order.js';
import {createTestJob, createTestStep} from './test_runs.js';

function createWaiting(taskCount: number, acceptedMs = 0): WaitingStep {
  const needs = {cpuMillis: 1_000, memoryMb: 1, accelerators: 0};
  const spec = createTestStep({taskCount, needs});
  const job = createTestJob([spec], SAMPLE_QUEUE, acceptedMs);
  const [step] = job.occurrences.get(0)!.steps;
  return createWaitingStep(job, 0, step, SAMPLE_QUEUE);
}

function complete(job: JobState, endedMs: number): void {
  job.phase = 'completed';
  job.endedMs = endedMs;
}

/** Measures 90 small jobs that end in time and 10 large ones, of which some do. */
function measure(usefulLargeCount: number, cpuMillis = 100_000) {
  const shares = SizeShares.create();
  const options = {
    shortServices: new Set([SAMPLE_QUEUE.serviceName]),
    getCpuMillis: () => cpuMillis,
    getAcceptedFraction: () => 1,
  };
  const small = Array.from({length: 90}, () => createWaiting(1));
  const large = Array.from({length: 10}, () => createWaiting(20));
  shares.update({...options, waiting: [...small, ...large], wallMs: 0});
  for (const {job} of [...small, ...large.slice(0, usefulLargeCount)])
    complete(job, 1_000);
  const waiting = [
    ...Array.from({length: 10}, () => createWaiting(20, 10_000)),
    ...Array.from({length: 10}, () => createWaiting(1, 10_000)),
  ];
  shares.update({...options, waiting, wallMs: 10_000});
  const protectedSteps = waiting.filter(
    each => shares.getProtectedWork(each) !== undefined,
  );
  return {shares, options, waiting, protectedSteps};
}

describe(SizeShares.name, () => {
  it('protects no job while large ones are served over half as often as all', () => {
    expect(measure(7).protectedSteps).to.have.length(0);
  });

  it('protects large jobs that are served too seldom, only as many as a third of the CPU can run', () => {
    const {protectedSteps} = measure(2);
    expect(protectedSteps).to.have.length(2);
    for (const {step} of protectedSteps) expect(step.tasks).to.have.length(20);
    expect(measure(2, 1_000).protectedSteps).to.have.length(1);
  });

  it('keeps a job protected until it ends or expires, as half-done jobs are of no use', () => {
    const {shares, options, waiting, protectedSteps} = measure(2);
    const fresh = createWaiting(20, 12_000);
    const later = [...waiting, fresh];
    shares.update({...options, waiting: later, wallMs: 12_000});
    for (const each of protectedSteps)
      expect(shares.getProtectedWork(each)).not.to.equal(undefined);
    expect(shares.getProtectedWork(fresh)).to.equal(undefined);
    shares.update({...options, waiting: later, wallMs: 15_500});
    for (const each of protectedSteps)
      expect(shares.getProtectedWork(each)).to.equal(undefined);
  });
});
