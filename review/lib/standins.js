/**
 * Stand-ins of the platform's store, of workers and of clients, as the users' pages
 * describe them, and the processes of the nodes. All addresses are loopback.
 */

import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync, openSync, closeSync} from 'node:fs';
import {Agent, createServer, request} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {performance} from 'node:perf_hooks';
import {join} from 'node:path';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

export const LOOPBACK = '127.0.0.1';
const ROOT = new URL('../../', import.meta.url).pathname;

export const BOUNDS = {
  contactMs: 3000,
  acknowledgeMs: 4000,
  graceMs: 6000,
  maxHoldMs: 6000,
  stopMs: 200,
  cancelMs: 3000,
  visibleMs: 3000,
  finishMs: 14000,
  checkpointMs: 500,
  restoreMs: 600,
  rowBytes: 65536,
  transactionMs: 5,
};

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const now = () => performance.now();

function listen(handler) {
  return new Promise((resolve, reject) => {
    const server = createServer(handler);
    server.keepAliveTimeout = 60000;
    server.on('error', reject);
    server.listen(0, LOOPBACK, () => resolve(server));
  });
}

function listenAt(port, handler) {
  return new Promise((resolve, reject) => {
    const server = createServer(handler);
    server.keepAliveTimeout = 60000;
    server.on('error', reject);
    server.listen(port, LOOPBACK, () => resolve(server));
  });
}

