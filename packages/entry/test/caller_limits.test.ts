/**
 * Clients that send or read in ways that would have the caller port hold more memory or descriptors than a VM has.
 *
 * The settings of the program are those of any deployment. Bodies are legal up to the 16 MB that the document declares.
 */

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
import {EntryEnvironment, SERVICE, TestedProcess} from './entry_environment.js';
import {ProcessUsage} from './process_usage.js';

/** An entry needs 90 to 140 MB under ordinary load (docs/CAPACITY.md); a few bodies of 16 MB, each with copies, come on top. */
const MAX_RESIDENT_MB = 400;
/** For requests and responses that are small one by one. */
const MAX_SMALL_RESIDENT_MB = 250;
const MAX_DESCRIPTORS = 1_800;
const MAX_BODY_BYTES = 16_777_216;
/** Bytes by which a body stops short of its end. */
const MISSING_BYTES = 1;
const MAX_HEADER_BYTES = 16_000;
const SERVICE_PATH = `/${SERVICE}/crowd`;
const UNKNOWN_PATH = '/no-such-service/crowd';

describe('clients beyond the limits of the caller port', () => {
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

  /** Plays crowds one after another, whose connections stay open until the end of the test. */
  async function expectLimitsHold(
    maxResidentMb: number,
    ...plans: ReadonlyArray<Omit<CrowdPlan, 'port'>>
  ): Promise<void> {
    const usage = ProcessUsage.start(entry.pid, clock);
    const port = environment.getCallerPort();
    try {
      for (const plan of plans) {
        const crowd = ClientCrowd.start({port, ...plan}, clock);
        crowds.push(crowd);
        await crowd.settle();
      }
      // The connections of the crowd are still open.
      await environment.waitForOrdinaryRequest();
    } finally {
      usage.stop();
    }
    const isAlive = entry.child.exitCode === null && !entry.child.signalCode;
    const peak = usage.stop();
    const measured = JSON.stringify(peak);
    expect(isAlive, `the process has ended; ${measured}`).to.equal(true);
    expect(peak.residentMb, measured).to.be.at.most(maxResidentMb);
    expect(peak.descriptors, measured).to.be.at.most(MAX_DESCRIPTORS);
  }

  const body = Buffer.alloc(MAX_BODY_BYTES - MISSING_BYTES, 'x');
  const smallPiece = Buffer.alloc(4_096, 'x');

  it('hold for bodies of legal size in one piece that stop short of their end', () =>
    expectLimitsHold(MAX_RESIDENT_MB, {
      clients: 60,
      isReading: true,
      createPieces: () =>
        createBody(createDeclaredHead(SERVICE_PATH, MAX_BODY_BYTES), body, 1),
    }));

  it('hold for bodies of legal size in small pieces that stop short of their end', () =>
    expectLimitsHold(MAX_RESIDENT_MB, {
      clients: 40,
      isReading: true,
      createPieces: () =>
        createBody(
          createDeclaredHead(SERVICE_PATH, MAX_BODY_BYTES),
          smallPiece,
          MAX_BODY_BYTES / smallPiece.length - 1,
        ),
    }));

  it('hold for chunked bodies of legal size that stop short of their end', () =>
    expectLimitsHold(MAX_RESIDENT_MB, {
      clients: 60,
      isReading: true,
      createPieces: () =>
        createBody(
          createChunkedHead(SERVICE_PATH),
          createChunks(65_536, 1),
          MAX_BODY_BYTES / 65_536 - 1,
        ),
    }));

  it('hold for chunked bodies of one-byte chunks', () => {
    const chunks = createChunks(1, 1_000);
    return expectLimitsHold(MAX_SMALL_RESIDENT_MB, {
      clients: 24,
      isReading: true,
      createPieces: () =>
        createBody(createChunkedHead(SERVICE_PATH), chunks, 250),
    });
  });

  it('hold for bodies far over the limit, declared and chunked', () =>
    expectLimitsHold(
      MAX_RESIDENT_MB,
      {
        clients: 40,
        isReading: true,
        createPieces: () =>
          createBody(
            createDeclaredHead(SERVICE_PATH, 16 * MAX_BODY_BYTES),
            body,
            4,
          ),
      },
      {
        clients: 60,
        isReading: false,
        createPieces: () =>
          createBody(
            createChunkedHead(SERVICE_PATH),
            createChunks(65_536, 1),
            1_024,
          ),
      },
    ));

  it('hold for bodies at a path without a service', () =>
    expectLimitsHold(
      MAX_RESIDENT_MB,
      {
        clients: 40,
        isReading: false,
        createPieces: () =>
          createBody(createDeclaredHead(UNKNOWN_PATH, MAX_BODY_BYTES), body, 1),
      },
      {
        clients: 60,
        isReading: false,
        createPieces: () =>
          createBody(
            createChunkedHead(UNKNOWN_PATH),
            createChunks(65_536, 1),
            MAX_BODY_BYTES / 65_536 - 1,
          ),
      },
    ));

  for (const path of ['/-/ready', '/-/live']) {
    it(`hold for bodies at ${path}`, () =>
      expectLimitsHold(
        MAX_RESIDENT_MB,
        {
          clients: 40,
          isReading: false,
          createPieces: () =>
            createBody(createDeclaredHead(path, MAX_BODY_BYTES), body, 1),
        },
        {
          clients: 60,
          isReading: false,
          createPieces: () =>
            createBody(
              createChunkedHead(path),
              createChunks(65_536, 1),
              MAX_BODY_BYTES / 65_536 - 1,
            ),
        },
      ));
  }

  it('hold for requests with very many short fields', () => {
    const start = `POST ${SERVICE_PATH} HTTP/1.1\r\nhost: entry\r\ncontent-length: 10\r\n`;
    const head = createFieldsHead(start, MAX_HEADER_BYTES);
    return expectLimitsHold(MAX_SMALL_RESIDENT_MB, {
      clients: 1_500,
      isReading: true,
      createPieces: () => [head],
    });
  });

  for (const path of [SERVICE_PATH, UNKNOWN_PATH, '/-/ready']) {
    it(`hold for pipelined requests to ${path} whose responses are not read`, () => {
      const request = `GET ${path} HTTP/1.1\r\nhost: e\r\n\r\n`;
      const piece = Buffer.from(request.repeat(1_000));
      return expectLimitsHold(MAX_SMALL_RESIDENT_MB, {
        clients: 50,
        isReading: false,
        createPieces: () => createBody(piece, piece, 20),
      });
    });
  }

  it('hold for pipelined requests with very many short fields', () => {
    const start = `GET ${SERVICE_PATH} HTTP/1.1\r\nhost: e\r\n`;
    const head = createFieldsHead(start, MAX_HEADER_BYTES);
    return expectLimitsHold(MAX_SMALL_RESIDENT_MB, {
      clients: 100,
      isReading: false,
      createPieces: () => createBody(head, head, 30),
    });
  });

  it('hold for large responses that are not read', () => {
    const request = `GET ${SERVICE_PATH}?bytes=16000000 HTTP/1.1\r\nhost: e\r\n\r\n`;
    return expectLimitsHold(MAX_RESIDENT_MB, {
      clients: 60,
      isReading: false,
      createPieces: () => [Buffer.from(request)],
    });
  });

  it('hold for slow senders and for clients that stop halfway', () =>
    expectLimitsHold(
      MAX_SMALL_RESIDENT_MB,
      {
        clients: 1_000,
        isReading: true,
        pauseMs: 200,
        createPieces: () =>
          createBody(
            createDeclaredHead(SERVICE_PATH, MAX_BODY_BYTES),
            Buffer.from('x'),
            40,
          ),
      },
      {
        clients: 500,
        isReading: true,
        createPieces: () => [Buffer.from(`POST ${SERVICE_PATH} HTT`)],
      },
      {
        clients: 500,
        isReading: true,
        createPieces: () => [
          Buffer.from(`POST ${SERVICE_PATH} HTTP/1.1\r\nhost: entry\r\nx-a`),
        ],
      },
      {clients: 500, isReading: true, createPieces: () => []},
    ));
});
