import {StepSpec} from '@mustardlug/jobs/job_spec';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {
  HarnessNode,
  JobHarness,
  JobHarnessOptions,
} from '../src/job_harness.js';

/** Time for the first election. */
const START_MS = 2_500;

/** Bound of the deployments that have evacuations. */
const EVACUATION_MS = 5_000;

/** Time in which a change reaches a coordinator whose feed responds. */
const FEED_MS = 50;

/** Time in which tasks are placed and start. */
const PLACEMENT_MS = 500;

/** Interval of the jobs that a scenario submits, of which some wait at any time. */
const SUBMISSION_INTERVAL_MS = 100;

/** Time in which leases expire and all tasks run. */
const SETTLE_MS = 25_000;

const DOMAIN_A = 'domain-a';
const DOMAIN_B = 'domain-b';

/** Workers of which every second one is in another failure domain, and jobs that keep them busy. */
class EvacuationScenario {
  readonly harness: JobHarness;
  /** Names and details of the events of evacuations on all nodes, without withheld starts. */
  readonly events: string[] = [];
  withheldStarts = 0;
  /** Details of the events about waiting steps. */
  readonly waits: string[] = [];
  private readonly jobIds: string[] = [];

  private constructor(options: JobHarnessOptions) {
    this.harness = JobHarness.create({
      workers: 6,
      evacuationMs: EVACUATION_MS,
      getFailureDomain: workerId =>
        Number(workerId.split('-')[1]) % 2 === 0 ? DOMAIN_A : DOMAIN_B,
      sink: ({name, detail}) => {
        if (name === 'start-withheld') this.withheldStarts++;
        else if (name === 'step-waiting') this.waits.push(detail ?? '');
        else if (name.startsWith('evacuation'))
          this.events.push(`${name} ${detail}`);
      },
      ...options,
    });
  }

  /** Creates a scenario, and waits for the first election. */
  static async start(
    options: JobHarnessOptions = {},
  ): Promise<EvacuationScenario> {
    const scenario = new EvacuationScenario(options);
    await scenario.harness.advance(START_MS);
    return scenario;
  }

  /**
   * Requests an evacuation.
   * @param boundMs - Time from which the checker reports starts in the domain.
   */
  evacuate(domain: string, boundMs = EVACUATION_MS): void {
    this.harness.checker.recordEvacuation(domain, boundMs);
    this.harness.evacuate(domain);
  }

  async submit(
    taskCount: number,
    fields: Partial<StepSpec> = {},
    node: HarnessNode = this.harness.getHealthyNode(),
  ): Promise<string> {
    const steps = [createSampleStep(taskCount, fields)];
    const {jobId, outcome} = await this.harness.submit(steps, node);
    expect(outcome.isOk()).to.equal(true);
    this.jobIds.push(jobId);
    return jobId;
  }

  /** Submits jobs for some time. */
  async work(durationMs: number): Promise<void> {
    const {harness} = this;
    const endMs = harness.clock.getMonotonicMs() + durationMs;
    while (harness.clock.getMonotonicMs() < endMs) {
      const steps = [createSampleStep(1, {estimatedMs: 500})];
      const queue = harness.getQueue();
      this.jobIds.push(harness.submitWithoutWaiting(steps, queue));
      await harness.advance(SUBMISSION_INTERVAL_MS);
    }
  }

  /** Counts the runs on the workers of a domain. */
  countRuns(domain: string): number {
    let count = 0;
    for (const worker of this.harness.workers.values()) {
      if (worker.getRecord().failureDomain === domain)
        count += worker.getRunCount();
    }
    return count;
  }

  /** Waits until everything that was submitted has ended, and expects that no guarantee was broken. */
  async expectCompletion(jobIds = this.jobIds): Promise<void> {
    await this.harness.advance(SETTLE_MS);
    expect(this.harness.checker.violations).to.deep.equal([]);
    for (const jobId of jobIds)
      expect(await this.harness.getPhase(jobId), jobId).to.equal('completed');
  }
}

