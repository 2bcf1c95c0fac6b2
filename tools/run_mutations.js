/**
 * Mutation testing: disables one safeguard at a time in a copy of the compiled
 * code, runs the test file that covers it and prints the number of failing
 * tests. A mutation without failing tests has survived.
 *
 * Usage: node tools/run_mutations.js [name of a mutation]
 */

import {spawnSync} from 'node:child_process';
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const REQUESTS = 'packages/experiments/dist/test/request_fault_matrix.test.js';
const LEASES = 'packages/experiments/dist/test/requests_under_leases.test.js';
const TASKS = 'packages/experiments/dist/test/task_fault_matrix.test.js';
const FENCING = 'packages/experiments/dist/test/lease_fencing.test.js';
const BATCH = 'packages/experiments/dist/test/batch_work.test.js';
const DOCUMENT = 'packages/document/dist/test/document_store.test.js';
const EVACUATIONS = 'packages/document/dist/test/evacuations.test.js';
const REQUEST_EVACUATION =
  'packages/experiments/dist/test/request_evacuation.test.js';
const TASK_EVACUATION =
  'packages/experiments/dist/test/task_evacuation.test.js';
const COMMITTER = 'packages/standins/dist/test/group_committer.test.js';

/** Safeguards: the code to find, its replacement, and the test file that must fail. */
const MUTATIONS = [
  {
    name: 'idempotency keys are not recorded',
    file: 'routing/dist/src/request_coordinator.js',
    find: 'if (request.idempotencyKey === undefined)',
    replace: 'if (true)',
    test: REQUESTS,
  },
  {
    name: 'a request with a claimed idempotency key is executed again',
    file: 'routing/dist/src/idempotency_records.js',
    find: "if (state === 'claimed')",
    replace:
      "if (state === 'claimed') return createClaimedResult(row.key, row.revision);\n        if (false)",
    test: REQUESTS,
  },
  {
    name: 'an idempotency key is released although the outcome is unknown',
    file: 'routing/dist/src/request_coordinator.js',
    find: "if (answer.outcome === 'not-run')\n            void records.release",
    replace: "if (answer.outcome !== 'ran')\n            void records.release",
    test: REQUESTS,
  },
  {
    name: 'a holder reports a request in progress as not run',
    file: 'routing/dist/src/request_tracker.js',
    find: "return { state: 'in-progress' };",
    replace: "return { state: 'not-run' };",
    test: REQUESTS,
  },
  {
    name: 'requests with an unknown outcome are retried on another holder',
    file: 'routing/dist/src/request_coordinator.js',
    find: "answer.outcome === 'not-run' || isReadOnlyRequest(request)",
    replace: 'true',
    test: REQUESTS,
  },
  {
    name: 'unresponsive peer connections are not detected',
    file: 'protocol/dist/src/peer_channel.js',
    find: 'if (this.isSilent()) {',
    replace: 'if (false) {',
    test: LEASES,
  },
  {
    name: 'leaving workers still receive requests',
    file: 'routing/dist/src/slot_table.js',
    find: 'replica === undefined || status.isLeaving',
    replace: 'replica === undefined',
    test: LEASES,
  },
  {
    name: 'workers accept any lease epoch and leases never expire',
    file: 'standins/dist/src/worker_model.js',
    find: 'if (this.isOtherBoot(token))\n            return false;',
    replace: 'return true;',
    also: {
      file: 'membership/dist/src/worker_lease.js',
      find: 'return this.clock.getMonotonicMs() < this.validUntilMs;',
      replace: 'return true;',
    },
    test: FENCING,
  },
  {
    name: 'calls that name another boot of a worker are executed',
    file: 'standins/dist/src/worker_model.js',
    find: 'return bootId !== undefined && bootId !== this.bootId;',
    replace: 'return false;',
    test: FENCING,
  },
  {
    name: 'rows are not re-read after a lease is granted',
    file: 'scheduling/dist/src/task_scheduler.js',
    find: 'if (!view.isSynced || !view.lease.isValid())\n            return;',
    replace: '',
    test: FENCING,
  },
  {
    name: 'the end of an attempt is acknowledged although its row was not written',
    file: 'scheduling/dist/src/task_scheduler.js',
    find: 'const isWritten = await this.writer.writeRecord(task, next);\n        if (!isWritten)\n            return;\n        this.stopping.delete(taskId);',
    replace:
      'void this.writer.writeRecord(task, next);\n        this.stopping.delete(taskId);',
    test: TASKS,
  },
  {
    name: 'a new attempt reuses the number of the previous one',
    file: 'scheduling/dist/src/task_scheduler.js',
    find: 'const attempt = task.record.attempt + 1',
    replace: 'const attempt = task.record.attempt',
    test: TASKS,
  },
  {
    name: 'bindings to a previous boot of a worker are kept',
    file: 'scheduling/dist/src/task_scheduler.js',
    find: 'if (record.bootId !== view.lease.getStatus().bootId)',
    replace: 'if (false)',
    test: TASKS,
  },
  {
    name: 'tasks stay bound to workers that no longer exist',
    file: 'scheduling/dist/src/task_scheduler.js',
    find: 'this.unbindFromGoneWorkers();',
    replace: '',
    test: TASKS,
  },
  {
    name: 'checkpoints are not recorded',
    file: 'scheduling/dist/src/attempt_records.js',
    find: '...(checkpoint !== undefined && { checkpoint }),',
    replace: '',
    test: BATCH,
  },
  {
    name: 'worker capacity is not checked',
    file: 'scheduling/dist/src/worker_view.js',
    find: 'return (this.usedCores + amount.cores <= cores + CORE_EPSILON &&',
    replace: 'return (true ||',
    test: TASKS,
  },
  {
    name: 'the row is not read back after an uncertain conflict',
    file: 'platform/dist/src/retrying_committer.js',
    find: 'if (!isUncertain)\n                    return outcome;',
    replace: 'return outcome;',
    also: {
      file: 'platform/dist/src/group_committer.js',
      find: 'row.value?.value.writeToken !== first.value.writeToken',
      replace: 'true',
    },
    test: COMMITTER,
  },
  {
    name: 'an older environment document replaces a newer one',
    file: 'document/dist/src/document_follower.js',
    find: 'if (version <= this.getVersion())\n            return false;',
    replace: '',
    test: DOCUMENT,
  },
  {
    name: 'a document is promoted without a trial',
    file: 'document/dist/src/document_store.js',
    find: 'if (accepted.value === undefined) {',
    replace: 'if (false) {',
    test: DOCUMENT,
  },
  {
    name: 'evacuations are not ordered by a guard row',
    file: 'document/dist/src/evacuation_store.js',
    find: "{ kind: 'put', key: GUARD_KEY, value, expectedRevision: guardRevision },",
    replace: '',
    test: EVACUATIONS,
  },
  {
    name: 'entries of an evacuated domain still dispatch requests',
    file: 'routing/dist/src/evacuation_gate.js',
    find: 'domains.includes(failureDomain)',
    replace: 'false',
    test: REQUEST_EVACUATION,
  },
  {
    name: 'holders of an evacuated domain are still chosen',
    file: 'routing/dist/src/holder_directory.js',
    find: 'if (this.evacuatedDomains.has(peer.hello.failureDomain))',
    replace: 'if (false)',
    test: REQUEST_EVACUATION,
  },
  {
    name: 'tasks that are bound start in an evacuated domain',
    file: 'scheduling/dist/src/task_scheduler.js',
    find: "if (service !== 'in-service')",
    replace: 'if (false)',
    test: TASK_EVACUATION,
    also: {
      file: 'scheduling/dist/src/task_scheduler.js',
      find: "if (service === 'evacuated')",
      replace: 'if (false)',
    },
  },
  {
    name: 'an evacuation stops attempts that have just started',
    file: 'scheduling/dist/src/task_scheduler.js',
    find: 'if (this.starts.isStarted(view.workerId, task.record))\n            return;',
    replace: '',
    test: TASK_EVACUATION,
  },
  {
    name: 'tasks are placed before the evacuations have been read',
    file: 'scheduling/dist/src/fleet.js',
    find: "return 'unknown';",
    replace: "return 'in-service';",
    test: TASK_EVACUATION,
  },
];

