/**
 * A small deployment on loopback for the scripts of this review: a stand-in of the platform's
 * store, workers, and the project's own node processes, started with the command of the deploy file.
 */

import {spawn} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {Agent, createServer, request} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath, URL} from 'node:url';
import {Buffer} from 'node:buffer';

/** A loopback address of this process alone, so that the ports of other runs can't be in the way. */
const LOOPBACK = `127.${1 + (process.pid % 250)}.${(process.pid >> 8) % 250}.${1 + (randomBytes(1)[0] % 250)}`;
const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Bounds as on the sheet of the first installations. */
export const BOUNDS = {
  contact_ms: 3000,
  configuration_ms: 2500,
  drain_ms: 2500,
  grace_s: 6,
  loss_slack_ms: 200,
  max_hold_ms: 6000,
  stop_ms: 200,
  gang_ms: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  checkpoint_s: 0.5,
  restore_ms: 600,
  notice_ms: 4500,
  harm_ms: 4000,
};

export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until a condition holds; returns whether it did in time. */
export async function until(condition, limitMs, pollMs = 20) {
  const endMs = performance.now() + limitMs;
  while (performance.now() < endMs) {
    if (await condition()) return true;
    await sleep(pollMs);
  }
  return false;
}

/** Ports of nodes, below those that the system hands out, so that nothing here takes one twice. */
const FIRST_PORT = 20_000;
const LAST_PORT = 30_000;
let nextPort = FIRST_PORT;

function isPortFree(port) {
  return new Promise(resolve => {
    const server = createTcpServer();
    server.once('error', () => resolve(false));
    server.listen(port, LOOPBACK, () => server.close(() => resolve(true)));
  });
}

async function getFreePort() {
  while (nextPort < LAST_PORT) {
    const port = nextPort++;
    if (await isPortFree(port)) return port;
  }
  throw new Error('no port is free');
}

function listen(handle) {
  return new Promise(resolve => {
    const server = createServer((incoming, outgoing) => {
      const pieces = [];
      incoming.on('data', piece => pieces.push(piece));
      incoming.on('end', () =>
        handle(incoming, outgoing, Buffer.concat(pieces).toString()),
      );
    });
    server.keepAliveTimeout = 120_000;
    server.listen(0, LOOPBACK, () => resolve(server));
  });
}

function reply(outgoing, status, body = {}) {
  if (outgoing.destroyed) return;
  const text = JSON.stringify(body);
  outgoing.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  outgoing.end(text);
}

function call(
  address,
  method,
  path,
  {host, body, timeoutMs = 3000, agent} = {},
) {
  return new Promise(resolve => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const [hostname, port] = address.split(':');
    const outgoing = request(
      {
        hostname,
        port,
        method,
        path,
        agent,
        headers: {
          ...(host && {host}),
          'deadline-milliseconds': String(timeoutMs),
          ...(text !== undefined && {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(text),
          }),
        },
      },
      incoming => {
        const pieces = [];
        incoming.on('data', piece => pieces.push(piece));
        incoming.on('error', () => resolve({status: 0}));
        incoming.on('end', () => {
          clearTimeout(timer);
          const received = Buffer.concat(pieces).toString();
          let parsed = {};
          try {
            parsed = JSON.parse(received);
          } catch {
            parsed = {};
          }
          resolve({
            status: incoming.statusCode,
            body: parsed,
            headers: incoming.headers,
          });
        });
      },
    );
    const timer = setTimeout(
      () => outgoing.destroy(new Error('timeout')),
      timeoutMs,
    );
    outgoing.on('error', error => {
      clearTimeout(timer);
      resolve({status: 0, error: error.message});
    });
    outgoing.end(text);
  });
}

/** Rows of the platform's store, with one address for each node. */
class Store {
  constructor(world) {
    this.world = world;
    this.rows = new Map();
    this.log = [];
    this.version = 100;
    this.waiters = new Set();
    this.servers = [];
    /** Called with each call; may return 'lost' (done, not answered), 'busy', 'gone', 'silent', {lateMs} or {slowMs}. */
    this.fault = () => undefined;
    this.answerMs = 4;
  }

  nowMs() {
    return Math.floor(performance.now());
  }

  async addAddress(nodeName) {
    const server = await listen((incoming, outgoing, text) =>
      this.handle(nodeName, incoming, outgoing, text),
    );
    this.servers.push(server);
    return `${LOOPBACK}:${server.address().port}`;
  }

