#!/usr/bin/env node
/** Command line for the simulated environment and the demo. */

import {dirname, resolve} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Command, InvalidArgumentError} from 'commander';
import {err, ok, Result} from 'neverthrow';
import {SystemClock} from '@mustardlug/base/clock';
import {InvalidInputError} from '@mustardlug/base/errors';
import {RandomSource} from '@mustardlug/base/random_source';
import {readJsonFile, readTextFile} from '@mustardlug/base/json_reader';
import {exitWithError, onStopSignal} from '@mustardlug/runtime/program';
import {runDemo} from './demo.js';
import {
  EnvironmentLayout,
  environmentLayoutSchema,
} from './environment_layout.js';
import {writeSettings} from './settings_writer.js';
import {SimulatedEnvironment} from './simulated_environment.js';

const PROGRAM = 'mustardlug-dev';
const MS_PER_SECOND = 1_000;
const DEMO_LAYOUT = resolve(
  dirname(fileURLToPath(import.meta.url)),
  '../../../../examples/demo/layout.json',
);

interface LayoutWithDocument {
  readonly layout: EnvironmentLayout;
  readonly documentText: string;
}

function readLayout(
  path: string,
): Result<LayoutWithDocument, InvalidInputError> {
  return readJsonFile(path, environmentLayoutSchema).andThen(layout => {
    const documentPath = resolve(dirname(path), layout.documentFile);
    const text = readTextFile(documentPath);
    if (text.isErr()) return err(text.error);
    return ok({layout, documentText: text.value});
  });
}

function parseNumber(text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value > 0) return value;
  throw new InvalidArgumentError('give a number above 0');
}

interface DemoArguments {
  readonly layout: string;
  readonly seconds: number;
  readonly rate: number;
  readonly seed: number;
}

async function runDemoCommand(options: DemoArguments): Promise<void> {
  const read = readLayout(options.layout);
  if (read.isErr()) return exitWithError(PROGRAM, read.error);
  const hasPassed = await runDemo({
    ...read.value,
    clock: SystemClock.create(),
    seed: options.seed,
    durationMs: options.seconds * MS_PER_SECOND,
    ratePerS: options.rate,
    onLine: line => process.stdout.write(`${line}\n`),
  });
  process.stdout.write(
    hasPassed ? '\nall checks passed\n' : '\nCHECKS FAILED\n',
  );
  process.exit(hasPassed ? 0 : 1);
}

async function runSimulatedEnvironment(layoutPath: string): Promise<void> {
  const read = readLayout(layoutPath);
  if (read.isErr()) return exitWithError(PROGRAM, read.error);
  const clock = SystemClock.create();
  const random = RandomSource.create(1);
  const environment = SimulatedEnvironment.create(
    read.value.layout,
    clock,
    random,
  );
  await environment.start();
  process.stdout.write(
    `platform on port ${read.value.layout.basePort}, ${environment.workers.size} workers\n`,
  );
  onStopSignal(() => {
    environment.stop();
    process.exit(0);
  });
}

function writeSettingsFiles(layoutPath: string, folder: string): void {
  const read = readLayout(layoutPath);
  if (read.isErr()) return exitWithError(PROGRAM, read.error);
  for (const path of writeSettings(read.value.layout, folder)) {
    process.stdout.write(`${path}\n`);
  }
}

const program = new Command(PROGRAM).description(
  'Simulates the platform, the workers and the upstreams; for development only.',
);
program
  .command('demo')
  .description(
    'runs load and batch jobs in one process while an entry is killed',
  )
  .option('--layout <file>', 'layout of the environment', DEMO_LAYOUT)
  .option('--seconds <number>', 'duration of the load', parseNumber, 12)
  .option('--rate <number>', 'requests per second', parseNumber, 80)
  .option('--seed <number>', 'random seed of the load', parseNumber, 1)
  .action(runDemoCommand);
program
  .command('standins')
  .description('runs the simulated platform and workers until stopped')
  .argument('<layout>', 'path of the layout file')
  .action(runSimulatedEnvironment);
program
  .command('init')
  .description('writes the settings files and the key file of an environment')
  .argument('<layout>', 'path of the layout file')
  .argument('<folder>', 'output directory')
  .action(writeSettingsFiles);
await program.parseAsync();