const TIMEOUT_MS = 300_000;

/** Applies a mutation to one file of the copy; throws if the code to replace is not found. */
function applyEdit(folder, {file, find, replace}) {
  const path = join(folder, 'packages', file);
  const text = readFileSync(path, 'utf8');
  if (!text.includes(find))
    throw new Error(`${file} does not contain "${find}"; update the mutation`);
  writeFileSync(path, text.replace(find, replace));
}

function runMutation(mutation) {
  const folder = mkdtempSync(join(tmpdir(), 'mustardlug-mutation-'));
  try {
    cpSync('packages', join(folder, 'packages'), {recursive: true});
    cpSync('examples', join(folder, 'examples'), {recursive: true});
    cpSync('node_modules', join(folder, 'node_modules'), {
      recursive: true,
      verbatimSymlinks: true,
    });
    applyEdit(folder, mutation);
    if (mutation.also !== undefined) applyEdit(folder, mutation.also);
    const run = spawnSync(
      process.execPath,
      ['node_modules/mocha/bin/mocha.js', '--timeout', '60000', mutation.test],
      {cwd: folder, timeout: TIMEOUT_MS, encoding: 'utf8'},
    );
    const failing = /(\d+) failing/.exec(run.stdout)?.[1];
    return failing ?? (run.status === 0 ? '0' : 'terminated early');
  } finally {
    rmSync(folder, {recursive: true});
  }
}

let survivors = 0;
const [, , selectedName] = process.argv;
for (const mutation of MUTATIONS) {
  if (selectedName !== undefined && mutation.name !== selectedName) continue;
  const failing = runMutation(mutation);
  if (failing === '0') survivors++;
  console.log(
    `| ${mutation.name} | \`${mutation.test.split('/').pop()}\` | ${failing} |`,
  );
}
console.log(`${survivors} mutations survived`);
