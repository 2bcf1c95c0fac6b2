/** Command line of the entry process, loaded by `mustardlug_entry.ts`. */

import {Command} from 'commander';
import {SystemClock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {readSettings, runService} from '@mustardlug/runtime/program';
import {EntryProcess} from './entry_process.js';
import {entrySettingsSchema} from './entry_settings.js';

const PROGRAM = 'mustardlug-entry';

function run(settingsPath: string): Promise<void> {
  const clock = SystemClock.create();
  const random = RandomSource.create(process.pid ^ Date.now());
  return runService(PROGRAM, () =>
    readSettings(settingsPath, entrySettingsSchema).andThen(settings =>
      EntryProcess.create(settings, clock, random),
    ),
  );
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
