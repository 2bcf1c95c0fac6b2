#!/usr/bin/env node
/** Command line of the experiments and benchmarks. */

import {Command, InvalidArgumentError} from 'commander';
import {measureCapacity} from './capacity_experiment.js';
import {
  ColocationExperiment,
  ColocationResult,
  Knowledge,
  LoadPattern,
} from './colocation_experiment.js';
import {measureCodec} from './codec_benchmark.js';
import {measureCoordinator} from './coordinator_benchmark.js';
import {measureDecisions} from './decision_benchmark.js';
import {renderMarkdownTable} from './markdown_table.js';
import {PlacementResult, runPlacementScenario} from './placement_experiment.js';
import {measureTaskMemory} from './memory_benchmark.js';
import {NodeFailure, measureRecovery} from './recovery_experiment.js';
import {measureTakeover, TAKEOVER_CAUSES} from './takeover_experiment.js';
import {
  RequestPolicy,
  RequestResult,
  runRequestScenario,
  WorkerFault,
} from './request_experiment.js';

interface RequestOptions {
  readonly loads: string;
  readonly bad: string;
  readonly policies: string;
  readonly seed: number;
  readonly seconds: number;
  readonly json?: boolean;
}

const MS_PER_SECOND = 1_000;

function parsePositiveNumber(text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value > 0) return value;
  throw new InvalidArgumentError('expected a number greater than 0');
}

async function runRequestExperiment(options: RequestOptions): Promise<void> {
  const results: RequestResult[] = [];
  for (const badWorker of options.bad.split(',') as WorkerFault[]) {
    for (const load of options.loads.split(',').map(Number)) {
      for (const policy of options.policies.split(',') as RequestPolicy[]) {
        const {seed, seconds} = options;
        const durationMs = seconds * MS_PER_SECOND;
        const scenario = {policy, badWorker, load, seed, durationMs};
        results.push(await runRequestScenario(scenario));
        process.stderr.write(`${badWorker} ${load} ${policy}\n`);
      }
    }
  }
  print(
    options.json
      ? JSON.stringify(results, null, 2)
      : renderRequestResults(results),
  );
}

function renderRequestResults(results: readonly RequestResult[]): string {
  const header = [
    'bad worker',
    'load',
    'policy',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
    'goodput / capacity',
    'retries',
    'reroutes',
    'refused',
    'failed',
    'cross-region B / request',
  ];
  const rows = results.map(result => [
    result.badWorker,
    formatPercent(result.load, 0),
    result.policy,
    result.p50Ms.toFixed(0),
    result.p99Ms.toFixed(0),
    result.p999Ms.toFixed(0),
    formatPercent(result.goodput, 1),
    formatPercent(result.retriesFraction, 1),
    formatPercent(result.reroutesFraction, 1),
    formatPercent(result.refusedFraction, 1),
    formatPercent(result.failedFraction, 2),
    result.regionBytesPerRequest.toFixed(0),
  ]);
  return renderMarkdownTable(header, rows);
}

interface PlacementOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly json?: boolean;
}

async function runPlacementExperiment(
  options: PlacementOptions,
): Promise<void> {
  const results: PlacementResult[] = [];
  const {seed, seconds} = options;
  const durationMs = seconds * MS_PER_SECOND;
  for (const objective of ['red-clay', 'kavango'] as const) {
    for (const variant of ['mustardlug', 'first-fit'] as const) {
      results.push(
        await runPlacementScenario({variant, objective, seed, durationMs}),
      );
    }
  }
  print(
    options.json
      ? JSON.stringify(results, null, 2)
      : renderPlacementResults(results),
  );
}

function renderPlacementResults(results: readonly PlacementResult[]): string {
  const header = [
    'objective',
    'policy',
    'mean slowdown',
    'p99 slowdown',
    'batch tasks done',
    'evictions',
    'throttles',
    'urgent start max ms',
    'capacity violations',
  ];
  const rows = results.map(result => [
    result.objective,
    result.variant,
    result.meanSlowdown.toFixed(2),
    result.p99Slowdown.toFixed(2),
    String(result.batchDone),
    String(result.evictions),
    String(result.throttles),
    result.urgentWorstMs.toFixed(0),
    String(result.violations),
  ]);
  return renderMarkdownTable(header, rows);
}

interface ColocationOptions {
  readonly patterns: string;
  readonly knowledge: string;
  readonly workers: number;
  readonly seed: number;
  readonly seconds: number;
  readonly json?: boolean;
}

async function runColocationExperiment(
  options: ColocationOptions,
): Promise<void> {
  const results: ColocationResult[] = [];
  const {seed, workers, seconds} = options;
  const durationMs = seconds * MS_PER_SECOND;
  for (const pattern of options.patterns.split(',') as LoadPattern[]) {
    for (const knowledge of options.knowledge.split(',') as Knowledge[]) {
      const scenario = {pattern, knowledge, seed, workers, durationMs};
      results.push(await ColocationExperiment.create(scenario).run());
      process.stderr.write(`${pattern} ${knowledge}\n`);
    }
  }
  print(
    options.json
      ? JSON.stringify(results, null, 2)
      : renderColocationResults(results),
  );
}

