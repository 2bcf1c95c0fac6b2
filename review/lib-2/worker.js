/**
 * Stand-in for workers, written after PROTOCOL.md ("Running tasks", "Service
 * discovery"). One object is a machine; each life has its own process state.
 */

import {createServer} from 'node:http';
import {setTimeout, clearTimeout} from 'node:timers';
import {performance} from 'node:perf_hooks';

const MAX_ENDS = 500;
const MAX_WAIT_MS = 2_000;
const MISSED_HEARTBEATS = 3;

/** What all workers of a deployment share: the behaviour of tasks, gangs and the record. */
export class Fleet {
  constructor({store, record, bounds, heartbeatMs, behave}) {
    this.store = store;
    this.record = record;
    this.bounds = bounds;
    this.heartbeatMs = heartbeatMs;
    /** Returns {ms, how, lasts, cpu, memMb, gpu, gangSize} of a run. */
    this.behave = behave;
    this.workers = [];
    /** Runs that are present, by gang (ID.K.STEP and run). */
    this.gangs = new Map();
  }

  async add(options) {
    const worker = new Worker(this, options);
    await worker.listen();
    worker.begin();
    this.workers.push(worker);
    return worker;
  }

  joinGang(run) {
    const members = this.gangs.get(run.gangKey) ?? new Set();
    this.gangs.set(run.gangKey, members);
    members.add(run);
    if (members.size < run.gangSize) {
      run.timer = setTimeout(
        () => run.worker.endRun(run, 'alone'),
        this.bounds.gang_ms,
      );
      return;
    }
    for (const member of members) {
      clearTimeout(member.timer);
      member.isWorking = true;
      member.worker.scheduleEnd(member);
    }
  }

  /** Ends the others of a gang when one has ended. */
  leaveGang(run, how) {
    const members = this.gangs.get(run.gangKey);
    if (members === undefined) return;
    members.delete(run);
    if (members.size === 0) this.gangs.delete(run.gangKey);
    if (how === 'alone' || !run.isWorking) return;
    for (const member of [...members])
      member.worker.endRun(member, how === 'done' ? 'done' : 'broken');
  }

  close() {
    for (const worker of this.workers) worker.close();
  }
}

export class Worker {
  constructor(fleet, {id, service, zone, labels, cpu, memMb, gpu = 0}) {
    this.fleet = fleet;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.labels = labels;
    this.capacity = {cpu, mem_mb: memMb, gpu};
    this.isUp = false;
    this.sockets = new Set();
    this.runs = new Map();
  }

