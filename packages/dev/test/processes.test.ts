import {expect} from 'chai';
import {LoadOptions, LoadRunner} from '@mustardlug/load/load_runner';
import {createTestDocument, ProcessHarness} from './process_harness.js';

const SERVICE = 'class-desk';
const REPLICAS = 4;
const SLOTS = 8;
/** Maximum number of connections to one worker from all lease holders together. */
const MAX_WORKER_CONNECTIONS = 64;

const DOCUMENT = createTestDocument(
  [
    {
      name: SERVICE,
      replicas: REPLICAS,
      deadlineMs: 10_000,
      upstreamTimeoutMs: 4_000,
      routes: [{pathPrefix: '/', isReadOnly: true}],
    },
  ],
  [
    {
      name: 'reports',
      tasks: 20,
      resources: {cores: 1, memoryMb: 500},
      expectedRunMs: 500,
    },
  ],
);

function createLoad(
  harness: ProcessHarness,
  overrides: Partial<LoadOptions>,
): LoadRunner {
  return LoadRunner.create(
    {
      targets: harness.getTargets(),
      service: SERVICE,
      ratePerS: 100,
      durationMs: 5_000,
      seed: 11,
      maxBodyBytes: 1_000_000,
      keyedFraction: 0.3,
      readFraction: 0.3,
      timeoutMs: 15_000,
      ...overrides,
    },
    harness.clock,
  );
}

describe('multi-process environment', () => {
  let harness: ProcessHarness;

  beforeEach(async () => {
    harness = await ProcessHarness.create({}, DOCUMENT);
    await harness.start(SERVICE, REPLICAS * SLOTS);
  });

  afterEach(() => harness.stop());

  async function expectInvariantsHold(): Promise<void> {
    const observations = await harness.getObservations();
    expect(observations?.repeatedRuns).to.deep.equal([]);
    expect(observations?.violations).to.deep.equal([]);
    expect(observations?.mostConnections).to.be.at.most(MAX_WORKER_CONNECTIONS);
  }

  async function drainAndRestart(nodeId: string): Promise<void> {
    harness.signal(nodeId, 'SIGTERM');
    expect(await harness.waitForExit(nodeId)).to.equal(0);
    harness.startEntry(nodeId);
    await harness.clock.sleep(2_000);
  }

  it('returns matching, complete responses while an entry is killed', async () => {
    const load = createLoad(harness, {}).run();
    await harness.clock.sleep(2_000);
    harness.signal(harness.plans[0].nodeId, 'SIGKILL');
    const report = await load;
    expect(report.sent).to.equal(500);
    expect(report.wrongAnswers).to.equal(0);
    const classified =
      report.ran + report.notRun + report.unknown + report.connectionErrors;
    expect(classified).to.equal(500);
    await expectInvariantsHold();
  });

  it('runs no request twice when an entry is suspended and resumed', async () => {
    const load = createLoad(harness, {seed: 12, maxBodyBytes: 4_096}).run();
    await harness.clock.sleep(1_000);
    const [suspended] = harness.plans;
    harness.signal(suspended.nodeId, 'SIGSTOP');
    await harness.clock.sleep(6_000);
    harness.signal(suspended.nodeId, 'SIGCONT');
    const report = await load;
    expect(report.wrongAnswers).to.equal(0);
    await expectInvariantsHold();
  });

  it('drops no request during a rolling restart of all entries', async () => {
    const load = createLoad(harness, {
      seed: 13,
      maxBodyBytes: 4_096,
      ratePerS: 50,
      durationMs: 36_000,
    }).run();
    await harness.clock.sleep(1_000);
    for (const {nodeId} of harness.plans) await drainAndRestart(nodeId);
    const report = await load;
    expect(report.reasons).to.deep.equal({});
    expect(report.ran).to.equal(report.sent);
    await expectInvariantsHold();
  });

  it('drops no request when an entry is drained during a table outage', async () => {
    await harness.setFaults({table: {isOutage: true}});
    const load = createLoad(harness, {
      seed: 14,
      maxBodyBytes: 4_096,
      ratePerS: 50,
      durationMs: 12_000,
      keyedFraction: 0,
    }).run();
    await harness.clock.sleep(1_000);
    await drainAndRestart(harness.plans[0].nodeId);
    const report = await load;
    expect(report.reasons).to.deep.equal({});
    expect(report.ran).to.equal(report.sent);
    await expectInvariantsHold();
  });
});
