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
  private readonly jobIds: string[] = [];

  private constructor(options: JobHarnessOptions) {
    this.harness = JobHarness.create({
      workers: 6,
      evacuationMs: EVACUATION_MS,
      getFailureDomain: workerId =>
        Number(workerId.split('-')[1]) % 2 === 0 ? DOMAIN_A : DOMAIN_B,
      sink: ({name, detail}) => {
        if (name === 'start-withheld') this.withheldStarts++;
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
});
