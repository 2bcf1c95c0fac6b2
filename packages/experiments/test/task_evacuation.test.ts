import {expect} from 'chai';
import {RandomSource} from '@mustardlug/base/random_source';
import {EvacuationFollower} from '@mustardlug/document/evacuation_follower';
import {EvacuationStore} from '@mustardlug/document/evacuation_store';
import {CountingTokenSource} from '@mustardlug/platform/token_source';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {TableService} from '@mustardlug/platform/table_service';
import {
  createDocument,
  createJob,
  createService,
  DOMAIN,
  SchedulerHarness,
  SchedulerHarnessOptions,
  SchedulerNode,
  TASK_STEPS,
} from '../src/scheduler_harness.js';

const POLL_MS = 2_000;
/** Specified bound from the end of a command until processes that reach the table follow. */
const EFFECT_LIMIT_MS = 5_000;
const OTHER_DOMAIN = 'domain-b';

function createHarness(overrides: Partial<SchedulerHarnessOptions>) {
  return SchedulerHarness.create({
    seed: 3,
    schedulers: 2,
    workers: 4,
    document: createDocument({
      services: [createService(4)],
      batchJobs: [createJob(200)],
    }),
    ...overrides,
  });
}

function createStore(table: TableService, harness: SchedulerHarness) {
  const {clock} = harness;
  return EvacuationStore.create({
    table,
    retryingCommitter: RetryingCommitter.create({table, clock}),
    tokens: CountingTokenSource.create('operator'),
  });
}

/** Lets a scheduler follow the evacuations from now on. */
function follow(harness: SchedulerHarness, node: SchedulerNode): void {
  const follower = EvacuationFollower.create({
    store: createStore(node.table, harness),
    clock: node.clock,
    random: RandomSource.create(harness.nodes.length),
    pollMs: POLL_MS,
    listener: {
      onEvacuationsRead: ({domains}) =>
        node.scheduler.setEvacuatedDomains(domains),
      onReadFailed: () => undefined,
      onReadRecovered: () => undefined,
    },
  });
  void follower.start();
}

function countStarts(harness: SchedulerHarness): number {
  let starts = 0;
  for (const model of harness.models.values()) {
    starts += model.startedAttempts.length;
  }
  return starts;
}

function expectSound(harness: SchedulerHarness): void {
  expect(harness.getViolations()).to.deep.equal([]);
  expect(harness.getRepeatedStarts()).to.deep.equal([]);
  expect(harness.getDuplicateRuns()).to.deep.equal([]);
}

function countEvictions(harness: SchedulerHarness): number {
  return harness.events.filter(({name}) => name === 'task-evicted').length;
}

/** Adds a worker of another failure domain, which has no scheduler here. */
function addOtherDomain(harness: SchedulerHarness): void {
  harness.vms.push({
    ...harness.vms[0],
    id: 'remote',
    failureDomain: OTHER_DOMAIN,
  });
  harness.publishMembership();
}

