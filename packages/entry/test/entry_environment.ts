/** Runs one entry and one scheduler as processes on loopback, beside the stand-ins of `mustardlug-dev`. */

import {ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {request} from 'undici';
import {SystemClock} from '@mustardlug/base/clock';
import {EntrySettings} from '../src/entry_settings.js';

const PACKAGES = resolve(import.meta.dirname, '../../..');
const PROGRAMS = {
  entry: 'entry/dist/src/mustardlug_entry.js',
  scheduler: 'scheduler/dist/src/mustardlug_scheduler.js',
  dev: 'dev/dist/src/mustardlug_dev.js',
  ctl: 'ctl/dist/src/mustardlugctl.js',
};
const DOMAIN = 'north-a';
const ENTRY_SETTINGS_FILE = `entry-${DOMAIN}-1.json`;
const SCHEDULER_SETTINGS_FILE = `scheduler-${DOMAIN}-1.json`;
const HOST = '127.0.0.1';
/** Below the ports of the process harness of `packages/dev` and of outgoing connections. */
const FIRST_PORT = 13_000;
const LAST_PORT = 19_000;
const PORT_STEP = 50;
/** Ends a test that hangs; no check depends on it otherwise. */
const CONDITION_TIMEOUT_MS = 40_000;
const POLL_INTERVAL_MS = 100;
const ORDINARY_REQUEST_TIMEOUT_MS = 5_000;

/** Service whose bodies may have 16 MB, the most that a document can declare. */
export const SERVICE = 'uploads';

const DOCUMENT = {
  environment: 'test',
  objective: {tailLatencyWeight: 1, evictionWeight: 1, throughputWeight: 1},
  teams: [{name: 'team-a', quotaCores: 64}],
  services: [
    {
      name: SERVICE,
      team: 'team-a',
      replicas: 1,
      resources: {cores: 1, memoryMb: 1_000},
      deadlineMs: 60_000,
      upstreamTimeoutMs: 30_000,
      maxBodyBytes: 16_777_216,
    },
  ],
  batchJobs: [],
};

/** A process under test. */
export interface TestedProcess {
  readonly child: ChildProcess;
  readonly pid: number;
}

/** Stand-ins and a scheduler for all tests of a file, and a new entry for each test. */
export class EntryEnvironment {
  private readonly clock = SystemClock.create();
  private readonly children: ChildProcess[] = [];
  private settings: EntrySettings | undefined;
  private scheduler: TestedProcess | undefined;
  private schedulerPort = 0;

  private constructor(private readonly folder: string) {}

  /** Starts the stand-ins and puts a document in force. */
  static async start(): Promise<EntryEnvironment> {
    const folder = mkdtempSync(join(tmpdir(), 'mustardlug-limits-'));
    const environment = new EntryEnvironment(folder);
    const basePort = await findFreePort();
    environment.writeJson('document.json', DOCUMENT);
    environment.writeJson('layout.json', {
      domains: [{name: DOMAIN, region: 'north', workers: 1, entries: 1}],
      storeRegion: 'north',
      workersPerRack: 1,
      coresPerWorker: 8,
      memoryMbPerWorker: 16_000,
      regionDelayMs: 0,
      domainDelayMs: 0,
      regionBitsPerS: 8_000_000_000,
      serviceTimeMs: 5,
      basePort,
      documentFile: 'document.json',
    });
    await environment.run('dev', ['init', 'layout.json', '.']);
    environment.spawn('dev', ['standins', 'layout.json']);
    await environment.waitFor(() => isReachable(basePort));
    const trial = await environment.run('ctl', [
      '--json',
      'trial',
      'document.json',
    ]);
    const {digest} = JSON.parse(trial) as {digest: string};
    await environment.run('ctl', ['promote', digest]);
    return environment;
  }

  /** Starts an entry and waits until it answers callers. */
  async startEntry(): Promise<TestedProcess> {
    const path = join(this.folder, ENTRY_SETTINGS_FILE);
    this.settings = JSON.parse(readFileSync(path, 'utf8')) as EntrySettings;
    const entry = this.spawn('entry', [ENTRY_SETTINGS_FILE]);
    if (this.scheduler === undefined) this.startScheduler();
    await this.waitForOrdinaryRequest();
    return entry;
  }

  /** Gets the scheduler, which runs from the first start of an entry on. */
  getScheduler(): TestedProcess {
    if (this.scheduler === undefined) throw new Error('no entry was started');
    return this.scheduler;
  }

  private startScheduler(): void {
    const path = join(this.folder, SCHEDULER_SETTINGS_FILE);
    const {operatorPort} = JSON.parse(readFileSync(path, 'utf8')) as {
      operatorPort: number;
    };
    this.schedulerPort = operatorPort;
    this.scheduler = this.spawn('scheduler', [SCHEDULER_SETTINGS_FILE]);
  }

  getCallerPort(): number {
    return this.settings?.callerPort ?? 0;
  }

  /** Gets the port for peers and operators of the entry. */
  getInnerPort(): number {
    return this.settings?.innerPort ?? 0;
  }

  /** Gets the operator port of the scheduler. */
  getSchedulerPort(): number {
    return this.schedulerPort;
  }

  /** Waits until a request to the service, each time over a new connection, is answered by an upstream. */
  waitForOrdinaryRequest(): Promise<void> {
    return this.waitFor(async () => {
      const response = await request(
        `http://${HOST}:${this.getCallerPort()}/${SERVICE}/ordinary`,
        {
          method: 'POST',
          body: 'ordinary',
          headers: {connection: 'close'},
          headersTimeout: ORDINARY_REQUEST_TIMEOUT_MS,
          bodyTimeout: ORDINARY_REQUEST_TIMEOUT_MS,
        },
      );
      const text = await response.body.text();
      return response.statusCode === 200 && text === 'ordinary';
    });
  }

  /** Waits until a port answers an operator that has the key, over a new connection. */
  waitForOperatorRequest(port: number): Promise<void> {
    const [key] = readFileSync(join(this.folder, 'keys.txt'), 'utf8').split(
      '\n',
    );
    return this.waitFor(async () => {
      const response = await request(`http://${HOST}:${port}/operator/status`, {
        headers: {authorization: `Bearer ${key}`, connection: 'close'},
        headersTimeout: ORDINARY_REQUEST_TIMEOUT_MS,
        bodyTimeout: ORDINARY_REQUEST_TIMEOUT_MS,
      });
      await response.body.dump();
      return response.statusCode === 200;
    });
  }

  /** Ends a process that this environment started, and waits until it is gone. */
  async kill(tested: TestedProcess): Promise<void> {
    tested.child.kill('SIGKILL');
    await this.waitForExit(tested);
  }

  /** Waits until a process is gone. */
  async waitForExit(tested: TestedProcess): Promise<void> {
    await this.waitFor(
      async () =>
        tested.child.exitCode !== null || tested.child.signalCode !== null,
    );
  }

  /** Ends all processes that this environment started and deletes the directory. */
  stop(): void {
    for (const child of this.children) child.kill('SIGKILL');
    rmSync(this.folder, {recursive: true, force: true});
  }

  /** Polls a condition until it holds. A rejection counts as not met. */
  private async waitFor(condition: () => Promise<boolean>): Promise<void> {
    const deadlineMs = this.clock.getMonotonicMs() + CONDITION_TIMEOUT_MS;
    let lastError = '';
    while (this.clock.getMonotonicMs() < deadlineMs) {
      try {
        if (await condition()) return;
      } catch (error) {
        lastError = ` (${(error as Error).message})`;
      }
      await this.clock.sleep(POLL_INTERVAL_MS);
    }
    throw new Error(
      `condition not met within ${CONDITION_TIMEOUT_MS} ms${lastError}`,
    );
  }

  private writeJson(name: string, value: object): void {
    writeFileSync(join(this.folder, name), JSON.stringify(value));
  }

  private spawn(
    program: keyof typeof PROGRAMS,
    args: readonly string[],
  ): TestedProcess {
    const child = spawn(
      process.execPath,
      [join(PACKAGES, PROGRAMS[program]), ...args],
      {cwd: this.folder, stdio: 'ignore'},
    );
    this.children.push(child);
    if (child.pid === undefined) throw new Error(`${program} did not start`);
    return {child, pid: child.pid};
  }

  private run(
    program: keyof typeof PROGRAMS,
    args: readonly string[],
  ): Promise<string> {
    const child = spawn(
      process.execPath,
      [join(PACKAGES, PROGRAMS[program]), ...args],
      {cwd: this.folder, stdio: ['ignore', 'pipe', 'inherit']},
    );
    let stdout = '';
    child.stdout.on('data', data => (stdout += String(data)));
    return new Promise((resolve, reject) =>
      child.on('close', status => {
        if (status === 0) resolve(stdout);
        else
          reject(new Error(`${program} ${args.join(' ')}: status ${status}`));
      }),
    );
  }
}

async function isReachable(port: number): Promise<boolean> {
  const response = await request(`http://${HOST}:${port}/standin/observations`);
  await response.body.dump();
  return response.statusCode === 200;
}

async function findFreePort(): Promise<number> {
  for (let port = FIRST_PORT; port < LAST_PORT; port += PORT_STEP) {
    if (await isPortFree(port)) return port;
  }
  throw new Error(`no free port between ${FIRST_PORT} and ${LAST_PORT}`);
}

function isPortFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}
