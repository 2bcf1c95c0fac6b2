import {RandomSource} from '@mustardlug/base/random_source';
import {QueueConfig} from '@mustardlug/jobs/queue_config';
import {SAMPLE_QUEUE} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {ACCEPTED_FRACTION, isAboveLimit, JobLimits} from '../src/job_limits.js';
import {SizeShares} from '../src/size_shares.js';
import {
  createWaitingStep,
  getJobWork,
  sortWaitingSteps,
  WaitingStep,
} from '../src/task_order.js';
import {createTestJob, createTestStep} from './test_runs.js';

const QUEUE: QueueConfig = {...SAMPLE_QUEUE, name: 'reports', priority: 2};
const SHORT = new Set([QUEUE.serviceName]);
const UPDATE_MS = 300;
const PLAY_MS = 60_000;

function createWaiting(
  taskCount: number,
  acceptedMs = 0,
  fields = {},
): WaitingStep {
  const needs = {cpuMillis: 1_000, memoryMb: 1, accelerators: 0};
  const spec = createTestStep({taskCount, needs, ...fields});
  const job = createTestJob([spec], QUEUE, acceptedMs);
  return createWaitingStep(job, 0, job.occurrences.get(0)!.steps[0], QUEUE);
}

function update(
  limits: JobLimits,
  waiting: readonly WaitingStep[],
  {wallMs = 0, cores = 10, shortServices = SHORT} = {},
): number | undefined {
  const getWorkPerMs = () => cores * 1_000;
  limits.update({waiting, shortServices, getWorkPerMs, wallMs});
  return limits.getLimits().get(QUEUE.name)?.maxJobWork;
}

/** Twenty small jobs and four large ones, of 40 times the work. */
function createBacklog(largeCount = 4): WaitingStep[] {
  return [
    ...Array.from({length: 20}, () => createWaiting(1)),
    ...Array.from({length: largeCount}, () => createWaiting(40)),
  ];
}

/**
 * Plays jobs that arrive faster than they can be done, on a pool of cores that is modeled as a rate.
 * One job in ten has 16 times the work of the others.
 * @param statusAgesMs - Ages of the status on the nodes, which get the jobs in turn.
 * @param durationFactor - Real durations, relative to the estimates.
 */
function playOverload(
  hasLimits: boolean,
  {statusAgesMs = [0], durationFactor = 1, takeoverMs = Infinity} = {},
) {
  const cores = 100;
  const random = RandomSource.create(3);
  const lateMs = 3 * (1.5 * 1_000 + 400);
  let limits = JobLimits.create();
  let shares = SizeShares.create();
  const history: Array<number | undefined> = [];
  const jobs: Array<{
    waiting: WaitingStep;
    left: number;
    isLarge: boolean;
    isJudged: boolean;
    acceptedMs: number;
    endMs?: number;
  }> = [];
  const counts = {small: 0, large: 0, refused: 0};
  for (let nowMs = 0; nowMs < PLAY_MS; nowMs += 100) {
    for (let arrival = 0; arrival < 5; arrival++) {
      const isLarge = random.getFloat() < 0.1;
      const waiting = createWaiting(isLarge ? 16 : 1, nowMs);
      // Jobs that arrive later can end after the play.
      const isJudged = nowMs < PLAY_MS - lateMs;
      if (isJudged && isLarge) counts.large++;
      else if (isJudged) counts.small++;
      const ageMs = statusAgesMs[arrival % statusAgesMs.length];
      const known = history.at(-1 - Math.floor(ageMs / UPDATE_MS));
      const {spec} = waiting.job.accepted;
      if (hasLimits && isAboveLimit(waiting.job.getId(), spec, known)) {
        if (isJudged) counts.refused++;
        continue;
      }
      const left = getJobWork(spec) * durationFactor;
      jobs.push({waiting, left, isLarge, isJudged, acceptedMs: nowMs});
    }
    const open = jobs.filter(({endMs}) => endMs === undefined);
    const byStep = new Map(open.map(each => [each.waiting, each]));
    const sorted = sortWaitingSteps([...byStep.keys()], nowMs, {
      services: SHORT,
      getProtectedWork: step =>
        hasLimits ? shares.getProtectedWork(step) : undefined,
    });
    let capacity = cores * 1_000 * 100;
    for (const step of sorted) {
      const played = byStep.get(step)!;
      // A job cannot use more cores than it has tasks.
      const most = step.step.tasks.length * 1_000 * 100;
      const done = Math.min(capacity, played.left, most);
      capacity -= done;
      played.left -= done;
      if (played.left > 0) continue;
      played.endMs = nowMs + 100;
      step.job.phase = 'completed';
      step.job.endedMs = played.endMs;
    }
    if (nowMs >= takeoverMs && nowMs < takeoverMs + 100) {
      limits = JobLimits.create();
      shares = SizeShares.create();
    }
    if (nowMs % UPDATE_MS !== 0) continue;
    const waiting = open.map(each => each.waiting);
    const workPerMs = (cores * 1_000) / durationFactor;
    limits.update({
      waiting,
      shortServices: capacity < cores ? SHORT : new Set(),
      getWorkPerMs: () => workPerMs,
      wallMs: nowMs,
    });
    const limit = limits.getLimits().get(QUEUE.name)?.maxJobWork ?? Infinity;
    shares.update({
      waiting,
      shortServices: SHORT,
      getCpuMillis: () => workPerMs,
      getAcceptedFraction: (_queueName, work) =>
        work > limit ? ACCEPTED_FRACTION : 1,
      wallMs: nowMs,
    });
    history.push(limits.getLimits().get(QUEUE.name)?.maxJobWork);
  }
  const judged = jobs.filter(({isJudged}) => isJudged);
  const served = judged.filter(
    ({acceptedMs, endMs}) =>
      endMs !== undefined && endMs - acceptedMs <= lateMs,
  );
  const servedLarge = served.filter(({isLarge}) => isLarge).length;
  return {
    ...counts,
    expired: judged.length - served.length,
    largeFraction: servedLarge / counts.large,
    fraction: served.length / (counts.small + counts.large),
  };
}

