#!/usr/bin/env node
/** Command line of the scheduler process. */

import {Command} from 'commander';
import {SystemClock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {
  exitWithError,
  onStopSignal,
  readSettings,
} from '@mustardlug/runtime/program';
import {SchedulerProcess} from './scheduler_process.js';
import {schedulerSettingsSchema} from './scheduler_settings.js';

const PROGRAM = 'mustardlug-scheduler';

async function run(settingsPath: string): Promise<void> {
  const settings = readSettings(settingsPath, schedulerSettingsSchema);
  if (settings.isErr()) return exitWithError(PROGRAM, settings.error);
  const clock = SystemClock.create();
  const random = RandomSource.create(process.pid ^ Date.now());
  const scheduler = SchedulerProcess.create(settings.value, clock, random);
  if (scheduler.isErr()) return exitWithError(PROGRAM, scheduler.error);
  const started = await scheduler.value.start();
  if (started.isErr()) return exitWithError(PROGRAM, started.error);
  onStopSignal(() => void scheduler.value.drain().then(() => process.exit(0)));
}

await new Command(PROGRAM)
  .description('Binds tasks to workers and manages each attempt until it ends.')
  .argument('<settings>', 'path of the JSON settings file')
  .addHelpText(
    'after',
    '\nExit status: 0 after a graceful shutdown, 2 if the settings are invalid, 4 if a port cannot be used.\n\nExample:\n  mustardlug-scheduler scheduler-1.json',
  )
  .action(run)
  .parseAsync();
