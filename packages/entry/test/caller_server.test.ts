import {connect} from 'node:net';
import {expect} from 'chai';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {parseEnvironmentDocument} from '@mustardlug/document/environment_document';
import {HttpListener} from '@mustardlug/runtime/http_listener';
import {CallerServer, REFUSAL_HEADERS} from '../src/caller_server.js';

const DOCUMENT = parseEnvironmentDocument(
  JSON.stringify({
    environment: 'test',
    objective: {tailLatencyWeight: 1, evictionWeight: 1, throughputWeight: 1},
    teams: [{name: 'team-a', quotaCores: 8}],
    services: [
      {
        name: 'small',
        team: 'team-a',
        replicas: 1,
        resources: {cores: 1, memoryMb: 100},
        maxBodyBytes: 100,
      },
    ],
    batchJobs: [],
  }),
)._unsafeUnwrap();

function createServer(onRun: () => void = () => undefined): CallerServer {
  return CallerServer.create({
    nodeId: 'entry-1',
    incarnation: 'a',
    clock: VirtualClock.create(),
    requestRunner: {
      runRequest: () => {
        onRun();
        return Promise.reject(new Error('not expected'));
      },
    },
    getDocument: () => DOCUMENT,
    getReadiness: () => ({isReady: true, reason: ''}),
    isDraining: () => false,
    onResponse: () => undefined,
  });
}

describe('CallerServer', () => {
  // Bodies at other paths are discarded, so that a service must be found in each form of a target that is served.
  it('finds the service in each form of a target', () => {
    const server = createServer();
    for (const url of [
      '/small',
      '/small/x?y',
      '/small?y',
      '/./small/x',
      'http://host/small/x',
    ]) {
      expect(server.hasService(url), url).to.equal(true);
      expect(server.getMaxBodyBytes(url), url).to.equal(100);
    }
    for (const url of ['/smaller/x', '/', '//small/x', '*', 'http://small/']) {
      expect(server.hasService(url), url).to.equal(false);
    }
  });

  it('refuses a body over the limit of its service from the head alone, as not run', async () => {
    let runs = 0;
    const server = createServer(() => runs++);
    const listener = (
      await HttpListener.listen(
        server.createApp(),
        {host: '127.0.0.1', port: 0},
        {
          limits: {},
          getMaxBodyBytes: ({url}) => server.getMaxBodyBytes(url ?? ''),
          usesBody: ({url}) => server.hasService(url ?? ''),
          refusalHeaders: REFUSAL_HEADERS,
        },
      )
    )._unsafeUnwrap();
    try {
      const response = await new Promise<string>(resolve => {
        let text = '';
        const socket = connect(listener.getPort(), '127.0.0.1');
        socket.on('data', data => (text += String(data)));
        socket.on('error', () => undefined);
        socket.on('close', () => resolve(text));
        socket.write(
          'POST /small/x HTTP/1.1\r\nhost: e\r\ncontent-length: 101\r\n\r\n',
        );
      });
      expect(response).to.match(/^HTTP\/1.1 413 /);
      expect(response).to.match(/x-mustardlug-outcome: not-run\r\n/);
      expect(runs).to.equal(0);
    } finally {
      listener.destroy();
    }
  });
});
