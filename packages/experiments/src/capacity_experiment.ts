/** Measures the cost of scheduling by size of the failure domain. */

import {
  EnvironmentDocument,
  environmentDocumentSchema,
} from '@mustardlug/document/environment_document';
import {SchedulerHarness} from './scheduler_harness.js';

/** Measurement of one failure domain. */
export interface CapacityResult {
  readonly workers: number;
  readonly boundTasks: number;
  readonly startsPerS: number;
  /** CPU time of all schedulers, simulated workers and the simulated table, in milliseconds per second. */
  readonly cpuMsPerS: number;
  readonly transactionsPerS: number;
  readonly rowsPerS: number;
  readonly readsPerS: number;
  /** Control traffic of one worker in the `tasks` lease scope, in both directions. */
  readonly workerBytesPerS: number;
  readonly tableBytesPerS: number;
  readonly heapMb: number;
}

const SCHEDULERS = 3;
const WORKER_SIZE = {cores: 32, memoryMb: 125_000, accelerators: 2};
/** Capacity target: 10,000 batch tasks on 650 workers. */
const BATCH_TASKS_PER_WORKER = 15.4;
/** Capacity target: 590 task starts per second on 650 workers. */
const STARTS_PER_WORKER_PER_S = 0.91;
const MEAN_RUN_MS = Math.round(
  (BATCH_TASKS_PER_WORKER / STARTS_PER_WORKER_PER_S) * 1_000,
);
const WARM_UP_MS = 60_000;
const MEASURE_MS = 20_000;
const TEAMS = 24;
const BYTES_PER_MB = 1024 * 1024;

/**
 * Measures one failure domain in steady state, at the per-worker load of the capacity target.
 * @param workers - Number of workers in the domain.
 */
export async function measureCapacity(
  workers: number,
): Promise<CapacityResult> {
  const harness = SchedulerHarness.create({
    seed: workers,
    schedulers: SCHEDULERS,
    workers,
    size: WORKER_SIZE,
    document: createDocument(workers),
    isCountingBytes: true,
  });
  await harness.clock.advance(WARM_UP_MS);
  const before = readCounters(harness);
  const cpuBefore = process.cpuUsage();
  await harness.clock.advance(MEASURE_MS);
  const cpu = process.cpuUsage(cpuBefore);
  const after = readCounters(harness);
  const seconds = MEASURE_MS / 1_000;
  const perS = (key: keyof Counters) => (after[key] - before[key]) / seconds;
  return {
    workers,
    boundTasks: harness.countTasks('bound'),
    startsPerS: perS('starts'),
    cpuMsPerS: (cpu.user + cpu.system) / 1_000 / seconds,
    transactionsPerS: perS('transactions'),
    rowsPerS: perS('rows'),
    readsPerS: perS('reads'),
    workerBytesPerS: perS('workerBytes') / workers,
    tableBytesPerS: perS('tableBytes'),
    heapMb: process.memoryUsage().heapUsed / BYTES_PER_MB,
  };
}

interface Counters {
  readonly starts: number;
  readonly transactions: number;
  readonly rows: number;
  readonly reads: number;
  readonly workerBytes: number;
  readonly tableBytes: number;
}

function readCounters(harness: SchedulerHarness): Counters {
  const {transactions, writtenRows, reads} = harness.table.counts;
  let starts = 0;
  for (const model of harness.models.values()) {
    starts += model.startedAttempts.length;
  }
  let workerBytes = 0;
  let tableBytes = 0;
  for (const node of harness.nodes) {
    workerBytes += node.workerClient.transferredBytes;
    tableBytes += node.table.transferredBytes;
  }
  return {
    starts,
    transactions,
    rows: writtenRows,
    reads,
    workerBytes,
    tableBytes,
  };
}

function createDocument(workers: number): EnvironmentDocument {
  const seconds = (WARM_UP_MS + MEASURE_MS) / 1_000;
  const tasks = Math.ceil(
    workers * (BATCH_TASKS_PER_WORKER + STARTS_PER_WORKER_PER_S * seconds),
  );
  const teams = Array.from({length: TEAMS}, (_, index) => ({
    name: `team-${index}`,
    quotaCores: 10_000,
  }));
  const jobs = teams.map((team, index) => ({
    name: `job-${team.name}`,
    team: team.name,
    tasks: Math.ceil(tasks / TEAMS),
    resources: {cores: 1, memoryMb: 1_000},
    expectedRunMs: Math.round(
      MEAN_RUN_MS * (0.6 + (0.8 * index) / (TEAMS - 1)),
    ),
  }));
  return environmentDocumentSchema.parse({
    environment: 'capacity',
    objective: {tailLatencyWeight: 1, evictionWeight: 1, throughputWeight: 1},
    teams,
    services: [
      {
        name: 'desk',
        team: 'team-0',
        replicas: workers,
        resources: {cores: 16, memoryMb: 16_000},
      },
    ],
    batchJobs: jobs,
  });
}