  /** Listens; the address stays the same over all lives. */
  async listen() {
    this.server = createServer((request, response) =>
      this.handle(request, response),
    );
    this.server.keepAliveTimeout = 120_000;
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => undefined);
      if (!this.isUp) socket.destroy();
    });
    await new Promise(resolve =>
      this.server.listen(this.port ?? 0, '127.0.0.1', resolve),
    );
    this.port = this.server.address().port;
  }

  /** Begins a life, which knows nothing of the ones before. */
  begin() {
    this.isUp = true;
    this.bornMs = Date.now();
    this.startMs = performance.now();
    this.sequence = 0;
    this.number = 0;
    this.ended = [];
    this.closedRuns = new Map();
    this.fence = 0;
    this.deadlineMs = 0;
    this.waiters = new Set();
    clearTimeout(this.removalTimer);
    this.log('worker-began', {born: this.bornMs});
    this.beat();
  }

  /** Ends the life at once: its runs are gone, its channels reset. */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    clearTimeout(this.beatTimer);
    clearTimeout(this.leaseTimer);
    for (const run of [...this.runs.values()]) {
      this.runs.delete(run.task);
      clearTimeout(run.timer);
      this.log('run-ended', {task: run.task, run: run.number, how: 'crashed'});
      if (run.gangSize > 0) this.fleet.leaveGang(run, 'crashed');
    }
    for (const socket of this.sockets) socket.destroy();
    for (const wake of [...this.waiters]) wake();
    this.log('worker-crashed', {});
    this.removalTimer = setTimeout(
      () => this.fleet.store.remove(this.getRow()),
      MISSED_HEARTBEATS * this.fleet.heartbeatMs,
    );
  }

  close() {
    this.isUp = false;
    clearTimeout(this.beatTimer);
    clearTimeout(this.leaseTimer);
    clearTimeout(this.removalTimer);
    for (const run of this.runs.values()) clearTimeout(run.timer);
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  log(event, fields) {
    this.fleet.record.add(event, {worker: this.id, ...fields});
  }

  getRow() {
    return {table: 'servers', part: '', key: this.id};
  }

  beat() {
    this.fleet.store.put(this.getRow(), {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: '1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: ++this.sequence,
      capacity: this.capacity,
      labels: this.labels,
      born: this.bornMs,
    });
    this.beatTimer = setTimeout(() => this.beat(), this.fleet.heartbeatMs);
  }

  getClockMs() {
    return Math.round(performance.now() - this.startMs) + 1_000;
  }

  async handle(request, response) {
    const {bornMs} = this;
    let text = '';
    try {
      for await (const chunk of request) text += chunk;
    } catch {
      return;
    }
    if (!this.isUp || this.bornMs !== bornMs) return;
    const answer = (status, fields = {}) => {
      if (!this.isUp || this.bornMs !== bornMs) return;
      const stamp = {clock_ms: this.getClockMs(), born: this.bornMs};
      const body = JSON.stringify({...stamp, ...fields});
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(body);
    };
    const expected = request.headers['expected-instance'];
    if (expected !== undefined && expected !== this.id) return answer(421);
    const body = JSON.parse(text === '' ? '{}' : text);
    const fence = body.fencing_token ?? 0;
    if (fence < this.fence) return answer(409, {reason: 'fence'});
    this.fence = fence;
    switch (request.url) {
      case '/v1/run-start': {
        const reason = this.start(body);
        return reason === undefined ? answer(200) : answer(409, {reason});
      }
      case '/v1/run-stop':
        this.stop(body);
        return answer(200);
      case '/v1/pace':
        return answer(200);
      case '/v1/hold':
        await this.hold(body);
        return answer(200, {
          capacity: this.capacity,
          labels: this.labels,
          running: [...this.runs.values()].map(run => this.toRow(run)),
          ended: this.ended.slice(0, MAX_ENDS),
        });
      default:
        return answer(404);
    }
  }

  start({task, run: number, deadline_ms: deadlineMs}) {
    const present = this.runs.get(task);
    if (present?.number === number && !present.isStopping) return undefined;
    if (deadlineMs <= this.getClockMs()) return 'late';
    this.extend(deadlineMs);
    const closed = this.closedRuns.get(task) ?? 0;
    if (number <= Math.max(closed, present?.number ?? 0)) return 'old';
    const behaviour = this.fleet.behave(task, number, this);
    if (present !== undefined || !this.hasRoom(behaviour)) return 'room';
    const run = {
      worker: this,
      task,
      number,
      ...behaviour,
      gangSize: behaviour.gangSize ?? 0,
      gangKey: `${task.split('.').slice(0, 3).join('.')}#${number}`,
      startedMs: performance.now(),
      isWorking: (behaviour.gangSize ?? 0) === 0,
    };
    this.runs.set(task, run);
    this.log('run-began', {task, run: number});
    if (run.gangSize > 0) this.fleet.joinGang(run);
    else this.scheduleEnd(run);
    return undefined;
  }

  scheduleEnd(run) {
    if (!Number.isFinite(run.ms)) return;
    run.timer = setTimeout(() => this.endRun(run, run.how), run.ms);
  }

  hasRoom({cpu = 0, memMb = 0, gpu = 0}) {
    const free = {...this.capacity};
    for (const run of this.runs.values()) {
      free.cpu -= run.cpu ?? 0;
      free.mem_mb -= run.memMb ?? 0;
      free.gpu -= run.gpu ?? 0;
    }
    return cpu <= free.cpu && memMb <= free.mem_mb && gpu <= free.gpu;
  }

  stop({task, run: number}) {
    const present = this.runs.get(task);
    const closed = this.closedRuns.get(task) ?? 0;
    this.closedRuns.set(task, Math.max(closed, number));
    if (present === undefined || present.number > number) return;
    if (present.isStopping) return;
    present.isStopping = true;
    clearTimeout(present.timer);
    present.timer = setTimeout(
      () => this.endRun(present, 'stopped'),
      this.fleet.bounds.stop_ms / 2,
    );
  }

  async hold({deadline_ms: deadlineMs, last_seen: lastSeen = 0, wait_ms}) {
    if (deadlineMs !== undefined) this.extend(deadlineMs);
    const noted = this.ended.filter(([number]) => number <= lastSeen);
    for (const [, task, run, how] of noted)
      this.log('end-noted', {task, run, how});
    this.ended = this.ended.filter(([number]) => number > lastSeen);
    const waitMs = Math.min(wait_ms ?? 0, MAX_WAIT_MS);
    if (waitMs === 0 || this.ended.length > 0) return;
    await new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.waiters.add(wake);
    });
  }

  extend(deadlineMs) {
    const limitMs = this.getClockMs() + this.fleet.bounds.max_hold_ms;
    const untilMs = Math.min(deadlineMs, limitMs);
    if (untilMs <= this.deadlineMs) return;
    this.deadlineMs = untilMs;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => {
      for (const run of [...this.runs.values()]) this.endRun(run, 'lapsed');
    }, untilMs - this.getClockMs());
  }

  endRun(run, how) {
    if (this.runs.get(run.task) !== run) return;
    clearTimeout(run.timer);
    this.runs.delete(run.task);
    const closed = this.closedRuns.get(run.task) ?? 0;
    this.closedRuns.set(run.task, Math.max(closed, run.number));
    this.ended.push([++this.number, run.task, run.number, how, '']);
    this.log('run-ended', {task: run.task, run: run.number, how});
    for (const wake of [...this.waiters]) wake();
    if (run.gangSize > 0) this.fleet.leaveGang(run, how);
  }

  toRow(run) {
    const ageMs = performance.now() - run.startedMs;
    const percent = Math.floor((100 * ageMs) / run.ms);
    return run.lasts
      ? [run.task, run.number, '', run.isWorking ? 100 : 0, 1]
      : [run.task, run.number, '', Math.min(99, percent), run.cpu ?? 0];
  }
}