function renderColocationResults(results: readonly ColocationResult[]): string {
  const header = [
    'pattern',
    'knowledge',
    'urgent in time',
    'urgent late',
    'fillers in time',
    'fillers late',
    'serving within target',
    'over target due to fillers',
    'violations',
  ];
  const rows = results.map(result => [
    result.pattern,
    result.knowledge,
    formatPercent(result.urgentInTime, 1),
    formatPercent(result.urgentLate, 1),
    formatPercent(result.fillInTime, 1),
    formatPercent(result.fillLate, 1),
    formatPercent(result.served, 1),
    formatPercent(result.harmed, 2),
    String(result.violations),
  ]);
  return renderMarkdownTable(header, rows);
}

async function runRecoveryExperiment(options: {
  readonly seeds: number;
}): Promise<void> {
  const rows: string[][] = [];
  for (const failure of ['coordinator', 'all-nodes'] as NodeFailure[]) {
    const failoverTimes: number[] = [];
    const startTimes: number[] = [];
    let violations = 0;
    for (let seed = 1; seed <= options.seeds; seed++) {
      const result = await measureRecovery(failure, seed);
      failoverTimes.push(result.failoverMs);
      startTimes.push(result.firstStartMs);
      violations += result.violations;
    }
    rows.push([
      failure,
      String(options.seeds),
      ...[failoverTimes, startTimes].flatMap(renderQuantiles),
      String(violations),
    ]);
  }
  const header = [
    'failure',
    'seeds',
    'failover p50 ms',
    'p99',
    'max',
    'first start p50 ms',
    'p99',
    'max',
    'violations',
  ];
  print(renderMarkdownTable(header, rows));
}

async function runTakeoverExperiment(options: {
  readonly seeds: number;
  readonly workers: number;
}): Promise<void> {
  const {seeds, workers} = options;
  const rows: string[][] = [];
  for (const cause of TAKEOVER_CAUSES) {
    const results = [];
    for (let seed = 1; seed <= seeds; seed++)
      results.push(await measureTakeover({cause, seed, workers}));
    const smallWins = results.filter(each => each.smallElections > 0);
    const lapses = results.filter(each => each.lapsedRuns > 0);
    const lapsedRuns = results.reduce((sum, each) => sum + each.lapsedRuns, 0);
    const lastLarge = results.filter(each => each.lastHolder === 'large');
    const violations = results.flatMap(each => each.violations);
    rows.push([
      cause,
      String(seeds),
      String(smallWins.length),
      String(lastLarge.length),
      String(lapses.length),
      String(lapsedRuns),
      ...renderQuantiles(results.map(each => each.readyMs)),
      ...renderQuantiles(results.map(each => each.longestPauseMs)),
      String(violations.length),
    ]);
  }
  const header = [
    'cause',
    'seeds',
    'a small VM elected',
    'a large one at the end',
    'leases lapsed',
    'runs lapsed',
    'ready p50 ms',
    'p99',
    'max',
    'no starts p50 ms',
    'p99',
    'max',
    'violations',
  ];
  print(renderMarkdownTable(header, rows));
}

function renderQuantiles(values: readonly number[]): string[] {
  const sorted = [...values].sort((left, right) => left - right);
  return [0.5, 0.99, 1].map(quantile => {
    const index = Math.min(
      sorted.length - 1,
      Math.floor(sorted.length * quantile),
    );
    return String(sorted[index]);
  });
}

const DECISION_SIZES = [
  {workers: 33, tasks: 590},
  {workers: 130, tasks: 2_320},
  {workers: 325, tasks: 5_800},
  {workers: 650, tasks: 11_600},
];

function runDecisionBenchmark(): void {
  const rows: string[][] = [];
  for (const {workers, tasks} of DECISION_SIZES) {
    for (const policy of ['mustardlug', 'first-fit'] as const) {
      const result = measureDecisions(workers, tasks, policy);
      rows.push([
        policy,
        String(workers),
        String(tasks),
        result.p50Us.toFixed(1),
        result.p99Us.toFixed(1),
        result.maxUs.toFixed(0),
      ]);
    }
  }
  const header = ['policy', 'workers', 'tasks', 'p50 us', 'p99 us', 'max us'];
  print(renderMarkdownTable(header, rows));
}

async function runCoordinatorBenchmark(): Promise<void> {
  const costs = await measureCoordinator();
  const rows = costs.map(cost => [
    cost.workload,
    cost.activity,
    String(cost.count),
    cost.totalMs.toFixed(0),
    cost.usPerUnit.toFixed(0),
    `${Math.round(cost.share * 100)} %`,
  ]);
  const header = ['workload', 'activity', 'count', 'ms', 'us each', 'share'];
  print(renderMarkdownTable(header, rows));
}