  put(table, part, key, value) {
    this.version++;
    this.apply({
      table,
      part,
      key,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
    });
    this.wake();
  }

  drop(table, part, key) {
    this.version++;
    this.apply({table, part, key, tombstone: true});
    this.wake();
  }

  apply(row) {
    const id = JSON.stringify([row.table, row.part, row.key]);
    const changed = {...row, row_version: this.version};
    if (row.tombstone) this.rows.delete(id);
    else this.rows.set(id, changed);
    this.log.push(changed);
  }

  wake() {
    for (const waiter of [...this.waiters]) waiter();
  }

  async handle(nodeName, incoming, outgoing, text) {
    const url = new URL(incoming.url, 'http://store');
    const body = text === '' ? {} : JSON.parse(text);
    const fault = this.fault({
      nodeName,
      path: url.pathname,
      query: url.searchParams,
      body,
    });
    if (fault === 'silent') return;
    await sleep(this.answerMs);
    if (fault === 'busy') {
      reply(outgoing, 503);
      return;
    }
    if (fault === 'gone') {
      reply(outgoing, 410);
      return;
    }
    if (fault?.lateMs) {
      setTimeout(() => this.commit(body), fault.lateMs);
      return;
    }
    if (fault?.slowMs) await sleep(fault.slowMs);
    const answer =
      url.pathname === '/v1/rows-tx'
        ? this.commit(body)
        : url.pathname === '/v1/rows-get'
          ? this.get(url.searchParams)
          : url.pathname === '/v1/rows-parts'
            ? this.parts(url.searchParams)
            : await this.feed(url.searchParams);
    if (fault === 'lost') return;
    reply(outgoing, answer.status, answer.body);
  }

  commit({expect = [], puts = [], remove = []}) {
    const current = expect.map(({table, part, key}) => {
      const row = this.rows.get(JSON.stringify([table, part, key]));
      return row ?? {table, part, key, row_version: 0};
    });
    const holds = expect.every(
      (each, index) => current[index].row_version === each.row_version,
    );
    if (!holds)
      return {
        status: 412,
        body: {rows: current, row_version: this.version, now_ms: this.nowMs()},
      };
    this.version++;
    for (const {table, part, key, value} of puts)
      this.apply({table, part, key, value});
    for (const {table, part, key} of remove)
      this.apply({table, part, key, tombstone: true});
    this.wake();
    return {
      status: 200,
      body: {row_version: this.version, now_ms: this.nowMs()},
    };
  }

  get(query) {
    const [table, part] = [query.get('table') ?? '', query.get('part') ?? ''];
    const from = query.get('from') ?? '';
    const target = query.get('target');
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const found = [...this.rows.values()]
      .filter(row => row.table === table && row.part === part)
      .filter(row => row.key >= from && (target === null || row.key < target))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return {
      status: 200,
      body: {
        rows: found.slice(0, limit),
        has_more: found.length > limit,
        row_version: this.version,
        now_ms: this.nowMs(),
      },
    };
  }

  parts(query) {
    const table = query.get('table') ?? '';
    const after = query.get('after') ?? undefined;
    const names = new Set();
    for (const row of this.rows.values())
      if (row.table === table) names.add(row.part);
    const parts = [...names]
      .sort()
      .filter(name => after === undefined || name > after);
    return {
      status: 200,
      body: {parts, row_version: this.version, now_ms: this.nowMs()},
    };
  }

  async feed(query) {
    const table = query.get('table') ?? '';
    const after = Number(query.get('after') ?? 0);
    const waitMs = Number(query.get('wait_ms') ?? 0);
    const changes = () =>
      this.log.filter(row => row.table === table && row.row_version > after);
    const endMs = performance.now() + waitMs;
    while (changes().length === 0 && performance.now() < endMs) {
      await new Promise(resolve => {
        const done = () => {
          this.waiters.delete(done);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(done, Math.max(1, endMs - performance.now()));
        this.waiters.add(done);
      });
    }
    return {
      status: 200,
      body: {rows: changes(), row_version: this.version, now_ms: this.nowMs()},
    };
  }
}

/** Time from the start of a task that lasts until it is at work. */
const STARTUP_MS = 500;

/** Tail of the response times that a task that serves reports. */
const TAIL_MS = 20;

/** Gets the progress of a run; a task that lasts has 100 once it is at work. */
function getPercent({step, startedMs, workMs}, doneMs) {
  if (!step.long_running)
    return Math.min(99, Math.floor((100 * doneMs) / workMs));
  const ranMs = performance.now() - startedMs;
  return Math.min(100, Math.floor((100 * ranMs) / STARTUP_MS));
}

/** Gets the figure of the last half second: the tail of a task that serves, or else the cores in use. */
function getUsage({step}) {
  return step.target_ms ? TAIL_MS : (step.cpu ?? 0);
}

/** One worker. Its machine stays, its lives may follow each other. */
class Worker {
  constructor(world, options) {
    this.world = world;
    this.id = `i-${randomBytes(4).toString('hex')}`;
    this.index = options.index;
    this.rack = options.rack;
    this.zone = options.zone;
    this.capacity = options.capacity;
    this.sequence = 0;
    this.isUp = false;
    this.isCut = false;
    this.state = 'ready';
    /** Called with each call before it is executed; returns 'lost', 'silent' or {lateMs}. */
    this.fault = () => undefined;
  }