describe('an evacuated failure domain', () => {
  it('gets no task from the time that its row is read until it is removed, and again afterwards', async () => {
    // Guards against starts in the domain, lost running tasks, and a domain that stays unused.
    const scenario = await EvacuationScenario.start();
    await scenario.work(1_000);
    expect(scenario.countRuns(DOMAIN_A)).to.be.above(0);
    scenario.evacuate(DOMAIN_A, FEED_MS);
    await scenario.work(3_000);
    expect(scenario.countRuns(DOMAIN_A)).to.equal(0);
    expect(scenario.countRuns(DOMAIN_B)).to.be.above(0);
    scenario.harness.endEvacuation(DOMAIN_A);
    await scenario.submit(24);
    await scenario.harness.advance(PLACEMENT_MS);
    expect(scenario.countRuns(DOMAIN_A)).to.equal(12);
    await scenario.expectCompletion();
    expect(scenario.harness.checker.getLapsedRunCount()).to.equal(0);
    expect(scenario.events.sort()).to.deep.equal([
      `evacuation-applied ${DOMAIN_A}: 3 registered workers`,
      ...Array<string>(3).fill(`evacuation-ended ${DOMAIN_A}`),
      ...Array<string>(3).fill(`evacuation-in-force ${DOMAIN_A}`),
    ]);
  });

  it('gets no task while its row is removed and written again, or while others are evacuated as well', async () => {
    // Guards against a removal that outweighs the request after it, and against domains that replace each other.
    const scenario = await EvacuationScenario.start({workers: 8});
    const {harness} = scenario;
    scenario.evacuate(DOMAIN_A, FEED_MS);
    await scenario.work(1_000);
    for (let count = 0; count < 3; count++) {
      harness.endEvacuation(DOMAIN_A);
      scenario.evacuate(DOMAIN_A, FEED_MS);
      await scenario.work(300);
    }
    harness.evacuate('domain-c');
    await scenario.work(300);
    harness.endEvacuation('domain-c');
    await scenario.work(1_000);
    expect(scenario.countRuns(DOMAIN_A)).to.equal(0);
    expect(scenario.events).to.include(
      'evacuation-applied domain-c: 0 registered workers',
    );
    await scenario.expectCompletion();
  });

  it('refuses callers while all domains are evacuated, and continues afterwards', async () => {
    // Guards against starts that ignore the second domain, lost jobs, and callers that wait for nothing.
    const scenario = await EvacuationScenario.start();
    const {harness} = scenario;
    for (const domain of [DOMAIN_A, DOMAIN_B])
      scenario.evacuate(domain, FEED_MS);
    await harness.advance(FEED_MS);
    await scenario.submit(6);
    await harness.advance(4_000);
    expect(harness.checker.getStartCount()).to.equal(0);
    expect(scenario.waits[0]).to.contain('evacuated 6');
    const {retryAfterMs} = await harness.advanceUntilSettled(
      harness.submitIfAdmitted([createSampleStep(1)]),
    );
    expect(retryAfterMs).to.be.above(0);
    harness.endEvacuation(DOMAIN_B);
    await harness.advance(PLACEMENT_MS);
    expect(scenario.countRuns(DOMAIN_B)).to.equal(6);
    const next = await harness.advanceUntilSettled(
      harness.submitIfAdmitted([createSampleStep(1)]),
    );
    expect(next.retryAfterMs).to.equal(0);
    await scenario.expectCompletion();
  });

  it('does not count as room for the admission of jobs', async () => {
    // Guards against jobs that are accepted for workers which start nothing, and then end late.
    const scenario = await EvacuationScenario.start({workers: 4});
    const {harness} = scenario;
    const submitForTenSeconds = async () => {
      const attempts: Array<Promise<{jobId: string; retryAfterMs: number}>> =
        [];
      for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 250) {
        attempts.push(harness.submitIfAdmitted([createSampleStep(4)]));
        await harness.advance(250);
      }
      return Promise.all(attempts);
    };
    // 16 tasks a second of 800 ms and a quarter of a worker; four workers run 20.
    const before = await submitForTenSeconds();
    expect(before.every(({retryAfterMs}) => retryAfterMs === 0)).to.equal(true);
    scenario.evacuate(DOMAIN_A, FEED_MS);
    const during = await submitForTenSeconds();
    const accepted = during.filter(({retryAfterMs}) => retryAfterMs === 0);
    expect(accepted.length).to.be.within(20, 33);
    await scenario.expectCompletion(accepted.map(({jobId}) => jobId));
  });

  it('gets no task that is moved off a draining worker', async () => {
    // Guards against moves into the domain, and against a drain that no longer moves tasks.
    const scenario = await EvacuationScenario.start({workers: 4});
    const {harness} = scenario;
    scenario.evacuate(DOMAIN_A, FEED_MS);
    await harness.advance(FEED_MS);
    const jobId = await scenario.submit(2, {
      isLongRunning: true,
      maxPerWorker: 1,
    });
    await harness.advance(PLACEMENT_MS);
    harness.endEvacuation(DOMAIN_A);
    scenario.evacuate(DOMAIN_B, EVACUATION_MS);
    harness.register('worker-1', {isDraining: true});
    await harness.advance(1_000);
    expect(scenario.countRuns(DOMAIN_A)).to.equal(1);
    expect(harness.workers.get('worker-1')?.getRunCount()).to.equal(0);
    expect(harness.workers.get('worker-3')?.getRunCount()).to.equal(1);
    harness.register('worker-0', {isDraining: true});
    harness.register('worker-2', {isDraining: true});
    await harness.advance(8_000);
    expect(scenario.countRuns(DOMAIN_B)).to.equal(1);
    await harness.cancel(jobId);
    await scenario.expectCompletion([]);
  });

  it('keeps its running tasks; long-running ones start elsewhere once they end', async () => {
    // Guards against interruptions that callers notice, and against a restart in the domain.
    const scenario = await EvacuationScenario.start({workers: 2});
    const {harness} = scenario;
    const jobId = await scenario.submit(2, {
      isLongRunning: true,
      maxPerWorker: 1,
    });
    const batchId = await scenario.submit(2, {estimatedMs: 6_000});
    await harness.advance(PLACEMENT_MS);
    scenario.evacuate(DOMAIN_A, FEED_MS);
    await harness.advance(10_000);
    expect(await harness.getPhase(batchId)).to.equal('completed');
    expect(scenario.countRuns(DOMAIN_A)).to.equal(1);
    expect(harness.checker.getStartCount()).to.equal(4);
    harness.restartWorker('worker-0', {delayMs: 300});
    await harness.advance(3_000);
    expect(scenario.countRuns(DOMAIN_A)).to.equal(0);
    harness.endEvacuation(DOMAIN_A);
    await harness.advance(1_000);
    expect(scenario.countRuns(DOMAIN_A)).to.equal(1);
    await harness.cancel(jobId);
    await scenario.expectCompletion([batchId]);
  });

  it('has no effect, but is reported, if its name is not valid', async () => {
    // Guards against a bad row that stops the coordinator or hides another one.
    const scenario = await EvacuationScenario.start();
    scenario.harness.evacuate('domain b');
    scenario.evacuate(DOMAIN_A, FEED_MS);
    await scenario.work(2_000);
    expect(scenario.countRuns(DOMAIN_A)).to.equal(0);
    expect(scenario.countRuns(DOMAIN_B)).to.be.above(0);
    const invalid = scenario.events.filter(event =>
      event.startsWith('evacuation-invalid'),
    );
    expect(invalid).to.have.length(scenario.harness.nodes.length);
    await scenario.expectCompletion();
  });

  it('gets no task on workers that restart, are slow or move there', async () => {
    // Guards against a registration that is taken for one of another domain.
    const scenario = await EvacuationScenario.start();
    const {harness} = scenario;
    harness.restartWorker('worker-0', {delayMs: 200});
    harness.restartWorker('worker-2', {
      delayMs: 200,
      registration: 'outdated',
    });
    await scenario.work(500);
    scenario.evacuate(DOMAIN_A, FEED_MS);
    harness.restartWorker('worker-4', {delayMs: 200, clock: 'ahead'});
    harness.register('worker-1', {failureDomain: DOMAIN_A});
    await scenario.work(1_000);
    await harness.advance(2_000);
    expect(scenario.countRuns(DOMAIN_A)).to.equal(0);
    expect(harness.workers.get('worker-1')?.getRunCount()).to.equal(0);
    await scenario.submit(16);
    await harness.advance(PLACEMENT_MS);
    expect(harness.workers.get('worker-1')?.getRunCount()).to.equal(0);
    expect(harness.workers.get('worker-3')?.getRunCount()).to.be.above(0);
    for (const workerId of ['worker-0', 'worker-4']) {
      const worker = harness.workers.get(workerId);
      if (worker !== undefined) worker.behavior.slowness = 4;
    }
    harness.register('worker-1');
    harness.register('worker-2');
    harness.endEvacuation(DOMAIN_A);
    await scenario.submit(12);
    await harness.advance(PLACEMENT_MS);
    expect(scenario.countRuns(DOMAIN_A)).to.be.above(0);
    await scenario.expectCompletion();
  });
});