describe('a scheduler of an evacuated failure domain', () => {
  it('starts nothing after the bound; tasks and replicas that run are not stopped', async () => {
    const harness = createHarness({
      waitsForEvacuations: true,
      // It evicts attempts that run beside services, evacuation or not.
      isInterferenceControlEnabled: false,
    });
    const operator = createStore(harness.table, harness);
    for (const node of harness.nodes) follow(harness, node);
    await harness.clock.advance(12_000);
    expect(harness.countRunningServices()).to.equal(4);
    void operator.evacuate(DOMAIN);
    await harness.clock.advance(EFFECT_LIMIT_MS);
    const starts = countStarts(harness);
    const evictions = countEvictions(harness);
    await harness.clock.advance(60_000);
    expect(countStarts(harness)).to.equal(starts);
    expect(harness.countRunningServices()).to.equal(4);
    expect(countEvictions(harness)).to.equal(evictions);
    expect(harness.countTasks('bound')).to.equal(4);
    expect(harness.countTasks('pending')).to.be.greaterThan(100);
    void operator.restore(DOMAIN);
    await harness.clock.advance(120_000);
    expect(harness.countTasks('done')).to.equal(200);
    expectSound(harness);
  });

  it('releases the tasks that were bound in advance, so that other domains can run them', async () => {
    const harness = createHarness({});
    await harness.clock.advance(8_000);
    const getUnstarted = () =>
      harness
        .getTasks()
        .filter(
          ({state, taskId, kind}) =>
            kind === 'batch' &&
            state === 'bound' &&
            harness.countStarts(taskId) === 0,
        );
    expect(getUnstarted()).not.to.deep.equal([]);
    for (const {scheduler} of harness.nodes) {
      scheduler.setEvacuatedDomains([DOMAIN]);
    }
    await harness.clock.advance(3_000);
    expect(getUnstarted()).to.deep.equal([]);
    const withheld = harness.nodes.map(({scheduler}) =>
      scheduler.getWithheldStartCount(),
    );
    expect(Math.max(...withheld)).to.be.greaterThan(0);
  });

  for (const step of TASK_STEPS) {
    it(`loses and repeats nothing if the evacuation is read at the step ${step}`, async () => {
      for (const count of [1, 7, 23]) {
        const harness = createHarness({
          seed: count,
          document: createDocument({batchJobs: [createJob(60)]}),
        });
        let seen = 0;
        harness.setStepHook(reached => {
          if (reached !== step || ++seen !== count) return;
          for (const {scheduler} of harness.nodes) {
            scheduler.setEvacuatedDomains([DOMAIN]);
          }
        });
        await harness.clock.advance(30_000);
        const starts = countStarts(harness);
        await harness.clock.advance(20_000);
        expect(countStarts(harness)).to.equal(starts);
        expect(countEvictions(harness)).to.equal(0);
        for (const {scheduler} of harness.nodes) {
          scheduler.setEvacuatedDomains([]);
        }
        await harness.clock.advance(120_000);
        expect(harness.countTasks('done')).to.equal(60);
        expectSound(harness);
      }
    });
  }

  it('does not stop an attempt that the latest report of its worker does not have yet', async () => {
    const harness = createHarness({
      schedulers: 1,
      document: createDocument({batchJobs: [createJob(4)]}),
    });
    harness.setStepHook((step, {scheduler, leases}) => {
      if (step !== 'start-executed') return;
      harness.setStepHook(undefined);
      scheduler.setEvacuatedDomains([DOMAIN]);
      // Reports that are older than the start, but arrive after its response.
      const stale = leases.getValidLeases();
      harness.clock.setTimer(10, () => {
        for (const lease of stale) scheduler.updateWorker(lease);
      });
    });
    await harness.clock.advance(40_000);
    expect(countStarts(harness)).to.be.greaterThan(0);
    expect(countEvictions(harness)).to.equal(0);
    expect(harness.countTasks('done')).to.equal(countStarts(harness));
  });

  it('starts nothing after a restart before it has read the evacuations', async () => {
    const harness = createHarness({waitsForEvacuations: true});
    const operator = createStore(harness.table, harness);
    for (const node of harness.nodes) follow(harness, node);
    await harness.clock.advance(12_000);
    void operator.evacuate(DOMAIN);
    await harness.clock.advance(EFFECT_LIMIT_MS);
    const starts = countStarts(harness);
    for (const node of [...harness.nodes]) harness.killNode(node);
    const restarted = harness.addNode();
    await harness.clock.advance(15_000);
    expect(countStarts(harness)).to.equal(starts);
    follow(harness, restarted);
    await harness.clock.advance(15_000);
    expect(countStarts(harness)).to.equal(starts);
    void operator.restore(DOMAIN);
    await harness.clock.advance(180_000);
    expect(harness.countTasks('done')).to.equal(200);
    expectSound(harness);
  });

  it('stays evacuated through an outage of the table', async () => {
    const harness = createHarness({waitsForEvacuations: true});
    const operator = createStore(harness.table, harness);
    for (const node of harness.nodes) follow(harness, node);
    await harness.clock.advance(12_000);
    void operator.evacuate(DOMAIN);
    await harness.clock.advance(EFFECT_LIMIT_MS);
    const starts = countStarts(harness);
    harness.table.faults.isOutage = true;
    await harness.clock.advance(30_000);
    harness.table.faults.isOutage = false;
    await harness.clock.advance(30_000);
    expect(countStarts(harness)).to.equal(starts);
    expectSound(harness);
  });
});

describe('a scheduler beside an evacuated failure domain', () => {
  it('takes over the pending tasks of that domain although it has work of its own', async () => {
    const harness = createHarness({
      document: createDocument({batchJobs: [createJob(600, {name: 'own'})]}),
    });
    await harness.clock.advance(10_000);
    addOtherDomain(harness);
    harness.submitJob(createJob(20, {name: 'remote'}), OTHER_DOMAIN);
    const countWaiting = () =>
      harness.table.getRowsByPrefix(`task/${OTHER_DOMAIN}/`).length;
    await harness.clock.advance(20_000);
    expect(countWaiting()).to.equal(20);
    for (const {scheduler} of harness.nodes) {
      scheduler.setEvacuatedDomains([OTHER_DOMAIN]);
    }
    await harness.clock.advance(10_000);
    expect(countWaiting()).to.equal(0);
    expect(harness.countTasks('pending')).to.be.greaterThan(100);
    await harness.clock.advance(200_000);
    expect(harness.countTasks('done')).to.equal(620);
    expectSound(harness);
  });

  it('creates the tasks of new jobs in the domains in service', async () => {
    const harness = createHarness({
      schedulers: 1,
      waitsForEvacuations: true,
      document: createDocument({batchJobs: [createJob(40)]}),
    });
    addOtherDomain(harness);
    await harness.clock.advance(5_000);
    expect(harness.getTasks()).to.deep.equal([]);
    harness.nodes[0].scheduler.setEvacuatedDomains([OTHER_DOMAIN]);
    await harness.clock.advance(5_000);
    expect(harness.getTasks()).to.have.length(40);
    const remote = harness.table.getRowsByPrefix(`task/${OTHER_DOMAIN}/`);
    expect(remote).to.deep.equal([]);
  });
});
