import {expect} from 'chai';
import {LoadOptions, LoadRunner} from '@mustardlug/load/load_runner';
import {createTestDocument, ProcessHarness} from './process_harness.js';

const SERVICE = 'class-desk';
const REPLICAS = 4;
const SLOTS = 8;
/** Connections that a worker may have, of all holders. */
const CONNECTIONS = 64;

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
  parts: Partial<LoadOptions>,
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
      ...parts,
    },
    harness.clock,
  );
}

describe('programs as processes', () => {
  let harness: ProcessHarness;

  beforeEach(async () => {
    harness = await ProcessHarness.create({}, DOCUMENT);
    await harness.start(SERVICE, REPLICAS * SLOTS);
  });

  afterEach(() => harness.stop());

  async function expectPromisesKept(): Promise<void> {
    const seen = await harness.getObservations();
    expect(seen?.repeatedRuns).to.deep.equal([]);
    expect(seen?.violations).to.deep.equal([]);
    expect(seen?.mostConnections).to.be.at.most(CONNECTIONS);
  }

  async function drainAndRestart(nodeId: string): Promise<void> {
    harness.signal(nodeId, 'SIGTERM');
    expect(await harness.waitForExit(nodeId)).to.equal(0);
    harness.startEntry(nodeId);
    await harness.clock.sleep(2_000);
  }

  it('gives each caller its own whole answer while an entry is killed', async () => {
    const load = createLoad(harness, {}).run();
    await harness.clock.sleep(2_000);
    harness.signal(harness.plans[0].nodeId, 'SIGKILL');
    const report = await load;
    expect(report.sent).to.equal(500);
    expect(report.wrongAnswers).to.equal(0);
    const ended =
      report.ran + report.notRun + report.unknown + report.connectionErrors;
    expect(ended).to.equal(500);
    await expectPromisesKept();
  });

  it('runs no request twice while an entry is frozen and thawed', async () => {
    const load = createLoad(harness, {seed: 12, maxBodyBytes: 4_096}).run();
    await harness.clock.sleep(1_000);
    const [frozen] = harness.plans;
    harness.signal(frozen.nodeId, 'SIGSTOP');
    await harness.clock.sleep(6_000);
    harness.signal(frozen.nodeId, 'SIGCONT');
    const report = await load;
    expect(report.wrongAnswers).to.equal(0);
    await expectPromisesKept();
  });

  it('cuts off no request in a rolling restart of every entry', async () => {
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
    await expectPromisesKept();
  });

  it('cuts off no request in a planned stop while the table is down', async () => {
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
    await expectPromisesKept();
  });
});