export async function findFreePort() {
  const server = createTcpServer();
  await new Promise(resolve => server.listen(0, LOOPBACK, resolve));
  const {port} = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

function reply(res, status, body) {
  const text = JSON.stringify(body ?? {});
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

/** The platform's metadata store: rows, conditional transactions and a feed. */
export class Store {
  rows = new Map();
  history = [];
  version = 0;
  waiters = new Set();
  partFreeMs = new Map();
  log = () => undefined;
  /** Optional hook: returns 'drop' to leave a call unanswered without doing it. */
  fault = () => undefined;

  static async start() {
    const store = new Store();
    store.server = await listen((req, res) => {
      store.handle(req, res).catch(() => res.destroy());
    });
    return store;
  }

  get address() {
    return `${LOOPBACK}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  key({table, part, key}) {
    return `${table}\n${part}\n${key}`;
  }

  apply(puts, removals) {
    this.version++;
    const row_version = this.version;
    for (const {table, part, key, value} of puts) {
      const row = {table, part, key, value, row_version};
      this.rows.set(this.key(row), row);
      this.history.push(row);
    }
    for (const {table, part, key} of removals) {
      if (!this.rows.delete(this.key({table, part, key}))) continue;
      this.history.push({table, part, key, tombstone: true, row_version});
    }
    for (const wake of [...this.waiters]) wake();
    return row_version;
  }

  /** Writes as the operator or a worker does. */
  put(table, key, value) {
    const bytes = Buffer.from(JSON.stringify(value)).toString('base64');
    return this.apply([{table, part: '', key, value: bytes}], []);
  }

  remove(table, key) {
    this.apply([], [{table, part: '', key}]);
  }

  async handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const body = req.method === 'POST' ? JSON.parse(await readBody(req)) : {};
    if (this.fault(req, url) === 'drop') return;
    switch (`${req.method} ${url.pathname}`) {
      case 'POST /v1/rows-tx':
        return this.commit(body, res);
      case 'GET /v1/rows-get':
        return this.getRows(url.searchParams, res);
      case 'GET /v1/rows-parts':
        return this.getParts(url.searchParams, res);
      case 'GET /v1/rows-feed':
        return this.getFeed(url.searchParams, res);
      default:
        return reply(res, 404);
    }
  }

  findRefusal({expect = [], puts = [], remove = []}) {
    const all = [...expect, ...puts, ...remove];
    if (all.length > 100) return 400;
    if (new Set(all.map(({part}) => part)).size > 1) return 400;
    for (const {table, part, key} of all) {
      for (const text of [table, part, key])
        if (Buffer.byteLength(text) > 200) return 400;
    }
    for (const {table} of [...puts, ...remove])
      if (table === 'op' || table === 'servers') return 403;
    for (const {key, value} of puts) {
      const size = Buffer.from(value, 'base64').length;
      if (size <= BOUNDS.rowBytes) continue;
      this.oversized = (this.oversized ?? 0) + 1;
      if (this.oversized <= 3 || this.oversized % 100 === 0)
        this.log(
          `store: refused write ${this.oversized} of an oversized row (400): ${key}, ${size} bytes`,
        );
      return 400;
    }
    return undefined;
  }

  async commit(body, res) {
    const {expect = [], puts = [], remove = []} = body;
    const refusal = this.findRefusal(body);
    if (refusal !== undefined) return reply(res, refusal);
    const part = puts[0]?.part ?? remove[0]?.part ?? '';
    const startMs = Math.max(now(), this.partFreeMs.get(part) ?? 0);
    this.partFreeMs.set(part, startMs + BOUNDS.transactionMs);
    await sleep(startMs + BOUNDS.transactionMs - now());
    const current = expect.map(each => this.rows.get(this.key(each)));
    const conflicts = expect.some(
      (each, index) => (current[index]?.row_version ?? 0) !== each.row_version,
    );
    if (conflicts) return reply(res, 412, {rows: current.filter(Boolean)});
    const row_version = this.apply(puts, remove);
    return reply(res, 200, {row_version, now_ms: now()});
  }

  select(table) {
    return [...this.rows.values()].filter(row => row.table === table);
  }

  getRows(query, res) {
    const limit = Math.min(Number(query.get('limit') ?? 500), 500);
    const from = query.get('from') ?? '';
    const target = query.get('target');
    const matching = this.select(query.get('table'))
      .filter(row => row.part === (query.get('part') ?? ''))
      .filter(row => row.key >= from && (target === null || row.key < target))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const rows = [];
    let size = 0;
    for (const row of matching.slice(0, limit)) {
      size += row.value.length;
      if (rows.length > 0 && size > 1e6) break;
      rows.push(row);
    }
    return reply(res, 200, {
      rows,
      has_more: rows.length < matching.length,
      row_version: this.version,
      now_ms: now(),
    });
  }

  getParts(query, res) {
    const after = query.get('after');
    const parts = new Set(this.select(query.get('table')).map(row => row.part));
    const list = [...parts]
      .sort()
      .filter(part => after === null || part > after);
    return reply(res, 200, {
      parts: list.slice(0, 1000),
      row_version: this.version,
      now_ms: now(),
    });
  }

  async getFeed(query, res) {
    const after = Number(query.get('after') ?? 0);
    const table = query.get('table');
    const endMs = now() + Math.min(Number(query.get('wait_ms') ?? 0), 30000);
    for (;;) {
      const rows = [];
      for (let index = this.history.length - 1; index >= 0; index--) {
        const row = this.history[index];
        if (row.row_version <= after) break;
        if (row.table === table) rows.unshift(row);
      }
      const leftMs = endMs - now();
      if (rows.length > 0 || leftMs <= 0)
        return reply(res, 200, {
          rows,
          row_version: this.version,
          now_ms: now(),
        });
      await new Promise(resolve => {
        let timer = undefined;
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        timer = setTimeout(wake, leftMs);
        this.waiters.add(wake);
      });
    }
  }
}

/**
 * A worker. `getTask(name)` tells the needs of a task, its duration (undefined if it
 * lasts) and its `saved` value after some work.
 */
export class Worker {
  isUp = false;

  constructor(options) {
    Object.assign(
      this,
      {
        heartbeatMs: 1500,
        capacity: {cpu: 32000, mem_mb: 128000, gpu: 0},
        labels: ['a', 'r1-1'],
        zone: 'north-a',
      },
      options,
    );
  }

  async start() {
    this.sequence = 0;
    this.born = Date.now();
    this.startedMs = now();
    this.runs = new Map();
    this.closed = new Map();
    this.ends = [];
    this.endNumber = 0;
    this.fence = 0;
    this.leaseUntilMs = 0;
    this.waiters = new Set();
    const handler = (req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    };
    this.server =
      this.port === undefined
        ? await listen(handler)
        : await listenAt(this.port, handler);
    this.port = this.server.address().port;
    this.isUp = true;
    clearTimeout(this.expiryTimer);
    this.log(`worker ${this.id} up, born ${this.born}`);
    this.beat();
  }

  /** Ends the process: all that runs is gone, channels are reset. */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    clearTimeout(this.beatTimer);
    clearTimeout(this.leaseTimer);
    for (const run of this.runs.values()) {
      clearTimeout(run.timer);
      this.ledger?.ended(this, run, 'crashed');
    }
    const names = [...this.runs.keys()];
    const members = [...this.runs.values()].filter(({info}) => info.gang);
    this.runs.clear();
    for (const active of members) {
      clearTimeout(active.timer);
      this.gangs.leave(active);
    }
    this.server.close();
    this.server.closeAllConnections();
    this.log(
      `worker ${this.id} crashed; it ran ${names.join(', ') || 'nothing'}`,
    );
    this.expiryTimer = setTimeout(
      () => this.store.remove('servers', this.id),
      3 * this.heartbeatMs,
    );
  }

  beat() {
    this.store.put('servers', this.id, {
      service: this.service,
      address: `${LOOPBACK}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity: this.capacity,
      labels: this.labels,
      clock_ms: this.clockMs,
      sequence: ++this.sequence,
      born: this.born,
    });
    this.beatTimer = setTimeout(() => this.beat(), this.heartbeatMs);
  }

  get clockMs() {
    return Math.round(1000 + now() - this.startedMs);
  }

  stamp(extra) {
    return {clock_ms: this.clockMs, born: this.born, ...extra};
  }

  async handle(req, res) {
    const body = JSON.parse((await readBody(req)) || '{}');
    const expected = req.headers['expected-instance'];
    if (expected !== undefined && expected !== this.id)
      return reply(res, 421, this.stamp());
    const token = body.fencing_token ?? 0;
    if (token < this.fence)
      return reply(res, 409, this.stamp({reason: 'fence'}));
    this.fence = token;
    switch (req.url) {
      case '/v1/run-start':
        return this.startRun(body, res);
      case '/v1/run-stop':
        return this.stopRun(body, res);
      case '/v1/hold':
        return this.hold(body, res);
      case '/v1/pace':
        return reply(res, 200, this.stamp());
      default:
        return reply(res, 404, this.stamp());
    }
  }

  extendLease(deadlineMs) {
    const untilMs = Math.min(deadlineMs, this.clockMs + BOUNDS.maxHoldMs);
    if (untilMs <= this.leaseUntilMs) return;
    this.leaseUntilMs = untilMs;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => {
      for (const run of [...this.runs.values()]) this.end(run, 'lapsed');
    }, untilMs - this.clockMs);
  }

  startRun({task, run, deadline_ms, saved = '', specification}, res) {
    const refuse = reason => reply(res, 409, this.stamp({reason}));
    if (this.runs.get(task)?.run === run) return reply(res, 200, this.stamp());
    if (deadline_ms <= this.clockMs) return refuse('late');
    this.extendLease(deadline_ms);
    if (run <= (this.closed.get(task) ?? 0) || this.runs.has(task))
      return refuse('old');
    const info = this.getTask(task);
    const used = {cpu: info.cpu, mem: info.mem_mb};
    for (const each of this.runs.values()) {
      used.cpu += each.info.cpu;
      used.mem += each.info.mem_mb;
    }
    if (used.cpu > this.capacity.cpu || used.mem > this.capacity.mem_mb)
      return refuse('room');
    const started = {task, run, info, saved, startedMs: now(), specification};
    this.runs.set(task, started);
    this.ledger?.started(this, started);
    if (info.gang !== undefined) this.gangs.join(this, started);
    else if (this.isFailing)
      started.timer = setTimeout(() => this.end(started, 'failed'), 300);
    else if (info.durationMs !== undefined)
      started.timer = setTimeout(
        () => this.end(started, 'done'),
        info.durationMs,
      );
    return reply(res, 200, this.stamp());
  }

  stopRun({task, run}, res) {
    this.closed.set(task, Math.max(run, this.closed.get(task) ?? 0));
    const active = this.runs.get(task);
    if (active !== undefined && active.run <= run && !active.isStopping) {
      active.isStopping = true;
      clearTimeout(active.timer);
      active.timer = setTimeout(() => this.end(active, 'stopped'), 100);
    }
    return reply(res, 200, this.stamp());
  }

  getSaved(active) {
    const {info, run, startedMs, saved} = active;
    if (info.gang !== undefined) return this.gangs.getSaved(active);
    const count = Math.floor((now() - startedMs) / BOUNDS.checkpointMs);
    return info.getSaved === undefined || count === 0
      ? saved
      : info.getSaved(run, count);
  }

  end(active, how) {
    if (this.runs.get(active.task) !== active) return;
    clearTimeout(active.timer);
    this.runs.delete(active.task);
    const {task, run} = active;
    this.closed.set(task, Math.max(run, this.closed.get(task) ?? 0));
    this.ends.push([++this.endNumber, task, run, how, this.getSaved(active)]);
    this.ledger?.ended(this, active, how);
    if (active.info.gang !== undefined) this.gangs.leave(active);
    for (const wake of [...this.waiters]) wake();
  }

  async hold({deadline_ms, last_seen = 0, wait_ms = 0}, res) {
    if (deadline_ms !== undefined) this.extendLease(deadline_ms);
    for (const each of this.ends)
      if (each[0] <= last_seen) this.ledger?.acknowledged(this, each);
    this.ends = this.ends.filter(([number]) => number > last_seen);
    if (wait_ms > 0 && this.ends.length === 0) await this.waitForEnd(wait_ms);
    const running = [...this.runs.values()].map(each => {
      const {info, startedMs, task, run} = each;
      const percent =
        info.durationMs === undefined
          ? 100
          : Math.min(
              99,
              Math.floor((100 * (now() - startedMs)) / info.durationMs),
            );
      return [task, run, this.getSaved(each), percent, info.usage ?? info.cpu];
    });
    return reply(
      res,
      200,
      this.stamp({running, ended: this.ends.slice(0, 500)}),
    );
  }

  waitForEnd(waitMs) {
    return new Promise(resolve => {
      let timer = undefined;
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      timer = setTimeout(wake, Math.min(waitMs, 2000));
      this.waiters.add(wake);
    });
  }

  close() {
    this.isUp = false;
    clearTimeout(this.beatTimer);
    clearTimeout(this.leaseTimer);
    clearTimeout(this.expiryTimer);
    for (const run of this.runs?.values() ?? []) clearTimeout(run.timer);
    this.server?.close();
    this.server?.closeAllConnections();
  }
}