describe('a run that was placed in a failure domain before its evacuation', () => {
  it('is released without a start, and its worker is used again at once afterwards', async () => {
    // Guards against a late start, a task that avoids the worker, and a pause of the worker.
    let withheldStarts = 0;
    for (let placedMs = 0; placedMs < 20; placedMs++) {
      const scenario = await EvacuationScenario.start({workers: 1, nodes: 1});
      const {harness} = scenario;
      await scenario.submit(1);
      await harness.advance(placedMs);
      scenario.evacuate(DOMAIN_A, FEED_MS);
      await harness.advance(3_000);
      const startCount = harness.checker.getStartCount();
      if (scenario.withheldStarts > 0) expect(startCount).to.equal(0);
      withheldStarts += scenario.withheldStarts;
      harness.endEvacuation(DOMAIN_A);
      await harness.advance(FEED_MS);
      expect(harness.checker.getStartCount()).to.equal(1);
      await scenario.expectCompletion();
    }
    expect(withheldStarts).to.be.above(0);
  });

  it('is not started by a coordinator that was frozen meanwhile', async () => {
    // Guards against start commands that rest on what was known before the pause.
    for (let frozenAtMs = 0; frozenAtMs < 20; frozenAtMs++) {
      const scenario = await EvacuationScenario.start({workers: 2, nodes: 1});
      const {harness} = scenario;
      await scenario.submit(2, {maxPerWorker: 1});
      await harness.advance(frozenAtMs);
      harness.freezeNode(harness.nodes[0], EVACUATION_MS + 300);
      scenario.evacuate(DOMAIN_A);
      await harness.advance(EVACUATION_MS + 2_000);
      harness.endEvacuation(DOMAIN_A);
      await scenario.expectCompletion();
    }
  });

  it('is not started again after a start without a response', async () => {
    // Guards against a repeated start after the bound, and against a second run beside a late one.
    for (const isSilent of [false, true]) {
      const scenario = await EvacuationScenario.start({workers: 2, nodes: 1});
      const {harness} = scenario;
      const [node] = harness.nodes;
      node.linkFaults.requestBlockedWorkers.add('worker-0');
      const jobId = await scenario.submit(2, {maxPerWorker: 1});
      await harness.advance(100);
      scenario.evacuate(DOMAIN_A, FEED_MS);
      node.storeFaults.isSilent = isSilent;
      await harness.advance(2_000);
      node.linkFaults.requestBlockedWorkers.clear();
      await harness.advance(2_000);
      node.storeFaults.isSilent = false;
      await scenario.expectCompletion([jobId]);
      expect(scenario.countRuns(DOMAIN_A)).to.equal(0);
    }
  });

  it('is released with its whole gang', async () => {
    // Guards against a gang that runs in part.
    const scenario = await EvacuationScenario.start({workers: 2, nodes: 1});
    const {harness} = scenario;
    const {storeFaults} = harness.nodes[0];
    const jobId = await scenario.submit(2, {isGang: true, maxPerWorker: 1});
    Object.assign(storeFaults, {applyNextLate: 1, lateMs: 60_000});
    scenario.evacuate(DOMAIN_A, FEED_MS);
    await harness.advance(2_000);
    expect(
      scenario.countRuns(DOMAIN_A) + scenario.countRuns(DOMAIN_B),
    ).to.equal(0);
    harness.endEvacuation(DOMAIN_A);
    await scenario.expectCompletion([jobId]);
  });
});

