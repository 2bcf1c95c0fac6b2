/** Command line of the scheduler process, loaded by `mustardlug_scheduler.ts`. */

import {Command} from 'commander';
import {SystemClock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {readSettings, runService} from '@mustardlug/runtime/program';
import {SchedulerProcess} from './scheduler_process.js';
import {schedulerSettingsSchema} from './scheduler_settings.js';

const PROGRAM = 'mustardlug-scheduler';

function run(settingsPath: string): Promise<void> {
  const clock = SystemClock.create();
  const random = RandomSource.create(process.pid ^ Date.now());
  return runService(PROGRAM, () =>
    readSettings(settingsPath, schedulerSettingsSchema).andThen(settings =>
      SchedulerProcess.create(settings, clock, random),
    ),
  );
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
