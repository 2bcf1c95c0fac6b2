import {expect} from 'chai';
import {SystemClock} from '@mustardlug/base/clock';
import {ClientCrowd} from './client_crowd.js';
import {createBody, createDeclaredHead} from './crowd_pieces.js';
import {EntryEnvironment, SERVICE} from './entry_environment.js';

describe('a draining entry', () => {
  let environment: EntryEnvironment;

  before(async () => {
    environment = await EntryEnvironment.start();
  });

  after(() => environment.stop());

  // An entry waited for all connections, however long their clients kept them.
  it('ends although clients keep sending bodies slowly', async () => {
    const clock = SystemClock.create();
    const entry = await environment.startEntry();
    const head = createDeclaredHead(`/${SERVICE}/slow`, 1_000_000);
    const crowd = ClientCrowd.start(
      {
        port: environment.getCallerPort(),
        clients: 50,
        isReading: true,
        pauseMs: 100,
        createPieces: () => createBody(head, Buffer.alloc(1_000, 'x'), 900),
      },
      clock,
    );
    try {
      await clock.sleep(1_000);
      entry.child.kill('SIGTERM');
      await environment.waitForExit(entry);
      expect(entry.child.exitCode).to.equal(0);
    } finally {
      crowd.stop();
    }
  });
});
