/**
 * A worker is lost for good, and within a second all node processes are killed and
 * started again. The tasks that lasted on that worker must run again soon.
 */

import {randomBytes} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import {setTimeout} from 'node:timers';
import {URL} from 'node:url';
import {
  call,
  createConfig,
  Nodes,
  now,
  sleep,
  Store,
  Worker,
} from '../lib/standins.js';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const WORKERS = 12;
const LOST = 1;
const LASTING_TASKS = 6;
const LOST_AT_S = 14;
/** Time from the loss of the worker to that of the node processes. */
const KILL_AFTER_S = 0.9;
/** Time from the end of a process to its next start. */
const RESTART_AFTER_S = 1;
const END_S = 36;
/** Rule LOST: from 6 s after its last run, a task must not be without one for 3 s. */
const RESTART_S = 6;
const ABSENT_S = 3;
/** The 3 s, and the 4 s before them, have to be calm. */
const CALM_S = 4;

const lines = [];
const startMs = now();
const log = text =>
  lines.push(`${((now() - startMs) / 1000).toFixed(3)} ${text}`);

const hold = {cpu: 13000, mem_mb: 26000};
const absentSinceMs = new Map();
const ledger = {
  started: (worker, {task, run}) => {
    absentSinceMs.set(task, undefined);
    log(`run ${task} ${run} starts on ${worker.id}`);
  },
  ended: (worker, {task, run}, how) => {
    absentSinceMs.set(task, now());
    log(`run ${task} ${run} ends on ${worker.id}: ${how}`);
  },
};

async function submit(nodes, id, body) {
  for (let tries = 0; tries < 10; tries++) {
    const node = nodes[tries % nodes.length];
    const {status} = await call(node, 'POST', `/hold/${id}`, {body});
    log(`POST /hold/${id} at ${node.id}: ${status}`);
    if (status === 200) return true;
    await sleep(300);
  }
  return false;
}

async function main() {
  const store = await Store.start();
  store.put(
    'op',
    'config',
    createConfig('desk', [
      {name: 'r-hold', path_prefix: '/hold/', target_duration_ms: 2500},
    ]),
  );
  const workers = [];
  for (let index = 0; index < WORKERS; index++) {
    const worker = new Worker({
      id: `i-${randomBytes(4).toString('hex')}`,
      service: 'desk',
      store,
      getTask: () => hold,
      ledger,
      log,
      labels: ['a', `r1-${Math.floor(index / 8)}`],
    });
    await worker.start();
    workers.push(worker);
  }
  const fleet = new Nodes();
  fleet.onExit = (node, code, signal) =>
    log(`node ${node.id} ended: ${signal ?? code}`);
  for (let index = 0; index < 3; index++)
    fleet.start(await fleet.add(store.address));
  const {nodes} = fleet;
  let isBroken = false;
  let couldRun = false;
  try {
    await sleep(8000);
    const id = randomBytes(8).toString('hex');
    couldRun = await submit(nodes, id, {
      specification: `job ${id}`,
      steps: [{...hold, count: LASTING_TASKS, long_running: true}],
    });
    await sleep(LOST_AT_S * 1000 - (now() - startMs));
    let calmMs = now();
    if (HAS_TROUBLE) {
      const lost = [...workers]
        .sort((left, right) => right.runs.size - left.runs.size)
        .slice(0, LOST);
      for (const worker of lost) worker.crash();
      log(`${LOST} of ${WORKERS} workers is lost for good`);
      await sleep(KILL_AFTER_S * 1000);
      log('all node processes are killed');
      for (const {child} of nodes) child?.kill('SIGKILL');
      await sleep(RESTART_AFTER_S * 1000);
      for (const node of nodes) fleet.start(node);
      log('all node processes are started again');
      calmMs = now();
    }
    const reported = new Set();
    while (now() - startMs < END_S * 1000) {
      const nowMs = now();
      for (const [task, sinceMs] of absentSinceMs) {
        if (sinceMs === undefined || reported.has(task)) continue;
        if (nowMs - calmMs < (CALM_S + ABSENT_S) * 1000) continue;
        if (nowMs - sinceMs < (RESTART_S + ABSENT_S) * 1000) continue;
        const empty = workers.filter(each => each.isUp && each.runs.size === 0);
        // There has to be capacity for it twice over.
        if (empty.length < 2) continue;
        reported.add(task);
        isBroken = true;
        log(
          `BROKEN: ${task} has had no run for ${((nowMs - sinceMs) / 1000).toFixed(1)} s, the nodes have been running for ${((nowMs - calmMs) / 1000).toFixed(1)} s, ${empty.length} workers are up and empty`,
        );
      }
      await sleep(100);
    }
    couldRun &&= absentSinceMs.size === LASTING_TASKS;
    const {status, json} = await call(nodes[1], 'GET', `/hold/${id}`);
    log(`GET /hold/${id}: ${status} ${JSON.stringify(json)}`);
  } finally {
    await fleet.stopAll();
    for (const worker of workers) worker.close();
    store.close();
  }
  const result = !couldRun ? 2 : isBroken ? 1 : 0;
  log(`exit ${result}`);
  writeFileSync(
    new URL('record.txt', import.meta.url),
    lines.join('\n') + '\n',
  );
  setTimeout(() => process.exit(result), 500);
}

try {
  await main();
} catch (error) {
  log(`the case could not run: ${error.stack}`);
  writeFileSync(
    new URL('record.txt', import.meta.url),
    lines.join('\n') + '\n',
  );
  process.exit(2);
}
