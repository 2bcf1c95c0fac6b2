import {writeFileSync} from 'node:fs';
import {connect, createServer} from 'node:net';
import {join} from 'node:path';
import {expect} from 'chai';
import {ProcessHarness} from './process_harness.js';

const DOCUMENT = {
  environment: 'test',
  objective: {tailLatencyWeight: 1, evictionWeight: 1, throughputWeight: 1},
  teams: [],
  services: [],
  batchJobs: [],
};

describe('error handling of the programs', () => {
  let harness: ProcessHarness;

  beforeEach(async () => {
    harness = await ProcessHarness.create({}, DOCUMENT);
  });

  afterEach(() => harness.stop());

  function writeJson(name: string, value: unknown): void {
    writeFileSync(join(harness.folder, name), JSON.stringify(value));
  }

  it('names the field, the constraint and the fix for an invalid document', async () => {
    writeJson('broken.json', {
      ...DOCUMENT,
      teams: [{name: 'A', quotaCores: 0}],
    });
    const result = await harness.runCtl(['validate', 'broken.json']);
    expect(result.exitStatus).to.equal(2);
    expect(result.stderr).to.match(/teams\.0\.name: expected lower-case/);
    expect(result.stderr).to.match(/teams\.0\.quotaCores: .*give at least 0/);
    expect(result.stderr).to.not.match(/at Object|node:internal/);
  });

  it('exits with an error on invalid settings', async () => {
    writeJson('entry.json', {nodeId: 'entry', callerPort: 'x'});
    const result = await harness.runProgram('entry', ['entry.json']);
    expect(result.exitStatus).to.equal(2);
    expect(result.stderr).to.match(/callerPort: .*expected number/);
  });

  it('reports a port that is in use', async () => {
    const [plan] = harness.plans;
    const blocker = createServer();
    await new Promise<void>(resolve =>
      blocker.listen(plan.callerPort, '127.0.0.1', resolve),
    );
    const result = await harness.runProgram('entry', [`${plan.nodeId}.json`]);
    blocker.close();
    expect(result.exitStatus).to.equal(4);
    expect(result.stderr).to.match(/cannot listen on .*choose a free port/);
  });

  it('reports an unreachable platform', async () => {
    const result = await harness.runCtl(['trial', 'document.json']);
    expect(result.exitStatus).to.equal(4);
    expect(result.stderr).to.match(/did not answer .*check that it runs/);
  });

  it('starts an entry without the platform and becomes ready once the platform is up', async () => {
    const [plan] = harness.plans;
    harness.startEntry(plan.nodeId);
    const url = `http://127.0.0.1:${plan.callerPort}/-/ready`;
    const getReadyStatus = async () => {
      try {
        return (await fetch(url)).status;
      } catch {
        return 0;
      }
    };
    await harness.waitFor(async () => (await getReadyStatus()) === 503);
    const startup = harness.start('none', 0);
    await startup;
    await harness.waitFor(async () => (await getReadyStatus()) === 200);
  });

  it('keeps serving after malformed and oversized input', async () => {
    await harness.start('none', 0);
    const [plan] = harness.plans;
    const base = `http://127.0.0.1:${plan.callerPort}`;
    const isReady = async () => (await fetch(`${base}/-/ready`)).ok;
    await harness.waitFor(async () => isReady().catch(() => false));
    const inputs = [
      'garbage\r\n\r\n',
      'GET / HTTP/9.9\r\n\r\n',
      `GET / HTTP/1.1\r\nhost: x\r\nx-large: ${'x'.repeat(40_000)}\r\n\r\n`,
      'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n',
      'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n',
    ];
    for (const port of [plan.callerPort, plan.innerPort]) {
      for (const input of inputs) {
        const response = await sendRaw(port, input);
        expect(response).to.match(/^(HTTP\/1\.1 4\d\d |$)/);
      }
    }
    expect(await isReady()).to.equal(true);
  });

  it('refuses a client with a wrong key and records the refusal', async () => {
    await harness.start('none', 0);
    writeFileSync(join(harness.folder, 'other.txt'), 'x'.repeat(32));
    const [plan] = harness.plans;
    writeJson('wrong.json', {
      keyFile: 'other.txt',
      platformUrl: `http://127.0.0.1:${harness.layout.basePort}`,
      nodes: [`http://127.0.0.1:${plan.innerPort}`],
    });
    await harness.waitFor(async () => {
      const result = await harness.runCtl([
        '--settings',
        'wrong.json',
        'status',
      ]);
      return result.stdout.includes('refused the key');
    });
    const events = await harness.runCtl(['timeline', '--json']);
    expect(events.stdout).to.match(/peer-key-refused/);
  });
});

/** Sends raw bytes and returns the response received until the connection closes or is idle for a second. */
function sendRaw(port: number, input: string): Promise<string> {
  return new Promise(resolve => {
    let response = '';
    const socket = connect(port, '127.0.0.1', () => socket.write(input));
    socket.setTimeout(1_000, () => socket.destroy());
    socket.on('data', data => (response += String(data)));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(response));
  });
}