  async open() {
    this.server = await listen((incoming, outgoing, text) =>
      this.handle(incoming, outgoing, text),
    );
    this.address = `${LOOPBACK}:${this.server.address().port}`;
    this.begin();
  }

  begin() {
    this.life = (this.life ?? 0) + 1;
    this.isUp = true;
    this.born = Date.now();
    this.bornMs = performance.now();
    this.runs = new Map();
    this.closed = new Map();
    this.ended = [];
    this.lastN = 0;
    this.token = 0;
    this.leaseMs = 0;
    this.waiters = new Set();
    this.lapsedN = 0;
    this.beat();
  }

  clockMs() {
    return Math.floor(performance.now() - this.bornMs);
  }

  beat() {
    clearTimeout(this.beatTimer);
    if (!this.isUp) return;
    const {capacity, zone, state} = this;
    this.world.store.put('servers', '', this.id, {
      service: this.world.service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 8,
      state,
      cold_remaining_ms: 0,
      capacity,
      labels: ['a', this.rack],
      born: this.born,
      clock_ms: this.clockMs(),
      sequence: ++this.sequence,
    });
    this.beatTimer = setTimeout(() => this.beat(), this.world.heartbeatMs);
  }

  /** Crashes: everything that runs is gone. After a while the next life begins, if `downMs` is given. */
  crash(downMs) {
    if (!this.isUp) return;
    this.isUp = false;
    this.world.note('worker-crashed', {worker: this.id});
    clearTimeout(this.beatTimer);
    clearTimeout(this.leaseTimer);
    for (const run of [...this.runs.values()]) this.end(run, 'crashed');
    this.server.closeAllConnections();
    const {life} = this;
    const lapse = setTimeout(() => {
      if (!this.isUp && this.life === life)
        this.world.store.drop('servers', '', this.id);
    }, 3 * this.world.heartbeatMs);
    if (downMs === undefined) return;
    setTimeout(() => {
      clearTimeout(lapse);
      if (this.world.isOver) return;
      this.begin();
      this.world.note('worker-started', {worker: this.id});
    }, downMs);
  }

  async handle(incoming, outgoing, text) {
    if (!this.isUp) {
      incoming.socket.destroy();
      return;
    }
    if (incoming.method === 'GET') {
      reply(outgoing, 200);
      return;
    }
    const body = JSON.parse(text);
    const {life} = this;
    const fault = this.isCut ? 'silent' : this.fault(incoming.url, body);
    if (fault === 'silent') return;
    if (fault?.lateMs) {
      await sleep(fault.lateMs);
      if (!this.isUp || this.life !== life) return;
      await this.execute(incoming, body);
      return;
    }
    const answer = await this.execute(incoming, body);
    if (fault === 'lost' || !this.isUp || this.life !== life || this.isCut)
      return;
    reply(outgoing, answer.status, {
      ...answer.body,
      clock_ms: this.clockMs(),
      born: this.born,
    });
  }

  async execute({url, headers}, body) {
    const expected = headers['expected-instance'];
    if (expected !== undefined && expected !== this.id)
      return {status: 421, body: {}};
    const token = body.fencing_token ?? 0;
    if (token < this.token) return {status: 409, body: {reason: 'fence'}};
    this.token = token;
    switch (url) {
      case '/v1/hold':
        return this.hold(body);
      case '/v1/run-start':
        return this.start(body);
      case '/v1/run-stop':
        return this.stop(body);
      case '/v1/pace':
        return {status: 200, body: {}};
      default:
        return {status: 404, body: {}};
    }
  }

