#!/usr/bin/env node
/** Command line of the load tool. */

import {Command, InvalidArgumentError} from 'commander';
import {SystemClock} from '@mustardlug/base/clock';
import {LoadRunner} from './load_runner.js';

interface LoadArguments {
  readonly targets: string;
  readonly service: string;
  readonly rate: number;
  readonly duration: number;
  readonly seed: number;
  readonly maxBodyBytes: number;
  readonly keyed: number;
  readonly reads: number;
  readonly timeout: number;
}

const MS_PER_SECOND = 1_000;
const MAX_RATE_PER_S = 20_000;
const MAX_DURATION_S = 600;

function parseNumber(text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value >= 0) return value;
  throw new InvalidArgumentError('give a number that is not negative');
}

async function run(options: LoadArguments): Promise<void> {
  const runner = LoadRunner.create(
    {
      targets: options.targets.split(','),
      service: options.service,
      ratePerS: Math.min(options.rate, MAX_RATE_PER_S),
      durationMs: Math.min(options.duration, MAX_DURATION_S) * MS_PER_SECOND,
      seed: options.seed,
      maxBodyBytes: options.maxBodyBytes,
      keyedFraction: options.keyed,
      readFraction: options.reads,
      timeoutMs: options.timeout,
      onProgress: (sent, total) =>
        process.stderr.write(`sent ${sent} of ${total}\n`),
    },
    SystemClock.create(),
  );
  const report = await runner.run();
  process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
}

await new Command('mustardlug-load')
  .description(
    'Sends requests to entries at a fixed rate and prints a JSON report.',
  )
  .requiredOption('--targets <urls>', 'base addresses, separated by commas')
  .requiredOption('--service <name>', 'service to call')
  .option('--rate <number>', 'requests a second', parseNumber, 100)
  .option('--duration <seconds>', 'time to send for', parseNumber, 10)
  .option('--seed <number>', 'seed of the schedule', parseNumber, 1)
  .option('--max-body-bytes <bytes>', 'largest body', parseNumber, 4_096)
  .option('--keyed <fraction>', 'part with an idempotency key', parseNumber, 0)
  .option('--reads <fraction>', 'part that are GET requests', parseNumber, 0.5)
  .option('--timeout <ms>', 'time limit of a request', parseNumber, 10_000)
  .addHelpText(
    'after',
    '\nExample:\n  mustardlug-load --targets http://127.0.0.1:7101 --service class-desk --rate 200 --keyed 0.2',
  )
  .action(run)
  .parseAsync();
