/**
 * Demo: runs load and batch jobs on a simulated environment and kills one entry
 * meanwhile.
 */

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {randomBytes} from 'node:crypto';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Clock} from '@mustardlug/base/clock';
import {LoadReport, LoadRunner} from '@mustardlug/load/load_runner';
import {parseEnvironmentDocument} from '@mustardlug/document/environment_document';
import {TaskRecord} from '@mustardlug/scheduling/task_record';
import {InProcessDeployment} from './in_process_deployment.js';
import {EnvironmentLayout} from './environment_layout.js';

/** Options of the demo. */
export interface DemoOptions {
  readonly layout: EnvironmentLayout;
  readonly documentText: string;
  readonly clock: Clock;
  readonly seed: number;
  readonly durationMs: number;
  readonly ratePerS: number;
  /** Called for each line of output. */
  readonly onLine: (line: string) => void;
}

const BATCH_TIMEOUT_MS = 180_000;
const POLL_INTERVAL_MS = 250;
const USAGE_INTERVAL_MS = 5_000;
/** Fraction of the requests that carry an idempotency key. */
const KEYED_FRACTION = 0.3;
const READ_FRACTION = 0.4;
const MAX_BODY_BYTES = 65_536;
const REQUEST_TIMEOUT_MS = 8_000;
/** Fraction of the duration after which an entry is killed. */
const KILL_AT_FRACTION = 0.4;

/**
 * Runs the demo.
 * @param options - Environment, load and output.
 * @returns Whether all checks passed.
 */
export async function runDemo(options: DemoOptions): Promise<boolean> {
  const folder = mkdtempSync(join(tmpdir(), 'mustardlug-demo-'));
  const keyFile = join(folder, 'keys.txt');
  writeFileSync(keyFile, randomBytes(32).toString('hex'), {mode: 0o600});
  const deployment = InProcessDeployment.create({
    ...options,
    keyFile,
    usageIntervalMs: USAGE_INTERVAL_MS,
  });
  try {
    return await runScenario(deployment, options);
  } finally {
    deployment.stop();
    rmSync(folder, {recursive: true});
  }
}

async function runScenario(
  deployment: InProcessDeployment,
  options: DemoOptions,
): Promise<boolean> {
  const {clock, onLine, documentText} = options;
  const document = parseEnvironmentDocument(documentText);
  if (document.isErr()) throw new Error(document.error.message);
  const [service] = document.value.services;
  await deployment.start();
  onLine(
    `started ${deployment.entries.size} entries, ${deployment.schedulers.size} schedulers, ${deployment.environment.workers.size} workers`,
  );
  const slots = service.replicas * service.slotsPerReplica;
  const hasAllSlots = await deployment.waitForSlots(service.name, slots);
  onLine(
    `${service.name}: ${hasAllSlots ? 'all' : 'not all'} ${slots} slots are available`,
  );
  clock.setTimer(options.durationMs * KILL_AT_FRACTION, () =>
    killEntry(deployment, onLine),
  );
  const report = await LoadRunner.create(
    {
      targets: deployment.getTargets(),
      service: service.name,
      ratePerS: options.ratePerS,
      durationMs: options.durationMs,
      seed: options.seed,
      maxBodyBytes: MAX_BODY_BYTES,
      keyedFraction: KEYED_FRACTION,
      readFraction: READ_FRACTION,
      timeoutMs: REQUEST_TIMEOUT_MS,
      onProgress: (sent, total) => onLine(`requests: ${sent} of ${total}`),
    },
    clock,
  ).run();
  const batch = await waitForBatchTasks(deployment, clock, onLine);
  return printReport(deployment, report, batch, onLine);
}

function killEntry(
  deployment: InProcessDeployment,
  onLine: (line: string) => void,
): void {
  const [nodeId, entry] = [...deployment.entries][0];
  entry.kill();
  deployment.schedulers.get(nodeId)?.kill();
  onLine(`killed ${nodeId} and its scheduler without draining`);
}

/** Number of all and of completed batch tasks, and their evictions. */
interface BatchTaskCounts {
  readonly total: number;
  readonly done: number;
  readonly evictions: number;
}

async function waitForBatchTasks(
  deployment: InProcessDeployment,
  clock: Clock,
  onLine: (line: string) => void,
): Promise<BatchTaskCounts> {
  const deadlineMs = clock.getMonotonicMs() + BATCH_TIMEOUT_MS;
  let counts = countBatchTasks(deployment);
  let lastDone = -1;
  while (counts.done < counts.total && clock.getMonotonicMs() < deadlineMs) {
    if (counts.done !== lastDone) {
      onLine(`batch tasks: ${counts.done} of ${counts.total} done`);
    }
    lastDone = counts.done;
    await clock.sleep(POLL_INTERVAL_MS);
    counts = countBatchTasks(deployment);
  }
  return counts;
}

function countBatchTasks(deployment: InProcessDeployment): BatchTaskCounts {
  const records = deployment.environment.platform.table
    .getRowsByPrefix('task/')
    .map(row => row.value as TaskRecord)
    .filter(record => record.kind === 'batch');
  let evictions = 0;
  for (const record of records) evictions += record.evictions;
  const done = records.filter(record => record.state === 'done').length;
  return {total: records.length, done, evictions};
}

/** Prints the results and returns whether all checks passed. */
function printReport(
  deployment: InProcessDeployment,
  report: LoadReport,
  batch: BatchTaskCounts,
  onLine: (line: string) => void,
): boolean {
  const observations = deployment.environment.getObservations();
  const {latency} = report;
  const lines: ReadonlyArray<readonly [string, string | number]> = [
    ['requests sent', report.sent],
    ['ran', report.ran],
    ['not run (refused, safe to repeat)', report.notRun],
    ['unknown', report.unknown],
    ['connection errors', report.connectionErrors],
    ['mismatched or truncated responses', report.wrongAnswers],
    ['requests that ran more than once', observations.repeatedRuns.length],
    ['latency p50 / p99 / p99.9 ms', formatLatency(latency)],
    ['batch tasks done', `${batch.done} of ${batch.total}`],
    ['batch tasks evicted', batch.evictions],
    ['task starts beyond worker capacity', observations.violations.length],
    ['table transactions', observations.table.transactions],
  ];
  onLine('');
  for (const [name, value] of lines) {
    onLine(`${name.padEnd(42)} ${value}`);
  }
  return (
    report.wrongAnswers === 0 &&
    observations.repeatedRuns.length === 0 &&
    observations.violations.length === 0 &&
    batch.done === batch.total
  );
}

function formatLatency(latency: LoadReport['latency']): string {
  const values = [latency.p50Ms, latency.p99Ms, latency.p999Ms];
  return values.map(value => value.toFixed(1)).join(' / ');
}
