/** The settings change while nodes start; the SIGHUP that says so must not end their processes. */

import {writeFileSync} from 'node:fs';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {runCase, sleep, until} from '../lib-3/world.js';

/** Settings changes during the restart of a machine, one machine at a time. */
const CHANGES = 4;

/** Time from the start of a process until its settings change; processes take longer to start. */
const CHANGE_MS = 100;

/** Delay after which the platform starts a process that has ended again. */
const RESTART_MS = 1_000;

/** Interval of the changes, over a second, so that no end is near the planned restart or a start of it. */
const INTERVAL_MS = RESTART_MS + CHANGE_MS;

/** Ends by themselves, and the machines that they are counted on, from which the rule is broken. */
const MAX_ENDS = 3;
const MIN_MACHINES = 2;

async function restart(world, node, isTrouble) {
  const {starts} = node;
  node.signal('SIGTERM', true);
  await until(() => node.starts > starts, 9_000, 5);
  await sleep(CHANGE_MS);
  for (let change = 0; isTrouble && change < CHANGES; change++) {
    writeFileSync(node.file, `${node.settings}\n`);
    node.signal('SIGHUP');
    await sleep(INTERVAL_MS);
  }
  const isReady = await until(() => node.isReady(), 8_000, 50);
  world.note('restarted', {node: node.name, ready: isReady});
}

async function play(world, isTrouble) {
  const jobs = [];
  for (const node of world.nodes) {
    const steps = [{count: 2, cpu: 1000, mem_mb: 500, estimated_ms: 500}];
    jobs.push(await world.submit({specification: 'confirm', steps}));
    await restart(world, node, isTrouble);
    await sleep(1_000);
  }
  if (jobs.some(({isAccepted}) => !isAccepted)) return 'a job was not accepted';
  const machines = [];
  for (const {name, exits} of world.nodes) {
    const own = exits.filter(({isAsked}) => !isAsked);
    const signals = own.map(({code, signal}) => signal ?? code);
    if (own.length >= MAX_ENDS) machines.push({name, signals});
  }
  if (machines.length >= MIN_MACHINES)
    world.violate('Fault', {
      what: 'processes ended by themselves three times on two machines or more',
      machines,
    });
  return undefined;
}

await runCase({
  rule: 'Fault',
  folder: dirname(fileURLToPath(import.meta.url)),
  options: {workers: 4, nodes: 4},
  worldOptions: {restartMs: RESTART_MS},
  play,
});