describe(JobLimits.name, () => {
  it('sets a limit that refuses the large jobs while the small ones can be done in time', () => {
    const limits = JobLimits.create();
    const limit = update(limits, createBacklog());
    expect(limit).to.be.within(1_000_000, 39_999_999);
    expect(limits.takeChanges()).to.have.length(1);
    expect(limits.takeChanges()).to.have.length(0);
  });

  it('sets none while all jobs can be done in time, or the service is not short', () => {
    expect(update(JobLimits.create(), createBacklog(0), {cores: 20})).to.equal(
      undefined,
    );
    const shortServices = new Set<string>();
    expect(
      update(JobLimits.create(), createBacklog(), {shortServices}),
    ).to.equal(undefined);
  });

  it('counts neither expired jobs nor long-running ones, whose room others do not wait for', () => {
    const limits = JobLimits.create();
    expect(update(limits, createBacklog(), {wallMs: 60_000})).to.equal(
      undefined,
    );
    const serving = Array.from({length: 20}, () =>
      createWaiting(40, 0, {isLongRunning: true}),
    );
    expect(
      update(JobLimits.create(), [...createBacklog(0), ...serving], {
        cores: 20,
      }),
    ).to.equal(undefined);
  });

  it('never limits the smaller half of the jobs, and rises step by step until it is lifted', () => {
    const limits = JobLimits.create();
    const backlog = createBacklog(100).filter((_, index) => index >= 15);
    const lowest = update(limits, backlog, {cores: 0.1})!;
    expect(lowest).to.be.at.least(getJobWork(backlog[0].job.accepted.spec));
    // The backlog shrinks to what takes a little less than jobs can wait.
    const next = update(limits, backlog, {cores: 3_000})!;
    expect(next / lowest).to.be.within(1, 1.2);
    expect(update(limits, [], {cores: 100})).to.equal(undefined);
  });

  it('accepts a little over half of the larger jobs, whatever node decides, and all without an end', () => {
    const {spec} = createWaiting(40).job.accepted;
    let accepted = 0;
    for (let number = 0; number < 2_000; number++) {
      const jobId = number.toString(16).padStart(16, '0');
      if (!isAboveLimit(jobId, spec, 1_000)) accepted++;
    }
    expect(accepted).to.be.within(950, 1_250);
    const steps = [createTestStep({isLongRunning: true, taskCount: 40})];
    const unlimited = {specification: '', steps};
    expect(isAboveLimit('0000000000000003', unlimited, 1)).to.equal(false);
  });

  describe('in an overload', () => {
    it('lets fewer accepted jobs expire, and serves the large ones at least half as often', () => {
      const without = playOverload(false);
      const limited = playOverload(true);
      expect(limited.expired).to.be.below(without.expired / 2);
      expect(limited.largeFraction).to.be.above(limited.fraction / 2);
      expect(limited.refused).to.be.above(0);
    });

    for (const [name, options] of [
      ['with nodes whose statuses are of different age', [0, 1_800]],
      ['with a new coordinator in between', [0]],
    ] as const)
      it(`does so ${name}`, () => {
        const takeoverMs = options.length === 1 ? 30_000 : Infinity;
        const without = playOverload(false);
        const limited = playOverload(true, {
          statusAgesMs: [...options],
          takeoverMs,
        });
        expect(limited.expired).to.be.below(without.expired / 2);
        expect(limited.largeFraction).to.be.above(limited.fraction / 2);
      });

    for (const durationFactor of [0.6, 1.9])
      it(`does not make it worse with durations of ${durationFactor} times the estimates`, () => {
        const without = playOverload(false, {durationFactor});
        const limited = playOverload(true, {durationFactor});
        expect(limited.expired).to.be.at.most(without.expired);
        expect(limited.fraction).to.be.above(without.fraction - 0.05);
      });
  });
});
