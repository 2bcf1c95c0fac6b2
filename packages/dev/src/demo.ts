/** The demo: the main job on embedded stand-ins, with one failure on the way. */

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {randomBytes} from 'node:crypto';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Clock} from '@mustardlug/base/clock';
import {LoadReport, LoadRunner} from '@mustardlug/load/load_runner';
import {parseEnvironmentDocument} from '@mustardlug/document/environment_document';
import {TaskRecord} from '@mustardlug/scheduling/task_record';
import {EmbeddedSystem} from './embedded_system.js';
import {EnvironmentLayout} from './environment_layout.js';

/** Options of the demo. */
export interface DemoOptions {
  readonly layout: EnvironmentLayout;
  readonly documentText: string;
  readonly clock: Clock;
  readonly seed: number;
  readonly durationMs: number;
  readonly ratePerS: number;
  /** Receives lines of progress. */
  readonly onLine: (line: string) => void;
}

const BATCH_TIMEOUT_MS = 180_000;
const CHECK_MS = 250;
const USAGE_INTERVAL_MS = 5_000;
const KEYED_FRACTION = 0.3;
const READ_FRACTION = 0.4;
const MAX_BODY_BYTES = 65_536;
const REQUEST_TIMEOUT_MS = 8_000;
const FAILURE_AT_FRACTION = 0.4;

/**
 * Runs the demo.
 * @param options - Environment, load and output.
 * @returns Whether every promise that the demo checks was kept.
 */
export async function runDemo(options: DemoOptions): Promise<boolean> {
  const folder = mkdtempSync(join(tmpdir(), 'mustardlug-demo-'));
  const keyFile = join(folder, 'keys.txt');
  writeFileSync(keyFile, randomBytes(32).toString('hex'), {mode: 0o600});
  const system = EmbeddedSystem.create({
    ...options,
    keyFile,
    usageIntervalMs: USAGE_INTERVAL_MS,
  });
  try {
    return await runOnSystem(system, options);
  } finally {
    system.stop();
    rmSync(folder, {recursive: true});
  }
}

async function runOnSystem(
  system: EmbeddedSystem,
  options: DemoOptions,
): Promise<boolean> {
  const {clock, onLine, documentText} = options;
  const document = parseEnvironmentDocument(documentText);
  if (document.isErr()) throw new Error(document.error.message);
  const [service] = document.value.services;
  await system.start();
  onLine(
    `started ${system.entries.size} entries, ${system.schedulers.size} schedulers, ${system.environment.workers.size} workers`,
  );
  const slots = service.replicas * service.slotsPerReplica;
  const isUp = await system.waitForSlots(service.name, slots);
  onLine(`${service.name}: ${isUp ? 'all' : 'not all'} ${slots} slots are up`);
  clock.setTimer(options.durationMs * FAILURE_AT_FRACTION, () =>
    killOneEntry(system, onLine),
  );
  const report = await LoadRunner.create(
    {
      targets: system.getTargets(),
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
  const batch = await waitForBatch(system, clock, onLine);
  return printOutcome(system, report, batch, onLine);
}

function killOneEntry(
  system: EmbeddedSystem,
  onLine: (line: string) => void,
): void {
  const [nodeId, entry] = [...system.entries][0];
  entry.kill();
  system.schedulers.get(nodeId)?.kill();
  onLine(`killed ${nodeId} and its scheduler without warning`);
}

/** Tasks of batch jobs by state. */
interface BatchCounts {
  readonly total: number;
  readonly done: number;
  readonly evictions: number;
}

async function waitForBatch(
  system: EmbeddedSystem,
  clock: Clock,
  onLine: (line: string) => void,
): Promise<BatchCounts> {
  const limitMs = clock.getMonotonicMs() + BATCH_TIMEOUT_MS;
  let counts = countBatch(system);
  let lastDone = -1;
  while (counts.done < counts.total && clock.getMonotonicMs() < limitMs) {
    if (counts.done !== lastDone) {
      onLine(`batch tasks: ${counts.done} of ${counts.total} done`);
    }
    lastDone = counts.done;
    await clock.sleep(CHECK_MS);
    counts = countBatch(system);
  }
  return counts;
}

function countBatch(system: EmbeddedSystem): BatchCounts {
  const records = system.environment.platform.table
    .getMatching('task/')
    .map(row => row.value as TaskRecord)
    .filter(record => record.kind === 'batch');
  let evictions = 0;
  for (const record of records) evictions += record.evictions;
  const done = records.filter(record => record.state === 'done').length;
  return {total: records.length, done, evictions};
}

function printOutcome(
  system: EmbeddedSystem,
  report: LoadReport,
  batch: BatchCounts,
  onLine: (line: string) => void,
): boolean {
  const seen = system.environment.getObservations();
  const {latency} = report;
  const rows: ReadonlyArray<readonly [string, string | number]> = [
    ['requests sent', report.sent],
    ['ran', report.ran],
    ['not run (refused, safe to repeat)', report.notRun],
    ['unknown', report.unknown],
    ['connections cut by the killed entry', report.connectionErrors],
    ['answers to another request or not whole', report.wrongAnswers],
    ['requests that ran twice', seen.repeatedRuns.length],
    ['latency p50 / p99 / p99.9 ms', formatLatency(latency)],
    ['batch tasks done', `${batch.done} of ${batch.total}`],
    ['batch tasks evicted', batch.evictions],
    ['starts beyond a worker’s capacity', seen.violations.length],
    ['table transactions', seen.table.transactions],
  ];
  onLine('');
  for (const [name, value] of rows) {
    onLine(`${name.padEnd(42)} ${value}`);
  }
  return (
    report.wrongAnswers === 0 &&
    seen.repeatedRuns.length === 0 &&
    seen.violations.length === 0 &&
    batch.done === batch.total
  );
}

function formatLatency(latency: LoadReport['latency']): string {
  const values = [latency.p50Ms, latency.p99Ms, latency.p999Ms];
  return values.map(value => value.toFixed(1)).join(' / ');
}