  extendLease(deadlineMs) {
    const limitMs = this.clockMs() + BOUNDS.max_hold_ms;
    const leaseMs = Math.min(deadlineMs, limitMs);
    if (leaseMs <= this.leaseMs) return;
    this.leaseMs = leaseMs;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => this.lapse(), leaseMs - this.clockMs());
  }

  lapse() {
    if (!this.isUp) return;
    if (this.clockMs() < this.leaseMs) {
      this.leaseTimer = setTimeout(
        () => this.lapse(),
        this.leaseMs - this.clockMs(),
      );
      return;
    }
    for (const run of [...this.runs.values()]) this.end(run, 'lapsed');
    this.lapsedN = this.lastN;
  }

  async hold({
    deadline_ms: deadlineMs,
    last_seen: lastSeen = 0,
    wait_ms: waitMs = 0,
  }) {
    if (deadlineMs !== undefined) this.extendLease(deadlineMs);
    for (const [n, task, run, how] of this.ended) {
      if (n <= lastSeen && n > this.lapsedN) this.world.noteAck(task, run, how);
    }
    this.ended = this.ended.filter(([n]) => n > lastSeen);
    if (this.ended.length === 0 && waitMs > 0) {
      await new Promise(resolve => {
        const done = () => {
          this.waiters.delete(done);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(done, Math.min(waitMs, 2000));
        this.waiters.add(done);
      });
    }
    const running = [...this.runs.values()].map(run => [
      run.task,
      run.run,
      this.getSaved(run),
      getPercent(run, this.getWorkMs(run)),
      getUsage(run),
    ]);
    return {status: 200, body: {running, ended: this.ended.slice(0, 500)}};
  }

  start(body) {
    const {
      task,
      run,
      deadline_ms: deadlineMs,
      saved = '',
      specification,
    } = body;
    const existing = this.runs.get(task);
    if (existing?.run === run) return {status: 200, body: {}};
    if (deadlineMs <= this.clockMs())
      return {status: 409, body: {reason: 'late'}};
    this.extendLease(deadlineMs);
    const closed = Math.max(this.closed.get(task) ?? 0, existing?.run ?? 0);
    if (run <= closed) return {status: 409, body: {reason: 'old'}};
    const step = this.world.findStep(task);
    if (step === undefined) {
      this.world.noteUnknownStart(task, run);
      return {status: 400, body: {}};
    }
    if (!this.hasRoom(step)) {
      if (this.world.isGuarded) return {status: 409, body: {reason: 'room'}};
      this.world.violate('LIMIT', {task, run, worker: this.id});
    }
    if (existing !== undefined) this.end(existing, 'stopped');
    const started = {
      task,
      run,
      step,
      worker: this,
      restoredMs: saved === '' ? 0 : parseInt(saved.slice(0, 8), 16),
      restoreMs: saved === '' ? 0 : BOUNDS.restore_ms,
      workMs: step.workMs ?? step.estimated_ms ?? 1000,
      startedMs: performance.now(),
      beganMs: undefined,
    };
    this.runs.set(task, started);
    this.world.noteStart(this, started, {saved, specification});
    if (step.gang) this.world.joinGang(started);
    else this.beginWork(started);
    return {status: 200, body: {}};
  }

  beginWork(run) {
    run.beganMs = performance.now();
    if (run.step.long_running) return;
    const leftMs = run.workMs - run.restoredMs + run.restoreMs;
    run.timer = setTimeout(() => {
      const how = run.step.fails?.(run) ? 'failed' : 'done';
      if (run.step.gang && how === 'done') this.world.endGang(run);
      else this.end(run, how);
    }, leftMs);
  }

  getWorkMs(run) {
    if (run.beganMs === undefined) return run.restoredMs;
    const ranMs = performance.now() - run.beganMs - run.restoreMs;
    return Math.min(run.workMs, run.restoredMs + Math.max(0, ranMs));
  }

  /** What the run has saved: the work that is covered, and a part of the job's ID. */
  getSaved(run, isEnd = false) {
    if (!run.step.checkpointing) return '';
    const workMs = this.getWorkMs(run);
    const unitMs = 1000 * BOUNDS.checkpoint_s;
    const savedMs = isEnd
      ? Math.floor(workMs)
      : Math.floor(workMs / unitMs) * unitMs;
    if (savedMs === 0) return '';
    return savedMs.toString(16).padStart(8, '0') + run.task.slice(4, 12);
  }

  hasRoom(step) {
    let cpu = step.fills ? 0 : (step.cpu ?? 0);
    let memoryMb = step.mem_mb ?? 0;
    for (const {step: other} of this.runs.values()) {
      cpu += other.fills ? 0 : (other.cpu ?? 0);
      memoryMb += other.mem_mb ?? 0;
    }
    return cpu <= this.capacity.cpu && memoryMb <= this.capacity.mem_mb;
  }

  stop({task, run}) {
    const active = this.runs.get(task);
    this.closed.set(task, Math.max(this.closed.get(task) ?? 0, run));
    if (active !== undefined && active.run <= run && !active.isStopping) {
      active.isStopping = true;
      setTimeout(() => {
        if (this.runs.get(task) === active) this.end(active, 'stopped');
      }, BOUNDS.stop_ms / 2);
    }
    return {status: 200, body: {}};
  }

  end(run, how) {
    if (this.runs.get(run.task) !== run) return;
    clearTimeout(run.timer);
    clearTimeout(run.gangTimer);
    this.runs.delete(run.task);
    this.closed.set(
      run.task,
      Math.max(this.closed.get(run.task) ?? 0, run.run),
    );
    const isSaved = how === 'stopped' || how === 'broken' || how === 'lapsed';
    const saved = isSaved ? this.getSaved(run, how === 'stopped') : '';
    this.world.noteEnd(this, run, how);
    if (how !== 'crashed') {
      this.ended.push([++this.lastN, run.task, run.run, how, saved]);
      for (const waiter of [...this.waiters]) waiter();
    }
    if (run.step.gang && how !== 'done') this.world.breakGang(run);
  }
}

/** Leaves out what only the workers know of a step. */
function toWireStep(step) {
  const wire = {...step};
  delete wire.workMs;
  delete wire.fails;
  return wire;
}

/** One node process of the project. */
class NodeRunner {
  constructor(world, name) {
    this.world = world;
    this.name = name;
    this.starts = 0;
    this.exits = [];
  }

