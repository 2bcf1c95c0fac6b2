#!/usr/bin/env node
/** Command line of the entry process. */

import {Command} from 'commander';
import {SystemClock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {
  exitWithError,
  onStopSignal,
  readSettings,
} from '@mustardlug/runtime/program';
import {EntryProcess} from './entry_process.js';
import {entrySettingsSchema} from './entry_settings.js';

const PROGRAM = 'mustardlug-entry';

async function run(settingsPath: string): Promise<void> {
  const settings = readSettings(settingsPath, entrySettingsSchema);
  if (settings.isErr()) return exitWithError(PROGRAM, settings.error);
  const clock = SystemClock.create();
  const random = RandomSource.create(process.pid ^ Date.now());
  const entry = EntryProcess.create(settings.value, clock, random);
  if (entry.isErr()) return exitWithError(PROGRAM, entry.error);
  const started = await entry.value.start();
  if (started.isErr()) return exitWithError(PROGRAM, started.error);
  onStopSignal(() => void entry.value.drain().then(() => process.exit(0)));
}

await new Command(PROGRAM)
  .description('Receives requests from callers and forwards them to upstreams.')
  .argument('<settings>', 'path of the JSON settings file')
  .addHelpText(
    'after',
    '\nExit status: 0 after a graceful shutdown, 2 if the settings are invalid, 4 if a port cannot be used.\n\nExample:\n  mustardlug-entry entry-1.json',
  )
  .action(run)
  .parseAsync();
