import {expect} from 'chai';
import {
  createDocument,
  createJob,
  createService,
  DOMAIN,
  SchedulerHarness,
  SchedulerHarnessOptions,
  TASK_STEPS,
} from '../src/scheduler_harness.js';

/** Specified bound from the end of a command until processes that reach the table follow. */
const EFFECT_LIMIT_MS = 5_000;
const OTHER_DOMAIN = 'domain-b';

function createHarness(
  overrides: Partial<SchedulerHarnessOptions>,
): SchedulerHarness {
  return SchedulerHarness.create({
    seed: 3,
    schedulers: 2,
    workers: 4,
    document: createDocument({
      services: [createService(4)],
      batchJobs: [createJob(200)],
    }),
    // It evicts attempts that run beside services, evacuation or not.
    isInterferenceControlEnabled: false,
    ...overrides,
  });
}

/** Creates a busy domain, evacuates it and waits until the bound has passed. */
async function createEvacuatedHarness(): Promise<SchedulerHarness> {
  const harness = createHarness({followsEvacuations: true});
  await harness.clock.advance(12_000);
  expect(harness.countRunningServices()).to.equal(4);
  void harness.evacuations.evacuate(DOMAIN);
  await harness.clock.advance(EFFECT_LIMIT_MS);
  return harness;
}

/** Gives all schedulers evacuated domains at the same time. */
function setEvacuated(harness: SchedulerHarness, ...domains: string[]): void {
  for (const {scheduler} of harness.nodes) {
    scheduler.setEvacuatedDomains(domains);
  }
}

function countEvictions(harness: SchedulerHarness): number {
  return harness.events.filter(({name}) => name === 'task-evicted').length;
}

/** Checks that all tasks end well, each after one start of each attempt. */
async function expectDone(
  harness: SchedulerHarness,
  tasks: number,
): Promise<void> {
  await harness.clock.advance(200_000);
  expect(harness.countTasks('done')).to.equal(tasks);
  expect(harness.getViolations()).to.deep.equal([]);
  expect(harness.getRepeatedStarts()).to.deep.equal([]);
  expect(harness.getDuplicateRuns()).to.deep.equal([]);
}