  async open(zone, processor) {
    const [front, ready, metrics] = [
      await getFreePort(),
      await getFreePort(),
      await getFreePort(),
    ];
    this.front = `${LOOPBACK}:${front}`;
    this.ready = `${LOOPBACK}:${ready}`;
    const settings = {
      node: this.name,
      role: 'node',
      machine_class: 'front',
      ip_address: LOOPBACK,
      zone,
      region: 'north',
      internal_ports: [metrics, metrics],
      listen: {front: this.front, ready: this.ready},
      limits: {
        cpu_share: processor,
        cores: 1,
        memory_mb: 350,
        file_descriptors: 4100,
      },
      bounds: BOUNDS,
      platform: {
        address: await this.world.store.addAddress(this.name),
        row_bytes: 65536,
      },
      cloud: {},
    };
    this.file = join(this.world.folder, `${this.name}.json`);
    this.settings = renderTemplate(this.world.deploy.template, settings);
    writeFileSync(this.file, this.settings);
    this.start();
  }

  start() {
    this.starts++;
    const log = openSync(join(this.world.folder, `${this.name}.log`), 'a');
    const [program, ...parameters] = this.world.deploy.run.split(' ');
    this.process = spawn(
      program === 'node' ? process.execPath : program,
      parameters,
      {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          MUSTARDLUG_CONFIG: this.file,
        },
        stdio: ['ignore', log, log],
      },
    );
    const child = this.process;
    this.world.note('node-started', {node: this.name, pid: child.pid});
    child.once('exit', (code, signal) => {
      this.exits.push({code, signal, isAsked: child.isAsked === true});
      this.world.note('node-ended', {
        node: this.name,
        code,
        signal,
        asked: child.isAsked === true,
      });
      if (this.world.isOver || child.staysDown) return;
      setTimeout(() => {
        if (!this.world.isOver) this.start();
      }, this.world.restartMs);
    });
  }

  signal(name, isAsked = false) {
    this.world.note('signal', {node: this.name, signal: name});
    if (isAsked) this.process.isAsked = true;
    this.process.kill(name);
  }

  kill() {
    this.signal('SIGKILL', true);
  }

  async isReady() {
    const {status} = await call(this.ready, 'GET', '/v1/readiness', {
      timeoutMs: 500,
    });
    return status === 200;
  }
}