/** Node processes, started with the command of the deploy file. */
export class Nodes {
  constructor() {
    process.on('exit', () => {
      for (const {child} of this.nodes) child?.kill('SIGKILL');
      rmSync(this.folder, {recursive: true, force: true});
    });
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'])
      process.on(signal, () => process.exit(2));
  }

  nodes = [];
  folder = mkdtempSync(join(tmpdir(), 'mustardlug-review-'));

  async add(storeAddress, overrides = {}) {
    const index = this.nodes.length;
    const ports = [];
    while (ports.length < 3) {
      const port = await findFreePort();
      if (!ports.includes(port)) ports.push(port);
    }
    const settings = {
      nodeId: `front-north-a-${index + 1}`,
      failureDomain: 'north-a',
      region: 'north',
      processor: {share: 0.675, speedup: 1},
      addresses: {
        callers: `${LOOPBACK}:${ports[0]}`,
        readiness: `${LOOPBACK}:${ports[1]}`,
        metrics: `${LOOPBACK}:${ports[2]}`,
      },
      store: {address: storeAddress},
      machineService: {address: ''},
      adviceService: {address: ''},
      bounds: {
        maxLeaseMs: BOUNDS.maxHoldMs,
        stopMs: BOUNDS.stopMs,
        gangWaitMs: 3000,
        overTargetMs: 4000,
        unavailableNoticeMs: 4500,
        drainMs: 2500,
        shutdownGraceSeconds: BOUNDS.graceMs / 1000,
        keepEndedSeconds: 120,
      },
      ...overrides,
    };
    const file = join(this.folder, `${settings.nodeId}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const node = {id: settings.nodeId, port: ports[0], file, settings};
    node.agent = new Agent({keepAlive: true, maxSockets: 64});
    this.nodes.push(node);
    return node;
  }

  start(node, logFile = join(this.folder, `${node.id}.log`)) {
    const log = openSync(logFile, 'a');
    node.logFile = logFile;
    node.child = spawn(
      process.execPath,
      [
        '--max-semi-space-size=32',
        '--max-old-space-size=160',
        '--single-threaded',
        'target/mustardlug-node.cjs',
      ],
      {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          MUSTARDLUG_CONFIG: node.file,
        },
        stdio: ['ignore', log, log],
      },
    );
    closeSync(log);
    const {child} = node;
    child.once('exit', (code, signal) => {
      if (node.child === child) node.child = undefined;
      node.lastExit = {code, signal};
      this.onExit?.(node, code, signal);
    });
  }

  async stopAll() {
    this.onExit = undefined;
    for (const node of this.nodes) {
      const {child} = node;
      node.agent.destroy();
      if (child === undefined) continue;
      const ended = new Promise(resolve => child.once('exit', resolve));
      child.kill('SIGKILL');
      await ended;
    }
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Sends a client's request; without a response, `status` is undefined. */
export function call(node, method, path, options = {}) {
  const {host = 'desk.example', body, timeoutMs = 3000} = options;
  return new Promise(resolve => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const req = request(
      {
        host: LOOPBACK,
        port: node.port,
        method,
        path,
        agent: node.agent,
        headers: {
          host,
          'deadline-milliseconds': String(timeoutMs),
          ...(text !== undefined && {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(text),
          }),
        },
      },
      res => {
        readBody(res).then(
          answer => {
            clearTimeout(timer);
            let json = undefined;
            try {
              json = JSON.parse(answer);
            } catch {
              json = undefined;
            }
            resolve({status: res.statusCode, json});
          },
          () => resolve({status: undefined}),
        );
      },
    );
    const timer = setTimeout(() => {
      req.destroy();
      resolve({status: undefined});
    }, timeoutMs);
    req.on('error', () => {
      clearTimeout(timer);
      resolve({status: undefined});
    });
    req.end(text);
  });
}

export function createConfig(service, routes) {
  return {
    version: 7,
    routes: routes.map(route => ({
      host: 'desk.example',
      kind: 'unsafe',
      timeout_ms: 3000,
      target_duration_ms: 1000,
      priority: 0,
      service,
      max_attempts: 3,
      stretch: 2,
      ...route,
    })),
    services: [
      {
        name: service,
        health_path: '/health',
        max_connections: 64,
        protocol: 'h1',
        tls: false,
        enforces_capacity: true,
        spare: false,
      },
    ],
    limits: {
      header_bytes: 16384,
      body_bytes: 262144,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
  };
}

/**
 * The tasks of gangs: they work from the moment when all of one run are present, and
 * end together. `info.gang` of a task holds `count` and `durationMs`.
 */
export class Gangs {
  gangs = new Map();

  /** Called when a worker has started a member. */
  join(worker, active) {
    const {gang} = active.info;
    const key = `${active.task.slice(0, active.task.lastIndexOf('.'))}#${active.run}`;
    const state = this.gangs.get(key) ?? {members: []};
    this.gangs.set(key, state);
    active.gangState = state;
    state.members.push({worker, active});
    active.timer = setTimeout(() => worker.end(active, 'alone'), 3000);
    if (state.members.length < gang.count) return;
    state.workingMs = now();
    for (const each of state.members) clearTimeout(each.active.timer);
    const failing = state.members.filter(each => each.worker.isFailing);
    state.timer =
      failing.length > 0
        ? setTimeout(() => this.finish(state, failing, 'failed'), 300)
        : setTimeout(
            () => this.finish(state, state.members, 'done'),
            gang.durationMs - this.getRestoredMs(state),
          );
  }

  getRestoredMs({members}) {
    const counts = members.map(({active}) =>
      Number(active.saved.split('-')[1]),
    );
    const count = Math.min(...counts.map(each => each || 0));
    return Math.max(0, count * BOUNDS.checkpointMs - BOUNDS.restoreMs);
  }

  /** Ends the members that end by themselves; the others end `broken`. */
  finish(state, members, how) {
    clearTimeout(state.timer);
    if (state.isOver) return;
    state.isOver = true;
    for (const {worker, active} of members) worker.end(active, how);
    for (const {worker, active} of state.members)
      if (worker.isUp) worker.end(active, 'broken');
  }

  /** Called when a member has ended in another way. */
  leave(active) {
    const state = active.gangState;
    if (state?.workingMs !== undefined) this.finish(state, [], 'broken');
  }

  /** The value that every member of the run has produced by now. */
  getSaved({gangState, saved, run}) {
    if (gangState?.workingMs === undefined) return saved;
    const base = Number(saved.split('-')[1]) || 0;
    const worked = Math.floor(
      (now() - gangState.workingMs) / BOUNDS.checkpointMs,
    );
    return worked === 0 ? saved : `${run}-${base + worked}`;
  }
}