describe('a coordinator that takes over during an evacuation', () => {
  for (const [title, lose] of [
    ['the former one is killed', (harness, node) => harness.killNode(node)],
    [
      'the former one loses power',
      (harness, node) => harness.powerOffNode(node),
    ],
    [
      'the former one is frozen and continues',
      (harness, node) => harness.freezeNode(node, 4_000),
    ],
  ] as Array<[string, (harness: JobHarness, node: HarnessNode) => void]>) {
    it(`starts nothing in the domain after ${title}`, async () => {
      // Guards against a term that begins without the evacuations.
      for (const delayMs of [0, 20, 200, 1_000]) {
        const scenario = await EvacuationScenario.start();
        const {harness} = scenario;
        await scenario.work(500);
        const coordinator = harness.getCoordinator();
        scenario.evacuate(DOMAIN_A);
        await scenario.work(delayMs);
        if (coordinator !== undefined) lose(harness, coordinator);
        await scenario.work(8_000);
        expect(harness.getCoordinator()).not.to.equal(undefined);
        expect(scenario.countRuns(DOMAIN_A)).to.equal(0);
        harness.endEvacuation(DOMAIN_A);
        await scenario.submit(20);
        await harness.advance(PLACEMENT_MS);
        expect(scenario.countRuns(DOMAIN_A)).to.be.above(0);
        await scenario.expectCompletion();
      }
    });
  }

  it('starts nothing in the domain if all nodes start anew', async () => {
    // Guards against starts before the first read of the rows.
    const scenario = await EvacuationScenario.start();
    const {harness} = scenario;
    await scenario.work(500);
    scenario.evacuate(DOMAIN_A);
    await scenario.work(500);
    for (const node of [...harness.nodes]) harness.powerOffNode(node);
    for (const index of [0, 1]) harness.startNode(`later-${index}`, 300);
    await harness.advance(10_000);
    await scenario.work(3_000);
    expect(scenario.countRuns(DOMAIN_A)).to.equal(0);
    expect(scenario.countRuns(DOMAIN_B)).to.be.above(0);
    await scenario.expectCompletion();
  });
});

