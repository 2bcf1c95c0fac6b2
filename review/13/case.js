/** A worker crashes under a gang; all members of its next run must be told the same `saved`. */

import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {runCase, sleep, until} from '../lib-3/world.js';

const MEMBERS = 4;
const WORK_MS = 20_000;

/** Crashes of the worker of one member, one after the other. */
const CRASHES = 5;

/** Work of a run of the gang after which a worker crashes, and the time for which it is down. */
const CRASH_MS = 3_100;
const DOWN_MS = 2_000;

async function play(world, isTrouble) {
  const savedByRun = new Map();
  world.onStart = (_worker, run, {saved}) => {
    const gang = `${run.task.slice(0, run.task.lastIndexOf('.'))} run ${run.run}`;
    const values = savedByRun.get(gang) ?? new Set();
    savedByRun.set(gang, values.add(saved));
    if (values.size > 1)
      world.violate('UNASKED', {
        gang,
        what: 'the members of one run were told different `saved`',
        values: [...values],
      });
  };
  const step = {
    count: MEMBERS,
    cpu: 9000,
    mem_mb: 1000,
    estimated_ms: WORK_MS,
    checkpointing: true,
    gang: true,
  };
  const job = await world.submit({specification: 'sheet', steps: [step]});
  if (!job.isAccepted) return 'the job was not accepted';
  const getRuns = () =>
    world.workers.flatMap(worker => [...worker.runs.values()]);
  for (let crash = 0; crash < (isTrouble ? CRASHES : 1); crash++) {
    const isAtWork = await until(
      () =>
        getRuns().length === MEMBERS &&
        getRuns().every(({beganMs}) => beganMs !== undefined),
      12_000,
    );
    if (!isAtWork) return 'the gang was not at work in time';
    await sleep(CRASH_MS);
    if (isTrouble) getRuns()[crash % MEMBERS].worker.crash(DOWN_MS);
  }
  const isDone = await until(
    async () => (await world.getState(job.id)) === 'completed',
    40_000,
    300,
  );
  world.note('state', {job: job.id, state: await world.getState(job.id)});
  return isDone ? undefined : 'the job was not completed in time';
}

await runCase({
  rule: 'UNASKED',
  folder: dirname(fileURLToPath(import.meta.url)),
  options: {workers: 8, nodes: 3},
  play,
});