function renderTemplate(template, settings) {
  return template.replace(
    /\{\{([a-z_0-9.]+)(\|json)?\}\}/g,
    (_whole, path, json) => {
      let value = settings;
      for (const name of path.split('.')) value = value?.[name];
      if (json) return JSON.stringify(value ?? null);
      return value === undefined ? '' : String(value);
    },
  );
}

function readDeploy() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)[1];
  const template = /^template = "(.*)"$/m.exec(text)[1];
  return {run, template: readFileSync(join(ROOT, template), 'utf8')};
}

export class World {
  constructor({restartMs = 300, heartbeatMs = 1100} = {}) {
    this.restartMs = restartMs;
    this.heartbeatMs = heartbeatMs;
    this.startMs = performance.now();
    this.lines = [];
    this.violations = [];
    this.jobs = new Map();
    this.tasks = new Map();
    this.gangs = new Map();
    this.nodes = [];
    this.workers = [];
    this.isOver = false;
    this.service = 'desk';
    this.host = 'desk.example';
    this.prefix = '/jobs/';
    this.deploy = readDeploy();
    this.folder = mkdtempSync(join(tmpdir(), 'review-3-'));
    this.store = new Store(this);
    this.agent = new Agent({keepAlive: true});
    this.onStart = () => undefined;
    this.maxAttempts = 3;
  }

  getMs() {
    return Math.round(performance.now() - this.startMs);
  }

  note(what, fields = {}) {
    this.lines.push(
      `${String(this.getMs()).padStart(7)} ${what} ${JSON.stringify(fields)}`,
    );
  }

  violate(rule, fields) {
    this.violations.push({rule, atMs: this.getMs(), ...fields});
    this.note('BROKEN', {rule, ...fields});
  }

  /** Starts store, workers and nodes, and waits until all nodes are ready. */
  async open({
    workers = 8,
    nodes = 3,
    capacity,
    isGuarded = true,
    route = {},
  } = {}) {
    this.isGuarded = isGuarded;
    this.store.put('op', '', 'config', {
      version: 7,
      routes: [
        {
          name: 'r-desk',
          host: this.host,
          path_prefix: this.prefix,
          kind: 'unsafe',
          timeout_ms: 3000,
          target_duration_ms: 1000,
          priority: 0,
          service: this.service,
          max_attempts: 3,
          stretch: 2,
          ...route,
        },
      ],
      services: [
        {
          name: this.service,
          health_path: '/health',
          max_connections: 64,
          protocol: 'h1',
          enforces_capacity: isGuarded,
        },
      ],
      limits: {
        header_bytes: 16384,
        body_bytes: 262144,
        header_timeout_ms: 5000,
        idle_timeout_ms: 60000,
      },
    });
    for (let index = 0; index < workers; index++) {
      const worker = new Worker(this, {
        index,
        rack: `r-${index >> 3}`,
        zone: index % 2 === 0 ? 'north-a' : 'north-b',
        capacity: capacity ?? {cpu: 16000, mem_mb: 64000, gpu: 0},
      });
      await worker.open();
      this.workers.push(worker);
    }
    for (let index = 0; index < nodes; index++) {
      const node = new NodeRunner(this, `front-north-${index + 1}`);
      this.nodes.push(node);
      await node.open(index % 2 === 0 ? 'north-a' : 'north-b', 0.675);
    }
    const isReady = await until(async () => {
      const states = await Promise.all(this.nodes.map(node => node.isReady()));
      return states.every(Boolean);
    }, 15_000);
    if (!isReady) throw new Error('the nodes did not become ready');
    const hasHolder = await until(() => this.getHolder() !== undefined, 15_000);
    if (!hasHolder) throw new Error('no coordinator was elected');
    await sleep(2_000);
  }

  /** Gets the node that last wrote to the store under a condition as the coordinator. */
  getHolder() {
    const row = this.store.rows.get(
      JSON.stringify(['mustardlug-board', 'coordinator', 'current']),
    );
    if (row === undefined) return undefined;
    const {holder} = JSON.parse(Buffer.from(row.value, 'base64').toString());
    return this.nodes.find(({name}) => name === holder);
  }

  /** Calls a node as a client. */
  call(node, method, id, body, timeoutMs = 3000) {
    return call(node.front, method, this.prefix + id, {
      host: this.host,
      body,
      timeoutMs,
      agent: this.agent,
    });
  }