async function runCapacityExperiment(options: {
  readonly workers: string;
}): Promise<void> {
  const rows: string[][] = [];
  for (const workers of options.workers.split(',').map(Number)) {
    const result = await measureCapacity(workers);
    rows.push([
      String(result.workers),
      String(result.boundTasks),
      result.startsPerS.toFixed(1),
      result.cpuMsPerS.toFixed(0),
      result.transactionsPerS.toFixed(1),
      result.rowsPerS.toFixed(0),
      result.readsPerS.toFixed(1),
      result.workerBytesPerS.toFixed(0),
      result.tableBytesPerS.toFixed(0),
      result.heapMb.toFixed(0),
    ]);
  }
  const header = [
    'workers',
    'bound tasks',
    'starts / s',
    'CPU ms / s, 3 schedulers and simulated workers',
    'transactions / s',
    'rows / s',
    'reads / s',
    'bytes / s / worker',
    'table bytes / s',
    'heap MB',
  ];
  print(renderMarkdownTable(header, rows));
}

function runCodecBenchmark(): void {
  const rows = measureCodec().map(result => [
    result.name,
    String(result.jsonBytes),
    String(result.messagePackBytes),
    String(result.messagePackRecordBytes),
    String(result.deflatedBytes),
    result.roundTripUs.toFixed(1),
  ]);
  const header = [
    'message',
    'JSON B',
    'MessagePack B',
    'MessagePack with records B',
    'deflated records B',
    'encode + decode us',
  ];
  print(renderMarkdownTable(header, rows));
}

const MEMORY_TASK_COUNTS = [10_000, 30_000, 60_000];

function runMemoryBenchmark(): void {
  const rows: string[][] = [];
  for (const isEnded of [false, true]) {
    for (const size of MEMORY_TASK_COUNTS) {
      const {tasks, heapMb, bytesPerTask} = measureTaskMemory(size, isEnded);
      rows.push([
        isEnded ? 'ended' : 'pending',
        String(tasks),
        heapMb.toFixed(1),
        bytesPerTask.toFixed(0),
      ]);
    }
  }
  print(
    renderMarkdownTable(['state', 'cached tasks', 'heap MB', 'B / task'], rows),
  );
}

function formatPercent(fraction: number, digits: number): string {
  return `${(fraction * 100).toFixed(digits)} %`;
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

const program = new Command('mustardlug-experiment').description(
  'Experiments in virtual time, reproducible by seed, and benchmarks in real time.',
);
program
  .command('requests')
  .description('compare routing with the naive baseline')
  .option(
    '--loads <list>',
    'loads as fractions of capacity',
    '0.5,0.8,0.95,1,1.3',
  )
  .option('--bad <list>', 'faults of one worker', 'none,slow,fails-all,silent')
  .option('--policies <list>', 'policies', 'mustardlug,naive')
  .option('--seed <number>', 'seed', parsePositiveNumber, 1)
  .option(
    '--seconds <number>',
    'virtual time of each run',
    parsePositiveNumber,
    10,
  )
  .option('--json', 'print JSON')
  .action(runRequestExperiment);
program
  .command('placement')
  .description('compare placement with first fit without throttling')
  .option('--seed <number>', 'seed', parsePositiveNumber, 1)
  .option(
    '--seconds <number>',
    'virtual time of each run',
    parsePositiveNumber,
    120,
  )
  .option('--json', 'print JSON')
  .action(runPlacementExperiment);
program
  .command('colocation')
  .description('run serving tasks, urgent jobs and fillers on the same workers')
  .option(
    '--patterns <list>',
    'load patterns and faults',
    'steady,burst,slow-workers,lost-workers,takeover',
  )
  .option(
    '--knowledge <list>',
    'initial knowledge: none, or the effects of fillers',
    'none,effects',
  )
  .option('--workers <number>', 'number of workers', parsePositiveNumber, 45)
  .option('--seed <number>', 'seed', parsePositiveNumber, 1)
  .option(
    '--seconds <number>',
    'virtual time in which jobs arrive',
    parsePositiveNumber,
    30,
  )
  .option('--json', 'print JSON')
  .action(runColocationExperiment);
program
  .command('recovery')
  .description('measure the time to the next task start after node failures')
  .option(
    '--seeds <number>',
    'runs per kind of failure',
    parsePositiveNumber,
    200,
  )
  .action(runRecoveryExperiment);
program
  .command('takeover')
  .description(
    'measure takeovers of 18 large and 79 small VMs, and the leases that lapse',
  )
  .option('--seeds <number>', 'runs per cause', parsePositiveNumber, 20)
  .option('--workers <number>', 'number of workers', parsePositiveNumber, 60)
  .action(runTakeoverExperiment);
program
  .command('decisions')
  .description('measure the latency of placement decisions, in real time')
  .action(runDecisionBenchmark);
program
  .command('coordinator')
  .description('measure the processor time of a coordinator by activity')
  .action(runCoordinatorBenchmark);
program
  .command('capacity')
  .description('measure the cost of scheduling by size of the failure domain')
  .option('--workers <list>', 'numbers of workers in the domain', '31,62,93')
  .action(runCapacityExperiment);
program
  .command('codec')
  .description('measure sizes of peer messages by encoding and compression')
  .action(runCodecBenchmark);
program
  .command('memory')
  .description('measure the memory of cached task rows')
  .action(runMemoryBenchmark);
await program.parseAsync();
