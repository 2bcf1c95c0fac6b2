/** Test harness that runs all programs of a small environment as processes on loopback. */

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
import {FaultRequest} from '../src/fault_request.js';

const PACKAGES = resolve(import.meta.dirname, '../../..');
const PROGRAMS = {
  entry: 'entry/dist/src/mustardlug_entry.js',
  scheduler: 'scheduler/dist/src/mustardlug_scheduler.js',
  dev: 'dev/dist/src/mustardlug_dev.js',
  ctl: 'ctl/dist/src/mustardlugctl.js',
};
const CONDITION_TIMEOUT_MS = 40_000;
const POLL_INTERVAL_MS = 100;
const FIRST_PORT = 21_000;
const PORT_STEP = 100;
const LAST_PORT = 29_000;

/** Exit status and output of a finished program. */
export interface ProgramResult {
  readonly exitStatus: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** Observations that the simulated environment reports. */
export interface Observations {
  readonly runs: number;
  readonly repeatedRuns: readonly string[];
  readonly violations: readonly string[];
  /** Maximum number of simultaneous connections to one worker. */
  readonly mostConnections: number;
}

/**
 * Creates an environment document with one team.
 * @param services - Services; the team and default resources are added.
 * @param batchJobs - Batch jobs; the team is added.
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

/** A small environment whose programs run as child processes. */
export class ProcessHarness {
  readonly clock = SystemClock.create();
  /** Most recent process by name. */
  private readonly children = new Map<string, ChildProcess>();
  private readonly startedProcesses: ChildProcess[] = [];

  private constructor(
    readonly folder: string,
    readonly layout: EnvironmentLayout,
    readonly plans: readonly EntryPlan[],
  ) {}

  /** Writes the settings files to a new temporary directory. Processes are started by `start`. */
  static async create(
    layoutOverrides: Partial<EnvironmentLayout>,
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
      basePort: await findFreeBasePort(),
      documentFile: 'document.json',
      ...layoutOverrides,
    });
    writeFileSync(join(folder, 'layout.json'), JSON.stringify(layout));
    writeFileSync(join(folder, 'document.json'), JSON.stringify(document));
    writeSettings(layout, folder);
    return new ProcessHarness(folder, layout, getEntryPlans(layout));
  }

  /** Starts all programs, promotes the document and waits until a service has its slots. */
  async start(service: string, slots: number): Promise<void> {
    this.spawnProgram('standins', 'dev', ['standins', 'layout.json']);
    await this.waitFor(
      async () => (await this.getObservations()) !== undefined,
    );
    const trial = await this.runCtl(['--json', 'trial', 'document.json']);
    const {digest} = JSON.parse(trial.stdout) as {digest: string};
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

  startEntry(nodeId: string): void {
    this.spawnProgram(nodeId, 'entry', [`${nodeId}.json`]);
  }

  /** Gets the base URLs that callers send requests to. */
  getTargets(): string[] {
    return this.plans.map(plan => `http://127.0.0.1:${plan.callerPort}`);
  }

  /** Gets the process ID of a program that this harness started. */
  getPid(name: string): number | undefined {
    return this.children.get(name)?.pid;
  }

  /** Gets the base URL at which service `direct` is served without an entry in between. */
  getDirectUrl(): string {
    return this.getPlatformUrl();
  }

  /** Sends a signal to a process that this harness started. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.children.get(name)?.kill(signal);
  }

  /** Waits until a process exits and returns its exit status, or null after a signal. */
  async waitForExit(name: string): Promise<number | null> {
    const child = this.children.get(name);
    if (child === undefined) throw new Error(`${name} was not started`);
    await this.waitFor(
      async () => child.exitCode !== null || child.signalCode !== null,
    );
    return child.exitCode;
  }

  /** Runs mustardlugctl. */
  runCtl(args: readonly string[]): Promise<ProgramResult> {
    return this.runProgram('ctl', args);
  }

  /** Runs a program until it exits. */
  runProgram(
    program: keyof typeof PROGRAMS,
    args: readonly string[],
  ): Promise<ProgramResult> {
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

  /** Injects faults into the simulated environment. */
  async setFaults(faults: FaultRequest): Promise<void> {
    const response = await fetch(`${this.getPlatformUrl()}/standin/faults`, {
      method: 'POST',
      body: JSON.stringify(faults),
    });
    if (!response.ok) throw new Error(await response.text());
  }

  /** Gets the observations of the simulated environment, or `undefined` while it is unreachable. */
  async getObservations(): Promise<Observations | undefined> {
    try {
      const url = `${this.getPlatformUrl()}/standin/observations`;
      return (await (await fetch(url)).json()) as Observations;
    } catch {
      return undefined;
    }
  }

  /** Polls a condition until it holds. The timeout only ends tests that hang. */
  async waitFor(condition: () => Promise<boolean>): Promise<void> {
    const deadlineMs = this.clock.getMonotonicMs() + CONDITION_TIMEOUT_MS;
    while (this.clock.getMonotonicMs() < deadlineMs) {
      if (await condition()) return;
      await this.clock.sleep(POLL_INTERVAL_MS);
    }
    throw new Error(`condition not met within ${CONDITION_TIMEOUT_MS} ms`);
  }

  /** Checks whether all entries are ready and together have the required slots. */
  private async isServing(
    service: string,
    requiredSlots: number,
  ): Promise<boolean> {
    const status = await this.runCtl(['--json', 'status']);
    if (status.exitStatus !== 0) return false;
    const nodes = JSON.parse(status.stdout) as Array<{
      role?: string;
      isReady?: boolean;
      loads?: Array<{service: string; slots: number}>;
    }>;
    let slots = 0;
    let readyEntries = 0;
    for (const {role, isReady, loads} of nodes) {
      if (role === 'entry' && isReady) readyEntries++;
      for (const load of loads ?? []) {
        if (load.service === service) slots += load.slots;
      }
    }
    // A load balancer sends callers to ready entries only, so tests start when all are ready.
    return slots >= requiredSlots && readyEntries === this.plans.length;
  }

  /** Kills all processes that this harness started and deletes the directory. */
  stop(): void {
    for (const child of this.startedProcesses) child.kill('SIGKILL');
    rmSync(this.folder, {recursive: true, force: true});
  }

  private getPlatformUrl(): string {
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
    this.startedProcesses.push(child);
  }
}

async function findFreeBasePort(): Promise<number> {
  for (let port = FIRST_PORT; port < LAST_PORT; port += PORT_STEP) {
    if (await isPortFree(port)) return port;
  }
  throw new Error(`no free base port between ${FIRST_PORT} and ${LAST_PORT}`);
}

function isPortFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