  /** Submits a job as a client does: again, at the next node, after no answer, a 502 or a 504. */
  async submit(
    document,
    {id = randomBytes(8).toString('hex'), attempts = 5} = {},
  ) {
    const job = {id, document, statuses: [], isAccepted: false};
    this.jobs.set(id, job);
    const {steps, ...rest} = document;
    const wireSteps = steps.map(toWireStep);
    for (let attempt = 0; attempt < attempts; attempt++) {
      const node = this.nodes[(this.jobs.size + attempt) % this.nodes.length];
      const {status} = await this.call(node, 'POST', id, {
        ...rest,
        steps: wireSteps,
      });
      job.statuses.push(status);
      this.note('submitted', {job: id, node: node.name, status});
      if (status === 200) job.isAccepted = true;
      if (![0, 502, 504, 429, 503].includes(status)) break;
      await sleep(200);
    }
    return job;
  }

  async getState(id) {
    for (let attempt = 0; attempt < 8; attempt++) {
      const node = this.nodes[attempt % this.nodes.length];
      const {status, body} = await this.call(node, 'GET', id);
      if (status === 200) return body.state;
      if (status === 410) return 'unknown';
      await sleep(150);
    }
    return 'no answer';
  }

  findStep(task) {
    const [id, , step] = task.split('.');
    return this.jobs.get(id)?.document.steps[Number(step)];
  }

  getTask(name) {
    let task = this.tasks.get(name);
    if (task === undefined) {
      task = {
        starts: 0,
        active: new Set(),
        doneRuns: new Set(),
        isDoneNoted: false,
        failedRuns: new Set(),
        notedFailures: 0,
        saved: new Set(['']),
      };
      this.tasks.set(name, task);
    }
    return task;
  }

  noteUnknownStart(task, run) {
    this.violate('UNASKED', {
      task,
      run,
      what: 'a task that no client sent was started',
    });
  }

  noteStart(worker, run, {saved, specification}) {
    const task = this.getTask(run.task);
    const job = this.jobs.get(run.task.split('.')[0]);
    task.starts++;
    this.note('start', {
      task: run.task,
      run: run.run,
      worker: worker.id,
      saved,
    });
    if (specification !== job.document.specification)
      this.violate('UNASKED', {
        task: run.task,
        run: run.run,
        what: 'another specification',
      });
    if (task.active.size > 0)
      this.violate('TWICE', {
        task: run.task,
        run: run.run,
        what: 'two runs at the same time',
      });
    if (task.isDoneNoted)
      this.violate('TWICE', {
        task: run.task,
        run: run.run,
        what: 'a start after an end that was taken note of',
      });
    this.checkOrder(run, job);
    this.checkRoute(worker, run);
    this.checkBudget(run, task);
    task.active.add(run);
    this.onStart(worker, run, {saved});
  }

  checkOrder({task: name, run, step}, {document}) {
    const [id, occurrence] = name.split('.');
    for (const index of step.after ?? []) {
      const {count} = document.steps[index];
      for (let each = 0; each < count; each++) {
        const earlier = this.tasks.get(`${id}.${occurrence}.${index}.${each}`);
        const isDone = (earlier?.doneRuns.size ?? 0) > 0;
        const isGangDone =
          document.steps[index].gang &&
          this.isGangDone(id, occurrence, index, count);
        if (!isDone && !isGangDone)
          this.violate('ORDER', {
            task: name,
            run,
            what: `task ${each} of step ${index} is not done`,
          });
      }
    }
    if (!document.repetitions) return;
    const dueMs =
      (document.first_run_ms ?? 0) + Number(occurrence) * document.interval_ms;
    if (Date.now() < dueMs - BOUNDS.early_ms)
      this.violate('ORDER', {
        task: name,
        run,
        what: `${dueMs - Date.now()} ms before its time`,
      });
  }

  isGangDone(id, occurrence, index, count) {
    for (let each = 0; each < count; each++) {
      const task = this.tasks.get(`${id}.${occurrence}.${index}.${each}`);
      if ((task?.doneRuns.size ?? 0) > 0) return true;
    }
    return false;
  }

  checkRoute(worker, {task: name, run, step}) {
    if (
      step.required_label &&
      !['a', worker.rack].includes(step.required_label)
    )
      this.violate('ROUTE', {task: name, run, what: 'without the label'});
    if (!step.max_per_server) return;
    const prefix = name.slice(0, name.lastIndexOf('.') + 1);
    const others = [...worker.runs.keys()].filter(each =>
      each.startsWith(prefix),
    );
    if (others.length > step.max_per_server)
      this.violate('ROUTE', {
        task: name,
        run,
        what: `${others.length} on one worker`,
      });
  }

