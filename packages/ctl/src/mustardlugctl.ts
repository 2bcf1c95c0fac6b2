#!/usr/bin/env node
/** Command-line tool for operators. */

import {Argument, Command} from 'commander';
import {Result} from 'neverthrow';
import {AppError} from '@mustardlug/base/errors';
import {exitWithError} from '@mustardlug/runtime/program';
import {checkFile, loadFormat} from './check_command.js';
import {createCtlContext, CtlContext} from './ctl_context.js';
import {
  CommandOutput,
  promoteDocument,
  publishTrial,
  validateDocument,
} from './document_commands.js';
import {DocumentFormat} from './document_format.js';
import {evacuateDomain, restoreDomain} from './evacuation_commands.js';
import {
  cancelJob,
  explain,
  EntityKind,
  retryTask,
  submitJob,
} from './job_commands.js';
import {drainNode, getStatus, showTimeline} from './node_commands.js';
import {showUsage} from './usage_command.js';

const PROGRAM = 'mustardlugctl';
const DEFAULT_SETTINGS = 'ctl.json';

interface GlobalOptions {
  readonly settings: string;
  readonly json?: boolean;
}

interface TimelineOptions {
  readonly request?: string;
  readonly task?: string;
  readonly worker?: string;
  readonly node?: string;
}

interface CheckOptions {
  readonly offline?: boolean;
  readonly format?: string;
}

interface ForceOptions {
  readonly force?: boolean;
}

const program = new Command(PROGRAM)
  .description('Operates a mustardlug environment.')
  .option('--settings <file>', 'path of the settings file', DEFAULT_SETTINGS)
  .option('--json', 'print the output as JSON')
  .addHelpText(
    'after',
    `
Exit status: 0 success, 1 rejected or not found, 2 invalid input, 3 conflict
with an earlier or concurrent write, 4 platform or node unreachable.

Examples:
  ${PROGRAM} validate document.json
  ${PROGRAM} --settings ctl.json trial document.json
  ${PROGRAM} explain task batch.nightly-report.0`,
  );

function print(result: Result<CommandOutput, AppError>): void {
  if (result.isErr()) return exitWithError(PROGRAM, result.error);
  const {json} = program.opts<GlobalOptions>();
  const text = json
    ? `${JSON.stringify(result.value.json, null, 2)}\n`
    : result.value.text;
  // The clients keep connections open, which would keep the process running.
  const {exitStatus} = result.value;
  process.stdout.write(text, () => process.exit(exitStatus ?? 0));
}

async function run(
  action: (context: CtlContext) => Promise<Result<CommandOutput, AppError>>,
): Promise<void> {
  const {settings} = program.opts<GlobalOptions>();
  const context = createCtlContext(settings);
  if (context.isErr()) return exitWithError(PROGRAM, context.error);
  print(await action(context.value));
}

async function check(file: string, options: CheckOptions): Promise<void> {
  const {settings} = program.opts<GlobalOptions>();
  const isOffline = options.offline ?? false;
  if (options.format === undefined) {
    const format = DocumentFormat.create(() => createCtlContext(settings));
    return print(await checkFile(format, file, isOffline));
  }
  const format = await loadFormat(options.format, settings);
  if (format.isErr()) return exitWithError(PROGRAM, format.error);
  print(await checkFile(format.value, file, isOffline));
}

program
  .command('validate')
  .description('validates a document without publishing it')
  .argument('<file>', 'environment document')
  .action((file: string) => print(validateDocument(file)));
program
  .command('check')
  .description(
    'reports errors, entries without effect and contradictions of a configuration, and its differences from the version in force; changes nothing',
  )
  .argument('<file>', 'environment document, or a file of the given format')
  .option('--offline', 'do not read the version in force and the workers')
  .option(
    '--format <module>',
    'module with another format; --settings is then the settings file that it reads',
  )
  .action((file: string, options: CheckOptions) => check(file, options))
  .addHelpText(
    'after',
    `
Exit status: 0 nothing found, 1 findings, 2 the file or the version in force is
not readable. Differences alone are no findings.`,
  );
program
  .command('trial')
  .description('publishes a document to the trial environment')
  .argument('<file>', 'environment document')
  .action((file: string) => run(context => publishTrial(context, file)));
program
  .command('promote')
  .description('publishes a document from the trial environment to production')
  .argument('<digest>', 'digest printed by "trial"')
  .action((digest: string) => run(context => promoteDocument(context, digest)));
program
  .command('status')
  .description(
    'shows all nodes with document version, leases and degradations, and the evacuated failure domains',
  )
  .action(() => run(getStatus));
program
  .command('submit')
  .description('submits a batch job')
  .argument('<file>', 'JSON file with one batch job')
  .action((file: string) => run(context => submitJob(context, file)));
program
  .command('cancel')
  .description('cancels a batch job')
  .argument('<job>', 'name of the job')
  .action((job: string) => run(context => cancelJob(context, job)));
program
  .command('retry')
  .description('makes a failed task pending again')
  .argument('<task>', 'id of the task')
  .action((task: string) => run(context => retryTask(context, task)));
program
  .command('drain')
  .description('starts a graceful shutdown of a node')
  .argument('<node>', 'id of the node')
  .action((node: string) => run(context => drainNode(context, node)));
program
  .command('evacuate')
  .description(
    'takes a failure domain out of service: no new requests and task starts; what runs completes',
  )
  .argument('<domain>', 'name of the failure domain')
  .option('--force', 'do not check that the VM list has the domain')
  .action((domain: string, options: ForceOptions) =>
    run(context => evacuateDomain(context, domain, options.force ?? false)),
  );
program
  .command('restore')
  .description('puts an evacuated failure domain back into service')
  .argument('<domain>', 'name of the failure domain')
  .option('--force', 'do not check that the VM list has the domain')
  .action((domain: string, options: ForceOptions) =>
    run(context => restoreDomain(context, domain, options.force ?? false)),
  );
program
  .command('explain')
  .description('shows the state and event history of a task, request or worker')
  .addArgument(
    new Argument('<kind>', 'type of the entity').choices([
      'task',
      'request',
      'worker',
    ]),
  )
  .argument('<id>', 'id of the task, request or worker')
  .action((kind: EntityKind, id: string) =>
    run(context => explain(context, kind, id)),
  );
program
  .command('timeline')
  .description('shows the merged events of all processes')
  .option('--request <id>', 'only events of this request')
  .option('--task <id>', 'only events of this task')
  .option('--worker <id>', 'only events of this worker')
  .option('--node <id>', 'only events of this node')
  .action((options: TimelineOptions) =>
    run(context =>
      showTimeline(context, {
        requestId: options.request,
        taskId: options.task,
        workerId: options.worker,
        nodeId: options.node,
      }),
    ),
  );
program
  .command('usage')
  .description('shows the core-hours used by each team, service and job')
  .option('--svg <file>', 'also write a bar chart')
  .action((options: {readonly svg?: string}) =>
    run(context => showUsage(context, options.svg)),
  );
await program.parseAsync();