describe('evacuations while the store is impaired', () => {
  it('stop all starts while the feed of the rows is silent, and only then', async () => {
    // Guards against starts in a domain whose row cannot be read, and against a standstill afterwards.
    const scenario = await EvacuationScenario.start({nodes: 1});
    const {harness} = scenario;
    await scenario.work(500);
    const [node] = harness.nodes;
    node.storeFaults.feedDelaysMs.set('operators', 8_000);
    await scenario.work(1_500);
    scenario.evacuate(DOMAIN_A);
    await scenario.work(5_000);
    const startCount = harness.checker.getStartCount();
    await scenario.work(500);
    expect(harness.checker.getStartCount()).to.equal(startCount);
    expect(
      scenario.events.some(event => event.startsWith('evacuations-unknown')),
    ).to.equal(true);
    node.storeFaults.feedDelaysMs.clear();
    await scenario.work(4_000);
    expect(scenario.countRuns(DOMAIN_A)).to.equal(0);
    expect(scenario.countRuns(DOMAIN_B)).to.be.above(0);
    expect(
      scenario.events.some(event => event.startsWith('evacuations-known')),
    ).to.equal(true);
    await scenario.expectCompletion();
  });

  for (const [title, outageMs] of [
    ['does not respond for a time', 4_000],
    ['does not respond for longer than leases last', 9_000],
  ] as const) {
    it(`hold when the store ${title}`, async () => {
      // Guards against starts that rest on rows from before the outage.
      for (const leadMs of [0, 10, 1_000]) {
        const scenario = await EvacuationScenario.start();
        const {harness} = scenario;
        await scenario.submit(60, {estimatedMs: 400});
        await harness.advance(500);
        harness.store.faults.isSilent = true;
        await harness.advance(leadMs);
        scenario.evacuate(DOMAIN_A);
        await harness.advance(outageMs);
        harness.store.faults.isSilent = false;
        await harness.advance(15_000);
        expect(scenario.countRuns(DOMAIN_A)).to.equal(0);
        await scenario.expectCompletion();
      }
    });
  }

  it('hold when the store is slow', async () => {
    // Guards against an age of the rows that does not count the response time.
    const scenario = await EvacuationScenario.start();
    const {harness} = scenario;
    await scenario.work(500);
    harness.store.faults.delayMs = 600;
    scenario.evacuate(DOMAIN_A);
    await scenario.work(8_000);
    harness.store.faults.delayMs = 0;
    await scenario.work(2_000);
    expect(scenario.countRuns(DOMAIN_A)).to.equal(0);
    await scenario.expectCompletion();
  });

  it('are read afresh when the store has forgotten their history', async () => {
    // Guards against a domain that stays evacuated, or is not, after missed changes.
    const scenario = await EvacuationScenario.start();
    const {harness} = scenario;
    scenario.evacuate(DOMAIN_A, FEED_MS);
    await scenario.work(1_000);
    harness.store.faults.isSilent = true;
    await harness.advance(500);
    harness.endEvacuation(DOMAIN_A);
    scenario.evacuate(DOMAIN_B);
    harness.store.truncateHistory();
    harness.store.faults.isSilent = false;
    await harness.advance(1_000);
    await scenario.work(4_000);
    expect(scenario.countRuns(DOMAIN_A)).to.be.above(0);
    expect(scenario.countRuns(DOMAIN_B)).to.equal(0);
    await scenario.expectCompletion();
  });
});

describe('evacuations in deployments without the setting', () => {
  it('are ignored', async () => {
    // Guards against a change of behavior for deployments that do not have the setting.
    const scenario = await EvacuationScenario.start({evacuationMs: undefined});
    scenario.harness.evacuate(DOMAIN_A);
    await scenario.work(2_000);
    expect(scenario.countRuns(DOMAIN_A)).to.be.above(0);
    expect(scenario.events).to.be.empty;
    await scenario.expectCompletion();
  });
});
