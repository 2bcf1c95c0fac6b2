/** Clients without the key that would have the operator and peer ports hold more memory or descriptors than a VM has. */

import {expect} from 'chai';
import {SystemClock} from '@mustardlug/base/clock';
import {ClientCrowd, CrowdPlan} from './client_crowd.js';
import {
  createBody,
  createChunkedHead,
  createChunks,
  createDeclaredHead,
  createFieldsHead,
} from './crowd_pieces.js';
import {EntryEnvironment, TestedProcess} from './entry_environment.js';
import {ProcessUsage} from './process_usage.js';

/** An entry needs 90 to 140 MB, a scheduler 75 to 105 MB (docs/CAPACITY.md). */
const MAX_RESIDENT_MB = 300;
/** A mesh of 21 entries, operators and the connections to the platform need less than 100. */
const MAX_DESCRIPTORS = 500;
const BODY_BYTES = 16_777_216;
const MAX_HEADER_BYTES = 16_000;
const WRONG_KEY = 'authorization: Bearer wrong\r\n';
const UPGRADE_FIELDS =
  'connection: Upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n';

describe('clients without the key at the operator and peer ports', () => {
  const clock = SystemClock.create();
  let environment: EntryEnvironment;
  let entry: TestedProcess;
  let crowds: ClientCrowd[];

  before(async () => {
    environment = await EntryEnvironment.start();
  });

  beforeEach(async () => {
    crowds = [];
    entry = await environment.startEntry();
  });

  afterEach(async () => {
    for (const crowd of crowds) crowd.stop();
    await environment.kill(entry);
  });

  after(() => environment.stop());

  async function expectLimitsHold(
    tested: TestedProcess,
    port: number,
    plans: ReadonlyArray<Omit<CrowdPlan, 'port'>>,
  ): Promise<void> {
    const usage = ProcessUsage.start(tested.pid, clock);
    try {
      for (const plan of plans) {
        const crowd = ClientCrowd.start({port, ...plan}, clock);
        crowds.push(crowd);
        await crowd.settle();
      }
      // The connections of the crowd are still open.
      await environment.waitForOperatorRequest(port);
      await environment.waitForOrdinaryRequest();
    } finally {
      usage.stop();
    }
    const isAlive = tested.child.exitCode === null && !tested.child.signalCode;
    const peak = usage.stop();
    const measured = JSON.stringify(peak);
    expect(isAlive, `the process has ended; ${measured}`).to.equal(true);
    expect(peak.residentMb, measured).to.be.at.most(MAX_RESIDENT_MB);
    expect(peak.descriptors, measured).to.be.at.most(MAX_DESCRIPTORS);
  }

  function createBodyPlans(path: string): Array<Omit<CrowdPlan, 'port'>> {
    const body = Buffer.alloc(BODY_BYTES - 1, 'x');
    return [
      {
        clients: 40,
        isReading: false,
        createPieces: () =>
          createBody(createDeclaredHead(path, BODY_BYTES), body, 1),
      },
      {
        clients: 40,
        isReading: false,
        createPieces: () =>
          createBody(createChunkedHead(path), createChunks(65_536, 1), 255),
      },
    ];
  }

  function createPipelinePlan(): Omit<CrowdPlan, 'port'> {
    const request = `GET /operator/status HTTP/1.1\r\nhost: e\r\n${WRONG_KEY}\r\n`;
    const piece = Buffer.from(request.repeat(500));
    return {
      clients: 50,
      isReading: false,
      createPieces: () => createBody(piece, piece, 10),
    };
  }

  function createIdlePlans(): Array<Omit<CrowdPlan, 'port'>> {
    const start =
      'POST /operator/drain HTTP/1.1\r\nhost: e\r\ncontent-length: 9\r\n';
    const fields = createFieldsHead(start, MAX_HEADER_BYTES);
    return [
      {clients: 300, isReading: true, createPieces: () => [fields]},
      {
        clients: 300,
        isReading: true,
        createPieces: () => [Buffer.from('GET /operator/sta')],
      },
      {clients: 300, isReading: true, createPieces: () => []},
    ];
  }

  it('get no memory of an entry for bodies', () =>
    expectLimitsHold(
      entry,
      environment.getInnerPort(),
      createBodyPlans('/operator/drain'),
    ));

  it('get no memory of an entry for pipelined requests whose responses are not read', () =>
    expectLimitsHold(entry, environment.getInnerPort(), [
      createPipelinePlan(),
    ]));

  it('do not keep descriptors of an entry by requests that they stop halfway', () =>
    expectLimitsHold(entry, environment.getInnerPort(), createIdlePlans()));

  it('do not keep descriptors of an entry by refused upgrades', () => {
    const request = `GET /inner HTTP/1.1\r\nhost: e\r\n${WRONG_KEY}${UPGRADE_FIELDS}\r\n`;
    return expectLimitsHold(entry, environment.getInnerPort(), [
      {
        clients: 800,
        isReading: false,
        createPieces: () => [Buffer.from(request)],
      },
    ]);
  });

  it('do not exhaust a scheduler', () =>
    expectLimitsHold(
      environment.getScheduler(),
      environment.getSchedulerPort(),
      [
        ...createBodyPlans('/operator/drain'),
        createPipelinePlan(),
        ...createIdlePlans(),
      ],
    ));
});
