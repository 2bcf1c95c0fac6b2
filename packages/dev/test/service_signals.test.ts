import {ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {NamedPipe} from '@mustardlug/standins/named_pipe';
import {expect} from 'chai';

const PACKAGES = resolve(import.meta.dirname, '../../..');

/** Nothing listens there; both programs start without the platform. */
const NO_SERVER = 'http://127.0.0.1:1';

const COMMON_SETTINGS = {
  nodeId: 'vm-1',
  region: 'north',
  failureDomain: 'north-a',
  keyFile: 'keys.txt',
  platformUrl: NO_SERVER,
};

/** Programs with their settings; port 0 is any free port. */
const PROGRAMS = [
  {
    name: 'entry',
    file: 'entry/dist/src/mustardlug_entry.js',
    settings: {
      ...COMMON_SETTINGS,
      callerPort: 0,
      innerPort: 0,
      heartbeatMs: 100,
      balancerLagMs: 500,
    },
  },
  {
    name: 'scheduler',
    file: 'scheduler/dist/src/mustardlug_scheduler.js',
    settings: {...COMMON_SETTINGS, operatorPort: 0, entryUrl: NO_SERVER},
  },
] as const;

const KEY = 'a-key-of-sufficient-length';

/** Script that runs before the program, and sends a signal to its own process whenever a module is loaded. */
const SIGNAL_AT_MODULES = `
const Module = require('node:module');
const load = Module._load;
Module._load = function (request, parent, ...rest) {
  if (parent) process.kill(process.pid, 'SIGHUP');
  return load.call(this, request, parent, ...rest);
};
`;

/** Script that sends a signal to its own process as soon as the program has opened its first listener. */
const SIGNAL_AT_LISTENER = `
const {Server} = require('node:net');
const listen = Server.prototype.listen;
Server.prototype.listen = function (...options) {
  Server.prototype.listen = listen;
  this.once('listening', () => process.kill(process.pid, 'SIGTERM'));
  return listen.apply(this, options);
};
`;

for (const {name, file, settings} of PROGRAMS) {
  describe(`signals and settings of the ${name} program`, () => {
    const settingsText = JSON.stringify(settings);
    let folder: string;
    let settingsFile: string;
    let keyFile: string;
    let child: ChildProcess;
    let log: string;
    let end: Promise<string>;

    beforeEach(() => {
      folder = mkdtempSync(join(tmpdir(), 'mustardlug-signals-'));
      settingsFile = join(folder, 'settings.json');
      keyFile = join(folder, settings.keyFile);
      writeFileSync(settingsFile, settingsText);
      writeFileSync(keyFile, KEY);
    });

    afterEach(async () => {
      child.kill('SIGKILL');
      await end;
      rmSync(folder, {recursive: true});
    });

    function start(preparation = ''): void {
      const script = join(folder, 'preparation.cjs');
      writeFileSync(script, preparation);
      child = spawn(
        process.execPath,
        ['--require', script, join(PACKAGES, file), settingsFile],
        {stdio: ['ignore', 'ignore', 'pipe']},
      );
      log = '';
      child.stderr!.on('data', data => (log += String(data)));
      end = new Promise(resolve =>
        child.once('close', (code, signal) => resolve(String(signal ?? code))),
      );
    }

    /** Waits until the log has an event, or the process has ended. */
    function waitForLog(text: string): Promise<unknown> {
      const logged = new Promise<void>(resolve => {
        const check = () => {
          if (log.includes(text)) resolve();
        };
        child.stderr!.on('data', check);
        check();
      });
      return Promise.race([logged, end]);
    }

    async function expectServing(): Promise<void> {
      await waitForLog('process-started');
      expect(log).to.include('process-started');
      expect(child.signalCode, 'signal that ended the process').to.equal(null);
    }

    // SIGHUP ended a process that had not loaded its modules yet, which takes most of a start.
    it('survives SIGHUP while modules are loaded', async () => {
      start(SIGNAL_AT_MODULES);
      await expectServing();
    });

    // SIGHUP ended a process that was serving, with all requests in progress.
    it('survives SIGHUP while it serves', async () => {
      start();
      await expectServing();
      child.kill('SIGHUP');
      await waitForLog('signal-received');
      child.kill('SIGTERM');
      expect(await end).to.equal('0');
      expect(log).to.include('SIGHUP: no effect');
    });

    // A process ended with status 2 if it read a file while that was being rewritten.
    it('reads settings and keys again that are empty or incomplete', async () => {
      const settingsPipe = NamedPipe.replace(settingsFile);
      const keyPipe = NamedPipe.replace(keyFile);
      start();
      child.once('exit', () => {
        settingsPipe.release();
        keyPipe.release();
      });
      const writeSettings = async (text: string) => {
        if (child.exitCode === null) await settingsPipe.writeWhenOpened(text);
      };
      await writeSettings('');
      await writeSettings(settingsText.slice(0, settingsText.length / 2));
      await writeSettings(settingsText);
      if (child.exitCode === null) await keyPipe.writeWhenOpened('');
      await writeSettings(settingsText);
      if (child.exitCode === null) await keyPipe.writeWhenOpened(KEY);
      await expectServing();
      expect(log).to.include('settings-read-again');
    });

    // The signal ended a process whose clients could already send requests.
    it('shuts down gracefully on SIGTERM once a listener is open', async () => {
      start(SIGNAL_AT_LISTENER);
      expect(await end).to.equal('0');
      expect(log).to.include('process-stopped');
    });

    // The shutdown of a scheduler without leases ends before another signal can arrive.
    if (name === 'scheduler') return;

    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
      // A second signal ended the shutdown at once, with requests in progress.
      it(`completes a graceful shutdown when ${signal} follows`, async () => {
        start();
        await expectServing();
        child.kill('SIGTERM');
        await waitForLog('process-draining');
        child.kill(signal);
        expect(await end).to.equal('0');
        expect(log).to.include('process-stopped');
      });
    }
  });
}