describe('a scheduler of an evacuated failure domain', () => {
  it('starts nothing after the bound, through an outage of the table; tasks and replicas that run are not stopped', async () => {
    const harness = await createEvacuatedHarness();
    const starts = harness.getStartCount();
    const evictions = countEvictions(harness);
    for (const isOutage of [false, true, false]) {
      harness.table.faults.isOutage = isOutage;
      await harness.clock.advance(25_000);
    }
    expect(harness.getStartCount()).to.equal(starts);
    expect(harness.countRunningServices()).to.equal(4);
    expect(countEvictions(harness)).to.equal(evictions);
    expect(harness.countTasks('bound')).to.equal(4);
    expect(harness.countTasks('pending')).to.be.greaterThan(100);
    void harness.evacuations.restore(DOMAIN);
    await expectDone(harness, 200);
  });

  it('releases the tasks that were bound in advance, so that other domains can run them', async () => {
    const harness = createHarness({});
    await harness.clock.advance(8_000);
    const getUnstarted = () =>
      harness
        .getTasks()
        .filter(
          ({state, taskId}) =>
            state === 'bound' && harness.countStarts(taskId) === 0,
        );
    expect(getUnstarted()).not.to.deep.equal([]);
    setEvacuated(harness, DOMAIN);
    await harness.clock.advance(3_000);
    expect(getUnstarted()).to.deep.equal([]);
    let withheld = 0;
    for (const {scheduler} of harness.nodes) {
      withheld += scheduler.getWithheldStartCount();
    }
    expect(withheld).to.be.greaterThan(0);
  });

  for (const step of TASK_STEPS) {
    it(`loses and repeats nothing if the evacuation is read at the step ${step}`, async () => {
      for (const count of [1, 7, 23]) {
        const document = createDocument({batchJobs: [createJob(60)]});
        const harness = createHarness({seed: count, document});
        let seen = 0;
        harness.setStepHook(reached => {
          if (reached === step && ++seen === count) {
            setEvacuated(harness, DOMAIN);
          }
        });
        await harness.clock.advance(30_000);
        const starts = harness.getStartCount();
        await harness.clock.advance(20_000);
        expect(harness.getStartCount()).to.equal(starts);
        expect(countEvictions(harness)).to.equal(0);
        setEvacuated(harness);
        await expectDone(harness, 60);
      }
    });
  }

  it('does not stop an attempt that the latest report of its worker does not have yet', async () => {
    const document = createDocument({batchJobs: [createJob(4)]});
    const harness = createHarness({schedulers: 1, document});
    harness.setStepHook((step, {scheduler, leases}) => {
      if (step !== 'start-executed') return;
      harness.setStepHook(undefined);
      setEvacuated(harness, DOMAIN);
      // Reports that are older than the start, but arrive after its response.
      const stale = leases.getValidLeases();
      harness.clock.setTimer(10, () => {
        for (const lease of stale) scheduler.updateWorker(lease);
      });
    });
    await harness.clock.advance(40_000);
    expect(harness.getStartCount()).to.be.greaterThan(0);
    expect(countEvictions(harness)).to.equal(0);
    expect(harness.countTasks('done')).to.equal(harness.getStartCount());
  });

  it('starts nothing after a restart, before and after it has read the evacuations', async () => {
    const harness = await createEvacuatedHarness();
    const starts = harness.getStartCount();
    for (const node of harness.nodes) harness.killNode(node);
    harness.table.faults.isOutage = true;
    harness.addNode();
    await harness.clock.advance(15_000);
    // Rows of tasks can be read before those of evacuations.
    const getRows = harness.table.getRows.bind(harness.table);
    harness.table.getRows = query =>
      query.prefix.startsWith('evacuation/')
        ? harness.clock.sleep(10_000).then(() => getRows(query))
        : getRows(query);
    harness.table.faults.isOutage = false;
    await harness.clock.advance(30_000);
    expect(harness.getStartCount()).to.equal(starts);
    void harness.evacuations.restore(DOMAIN);
    await expectDone(harness, 200);
  });
});

describe('a scheduler beside an evacuated failure domain', () => {
  it('takes over the pending tasks of that domain although it has work of its own', async () => {
    const batchJobs = [createJob(600, {name: 'own'})];
    const harness = createHarness({document: createDocument({batchJobs})});
    await harness.clock.advance(10_000);
    harness.addForeignWorker(OTHER_DOMAIN);
    harness.submitJob(createJob(20, {name: 'remote'}), OTHER_DOMAIN);
    const countWaiting = () =>
      harness.table.getRowsByPrefix(`task/${OTHER_DOMAIN}/`).length;
    await harness.clock.advance(20_000);
    expect(countWaiting()).to.equal(20);
    setEvacuated(harness, OTHER_DOMAIN);
    await harness.clock.advance(10_000);
    expect(countWaiting()).to.equal(0);
    expect(harness.countTasks('pending')).to.be.greaterThan(100);
    await expectDone(harness, 620);
  });

  it('creates the tasks of new jobs in the domains in service', async () => {
    const harness = createHarness({
      followsEvacuations: true,
      document: createDocument({batchJobs: [createJob(40)]}),
    });
    harness.addForeignWorker(OTHER_DOMAIN);
    void harness.evacuations.evacuate(OTHER_DOMAIN);
    await harness.clock.advance(EFFECT_LIMIT_MS);
    const getRows = (domain: string) =>
      harness.table.getRowsByPrefix(`task/${domain}/`);
    expect(getRows(DOMAIN)).to.have.length(40);
    expect(getRows(OTHER_DOMAIN)).to.deep.equal([]);
  });
});
