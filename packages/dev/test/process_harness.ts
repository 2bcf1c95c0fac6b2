/** Starts all programs of a small environment as processes on loopback. */

import {ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {SystemClock} from '@mustardlug/base/clock';
import {
  EnvironmentLayout,
  environmentLayoutSchema,
  EntryPlan,
  getEntryPlans,
} from '../src/environment_layout.js';
import {writeSettings} from '../src/settings_writer.js';
import {FaultRequest} from '../src/standin_faults.js';

const PACKAGES = resolve(import.meta.dirname, '../../..');
const PROGRAMS = {
  entry: 'entry/dist/src/mustardlug_entry.js',
  scheduler: 'scheduler/dist/src/mustardlug_scheduler.js',
  dev: 'dev/dist/src/mustardlug_dev.js',
  ctl: 'ctl/dist/src/mustardlugctl.js',
};
const WAIT_MS = 40_000;
const CHECK_MS = 100;
const FIRST_PORT = 21_000;
const PORT_STEP = 100;
const LAST_PORT = 29_000;

/** End of a program that was run to its end. */
export interface ProgramEnd {
  readonly exitStatus: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** What the stand-ins saw. */
export interface Observations {
  readonly runs: number;
  readonly repeatedRuns: readonly string[];
  readonly violations: readonly string[];
  /** Most connections to one worker at once. */
  readonly mostConnections: number;
}

/**
 * Creates a document of one team.
 * @param services - Services, without their team and size.
 * @param batchJobs - Batch jobs, without their team.
 */
export function createTestDocument(
  services: readonly object[],
  batchJobs: readonly object[] = [],
): object {
  const team = 'team-a';
  const resources = {cores: 2, memoryMb: 2_000};
  return {
    environment: 'test',
    objective: {tailLatencyWeight: 1, evictionWeight: 1, throughputWeight: 1},
    teams: [{name: team, quotaCores: 64}],
    services: services.map(service => ({team, resources, ...service})),
    batchJobs: batchJobs.map(job => ({team, ...job})),
  };
}

/** A small environment whose programs run as processes. */
export class ProcessHarness {
  readonly clock = SystemClock.create();
  /** Latest process of each name. */
  private readonly children = new Map<string, ChildProcess>();
  private readonly started: ChildProcess[] = [];

  private constructor(
    readonly folder: string,
    readonly layout: EnvironmentLayout,
    readonly plans: readonly EntryPlan[],
  ) {}

  /** Writes settings into a new folder; nothing runs before `start`. */
  static async create(
    layoutParts: Partial<EnvironmentLayout>,
    document: object,
  ): Promise<ProcessHarness> {
    const folder = mkdtempSync(join(tmpdir(), 'mustardlug-test-'));
    const layout = environmentLayoutSchema.parse({
      domains: [
        {name: 'north-a', region: 'north', workers: 2, entries: 2},
        {name: 'south-a', region: 'south', workers: 2, entries: 2},
      ],
      storeRegion: 'north',
      workersPerRack: 2,
      coresPerWorker: 8,
      memoryMbPerWorker: 16_000,
      regionDelayMs: 2,
      domainDelayMs: 1,
      regionBitsPerS: 80_000_000,
      serviceTimeMs: 15,
      basePort: await findFreePorts(),
      documentFile: 'document.json',
      ...layoutParts,
    });
    writeFileSync(join(folder, 'layout.json'), JSON.stringify(layout));
    writeFileSync(join(folder, 'document.json'), JSON.stringify(document));
    writeSettings(layout, folder);
    return new ProcessHarness(folder, layout, getEntryPlans(layout));
  }

  /** Starts everything and waits until a service has its slots. */
  async start(service: string, slots: number): Promise<void> {
    this.spawnProgram('standins', 'dev', ['standins', 'layout.json']);
    await this.waitFor(
      async () => (await this.getObservations()) !== undefined,
    );
    const tried = await this.runCtl(['--json', 'trial', 'document.json']);
    const {digest} = JSON.parse(tried.stdout) as {digest: string};
    await this.runCtl(['promote', digest]);
    for (const plan of this.plans) {
      if (!this.children.has(plan.nodeId)) this.startEntry(plan.nodeId);
      const name = plan.nodeId.replace('entry-', '');
      this.spawnProgram(`scheduler-${name}`, 'scheduler', [
        `scheduler-${name}.json`,
      ]);
    }
    await this.waitFor(() => this.isServing(service, slots));
  }

  /** Starts an entry process. */
  startEntry(nodeId: string): void {
    this.spawnProgram(nodeId, 'entry', [`${nodeId}.json`]);
  }

  /** Gets the addresses for callers. */
  getTargets(): string[] {
    return this.plans.map(plan => `http://127.0.0.1:${plan.callerPort}`);
  }

  /** Gets the process id of a program that this harness started. */
  getPid(name: string): number | undefined {
    return this.children.get(name)?.pid;
  }

  /** Gets the address that answers service `direct` without any entry between. */
  getDirectUrl(): string {
    return this.getStandInUrl();
  }

  /** Sends a signal to a process that this harness started. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.children.get(name)?.kill(signal);
  }

  /** Waits until a process has ended and returns its exit status. */
  async waitForExit(name: string): Promise<number | null> {
    const child = this.children.get(name);
    if (child === undefined) throw new Error(`${name} was not started`);
    await this.waitFor(
      async () => child.exitCode !== null || child.signalCode !== null,
    );
    return child.exitCode;
  }

  /** Runs the operators' command line. */
  runCtl(args: readonly string[]): Promise<ProgramEnd> {
    return this.runProgram('ctl', args);
  }

  /** Runs a program to its end. */
  runProgram(
    program: keyof typeof PROGRAMS,
    args: readonly string[],
  ): Promise<ProgramEnd> {
    const child = spawn(
      process.execPath,
      [join(PACKAGES, PROGRAMS[program]), ...args],
      {cwd: this.folder},
    );
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', data => (stdout += String(data)));
    child.stderr.on('data', data => (stderr += String(data)));
    return new Promise(resolve =>
      child.on('close', exitStatus => resolve({exitStatus, stdout, stderr})),
    );
  }

  /** Sets faults of the stand-ins. */
  async setFaults(faults: FaultRequest): Promise<void> {
    const response = await fetch(`${this.getStandInUrl()}/standin/faults`, {
      method: 'POST',
      body: JSON.stringify(faults),
    });
    if (!response.ok) throw new Error(await response.text());
  }

  /** Gets what the stand-ins saw, or `undefined` while they do not answer. */
  async getObservations(): Promise<Observations | undefined> {
    try {
      const url = `${this.getStandInUrl()}/standin/observations`;
      return (await (await fetch(url)).json()) as Observations;
    } catch {
      return undefined;
    }
  }

  /** Waits for a condition; the limit only ends a run that hangs. */
  async waitFor(isTrue: () => Promise<boolean>): Promise<void> {
    const limitMs = this.clock.getMonotonicMs() + WAIT_MS;
    while (this.clock.getMonotonicMs() < limitMs) {
      if (await isTrue()) return;
      await this.clock.sleep(CHECK_MS);
    }
    throw new Error('the condition did not come true');
  }

  /** Checks whether all entries are ready and together offer a number of slots. */
  private async isServing(service: string, wanted: number): Promise<boolean> {
    const status = await this.runCtl(['--json', 'status']);
    if (status.exitStatus !== 0) return false;
    const nodes = JSON.parse(status.stdout) as Array<{
      role?: string;
      isReady?: boolean;
      loads?: Array<{service: string; slots: number}>;
    }>;
    let slots = 0;
    let ready = 0;
    for (const {role, isReady, loads} of nodes) {
      if (role === 'entry' && isReady) ready++;
      for (const load of loads ?? []) {
        if (load.service === service) slots += load.slots;
      }
    }
    // Callers reach ready entries only, as behind a balancer.
    return slots >= wanted && ready === this.plans.length;
  }

  /** Ends all processes that this harness started. */
  stop(): void {
    for (const child of this.started) child.kill('SIGKILL');
    rmSync(this.folder, {recursive: true, force: true});
  }

  private getStandInUrl(): string {
    return `http://127.0.0.1:${this.layout.basePort}`;
  }

  private spawnProgram(
    name: string,
    program: keyof typeof PROGRAMS,
    args: readonly string[],
  ): void {
    const child = spawn(
      process.execPath,
      [join(PACKAGES, PROGRAMS[program]), ...args],
      {cwd: this.folder, stdio: 'ignore'},
    );
    this.children.set(name, child);
    this.started.push(child);
  }
}

async function findFreePorts(): Promise<number> {
  for (let port = FIRST_PORT; port < LAST_PORT; port += PORT_STEP) {
    if (await isFree(port)) return port;
  }
  throw new Error('no free ports');
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
