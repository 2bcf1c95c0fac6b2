#!/usr/bin/env node
/** Command-line tool that generates load. */

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
  throw new InvalidArgumentError('expected a non-negative number');
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
  .requiredOption('--targets <urls>', 'comma-separated base URLs of entries')
  .requiredOption('--service <name>', 'service to call')
  .option('--rate <number>', 'requests per second', parseNumber, 100)
  .option('--duration <seconds>', 'duration of the load', parseNumber, 10)
  .option('--seed <number>', 'seed of the random numbers', parseNumber, 1)
  .option('--max-body-bytes <bytes>', 'maximum body size', parseNumber, 4_096)
  .option(
    '--keyed <fraction>',
    'fraction of requests that are POST with an idempotency key',
    parseNumber,
    0,
  )
  .option(
    '--reads <fraction>',
    'fraction of requests that are GET',
    parseNumber,
    0.5,
  )
  .option('--timeout <ms>', 'timeout of a request', parseNumber, 10_000)
  .addHelpText(
    'after',
    '\nExample:\n  mustardlug-load --targets http://127.0.0.1:7101 --service class-desk --rate 200 --keyed 0.2',
  )
  .action(run)
  .parseAsync();