  checkBudget({task: name, run, step}, task) {
    if (step.long_running || step.gang) return;
    if (task.notedFailures >= this.maxAttempts)
      this.violate('BUDGET', {
        task: name,
        run,
        what: `${task.notedFailures} failures before`,
      });
  }

  noteEnd(worker, run, how) {
    const task = this.getTask(run.task);
    task.active.delete(run);
    task.lastEndMs = this.getMs();
    if (how === 'done') task.doneRuns.add(run.run);
    if (how === 'failed') task.failedRuns.add(run.run);
    this.note('end', {task: run.task, run: run.run, worker: worker.id, how});
  }

  noteAck(name, run, how) {
    const task = this.getTask(name);
    if (how === 'done') task.isDoneNoted = true;
    if (how === 'failed') task.notedFailures++;
    this.note('noted', {task: name, run, how});
  }

  getGang(run) {
    const [id, occurrence, step] = run.task.split('.');
    const key = `${id}.${occurrence}.${step}#${run.run}`;
    let gang = this.gangs.get(key);
    if (gang === undefined) {
      gang = {members: new Set(), isComplete: false, isOver: false};
      this.gangs.set(key, gang);
    }
    return gang;
  }

  joinGang(run) {
    const gang = this.getGang(run);
    gang.members.add(run);
    if (gang.members.size === run.step.count && !gang.isOver) {
      gang.isComplete = true;
      for (const member of gang.members) {
        clearTimeout(member.gangTimer);
        member.worker.beginWork(member);
      }
      return;
    }
    run.gangTimer = setTimeout(
      () => run.worker.end(run, 'alone'),
      BOUNDS.gang_ms,
    );
  }

  endGang(run) {
    const gang = this.getGang(run);
    if (gang.isOver) return;
    gang.isOver = true;
    for (const member of gang.members) member.worker.end(member, 'done');
  }

  breakGang(run) {
    const gang = this.getGang(run);
    gang.members.delete(run);
    if (gang.isOver || !gang.isComplete) return;
    gang.isOver = true;
    for (const member of [...gang.members]) member.worker.end(member, 'broken');
  }

  /** Ends all processes that were started, and writes the record. */
  async close(recordFile) {
    this.isOver = true;
    for (const node of this.nodes) {
      node.process.isAsked = true;
      node.process.kill('SIGCONT');
      node.process.kill('SIGKILL');
    }
    await until(
      () =>
        this.nodes.every(
          ({process: child}) =>
            child.exitCode !== null || child.signalCode !== null,
        ),
      5_000,
    );
    for (const worker of this.workers) {
      worker.isUp = false;
      clearTimeout(worker.beatTimer);
      clearTimeout(worker.leaseTimer);
      worker.server.closeAllConnections();
      worker.server.close();
    }
    for (const server of this.store.servers) {
      server.closeAllConnections();
      server.close();
    }
    this.agent.destroy();
    if (recordFile !== undefined)
      writeFileSync(recordFile, `${this.lines.join('\n')}\n`);
    if (process.env.KEEP_LOGS) console.log(`logs in ${this.folder}`);
    else rmSync(this.folder, {recursive: true, force: true});
  }
}

/**
 * Runs a case: opens the world, plays, and ends with 1 if the rule was broken, 0 if it held and
 * 2 if the case couldn't run.
 */
export async function runCase({rule, folder, options, play, worldOptions}) {
  const world = new World(worldOptions);
  // Also after an unexpected error, no process is left.
  process.once('exit', () => {
    for (const node of world.nodes) node.process?.kill('SIGKILL');
  });
  const limit = setTimeout(() => {
    console.log('the case took too long');
    void world.close(join(folder, 'record.txt')).then(() => process.exit(2));
  }, 112_000);
  let status = 2;
  try {
    await world.open(options);
    const isTrouble = process.env.TROUBLE !== '0';
    const problem = await play(world, isTrouble);
    const broken = world.violations.filter(each => each.rule === rule);
    if (problem !== undefined) console.log(`could not run: ${problem}`);
    else status = broken.length > 0 ? 1 : 0;
    for (const each of broken.slice(0, 5)) console.log(JSON.stringify(each));
    console.log(
      `rule ${rule}: ${status === 1 ? 'broken' : status === 0 ? 'held' : 'not judged'}`,
    );
  } catch (error) {
    console.log(`could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  await world.close(join(folder, 'record.txt'));
  process.exit(status);
}
