import {readFileSync, writeFileSync} from 'node:fs';
import {join, resolve} from 'node:path';
import {expect} from 'chai';
import {Agent, request} from 'undici';
import {createTestDocument, ProcessHarness} from './process_harness.js';

const TLS_FOLDER = resolve(import.meta.dirname, '../../test/tls');
const CERTIFICATE = join(TLS_FOLDER, 'certificate.pem');
const TLS = {
  certificateFile: CERTIFICATE,
  keyFile: join(TLS_FOLDER, 'key.pem'),
  authorityFile: CERTIFICATE,
};
const SERVICE = 'class-desk';
const REPLICAS = 2;
const SLOTS = 8;
const DOCUMENT = createTestDocument([{name: SERVICE, replicas: REPLICAS}]);

type JsonObject = Record<string, unknown>;

describe('TLS', () => {
  let harness: ProcessHarness;

  beforeEach(async () => {
    harness = await ProcessHarness.create({}, DOCUMENT);
    for (const {nodeId} of harness.plans) {
      editJson(`${nodeId}.json`, settings => ({...settings, tls: TLS}));
      const name = nodeId.replace('entry-', 'scheduler-');
      editJson(`${name}.json`, settings => ({
        ...settings,
        tls: TLS,
        entryUrl: toHttps(String(settings.entryUrl)),
      }));
    }
    editJson('ctl.json', settings => ({
      ...settings,
      authorityFile: CERTIFICATE,
      nodes: (settings.nodes as string[]).map(toHttps),
    }));
    await harness.start(SERVICE, REPLICAS * SLOTS);
  });

  afterEach(() => harness.stop());

  function editJson(
    name: string,
    change: (value: JsonObject) => JsonObject,
  ): void {
    const path = join(harness.folder, name);
    const value = JSON.parse(readFileSync(path, 'utf8')) as JsonObject;
    writeFileSync(path, JSON.stringify(change(value)));
  }

  it('serves callers, inner links and operator requests over TLS', async () => {
    const ca = readFileSync(CERTIFICATE, 'utf8');
    const dispatcher = new Agent({connect: {ca}});
    // One request to each entry, so that some are forwarded over an inner link.
    for (const target of harness.getTargets()) {
      const url = `${toHttps(target)}/${SERVICE}/bookings`;
      const response = await request(url, {
        dispatcher,
        method: 'POST',
        body: 'seat',
      });
      expect(await response.body.text()).to.equal('seat');
      expect(response.headers['x-mustardlug-outcome']).to.equal('ran');
    }
    await dispatcher.close();
    const status = await harness.runCtl(['status']);
    expect(status.stdout).to.match(/entry-north-a-1 +entry +north-a +ready/);
  });

  it('refuses plaintext callers', async () => {
    const [target] = harness.getTargets();
    let isRefused = false;
    await request(`${target}/${SERVICE}/bookings`).catch(() => {
      isRefused = true;
    });
    expect(isRefused).to.equal(true);
  });
});

function toHttps(url: string): string {
  return url.replace('http://', 'https://');
}
